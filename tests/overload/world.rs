//! A simulated world of limiters and upstream servers, in simulated time.

use crate::common::{class, member, settings};
use crate::server::{Attempt, Node, CORES, MS, WORK};
use mossrill::decision::{
    Action, AttemptResult, Endpoint, Event, Idempotency, Limits, Micros, Outcome, Plan, Request,
    RequestClass, Safety, Settings, UpdateScope,
};
use mossrill::Engine;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub const AIM: Micros = 900 * MS;

pub const DEADLINE: Micros = 2_500 * MS;

/// When every world begins.
pub const START: Micros = 100_000 * MS;

pub enum Occurrence {
    Ask { asked: Micros, left: u32 },
    Timer(usize),
    Done { node: usize, of: (usize, usize) },
    Ends { of: (usize, usize) },
    Gives(usize),
    Restart(usize),
    Cold(usize),
}

pub struct World {
    pub now: Micros,
    pub order: u64,
    pub rng: StdRng,
    pub events: BinaryHeap<Reverse<(Micros, u64)>>,
    pub what: BTreeMap<u64, Occurrence>,
    pub settings: Settings,
    pub gateways: Vec<Engine>,
    pub nodes: Vec<Node>,
    pub tries: Vec<Attempt>,
    pub slow: f64,
    /// What the first gateway is asked, against each of the others.
    pub share: usize,
    /// First tries asked and served in time, by the second in which they were asked.
    pub asked: Vec<f64>,
    pub served: Vec<f64>,
}

impl World {
    pub fn new(gateways: u32, nodes: usize, seed: u64) -> Self {
        let class = |effect| RequestClass {
            latency_objective: AIM,
            deadline: DEADLINE,
            priority_weight: 1.0,
            ..class(effect)
        };
        let settings = Settings {
            limiters: gateways,
            counter: false,
            classes: vec![
                class(Idempotency::Idempotent),
                class(Idempotency::NonIdempotent),
            ],
            plans: vec![Plan {
                rate: 1e6,
                burst: 1e6,
                weight_factor: 1.0,
                ..Plan::default()
            }],
            safety: Safety {
                initial_capacity: 0.16,
                slow_start: 18_000 * MS,
                overload_multiple: 2.5,
                overload_window: 3_000 * MS,
                drain_grace: 250 * MS,
            },
            limits: Limits {
                max_attempts: 4,
                cancel: true,
                max_retry_after: 1_000 * MS,
                ..Limits::default()
            },
            ..settings()
        };
        let mut world = Self {
            now: START,
            order: 0,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            gateways: (0..gateways)
                .map(|_| Engine::new(Settings::default(), 0))
                .collect(),
            nodes: (0..nodes)
                .map(|_| Node {
                    speed: 1.0,
                    ..Node::default()
                })
                .collect(),
            tries: Vec::new(),
            settings,
            slow: 1.0,
            share: 1,
            asked: vec![0.0; 64],
            served: vec![0.0; 64],
        };
        (0..gateways as usize).for_each(|me| world.start(me));
        world
    }

    pub fn members(&self, nodes: std::ops::Range<usize>) -> Vec<Endpoint> {
        nodes
            .map(|n| Endpoint {
                started_at: self.nodes[n].started,
                ..member(&n.to_string(), "z0")
            })
            .collect()
    }

    /// A gateway that knows nothing but the list.
    pub fn start(&mut self, me: usize) {
        let settings = Settings {
            limiter: me as u32,
            ..self.settings.clone()
        };
        let seed = self.rng.random();
        self.gateways[me] = Engine::new(settings, seed);
        self.tries
            .iter_mut()
            .filter(|t| t.gateway == me)
            .for_each(|t| t.attempts.fill(None));
        let members = self.members(0..self.nodes.len());
        self.give(
            me,
            Event::EndpointUpdate {
                scope: UpdateScope::Snapshot,
                endpoints: members,
            },
        );
    }

    pub fn at(&mut self, after: Micros, happens: Occurrence) {
        self.order += 1;
        self.events.push(Reverse((self.now + after, self.order)));
        self.what.insert(self.order, happens);
    }

    pub fn second(&self, at: Micros) -> usize {
        ((at - START) / (1_000 * MS)) as usize
    }

    /// Plays `seconds` under `load` of what the nodes can do; all of them are `slow` times slower for a while.
    pub fn play(
        &mut self,
        seconds: usize,
        load: f64,
        slow: (f64, std::ops::Range<usize>),
    ) -> Vec<f64> {
        let gap = WORK / (load * (self.nodes.len() * CORES) as f64);
        self.at(0, Occurrence::Ask { asked: 0, left: 3 });
        while let Some(Reverse((now, order))) = self.events.pop() {
            self.now = now;
            let second = self.second(now);
            if second > seconds {
                break;
            }
            self.slow = if slow.1.contains(&second) {
                slow.0
            } else {
                1.0
            };
            match self.what.remove(&order) {
                Some(Occurrence::Ask { asked, left }) => {
                    if asked == 0 {
                        let next = gap * self.rng.sample::<f64, _>(Exp1);
                        self.at(next as Micros, Occurrence::Ask { asked: 0, left: 3 });
                        self.asked[second] += 1.0;
                    }
                    self.ask(if asked == 0 { now } else { asked }, left);
                }
                Some(Occurrence::Timer(me)) => self.give(me, Event::TimerExpired { token: 0 }),
                Some(Occurrence::Done { node, of }) => self.done(node, of),
                Some(Occurrence::Ends { of }) => self.over(of, Outcome::Timeout),
                Some(Occurrence::Gives(number)) => self.gives_up(number),
                Some(Occurrence::Restart(me)) => self.start(me),
                Some(Occurrence::Cold(node)) => {
                    self.nodes[node].started = now;
                    let members = self.members(node..node + 1);
                    for me in 0..self.gateways.len() {
                        let members = members.clone();
                        self.give(
                            me,
                            Event::EndpointUpdate {
                                scope: UpdateScope::Delta,
                                endpoints: members,
                            },
                        );
                    }
                }
                None => {}
            }
        }
        (0..seconds)
            .map(|s| self.served[s] / self.asked[s].max(1.0))
            .collect()
    }

