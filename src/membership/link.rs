//! The one thread that sends and takes in the fleet's datagrams, and what others ask of it.

use super::datagram::{version_text, Fault, Key, State};
use super::view::{Action, Setup, View};
use crate::core::Clock;
use crate::decision::Micros;
use crate::decision::QuotaShares;
use crate::log_throttle::LogThrottle;
use crate::threads::{lock, spawn};
use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender};
use slog::{info, warn, Logger};
use std::fmt::Write;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Orders are looked at so often while datagrams are waited for.
const LOOK: Duration = Duration::from_millis(50);
/// A limiter that leaves waits so long at the most until it has said so.
const LEAVE: Duration = Duration::from_millis(300);
/// Longer than any datagram, to tell one that is too long.
const ROOM: usize = 512;

/// A limiter's place in its fleet as it is configured.
#[derive(Clone)]
pub struct Place {
    /// What the view is told.
    pub setup: Setup,
    /// Where datagrams arrive.
    pub listen: SocketAddr,
    /// The fleet's key.
    pub key: Key,
    /// For random numbers.
    pub seed: u64,
}

enum Order {
    Speak(bool),
    Leave(Sender<()>),
}

/// The limiter's place in its fleet while it runs.
#[derive(Clone)]
pub struct Fleet {
    orders: Sender<Order>,
    /// None until it first speaks.
    view: Arc<Mutex<Option<View>>>,
    clock: Clock,
}

impl Fleet {
    /// Starts the thread; it says nothing until it is told to. `told` takes what the core may count on, a few times a
    /// second at the most.
    pub fn start(
        place: Place,
        clock: Clock,
        told: impl FnMut(QuotaShares) + Send + 'static,
        log: Logger,
    ) -> std::io::Result<Self> {
        let (orders, taken) = unbounded();
        let view = Arc::new(Mutex::new(None));
        let speaker = Speaker {
            place,
            clock,
            view: view.clone(),
            socket: None,
            told: Box::new(told),
            last: None,
            log,
            bad: LogThrottle::default(),
            unbound: LogThrottle::default(),
            suspects: LogThrottle::default(),
        };
        spawn("fleet", move || speaker.run(&taken))?;
        Ok(Self {
            orders,
            view,
            clock,
        })
    }

    /// Speaks for this limiter, or leaves that to the other process of an upgrade.
    pub fn speak(&self, goes_on: bool) {
        _ = self.orders.send(Order::Speak(goes_on));
    }

    /// Leaves the fleet in order.
    pub fn leave(&self) {
        let (done, left) = bounded(1);
        if self.orders.send(Order::Leave(done)).is_ok() {
            _ = left.recv_timeout(LEAVE);
        }
    }

    /// A line for each member and one for the view, as operators are shown them; none while it does not speak.
    pub fn show(&self) -> Option<String> {
        let view = lock(&self.view);
        let (view, now) = (view.as_ref()?, self.clock.now());
        let ago = |at: Micros| now.saturating_sub(at) / 1_000;
        let (mut text, rows) = (String::new(), view.rows());
        for row in &rows {
            let address = row.address.map_or("-".into(), |at| at.to_string());
            let heard = row.heard.map_or("-".into(), |at| ago(at).to_string());
            _ = writeln!(
                text,
                "limiter={} state={} since_ms={} incarnation={} version={} address={address} by={} heard_ms={heard}",
                row.who,
                row.state.word(),
                ago(row.since),
                row.incarnation,
                version_text(row.version),
                row.by,
            );
        }
        let standing = view.standing(now);
        let age = rows
            .iter()
            .filter_map(|row| row.heard)
            .max()
            .map_or("-".into(), |at| ago(at).to_string());
        let given: Vec<_> = (0..rows.len())
            .filter(|who| standing.reassigned[*who])
            .collect();
        let all = 0..rows.len() as u32;
        let part = standing.share(now, all.clone()).unwrap_or(0.0) * f64::from(all.end);
        _ = writeln!(
            text,
            "fleet={} me={} living={} of={} age_ms={age} lease_ms={} part={part:.3} shared_out={given:?} doubt={:.2}",
            view.setup().fleet,
            view.setup().me,
            standing.alive,
            rows.len(),
            standing.lease_ends.min(now + 1_000_000_000).saturating_sub(now) / 1_000,
            view.local_health(),
        );
        Some(text)
    }

    /// Each figure's name and value.
    pub fn figures(&self) -> Vec<(String, u64)> {
        let view = lock(&self.view);
        let Some(view) = view.as_ref() else {
            return Vec::new();
        };
        let (rows, counts) = (view.rows(), view.counts());
        let states = [
            State::Alive,
            State::Suspect,
            State::Dead,
            State::Left,
            State::Unknown,
        ];
        let state = |state: State| {
            let count = rows.iter().filter(|row| row.state == state).count() as u64;
            (format!("fleet.{}", state.word()), count)
        };
        let mut all: Vec<_> = states.into_iter().map(state).collect();
        let rest = [
            ("fleet.datagrams_sent", counts.sent),
            ("fleet.datagrams_held_back", counts.held_back),
            ("fleet.datagrams_taken", counts.taken),
            ("fleet.found_dead", counts.found_dead),
            ("fleet.refuted", counts.refuted),
        ];
        all.extend(rest.map(|(name, value)| (name.to_owned(), value)));
        let dropped = |fault: Fault| {
            (
                format!("fleet.dropped.{}", fault.word()),
                counts.faults[fault as usize],
            )
        };
        all.extend(Fault::ALL.into_iter().map(dropped));
        all
    }
}

/// What the thread owns.
struct Speaker {
    place: Place,
    clock: Clock,
    view: Arc<Mutex<Option<View>>>,
    socket: Option<UdpSocket>,
    told: Box<dyn FnMut(QuotaShares) + Send>,
    last: Option<QuotaShares>,
    log: Logger,
    bad: LogThrottle,
    unbound: LogThrottle,
    suspects: LogThrottle,
}

