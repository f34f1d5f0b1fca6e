//! The admin interface: one call a connection, answered within a second however busy the limiter is.
//!
//! This module parses calls and renders answers without a socket; `listener` accepts connections, and `line` executes
//! calls. Metrics are read without the core. Calls that change something go to the core by a queue of their own, which it
//! reads first.

pub mod line;
mod listener;

use crate::decision::ServerId;
use crate::metrics::Metrics;
use std::fmt::Write;
use thiserror::Error;

/// The longest call, in bytes: the longest command, a blank and the id of an upstream server.
pub const LONGEST_CALL: usize = 512;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Asks whether this process can serve.
    Ready,
    /// Asks for the metrics.
    ShowStat,
    /// Asks for the members of the fleet.
    ShowFleet,
    /// Takes an upstream server out: no request is forwarded to it.
    DisableServer(ServerId),
    /// Puts an upstream server back.
    EnableServer(ServerId),
}

/// Why a call was not executed. The text goes to the operator.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum CallError {
    /// The line is not UTF-8.
    #[error("the call is not text")]
    NotText,
    /// The line has no words.
    #[error("an empty line is no call")]
    Empty,
    /// A server command without an id.
    #[error("the id of a server is missing")]
    MissingServerId,
    /// More words than the call takes.
    #[error("this call takes no further word")]
    UnexpectedWord,
    /// The first word is no command.
    #[error("unknown call: ready, show-stat, show-fleet, disable-server ID or enable-server ID")]
    Unknown,
    /// No line end was received in time.
    #[error("no whole line in time")]
    Incomplete,
    /// The line is longer than [`LONGEST_CALL`].
    #[error("the line is too long")]
    TooLong,
    /// The other process of a hand-over is the fleet's member now.
    #[error("this process does not speak for its limiter now")]
    NotMember,
    /// The limiter is configured without a fleet.
    #[error("no fleet is configured")]
    NoFleet,
    /// The process has no endpoint list yet, or is shutting down.
    #[error("this process can't serve yet")]
    NotReady,
    /// Service discovery never listed the server.
    #[error("no server of this id was ever listed")]
    UnknownServer,
    /// The core did not confirm the command in time.
    #[error("not taken in time; it may still be")]
    Unconfirmed,
}

impl Call {
    /// Parses a line without its end.
    ///
    /// # Errors
    ///
    /// If the line is not UTF-8, or is none of the calls with exactly the words that it takes.
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

/// The answer to a call without other output: `YES`, or `NO` with the reason.
pub fn acknowledgement(result: Result<(), &str>) -> String {
    match result {
        Ok(()) => "YES\n".into(),
        Err(reason) => format!("NO {reason}\n"),
    }
}

/// The answer to `show-stat`: the metrics of this process, and those of its place in the fleet.
pub fn render_metrics(metrics: &Metrics, fleet_metrics: Vec<(String, u64)>) -> String {
    let mut text = String::new();
    for (name, value) in metrics.all().into_iter().chain(fleet_metrics) {
        _ = writeln!(text, "limiter.{name}={value}");
    }
    text + "END\n"
}
