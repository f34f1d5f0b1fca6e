//! Results of one simulation run, as a table and as a line of JSON.

use crate::world::{Account, USAGE_PROFILES};
use hdrhistogram::Histogram;
use mossrill::decision::{Micros, Outcome};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Why a request was sent upstream beyond the quota of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// As many attempts as the plan allows at once were in flight already.
    ConcurrencyCap,
    /// The limiter had not received any total of the account yet.
    NoTotal,
    /// The last total that the limiter received was of an earlier counter window.
    EarlierWindow,
    /// A counter call failed while the request waited.
    CallFailed,
    /// The limiter did not ask the counter, whose total would have shown that the quota was used
    /// up.
    NotAsked,
    /// The other limiters had not reported their units to the counter yet.
    ReportedLate,
    /// The limiter's copy of the bucket held more units than the totals allow.
    BucketTooFull,
}

/// Causes with their names in the report.
pub const CAUSES: [(Cause, &str); 7] = [
    (Cause::ConcurrencyCap, "cap on attempts out"),
    (Cause::NoTotal, "fresh store"),
    (Cause::EarlierWindow, "window edge"),
    (Cause::CallFailed, "call unanswered"),
    (Cause::NotAsked, "sent without asking"),
    (Cause::ReportedLate, "others told late"),
    (Cause::BucketTooFull, "store counted too full"),
];

/// What a limiter knew of the account's total on the counter when it sent a request upstream. The
/// report contains the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CounterKnowledge {
    /// A total that arrived while the request waited.
    Asked,
    /// A total that had arrived before the request.
    Known,
    /// No total yet.
    Unknown,
    /// No total, as the counter call that the request waited for failed.
    Failed,
}

/// Results for the accounts of one plan with one usage profile, in units.
#[derive(Clone, Copy, Default)]
pub struct Row {
    /// Units of first requests, retries not included.
    pub requested: f64,
    /// Units sent upstream.
    pub sent: f64,
    /// Units sent upstream beyond the quota.
    pub over_quota: f64,
    /// Units rejected without a further retry.
    pub refused: f64,
    /// The part of `refused` for which the quota had room.
    pub refused_with_room: f64,
    /// The part of `refused_with_room` whose bucket was at least half full.
    pub refused_half_full: f64,
}

/// Results of one run over all accounts.
pub struct Results {
    /// Results by index of the plan and index in [`USAGE_PROFILES`].
    pub rows: BTreeMap<(usize, usize), Row>,
    /// Units sent beyond quotas by cause.
    pub causes: BTreeMap<Cause, f64>,
    /// Units sent upstream, and those of them beyond quotas, by what the limiter knew.
    pub knowledge: BTreeMap<CounterKnowledge, (f64, f64)>,
    /// Units of retries that were sent beyond quotas.
    pub over_quota_retries: f64,
    /// Number of requests that arrived, retries included.
    pub requests: u64,
    /// Number of counter calls.
    pub counter_calls: u64,
    /// Number of counter calls that the counter rejected.
    pub rejected_calls: u64,
    /// Number of counter calls that timed out.
    pub late_calls: u64,
    /// Durations in µs of answered counter calls.
    pub call_micros: Histogram<u64>,
    /// Times in µs from the arrival of a request to its attempt.
    pub wait_micros: Histogram<u64>,
}

impl Default for Results {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, 60_000_000, 3)
                .expect("1 and 60,000,000 are valid histogram bounds")
        };
        let (call_micros, wait_micros) = (histogram(), histogram());
        let (rows, causes, knowledge) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self {
            rows,
            causes,
            knowledge,
            over_quota_retries: 0.0,
            requests: 0,
            counter_calls: 0,
            rejected_calls: 0,
            late_calls: 0,
            call_micros,
            wait_micros,
        }
    }
}

impl Results {
    fn row(&mut self, account: &Account) -> &mut Row {
        let profile = USAGE_PROFILES
            .iter()
            .position(|(profile, _)| *profile == account.profile)
            .unwrap_or(0);
        self.rows.entry((account.plan, profile)).or_default()
    }

    /// Records the first request of an operation, not a retry.
    pub fn record_request(&mut self, account: &Account, units: f64) {
        self.row(account).requested += units;
    }

    /// Records a request that was sent upstream after `waited` µs; `cause` tells why it was beyond
    /// the quota, if it was.
    pub fn record_send(
        &mut self,
        account: &Account,
        units: f64,
        waited: Micros,
        cause: Option<Cause>,
        is_retry: bool,
    ) {
        let row = self.row(account);
        row.sent += units;
        row.over_quota += if cause.is_some() { units } else { 0.0 };
        self.wait_micros.saturating_record(waited.max(1));
        if let Some(cause) = cause {
            *self.causes.entry(cause).or_default() += units;
            self.over_quota_retries += if is_retry { units } else { 0.0 };
        }
    }

