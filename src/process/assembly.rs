//! Assembly and start of the components of a limiter, in the order of their dependencies.

use super::connection_limits::ConnectionLimits;
use super::core_queue::CoreQueue;
use super::listener::bind;
use super::transport::LimiterTransport;
use super::upgrade::{UpgradeChannel, UpgradeControl};
use super::Limiter;
use crate::admin::line::{self, AdminContext};
use crate::client::{ClientListener, ClientListenerOptions, ClientProtocol};
use crate::clock::Clock;
use crate::config::CommonConfig;
use crate::config::QuotaLeaseConfig;
use crate::core::{retry_after_when_full, Command, Core, CoreOptions};
use crate::counter::{CounterClient, CounterReplyHandler};
use crate::decision::{QuotaShares, RequestClass, UpdateScope};
use crate::handover::{LimiterProcess, PredecessorConnection, UpgradeCoordinator};
use crate::membership::fleet::{Fleet, FleetSettings};
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::quota_lease::link::AllocatorLinks;
use crate::threads::spawn;
use crate::upstream::{UpstreamPool, UpstreamPoolOptions};
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use slog::{info, o, Logger};
use std::io;
use std::mem::take;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

impl<P: ClientProtocol> Limiter<P> {
    /// Starts all components except the core. `counter` starts the client of the counter, if one is
    /// configured; its argument is the function that receives the replies of the counter.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket can't be opened or a thread can't be started.
    pub fn start(
        mut common: CommonConfig,
        client_protocol: P,
        upstream_protocol: P::Upstream,
        counter: impl FnOnce(CounterReplyHandler) -> io::Result<Option<CounterClient>>,
        log: &Logger,
    ) -> io::Result<Self> {
        let (input_sender, inputs) = unbounded();
        let (command_sender, commands) = unbounded();
        let assembly = Assembly::<P> {
            queue: CoreQueue::new(input_sender, command_sender),
            metrics: Metrics::new(take(&mut common.class_names)),
            memory: MemoryBudget::of_process(common.memory),
            limits: ConnectionLimits::new(common.max_descriptors),
            log,
        };
        let mut channel = assembly.open_upgrade_channel(&mut common);
        let upstream = assembly.upstream_pool(&common, upstream_protocol);
        let counter = counter(assembly.queue.counter_replies())?;
        let front = assembly.front(&common, client_protocol, &mut channel);
        let connections = Connections {
            upstream,
            counter,
            front,
        };
        let services = assembly.start_services(&mut common, &connections, channel)?;
        let longest_deadline = longest_deadline(&common.settings.classes);
        let core = assembly.core(
            common,
            services.transport,
            services.clock,
            services.endpoints_known,
        );
        Ok(Self {
            core,
            inputs,
            commands,
            queue: assembly.queue,
            connections,
            upgrade: services.upgrade,
            fleet: services.fleet,
            limiter_count: services.limiter_count,
            longest_deadline,
            client_address: services.client_address,
            admin_address: services.admin_address,
        })
    }
}

/// The connections of a limiter to its clients, upstream servers and counter.
pub(super) struct Connections<P: ClientProtocol> {
    pub(super) front: Arc<ClientListener<P>>,
    pub(super) upstream: UpstreamPool<P::Upstream>,
    pub(super) counter: Option<CounterClient>,
}

/// The services of a limiter that are started in addition to its connections.
struct Services<P: ClientProtocol> {
    transport: LimiterTransport<P::Upstream>,
    clock: Clock,
    /// The core sends a message to this channel once it knows a ready upstream server.
    endpoints_known: Sender<()>,
    upgrade: Option<Arc<UpgradeCoordinator>>,
    fleet: Option<Fleet>,
    /// See [`Limiter::limiter_count`].
    limiter_count: Arc<AtomicU32>,
    /// Address at which clients connect.
    client_address: SocketAddr,
    /// Address of the admin interface, if there is one.
    admin_address: Option<SocketAddr>,
}

/// Context that all steps of the assembly share.
struct Assembly<'a, P: ClientProtocol> {
    queue: CoreQueue<P::Upstream>,
    metrics: Arc<Metrics>,
    /// Budget of the memory that the process holds for its peers.
    memory: Arc<MemoryBudget>,
    limits: ConnectionLimits,
    log: &'a Logger,
}

