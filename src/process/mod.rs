//! Joins a front, the core, ticket nodes and a counter into one limiter, whatever they speak.

pub mod shutdown;

use crate::admin::line::{self, AdminContext};
use crate::client::interruptible::ReadInterrupt;
use crate::client::{
    ClientEvent, ClientEventSink, ClientProtocol, ConnectionHandOver, Front, Reply, ReplySlot,
    Undelivered,
};
use crate::config::{Common, EndpointUpdate};
use crate::core::{
    Answer, AttemptDeadlines, AttemptId, Clock, Command, Core, HandOverCommand, Input, Transport,
};
use crate::counter::{Addition, CountLines};
use crate::decision::QuotaShares;
use crate::decision::{ServerId, UpdateScope};
use crate::handover::link::Link;
use crate::handover::message::{Body, LearnedState};
use crate::handover::{Beside, Limiting};
use crate::membership::link::Fleet;
use crate::metrics::Metrics;
use crate::process::shutdown::{
    last_requests, LAST_ANSWERS, LAST_COMMANDS, STILL_COMING, STILL_WRITTEN,
};
use crate::quota_lease::config::LimiterLeases;
use crate::quota_lease::link::{AllocatorLinks, Told};
use crate::quota_lease::message::Report;
use crate::upstream::{
    UpstreamEvent, UpstreamEventSink, UpstreamPool, UpstreamPoolOptions, UpstreamProtocol,
};
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use slog::{info, o, warn, Logger};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicU32, Ordering};
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
pub struct Wiring<S: UpstreamProtocol> {
    nodes: UpstreamPool<S>,
    counter: Option<CountLines>,
    allocators: Option<AllocatorLinks>,
    figures: Arc<Metrics>,
    /// To the other process of an upgrade.
    news: Option<Sender<Body>>,
    /// An agent is connected.
    agents: Box<dyn Fn() -> bool + Send>,
}

impl<S: UpstreamProtocol> Transport for Wiring<S> {
    type Client = ReplySlot<S::Value>;
    type Call = S::Call;
    type Value = S::Value;

    fn answer(&mut self, client: ReplySlot<S::Value>, answer: Answer<S::Value>) {
        client.fill(Reply::Answer(answer));
    }

    fn start_attempt(
        &mut self,
        attempt: AttemptId,
        node: &ServerId,
        call: &Arc<S::Call>,
        wait: AttemptDeadlines,
        client: &ReplySlot<S::Value>,
    ) {
        self.nodes
            .start(attempt, node, call.clone(), wait, client.presence());
    }

    fn cancel(&mut self, attempt: AttemptId) -> bool {
        self.nodes.cancel(attempt)
    }

    fn withdraw(&mut self, attempt: AttemptId) -> bool {
        self.nodes.withdraw(attempt)
    }

    fn check_health(&mut self, node: &ServerId) {
        self.nodes.check_health(node);
    }

    fn block_server(&mut self, node: &ServerId) {
        self.nodes.block_server(node);
    }

    fn notify_peer_process(&mut self, news: Body) {
        if let Some(to) = &self.news {
            _ = to.send(news);
        }
    }

    fn report_endpoints(&mut self, known: usize, excluded: usize) {
        self.figures.servers(known, excluded);
    }

    fn add_to_counter(&mut self, call: u64, name: u64, by: f64, ttl: Duration) {
        if let Some(counter) = &self.counter {
            counter.add(Addition {
                call,
                name,
                by,
                ttl,
            });
        }
    }

    fn send_lease_report(&mut self, allocator: u32, report: Report) {
        if let Some(allocators) = &self.allocators {
            allocators.send(allocator, report);
        }
    }

    fn has_clients(&self) -> bool {
        (self.agents)()
    }
}

/// Takes a new configuration while the limiter runs. What is open goes on, and counts stand.
pub type Reload<C> = Box<dyn FnMut(C) + Send>;

/// A limiter, ready to run.
pub struct Limiter<P: ClientProtocol> {
    core: Core<Wiring<P::Upstream>>,
    inputs: Receiver<Input<Wiring<P::Upstream>>>,
    commands: Receiver<Command>,
    beside: Option<Arc<Beside>>,
    front: Arc<Front<P>>,
    queue: Queue<P::Upstream>,
    nodes: UpstreamPool<P::Upstream>,
    counter: Option<CountLines>,
    fleet: Option<Fleet>,
    limiters: Arc<AtomicU32>,
    /// The longest deadline of a request.
    longest: Duration,
    /// Where it listens.
    pub bound: SocketAddr,
    /// Where operators call.
    pub control: Option<SocketAddr>,
}

