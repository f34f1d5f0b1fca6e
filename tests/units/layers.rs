//! Checks the layers of `src/`: a module imports only from its own layer or from one below it.

use crate::source_text::{rust_files, SourceFile};
use std::collections::BTreeSet;

/// The layers from the bottom up, and the modules of each. A module that is not listed by its
/// whole path belongs to the layer of the module that contains it.
const LAYERS: &[&[&str]] = &[
    &["decision"],
    &[
        "clock",
        "threads",
        "metrics",
        "memory",
        "log_throttle",
        "protocol",
        "retrying_stream",
    ],
    &["membership", "quota_lease", "handover"],
    &["simulator", "openapi::description"],
    &["config"],
    &["core"],
    &["upstream", "client", "counter", "discovery", "admin"],
    &["process"],
    &["platform", "openapi"],
    &["cli"],
];

/// Known imports from a higher layer, as importing and imported module. Each of them must still
/// exist in the code, so that this list only becomes shorter.
const EXCEPTIONS: &[(&str, &str)] = &[];

/// Names that `src/lib.rs` exports from a module, and the module.
const ROOT_EXPORTS: &[(&str, &str)] = &[("Engine", "decision")];

/// Returns the number of the layer of a module path, and the module of [`LAYERS`] that contains the
/// path.
fn layer_of(path: &[String]) -> Option<(usize, &'static str)> {
    let is_within = |module: &str| {
        let module: Vec<&str> = module.split("::").collect();
        path.len() >= module.len() && module.iter().zip(path).all(|(a, b)| a == b)
    };
    let listed = LAYERS
        .iter()
        .enumerate()
        .flat_map(|(layer, modules)| modules.iter().map(move |module| (layer, *module)));
    listed
        .filter(|(_, module)| is_within(module))
        .max_by_key(|(_, module)| module.len())
}

/// Returns the module path of a source file: `client` for `src/client/mod.rs`.
fn module_path(file: &SourceFile) -> Vec<String> {
    let mut path: Vec<String> = file
        .path
        .trim_start_matches("src/")
        .trim_end_matches(".rs")
        .split('/')
        .map(str::to_owned)
        .collect();
    if path.last().is_some_and(|last| last == "mod") {
        path.pop();
    }
    path
}

/// Splits the text of a group at its commas, but not inside inner groups.
fn split_group(group: &str) -> Vec<&str> {
    let mut items = Vec::new();
    let mut depth = 0;
    let mut start = 0;
    for (index, character) in group.char_indices() {
        match character {
            '{' => depth += 1,
            '}' if depth == 0 => {
                items.push(&group[start..index]);
                return items;
            }
            '}' => depth -= 1,
            ',' if depth == 0 => {
                items.push(&group[start..index]);
                start = index + 1;
            }
            _ => {}
        }
    }
    items.push(&group[start..]);
    items
}

/// Returns the paths at the beginning of `text` behind `prefix`, with groups in braces expanded.
fn expand(prefix: &[String], text: &str) -> Vec<Vec<String>> {
    let mut path = prefix.to_vec();
    let mut rest = text.trim_start();
    loop {
        if let Some(group) = rest.strip_prefix('{') {
            return split_group(group)
                .into_iter()
                .filter(|item| !item.trim().is_empty())
                .flat_map(|item| expand(&path, item))
                .collect();
        }
        let end = rest
            .find(|c: char| !(c.is_alphanumeric() || c == '_'))
            .unwrap_or(rest.len());
        path.push(rest[..end].to_owned());
        let Some(next) = rest[end..].strip_prefix("::") else {
            return vec![path];
        };
        rest = next;
    }
}

