//! The records of a run, by request.

use super::MILLISECOND;
use crate::soak::record::{Class, Event, Micros, Record, Reply, Signalled};
use std::collections::{HashMap, HashSet};

/// A request as one client sent it on one connection.
pub(super) struct Sent<'a> {
    pub(super) at: Micros,
    pub(super) connection: u64,
    pub(super) id: &'a str,
    pub(super) class: Class,
    pub(super) deadline: Micros,
    pub(super) limiter: usize,
}

/// An attempt at a server.
pub(super) struct Arrival<'a> {
    pub(super) begun_at: Micros,
    pub(super) at: Micros,
    pub(super) server: &'a str,
    pub(super) group: u32,
    pub(super) told: Micros,
}

/// The records of one run, by request.
pub(super) struct Index<'a> {
    pub(super) sent: Vec<Sent<'a>>,
    pub(super) arrivals: HashMap<&'a str, Vec<Arrival<'a>>>,
    pub(super) turned_away: HashMap<(&'a str, &'a str), Vec<Micros>>,
    /// When a slow client had the first bytes of a long value.
    began: HashMap<(u64, &'a str), Micros>,
    /// When a slow client had the whole long value that is ahead of the other answers on a connection.
    value_ends: HashMap<u64, Micros>,
    /// What ended a request on a connection.
    pub(super) ends: HashMap<(u64, &'a str), (Micros, &'a Event)>,
    pub(super) signals: Vec<(Micros, usize, u32, Signalled)>,
    /// Connections on which a value was cut off.
    pub(super) cut_off: HashSet<u64>,
    /// When a limiter started without the state of a process before.
    pub(super) new_starts: Vec<(Micros, usize)>,
}

impl<'a> Index<'a> {
    pub(super) fn new(records: &'a [Record]) -> Self {
        let mut index = Self {
            sent: Vec::new(),
            arrivals: HashMap::new(),
            turned_away: HashMap::new(),
            began: HashMap::new(),
            value_ends: HashMap::new(),
            ends: HashMap::new(),
            signals: Vec::new(),
            cut_off: HashSet::new(),
            new_starts: Vec::new(),
        };
        for record in records {
            index.add(record);
            index.cut_off.extend(cut_off_connection(&record.event));
        }
        index
    }

    fn add(&mut self, Record { at, event }: &'a Record) {
        match event {
            Event::Sent {
                connection,
                id,
                class,
                deadline_ms,
                limiter,
            } => self.sent.push(Sent {
                at: *at,
                connection: *connection,
                id,
                class: *class,
                deadline: deadline_ms * MILLISECOND,
                limiter: *limiter,
            }),
            Event::Began { connection, id } => {
                self.began.insert((*connection, id), *at);
            }
            Event::Replied { connection, id, .. }
            | Event::Unanswered { connection, id }
            | Event::Left { connection, id } => {
                if self.began.contains_key(&(*connection, id)) {
                    self.value_ends.insert(*connection, *at);
                }
                self.ends.entry((*connection, id)).or_insert((*at, event));
            }
            Event::Arrived {
                server,
                group,
                id,
                begun_at,
                told_ms,
            } => self.arrivals.entry(id).or_default().push(Arrival {
                begun_at: *begun_at,
                at: *at,
                server,
                group: *group,
                told: told_ms * MILLISECOND,
            }),
            Event::TurnedAway { server, id } => {
                self.turned_away.entry((server, id)).or_default().push(*at);
            }
            Event::Signal {
                limiter,
                process,
                signal,
            } => self.signals.push((*at, *limiter, *process, *signal)),
            Event::StartedAnew { limiter } => self.new_starts.push((*at, *limiter)),
            _ => {}
        }
    }

    /// Returns when the answer to a request began, which ended at `end`: of a long value, the first
    /// bytes count, and an answer behind one can't come before the client has read it.
    pub(super) fn begin_of_answer(&self, sent: &Sent<'_>, end: Micros) -> Micros {
        let key = (sent.connection, sent.id);
        if let Some(began) = self.began.get(&key) {
            return *began;
        }
        match self.value_ends.get(&sent.connection) {
            Some(ahead) => end.saturating_sub(ahead.saturating_sub(sent.at)),
            None => end,
        }
    }

    pub(super) fn arrivals_of(&self, id: &str) -> &[Arrival<'a>] {
        self.arrivals.get(id).map_or(&[], Vec::as_slice)
    }
}

/// Returns the connection on which an event cuts a value off.
fn cut_off_connection(event: &Event) -> Option<u64> {
    match event {
        Event::Replied {
            connection,
            reply: Reply::CutOff,
            ..
        } => Some(*connection),
        _ => None,
    }
}
