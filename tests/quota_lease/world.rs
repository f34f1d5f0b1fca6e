//! Simulation of limiters and allocators in virtual time, on a network that loses, delays and
//! duplicates messages. The leases that allocators hold from their fleet follow the rule of
//! `mossrill::membership::parts`: an allocator's accounts are not reassigned while it holds its lease,
//! and its lease is not renewed while another allocator may still treat its accounts as reassigned.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use mossrill::decision::Micros;
use mossrill::quota_lease::allocator::{Allocator, AllocatorSettings, Ownership};
use mossrill::quota_lease::holder::{
    Answer, Holder, HolderSettings, Outcome, Receipt, TakeResult, WaiterId,
};
use mossrill::quota_lease::message::{AccountKey, Grant, PlanLimits, Report, Verdict};
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::ledger::UnitSeries;

pub const SECOND: Micros = 1_000_000;
pub const LIMITERS: usize = 4;
pub const ALLOCATORS: usize = 3;
/// Duration of the lease that an allocator holds from its fleet.
const FLEET_LEASE: Micros = 4 * SECOND;
/// Interval at which the fleet renews leases and the allocators learn of reassignments.
const FLEET_PERIOD: Micros = SECOND / 4;

/// Plans of the accounts, by account number: one with a very high rate, one with a medium rate and two
/// with low rates.
pub const PLANS: [PlanLimits; 4] = [
    PlanLimits {
        rate: 200_000,
        burst: 300_000,
    },
    PlanLimits {
        rate: 5_000,
        burst: 10_000,
    },
    PlanLimits {
        rate: 200,
        burst: 2_000,
    },
    PlanLimits {
        rate: 50,
        burst: 1_000,
    },
];

pub fn key(account: usize) -> AccountKey {
    AccountKey::of(&format!("account {account}"))
}

/// Faults and delays of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    /// Maximum delay of a message.
    pub max_delay: Micros,
}

impl Network {
    pub const RELIABLE: Self = Self {
        loss_percent: 0,
        duplicate_percent: 0,
        max_delay: 2_000,
    };
}

/// An encoded message with the number of the allocator or limiter that receives it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Packet {
    ToAllocator(usize, Vec<u8>),
    ToLimiter(usize, Vec<u8>),
}

struct AllocatorNode {
    allocator: Allocator,
    incarnation: u64,
    /// Until then the allocator receives neither renewals nor reassignments from its fleet.
    isolated_until: Micros,
    /// End of the lease that the allocator holds from its fleet.
    lease_ends: Micros,
    /// Until then another allocator may treat this allocator's accounts as reassigned.
    reassigned_until: Micros,
}

/// A request that waits for its units.
struct WaitingRequest {
    account: usize,
    units: u64,
    /// Latest time at which the request must be answered.
    answer_deadline: Micros,
}

struct LimiterNode {
    holder: Holder,
    incarnation: u64,
    paused_until: Micros,
    waiting: BTreeMap<WaiterId, WaitingRequest>,
}

/// Units of one account that were granted, used and reported, in thousandths.
#[derive(Clone, Debug, Default)]
pub struct AccountLedger {
    /// Units granted, less those returned to the incarnation that granted them.
    pub granted: UnitSeries,
    /// Units used from leases.
    pub leased: UnitSeries,
    /// Units used from the fallback share, by limiter.
    pub fallback: [UnitSeries; LIMITERS],
    /// Use of the fallback share in reports that allocators have processed.
    pub reported_fallback: u64,
}

/// Identifies a report, which may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ReportId {
    limiter: usize,
    incarnation: u64,
    allocator: usize,
    sequence: u64,
}

impl ReportId {
    fn of(report: &Report, allocator: usize) -> Self {
        let Report {
            limiter,
            incarnation,
            sequence,
            ..
        } = *report;
        Self {
            limiter: limiter as usize,
            incarnation,
            allocator,
            sequence,
        }
    }
}

/// A report, and the incarnation of the allocator that processed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ProcessedBy(ReportId, u64);

/// The answer to a report, and the accounts of its entries.
struct ProcessedReport {
    grant: Grant,
    accounts: Vec<usize>,
}

/// Thousandths of a unit of one account that a limiter was granted, used and returned.
#[derive(Clone, Copy, Debug, Default)]
struct UnitTotals {
    granted: u64,
    used: u64,
    returned: u64,
}

