//! Answers of allocators.

use super::super::exchange::ReportOut;
use super::super::held::{Due, LeaseOrigin};
use super::super::message::{AccountKey, Grant, GrantEntry, MessageError, ReportEntry};
use super::{Answer, Holder, Outcome, Waiter, MICROS_PER_MILLI};
use crate::decision::Micros;

/// A request that waits follows its account to another owner so often; then it gets the fallback part.
const MAX_REROUTES: u8 = 2;

impl Holder {
    /// The report that a valid answer is about. It is out no more.
    pub(super) fn answered_report(&mut self, grant: &Grant) -> Result<ReportOut, MessageError> {
        grant.check()?;
        let unknown = MessageError::UnknownSender(grant.allocator);
        let exchange = self
            .exchanges
            .get_mut(grant.allocator as usize)
            .ok_or(unknown)?;
        let own = grant.limiter_incarnation == self.settings.incarnation;
        if !own || !exchange.is_out(grant.sequence) || grant.incarnation < exchange.incarnation {
            return Err(MessageError::Outdated(grant.sequence));
        }
        let entries = exchange.out.as_ref().map(|out| out.report.accounts.len());
        if entries != Some(grant.entries as usize) {
            return Err(MessageError::Entries("not as many as were asked for"));
        }
        exchange.incarnation = grant.incarnation;
        exchange
            .out
            .take()
            .ok_or(MessageError::Outdated(grant.sequence))
    }

    /// Takes what the answer says of the allocators themselves.
    pub(super) fn hear(
        &mut self,
        now: Micros,
        grant: &Grant,
        addressed_to: u64,
        answers: &mut Vec<Answer>,
    ) {
        let number = grant.allocator;
        if !grant.serving {
            self.lose(now, number, answers);
            return;
        }
        let back = !self.is_available(number) || addressed_to != grant.incarnation;
        self.exchanges[number as usize].recover();
        let moved = self.given_away != grant.given_away;
        self.given_away = grant.given_away;
        if moved {
            self.reroute(now, answers);
        }
        if moved || back {
            for key in self.unreported.clone() {
                self.mark_due(key, Due::Later);
            }
        }
    }

    pub(super) fn on_units(
        &mut self,
        now: Micros,
        origin: LeaseOrigin,
        asked: &ReportEntry,
        given: GrantEntry,
        answers: &mut Vec<Answer>,
    ) {
        let key = asked.account;
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        if given.units > 0 {
            account.add_lease(origin, given.units);
            self.figures.granted += given.units;
        }
        let hold_off = Micros::from(given.hold_off_ms) * MICROS_PER_MILLI;
        if hold_off > 0 {
            account.held_off_until = now.saturating_add(hold_off);
        }
        self.serve_waiters(now, key, answers);
        // Those that came after the report wait for the next one, unless that would be in vain.
        let was_asked = |waiter: &Waiter| hold_off > 0 || waiter.asked == Some(origin.allocator);
        for waiter in self.take_waiters(key, was_asked) {
            let retry_after = hold_off.max(self.settings.spacing);
            self.resolve(&waiter, Outcome::Denied { retry_after }, answers);
        }
        self.set_timer(now, key);
    }

    /// The allocator does not own the account. What was used beyond is to be reported to somebody else.
    pub(super) fn on_refusal(
        &mut self,
        now: Micros,
        allocator: u32,
        asked: &ReportEntry,
        answers: &mut Vec<Answer>,
    ) {
        let key = asked.account;
        if let Some(account) = self.accounts.get_mut(&key).filter(|_| asked.beyond > 0) {
            account.beyond = account.beyond.saturating_add(asked.beyond);
            self.unreported.insert(key);
        }
        let moved = self
            .available_owner(key)
            .is_some_and(|owner| owner != allocator);
        self.ask_again(now, allocator, key, moved, answers);
    }

    /// The report was for an earlier process of the allocator, which may have carried it out: what it told of use beyond and
    /// of units returned is not told again.
    pub(super) fn on_restart(
        &mut self,
        now: Micros,
        allocator: u32,
        asked: &ReportEntry,
        answers: &mut Vec<Answer>,
    ) {
        let owned = self.available_owner(asked.account).is_some();
        self.ask_again(now, allocator, asked.account, owned, answers);
    }

    /// Requests that an answer left waiting wait for the next report, if that is of use, or get the fallback part.
    pub(super) fn ask_again(
        &mut self,
        now: Micros,
        allocator: u32,
        key: AccountKey,
        useful: bool,
        answers: &mut Vec<Answer>,
    ) {
        let stays = |waiter: &Waiter| useful && waiter.reroutes < MAX_REROUTES;
        self.fall_back(
            now,
            key,
            |waiter| waiter.asked == Some(allocator) && !stays(waiter),
            answers,
        );
        for waiter in self.waiters.get_mut(&key).into_iter().flatten() {
            if waiter.asked == Some(allocator) {
                waiter.asked = None;
                waiter.reroutes += 1;
            }
        }
        if self.waiters.contains_key(&key) {
            self.mark_due(key, Due::Now);
        }
        self.set_timer(now, key);
    }
}
