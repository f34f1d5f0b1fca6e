//! The second front: HTTP, with an OpenAPI description as the source of routes, classes and units.
//!
//! It stands before the same core, decisions and quotas as the platform's front.

pub mod client_protocol;
pub mod description;
pub mod upstream_protocol;

use crate::config::{OpenApiConfig, StoreConfig};
use crate::counter::http::QuotaCounter;
use crate::counter::redis::RedisCounter;
use crate::counter::CountLines;
use crate::process::{Limiter, Reload};
use client_protocol::HttpClientProtocol;
use slog::{info, o, warn, Logger};
use std::io;
use std::time::Duration;
use upstream_protocol::HttpUpstreamProtocol;

/// Starts a limiter with an OpenAPI front, all but its core. The second is what a new file is given to: it may move
/// ticket nodes and store; all else waits for the next start.
pub fn start(
    config: OpenApiConfig,
    log: &Logger,
) -> io::Result<(Limiter<HttpClientProtocol>, Reload<OpenApiConfig>)> {
    for operation in &config.description.unmarked {
        warn!(log, "operation is never retried, as x-quota-effect is missing"; "operation" => operation);
    }
    let store = config.store;
    let wait = Duration::from_micros(config.common.settings.counter_timeout);
    let counter_log = log.new(o!("part" => "counter"));
    let counter = |counted| match store {
        StoreConfig::None | StoreConfig::Leases => Ok(None),
        StoreConfig::Redis(at) => {
            CountLines::start(at, wait, RedisCounter, counted, &counter_log).map(Some)
        }
        StoreConfig::QuotaCounter(at) => {
            CountLines::start(at, wait, QuotaCounter, counted, &counter_log).map(Some)
        }
    };
    let agents =
        HttpClientProtocol::new(config.description, config.account_header, config.accounts);
    let limiter = Limiter::start(config.common, agents, HttpUpstreamProtocol, counter, log)?;
    let (news, lines, log) = (limiter.news(), limiter.count_lines(), log.clone());
    let reload = move |config: OpenApiConfig| {
        news(config.common.known);
        match (store, config.store, &lines) {
            (StoreConfig::Redis(_), StoreConfig::Redis(at), Some(lines)) => lines.move_to(at),
            (StoreConfig::QuotaCounter(_), StoreConfig::QuotaCounter(at), Some(lines)) => {
                lines.move_to(at)
            }
            (StoreConfig::None, StoreConfig::None, _) => {}
            _ => warn!(log, "counter or allocator change needs a restart"),
        }
        info!(log, "configuration reloaded"; "store" => ?config.store);
    };
    Ok((limiter, Box::new(reload)))
}