/// Returns the paths from the root of the crate that a file names, in `use` declarations or inline.
fn imports(file: &SourceFile) -> Vec<Vec<String>> {
    let code = file.code();
    let file_module = module_path(file);
    let mut paths = Vec::new();
    for (start, marker) in code.match_indices("crate::") {
        let before = code[..start].chars().next_back();
        if before.is_none_or(|c| !(c.is_alphanumeric() || c == '_' || c == '$')) {
            paths.extend(expand(&[], &code[start + marker.len()..]));
        }
    }
    for (start, marker) in code.match_indices("mossrill::") {
        if file.belongs_to_a_program() {
            paths.extend(expand(&[], &code[start + marker.len()..]));
        }
    }
    for (start, marker) in code.match_indices("super::") {
        let levels_before = code[..start].count_repeated_suffix("super::");
        if levels_before == 0 {
            let mut parent = file_module.clone();
            let mut rest = &code[start..];
            while let Some(next) = rest.strip_prefix(marker) {
                parent.pop();
                rest = next;
            }
            // Paths from a module inside the file name items of the file's own module.
            let in_crate = |path: &Vec<String>| layer_of(path).is_some();
            paths.extend(expand(&parent, rest).into_iter().filter(in_crate));
        }
    }
    paths
}

/// Counts repetitions of a suffix.
trait CountRepeatedSuffix {
    /// Returns how many times in a row a text ends with `suffix`.
    fn count_repeated_suffix(&self, suffix: &str) -> usize;
}

impl CountRepeatedSuffix for str {
    fn count_repeated_suffix(&self, suffix: &str) -> usize {
        let mut rest = self;
        let mut count = 0;
        while let Some(next) = rest.strip_suffix(suffix) {
            rest = next;
            count += 1;
        }
        count
    }
}

/// Returns the layer and the module of a file. Programs belong to the top layer.
fn layer_of_file(file: &SourceFile) -> (usize, &'static str) {
    if file.belongs_to_a_program() {
        return (LAYERS.len() - 1, "cli");
    }
    layer_of(&module_path(file)).unwrap_or_else(|| panic!("{} is in no layer", file.path))
}

/// Returns all imports from a higher layer, as importing and imported module, and prints the file
/// of each.
fn upward_imports(files: &[SourceFile]) -> BTreeSet<(&'static str, &'static str)> {
    let mut found = BTreeSet::new();
    for file in files.iter().filter(|file| file.path != "src/lib.rs") {
        let (layer, module) = layer_of_file(file);
        for mut path in imports(file) {
            let export = ROOT_EXPORTS.iter().find(|(name, _)| path[0] == *name);
            if let Some((_, origin)) = export {
                path = vec![(*origin).to_owned()];
            }
            let Some((imported_layer, imported)) = layer_of(&path) else {
                panic!("{}: crate::{} is in no layer", file.path, path.join("::"));
            };
            if imported_layer > layer {
                println!("{} imports {}", file.path, path.join("::"));
                found.insert((module, imported));
            }
        }
    }
    found
}

#[test]
fn no_module_imports_from_a_higher_layer() {
    let files = rust_files("src");
    assert!(
        files.len() > 80,
        "expected more than 80 source files, found {}",
        files.len()
    );
    let found = upward_imports(&files);
    let known: BTreeSet<_> = EXCEPTIONS.iter().copied().collect();
    let new: Vec<_> = found.difference(&known).collect();
    assert!(
        new.is_empty(),
        "modules import from a higher layer: {new:?}"
    );
    let obsolete: Vec<_> = known.difference(&found).collect();
    assert!(
        obsolete.is_empty(),
        "EXCEPTIONS lists imports that the code does not have: {obsolete:?}"
    );
}

#[test]
fn imports_are_found_in_use_declarations_groups_and_inline_paths() {
    let file = SourceFile {
        path: "src/client/mod.rs".into(),
        text: "use crate::core::{messages::{Answer, Input}, Clock};\n// crate::cli::x\n\
               fn f() { crate::threads::spawn(\"crate::admin\"); super::config::read() }\n"
            .into(),
    };
    let found: BTreeSet<String> = imports(&file).iter().map(|path| path.join("::")).collect();
    let expected = [
        "config::read",
        "core::Clock",
        "core::messages::Answer",
        "core::messages::Input",
        "threads::spawn",
    ];
    assert_eq!(
        found.iter().map(String::as_str).collect::<Vec<_>>(),
        expected
    );
}
