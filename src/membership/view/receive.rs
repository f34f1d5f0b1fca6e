//! IncomingRequest datagrams: which are taken, and what follows from them.

use super::gossip::Route;
use super::member::Window;
use super::table::Update;
use super::{Action, Setup, View};
use crate::decision::Micros;
use crate::membership::datagram::{Datagram, Fault, State, Word};
use crate::membership::released::{Encoding, SaidPart};

impl View {
    /// Takes a datagram that was opened with the fleet's key.
    pub fn heard(
        &mut self,
        now: Micros,
        datagram: Datagram,
        actions: &mut Vec<Action>,
    ) -> Result<(), Fault> {
        let taken = self.accept(now, datagram, actions);
        match taken {
            Ok(()) => self.counts.taken += 1,
            Err(fault) => self.fault(fault),
        }
        taken
    }

    /// Counts what was not taken.
    pub fn fault(&mut self, fault: Fault) {
        self.counts.faults[fault as usize] += 1;
    }

    fn accept(
        &mut self,
        now: Micros,
        datagram: Datagram,
        actions: &mut Vec<Action>,
    ) -> Result<(), Fault> {
        let released = self.released_by(&datagram)?;
        let from = datagram.from as usize;
        if from >= self.members.len() || datagram.from == self.setup.me {
            return Err(Fault::Strange);
        }
        if self.leaving {
            return Ok(());
        }
        let word = datagram.word.ok_or(Fault::Garbled)?;
        let known = &self.members[from];
        // Written in this process's life, and in the life of the sender that is known, or a later one.
        let new_session = known.session != datagram.session;
        let proven = datagram.to == self.session;
        let later = known.session == 0 || datagram.incarnation > known.incarnation;
        if !proven || (new_session && !later) {
            return self.answer_unproven(now, &datagram, word, proven, actions);
        }
        self.note_heard(now, &datagram, new_session)?;
        if let Some(bound) = self.members[from].sent_at(datagram.heard) {
            self.leases[from].told(bound, datagram.grants, released.as_ref());
        }
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.target == from) {
            probe.acked |= datagram.heard >= probe.number;
        }
        self.relay_ack(now, from, datagram.heard, actions);
        let lost = self.members[from].state >= State::Suspect || self.members[from].forgotten;
        let incarnation = self.incarnation();
        let all_read = self.apply_updates(now, &datagram, word, actions);
        match word {
            Word::Ping(_) => self.acknowledge(now, from, actions),
            Word::Ask(target) => self.relay_probe(now, from, target as usize, actions),
            Word::Vouch(target) => self.note_indirect_ack(target as usize),
            // Who has just learned of the sender lets it know, and so does who takes it for dead.
            Word::Ack(_) if new_session || lost => {
                _ = self.send(now, from, Word::Gossip(true), actions)
            }
            // Whoever holds this one for dead is the first to hear that it lives.
            _ if self.incarnation() > incarnation => {
                _ = self.send(now, from, Word::Gossip(true), actions)
            }
            Word::Ack(_) | Word::Gossip(_) | Word::Leave(_) => {}
        }
        if !all_read {
            self.fault(Fault::Strange);
        }
        Ok(())
    }

    /// Answers what may be an hour old. Nothing that it says is taken; only a living sender can answer what it is told.
    fn answer_unproven(
        &mut self,
        now: Micros,
        datagram: &Datagram,
        word: Word,
        proven: bool,
        actions: &mut Vec<Action>,
    ) -> Result<(), Fault> {
        let answered = match word {
            Word::Ping(_) => true,
            Word::Ack(_) => proven,
            _ => false,
        };
        if !answered {
            return Err(Fault::Stale);
        }
        if !self.strangers.take(now) {
            return Err(Fault::Flood);
        }
        let from = datagram.from as usize;
        let known = &self.members[from];
        let at = known
            .address
            .filter(|_| known.seed)
            .or_else(|| datagram.address());
        let (session, heard) = (datagram.session, datagram.number);
        let route = Route {
            at,
            session,
            heard,
            clash: proven,
            with_part: true,
        };
        self.send_by(now, from, route, Word::Ack(true), actions);
        if proven {
            Ok(())
        } else {
            Err(Fault::Stale)
        }
    }

    /// Notes that the sender was heard, unless this was heard before or too much is heard.
    fn note_heard(
        &mut self,
        now: Micros,
        datagram: &Datagram,
        new_session: bool,
    ) -> Result<(), Fault> {
        let member = &mut self.members[datagram.from as usize];
        if new_session {
            (member.session, member.window) = (datagram.session, Window::default());
        }
        if !member.window.take(datagram.number) {
            return Err(Fault::Stale);
        }
        if !self.taken.take(now) {
            return Err(Fault::Flood);
        }
        member.heard = Some(now);
        // One that was forgotten has to be told so.
        member.address = member.address.or_else(|| datagram.address());
        Ok(())
    }

    /// Takes what the datagram says of its sender and of others; false if some of it can't be.
    fn apply_updates(
        &mut self,
        now: Micros,
        datagram: &Datagram,
        word: Word,
        actions: &mut Vec<Action>,
    ) -> bool {
        let left = matches!(word, Word::Leave(_));
        let sender = Update {
            who: datagram.from as usize,
            state: if left { State::Left } else { State::Alive },
            incarnation: datagram.incarnation,
            contact: datagram.address().map(|at| (at, datagram.version)),
            by: datagram.from,
        };
        self.apply_update(now, sender, actions);
        let mut all_read = true;
        for news in &datagram.news {
            let Some((who, state, at)) = news.read(self.setup.size) else {
                all_read = false;
                continue;
            };
            let contact = Some((at, news.version));
            let update = Update {
                who,
                state,
                incarnation: news.incarnation,
                contact,
                by: news.by,
            };
            self.apply_update(now, update, actions);
        }
        all_read
    }

    /// Another member has reached the one that is probed.
    fn note_indirect_ack(&mut self, target: usize) {
        let waiting = |probe: &&mut super::Probe| probe.target == target && probe.indirect_sent;
        if let Some(probe) = self.probe.as_mut().filter(waiting) {
            probe.indirect_ack = true;
        }
    }

    /// What the sender says of the set of released leases, if it is of a fleet of this format and size.
    fn released_by(&self, datagram: &Datagram) -> Result<Option<SaidPart>, Fault> {
        let Setup { size, encoding, .. } = self.setup;
        match encoding {
            _ if datagram.format != encoding.format() => Err(Fault::Format),
            Encoding::Whole => Ok(Some(SaidPart::whole(&datagram.released, size as usize))),
            Encoding::Parts { .. } if datagram.limiters != size => Err(Fault::Fleet),
            Encoding::Parts { .. } if !datagram.released.is_empty() => Err(Fault::Strange),
            Encoding::Parts { window, .. } => match &datagram.released_part {
                Some(part) => part.read(size, window).map(Some).ok_or(Fault::Strange),
                None => Ok(None),
            },
        }
    }
}
