//! OpenAPI front of the limiter: HTTP, with an OpenAPI description as the source of routes, classes
//! and units.
//!
//! It uses the same core, decision module and quotas as the platform front.

pub mod client_protocol;
pub mod description;
mod forwarded_headers;
mod reply;
mod streamed_body;
pub mod upstream_protocol;

use crate::config::{OpenApiConfig, StoreConfig};
use crate::counter::http::HttpCounterProtocol;
use crate::counter::redis::RedisCounterProtocol;
use crate::counter::CounterClient;
use crate::process::{Limiter, Reload};
use client_protocol::HttpClientProtocol;
use slog::{info, o, warn, Logger};
use std::io;
use std::time::Duration;
use upstream_protocol::HttpUpstreamProtocol;

/// Starts all of a limiter with an OpenAPI front except its core. Returns the limiter, and a
/// function that applies a new configuration: its upstream servers and the address of its store
/// take effect, other changes need a restart.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a thread can't be started.
pub fn start(
    config: OpenApiConfig,
    log: &Logger,
) -> io::Result<(Limiter<HttpClientProtocol>, Reload<OpenApiConfig>)> {
    for operation in &config.description.without_effect {
        warn!(log, "operation is never retried, as x-quota-effect is missing"; "operation" => operation);
    }
    let store = config.store;
    let timeout = Duration::from_micros(config.common.settings.counter_timeout);
    let counter_log = log.new(o!("part" => "counter"));
    let start_counter = |on_reply| match store {
        StoreConfig::None | StoreConfig::Leases => Ok(None),
        StoreConfig::Redis(address) => CounterClient::start(
            address,
            timeout,
            RedisCounterProtocol,
            on_reply,
            &counter_log,
        )
        .map(Some),
        StoreConfig::HttpCounterProtocol(address) => CounterClient::start(
            address,
            timeout,
            HttpCounterProtocol,
            on_reply,
            &counter_log,
        )
        .map(Some),
    };
    let clients =
        HttpClientProtocol::new(config.description, config.account_header, config.accounts);
    let limiter = Limiter::start(
        config.common,
        clients,
        HttpUpstreamProtocol,
        start_counter,
        log,
    )?;
    let update_endpoints = limiter.endpoint_updates();
    let counter = limiter.counter_client();
    let log = log.clone();
    let reload = move |config: OpenApiConfig| {
        update_endpoints(config.common.initial_endpoints);
        if !apply_store(store, config.store, counter.as_ref()) {
            warn!(log, "counter or allocator change needs a restart");
        }
        info!(log, "configuration reloaded"; "store" => ?config.store);
    };
    Ok((limiter, Box::new(reload)))
}

/// Moves the counter client to the address in a new configuration. Returns whether the new store is
/// in effect: a change of its kind, and any change where units are leased, needs a restart.
fn apply_store(current: StoreConfig, new: StoreConfig, counter: Option<&CounterClient>) -> bool {
    let address = match (current, new) {
        (StoreConfig::None, StoreConfig::None) => return true,
        (StoreConfig::Redis(_), StoreConfig::Redis(address))
        | (StoreConfig::HttpCounterProtocol(_), StoreConfig::HttpCounterProtocol(address)) => {
            address
        }
        _ => return false,
    };
    match counter {
        Some(counter) => {
            counter.move_to(address);
            true
        }
        None => false,
    }
}
