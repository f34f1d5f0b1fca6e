//! One limiter's view of the fleet: a state machine without input, output or clock. Datagrams and the time come in,
//! datagrams and changes go out; the same seed gives the same run. The design is in `docs/fleet.md`.
//!
//! It is SWIM: each member asks one other after another in a shuffled round, has a few others ask for it where no
//! answer comes, and tells what it learns along with what it sends anyway. A member that is told of as suspect, or
//! dead, says that it lives under a higher incarnation. Beyond that, a suspicion shortens as others confirm it, a
//! member that others vouch for doubts its own health and slows down, and what space is left in a datagram goes to
//! the rest of the view, in turn.

use super::datagram::{Datagram, Fault, News, State, Word, LONGEST};
use super::parts::{self, Standing};
use super::released::{Encoding, ReleasedPart, SaidPart};
use crate::interface::Micros;
use std::net::SocketAddrV4;

/// Others that are asked to ask for one who does not answer.
const HELPERS: usize = 3;
/// Further accusers that bring a suspicion down to its shortest time.
const ACCUSERS: usize = 3;
/// Living members that are told of what is new, twice in each period.
const FANOUT: usize = 2;
/// An answer is waited for so long, in periods, before others are asked.
const ANSWER: f64 = 0.4;
/// A suspicion lasts so many periods at the least, for each power of ten of the fleet, and so many times that at
/// the most.
const SUSPICION: f64 = 2.0;
const SUSPICION_MOST: f64 = 3.0;
/// Of one's own questions so many may stay unanswered before one doubts oneself: with 6% of the datagrams lost, 12%
/// of the questions and answers are.
const USUAL_LOSS: f64 = 0.15;
/// How far doubt slows a member down, at the most.
const DOUBT: f64 = 8.0;
const DOUBT_GAIN: f64 = 0.1;
/// Parts of the set of released leases that follow an answer at once, so that all of the set of a fleet of three
/// windows is as young as the answer.
const PARTS_AFTER_ACK: usize = 2;
/// Send times kept for each peer.
const SENT: usize = 4;
/// Questions asked for others that are remembered.
const MOST_ASKED: usize = 32;
/// A peer is told of a change so many times for each power of ten of the fleet.
const RETOLD: f64 = 4.0;

/// What a view is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Own number.
    pub me: u32,
    /// Limiters that are configured.
    pub size: u32,
    /// How the set of released leases is carried.
    pub encoding: Encoding,
    /// The fleet's name.
    pub fleet: String,
    /// Where this one is reached.
    pub address: SocketAddrV4,
    /// Version of the program.
    pub version: u32,
    /// Where others are reached, by number. These addresses stand whatever is told.
    pub seeds: Vec<(u32, SocketAddrV4)>,
    /// Time in µs in which one other is asked.
    pub period: Micros,
    /// Datagrams sent a second at the most.
    pub out_per_s: u32,
    /// Datagrams taken in a second at the most.
    pub in_per_s: u32,
    /// Time in µs after which a dead member is no longer told of.
    pub forget: Micros,
    /// Share of its part that a limiter keeps whatever happens, from 0 to 1.
    pub kept: f64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Send this.
    Send(SocketAddrV4, Datagram),
    /// The state of a member has changed.
    Changed(Change),
}

/// A change of state.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Whose.
    pub who: u32,
    /// Before.
    pub before: State,
    /// Now.
    pub state: State,
    /// Of which incarnation.
    pub incarnation: u64,
    /// Who said so first.
    pub by: u32,
}

/// A member as operators are shown it.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Its number.
    pub who: u32,
    /// Where it is reached, if that is known.
    pub address: Option<SocketAddrV4>,
    /// Its state.
    pub state: State,
    /// Since when, on the view's clock.
    pub since: Micros,
    /// Its incarnation.
    pub incarnation: u64,
    /// Version of its program.
    pub version: u32,
    /// Who said so first.
    pub by: u32,
    /// When it was last heard of itself, proven to be fresh.
    pub heard: Option<Micros>,
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Datagrams not sent, as too many had been in that second.
    pub held_back: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams not taken, by [`Fault`].
    pub faults: [u64; Fault::ALL.len()],
    /// Members found dead by this one.
    pub found_dead: u64,
    /// Times that this one had to say that it lives.
    pub refuted: u64,
}

