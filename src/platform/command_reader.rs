//! Reads the commands of one client connection and submits their requests.

use crate::client::interruptible::InterruptibleReader;
use crate::client::{DirectReply, ReplyReservation, Session};
use crate::core::IncomingRequest;
use crate::memory::MemoryHolder;
use crate::platform::client_protocol::PlatformClientProtocol;
use crate::platform::command::{CommandError, RequestCommand};
use crate::platform::upstream_protocol::{PlatformCall, FIELDS_INDEX};
use crate::protocol::buffers::{Buffer, BUFFER_BYTES, SMALL_BUFFER_BYTES};
use crate::protocol::command_skipper::CommandSkipper;
use crate::protocol::resp;
use std::io;
use std::ops::{ControlFlow, Range};
use std::time::{Duration, Instant};

/// Maximum length of a command, in bytes. It is below the size of a buffer because a command that
/// is forwarded to an upstream server may get longer: its deadline is replaced by one that can have
/// more digits.
const MAX_COMMAND_BYTES: usize = BUFFER_BYTES - 64;
/// Maximum number of consecutive rejected commands; the next one closes the connection.
const MAX_REJECTED_COMMANDS: u32 = 8;
/// Pause in reading after the first of several consecutive rejected commands. Each further one adds
/// the same amount.
const REJECTED_COMMAND_PAUSE: Duration = Duration::from_millis(10);

/// A command that is rejected once it was received completely, as there is no memory for it.
struct SkippedCommand {
    skipper: CommandSkipper,
    /// Index of its class; none if it names no configured class.
    class: Option<usize>,
}

/// Reader of the commands on one connection, with the bytes that were received and not yet processed.
pub(super) struct CommandReader<'a, 'session> {
    protocol: &'a PlatformClientProtocol,
    session: &'a Session<'session, PlatformClientProtocol>,
    buffer: Buffer,
    /// The command that is being skipped, as there is no memory for it.
    skipped: Option<SkippedCommand>,
    /// Index of the first unprocessed byte in the buffer.
    start: usize,
    /// Index of the end of the received bytes.
    end: usize,
    /// Number of consecutive rejected commands so far.
    rejected_commands: u32,
    /// When the bytes that were received last had arrived at the earliest.
    arrived: Instant,
    /// Whether the bytes that are received next may have arrived at the same time, because reading
    /// paused or waited for replies meanwhile.
    is_behind: bool,
}

impl<'a, 'session> CommandReader<'a, 'session> {
    pub(super) fn new(
        protocol: &'a PlatformClientProtocol,
        session: &'a Session<'session, PlatformClientProtocol>,
    ) -> Self {
        Self {
            protocol,
            session,
            buffer: Buffer::empty(),
            skipped: None,
            start: 0,
            end: 0,
            rejected_commands: 0,
            arrived: session.paused_at().unwrap_or_else(Instant::now),
            is_behind: false,
        }
    }

    /// Receives further bytes. Returns their number, which is 0 at the end of the connection.
    pub(super) fn receive(&mut self, from: &mut InterruptibleReader) -> io::Result<usize> {
        self.is_behind |= self.session.take_pause().is_some();
        self.is_behind = self.is_behind && from.has_received();
        self.make_room();
        // Bytes that were skipped can't be handed over to another process.
        from.set_uninterruptible(self.skipped.is_some());
        let read = self.buffer.read(self.end, from)?;
        self.end += read;
        if !self.is_behind {
            self.arrived = Instant::now();
        }
        Ok(read)
    }

    /// Makes the buffer larger if a long command is being received. If there is no memory for it,
    /// the command is skipped.
    fn make_room(&mut self) {
        if !self.buffer.should_grow(self.end) || self.skipped.is_some() {
            return;
        }
        let memory = self.session.memory();
        let charge = memory.try_charge(MemoryHolder::IncompleteCommand, BUFFER_BYTES);
        if charge.is_some() {
            self.buffer.grow(self.end, charge);
        } else if self.buffer.is_full(self.end) {
            self.begin_skipping();
        }
    }

