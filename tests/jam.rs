//! Jams: many gateways before nodes that queue as upstream servers do, and clients that come again when refused.

mod common;
use common::*;
use mossrill::decision::*;
use mossrill::Engine;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const MS: Micros = 1_000;
/// Mean work of a request on one core, its aim and its deadline, as the ferry division has them.
const WORK: f64 = 100_000.0;
const AIM: Micros = 900 * MS;
const DEADLINE: Micros = 2_500 * MS;
const CORES: usize = 2;
/// When every world begins.
const START: Micros = 100_000 * MS;

/// A node: two cores, a waiting room, and slower the more it holds beyond what its cores can do.
#[derive(Default)]
struct Node {
    running: Vec<(usize, usize)>,
    waiting: VecDeque<(usize, usize)>,
    /// Against the others, and when it started, 0 for long ago.
    speed: f64,
    started: Micros,
    /// When what was sent to it came.
    sent: Vec<Micros>,
}

impl Node {
    /// What it can do now against a warm one of speed 1: it starts at a sixth and is warm after 18 s.
    fn capacity(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started) as f64 / 18e6;
        self.speed
            * if self.started == 0 {
                1.0
            } else {
                (0.16 + 0.84 * age).min(1.0)
            }
    }
}

struct Try {
    gateway: usize,
    asked: Micros,
    left: u32,
    done: bool,
    /// Where each attempt went; none once it has ended.
    attempts: Vec<Option<(usize, Micros)>>,
}

enum Happens {
    Ask { asked: Micros, left: u32 },
    Timer(usize),
    Done { node: usize, of: (usize, usize) },
    Ends { of: (usize, usize) },
    Gives(usize),
    Restart(usize),
    Cold(usize),
}

struct World {
    now: Micros,
    order: u64,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, Happens>,
    settings: Settings,
    gateways: Vec<Engine>,
    nodes: Vec<Node>,
    tries: Vec<Try>,
    slow: f64,
    /// What the first gateway is asked, against each of the others.
    share: usize,
    /// First tries asked and served in time, by the second in which they were asked.
    asked: Vec<f64>,
    served: Vec<f64>,
}

