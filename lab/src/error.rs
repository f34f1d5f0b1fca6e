//! Why a run of the lab can't go on.

use crate::scenario::ScenarioError;
use std::io;
use std::path::PathBuf;

/// Why a run of the lab can't go on.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A scenario is refused.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A file or folder can't be read or written, or a program can't be started.
    #[error("{}: {source}", path.display())]
    Path {
        /// The file, folder or program.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file of predictions is not what it should be.
    #[error("{}: {source}", path.display())]
    Predictions {
        /// The file.
        path: PathBuf,
        /// Line and reason.
        source: Box<toml::de::Error>,
    },
    /// A child process can't be started or written to.
    #[error("{child}: {source}")]
    Child {
        /// The child process.
        child: String,
        /// What the system said.
        source: io::Error,
    },
    /// A child process has no pipes.
    #[error("{child}: no pipes")]
    NoPipes {
        /// The child process.
        child: String,
    },
    /// A child process did not reply in time, or has ended.
    #[error("{child}: no reply: {source}")]
    NoReply {
        /// The child process.
        child: String,
        /// Which of the two.
        source: crossbeam_channel::RecvTimeoutError,
    },
    /// A child process replied with another message than the one that is due.
    #[error("wanted {wanted}, got {got}")]
    UnexpectedReply {
        /// What is due.
        wanted: &'static str,
        /// The reply.
        got: String,
    },
    /// The first message to a child process can't be read.
    #[error("start of a child process: {0}")]
    Start(serde_json::Error),
    /// A message or report can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The system refuses a thread, a socket or a signal.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bounds of a histogram are wrong.
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// Histograms can't be added.
    #[error("histograms: {0}")]
    HistogramSum(#[from] hdrhistogram::AdditionError),
    /// A thread of the load generator has panicked.
    #[error("a worker of the load generator panicked")]
    WorkerPanicked,
    /// A limiter ended as it started.
    #[error("limiter {limiter} ended at its start: {status}: {log}")]
    LimiterEnded {
        /// Its number.
        limiter: u32,
        /// Its exit status.
        status: std::process::ExitStatus,
        /// What it logged.
        log: String,
    },
    /// A limiter is not ready in time.
    #[error("limiter {limiter} did not serve in time")]
    LimiterNotReady {
        /// Its number.
        limiter: u32,
    },
    /// A process has ended.
    #[error("no such process")]
    NoProcess,
    /// No pair of ports is free.
    #[error("no free ports")]
    NoFreePorts,
}

impl LabError {
    /// A file or folder that can't be read or written, or a program that can't be started.
    pub fn path(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        |source| Self::Path { path, source }
    }

    /// A reply that is not the one that is due.
    pub fn unexpected(wanted: &'static str, got: &impl std::fmt::Debug) -> Self {
        Self::UnexpectedReply {
            wanted,
            got: format!("{got:?}"),
        }
    }
}
