//! The admin interface: one call per connection, answered within a second even if the limiter is
//! busy.
//!
//! This module parses calls and renders answers, without I/O. `listener` accepts connections, and
//! `line` executes calls. Metrics are read without involving the core. Calls that change state are
//! sent to the core over a separate queue, which the core reads before other input.

pub mod line;
mod listener;

use crate::decision::ServerId;
use crate::metrics::Metrics;
use std::fmt::Write;
use thiserror::Error;

/// Maximum length of a call, in bytes: the longest command, a space and the id of an upstream
/// server.
pub const MAX_CALL_BYTES: usize = 512;

/// A call from an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Queries whether this process can serve.
    Ready,
    /// Queries the metrics.
    ShowStat,
    /// Queries the members of the fleet.
    ShowFleet,
    /// Bans an upstream server, so that no request is forwarded to it.
    DisableServer(ServerId),
    /// Lifts the ban of an upstream server.
    EnableServer(ServerId),
}

/// The reason why a call was not executed. Its text is sent to the operator.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum CallError {
    /// The line is not UTF-8.
    #[error("the call is not text")]
    NotText,
    /// The line contains no words.
    #[error("an empty line is no call")]
    Empty,
    /// The id is missing after `disable-server` or `enable-server`.
    #[error("the id of a server is missing")]
    MissingServerId,
    /// The line has more words than the call takes.
    #[error("this call takes no further word")]
    UnexpectedWord,
    /// The first word is not a command.
    #[error("unknown call: ready, show-stat, show-fleet, disable-server ID or enable-server ID")]
    Unknown,
    /// No line end was received in time.
    #[error("no whole line in time")]
    Incomplete,
    /// The line is longer than [`MAX_CALL_BYTES`].
    #[error("the line is too long")]
    TooLong,
    /// During an upgrade, the other process is the active member of the fleet.
    #[error("this process does not speak for its limiter now")]
    NotMember,
    /// The limiter is configured without a fleet.
    #[error("no fleet is configured")]
    NoFleet,
    /// The process has no endpoint list yet, or is shutting down.
    #[error("this process can't serve yet")]
    NotReady,
    /// Service discovery has never listed the server.
    #[error("no server of this id was ever listed")]
    UnknownServer,
    /// The core did not confirm the command in time.
    #[error("not taken in time; it may still be")]
    Unconfirmed,
}

impl Call {
    /// Parses a line, which must not contain the line end.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is not UTF-8, or is not one of the calls with exactly the words
    /// that the call takes.
    pub fn parse(line: &[u8]) -> Result<Call, CallError> {
        let text = std::str::from_utf8(line).map_err(|_| CallError::NotText)?;
        let mut words = text.split_ascii_whitespace();
        let call = match (words.next(), words.next()) {
            (None, _) => return Err(CallError::Empty),
            (Some("ready"), None) => Call::Ready,
            (Some("show-stat"), None) => Call::ShowStat,
            (Some("show-fleet"), None) => Call::ShowFleet,
            (Some("disable-server"), Some(id)) => Call::DisableServer(id.into()),
            (Some("enable-server"), Some(id)) => Call::EnableServer(id.into()),
            (Some("disable-server" | "enable-server"), None) => {
                return Err(CallError::MissingServerId)
            }
            (Some("ready" | "show-stat" | "show-fleet"), Some(_)) => {
                return Err(CallError::UnexpectedWord)
            }
            _ => return Err(CallError::Unknown),
        };
        match words.next() {
            None => Ok(call),
            Some(_) => Err(CallError::UnexpectedWord),
        }
    }
}

/// Renders the answer to a call that has no other output: `YES`, or `NO` with the reason.
pub fn acknowledgement(result: Result<(), &str>) -> String {
    match result {
        Ok(()) => "YES\n".into(),
        Err(reason) => format!("NO {reason}\n"),
    }
}

/// Renders the answer to `show-stat`: the metrics of this process, then its fleet membership
/// metrics.
pub fn render_metrics(metrics: &Metrics, fleet_metrics: Vec<(String, u64)>) -> String {
    let mut text = String::new();
    for (name, value) in metrics.all().into_iter().chain(fleet_metrics) {
        _ = writeln!(text, "limiter.{name}={value}");
    }
    text + "END\n"
}
