//! Reads and writes of a socket that repeat calls which fail only for a moment, and for how long a peer
//! may stand still.

use rustix::io::Errno;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a peer may neither send nor receive a byte of an answer that has begun. Upstream
/// servers stand still for up to 22 s and then go on.
pub const PEER_STALL_TIMEOUT: Duration = Duration::from_secs(25);
/// For how long a call is repeated.
const RETRY_TIME: Duration = Duration::from_millis(500);
/// Pause before a call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(2);

/// A socket whose reads and writes are repeated for a short time if the system has no memory or no
/// buffers for them: the connection is whole, and giving it up would lose what was taken from it.
pub struct RetryingStream<'a>(pub &'a TcpStream);

impl Read for RetryingStream<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        let RetryingStream(mut stream) = self;
        repeat(|| stream.read(to))
    }
}

impl Write for RetryingStream<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let RetryingStream(mut stream) = self;
        repeat(|| stream.write(bytes))
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Calls until a call does not fail for a lack of memory or buffers, or [`RETRY_TIME`] is over.
fn repeat(mut call: impl FnMut() -> io::Result<usize>) -> io::Result<usize> {
    let mut first_failure = None;
    loop {
        match call() {
            Err(error) if is_momentary(&error) => {
                let since: Instant = *first_failure.get_or_insert_with(Instant::now);
                if since.elapsed() >= RETRY_TIME {
                    return Err(error);
                }
                thread::sleep(RETRY_PAUSE);
            }
            result => return result,
        }
    }
}

/// Whether the system had no memory or no buffers for a call.
fn is_momentary(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    [Errno::NOMEM, Errno::NOBUFS]
        .iter()
        .any(|errno| code == Some(errno.raw_os_error()))
}
