//! The peers and limiters of a run, and what is done to them.

use super::bad_clients::start_bad_clients;
use super::clients::{Client, Crowd};
use super::limiters::{free_address, Disturbance, Limiter, Setup};
use super::peers::{Conduct, Counter, Discovery, Server};
use super::plan::{Fault, Operation, Plan};
use super::record::{Event, Record, Recorder};
use super::slow_clients::SlowClient;
use super::{SoakOptions, DRAIN_GRACE_MS, KEY_WINDOW_MS, MAX_DEADLINE_MS};
use crate::error::LabError;
use crate::stand_in::spawn;
use crossbeam_channel::{unbounded, Sender};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two looks at the processes.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(25);
/// Time after the last fault in which the last answers come.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// A draining server goes, and another comes, after this time.
const REPLACE_DELAY: Duration = Duration::from_millis(1_300);
/// The peers and limiters of a run.
pub(super) struct World {
    plan: Plan,
    recorder: Recorder,
    servers: Vec<Server>,
    discovery: Discovery,
    counter: Counter,
    limiters: Vec<Limiter>,
    crowd: Crowd,
    folder: PathBuf,
}

impl World {
    /// Starts the peers; the limiters get their configuration.
    pub(super) fn start(options: &SoakOptions, plan: Plan) -> Result<Self, LabError> {
        let recorder = Recorder::default();
        let name = format!("mossrill-soak-{}-{}", std::process::id(), options.seed);
        let folder = std::env::temp_dir().join(name);
        let (discovery, counter) = (Discovery::start()?, Counter::start()?);
        let mut servers = Vec::new();
        for number in 0..plan.servers {
            let server = Server::start(&format!("s{number}"), number as u32 % 2, &recorder)?;
            discovery.put(&server, "in_service", 0);
            servers.push(server);
        }
        let mut limiters = Vec::new();
        let mut addresses = Vec::new();
        let peers = (discovery.address.to_string(), counter.address.to_string());
        for number in 0..plan.limiters {
            let listen = free_address()?;
            addresses.push(listen);
            let mut config = config(&plan, number, &listen.to_string(), &peers);
            config["known"] = serde_json::from_str(&discovery.whole())?;
            let folder = folder.join(format!("n{number}"));
            let setup = setup(options, &plan, number, folder, config)?;
            limiters.push(Limiter::new(setup, &recorder));
        }
        let crowd = Crowd {
            limiters: addresses,
            recorder: recorder.clone(),
            stop: Arc::default(),
            next_connection: Arc::default(),
            max_deadline_ms: MAX_DEADLINE_MS,
        };
        Ok(Self {
            plan,
            recorder,
            servers,
            discovery,
            counter,
            limiters,
            crowd,
            folder,
        })
    }

    /// Plays the faults of the plan. Returns what was seen.
    pub(super) fn run(self, options: &SoakOptions) -> Result<Vec<Record>, LabError> {
        let is_over = Arc::new(AtomicBool::new(false));
        let observer = self.start_observer(&is_over);
        for limiter in &self.limiters {
            limiter.start(false)?;
        }
        let mut clients = Vec::new();
        for number in 0..self.plan.clients {
            let client = Client::new(self.crowd.clone(), number, options.seed);
            clients.push(thread::spawn(move || client.run()));
        }
        for number in 0..self.plan.slow_clients {
            let crowd = self.crowd.clone();
            let client = SlowClient { crowd, number };
            clients.push(thread::spawn(move || client.run()));
        }
        self.play_faults(options.time);
        self.crowd.stop.store(true, SeqCst);
        for client in clients {
            client.join().map_err(|_| LabError::Panicked)?;
        }
        let records = self.recorder.all();
        for limiter in &self.limiters {
            for process in limiter.process_ids() {
                limiter.kill(process);
            }
        }
        is_over.store(true, SeqCst);
        observer.join().map_err(|_| LabError::Panicked)?;
        if std::env::var_os("KEEP").is_none() {
            std::fs::remove_dir_all(&self.folder)?;
        }
        Ok(records)
    }

    /// Starts the thread that looks at the processes.
    fn start_observer(&self, is_over: &Arc<AtomicBool>) -> JoinHandle<()> {
        let (limiters, is_over) = (self.limiters.clone(), is_over.clone());
        thread::spawn(move || {
            while !is_over.load(SeqCst) {
                limiters.iter().for_each(Limiter::observe);
                thread::sleep(OBSERVE_INTERVAL);
            }
        })
    }

    /// Begins each fault at its time, and waits until all are over.
    fn play_faults(&self, time: Duration) {
        let began = Instant::now();
        let (operators, operations): (Vec<_>, Vec<_>) = self
            .limiters
            .iter()
            .map(|limiter| self.start_operator(limiter))
            .unzip();
        for (number, (at, fault)) in self.plan.faults.iter().enumerate() {
            thread::sleep((began + *at).saturating_duration_since(Instant::now()));
            self.recorder.note(Event::Fault {
                text: format!("{fault:?}"),
            });
            match fault {
                Fault::Limiter(limiter, operation) => _ = operations[*limiter].send(*operation),
                fault => self.begin(number, *fault),
            }
        }
        thread::sleep((began + time).saturating_duration_since(Instant::now()));
        drop(operations);
        for operator in operators {
            // A limiter that does not start again is found by the checker: nothing else panics.
            _ = operator.join();
        }
        thread::sleep(SETTLE_TIME);
    }

