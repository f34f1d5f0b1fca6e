//! JSON as OpenAPI requires it: an object that has a key twice is an error, where `serde_json` keeps the last value.

use super::error::{DescriptionError, DescriptionErrors};
use super::references::escape;
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt;

/// The entries of an object in order, each value as it is in the text.
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

/// Parses JSON. The errors name both lines of every key that an object has twice.
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

/// Finds keys that an object has twice.
struct DuplicateFinder<'a> {
    text: &'a str,
    errors: Vec<DescriptionError>,
}

impl<'a> DuplicateFinder<'a> {
    /// Searches `part`, a slice of the text, at the JSON pointer `place`.
    fn search(&mut self, part: &'a str, place: &str) {
        match part.trim_start().as_bytes().first() {
            Some(b'{') => self.search_object(part, place),
            Some(b'[') => self.search_array(part, place),
            _ => {}
        }
    }

    fn search_object(&mut self, part: &'a str, place: &str) {
        let Ok(Entries(entries)) = serde_json::from_str(part) else {
            return;
        };
        let mut seen = HashMap::new();
        for (key, value) in entries {
            let place = format!("{place}/{}", escape(&key));
            if let Some(first) = seen.insert(key, value) {
                self.errors.push(DescriptionError::DuplicateKey {
                    place: place.clone(),
                    first_line: self.line(first),
                    second_line: self.line(value),
                });
            }
            self.search(value.get(), &place);
        }
    }

    fn search_array(&mut self, part: &'a str, place: &str) {
        let Ok(values) = serde_json::from_str::<Vec<&RawValue>>(part) else {
            return;
        };
        for (index, value) in values.into_iter().enumerate() {
            self.search(value.get(), &format!("{place}/{index}"));
        }
    }

    /// The line of a value, counted from the start of the text: only for errors, as the time for all values of a long
    /// description would grow with the square of its length.
    fn line(&self, value: &RawValue) -> usize {
        let offset = value.get().as_ptr() as usize - self.text.as_ptr() as usize;
        let newlines = self.text.as_bytes()[..offset]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count();
        newlines + 1
    }
}
