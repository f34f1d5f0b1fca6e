//! An upgrade under load: a new process takes over listener, agents' connections and knowledge from the one that serves.
//!
//! [`stage`] decides, without input or output; this carries it out over a Unix socket in the folder that both processes
//! are given. Without that folder or the socket a limiter serves all the same, and a second one beside it is a second
//! limiter. The design is in `docs/upgrade.md`.

pub mod knowledge;
pub mod link;
pub mod message;
pub mod stage;

use crate::threads::{lock, spawn};
use crossbeam_channel::{unbounded, Sender};
use link::{Deaf, Link};
use message::{Body, FinalReport, LearnedState};
use slog::{info, warn, Logger};
use stage::{Do, Event, Incumbent, Newcomer, Word, VERSION};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The name of the socket in the common folder.
const SOCKET: &str = "mossrill-upgrade";
/// Between two looks at what is not told over the link, while an upgrade goes on.
const LOOK: Duration = Duration::from_millis(10);
/// A newcomer that nobody answers tries so long; an upgrade before it may just be ending. It is to be ready in 6 s.
const JOINING: Duration = Duration::from_secs(4);
const RETRY: Duration = Duration::from_millis(100);

/// What the limiter does in an upgrade.
pub trait Limiting: Send + Sync + 'static {
    /// The listener that both sides accept from.
    fn listener(&self) -> &TcpListener;
    /// What the core knows; from now on it tells of the attempts that end.
    fn give_state(&self) -> Option<LearnedState>;
    /// The successor did not serve: what was given is this one's again.
    fn reclaim_state(&self);
    /// What a predecessor knew; taken once this is done.
    fn adopt_state(&self, state: LearnedState);
    /// Accept connections, or not.
    fn accept(&self, goes_on: bool);
    /// From now on requests are served: the first list is known, and all that a predecessor knew.
    fn serving(&self);
    /// Hand connections over to the other side, or to nobody any more.
    fn hand_over(&self, to: Option<Arc<Link>>);
    /// A connection handed over, with what was read from it.
    fn adopt(&self, connection: OwnedFd, read: Vec<u8>);
    /// The other side has news: a ban, the end of an attempt, or units that it has not told.
    fn hear(&self, news: Body);
    /// The limits are shared with another process, or this one's alone.
    fn share(&self, shared: bool);
    /// No connection and no open request is left.
    fn empty(&self) -> bool;
    /// End.
    fn depart(&self);
}

/// This process's place in upgrades.
pub struct Beside {
    path: PathBuf,
    /// The other process, while there is one.
    other: Mutex<Option<Arc<Link>>>,
    log: Logger,
}

/// A newcomer that was let in.
pub struct Joined {
    link: Arc<Link>,
    /// The listener of the one that serves.
    pub listener: TcpListener,
}

