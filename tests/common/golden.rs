//! Comparison with recorded files, which are never written by a test.

use std::path::PathBuf;

/// Formats bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the text of the recorded file of this name.
///
/// # Panics
///
/// If the file can't be read.
pub fn recorded(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/recorded")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Compares a text with the recorded file of this name.
///
/// # Panics
///
/// If they differ. The message has the first lines that differ, recorded and new, and the whole new
/// text.
pub fn assert_matches(name: &str, actual: &str) {
    let expected = recorded(name);
    if expected == actual {
        return;
    }
    let first = expected
        .lines()
        .zip(actual.lines())
        .find(|(expected, actual)| expected != actual);
    panic!("{name}: differs from the recorded file, first in {first:?}\n----\n{actual}----");
}
