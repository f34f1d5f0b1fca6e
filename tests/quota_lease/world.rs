//! Limiters and allocators on a network of hand-made time that loses, delays and doubles messages, and a fleet of allocators
//! whose leases obey the rule of `mossrill::membership::parts`: nobody is given away while it holds its lease, and nobody's lease is
//! renewed while somebody may still count it as given away.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use mossrill::decision::Micros;
use mossrill::quota_lease::allocator::{Allocator, AllocatorSettings, Ownership};
use mossrill::quota_lease::holder::{
    Answer, Holder, HolderSettings, Outcome, Receipt, TakeResult, Ticket,
};
use mossrill::quota_lease::message::{AccountKey, Grant, PlanLimits, Report, Verdict};
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::ledger::Flow;

pub const SECOND: Micros = 1_000_000;
pub const LIMITERS: usize = 4;
pub const ALLOCATORS: usize = 3;
/// How long a lease of the allocators' fleet lasts, and how often it is renewed.
const FLEET_LEASE: Micros = 4 * SECOND;
const FLEET_PERIOD: Micros = SECOND / 4;

/// An account that a giant has, one in the middle, and two that are thin.
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

/// How bad the network is.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub lost_percent: u32,
    pub doubled_percent: u32,
    pub longest_delay: Micros,
}

