//! Checks of a client's socket that do not wait.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::net::TcpStream;

/// Whether bytes, or the end of the stream, can be read without waiting.
pub(super) fn is_readable(stream: &TcpStream) -> bool {
    current_events(stream, PollFlags::IN).contains(PollFlags::IN)
}

/// Whether the client has closed its side of the connection, even if not all bytes that it sent
/// were read.
pub(super) fn peer_disconnected(stream: &TcpStream) -> bool {
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    current_events(stream, PollFlags::RDHUP).intersects(ended)
}

/// Returns which of the events, or errors, are present on the socket now; none if that is unknown.
fn current_events(stream: &TcpStream, events: PollFlags) -> PollFlags {
    let mut polled = [PollFd::new(stream, events)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    match poll(&mut polled, Some(&no_wait)) {
        Ok(_) => polled[0].revents(),
        Err(_) => PollFlags::empty(),
    }
}