impl Beside {
    /// In this folder.
    pub fn new(folder: &Path, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            path: folder.join(SOCKET),
            other: Mutex::default(),
            log,
        })
    }

    /// Joins the process that serves, if there is one.
    pub fn join(&self) -> Option<Joined> {
        let began = Instant::now();
        loop {
            let why = match self.try_join() {
                Ok(joined) => return joined,
                Err(why) => why,
            };
            if began.elapsed() >= JOINING {
                warn!(self.log, "upgrade: predecessor hands nothing over"; "error" => why);
                return None;
            }
            thread::sleep(RETRY);
        }
    }

    /// One try; none if nobody serves, a fault if another try may help.
    fn try_join(&self) -> Result<Option<Joined>, String> {
        let stream = match UnixStream::connect(&self.path) {
            Ok(stream) => stream,
            // Nobody, or a file that was left behind.
            Err(fault)
                if matches!(
                    fault.kind(),
                    ErrorKind::NotFound | ErrorKind::ConnectionRefused
                ) =>
            {
                return Ok(None)
            }
            Err(fault) => {
                warn!(self.log, "upgrades unavailable"; "error" => %fault);
                return Ok(None);
            }
        };
        let link = Link::new(stream).map_err(|fault| fault.to_string())?;
        link.say(Body::Join(VERSION), None)
            .map_err(|fault| fault.to_string())?;
        match link.hear(Newcomer::Joining.limit()) {
            Ok((Body::Welcome(_), Some(listener))) => {
                let listener = TcpListener::from(listener);
                info!(self.log, "upgrade: listener received"; "address" => ?listener.local_addr().ok());
                Ok(Some(Joined {
                    link: Arc::new(link),
                    listener,
                }))
            }
            Ok((Body::Refuse(_), _)) => {
                warn!(self.log, "upgrade: rejected by the predecessor"; "version" => VERSION);
                Ok(None)
            }
            Ok(_) => Err("no welcome".into()),
            Err(deaf) => Err(format!("{deaf:?}")),
        }
    }

    /// Starts what goes on beside serving: taking over from `joined`, if any, and then waiting for a successor.
    /// `listed` tells that a node list is known.
    pub fn start<L: Limiting>(
        self: &Arc<Self>,
        joined: Option<Joined>,
        listed: impl Fn(Duration) -> bool + Send + 'static,
        limiter: Arc<L>,
    ) -> std::io::Result<()> {
        let own = self.clone();
        spawn("handover", move || match joined {
            Some(joined) => own.take_over(joined, listed, &*limiter),
            None => {
                while !listed(Duration::MAX) {}
                limiter.serving();
                own.incumbent(None, &*limiter);
            }
        })
    }

    /// Says things to the other process, while there is one. Takes them at once, as the core waits for nobody.
    pub fn teller(self: Arc<Self>) -> std::io::Result<Sender<Body>> {
        let (teller, told) = unbounded();
        spawn("handover-tell", move || {
            told.into_iter().for_each(|body| self.tell(body))
        })?;
        Ok(teller)
    }

    fn tell(&self, body: Body) {
        let other = lock(&self.other).clone();
        _ = other.map(|link| link.say(body, None));
    }

    /// The last words of a process that ends.
    pub fn farewell(&self, report: FinalReport) {
        self.tell(Body::FinalReport(report));
    }

    fn take_over<L: Limiting>(
        &self,
        joined: Joined,
        listed: impl Fn(Duration) -> bool,
        limiter: &L,
    ) {
        let link = joined.link;
        *lock(&self.other) = Some(link.clone());
        let (mut stage, mut known, mut state) = (Newcomer::Joining, false, None);
        // Ends of attempts may overtake what tells of them: heard at once, they would count as out for good.
        let mut early = Vec::new();
        stage.on(Event::Heard(Word::Welcome));
        let (mut since, mut place) = (Instant::now(), None);
        while stage != Newcomer::Alone {
            let event = match link.hear(Some(LOOK)) {
                Ok((Body::LearnedState(all), _)) => {
                    state = Some(all);
                    Event::Heard(Word::Given)
                }
                Ok((Body::Ended(account), _)) if stage != Newcomer::Sharing => {
                    early.push(Body::Ended(account));
                    continue;
                }
                Ok((body, descriptor)) => match news(body, descriptor, limiter) {
                    Some(word) => Event::Heard(word),
                    None => continue,
                },
                Err(Deaf::Overdue) if stage == Newcomer::Listening => {
                    known = known || listed(Duration::ZERO);
                    if !known {
                        continue;
                    }
                    Event::Listed
                }
                Err(Deaf::Overdue)
                    if stage.limit().is_some_and(|limit| since.elapsed() >= limit) =>
                {
                    Event::Overdue
                }
                Err(Deaf::Overdue) => continue,
                Err(deaf) => self.lost(&deaf),
            };
            let before = stage;
            let mut todos = VecDeque::from(stage.on(event));
            while let Some(todo) = todos.pop_front() {
                match todo {
                    Do::Say(Word::Take) => _ = link.say(Body::Take(true), None),
                    Do::Say(Word::Serving) => {
                        let told = link.say(Body::Serving(true), None).is_ok();
                        todos.extend(stage.on(if told { Event::Told } else { Event::Lost }));
                    }
                    Do::Serve => {
                        state
                            .take()
                            .into_iter()
                            .for_each(|state| limiter.adopt_state(state));
                        early.drain(..).for_each(|ended| limiter.hear(ended));
                        // Before anybody hears that this one serves: the next upgrade finds it here.
                        place = self.place();
                        limiter.accept(true);
                        limiter.serving();
                        info!(self.log, "upgrade: state received");
                    }
                    Do::ServeAlone(why) => {
                        warn!(self.log, "upgrade: serving alone"; "error" => why);
                        // The other may serve on: who is next goes to whom the socket belongs.
                        while !known {
                            known = listed(Duration::MAX);
                        }
                        limiter.accept(true);
                        limiter.serving();
                        limiter.share(false);
                    }
                    Do::Whole => {
                        limiter.share(false);
                        info!(self.log, "upgrade: predecessor has ended");
                    }
                    _ => {}
                }
            }
            if stage != before {
                since = Instant::now();
            }
        }
        *lock(&self.other) = None;
        drop(link);
        self.incumbent(place, limiter);
    }

    /// Takes the socket for itself.
    fn place(&self) -> Option<UnixListener> {
        // A file that was left behind, or the one of the process that is about to end.
        _ = std::fs::remove_file(&self.path);
        match UnixListener::bind(&self.path) {
            Ok(listener) => Some(listener),
            Err(fault) => {
                warn!(self.log, "upgrades unavailable"; "error" => %fault, "address" => %self.path.display());
                None
            }
        }
    }

    fn incumbent<L: Limiting>(&self, place: Option<UnixListener>, limiter: &L) {
        let mut place = place.or_else(|| self.place());
        while let Some(listener) = &place {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(RETRY);
                continue;
            };
            let link = match Link::new(stream) {
                Ok(link) => Arc::new(link),
                Err(fault) => {
                    warn!(self.log, "upgrade: connection rejected"; "error" => %fault);
                    continue;
                }
            };
            match self.hand_over(&link, limiter) {
                Incumbent::Gone => return,
                // The newcomer may have taken the socket before it went.
                _ if std::fs::symlink_metadata(&self.path).is_err() => place = self.place(),
                _ => {}
            }
        }
    }

    fn hand_over<L: Limiting>(&self, link: &Arc<Link>, limiter: &L) -> Incumbent {
        let (mut stage, mut since) = (Incumbent::Alone, Instant::now());
        loop {
            let event = match link.hear(Some(LOOK)) {
                Ok((body, descriptor)) => match news(body, descriptor, limiter) {
                    Some(word) => Event::Heard(word),
                    None => continue,
                },
                Err(Deaf::Overdue) if stage == Incumbent::Leaving && limiter.empty() => {
                    Event::Empty
                }
                Err(Deaf::Overdue) => {
                    let limit = if stage == Incumbent::Alone {
                        Some(RETRY)
                    } else {
                        stage.limit()
                    };
                    if limit.is_none_or(|limit| since.elapsed() < limit) {
                        continue;
                    }
                    Event::Overdue
                }
                Err(deaf) => self.lost(&deaf),
            };
            let before = stage;
            for todo in stage.on(event) {
                self.carry_out(todo, link, limiter);
            }
            if stage != before {
                info!(self.log, "upgrade"; "stage" => ?stage);
                since = Instant::now();
            }
            if matches!(stage, Incumbent::Alone | Incumbent::Gone) {
                if stage == Incumbent::Alone {
                    if before == Incumbent::Alone {
                        warn!(self.log, "upgrade: connection rejected"; "error" => ?event);
                    }
                    *lock(&self.other) = None;
                }
                return stage;
            }
        }
    }

    fn carry_out<L: Limiting>(&self, todo: Do, link: &Arc<Link>, limiter: &L) {
        match todo {
            Do::Say(Word::Welcome) => {
                limiter.share(true);
                *lock(&self.other) = Some(link.clone());
                _ = link.say(Body::Welcome(true), Some(limiter.listener().as_fd()));
            }
            Do::Say(Word::Refuse) => _ = link.say(Body::Refuse(true), None),
            Do::Shut => link.shut(),
            Do::Pause => limiter.accept(false),
            // A core that does not answer gives nothing, and the newcomer's silence ends this.
            Do::Say(Word::Given) => {
                if let Some(state) = limiter.give_state() {
                    _ = link.say(Body::LearnedState(state), None);
                }
            }
            Do::HandOver => limiter.hand_over(Some(link.clone())),
            Do::Resume(why) => {
                warn!(self.log, "upgrade: aborted, serving again"; "error" => why);
                limiter.hand_over(None);
                limiter.accept(true);
            }
            Do::TakeBack => limiter.reclaim_state(),
            Do::Whole => limiter.share(false),
            Do::Depart => limiter.depart(),
            // The last words are said by whoever ends the process, with what the core leaves untold.
            Do::Say(_) | Do::Serve | Do::ServeAlone(_) => {}
        }
    }

    fn lost(&self, deaf: &Deaf) -> Event {
        if let Deaf::Strange(fault) = deaf {
            warn!(self.log, "upgrade: unexpected message"; "error" => fault);
        }
        Event::Lost
    }
}

/// Takes in what comes with a frame; what it says to the state machine, if anything.
fn news<L: Limiting>(body: Body, descriptor: Option<OwnedFd>, limiter: &L) -> Option<Word> {
    match body {
        Body::Join(version) => Some(Word::Join(version)),
        Body::Welcome(_) => Some(Word::Welcome),
        Body::Refuse(_) => Some(Word::Refuse),
        Body::Take(_) => Some(Word::Take),
        Body::LearnedState(_) => Some(Word::Given),
        Body::Serving(_) => Some(Word::Serving),
        Body::Connection(read) => {
            descriptor
                .into_iter()
                .for_each(|connection| limiter.adopt(connection, read.clone()));
            None
        }
        Body::FinalReport(_) => {
            limiter.hear(body);
            Some(Word::Bye)
        }
        Body::Ban(_) | Body::Ended(_) => {
            limiter.hear(body);
            None
        }
    }
}
