//! Configuration files and addresses of allocators and limiters.

use crate::peers::Program;
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};

pub const ALLOCATORS: u32 = 3;

pub const LIMITERS: u32 = 3;

pub const ACCOUNT: &str = "agen-utama";

/// Units a second, and the burst, of the account's plan. A request is one unit.
pub const RATE: f64 = 30.0;

pub const BURST: f64 = 20.0;

pub const LIFETIME_MS: u64 = 1_000;

/// Share of the quota that limiters may use together while its owner does not answer.
pub const FALLBACK: f64 = 0.5;

/// An allocator closes a connection without a report after this time.
pub const IDLE_MS: u64 = 3_000;

/// Metrics are logged so often.
pub const FIGURES_MS: u64 = 200;

/// Ports at which allocators listen, above which each adds its number.
pub const SERVICE_PORT: u16 = 7_300;

pub const FLEET_PORT: u16 = 7_946;

/// An address on loopback that no other test has while this process runs.
///
/// Guards against ports that the system gives to somebody else while an allocator is down: connections that others open come
/// from 127.0.0.1, where no allocator of these tests listens.
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

/// Addresses of the allocators: for limiters, and for each other.
pub struct Addresses {
    pub service: Vec<SocketAddr>,
    pub fleet: Vec<SocketAddr>,
}

impl Addresses {
    pub fn new() -> Self {
        let host = unique_host();
        let from = |port: u16| {
            (port..)
                .take(ALLOCATORS as usize)
                .map(|port| (host, port).into())
                .collect()
        };
        Self {
            service: from(SERVICE_PORT),
            fleet: from(FLEET_PORT),
        }
    }

    pub fn allocator_file(&self, number: u32) -> Value {
        let seed = |(number, at): (usize, &SocketAddr)| json!({"limiter": number, "address": at.to_string()});
        let seeds: Vec<Value> = self.fleet.iter().enumerate().map(seed).collect();
        let own = number as usize;
        json!({"number": number, "allocators": ALLOCATORS, "limiters": LIMITERS + 1,
            "listen": self.service[own].to_string(), "lifetime_ms": LIFETIME_MS, "idle_ms": IDLE_MS, "frame_ms": 500,
            "log_interval_ms": FIGURES_MS,
            "fleet": {"name": "allocators", "key": "00112233445566778899aabbccddeeff", "period_ms": 100,
                "out_per_s": 100, "in_per_s": 100, "listen": self.fleet[own].to_string(), "seeds": seeds}})
    }

    pub fn limiter_file(&self, me: u32, upstreams: &[SocketAddr]) -> Value {
        let allocator = |(number, at): (usize, &SocketAddr)| json!({"number": number, "address": at.to_string()});
        let allocators: Vec<Value> = self.service.iter().enumerate().map(allocator).collect();
        let server = |(number, at): (usize, &SocketAddr)| json!({"name": format!("node-{number}"), "address": at.to_string()});
        let servers: Vec<Value> = upstreams.iter().enumerate().map(server).collect();
        json!({"name": format!("limiter-{me}"), "listen": "127.0.0.1:0", "limiters": {"me": me, "all": LIMITERS},
            "description": concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/ferry.openapi.json"),
            "plans": [{"name": "utama", "rate": RATE, "burst": BURST}],
            "accounts": [{"name": ACCOUNT, "plan": "utama"}],
            "ticket_nodes": servers,
            "store": {"kind": "leases", "allocators": allocators, "lifetime_ms": LIFETIME_MS, "interval_ms": 200,
                "answer_ms": 2_000, "fallback": FALLBACK}})
    }

    pub fn start_allocator(&self, story: &str, number: u32) -> Program {
        let name = format!("{story}-allocator-{number}");
        Program::start_with(&name, &self.allocator_file(number), allocator_command)
    }
}

pub fn allocator_command(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mossrill-allocator"));
    command.arg(file);
    command
}
