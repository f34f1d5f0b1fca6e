//! `docs/glossary.md` against the code: whoever looks a term up finds it where the table says.

use std::fs;
use std::path::Path;

const GLOSSARY: &str = include_str!("../../docs/glossary.md");

/// All source text of a file, or of a folder and those in it.
fn source(path: &Path) -> String {
    if path.is_file() {
        return fs::read_to_string(path).expect("text");
    }
    let entries = fs::read_dir(path).unwrap_or_else(|fault| panic!("{}: {fault}", path.display()));
    entries
        .map(|entry| source(&entry.expect("an entry").path()))
        .collect()
}

/// The texts between backticks.
fn quoted(cell: &str) -> Vec<&str> {
    cell.split('`').skip(1).step_by(2).collect()
}

fn has_word(text: &str, word: &str) -> bool {
    text.split(|c: char| !(c.is_alphanumeric() || c == '_'))
        .any(|other| other == word)
}

#[test]
fn each_term_lives_where_the_table_says() {
    let rows = GLOSSARY
        .lines()
        .filter(|line| line.starts_with("| "))
        .skip(2);
    let mut terms = Vec::new();
    for row in rows {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        let [term, meaning, place, _wire_name] = cells[..] else {
            panic!("four cells: {row}")
        };
        assert!(!meaning.is_empty(), "{term} has no meaning");
        let (path, name) = match quoted(place)[..] {
            [path] => (path, None),
            [path, name] => (path, Some(name)),
            _ => panic!("{term}: a path, and a name in it: {place}"),
        };
        let text = source(&Path::new(env!("CARGO_MANIFEST_DIR")).join(path));
        if let Some(name) = name {
            assert!(has_word(&text, name), "{term}: no {name} in {path}");
        }
        terms.push(term);
    }
    assert!(terms.len() > 30, "the table is not read: {terms:?}");
    let count = terms.len();
    terms.sort_unstable();
    terms.dedup();
    assert_eq!(terms.len(), count, "a term stands twice");
}
