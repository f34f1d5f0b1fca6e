//! Reads the source text of the project for checks on it.

use std::fs;
use std::path::Path;

/// One file with Rust code.
pub struct SourceFile {
    /// Its path from the root of the repository, with slashes.
    pub path: String,
    /// Its text.
    pub text: String,
}

impl SourceFile {
    /// Whether it belongs to a program and not to the library.
    pub fn belongs_to_a_program(&self) -> bool {
        ["src/main.rs", "src/cli/", "src/bin/"]
            .iter()
            .any(|start| self.path.starts_with(start))
    }

    /// The text without comments and with empty string literals.
    pub fn code(&self) -> String {
        let mut code = String::with_capacity(self.text.len());
        let mut rest = self.text.as_str();
        while let Some(first) = rest.chars().next() {
            if rest.starts_with("//") {
                rest = rest.find('\n').map_or("", |end| &rest[end..]);
            } else if rest.starts_with("'\"'") || rest.starts_with("'\\\"'") {
                rest = &rest[rest.find("\"'").expect("found above") + 2..];
            } else if first == '"' {
                code.push_str("\"\"");
                rest = string_literal(rest).1;
            } else {
                code.push(first);
                rest = &rest[first.len_utf8()..];
            }
        }
        code
    }
}

/// The text of the string literal at the beginning of `text`, as it is written, and what follows.
pub fn string_literal(text: &str) -> (&str, &str) {
    let body = text.strip_prefix('"').expect("a string literal");
    let mut escaped = false;
    for (index, character) in body.char_indices() {
        match character {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return (&body[..index], &body[index + 1..]),
            _ => {}
        }
    }
    panic!("a string literal without an end: {body}")
}

/// All Rust files in a folder of the repository and in its subfolders, in the order of their paths.
pub fn rust_files(folder: &str) -> Vec<SourceFile> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    let mut folders = vec![folder.to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(root.join(&folder)).expect("a folder") {
            let entry = entry.expect("an entry");
            let path = format!("{folder}/{}", entry.file_name().to_string_lossy());
            if entry.file_type().expect("a type").is_dir() {
                folders.push(path);
            } else if path.ends_with(".rs") {
                let text = fs::read_to_string(entry.path()).expect("text");
                files.push(SourceFile { path, text });
            }
        }
    }
    files.sort_by(|a, b| a.path.cmp(&b.path));
    files
}
