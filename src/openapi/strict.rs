//! JSON as OpenAPI means it: an object that names a key twice is a fault, where serde_json keeps the last.

use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt;

/// The entries of an object in order, each value as it stands in the text.
struct Entries<'a>(Vec<(String, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Entries<'a> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Collect;
        impl<'de> Visitor<'de> for Collect {
            type Value = Vec<(String, &'de RawValue)>;

            fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
                to.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut entries = Vec::new();
                while let Some(entry) = map.next_entry()? {
                    entries.push(entry);
                }
                Ok(entries)
            }
        }
        from.deserialize_map(Collect).map(Entries)
    }
}

/// Parses JSON; the faults name both places of every key that an object has twice.
pub fn parse(text: &str) -> Result<Value, Vec<String>> {
    let value = serde_json::from_str(text).map_err(|e| vec![format!("not JSON: {e}")])?;
    let mut faults = Vec::new();
    find_twice(text, text, "", &mut faults);
    match faults.is_empty() {
        true => Ok(value),
        false => Err(faults),
    }
}

/// Looks through `part`, which is a piece of `text` itself, so that its place tells the line.
fn find_twice(text: &str, part: &str, path: &str, faults: &mut Vec<String>) {
    // Counts from the start of the text: for faults alone, or a long description takes the square of its length.
    let line = |value: &RawValue| {
        let offset = value.get().as_ptr() as usize - text.as_ptr() as usize;
        1 + text.as_bytes()[..offset]
            .iter()
            .filter(|b| **b == b'\n')
            .count()
    };
    match part.trim_start().as_bytes().first() {
        Some(b'{') => {
            let Ok(Entries(entries)) = serde_json::from_str(part) else {
                return;
            };
            let mut seen = HashMap::new();
            for (key, value) in entries {
                let here = format!("{path}/{}", key.replace('~', "~0").replace('/', "~1"));
                if let Some(before) = seen.insert(key, value) {
                    let (first, second) = (line(before), line(value));
                    faults.push(format!(
                        "{here} stands twice, in lines {first} and {second}"
                    ));
                }
                find_twice(text, value.get(), &here, faults);
            }
        }
        Some(b'[') => {
            let Ok(values) = serde_json::from_str::<Vec<&RawValue>>(part) else {
                return;
            };
            for (at, value) in values.into_iter().enumerate() {
                find_twice(text, value.get(), &format!("{path}/{at}"), faults);
            }
        }
        _ => {}
    }
}
