//! Processing of received datagrams: decides which are accepted, applies their contents and
//! replies.

use super::action::Action;
use super::member::ReplayWindow;
use super::send::{Destination, Revocations, Route};
use super::table::{Contact, StateUpdate};
use super::View;
use crate::decision::Micros;
use crate::membership::datagram::{Datagram, MessageKind};
use crate::membership::format::Encoding;
use crate::membership::member_state::MemberState;
use crate::membership::rejection::Rejection;
use crate::membership::revocation::RevocationWindows;

/// Evidence that a datagram is no replay, from the processes that it was written by and for.
#[derive(Clone, Copy, Debug)]
struct Freshness {
    /// Whether the datagram was written after this process started.
    written_in_this_session: bool,
    /// Whether its sender is another process than the one known for the member.
    new_session: bool,
    /// Whether its sender may have started after the known process.
    may_be_later_process: bool,
}

impl Freshness {
    /// Returns whether the datagram is proven to be fresh.
    fn is_proven(self) -> bool {
        self.written_in_this_session && (!self.new_session || self.may_be_later_process)
    }
}

impl View {
    /// Processes a datagram that was authenticated with the fleet's key.
    ///
    /// # Errors
    ///
    /// Returns why the datagram was rejected; the rejection is counted.
    pub fn receive(
        &mut self,
        now: Micros,
        datagram: Datagram,
        actions: &mut Vec<Action>,
    ) -> Result<(), Rejection> {
        let result = self.accept(now, &datagram, actions);
        match result {
            Ok(()) => self.counters.accepted += 1,
            Err(rejection) => self.count_rejection(rejection),
        }
        result
    }

    /// Counts a rejected datagram, or a rejected part of an accepted one.
    pub fn count_rejection(&mut self, rejection: Rejection) {
        self.counters.rejected[rejection as usize] += 1;
    }

    /// Checks a datagram, applies its contents and replies to it.
    fn accept(
        &mut self,
        now: Micros,
        datagram: &Datagram,
        actions: &mut Vec<Action>,
    ) -> Result<(), Rejection> {
        let votes = self.revocations_of(datagram)?;
        let sender = datagram.sender as usize;
        if sender >= self.members.len() || datagram.sender == self.settings.limiter {
            return Err(Rejection::OutOfRange);
        }
        if self.leaving {
            return Ok(());
        }
        let message = datagram.message.ok_or(Rejection::Malformed)?;
        let freshness = self.freshness(datagram);
        if !freshness.is_proven() {
            return self.answer_unproven(now, datagram, message, freshness, actions);
        }
        self.record_receipt(now, datagram, freshness.new_session)?;
        if let Some(sent_at) = self.members[sender].sent_at(datagram.acknowledged) {
            self.leases[sender].on_datagram(sent_at, datagram.renews_lease, votes.as_ref());
        }
        self.record_ack(sender, datagram.acknowledged);
        self.relay_ack(now, sender, datagram.acknowledged, actions);
        let must_refute = self.members[sender].must_refute();
        let incarnation = self.incarnation();
        let all_valid = self.apply_updates(now, datagram, message, actions);
        let needs_gossip = freshness.new_session || must_refute;
        let refuted = self.incarnation() > incarnation;
        self.reply(now, sender, message, needs_gossip, refuted, actions);
        if !all_valid {
            self.count_rejection(Rejection::OutOfRange);
        }
        Ok(())
    }

    fn freshness(&self, datagram: &Datagram) -> Freshness {
        let known = &self.members[datagram.sender as usize];
        Freshness {
            written_in_this_session: datagram.receiver_session == self.session,
            new_session: known.session != datagram.session,
            may_be_later_process: known.session == 0 || datagram.incarnation > known.incarnation,
        }
    }

    /// Sends the reply to a datagram. `needs_gossip` is set if the sender's process was not known
    /// before the datagram, or if the sender was suspected, dead, gone or forgotten; `refuted` is
    /// set if the datagram made this limiter refute an update about itself.
    fn reply(
        &mut self,
        now: Micros,
        sender: usize,
        message: MessageKind,
        needs_gossip: bool,
        refuted: bool,
        actions: &mut Vec<Action>,
    ) {
        match message {
            MessageKind::Ping(_) => self.acknowledge(now, sender, actions),
            MessageKind::PingRequest(target) => {
                self.relay_probe(now, sender, target as usize, actions)
            }
            MessageKind::IndirectAck(target) => self.record_indirect_ack(target as usize),
            MessageKind::Ack(_) | MessageKind::Gossip(_) | MessageKind::Leave(_) => {
                let first_ack = matches!(message, MessageKind::Ack(_)) && needs_gossip;
                if first_ack || refuted {
                    self.send(now, sender, MessageKind::Gossip(true), actions);
                }
            }
        }
    }

