//! What a decision engine has learned, given to a successor process and taken from a predecessor.
//!
//! Copies records between the engine and the messages of a hand-over, and decides nothing.

use super::message::{
    Account as AccountRecord, Fails, FinalReport, LearnedState, Node, UnreportedUnits,
};
use crate::decision::account::Account;
use crate::decision::counter_sync::SyncReason;
use crate::decision::outlier::FailureRate;
use crate::decision::slow_start::SlowStart;
use crate::decision::{AccountId, Engine, Micros, ServerId};
use std::collections::{BTreeMap, HashMap};

impl Engine {
    /// Gives away what was learned.
    ///
    /// Units that the counter was not told of go along and are reported by the successor alone. The
    /// units that waiting requests may take from a token bucket stay here.
    pub fn learned_state(&mut self) -> LearnedState {
        LearnedState {
            accounts: self.give_accounts(),
            nodes: self.server_records(),
            bans: Vec::new(),
            paces: self.latencies.iter().map(|class| class.mean).collect(),
            fails: self
                .latencies
                .iter()
                .map(|class| class.failure_rate)
                .collect(),
            virtual_time: self.queue.virtual_time,
            depth: self.concurrency.limit,
            depth_cut: self.concurrency.last_cut,
            send_rate: self.servers.send_rate,
            price: self.counter.price,
            calls: self.counter.max_calls,
            mean_worth: self.counter.mean_weight,
        }
    }

    fn give_accounts(&mut self) -> Vec<AccountRecord> {
        let requests = &self.requests;
        let waiting_units = |account: &Account| -> f64 {
            let open = account.waiting.iter().filter_map(|id| requests.get(id));
            open.map(|open| open.request.units).sum()
        };
        let mut records = Vec::new();
        for (id, account) in &mut self.accounts {
            let kept = waiting_units(account).min(account.tokens.max(0.0));
            // The counter has the units of a call in flight, though its reply won't be seen.
            let in_call = account
                .call
                .as_ref()
                .map_or(0.0, |call| call.reported + call.claimed);
            records.push(AccountRecord {
                id: id.0.to_string(),
                plan: account.plan as u32,
                spread: account.limiter_count,
                finish: account.finish_tag,
                level: account.tokens - kept,
                filled: account.refilled_at,
                pending: std::mem::take(&mut account.unreported),
                window: account.window,
                told: account.reported + in_call,
                seen: account.seen_elsewhere,
                answered: account.total_at.unwrap_or(0),
                last_seen: account.last_request_at,
                open: account.in_flight,
            });
            account.tokens = kept;
        }
        records
    }

    fn server_records(&self) -> Vec<Node> {
        let failures = |failures: &BTreeMap<usize, FailureRate>| {
            let record = |(class, failure): (&usize, &FailureRate)| Fails {
                class: *class as u32,
                part: failure.rate,
                at: failure.updated_at,
            };
            failures.iter().map(record).collect()
        };
        let servers = self.servers.servers.iter();
        servers
            .map(|(id, server)| Node {
                id: id.0.to_string(),
                started: server.started_at,
                ratio: server.health.relative_latency,
                judged: server.health.judged_at,
                fails: failures(&server.health.failures),
            })
            .collect()
    }

    /// Takes back what was given to a successor that never served.
    pub fn reclaim_state(&mut self, state: LearnedState) {
        for record in state.accounts {
            let id = AccountId::from(&*record.id);
            if let Some(account) = self.accounts.get_mut(&id) {
                let burst = self.settings.plans[account.plan].burst;
                account.tokens = (account.tokens + record.level).min(burst);
                account.unreported += record.pending;
                let synced_at = account.synced_at;
                self.counter
                    .schedule(SyncReason::UnitsToReport, synced_at, id);
            }
        }
    }

    /// Takes what a predecessor has learned. Returns the predecessor's attempts in flight by account.
    pub fn adopt_state(&mut self, now: Micros, state: LearnedState) -> HashMap<AccountId, u32> {
        self.adopt_averages(now, &state);
        for node in state.nodes {
            self.adopt_server(now, node);
        }
        let mut in_flight = HashMap::new();
        for record in state.accounts {
            let id = AccountId::from(&*record.id);
            let attempts = record.open;
            if self.adopt_account(now, &id, record) && attempts > 0 {
                in_flight.insert(id, attempts);
            }
        }
        in_flight
    }

