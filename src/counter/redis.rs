//! The protocol of a Redis server that is used as the counter. Each call is one transaction.

use crate::counter::http::parse_total;
use crate::counter::{Addition, CallReply, CounterProtocol};
use crate::decision::Outcome;
use crate::protocol::buffers::{Buffer, BUFFER_BYTES};
use crate::protocol::resp::{self, Reply};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};

/// The protocol of a Redis server that is used as the counter.
pub struct RedisCounterProtocol;

/// Number of replies to one call: to `MULTI`, to the two queued commands, and to `EXEC`.
const REPLIES_PER_CALL: usize = 4;

impl CounterProtocol for RedisCounterProtocol {
    /// `SET` with `NX` creates the counter with its lifetime, which later calls do not change. The
    /// transaction prevents calls of other limiters from running between `SET` and the addition.
    fn encode(&self, addition: &Addition, _: SocketAddr) -> Vec<u8> {
        let key = format!("mossrill:count:{}", addition.counter);
        let amount = addition.amount.to_string();
        let ttl = addition.ttl.as_millis().max(1).to_string();
        let commands = [
            &["MULTI"][..],
            &["SET", &key, "0", "PX", &ttl, "NX"],
            &["INCRBYFLOAT", &key, &amount],
            &["EXEC"],
        ];
        let mut bytes = Vec::new();
        for command in commands {
            resp::write_command(&mut bytes, command.iter().map(|word| word.as_bytes()));
        }
        bytes
    }

    fn read(&self, mut stream: &TcpStream, on_reply: &mut dyn FnMut(Outcome, f64) -> bool) {
        let mut buffer = Buffer::take();
        let mut end = 0;
        let mut decoder = ReplyDecoder { reply_count: 0 };
        while let Ok(read @ 1..) = stream.read(&mut buffer[end..]) {
            end += read;
            let Some(start) = decoder.decode(&buffer[..end], on_reply) else {
                return;
            };
            buffer.copy_within(start..end, 0);
            end -= start;
        }
    }
}

/// Decodes all replies on a connection and reports those to `EXEC`.
struct ReplyDecoder {
    reply_count: usize,
}

impl ReplyDecoder {
    /// Decodes all complete replies. Returns the offset of the incomplete rest, or none if no more
    /// replies are to be read.
    fn decode(
        &mut self,
        bytes: &[u8],
        on_reply: &mut dyn FnMut(Outcome, f64) -> bool,
    ) -> Option<usize> {
        let mut start = 0;
        while let Some((reply, next)) = resp::parse_reply(bytes, start).ok()? {
            self.reply_count += 1;
            if self.reply_count % REPLIES_PER_CALL == 0 {
                let call = decode_exec(bytes, &reply);
                if !on_reply(call.outcome, call.total) || call.is_in_doubt() {
                    return None;
                }
            }
            start = next;
        }
        let fits_buffer = bytes.len() - start < BUFFER_BYTES;
        fits_buffer.then_some(start)
    }
}

/// Returns the result of a call, decoded from the reply to `EXEC`.
fn decode_exec(bytes: &[u8], reply: &Reply) -> CallReply {
    match reply {
        Reply::Array(Some(results)) => match results.last() {
            Some(Reply::Bulk(Some(total_range))) => parse_total(&bytes[total_range.clone()])
                .map_or_else(CallReply::in_doubt, CallReply::added),
            // The addition itself failed, for example because the key has another type.
            Some(Reply::Error(_)) => CallReply::not_added(),
            _ => CallReply::in_doubt(),
        },
        // The transaction was discarded.
        Reply::Array(None) | Reply::Bulk(None) | Reply::Error(_) => CallReply::not_added(),
        _ => CallReply::in_doubt(),
    }
}
