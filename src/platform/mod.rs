//! A limiter on the platform: what it is told joined to what it speaks.

pub mod client_protocol;
pub mod upstream_protocol;

use crate::config::Platform;
use crate::counter::http::QuotaCounter;
use crate::counter::CountLines;
use crate::discovery::{self, PollSettings};
use crate::platform::client_protocol::PlatformClientProtocol;
use crate::platform::upstream_protocol::PlatformUpstreamProtocol;
use crate::process::{Limiter, Reload};
use slog::{info, o, warn, Logger};
use std::io;
use std::time::Duration;

/// Starts a limiter on the platform, all but its core. The second is what a new configuration is given to.
pub fn start(
    config: Platform,
    log: &Logger,
) -> io::Result<(Limiter<PlatformClientProtocol>, Reload<Platform>)> {
    let settings = &config.common.settings;
    let classes = settings
        .classes
        .iter()
        .map(|c| (Duration::from_micros(c.deadline), c.idempotency))
        .collect();
    let (limiters, most_units) = (settings.limiters, config.most_units);
    let agents = PlatformClientProtocol {
        names: config.names,
        classes,
        most_units,
        limiters,
    };
    let protocol = PlatformUpstreamProtocol(config.load_fields);
    let (generation, seed) = (config.common.known.generation, config.common.seed);
    let grace = Duration::from_micros(settings.safety.drain_grace);
    let wait = Duration::from_micros(settings.counter_timeout);
    let (mut list_at, mut counter_at) = (config.node_list, config.quota_counter);
    let counter_log = log.new(o!("part" => "counter"));
    let counter = |counted| match counter_at {
        Some(at) => CountLines::start(at, wait, QuotaCounter, counted, &counter_log).map(Some),
        None => Ok(None),
    };
    let limiter = Limiter::start(config.common, agents, protocol, counter, log)?;
    let list_log = log.new(o!("part" => "discovery"));
    let poll_settings = PollSettings {
        limiter_count: limiter.limiters(),
        drain_grace: grace,
        seed,
    };
    let watch =
        discovery::start_watch(list_at, generation, poll_settings, limiter.news(), list_log)?;
    let (lines, log) = (limiter.count_lines(), log.clone());
    let reload = move |config: Platform| {
        if config.node_list != list_at {
            watch.move_to(config.node_list);
        }
        match (&lines, config.quota_counter) {
            (Some(lines), Some(at)) if counter_at != Some(at) => lines.move_to(at),
            (None, Some(_)) => warn!(log, "counter change needs a restart"),
            _ => {}
        }
        (list_at, counter_at) = (config.node_list, config.quota_counter.or(counter_at));
        info!(log, "configuration reloaded"; "discovery" => %list_at, "counter" => ?counter_at);
    };
    Ok((limiter, Box::new(reload)))
}
