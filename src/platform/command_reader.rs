//! Reads the commands of one client connection and submits their requests.

use crate::client::interruptible::InterruptibleReader;
use crate::client::{Reply, Session};
use crate::core::IncomingRequest;
use crate::platform::client_protocol::PlatformClientProtocol;
use crate::platform::command::{CommandError, RequestCommand};
use crate::platform::upstream_protocol::{PlatformCall, Served, FIELDS};
use crate::protocol::buffers::{Buffer, SIZE};
use crate::protocol::resp;
use std::io;
use std::ops::{ControlFlow, Range};
use std::time::{Duration, Instant};

/// The longest command, in bytes. On its way to an upstream server it can grow by the digits of another deadline.
const MAX_COMMAND_BYTES: usize = SIZE - 64;
/// Consecutive rejected commands after which the connection is closed.
const MAX_REJECTED_COMMANDS: u32 = 8;
/// The pause after the first rejected command; it grows by as much with each further one.
const REJECTED_COMMAND_PAUSE: Duration = Duration::from_millis(10);

/// The bytes received on one connection and the commands in them.
pub(super) struct CommandReader<'a, 'session> {
    protocol: &'a PlatformClientProtocol,
    session: &'a Session<'session, PlatformClientProtocol>,
    buffer: Buffer,
    /// Where the first command that is not processed begins.
    start: usize,
    /// Where the received bytes end.
    end: usize,
    /// Consecutive rejected commands.
    rejected_commands: u32,
}

impl<'a, 'session> CommandReader<'a, 'session> {
    pub(super) fn new(
        protocol: &'a PlatformClientProtocol,
        session: &'a Session<'session, PlatformClientProtocol>,
    ) -> Self {
        Self {
            protocol,
            session,
            buffer: Buffer::none(),
            start: 0,
            end: 0,
            rejected_commands: 0,
        }
    }

    /// Receives further bytes and returns how many; 0 at the end of the connection.
    pub(super) fn receive(&mut self, from: &mut InterruptibleReader) -> io::Result<usize> {
        let read = self.buffer.read(self.end, from)?;
        self.end += read;
        Ok(read)
    }

    /// The received bytes that are not processed.
    pub(super) fn unprocessed(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Drops the bytes of processed commands, and the buffer if no others are left.
    pub(super) fn discard_processed(&mut self) {
        if self.start < self.end {
            self.buffer.copy_within(self.start..self.end, 0);
            self.session.note_partial_command();
        } else {
            self.buffer = Buffer::none();
        }
        self.end -= self.start;
        self.start = 0;
    }

    /// Processes all complete commands. Breaks if nothing more is to be read from the connection.
    pub(super) fn process_commands(&mut self, arrived: Instant) -> ControlFlow<()> {
        while self.start < self.end {
            let words = match self.next_command() {
                Ok(Some(words)) => words,
                Ok(None) => break,
                Err(error) => return self.close(error),
            };
            if words.len() <= FIELDS {
                self.reply_to_ping(&words[0])?;
                continue;
            }
            match self.protocol.parse(&self.buffer, &words) {
                Ok(command) => self.submit(command, words, arrived)?,
                Err(error) => self.reject(error, &words[FIELDS])?,
            }
        }
        ControlFlow::Continue(())
    }

    /// The words of the next command, as ranges of the buffer; none if it is incomplete.
    fn next_command(&mut self) -> Result<Option<Vec<Range<usize>>>, CommandError> {
        let start = self.start;
        let unprocessed = self.unprocessed();
        let Some((words, size)) = resp::command(unprocessed)? else {
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

    /// Replies to a command that is too short for a request.
    fn reply_to_ping(&self, word: &Range<usize>) -> ControlFlow<()> {
        let is_ping = self.buffer[word.clone()].eq_ignore_ascii_case(b"PING");
        let reply = if !is_ping {
            "-ERR unknown command\r\n"
        } else if self.session.is_ready() {
            "+PONG\r\n"
        } else {
            "-LOADING no node list yet\r\n"
        };
        self.reply_directly(Reply::direct(reply))
    }

    fn reply_directly(&self, reply: Reply<Served>) -> ControlFlow<()> {
        if self.session.reply_directly((), reply) {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    }

    /// Replies with an error, and closes the connection after too many in a row.
    ///
    /// Guards against clients that send the same command again as soon as it is rejected: their errors come at once, but
    /// ever less often, and then no more.
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
        self.reply_directly(Reply::direct(&format!("-ERR {error}\r\n")))?;
        self.session
            .pause_reading(REJECTED_COMMAND_PAUSE * self.rejected_commands);
        ControlFlow::Continue(())
    }

    /// Replies with an error and closes the connection once earlier commands are answered: what follows a malformed
    /// command can't be parsed.
    fn close(&self, error: CommandError) -> ControlFlow<()> {
        let reason = error.to_string();
        let reply = format!("-ERR {reason}\r\n").into_bytes();
        self.session.reply_and_close((), reply, &reason);
        ControlFlow::Break(())
    }

    fn submit(
        &mut self,
        command: RequestCommand,
        words: Vec<Range<usize>>,
        arrived: Instant,
    ) -> ControlFlow<()> {
        self.rejected_commands = 0;
        let Some((number, client)) = self.session.reserve_reply((), command.class) else {
            return ControlFlow::Break(());
        };
        let buffer = self.take_buffer();
        self.session.submit(IncomingRequest {
            number,
            id: Some(command.id),
            arrived,
            timeout: command.timeout,
            class: command.class,
            plan: command.plan,
            account: command.account,
            units: command.units,
            limiter_count: command.limiter_count,
            first_limiter: command.first_limiter,
            client,
            call: PlatformCall {
                buffer,
                words,
                deadline_at: command.deadline_at,
            },
        });
        ControlFlow::Continue(())
    }

    /// Takes the buffer with the command that was processed last, which is forwarded from it; bytes that follow move to a
    /// new one.
    fn take_buffer(&mut self) -> Buffer {
        let mut rest = Buffer::none();
        let unprocessed = self.unprocessed();
        if !unprocessed.is_empty() {
            rest = Buffer::take();
            rest[..unprocessed.len()].copy_from_slice(unprocessed);
        }
        self.end -= self.start;
        self.start = 0;
        std::mem::replace(&mut self.buffer, rest)
    }
}
