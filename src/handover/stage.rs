//! The hand-over as two state machines, one for either side, without input or output of their own.
//!
//! The one that serves is the incumbent, the one that comes the newcomer. There is one point of commit: `Given`. Before
//! it the incumbent goes on as if nothing had been; after it, until the newcomer says that it serves, the incumbent
//! has only stopped to accept, keeps its listener and takes over again if nothing comes.

use std::time::Duration;

/// Understood by both sides, or the newcomer is turned away.
pub const VERSION: u32 = 1;

/// What one side says to the other, without what it carries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// Newcomer: I have started. With its version.
    Join(u32),
    /// Incumbent: here is the listener.
    Welcome,
    /// Incumbent: not with you.
    Refuse,
    /// Newcomer: I know a node list and could serve.
    Take,
    /// Incumbent: here is what I know; I accept no more.
    Given,
    /// Newcomer: I serve.
    Serving,
    /// Incumbent: nothing is left here.
    Bye,
}

/// What a side learns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The other has said this.
    Heard(Word),
    /// A node list is known.
    Listed,
    /// What was last said has left before the other shut the way.
    Told,
    /// The other is gone, or says what nobody understands.
    Lost,
    /// Nothing has come in the time that [`Newcomer::limit`] or [`Incumbent::limit`] told.
    Overdue,
    /// Every connection has been handed over or has ended, and no request is open.
    Empty,
}

/// What a side is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Do {
    /// Say this.
    Say(Word),
    /// Accept connections and say that it is ready, together with the other.
    Serve,
    /// Accept connections as the only one; why no more came of the hand-over.
    ServeAlone(&'static str),
    /// Let nothing more be said by either side; what was said before is still heard.
    Shut,
    /// Accept no connection.
    Pause,
    /// Hand over every connection as soon as its answers are written.
    HandOver,
    /// Accept again and hand over nothing more; why.
    Resume(&'static str),
    /// What was given is this one's again: nobody else has told the counter of it.
    TakeBack,
    /// End, once what is left has been told.
    Depart,
    /// The other is gone: all limits are this one's alone.
    Whole,
}

/// The side that comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Newcomer {
    /// Has said that it has started.
    Joining,
    /// Has the listener, and waits for a node list.
    Listening,
    /// Has asked for what the other knows.
    Taking,
    /// Has it, and says that it serves: whether that still reaches the other decides who owns it.
    Confirming,
    /// Serves while the other ends.
    Sharing,
    /// Serves alone.
    Alone,
}

impl Newcomer {
    /// How long it waits at this stage.
    pub fn limit(self) -> Option<Duration> {
        match self {
            Self::Joining | Self::Taking => Some(Duration::from_millis(800)),
            Self::Listening | Self::Confirming | Self::Sharing | Self::Alone => None,
        }
    }

    /// Takes an event.
    pub fn on(&mut self, event: Event) -> Vec<Do> {
        let (next, todo) = match (*self, event) {
            (Self::Joining, Event::Heard(Word::Welcome)) => (Self::Listening, vec![]),
            (Self::Listening, Event::Listed) => (Self::Taking, vec![Do::Say(Word::Take)]),
            (Self::Taking, Event::Heard(Word::Given)) => (Self::Confirming, vec![Do::Say(Word::Serving)]),
            (Self::Confirming, Event::Told) => (Self::Sharing, vec![Do::Serve]),
            (Self::Sharing, Event::Heard(Word::Bye) | Event::Lost) => (Self::Alone, vec![Do::Whole]),
            (Self::Sharing | Self::Alone, _) | (_, Event::Listed | Event::Empty | Event::Told) => {
                (*self, vec![])
            }
            (_, Event::Heard(Word::Refuse)) => (Self::Alone, vec![Do::ServeAlone("turned away")]),
            (_, Event::Heard(_)) => (Self::Alone, vec![Do::ServeAlone("the other says what has no place")]),
            (_, Event::Lost) => (Self::Alone, vec![Do::ServeAlone("the other is gone")]),
            (_, Event::Overdue) => (Self::Alone, vec![Do::ServeAlone("the other says nothing")]),
        };
        *self = next;
        todo
    }
}

