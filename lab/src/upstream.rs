//! Stand-in for upstream servers over HTTP/1.1. Each request is answered after an exponentially
//! distributed time with a given mean; a header of the answer gives the time that it took.

use crate::error::LabError;
use crate::messages::{Command, Reply};
use crate::stand_in::{self, ZoneCounters};
use mossrill::protocol::http::{ReadError, Reader};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Response header with the service time of the request in µs.
pub const SERVICE_HEADER: &str = "X-Service-Micros";
/// Upper limit of the service time, as a multiple of the mean.
const MAX_MEAN_MULTIPLE: f64 = 8.0;
/// Maximum length of a request body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Serves until the controller sends [`Command::Finish`].
pub fn run(servers: u32, mean_ms: f64, seed: u64) -> Result<(), LabError> {
    let servers: Vec<Arc<ZoneCounters>> = (0..servers).map(|_| Arc::default()).collect();
    let connections = Arc::new(AtomicU64::new(seed));
    let ports = stand_in::listen(&servers, move |stream, server: &ZoneCounters| {
        let rng = StdRng::seed_from_u64(connections.fetch_add(1, Relaxed));
        // The limiter reopens a connection that ends.
        _ = serve(&stream, server, mean_ms, rng);
    });
    stand_in::send_reply(&Reply::Ready(ports?))?;
    for command in stand_in::commands() {
        if matches!(command, Command::Finish) {
            break;
        }
    }
    stand_in::send_reply(&Reply::Load(
        servers.iter().map(|server| server.load()).collect(),
    ))
}

fn serve(
    mut stream: &TcpStream,
    server: &ZoneCounters,
    mean_ms: f64,
    mut rng: StdRng,
) -> Result<(), ReadError> {
    let mut reader = Reader::new(stream);
    loop {
        let request = reader.read_request()?;
        reader.read_body(request.body, MAX_BODY_BYTES)?;
        server.call(0);
        let began = Instant::now();
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        let delay_ms = mean_ms * (-uniform.ln()).min(MAX_MEAN_MULTIPLE);
        std::thread::sleep(Duration::from_secs_f64(delay_ms / 1e3));
        let elapsed_us = began.elapsed().as_micros();
        let text = format!(
            "HTTP/1.1 200 OK\r\n{SERVICE_HEADER}: {elapsed_us}\r\nContent-Length: 2\r\n\r\nok"
        );
        stream.write_all(text.as_bytes())?;
    }
}
