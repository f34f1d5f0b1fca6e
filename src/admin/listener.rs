//! Accepts operators' connections and serves each on its own thread. The number of connections
//! without a complete call and the duration of each connection are bounded.

use crate::admin::line::AdminContext;
use crate::admin::{acknowledgement, Call, CallError, MAX_CALL_BYTES};
use crate::threads::{lock, spawn};
use slog::warn;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of connections without a complete call. A further connection closes the oldest of
/// them.
const MAX_PENDING_CONNECTIONS: usize = 8;
/// Time within which a call must be complete, from the start of its connection's thread.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of each write of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Wait after a failed accept, for example when no file descriptors are available.
const ACCEPT_RETRY_WAIT: Duration = Duration::from_millis(20);

/// Starts a thread that listens at `address` and answers operators' calls. Returns the bound
/// address.
///
/// # Errors
///
/// Returns an error if the address can't be bound, which names the configuration key and the
/// address, or if the thread can't be started.
pub fn listen(address: SocketAddr, context: AdminContext) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).map_err(|error| {
        io::Error::new(error.kind(), format!("key \"control\": {address}: {error}"))
    })?;
    let bound = listener.local_addr()?;
    let context = Arc::new(context);
    spawn("admin", move || accept_connections(&listener, &context))?;
    Ok(bound)
}

/// Connections without a complete call, in the order in which they were accepted.
#[derive(Clone, Default)]
struct PendingConnections(Arc<Mutex<VecDeque<Arc<TcpStream>>>>);

impl PendingConnections {
    /// Adds a connection. Closes the oldest one if there are [`MAX_PENDING_CONNECTIONS`] already.
    fn add(&self, stream: Arc<TcpStream>) {
        let mut streams = lock(&self.0);
        if streams.len() >= MAX_PENDING_CONNECTIONS {
            if let Some(oldest) = streams.pop_front() {
                _ = oldest.shutdown(Shutdown::Both);
            }
        }
        streams.push_back(stream);
    }

    fn remove(&self, stream: &Arc<TcpStream>) {
        lock(&self.0).retain(|other| !Arc::ptr_eq(other, stream));
    }

    fn clear(&self) {
        lock(&self.0).clear();
    }
}

fn accept_connections(listener: &TcpListener, context: &Arc<AdminContext>) {
    let pending = PendingConnections::default();
    loop {
        match listener.accept() {
            Ok((stream, _)) => start_serving(Arc::new(stream), &pending, context),
            Err(error) => {
                warn!(context.log, "accept failed"; "error" => %error);
                thread::sleep(ACCEPT_RETRY_WAIT);
            }
        }
    }
}

/// Serves a connection on its own thread.
fn start_serving(
    stream: Arc<TcpStream>,
    pending: &PendingConnections,
    context: &Arc<AdminContext>,
) {
    pending.add(stream.clone());
    let thread_pending = pending.clone();
    let thread_context = context.clone();
    let work = move || serve(&stream, &thread_pending, &thread_context);
    if let Err(error) = spawn("admin-call", work) {
        warn!(context.log, "no thread for an admin call"; "error" => %error);
        // The list holds the last reference to this connection, so clearing it closes the
        // connection.
        pending.clear();
    }
}

fn serve(stream: &Arc<TcpStream>, pending: &PendingConnections, context: &AdminContext) {
    let line = read_line(stream);
    pending.remove(stream);
    let answer = match line.and_then(|line| Call::parse(&line)) {
        Ok(call) => context.answer(call),
        Err(error) => acknowledgement(Err(&error.to_string())),
    };
    _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    _ = (&**stream).write_all(answer.as_bytes());
    _ = stream.shutdown(Shutdown::Write);
}

/// Reads one line and returns it without the line end.
///
/// Guards against operators' tools that send nothing, an incomplete line or an endless one: each of
/// them gets an answer in time.
fn read_line(mut stream: &TcpStream) -> Result<Vec<u8>, CallError> {
    let began = Instant::now();
    let mut line = Vec::new();
    loop {
        let remaining = CALL_TIMEOUT.saturating_sub(began.elapsed());
        if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
            return Err(CallError::Incomplete);
        }
        let mut bytes = [0; MAX_CALL_BYTES];
        match stream.read(&mut bytes) {
            // The end of the stream also ends the line.
            Ok(0) => return Ok(line),
            Ok(read) => line.extend_from_slice(&bytes[..read]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(CallError::Incomplete),
        }
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Ok(line);
        }
        if line.len() > MAX_CALL_BYTES {
            return Err(CallError::TooLong);
        }
    }
}