/// Units that a request took.
struct TakenUnits {
    account: usize,
    limiter: usize,
    /// Units from leases, and their index in [`AccountLedger::leased`].
    leased: Option<(u64, usize)>,
}

pub struct World {
    pub now: Micros,
    pub network: Network,
    pub ledgers: Vec<AccountLedger>,
    /// Unit totals of the current process of each limiter, by account.
    unit_totals: Vec<[UnitTotals; PLANS.len()]>,
    /// Number of requests that took their units.
    pub taken: u64,
    /// Number of requests that were denied.
    pub denied: u64,
    holder_settings: HolderSettings,
    allocator_settings: AllocatorSettings,
    random: StdRng,
    allocators: Vec<AllocatorNode>,
    limiters: Vec<LimiterNode>,
    /// Messages in transit, by time of arrival.
    packets_in_transit: BinaryHeap<Reverse<(Micros, u64, Packet)>>,
    /// Number of messages put in transit so far; orders those that arrive at the same time.
    packet_count: u64,
    /// By limiter and allocator: time until which all messages between them are lost.
    messages_dropped_until: [[Micros; ALLOCATORS]; LIMITERS],
    next_renewal: Micros,
    /// Reports that were processed, with their answers.
    processed: HashMap<ProcessedBy, ProcessedReport>,
    /// Reports of which the returned units are counted already.
    reports_sent: HashSet<ReportId>,
    /// Units that requests took and that can still be put back.
    receipts: Vec<(TakenUnits, Receipt)>,
}

impl World {
    pub fn new(seed: u64, network: Network, holder_settings: HolderSettings) -> Self {
        let allocator_settings = AllocatorSettings {
            limiters: LIMITERS as u32,
            lease: holder_settings.lease,
            ..AllocatorSettings::default()
        };
        let holder_settings = HolderSettings {
            allocators: ALLOCATORS as u32,
            ..holder_settings
        };
        let now = SECOND;
        let mut world = Self {
            now,
            network,
            ledgers: vec![AccountLedger::default(); PLANS.len()],
            unit_totals: vec![Default::default(); LIMITERS],
            taken: 0,
            denied: 0,
            holder_settings,
            allocator_settings,
            random: StdRng::seed_from_u64(seed),
            allocators: Vec::new(),
            limiters: Vec::new(),
            packets_in_transit: BinaryHeap::new(),
            packet_count: 0,
            messages_dropped_until: Default::default(),
            next_renewal: now,
            processed: HashMap::new(),
            reports_sent: HashSet::new(),
            receipts: Vec::new(),
        };
        for number in 0..ALLOCATORS {
            let allocator = world.new_allocator(number, 1);
            let node = AllocatorNode {
                allocator,
                incarnation: 1,
                isolated_until: 0,
                lease_ends: 0,
                reassigned_until: 0,
            };
            world.allocators.push(node);
        }
        for number in 0..LIMITERS {
            let holder = world.new_holder(number, 1);
            let waiting = BTreeMap::new();
            world.limiters.push(LimiterNode {
                holder,
                incarnation: 1,
                paused_until: 0,
                waiting,
            });
        }
        world
    }

    fn new_allocator(&self, number: usize, incarnation: u64) -> Allocator {
        Allocator::new(
            number as u32,
            ALLOCATORS as u32,
            incarnation,
            self.allocator_settings,
        )
    }

    fn new_holder(&self, number: usize, incarnation: u64) -> Holder {
        let settings = HolderSettings {
            limiter: number as u32,
            incarnation,
            ..self.holder_settings
        };
        Holder::new(self.now, settings)
    }

    // Fault injection.

    pub fn restart_allocator(&mut self, number: usize) {
        let incarnation = self.allocators[number].incarnation + 1;
        let allocator = self.new_allocator(number, incarnation);
        let node = &mut self.allocators[number];
        (node.allocator, node.incarnation) = (allocator, incarnation);
    }

