//! All decisions of a gateway. Its settings, events and actions are in `src/interface.rs`, what it
//! remembers in `src/state.rs`.
//!
//! In order: admit, dispatch, pick server, outcome, counts, members, timers. "Paper" is "Proportional-Share
//! Scheduling for Distributed Storage Systems"; departures from it are listed in `docs/design.md`.

use super::state::*;
use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of one answer in a server's averages: about the last ten answers count.
const GAIN: f64 = 0.1;
/// Weight of one answer in a class's averages, which all servers feed.
const CLASS_GAIN: f64 = 0.02;
/// A failing or slow server is like the others again after this time without news, or after the time in which
/// every server gets two sends of this gateway if that is longer: the readmission trickle.
const FADE: f64 = 6e6;
/// Further attempts for each first one: the retry budget, small enough not to feed an overload.
const RETRY_SHARE: f64 = 0.1;
/// Further attempts that may be saved up.
const RETRY_STORE: f64 = 10.0;
/// What one time-out counts as a failure.
const TIMEOUT_FAILS: f64 = 0.3;
/// How strongly failing more often than the others counts against a server.
const FAIL_WEIGHT: f64 = 30.0;
/// The counter forgets a name after 60 s at most; a window of half of that outlives its own end.
const TTL: Micros = 60_000_000;
/// So many calls of the counter in a row, and one more, unanswered mean that it is silent: one is chance.
const SILENT_AFTER: u32 = 6;
/// Calls of the counter out at once, to begin with; what a late or failed one leaves of them.
const CALLS: f64 = 8.0;
const CALLS_CUT: f64 = 0.7;
/// Mean response as a part of the aim that D is held to: of an exponential tail 1/e⁴, 2%, is late then.
const STRAIN: f64 = 0.25;
/// How far a call's price rises on an answer that shows the counter crowded, what is left of it after a good
/// one and after a second: about one call in ten may meet a crowd.
const PRICE_STEP: f64 = 1.4;
const PRICE_GOOD: f64 = 0.96;
const PRICE_BACK: f64 = 0.9;
/// The most that a call costs, in mean worths: what nothing is worth would take minutes to come down from.
const PRICE_TOP: f64 = 2.0;
/// Guess of the share of claims that find room, until it is seen: for a customer that is new, was
/// found empty, was found with room. Most stay under their quotas, and who did last time likely does.
const ODDS: [f64; 3] = [0.7, 0.4, 0.85];
/// What D grows by in a mean response time while answers meet the aim, in requests a server over all
/// gateways; a cut takes as much of one request at least.
const GROWTH: f64 = 0.3;
/// Time in µs over which the mean response that D follows is forgotten where answers are few: 50 answers, as
/// by `CLASS_GAIN`, are half a minute to a gateway of a large fleet, and a jam is there within one second.
const MEMORY: f64 = 1e6;
/// Of what fills its store, a customer that used less so far is calm: its store is likely full.
const CALM: f64 = 0.5;
/// What others may have sent on since the last total, in shares of the customer's rate.
const EAGER: f64 = 4.0;
/// Units left in a store when the last are claimed: a copy is that much ahead of it at times.
const MARGIN: f64 = 0.5;
/// What a cold server's store lets go to it costs so much of what it costs at a warm one.
const COLD: f64 = 0.3;
/// Window in µs in which places are counted: what a gateway held that died is lost for so long at most.
const PLACES: f64 = 5e6;
/// Length in µs of the second in which rates are quoted.
const SECOND: f64 = 1e6;

impl Pace {
    /// Time since the client's first try, told by a budget under the usual one: only what is left of the
    /// deadline cuts a budget short. Where no budget is usual, as where every client has its own, nothing is
    /// inferred.
    fn elapsed(&mut self, budget: Micros, deadline: Micros) -> Micros {
        let at = ((budget * 16 / deadline.max(1)) as usize).min(15);
        // The first tries count more, or a gateway that sees few would not know the usual one for long.
        self.tries += 1.0;
        let gain = (1.0 / (self.tries + 8.0)).max(CLASS_GAIN / 4.0);
        self.budgets.iter_mut().for_each(|b| *b *= 1.0 - gain);
        self.budgets[at] += gain;
        let usual = (0..16)
            .max_by(|a, b| self.budgets[*a].total_cmp(&self.budgets[*b]))
            .unwrap_or(0);
        let later = at + 1 < usual && self.budgets[usual] > 1.0 / 3.0;
        deadline.saturating_sub(budget) * u64::from(later)
    }
}

/// The decisions of one gateway.
#[derive(Default)]
pub struct Engine {
    pub(crate) cfg: Settings,
    standing: QuotaShares,
    rng: fastrand::Rng,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) held: BTreeMap<RequestId, Held>,
    queue: BTreeSet<((u64, u64), RequestId)>,
    pub(crate) customers: BTreeMap<AccountId, Customer>,
    pub(crate) paces: Vec<Pace>,
    /// Virtual time v: start tag of the last request dispatched.
    pub(crate) virtual_time: f64,
    /// Sum of the weights of the active customers.
    active: f64,
    arrivals: u64,
    /// Attempts out, and the depth D that bounds them.
    out: usize,
    pub(crate) depth: f64,
    pub(crate) depth_cut: Micros,
    /// With D under one, nothing is sent before this time.
    pause: Micros,
    /// Mean response time as a part of the aim.
    strain: f64,
    strained: Micros,
    retries: f64,
    sends: f64,
    pub(crate) send_rate: f64,
    /// Sends a second to one warm server.
    warm_load: f64,
    /// Time in µs over which judgements of servers fade.
    fade: f64,
    /// Counter: calls failed in a row, and no call before this time.
    misses: u32,
    /// Calls that may be out at once.
    pub(crate) calls: f64,
    call_after: Micros,
    /// Shadow price of a call in worth: asked only what is worth more, so that a crowded counter stays quick.
    pub(crate) price: f64,
    /// Mean worth of a request, and of each plan the share of asked requests that found room.
    pub(crate) mean_worth: f64,
    odds: Vec<[f64; 3]>,
    /// And the share of sent requests that was asked for; who asks tells the others' units too.
    asked: Vec<f64>,
    /// Customers that may need a call: what a request waits for first, then what was longest not heard of.
    pub(crate) due: BTreeSet<(bool, Micros, AccountId)>,
    names: BTreeMap<u64, AccountId>,
    ticking: bool,
    second: Micros,
}

impl Engine {
    /// A gateway that knows nothing yet.
    pub fn new(mut cfg: Settings, seed: u64) -> Self {
        // A plan with a cap on attempts out alone has a store of places.
        cfg.plans
            .iter_mut()
            .filter(|p| p.rate <= 0.0)
            .for_each(|p| p.burst = f64::from(p.max_concurrent));
        let pace = |c: &RequestClass| Pace {
            mean: c.latency_objective.max(8) as f64 / 4.0,
            ..Pace::default()
        };
        let worth = cfg.classes.iter().map(|c| c.priority_weight).sum::<f64>()
            / cfg.classes.len().max(1) as f64;
        Self {
            mean_worth: worth,
            price: worth / 8.0,
            calls: CALLS,
            paces: cfg.classes.iter().map(pace).collect(),
            asked: vec![1.0; cfg.plans.len()],
            odds: vec![ODDS; cfg.plans.len()],
            standing: QuotaShares::even(cfg.limiter, cfg.limiters),
            cfg,
            rng: fastrand::Rng::with_seed(seed),
            fade: FADE,
            strain: STRAIN / 2.0,
            retries: RETRY_STORE / 2.0,
            ..Self::default()
        }
    }

