//! Start times of upstream servers, in the time of the limiter's clock.
//!
//! Service discovery gives start times as wall clock time. The wall clock may step, and the
//! limiter's clock does not follow it: a server that has just started could then seem to have
//! started an hour ago, and get the load of a warm one.

use crate::decision::{Endpoint, Micros, Readiness, ServerId, UpdateScope};
use std::collections::{HashMap, HashSet};

/// A smaller difference between the clocks is no step, in microseconds.
const MIN_STEP: u64 = 1_000_000;
/// Number of the last steps that are known.
const MAX_STEPS: usize = 8;

/// Converts start times. It has to see the wall clock often enough to notice each step.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// By how much the wall clock was ahead of the limiter's clock, in microseconds: now, and before
    /// the last steps.
    offsets: Vec<i64>,
    /// Listed and converted start times of the servers.
    converted: HashMap<ServerId, (Micros, Micros)>,
}

impl StartTimes {
    /// Notes what both clocks show at the same time.
    pub fn observe(&mut self, now: Micros, wall_clock: Micros) {
        let offset = wall_clock as i64 - now as i64;
        if self.offsets.is_empty() {
            // The limiter's clock was set by the wall clock.
            self.offsets.push(0);
        }
        let is_known = |known: &i64| known.abs_diff(offset) < MIN_STEP;
        if !self.offsets.iter().any(is_known) {
            self.offsets.push(offset);
            if self.offsets.len() > MAX_STEPS {
                self.offsets.remove(0);
            }
        }
    }

    /// Converts the start times of listed servers. A server keeps the time that was found first for
    /// a listed one.
    pub fn convert(&mut self, now: Micros, scope: UpdateScope, endpoints: &mut [Endpoint]) {
        if scope == UpdateScope::Snapshot {
            let listed: HashSet<&ServerId> =
                endpoints.iter().map(|endpoint| &endpoint.id).collect();
            self.converted.retain(|id, _| listed.contains(id));
        }
        for endpoint in endpoints {
            if endpoint.readiness == Readiness::Removed {
                self.converted.remove(&endpoint.id);
            } else if endpoint.started_at > 0 {
                endpoint.started_at = self.converted_time(now, endpoint);
            }
        }
    }

    fn converted_time(&mut self, now: Micros, endpoint: &Endpoint) -> Micros {
        let listed = endpoint.started_at;
        let known = self.converted.get(&endpoint.id);
        if let Some((_, converted)) = known.filter(|(known, _)| *known == listed) {
            return *converted;
        }
        let converted = self.latest_possible(now, listed);
        self.converted
            .insert(endpoint.id.clone(), (listed, converted));
        converted
    }

    /// Returns the latest time that a listed one may stand for. The wall clock may have been read
    /// before or after each step; the latest time makes the server the coldest.
    fn latest_possible(&self, now: Micros, listed: Micros) -> Micros {
        let candidates = self
            .offsets
            .iter()
            .map(|offset| listed.saturating_add_signed(-offset));
        let latest = candidates.filter(|time| *time <= now + MIN_STEP).max();
        if self.offsets.len() < 2 {
            return listed;
        }
        latest.unwrap_or(now).max(1)
    }
}
