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
            (Self::Taking, Event::Heard(Word::Given)) => {
                (Self::Confirming, vec![Do::Say(Word::Serving)])
            }
            (Self::Confirming, Event::Told) => (Self::Sharing, vec![Do::Serve]),
            (Self::Sharing, Event::Heard(Word::Bye) | Event::Lost) => {
                (Self::Alone, vec![Do::Whole])
            }
            (Self::Sharing | Self::Alone, _) | (_, Event::Listed | Event::Empty | Event::Told) => {
                (*self, vec![])
            }
            (_, Event::Heard(Word::Refuse)) => (Self::Alone, vec![Do::ServeAlone("turned away")]),
            (_, Event::Heard(_)) => (
                Self::Alone,
                vec![Do::ServeAlone("the other says what has no place")],
            ),
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
            (Self::Alone, Event::Heard(Word::Join(VERSION))) => {
                (Self::Joined, vec![Do::Say(Word::Welcome)])
            }
            (Self::Alone, Event::Heard(_)) => (Self::Alone, vec![Do::Say(Word::Refuse)]),
            (Self::Joined, Event::Heard(Word::Take)) => {
                (Self::Given, vec![Do::Pause, Do::Say(Word::Given)])
            }
            (Self::Given, Event::Overdue) => (Self::Doubting, vec![Do::Shut]),
            (Self::Given | Self::Doubting, Event::Heard(Word::Serving)) => {
                (Self::Leaving, vec![Do::HandOver])
            }
            (Self::Leaving, Event::Empty) => (Self::Gone, vec![Do::Depart, Do::Say(Word::Bye)]),
            // Before the commit nothing has changed here.
            (Self::Joined, Event::Lost | Event::Overdue | Event::Heard(_)) => {
                (Self::Alone, vec![Do::Whole])
            }
            (Self::Given | Self::Doubting, Event::Lost | Event::Heard(_)) => (
                Self::Alone,
                vec![
                    Do::TakeBack,
                    Do::Resume("the newcomer did not serve"),
                    Do::Whole,
                ],
            ),
            (Self::Leaving, Event::Lost) => (
                Self::Alone,
                vec![Do::Resume("the newcomer is gone"), Do::Whole],
            ),
            _ => (*self, vec![]),
        };
        *self = next;
        todo
    }
}
