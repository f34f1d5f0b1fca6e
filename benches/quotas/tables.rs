//! What an experiment counts, as a table and as JSON lines.

use crate::world::{Account, KINDS};
use hdrhistogram::Histogram;
use mossrill::decision::{Micros, Outcome};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Why a try went beyond its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// More attempts out at once than the plan has.
    Cap,
    /// The limiter had no total of the account yet.
    Fresh,
    /// Its last total was of the window before.
    Edge,
    /// A call that the try waited for came to nothing.
    Unanswered,
    /// It did not ask, and what the others had told would have shown it.
    Unasked,
    /// The others had not told it yet.
    Untold,
    /// It held the store for fuller than the totals allow.
    Overcount,
}

pub const CAUSES: [(Cause, &str); 7] = [
    (Cause::Cap, "cap on attempts out"),
    (Cause::Fresh, "fresh store"),
    (Cause::Edge, "window edge"),
    (Cause::Unanswered, "call unanswered"),
    (Cause::Unasked, "sent without asking"),
    (Cause::Untold, "others told late"),
    (Cause::Overcount, "store counted too full"),
];

/// What a limiter knew when it sent a try on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// A total that came while the try waited.
    Asked,
    /// An older one.
    Known,
    /// None yet.
    Unknown,
    /// None: a call for it had failed.
    Failed,
}

/// Figures of one plan's accounts of one kind, in units.
#[derive(Clone, Copy, Default)]
pub struct Row {
    pub asked: f64,
    pub sent: f64,
    pub beyond: f64,
    pub refused: f64,
    /// Refused though the quota had room, for good; half of it or more.
    pub room: f64,
    pub half: f64,
}

pub struct Tables {
    pub rows: BTreeMap<(usize, usize), Row>,
    pub causes: BTreeMap<Cause, f64>,
    /// Units sent on, and beyond quotas, by what was known.
    pub ways: BTreeMap<Way, (f64, f64)>,
    pub retried: f64,
    pub tries: u64,
    pub calls: u64,
    pub away: u64,
    pub late: u64,
    /// Times of calls that were answered, and from a try's arrival to its first attempt, in µs.
    pub answered: Histogram<u64>,
    pub waited: Histogram<u64>,
}

impl Default for Tables {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds in order");
        let (answered, waited) = (histogram(), histogram());
        let (rows, causes, ways) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self {
            rows,
            causes,
            ways,
            retried: 0.0,
            tries: 0,
            calls: 0,
            away: 0,
            late: 0,
            answered,
            waited,
        }
    }
}

impl Tables {
    fn row(&mut self, account: &Account) -> &mut Row {
        let kind = KINDS
            .iter()
            .position(|(kind, _)| *kind == account.kind)
            .unwrap_or(0);
        self.rows.entry((account.plan, kind)).or_default()
    }

    pub fn asked(&mut self, account: &Account, units: f64) {
        self.row(account).asked += units;
    }

    pub fn sent(
        &mut self,
        account: &Account,
        units: f64,
        waited: Micros,
        cause: Option<Cause>,
        is_retry: bool,
    ) {
        let row = self.row(account);
        row.sent += units;
        row.beyond += if cause.is_some() { units } else { 0.0 };
        self.waited.saturating_record(waited.max(1));
        if let Some(cause) = cause {
            *self.causes.entry(cause).or_default() += units;
            self.retried += if is_retry { units } else { 0.0 };
        }
    }

    /// A try was sent on, knowing so much.
    pub fn knew(&mut self, way: Way, units: f64, beyond: bool) {
        let (sent, lost) = self.ways.entry(way).or_default();
        (*sent, *lost) = (*sent + units, *lost + if beyond { units } else { 0.0 });
    }

    pub fn refused(&mut self, account: &Account, units: f64, room: bool, half: bool, again: bool) {
        let row = self.row(account);
        if !again {
            row.refused += units;
            row.room += if room { units } else { 0.0 };
            row.half += if room && half { units } else { 0.0 };
        }
    }

    pub fn called(&mut self, took: f64, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.answered.saturating_record(took as u64),
            Outcome::Rejected => self.away += 1,
            _ => self.late += 1,
        }
    }

    fn all(&self) -> Row {
        self.rows.values().fold(Row::default(), |all, row| Row {
            asked: all.asked + row.asked,
            sent: all.sent + row.sent,
            beyond: all.beyond + row.beyond,
            refused: all.refused + row.refused,
            room: all.room + row.room,
            half: all.half + row.half,
        })
    }

    /// One line for the whole: shares of the units sent on, calls a try.
    pub fn line(&self) -> Value {
        let all = self.all();
        json!({
            "asked": all.asked.round(), "within": (all.sent - all.beyond).round(), "beyond": all.beyond.round(),
            "beyond_share": share(all.beyond, all.sent), "room_share": share(all.room, all.asked),
            "half_share": share(all.half, all.asked),
            "beyond_retried": share(self.retried, all.beyond),
            "calls_a_try": share(self.calls as f64, self.tries as f64),
            "calls_away": share(self.away as f64, self.calls as f64),
            "calls_late": share(self.late as f64, self.calls as f64),
            "call_ms_p50": self.answered.value_at_quantile(0.5) as f64 / 1e3,
            "call_ms_p99": self.answered.value_at_quantile(0.99) as f64 / 1e3,
            "wait_ms_p50": self.waited.value_at_quantile(0.5) as f64 / 1e3,
            "wait_ms_p99": self.waited.value_at_quantile(0.99) as f64 / 1e3,
            "ways": self.ways.iter().map(|(way, (sent, lost))| {
                (format!("{way:?}").to_lowercase(), json!([share(*sent, all.sent), share(*lost, *sent)]))
            }).collect::<serde_json::Map<_, _>>(),
            "causes": CAUSES.iter().map(|(cause, name)| {
                let units = self.causes.get(cause).copied().unwrap_or(0.0);
                ((*name).to_owned(), json!(share(units, all.beyond)))
            }).collect::<serde_json::Map<_, _>>(),
        })
    }

    /// A line for each plan and kind of account.
    pub fn table(&self) -> String {
        let plans = ["dasar", "menengah", "utama"];
        let mut text = format!(
            "{:<22}{:>9}{:>9}{:>9}{:>8}{:>9}{:>8}\n",
            "plan, kind", "asked", "within", "beyond", "%", "room", "%"
        );
        let rows = self
            .rows
            .iter()
            .map(|((plan, kind), row)| (format!("{}, {}", plans[*plan], KINDS[*kind].1), *row));
        for (name, row) in rows.chain([("all".into(), self.all())]) {
            text += &format!(
                "{name:<22}{:>9.0}{:>9.0}{:>9.0}{:>8.1}{:>9.0}{:>8.1}\n",
                row.asked,
                row.sent - row.beyond,
                row.beyond,
                100.0 * share(row.beyond, row.sent),
                row.room,
                100.0 * share(row.room, row.asked)
            );
        }
        text
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        (1e4 * part / whole).round() / 1e4
    } else {
        0.0
    }
}