/// What came last from a peer, and which numbers near it.
#[derive(Debug, Default)]
struct Window {
    top: u64,
    bits: u64,
}

impl Window {
    /// Takes a number; false if it was there or is too old to tell.
    fn take(&mut self, number: u64) -> bool {
        if number > self.top {
            let shift = number - self.top;
            self.bits = if shift < 64 { self.bits << shift | 1 } else { 1 };
            self.top = number;
            return true;
        }
        let back = self.top - number;
        let new = number > 0 && back < 64 && self.bits >> back & 1 == 0;
        self.bits |= if new { 1 << back } else { 0 };
        new
    }
}

#[derive(Debug)]
struct Suspicion {
    began: Micros,
    /// Found by this one, which goes on asking.
    own: bool,
    accusers: Vec<u32>,
}

#[derive(Debug, Default)]
struct Member {
    address: Option<SocketAddrV4>,
    seed: bool,
    state: State,
    /// Dead for so long that it is no longer told of; nothing of this incarnation brings it back.
    forgotten: bool,
    incarnation: u64,
    since: Micros,
    by: u32,
    version: u32,
    suspicion: Option<Suspicion>,
    /// Its session, what came in it, and what was sent to it: the last numbers with their times.
    session: u64,
    window: Window,
    number: u64,
    sent: [(u64, Micros); SENT],
    heard: Option<Micros>,
    /// Parts of the set of released leases that were sent to it.
    parts_sent: usize,
}

impl Member {
    /// When this number was sent to it, or the last one before it that is still known.
    fn sent_at(&self, number: u64) -> Option<Micros> {
        let before = self.sent.iter().filter(|(n, _)| *n > 0 && *n <= number);
        before.max().map(|(_, at)| *at)
    }

    fn is_told(&self) -> bool {
        self.address.is_some() && self.state != State::Unknown
    }
}

/// How a member is reached: where, in which session, what was heard in it, and whether two speak as this member.
struct Way {
    at: Option<SocketAddrV4>,
    session: u64,
    heard: u64,
    clash: bool,
    /// The datagram carries a part of the set of released leases.
    with_part: bool,
}

/// A question that is out.
struct Probe {
    target: usize,
    number: u64,
    ask_at: Micros,
    asked: bool,
    answered: bool,
    vouched: bool,
}

/// A question asked for another member.
struct Asked {
    asker: usize,
    target: usize,
    number: u64,
    until: Micros,
}

/// So many a second, and as many at once as in half a second.
struct Bucket {
    per_s: f64,
    level: f64,
    filled: Micros,
}

impl Bucket {
    fn new(per_s: f64, now: Micros) -> Self {
        Self { per_s, level: (per_s / 2.0).max(1.0), filled: now }
    }

    fn level(&mut self, now: Micros) -> f64 {
        let span = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = now.max(self.filled);
        self.level = (self.level + span * self.per_s).min((self.per_s / 2.0).max(1.0));
        self.level
    }

    fn take(&mut self, now: Micros) -> bool {
        let any = self.level(now) >= 1.0;
        self.level -= f64::from(u8::from(any));
        any
    }
}

/// The view.
pub struct View {
    setup: Setup,
    session: u64,
    rng: fastrand::Rng,
    members: Vec<Member>,
    /// By number, beside `members`, as each of these is looked through often: who is held for living, datagrams that
    /// are still to tell of it, and what was said of leases.
    living: Vec<bool>,
    retell: Vec<u32>,
    ways: Vec<parts::Way>,
    /// No member is to be forgotten before this time.
    forget_at: Micros,
    /// Numbers of the others, in the order in which they are asked, and in which lost ones are.
    round: Vec<usize>,
    place: usize,
    lost: usize,
    /// Whose turn it is to be told of beside what is new.
    turn: usize,
    probe: Option<Probe>,
    asked: Vec<Asked>,
    round_at: Micros,
    gossip_at: Micros,
    /// Members under suspicion, and members that are to be told of.
    suspects: Vec<usize>,
    fresh: Vec<usize>,
    /// Part of own questions that were lost, and whether the last one was.
    loss: f64,
    unanswered: bool,
    out: Bucket,
    taken: Bucket,
    strangers: Bucket,
    leaving: bool,
    released: parts::Released,
    counts: Counts,
}

