//! The operators' line: one call to a connection, answered within a second however busy the limiter is.
//!
//! What a call says and how it is answered stands here, without a socket; [`line`] listens. Metrics are counters
//! that are read without the core. What changes something goes to the core by a queue that it looks at first.

pub mod line;

use crate::decision::ServerId;
use crate::metrics::Metrics;
use std::fmt::Write;

/// The longest call that makes sense: the longest word, a blank and the id of a ticket node.
pub const LONGEST_CALL: usize = 512;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Whether this process can serve.
    Ready,
    /// The figures.
    ShowStat,
    /// The members of the fleet.
    ShowFleet,
    /// Nothing more to this ticket node.
    DisableServer(ServerId),
    /// This ticket node is back.
    EnableServer(ServerId),
}

impl Call {
    /// Reads a line without its end, or says what is wrong with it.
    pub fn parse(line: &[u8]) -> Result<Call, &'static str> {
        let text = std::str::from_utf8(line).map_err(|_| "the call is not text")?;
        let mut words = text.split_ascii_whitespace();
        let call = match (words.next(), words.next()) {
            (None, _) => return Err("an empty line is no call"),
            (Some("ready"), None) => Call::Ready,
            (Some("show-stat"), None) => Call::ShowStat,
            (Some("show-fleet"), None) => Call::ShowFleet,
            (Some("disable-server"), Some(id)) => Call::DisableServer(id.into()),
            (Some("enable-server"), Some(id)) => Call::EnableServer(id.into()),
            (Some("disable-server" | "enable-server"), None) => {
                return Err("the id of a server is missing")
            }
            (Some("ready" | "show-stat" | "show-fleet"), Some(_)) => {
                return Err("this call takes no further word")
            }
            _ => return Err(
                "unknown call: ready, show-stat, show-fleet, disable-server ID or enable-server ID",
            ),
        };
        match words.next() {
            None => Ok(call),
            Some(_) => Err("this call takes no further word"),
        }
    }
}

/// The answer to a call that was carried out, or not, and why.
pub fn word(done: Result<(), &str>) -> String {
    match done {
        Ok(()) => "YES\n".into(),
        Err(why) => format!("NO {why}\n"),
    }
}

/// The answer to `show-stat`: this process's figures, and those of its place in the fleet.
pub fn stat(figures: &Metrics, more: Vec<(String, u64)>) -> String {
    let mut text = String::new();
    for (name, value) in figures.all().into_iter().chain(more) {
        _ = writeln!(text, "limiter.{name}={value}");
    }
    text + "END\n"
}
