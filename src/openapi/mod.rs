//! The second front: HTTP, with an OpenAPI description as the source of routes, classes and units.
//!
//! It stands before the same core, decisions and quotas as the platform's front.

pub mod agents;
pub mod description;
pub mod node_calls;
mod strict;

use crate::config::{OpenApi, Store};
use crate::net::count_lines::CountLines;
use crate::net::quota_counter::QuotaCounter;
use crate::net::redis_counter::RedisCounter;
use crate::net::wiring::Limiter;
use agents::HttpAgents;
use node_calls::HttpSpeech;
use slog::{o, warn, Logger};
use std::io;

/// Starts a limiter with an OpenAPI front, all but its core.
pub fn start(config: OpenApi, log: &Logger) -> io::Result<Limiter<HttpAgents>> {
    for operation in &config.description.unmarked {
        warn!(log, "operation never repeated, as it does not say whether it may be"; "operation" => operation);
    }
    let store = config.store;
    let counter_log = log.new(o!("part" => "counter"));
    let counter = |counted| match store {
        Store::None => Ok(None),
        Store::Redis(at) => CountLines::start(at, RedisCounter, counted, &counter_log).map(Some),
        Store::QuotaCounter(at) => CountLines::start(at, QuotaCounter(at), counted, &counter_log).map(Some),
    };
    let agents = HttpAgents::new(config.description, config.account_header, config.accounts);
    Limiter::start(config.common, agents, HttpSpeech, counter, log)
}