    /// Replaces the limiter's process by a new one, which holds no leases.
    pub fn restart_limiter(&mut self, number: usize) {
        let incarnation = self.limiters[number].incarnation + 1;
        let holder = self.new_holder(number, incarnation);
        let waiting = BTreeMap::new();
        self.limiters[number] = LimiterNode {
            holder,
            incarnation,
            paused_until: 0,
            waiting,
        };
        self.unit_totals[number] = Default::default();
        self.receipts
            .retain(|(taken_units, _)| taken_units.limiter != number);
    }

    /// Pauses the limiter's process for `span`, and extends the deadlines of its waiting requests.
    pub fn pause_limiter(&mut self, number: usize, span: Micros) {
        let node = &mut self.limiters[number];
        let end = node.paused_until.max(self.now) + span;
        let extension = end - node.paused_until.max(self.now);
        node.paused_until = end;
        node.waiting
            .values_mut()
            .for_each(|waiting| waiting.answer_deadline += extension);
    }

    /// Cuts an allocator off from the fleet of allocators for `span`.
    pub fn isolate_allocator(&mut self, number: usize, span: Micros) {
        self.allocators[number].isolated_until = self.now + span;
    }

    /// Loses all messages between a limiter and an allocator for `span`.
    pub fn drop_messages(&mut self, limiter: usize, allocator: usize, span: Micros) {
        self.messages_dropped_until[limiter][allocator] = self.now + span;
    }

    /// Notifies the limiter that its connection to the allocator is lost.
    pub fn break_connection(&mut self, limiter: usize, allocator: usize) {
        if self.now >= self.limiters[limiter].paused_until {
            let answers = self.limiters[limiter]
                .holder
                .on_connection_lost(self.now, allocator as u32);
            self.handle_answers(limiter, answers);
        }
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.network = Network::RELIABLE;
        self.messages_dropped_until = Default::default();
        self.allocators
            .iter_mut()
            .for_each(|node| node.isolated_until = 0);
        self.limiters
            .iter_mut()
            .for_each(|node| node.paused_until = 0);
    }

    // Requests.

    /// Returns the maximum time that a request may wait for its answer under any faults.
    pub fn max_wait(&self) -> Micros {
        let settings = &self.holder_settings;
        3 * (2 * settings.unavailable_after + settings.min_report_spacing)
    }

    /// Sends a request to a limiter, unless the limiter is paused.
    pub fn request(&mut self, limiter: usize, account: usize, units: u64) {
        let now = self.now;
        let answer_deadline = now + self.max_wait();
        let node = &mut self.limiters[limiter];
        if now < node.paused_until {
            return;
        }
        match node
            .holder
            .take(now, key(account), PLANS[account], LIMITERS as u32, units)
        {
            TakeResult::Taken(receipt) => self.record_taken(limiter, account, receipt),
            TakeResult::Denied { .. } => self.denied += 1,
            TakeResult::Waiting(waiter_id) => {
                node.waiting.insert(
                    waiter_id,
                    WaitingRequest {
                        account,
                        units,
                        answer_deadline,
                    },
                );
            }
        }
    }

    /// Puts back the units of the latest request at a limiter that is not paused.
    pub fn put_back(&mut self) {
        let is_paused =
            |taken_units: &TakenUnits| self.now < self.limiters[taken_units.limiter].paused_until;
        let Some(index) = self
            .receipts
            .iter()
            .rposition(|(taken_units, _)| !is_paused(taken_units))
        else {
            return;
        };
        let (taken_units, receipt) = self.receipts.remove(index);
        // Use of the fallback share stays counted: it may have been reported already.
        if let Some((units, index)) = taken_units.leased {
            self.ledgers[taken_units.account].leased.cancel(index);
            self.unit_totals[taken_units.limiter][taken_units.account].used -= units;
        }
        self.limiters[taken_units.limiter]
            .holder
            .put_back(self.now, receipt);
    }

    fn record_taken(&mut self, limiter: usize, account: usize, receipt: Receipt) {
        assert_eq!(receipt.account(), key(account));
        self.taken += 1;
        let (leased, fallback) = (receipt.leased(), receipt.fallback());
        let ledger = &mut self.ledgers[account];
        if fallback > 0 {
            ledger.fallback[limiter].add(self.now, fallback as i64);
        }
        self.unit_totals[limiter][account].used += leased;
        let leased = (leased > 0).then(|| (leased, ledger.leased.add(self.now, leased as i64)));
        self.receipts.push((
            TakenUnits {
                account,
                limiter,
                leased,
            },
            receipt,
        ));
    }