    /// Takes one event; what is to be done is added to `act`.
    pub fn on_event(&mut self, now: Micros, event: Event, act: &mut Vec<Action>) {
        if !self.ticking {
            // Gateways that start together must not tell the counter together ever after.
            (self.ticking, self.second) =
                (true, now.saturating_sub(self.rng.u64(0..SECOND as Micros)));
            act.push(Action::SetTimer {
                delay: self.step(),
                token: 0,
            });
            if self.cfg.polls_discovery {
                act.push(Action::WatchEndpoints);
            }
        }
        match event {
            Event::EndpointUpdate {
                scope,
                endpoints: members,
            } => self.members(now, scope, members, act),
            Event::QuotaShares(standing) => self.standing = standing,
            Event::Request(request) => self.admit(now, request, act),
            Event::ResponseStarted { id } => {
                _ = self.held.entry(id).and_modify(|h| h.streaming = true)
            }
            Event::AttemptEnded(ended) => self.outcome(now, ended, act),
            Event::ClientDisconnected { id } => self.finish(&id, End::Told, act),
            Event::TimerExpired { .. } => self.tick(now, act),
            Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
            Event::CounterReply {
                key: name,
                total,
                outcome,
            } => self.counted(now, name, total, outcome),
            Event::LeaseReply { id, granted: true } => {
                _ = self.held.entry(id).and_modify(|h| h.leased = true)
            }
            Event::LeaseReply { id, granted: false } => self.finish(&id, End::Turned, act),
        }
        self.dispatch(now, act);
    }

    // ---- admit ----

    /// A plan's weight: its quota rate; with only a cap on open attempts, the cap turned over once an aim.
    fn weight(&self, plan: usize) -> f64 {
        let p = &self.cfg.plans[plan];
        if p.rate > 0.0 {
            return p.rate;
        }
        let aim = self
            .cfg
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .max()
            .unwrap_or(0)
            .max(1) as f64;
        (f64::from(p.max_concurrent) * SECOND / aim).max(1e-3)
    }

    fn admit(&mut self, now: Micros, request: Request, act: &mut Vec<Action>) {
        if request.class >= self.cfg.classes.len() || request.plan >= self.cfg.plans.len() {
            act.push(Action::Reject {
                id: request.id,
                retry_after: 0,
            });
            return;
        }
        let (step, class) = (self.step(), &self.cfg.classes[request.class]);
        let elapsed = self.paces[request.class].elapsed(request.timeout, class.deadline);
        let late = elapsed >= class.latency_objective;
        // A later try whose first is past its aim earns nothing, one with less time than a look takes is lost
        // if kept, and with every server taken out there is none to wait for: all are refused at once.
        if request.timeout < 4 * step || (late && class.late_weight <= 0.0) || self.all_out() {
            act.push(Action::Reject {
                id: request.id,
                retry_after: self.come_back(),
            });
            return;
        }
        let aim = if late {
            class.latency_objective
        } else {
            class.latency_objective - elapsed
        };
        let (aim_at, deadline) = (now + aim.min(request.timeout), now + request.timeout);
        let part = if late { class.late_weight } else { 1.0 };
        let worth = class.priority_weight
            * part
            * self.cfg.plans[request.plan].weight_factor
            * request.units;
        let (weight, plan) = (self.weight(request.plan), &self.cfg.plans[request.plan]);
        let spread = request.limiter_count.clamp(1, self.cfg.limiters.max(1));
        let parts = self
            .standing
            .account_divisor(now, request.first_limiter, spread);
        if !self.customers.contains_key(&request.account) {
            self.active += weight;
            let fresh = Customer::new(now, request.plan, (spread, parts), plan, self.virtual_time);
            self.customers.insert(request.account.clone(), fresh);
        }
        let share = weight / self.active.max(weight);
        let Some(customer) = self.customers.get_mut(&request.account) else {
            return;
        };
        (customer.last_seen, customer.parts) = (now, parts);
        self.mean_worth += CLASS_GAIN * (worth - self.mean_worth);
        // Paper (5), (6), (12): S = max{v, F + delay/φ}, F = S + cost/φ.
        let delay = customer.delay(share, request.units, self.standing.fleet_divisor(now));
        let start = self.virtual_time.max(customer.finish + delay / share);
        customer.finish = start + request.units / share;
        self.arrivals += 1;
        let tag = (start.max(0.0).to_bits(), self.arrivals);
        let id = request.id.clone();
        self.queue.insert((tag, id.clone()));
        let charge = if self.cfg.plans[request.plan].rate > 0.0 {
            request.units
        } else {
            1.0
        };
        customer.waiting.push(id.clone());
        let (name, plan, units) = (request.account.clone(), request.plan, request.units);
        self.held.insert(
            id.clone(),
            Held::new(request, (worth, charge), (aim_at, deadline), tag),
        );
        // The holder of leases says at once what there are no units for.
        match self.cfg.quota_leases {
            true => act.push(Action::RequestLease {
                id,
                account: name,
                plan,
                limiter_count: spread,
                units,
            }),
            false => self.cut_backlog(now, &name, act),
        }
    }

    /// What a customer's quota can't reach in half of the time that the aim leaves is refused at once, least
    /// worth first: a greedy customer's backlog would else be sent oldest first, each request just too late.
    fn cut_backlog(&mut self, now: Micros, name: &AccountId, act: &mut Vec<Action>) {
        let (usable, pace) = (self.counter_usable(), self.mean_pace().max(1.0));
        let hold = (self.shortest_aim() - pace).max(0.0) / 2.0;
        let Some(customer) = self.customers.get_mut(name).filter(|c| c.waiting.len() > 1) else {
            return;
        };
        let plan = &self.cfg.plans[customer.plan];
        customer.fill(now, plan, usable);
        let filled = if plan.max_concurrent > 0 {
            f64::from(plan.max_concurrent) / pace
        } else {
            plan.rate / SECOND
        };
        let reach = customer.level.max(0.0) + filled * hold / customer.parts + 1.0;
        let waiting = || {
            customer
                .waiting
                .iter()
                .rev()
                .filter_map(|id| self.held.get(id))
        };
        let least = waiting()
            .min_by(|a, b| a.worth.total_cmp(&b.worth))
            .map(|h| h.request.id.clone());
        let units = waiting().map(|h| {
            if plan.max_concurrent > 0 {
                1.0
            } else {
                h.charge
            }
        });
        if let Some(id) = least.filter(|_| units.sum::<f64>() > reach) {
            self.finish(&id, End::Turned, act);
        }
    }

    // ---- dispatch ----

