//! Checks that `docs/on-call.md` and `docs/leases-operations.md` list every message that the code
//! logs, and no other.

use crate::source_text::{rust_files, string_literal, SourceFile};
use std::collections::BTreeSet;

const ON_CALL: &str = include_str!("../../docs/on-call.md");
const LEASES: &str = include_str!("../../docs/leases-operations.md");

/// Logging macros, and the level that the pages give for each.
const LEVELS: &[(&str, &str)] = &[
    ("info!(", "INFO"),
    ("warn!(", "WARN"),
    ("error!(", "ERROR"),
    ("crit!(", "CRIT"),
];

/// The level and the text of a message.
type LogMessage = (String, String);

/// Returns the messages that a file logs.
fn logged_messages(file: &SourceFile) -> Vec<LogMessage> {
    let mut messages = Vec::new();
    for (macro_name, level) in LEVELS {
        for (start, _) in file.text.match_indices(macro_name) {
            let before = file.text[..start].chars().next_back();
            if before.is_some_and(|c| c.is_alphanumeric() || c == '_') {
                continue;
            }
            let call = &file.text[start + macro_name.len()..];
            let (_logger, message) = call.split_once(',').unwrap_or_else(|| {
                panic!(
                    "{}: expected a logger and a message in {macro_name}",
                    file.path
                )
            });
            let message = message.trim_start();
            assert!(
                message.starts_with('"'),
                "{}: expected a string literal as the message, got {}",
                file.path,
                message.lines().next().unwrap_or_default()
            );
            messages.push(((*level).to_owned(), string_literal(message).0.to_owned()));
        }
    }
    messages
}

/// Returns the messages that the tables of a page list, in rows whose first cell is a level.
fn listed_messages(page: &str) -> Vec<LogMessage> {
    let mut messages = Vec::new();
    for row in page.lines().filter(|line| line.starts_with("| ")) {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        if !LEVELS.iter().any(|(_, level)| cells[0] == *level) {
            continue;
        }
        for message in cells[1].split('`').skip(1).step_by(2) {
            messages.push((cells[0].to_owned(), message.to_owned()));
        }
    }
    messages
}

#[test]
fn pages_list_every_message_that_the_code_logs_and_no_other() {
    let logged: BTreeSet<LogMessage> = rust_files("src").iter().flat_map(logged_messages).collect();
    assert!(
        logged.len() > 40,
        "expected more than 40 messages in the source, found {logged:?}"
    );
    let listed: BTreeSet<LogMessage> = listed_messages(ON_CALL)
        .into_iter()
        .chain(listed_messages(LEASES))
        .collect();
    let missing: Vec<_> = logged.difference(&listed).collect();
    let unknown: Vec<_> = listed.difference(&logged).collect();
    assert!(
        missing.is_empty() && unknown.is_empty(),
        "not on the pages: {missing:#?}\nnot in the code: {unknown:#?}"
    );
}
