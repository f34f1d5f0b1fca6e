//! Dissemination: every datagram carries what is new, and then the rest of the view in turn.

use super::member::{Member, SEND_TIMES};
use super::{Action, View};
use crate::decision::Micros;
use crate::membership::datagram::{Datagram, News, State, Word, LONGEST};
use crate::membership::released::{Encoding, ReleasedPart};
use std::net::SocketAddrV4;

/// Living members that are told of what is new, twice in each period.
const GOSSIP_FANOUT: usize = 2;

/// Parts of the set of released leases that follow an answer at once, so that all of the set of a fleet of three
/// windows is as young as the answer.
const PARTS_AFTER_ACK: usize = 2;

/// A peer is told of a change so many times for each power of ten of the fleet.
const RETRANSMIT_FACTOR: f64 = 4.0;

/// How a member is reached: where, in which session, what was heard in it, and whether two speak as this member.
pub(super) struct Route {
    pub(super) at: Option<SocketAddrV4>,
    pub(super) session: u64,
    pub(super) heard: u64,
    pub(super) clash: bool,
    /// The datagram carries a part of the set of released leases.
    pub(super) with_part: bool,
}

impl View {
    /// Tells some living members what is new.
    pub(super) fn gossip(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.fresh.retain(|who| self.retransmits[*who] > 0);
        // A quarter is left for questions and answers.
        if self.fresh.is_empty() || self.out.level(now) < f64::from(self.setup.out_per_s) / 8.0 {
            return;
        }
        for to in self.random_living(GOSSIP_FANOUT, None) {
            self.send(now, to, Word::Gossip(true), actions);
        }
    }

    /// A member is to be told of, in as many datagrams as its state needs to reach all.
    pub(super) fn enqueue(&mut self, who: usize) {
        let times = RETRANSMIT_FACTOR * (self.members.len() as f64 + 1.0).log10().ceil();
        self.retransmits[who] = times as u32;
        if !self.fresh.contains(&who) {
            self.fresh.push(who);
        }
    }

    /// Sends to a member, with as much of what is new as fits; false if there was no room or no address.
    pub(super) fn send(
        &mut self,
        now: Micros,
        to: usize,
        word: Word,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Member {
            address,
            session,
            window,
            ..
        } = &self.members[to];
        // Gossip leaves the room to news.
        let with_part = !matches!(word, Word::Gossip(_));
        let route = Route {
            at: *address,
            session: *session,
            heard: window.top,
            clash: false,
            with_part,
        };
        self.send_by(now, to, route, word, actions)
    }

    /// Answers a question; what does not fit of the set of released leases follows at once.
    pub(super) fn acknowledge(&mut self, now: Micros, to: usize, actions: &mut Vec<Action>) {
        self.send(now, to, Word::Ack(true), actions);
        let further = self
            .released
            .part_count()
            .saturating_sub(1)
            .min(PARTS_AFTER_ACK);
        for _ in 0..further {
            let Member {
                address,
                session,
                window,
                ..
            } = &self.members[to];
            let route = Route {
                at: *address,
                session: *session,
                heard: window.top,
                clash: false,
                with_part: true,
            };
            self.send_by(now, to, route, Word::Gossip(true), actions);
        }
    }

    /// Sends to a member that is reached so; false if there was no room or no address.
    pub(super) fn send_by(
        &mut self,
        now: Micros,
        to: usize,
        route: Route,
        word: Word,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(at) = route.at else { return false };
        if !self.out.take(now) {
            self.counts.held_back += 1;
            return false;
        }
        let member = &mut self.members[to];
        member.number += 1;
        member.sent[member.number as usize % SEND_TIMES] = (member.number, now);
        let (number, grants) = (member.number, self.leases[to].grants(now));
        let own = self.setup.address;
        let (released, released_part, limiters) = match self.setup.encoding {
            Encoding::Whole => (self.released.bits().to_vec(), None, 0),
            Encoding::Parts { .. } => (
                Vec::new(),
                self.next_part(to, route.with_part),
                self.setup.size,
            ),
        };
        let mut datagram = Datagram {
            format: self.setup.encoding.format(),
            fleet: self.setup.fleet.clone(),
            from: self.setup.me,
            incarnation: self.members[self.setup.me as usize].incarnation,
            session: self.session,
            to: route.session,
            number,
            heard: if route.session == 0 { 0 } else { route.heard },
            grants,
            ip: u32::from(*own.ip()),
            port: u32::from(own.port()),
            version: self.setup.version,
            word: Some(word),
            news: Vec::new(),
            released,
            released_part,
            limiters,
        };
        self.piggyback(to, route.clash, &mut datagram);
        self.counts.sent += 1;
        self.counts.bytes += datagram.size() as u64;
        actions.push(Action::Send(at, datagram));
        true
    }

    /// The part of the set of released leases whose turn it is.
    fn next_part(&mut self, to: usize, with_part: bool) -> Option<ReleasedPart> {
        let part = self
            .released
            .part(self.members[to].parts_sent)
            .filter(|_| with_part)?;
        self.members[to].parts_sent += 1;
        Some(part.clone())
    }

    /// What the receiver must hear of itself comes first, then what is new, then the rest of the view in turn.
    fn piggyback(&mut self, to: usize, clash: bool, datagram: &mut Datagram) {
        let mut size = datagram.size();
        let mut add = |own: &mut Self, who: usize, datagram: &mut Datagram| {
            let member = &own.members[who];
            let Some(at) = member.address else {
                return true;
            };
            // Another process speaks under its number and incarnation, or under a later one: it has to rise above.
            let state = match member.state {
                _ if clash && who == to => State::Suspect,
                State::Unknown => State::Dead,
                state => state,
            };
            let news = News {
                who: who as u32,
                state: state.number(),
                incarnation: member.incarnation,
                by: member.by,
                ip: u32::from(*at.ip()),
                port: u32::from(at.port()),
                version: member.version,
            };
            // Two bytes say what it is and how long.
            let more = prost::Message::encoded_len(&news) + 2;
            if size + more > LONGEST {
                return false;
            }
            size += more;
            datagram.news.push(news);
            own.retransmits[who] = own.retransmits[who].saturating_sub(1);
            true
        };
        let Member {
            state, forgotten, ..
        } = self.members[to];
        if clash || forgotten || state >= State::Suspect {
            add(self, to, datagram);
        }
        let mut fresh: Vec<_> = self
            .fresh
            .iter()
            .copied()
            .filter(|who| *who != to)
            .collect();
        fresh.retain(|who| self.retransmits[*who] > 0 && self.members[*who].is_told());
        fresh.sort_unstable_by_key(|who| std::cmp::Reverse(self.retransmits[*who]));
        for who in &fresh {
            if !add(self, *who, datagram) {
                return;
            }
        }
        for _ in 0..self.members.len().min(16) {
            self.turn = (self.turn + 1) % self.members.len();
            let who = self.turn;
            let told = self.members[who].is_told() && who != to && who != self.setup.me as usize;
            if told && !fresh.contains(&who) && !add(self, who, datagram) {
                return;
            }
        }
    }
}
