//! Every reachable state of the leases of three limiters, one of which is cut off: whatever the others believe of it at
//! any moment, whatever is said, heard late or lost, and whenever a core looks, nobody shares out what is still held.

use mossrill::fleet::parts::{Released, Standing, Way};
use stateright::{Checker, Model, Property};

/// A lease lasts a step of time, and a tenth longer where clocks may drift.
const STEP: u64 = 10;
const LEASE: u64 = STEP;
const LAST: u64 = 5 * STEP;
/// The one that is cut off, the one whose core shares out what it held, and one that helps either of them.
const CUT: usize = 2;
const OTHERS: [usize; 2] = [0, 1];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// What numbers 0 and 1 believe of number 2.
    lives: [bool; 2],
    /// Ways of each limiter to each.
    ways: [[Way; 3]; 3],
    released: [Released; 3],
    /// What the core of number 0 was told last: its lease, whether it shares out what number 2 held, and to when. The
    /// core of number 2 has a lease as soon as it is renewed, and may use it to its end.
    told: (u64, bool, u64),
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Time,
    Believe(usize, bool),
    /// Is heard at once. What is heard late counts from when it was said, and so is no more than what was heard then
    /// and stood until now; of what is only known to be later than some moment, less follows.
    Say(usize),
    Tell,
}

/// The module of leases with one rule taken away, to see that its absence is found.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// Whoever takes the third for dead says released of it at once.
    Waiting,
    /// Who takes it for living again renews its lease at once.
    WaitingAgain,
}

struct Leases(Without);

impl State {
    fn standing(&self, who: usize) -> Standing {
        let living: Vec<bool> = (0..3).map(|other| who == CUT || other != CUT || self.lives[who]).collect();
        Standing::new(self.now, (who as u32, 0.5), &living, &self.ways[who], &self.released[who])
    }

    fn tell(&mut self) {
        let standing = self.standing(0);
        self.told = (standing.until, standing.given_away[CUT], standing.given_until);
    }

    /// Number 0 shares out what number 2 held.
    fn shares_out(&self) -> bool {
        let (until, given_away, given_until) = self.told;
        given_away && self.now < given_until && self.now < until
    }

    /// Number 2 holds its lease.
    fn holds(&self) -> bool {
        self.now < self.standing(CUT).until
    }
}

/// From whom and to whom each thing is said.
const WAYS: [(usize, usize); 3] = [(1, 0), (0, CUT), (1, CUT)];

impl Model for Leases {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        // Everybody has held everybody for living for long, and has just said so.
        let (mut way, mut released) = (Way::new(0, 0), Released::new(LEASE));
        released.changed(0, 0, true, &mut way);
        way.told(LEASE, true, &[]);
        let own = Way::default();
        let ways = std::array::from_fn(|who| {
            std::array::from_fn(|other| if who == other { own.clone() } else { way.clone() })
        });
        let mut state = State {
            now: LEASE,
            lives: [true; 2],
            ways,
            released: std::array::from_fn(|_| Released::new(LEASE)),
            told: Default::default(),
        };
        state.tell();
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < LAST {
            steps.push(Step::Time);
        }
        for who in OTHERS {
            steps.push(Step::Believe(who, !state.lives[who]));
        }
        steps.extend((0..WAYS.len()).map(Step::Say));
        steps.push(Step::Tell);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        match step {
            Step::Time => {
                state.now += STEP;
                for who in OTHERS {
                    let ways = state.ways[who].clone();
                    state.released[who].scan(now + STEP, &ways);
                }
            }
            Step::Believe(who, lives) => {
                state.lives[who] = lives;
                let (ways, released) = (&mut state.ways[who], &mut state.released[who]);
                released.changed(now, CUT, lives, &mut ways[CUT]);
                match self.0 {
                    Without::Waiting if !lives => released.scan(now + 10 * LEASE, &ways[..]),
                    // As if nothing had been said of it.
                    Without::WaitingAgain if lives => {
                        ways[CUT] = Way::new(0, 0);
                        Released::new(LEASE).changed(now, CUT, true, &mut ways[CUT]);
                    }
                    _ => {}
                }
            }
            Step::Say(way) => {
                let (who, to) = WAYS[way];
                let (grants, bits) = (state.ways[who][to].grants(now), state.released[who].bits().to_vec());
                state.ways[to][who].told(now, grants, &bits);
            }
            Step::Tell => state.tell(),
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody shares out what is held", |_, s: &State| !(s.shares_out() && s.holds())),
            // Else the first could hold for want of anything happening.
            Property::sometimes("what it held is shared out", |_, s: &State| s.shares_out()),
            Property::sometimes("and it holds it again", |_, s: &State| {
                s.told.1 && !s.shares_out() && s.holds()
            }),
        ]
    }
}

fn checked(without: Without) -> impl Checker<Leases> {
    Leases(without).checker().threads(4).spawn_bfs().join()
}

#[test]
fn no_reachable_state_uses_more_than_the_whole() {
    let checker = checked(Without::Nothing);
    println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_either_wait_a_state_is_found_that_does() {
    for without in [Without::Waiting, Without::WaitingAgain] {
        let checker = checked(without);
        assert!(checker.discovery("nobody shares out what is held").is_some(), "{without:?}");
    }
}
