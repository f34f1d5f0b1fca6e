//! Joins the core to the platform: the agents' front, ticket nodes, the node list and the quota counter.

use super::agents::{Agents, Asked, FromAgent, PlatformCall, Reply, Served, Slot};
use super::node_list;
use super::quota_counter::{Addition, QuotaCounter};
use super::ticket_nodes::{NodeEnd, TicketNodes};
use crate::config::{Config, NodeNews};
use crate::interface::{Scope, ServerId};
use crate::limiter::{Answer, AttemptId, Clock, Core, Edges, Incoming, Input};
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use slog::{info, o, Logger};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Descriptors that neither agents nor ticket nodes may use: the listener, the node list, the quota counter,
/// the logs, and connections that are just being closed.
const RESERVE: usize = 96;

/// The core's edges on the platform.
pub struct PlatformEdges {
    nodes: TicketNodes,
    counter: Option<QuotaCounter>,
}

impl Edges for PlatformEdges {
    type Client = Slot;
    type Call = PlatformCall;
    type Value = Served;

    fn answer(&mut self, client: Slot, answer: Answer<Served>) {
        // The agent may have gone away.
        _ = client.try_send(Reply::Answer(answer));
    }

    fn start(&mut self, attempt: AttemptId, node: &ServerId, call: &Arc<PlatformCall>, ends: Instant) {
        self.nodes.start(attempt, node, call.clone(), ends);
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.nodes.cancel(attempt);
    }

    fn probe(&mut self, node: &ServerId) {
        self.nodes.probe(node);
    }

    fn add(&mut self, call: u64, name: u64, by: f64, ttl: Duration) {
        if let Some(counter) = &self.counter {
            counter.add(Addition { call, name, by, ttl });
        }
    }
}

/// A limiter on the platform, ready to run.
pub struct Platform {
    core: Core<PlatformEdges>,
    inputs: Receiver<Input<PlatformEdges>>,
    agents: Arc<Agents>,
    queue: Sender<Input<PlatformEdges>>,
}

/// Ends a limiter from outside.
pub struct Stopper {
    agents: Arc<Agents>,
    queue: Sender<Input<PlatformEdges>>,
}

impl Platform {
    /// Starts everything but the core.
    pub fn start(config: Config, log: &Logger) -> io::Result<Self> {
        let (queue, inputs) = unbounded();
        let clock = Clock::start();
        let most = config.descriptors.saturating_sub(RESERVE).max(8) / 2;

        let to = queue.clone();
        let ended = Arc::new(move |end| _ = to.send(node_input(end)));
        let nodes_log = log.new(o!("part" => "nodes"));
        let nodes = TicketNodes::new(config.links, most, config.load_fields, ended, nodes_log);
        let to = queue.clone();
        let counted =
            Arc::new(move |call, outcome, total| _ = to.send(Input::Counted { call, outcome, total }));
        let counter_log = log.new(o!("part" => "counter"));
        let counter = match config.quota_counter {
            Some(at) => Some(QuotaCounter::start(at, counted, &counter_log)?),
            None => None,
        };

        let deadlines: Vec<_> =
            config.settings.classes.iter().map(|c| Duration::from_micros(c.deadline)).collect();
        let to = queue.clone();
        let told = Arc::new(move |told| {
            let input = match told {
                FromAgent::Asked(asked) => Input::Request(incoming(asked, &deadlines)),
                FromAgent::Left(number) => Input::Left(number),
            };
            _ = to.send(input);
        });
        let agents = Agents::new(config.names, most, told, log.new(o!("part" => "agents")));

        let (ready, first_list) = bounded(1);
        let front = agents.clone();
        super::spawn("ready", move || {
            if first_list.recv().is_ok() {
                front.set_ready();
            }
        })?;

        let generation = config.known.generation;
        nodes.learn(&config.known);
        let members = config.known.nodes.into_iter().map(|(member, _)| member).collect();
        _ = queue.send(Input::Nodes(Scope::Kept, members));
        let (to, book) = (queue.clone(), nodes.clone());
        let news = move |news: NodeNews| {
            // Addresses first: the core may send to a new node as soon as it hears of it.
            book.learn(&news);
            let scope = if news.full { Scope::Full } else { Scope::Changes };
            let members = news.nodes.into_iter().map(|(member, _)| member).collect();
            _ = to.send(Input::Nodes(scope, members));
        };
        node_list::watch(config.node_list, generation, news, log.new(o!("part" => "node-list")))?;

        let bound = agents.listen(config.listen)?;
        info!(log, "listening"; "at" => %bound, "limiter" => config.name);
        let edges = PlatformEdges { nodes, counter };
        let core_log = log.new(o!("part" => "core"));
        let core = Core::new(config.settings, config.seed, config.max_open, edges, clock, ready, core_log);
        Ok(Self { core, inputs, agents, queue })
    }

    /// What ends this limiter.
    pub fn stopper(&self) -> Stopper {
        Stopper { agents: self.agents.clone(), queue: self.queue.clone() }
    }

    /// Runs the core on this thread until it is stopped; then waits for the last answers to be written.
    pub fn run(self) {
        self.core.run(self.inputs);
        self.agents.wait_closed(LAST_ANSWERS);
    }
}

/// Connections keep coming for up to 0.4 s after the word to stop.
const STILL_COMING: Duration = Duration::from_millis(450);
/// What was taken by then is answered within its deadline, and all before the limiter is killed: no earlier
/// than 3.7 s after the word to stop where deadlines are longest.
const LAST_REQUESTS: Duration = Duration::from_millis(2_900);
const LAST_ANSWERS: Duration = Duration::from_millis(150);

impl Stopper {
    /// Ends the limiter in order: goes on for as long as connections come, then closes those that owe
    /// nothing and answers what is open.
    pub fn stop(&self) {
        std::thread::sleep(STILL_COMING);
        self.agents.close_idle();
        _ = self.queue.send(Input::Stop(Instant::now() + LAST_REQUESTS));
    }
}

fn node_input(end: NodeEnd) -> Input<PlatformEdges> {
    match end {
        NodeEnd::Attempt { attempt, outcome, load, value } => Input::Ended { attempt, outcome, load, value },
        NodeEnd::Probe { node, outcome, took, load } => Input::Probed { node, outcome, took, load },
    }
}

fn incoming(asked: Asked, deadlines: &[Duration]) -> Incoming<PlatformEdges> {
    let longest = deadlines.get(asked.class).copied().unwrap_or_default();
    Incoming {
        number: asked.number,
        arrived: asked.arrived,
        budget: asked.budget.map_or(longest, |b| b.min(longest)),
        class: asked.class,
        plan: asked.plan,
        account: asked.account,
        units: asked.units,
        spread: asked.spread,
        first: asked.first,
        client: asked.slot,
        call: asked.call,
    }
}