    /// Sends the waiting request with the smallest start tag while fewer than D are out.
    fn dispatch(&mut self, now: Micros, act: &mut Vec<Action>) {
        let mut blocked = BTreeSet::new();
        for ((tag, _), id) in self.queue.clone() {
            if !self.has_room(now) {
                break;
            }
            let held = self
                .held
                .get(&id)
                .filter(|h| !blocked.contains(&h.request.account));
            let Some(customer) = held.map(|h| h.request.account.clone()) else {
                continue;
            };
            match self.within_quota(now, &id) {
                Verdict::Wait => _ = blocked.insert(customer),
                Verdict::Turn => self.finish(&id, End::Turned, act),
                Verdict::Send => {
                    let Some(server) = self.choose(now, &id) else {
                        continue;
                    };
                    self.virtual_time = self.virtual_time.max(f64::from_bits(tag));
                    self.send(now, &id, server, act);
                }
            }
        }
        self.sync(now, act);
    }

    /// Fewer than D are out. A D under one is kept over time: one out, then a pause in proportion.
    fn has_room(&self, now: Micros) -> bool {
        if self.depth < 1.0 {
            return self.out == 0 && now >= self.pause;
        }
        (self.out as f64) < self.depth
    }

    /// The synced quota check, at the first send. Where others may have taken what seems left, it asks for a
    /// fresh total first and the request waits one call of the counter.
    fn within_quota(&mut self, now: Micros, id: &RequestId) -> Verdict {
        let Some(held) = self.held.get(id) else {
            return Verdict::Wait;
        };
        let (request, usable, pace) = (
            &held.request,
            self.counter_usable(),
            self.mean_pace().max(1.0),
        );
        let plan = &self.cfg.plans[request.plan];
        let calm =
            now.saturating_sub(self.depth_cut) as f64 >= FADE && (self.out as f64) < self.fleet();
        let Some(customer) = self.customers.get_mut(&request.account) else {
            return Verdict::Wait;
        };
        if (plan.over_quota_weight > plan.over_quota_cost && calm)
            || (plan.rate <= 0.0 && plan.max_concurrent == 0)
        {
            return Verdict::Send;
        }
        // Places are claimed on the counter; while it can't be asked, each gateway keeps to its part of them.
        let shared =
            usable && customer.spread > 1 && now >= self.call_after && self.price < self.mean_worth;
        let places =
            plan.limits_concurrency_only() && shared && !std::mem::take(&mut customer.blind);
        let own_places = ((f64::from(plan.max_concurrent) / customer.parts) as u32).max(1);
        if !places && plan.max_concurrent > 0 && customer.open >= own_places {
            return Verdict::Wait;
        }
        if self.cfg.quota_leases {
            return if held.leased {
                Verdict::Send
            } else {
                Verdict::Wait
            };
        }
        let age = now.saturating_sub(customer.checked) as f64;
        customer.fill(now, plan, usable);
        // They turn over once a mean response.
        let turned = f64::from(plan.max_concurrent) * age / pace;
        if places && customer.granted < 1.0 && customer.level.max(0.0) + turned < 1.0 {
            return Verdict::Wait;
        }
        if self.cfg.counter && (places || (plan.rate > 0.0 && customer.sparse(plan))) {
            return self.claimed(id, now >= self.call_after);
        }
        if plan.rate <= 0.0 || customer.granted >= request.units {
            return Verdict::Send;
        }
        let new = customer.answered.is_none();
        let margin = if new || !usable || customer.spread < 2 {
            0.0
        } else {
            MARGIN
        };
        let enough = customer.level >= request.units + margin;
        // A silent counter: the copy holds a fair part alone, which needs no total.
        if !usable
            || customer.spread < 2
            || (enough && (new || std::mem::take(&mut customer.blind)))
        {
            return if enough { Verdict::Send } else { Verdict::Wait };
        }
        let unseen = EAGER * plan.rate * (1.0 - 1.0 / f64::from(customer.spread)) * age / SECOND;
        if !new && customer.level - unseen >= 2.0 * request.units {
            return Verdict::Send;
        }
        // Near the end of a store all gateways see the same units come: a total alone would have each of them
        // send. A new customer's part may be under one request; whether the store holds it, the count tells.
        if (new || enough) && customer.call.is_none() {
            customer.verify = true;
            customer.wanted = (request.units - customer.granted - customer.doubtful).max(0.0);
            self.due
                .insert((false, customer.checked, held.request.account.clone()));
        }
        Verdict::Wait
    }

    /// Where a part of the store is under one unit, what a gateway knows of the customer is always old: the
    /// request's units are claimed on the counter, in the call that reads it. Where that is worth less than a
    /// call costs now, the request goes by how its plan's claims have fared.
    fn claimed(&mut self, id: &RequestId, callable: bool) -> Verdict {
        let Some(held) = self.held.get(id) else {
            return Verdict::Wait;
        };
        let (request, worth, charge) = (&held.request, held.worth, held.charge);
        let plan = &self.cfg.plans[request.plan];
        let Some(customer) = self.customers.get_mut(&request.account) else {
            return Verdict::Wait;
        };
        match customer.call {
            _ if customer.granted >= charge => return Verdict::Send,
            Some(_) => return Verdict::Wait,
            None if plan.limits_concurrency_only()
                || customer.answered.is_none()
                || customer.level >= charge => {}
            None => return Verdict::Turn,
        }
        let odds = self.odds[request.plan][customer.fared as usize];
        let beyond = plan.over_quota_weight - plan.over_quota_cost;
        // Asking pays where it spares a send or finds room; a refused claim costs a second call.
        let value = odds.min((1.0 - odds) * (1.0 - beyond)) * worth / (2.0 - odds);
        let blind = std::mem::take(&mut customer.blind) || !callable;
        let asked = &mut self.asked[request.plan];
        if plan.limits_concurrency_only() || (!blind && 2.0 * self.rng.f64() * value > self.price) {
            *asked += 2.0 * CLASS_GAIN * (1.0 - *asked);
            customer.verify = true;
            self.due
                .insert((false, customer.checked, request.account.clone()));
            return Verdict::Wait;
        }
        let pressed = (self.strain / STRAIN).min(1.0).powi(2) * self.mean_worth / 2.0;
        if (odds + (1.0 - odds) * beyond) * worth > pressed {
            *asked -= 2.0 * CLASS_GAIN * *asked;
            customer.granted += charge;
            return Verdict::Send;
        }
        Verdict::Turn
    }