    /// Answers a datagram that may be a replay, without applying its contents. The answer carries
    /// this process's session, so that a live sender can prove its next datagram to be fresh.
    fn answer_unproven(
        &mut self,
        now: Micros,
        datagram: &Datagram,
        message: MessageKind,
        freshness: Freshness,
        actions: &mut Vec<Action>,
    ) -> Result<(), Rejection> {
        let addressed_here = freshness.written_in_this_session;
        let answered = match message {
            MessageKind::Ping(_) => true,
            MessageKind::Ack(_) => addressed_here,
            _ => false,
        };
        if !answered {
            return Err(Rejection::Stale);
        }
        if !self.unproven_limit.take(now) {
            return Err(Rejection::RateLimited);
        }
        let to = self.unproven_sender(datagram, addressed_here);
        let message = MessageKind::Ack(true);
        self.send_to(now, to, message, Revocations::NextPart, actions);
        if addressed_here {
            Ok(())
        } else {
            Err(Rejection::Stale)
        }
    }

    /// Returns the destination of an answer to a datagram that may be a replay. A configured
    /// address is preferred to that in the datagram.
    fn unproven_sender(&self, datagram: &Datagram, addressed_here: bool) -> Destination {
        let known = &self.members[datagram.sender as usize];
        let configured_address = known.address.filter(|_| known.seed);
        let route = if addressed_here {
            Route::ConflictingProcess
        } else {
            Route::Member
        };
        Destination {
            member: datagram.sender as usize,
            address: configured_address.or_else(|| datagram.address()),
            session: datagram.session,
            acknowledged: datagram.sequence,
            route,
        }
    }

    /// Records the receipt of a datagram that is proven to be fresh.
    ///
    /// # Errors
    ///
    /// If the datagram was received before, or exceeds the rate limit.
    fn record_receipt(
        &mut self,
        now: Micros,
        datagram: &Datagram,
        new_session: bool,
    ) -> Result<(), Rejection> {
        let member = &mut self.members[datagram.sender as usize];
        if new_session {
            member.session = datagram.session;
            member.replay_window = ReplayWindow::default();
        }
        if !member.replay_window.accept(datagram.sequence) {
            return Err(Rejection::Stale);
        }
        if !self.receive_limit.take(now) {
            return Err(Rejection::RateLimited);
        }
        member.last_received = Some(now);
        // A forgotten member has no address in the view, but must be reached so that it can refute
        // its death.
        member.address = member.address.or_else(|| datagram.address());
        Ok(())
    }

    /// Applies the update about the sender itself and the gossip updates. Skips gossip updates that
    /// are out of range, and returns false if there is one.
    fn apply_updates(
        &mut self,
        now: Micros,
        datagram: &Datagram,
        message: MessageKind,
        actions: &mut Vec<Action>,
    ) -> bool {
        let leaves = matches!(message, MessageKind::Leave(_));
        let sender = StateUpdate {
            member: datagram.sender as usize,
            state: if leaves {
                MemberState::Left
            } else {
                MemberState::Alive
            },
            incarnation: datagram.incarnation,
            contact: datagram.address().map(|address| Contact {
                address,
                version: datagram.version,
            }),
            reported_by: datagram.sender,
        };
        self.apply_update(now, sender, actions);
        let mut all_valid = true;
        for gossip in &datagram.updates {
            let Some(checked) = gossip.check(self.settings.limiters) else {
                all_valid = false;
                continue;
            };
            let update = StateUpdate {
                member: checked.member,
                state: checked.state,
                incarnation: gossip.incarnation,
                contact: Some(Contact {
                    address: checked.address,
                    version: gossip.version,
                }),
                reported_by: gossip.reported_by,
            };
            self.apply_update(now, update, actions);
        }
        all_valid
    }

    /// Decodes the sender's votes to revoke leases; `None` if the datagram carries no votes.
    ///
    /// # Errors
    ///
    /// If the datagram has another format or fleet size than this limiter uses, or its votes can't
    /// be decoded.
    fn revocations_of(&self, datagram: &Datagram) -> Result<Option<RevocationWindows>, Rejection> {
        let size = self.settings.limiters;
        if datagram.format != self.settings.encoding.format() {
            return Err(Rejection::WrongFormat);
        }
        let window = match self.settings.encoding {
            Encoding::Whole => {
                let votes = RevocationWindows::whole(&datagram.revoked, size as usize);
                return Ok(Some(votes));
            }
            Encoding::Parts { window, .. } => window,
        };
        if datagram.limiters != size {
            return Err(Rejection::WrongFleet);
        }
        if !datagram.revoked.is_empty() {
            return Err(Rejection::OutOfRange);
        }
        let Some(part) = &datagram.revoked_part else {
            return Ok(None);
        };
        let votes = part.windows(size, window).ok_or(Rejection::OutOfRange)?;
        Ok(Some(votes))
    }
}