impl<P: ClientProtocol> Assembly<'_, P> {
    /// Returns the log of a component of the limiter.
    fn component_log(&self, component: &'static str) -> Logger {
        self.log.new(o!("part" => component))
    }

    /// Joins a predecessor, if there is one. Upgrades need a folder that the processes share, and
    /// an admin interface, through which operators learn when a new process may take over.
    fn open_upgrade_channel(&self, common: &mut CommonConfig) -> UpgradeChannel {
        let folder = common.upgrade_folder.take();
        let folder = folder.filter(|_| common.admin_address.is_some());
        UpgradeChannel::open(folder, self.component_log("handover"))
    }

    fn upstream_pool(
        &self,
        common: &CommonConfig,
        protocol: P::Upstream,
    ) -> UpstreamPool<P::Upstream> {
        UpstreamPool::new(UpstreamPoolOptions {
            connection_settings: common.connections,
            max_connections: self.limits.upstream(false),
            protocol,
            events: self.queue.upstream_events(),
            memory: self.memory.clone(),
            metrics: self.metrics.clone(),
            log: self.component_log("upstream"),
        })
    }

    fn front(
        &self,
        common: &CommonConfig,
        protocol: P,
        channel: &mut UpgradeChannel,
    ) -> Arc<ClientListener<P>> {
        ClientListener::new(ClientListenerOptions {
            protocol,
            max_connections: self.limits.clients(false),
            read_interrupt: channel.read_interrupt.take(),
            memory: self.memory.clone(),
            memory_limits: common.memory,
            max_open_requests: common.max_open_requests,
            retry_after_when_full: retry_after_when_full(&common.settings),
            events: self.queue.client_events::<P>(),
            metrics: self.metrics.clone(),
            log: self.component_log("clients"),
        })
    }

    /// Starts the listeners and the services that run alongside them.
    fn start_services(
        &self,
        common: &mut CommonConfig,
        connections: &Connections<P>,
        channel: UpgradeChannel,
    ) -> io::Result<Services<P>> {
        let (endpoints_known, first_endpoints) = bounded(1);
        let cached = take(&mut common.initial_endpoints);
        self.queue
            .update_endpoints(&connections.upstream, UpdateScope::Cached, cached);
        let listener = listen(common, &connections.front, &channel)?;
        let client_address = listener.local_addr()?;
        let clock = Clock::start();
        let limiter_count = Arc::new(AtomicU32::new(common.settings.limiters));
        let fleet = self.start_fleet(common.membership.take(), clock, &limiter_count)?;
        let upgrade_control = self.upgrade_control(connections, listener, fleet.clone());
        let predecessor = channel.predecessor.as_ref();
        upgrade_control.set_sharing(predecessor.map(PredecessorConnection::process));
        let admin_address =
            self.start_admin(common.admin_address, &connections.front, fleet.clone())?;
        info!(self.log, "listening"; "address" => %client_address, "limiter" => &common.name,
            "control" => admin_address.map(|address| address.to_string()));
        let upgrade = channel.coordinator.clone();
        let peer_messages = upgrade
            .clone()
            .map(UpgradeCoordinator::message_sender)
            .transpose()?;
        start_serving(channel, first_endpoints, upgrade_control)?;
        let transport = LimiterTransport {
            upstream: connections.upstream.clone(),
            counter: connections.counter.clone(),
            allocators: self.start_allocators(common.quota_leases.as_ref())?,
            metrics: self.metrics.clone(),
            peer_messages,
            has_clients: has_clients(connections.front.clone()),
        };
        Ok(Services {
            transport,
            clock,
            endpoints_known,
            upgrade,
            fleet,
            limiter_count,
            client_address,
            admin_address,
        })
    }

    /// Joins the fleet, if there is one. From then on `limiter_count` is kept at the number of
    /// limiters believed alive.
    fn start_fleet(
        &self,
        settings: Option<FleetSettings>,
        clock: Clock,
        limiter_count: &Arc<AtomicU32>,
    ) -> io::Result<Option<Fleet>> {
        let Some(settings) = settings else {
            return Ok(None);
        };
        let queue = self.queue.clone();
        let limiter_count = limiter_count.clone();
        let on_shares = move |shares: QuotaShares| {
            limiter_count.store(shares.alive, Ordering::Relaxed);
            queue.update_quota_shares(shares);
        };
        Fleet::start(settings, clock, on_shares, self.component_log("membership")).map(Some)
    }

    fn upgrade_control(
        &self,
        connections: &Connections<P>,
        listener: TcpListener,
        fleet: Option<Fleet>,
    ) -> UpgradeControl<P> {
        UpgradeControl {
            listener,
            fleet,
            front: connections.front.clone(),
            upstream: connections.upstream.clone(),
            limits: self.limits,
            metrics: self.metrics.clone(),
            queue: self.queue.clone(),
        }
    }

    /// Starts the admin interface, if it has an address; returns the address that it is bound to.
    fn start_admin(
        &self,
        address: Option<SocketAddr>,
        front: &Arc<ClientListener<P>>,
        fleet: Option<Fleet>,
    ) -> io::Result<Option<SocketAddr>> {
        let Some(address) = address else {
            return Ok(None);
        };
        let front = front.clone();
        let queue = self.queue.clone();
        let context = AdminContext {
            metrics: self.metrics.clone(),
            fleet,
            is_ready: Box::new(move || front.is_ready()),
            send_command: Box::new(move |command| queue.send_command(Command::Admin(command))),
            log: self.component_log("admin"),
        };
        line::listen(address, context).map(Some)
    }

    /// Starts the connections to the allocators, if units are leased.
    fn start_allocators(
        &self,
        leases: Option<&QuotaLeaseConfig>,
    ) -> io::Result<Option<AllocatorLinks>> {
        let Some(leases) = leases else {
            return Ok(None);
        };
        AllocatorLinks::start(
            &leases.allocators,
            leases.timeouts,
            &self.queue.allocator_events(),
            &self.component_log("leases"),
        )
        .map(Some)
    }

    fn core(
        &self,
        common: CommonConfig,
        transport: LimiterTransport<P::Upstream>,
        clock: Clock,
        endpoints_known: Sender<()>,
    ) -> Core<LimiterTransport<P::Upstream>> {
        Core::new(CoreOptions {
            settings: common.settings,
            seed: common.seed,
            max_open: common.max_open_requests,
            max_recent_ids: common.max_recent_ids,
            transport,
            clock,
            endpoints_known,
            lease_holder: common.quota_leases.map(|leases| leases.holder(clock.now())),
            log: self.component_log("core"),
        })
    }
}

