//! Checks `docs/glossary.md` against the code: each identifier that the table names occurs at the
//! path that it gives.

use std::fs;
use std::path::Path;

const GLOSSARY: &str = include_str!("../../docs/glossary.md");

/// Returns the text of a file, or of all files in a folder and its subfolders.
fn source_text(path: &Path) -> String {
    if path.is_file() {
        return fs::read_to_string(path).expect("the file is UTF-8");
    }
    let entries = fs::read_dir(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    entries
        .map(|entry| source_text(&entry.expect("the entry is readable").path()))
        .collect()
}

/// Returns the texts between backticks.
fn backticked(cell: &str) -> Vec<&str> {
    cell.split('`').skip(1).step_by(2).collect()
}

/// Whether an identifier occurs in a text as a whole word.
fn has_identifier(text: &str, identifier: &str) -> bool {
    text.split(|c: char| !(c.is_alphanumeric() || c == '_'))
        .any(|word| word == identifier)
}

#[test]
fn each_identifier_of_the_table_occurs_at_its_path() {
    let rows = GLOSSARY
        .lines()
        .filter(|line| line.starts_with("| "))
        .skip(2);
    let mut terms = Vec::new();
    for row in rows {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        let [term, meaning, place, _wire_name] = cells[..] else {
            panic!("expected four cells in the row {row}")
        };
        assert!(!meaning.is_empty(), "{term} has no meaning");
        let (path, name) = match backticked(place)[..] {
            [path] => (path, None),
            [path, name] => (path, Some(name)),
            _ => panic!("{term}: expected a path and at most one identifier, got {place}"),
        };
        let text = source_text(&Path::new(env!("CARGO_MANIFEST_DIR")).join(path));
        if let Some(name) = name {
            assert!(has_identifier(&text, name), "{term}: no {name} in {path}");
        }
        terms.push(term);
    }
    assert!(
        terms.len() > 30,
        "expected more than 30 terms in the table, got {terms:?}"
    );
    let count = terms.len();
    terms.sort_unstable();
    terms.dedup();
    assert_eq!(terms.len(), count, "the table has duplicate terms");
}