    /// The one place that sends. The guards are in `may_send`; nothing else emits `Send`.
    fn send(
        &mut self,
        now: Micros,
        id: &RequestId,
        server: ServerId,
        act: &mut Vec<Action>,
    ) -> bool {
        let Some(by) = self.may_send(now, id, &server) else {
            return false;
        };
        let cold_store = self
            .servers
            .get(&server)
            .map_or(0.0, |s| self.cold_store(now, s) - 1.0);
        let (Some(held), Some(target)) = (self.held.get_mut(id), self.servers.get_mut(&server))
        else {
            return false;
        };
        let class = &self.cfg.classes[held.request.class];
        let until = if class.late_weight > 0.0 {
            held.deadline
        } else {
            held.aim_at
        };
        target.out.insert((id.clone(), held.attempts.len()), now);
        (target.cold_store, target.cold_filled) = (cold_store, now);
        if let Some(customer) = self.customers.get_mut(&held.request.account) {
            customer.open += 1;
            let (plan, first) = (&self.cfg.plans[held.request.plan], held.attempts.is_empty());
            // What goes beyond the quota takes nothing from the store, here as at the others.
            if first && customer.granted >= held.charge {
                customer.granted -= held.charge;
            } else if plan.limits_concurrency_only() || (first && customer.level >= held.charge) {
                customer.level -= held.charge;
                customer.pending += held.charge;
                self.due
                    .insert((true, customer.checked, held.request.account.clone()));
            }
            if first {
                customer.waiting.retain(|w| w != id);
                customer.ceiling = customer.ceiling_at(now, plan) - held.request.units;
                customer.ceiling_filled = now;
                self.retries = (self.retries + RETRY_SHARE).min(RETRY_STORE);
            }
        }
        self.queue.remove(&(held.tag, id.clone()));
        held.attempts.push(Attempt {
            server: server.clone(),
            sent: now,
            outcome: None,
            overdue: false,
        });
        self.out += 1;
        self.sends += 1.0;
        act.push(Action::Send {
            id: id.clone(),
            server,
            timeout: until.saturating_sub(now).max(1),
            write_before: by,
        });
        true
    }

    /// All guards of a send, and the moment by which it is to be written.
    fn may_send(&self, now: Micros, id: &RequestId, server: &ServerId) -> Option<Micros> {
        let (held, target) = (self.held.get(id)?, self.servers.get(server)?);
        let by = self.repeat_by(held, target);
        // Drains: nothing new from the moment of the news, well before the grace is up.
        let may = target.ready
            && !held.streaming
            && held.deadline > now
            && held.attempts.len() < self.cfg.limits.max_attempts.max(1) as usize
            && (self.cfg.limits.hedging || !held.is_out())
            && !held
                .attempts
                .iter()
                .any(|a| a.outcome.is_none() && a.server == *server)
            && by > now
            && self.cold_store(now, target) >= 1.0
            && (!held.attempts.is_empty() || self.under_ceiling(now, &held.request));
        may.then_some(by)
    }

