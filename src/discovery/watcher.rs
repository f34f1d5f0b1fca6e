//! The thread that polls and watches the endpoint list.

use crate::config::{self, EndpointUpdate};
use crate::discovery::poll_wait::{
    fleet_poll_time, jittered_wait, next_wait, prompt_wait_limit, response_timeout, PollResult,
    CONNECT_TIMEOUT, WATCH_TIMEOUT,
};
use crate::discovery::timed_reader::TimedReader;
use crate::discovery::{PollSettings, Watch};
use crate::protocol::http::{Body, ReadError, Reader};
use crate::threads::lock;
use crossbeam_channel::Receiver;
use serde_json::Value;
use slog::{info, warn, Logger};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum length of an update, in bytes. The longest update is the full list.
const MAX_UPDATE_BYTES: usize = 4 << 20;

/// The reason why a poll or a watch ended.
#[derive(Debug, Error)]
enum WatchError {
    /// The watch was moved to another address.
    #[error("the address of service discovery changed")]
    AddressChanged,
    /// The connection or the HTTP message failed.
    #[error(transparent)]
    Http(#[from] ReadError),
    /// The response has a different status or body than the request asked for.
    #[error("unexpected response, expected {0}")]
    UnexpectedResponse(&'static str),
    /// An update was not valid JSON, or a key was missing or invalid. The details were logged.
    #[error("unreadable endpoint update")]
    UnreadableUpdate,
    /// The response to a poll contained no endpoint list.
    #[error("the response contains no endpoint list")]
    NoList,
}

impl From<io::Error> for WatchError {
    fn from(error: io::Error) -> Self {
        Self::Http(error.into())
    }
}

/// The receiving side of address changes, which [`Watch::move_to`] sends.
pub(super) struct AddressChanges {
    /// Holds the connection in use. It also holds a sender of the channel: without any sender the
    /// channel would be closed, and a wait on it would return immediately.
    pub(super) watch: Watch,
    pub(super) receiver: Receiver<SocketAddr>,
}

impl AddressChanges {
    fn is_pending(&self) -> bool {
        !self.receiver.is_empty()
    }
}

/// How the received text relates to the response that it belongs to.
#[derive(Clone, Copy, PartialEq)]
enum UpdateKind {
    /// The text is the complete response to a poll: the full list.
    FullList,
    /// The text is a part of the response to a watch: changes, of which the last may be incomplete.
    WatchEvents,
}

/// Polls and watches one endpoint list.
pub(super) struct Watcher<F> {
    address: SocketAddr,
    /// The last generation reported to `on_update`; none if the full list has to be read next.
    generation: Option<u64>,
    address_changes: AddressChanges,
    limiter_count: Arc<AtomicU32>,
    /// Upper bound of `wait_limit`, unless the last poll was rejected.
    prompt_wait_limit: Duration,
    /// Maximum wait before the next poll.
    wait_limit: Duration,
    last_result: PollResult,
    /// Number of consecutive polls for which not even the head of a response was received.
    unanswered_polls: u32,
    rng: fastrand::Rng,
    on_update: F,
    log: Logger,
}

impl<F: Fn(EndpointUpdate)> Watcher<F> {
    pub(super) fn new(
        address: SocketAddr,
        generation: u64,
        settings: PollSettings,
        address_changes: AddressChanges,
        on_update: F,
        log: Logger,
    ) -> Self {
        Self {
            address,
            generation: Some(generation),
            address_changes,
            limiter_count: settings.limiter_count,
            prompt_wait_limit: prompt_wait_limit(settings.drain_grace),
            wait_limit: Duration::ZERO,
            last_result: PollResult::Succeeded,
            unanswered_polls: 0,
            rng: fastrand::Rng::with_seed(settings.seed),
            on_update,
            log,
        }
    }

    /// Polls and watches the list for as long as the process runs.
    pub(super) fn run(&mut self) {
        self.wait_limit = self.fleet_poll_time();
        loop {
            // The first poll waits too: limiters that start together would otherwise all poll
            // within a few milliseconds.
            self.wait_for_next_poll();
            let started = Instant::now();
            self.last_result = PollResult::Failed;
            let result = self.poll_and_watch();
            *lock(&self.address_changes.watch.connection) = None;
            if !self.address_changes.is_pending() {
                self.log_watch_end(&result);
            }
            // A watch that lasted this long was not rejected, even if it delivered no update.
            if started.elapsed() >= WATCH_TIMEOUT {
                self.last_result = PollResult::Succeeded;
            }
        }
    }

    /// Waits until the next poll is due or the address changes, and applies all pending address
    /// changes.
    fn wait_for_next_poll(&mut self) {
        self.update_wait_limit(self.last_result);
        let wait = jittered_wait(self.wait_limit, self.last_result, self.rng.f64());
        let mut new_address = self.address_changes.receiver.recv_timeout(wait).ok();
        while let Some(address) = new_address {
            info!(self.log, "service discovery moved"; "to" => %address);
            self.address = address;
            self.generation = None;
            self.update_wait_limit(PollResult::Succeeded);
            new_address = self.address_changes.receiver.try_recv().ok();
        }
    }

    fn update_wait_limit(&mut self, result: PollResult) {
        self.wait_limit = next_wait(
            self.wait_limit,
            self.fleet_poll_time(),
            self.prompt_wait_limit,
            result,
        );
    }

    fn fleet_poll_time(&self) -> Duration {
        fleet_poll_time(self.limiter_count.load(Ordering::Relaxed))
    }

    fn log_watch_end(&self, result: &Result<(), WatchError>) {
        let reason = match result {
            Ok(()) => "the response ended".to_owned(),
            Err(error) => error.to_string(),
        };
        warn!(self.log, "endpoint watch broken"; "error" => reason, "generation" => self.generation);
    }

    /// Reads the full list if no generation is known, then reads the watch until it ends.
    fn poll_and_watch(&mut self) -> Result<(), WatchError> {
        let timeout = response_timeout(self.unanswered_polls);
        self.unanswered_polls = self.unanswered_polls.saturating_add(1);
        let generation = match self.generation {
            Some(generation) => generation,
            None => self.read_list(timeout)?,
        };
        self.read_watch(generation, timeout)
    }

    /// Reads the full list and returns its generation.
    fn read_list(&mut self, timeout: Duration) -> Result<u64, WatchError> {
        let stream = self.connect()?;
        self.send_request(&stream, "")?;
        let mut reader = Reader::new(TimedReader::new(&stream, timeout));
        let (head, list) = reader.read_response_with_body(MAX_UPDATE_BYTES, false)?;
        self.unanswered_polls = 0;
        if head.status != 200 {
            return Err(self.rejected_poll("status 200 with the endpoint list"));
        }
        self.report_updates(&list, UpdateKind::FullList)?;
        self.generation.ok_or(WatchError::NoList)
    }

    /// Watches for updates after `generation` and reports them until the watch ends.
    fn read_watch(&mut self, generation: u64, timeout: Duration) -> Result<(), WatchError> {
        let stream = self.connect()?;
        self.send_request(&stream, &format!("?watch=1&from={generation}"))?;
        let mut reader = Reader::new(TimedReader::new(&stream, timeout));
        let head = reader.read_response()?;
        self.unanswered_polls = 0;
        reader.source().allow_while_active()?;
        if head.status != 200 || head.body != Body::Chunked {
            return Err(self.rejected_poll("status 200 with a chunked body"));
        }
        let mut text = Vec::new();
        let mut searched_bytes = 0;
        while reader.read_chunk(&mut text, MAX_UPDATE_BYTES)? {
            match text.trim_ascii_start().first() {
                None => text.clear(),
                // The bytes received since the last search contain no closing brace, so no object
                // can be complete.
                Some(b'{') if !text[searched_bytes..].contains(&b'}') => {}
                Some(_) => {
                    let reported_bytes = self.report_updates(&text, UpdateKind::WatchEvents)?;
                    text.drain(..reported_bytes);
                }
            }
            searched_bytes = text.len();
        }
        Ok(())
    }

    fn connect(&self) -> Result<TcpStream, WatchError> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        *lock(&self.address_changes.watch.connection) = Some(stream.try_clone()?);
        // An address change during the connection attempt found no connection to close, so it is
        // checked here.
        if self.address_changes.is_pending() {
            return Err(WatchError::AddressChanged);
        }
        Ok(stream)
    }

    fn send_request(&self, mut stream: &TcpStream, query: &str) -> io::Result<()> {
        let address = self.address;
        let head = format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        stream.write_all(head.as_bytes())
    }

    /// Records the poll as rejected, unless it succeeded in reading the full list before. Returns
    /// the error for the unexpected response.
    fn rejected_poll(&mut self, expected: &'static str) -> WatchError {
        if self.last_result == PollResult::Failed {
            self.last_result = PollResult::Rejected;
        }
        WatchError::UnexpectedResponse(expected)
    }

    /// Reports each complete JSON object of the text and returns their total length in bytes. An
    /// object may span several lines.
    fn report_updates(&mut self, text: &[u8], kind: UpdateKind) -> Result<usize, WatchError> {
        let mut objects = serde_json::Deserializer::from_slice(text).into_iter::<Value>();
        let mut reported_bytes = 0;
        loop {
            match objects.next() {
                None => return Ok(text.len()),
                Some(Ok(value)) => self.report_update(&value, kind)?,
                Some(Err(error)) if error.is_eof() && kind == UpdateKind::WatchEvents => {
                    return Ok(reported_bytes);
                }
                Some(Err(_)) => return Err(self.unreadable_update("not JSON")),
            }
            reported_bytes = objects.byte_offset();
        }
    }

    /// Reports one update, unless the address has changed since it was received.
    fn report_update(&mut self, value: &Value, kind: UpdateKind) -> Result<(), WatchError> {
        if self.address_changes.is_pending() {
            return Err(WatchError::AddressChanged);
        }
        let mut update = match config::read_endpoint_update(value) {
            Ok(update) => update,
            Err(error) => return Err(self.unreadable_update(&error.to_string())),
        };
        update.is_snapshot |= kind == UpdateKind::FullList;
        let generation = update.generation;
        let full = update.is_snapshot;
        let endpoint_count = update.endpoints.len();
        self.generation = Some(generation);
        self.last_result = PollResult::Succeeded;
        (self.on_update)(update);
        // Logged only after the update took effect, as tests and operators rely on this line.
        info!(self.log, "endpoint update"; "generation" => generation, "full" => full, "endpoints" => endpoint_count);
        Ok(())
    }

    /// Logs an update that can't be read and returns the error for it. Without this update, later
    /// changes would result in a wrong list, so the full list is read next.
    fn unreadable_update(&mut self, reason: &str) -> WatchError {
        warn!(self.log, "endpoint update unreadable"; "error" => reason);
        self.generation = None;
        WatchError::UnreadableUpdate
    }
}
