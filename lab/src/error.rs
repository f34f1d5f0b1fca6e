//! Errors that end a run of `mossrill-lab`.

use crate::scenario::ScenarioError;
use std::io;
use std::path::PathBuf;

/// Errors that end a run of `mossrill-lab`.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A scenario file is unreadable or invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A file or folder could not be read or written, or a program could not be started.
    #[error("{}: {source}", path.display())]
    Path {
        /// The file, folder or program.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file of predictions is malformed.
    #[error("{}: {source}", path.display())]
    Predictions {
        /// The file.
        path: PathBuf,
        /// The parse error with line and reason.
        source: Box<toml::de::Error>,
    },
    /// A child process could not be started, or a message could not be written to it.
    #[error("{child}: {source}")]
    Child {
        /// The child process.
        child: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A child process was started without pipes for its standard input and output.
    #[error("{child}: child process has no pipes for its standard input and output")]
    NoPipes {
        /// The child process.
        child: String,
    },
    /// A child process did not reply in time, or closed its output.
    #[error("{child}: no reply from the child process: {source}")]
    NoReply {
        /// The child process.
        child: String,
        /// Whether the wait timed out or the output was closed.
        source: crossbeam_channel::RecvTimeoutError,
    },
    /// A child process sent another reply than the expected one.
    #[error("child process sent an unexpected reply: expected {expected}, got {got}")]
    UnexpectedReply {
        /// Description of the expected reply.
        expected: &'static str,
        /// The reply that came.
        got: String,
    },
    /// The first message to a child process could not be parsed.
    #[error("first message to a child process is malformed: {0}")]
    Start(serde_json::Error),
    /// A message or report could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The operating system refused a thread, a socket or a signal.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A histogram was created with invalid bounds.
    #[error("invalid histogram bounds: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// Two histograms could not be added.
    #[error("histograms could not be added: {0}")]
    HistogramSum(#[from] hdrhistogram::AdditionError),
    /// A thread of the load generator panicked.
    #[error("a thread of the load generator panicked")]
    WorkerPanicked,
    /// A limiter process exited before it was ready.
    #[error("limiter {limiter} exited before it was ready: {status}: {log}")]
    LimiterEnded {
        /// Number of the limiter.
        limiter: u32,
        /// Exit status of the process.
        status: std::process::ExitStatus,
        /// Log of the process.
        log: String,
    },
    /// A limiter process was not ready in time.
    #[error("limiter {limiter} was not ready in time")]
    LimiterNotReady {
        /// Number of the limiter.
        limiter: u32,
    },
    /// A thread of a run has panicked.
    #[error("a thread of the run has panicked")]
    Panicked,
    /// Rules were broken in so many runs of a soak.
    #[error("rules were broken in {0} runs")]
    RulesBroken(usize),
    /// The id of a process does not name a process that can be signalled.
    #[error("no process with this id")]
    NoProcess,
    /// No two free ports were found for a limiter process.
    #[error("found no two free ports for a limiter process")]
    NoFreePorts,
}

impl LabError {
    /// Returns a function that wraps an I/O error on this file, folder or program.
    pub fn path(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        |source| Self::Path { path, source }
    }

    /// Creates the error for a reply other than the expected one.
    pub fn unexpected(expected: &'static str, got: &impl std::fmt::Debug) -> Self {
        Self::UnexpectedReply {
            expected,
            got: format!("{got:?}"),
        }
    }
}
