//! Checks of a client's socket.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use socket2::SockRef;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::time::{Duration, Instant};

/// With this threshold of `TCP_NOTSENT_LOWAT`, Linux reports a socket as writable once everything
/// that was written has been sent (tcp(7)).
const ALL_SENT: u32 = 1;
/// The threshold that stands for the default of the system.
const DEFAULT_UNSENT: u32 = 0;

/// Whether bytes, the end of the stream or, from a listener, a connection can be received without
/// waiting.
pub(super) fn is_readable(socket: &impl AsFd) -> bool {
    current_events(socket, PollFlags::IN).contains(PollFlags::IN)
}

/// Whether the client has closed its side of the connection, even if not all bytes that it sent
/// were read.
pub(super) fn peer_disconnected(stream: &TcpStream) -> bool {
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    current_events(stream, PollFlags::RDHUP).intersects(ended)
}

/// Waits at most `timeout` until everything that was written has been sent to the client, or the
/// connection has failed. Returns false if that is not so. Nobody may write meanwhile.
///
/// Returns true at once if the system can't tell.
pub(super) fn wait_until_sent(stream: &TcpStream, timeout: Duration) -> bool {
    let socket = SockRef::from(stream);
    if socket.set_tcp_notsent_lowat(ALL_SENT).is_err() {
        return true;
    }
    let is_sent = wait_writable(stream, Instant::now() + timeout);
    // If this fails, later writes wait until earlier ones are sent, which is slower and harmless.
    _ = socket.set_tcp_notsent_lowat(DEFAULT_UNSENT);
    is_sent
}

/// Waits until the socket is writable or has failed. Returns false if that is not so at `deadline`.
fn wait_writable(stream: &TcpStream, deadline: Instant) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::OUT)];
    loop {
        let wait = deadline.saturating_duration_since(Instant::now());
        let timeout = Timespec {
            tv_sec: wait.as_secs() as i64,
            tv_nsec: wait.subsec_nanos().into(),
        };
        match poll(&mut polled, Some(&timeout)) {
            Err(Errno::INTR) => {}
            Err(_) => return false,
            Ok(_) => return !polled[0].revents().is_empty(),
        }
    }
}

/// Returns which of the events, or errors, are present on the socket now; none if that is unknown.
fn current_events(socket: &impl AsFd, events: PollFlags) -> PollFlags {
    let mut polled = [PollFd::new(socket, events)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    match poll(&mut polled, Some(&no_wait)) {
        Ok(_) => polled[0].revents(),
        Err(_) => PollFlags::empty(),
    }
}