    /// No effect twice: what may have run goes only where its class permits a repeat, written by this time.
    fn repeat_by(&self, held: &Held, target: &Server) -> Micros {
        let class = &self.cfg.classes[held.request.class];
        let by = |a: &Attempt| match class.idempotency {
            Idempotency::Idempotent => Micros::MAX,
            Idempotency::NonIdempotent => 0,
            Idempotency::Keyed(group) => {
                let same = self.servers.get(&a.server).is_some_and(|s| match group {
                    KeyScope::AllServers => true,
                    KeyScope::Zone => s.zone == target.zone,
                    KeyScope::Cell => s.cell == target.cell && s.zone == target.zone,
                });
                // A tenth of the window is left for the way.
                a.sent
                    + if same {
                        class.idempotency_window - class.idempotency_window / 10
                    } else {
                        0
                    }
            }
        };
        held.attempts
            .iter()
            .filter(|a| a.may_have_run())
            .map(by)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Slow start: a cold server gets its part of what this gateway sends a warm one, from a store that opens
    /// at a random part of one send: that adds up over any number of gateways. A sixth of the multiple that
    /// topples it is spent: as `choose` sends all of it, more would be more than the server can do.
    fn cold_store(&self, now: Micros, target: &Server) -> f64 {
        let Some(part) = target.capacity(now, &self.cfg.safety) else {
            return 1.0;
        };
        let (span, margin) = (
            now.saturating_sub(target.cold_filled) as f64 / SECOND,
            self.cfg.safety.overload_multiple / 6.0,
        );
        (target.cold_store + self.warm_load * part * margin * span).min(1.0)
    }

    /// Ceilings are kept by a fixed part of the store at each gateway, which needs no agreement.
    fn under_ceiling(&self, now: Micros, request: &Request) -> bool {
        let plan = &self.cfg.plans[request.plan];
        let Some(customer) = self.customers.get(&request.account) else {
            return false;
        };
        plan.ceiling_rate <= 0.0 || customer.ceiling_at(now, plan) >= request.units
    }

    /// The one place that ends a request. A refusal is only given while nothing may have run.
    fn finish(&mut self, id: &RequestId, end: End, act: &mut Vec<Action>) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        self.queue.remove(&(held.tag, id.clone()));
        if let Some(customer) = self.customers.get_mut(&held.request.account) {
            customer.waiting.retain(|w| w != id);
        }
        for (number, attempt) in held
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| a.outcome.is_none())
        {
            if self.cfg.limits.cancel {
                act.push(Action::Cancel {
                    id: id.clone(),
                    attempt: number,
                });
            }
            // Its outcome comes for a closed request: what it holds is let go of here.
            self.release(id, number, &attempt.server, &held.request.account);
        }
        let safe = self.cfg.classes[held.request.class].idempotency == Idempotency::Idempotent;
        let (refused, id, after) = (safe || !held.may_have_run(), id.clone(), self.come_back());
        if end == End::Turned {
            act.push(if refused {
                Action::Reject {
                    id,
                    retry_after: after,
                }
            } else {
                Action::Fail { id }
            });
        }
    }

    // ---- pick server ----

    /// The server with the least expected time: load times pace, weighed with how often it fails.
    fn choose(&mut self, now: Micros, id: &RequestId) -> Option<ServerId> {
        let class = self.held.get(id)?.request.class;
        let pace = self.mean_pace();
        let mut best: Option<(f64, ServerId)> = None;
        for (name, server) in &self.servers {
            if self.may_send(now, id, name).is_none() {
                continue;
            }
            let cross = 1.0
                + f64::from(u8::from(server.zone != self.cfg.zone))
                    * 10.0
                    * self.cfg.prices.cross_zone;
            let weight = if self.cfg.server_weights {
                server.weight.max(1e-3)
            } else {
                1.0
            };
            let chance = 1.0 + 0.1 * self.rng.f64();
            let doubt = server.doubt(now, class, self.paces[class].fail, self.fade);
            // Left to chance, warm servers, which any send may go to, would get nearly all of the load.
            let cold = if server.capacity(now, &self.cfg.safety).is_some() {
                COLD
            } else {
                1.0
            };
            let cost = server.cost(now, pace, self.fade) * doubt * cross * chance * cold / weight;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, name.clone()));
            }
        }
        best.map(|(_, name)| name)
    }

    fn shortest_aim(&self) -> f64 {
        self.cfg
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(0) as f64
    }

    /// When a refused client is told to come back: once what is out is answered, by the mean that D is held
    /// to. Much later, a try would have no time left to its aim.
    fn come_back(&self) -> Micros {
        ((self.shortest_aim() * STRAIN) as Micros).min(self.cfg.limits.max_retry_after)
    }

    fn mean_pace(&self) -> f64 {
        self.paces.iter().map(|p| p.mean).sum::<f64>() / self.paces.len().max(1) as f64
    }

    // ---- outcome ----

    fn outcome(&mut self, now: Micros, ended: AttemptResult, act: &mut Vec<Action>) {
        self.settle(&ended.id, ended.settled_units);
        let (id, number, outcome) = (ended.id, ended.attempt, ended.outcome);
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let Some(attempt) = held
            .attempts
            .get_mut(number)
            .filter(|a| a.outcome.is_none())
        else {
            return;
        };
        attempt.outcome = Some(outcome);
        let judged = attempt.overdue && outcome == Outcome::Timeout;
        let (class, customer) = (held.request.class, held.request.account.clone());
        self.release(&id, number, &ended.server, &customer);
        if self.depth < 1.0 {
            // At a random time, or gateways that were cut together would send together.
            let span = (ended.latency as f64).max(self.mean_pace());
            let idle = span * (1.0 / self.depth - 1.0) * 2.0 * self.rng.f64();
            self.pause = now + idle as Micros;
        }
        if !judged {
            self.judge(now, &ended.server, class, outcome, ended.latency);
        }
        if ended.is_final {
            self.finish(&id, End::Told, act);
        } else if self.held.get(&id).is_some_and(|h| !h.is_out()) {
            self.again(now, &id, outcome, act);
        }
    }

    /// A further attempt after one that ended without an answer, or the final answer.
    fn again(&mut self, now: Micros, id: &RequestId, outcome: Outcome, act: &mut Vec<Action>) {
        let Some(held) = self.held.get(id) else {
            return;
        };
        let in_time = now as f64 + self.paces[held.request.class].mean / 2.0 < held.aim_at as f64;
        // Paid from the retry budget, but for attempts that never ran.
        let price = if outcome.never_ran() { 0.0 } else { 1.0 };
        let server = if in_time && self.retries >= price {
            self.choose(now, id)
        } else {
            None
        };
        if server.is_some_and(|s| self.send(now, id, s, act)) {
            self.retries -= price;
        } else {
            self.finish(id, End::Turned, act);
        }
    }

    fn release(&mut self, id: &RequestId, number: usize, server: &ServerId, name: &AccountId) {
        let known = self
            .servers
            .get_mut(server)
            .and_then(|s| s.out.remove(&(id.clone(), number)));
        self.out = self.out.saturating_sub(usize::from(known.is_some()));
        if let Some(customer) = self.customers.get_mut(name) {
            customer.open = customer.open.saturating_sub(1);
            if self.cfg.plans[customer.plan].limits_concurrency_only() {
                // Its place goes to who waits here, else back.
                let back = f64::from(u8::from(customer.waiting.is_empty()));
                (customer.granted, customer.pending) =
                    (customer.granted + 1.0 - back, customer.pending - back);
                self.due.insert((true, customer.checked, name.clone()));
            }
        }
    }

    /// Learns from an attempt: the server's pace and failures, the class's pace, the depth D.
    fn judge(&mut self, now: Micros, id: &ServerId, class: usize, outcome: Outcome, took: Micros) {
        let (aim, took) = (self.cfg.classes[class].latency_objective, took as f64);
        let pace = &mut self.paces[class];
        let sample = (took / pace.mean.max(1.0)).min(20.0);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        (server.ratio, server.judged) = (server.pace(now, self.fade), now);
        let failed = match outcome {
            Outcome::Ok => {
                server.ratio += GAIN * (sample - server.ratio);
                pace.mean += CLASS_GAIN * (took - pace.mean);
                0.0
            }
            Outcome::Cancelled | Outcome::Timeout => {
                // No answer for so long: the pace is at least that; quick answers never come from a failure.
                server.ratio += GAIN * (sample - server.ratio).max(0.0);
                let timed_out = f64::from(u8::from(outcome == Outcome::Timeout));
                // Left out, the slow half of a jam would not be seen and all be sent too late.
                pace.mean += timed_out * CLASS_GAIN * (took - pace.mean).max(0.0);
                // A single one may be a tail.
                timed_out * TIMEOUT_FAILS
            }
            Outcome::Superseded => return,
            _ => 1.0,
        };
        let (before, weight) = server.failing(now, class, pace.fail, self.fade);
        let after = before + (1.0 - weight).clamp(GAIN, 0.5) * (failed - before);
        server.fails.insert(class, (after, now));
        pace.fail += CLASS_GAIN * (failed - pace.fail);
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            let span = now.saturating_sub(self.strained) as f64;
            let gain = (1.0 - (-span / MEMORY).exp()).clamp(CLASS_GAIN, GAIN);
            self.strain += gain * ((took / aim.max(1) as f64).min(2.0) - self.strain);
            self.strained = now;
        }
        // A long tail makes single answers late at any load; D follows the mean response against the aim.
        if outcome == Outcome::Rejected || self.strain > STRAIN {
            self.shrink(now);
        } else if outcome == Outcome::Ok {
            // Slow start: until its first cut each answer adds the same, so that D grows in proportion.
            let least = self.least_depth(now);
            let by = if self.depth_cut == 0 {
                self.depth.min(least.max(1.0))
            } else {
                self.depth
            };
            self.depth += GROWTH * least / by;
        }
    }

    /// Depth D falls once a mean answer's time, the further the mean response is over what the aim allows; by
    /// Little's law that much less out brings it back. Never under one a server over all gateways, which is
    /// under one a gateway where gateways outnumber servers.
    ///
    /// Guards against overloads that outlast their cause: servers that held too many stay slow until they are
    /// nearly idle. Covers any shared loss of speed too. One that needs many at once idles at the least D.
    fn shrink(&mut self, now: Micros) {
        if (now.saturating_sub(self.depth_cut) as f64) < self.mean_pace() {
            return;
        }
        self.depth_cut = now;
        let factor = (STRAIN / self.strain.max(STRAIN)).clamp(0.5, 0.95);
        // The one just answered was out too: where one is out now and then, D would fall to its least. A cut
        // of a small part of a small D would not be felt.
        let depth = self.depth.min(self.out as f64 + 1.0);
        self.depth = (depth * factor)
            .min(depth - GROWTH * depth.min(1.0))
            .max(self.least_depth(now));
        // Only what is measured after a cut may cut again, else D falls to its floor.
        self.strain = self.strain.min(STRAIN);
    }

    /// One a server over all gateways.
    fn least_depth(&self, now: Micros) -> f64 {
        self.fleet() / self.standing.fleet_divisor(now)
    }

    /// All that the list has is taken out: an empty list may only be late, and is waited for.
    fn all_out(&self) -> bool {
        self.servers.values().any(|s| s.drains) && self.servers.values().all(|s| !s.ready)
    }

    /// Servers that take work, one at least: what is drained or gone carries no load.
    fn fleet(&self) -> f64 {
        self.servers.values().filter(|s| s.ready).count().max(1) as f64
    }

    // ---- counts ----

    fn counter_usable(&self) -> bool {
        self.cfg.counter && self.misses <= SILENT_AFTER
    }

    /// Units settled after the answer: the difference goes to the store and to the counter.
    fn settle(&mut self, id: &RequestId, settled: Option<f64>) {
        let (Some(units), Some(held)) = (settled, self.held.get(id)) else {
            return;
        };
        if let Some(customer) = self.customers.get_mut(&held.request.account) {
            customer.level -= units - held.request.units;
            customer.pending += units - held.request.units;
        }
    }

    /// Calls the counter for the customers that need it: much to tell against what is left, or a request
    /// waits for a fresh total. A silent counter gets one call at a time, further and further apart.
    fn sync(&mut self, now: Micros, act: &mut Vec<Action>) {
        let most = if self.misses > SILENT_AFTER {
            1.0
        } else {
            self.calls
        };
        if !self.cfg.counter || now < self.call_after || self.names.len() as f64 >= most {
            return;
        }
        // No more of them are looked at than may be called: after an outage thousands wait here.
        while (self.names.len() as f64) < most {
            let Some((.., id)) = self.due.pop_first() else {
                return;
            };
            let Some(customer) = self.customers.get_mut(&id) else {
                continue;
            };
            let plan = &self.cfg.plans[customer.plan];
            // Its end brings it back here.
            if customer.call.is_some() {
                continue;
            }
            // Nobody waits any more for what it was to ask.
            let known = customer.answered.is_some() && customer.doubtful <= 0.0;
            customer.verify &= !known || !customer.waiting.is_empty();
            let window = customer.turn(now, plan);
            if plan.limits_concurrency_only() {
                // One that nobody waits for any more goes back.
                let spare = (customer.granted - customer.waiting.len() as f64).max(0.0);
                (customer.granted, customer.pending) =
                    (customer.granted - spare, customer.pending - spare);
            }
            if plan.burst <= 0.0 || customer.spread < 2 || !customer.must_sync(now, plan) {
                continue;
            }
            let sparse = customer.sparse(plan);
            // What is only told is worth what it would let in or keep out: one mean request.
            let free = !sparse || customer.verify || plan.limits_concurrency_only();
            if !free && 2.0 * self.rng.f64() * self.mean_worth <= self.price {
                continue;
            }
            let by = std::mem::take(&mut customer.pending);
            let waiting = customer
                .waiting
                .iter()
                .filter_map(|w| self.held.get(w))
                .map(|h| h.charge);
            let asks = std::mem::take(&mut customer.verify) && sparse;
            let wanted = std::mem::take(&mut customer.wanted);
            let claim = if asks {
                waiting.sum::<f64>() - customer.granted
            } else {
                wanted
            };
            let claim = if plan.limits_concurrency_only() {
                claim.min(1.0)
            } else {
                claim
            };
            let unasked = f64::from(u8::from(asks))
                * claim
                * (1.0 / self.asked[customer.plan] - 1.0).min(2.0);
            customer.call = Some(Call {
                window,
                by,
                claim,
                at: now,
            });
            let name = count_name(&id, window);
            self.names.insert(name, id);
            act.push(Action::AddToCounter {
                key: name,
                amount: by + claim + unasked,
                ttl: TTL,
            });
        }
    }

    fn counted(&mut self, now: Micros, name: u64, total: f64, outcome: Outcome) {
        let Some(id) = self.names.remove(&name) else {
            return;
        };
        let ok = outcome == Outcome::Ok && total.is_finite();
        if ok {
            (self.misses, self.call_after) = (0, 0);
        } else {
            self.misses = (self.misses + 1).min(SILENT_AFTER + 4);
            // Of a crowded counter a part answers: it is left alone a moment, longer as nothing comes.
            self.call_after = now + (self.cfg.counter_timeout >> 5 << self.misses);
        }
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        let Some(Call {
            window,
            by,
            claim,
            at,
        }) = customer.call.take()
        else {
            return;
        };
        let plan = &self.cfg.plans[customer.plan];
        let crowded = !ok || now.saturating_sub(at) > self.cfg.counter_timeout / 2;
        // As many out as come back in time: else most are turned away, and each of these comes again.
        self.calls = if crowded {
            (self.calls * CALLS_CUT).max(1.0)
        } else {
            self.calls + 1.0 / self.calls
        };
        self.price = (self.price * if crowded { PRICE_STEP } else { PRICE_GOOD })
            .min(PRICE_TOP * self.mean_worth);
        customer.checked = now;
        customer.blind = claim > 0.0 && !ok;
        match outcome {
            Outcome::Ok if ok && customer.sparse(plan) => {
                let granted = customer.claim(now, window, (claim, by), total, plan);
                if claim > 0.0 {
                    let odds = &mut self.odds[customer.plan][customer.fared as usize];
                    *odds += 2.0 * CLASS_GAIN * (granted / claim - *odds);
                    customer.fared = if granted < claim {
                        Fared::Empty
                    } else {
                        Fared::Room
                    };
                }
            }
            Outcome::Ok if ok => {
                customer.fill(now, plan, true);
                let claim = claim + std::mem::take(&mut customer.doubtful);
                customer.learn(now, window, (claim, by), total, plan);
                customer.grant(claim);
            }
            // It may have been added: not told again, as a unit told twice is taken from the customer.
            Outcome::Timeout if customer.sparse(plan) => customer.told += by + claim,
            // Whether the store holds a claim that may stand in the count, the next total tells.
            Outcome::Timeout => {
                customer.told += by;
                customer.doubtful += claim;
                (customer.blind, customer.verify) = (false, customer.verify || claim > 0.0);
            }
            _ => customer.pending += by,
        }
        // Refused claims not given back at once would hold a greedy customer's store down for all.
        if customer.verify || customer.pending != 0.0 || plan.limits_concurrency_only() {
            self.due.insert((!customer.verify, now, id));
        }
    }

    // ---- members ----

    fn members(
        &mut self,
        now: Micros,
        scope: UpdateScope,
        members: Vec<Endpoint>,
        act: &mut Vec<Action>,
    ) {
        match scope {
            UpdateScope::Failed if self.cfg.polls_discovery => act.push(Action::WatchEndpoints),
            UpdateScope::Snapshot | UpdateScope::Cached => {
                self.servers.values_mut().for_each(|s| s.leave(now))
            }
            UpdateScope::Failed | UpdateScope::Delta => {}
        }
        for member in members {
            let server = self.servers.entry(member.id.clone()).or_default();
            if server.ratio == 0.0 || server.started != member.started_at {
                server.ratio = 1.0;
                server.fails.clear();
                (server.cold_store, server.cold_filled) = (self.rng.f64(), now);
            }
            server.leave(now);
            server.ready = member.readiness == Readiness::Ready;
            server.drains = member.readiness == Readiness::Draining;
            (server.started, server.weight) = (member.started_at, member.weight);
            (server.zone, server.cell) = (member.zone, member.cell);
        }
        let left: Vec<_> = self
            .queue
            .iter()
            .map(|(_, id)| id.clone())
            .filter(|_| self.all_out())
            .collect();
        left.iter().for_each(|id| self.finish(id, End::Turned, act));
        if self.depth == 0.0 && !self.servers.is_empty() {
            self.depth = self.least_depth(now).max(1.0);
        }
    }

    // ---- timers ----

    /// Time between two looks at what waits: a small part of the shortest aim.
    fn step(&self) -> Micros {
        (self.shortest_aim() as Micros / 64)
            .max(self.cfg.tick)
            .max(1_000)
    }

    fn tick(&mut self, now: Micros, act: &mut Vec<Action>) {
        act.push(Action::SetTimer {
            delay: self.step(),
            token: 0,
        });
        if now.saturating_sub(self.second) >= SECOND as Micros {
            self.each_second(now);
        }
        self.judge_overdue(now);
        self.expire(now, act);
        self.shed(now, act);
    }

    fn each_second(&mut self, now: Micros) {
        let span = now.saturating_sub(self.second) as f64 / SECOND;
        self.second = now;
        let rate = std::mem::take(&mut self.sends) / span.max(1e-3);
        self.send_rate += if self.send_rate == 0.0 {
            rate
        } else {
            0.3 * (rate - self.send_rate)
        };
        self.price = (self.price * PRICE_BACK.powf(span))
            .max(self.cfg.prices.counter_call * self.mean_worth);
        self.fade = FADE.max(2.0 * SECOND * self.fleet() / self.send_rate.max(0.1));
        // Where few are warm, half of the fleet shares the load; nothing sent yet counts as one a second.
        let safety = &self.cfg.safety;
        let warm = self
            .servers
            .values()
            .filter(|s| s.ready && s.capacity(now, safety).is_none())
            .count();
        // Servers that are gone for good would else be kept for ever; a key may be with them for a while.
        let keyed = self
            .cfg
            .classes
            .iter()
            .map(|c| c.idempotency_window)
            .max()
            .unwrap_or(0);
        self.servers
            .retain(|_, s| s.ready || !s.out.is_empty() || now < s.left + keyed + FADE as Micros);
        self.warm_load = self.send_rate.max(1.0) / (warm as f64).max(self.fleet() / 2.0);
        // φ is set against the customers that were here of late.
        self.customers
            .retain(|_, c| now < c.last_seen + TTL || !c.waiting.is_empty() || c.open > 0);
        self.active = self.customers.values().map(|c| self.weight(c.plan)).sum();
        let untold = self
            .customers
            .iter()
            .filter(|(_, c)| c.pending != 0.0 || c.granted > 0.0);
        self.due
            .extend(untold.map(|(id, c)| (true, c.checked, id.clone())));
    }

    /// An attempt unanswered at its request's aim counts as timed out then, though a late answer may still
    /// earn something: a server that leaves a class unanswered, or a jam, is learned of at the aim, not at
    /// the deadline. Where aims are under the usual time, good servers look bad, all alike.
    fn judge_overdue(&mut self, now: Micros) {
        let mut overdue = Vec::new();
        for held in self
            .held
            .values_mut()
            .filter(|h| now > h.aim_at && !h.streaming)
        {
            for attempt in held
                .attempts
                .iter_mut()
                .filter(|a| a.outcome.is_none() && !a.overdue)
            {
                attempt.overdue = true;
                let age = now.saturating_sub(attempt.sent);
                overdue.push((attempt.server.clone(), held.request.class, age));
            }
        }
        for (server, class, age) in overdue {
            self.judge(now, &server, class, Outcome::Timeout, age);
        }
    }

    /// Refuses what waits and can't be in time any more; what was sent ends by its time-out, or here.
    fn expire(&mut self, now: Micros, act: &mut Vec<Action>) {
        let step = self.step();
        let over = |held: &Held| {
            let aim = self.cfg.classes[held.request.class].latency_objective as f64;
            let start_by = held.aim_at as f64 - self.paces[held.request.class].mean.min(aim / 2.0);
            // A final answer to what was never sent is owed in half of its time.
            let half = held.deadline as f64 - held.request.timeout as f64 / 2.0 - 2.0 * step as f64;
            let late = held.attempts.is_empty() && now as f64 > start_by.min(half);
            !held.streaming && (late || now + 2 * step >= held.deadline)
        };
        let waiting: Vec<_> = self
            .held
            .iter()
            .filter(|(_, h)| over(h))
            .map(|(id, _)| id.clone())
            .collect();
        waiting
            .iter()
            .for_each(|id| self.finish(id, End::Turned, act));
    }

    /// While D binds, the queue is kept to what D lets through in an eighth of the aim: what waits longer is
    /// answered too late even if sent, so it is waste. The least worth goes first; tags order what stays.
    fn shed(&mut self, now: Micros, act: &mut Vec<Action>) {
        if self.has_room(now) {
            return;
        }
        let room = self.depth * self.shortest_aim() * STRAIN / 2.0 / self.mean_pace().max(1.0);
        let allowed = |h: &Held| {
            let store = self
                .customers
                .get(&h.request.account)
                .map_or(0.0, |c| c.level);
            h.leased || self.cfg.plans[h.request.plan].rate <= 0.0 || store >= h.request.units
        };
        let of = |id| self.held.get(id).filter(|h| allowed(h));
        let held = self
            .queue
            .iter()
            .filter_map(|(tag, id)| Some((of(id)?, tag, id)));
        let mut waiting: Vec<_> = held
            .map(|(h, tag, id)| (h.worth, *tag, id.clone()))
            .collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        waiting
            .iter()
            .skip(room.max(1.0) as usize)
            .for_each(|(.., id)| self.finish(id, End::Turned, act));
    }
}

