//! The thread that owns the UDP socket and sends and receives the fleet's datagrams.

use super::key::Key;
use super::lease::lease_duration;
use super::member_state::MemberState;
use super::rejection::Rejection;
use super::view::{Action, StateChange, View, ViewSettings};
use crate::clock::Clock;
use crate::decision::{Micros, QuotaShares};
use crate::log_throttle::LogThrottle;
use crate::threads::lock;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TryRecvError};
use slog::{info, warn, Logger};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Maximum wait for a datagram before commands are polled, and the interval between attempts to
/// bind an address that is unavailable.
const COMMAND_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum read timeout, as the socket does not accept a timeout of zero.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
/// Pause after a failed read, so that a permanent error does not occupy a CPU.
const READ_ERROR_PAUSE: Duration = Duration::from_millis(1);
/// Length of the receive buffer: more than that of any valid datagram, so that longer ones are
/// detected.
const RECEIVE_BUFFER_BYTES: usize = 512;
/// Divisor of the lease duration: a later end of a lease is reported to the core only when it
/// differs from the reported one by more than this fraction of the duration.
const LEASE_REPORT_DIVISOR: Micros = 8;

/// Settings of a fleet member.
#[derive(Clone)]
pub struct FleetSettings {
    /// Settings of the view.
    pub view: ViewSettings,
    /// Local address of the UDP socket.
    pub listen: SocketAddr,
    /// Key that authenticates the datagrams.
    pub key: Key,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A command to the membership thread.
pub(super) enum Command {
    /// Take part in the fleet.
    Activate,
    /// Stop taking part without notifying the others.
    Deactivate,
    /// Notify the others that this limiter leaves, stop taking part, then send on this channel.
    Leave(Sender<()>),
}

/// Error of a command channel whose senders, the handles of the fleet, have all been dropped.
struct Disconnected;

/// The state of the thread.
pub(super) struct Transport {
    settings: FleetSettings,
    clock: Clock,
    view: Arc<Mutex<Option<View>>>,
    active: bool,
    /// `Some` while the thread is active and its address could be bound.
    socket: Option<UdpSocket>,
    on_shares: Box<dyn FnMut(QuotaShares) + Send>,
    reported_shares: Option<QuotaShares>,
    log: Logger,
    rejection_throttle: LogThrottle,
    bind_throttle: LogThrottle,
    suspicion_throttle: LogThrottle,
}

impl Transport {
    pub(super) fn new(
        settings: FleetSettings,
        clock: Clock,
        view: Arc<Mutex<Option<View>>>,
        on_shares: Box<dyn FnMut(QuotaShares) + Send>,
        log: Logger,
    ) -> Self {
        Self {
            settings,
            clock,
            view,
            active: false,
            socket: None,
            on_shares,
            reported_shares: None,
            log,
            rejection_throttle: LogThrottle::default(),
            bind_throttle: LogThrottle::default(),
            suspicion_throttle: LogThrottle::default(),
        }
    }

    /// Runs until all senders of commands have been dropped.
    pub(super) fn run(mut self, commands: &Receiver<Command>) {
        while let Ok(command) = self.next_command(commands) {
            if let Some(command) = command {
                self.execute(command);
            }
            if !self.active {
                self.socket = None;
            } else if self.socket.is_none() {
                self.bind();
            }
            if self.socket.is_some() {
                self.receive();
                self.wake();
            }
        }
    }

    /// Returns the next command. While the thread is inactive it waits for one; while the thread is
    /// active it returns `None` at once, or after [`COMMAND_POLL_INTERVAL`] without a socket.
    fn next_command(&self, commands: &Receiver<Command>) -> Result<Option<Command>, Disconnected> {
        if self.socket.is_some() {
            return match commands.try_recv() {
                Ok(command) => Ok(Some(command)),
                Err(TryRecvError::Empty) => Ok(None),
                Err(TryRecvError::Disconnected) => Err(Disconnected),
            };
        }
        if !self.active {
            return commands.recv().map(Some).map_err(|_| Disconnected);
        }
        match commands.recv_timeout(COMMAND_POLL_INTERVAL) {
            Ok(command) => Ok(Some(command)),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err(Disconnected),
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Activate => self.active = true,
            Command::Deactivate => self.active = false,
            Command::Leave(done) => {
                self.leave();
                self.active = false;
                // Fails if the caller has stopped waiting.
                _ = done.try_send(());
            }
        }
    }

    /// Binds the socket and creates the view if there is none yet.
    fn bind(&mut self) {
        match UdpSocket::bind(self.settings.listen) {
            Ok(socket) => {
                let now = self.clock.now();
                let address = socket.local_addr().ok();
                info!(self.log, "membership started"; "address" => ?address,
                    "limiter" => self.settings.view.limiter);
                self.socket = Some(socket);
                let settings = self.settings.view.clone();
                let seed = self.settings.seed;
                let incarnation = now / 1_000;
                lock(&self.view).get_or_insert_with(|| View::new(settings, incarnation, seed, now));
            }
            Err(error) => {
                if let Some(suppressed) = self.bind_throttle.permit() {
                    warn!(self.log, "membership address unavailable";
                        "address" => %self.settings.listen, "error" => %error,
                        "suppressed" => suppressed);
                }
            }
        }
    }

