//! What the clients, servers and operators of a soak see, in the order of time.

use serde::Serialize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time since the start of a run, in microseconds.
pub type Micros = u64;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Class {
    /// It may be repeated.
    Look,
    /// Servers of one group discard repeats of its key.
    Hold,
    /// It must not run twice.
    Pay,
}

impl Class {
    /// Returns the name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Look => "look",
            Self::Hold => "hold",
            Self::Pay => "pay",
        }
    }
}

/// A final answer, as a client reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Reply {
    /// The value that a server makes for this request.
    Served,
    /// Another value.
    WrongValue,
    /// The beginning of a value, before the connection ended.
    CutOff,
    /// `-BUSY`.
    Rejected,
    /// Any other error.
    Failed,
}

/// A signal that an operator sends to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Signalled {
    /// SIGTERM.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGHUP.
    Reload,
}

/// Something that was seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Event {
    /// A client has written a request.
    Sent {
        /// Number of its connection.
        connection: u64,
        /// Id of the request.
        id: String,
        /// Its class.
        class: Class,
        /// How long the client waits, in milliseconds.
        deadline_ms: u64,
        /// Number of the limiter that the client is connected to.
        limiter: usize,
    },
    /// A client that reads slowly has read the first bytes of a long value.
    Began {
        /// Number of its connection.
        connection: u64,
        /// Id of the request.
        id: String,
    },
    /// A client has read the last byte of an answer.
    Replied {
        /// Number of its connection.
        connection: u64,
        /// Id of the request.
        id: String,
        /// The answer.
        reply: Reply,
    },
    /// A connection ended before the answer to a request.
    Unanswered {
        /// Number of the connection.
        connection: u64,
        /// Id of the request.
        id: String,
    },
    /// A client closes its connection before the answer to a request.
    Left {
        /// Number of the connection.
        connection: u64,
        /// Id of the request.
        id: String,
    },
    /// A server has read the last byte of an attempt.
    Arrived {
        /// Id of the server.
        server: String,
        /// Group of servers that discard repeats of a key together.
        group: u32,
        /// Id of the request.
        id: String,
        /// When its first byte was read.
        begun_at: Micros,
        /// The time that the attempt names as left, in milliseconds.
        told_ms: u64,
    },
    /// A server has turned an attempt away, which never ran.
    TurnedAway {
        /// Id of the server.
        server: String,
        /// Id of the request.
        id: String,
    },
    /// Discovery has listed a server as draining, or no longer.
    Drains {
        /// Id of the server.
        server: String,
    },
    /// An operator has signalled a limiter's process.
    Signal {
        /// Number of the limiter.
        limiter: usize,
        /// Id of the process.
        process: u32,
        /// The signal.
        signal: Signalled,
    },
    /// A limiter starts anew, without the state of a process before.
    StartedAnew {
        /// Number of the limiter.
        limiter: usize,
    },
    /// A process of a limiter has ended.
    Ended {
        /// Number of the limiter.
        limiter: usize,
        /// Id of the process.
        process: u32,
        /// How it ended.
        status: String,
    },
    /// What all processes of a limiter hold together.
    Measured {
        /// Number of the limiter.
        limiter: usize,
        /// Resident memory, in KiB.
        resident_kib: u64,
        /// Open file descriptors.
        descriptors: u64,
    },
    /// A fault of the plan begins.
    Fault {
        /// What happens.
        text: String,
    },
}

/// An event and when it was seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Record {
    /// When it was seen.
    pub at: Micros,
    /// What was seen.
    pub event: Event,
}

/// Collects the records of a run. Clones share them.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            records: Arc::default(),
        }
    }
}

impl Recorder {
    /// Returns the time since the start of the run.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Returns when a time of the run comes.
    pub fn instant_of(&self, at: Duration) -> Instant {
        self.began + at
    }

    /// Records that an event happens now.
    pub fn note(&self, event: Event) {
        self.note_at(self.now(), event);
    }

    /// Records that an event happened at this time.
    pub fn note_at(&self, at: Micros, event: Event) {
        self.lock().push(Record { at, event });
    }

    /// Returns all records in the order of time.
    pub fn all(&self) -> Vec<Record> {
        let mut records = self.lock().clone();
        records.sort_by_key(|record| record.at);
        records
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