impl Customer {
    /// A new customer has a fair part of its quota until the counter has told more.
    fn new(
        now: Micros,
        number: usize,
        (spread, parts): (u32, f64),
        plan: &Plan,
        virtual_time: f64,
    ) -> Self {
        let (level, finish) = ((plan.burst / parts).max(1.0), virtual_time);
        let new = Self {
            plan: number,
            spread,
            parts,
            level,
            finish,
            verify: true,
            ..Self::default()
        };
        Self {
            last_seen: now,
            filled: now,
            checked: now,
            ceiling_filled: now,
            ..new
        }
    }

    /// Paper (12): min{units elsewhere since the last request here, (φ/φmin − 1)/(1 − φ) × cost}; φmin is the
    /// part of φ that a gateway would give if traffic came evenly. At φ = 1 the first term stands alone.
    fn delay(&mut self, share: f64, cost: f64, gateways: f64) -> f64 {
        let first = std::mem::take(&mut self.elsewhere);
        first.min((gateways - 1.0) / (1.0 - share) * cost)
    }

    /// Fills the copy of the store; without the counter only with a fair part, as others fill theirs.
    fn fill(&mut self, now: Micros, plan: &Plan, usable: bool) {
        let span = now.saturating_sub(self.filled) as f64 / SECOND;
        self.filled = now.max(self.filled);
        let part = if usable && self.answered.is_some() {
            1.0
        } else {
            1.0 / self.parts
        };
        let top = (plan.burst * part).max(1.0);
        self.level = self
            .level
            .max((self.level + plan.rate * part * span).min(top));
    }

