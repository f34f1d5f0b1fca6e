//! A Redis server as the counter: one transaction a call, on the codec that the platform's front uses.

use crate::counter::http::total;
use crate::counter::{Addition, CounterProtocol};
use crate::decision::Outcome;
use crate::protocol::buffers::{Buffer, SIZE};
use crate::protocol::resp::{self, Reply};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};

/// What a Redis server speaks.
pub struct RedisCounter;

/// Replies to one call: `MULTI`, two queued commands, `EXEC`.
const REPLIES: usize = 4;

impl CounterProtocol for RedisCounter {
    /// `SET … NX` opens a new name with its life, which later calls leave alone; the transaction keeps another
    /// limiter's call from falling between it and the addition.
    fn word(&self, Addition { name, by, ttl, .. }: &Addition, _: SocketAddr) -> Vec<u8> {
        let (key, by) = (format!("mossrill:count:{name}"), by.to_string());
        let ttl = ttl.as_millis().max(1).to_string();
        let mut text = Vec::new();
        for command in [
            &["MULTI"][..],
            &["SET", &key, "0", "PX", &ttl, "NX"],
            &["INCRBYFLOAT", &key, &by],
            &["EXEC"],
        ] {
            resp::write_command(&mut text, command.iter().map(|word| word.as_bytes()));
        }
        text
    }

    fn read(&self, mut from: &TcpStream, told: &mut dyn FnMut(Outcome, f64) -> bool) {
        let (mut buffer, mut end, mut seen) = (Buffer::take(), 0, 0);
        while let Some(read) = from.read(&mut buffer[end..]).ok().filter(|read| *read > 0) {
            end += read;
            let mut start = 0;
            loop {
                match resp::reply(&buffer[..end], start) {
                    Ok(Some((reply, next))) => {
                        seen += 1;
                        if seen % REPLIES == 0 {
                            let (outcome, total) = executed(&buffer, &reply);
                            if !told(outcome, total) || outcome == Outcome::Timeout {
                                return;
                            }
                        }
                        start = next;
                    }
                    Ok(None) if end - start < SIZE => break,
                    _ => return,
                }
            }
            buffer.copy_within(start..end, 0);
            end -= start;
        }
    }
}

/// What the answer to `EXEC` says of a call.
fn executed(bytes: &[u8], reply: &Reply) -> (Outcome, f64) {
    match reply {
        Reply::Array(Some(results)) => match results.last() {
            Some(Reply::Bulk(Some(total_at))) => {
                // Else added, but to what is not told.
                total(&bytes[total_at.clone()])
                    .map_or((Outcome::Timeout, 0.0), |total| (Outcome::Ok, total))
            }
            // The addition itself failed, as where the name holds something else.
            Some(Reply::Error(_)) => (Outcome::ConnectFailed, 0.0),
            _ => (Outcome::Timeout, 0.0),
        },
        // Discarded as a whole: nothing was added.
        Reply::Array(None) | Reply::Bulk(None) | Reply::Error(_) => (Outcome::ConnectFailed, 0.0),
        _ => (Outcome::Timeout, 0.0),
    }
}
