//! The memory of this process as the system counts it.

use std::fs;

/// File in which Linux lists the memory of a process (proc(5)).
const STATUS_FILE: &str = "/proc/self/status";

/// The memory of this process, in KiB.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResidentMemory {
    /// All resident memory: anonymous memory, the pages of the program's files and shared memory.
    pub total_kib: u64,
    /// Anonymous memory: heap and stacks.
    pub anonymous_kib: u64,
}

impl ResidentMemory {
    /// Reads the current figures. `None` if the system does not list them.
    pub fn read() -> Option<Self> {
        Self::parse(&fs::read_to_string(STATUS_FILE).ok()?)
    }

    /// Parses the text of the status file.
    pub fn parse(status: &str) -> Option<Self> {
        Some(Self {
            total_kib: figure(status, "VmRSS:")?,
            anonymous_kib: figure(status, "RssAnon:")?,
        })
    }
}

/// Returns the figure in KiB of the line that begins with `name`.
fn figure(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