impl<P: ClientProtocol> Limiter<P> {
    /// Starts everything but the core. `counter` is given what takes the end of a call.
    pub fn start(
        common: Common,
        client_protocol: P,
        upstream_protocol: P::Upstream,
        counter: impl FnOnce(crate::counter::Counted) -> io::Result<Option<CountLines>>,
        log: &Logger,
    ) -> io::Result<Self> {
        let ((queue, inputs), (to_core, commands)) = (unbounded(), unbounded());
        let figures = Metrics::new(common.class_names);
        let (for_agents, for_nodes) = shares(common.descriptors);
        // Operators tell when a new process may take over: without them, and on platforms that give no folder, none does.
        let folder = common.common_folder.filter(|_| common.control.is_some());
        let beside_log = log.new(o!("part" => "handover"));
        let wake = match folder.as_ref().map(|_| ReadInterrupt::new()).transpose() {
            Ok(wake) => wake,
            Err(fault) => {
                warn!(beside_log, "upgrades unavailable"; "error" => %fault);
                None
            }
        };
        let beside = folder
            .filter(|_| wake.is_some())
            .map(|folder| Beside::new(&folder, beside_log));
        let joined = beside.as_ref().and_then(|beside| beside.join());
        let nodes_log = log.new(o!("part" => "upstream"));
        let nodes = UpstreamPool::new(UpstreamPoolOptions {
            links: common.links,
            max_connections: for_nodes,
            protocol: upstream_protocol,
            events: upstream_events(queue.clone()),
            metrics: figures.clone(),
            log: nodes_log,
        });
        let to = queue.clone();
        let counted = move |call, outcome, total| {
            _ = to.send(Input::CounterReply {
                call,
                outcome,
                total,
            })
        };
        let counter = counter(Arc::new(counted))?;
        let agents_log = log.new(o!("part" => "clients"));
        let front = Front::new(
            client_protocol,
            for_agents,
            wake,
            client_events::<P>(queue.clone()),
            figures.clone(),
            agents_log,
        );
        let (ready, first_list) = bounded(1);
        learn(&nodes, &queue, UpdateScope::Cached, common.known);
        let listener = match &joined {
            Some(joined) => joined.listener.try_clone()?,
            None => bind(common.listen, common.control.is_some())?,
        };
        let bound = listener.local_addr()?;
        front.set_accepting(joined.is_none());
        front.listen(listener.try_clone()?)?;
        let (own, wake) = (front.clone(), queue.clone());
        let command = move |command| {
            _ = to_core.send(command);
            _ = wake.send(Input::CommandQueued);
        };
        let for_hand_over = command.clone();
        let hand_over = move |asked| for_hand_over(Command::HandOver(asked));
        let admin = move |asked| command(Command::Admin(asked));
        let (clock, to) = (Clock::start(), queue.clone());
        let limiters = Arc::new(AtomicU32::new(common.settings.limiters));
        let living = limiters.clone();
        let told = move |standing: QuotaShares| {
            living.store(standing.alive, Ordering::Relaxed);
            _ = to.send(Input::QuotaShares(standing));
        };
        let fleet_log = log.new(o!("part" => "membership"));
        let fleet = common
            .fleet
            .map(|place| Fleet::start(place, clock, told, fleet_log))
            .transpose()?;
        let change = Change {
            listener,
            fleet: fleet.clone(),
            front: front.clone(),
            nodes: nodes.clone(),
            shares: (for_agents, for_nodes),
            figures: figures.clone(),
            command: Box::new(hand_over),
        };
        change.share(joined.is_some());
        let admin_context = || AdminContext {
            figures: figures.clone(),
            fleet: fleet.clone(),
            ready: Box::new(move || own.is_ready()),
            command: Box::new(admin),
            log: log.new(o!("part" => "admin")),
        };
        let control = common
            .control
            .map(|at| line::listen(at, admin_context()))
            .transpose()?;
        info!(log, "listening"; "address" => %bound, "limiter" => common.name,
            "control" => control.map(|at| at.to_string()));
        let news = match &beside {
            Some(beside) => Some(beside.clone().teller()?),
            None => None,
        };
        let listed = move |wait| first_list.recv_timeout(wait).is_ok();
        match &beside {
            Some(beside) => beside.start(joined, listed, Arc::new(change))?,
            None => crate::threads::spawn("ready", move || {
                while !listed(Duration::MAX) {}
                change.serving();
            })?,
        }
        let agents = {
            let front = front.clone();
            Box::new(move || !front.is_empty())
        };
        let to = queue.clone();
        let told: Told = Arc::new(move |event| _ = to.send(Input::Allocator(event)));
        let links_log = log.new(o!("part" => "leases"));
        let link = |leases: &LimiterLeases| {
            AllocatorLinks::start(&leases.allocators, leases.timeouts, &told, &links_log)
        };
        let allocators = common.leases.as_ref().map(link).transpose()?;
        let edges = Wiring {
            nodes: nodes.clone(),
            counter: counter.clone(),
            allocators,
            figures,
            news,
            agents,
        };
        let deadlines = common.settings.classes.iter().map(|class| class.deadline);
        let longest = Duration::from_micros(deadlines.max().unwrap_or(0));
        let core_log = log.new(o!("part" => "core"));
        let mut core = Core::new(
            common.settings,
            common.seed,
            common.max_open,
            edges,
            clock,
            ready,
            core_log,
        );
        if let Some(leases) = common.leases {
            core = core.with_leases(leases.holder(clock.now()));
        }
        Ok(Self {
            core,
            inputs,
            commands,
            beside,
            front,
            queue,
            nodes,
            counter,
            fleet,
            limiters,
            longest,
            bound,
            control,
        })
    }

