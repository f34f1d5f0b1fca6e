//! New connections: accepting them, and room for them within the limit.

use super::connection::{Link, LinkState};
use super::protocol::ClientProtocol;
use super::Front;
use crate::net::{lock, spawn};
use slog::warn;
use std::collections::VecDeque;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// An agent that does not read its answers for so long is dropped: some stand still for seconds.
const WRITE_WAIT: Duration = Duration::from_secs(6);
/// Wait after a failed accept, as when descriptors run out.
pub(super) const ACCEPT_WAIT: Duration = Duration::from_millis(20);
/// One that has nothing open for so long is closed if another needs its place.
const SPARE: Duration = Duration::from_secs(2);
/// A new connection waits so long for another to end when all are busy.
const ROOM_WAIT: Duration = Duration::from_millis(100);

impl<P: ClientProtocol> Front<P> {
    pub(super) fn accept(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            let paused = lock(&self.paused);
            drop(self.unpaused.wait_while(paused, |paused| *paused));
            match listener.accept() {
                Ok((stream, _)) => {
                    // The one that was waited for when the hand-over began.
                    let pass = lock(&self.pass).clone();
                    if pass.is_some_and(|pass| pass(&stream, &[])) || !self.make_room() {
                        continue;
                    }
                    if let Err(fault) = self.serve(stream, None) {
                        warn!(self.log, "agent connection dropped"; "fault" => %fault);
                    }
                }
                Err(fault) => {
                    warn!(self.log, "accept failed"; "fault" => %fault);
                    thread::sleep(ACCEPT_WAIT);
                }
            }
        }
    }

    /// Keeps within the descriptors: of the connections that owe nothing, one goes that never asked for anything and has
    /// stopped writing, else one idle for so long that it may be closed, else any; of these the one from which nothing
    /// has come for longest. False if all are busy: the new one is closed then, as one that waits would hold up all
    /// behind it.
    ///
    /// Guards against floods of connections that say nothing, or a part and no more: they push out each other, and not an
    /// agent that writes slowly.
    pub(super) fn make_room(&self) -> bool {
        let began = Instant::now();
        let mut links = lock(&self.links);
        while links.len() >= self.most.load(Ordering::Relaxed) {
            let idle = |l: &Link<P>| {
                let state = lock(&l.state);
                let quiet = state.idle_since.elapsed();
                let place = match (state.asked, state.writes()) {
                    (false, false) => 0,
                    (true, false) if quiet >= SPARE => 1,
                    _ => 2,
                };
                (state.owed == 0 && !state.closed && !state.leaving).then_some((place, state.idle_since))
            };
            let oldest = links.values().filter_map(|l| Some((idle(l)?, l))).min_by_key(|(at, _)| *at);
            if let Some((_, link)) = oldest {
                link.give_way();
            } else if began.elapsed() >= ROOM_WAIT {
                if let Some(more) = self.full.permit() {
                    warn!(self.log, "agent connections full"; "open" => links.len(), "unlogged" => more);
                }
                return false;
            }
            links = self.freed.wait_timeout(links, ROOM_WAIT).unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// Serves a connection that is new, or one with what another process has read from it.
    pub(super) fn serve(self: &Arc<Self>, stream: TcpStream, read: Option<Vec<u8>>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_WAIT))?;
        let now = Instant::now();
        let state = LinkState {
            queue: VecDeque::new(),
            writing: false,
            taking: true,
            reading: true,
            waiting: Vec::new(),
            owed: 0,
            closed: false,
            leaving: false,
            held_back: true,
            moved: false,
            asked: read.is_some(),
            pieces: 0,
            half: read.is_none().then_some(now),
            spoilt: None,
            opened: now,
            idle_since: now,
        };
        let link = Arc::new(Link { stream, state: Mutex::new(state), answered: Condvar::new() });
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        lock(&self.links).insert(number, link.clone());
        self.opened.notify_one();
        let (front, reading) = (self.clone(), link.clone());
        let begun = spawn("agent-read", move || front.read(number, &reading, read.unwrap_or_default()));
        if begun.is_err() {
            self.end(number, &link);
        }
        begun
    }
}