    /// Skips the command at the start of the buffer, which is incomplete.
    fn begin_skipping(&mut self) {
        let prefix = resp::words_received(self.unprocessed());
        let class = prefix
            .get(FIELDS_INDEX)
            .and_then(|fields| self.protocol.class_of_rejected(fields));
        self.skipped = Some(SkippedCommand {
            skipper: CommandSkipper::default(),
            class,
        });
        // The received bytes are a valid prefix of a command, and are skipped without an error.
        _ = self.skip_received();
        self.discard_processed();
    }

    /// Skips what was received of the command that is being skipped. Once it is complete, it is
    /// rejected: nothing has run, so that is harmless.
    fn skip_received(&mut self) -> ControlFlow<()> {
        let Some(command) = &mut self.skipped else {
            return ControlFlow::Continue(());
        };
        match command.skipper.skip(&self.buffer[self.start..self.end]) {
            Ok(size) => self.start += size,
            Err(error) => return self.close(error.into()),
        }
        if command.skipper.skipped() > MAX_COMMAND_BYTES {
            return self.close(CommandError::TooLong);
        }
        if !command.skipper.is_at_end() {
            return ControlFlow::Continue(());
        }
        let class = command.class;
        self.skipped = None;
        match self.session.reject_for_memory((), class) {
            ReplyReservation::Closing => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }

    /// Returns the bytes that were received and not yet processed.
    pub(super) fn unprocessed(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Discards the bytes of processed commands, and returns the buffer to the pool if no bytes
    /// remain.
    pub(super) fn discard_processed(&mut self) {
        if self.start < self.end {
            self.buffer.copy_within(self.start..self.end, 0);
        } else {
            self.buffer = Buffer::empty();
        }
        if self.start < self.end || self.skipped.is_some() {
            self.session.note_partial_command();
        }
        self.end -= self.start;
        self.start = 0;
    }

    /// Processes all complete commands. Returns `Break` if the connection must not be read any
    /// further.
    pub(super) fn process_commands(&mut self) -> ControlFlow<()> {
        self.skip_received()?;
        while self.start < self.end && self.skipped.is_none() {
            let words = match self.next_command() {
                Ok(Some(words)) => words,
                Ok(None) => break,
                Err(error) => return self.close(error),
            };
            if words.len() <= FIELDS_INDEX {
                self.reply_to_short_command(&words[0])?;
                continue;
            }
            match self.protocol.parse_request(&self.buffer, &words) {
                Ok(command) => self.submit(command, words)?,
                Err(error) => self.reject(error, &words[FIELDS_INDEX])?,
            }
        }
        ControlFlow::Continue(())
    }

    /// Returns the words of the next command as ranges of the buffer, or `None` if the command is
    /// incomplete.
    fn next_command(&mut self) -> Result<Option<Vec<Range<usize>>>, CommandError> {
        let start = self.start;
        let unprocessed = self.unprocessed();
        let Some((words, size)) = resp::parse_command(unprocessed)? else {
            if unprocessed.len() < MAX_COMMAND_BYTES {
                return Ok(None);
            }
            return Err(CommandError::TooLong);
        };
        if size > MAX_COMMAND_BYTES {
            return Err(CommandError::TooLong);
        }
        self.start += size;
        let words = words
            .into_iter()
            .map(|word| start + word.start..start + word.end)
            .collect();
        Ok(Some(words))
    }

    /// Replies to a command that has too few words for a request, of which only PING is known.
    fn reply_to_short_command(&self, word: &Range<usize>) -> ControlFlow<()> {
        let is_ping = self.buffer[word.clone()].eq_ignore_ascii_case(b"PING");
        let reply = if !is_ping {
            "-ERR unknown command\r\n"
        } else if self.session.is_ready() {
            "+PONG\r\n"
        } else {
            "-LOADING no node list yet\r\n"
        };
        self.reply_directly(DirectReply::new(reply.as_bytes()))
    }

    fn reply_directly(&self, reply: DirectReply) -> ControlFlow<()> {
        if self.session.reply_directly((), reply) {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    }

    /// Replies with an error, and closes the connection after too many consecutive rejected commands.
    ///
    /// Protects the limiter from clients that resend a command as soon as it is rejected: they get
    /// the error at once, but the connection is then read after ever longer pauses and finally
    /// closed.
    fn reject(&mut self, error: CommandError, fields: &Range<usize>) -> ControlFlow<()> {
        self.rejected_commands += 1;
        if self.rejected_commands > MAX_REJECTED_COMMANDS {
            return self.close(error);
        }
        self.session.log_malformed(&error.to_string());
        let fields = &self.buffer[fields.clone()];
        if let Some(class) = self.protocol.class_of_rejected(fields) {
            self.session.count_failed(class);
        }
        let reply = format!("-ERR {error}\r\n");
        self.reply_directly(DirectReply::new(reply.into_bytes()))?;
        self.session
            .pause_reading(REJECTED_COMMAND_PAUSE * self.rejected_commands);
        ControlFlow::Continue(())
    }

    /// Replies with an error, and closes the connection once the earlier commands are answered.
    /// Used where the bytes that follow can't be parsed or too many commands were rejected.
    fn close(&self, error: CommandError) -> ControlFlow<()> {
        let reason = error.to_string();
        let reply = format!("-ERR {reason}\r\n").into_bytes();
        self.session.reply_and_close((), reply, &reason);
        ControlFlow::Break(())
    }

    fn submit(&mut self, command: RequestCommand, words: Vec<Range<usize>>) -> ControlFlow<()> {
        self.rejected_commands = 0;
        let text = words[0].start..words[words.len() - 1].end;
        let is_small = text.len() <= SMALL_BUFFER_BYTES;
        let held_bytes = if is_small { text.len() } else { BUFFER_BYTES };
        let reservation = self.session.reserve_reply((), command.class, held_bytes);
        let (number, client, permit) = match reservation {
            ReplyReservation::Reserved {
                number,
                slot,
                permit,
            } => (number, slot, permit),
            ReplyReservation::Rejected => return ControlFlow::Continue(()),
            ReplyReservation::Closing => return ControlFlow::Break(()),
        };
        let call = if is_small {
            self.copy_call(text, words, command.deadline_at)
        } else {
            PlatformCall {
                buffer: self.take_buffer(),
                words,
                deadline_at: command.deadline_at,
            }
        };
        self.session.submit(IncomingRequest {
            number,
            permit,
            id: Some(command.id),
            arrived: self.arrived,
            timeout: command.timeout,
            class: command.class,
            plan: command.plan,
            account: command.account,
            units: command.units,
            limiter_count: command.limiter_count,
            first_limiter: command.first_limiter,
            client,
            call,
        });
        ControlFlow::Continue(())
    }

    /// Copies the words of a small command, which are within the range `text`, to a buffer of their
    /// own.
    fn copy_call(
        &self,
        text: Range<usize>,
        words: Vec<Range<usize>>,
        deadline_at: Range<usize>,
    ) -> PlatformCall {
        let moved = |range: Range<usize>| range.start - text.start..range.end - text.start;
        let mut buffer = Buffer::with_room_for(text.len());
        buffer.copy_from_slice(&self.buffer[text.clone()]);
        PlatformCall {
            buffer,
            words: words.into_iter().map(moved).collect(),
            deadline_at: moved(deadline_at),
        }
    }

    /// Takes the buffer that contains the last processed command, as the command is forwarded from
    /// there. The unprocessed bytes are copied to a new buffer.
    fn take_buffer(&mut self) -> Buffer {
        let mut remaining = Buffer::empty();
        let unprocessed = self.unprocessed();
        if !unprocessed.is_empty() {
            remaining = Buffer::with_room_for(unprocessed.len().max(SMALL_BUFFER_BYTES));
            remaining[..unprocessed.len()].copy_from_slice(unprocessed);
        }
        // The request is charged for the buffer that it takes.
        self.buffer.move_charge(&mut remaining);
        self.end -= self.start;
        self.start = 0;
        std::mem::replace(&mut self.buffer, remaining)
    }
}