impl View {
    /// A view that knows its seeds and nothing else. `incarnation` is Unix time in ms, or anything that mostly grows
    /// from start to start.
    pub fn new(setup: Setup, incarnation: u64, seed: u64, now: Micros) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (me, size) = (setup.me as usize, setup.size as usize);
        let mut members: Vec<Member> = (0..size).map(|_| Member::default()).collect();
        let lease = parts::lease(setup.period, setup.size);
        let mut ways = vec![parts::Way::new(now, lease); size];
        ways[me] = parts::Way::default();
        let living = (0..size).map(|who| who == me).collect();
        for (who, address) in &setup.seeds {
            let member = &mut members[*who as usize];
            (member.address, member.seed) = (Some(*address), true);
        }
        let own = &mut members[me];
        (own.state, own.incarnation, own.since) = (State::Alive, incarnation.max(1), now);
        (own.by, own.version, own.address) = (setup.me, setup.version, Some(setup.address));
        let mut round: Vec<usize> = (0..size).filter(|n| *n != me).collect();
        rng.shuffle(&mut round);
        let first = now + rng.u64(0..setup.period.max(1));
        Self {
            session: rng.u64(1..),
            out: Bucket::new(f64::from(setup.out_per_s), now),
            taken: Bucket::new(f64::from(setup.in_per_s), now),
            strangers: Bucket::new(f64::from(setup.in_per_s) / 2.0, now),
            rng,
            members,
            living,
            retell: vec![0; size],
            ways,
            forget_at: Micros::MAX,
            round,
            place: 0,
            lost: 0,
            turn: 0,
            probe: None,
            asked: Vec::new(),
            round_at: first,
            gossip_at: first,
            suspects: Vec::new(),
            fresh: Vec::new(),
            loss: 0.0,
            unanswered: false,
            leaving: false,
            released: parts::Released::new(lease, setup.size, setup.encoding),
            counts: Counts::default(),
            setup,
        }
    }

    /// When it is to be woken.
    pub fn next(&self) -> Micros {
        let ask = self.probe.as_ref().filter(|p| !p.asked && !p.answered).map(|p| p.ask_at);
        self.round_at.min(self.gossip_at).min(ask.unwrap_or(Micros::MAX))
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, todo: &mut Vec<Do>) {
        if self.leaving {
            (self.round_at, self.gossip_at, self.probe) = (Micros::MAX, Micros::MAX, None);
            return;
        }
        if self.probe.as_ref().is_some_and(|p| !p.asked && !p.answered && now >= p.ask_at) {
            self.ask_others(now, todo);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + self.setup.period / 2;
            self.suspicions(now, todo);
            self.gossip(now, todo);
        }
        if now >= self.round_at {
            let wait = self.setup.period as f64 * self.slowed() * (0.9 + 0.2 * self.rng.f64());
            self.round_at = now + wait as Micros;
            self.judge(now, todo);
            self.ask_next(now, todo);
            self.forget(now);
        }
    }

    // ---- asking ----

    /// How much slower than usual: a member whose questions are lost, though others are answered, is the one that is
    /// ill, or all of them are.
    fn slowed(&self) -> f64 {
        1.0 + DOUBT * (self.loss - USUAL_LOSS).max(0.0)
    }

    fn judge(&mut self, now: Micros, todo: &mut Vec<Do>) {
        let Some(probe) = self.probe.take() else { return };
        let target = &self.members[probe.target];
        let (lives, incarnation) = (target.state.lives(), target.incarnation);
        let silent = !probe.answered && !probe.vouched;
        // One that nobody reaches says nothing of the way there; two in a row do.
        if !silent || self.unanswered {
            let lost = f64::from(u8::from(!probe.answered));
            self.loss += DOUBT_GAIN * (lost - self.loss);
        }
        self.unanswered = silent;
        if silent && lives {
            self.learn(now, probe.target, State::Suspect, incarnation, None, self.setup.me, todo);
        }
    }

    fn ask_next(&mut self, now: Micros, todo: &mut Vec<Do>) {
        let target = (0..self.round.len()).find_map(|_| {
            if self.place == 0 {
                self.rng.shuffle(&mut self.round);
            }
            let who = self.round[self.place];
            self.place = (self.place + 1) % self.round.len();
            (self.living[who] && self.members[who].address.is_some()).then_some(who)
        });
        if let Some(target) = target {
            if self.say(now, target, Word::Ping(true), todo) {
                let wait = (self.setup.period as f64 * ANSWER * self.slowed()) as Micros;
                let number = self.members[target].number;
                let (ask_at, asked, answered, vouched) = (now + wait, false, false, false);
                self.probe = Some(Probe { target, number, ask_at, asked, answered, vouched });
            }
        }
        // Who is not among the living may be back, or on the other side of a split that has healed.
        for _ in 0..if target.is_some() { 1 } else { HELPERS } {
            let lost = (0..self.round.len()).find_map(|_| {
                self.lost = (self.lost + 1) % self.round.len();
                let who = self.round[self.lost];
                (!self.living[who] && self.members[who].address.is_some()).then_some(who)
            });
            if let Some(lost) = lost {
                self.say(now, lost, Word::Ping(true), todo);
            }
        }
    }

    fn ask_others(&mut self, now: Micros, todo: &mut Vec<Do>) {
        let Some(probe) = &mut self.probe else { return };
        probe.asked = true;
        let target = probe.target;
        for helper in self.some_living(HELPERS, Some(target)) {
            self.say(now, helper, Word::Ask(target as u32), todo);
        }
    }

    /// Living members by chance, without this one.
    fn some_living(&mut self, most: usize, without: Option<usize>) -> Vec<usize> {
        let mut some = Vec::new();
        for _ in 0..self.round.len().min(16 * most) {
            let who = self.round[self.rng.usize(..self.round.len())];
            if some.len() < most
                && Some(who) != without
                && self.members[who].state == State::Alive
                && !some.contains(&who)
            {
                some.push(who);
            }
        }
        some
    }

    // ---- suspicion ----

    fn suspicions(&mut self, now: Micros, todo: &mut Vec<Do>) {
        for who in self.suspects.clone() {
            let member = &self.members[who];
            let Some(suspicion) = &member.suspicion else { continue };
            let (own, incarnation) = (suspicion.own, member.incarnation);
            // Whom this one hears is not dead, whatever others make of it.
            let heard = member.heard.map_or(0, |at| at + 2 * self.setup.period);
            let over = heard.max(suspicion.began + self.patience(suspicion));
            if now >= over {
                self.counts.found_dead += 1;
                self.learn(now, who, State::Dead, incarnation, None, self.setup.me, todo);
            } else if own {
                self.say(now, who, Word::Ping(true), todo);
            }
        }
    }

    /// How long a suspicion lasts: the shorter the more members have it of themselves.
    fn patience(&self, suspicion: &Suspicion) -> Micros {
        let least = SUSPICION * (self.members.len() as f64).log10().max(1.0);
        let wanted = ACCUSERS.min(self.members.len().saturating_sub(3));
        let further = suspicion.accusers.len().saturating_sub(1).min(wanted);
        let confirmed = match wanted {
            // Nobody else could have it so.
            0 => 0.4,
            _ => (further as f64 + 1.0).ln() / (wanted as f64 + 1.0).ln(),
        };
        let periods = least * (SUSPICION_MOST - (SUSPICION_MOST - 1.0) * confirmed);
        (periods * self.slowed() * self.setup.period as f64) as Micros
    }

    fn forget(&mut self, now: Micros) {
        self.released.scan(now, &self.ways);
        if now < self.forget_at {
            return;
        }
        self.forget_at = Micros::MAX;
        for (who, member) in self.members.iter_mut().enumerate() {
            if !matches!(member.state, State::Dead | State::Left) {
                continue;
            }
            let due = member.since + self.setup.forget;
            if now < due {
                self.forget_at = self.forget_at.min(due);
                continue;
            }
            (member.state, member.forgotten, member.since) = (State::Unknown, true, now);
            self.retell[who] = 0;
            if !member.seed {
                member.address = None;
            }
        }
    }

    // ---- telling ----

    fn gossip(&mut self, now: Micros, todo: &mut Vec<Do>) {
        self.fresh.retain(|who| self.retell[*who] > 0);
        // A quarter is left for questions and answers.
        if self.fresh.is_empty() || self.out.level(now) < f64::from(self.setup.out_per_s) / 8.0 {
            return;
        }
        for to in self.some_living(FANOUT, None) {
            self.say(now, to, Word::Gossip(true), todo);
        }
    }

    fn retell(&mut self, who: usize) {
        let times = RETOLD * (self.members.len() as f64 + 1.0).log10().ceil();
        self.retell[who] = times as u32;
        if !self.fresh.contains(&who) {
            self.fresh.push(who);
        }
    }

    /// Sends to a member, with as much of what is new as fits; false if there was no room or no address.
    fn say(&mut self, now: Micros, to: usize, word: Word, todo: &mut Vec<Do>) -> bool {
        let Member { address, session, window, .. } = &self.members[to];
        // Gossip leaves the room to news.
        let with_part = !matches!(word, Word::Gossip(_));
        let way = Way { at: *address, session: *session, heard: window.top, clash: false, with_part };
        self.say_to(now, to, way, word, todo)
    }

    /// Answers a question; what does not fit of the set of released leases follows at once.
    fn acknowledge(&mut self, now: Micros, to: usize, todo: &mut Vec<Do>) {
        self.say(now, to, Word::Ack(true), todo);
        let further = self.released.part_count().saturating_sub(1).min(PARTS_AFTER_ACK);
        for _ in 0..further {
            let Member { address, session, window, .. } = &self.members[to];
            let way =
                Way { at: *address, session: *session, heard: window.top, clash: false, with_part: true };
            self.say_to(now, to, way, Word::Gossip(true), todo);
        }
    }

    fn say_to(&mut self, now: Micros, to: usize, way: Way, word: Word, todo: &mut Vec<Do>) -> bool {
        let Some(at) = way.at else { return false };
        if !self.out.take(now) {
            self.counts.held_back += 1;
            return false;
        }
        let member = &mut self.members[to];
        member.number += 1;
        member.sent[member.number as usize % SENT] = (member.number, now);
        let (number, grants) = (member.number, self.ways[to].grants(now));
        let own = self.setup.address;
        let (released, released_part, limiters) = match self.setup.encoding {
            Encoding::Whole => (self.released.bits().to_vec(), None, 0),
            Encoding::Parts { .. } => (Vec::new(), self.next_part(to, way.with_part), self.setup.size),
        };
        let mut datagram = Datagram {
            format: self.setup.encoding.format(),
            fleet: self.setup.fleet.clone(),
            from: self.setup.me,
            incarnation: self.members[self.setup.me as usize].incarnation,
            session: self.session,
            to: way.session,
            number,
            heard: if way.session == 0 { 0 } else { way.heard },
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
        self.fill(to, way.clash, &mut datagram);
        self.counts.sent += 1;
        self.counts.bytes += datagram.size() as u64;
        todo.push(Do::Send(at, datagram));
        true
    }

    /// The part of the set of released leases whose turn it is.
    fn next_part(&mut self, to: usize, with_part: bool) -> Option<ReleasedPart> {
        let part = self.released.part(self.members[to].parts_sent).filter(|_| with_part)?;
        self.members[to].parts_sent += 1;
        Some(part.clone())
    }

    /// What the receiver must hear of itself comes first, then what is new, then the rest of the view in turn.
    fn fill(&mut self, to: usize, clash: bool, datagram: &mut Datagram) {
        let mut size = datagram.size();
        let mut add = |own: &mut Self, who: usize, datagram: &mut Datagram| {
            let member = &own.members[who];
            let Some(at) = member.address else { return true };
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
            own.retell[who] = own.retell[who].saturating_sub(1);
            true
        };
        let Member { state, forgotten, .. } = self.members[to];
        if clash || forgotten || state >= State::Suspect {
            add(self, to, datagram);
        }
        let mut fresh: Vec<_> = self.fresh.iter().copied().filter(|who| *who != to).collect();
        fresh.retain(|who| self.retell[*who] > 0 && self.members[*who].is_told());
        fresh.sort_unstable_by_key(|who| std::cmp::Reverse(self.retell[*who]));
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

    // ---- hearing ----

    /// Takes a datagram that was opened with the fleet's key.
    pub fn heard(&mut self, now: Micros, datagram: Datagram, todo: &mut Vec<Do>) -> Result<(), Fault> {
        let taken = self.take(now, datagram, todo);
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

    fn take(&mut self, now: Micros, datagram: Datagram, todo: &mut Vec<Do>) -> Result<(), Fault> {
        let released = self.released_by(&datagram)?;
        let (from, me) = (datagram.from as usize, self.setup.me as usize);
        if from >= self.members.len() || from == me {
            return Err(Fault::Strange);
        }
        if self.leaving {
            return Ok(());
        }
        let word = datagram.word.ok_or(Fault::Garbled)?;
        let known = &self.members[from];
        // Written in this process's life, and in the life of the sender that is known, or a later one.
        let other = known.session != datagram.session;
        let proven = datagram.to == self.session;
        let later = known.session == 0 || datagram.incarnation > known.incarnation;
        if !proven || (other && !later) {
            // Nothing that it says is taken: it may be an hour old. Only a living sender can answer what it is told.
            if !matches!(word, Word::Ping(_) | Word::Ack(_)) || (!proven && matches!(word, Word::Ack(_))) {
                return Err(Fault::Stale);
            }
            if !self.strangers.take(now) {
                return Err(Fault::Flood);
            }
            let at = known.address.filter(|_| known.seed).or_else(|| datagram.address());
            let (session, heard) = (datagram.session, datagram.number);
            let way = Way { at, session, heard, clash: proven, with_part: true };
            self.say_to(now, from, way, Word::Ack(true), todo);
            return if proven { Ok(()) } else { Err(Fault::Stale) };
        }
        let member = &mut self.members[from];
        if other {
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
        if let Some(bound) = member.sent_at(datagram.heard) {
            self.ways[from].told(bound, datagram.grants, released.as_ref());
        }
        if let Some(probe) = self.probe.as_mut().filter(|p| p.target == from) {
            probe.answered |= datagram.heard >= probe.number;
        }
        self.vouch(now, from, datagram.heard, todo);
        let state = if matches!(word, Word::Leave(_)) { State::Left } else { State::Alive };
        let said = datagram.address().map(|at| (at, datagram.version));
        let doubted = self.members[from].state >= State::Suspect || self.members[from].forgotten;
        self.learn(now, from, state, datagram.incarnation, said, from as u32, todo);
        let (mut strange, incarnation) = (false, self.incarnation());
        for news in &datagram.news {
            match news.read(self.setup.size) {
                Some((who, state, at)) => {
                    let said = Some((at, news.version));
                    self.learn(now, who, state, news.incarnation, said, news.by, todo);
                }
                None => strange = true,
            }
        }
        match word {
            Word::Ping(_) => self.acknowledge(now, from, todo),
            Word::Ask(target) => self.ask_for(now, from, target as usize, todo),
            Word::Vouch(target) => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.target == target as usize && p.asked) {
                    probe.vouched = true;
                }
            }
            // Who has just learned of the sender lets it know, and so does who takes it for dead.
            Word::Ack(_) if other || doubted => _ = self.say(now, from, Word::Gossip(true), todo),
            // Whoever holds this one for dead is the first to hear that it lives.
            _ if self.incarnation() > incarnation => _ = self.say(now, from, Word::Gossip(true), todo),
            Word::Ack(_) | Word::Gossip(_) | Word::Leave(_) => {}
        }
        if strange {
            self.fault(Fault::Strange);
        }
        Ok(())
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

    fn ask_for(&mut self, now: Micros, asker: usize, target: usize, todo: &mut Vec<Do>) {
        if target >= self.members.len() || target == asker || target == self.setup.me as usize {
            return self.fault(Fault::Strange);
        }
        self.asked.retain(|asked| now < asked.until);
        if self.asked.len() < MOST_ASKED && self.say(now, target, Word::Ping(true), todo) {
            let (number, until) = (self.members[target].number, now + 8 * self.setup.period);
            self.asked.push(Asked { asker, target, number, until });
        }
    }

    fn vouch(&mut self, now: Micros, target: usize, heard: u64, todo: &mut Vec<Do>) {
        let answered = |a: &Asked| a.target == target && heard >= a.number && now < a.until;
        let askers: Vec<_> = self.asked.iter().filter(|a| answered(a)).map(|a| a.asker).collect();
        self.asked.retain(|a| !answered(a));
        for asker in askers {
            self.say(now, asker, Word::Vouch(target as u32), todo);
        }
    }

    /// Takes what is said of a member, if it is newer than what is known: of a later incarnation, or worse.
    #[allow(clippy::too_many_arguments)]
    fn learn(
        &mut self,
        now: Micros,
        who: usize,
        state: State,
        incarnation: u64,
        said: Option<(SocketAddrV4, u32)>,
        by: u32,
        todo: &mut Vec<Do>,
    ) {
        let me = self.setup.me as usize;
        let member = &mut self.members[who];
        if who == me {
            if incarnation > member.incarnation
                || (incarnation == member.incarnation && state != State::Alive)
            {
                member.incarnation = incarnation + 1;
                self.counts.refuted += 1;
                self.retell(me);
            }
            return;
        }
        let known = if member.forgotten { State::Left } else { member.state };
        if (incarnation, state) <= (member.incarnation, known) {
            let accused = state == State::Suspect && known == state && incarnation == member.incarnation;
            if let Some(suspicion) = member.suspicion.as_mut().filter(|_| accused) {
                if suspicion.accusers.len() <= ACCUSERS && !suspicion.accusers.contains(&by) {
                    suspicion.accusers.push(by);
                    suspicion.own |= by == self.setup.me;
                    member.by = by;
                    self.retell(who);
                }
            }
            return;
        }
        let before = member.state;
        (member.state, member.incarnation, member.by) = (state, incarnation, by);
        member.forgotten = false;
        if let Some((at, version)) = said {
            member.version = version;
            if !member.seed {
                member.address = Some(at);
            }
        }
        member.suspicion = (state == State::Suspect).then(|| Suspicion {
            began: now,
            own: by == self.setup.me,
            accusers: vec![by],
        });
        self.suspects.retain(|suspect| *suspect != who);
        if state == State::Suspect {
            self.suspects.push(who);
        }
        if state.lives() != before.lives() {
            self.living[who] = state.lives();
            self.released.changed(now, who, state.lives(), &mut self.ways[who]);
        }
        if state != before {
            self.members[who].since = now;
            if !state.lives() {
                self.forget_at = self.forget_at.min(now + self.setup.forget);
            }
            todo.push(Do::Changed(Change { who: who as u32, before, state, incarnation, by }));
        }
        self.retell(who);
    }

    /// Leaves in order: the others need not find out.
    pub fn leave(&mut self, now: Micros, todo: &mut Vec<Do>) {
        for to in self.some_living(4 * FANOUT, None) {
            self.say(now, to, Word::Leave(true), todo);
        }
        self.members[self.setup.me as usize].state = State::Left;
        self.living[self.setup.me as usize] = false;
        self.leaving = true;
    }

    // ---- what it is for ----

    /// What this limiter may count on now.
    pub fn standing(&self, now: Micros) -> Standing {
        Standing::new(now, (self.setup.me, self.setup.kept), &self.living, &self.ways, &self.released)
    }

    /// Members held for living, this one among them.
    pub fn living(&self) -> &[bool] {
        &self.living
    }

    /// Every member.
    pub fn rows(&self) -> Vec<Row> {
        let row = |(who, m): (usize, &Member)| Row {
            who: who as u32,
            address: m.address,
            state: m.state,
            since: m.since,
            incarnation: m.incarnation,
            version: m.version,
            by: m.by,
            heard: m.heard,
        };
        self.members.iter().enumerate().map(row).collect()
    }

    /// State of a member.
    pub fn state(&self, who: usize) -> State {
        self.members[who].state
    }

    /// What was counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// How this view was set up.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// How much slower than usual it asks, from 1.
    pub fn doubt(&self) -> f64 {
        self.slowed()
    }

    /// Own incarnation.
    pub fn incarnation(&self) -> u64 {
        self.members[self.setup.me as usize].incarnation
    }
}
