//! The thread that writes the calls of one connection and opens it anew when it can't be used any more.

use crate::counter::connection::CounterConnection;
use crate::counter::{Addition, Counted, CounterProtocol};
use crate::decision::Outcome;
use crate::threads::spawn;
use crossbeam_channel::Receiver;
use slog::{warn, Logger};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A reply that takes longer than this, and than [`REPLY_TIMEOUT_CALLS`] call timeouts, blocks all replies behind it:
/// the connection is replaced.
const LEAST_REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// The reply timeout of a connection, in timeouts of a call.
const REPLY_TIMEOUT_CALLS: u32 = 5;
/// The connect timeout, unless the timeout of a call is longer.
const LEAST_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

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
    counted: Counted,
    log: Logger,
    connection: Option<Arc<CounterConnection>>,
    last_call: Instant,
    /// The last attempt to connect failed, and that is logged.
    is_unreachable: bool,
}

impl CallWriter {
    /// A writer without a connection; the first call opens one.
    pub(super) fn new(
        address: SocketAddr,
        call_timeout: Duration,
        protocol: Arc<dyn CounterProtocol>,
        counted: Counted,
        log: Logger,
    ) -> Self {
        Self {
            address,
            call_timeout,
            protocol,
            counted,
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
        match self.connection() {
            Ok(connection) => {
                self.is_unreachable = false;
                self.write(&connection, addition);
            }
            Err(error) => {
                if !self.is_unreachable {
                    warn!(self.log, "counter unreachable"; "error" => %error);
                }
                self.is_unreachable = true;
                (self.counted)(addition.call_number, Outcome::ConnectFailed, 0.0);
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
        LEAST_REPLY_TIMEOUT.max(self.call_timeout * REPLY_TIMEOUT_CALLS)
    }

    /// The open connection, or a new one with its reader thread.
    fn connection(&mut self) -> io::Result<Arc<CounterConnection>> {
        if let Some(connection) = &self.connection {
            return Ok(connection.clone());
        }
        let connect_timeout = LEAST_CONNECT_TIMEOUT.max(self.call_timeout);
        let stream = TcpStream::connect_timeout(&self.address, connect_timeout)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.reply_timeout()))?;
        let connection = Arc::new(CounterConnection::new(stream));
        let reader = connection.clone();
        let protocol = self.protocol.clone();
        let counted = self.counted.clone();
        spawn("counter-read", move || reader.read(&*protocol, &counted))?;
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
        // An incomplete call adds nothing, unless the reader has reported it as in doubt already.
        if connection.withdraw(addition.call_number) {
            (self.counted)(addition.call_number, Outcome::ConnectFailed, 0.0);
        }
        connection.close();
        self.connection = None;
    }
}
