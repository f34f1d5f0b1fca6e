//! Checks `deploy/balancer.toml` against the source files that it names.

use crate::source_text::rust_files;
use std::collections::BTreeSet;
use std::path::Path;

const DEPLOY_FILE: &str = include_str!("../../deploy/balancer.toml");
/// Folder with the decision engine.
const DECISION_FOLDER: &str = "src/decision";

/// The paths that a key of the deploy file lists.
fn listed_paths(key: &str) -> Vec<String> {
    let table: toml::Table = DEPLOY_FILE.parse().expect("the deploy file is TOML");
    let paths = table[key]
        .as_array()
        .expect("the value of the key is a list");
    paths
        .iter()
        .map(|path| {
            path.as_str()
                .expect("the entries of the list are strings")
                .to_owned()
        })
        .collect()
}

#[test]
fn policy_lists_each_file_of_the_decision_engine_once_and_no_other() {
    let listed = listed_paths("policy");
    let unique: BTreeSet<String> = listed.iter().cloned().collect();
    assert_eq!(
        unique.len(),
        listed.len(),
        "the list has duplicate entries: {listed:?}"
    );
    let present = rust_files(DECISION_FOLDER).into_iter();
    let present: BTreeSet<String> = present.map(|file| file.path).collect();
    assert_eq!(
        unique, present,
        "the list on the left differs from the files of {DECISION_FOLDER}"
    );
}

#[test]
fn node_lists_only_files_and_folders_that_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let listed = listed_paths("node");
    assert!(!listed.is_empty(), "the key `node` lists no paths");
    for path in listed {
        assert!(root.join(&path).exists(), "{path} does not exist");
    }
}