impl Speaker {
    fn run(mut self, orders: &Receiver<Order>) {
        let mut speaks = false;
        loop {
            let order = match &self.socket {
                Some(_) => orders.try_recv().map_err(|fault| fault.is_disconnected()),
                None => {
                    let wait = if speaks { LOOK } else { Duration::MAX };
                    let order = match wait {
                        Duration::MAX => orders.recv().map_err(|_| RecvTimeoutError::Disconnected),
                        wait => orders.recv_timeout(wait),
                    };
                    order.map_err(|fault| fault == RecvTimeoutError::Disconnected)
                }
            };
            match order {
                Ok(Order::Speak(goes_on)) => speaks = goes_on,
                Ok(Order::Leave(done)) => {
                    self.leave();
                    speaks = false;
                    _ = done.try_send(());
                }
                Err(true) => return,
                Err(false) => {}
            }
            match (speaks, self.socket.is_some()) {
                (true, false) => self.bind(),
                // Its address is free for the other process of an upgrade.
                (false, true) => self.socket = None,
                _ => {}
            }
            if self.socket.is_some() {
                self.hear();
                self.wake();
            }
        }
    }

    fn bind(&mut self) {
        match UdpSocket::bind(self.place.listen) {
            Ok(socket) => {
                let now = self.clock.now();
                let at = socket.local_addr().ok();
                info!(self.log, "membership started"; "address" => ?at, "limiter" => self.place.setup.me);
                self.socket = Some(socket);
                let (setup, seed) = (self.place.setup.clone(), self.place.seed);
                lock(&self.view).get_or_insert_with(|| View::new(setup, now / 1_000, seed, now));
            }
            Err(fault) => {
                if let Some(more) = self.unbound.permit() {
                    warn!(self.log, "membership address unavailable"; "address" => %self.place.listen, "error" => %fault,
                        "suppressed" => more);
                }
            }
        }
    }

    fn hear(&mut self) {
        let Some(socket) = &self.socket else { return };
        let next = lock(&self.view).as_ref().map_or(0, View::next);
        let wait = Duration::from_micros(next.saturating_sub(self.clock.now()));
        let mut bytes = [0; ROOM];
        if socket
            .set_read_timeout(Some(wait.clamp(Duration::from_millis(1), LOOK)))
            .is_err()
        {
            return;
        }
        let (size, from) = match socket.recv_from(&mut bytes) {
            Ok(came) => came,
            Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return
            }
            Err(_) => return std::thread::sleep(Duration::from_millis(1)),
        };
        let (mut todo, now) = (Vec::new(), self.clock.now());
        let opened = self.place.key.open(&self.place.setup.fleet, &bytes[..size]);
        let mut view = lock(&self.view);
        let Some(view) = view.as_mut() else { return };
        let taken = match opened {
            Ok(datagram) => view.heard(now, datagram, &mut todo),
            Err(fault) => {
                view.fault(fault);
                Err(fault)
            }
        };
        // What is stale is what the network repeats, and who starts anew is first heard so.
        if let Err(fault) = taken.or_else(|f| if f == Fault::Stale { Ok(()) } else { Err(f) }) {
            if let Some(more) = self.bad.permit() {
                warn!(self.log, "datagram dropped"; "from" => %from, "error" => fault.word(), "suppressed" => more);
            }
        }
        self.carry_out(todo);
    }

    fn wake(&mut self) {
        let (mut todo, now) = (Vec::new(), self.clock.now());
        let standing = {
            let mut view = lock(&self.view);
            let Some(view) = view.as_mut().filter(|view| now >= view.next()) else {
                return;
            };
            view.wake(now, &mut todo);
            view.standing(now)
        };
        self.carry_out(todo);
        // The core is told of what has changed, and of a lease once an eighth of it has gone by.
        let eighth = super::parts::lease(self.place.setup.period, self.place.setup.size) / 8;
        let later = |now: Micros, then: Micros| now < then || now > then.saturating_add(eighth);
        let news = self.last.as_ref().is_none_or(|last| {
            last.reassigned != standing.reassigned
                || last.alive != standing.alive
                || later(standing.lease_ends, last.lease_ends)
                || later(standing.reassigned_until, last.reassigned_until)
        });
        if news {
            (self.told)(standing.clone());
            self.last = Some(standing);
        }
    }

    fn leave(&mut self) {
        let (mut todo, now) = (Vec::new(), self.clock.now());
        if self.socket.is_some() {
            lock(&self.view)
                .iter_mut()
                .for_each(|view| view.leave(now, &mut todo));
            info!(self.log, "leaving the fleet");
        }
        self.carry_out(todo);
    }

    fn carry_out(&self, todo: Vec<Action>) {
        for todo in todo {
            match todo {
                Action::Send(to, datagram) => {
                    // What can't be sent is as lost as what the network loses.
                    let sealed = self.place.key.seal(&datagram);
                    _ = self
                        .socket
                        .as_ref()
                        .map(|socket| socket.send_to(&sealed, to));
                }
                Action::Changed(change) => {
                    // Suspicions come and go with every datagram that is lost.
                    let lives = change.state.lives() && change.before.lives();
                    let quiet = change.state == State::Suspect || lives;
                    let more = if quiet {
                        self.suspects.permit()
                    } else {
                        Some(0)
                    };
                    if let Some(more) = more {
                        info!(self.log, "member state changed"; "limiter" => change.who, "state" => change.state.word(),
                            "before" => change.before.word(), "incarnation" => change.incarnation,
                            "by" => change.by, "suppressed" => more);
                    }
                }
            }
        }
    }
}
