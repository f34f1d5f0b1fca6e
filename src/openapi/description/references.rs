//! References (`$ref`) within a description.

use super::error::Problem;
use serde_json::Value;

/// Maximum length of a chain of references. A longer chain is reported as a cycle.
const MAX_CHAIN_LENGTH: usize = 16;

/// Keys whose values are data, in which a `$ref` key is not a reference.
const DATA_KEYS: [&str; 5] = ["example", "examples", "default", "enum", "const"];

/// The end of a chain of references.
pub(super) enum Resolved<'a> {
    /// The chain ends at this value.
    Value(&'a Value),
    /// A reference has no target; [`unresolved`] reports it.
    Unresolved,
    /// The chain is cyclic.
    Cycle,
}

/// Follows references from `value` to a value that is not a reference.
pub(super) fn resolve<'a>(root: &'a Value, mut value: &'a Value) -> Resolved<'a> {
    for _ in 0..MAX_CHAIN_LENGTH {
        let Some(reference) = value.get("$ref").and_then(Value::as_str) else {
            return Resolved::Value(value);
        };
        match target(root, reference) {
            Some(next) => value = next,
            None => return Resolved::Unresolved,
        }
    }
    Resolved::Cycle
}

fn target<'a>(root: &'a Value, reference: &str) -> Option<&'a Value> {
    root.pointer(reference.strip_prefix('#')?)
}

/// Finds the references that have no target in the description. Returns them with JSON pointers to
/// their locations. References to other documents are included, as the limiter does not fetch
/// documents.
pub(super) fn unresolved(root: &Value) -> Vec<(String, Problem)> {
    let mut found = Vec::new();
    search(root, root, "", &mut found);
    found
}

fn search(root: &Value, value: &Value, pointer: &str, found: &mut Vec<(String, Problem)>) {
    match value {
        Value::Object(entries) => {
            for (key, value) in entries {
                search_entry(root, key, value, pointer, found);
            }
        }
        Value::Array(values) => {
            for (index, value) in values.iter().enumerate() {
                search(root, value, &format!("{pointer}/{index}"), found);
            }
        }
        _ => {}
    }
}

fn search_entry(
    root: &Value,
    key: &str,
    value: &Value,
    pointer: &str,
    found: &mut Vec<(String, Problem)>,
) {
    if DATA_KEYS.contains(&key) {
        return;
    }
    match value {
        Value::String(reference) if key == "$ref" => {
            if target(root, reference).is_none() {
                let problem = Problem::UnresolvedReference(reference.clone());
                found.push((pointer.to_owned(), problem));
            }
        }
        _ => search(root, value, &format!("{pointer}/{}", escape(key)), found),
    }
}

/// Escapes a key for a JSON pointer (RFC 6901).
pub(super) fn escape(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}