    /// Starts the thread that carries out the operations on one limiter, one after another.
    fn start_operator(&self, limiter: &Limiter) -> (JoinHandle<()>, Sender<Operation>) {
        let (sender, operations) = unbounded();
        let (limiter, recorder) = (limiter.clone(), self.recorder.clone());
        let operator = thread::spawn(move || {
            for operation in operations {
                if let Err(error) = operate(&limiter, operation) {
                    recorder.note(Event::Fault {
                        text: format!("{operation:?} failed: {error}"),
                    });
                }
            }
        });
        (operator, sender)
    }

    fn begin(&self, number: usize, fault: Fault) {
        match fault {
            Fault::Limiter(..) => {}
            Fault::Conduct(server, conduct, span) => {
                let server = self.servers[server].clone();
                server.set_conduct(conduct);
                after(span, move || server.set_conduct(Conduct::Serve));
            }
            Fault::ResetServer(server) => self.servers[server].reset_connections(),
            Fault::Replace(server) => self.replace(number, &self.servers[server]),
            Fault::SilentDiscovery(span) => {
                let discovery = self.discovery.clone();
                discovery.set_silent(true);
                after(span, move || discovery.set_silent(false));
            }
            Fault::ResetWatches => self.discovery.reset_watches(),
            Fault::SilentCounter(span) => {
                let counter = self.counter.clone();
                counter.set_silent(true);
                after(span, move || counter.set_silent(false));
            }
            Fault::BadClients(conduct, count, span) => {
                start_bad_clients(&self.crowd, conduct, count, span);
            }
        }
    }

    /// A server drains, goes, and another one takes its address.
    fn replace(&self, number: usize, server: &Server) {
        self.discovery.put(server, "terminating", 0);
        server.note_drain();
        let (server, discovery) = (server.clone(), self.discovery.clone());
        after(REPLACE_DELAY, move || {
            discovery.put(&server, "terminated", 0);
            let group = server.group();
            server.replace(&format!("r{number}"), 1 - group);
            discovery.put(&server, "in_service", unix_ms());
        });
    }
}

/// Creates the folder of a limiter, and returns how its processes are started.
fn setup(
    options: &SoakOptions,
    plan: &Plan,
    number: usize,
    folder: PathBuf,
    config: Value,
) -> Result<Setup, LabError> {
    std::fs::create_dir_all(&folder)?;
    let disturbance = options.interposer.as_ref().map(|library| Disturbance {
        library: library.clone(),
        seed: options.seed,
        clock_step_s: plan.clock_step_s,
    });
    Ok(Setup {
        number,
        program: options.limiter.clone(),
        folder,
        config,
        longest_deadline: Duration::from_millis(MAX_DEADLINE_MS),
        disturbance,
    })
}

fn operate(limiter: &Limiter, operation: Operation) -> Result<(), LabError> {
    let serving = limiter.process_ids().last().copied();
    match (operation, serving) {
        (Operation::Restart, Some(process)) => {
            limiter.terminate(process);
            limiter.start(false).map(drop)
        }
        (Operation::Kill, Some(process)) => {
            limiter.kill(process);
            limiter.start(false).map(drop)
        }
        (Operation::Disturb, Some(process)) => {
            limiter.kill(process);
            limiter.start(true).map(drop)
        }
        (Operation::Upgrade, Some(process)) => {
            limiter.start(false)?;
            limiter.terminate(process);
            Ok(())
        }
        (Operation::Reload, _) => {
            limiter.reload();
            Ok(())
        }
        (Operation::Pause, _) => {
            limiter.pause();
            Ok(())
        }
        (_, None) => limiter.start(false).map(drop),
    }
}

/// Runs `action` after `span`.
fn after(span: Duration, action: impl FnOnce() + Send + 'static) {
    // Without a thread the fault lasts to the end of the run.
    _ = spawn(move || {
        thread::sleep(span);
        action();
    });
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns the configuration of a limiter, without the address of its admin interface.
fn config(plan: &Plan, number: usize, listen: &str, peers: &(String, String)) -> Value {
    let class = |name: &str, semantics: &str, group: &str| {
        json!({"name": name, "semantics": semantics, "slo": 400_000, "deadline": MAX_DEADLINE_MS * 1_000,
            "importance": 1.0, "group": group, "memorySpan": KEY_WINDOW_MS * 1_000})
    };
    json!({"name": format!("n{number}"), "listen": listen, "discovery": peers.0, "counter": peers.1,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": plan.memory_mib, "sockets": plan.descriptors},
        "settings": {"me": number, "balancers": plan.limiters, "tick": 2000, "az": "z",
            "classes": [class("look", "read_like", "all"), class("hold", "idempotency_key", "cell"),
                class("pay", "non_idempotent", "all")],
            "tariffs": [{"name": "basic", "refill": 1e4, "peakUnits": 1e4, "worthFactor": 1.0}],
            "limits": {"maxAttempts": 4, "mayCancel": true, "secondCopies": true, "retryAfter": true,
                "maxRetryAfter": 200_000, "connIdle": 30_000_000, "connectTimeout": 250_000, "maxOpen": 20_000},
            "safety": {"drainGrace": DRAIN_GRACE_MS * 1_000, "coldShare": 0.18, "fall": 3_000_000,
                "fallMultiple": 4.0, "warmWithin": 5_000_000},
            "loadInfo": {"fields": ["queue", "inflight", "util"], "source": "pull"},
            "specifics": {"mayCount": true, "unitsTop": 6, "counterTimeout": 50_000}}})
}