impl Network {
    pub const CALM: Self = Self {
        lost_percent: 0,
        doubled_percent: 0,
        longest_delay: 2_000,
    };
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Parcel {
    ToAllocator(usize, Vec<u8>),
    ToLimiter(usize, Vec<u8>),
}

struct AllocatorNode {
    allocator: Allocator,
    incarnation: u64,
    /// Neither renewed nor told anything by its fleet.
    isolated_until: Micros,
    /// The last lease of its fleet that it was told of.
    held_until: Micros,
    /// Somebody may count it as given away until then.
    given_until: Micros,
}

/// A request that waits for units.
struct Waiting {
    account: usize,
    units: u64,
    answered_by: Micros,
}

struct LimiterNode {
    holder: Holder,
    incarnation: u64,
    paused_until: Micros,
    waiting: BTreeMap<Ticket, Waiting>,
}

/// What happened to one account.
#[derive(Clone, Debug, Default)]
pub struct AccountLedger {
    /// Granted, less what the incarnation that granted it was told is returned.
    pub granted: Flow,
    /// Used out of leases.
    pub leased: Flow,
    /// Used out of fallback parts, by limiter.
    pub beyond: [Flow; LIMITERS],
    /// Use beyond that an allocator has taken note of.
    pub reported: u64,
}

/// A report, sent once or more often.
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

/// A report, and the incarnation of the allocator that carried it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CarriedOutBy(ReportId, u64);

/// The answer to a report, and the accounts that it is about.
struct CarriedOut {
    grant: Grant,
    accounts: Vec<usize>,
}

/// Units that a limiter was granted, and what it did with them.
#[derive(Clone, Copy, Debug, Default)]
struct Book {
    granted: u64,
    used: u64,
    returned: u64,
}

/// What a request took.
struct Use {
    account: usize,
    limiter: usize,
    /// Units out of leases, and their place in the ledger.
    leased: Option<(u64, usize)>,
}

pub struct World {
    pub now: Micros,
    pub network: Network,
    pub ledgers: Vec<AccountLedger>,
    /// Of the present process of each limiter, by account.
    books: Vec<[Book; PLANS.len()]>,
    pub taken: u64,
    pub denied: u64,
    holder_settings: HolderSettings,
    allocator_settings: AllocatorSettings,
    random: StdRng,
    allocators: Vec<AllocatorNode>,
    limiters: Vec<LimiterNode>,
    parcels: BinaryHeap<Reverse<(Micros, u64, Parcel)>>,
    parcel_number: u64,
    cut_until: [[Micros; ALLOCATORS]; LIMITERS],
    next_fleet: Micros,
    carried_out: HashMap<CarriedOutBy, CarriedOut>,
    reports_seen: HashSet<ReportId>,
    receipts: Vec<(Use, Receipt)>,
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
            books: vec![Default::default(); LIMITERS],
            taken: 0,
            denied: 0,
            holder_settings,
            allocator_settings,
            random: StdRng::seed_from_u64(seed),
            allocators: Vec::new(),
            limiters: Vec::new(),
            parcels: BinaryHeap::new(),
            parcel_number: 0,
            cut_until: Default::default(),
            next_fleet: now,
            carried_out: HashMap::new(),
            reports_seen: HashSet::new(),
            receipts: Vec::new(),
        };
        for number in 0..ALLOCATORS {
            let allocator = world.new_allocator(number, 1);
            let node = AllocatorNode {
                allocator,
                incarnation: 1,
                isolated_until: 0,
                held_until: 0,
                given_until: 0,
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

    // Faults.

    pub fn restart_allocator(&mut self, number: usize) {
        let incarnation = self.allocators[number].incarnation + 1;
        let allocator = self.new_allocator(number, incarnation);
        let node = &mut self.allocators[number];
        (node.allocator, node.incarnation) = (allocator, incarnation);
    }

    /// The limiter's process is gone with all that it held; another one begins.
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
        self.books[number] = Default::default();
        self.receipts.retain(|(what, _)| what.limiter != number);
    }

    pub fn pause_limiter(&mut self, number: usize, span: Micros) {
        let node = &mut self.limiters[number];
        let end = node.paused_until.max(self.now) + span;
        let longer = end - node.paused_until.max(self.now);
        node.paused_until = end;
        node.waiting
            .values_mut()
            .for_each(|waiting| waiting.answered_by += longer);
    }

    /// An allocator's fleet does not reach it.
    pub fn isolate_allocator(&mut self, number: usize, span: Micros) {
        self.allocators[number].isolated_until = self.now + span;
    }

    pub fn cut(&mut self, limiter: usize, allocator: usize, span: Micros) {
        self.cut_until[limiter][allocator] = self.now + span;
    }

    /// The limiter notices that its connection broke.
    pub fn break_connection(&mut self, limiter: usize, allocator: usize) {
        if self.now >= self.limiters[limiter].paused_until {
            let answers = self.limiters[limiter]
                .holder
                .on_connection_lost(self.now, allocator as u32);
            self.take_answers(limiter, answers);
        }
    }

    pub fn heal(&mut self) {
        self.network = Network::CALM;
        self.cut_until = Default::default();
        self.allocators
            .iter_mut()
            .for_each(|node| node.isolated_until = 0);
        self.limiters
            .iter_mut()
            .for_each(|node| node.paused_until = 0);
    }

    // Requests.

    /// How long a request may wait for its answer, whatever happens.
    pub fn longest_wait(&self) -> Micros {
        let settings = &self.holder_settings;
        3 * (2 * settings.unavailable_after + settings.min_report_spacing)
    }

    pub fn request(&mut self, limiter: usize, account: usize, units: u64) {
        let now = self.now;
        let answered_by = now + self.longest_wait();
        let node = &mut self.limiters[limiter];
        if now < node.paused_until {
            return;
        }
        match node
            .holder
            .take(now, key(account), PLANS[account], LIMITERS as u32, units)
        {
            TakeResult::Taken(receipt) => self.used(limiter, account, receipt),
            TakeResult::Denied { .. } => self.denied += 1,
            TakeResult::Waiting(ticket) => {
                node.waiting.insert(
                    ticket,
                    Waiting {
                        account,
                        units,
                        answered_by,
                    },
                );
            }
        }
    }

    /// The last request of those that still run ends without having used its units.
    pub fn put_back(&mut self) {
        let paused = |what: &Use| self.now < self.limiters[what.limiter].paused_until;
        let Some(place) = self.receipts.iter().rposition(|(what, _)| !paused(what)) else {
            return;
        };
        let (what, receipt) = self.receipts.remove(place);
        // What went beyond stays counted: it may have been reported.
        if let Some((units, place)) = what.leased {
            self.ledgers[what.account].leased.cancel(place);
            self.books[what.limiter][what.account].used -= units;
        }
        self.limiters[what.limiter]
            .holder
            .put_back(self.now, receipt);
    }

    fn used(&mut self, limiter: usize, account: usize, receipt: Receipt) {
        assert_eq!(receipt.account(), key(account));
        self.taken += 1;
        let (leased, beyond) = (receipt.leased(), receipt.fallback());
        let ledger = &mut self.ledgers[account];
        if beyond > 0 {
            ledger.beyond[limiter].add(self.now, beyond as i64);
        }
        self.books[limiter][account].used += leased;
        let leased = (leased > 0).then(|| (leased, ledger.leased.add(self.now, leased as i64)));
        self.receipts.push((
            Use {
                account,
                limiter,
                leased,
            },
            receipt,
        ));
    }

    fn take_answers(&mut self, limiter: usize, answers: Vec<Answer>) {
        for Answer { ticket, outcome } in answers {
            let waiting = self.limiters[limiter]
                .waiting
                .remove(&ticket)
                .expect("a ticket that waits");
            match outcome {
                Outcome::Denied { .. } => self.denied += 1,
                Outcome::Taken(receipt) => {
                    assert_eq!(receipt.leased() + receipt.fallback(), waiting.units);
                    self.used(limiter, waiting.account, receipt);
                }
            }
        }
    }

    // Time.

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
        let parcel = self.parcels.peek().map(|Reverse((at, _, _))| *at);
        let limiters = self
            .limiters
            .iter()
            .map(|node| node.holder.next_wake().max(node.paused_until));
        let next = limiters.chain(parcel).chain([self.next_fleet]).min();
        next.map(|next| next.max(self.now))
    }