    /// Records what the limiter knew when it sent a request upstream.
    pub fn record_knowledge(
        &mut self,
        knowledge: CounterKnowledge,
        units: f64,
        is_over_quota: bool,
    ) {
        let (sent, over_quota) = self.knowledge.entry(knowledge).or_default();
        let added = if is_over_quota { units } else { 0.0 };
        (*sent, *over_quota) = (*sent + units, *over_quota + added);
    }

    /// Records a rejected request. One that the client retries does not count.
    pub fn record_refusal(
        &mut self,
        account: &Account,
        units: f64,
        has_room: bool,
        is_half_full: bool,
        is_retried: bool,
    ) {
        let row = self.row(account);
        if !is_retried {
            row.refused += units;
            row.refused_with_room += if has_room { units } else { 0.0 };
            row.refused_half_full += if has_room && is_half_full { units } else { 0.0 };
        }
    }

    /// Records a counter call that ended after `duration` µs.
    pub fn record_call(&mut self, duration: f64, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.call_micros.saturating_record(duration as u64),
            Outcome::Rejected => self.rejected_calls += 1,
            _ => self.late_calls += 1,
        }
    }

    fn sum(&self) -> Row {
        self.rows.values().fold(Row::default(), |sum, row| Row {
            requested: sum.requested + row.requested,
            sent: sum.sent + row.sent,
            over_quota: sum.over_quota + row.over_quota,
            refused: sum.refused + row.refused,
            refused_with_room: sum.refused_with_room + row.refused_with_room,
            refused_half_full: sum.refused_half_full + row.refused_half_full,
        })
    }

    /// Returns the results over all accounts as JSON, most of them as fractions.
    pub fn to_json(&self) -> Value {
        let sum = self.sum();
        json!({
            "asked": sum.requested.round(), "within": (sum.sent - sum.over_quota).round(),
            "beyond": sum.over_quota.round(),
            "beyond_share": share(sum.over_quota, sum.sent), "room_share": share(sum.refused_with_room, sum.requested),
            "half_share": share(sum.refused_half_full, sum.requested),
            "beyond_retried": share(self.over_quota_retries, sum.over_quota),
            "calls_a_try": share(self.counter_calls as f64, self.requests as f64),
            "calls_away": share(self.rejected_calls as f64, self.counter_calls as f64),
            "calls_late": share(self.late_calls as f64, self.counter_calls as f64),
            "call_ms_p50": self.call_micros.value_at_quantile(0.5) as f64 / 1e3,
            "call_ms_p99": self.call_micros.value_at_quantile(0.99) as f64 / 1e3,
            "wait_ms_p50": self.wait_micros.value_at_quantile(0.5) as f64 / 1e3,
            "wait_ms_p99": self.wait_micros.value_at_quantile(0.99) as f64 / 1e3,
            "ways": self.knowledge.iter().map(|(knowledge, (sent, over_quota))| {
                (
                    format!("{knowledge:?}").to_lowercase(),
                    json!([share(*sent, sum.sent), share(*over_quota, *sent)]),
                )
            }).collect::<serde_json::Map<_, _>>(),
            "causes": CAUSES.iter().map(|(cause, name)| {
                let units = self.causes.get(cause).copied().unwrap_or(0.0);
                ((*name).to_owned(), json!(share(units, sum.over_quota)))
            }).collect::<serde_json::Map<_, _>>(),
        })
    }

    /// Returns a table with a line for each plan and usage profile, and one for all accounts.
    pub fn to_table(&self) -> String {
        let plans = ["dasar", "menengah", "utama"];
        let mut text = format!(
            "{:<22}{:>9}{:>9}{:>9}{:>8}{:>9}{:>8}\n",
            "plan, kind", "asked", "within", "beyond", "%", "room", "%"
        );
        let rows = self.rows.iter().map(|((plan, profile), row)| {
            (
                format!("{}, {}", plans[*plan], USAGE_PROFILES[*profile].1),
                *row,
            )
        });
        for (name, row) in rows.chain([("all".into(), self.sum())]) {
            text += &format!(
                "{name:<22}{:>9.0}{:>9.0}{:>9.0}{:>8.1}{:>9.0}{:>8.1}\n",
                row.requested,
                row.sent - row.over_quota,
                row.over_quota,
                100.0 * share(row.over_quota, row.sent),
                row.refused_with_room,
                100.0 * share(row.refused_with_room, row.requested)
            );
        }
        text
    }
}

/// Returns the fraction `part / whole` rounded to four decimal places, or 0 if there is no whole.
fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        (1e4 * part / whole).round() / 1e4
    } else {
        0.0
    }
}
