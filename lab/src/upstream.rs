//! Stand-in for upstream servers: HTTP/1.1 that answers after a random time with a stated mean and says how long it
//! took.

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

/// The header that tells how long a server took, in µs.
pub const SERVICE_HEADER: &str = "X-Service-Micros";
/// An answer takes so many times the mean at the most.
const LONGEST: f64 = 8.0;
/// A request's body at most.
const LONGEST_BODY: usize = 64 * 1024;

/// Serves until it is told to finish.
pub fn run(servers: u32, mean_ms: f64, seed: u64) -> Result<(), LabError> {
    let servers: Vec<Arc<ZoneCounters>> = (0..servers).map(|_| Arc::default()).collect();
    let connections = Arc::new(AtomicU64::new(seed));
    let ports = stand_in::listen(&servers, move |stream, server: &ZoneCounters| {
        let rng = StdRng::seed_from_u64(connections.fetch_add(1, Relaxed));
        // A connection that ends is the limiter's to open again.
        _ = serve(&stream, server, mean_ms, rng);
    });
    stand_in::reply(&Reply::Ready(ports?))?;
    for command in stand_in::commands() {
        if matches!(command, Command::Finish) {
            break;
        }
    }
    stand_in::reply(&Reply::Load(
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
        let ask = reader.read_request()?;
        reader.read_body(ask.body, LONGEST_BODY)?;
        server.call(0);
        let began = Instant::now();
        let chance: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        let wanted = mean_ms * (-chance.ln()).min(LONGEST);
        std::thread::sleep(Duration::from_secs_f64(wanted / 1e3));
        let took = began.elapsed().as_micros();
        let text =
            format!("HTTP/1.1 200 OK\r\n{SERVICE_HEADER}: {took}\r\nContent-Length: 2\r\n\r\nok");
        stream.write_all(text.as_bytes())?;
    }
}