    fn step(&mut self) {
        if self.now >= self.next_fleet {
            self.next_fleet = self.now + FLEET_PERIOD;
            self.renew_leases();
        }
        while let Some(Reverse((_, _, parcel))) = self
            .parcels
            .peek()
            .cloned()
            .filter(|Reverse((at, _, _))| *at <= self.now)
        {
            self.parcels.pop();
            match parcel {
                Parcel::ToAllocator(number, bytes) => self.deliver_report(number, &bytes),
                Parcel::ToLimiter(number, bytes) => self.deliver_grant(number, bytes),
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
                "limiter {number} wants to be polled again at once"
            );
            self.take_answers(number, poll.answers);
            for (allocator, report) in poll.reports {
                self.count_returns(number, allocator as usize, &report);
                self.post(
                    Parcel::ToAllocator(allocator as usize, report.encode_to_vec()),
                    number,
                    allocator as usize,
                );
            }
            self.check_waiting(number);
        }
    }

    fn check_waiting(&self, limiter: usize) {
        for waiting in self.limiters[limiter].waiting.values() {
            assert!(
                self.now <= waiting.answered_by,
                "a request of account {} waits for too long",
                waiting.account
            );
        }
    }

    // The allocators' fleet.

    fn renew_leases(&mut self) {
        let now = self.now;
        for node in &mut self.allocators {
            if now >= node.isolated_until && now >= node.given_until {
                node.held_until = now + FLEET_LEASE;
            }
        }
        // Whose lease ran out may be given away; not everybody hears of it, or at the same time.
        for number in 0..ALLOCATORS {
            if now < self.allocators[number].isolated_until || self.random.random_ratio(1, 4) {
                continue;
            }
            let mut given_away = 0;
            for other in 0..ALLOCATORS {
                let node = &mut self.allocators[other];
                let gone = now < node.isolated_until && now >= node.held_until;
                if other != number && gone && self.random.random_ratio(3, 4) {
                    given_away |= 1 << other;
                    node.given_until = now + FLEET_LEASE;
                }
            }
            let node = &mut self.allocators[number];
            let ownership = Ownership {
                reassigned: given_away,
                reassigned_until: now + FLEET_LEASE,
                lease_ends: node.held_until,
            };
            node.allocator.set_ownership(now, ownership);
        }
    }