/// Starts to accept connections on the listener of the predecessor, or on a new one without a
/// predecessor. A process that has joined a predecessor does not accept connections yet.
fn listen<P: ClientProtocol>(
    common: &CommonConfig,
    front: &Arc<ClientListener<P>>,
    channel: &UpgradeChannel,
) -> io::Result<TcpListener> {
    let listener = match &channel.predecessor {
        Some(predecessor) => predecessor.listener.try_clone()?,
        None => bind(common.listen, common.admin_address.is_some())?,
    };
    front.set_accepting(channel.predecessor.is_none());
    front.listen(listener.try_clone()?)?;
    Ok(listener)
}

/// Starts the thread that makes the limiter serve once upstream servers are known and a
/// predecessor, if there is one, has handed over. If upgrades are possible, the thread then waits
/// for a successor.
fn start_serving<P: ClientProtocol>(
    channel: UpgradeChannel,
    first_endpoints: Receiver<()>,
    control: UpgradeControl<P>,
) -> io::Result<()> {
    let endpoints_known = move |wait| first_endpoints.recv_timeout(wait).is_ok();
    match channel.coordinator {
        Some(coordinator) => {
            coordinator.start(channel.predecessor, endpoints_known, Arc::new(control))
        }
        None => spawn("ready", move || {
            while !endpoints_known(Duration::MAX) {}
            control.begin_serving();
        }),
    }
}

fn has_clients<P: ClientProtocol>(front: Arc<ClientListener<P>>) -> Box<dyn Fn() -> bool + Send> {
    Box::new(move || !front.is_empty())
}

fn longest_deadline(classes: &[RequestClass]) -> Duration {
    let longest = classes.iter().map(|class| class.deadline).max();
    Duration::from_micros(longest.unwrap_or(0))
}
