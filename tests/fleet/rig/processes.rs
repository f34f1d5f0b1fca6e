//! Limiter processes, and the calls with which a test controls and observes them.

use crate::checker;
use crate::checker::{Bounds, Entry};
use crate::peers::{entry, settings, Program};
use crate::relay::{Relay, Script, SECRET};
use crate::rig::load::{agent, Addresses, Load};
use crate::rig::plan::Plan;
use crate::rig::stand_ins::{counter, list, node, EndpointList, Record};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Long enough for a fleet to settle on a machine that does other things too.
const SETTLED: Duration = Duration::from_secs(60);

pub struct Rig {
    plan: Plan,
    pub relay: Relay,
    pub limiters: Vec<Option<Program>>,
    told: Vec<Value>,
    folders: Vec<PathBuf>,
    pub record: Record,
    list: Arc<Mutex<EndpointList>>,
    nodes: Vec<SocketAddr>,
    /// Whether the counter says anything.
    pub counts_answer: Arc<AtomicBool>,
    addresses: Addresses,
    starts: usize,
    began: Instant,
}

impl Rig {
    /// Everything around the limiters; none of them runs yet.
    pub fn new(plan: Plan) -> Self {
        println!("{}: seed {}", plan.name, plan.seed);
        let (record, answers): (Record, _) = (Record::default(), Arc::new(AtomicBool::new(true)));
        let relay = Relay::new(plan.limiters, plan.seed);
        let nodes: Vec<_> = (0..plan.nodes)
            .map(|number| node(number, &record))
            .collect();
        let entries = nodes
            .iter()
            .enumerate()
            .map(|(n, at)| entry(&format!("s-{n}"), *at, "in_service"));
        let list_now = Arc::new(Mutex::new(EndpointList {
            generation: 8,
            entries: entries.collect(),
        }));
        let counter = counter(&answers);
        let list_at = list(&list_now);
        let names: Vec<String> = (0..plan.nodes).map(|n| format!("s-{n}")).collect();
        let known: Vec<_> = names
            .iter()
            .map(String::as_str)
            .zip(nodes.iter().copied())
            .collect();
        let base = settings(list_at, counter, &known);
        let seeds = |me: usize| {
            let others = (0..plan.limiters).filter(|who| *who < plan.seeds || *who == me);
            let seed = |who| json!({"limiter": who, "address": relay.address(who).to_string()});
            others.map(seed).collect::<Vec<_>>()
        };
        let told = |me: usize| {
            let mut told = base.clone();
            told["name"] = format!("n{me}").into();
            told["control"] = "127.0.0.1:0".into();
            told["seed"] = format!("{:016x}", plan.seed * 1_000 + me as u64).into();
            told["settings"]["me"] = me.into();
            told["settings"]["balancers"] = plan.limiters.into();
            told["settings"]["limits"]["peers"] = true.into();
            told["settings"]["safety"] = json!({"drainGrace": 1_000_000, "coldShare": 0.2,
                "warmWithin": 13_000_000, "fallMultiple": 4.0, "fall": 3_000_000});
            told["settings"]["tariffs"][0]["refill"] = plan.rate.into();
            told["settings"]["tariffs"][0]["peakUnits"] = plan.burst.into();
            if plan.fleet {
                told["fleet"] = json!({"name": relay.fleet(), "key": SECRET, "listen": "127.0.0.1:0",
                    "address": relay.address(me).to_string(), "seeds": seeds(me), "period_ms": 100,
                    "out_per_s": 120, "in_per_s": 120, "kept": plan.kept});
            }
            told
        };
        let folder = |me: usize| {
            let name = format!("mossrill-{}-{me}-{}", plan.name, std::process::id());
            let folder = std::env::temp_dir().join(name);
            _ = std::fs::remove_dir_all(&folder);
            std::fs::create_dir(&folder).expect("a folder");
            folder
        };
        Self {
            limiters: (0..plan.limiters).map(|_| None).collect(),
            told: (0..plan.limiters).map(told).collect(),
            folders: (0..plan.limiters).map(folder).collect(),
            relay,
            record,
            list: list_now,
            nodes,
            counts_answer: answers,
            addresses: Arc::new((0..plan.limiters).map(|_| Mutex::default()).collect()),
            starts: 0,
            began: Instant::now(),
            plan,
        }
    }

    /// With every limiter running and known to every other.
    pub fn up(plan: Plan) -> Self {
        let mut rig = Self::new(plan);
        (0..rig.limiters.len()).for_each(|who| rig.start(who));
        rig.settle();
        rig
    }

    /// The same with processes that know of nobody.
    pub fn up_alone(plan: Plan) -> Self {
        let mut rig = Self::new(plan);
        (0..rig.limiters.len()).for_each(|who| rig.start(who));
        rig.running().iter().for_each(|who| {
            rig.limiters[*who]
                .iter()
                .for_each(|p| p.call_until("ready", "YES"))
        });
        rig
    }

    pub fn script(&self, change: impl FnOnce(&mut Script)) {
        self.relay.script(change);
    }

    pub fn start(&mut self, who: usize) {
        let program = self.another(who);
        *self.addresses[who].lock().expect("whole") = Some(program.at);
        self.limiters[who] = Some(program);
    }

    /// A further process of a limiter, beside the one that runs.
    pub fn another(&mut self, who: usize) -> Program {
        self.starts += 1;
        let name = format!("{}-{who}-{}", self.plan.name, self.starts);
        self.told[who]["known"] = self.list.lock().expect("whole").whole();
        // Clients reach a limiter where it was.
        if let Some(program) = &self.limiters[who] {
            self.told[who]["listen"] = program.at.to_string().into();
        }
        Program::start_in(&name, &self.told[who], Some(Path::new(&self.folders[who])))
    }

