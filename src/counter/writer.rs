//! The thread that writes the calls of one connection, and replaces the connection when it is no
//! longer usable.

use crate::counter::connection::CounterConnection;
use crate::counter::{Addition, CounterProtocol, CounterReplyHandler};
use crate::decision::Outcome;
use crate::threads::spawn;
use crossbeam_channel::Receiver;
use slog::{warn, Logger};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum reply timeout of a connection. A connection is replaced when a reply takes longer than
/// its reply timeout, as the missing reply blocks all replies behind it.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Reply timeout of a connection, as a multiple of the timeout of a call.
const REPLY_TIMEOUT_CALL_TIMEOUTS: u32 = 5;
/// Minimum connect timeout. If the timeout of a call is longer, that is used instead.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// A command to a writer thread.
pub(super) enum Command {
    /// Write this call.
    Add(Addition),
    /// Write further calls to this address.
    ChangeAddress(SocketAddr),
}

/// Writes the calls of one connection.
pub(super) struct CallWriter {
    address: SocketAddr,
    call_timeout: Duration,
    protocol: Arc<dyn CounterProtocol>,
    on_result: CounterReplyHandler,
    log: Logger,
    connection: Option<Arc<CounterConnection>>,
    /// Time of the last call.
    last_call: Instant,
    /// Whether the last attempt to connect failed. Only the first failure in a row is logged.
    is_unreachable: bool,
}

impl CallWriter {
    /// Creates a writer without a connection. The first call opens one.
    pub(super) fn new(
        address: SocketAddr,
        call_timeout: Duration,
        protocol: Arc<dyn CounterProtocol>,
        on_result: CounterReplyHandler,
        log: Logger,
    ) -> Self {
        Self {
            address,
            call_timeout,
            protocol,
            on_result,
            log,
            connection: None,
            last_call: Instant::now(),
            is_unreachable: false,
        }
    }

    /// Executes commands until the channel closes.
    pub(super) fn run(mut self, commands: &Receiver<Command>) {
        for command in commands {
            match command {
                Command::Add(addition) => self.add(&addition),
                Command::ChangeAddress(address) => self.change_address(address),
            }
        }
    }

    fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        if let Some(connection) = self.connection.take() {
            connection.drain();
        }
    }

    fn add(&mut self, addition: &Addition) {
        self.close_unusable();
        self.last_call = Instant::now();
        match self.get_or_connect() {
            Ok(connection) => {
                self.is_unreachable = false;
                self.write(&connection, addition);
            }
            Err(error) => {
                if !self.is_unreachable {
                    warn!(self.log, "counter unreachable"; "error" => %error);
                }
                self.is_unreachable = true;
                (self.on_result)(addition.call_number, Outcome::ConnectFailed, 0.0);
            }
        }
    }

    fn close_unusable(&mut self) {
        let last_call = self.last_call;
        let reply_timeout = self.reply_timeout();
        let unusable = self
            .connection
            .take_if(|connection| !connection.is_usable(last_call, reply_timeout));
        if let Some(connection) = unusable {
            connection.close();
        }
    }

    fn reply_timeout(&self) -> Duration {
        MIN_REPLY_TIMEOUT.max(self.call_timeout * REPLY_TIMEOUT_CALL_TIMEOUTS)
    }

    /// Returns the open connection. If there is none, opens one and starts its reader thread.
    fn get_or_connect(&mut self) -> io::Result<Arc<CounterConnection>> {
        if let Some(connection) = &self.connection {
            return Ok(connection.clone());
        }
        let connect_timeout = MIN_CONNECT_TIMEOUT.max(self.call_timeout);
        let stream = TcpStream::connect_timeout(&self.address, connect_timeout)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.reply_timeout()))?;
        let connection = Arc::new(CounterConnection::new(stream));
        let reader = connection.clone();
        let protocol = self.protocol.clone();
        let on_result = self.on_result.clone();
        spawn("counter-read", move || reader.read(&*protocol, &on_result))?;
        self.connection = Some(connection.clone());
        Ok(connection)
    }

    fn write(&mut self, connection: &CounterConnection, addition: &Addition) {
        let bytes = self.protocol.encode(addition, self.address);
        if connection
            .write(addition.call_number, self.last_call, &bytes)
            .is_ok()
        {
            return;
        }
        // The counter does not execute an incomplete call, so the call has failed without effect,
        // unless the reader thread has already reported it as timed out.
        if connection.withdraw(addition.call_number) {
            (self.on_result)(addition.call_number, Outcome::ConnectFailed, 0.0);
        }
        connection.close();
        self.connection = None;
    }
}