    /// Takes news of the node list while the limiter runs.
    pub fn news(&self) -> impl Fn(EndpointUpdate) + Send + 'static {
        let (nodes, queue) = (self.nodes.clone(), self.queue.clone());
        move |news| {
            let scope = if news.full {
                UpdateScope::Snapshot
            } else {
                UpdateScope::Delta
            };
            learn(&nodes, &queue, scope, news);
        }
    }

    /// Limiters that take turns at what takes callers one after another: those known to live, or all there are.
    pub fn limiters(&self) -> Arc<AtomicU32> {
        self.limiters.clone()
    }

    /// The way to the counter, which a new configuration may move.
    pub fn count_lines(&self) -> Option<CountLines> {
        self.counter.clone()
    }

    /// What ends this limiter.
    pub fn stopper(&self) -> Stopper {
        let (front, queue, fleet) = (self.front.clone(), self.queue.clone(), self.fleet.clone());
        let last = last_requests(self.longest);
        let stop = move || {
            // The others need not find out.
            fleet.iter().for_each(Fleet::leave);
            std::thread::sleep(STILL_COMING);
            front.close_idle();
            let began = Instant::now();
            // Guards against an end under an agent that takes two seconds for its command.
            while front.has_partial_command() && began.elapsed() < LAST_COMMANDS.min(last) {
                std::thread::sleep(STILL_WRITTEN);
            }
            _ = queue.send(Input::Shutdown(began + last));
        };
        Stopper(Box::new(stop))
    }

    /// Runs the core on this thread until it is stopped; then waits for the last answers to be written.
    pub fn run(self) {
        let untold = self.core.run(self.inputs, self.commands);
        self.front.wait_closed(LAST_ANSWERS);
        _ = self.beside.map(|beside| beside.farewell(untold));
    }
}

/// Puts the events of upstream connections into the core's queue.
fn upstream_events<S: UpstreamProtocol>(queue: Queue<S>) -> UpstreamEventSink<S::Value> {
    Arc::new(move |event| _ = queue.send(upstream_input(event)))
}

fn upstream_input<S: UpstreamProtocol>(event: UpstreamEvent<S::Value>) -> Input<Wiring<S>> {
    match event {
        UpstreamEvent::ResponseStarted { attempt, value } => {
            Input::ResponseStarted { attempt, value }
        }
        UpstreamEvent::AttemptEnded {
            attempt,
            outcome,
            load,
            value,
        } => Input::AttemptEnded {
            attempt,
            outcome,
            load,
            value,
        },
        UpstreamEvent::HealthChecked {
            server,
            outcome,
            latency,
            load,
        } => Input::HealthChecked {
            server,
            outcome,
            latency,
            load,
        },
    }
}

