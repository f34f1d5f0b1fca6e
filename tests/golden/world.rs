//! Simulation of everything around the instances of one sequence: clients, upstream servers,
//! service discovery, counter and timers. It is deterministic for a given seed.

use crate::random::SplitMix64;
use crate::settings::{Scenario, CLASSES, PLANS};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// An event that is scheduled for an instance.
enum ScheduledEvent {
    Timer {
        token: u64,
    },
    AttemptEnded {
        id: String,
        attempt: u64,
        server: String,
        sent_at: u64,
    },
    ResponseStarted {
        id: String,
        attempt: u64,
        server: String,
        sent_at: u64,
    },
    CounterReplied {
        counter: u64,
        total: f64,
        code: u64,
        called_at: u64,
    },
    ClientDisconnected {
        id: String,
    },
    LeaseReplied {
        id: String,
        granted: bool,
    },
}

/// The state of one instance as its surroundings see it.
#[derive(Default)]
struct Instance {
    /// Scheduled events by time and number.
    scheduled: BTreeMap<(u64, u64), ScheduledEvent>,
    /// Cancelled attempts of each unfinished request, by id of the request.
    unfinished: BTreeMap<String, BTreeSet<u64>>,
    /// All requests that the instance received, by id.
    requests: BTreeMap<String, RequestState>,
    running: bool,
}

struct RequestState {
    /// Number of attempts so far.
    attempts: u64,
    /// Whether the start of its response is an event of its own.
    is_streamed: bool,
}

struct Server {
    id: String,
    zone: u64,
    cell: u64,
    /// Readiness, as named in the simulator protocol.
    readiness: &'static str,
    weight: f64,
    /// Time of the start; 0 if unknown to service discovery.
    started_at: u64,
}

/// The surroundings of the instances in one sequence.
pub struct World {
    scenario: Scenario,
    random: SplitMix64,
    /// Current time, in microseconds.
    now: u64,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    /// Totals of the counters, by key.
    totals: BTreeMap<u64, f64>,
    /// Number of the last request.
    last_request: u64,
    /// Number of the last scheduled event, which orders events of the same time.
    last_event: u64,
    /// Version of the endpoint list.
    list_version: u64,
    /// Whether an instance was restarted in the last batch.
    has_restarted: bool,
    /// Number of events written so far.
    pub events: usize,
    /// Names of events and actions, and codes of outcomes, that have occurred.
    pub seen: BTreeSet<String>,
}

impl World {
    pub fn new(scenario: Scenario) -> Self {
        let random = SplitMix64::new(0x5eed_0000 + scenario.seed);
        let mut world = Self {
            random,
            now: 1_000_000,
            instances: (0..scenario.instances)
                .map(|_| Instance::default())
                .collect(),
            servers: Vec::new(),
            totals: BTreeMap::new(),
            last_request: 0,
            last_event: 0,
            list_version: 1,
            has_restarted: false,
            events: 0,
            seen: BTreeSet::new(),
            scenario,
        };
        for number in 0..world.scenario.servers {
            world.add_server(number, 0);
        }
        world
    }

    fn add_server(&mut self, number: u64, started_at: u64) {
        self.servers.push(Server {
            id: format!("server-{number}"),
            zone: number % self.scenario.zones,
            cell: number / 2,
            readiness: "Ready",
            weight: 1.0 + (number % 3) as f64 / 2.0,
            started_at,
        });
    }

    /// Advances the time and returns the lines of the next batch.
    pub fn batch(&mut self) -> Vec<String> {
        self.now += self.random.between(1, 12_000);
        self.has_restarted = false;
        let mut events = Vec::new();
        for instance in 0..self.instances.len() {
            if !self.instances[instance].running {
                self.start(instance, &mut events);
            }
            self.scheduled_events(instance, &mut events);
        }
        for _ in 0..self.random.between(1, 4) {
            let instance = self.random.below(self.instances.len() as u64) as usize;
            self.random_event(instance, &mut events);
        }
        self.events += events.len();
        for event in &events {
            self.seen
                .insert(event[0].as_str().unwrap_or_default().to_owned());
        }
        let mut lines = vec![json!(["batch", self.now]).to_string()];
        lines.extend(events.iter().map(Value::to_string));
        lines.push(json!(["end"]).to_string());
        lines
    }