    /// Own part of the ceiling's store; opens empty, as a restarted gateway can't know what it passed on.
    fn ceiling_at(&self, now: Micros, plan: &Plan) -> f64 {
        let span = now.saturating_sub(self.ceiling_filled) as f64 / SECOND;
        let part = 1.0 / self.parts;
        (self.ceiling + plan.ceiling_rate * part * span).min(plan.ceiling_burst * part)
    }

    /// A part of the store at each gateway is under one unit; places are always claimed.
    fn sparse(&self, plan: &Plan) -> bool {
        plan.rate <= 0.0 || plan.burst < f64::from(self.spread)
    }

    /// Takes a total that holds a claim: grants what the store had room for, and gives the rest back with the
    /// next call. A store that the count shows more than twice full has been so for long: the count is put
    /// right, else a later burst would find all that was saved up. Two gateways that do so at once see it.
    fn claim(
        &mut self,
        now: Micros,
        window: u64,
        (claim, by): (f64, f64),
        total: f64,
        plan: &Plan,
    ) -> f64 {
        let passed = (now - window * crate::decision::engine::window(plan)) as f64 / SECOND;
        let level = plan.burst + plan.rate * passed - total;
        let granted = (claim + level.min(0.0)).floor().clamp(0.0, claim.max(0.0));
        self.elsewhere += (total - self.seen - by - claim).max(0.0).min(plan.burst);
        self.seen = total;
        self.granted += granted;
        self.pending -= claim - granted;
        if level > 2.0 * plan.burst {
            self.pending += level - plan.burst;
        } else if claim <= 0.0 && by >= plan.burst && level < 0.0 && plan.rate > 0.0 {
            self.pending -= by;
        }
        self.level = (level + claim - granted).min(plan.burst);
        (self.filled, self.answered) = (now, Some(now));
        granted
    }

