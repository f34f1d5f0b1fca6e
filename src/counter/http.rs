//! The HTTP protocol of the platform's quota counter.

use crate::counter::{Addition, CallReply, CounterProtocol};
use crate::decision::Outcome;
use crate::protocol::http::Reader;
use std::net::{SocketAddr, TcpStream};

/// Maximum length of a reply's body, in bytes.
const MAX_BODY_BYTES: usize = 1_024;

/// The protocol of the platform's quota counter.
pub struct HttpCounterProtocol;

impl CounterProtocol for HttpCounterProtocol {
    fn encode(&self, addition: &Addition, address: SocketAddr) -> Vec<u8> {
        let Addition {
            counter,
            amount,
            ttl,
            ..
        } = addition;
        let ttl = ttl.as_millis();
        let request_line = format!("POST /v1/count/{counter}?add={amount}&ttl_ms={ttl} HTTP/1.1");
        format!("{request_line}\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n").into_bytes()
    }

    fn read(&self, stream: &TcpStream, on_reply: &mut dyn FnMut(Outcome, f64) -> bool) {
        let mut reader = Reader::new(stream);
        while let Ok((head, body)) = reader.read_response_with_body(MAX_BODY_BYTES, false) {
            let reply = decode_response(head.status, &body);
            if !on_reply(reply.outcome, reply.total) || !head.keep_alive || reply.is_in_doubt() {
                break;
            }
        }
    }
}

fn decode_response(status: u16, body: &[u8]) -> CallReply {
    match (status, parse_total(body)) {
        (200, Some(total)) => CallReply::added(total),
        (503, _) => CallReply::rejected(),
        // The counter does not support the call.
        (400 | 404, _) => CallReply::not_added(),
        _ => CallReply::in_doubt(),
    }
}

/// Parses a total, a decimal number. It is negative if units were returned to a counter that had
/// been lost.
///
/// `NaN` and `inf`, which Rust accepts as numbers, are rejected: such a total would block an
/// account permanently.
pub(super) fn parse_total(text: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(text).ok()?.trim();
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || b"+-.eE".contains(&byte));
    let total: f64 = text.parse().ok()?;
    (is_decimal && total.is_finite()).then_some(total)
}