    fn handle_answers(&mut self, limiter: usize, answers: Vec<Answer>) {
        for Answer { waiter_id, outcome } in answers {
            let waiting = self.limiters[limiter]
                .waiting
                .remove(&waiter_id)
                .expect("an answer should have the id of a waiting request");
            match outcome {
                Outcome::Denied { .. } => self.denied += 1,
                Outcome::Taken(receipt) => {
                    assert_eq!(receipt.leased() + receipt.fallback(), waiting.units);
                    self.record_taken(limiter, waiting.account, receipt);
                }
            }
        }
    }

    // Time.

    /// Advances the virtual time by `span` and handles the events that are due.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(next) = self.next_event().filter(|next| *next <= end) {
            assert!(next >= self.now);
            self.now = next;
            self.step();
        }
        self.now = end;
    }

    fn next_event(&self) -> Option<Micros> {
        let packet = self
            .packets_in_transit
            .peek()
            .map(|Reverse((at, _, _))| *at);
        let limiters = self
            .limiters
            .iter()
            .map(|node| node.holder.next_wake().max(node.paused_until));
        let next = limiters.chain(packet).chain([self.next_renewal]).min();
        next.map(|next| next.max(self.now))
    }

    fn step(&mut self) {
        if self.now >= self.next_renewal {
            self.next_renewal = self.now + FLEET_PERIOD;
            self.renew_leases();
        }
        while let Some(Reverse((_, _, packet))) = self
            .packets_in_transit
            .peek()
            .cloned()
            .filter(|Reverse((at, _, _))| *at <= self.now)
        {
            self.packets_in_transit.pop();
            match packet {
                Packet::ToAllocator(number, bytes) => self.deliver_report(number, &bytes),
                Packet::ToLimiter(number, bytes) => self.deliver_grant(number, bytes),
            }
        }
        for number in 0..LIMITERS {
            let node = &mut self.limiters[number];
            if self.now < node.paused_until || self.now < node.holder.next_wake() {
                continue;
            }
            let poll = node.holder.poll(self.now);
            let next = node.holder.next_wake();
            assert!(
                next > self.now,
                "limiter {number}: next wake {next} should be after the poll at {}",
                self.now
            );
            self.handle_answers(number, poll.answers);
            for (allocator, report) in poll.reports {
                self.count_returned(number, allocator as usize, &report);
                self.send(
                    Packet::ToAllocator(allocator as usize, report.encode_to_vec()),
                    number,
                    allocator as usize,
                );
            }
            self.check_deadlines(number);
        }
    }

    fn check_deadlines(&self, limiter: usize) {
        for waiting in self.limiters[limiter].waiting.values() {
            assert!(
                self.now <= waiting.answer_deadline,
                "a request of account {} was not answered by its deadline",
                waiting.account
            );
        }
    }

    // Fleet of allocators.

    fn renew_leases(&mut self) {
        let now = self.now;
        for node in &mut self.allocators {
            if now >= node.isolated_until && now >= node.reassigned_until {
                node.lease_ends = now + FLEET_LEASE;
            }
        }
        // The accounts of an allocator whose lease has expired may be reassigned. Allocators learn of
        // it at different times, or not at all.
        for number in 0..ALLOCATORS {
            if now < self.allocators[number].isolated_until || self.random.random_ratio(1, 4) {
                continue;
            }
            let mut reassigned = 0;
            for other in 0..ALLOCATORS {
                let node = &mut self.allocators[other];
                let is_expired = now < node.isolated_until && now >= node.lease_ends;
                if other != number && is_expired && self.random.random_ratio(3, 4) {
                    reassigned |= 1 << other;
                    node.reassigned_until = now + FLEET_LEASE;
                }
            }
            let node = &mut self.allocators[number];
            let ownership = Ownership {
                reassigned,
                reassigned_until: now + FLEET_LEASE,
                lease_ends: node.lease_ends,
            };
            node.allocator.set_ownership(now, ownership);
        }
    }

    // Messages.

    fn send(&mut self, packet: Packet, limiter: usize, allocator: usize) {
        let copies = 1 + u32::from(
            self.random
                .random_ratio(self.network.duplicate_percent, 100),
        );
        for _ in 0..copies {
            let lost = self.random.random_ratio(self.network.loss_percent, 100);
            let delay = self.random.random_range(100..=self.network.max_delay);
            if !lost && self.now >= self.messages_dropped_until[limiter][allocator] {
                self.packet_count += 1;
                self.packets_in_transit.push(Reverse((
                    self.now + delay,
                    self.packet_count,
                    packet.clone(),
                )));
            }
        }
    }

    fn deliver_report(&mut self, number: usize, bytes: &[u8]) {
        let report = Report::read(bytes).unwrap();
        let node = &mut self.allocators[number];
        let Ok(grant) = node.allocator.on_report(self.now, &report) else {
            return;
        };
        let id = ProcessedBy(ReportId::of(&report, number), node.incarnation);
        match self.processed.get(&id) {
            Some(before) => assert_eq!(
                before.grant, grant,
                "a repeated report should get the same answer"
            ),
            None => {
                self.record_exchange(number, &report, &grant);
                let accounts = report
                    .entries()
                    .map(|entry| account_of(entry.account))
                    .collect();
                self.processed.insert(
                    id,
                    ProcessedReport {
                        grant: grant.clone(),
                        accounts,
                    },
                );
            }
        }
        self.send(
            Packet::ToLimiter(report.limiter as usize, grant.encode_to_vec()),
            report.limiter as usize,
            number,
        );
    }

    fn record_exchange(&mut self, allocator: usize, report: &Report, grant: &Grant) {
        let is_addressed = report.addressed_to == self.allocators[allocator].incarnation;
        for (requested, granted) in report.entries().zip(grant.entries()) {
            if granted.verdict == Verdict::NotOwner {
                assert_eq!(granted.units, 0);
                continue;
            }
            let ledger = &mut self.ledgers[account_of(requested.account)];
            if is_addressed && requested.returned > 0 {
                ledger.granted.add(self.now, -(requested.returned as i64));
            }
            ledger.granted.add(self.now, granted.units as i64);
            ledger.reported_fallback += requested.fallback_used;
        }
    }

    fn deliver_grant(&mut self, number: usize, bytes: Vec<u8>) {
        let node = &mut self.limiters[number];
        if self.now < node.paused_until {
            // The process reads the message when it resumes.
            self.packet_count += 1;
            let at = node.paused_until;
            self.packets_in_transit.push(Reverse((
                at,
                self.packet_count,
                Packet::ToLimiter(number, bytes),
            )));
            return;
        }
        let grant = Grant::read(&bytes).unwrap();
        let before = node.holder.metrics().granted;
        let Ok(answers) = node.holder.on_grant(self.now, &grant) else {
            return;
        };
        let accepted = node.holder.metrics().granted - before;
        // The holder drops units for an account that it has evicted since the report.
        assert!(accepted <= grant.entries().map(|entry| entry.units).sum::<u64>());
        self.count_granted(number, &grant);
        self.handle_answers(number, answers);
    }

    fn count_granted(&mut self, limiter: usize, grant: &Grant) {
        let incarnation = self.limiters[limiter].incarnation;
        let Grant {
            allocator,
            sequence,
            ..
        } = *grant;
        let report = ReportId {
            limiter,
            incarnation,
            allocator: allocator as usize,
            sequence,
        };
        let processed = &self.processed[&ProcessedBy(report, grant.incarnation)];
        for (account, granted) in processed.accounts.iter().zip(grant.entries()) {
            self.unit_totals[limiter][*account].granted += granted.units;
        }
    }

    /// Checks that a limiter process uses and returns no more units than it was granted. A report that
    /// is sent again is counted once.
    fn count_returned(&mut self, limiter: usize, allocator: usize, report: &Report) {
        if !self.reports_sent.insert(ReportId::of(report, allocator)) {
            return;
        }
        for entry in report.entries() {
            let account = account_of(entry.account);
            let totals = &mut self.unit_totals[limiter][account];
            totals.returned += entry.returned;
            assert!(
                totals.used + totals.returned <= totals.granted,
                "account {account}: used and returned more units than granted: {totals:?}"
            );
        }
    }
}

fn account_of(wanted: AccountKey) -> usize {
    (0..PLANS.len())
        .find(|account| key(*account) == wanted)
        .unwrap()
}