    fn adopt_averages(&mut self, now: Micros, state: &LearnedState) {
        let records = state.paces.iter().zip(&state.fails);
        for (class, (mean, failure_rate)) in self.latencies.iter_mut().zip(records) {
            if is_sound(*mean) && *mean > 0.0 && is_sound(*failure_rate) {
                class.mean = *mean;
                class.failure_rate = failure_rate.min(1.0);
            }
        }
        adopt(&mut self.queue.virtual_time, state.virtual_time);
        adopt(&mut self.servers.send_rate, state.send_rate);
        adopt(&mut self.counter.price, state.price);
        adopt(&mut self.counter.mean_weight, state.mean_worth);
        if is_sound(state.depth) && state.depth > 0.0 {
            self.concurrency.limit = state.depth;
            self.concurrency.last_cut = state.depth_cut.min(now);
        }
        if is_sound(state.calls) {
            self.counter.max_calls = state.calls.max(1.0);
        }
    }

    fn adopt_server(&mut self, now: Micros, node: Node) {
        let Some(server) = self.servers.servers.get_mut(&ServerId::from(&*node.id)) else {
            return;
        };
        // The predecessor has sent what a server in slow start may be sent.
        server.slow_start = SlowStart::new(now, 0.0);
        if server.started_at != node.started || !is_sound(node.ratio) || node.ratio <= 0.0 {
            return;
        }
        server.health.relative_latency = node.ratio;
        server.health.judged_at = node.judged.min(now);
        let sound = node
            .fails
            .into_iter()
            .filter(|record| is_sound(record.part));
        let failure = |record: Fails| {
            let rate = FailureRate {
                rate: record.part.min(1.0),
                updated_at: record.at.min(now),
            };
            (record.class as usize, rate)
        };
        server.health.failures = sound.map(failure).collect();
    }

    /// Returns false if the record can't be used.
    fn adopt_account(&mut self, now: Micros, id: &AccountId, record: AccountRecord) -> bool {
        let Some(plan) = self.settings.plans.get(record.plan as usize) else {
            return false;
        };
        let figures = [
            record.finish,
            record.level,
            record.pending,
            record.told,
            record.seen,
        ];
        if !figures.iter().all(|figure| figure.is_finite()) {
            return false;
        }
        let limiter_count = record.spread.clamp(1, self.settings.limiters.max(1));
        let account = Account {
            plan: record.plan as usize,
            limiter_count,
            share_divisor: f64::from(limiter_count),
            finish_tag: record.finish,
            tokens: record.level.min(plan.burst),
            refilled_at: record.filled.min(now),
            unreported: record.pending,
            window: record.window,
            reported: record.told,
            seen_elsewhere: record.seen,
            synced_at: record.answered.min(now),
            total_at: Some(record.answered.min(now)).filter(|at| *at > 0),
            last_request_at: record.last_seen.min(now),
            ceiling_refilled_at: now,
            in_flight: record.open,
            ..Account::default()
        };
        if account.unreported != 0.0 {
            self.counter
                .schedule(SyncReason::UnitsToReport, account.synced_at, id.clone());
        }
        self.accounts.insert(id.clone(), account);
        true
    }

    /// An attempt of a predecessor has ended.
    pub fn ended_before(&mut self, id: &AccountId) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
    }

    /// Units that the counter is still to be told of as this process ends: sent since
    /// [`Self::learned_state`], less what was claimed and not used.
    pub fn unreported_units(&mut self) -> FinalReport {
        let entries = self.accounts.iter().map(|(id, account)| UnreportedUnits {
            id: id.0.to_string(),
            units: account.unreported - account.granted,
        });
        FinalReport {
            unreported: entries.filter(|entry| entry.units != 0.0).collect(),
        }
    }

    /// Takes the units that a predecessor reported at its end.
    pub fn take_unreported(&mut self, report: FinalReport) {
        for entry in report
            .unreported
            .into_iter()
            .filter(|entry| entry.units.is_finite())
        {
            let id = AccountId::from(&*entry.id);
            if let Some(account) = self.accounts.get_mut(&id) {
                // What was claimed and not used is no gain to this copy of the token bucket.
                account.tokens -= entry.units.max(0.0);
                account.unreported += entry.units;
                let synced_at = account.synced_at;
                self.counter
                    .schedule(SyncReason::UnitsToReport, synced_at, id);
            }
        }
    }
}

fn is_sound(figure: f64) -> bool {
    figure.is_finite() && figure >= 0.0
}

fn adopt(own: &mut f64, predecessor: f64) {
    if is_sound(predecessor) {
        *own = predecessor;
    }
}
