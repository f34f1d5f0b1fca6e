//! Limiter processes, and the calls with which a test controls and observes them.

use crate::checker;
use crate::checker::{Event, QuotaBounds};
use crate::peers::{endpoint_entry, settings, Program};
use crate::relay::{NetworkFaults, Relay, SECRET};
use crate::rig::load::{run_client, Addresses, Load};
use crate::rig::plan::Plan;
use crate::rig::stand_ins::{start_counter, start_discovery, start_server, EndpointList, Record};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of each wait for a state of the fleet: long enough for a fleet to settle on a machine
/// that is busy with other work too.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A fleet of limiter processes and everything around it. Vectors are indexed by limiter, apart from
/// `servers`.
pub struct Rig {
    plan: Plan,
    pub relay: Relay,
    /// The process of each limiter, `None` while it is down.
    pub limiters: Vec<Option<Program>>,
    /// The configuration that the next process of each limiter gets.
    settings: Vec<Value>,
    /// The temporary folder of each limiter, which all its processes use.
    folders: Vec<PathBuf>,
    pub record: Record,
    list: Arc<Mutex<EndpointList>>,
    /// Addresses of the upstream servers.
    servers: Vec<SocketAddr>,
    /// Whether the quota counter answers.
    pub counter_answers: Arc<AtomicBool>,
    addresses: Addresses,
    /// Number of processes started so far.
    starts: usize,
    began: Instant,
}

impl Rig {
    /// Starts everything around the limiters, but no limiter.
    pub fn new(plan: Plan) -> Self {
        println!("{}: seed {}", plan.name, plan.seed);
        let (record, answers): (Record, _) = (Record::default(), Arc::new(AtomicBool::new(true)));
        let relay = Relay::new(plan.limiters, plan.seed);
        let servers: Vec<_> = (0..plan.servers)
            .map(|number| start_server(number, &record))
            .collect();
        let entries = servers
            .iter()
            .enumerate()
            .map(|(n, at)| endpoint_entry(&format!("s-{n}"), *at, "in_service"));
        let list = Arc::new(Mutex::new(EndpointList {
            generation: 8,
            entries: entries.collect(),
        }));
        let counter = start_counter(&answers);
        let discovery = start_discovery(&list);
        let names: Vec<String> = (0..plan.servers).map(|n| format!("s-{n}")).collect();
        let known: Vec<_> = names
            .iter()
            .map(String::as_str)
            .zip(servers.iter().copied())
            .collect();
        let common_settings = settings(discovery, counter, &known);
        let seeds = |me: usize| {
            let numbers =
                (0..plan.limiters).filter(|limiter| *limiter < plan.seeds || *limiter == me);
            let seed = |limiter| {
                let address = relay.address(limiter).to_string();
                json!({"limiter": limiter, "address": address})
            };
            numbers.map(seed).collect::<Vec<_>>()
        };
        let limiter_settings = |me: usize| {
            let mut own_settings = common_settings.clone();
            own_settings["name"] = format!("n{me}").into();
            own_settings["control"] = "127.0.0.1:0".into();
            own_settings["seed"] = format!("{:016x}", plan.seed * 1_000 + me as u64).into();
            own_settings["settings"]["me"] = me.into();
            own_settings["settings"]["balancers"] = plan.limiters.into();
            own_settings["settings"]["limits"]["peers"] = true.into();
            own_settings["settings"]["safety"] = json!({"drainGrace": 1_000_000, "coldShare": 0.2,
                "warmWithin": 13_000_000, "fallMultiple": 4.0, "fall": 3_000_000});
            own_settings["settings"]["tariffs"][0]["refill"] = plan.rate.into();
            own_settings["settings"]["tariffs"][0]["peakUnits"] = plan.burst.into();
            if plan.fleet {
                own_settings["fleet"] = json!({"name": relay.fleet(), "key": SECRET, "listen": "127.0.0.1:0",
                    "address": relay.address(me).to_string(), "seeds": seeds(me), "period_ms": 100,
                    "out_per_s": 120, "in_per_s": 120, "kept": plan.kept});
            }
            own_settings
        };
        let folder = |me: usize| {
            let name = format!("mossrill-{}-{me}-{}", plan.name, std::process::id());
            let folder = std::env::temp_dir().join(name);
            _ = std::fs::remove_dir_all(&folder);
            std::fs::create_dir(&folder).expect("create the limiter's temporary folder");
            folder
        };
        Self {
            limiters: (0..plan.limiters).map(|_| None).collect(),
            settings: (0..plan.limiters).map(limiter_settings).collect(),
            folders: (0..plan.limiters).map(folder).collect(),
            relay,
            record,
            list,
            servers,
            counter_answers: answers,
            addresses: Arc::new((0..plan.limiters).map(|_| Mutex::default()).collect()),
            starts: 0,
            began: Instant::now(),
            plan,
        }
    }

