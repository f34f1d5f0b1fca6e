//! The platform's quota counter, over HTTP.

use crate::counter::{Addition, CounterProtocol};
use crate::decision::Outcome;
use crate::protocol::http::Reader;
use std::net::{SocketAddr, TcpStream};

const LONGEST_BODY: usize = 1_024;

/// What the quota counter speaks; it is called by its address.
pub struct QuotaCounter;

impl CounterProtocol for QuotaCounter {
    fn word(&self, Addition { name, by, ttl, .. }: &Addition, to: SocketAddr) -> Vec<u8> {
        let ttl = ttl.as_millis();
        let line = format!("POST /v1/count/{name}?add={by}&ttl_ms={ttl} HTTP/1.1");
        format!("{line}\r\nHost: {to}\r\nContent-Length: 0\r\n\r\n").into_bytes()
    }

    fn read(&self, from: &TcpStream, told: &mut dyn FnMut(Outcome, f64) -> bool) {
        let mut reader = Reader::new(from);
        while let Ok((head, body)) = reader.response_with_body(LONGEST_BODY, false) {
            let (outcome, total) = match (head.status, total(&body)) {
                (200, Some(total)) => (Outcome::Ok, total),
                (503, _) => (Outcome::Rejected, 0.0),
                // No such call: nothing was added.
                (400 | 404, _) => (Outcome::ConnectFailed, 0.0),
                // Added perhaps, but to what is not told.
                _ => (Outcome::Timeout, 0.0),
            };
            if !told(outcome, total) || !head.keep || outcome == Outcome::Timeout {
                break;
            }
        }
    }
}

/// A total: a decimal number, which may be negative after units were given back to a count that was lost.
///
/// Guards against the words that Rust reads as numbers too: a total of `NaN` or `inf` would shut an account out.
pub(super) fn total(text: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(text).ok()?.trim();
    let decimal = text
        .bytes()
        .all(|b| b.is_ascii_digit() || b"+-.eE".contains(&b));
    text.parse()
        .ok()
        .filter(|total: &f64| decimal && total.is_finite())
}