/// Puts the events of client connections into the core's queue.
fn client_events<P: ClientProtocol>(queue: Queue<P::Upstream>) -> ClientEventSink<P> {
    Box::new(move |event| {
        let input = match event {
            ClientEvent::Request(request) => Input::Request(request),
            ClientEvent::Disconnected(numbers) => Input::ClientDisconnected(numbers),
        };
        queue
            .send(input)
            .map_err(|error| Undelivered::new(error.into_inner()))
    })
}

/// A listener that a second process may have beside this one, if operators are to upgrade it.
fn bind(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    if !shared {
        return TcpListener::bind(at);
    }
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// What changes in this limiter in an upgrade.
struct Change<P: ClientProtocol> {
    listener: TcpListener,
    fleet: Option<Fleet>,
    front: Arc<Front<P>>,
    nodes: UpstreamPool<P::Upstream>,
    /// Connections of agents and to ticket nodes, of a limiter that is alone.
    shares: (usize, usize),
    figures: Arc<Metrics>,
    command: Box<dyn Fn(HandOverCommand) + Send + Sync>,
}

/// The core looks at orders first, but has a part of a processor alone.
const CORE_WAIT: Duration = Duration::from_millis(500);

impl<P: ClientProtocol> Limiting for Change<P> {
    fn listener(&self) -> &TcpListener {
        &self.listener
    }

    fn give_state(&self) -> Option<LearnedState> {
        let (to, state) = bounded(1);
        (self.command)(HandOverCommand::GiveState(to));
        state.recv_timeout(CORE_WAIT).ok()
    }

    fn reclaim_state(&self) {
        (self.command)(HandOverCommand::ReclaimState);
    }

    fn adopt_state(&self, state: LearnedState) {
        let (to, taken) = bounded(1);
        (self.command)(HandOverCommand::AdoptState(state, to));
        _ = taken.recv_timeout(CORE_WAIT);
    }

    fn accept(&self, goes_on: bool) {
        self.front.set_accepting(goes_on);
    }

    fn serving(&self) {
        self.front.set_ready();
        self.fleet.iter().for_each(|fleet| fleet.speak(true));
    }

    fn hand_over(&self, to: Option<Arc<Link>>) {
        // Two processes are one member: the one that serves speaks.
        self.fleet
            .iter()
            .for_each(|fleet| fleet.speak(to.is_none()));
        if to.is_none() {
            (self.command)(HandOverCommand::SuccessorGone);
        }
        let pass = to.map(|link| -> ConnectionHandOver {
            Arc::new(move |stream, read| {
                link.say(Body::Connection(read.to_vec()), Some(stream.as_fd()))
                    .is_ok()
            })
        });
        self.front.hand_over(pass);
    }

    fn adopt(&self, connection: OwnedFd, read: Vec<u8>) {
        self.front.adopt(connection.into(), read);
    }

    fn hear(&self, news: Body) {
        (self.command)(HandOverCommand::PeerNews(news));
    }

    /// Agents' connections move from the one to the other, so that neither has many of them for long. Connections to
    /// ticket nodes are halved.
    fn share(&self, shared: bool) {
        let (agents, nodes) = self.shares;
        self.front
            .set_max_connections(if shared { agents - agents / 8 } else { agents });
        self.nodes
            .set_max_connections(if shared { nodes / 2 } else { nodes });
    }

    fn empty(&self) -> bool {
        self.front.is_empty() && self.figures.in_flight() == 0
    }

    fn depart(&self) {
        (self.command)(HandOverCommand::Finish);
    }
}

/// Addresses first: the core may send to a new node as soon as it hears of it.
fn learn<S: UpstreamProtocol>(
    nodes: &UpstreamPool<S>,
    queue: &Queue<S>,
    scope: UpdateScope,
    news: EndpointUpdate,
) {
    nodes.update(&news);
    let members = news.nodes.into_iter().map(|(member, _)| member).collect();
    _ = queue.send(Input::EndpointUpdate(scope, members));
}

/// Ends a limiter from outside.
pub struct Stopper(Box<dyn FnOnce() + Send>);

impl Stopper {
    /// Ends the limiter in order: goes on for as long as connections come, then closes those that owe
    /// nothing and answers what is open.
    pub fn stop(self) {
        (self.0)();
    }
}