    /// Starts all limiters and waits until each believes all others alive.
    pub fn start_and_settle(plan: Plan) -> Self {
        let mut rig = Self::new(plan);
        (0..rig.limiters.len()).for_each(|limiter| rig.start(limiter));
        rig.settle();
        rig
    }

    /// Starts all limiters and waits until each is ready, whether or not it knows the others.
    pub fn start_until_ready(plan: Plan) -> Self {
        let mut rig = Self::new(plan);
        (0..rig.limiters.len()).for_each(|limiter| rig.start(limiter));
        rig.running().iter().for_each(|limiter| {
            rig.limiters[*limiter]
                .iter()
                .for_each(|p| p.call_until("ready", "YES"))
        });
        rig
    }

    pub fn change_faults(&self, change: impl FnOnce(&mut NetworkFaults)) {
        self.relay.change_faults(change);
    }

    /// Starts a process of the limiter and lets clients connect to it.
    pub fn start(&mut self, limiter: usize) {
        let program = self.spawn_process(limiter);
        *self.addresses[limiter].lock().expect("lock the address") = Some(program.client_address);
        self.limiters[limiter] = Some(program);
    }

    /// Starts a process of the limiter and returns it. While an earlier process of the limiter runs,
    /// the new one is its successor.
    pub fn spawn_process(&mut self, limiter: usize) -> Program {
        self.starts += 1;
        let name = format!("{}-{limiter}-{}", self.plan.name, self.starts);
        let list = self
            .list
            .lock()
            .expect("lock the endpoint list")
            .to_message();
        self.settings[limiter]["known"] = list;
        // A successor listens at its predecessor's address, where clients reach the limiter.
        if let Some(program) = &self.limiters[limiter] {
            self.settings[limiter]["listen"] = program.client_address.to_string().into();
        }
        Program::start_in(
            &name,
            &self.settings[limiter],
            Some(Path::new(&self.folders[limiter])),
        )
    }

    /// Keeps clients from connecting to the limiter, and records that it is stopped.
    fn record_stop(&self, limiter: usize) {
        *self.addresses[limiter].lock().expect("lock the address") = None;
        self.record
            .lock()
            .expect("lock the record")
            .push(Event::LimiterStopped { limiter });
    }

    /// Kills the limiter's process.
    pub fn kill(&mut self, limiter: usize) {
        self.record_stop(limiter);
        self.limiters[limiter] = None;
    }

    /// Shuts the limiter down gracefully, so that it leaves the fleet, and waits until its process
    /// has exited.
    pub fn leave(&mut self, limiter: usize) {
        self.record_stop(limiter);
        self.limiters[limiter]
            .take()
            .expect("the limiter runs")
            .terminate();
    }

    pub fn signal(&self, limiter: usize, name: &str) {
        self.limiters[limiter]
            .as_ref()
            .expect("the limiter runs")
            .signal(name);
    }

    /// Returns the answer of the limiter's admin interface to a call.
    pub fn call(&self, limiter: usize, line: &str) -> String {
        self.limiters[limiter]
            .as_ref()
            .expect("the limiter runs")
            .call(line)
    }

    /// Returns the state of each member in the view of this limiter.
    pub fn member_states(&self, limiter: usize) -> Vec<String> {
        let text = self.call(limiter, "show-fleet");
        let state = |line: &str| {
            Some(
                line.strip_prefix("limiter=")?
                    .split(' ')
                    .nth(1)?
                    .strip_prefix("state=")?
                    .to_owned(),
            )
        };
        text.lines().filter_map(state).collect()
    }

    /// Returns a field of the last line of `show-fleet`, which sums up the limiter's view; empty if
    /// the line or the field is missing.
    pub fn view_field(&self, limiter: usize, name: &str) -> String {
        let text = self.call(limiter, "show-fleet");
        let line = text
            .lines()
            .find(|line| line.starts_with("fleet="))
            .unwrap_or_default()
            .to_owned();
        let value = line
            .split(' ')
            .find_map(|field| field.strip_prefix(&format!("{name}=")).map(str::to_owned));
        value.unwrap_or_default()
    }

    /// Returns the limiter's share of the quotas as a multiple of an even share; 0 if the limiter
    /// shows none.
    pub fn quota_share(&self, limiter: usize) -> f64 {
        self.view_field(limiter, "part").parse().unwrap_or(0.0)
    }

