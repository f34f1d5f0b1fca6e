//! What a gateway knows, given to its successor and taken from its predecessor. Copies records and decides nothing.

use super::message::{Account, Fails, FinalReport, LearnedState, Node, UnreportedUnits};
use crate::decision::Engine;
use crate::decision::{AccountId, Micros, RequestId, ServerId};
use crate::decision::{Customer, Held};
use std::collections::HashMap;

impl Engine {
    /// Gives away what it knows. Units not yet told go along and are told by the successor alone; what the requests
    /// waiting here may take of a store stays here.
    pub fn learned_state(&mut self) -> LearnedState {
        let mut state = LearnedState {
            paces: self.paces.iter().map(|p| p.mean).collect(),
            fails: self.paces.iter().map(|p| p.fail).collect(),
            virtual_time: self.virtual_time,
            depth: self.depth,
            depth_cut: self.depth_cut,
            send_rate: self.send_rate,
            price: self.price,
            calls: self.calls,
            mean_worth: self.mean_worth,
            ..LearnedState::default()
        };
        for (id, customer) in &mut self.customers {
            let kept = waiting(customer, &self.held).min(customer.level.max(0.0));
            // A call that is out has its end here; what it tells stands in the count all the same.
            let out = customer
                .call
                .as_ref()
                .map_or(0.0, |call| call.by + call.claim);
            state.accounts.push(Account {
                id: id.0.to_string(),
                plan: customer.plan as u32,
                spread: customer.spread,
                finish: customer.finish,
                level: customer.level - kept,
                filled: customer.filled,
                pending: std::mem::take(&mut customer.pending),
                window: customer.window,
                told: customer.told + out,
                seen: customer.seen,
                answered: customer.answered.unwrap_or(0),
                last_seen: customer.last_seen,
                open: customer.open,
            });
            customer.level = kept;
        }
        for (id, server) in &self.servers {
            let fails = server.fails.iter();
            let fails = fails.map(|(class, (part, at))| Fails {
                class: *class as u32,
                part: *part,
                at: *at,
            });
            state.nodes.push(Node {
                id: id.0.to_string(),
                started: server.started,
                ratio: server.ratio,
                judged: server.judged,
                fails: fails.collect(),
            });
        }
        state
    }

    /// The successor never served: what it was given goes on here.
    pub fn reclaim_state(&mut self, state: LearnedState) {
        for account in state.accounts {
            let id = AccountId::from(&*account.id);
            if let Some(customer) = self.customers.get_mut(&id) {
                let burst = self.cfg.plans[customer.plan].burst;
                customer.level = (customer.level + account.level).min(burst);
                customer.pending += account.pending;
                self.due.insert((true, customer.checked, id));
            }
        }
    }

    /// Takes what a predecessor knew, and knows of its attempts that are still out; these come back as the accounts
    /// that they count against.
    pub fn adopt_state(&mut self, now: Micros, state: LearnedState) -> HashMap<AccountId, u32> {
        let sound = |v: f64| v.is_finite() && v >= 0.0;
        for (pace, (mean, fail)) in self
            .paces
            .iter_mut()
            .zip(state.paces.iter().zip(&state.fails))
        {
            if sound(*mean) && *mean > 0.0 && sound(*fail) {
                (pace.mean, pace.fail) = (*mean, fail.min(1.0));
            }
        }
        for (own, was) in [
            (&mut self.virtual_time, state.virtual_time),
            (&mut self.send_rate, state.send_rate),
            (&mut self.price, state.price),
            (&mut self.mean_worth, state.mean_worth),
        ] {
            *own = if sound(was) { was } else { *own };
        }
        if sound(state.depth) && state.depth > 0.0 {
            (self.depth, self.depth_cut) = (state.depth, state.depth_cut.min(now));
        }
        self.calls = if sound(state.calls) {
            state.calls.max(1.0)
        } else {
            self.calls
        };
        for node in state.nodes {
            let Some(server) = self.servers.get_mut(&ServerId::from(&*node.id)) else {
                continue;
            };
            // Of what a cold node may be sent, the predecessor has given out what there was.
            (server.cold_store, server.cold_filled) = (0.0, now);
            if server.started == node.started && sound(node.ratio) && node.ratio > 0.0 {
                (server.ratio, server.judged) = (node.ratio, node.judged.min(now));
                let fails = node.fails.into_iter().filter(|f| sound(f.part));
                server.fails = fails
                    .map(|f| (f.class as usize, (f.part.min(1.0), f.at.min(now))))
                    .collect();
            }
        }
        let mut out = HashMap::new();
        for account in state.accounts {
            let Some(plan) = self.cfg.plans.get(account.plan as usize) else {
                continue;
            };
            let figures = [
                account.finish,
                account.level,
                account.pending,
                account.told,
                account.seen,
            ];
            if !figures.iter().all(|figure| figure.is_finite()) {
                continue;
            }
            let id = AccountId::from(&*account.id);
            if account.open > 0 {
                out.insert(id.clone(), account.open);
            }
            let customer = Customer {
                plan: account.plan as usize,
                spread: account.spread.clamp(1, self.cfg.limiters.max(1)),
                parts: f64::from(account.spread.clamp(1, self.cfg.limiters.max(1))),
                finish: account.finish,
                level: account.level.min(plan.burst),
                filled: account.filled.min(now),
                pending: account.pending,
                window: account.window,
                told: account.told,
                seen: account.seen,
                checked: account.answered.min(now),
                answered: Some(account.answered.min(now)).filter(|at| *at > 0),
                last_seen: account.last_seen.min(now),
                ceiling_filled: now,
                open: account.open,
                ..Customer::default()
            };
            if customer.pending != 0.0 {
                self.due.insert((true, customer.checked, id.clone()));
            }
            self.customers.insert(id, customer);
        }
        out
    }

    /// An attempt of a predecessor has ended.
    pub fn ended_before(&mut self, id: &AccountId) {
        if let Some(customer) = self.customers.get_mut(id) {
            customer.open = customer.open.saturating_sub(1);
        }
    }

    /// What a gateway that ends has sent on since it gave away what it knew, and what it has claimed in vain.
    pub fn unreported_units(&mut self) -> FinalReport {
        let units = |c: &Customer| c.pending - c.granted;
        let left = self.customers.iter().map(|(id, c)| UnreportedUnits {
            id: id.0.to_string(),
            units: units(c),
        });
        FinalReport {
            unreported: left.filter(|entry| entry.units != 0.0).collect(),
        }
    }

    /// Units that a predecessor sent on at the end, told from here.
    pub fn take_unreported(&mut self, report: FinalReport) {
        for entry in report
            .unreported
            .into_iter()
            .filter(|u| u.units.is_finite())
        {
            let id = AccountId::from(&*entry.id);
            if let Some(customer) = self.customers.get_mut(&id) {
                // The store lost them when they were sent on; what was claimed in vain is no gain to this copy.
                customer.level -= entry.units.max(0.0);
                customer.pending += entry.units;
                self.due.insert((true, customer.checked, id));
            }
        }
    }
}

fn waiting(customer: &Customer, held: &std::collections::BTreeMap<RequestId, Held>) -> f64 {
    customer
        .waiting
        .iter()
        .filter_map(|id| held.get(id))
        .map(|h| h.request.units)
        .sum()
}
