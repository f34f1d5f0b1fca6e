//! Dispatch: which waiting request is sent next, and whether its account's quota allows it.

use super::account::{Account, CLAIM_MARGIN};
use super::concurrency::TARGET_LATENCY;
use super::counter_sync::{CounterSync, SyncReason};
use super::outlier::MIN_HEALTH_LIFETIME_MICROS;
use super::request::OpenRequest;
use super::settings::{Plan, SECOND};
use super::{Action, Engine, Micros, RequestId};
use std::collections::BTreeSet;

/// Rate at which the other limiters may have used units since the last call, as a multiple of the
/// plan's rate.
const UNSEEN_RATE_FACTOR: f64 = 4.0;
/// A request is sent without a call if the units certainly left in the bucket suffice for this many
/// requests of its size.
const MIN_REQUESTS_WITHOUT_CALL: f64 = 2.0;

/// Result of checking a waiting request against its account's quota.
enum QuotaDecision {
    /// The request may be sent.
    Send,
    /// The request waits for units, a concurrency slot or a total.
    Wait,
    /// The account has no units left for the request.
    Reject,
}

impl Engine {
    /// Sends waiting requests in the order of their start tags, up to the concurrency limit.
    pub(super) fn dispatch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut blocked = BTreeSet::new();
        let waiting: Vec<_> = self.queue.iter().cloned().collect();
        for (tag, id) in waiting {
            if !self.concurrency.has_capacity(now) {
                break;
            }
            let open = self
                .requests
                .get(&id)
                .filter(|open| !blocked.contains(&open.request.account));
            let Some(account) = open.map(|open| open.request.account.clone()) else {
                continue;
            };
            match self.check_quota(now, &id) {
                QuotaDecision::Wait => _ = blocked.insert(account),
                QuotaDecision::Reject => self.reject(&id, actions),
                QuotaDecision::Send => {
                    let Some(server) = self.choose_server(now, &id) else {
                        continue;
                    };
                    self.queue.advance(tag);
                    self.send(now, &id, server, actions);
                }
            }
        }
        self.call_counter(now, actions);
    }

    /// Checks the quota before the first attempt of a request. The request waits for a call of the
    /// counter if other limiters may have used the units that seem to be left.
    fn check_quota(&mut self, now: Micros, id: &RequestId) -> QuotaDecision {
        let Some(open) = self.requests.get(id) else {
            return QuotaDecision::Wait;
        };
        let plan = &self.settings.plans[open.request.plan];
        let since_cut = now.saturating_sub(self.concurrency.last_cut) as f64;
        let in_flight = self.concurrency.in_flight as f64;
        let has_spare_capacity =
            since_cut >= MIN_HEALTH_LIFETIME_MICROS && in_flight < self.servers.ready_count();
        let mean_latency = self.mean_latency().max(1.0);
        let Some(account) = self.accounts.get_mut(&open.request.account) else {
            return QuotaDecision::Wait;
        };
        let accepts_over_quota = plan.over_quota_weight > plan.over_quota_cost;
        if (accepts_over_quota && has_spare_capacity) || plan.is_unlimited() {
            return QuotaDecision::Send;
        }
        let usable = self.counter.is_usable();
        let shares_counter = usable && account.limiter_count > 1;
        let callable = self.counter.is_callable(now);
        let uses_counter = shares_counter && callable && self.counter.is_affordable();
        let claims_slots = plan.limits_concurrency_only()
            && uses_counter
            && !std::mem::take(&mut account.skip_call);
        if !claims_slots && is_at_concurrency_limit(account, plan) {
            return QuotaDecision::Wait;
        }
        if self.settings.quota_leases {
            return if open.leased {
                QuotaDecision::Send
            } else {
                QuotaDecision::Wait
            };
        }
        let age = now.saturating_sub(account.synced_at) as f64;
        account.refill(now, plan, usable);
        // Each slot becomes free about once per mean latency.
        let freed = f64::from(plan.max_concurrent) * age / mean_latency;
        if claims_slots && account.granted < 1.0 && account.tokens.max(0.0) + freed < 1.0 {
            return QuotaDecision::Wait;
        }
        let claims_units = plan.rate > 0.0 && account.is_sparse(plan);
        if self.counter.is_enabled() && (claims_slots || claims_units) {
            return self.check_claim(id, callable);
        }
        check_bucket(open, plan, account, &mut self.counter, age)
    }

    /// Checks a request whose units are claimed on the counter, in the call that reads the total.
    /// With a share of the bucket below one unit, a limiter's copy of the bucket is always
    /// outdated. If a call costs more than it is worth, the decision follows the grant rate of the
    /// plan's claims.
    fn check_claim(&mut self, id: &RequestId, callable: bool) -> QuotaDecision {
        let Some(open) = self.requests.get(id) else {
            return QuotaDecision::Wait;
        };
        let plan_index = open.request.plan;
        let plan = &self.settings.plans[plan_index];
        let Some(account) = self.accounts.get_mut(&open.request.account) else {
            return QuotaDecision::Wait;
        };
        if account.granted >= open.charge {
            return QuotaDecision::Send;
        }
        if account.call.is_some() {
            return QuotaDecision::Wait;
        }
        let claims_slots = plan.limits_concurrency_only();
        if !claims_slots && account.total_at.is_some() && account.tokens < open.charge {
            return QuotaDecision::Reject;
        }
        let grant_rate = self.counter.grant_rate(plan_index, account.claim_history);
        let over_quota_value = plan.over_quota_weight - plan.over_quota_cost;
        let skips_call = std::mem::take(&mut account.skip_call) || !callable;
        let value = claim_value(open.weight, grant_rate, over_quota_value);
        if claims_slots || (!skips_call && 2.0 * self.random.f64() * value > self.counter.price) {
            self.counter.count_claimed(plan_index);
            account.needs_total = true;
            let synced_at = account.synced_at;
            self.counter.schedule(
                SyncReason::RequestWaits,
                synced_at,
                open.request.account.clone(),
            );
            return QuotaDecision::Wait;
        }
        let load = (self.concurrency.relative_latency / TARGET_LATENCY).min(1.0);
        let min_value = load.powi(2) * self.counter.mean_weight / 2.0;
        if (grant_rate + (1.0 - grant_rate) * over_quota_value) * open.weight > min_value {
            self.counter.count_unclaimed(plan_index);
            account.granted += open.charge;
            return QuotaDecision::Send;
        }
        QuotaDecision::Reject
    }

    /// Whether the account holds the units of a waiting request, so that the quota does not delay
    /// it.
    pub(super) fn has_units(&self, open: &OpenRequest) -> bool {
        let account = self.accounts.get(&open.request.account);
        let tokens = account.map_or(0.0, |account| account.tokens);
        let plan = &self.settings.plans[open.request.plan];
        open.leased || plan.rate <= 0.0 || tokens >= open.request.units
    }
}

