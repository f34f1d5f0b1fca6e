//! JSON parser that rejects duplicate keys, as OpenAPI requires. `serde_json` would keep the last
//! value of a key.

use super::error::{DescriptionError, DescriptionErrors};
use super::references::escape;
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt;

/// Entries of an object in their order, with the unparsed text of each value.
struct Entries<'a>(Vec<(String, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Entries<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(EntriesVisitor).map(Entries)
    }
}

struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = Vec<(String, &'de RawValue)>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(entries)
    }
}

/// Parses JSON.
///
/// # Errors
///
/// Returns an error for text that is not JSON, and for each duplicate key with the lines of both
/// values.
pub(super) fn parse(text: &str) -> Result<Value, DescriptionErrors> {
    let value = serde_json::from_str(text)
        .map_err(|error| DescriptionErrors::new(vec![DescriptionError::NotJson(error)]))?;
    let mut finder = DuplicateFinder {
        text,
        errors: Vec::new(),
    };
    finder.search(text, "");
    if finder.errors.is_empty() {
        Ok(value)
    } else {
        Err(DescriptionErrors::new(finder.errors))
    }
}

/// Search for duplicate keys in a text.
struct DuplicateFinder<'a> {
    text: &'a str,
    errors: Vec<DescriptionError>,
}

impl<'a> DuplicateFinder<'a> {
    /// Searches `fragment`, the slice of the text at the JSON pointer `pointer`.
    fn search(&mut self, fragment: &'a str, pointer: &str) {
        match fragment.trim_start().as_bytes().first() {
            Some(b'{') => self.search_object(fragment, pointer),
            Some(b'[') => self.search_array(fragment, pointer),
            _ => {}
        }
    }

    fn search_object(&mut self, fragment: &'a str, pointer: &str) {
        let Ok(Entries(entries)) = serde_json::from_str(fragment) else {
            return;
        };
        let mut seen = HashMap::new();
        for (key, value) in entries {
            let pointer = format!("{pointer}/{}", escape(&key));
            if let Some(first) = seen.insert(key, value) {
                self.errors.push(DescriptionError::DuplicateKey {
                    pointer: pointer.clone(),
                    first_line: self.line(first),
                    second_line: self.line(value),
                });
            }
            self.search(value.get(), &pointer);
        }
    }

    fn search_array(&mut self, fragment: &'a str, pointer: &str) {
        let Ok(values) = serde_json::from_str::<Vec<&RawValue>>(fragment) else {
            return;
        };
        for (index, value) in values.into_iter().enumerate() {
            self.search(value.get(), &format!("{pointer}/{index}"));
        }
    }

    /// Returns the line of a value. Called only for errors, as it counts from the start of the
    /// text: for all values of a description, the time would grow with the square of its length.
    fn line(&self, value: &RawValue) -> usize {
        let offset = value.get().as_ptr() as usize - self.text.as_ptr() as usize;
        let newlines = self.text.as_bytes()[..offset]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count();
        newlines + 1
    }
}