    /// Returns a metric of the limiter; 0 if the limiter does not have it.
    pub fn metric(&self, limiter: usize, name: &str) -> u64 {
        let text = self.call(limiter, "show-stat");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("limiter.{name}=")));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Returns the running limiters.
    pub fn running(&self) -> Vec<usize> {
        (0..self.limiters.len())
            .filter(|limiter| self.limiters[*limiter].is_some())
            .collect()
    }

    /// Waits until each of these limiters believes exactly these limiters alive.
    pub fn wait_for_agreement(&self, limiters: &[usize]) {
        self.wait_for_views(limiters, limiters);
    }

    /// Waits until each of `observers` believes exactly the limiters in `alive` alive. A suspect
    /// counts as alive.
    pub fn wait_for_views(&self, observers: &[usize], alive: &[usize]) {
        let began = Instant::now();
        for observer in observers {
            loop {
                let states = self.member_states(*observer);
                let is_alive = |state: &String| state == "alive" || state == "suspect";
                let seen: Vec<_> = (0..states.len())
                    .filter(|n| is_alive(&states[*n]))
                    .collect();
                if seen == alive {
                    break;
                }
                assert!(
                    began.elapsed() < SETTLE_TIMEOUT,
                    "{}: limiter {observer} believes {seen:?} alive, expected {alive:?}; its log: {:?}",
                    self.plan.name,
                    self.limiters[*observer].as_ref().map(Program::unread_log)
                );
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Waits until each running limiter believes exactly the running limiters alive.
    pub fn settle(&self) {
        self.wait_for_agreement(&self.running());
    }

    /// Waits until `condition` holds. `expected` describes the condition in the message of a timeout.
    pub fn wait_until(&self, expected: &str, condition: impl Fn(&Self) -> bool) {
        let began = Instant::now();
        while !condition(self) {
            assert!(
                began.elapsed() < SETTLE_TIMEOUT,
                "{}: timed out after {SETTLE_TIMEOUT:?} waiting until {expected}",
                self.plan.name
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Drains an upstream server through service discovery, and waits until all running limiters
    /// have excluded it. They must not send it new requests from then on.
    pub fn drain(&self, server: usize) {
        self.update_list(server, "terminating", 0);
        self.wait_until("all limiters excluded the drained server", |rig| {
            rig.running()
                .iter()
                .all(|limiter| rig.metric(*limiter, "servers_excluded") >= 1)
        });
        let drained = Event::ServerDrained {
            server,
            at: Instant::now(),
        };
        self.record.lock().expect("lock the record").push(drained);
    }

    /// Drains one upstream server and starts another one cold. The rest of the test runs with both.
    pub fn drain_and_cold_start(&self) {
        self.drain(3);
        self.cold_start(2);
    }

    /// Lists an upstream server as just started, so that its capacity is low at first.
    pub fn cold_start(&self, server: usize) {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("the clock is past 1970");
        let cold_started = Event::ServerColdStarted {
            server,
            at: Instant::now(),
            initial_share: 0.2,
            warm_up_s: 13.0,
        };
        self.record
            .lock()
            .expect("lock the record")
            .push(cold_started);
        self.update_list(server, "in_service", now.as_millis() as u64);
    }

    /// Changes the entry of an upstream server in the endpoint list.
    fn update_list(&self, server: usize, lifecycle: &str, started_at_ms: u64) {
        let mut list = self.list.lock().expect("lock the endpoint list");
        let mut changed = endpoint_entry(&format!("s-{server}"), self.servers[server], lifecycle);
        changed["startedAtMs"] = started_at_ms.into();
        list.entries[server] = changed;
        list.generation += 1;
    }

    /// Starts a client for each running limiter. The clients send one request after another until
    /// the load is stopped.
    pub fn load(&self, accounts: usize) -> Load {
        let (stop, ended_requests) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let limiters = self.running().into_iter();
        let spread = self.limiters.len();
        let clients = limiters.map(|limiter| {
            let (record, stop, ended) = (self.record.clone(), stop.clone(), ended_requests.clone());
            let addresses = self.addresses.clone();
            thread::spawn(move || {
                run_client(
                    limiter, &addresses, spread, accounts, &record, &stop, &ended,
                )
            })
        });
        let clients = clients.collect();
        Load {
            stop,
            ended_requests,
            clients,
        }
    }

    /// Asserts that the recorded events violate no rule.
    pub fn check(&self, bounds: Option<QuotaBounds>) {
        let record = self.record.lock().expect("lock the record").clone();
        let violations = checker::check(&record, bounds.as_ref());
        assert!(
            violations.is_empty(),
            "{}: {} violations, the first of them {:?}",
            self.plan.name,
            violations.len(),
            &violations[..violations.len().min(10)]
        );
    }

    /// Returns the quota that each account has had since the rig was set up.
    pub fn quota_bounds(&self, slack: f64) -> QuotaBounds {
        let span_s = self.began.elapsed().as_secs_f64();
        QuotaBounds {
            burst: self.plan.burst,
            rate: self.plan.rate,
            span_s,
            slack,
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.folders
            .iter()
            .for_each(|folder| _ = std::fs::remove_dir_all(folder));
    }
}