/// The side that serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Incumbent {
    /// Nobody has come.
    Alone,
    /// Somebody has, and gets ready.
    Joined,
    /// What was known has been given.
    Given,
    /// The other said nothing for too long, and can say nothing more: what it said just before still counts.
    Doubting,
    /// The other serves; what is open here is answered.
    Leaving,
    /// Nothing is left.
    Gone,
}

impl Incumbent {
    /// How long it waits at this stage.
    pub fn limit(self) -> Option<Duration> {
        match self {
            // A newcomer is to be ready within 6 s.
            Self::Joined => Some(Duration::from_secs(8)),
            Self::Given => Some(Duration::from_secs(1)),
            Self::Alone | Self::Doubting | Self::Leaving | Self::Gone => None,
        }
    }

    /// Takes an event.
    pub fn on(&mut self, event: Event) -> Vec<Do> {
        let (next, todo) = match (*self, event) {
            (Self::Alone, Event::Heard(Word::Join(VERSION))) => (Self::Joined, vec![Do::Say(Word::Welcome)]),
            (Self::Alone, Event::Heard(_)) => (Self::Alone, vec![Do::Say(Word::Refuse)]),
            (Self::Joined, Event::Heard(Word::Take)) => (Self::Given, vec![Do::Pause, Do::Say(Word::Given)]),
            (Self::Given, Event::Overdue) => (Self::Doubting, vec![Do::Shut]),
            (Self::Given | Self::Doubting, Event::Heard(Word::Serving)) => {
                (Self::Leaving, vec![Do::HandOver])
            }
            (Self::Leaving, Event::Empty) => (Self::Gone, vec![Do::Depart, Do::Say(Word::Bye)]),
            // Before the commit nothing has changed here.
            (Self::Joined, Event::Lost | Event::Overdue | Event::Heard(_)) => (Self::Alone, vec![Do::Whole]),
            (Self::Given | Self::Doubting, Event::Lost | Event::Heard(_)) => {
                (Self::Alone, vec![Do::TakeBack, Do::Resume("the newcomer did not serve"), Do::Whole])
            }
            (Self::Leaving, Event::Lost) => {
                (Self::Alone, vec![Do::Resume("the newcomer is gone"), Do::Whole])
            }
            _ => (*self, vec![]),
        };
        *self = next;
        todo
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::VecDeque;

    /// Both sides with what is under way between them, and what a client would find.
    struct Pair {
        old: Incumbent,
        new: Newcomer,
        to_old: VecDeque<Word>,
        to_new: VecDeque<Word>,
        old_lives: bool,
        new_lives: bool,
        old_accepts: bool,
        new_accepts: bool,
        shut: bool,
        /// What was given is the old one's again, or the new one's.
        taken_back: bool,
        taken: bool,
    }

    impl Pair {
        fn incumbent(&mut self, event: Event) {
            if !self.old_lives {
                return;
            }
            for todo in self.old.on(event) {
                match todo {
                    Do::Say(word) => self.to_new.push_back(word),
                    Do::Shut => self.shut = true,
                    Do::TakeBack => self.taken_back = true,
                    Do::Pause => self.old_accepts = false,
                    Do::Resume(_) => self.old_accepts = true,
                    Do::Depart => {
                        assert!(self.new_accepts, "left with nobody to accept");
                        self.old_lives = false;
                    }
                    _ => {}
                }
            }
        }

        fn newcomer(&mut self, event: Event) {
            if !self.new_lives {
                return;
            }
            for todo in self.new.on(event) {
                match todo {
                    Do::Say(_) if self.shut || !self.old_lives => self.newcomer(Event::Lost),
                    Do::Say(word) => {
                        self.to_old.push_back(word);
                        self.newcomer(Event::Told);
                    }
                    Do::Serve => (self.new_accepts, self.taken) = (true, true),
                    Do::ServeAlone(_) => self.new_accepts = true,
                    _ => {}
                }
            }
        }
    }

    proptest! {
        /// Any order of words that come late, of time-outs and deaths leaves one that serves: words are never lost or
        /// swapped on a stream, all else may happen at any time.
        #[test]
        fn whatever_happens_one_is_left_that_serves(steps in prop::collection::vec(0u8..9, 0..60)) {
            let mut pair = Pair {
                old: Incumbent::Alone, new: Newcomer::Joining,
                to_old: VecDeque::from([Word::Join(VERSION)]), to_new: VecDeque::new(),
                old_lives: true, new_lives: true, old_accepts: true, new_accepts: false,
                shut: false, taken_back: false, taken: false,
            };
            for step in steps {
                match step {
                    0 | 1 => if let Some(word) = pair.to_old.pop_front() { pair.incumbent(Event::Heard(word)) },
                    2 | 3 => if let Some(word) = pair.to_new.pop_front() { pair.newcomer(Event::Heard(word)) },
                    4 => pair.newcomer(Event::Listed),
                    5 => pair.incumbent(Event::Empty),
                    6 => if pair.old.limit().is_some() { pair.incumbent(Event::Overdue) },
                    7 => if pair.new.limit().is_some() { pair.newcomer(Event::Overdue) },
                    // One of the two dies, the newcomer more often: it is the one that was never tried.
                    _ => if pair.old_lives && pair.new_lives {
                        if pair.new == Newcomer::Sharing { pair.old_lives = false } else { pair.new_lives = false }
                    },
                }
            }
            // What was said is still heard, then the end of the stream, and no stage outlasts its time.
            while let Some(word) = pair.to_old.pop_front() { pair.incumbent(Event::Heard(word)) }
            while let Some(word) = pair.to_new.pop_front() { pair.newcomer(Event::Heard(word)) }
            if !pair.new_lives || pair.shut { pair.incumbent(Event::Lost) }
            if !pair.old_lives { pair.newcomer(Event::Lost) }
            pair.newcomer(Event::Listed);
            for _ in 0..2 {
                while let Some(word) = pair.to_old.pop_front() { pair.incumbent(Event::Heard(word)) }
                while let Some(word) = pair.to_new.pop_front() { pair.newcomer(Event::Heard(word)) }
                if pair.old.limit().is_some() { pair.incumbent(Event::Overdue) }
                if pair.new.limit().is_some() { pair.newcomer(Event::Overdue) }
                // What was said before the way was shut comes before its end.
                while let Some(word) = pair.to_old.pop_front() { pair.incumbent(Event::Heard(word)) }
                if pair.shut { pair.incumbent(Event::Lost) }
            }
            prop_assert!(!(pair.taken && pair.taken_back), "told to the counter by both");
            let serves = (pair.old_lives && pair.old_accepts) || (pair.new_lives && pair.new_accepts);
            prop_assert!(serves, "{:?} {:?}", pair.old, pair.new);
        }
    }

    #[test]
    fn a_hand_over_goes_word_by_word() {
        let (mut old, mut new) = (Incumbent::Alone, Newcomer::Joining);
        assert_eq!(old.on(Event::Heard(Word::Join(VERSION))), [Do::Say(Word::Welcome)]);
        assert_eq!(new.on(Event::Heard(Word::Welcome)), []);
        assert_eq!(new.on(Event::Listed), [Do::Say(Word::Take)]);
        assert_eq!(old.on(Event::Heard(Word::Take)), [Do::Pause, Do::Say(Word::Given)]);
        assert_eq!(new.on(Event::Heard(Word::Given)), [Do::Say(Word::Serving)]);
        assert_eq!(new.on(Event::Told), [Do::Serve]);
        assert_eq!(old.on(Event::Heard(Word::Serving)), [Do::HandOver]);
        assert_eq!(old.on(Event::Empty), [Do::Depart, Do::Say(Word::Bye)]);
        assert_eq!(new.on(Event::Heard(Word::Bye)), [Do::Whole]);
        // Another version is turned away, and the incumbent serves on.
        let mut old = Incumbent::Alone;
        assert_eq!(old.on(Event::Heard(Word::Join(VERSION + 1))), [Do::Say(Word::Refuse)]);
        assert_eq!((old, old.limit()), (Incumbent::Alone, None));
    }
}
