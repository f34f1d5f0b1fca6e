//! One connection to a counter, with the calls that are waiting for a reply on it.

use crate::counter::{CounterProtocol, CounterReplyHandler};
use crate::decision::Outcome;
use crate::threads::lock;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Idle time after which a connection is not used again. The counter closes connections that are
/// idle for about 10 s or less, and the result of a call that is written while it does so would be
/// unknown.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A call that was written or is being written, and whose reply has not been received.
struct PendingCall {
    number: u64,
    written_at: Instant,
}

/// A connection with its pending calls, in the order in which they were written.
pub(super) struct CounterConnection {
    stream: TcpStream,
    pending: Mutex<VecDeque<PendingCall>>,
    /// Set when no further calls are written. The connection is then closed after the last pending
    /// reply.
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

    /// Whether another call may be written. If calls are pending, the oldest must have waited for
    /// less than `reply_timeout`; otherwise `last_call`, the time of the last call, must be recent.
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
    /// Returns an error if not all bytes were written. The call may still be pending; see
    /// [`Self::withdraw`].
    pub(super) fn write(&self, call: u64, now: Instant, bytes: &[u8]) -> io::Result<()> {
        // The call is added before its bytes are written, as its reply could be read right after.
        lock(&self.pending).push_back(PendingCall {
            number: call,
            written_at: now,
        });
        (&self.stream).write_all(bytes)
    }

    /// Removes this call, which was added last, if it is still pending. Returns false if the reader
    /// thread has already reported it.
    pub(super) fn withdraw(&self, call: u64) -> bool {
        let mut pending = lock(&self.pending);
        let is_last = pending.back().is_some_and(|last| last.number == call);
        is_last && pending.pop_back().is_some()
    }

    /// Reads replies until the connection ends, and reports the result of each call to `on_result`.
    ///
    /// Calls without a reply are then reported as timed out, as the counter may have added their
    /// amounts.
    pub(super) fn read(&self, protocol: &dyn CounterProtocol, on_result: &CounterReplyHandler) {
        protocol.read(&self.stream, &mut |outcome, total| {
            self.complete_oldest(outcome, total, on_result)
        });
        self.close();
        for call in std::mem::take(&mut *lock(&self.pending)) {
            on_result(call.number, Outcome::Timeout, 0.0);
        }
    }

    /// Reports the reply to the oldest pending call. Returns whether further replies are possible.
    fn complete_oldest(
        &self,
        outcome: Outcome,
        total: f64,
        on_result: &CounterReplyHandler,
    ) -> bool {
        let mut pending = lock(&self.pending);
        let oldest = pending.pop_front();
        let more_replies = !pending.is_empty() || !self.draining.load(Ordering::SeqCst);
        drop(pending);
        let Some(call) = oldest else {
            return false;
        };
        on_result(call.number, outcome, total);
        more_replies
    }

    /// Closes the connection once no call is pending.
    pub(super) fn drain(&self) {
        let pending = lock(&self.pending);
        self.draining.store(true, Ordering::SeqCst);
        if pending.is_empty() {
            self.close();
        }
    }

    /// Closes the connection immediately.
    pub(super) fn close(&self) {
        _ = self.stream.shutdown(Shutdown::Both);
    }
}
