//! Results of the hollow limiters of a run.

use super::{Change, Ended, Loads, Play, MAX_TICK_LATENESS_MS, SECOND};
use crate::audit::QuotaAudit;
use crate::messages::{DecisionCounts, HollowReport, QuotaOutcome, TenantUnits, ZoneLoad};
use crate::population::Population;
use crate::summary::Summary;
use serde::Serialize;

/// Results of the hollow limiters. Rates are averages over the time of the events, without the
/// start of the limiters.
#[derive(Debug, Serialize)]
pub struct HollowResult {
    /// Number of limiters.
    pub limiters: u32,
    /// Number of processes that hosted the limiters at the same time.
    pub processes: u32,
    /// Seconds from a limiter's start to its first whole list.
    pub first_list_s: Summary,
    /// Length of the whole list in bytes.
    pub whole_list_bytes: usize,
    /// Changes of the list, with the time until the limiters had each.
    pub changes: Vec<ChangeResult>,
    /// Number of missing changes: for each change, the limiters that did not have it at the end.
    pub changes_missing: u32,
    /// CPU use of a limiter as a fraction of a core.
    pub cpu_cores_per_limiter: f64,
    /// CPU time in seconds of a limiter's start and first list.
    pub start_cpu_s_per_limiter: f64,
    /// Resident memory per limiter in bytes.
    pub memory_bytes_per_limiter: f64,
    /// Traffic of service discovery.
    pub discovery: StandInResult,
    /// Traffic of the counter, if the limiters called it.
    pub counter: Option<StandInResult>,
    /// Decisions and units beyond quotas, if the limiters decided requests.
    pub quota: Option<QuotaOutcome>,
    /// Names of the events that were carried out.
    pub events: Vec<&'static str>,
    /// Signs that the machine did not keep up; empty if it did.
    pub fell_behind: Vec<String>,
}

/// One change of the server list.
#[derive(Debug, Serialize)]
pub struct ChangeResult {
    /// Name of the event that caused it.
    pub event: &'static str,
    /// Version of the list with this change.
    pub generation: u64,
    /// Length of its text in bytes.
    pub bytes: usize,
    /// Number of limiters that ran from before the change to the end.
    pub limiters: usize,
    /// Number of those limiters that never had it.
    pub missing: usize,
    /// Seconds until the other limiters had it.
    pub delay_s: Summary,
}

/// Traffic of a stand-in during the events.
#[derive(Debug, Serialize)]
pub struct StandInResult {
    /// Calls per second.
    pub calls_per_s: f64,
    /// Bytes per second, sent and received.
    pub bytes_per_s: f64,
    /// Calls per limiter and second.
    pub calls_per_limiter_s: f64,
    /// Bytes per limiter and second, sent and received.
    pub bytes_per_limiter_s: f64,
    /// Bytes per limiter and second in the zone with the highest rate.
    pub bytes_per_limiter_s_worst_zone: f64,
    /// Calls from the start of the limiters until all have ended.
    pub calls: u64,
    /// Number of whole lists sent.
    pub whole_lists: u64,
    /// Number of connections accepted.
    pub connections: u64,
}

