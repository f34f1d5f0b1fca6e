//! Limiters that run in the process of the test.

use super::stores::endpoint_entry;
use mossrill::client::ClientProtocol;
use mossrill::process::{Limiter, Reload, Stopper};
use mossrill::{config, openapi, platform};
use serde_json::{json, Value};
use slog::{o, Discard, Logger};
use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;

/// A limiter that runs on a thread of this process until it is stopped or this value is dropped.
pub struct RunningLimiter {
    pub client_address: SocketAddr,
    /// Address of the admin interface, if the configuration has one.
    pub admin_address: Option<SocketAddr>,
    stopper: Option<Stopper>,
    limiter_thread: JoinHandle<()>,
}

impl RunningLimiter {
    fn new<P: ClientProtocol, C>((limiter, _): (Limiter<P>, Reload<C>)) -> Self {
        let (client_address, admin_address, stopper) = (
            limiter.client_address,
            limiter.admin_address,
            Some(limiter.stopper()),
        );
        Self {
            client_address,
            admin_address,
            stopper,
            limiter_thread: thread::spawn(move || limiter.run()),
        }
    }

    /// Stops the limiter, and waits until its thread has ended.
    pub fn stop(mut self) {
        self.stopper
            .take()
            .expect("the limiter has not been stopped yet")
            .stop();
        self.limiter_thread
            .join()
            .expect("the limiter does not panic");
    }
}

/// Returns the configuration of a limiter on the platform, with three request classes, one plan and
/// these upstream servers.
pub fn settings(
    discovery: SocketAddr,
    counter: SocketAddr,
    servers: &[(&str, SocketAddr)],
) -> Value {
    let servers: Vec<Value> = servers
        .iter()
        .map(|(name, address)| endpoint_entry(name, *address, "in_service"))
        .collect();
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "slo": 800_000, "deadline": 2_000_000, "importance": 1.0,
            "group": "all", "memorySpan": 10_000_000})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "counter": counter.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 1024},
        "known": {"generation": 7, "reset": true, "instances": servers},
        "settings": {"me": 0, "balancers": 1, "tick": 2000, "az": "z",
            "classes": [class("look", "read_like"), class("hold", "idempotency_key"), class("pay", "non_idempotent")],
            "tariffs": [{"name": "basic", "refill": 100.0, "peakUnits": 200.0, "worthFactor": 1.0}],
            "limits": {"maxAttempts": 4, "mayCancel": true, "secondCopies": true, "retryAfter": true,
                "maxRetryAfter": 1_000_000, "connIdle": 30_000_000, "connectTimeout": 250_000, "maxOpen": 20_000},
            "loadInfo": {"fields": ["queue", "inflight", "util"], "source": "pull"},
            "specifics": {"mayCount": true, "unitsTop": 6, "counterTimeout": 50_000}}})
}

/// Starts a limiter on the platform with this configuration.
pub fn start_limiter(settings: &Value) -> RunningLimiter {
    let config =
        config::platform(&settings.to_string(), |_| None).expect("the configuration is valid");
    RunningLimiter::new(platform::start(config, &discard_logger()).expect("the limiter starts"))
}

/// Starts a limiter with an OpenAPI front.
pub fn start_openapi_limiter(file: &Value, description: &str) -> RunningLimiter {
    start_reloaded_openapi_limiter(file, None, description)
}

/// Starts a limiter with an OpenAPI front and, if `other` is given, reloads it with that file at
/// once.
pub fn start_reloaded_openapi_limiter(
    file: &Value,
    other: Option<&Value>,
    description: &str,
) -> RunningLimiter {
    let read = |file: &Value| config::openapi(&file.to_string(), |_| Ok(description.to_owned()));
    let (limiter, mut reload) =
        openapi::start(read(file).expect("the file is valid"), &discard_logger())
            .expect("the limiter starts");
    other
        .into_iter()
        .for_each(|file| reload(read(file).expect("the new file is valid")));
    RunningLimiter::new((limiter, reload))
}

fn discard_logger() -> Logger {
    Logger::root(Discard, o!())
}
