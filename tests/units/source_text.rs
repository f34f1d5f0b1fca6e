//! Reads the source text of the project for checks on it.

use std::fs;
use std::path::Path;

/// A Rust source file.
pub struct SourceFile {
    /// Path from the root of the repository, with slashes.
    pub path: String,
    /// Text of the file.
    pub text: String,
}

impl SourceFile {
    /// Whether the file belongs to a program and not to the library.
    pub fn belongs_to_a_program(&self) -> bool {
        ["src/main.rs", "src/cli/", "src/bin/"]
            .iter()
            .any(|start| self.path.starts_with(start))
    }

    /// Returns the text without comments and with the string literals emptied.
    pub fn code(&self) -> String {
        let mut code = String::with_capacity(self.text.len());
        let mut rest = self.text.as_str();
        while let Some(first) = rest.chars().next() {
            if rest.starts_with("//") {
                rest = rest.find('\n').map_or("", |end| &rest[end..]);
            } else if rest.starts_with("'\"'") || rest.starts_with("'\\\"'") {
                rest = &rest[rest
                    .find("\"'")
                    .expect("the character literal has a closing quote")
                    + 2..];
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

/// Returns the content of the string literal at the beginning of `text`, with its escapes, and the
/// text after the literal.
pub fn string_literal(text: &str) -> (&str, &str) {
    let body = text
        .strip_prefix('"')
        .expect("the text begins with a string literal");
    let mut escaped = false;
    for (index, character) in body.char_indices() {
        match character {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return (&body[..index], &body[index + 1..]),
            _ => {}
        }
    }
    panic!("unterminated string literal: {body}")
}

/// Returns all Rust files in a folder of the repository and in its subfolders, sorted by path.
pub fn rust_files(folder: &str) -> Vec<SourceFile> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    let mut folders = vec![folder.to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(root.join(&folder)).expect("the folder is readable") {
            let entry = entry.expect("the entry is readable");
            let path = format!("{folder}/{}", entry.file_name().to_string_lossy());
            if entry
                .file_type()
                .expect("the type of the entry is readable")
                .is_dir()
            {
                folders.push(path);
            } else if path.ends_with(".rs") {
                let text = fs::read_to_string(entry.path()).expect("the file is UTF-8");
                files.push(SourceFile { path, text });
            }
        }
    }
    files.sort_by(|a, b| a.path.cmp(&b.path));
    files
}