    // Messages.

    fn post(&mut self, parcel: Parcel, limiter: usize, allocator: usize) {
        let copies = 1 + u32::from(self.random.random_ratio(self.network.doubled_percent, 100));
        for _ in 0..copies {
            let lost = self.random.random_ratio(self.network.lost_percent, 100);
            let delay = self.random.random_range(100..=self.network.longest_delay);
            if !lost && self.now >= self.cut_until[limiter][allocator] {
                self.parcel_number += 1;
                self.parcels.push(Reverse((
                    self.now + delay,
                    self.parcel_number,
                    parcel.clone(),
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
        let id = CarriedOutBy(ReportId::of(&report, number), node.incarnation);
        match self.carried_out.get(&id) {
            Some(before) => assert_eq!(
                before.grant, grant,
                "a repeated report is answered as before"
            ),
            None => {
                self.record(number, &report, &grant);
                let accounts = report
                    .entries()
                    .map(|entry| account_of(entry.account))
                    .collect();
                self.carried_out.insert(
                    id,
                    CarriedOut {
                        grant: grant.clone(),
                        accounts,
                    },
                );
            }
        }
        self.post(
            Parcel::ToLimiter(report.limiter as usize, grant.encode_to_vec()),
            report.limiter as usize,
            number,
        );
    }

    fn record(&mut self, allocator: usize, report: &Report, grant: &Grant) {
        let own = report.addressed_to == self.allocators[allocator].incarnation;
        for (asked, given) in report.entries().zip(grant.entries()) {
            if given.verdict == Verdict::NotOwner {
                assert_eq!(given.units, 0);
                continue;
            }
            let ledger = &mut self.ledgers[account_of(asked.account)];
            if own && asked.returned > 0 {
                ledger.granted.add(self.now, -(asked.returned as i64));
            }
            ledger.granted.add(self.now, given.units as i64);
            ledger.reported += asked.fallback_used;
        }
    }

    fn deliver_grant(&mut self, number: usize, bytes: Vec<u8>) {
        let node = &mut self.limiters[number];
        if self.now < node.paused_until {
            // It is read when the process goes on.
            self.parcel_number += 1;
            let at = node.paused_until;
            self.parcels.push(Reverse((
                at,
                self.parcel_number,
                Parcel::ToLimiter(number, bytes),
            )));
            return;
        }
        let grant = Grant::read(&bytes).unwrap();
        let before = node.holder.figures().granted;
        let Ok(answers) = node.holder.on_grant(self.now, &grant) else {
            return;
        };
        let accepted = node.holder.figures().granted - before;
        // An account that was forgotten meanwhile takes none.
        assert!(accepted <= grant.entries().map(|entry| entry.units).sum::<u64>());
        self.count_received(number, &grant);
        self.take_answers(number, answers);
    }

    fn count_received(&mut self, limiter: usize, grant: &Grant) {
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
        let carried_out = &self.carried_out[&CarriedOutBy(report, grant.incarnation)];
        for (account, given) in carried_out.accounts.iter().zip(grant.entries()) {
            self.books[limiter][*account].granted += given.units;
        }
    }

    /// Each process of a limiter uses and returns no more than it was granted, whatever it sends twice.
    fn count_returns(&mut self, limiter: usize, allocator: usize, report: &Report) {
        if !self.reports_seen.insert(ReportId::of(report, allocator)) {
            return;
        }
        for entry in report.entries() {
            let account = account_of(entry.account);
            let book = &mut self.books[limiter][account];
            book.returned += entry.returned;
            assert!(
                book.used + book.returned <= book.granted,
                "account {account}: units out of nothing"
            );
        }
    }
}

fn account_of(wanted: AccountKey) -> usize {
    (0..PLANS.len())
        .find(|account| key(*account) == wanted)
        .unwrap()
}