    /// Takes a claim out of the store; what the store does not hold is given back with the next call.
    fn grant(&mut self, claim: f64) {
        if self.level >= claim + MARGIN {
            (self.level, self.granted) = (self.level - claim, self.granted + claim);
        } else {
            self.pending -= claim;
        }
    }

    /// Enough to tell against what is left, or told too long ago, or someone waits for a total.
    fn must_sync(&self, now: Micros, plan: &Plan) -> bool {
        let step = (self.level / (2.0 * f64::from(self.spread))).max(1.0);
        let old = now.saturating_sub(self.checked) as f64 > plan.burst / plan.rate * SECOND / 2.0;
        if self.sparse(plan) {
            return self.verify || self.pending.abs() >= 1.0;
        }
        self.verify || self.pending >= step || self.pending < 0.0 || (self.pending > 0.0 && old)
    }

    /// Length of a window: many fillings of the store, within what a name can live.
    fn turn(&mut self, now: Micros, plan: &Plan) -> u64 {
        let length = window(plan);
        let current = now / length;
        if current != self.window {
            // Window edge: the copy of the store carries over.
            (self.window, self.told, self.seen) = (current, 0.0, 0.0);
            if plan.rate <= 0.0 {
                // What was told of places counts no more, nor what a gateway held that died.
                self.pending = self.granted + f64::from(self.open);
            }
        }
        current
    }

    /// Takes a total: the rise of the units elsewhere, floored at nought, leaves the store, delays the tag.
    fn learn(
        &mut self,
        now: Micros,
        window: u64,
        (claim, by): (f64, f64),
        total: f64,
        plan: &Plan,
    ) {
        if window != self.window {
            return;
        }
        self.told += by + claim;
        let elsewhere = total - self.told;
        if self.answered.is_none() {
            // Read before trusting: the window so far tells what is left of the store. What fills a full one
            // is lost: where much was used, only what surely is left counts beside the part kept so far.
            let filled = plan.rate * (now % crate::decision::engine::window(plan)) as f64 / SECOND;
            let left = plan.burst + claim - total - self.pending;
            let calm = total - claim <= CALM * filled;
            self.level = if calm {
                plan.burst
            } else {
                left.max(self.level)
            }
            .min(left + filled)
            .min(plan.burst);
        } else {
            // What others sent on beyond the quota took nothing from the store: it stays at nought or above.
            let rise = (elsewhere - self.seen).max(0.0);
            let before = self.level;
            // A claim that the others give back comes back to the copy, as far as it was taken from it.
            let back = (self.seen - elsewhere).clamp(0.0, self.taken);
            self.level = (before - rise).max(before.min(0.0)) + back;
            self.taken = (before - self.level).max(0.0);
            self.elsewhere += rise;
        }
        self.seen = elsewhere.max(0.0);
        self.answered = Some(now);
    }
}

/// Length of the windows in which a plan's accounts are counted.
pub fn window(plan: &Plan) -> Micros {
    let length = if plan.rate > 0.0 {
        plan.burst / plan.rate * 10.0 * SECOND
    } else {
        PLACES
    };
    (length as Micros).clamp(1_000_000, TTL / 2)
}

/// FNV-1a over customer and window, the same at every gateway.
pub fn count_name(customer: &AccountId, window: u64) -> u64 {
    let bytes = customer.0.bytes().chain(window.to_le_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    }) >> 1
}

impl Server {
    /// Takes nothing new from now on, unless the list says so again.
    fn leave(&mut self, now: Micros) {
        self.left = if self.ready { now } else { self.left };
        (self.ready, self.drains) = (false, false);
    }

    /// The part of its capacity that a cold server has at least; none for a warm one.
    fn capacity(&self, now: Micros, safety: &Safety) -> Option<f64> {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= safety.slow_start {
            return None;
        }
        Some(
            safety.initial_capacity
                + (1.0 - safety.initial_capacity) * age as f64 / safety.slow_start as f64,
        )
    }

    /// Expected time here against the others': own load (told loads come too late and drew all gateways to
    /// the same servers) and pace, at least as bad as the oldest attempt out shows.
    fn cost(&self, now: Micros, pace: f64, fade: f64) -> f64 {
        let oldest = self
            .out
            .values()
            .min()
            .map_or(0.0, |t| now.saturating_sub(*t) as f64);
        (1.0 + self.out.len() as f64)
            * self
                .pace(now, fade)
                .max(oldest / (3.0 * pace.max(1.0)))
                .max(0.7)
    }

    /// Response time against the class's mean, fading to that mean without news.
    fn pace(&self, now: Micros, fade: f64) -> f64 {
        1.0 + (self.ratio - 1.0) * (-(now.saturating_sub(self.judged) as f64) / fade).exp()
    }

    /// How far failing in this class counts against it. Where a class fails at many servers at once, those
    /// not heard of are doubted too, and the ones that answered of late are kept to.
    fn doubt(&self, now: Micros, class: usize, usual: f64, fade: f64) -> f64 {
        1.0 + FAIL_WEIGHT * (self.failing(now, class, usual, fade).0 - usual / 2.0).max(0.0)
    }

    /// Part of the class's attempts that fail here, fading to the usual one, and what has not faded yet.
    fn failing(&self, now: Micros, class: usize, usual: f64, fade: f64) -> (f64, f64) {
        let Some((fail, at)) = self.fails.get(&class) else {
            return (usual, 0.0);
        };
        let keep = (-(now.saturating_sub(*at) as f64) / fade).exp();
        (usual + (fail - usual) * keep, keep)
    }
}
