//! A limiter on the platform: what it is told joined to what it speaks.

use super::agents::Agents;
use super::count_lines::CountLines;
use super::node_calls::PlatformSpeech;
use super::node_list;
use super::quota_counter::QuotaCounter;
use super::wiring::Limiter;
use crate::config::Platform;
use slog::{o, Logger};
use std::io;
use std::time::Duration;

/// Starts a limiter on the platform, all but its core.
pub fn start(config: Platform, log: &Logger) -> io::Result<Limiter<Agents>> {
    let classes = &config.common.settings.classes;
    let deadlines = classes.iter().map(|c| Duration::from_micros(c.deadline)).collect();
    let agents = Agents { names: config.names, deadlines };
    let speech = PlatformSpeech(config.load_fields);
    let generation = config.common.known.generation;
    let counter_log = log.new(o!("part" => "counter"));
    let counter = |counted| match config.quota_counter {
        Some(at) => CountLines::start(at, QuotaCounter(at), counted, &counter_log).map(Some),
        None => Ok(None),
    };
    let limiter = Limiter::start(config.common, agents, speech, counter, log)?;
    node_list::watch(config.node_list, generation, limiter.news(), log.new(o!("part" => "node-list")))?;
    Ok(limiter)
}