/// Checks a request against the local copy of the token bucket, for accounts whose share is at
/// least one unit. `age` is the time since the account's last counter call ended, in microseconds.
fn check_bucket(
    open: &OpenRequest,
    plan: &Plan,
    account: &mut Account,
    counter: &mut CounterSync,
    age: f64,
) -> QuotaDecision {
    let request = &open.request;
    if plan.rate <= 0.0 || account.granted >= request.units {
        return QuotaDecision::Send;
    }
    let is_new = account.total_at.is_none();
    let is_alone = !counter.is_usable() || account.limiter_count < 2;
    let margin = if is_new || is_alone {
        0.0
    } else {
        CLAIM_MARGIN
    };
    let has_enough = account.tokens >= request.units + margin;
    // Without the counter the copy holds only this limiter's share, which needs no total.
    if is_alone || (has_enough && (is_new || std::mem::take(&mut account.skip_call))) {
        return if has_enough {
            QuotaDecision::Send
        } else {
            QuotaDecision::Wait
        };
    }
    let others = 1.0 - 1.0 / f64::from(account.limiter_count);
    let unseen_units = UNSEEN_RATE_FACTOR * plan.rate * others * age / SECOND;
    if !is_new && account.tokens - unseen_units >= MIN_REQUESTS_WITHOUT_CALL * request.units {
        return QuotaDecision::Send;
    }
    // When a bucket is nearly empty, all limiters see the same units refill. If each relied on the
    // total alone, all of them would send, so that the units are claimed. For the first request of
    // a new account the total shows whether the bucket holds its units.
    if (is_new || has_enough) && account.call.is_none() {
        account.needs_total = true;
        account.to_claim = (request.units - account.granted - account.unconfirmed).max(0.0);
        let synced_at = account.synced_at;
        counter.schedule(SyncReason::RequestWaits, synced_at, request.account.clone());
    }
    QuotaDecision::Wait
}

/// Whether the attempts in flight have reached this limiter's share of the account's concurrency
/// limit.
fn is_at_concurrency_limit(account: &Account, plan: &Plan) -> bool {
    let own_share = ((f64::from(plan.max_concurrent) / account.share_divisor) as u32).max(1);
    plan.max_concurrent > 0 && account.in_flight >= own_share
}

/// Returns the value of a claim: it prevents an attempt beyond the quota, or it obtains units. The
/// divisor accounts for claims that are not granted, which cost a second call.
fn claim_value(weight: f64, grant_rate: f64, over_quota_value: f64) -> f64 {
    grant_rate.min((1.0 - grant_rate) * (1.0 - over_quota_value)) * weight / (2.0 - grant_rate)
}
