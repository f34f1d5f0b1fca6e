//! Admission: which requests are queued and which are rejected at once.

use super::account::Account;
use super::concurrency::TARGET_LATENCY;
use super::request::OpenRequest;
use super::settings::SECOND;
use super::{AccountId, Action, Engine, Micros, Request};

/// Minimum timeout of a request in ticks, so that it can be checked and answered in time.
const MIN_TIMEOUT_TICKS: Micros = 4;

impl Engine {
    /// Queues a request, or rejects it if it can't be answered in time.
    pub(super) fn admit(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        if request.class >= self.settings.classes.len() || request.plan >= self.settings.plans.len()
        {
            actions.push(Action::Reject {
                id: request.id,
                retry_after: 0,
            });
            return;
        }
        let class = &self.settings.classes[request.class];
        let elapsed =
            self.latencies[request.class].time_since_first_attempt(request.timeout, class.deadline);
        let is_late = elapsed >= class.latency_objective;
        let is_worthless = is_late && class.late_weight <= 0.0;
        let is_too_short = request.timeout < MIN_TIMEOUT_TICKS * self.settings.tick_interval();
        if is_too_short || is_worthless || self.servers.all_draining() {
            actions.push(Action::Reject {
                id: request.id,
                retry_after: self.retry_after(),
            });
            return;
        }
        let objective = if is_late {
            class.latency_objective
        } else {
            class.latency_objective - elapsed
        };
        let value_fraction = if is_late { class.late_weight } else { 1.0 };
        let plan = &self.settings.plans[request.plan];
        let weight = class.priority_weight * value_fraction * plan.weight_factor * request.units;
        if self.has_room_for_account(now, &request.account) {
            self.enqueue(now, request, weight, objective, actions);
        } else {
            actions.push(Action::Reject {
                id: request.id,
                retry_after: self.retry_after(),
            });
        }
    }

    fn enqueue(
        &mut self,
        now: Micros,
        request: Request,
        weight: f64,
        objective: Micros,
        actions: &mut Vec<Action>,
    ) {
        let limiter_count = request
            .limiter_count
            .clamp(1, self.settings.limiters.max(1));
        let divisor = self
            .quota_shares
            .account_divisor(now, request.first_limiter, limiter_count);
        let fair_weight = self.settings.fair_weight(request.plan);
        self.add_account(now, &request, limiter_count, divisor, fair_weight);
        let share = self.queue.share(fair_weight);
        let Some(account) = self.accounts.get_mut(&request.account) else {
            return;
        };
        account.last_request_at = now;
        account.share_divisor = divisor;
        self.counter.record_request(weight);
        let delay = account.take_start_tag_delay(
            share,
            request.units,
            self.quota_shares.fleet_divisor(now),
        );
        let tag = self
            .queue
            .tag(&mut account.finish_tag, delay, request.units, share);
        self.queue.insert(tag, request.id.clone());
        account.waiting.push(request.id.clone());
        let charge = if self.settings.plans[request.plan].rate > 0.0 {
            request.units
        } else {
            1.0
        };
        let open = OpenRequest {
            weight,
            charge,
            objective_at: now + objective.min(request.timeout),
            deadline: now + request.timeout,
            tag,
            attempts: Vec::new(),
            streaming: false,
            leased: false,
            request: request.clone(),
        };
        self.requests.insert(request.id.clone(), open);
        if self.settings.quota_leases {
            actions.push(lease_request(request, limiter_count));
        } else {
            self.trim_backlog(now, &request.account, actions);
        }
    }

    fn add_account(
        &mut self,
        now: Micros,
        request: &Request,
        limiter_count: u32,
        share_divisor: f64,
        fair_weight: f64,
    ) {
        if self.accounts.contains_key(&request.account) {
            return;
        }
        self.queue.add_weight(fair_weight);
        let plan = &self.settings.plans[request.plan];
        let virtual_time = self.queue.virtual_time;
        let account = Account::new(
            now,
            request.plan,
            plan,
            limiter_count,
            share_divisor,
            virtual_time,
        );
        self.accounts.insert(request.account.clone(), account);
    }

    /// Rejects the least important waiting request of an account if its quota can't serve all
    /// waiting requests in half of the time between the mean latency and the latency objective.
    ///
    /// Otherwise an account far above its quota would build up a backlog that is sent oldest first,
    /// with each request just too late.
    fn trim_backlog(&mut self, now: Micros, id: &AccountId, actions: &mut Vec<Action>) {
        let counter_usable = self.counter.is_usable();
        let mean_latency = self.mean_latency().max(1.0);
        let horizon = (self.settings.shortest_objective() - mean_latency).max(0.0) / 2.0;
        let Some(account) = self
            .accounts
            .get_mut(id)
            .filter(|account| account.waiting.len() > 1)
        else {
            return;
        };
        let plan = &self.settings.plans[account.plan];
        account.refill(now, plan, counter_usable);
        let limits_concurrency = plan.max_concurrent > 0;
        let refill_rate = if limits_concurrency {
            f64::from(plan.max_concurrent) / mean_latency
        } else {
            plan.rate / SECOND
        };
        let servable_units =
            account.tokens.max(0.0) + refill_rate * horizon / account.share_divisor + 1.0;
        let waiting = || {
            account
                .waiting
                .iter()
                .rev()
                .filter_map(|id| self.requests.get(id))
        };
        let charge = |open: &OpenRequest| if limits_concurrency { 1.0 } else { open.charge };
        if waiting().map(charge).sum::<f64>() > servable_units {
            let least_important = waiting().min_by(|a, b| a.weight.total_cmp(&b.weight));
            if let Some(id) = least_important.map(|open| open.request.id.clone()) {
                self.reject(&id, actions);
            }
        }
    }

    /// Returns the time after which a rejected client should retry: the target latency, when the
    /// attempts now in flight are answered. After a much longer wait the retry would miss its
    /// latency objective.
    pub(super) fn retry_after(&self) -> Micros {
        let answered = (self.settings.shortest_objective() * TARGET_LATENCY) as Micros;
        answered.min(self.settings.limits.max_retry_after)
    }
}

fn lease_request(request: Request, limiter_count: u32) -> Action {
    Action::RequestLease {
        id: request.id,
        account: request.account,
        plan: request.plan,
        limiter_count,
        units: request.units,
    }
}
