//! Export and import of the learned state of a decision engine in a hand-over.
//!
//! The code here copies values between the engine and the hand-over messages; it makes no
//! decisions.

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
    /// Exports the learned state for a successor process.
    ///
    /// Units that were not reported to the counter move to the exported state, so that only the
    /// successor reports them. Units of a token bucket that waiting requests need stay in this
    /// engine.
    pub fn export_learned_state(&mut self) -> LearnedState {
        LearnedState {
            accounts: self.export_accounts(),
            servers: self.export_servers(),
            bans: Vec::new(),
            recent_ids: Vec::new(),
            exported_at: 0,
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

    fn export_accounts(&mut self) -> Vec<AccountState> {
        let requests = &self.requests;
        let waiting_units = |account: &Account| -> f64 {
            let waiting_requests = account.waiting.iter().filter_map(|id| requests.get(id));
            waiting_requests.map(|open| open.request.units).sum()
        };
        let mut records = Vec::new();
        for (id, account) in &mut self.accounts {
            let retained_units = waiting_units(account).min(account.tokens.max(0.0));
            // The counter receives the units of a call in flight, although the successor never sees
            // the reply.
            let units_in_call = account
                .call
                .as_ref()
                .map_or(0.0, |call| call.reported + call.claimed);
            records.push(AccountState {
                id: id.0.to_string(),
                plan: account.plan as u32,
                limiter_count: account.limiter_count,
                finish_tag: account.finish_tag,
                bucket_level: account.tokens - retained_units,
                bucket_filled_at: account.refilled_at,
                unreported_units: std::mem::take(&mut account.unreported),
                window: account.window,
                reported_units: account.reported + units_in_call,
                units_elsewhere: account.window_units_elsewhere,
                last_counter_reply: account.total_at.unwrap_or(0),
                last_request: account.last_request_at,
                in_flight: account.in_flight,
            });
            account.tokens = retained_units;
        }
        records
    }

    fn export_servers(&self) -> Vec<ServerState> {
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
                ratio_updated_at: server.health.latency_updated_at,
                failures: failures(&server.health.failures),
            })
            .collect()
    }

    /// Takes back the state that was exported to a successor which did not begin to serve.
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

    /// Adopts the learned state of a predecessor. Returns the number of the predecessor's attempts
    /// in flight for each account that has any.
    pub fn adopt_state(&mut self, now: Micros, state: LearnedState) -> HashMap<AccountId, u32> {
        self.adopt_averages(now, &state);
        for record in state.servers {
            self.adopt_server(now, record);
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
            if is_valid(*mean) && *mean > 0.0 && is_valid(*failure_rate) {
                class.mean = *mean;
                class.failure_rate = failure_rate.min(1.0);
            }
        }
        adopt_if_valid(&mut self.queue.virtual_time, state.virtual_time);
        adopt_if_valid(&mut self.servers.send_rate, state.send_rate);
        adopt_if_valid(&mut self.counter.price, state.counter_call_price);
        adopt_if_valid(&mut self.counter.mean_weight, state.mean_priority_weight);
        if is_valid(state.concurrency_limit) && state.concurrency_limit > 0.0 {
            self.concurrency.limit = state.concurrency_limit;
            self.concurrency.last_cut = state.concurrency_limit_decreased_at.min(now);
        }
        if is_valid(state.max_counter_calls) {
            self.counter.max_calls = state.max_counter_calls.max(1.0);
        }
    }

    fn adopt_server(&mut self, now: Micros, record: ServerState) {
        let Some(server) = self.servers.servers.get_mut(&ServerId::from(&*record.id)) else {
            return;
        };
        // The predecessor has already used up the requests that slow start allows to a new server.
        server.slow_start = SlowStart::new(now, 0.0);
        if server.started_at != record.started
            || !is_valid(record.latency_ratio)
            || record.latency_ratio <= 0.0
        {
            return;
        }
        server.health.relative_latency = record.latency_ratio;
        server.health.latency_updated_at = record.ratio_updated_at.min(now);
        let valid = record
            .failures
            .into_iter()
            .filter(|entry| is_valid(entry.share));
        let failure_rate = |entry: ClassFailures| {
            let rate = FailureRate {
                rate: entry.share.min(1.0),
                updated_at: entry.at.min(now),
            };
            (entry.class as usize, rate)
        };
        server.health.failures = valid.map(failure_rate).collect();
    }

    /// Adopts the state of one account. Returns false if the record is invalid and was ignored.
    fn adopt_account(&mut self, now: Micros, id: &AccountId, record: AccountState) -> bool {
        let Some(plan) = self.settings.plans.get(record.plan as usize) else {
            return false;
        };
        let values = [
            record.finish_tag,
            record.bucket_level,
            record.unreported_units,
            record.reported_units,
            record.units_elsewhere,
        ];
        if !values.iter().all(|value| value.is_finite()) {
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
            window_units_elsewhere: record.units_elsewhere,
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

    /// Records the end of an attempt of the predecessor.
    pub fn predecessor_attempt_ended(&mut self, id: &AccountId) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
    }

    /// Returns the units that are not reported to the counter when this process exits: units used
    /// since [`Self::export_learned_state`], less units that were claimed and not used.
    pub fn final_report(&mut self) -> FinalReport {
        let entries = self.accounts.iter().map(|(id, account)| UnreportedUnits {
            id: id.0.to_string(),
            units: account.unreported - account.granted,
        });
        FinalReport {
            unreported: entries.filter(|entry| entry.units != 0.0).collect(),
        }
    }

    /// Adds the units of a predecessor's final report to the units that this process reports.
    pub fn add_unreported_units(&mut self, report: FinalReport) {
        for entry in report
            .unreported
            .into_iter()
            .filter(|entry| entry.units.is_finite())
        {
            let id = AccountId::from(&*entry.id);
            if let Some(account) = self.accounts.get_mut(&id) {
                // Units that the predecessor claimed and did not use (negative entries) are not
                // added to this copy of the token bucket.
                account.tokens -= entry.units.max(0.0);
                account.unreported += entry.units;
                let synced_at = account.synced_at;
                self.counter
                    .schedule(SyncReason::UnitsToReport, synced_at, id);
            }
        }
    }
}

fn is_valid(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn adopt_if_valid(current: &mut f64, received: f64) {
    if is_valid(received) {
        *current = received;
    }
}
