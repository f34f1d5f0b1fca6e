//! Platform front of the limiter: its client and upstream protocols, with service discovery and the
//! quota counter.

mod call;
pub mod client_protocol;
mod command;
mod command_reader;
mod streamed_value;
pub mod upstream_protocol;

use crate::config::PlatformConfig;
use crate::counter::http::HttpCounterProtocol;
use crate::counter::CounterClient;
use crate::decision::Settings;
use crate::discovery::{self, PollSettings, Watch};
use crate::platform::client_protocol::PlatformClientProtocol;
use crate::platform::upstream_protocol::PlatformUpstreamProtocol;
use crate::process::{Limiter, Reload};
use crate::simulator::Names;
use slog::{info, o, warn, Logger};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Starts all of a platform limiter except its core. Returns the limiter, and a function that
/// applies a new configuration.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a thread can't be started.
pub fn start(
    config: PlatformConfig,
    log: &Logger,
) -> io::Result<(Limiter<PlatformClientProtocol>, Reload<PlatformConfig>)> {
    let settings = &config.common.settings;
    let drain_grace = Duration::from_micros(settings.safety.drain_grace);
    let counter_timeout = Duration::from_micros(settings.counter_timeout);
    let generation = config.common.initial_endpoints.generation;
    let seed = config.common.seed;
    let addresses = Addresses {
        discovery: config.discovery,
        counter: config.quota_counter,
    };
    let clients = client_protocol(settings, config.names, config.max_units);
    let upstream = PlatformUpstreamProtocol(config.load_fields);
    let counter_log = log.new(o!("part" => "counter"));
    let start_counter = |on_reply| match addresses.counter {
        Some(address) => CounterClient::start(
            address,
            counter_timeout,
            HttpCounterProtocol,
            on_reply,
            &counter_log,
        )
        .map(Some),
        None => Ok(None),
    };
    let limiter = Limiter::start(config.common, clients, upstream, start_counter, log)?;
    let poll_settings = PollSettings {
        limiter_count: limiter.limiter_count(),
        drain_grace,
        seed,
    };
    let watch = discovery::start_watch(
        addresses.discovery,
        generation,
        poll_settings,
        limiter.endpoint_updates(),
        log.new(o!("part" => "discovery")),
    )?;
    let reload = reload(addresses, watch, limiter.counter_client(), log.clone());
    Ok((limiter, reload))
}

/// Addresses that a new configuration can change without a restart.
struct Addresses {
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
}

fn client_protocol(settings: &Settings, names: Names, max_units: f64) -> PlatformClientProtocol {
    let classes = settings
        .classes
        .iter()
        .map(|class| (Duration::from_micros(class.deadline), class.idempotency))
        .collect();
    PlatformClientProtocol {
        names,
        classes,
        max_units,
        limiter_count: settings.limiters,
    }
}

/// Returns the function that applies the addresses of service discovery and the counter in a new
/// configuration.
fn reload(
    mut current: Addresses,
    watch: Watch,
    counter: Option<CounterClient>,
    log: Logger,
) -> Reload<PlatformConfig> {
    Box::new(move |config: PlatformConfig| {
        if config.discovery != current.discovery {
            watch.move_to(config.discovery);
        }
        match (&counter, config.quota_counter) {
            (Some(counter), Some(address)) if current.counter != Some(address) => {
                counter.move_to(address);
            }
            (None, Some(_)) => warn!(log, "counter change needs a restart"),
            _ => {}
        }
        current = Addresses {
            discovery: config.discovery,
            counter: config.quota_counter.or(current.counter),
        };
        info!(log, "configuration reloaded"; "discovery" => %current.discovery, "counter" => ?current.counter);
    })
}