    /// Starts an instance with new state.
    fn start(&mut self, instance: usize, events: &mut Vec<Value>) {
        self.instances[instance] = Instance {
            running: true,
            ..Instance::default()
        };
        let seed = self.random.next() >> 1;
        events.push(json!([
            "provision",
            instance,
            seed,
            self.scenario.settings(instance as u64)
        ]));
        events.push(json!([
            "fleet",
            instance,
            "Persisted",
            self.list_version,
            self.entries(&self.servers)
        ]));
    }

    /// Returns the entries of these servers in the endpoint list.
    fn entries<'a>(&self, servers: impl IntoIterator<Item = &'a Server>) -> Vec<Value> {
        let entry = |server: &Server| {
            let started_at = if server.started_at == 0 {
                Value::Null
            } else {
                json!(server.started_at)
            };
            let zone = format!("zone-{}", server.zone);
            json!([
                server.id,
                zone,
                "kind",
                server.cell,
                server.readiness,
                server.weight,
                started_at
            ])
        };
        servers.into_iter().map(entry).collect()
    }

    /// Appends the scheduled events whose time has come.
    fn scheduled_events(&mut self, instance: usize, events: &mut Vec<Value>) {
        loop {
            let Some(entry) = self.instances[instance].scheduled.first_entry() else {
                return;
            };
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                ScheduledEvent::Timer { token } => {
                    events.push(json!(["deadlineHit", instance, token]))
                }
                ScheduledEvent::ClientDisconnected { id } => {
                    if self.instances[instance].unfinished.remove(&id).is_some() {
                        events.push(json!(["withdrawn", instance, id]));
                    }
                }
                ScheduledEvent::CounterReplied {
                    counter,
                    total,
                    code,
                    called_at,
                } => {
                    self.seen.insert(format!("counter {code}"));
                    events.push(json!([
                        "reckoned",
                        instance,
                        total,
                        code,
                        self.now - called_at,
                        counter
                    ]));
                }
                ScheduledEvent::LeaseReplied { id, granted } => {
                    events.push(json!(["leased", instance, id, granted]))
                }
                ScheduledEvent::ResponseStarted {
                    id,
                    attempt,
                    server,
                    sent_at,
                } => {
                    events.push(json!([
                        "opened",
                        instance,
                        id,
                        attempt,
                        self.now - sent_at,
                        server
                    ]));
                }
                ScheduledEvent::AttemptEnded {
                    id,
                    attempt,
                    server,
                    sent_at,
                } => {
                    let event = self.attempt_result(instance, &id, attempt, &server, sent_at);
                    events.push(event);
                }
            }
        }
    }

    /// Returns the event of an attempt that ends now, with a random result.
    fn attempt_result(
        &mut self,
        instance: usize,
        id: &str,
        attempt: u64,
        server: &str,
        sent_at: u64,
    ) -> Value {
        let is_served = self.random.percent(self.scenario.served_percent);
        let failure_code = self.random.between(301, 307);
        let settled_units = self.random.below(6);
        let load: Vec<f64> = (0..4).map(|_| self.random.below(40) as f64 / 8.0).collect();
        let unfinished = &mut self.instances[instance].unfinished;
        let is_cancelled = unfinished
            .get(id)
            .is_none_or(|cancelled_attempts| cancelled_attempts.contains(&attempt));
        let code = match (is_cancelled, is_served) {
            (true, _) => 306,
            (false, true) => 100,
            (false, false) => failure_code,
        };
        let is_final = code == 100 || !unfinished.contains_key(id);
        if is_final {
            unfinished.remove(id);
        }
        self.seen.insert(format!("outcome {code}"));
        let settled_units = if code == 100 {
            json!(settled_units)
        } else {
            Value::Null
        };
        json!([
            "resolved",
            instance,
            id,
            settled_units,
            0,
            self.now - sent_at,
            server,
            code,
            attempt,
            is_final,
            load
        ])
    }

    /// Appends a random event, or none.
    fn random_event(&mut self, instance: usize, events: &mut Vec<Value>) {
        match self.random.below(1_000) {
            0..=699 => self.request(instance, events),
            700..=719 => self.change_endpoints(events),
            720..=739 => {
                let entries = self.entries(&self.servers);
                events.push(json!([
                    "fleet",
                    instance,
                    "Complete",
                    self.list_version,
                    entries
                ]));
            }
            740..=749 => events.push(json!(["fleet", instance, "Error", self.list_version, []])),
            750..=789 => {
                let code = [100, 303, 304][self.random.below(3) as usize];
                let server = self.random.pick(&self.servers).id.clone();
                let latency = self.random.below(50_000);
                events.push(json!([
                    "checkResult",
                    instance,
                    latency,
                    code,
                    server,
                    [1.0, 2.0, 0.5, 9.0]
                ]));
            }
            790..=819 => events.push(json!(["mail", instance, 0, "aGkgNw=="])),
            820..=839 => {
                let counter = self.random.below(1 << 40);
                events.push(json!(["reckoned", instance, 3.5, 100, 900, counter]));
            }
            // A disconnect and an attempt result for a request that the instance does not know.
            840..=859 => events.push(json!(["withdrawn", instance, "nobody"])),
            860..=869 => {
                let code = self.random.between(301, 307);
                events.push(json!([
                    "resolved", instance, "nobody", 0, 0, 10, "server-0", code, 0, false, null
                ]));
            }
            870..=889 => {
                let unfinished: Vec<_> = self.instances[instance]
                    .unfinished
                    .keys()
                    .cloned()
                    .collect();
                if !unfinished.is_empty() {
                    let id = self.random.pick(&unfinished).clone();
                    self.instances[instance].unfinished.remove(&id);
                    events.push(json!(["withdrawn", instance, id]));
                }
            }
            890..=891 => {
                events.push(json!(["destroy", instance]));
                self.instances[instance].running = false;
                self.has_restarted = true;
                self.start(instance, events);
            }
            892..=909 => self.burst(instance, events),
            _ => {}
        }
    }

    /// Appends several requests at once.
    fn burst(&mut self, instance: usize, events: &mut Vec<Value>) {
        for _ in 0..self.random.between(3, 12) {
            self.request(instance, events);
        }
    }

    /// Appends a request of a random account, and schedules the time at which its client disconnects.
    fn request(&mut self, instance: usize, events: &mut Vec<Value>) {
        self.last_request += 1;
        let id = format!("request-{}", self.last_request);
        let (class, deadline) = *self.random.pick(&CLASSES);
        let account = self.random.below(self.scenario.accounts);
        let plan = PLANS[(account % PLANS.len() as u64) as usize];
        let timeout = match self.random.below(10) {
            0 => self.random.between(1, deadline),
            1 => 500,
            _ => deadline,
        };
        let units = self.random.between(1, 5);
        let limiter_count = 1 + account % self.scenario.instances;
        let first_limiter = account % self.scenario.instances;
        events.push(json!([
            "workItem",
            instance,
            id,
            class,
            plan,
            format!("customer-{account}"),
            timeout,
            units,
            limiter_count,
            first_limiter,
            false,
            class == "write"
        ]));
        self.schedule(
            instance,
            timeout + 8_000,
            ScheduledEvent::ClientDisconnected { id: id.clone() },
        );
        self.instances[instance]
            .unfinished
            .insert(id.clone(), BTreeSet::new());
        self.instances[instance].requests.insert(
            id,
            RequestState {
                attempts: 0,
                is_streamed: class == "stream",
            },
        );
    }

    /// Changes one server, or adds one, and appends an endpoint update for every instance. A server
    /// begins to drain, is removed, returns, restarts or gets another weight.
    fn change_endpoints(&mut self, events: &mut Vec<Value>) {
        self.list_version += 1;
        let count = self.servers.len() as u64;
        let index = match self.random.below(12) {
            0 if count < 16 => {
                self.add_server(count, self.now);
                count as usize
            }
            _ => self.random.below(count) as usize,
        };
        let choice = self.random.below(4);
        let server = &mut self.servers[index];
        match (server.readiness, choice) {
            ("Ready", 0) => server.readiness = "Terminating",
            ("Ready", 1) => server.readiness = "Gone",
            ("Ready", 2) => server.started_at = self.now,
            ("Ready", _) => server.weight += 0.25,
            _ => {
                server.readiness = "Ready";
                server.started_at = self.now;
            }
        }
        let entries = self.entries([&self.servers[index]]);
        for instance in 0..self.instances.len() {
            events.push(json!([
                "fleet",
                instance,
                "Partial",
                self.list_version,
                entries
            ]));
        }
    }

    /// Schedules an event after a delay in microseconds.
    fn schedule(&mut self, instance: usize, delay: u64, event: ScheduledEvent) {
        self.last_event += 1;
        self.instances[instance]
            .scheduled
            .insert((self.now + delay, self.last_event), event);
    }

    /// Applies the actions of a reply.
    pub fn apply_reply(&mut self, reply: &[String]) {
        for line in reply {
            let action: Value = serde_json::from_str(line).expect("a line of a reply is JSON");
            let name = action[0].as_str().expect("an action has a name").to_owned();
            if name != "next" {
                let instance = action[1].as_u64().expect("an action has an instance") as usize;
                self.apply_action(instance, &name, &action);
            }
            self.seen.insert(name);
        }
    }

    fn apply_action(&mut self, instance: usize, name: &str, action: &Value) {
        let text = |index: usize| action[index].as_str().unwrap_or_default().to_owned();
        let number = |index: usize| action[index].as_u64().unwrap_or_default();
        match name {
            "submitTo" => self.start_attempt(instance, &text(2), number(3), &text(4)),
            "dropAttempt" => {
                let attempt = number(3);
                if let Some(cancelled_attempts) =
                    self.instances[instance].unfinished.get_mut(&text(2))
                {
                    cancelled_attempts.insert(attempt);
                }
            }
            "bounce" | "abort" => drop(self.instances[instance].unfinished.remove(&text(2))),
            "defer" => {
                // 5 % of the timers expire late.
                let delay = if self.random.percent(5) {
                    self.random.below(30_000)
                } else {
                    0
                };
                self.schedule(
                    instance,
                    number(2) + delay,
                    ScheduledEvent::Timer { token: number(3) },
                );
            }
            "addAndGet" => {
                self.call_counter(instance, number(2), action[3].as_f64().unwrap_or_default())
            }
            "lease" => {
                let delay = self.random.below(60_000);
                let granted = self.random.percent(70);
                self.schedule(
                    instance,
                    delay,
                    ScheduledEvent::LeaseReplied {
                        id: text(2),
                        granted,
                    },
                );
            }
            "giveIn" => panic!("the host reports a failure of the engine: {action}"),
            _ => {}
        }
    }

    /// Schedules the end of an attempt, and the start of its response if it is streamed.
    fn start_attempt(&mut self, instance: usize, id: &str, timeout: u64, server: &str) {
        let duration = self
            .random
            .between(500, self.scenario.max_attempt_us)
            .min(timeout);
        let response_delay = self.random.below(duration);
        let sent_at = self.now;
        // The request may have been withdrawn, or its instance restarted, later in the same batch.
        let Some(request) = self.instances[instance].requests.get_mut(id) else {
            assert!(
                self.has_restarted,
                "an attempt is sent for the unknown request {id}"
            );
            return;
        };
        let (attempt, is_streamed) = (request.attempts, request.is_streamed);
        request.attempts += 1;
        let (id, server) = (id.to_owned(), server.to_owned());
        if is_streamed {
            let event = ScheduledEvent::ResponseStarted {
                id: id.clone(),
                attempt,
                server: server.clone(),
                sent_at,
            };
            self.schedule(instance, response_delay, event);
        }
        self.schedule(
            instance,
            duration,
            ScheduledEvent::AttemptEnded {
                id,
                attempt,
                server,
                sent_at,
            },
        );
    }

    /// Adds to a counter and schedules the reply, both subject to the faults of the scenario.
    fn call_counter(&mut self, instance: usize, counter: u64, amount: f64) {
        let [lost_reply, lost_call, rejected, wrong_total] = self.scenario.counter_faults;
        let mut delay = self.random.between(300, 9_000);
        if self.random.percent(4) {
            delay += self.random.below(45_000);
        }
        let roll = self.random.below(100);
        let is_added = roll < lost_reply || roll >= lost_reply + lost_call + rejected;
        let total = self.totals.entry(counter).or_default();
        if is_added {
            *total += amount;
        }
        let total = *total;
        let (code, total) = match roll {
            _ if roll < lost_reply + lost_call => (303, 0.0),
            _ if roll < lost_reply + lost_call + rejected => ([302, 304][(roll % 2) as usize], 0.0),
            _ if roll < lost_reply + lost_call + rejected + wrong_total => {
                (100, total * 3.0 - 40.0)
            }
            _ => (100, total),
        };
        let delay = if code == 303 { 50_000 } else { delay };
        let called_at = self.now;
        self.schedule(
            instance,
            delay,
            ScheduledEvent::CounterReplied {
                counter,
                total,
                code,
                called_at,
            },
        );
    }
}
