//! What the play of the hollow limiters showed.

use super::{Change, Ended, Loads, Play, LATE_MS, SECOND};
use crate::audit::QuotaAudit;
use crate::messages::{DecisionCounts, HollowReport, QuotaOutcome, TenantUnits, ZoneLoad};
use crate::population::Population;
use crate::summary::Summary;
use serde::Serialize;

/// What the play of the hollow limiters showed. Rates are those of the time in which the events were played.
#[derive(Debug, Serialize)]
pub struct HollowResult {
    /// Limiters.
    pub limiters: u32,
    /// Processes that hosted them.
    pub processes: u32,
    /// Seconds from a limiter's start to its first whole list.
    pub first_list_s: Summary,
    /// Bytes of the whole list.
    pub whole_list_bytes: usize,
    /// By change of the list: time until limiters had it.
    pub changes: Vec<ChangeResult>,
    /// Changes that some limiter did not have at the end, summed over limiters.
    pub changes_missing: u32,
    /// Processor time as a part of a core for each limiter.
    pub cpu_cores_per_limiter: f64,
    /// Processor time of a limiter's start and first list, in seconds.
    pub start_cpu_s_per_limiter: f64,
    /// Resident memory for each limiter in bytes.
    pub memory_bytes_per_limiter: f64,
    /// What discovery carried.
    pub discovery: StandInResult,
    /// What the counter carried, if it was called.
    pub counter: Option<StandInResult>,
    /// Decisions, and what went beyond quotas, if requests were decided.
    pub quota: Option<QuotaOutcome>,
    /// Events that were played.
    pub events: Vec<&'static str>,
    /// Why the machine did not keep up; empty if it did.
    pub fell_behind: Vec<String>,
}

/// One change of the list.
#[derive(Debug, Serialize)]
pub struct ChangeResult {
    /// What made it.
    pub event: &'static str,
    /// Its version.
    pub generation: u64,
    /// Bytes of its text.
    pub bytes: usize,
    /// Limiters that ran throughout.
    pub limiters: usize,
    /// Those that never had it.
    pub missing: usize,
    /// Seconds until limiters had it.
    pub delay_s: Summary,
}

/// What a stand-in carried while the events were played.
#[derive(Debug, Serialize)]
pub struct StandInResult {
    /// Calls a second.
    pub calls_per_s: f64,
    /// Bytes a second, both ways.
    pub bytes_per_s: f64,
    /// Calls a limiter and second.
    pub calls_per_limiter_s: f64,
    /// Bytes a limiter and second, both ways.
    pub bytes_per_limiter_s: f64,
    /// The most of any zone's limiters, in bytes a limiter and second.
    pub bytes_per_limiter_s_worst_zone: f64,
    /// Calls from the start to the very end.
    pub calls: u64,
    /// Whole lists sent.
    pub whole_lists: u64,
    /// Connections taken.
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
            let (p99, worst) = report.late_ticks_ms;
            if p99 > LATE_MS {
                fell_behind.push(format!(
                    "ticks of a hollow process late by {p99:.0} ms (p99), {worst:.0} ms"
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

    /// Only limiters that ran from before the change to the end of the play count.
    fn change_result(&self, change: &Change) -> ChangeResult {
        let whole = |e: &&Ended| e.started < change.at && e.to_the_end;
        let lists = self
            .ended
            .iter()
            .filter(whole)
            .flat_map(|e| &e.report.versions);
        let had: Vec<Option<f64>> = lists
            .map(|versions| {
                let first = versions
                    .iter()
                    .find(|(generation, _)| *generation >= change.generation);
                first.map(|(_, at)| at.saturating_sub(change.at) as f64 / SECOND)
            })
            .collect();
        let missing = had.iter().filter(|had| had.is_none()).count();
        ChangeResult {
            event: change.event,
            generation: change.generation,
            bytes: change.bytes,
            limiters: had.len(),
            missing,
            delay_s: Summary::of(had.into_iter().flatten().collect()),
        }
    }

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

    /// From what was carried before and after the events, and to the very end.
    fn stand_in_result(
        &self,
        [before, after, to_end]: [&[ZoneLoad]; 3],
        elapsed: f64,
    ) -> StandInResult {
        let limiters = f64::from(self.scenario.sizes.limiters);
        let bytes = |zone: usize| {
            let sum = |load: &ZoneLoad| load.bytes_in + load.bytes_out;
            (sum(&after[zone]) - sum(&before[zone])) as f64 / elapsed
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
