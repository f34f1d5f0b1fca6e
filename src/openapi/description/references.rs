//! References (`$ref`) within a description.

use super::error::Problem;
use serde_json::Value;

/// The most references that are followed one after another; a longer chain is taken for a cycle.
const MAX_HOPS: usize = 16;

/// Keys whose values are data, in which `$ref` is no reference.
const DATA_KEYS: [&str; 5] = ["example", "examples", "default", "enum", "const"];

/// What a chain of references leads to.
pub(super) enum Resolved<'a> {
    /// This value.
    Value(&'a Value),
    /// Nothing; [`unresolved`] finds the reference.
    Nothing,
    /// Itself.
    Cycle,
}

/// Follows references from `value`.
pub(super) fn resolve<'a>(root: &'a Value, mut value: &'a Value) -> Resolved<'a> {
    for _ in 0..MAX_HOPS {
        let Some(reference) = value.get("$ref").and_then(Value::as_str) else {
            return Resolved::Value(value);
        };
        match target(root, reference) {
            Some(next) => value = next,
            None => return Resolved::Nothing,
        }
    }
    Resolved::Cycle
}

fn target<'a>(root: &'a Value, reference: &str) -> Option<&'a Value> {
    root.pointer(reference.strip_prefix('#')?)
}

/// Finds the references in `value` that lead to nothing in the description, with their places. References to other
/// documents are among them, as a limiter fetches none.
pub(super) fn unresolved(root: &Value) -> Vec<(String, Problem)> {
    let mut found = Vec::new();
    search(root, root, "", &mut found);
    found
}

fn search(root: &Value, value: &Value, place: &str, found: &mut Vec<(String, Problem)>) {
    match value {
        Value::Object(entries) => {
            for (key, value) in entries {
                search_entry(root, key, value, place, found);
            }
        }
        Value::Array(values) => {
            for (index, value) in values.iter().enumerate() {
                search(root, value, &format!("{place}/{index}"), found);
            }
        }
        _ => {}
    }
}

fn search_entry(
    root: &Value,
    key: &str,
    value: &Value,
    place: &str,
    found: &mut Vec<(String, Problem)>,
) {
    if DATA_KEYS.contains(&key) {
        return;
    }
    match value {
        Value::String(reference) if key == "$ref" => {
            if target(root, reference).is_none() {
                let problem = Problem::UnresolvedReference(reference.clone());
                found.push((place.to_owned(), problem));
            }
        }
        _ => search(root, value, &format!("{place}/{}", escape(key)), found),
    }
}

/// Escapes a key for a JSON pointer (RFC 6901).
pub(super) fn escape(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}