    fn ended(&self, limiter: usize) {
        *self.addresses[limiter].lock().expect("whole") = None;
        self.record
            .lock()
            .expect("whole")
            .push(Entry::Ended { limiter });
    }

    pub fn kill(&mut self, who: usize) {
        self.ended(who);
        self.limiters[who] = None;
    }

    /// Ends it in order.
    pub fn leave(&mut self, who: usize) {
        self.ended(who);
        self.limiters[who].take().expect("running").ends();
    }

    pub fn signal(&self, who: usize, name: &str) {
        self.limiters[who].as_ref().expect("running").signal(name);
    }

    pub fn call(&self, who: usize, line: &str) -> String {
        self.limiters[who].as_ref().expect("running").call(line)
    }

    /// State of each member as a limiter has it.
    pub fn states(&self, who: usize) -> Vec<String> {
        let text = self.call(who, "show-fleet");
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

    /// A word of a limiter's view.
    pub fn word(&self, who: usize, name: &str) -> String {
        let text = self.call(who, "show-fleet");
        let line = text
            .lines()
            .find(|line| line.starts_with("fleet="))
            .unwrap_or_default()
            .to_owned();
        let word = line
            .split(' ')
            .find_map(|word| word.strip_prefix(&format!("{name}=")).map(str::to_owned));
        word.unwrap_or_default()
    }

    /// Its part of what all share, in parts of an even one.
    pub fn part(&self, who: usize) -> f64 {
        self.word(who, "part").parse().unwrap_or(0.0)
    }

    pub fn figure(&self, who: usize, name: &str) -> u64 {
        let text = self.call(who, "show-stat");
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("limiter.{name}=")));
        line.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Limiters that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.limiters.len())
            .filter(|who| self.limiters[*who].is_some())
            .collect()
    }

    /// Waits until every one of these holds these for living and nobody else.
    pub fn agree(&self, these: &[usize]) {
        self.agree_from(these, these);
    }

    /// Waits until `who` hold these for living and nobody else.
    pub fn agree_from(&self, who: &[usize], these: &[usize]) {
        let began = Instant::now();
        for who in who {
            loop {
                let states = self.states(*who);
                let lives = |state: &String| state == "alive" || state == "suspect";
                let living: Vec<_> = (0..states.len()).filter(|n| lives(&states[*n])).collect();
                if living == these {
                    break;
                }
                assert!(
                    began.elapsed() < SETTLED,
                    "{}: {who} holds {living:?} for living, not {these:?}: {:?}",
                    self.plan.name,
                    self.limiters[*who].as_ref().map(Program::log)
                );
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Waits until all that run know of each other, and of nobody else as living.
    pub fn settle(&self) {
        self.agree(&self.running());
    }

    /// Waits until this is so.
    pub fn until(&self, what: &str, so: impl Fn(&Self) -> bool) {
        let began = Instant::now();
        while !so(self) {
            assert!(
                began.elapsed() < SETTLED,
                "{}: never {what}",
                self.plan.name
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Takes an upstream server out of the list, and waits until all have heard it: nothing new goes there from then on.
    pub fn drain(&self, node: usize) {
        self.relist(node, "terminating", 0);
        self.until("heard of the drain", |rig| {
            rig.running()
                .iter()
                .all(|who| rig.figure(*who, "servers_excluded") >= 1)
        });
        let barred = Entry::Barred {
            node,
            at: Instant::now(),
        };
        self.record.lock().expect("whole").push(barred);
    }

    /// One upstream server drains and another one is cold while whatever is to come goes on.
    pub fn cold_and_drained(&self) {
        self.drain(3);
        self.cold(2);
    }

    /// A upstream server has just started and bears little.
    pub fn cold(&self, node: usize) {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("a clock");
        let cold = Entry::Cold {
            node,
            at: Instant::now(),
            share: 0.2,
            warm: 13.0,
        };
        self.record.lock().expect("whole").push(cold);
        self.relist(node, "in_service", now.as_millis() as u64);
    }

    fn relist(&self, node: usize, lifecycle: &str, started: u64) {
        let mut list = self.list.lock().expect("whole");
        let mut changed = entry(&format!("s-{node}"), self.nodes[node], lifecycle);
        changed["startedAtMs"] = started.into();
        list.entries[node] = changed;
        list.generation += 1;
    }

    /// Clients that ask at each running limiter, one after another, until the load is ended.
    pub fn load(&self, accounts: usize) -> Load {
        let (stop, asked) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let limiters = self.running().into_iter();
        let spread = self.limiters.len();
        let agents = limiters.map(|who| {
            let (record, stop, asked) = (self.record.clone(), stop.clone(), asked.clone());
            let addresses = self.addresses.clone();
            thread::spawn(move || agent(who, &addresses, spread, accounts, &record, &stop, &asked))
        });
        let agents = agents.collect();
        Load {
            stop,
            asked,
            agents,
        }
    }

    /// Every broken rule of all that happened.
    pub fn check(&self, bounds: Option<Bounds>) {
        let record = self.record.lock().expect("whole").clone();
        let faults = checker::check(&record, bounds.as_ref());
        assert!(
            faults.is_empty(),
            "{}: {} faults, {:?}",
            self.plan.name,
            faults.len(),
            &faults[..faults.len().min(10)]
        );
    }

    /// What an account may use while the rig stands.
    pub fn bounds(&self, slack: f64) -> Bounds {
        let span = self.began.elapsed().as_secs_f64();
        Bounds {
            burst: self.plan.burst,
            rate: self.plan.rate,
            span,
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
