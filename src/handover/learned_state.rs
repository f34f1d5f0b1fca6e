//! What a decision engine has learned, given to a successor process and taken from a predecessor.
//!
//! Copies records between the engine and the messages of a hand-over, and decides nothing.

use super::message::{
    AccountState, ClassFailures, FinalReport, LearnedState, ServerState, UnreportedUnits,
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
            servers: self.server_records(),
            bans: Vec::new(),
            mean_latencies: self.latencies.iter().map(|class| class.mean).collect(),
            failure_rates: self
                .latencies
                .iter()
                .map(|class| class.failure_rate)
                .collect(),
            virtual_time: self.queue.virtual_time,
            concurrency_limit: self.concurrency.limit,
            concurrency_limit_decreased_at: self.concurrency.last_cut,
            send_rate: self.servers.send_rate,
            counter_call_price: self.counter.price,
            max_counter_calls: self.counter.max_calls,
            mean_priority_weight: self.counter.mean_weight,
        }
    }

    fn give_accounts(&mut self) -> Vec<AccountState> {
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
            records.push(AccountState {
                id: id.0.to_string(),
                plan: account.plan as u32,
                limiter_count: account.limiter_count,
                finish_tag: account.finish_tag,
                bucket_level: account.tokens - kept,
                bucket_filled_at: account.refilled_at,
                unreported_units: std::mem::take(&mut account.unreported),
                window: account.window,
                reported_units: account.reported + in_call,
                units_elsewhere: account.seen_elsewhere,
                last_counter_reply: account.total_at.unwrap_or(0),
                last_request: account.last_request_at,
                in_flight: account.in_flight,
            });
            account.tokens = kept;
        }
        records
    }

    fn server_records(&self) -> Vec<ServerState> {
        let failures = |failures: &BTreeMap<usize, FailureRate>| {
            let record = |(class, failure): (&usize, &FailureRate)| ClassFailures {
                class: *class as u32,
                share: failure.rate,
                at: failure.updated_at,
            };
            failures.iter().map(record).collect()
        };
        let servers = self.servers.servers.iter();
        servers
            .map(|(id, server)| ServerState {
                id: id.0.to_string(),
                started: server.started_at,
                latency_ratio: server.health.relative_latency,
                ratio_updated_at: server.health.judged_at,
                failures: failures(&server.health.failures),
            })
            .collect()
    }

    /// Takes back what was given to a successor that never served.
    pub fn reclaim_state(&mut self, state: LearnedState) {
        for record in state.accounts {
            let id = AccountId::from(&*record.id);
            if let Some(account) = self.accounts.get_mut(&id) {
                let burst = self.settings.plans[account.plan].burst;
                account.tokens = (account.tokens + record.bucket_level).min(burst);
                account.unreported += record.unreported_units;
                let synced_at = account.synced_at;
                self.counter
                    .schedule(SyncReason::UnitsToReport, synced_at, id);
            }
        }
    }

    /// Takes what a predecessor has learned. Returns the predecessor's attempts in flight by account.
    pub fn adopt_state(&mut self, now: Micros, state: LearnedState) -> HashMap<AccountId, u32> {
        self.adopt_averages(now, &state);
        for node in state.servers {
            self.adopt_server(now, node);
        }
        let mut in_flight = HashMap::new();
        for record in state.accounts {
            let id = AccountId::from(&*record.id);
            let attempts = record.in_flight;
            if self.adopt_account(now, &id, record) && attempts > 0 {
                in_flight.insert(id, attempts);
            }
        }
        in_flight
    }

    fn adopt_averages(&mut self, now: Micros, state: &LearnedState) {
        let records = state.mean_latencies.iter().zip(&state.failure_rates);
        for (class, (mean, failure_rate)) in self.latencies.iter_mut().zip(records) {
            if is_sound(*mean) && *mean > 0.0 && is_sound(*failure_rate) {
                class.mean = *mean;
                class.failure_rate = failure_rate.min(1.0);
            }
        }
        adopt(&mut self.queue.virtual_time, state.virtual_time);
        adopt(&mut self.servers.send_rate, state.send_rate);
        adopt(&mut self.counter.price, state.counter_call_price);
        adopt(&mut self.counter.mean_weight, state.mean_priority_weight);
        if is_sound(state.concurrency_limit) && state.concurrency_limit > 0.0 {
            self.concurrency.limit = state.concurrency_limit;
            self.concurrency.last_cut = state.concurrency_limit_decreased_at.min(now);
        }
        if is_sound(state.max_counter_calls) {
            self.counter.max_calls = state.max_counter_calls.max(1.0);
        }
    }

    fn adopt_server(&mut self, now: Micros, node: ServerState) {
        let Some(server) = self.servers.servers.get_mut(&ServerId::from(&*node.id)) else {
            return;
        };
        // The predecessor has sent what a server in slow start may be sent.
        server.slow_start = SlowStart::new(now, 0.0);
        if server.started_at != node.started
            || !is_sound(node.latency_ratio)
            || node.latency_ratio <= 0.0
        {
            return;
        }
        server.health.relative_latency = node.latency_ratio;
        server.health.judged_at = node.ratio_updated_at.min(now);
        let sound = node
            .failures
            .into_iter()
            .filter(|record| is_sound(record.share));
        let failure = |record: ClassFailures| {
            let rate = FailureRate {
                rate: record.share.min(1.0),
                updated_at: record.at.min(now),
            };
            (record.class as usize, rate)
        };
        server.health.failures = sound.map(failure).collect();
    }

    /// Returns false if the record can't be used.
    fn adopt_account(&mut self, now: Micros, id: &AccountId, record: AccountState) -> bool {
        let Some(plan) = self.settings.plans.get(record.plan as usize) else {
            return false;
        };
        let figures = [
            record.finish_tag,
            record.bucket_level,
            record.unreported_units,
            record.reported_units,
            record.units_elsewhere,
        ];
        if !figures.iter().all(|figure| figure.is_finite()) {
            return false;
        }
        let limiter_count = record.limiter_count.clamp(1, self.settings.limiters.max(1));
        let account = Account {
            plan: record.plan as usize,
            limiter_count,
            share_divisor: f64::from(limiter_count),
            finish_tag: record.finish_tag,
            tokens: record.bucket_level.min(plan.burst),
            refilled_at: record.bucket_filled_at.min(now),
            unreported: record.unreported_units,
            window: record.window,
            reported: record.reported_units,
            seen_elsewhere: record.units_elsewhere,
            synced_at: record.last_counter_reply.min(now),
            total_at: Some(record.last_counter_reply.min(now)).filter(|at| *at > 0),
            last_request_at: record.last_request.min(now),
            ceiling_refilled_at: now,
            in_flight: record.in_flight,
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
