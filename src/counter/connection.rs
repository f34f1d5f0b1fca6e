//! One connection to a counter, with the calls that wait for a reply on it.

use crate::counter::{Counted, CounterProtocol};
use crate::decision::Outcome;
use crate::threads::lock;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The counter closes connections that are idle for about 10 s or less. A call that is written while it closes would
/// be in doubt, so a connection that was idle for this long is not used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A call that was written, or is being written, and has no reply yet.
struct PendingCall {
    number: u64,
    written_at: Instant,
}

/// A connection with its pending calls, in the order in which they were written.
pub(super) struct CounterConnection {
    stream: TcpStream,
    pending: Mutex<VecDeque<PendingCall>>,
    /// No further call is written: the connection is closed after the last pending reply.
    draining: AtomicBool,
}

impl CounterConnection {
    /// Wraps a connected stream.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            pending: Mutex::default(),
            draining: AtomicBool::new(false),
        }
    }

    /// Whether another call may be written: the last one, at `last_call`, was recent, or calls are pending and the
    /// oldest of them has waited for less than `reply_timeout`.
    pub(super) fn is_usable(&self, last_call: Instant, reply_timeout: Duration) -> bool {
        match lock(&self.pending).front() {
            Some(oldest) => oldest.written_at.elapsed() < reply_timeout,
            None => last_call.elapsed() < IDLE_TIMEOUT,
        }
    }

    /// Adds a call to the pending ones and writes its bytes.
    ///
    /// # Errors
    ///
    /// If not all bytes were written. The call may be pending still; see [`Self::withdraw`].
    pub(super) fn write(&self, call: u64, now: Instant, bytes: &[u8]) -> io::Result<()> {
        // Before the bytes are written, or the reply could be read first.
        lock(&self.pending).push_back(PendingCall {
            number: call,
            written_at: now,
        });
        (&self.stream).write_all(bytes)
    }

    /// Removes the call that was added last, if it is still pending. Returns false if the reader thread has reported it
    /// already.
    pub(super) fn withdraw(&self, call: u64) -> bool {
        let mut pending = lock(&self.pending);
        let is_last = pending.back().is_some_and(|last| last.number == call);
        is_last && pending.pop_back().is_some()
    }

    /// Reads replies until the connection ends, and reports each call's result to `counted`.
    ///
    /// Calls that have no reply then are reported as timed out: each may have been added.
    pub(super) fn read(&self, protocol: &dyn CounterProtocol, counted: &Counted) {
        protocol.read(&self.stream, &mut |outcome, total| {
            self.complete_oldest(outcome, total, counted)
        });
        self.close();
        for call in std::mem::take(&mut *lock(&self.pending)) {
            counted(call.number, Outcome::Timeout, 0.0);
        }
    }

    /// Reports the reply to the oldest pending call; returns whether further replies can come.
    fn complete_oldest(&self, outcome: Outcome, total: f64, counted: &Counted) -> bool {
        let mut pending = lock(&self.pending);
        let oldest = pending.pop_front();
        let more = !pending.is_empty() || !self.draining.load(Ordering::SeqCst);
        drop(pending);
        let Some(call) = oldest else {
            return false;
        };
        counted(call.number, outcome, total);
        more
    }

    /// Closes the connection once no call is pending.
    pub(super) fn drain(&self) {
        let pending = lock(&self.pending);
        self.draining.store(true, Ordering::SeqCst);
        if pending.is_empty() {
            self.close();
        }
    }

    /// Closes the connection now.
    pub(super) fn close(&self) {
        _ = self.stream.shutdown(Shutdown::Both);
    }
}
