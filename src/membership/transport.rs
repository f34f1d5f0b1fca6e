//! The thread that sends and receives the fleet's datagrams and owns the socket.

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

/// How long commands wait at most while datagrams are awaited, and how often the address is tried
/// again while it is not available.
const COMMAND_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The shortest read timeout, as zero would mean none.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
/// Pause after a failed read, so that a permanent error does not take all of a CPU.
const READ_ERROR_PAUSE: Duration = Duration::from_millis(1);
/// Bytes of the receive buffer: more than any valid datagram has, so that longer ones are detected.
const RECEIVE_BUFFER_BYTES: usize = 512;
/// A renewed lease is reported to the core once this part of its duration has passed.
const LEASE_REPORT_FRACTION: Micros = 8;

/// Settings of a fleet member.
#[derive(Clone)]
pub struct FleetSettings {
    /// Settings of the view.
    pub setup: ViewSettings,
    /// Local address of the UDP socket.
    pub listen: SocketAddr,
    /// The fleet's key.
    pub key: Key,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A command to the thread.
pub(super) enum Command {
    /// Take part in the fleet.
    Activate,
    /// Stop, without notice to the others.
    Deactivate,
    /// Notify the others, stop, and send a message on this channel when that is done.
    Leave(Sender<()>),
}

/// Every handle of the fleet has been dropped.
struct Disconnected;

/// The state of the thread.
pub(super) struct Transport {
    settings: FleetSettings,
    clock: Clock,
    view: Arc<Mutex<Option<View>>>,
    active: bool,
    /// There while the thread is active and the address is available.
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

    /// Runs until every sender of commands has been dropped.
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

    /// Returns the next command. Without one it blocks while the thread is inactive, and returns `None`
    /// soon while it is active.
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
                // The other side may have stopped waiting.
                _ = done.try_send(());
            }
        }
    }

    fn bind(&mut self) {
        match UdpSocket::bind(self.settings.listen) {
            Ok(socket) => {
                let now = self.clock.now();
                let address = socket.local_addr().ok();
                info!(self.log, "membership started"; "address" => ?address,
                    "limiter" => self.settings.setup.me);
                self.socket = Some(socket);
                let settings = self.settings.setup.clone();
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

    /// Waits for one datagram until the view is to be woken, and processes it.
    fn receive(&mut self) {
        let Some(socket) = &self.socket else { return };
        let wake_at = lock(&self.view).as_ref().map_or(0, View::next);
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
        let opened = self.settings.key.open(&self.settings.setup.fleet, bytes);
        let mut view = lock(&self.view);
        let Some(view) = view.as_mut() else { return };
        let result = match opened {
            Ok(datagram) => view.heard(now, datagram, &mut actions),
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
        // Duplicates in the network are stale, and so are the first datagrams of a new process.
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
            let Some(view) = view.as_mut().filter(|view| now >= view.next()) else {
                return;
            };
            view.wake(now, &mut actions);
            view.standing(now)
        };
        self.execute_actions(actions);
        if self.is_worth_reporting(&shares) {
            (self.on_shares)(shares.clone());
            self.reported_shares = Some(shares);
        }
    }

    /// Returns whether the shares differ from those reported last: in more than the end of a lease, or
    /// in that by so much that it matters.
    fn is_worth_reporting(&self, shares: &QuotaShares) -> bool {
        let Some(reported) = &self.reported_shares else {
            return true;
        };
        let setup = &self.settings.setup;
        let tolerance = lease_duration(setup.period, setup.size) / LEASE_REPORT_FRACTION;
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
                        // The protocol tolerates lost datagrams, so an error needs no handling.
                        _ = socket.send_to(&sealed, address);
                    }
                }
                Action::Changed(change) => self.log_change(&change),
            }
        }
    }

    fn log_change(&self, change: &StateChange) {
        // Suspicions begin and end with every few lost datagrams.
        let stays_alive = change.state.lives() && change.previous.lives();
        let is_routine = change.state == MemberState::Suspect || stays_alive;
        let suppressed = if is_routine {
            self.suspicion_throttle.permit()
        } else {
            Some(0)
        };
        if let Some(suppressed) = suppressed {
            info!(self.log, "member state changed"; "limiter" => change.limiter,
                "state" => change.state.name(), "before" => change.previous.name(),
                "incarnation" => change.incarnation, "by" => change.by, "suppressed" => suppressed);
        }
    }
}

/// Returns whether a deadline has become earlier, or later by more than `tolerance`.
fn has_moved(reported: Micros, current: Micros, tolerance: Micros) -> bool {
    current < reported || current > reported.saturating_add(tolerance)
}
