//! Another process of the same limiter, as during an upgrade.

use super::uncharged::ResidentPages;
use rustix::io::Errno;
use std::fs;
use std::io::{self, ErrorKind};

/// Another process of the same limiter, whose memory counts against the same limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherProcess {
    /// Its process id; none if the system does not tell.
    pub id: Option<u32>,
}

impl OtherProcess {
    /// Whether the process still holds memory. False if the system does not tell.
    pub fn holds_memory(self) -> bool {
        let Some(path) = self.statm_file() else {
            return false;
        };
        match fs::read_to_string(path) {
            // A process that has ended and that its parent has not waited for has no pages.
            Ok(statm) => ResidentPages::parse(&statm).is_some_and(|pages| pages.total > 0),
            Err(error) => !is_absent(&error),
        }
    }

    /// Returns the path of the file in which Linux gives the memory of the process in pages (proc(5)).
    pub(super) fn statm_file(self) -> Option<String> {
        self.id.map(|id| format!("/proc/{id}/statm"))
    }
}

/// Whether an error of a process's file states that there is no such process. Others, such as a lack of
/// file descriptors, tell nothing of it.
fn is_absent(error: &io::Error) -> bool {
    error.kind() == ErrorKind::NotFound || Errno::from_io_error(error) == Some(Errno::SRCH)
}