    pub fn ask(&mut self, asked: Micros, left: u32) {
        let drawn = self
            .rng
            .random_range(0..self.gateways.len() + self.share - 1);
        let gateway = if drawn < self.gateways.len() {
            drawn
        } else {
            0
        };
        let number = self.tries.len();
        self.tries.push(Attempt {
            gateway,
            asked,
            left,
            done: false,
            attempts: Vec::new(),
        });
        let class = usize::from(self.rng.random_bool(0.4));
        let name = format!("c{}", self.rng.random_range(0..400));
        let budget = DEADLINE
            .saturating_sub(self.now - asked)
            .min(DEADLINE * 3 / 4);
        let customer = name.as_str().into();
        self.at(budget, Occurrence::Gives(number));
        let id = number.to_string().as_str().into();
        let request = Request {
            id,
            class,
            plan: 0,
            account: customer,
            timeout: budget,
            units: 1.0,
            limiter_count: 2,
            first_limiter: 0,
        };
        self.give(gateway, Event::Request(request));
    }

    pub fn give(&mut self, me: usize, event: Event) {
        let mut acts = Vec::new();
        self.gateways[me].on_event(self.now, event, &mut acts);
        for act in acts {
            match act {
                Action::SetTimer { delay: after, .. } => self.at(after, Occurrence::Timer(me)),
                Action::Send {
                    id,
                    server,
                    timeout,
                    ..
                } => {
                    let (number, node) = (id.0.parse().unwrap(), server.0.parse().unwrap());
                    let of: (usize, usize) = (number, self.tries[number].attempts.len());
                    self.tries[number].attempts.push(Some((node, self.now)));
                    self.at(timeout, Occurrence::Ends { of });
                    self.nodes[node].sent.push(self.now);
                    if self.nodes[node].waiting.len() >= 40 {
                        self.over(of, Outcome::Rejected);
                    } else {
                        self.nodes[node].waiting.push_back(of);
                        self.work(node);
                    }
                }
                Action::Cancel { id, attempt } => self.drop(id.0.parse().unwrap(), attempt),
                Action::Reject {
                    id,
                    retry_after: after,
                } => self.again(id.0.parse().unwrap(), after),
                Action::Fail { id } => self.again(id.0.parse().unwrap(), 100 * MS),
                _ => {}
            }
        }
    }

    /// Takes an attempt back: what waits is dropped, what runs goes on to its end.
    pub fn drop(&mut self, number: usize, attempt: usize) {
        if let Some((node, _)) = self.tries[number].attempts[attempt].take() {
            self.nodes[node]
                .waiting
                .retain(|of| *of != (number, attempt));
        }
    }

    pub fn work(&mut self, node: usize) {
        while self.nodes[node].running.len() < CORES {
            let Some(of) = self.nodes[node].waiting.pop_front() else {
                return;
            };
            let held = self.nodes[node].waiting.len() as f64 / CORES as f64;
            let drawn: f64 = Exp1.sample(&mut self.rng);
            let pace = self.slow / self.nodes[node].capacity(self.now);
            let took = WORK * pace * (1.0 + 0.15 * (held - 3.0).max(0.0)) * drawn;
            self.nodes[node].running.push(of);
            self.at(took as Micros + MS, Occurrence::Done { node, of });
        }
    }

    pub fn done(&mut self, node: usize, of: (usize, usize)) {
        self.nodes[node].running.retain(|o| *o != of);
        self.work(node);
        let Attempt { asked, done, .. } = self.tries[of.0];
        if self.tries[of.0].attempts[of.1].is_some() && !done {
            let second = self.second(asked);
            self.served[second] += f64::from(u8::from(self.now - asked <= AIM));
            self.tries[of.0].done = true;
        }
        self.over(of, Outcome::Ok);
    }

    pub fn over(&mut self, (number, attempt): (usize, usize), outcome: Outcome) {
        let Some((node, sent)) = self.tries[number].attempts[attempt] else {
            return;
        };
        self.drop(number, attempt);
        let (id, server) = (
            number.to_string().as_str().into(),
            node.to_string().as_str().into(),
        );
        let took = self.now - sent;
        let (last, load) = (self.tries[number].done, Vec::new());
        let ended = AttemptResult {
            id,
            attempt,
            server,
            outcome,
            latency: took,
            is_final: last,
            load,
            settled_units: None,
        };
        self.give(self.tries[number].gateway, Event::AttemptEnded(ended));
    }

    pub fn again(&mut self, number: usize, after: Micros) {
        let Attempt {
            asked, left, done, ..
        } = self.tries[number];
        self.tries[number].done = true;
        let wait = if self.rng.random_bool(0.5) {
            after
        } else {
            60 * MS
        };
        if !done && left > 0 && self.now + wait < asked + DEADLINE {
            self.at(
                wait,
                Occurrence::Ask {
                    asked,
                    left: left - 1,
                },
            );
        }
    }

    pub fn gives_up(&mut self, number: usize) {
        if !self.tries[number].done {
            let id = number.to_string().as_str().into();
            self.give(self.tries[number].gateway, Event::ClientDisconnected { id });
            self.again(number, 100 * MS);
        }
    }
}
