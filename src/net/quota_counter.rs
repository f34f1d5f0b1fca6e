//! The platform's quota counter, over HTTP.

use super::count_lines::{Addition, CountSpeech};
use super::http::Reader;
use crate::interface::Outcome;
use std::net::{SocketAddr, TcpStream};

const LONGEST_BODY: usize = 1_024;

/// What the quota counter speaks; it is called by its address.
pub struct QuotaCounter(pub SocketAddr);

impl CountSpeech for QuotaCounter {
    fn word(&self, Addition { name, by, ttl, .. }: &Addition) -> Vec<u8> {
        let (ttl, host) = (ttl.as_millis(), self.0);
        let line = format!("POST /v1/count/{name}?add={by}&ttl_ms={ttl} HTTP/1.1");
        format!("{line}\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n").into_bytes()
    }

    fn read(&self, from: &TcpStream, told: &mut dyn FnMut(Outcome, f64) -> bool) {
        let mut reader = Reader::new(from);
        while let Ok((head, body)) = reader.response_with_body(LONGEST_BODY, false) {
            let total = std::str::from_utf8(&body).ok().and_then(|t| t.trim().parse::<f64>().ok());
            let (outcome, total) = match (head.status, total) {
                (200, Some(total)) => (Outcome::Ok, total),
                (503, _) => (Outcome::Full, 0.0),
                // No such call: nothing was added.
                (400..=499, _) => (Outcome::ConnectFailed, 0.0),
                // Added perhaps, but to what is not told.
                _ => (Outcome::Timeout, 0.0),
            };
            if !told(outcome, total) || !head.keep {
                break;
            }
        }
    }
}