impl Play<'_> {
    pub(super) fn result(
        &self,
        [before, after, total]: [&Loads; 3],
        elapsed: f64,
        mut fell_behind: Vec<String>,
    ) -> HollowResult {
        let changes: Vec<ChangeResult> = self.changes[1..]
            .iter()
            .map(|c| self.change_result(c))
            .collect();
        for Ended { report, .. } in &self.ended {
            let (p99, max) = report.late_ticks_ms;
            if p99 > MAX_TICK_LATENESS_MS {
                fell_behind.push(format!(
                    "timer ticks of a hollow process were late by {p99:.0} ms (p99), {max:.0} ms (max)"
                ));
            }
        }
        let limiter_seconds: f64 = self
            .ended
            .iter()
            .map(|e| f64::from(e.report.limiters) * e.report.elapsed_s)
            .sum();
        let limiters: f64 = self
            .ended
            .iter()
            .map(|e| f64::from(e.report.limiters))
            .sum();
        let sum =
            |of: fn(&HollowReport) -> f64| self.ended.iter().map(|e| of(&e.report)).sum::<f64>();
        let discovery = self.stand_in_result([&before.0, &after.0, &total.0], elapsed);
        let counter = match (&before.1, &after.1, &total.1) {
            (Some(before), Some(after), Some(total)) => {
                Some(self.stand_in_result([before, after, total], elapsed))
            }
            _ => None,
        };
        HollowResult {
            limiters: self.scenario.sizes.limiters,
            processes: self.scenario.sizes.zones,
            first_list_s: self.first_lists(),
            whole_list_bytes: self.changes[0].bytes,
            changes_missing: changes.iter().map(|change| change.missing as u32).sum(),
            changes,
            cpu_cores_per_limiter: sum(|r| r.cpu_s) / limiter_seconds.max(1e-9),
            start_cpu_s_per_limiter: sum(|r| r.start_cpu_s) / limiters.max(1.0),
            memory_bytes_per_limiter: sum(|r| r.memory_bytes as f64) / limiters.max(1.0),
            discovery,
            counter,
            quota: self.counter.is_some().then(|| self.quota()),
            events: self.events.clone(),
            fell_behind,
        }
    }

    /// Builds the result of a change. Only limiters that ran from before the change to the end of
    /// the play are counted.
    fn change_result(&self, change: &Change) -> ChangeResult {
        let ran_throughout = |e: &&Ended| e.started < change.at && e.ran_to_end;
        let lists = self
            .ended
            .iter()
            .filter(ran_throughout)
            .flat_map(|e| &e.report.versions);
        let delays_s: Vec<Option<f64>> = lists
            .map(|versions| {
                let first = versions
                    .iter()
                    .find(|(generation, _)| *generation >= change.generation);
                first.map(|(_, at)| at.saturating_sub(change.at) as f64 / SECOND)
            })
            .collect();
        let missing = delays_s.iter().filter(|delay| delay.is_none()).count();
        ChangeResult {
            event: change.event,
            generation: change.generation,
            bytes: change.bytes,
            limiters: delays_s.len(),
            missing,
            delay_s: Summary::of(delays_s.into_iter().flatten().collect()),
        }
    }

    /// Summarises the seconds from the start of limiters to their first list.
    fn first_lists(&self) -> Summary {
        let first = |ended: &Ended| {
            let started = ended.started;
            let at = |versions: &Vec<(u64, u64)>| versions.first().map(|(_, at)| *at);
            let delays = ended.report.versions.iter().filter_map(at);
            delays
                .map(|at| at.saturating_sub(started) as f64 / SECOND)
                .collect::<Vec<_>>()
        };
        Summary::of(self.ended.iter().flat_map(first).collect())
    }

    /// Builds the result of a stand-in from its counts before the events, after them, and when all
    /// limiters had ended.
    fn stand_in_result(
        &self,
        [before, after, to_end]: [&[ZoneLoad]; 3],
        elapsed: f64,
    ) -> StandInResult {
        let limiters = f64::from(self.scenario.sizes.limiters);
        let bytes = |zone: usize| {
            let both_ways = |load: &ZoneLoad| load.bytes_in + load.bytes_out;
            (both_ways(&after[zone]) - both_ways(&before[zone])) as f64 / elapsed
        };
        let total = |of: fn(&ZoneLoad) -> u64| {
            after
                .iter()
                .zip(before)
                .map(|(after, before)| of(after) - of(before))
                .sum::<u64>()
        };
        let zones = 0..after.len();
        let bytes_per_s: f64 = zones.clone().map(bytes).sum();
        let calls_per_s = total(|load| load.calls) as f64 / elapsed;
        let worst = zones.map(|zone| {
            let limiters = self.scenario.limiters_of_zone(zone as u32).len() as f64;
            bytes(zone) / limiters.max(1.0)
        });
        StandInResult {
            calls_per_s,
            bytes_per_s,
            calls_per_limiter_s: calls_per_s / limiters,
            bytes_per_limiter_s: bytes_per_s / limiters,
            bytes_per_limiter_s_worst_zone: worst.fold(0.0, f64::max),
            calls: to_end.iter().map(|load| load.calls).sum(),
            whole_lists: total(|load| load.whole_lists),
            connections: total(|load| load.connections),
        }
    }

    /// Sums the decisions of all limiters and audits the units that they sent upstream.
    fn quota(&self) -> QuotaOutcome {
        let population = Population::new(self.scenario, self.seed);
        let mut decisions = DecisionCounts::default();
        let mut units = Vec::new();
        for Ended { report, .. } in &self.ended {
            decisions.add(&report.decisions);
            units.extend_from_slice(&report.units);
        }
        units.sort_by_key(|sent| (sent.second, sent.tenant));
        let mut audit = QuotaAudit::default();
        for TenantUnits {
            second,
            tenant,
            units,
        } in units
        {
            let tenant = tenant as usize;
            audit.sent(
                u64::from(second) * SECOND as u64,
                tenant,
                units,
                population.plan(tenant),
            );
        }
        QuotaOutcome {
            decisions,
            audit: audit.result(&population),
        }
    }
}