impl World {
    fn new(gateways: u32, nodes: usize, seed: u64) -> Self {
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

    fn members(&self, nodes: std::ops::Range<usize>) -> Vec<Endpoint> {
        nodes
            .map(|n| Endpoint {
                started_at: self.nodes[n].started,
                ..member(&n.to_string(), "z0")
            })
            .collect()
    }

    /// A gateway that knows nothing but the list.
    fn start(&mut self, me: usize) {
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

    fn at(&mut self, after: Micros, happens: Happens) {
        self.order += 1;
        self.events.push(Reverse((self.now + after, self.order)));
        self.what.insert(self.order, happens);
    }

    fn second(&self, at: Micros) -> usize {
        ((at - START) / (1_000 * MS)) as usize
    }

    /// Plays `seconds` under `load` of what the nodes can do; all of them are `slow` times slower for a while.
    fn play(&mut self, seconds: usize, load: f64, slow: (f64, std::ops::Range<usize>)) -> Vec<f64> {
        let gap = WORK / (load * (self.nodes.len() * CORES) as f64);
        self.at(0, Happens::Ask { asked: 0, left: 3 });
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
                Some(Happens::Ask { asked, left }) => {
                    if asked == 0 {
                        let next = gap * self.rng.sample::<f64, _>(Exp1);
                        self.at(next as Micros, Happens::Ask { asked: 0, left: 3 });
                        self.asked[second] += 1.0;
                    }
                    self.ask(if asked == 0 { now } else { asked }, left);
                }
                Some(Happens::Timer(me)) => self.give(me, Event::TimerExpired { token: 0 }),
                Some(Happens::Done { node, of }) => self.done(node, of),
                Some(Happens::Ends { of }) => self.over(of, Outcome::Timeout),
                Some(Happens::Gives(number)) => self.gives_up(number),
                Some(Happens::Restart(me)) => self.start(me),
                Some(Happens::Cold(node)) => {
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

    fn ask(&mut self, asked: Micros, left: u32) {
        let drawn = self
            .rng
            .random_range(0..self.gateways.len() + self.share - 1);
        let gateway = if drawn < self.gateways.len() {
            drawn
        } else {
            0
        };
        let number = self.tries.len();
        self.tries.push(Try {
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
        self.at(budget, Happens::Gives(number));
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

    fn give(&mut self, me: usize, event: Event) {
        let mut acts = Vec::new();
        self.gateways[me].on_event(self.now, event, &mut acts);
        for act in acts {
            match act {
                Action::SetTimer { delay: after, .. } => self.at(after, Happens::Timer(me)),
                Action::Send {
                    id,
                    server,
                    timeout,
                    ..
                } => {
                    let (number, node) = (id.0.parse().unwrap(), server.0.parse().unwrap());
                    let of: (usize, usize) = (number, self.tries[number].attempts.len());
                    self.tries[number].attempts.push(Some((node, self.now)));
                    self.at(timeout, Happens::Ends { of });
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
    fn drop(&mut self, number: usize, attempt: usize) {
        if let Some((node, _)) = self.tries[number].attempts[attempt].take() {
            self.nodes[node]
                .waiting
                .retain(|of| *of != (number, attempt));
        }
    }

    fn work(&mut self, node: usize) {
        while self.nodes[node].running.len() < CORES {
            let Some(of) = self.nodes[node].waiting.pop_front() else {
                return;
            };
            let held = self.nodes[node].waiting.len() as f64 / CORES as f64;
            let drawn: f64 = Exp1.sample(&mut self.rng);
            let pace = self.slow / self.nodes[node].capacity(self.now);
            let took = WORK * pace * (1.0 + 0.15 * (held - 3.0).max(0.0)) * drawn;
            self.nodes[node].running.push(of);
            self.at(took as Micros + MS, Happens::Done { node, of });
        }
    }

    fn done(&mut self, node: usize, of: (usize, usize)) {
        self.nodes[node].running.retain(|o| *o != of);
        self.work(node);
        let Try { asked, done, .. } = self.tries[of.0];
        if self.tries[of.0].attempts[of.1].is_some() && !done {
            let second = self.second(asked);
            self.served[second] += f64::from(u8::from(self.now - asked <= AIM));
            self.tries[of.0].done = true;
        }
        self.over(of, Outcome::Ok);
    }

    fn over(&mut self, (number, attempt): (usize, usize), outcome: Outcome) {
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

    fn again(&mut self, number: usize, after: Micros) {
        let Try {
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
                Happens::Ask {
                    asked,
                    left: left - 1,
                },
            );
        }
    }

    fn gives_up(&mut self, number: usize) {
        if !self.tries[number].done {
            let id = number.to_string().as_str().into();
            self.give(self.tries[number].gateway, Event::ClientDisconnected { id });
            self.again(number, 100 * MS);
        }
    }
}

fn mean(part: &[f64]) -> f64 {
    part.iter().sum::<f64>() / part.len() as f64
}

#[test]
fn a_jam_ends_by_itself_within_seconds_of_its_cause() {
    // Every node is four times slower for five seconds: far more is asked than they can do then.
    for (gateways, nodes) in [(3, 9), (48, 12), (300, 60)] {
        let served = World::new(gateways, nodes, 3).play(18, 0.9, (4.0, 6..11));
        let (before, slow, after) = (
            mean(&served[2..6]),
            mean(&served[8..11]),
            mean(&served[14..18]),
        );
        assert!(
            before > 0.8 && slow < 0.3 && after > 0.75,
            "{gateways} gateways: {served:.2?}"
        );
    }
}

#[test]
fn more_than_the_nodes_can_do_is_refused_and_most_of_what_they_can_is_served() {
    for (gateways, nodes) in [(3, 9), (48, 12), (300, 60)] {
        let served = World::new(gateways, nodes, 4).play(20, 1.1, (1.0, 0..0));
        assert!(
            mean(&served[4..]) > 0.6,
            "{gateways} gateways: {served:.2?}"
        );
    }
}

#[test]
fn two_of_three_limiters_that_restart_under_full_load_cost_their_own_requests_alone() {
    let mut world = World::new(3, 11, 5);
    world.at(6_000 * MS, Happens::Restart(0));
    world.at(16_000 * MS, Happens::Restart(1));
    let served = world.play(24, 1.0, (1.0, 0..0));
    let (before, first, second) = (
        mean(&served[2..6]),
        mean(&served[7..15]),
        mean(&served[17..24]),
    );
    assert!(
        first > before - 0.2 && second > before - 0.2 && before > 0.8,
        "{served:.2?}"
    );
}

#[test]
fn a_limiter_with_three_times_the_others_share_serves_as_much_of_it() {
    let mut world = World::new(3, 11, 6);
    world.share = 3;
    let served = world.play(20, 0.7, (1.0, 0..0));
    assert!(mean(&served[2..]) > 0.97, "{served:.2?}");
}

#[test]
fn a_cold_slow_node_beside_warm_fast_ones_is_neither_pushed_over_nor_left_out() {
    for gateways in [3, 48] {
        let mut world = World::new(gateways, 12, 7);
        world.nodes[0].speed = 0.55;
        world.at(5_000 * MS, Happens::Cold(0));
        let served = world.play(24, 0.6, (1.0, 0..0));
        assert!(
            mean(&served[2..]) > 0.95,
            "{gateways} gateways: {served:.2?}"
        );
        let node = &world.nodes[0];
        // What came in any three seconds against what the node can do in them, in requests.
        let most = (50..230).map(|tenth| {
            let from = START + tenth * 100 * MS;
            let came = node
                .sent
                .iter()
                .filter(|t| (from..from + 3_000 * MS).contains(t))
                .count() as f64;
            came * WORK / (node.capacity(from) * CORES as f64 * 3e6)
        });
        let most = most.fold(0.0, f64::max);
        let late = node
            .sent
            .iter()
            .filter(|t| **t > START + 18_000 * MS)
            .count();
        assert!(
            most < 2.5 && late > 10,
            "{gateways} gateways: {most:.2} of it, {late} sent once warm"
        );
    }
}
