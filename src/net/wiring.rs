//! Joins a front, the core, ticket nodes and a counter into one limiter, whatever they speak.

use super::count_lines::{Addition, CountLines};
use super::front::{Front, Manner, Reply, Slot};
use super::ticket_nodes::{Speech, TicketNodes};
use crate::config::{Common, NodeNews};
use crate::control::line::{self, Desk};
use crate::figures::Figures;
use crate::interface::{Scope, ServerId};
use crate::limiter::{Answer, AttemptId, Clock, Core, Edges, Input, Order};
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use slog::{info, o, Logger};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Agents, but for floods, hold a third of the descriptors at most; for these there is a twelfth more. Ticket nodes
/// have a third. The rest is for the listener, the node list, the counter, the logs, and connections that are just
/// being closed.
fn shares(descriptors: usize) -> (usize, usize) {
    let third = (descriptors / 3).max(8);
    (third + third / 4, third)
}

/// The core's queue.
pub type Queue<S> = Sender<Input<Wiring<S>>>;

/// The core's edges: connections to ticket nodes that speak `S`, and a counter.
pub struct Wiring<S: Speech> {
    nodes: TicketNodes<S>,
    counter: Option<CountLines>,
    figures: Arc<Figures>,
}

impl<S: Speech> Edges for Wiring<S> {
    type Client = Slot<S::Value>;
    type Call = S::Call;
    type Value = S::Value;

    fn answer(&mut self, client: Slot<S::Value>, answer: Answer<S::Value>) {
        // The agent may have gone away.
        _ = client.try_send(Reply::Answer(answer));
    }

    fn start(&mut self, attempt: AttemptId, node: &ServerId, call: &Arc<S::Call>, ends: Instant) {
        self.nodes.start(attempt, node, call.clone(), ends);
    }

    fn cancel(&mut self, attempt: AttemptId) -> bool {
        self.nodes.cancel(attempt)
    }

    fn probe(&mut self, node: &ServerId) {
        self.nodes.probe(node);
    }

    fn bar(&mut self, node: &ServerId) {
        self.nodes.bar(node);
    }

    fn listed(&mut self, known: usize, excluded: usize) {
        self.figures.servers(known, excluded);
    }

    fn add(&mut self, call: u64, name: u64, by: f64, ttl: Duration) {
        if let Some(counter) = &self.counter {
            counter.add(Addition { call, name, by, ttl });
        }
    }
}

/// Takes a new configuration while the limiter runs. What is open goes on, and counts stand.
pub type Reload<C> = Box<dyn FnMut(C) + Send>;

/// A limiter, ready to run.
pub struct Limiter<M: Manner> {
    core: Core<Wiring<M::Speech>>,
    inputs: Receiver<Input<Wiring<M::Speech>>>,
    orders: Receiver<Order>,
    front: Arc<Front<M>>,
    queue: Queue<M::Speech>,
    nodes: TicketNodes<M::Speech>,
    counter: Option<CountLines>,
    /// Where it listens.
    pub bound: SocketAddr,
    /// Where operators call.
    pub control: Option<SocketAddr>,
}

impl<M: Manner> Limiter<M> {
    /// Starts everything but the core. `counter` is given what takes the end of a call.
    pub fn start(
        common: Common,
        manner: M,
        speech: M::Speech,
        counter: impl FnOnce(super::count_lines::Counted) -> io::Result<Option<CountLines>>,
        log: &Logger,
    ) -> io::Result<Self> {
        let ((queue, inputs), (to_core, orders)) = (unbounded(), unbounded());
        let figures = Figures::new(common.class_names);
        let (for_agents, for_nodes) = shares(common.descriptors);
        let nodes_log = log.new(o!("part" => "nodes"));
        let nodes =
            TicketNodes::new(common.links, for_nodes, speech, queue.clone(), figures.clone(), nodes_log);
        let to = queue.clone();
        let counted = move |call, outcome, total| _ = to.send(Input::Counted { call, outcome, total });
        let counter = counter(Arc::new(counted))?;
        let agents_log = log.new(o!("part" => "agents"));
        let front = Front::new(manner, for_agents, queue.clone(), figures.clone(), agents_log);
        let (ready, first_list) = bounded(1);
        let own = front.clone();
        super::spawn("ready", move || {
            if first_list.recv().is_ok() {
                own.set_ready();
            }
        })?;
        learn(&nodes, &queue, Scope::Kept, common.known);
        let bound = front.listen(common.listen)?;
        let (own, wake) = (front.clone(), queue.clone());
        let desk = || Desk {
            figures: figures.clone(),
            ready: Box::new(move || own.is_ready()),
            order: Box::new(move |order| {
                _ = to_core.send(order);
                _ = wake.send(Input::Ordered);
            }),
            log: log.new(o!("part" => "control")),
        };
        let control = common.control.map(|at| line::listen(at, desk())).transpose()?;
        info!(log, "listening"; "at" => %bound, "limiter" => common.name);
        let edges = Wiring { nodes: nodes.clone(), counter: counter.clone(), figures };
        let core_log = log.new(o!("part" => "core"));
        let clock = Clock::start();
        let core = Core::new(common.settings, common.seed, common.max_open, edges, clock, ready, core_log);
        Ok(Self { core, inputs, orders, front, queue, nodes, counter, bound, control })
    }

    /// Takes news of the node list while the limiter runs.
    pub fn news(&self) -> impl Fn(NodeNews) + Send + 'static {
        let (nodes, queue) = (self.nodes.clone(), self.queue.clone());
        move |news| {
            let scope = if news.full { Scope::Full } else { Scope::Changes };
            learn(&nodes, &queue, scope, news);
        }
    }

    /// The way to the counter, which a new configuration may move.
    pub fn count_lines(&self) -> Option<CountLines> {
        self.counter.clone()
    }

    /// What ends this limiter.
    pub fn stopper(&self) -> Stopper {
        let (front, queue) = (self.front.clone(), self.queue.clone());
        let stop = move || {
            std::thread::sleep(STILL_COMING);
            front.close_idle();
            _ = queue.send(Input::Stop(Instant::now() + LAST_REQUESTS));
        };
        Stopper(Box::new(stop))
    }

    /// Runs the core on this thread until it is stopped; then waits for the last answers to be written.
    pub fn run(self) {
        self.core.run(self.inputs, self.orders);
        self.front.wait_closed(LAST_ANSWERS);
    }
}

/// Addresses first: the core may send to a new node as soon as it hears of it.
fn learn<S: Speech>(nodes: &TicketNodes<S>, queue: &Queue<S>, scope: Scope, news: NodeNews) {
    nodes.learn(&news);
    let members = news.nodes.into_iter().map(|(member, _)| member).collect();
    _ = queue.send(Input::Nodes(scope, members));
}

/// Connections keep coming for up to 0.4 s after the word to stop.
const STILL_COMING: Duration = Duration::from_millis(450);
/// What was taken by then is answered within its deadline, and all before the limiter is killed: no earlier
/// than 3.7 s after the word to stop where deadlines are longest.
const LAST_REQUESTS: Duration = Duration::from_millis(2_900);
const LAST_ANSWERS: Duration = Duration::from_millis(150);

/// Ends a limiter from outside.
pub struct Stopper(Box<dyn FnOnce() + Send>);

impl Stopper {
    /// Ends the limiter in order: goes on for as long as connections come, then closes those that owe
    /// nothing and answers what is open.
    pub fn stop(self) {
        (self.0)();
    }
}