    /// Waits for one datagram, at most until the view's next wake, and processes it.
    fn receive(&mut self) {
        let Some(socket) = &self.socket else { return };
        let wake_at = lock(&self.view).as_ref().map_or(0, View::next_wake);
        let wait = Duration::from_micros(wake_at.saturating_sub(self.clock.now()));
        let timeout = wait.clamp(MIN_READ_TIMEOUT, COMMAND_POLL_INTERVAL);
        if socket.set_read_timeout(Some(timeout)).is_err() {
            return;
        }
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        match socket.recv_from(&mut buffer) {
            Ok((size, sender)) => self.process(&buffer[..size], sender),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => std::thread::sleep(READ_ERROR_PAUSE),
        }
    }

    fn process(&mut self, bytes: &[u8], sender: SocketAddr) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        let opened = self.settings.key.open(&self.settings.view.fleet, bytes);
        let mut view = lock(&self.view);
        let Some(view) = view.as_mut() else { return };
        let result = match opened {
            Ok(datagram) => view.receive(now, datagram, &mut actions),
            Err(rejection) => {
                view.count_rejection(rejection);
                Err(rejection)
            }
        };
        if let Err(rejection) = result {
            self.log_rejection(rejection, sender);
        }
        self.execute_actions(actions);
    }

    fn log_rejection(&self, rejection: Rejection, sender: SocketAddr) {
        // Stale datagrams are not logged: duplicates in the network are stale, and so are the first
        // datagrams of a new process.
        if rejection == Rejection::Stale {
            return;
        }
        if let Some(suppressed) = self.rejection_throttle.permit() {
            warn!(self.log, "datagram dropped"; "from" => %sender,
                "error" => rejection.to_string(), "suppressed" => suppressed);
        }
    }

    fn wake(&mut self) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        let shares = {
            let mut view = lock(&self.view);
            let Some(view) = view.as_mut().filter(|view| now >= view.next_wake()) else {
                return;
            };
            view.wake(now, &mut actions);
            view.quota_shares(now)
        };
        self.execute_actions(actions);
        if self.must_report(&shares) {
            (self.on_shares)(shares.clone());
            self.reported_shares = Some(shares);
        }
    }

    /// Returns whether the shares must be reported to the core. They are not if they differ from
    /// the reported ones only in deadlines, each of them later by no more than the tolerance.
    fn must_report(&self, shares: &QuotaShares) -> bool {
        let Some(reported) = &self.reported_shares else {
            return true;
        };
        let view = &self.settings.view;
        let tolerance = lease_duration(view.protocol_period, view.limiters) / LEASE_REPORT_DIVISOR;
        shares.reassigned != reported.reassigned
            || shares.alive != reported.alive
            || has_moved(reported.lease_ends, shares.lease_ends, tolerance)
            || has_moved(
                reported.reassigned_until,
                shares.reassigned_until,
                tolerance,
            )
    }

    fn leave(&mut self) {
        if self.socket.is_none() {
            return;
        }
        let mut actions = Vec::new();
        let now = self.clock.now();
        if let Some(view) = lock(&self.view).as_mut() {
            view.leave(now, &mut actions);
        }
        info!(self.log, "leaving the fleet");
        self.execute_actions(actions);
    }

    fn execute_actions(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(address, datagram) => {
                    let sealed = self.settings.key.seal(&datagram);
                    if let Some(socket) = &self.socket {
                        // The protocol tolerates lost datagrams, so a failed send needs no
                        // handling.
                        _ = socket.send_to(&sealed, address);
                    }
                }
                Action::Changed(change) => self.log_change(&change),
            }
        }
    }

    fn log_change(&self, change: &StateChange) {
        // Suspicions begin and end often where datagrams are lost, so these changes are logged with
        // a throttle.
        let stays_alive = change.state.is_alive() && change.previous.is_alive();
        let is_routine = change.state == MemberState::Suspect || stays_alive;
        let suppressed = if is_routine {
            self.suspicion_throttle.permit()
        } else {
            Some(0)
        };
        if let Some(suppressed) = suppressed {
            info!(self.log, "member state changed"; "limiter" => change.limiter,
                "state" => change.state.name(), "before" => change.previous.name(),
                "incarnation" => change.incarnation, "by" => change.reported_by, "suppressed" => suppressed);
        }
    }
}

/// Returns whether a deadline has become earlier, or later by more than `tolerance`.
fn has_moved(reported: Micros, current: Micros, tolerance: Micros) -> bool {
    current < reported || current > reported.saturating_add(tolerance)
}
