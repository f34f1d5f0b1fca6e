//! Configuration files and addresses of allocators and limiters.

use crate::peers::Program;
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};

/// Number of allocators.
pub const ALLOCATORS: u32 = 3;

/// Number of limiters that run.
pub const LIMITERS: u32 = 3;

/// Account of all requests of the clients.
pub const ACCOUNT: &str = "agen-utama";

/// Rate of the account's plan in units per second. A request costs one unit.
pub const RATE: f64 = 30.0;

/// Burst of the account's plan in units.
pub const BURST: f64 = 20.0;

/// Duration of a lease.
pub const LIFETIME_MS: u64 = 1_000;

/// Fraction of the quota that all limiters together may use while its owner does not answer.
pub const FALLBACK: f64 = 0.5;

/// Time without a report after which an allocator closes a connection.
pub const IDLE_MS: u64 = 3_000;

/// Interval at which allocators log metrics.
pub const LOG_INTERVAL_MS: u64 = 200;

/// Port at which allocator 0 listens for limiters. Each allocator adds its number.
pub const SERVICE_PORT: u16 = 7_300;

/// Port at which allocator 0 listens for its fleet. Each allocator adds its number.
pub const FLEET_PORT: u16 = 7_946;

/// Returns a loopback address that no other test uses while this process runs.
///
/// On 127.0.0.1, the system could assign an allocator's port to a connection of another process while
/// the allocator is down. No allocator of these tests listens on that address.
pub fn unique_host() -> Ipv4Addr {
    static HOSTS: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(
        127,
        1 + high % 250,
        low,
        1 + HOSTS.fetch_add(1, Ordering::Relaxed),
    )
}

/// Addresses of the allocators, by number.
pub struct Addresses {
    /// Addresses at which they listen for limiters.
    pub service: Vec<SocketAddr>,
    /// Addresses at which they listen for each other.
    pub fleet: Vec<SocketAddr>,
}

impl Addresses {
    /// Returns addresses on a host that no other test uses.
    pub fn new() -> Self {
        let host = unique_host();
        let ports_from = |port: u16| {
            (port..)
                .take(ALLOCATORS as usize)
                .map(|port| (host, port).into())
                .collect()
        };
        Self {
            service: ports_from(SERVICE_PORT),
            fleet: ports_from(FLEET_PORT),
        }
    }

    /// Returns the configuration of an allocator.
    pub fn allocator_file(&self, number: u32) -> Value {
        let seed = |(number, at): (usize, &SocketAddr)| json!({"limiter": number, "address": at.to_string()});
        let seeds: Vec<Value> = self.fleet.iter().enumerate().map(seed).collect();
        let own = number as usize;
        json!({"number": number, "allocators": ALLOCATORS, "limiters": LIMITERS + 1,
            "listen": self.service[own].to_string(), "lifetime_ms": LIFETIME_MS, "idle_ms": IDLE_MS, "frame_ms": 500,
            "log_interval_ms": LOG_INTERVAL_MS,
            "fleet": {"name": "allocators", "key": "00112233445566778899aabbccddeeff", "period_ms": 100,
                "out_per_s": 100, "in_per_s": 100, "listen": self.fleet[own].to_string(), "seeds": seeds}})
    }

    /// Returns the configuration of limiter `number`.
    pub fn limiter_file(&self, number: u32, upstreams: &[SocketAddr]) -> Value {
        let allocator = |(number, at): (usize, &SocketAddr)| json!({"number": number, "address": at.to_string()});
        let allocators: Vec<Value> = self.service.iter().enumerate().map(allocator).collect();
        let server = |(number, at): (usize, &SocketAddr)| json!({"name": format!("node-{number}"), "address": at.to_string()});
        let servers: Vec<Value> = upstreams.iter().enumerate().map(server).collect();
        json!({"name": format!("limiter-{number}"), "listen": "127.0.0.1:0", "limiters": {"me": number, "all": LIMITERS},
            "description": concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/ferry.openapi.json"),
            "plans": [{"name": "utama", "rate": RATE, "burst": BURST}],
            "accounts": [{"name": ACCOUNT, "plan": "utama"}],
            "ticket_nodes": servers,
            "store": {"kind": "leases", "allocators": allocators, "lifetime_ms": LIFETIME_MS, "interval_ms": 200,
                "answer_ms": 2_000, "fallback": FALLBACK}})
    }

    /// Starts an allocator of the test `test_name`.
    pub fn start_allocator(&self, test_name: &str, number: u32) -> Program {
        let name = format!("{test_name}-allocator-{number}");
        Program::start_with(&name, &self.allocator_file(number), allocator_command)
    }
}

/// Returns the command that starts an allocator with a configuration file.
pub fn allocator_command(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mossrill-allocator"));
    command.arg(file);
    command
}
