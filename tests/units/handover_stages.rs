//! Tests of the two state machines of a hand-over, run against each other.

use mossrill::handover::stage::{Event, PredecessorStage, Signal, Step, SuccessorStage, VERSION};
use proptest::prelude::*;
use std::collections::VecDeque;

/// Both processes, the messages in flight between them, and whether each process accepts clients.
struct Pair {
    predecessor: PredecessorStage,
    successor: SuccessorStage,
    to_predecessor: VecDeque<Signal>,
    to_successor: VecDeque<Signal>,
    predecessor_runs: bool,
    successor_runs: bool,
    predecessor_accepts: bool,
    successor_accepts: bool,
    connection_closed: bool,
    /// The predecessor has reclaimed the state that it sent.
    reclaimed: bool,
    /// The successor has adopted the state.
    adopted: bool,
}

impl Pair {
    fn on_predecessor(&mut self, event: Event) {
        if !self.predecessor_runs {
            return;
        }
        for step in self.predecessor.on(event) {
            match step {
                Step::Send(signal) => self.to_successor.push_back(signal),
                Step::CloseConnection => self.connection_closed = true,
                Step::ReclaimState => self.reclaimed = true,
                Step::StopAccepting => self.predecessor_accepts = false,
                Step::ResumeServing(_) => self.predecessor_accepts = true,
                Step::Exit => {
                    assert!(
                        self.successor_accepts,
                        "the predecessor exited although the successor does not accept clients"
                    );
                    self.predecessor_runs = false;
                }
                _ => {}
            }
        }
    }

    fn on_successor(&mut self, event: Event) {
        if !self.successor_runs {
            return;
        }
        for step in self.successor.on(event) {
            match step {
                Step::Send(_) if self.connection_closed || !self.predecessor_runs => {
                    self.on_successor(Event::ConnectionLost)
                }
                Step::Send(signal) => {
                    self.to_predecessor.push_back(signal);
                    self.on_successor(Event::Sent);
                }
                Step::Serve => {
                    self.successor_accepts = true;
                    self.adopted = true;
                }
                Step::ServeAlone(_) => self.successor_accepts = true,
                _ => {}
            }
        }
    }
}

proptest! {
    /// Any order of late messages, timeouts and crashes leaves a process that serves. Messages on a
    /// stream are never lost or reordered; all else may happen at any time.
    #[test]
    fn one_process_serves_after_any_order_of_events(steps in prop::collection::vec(0u8..9, 0..60)) {
        let mut pair = Pair {
            predecessor: PredecessorStage::Serving, successor: SuccessorStage::Joining,
            to_predecessor: VecDeque::from([Signal::Join(VERSION)]), to_successor: VecDeque::new(),
            predecessor_runs: true, successor_runs: true, predecessor_accepts: true, successor_accepts: false,
            connection_closed: false, reclaimed: false, adopted: false,
        };
        for step in steps {
            match step {
                0 | 1 => if let Some(signal) = pair.to_predecessor.pop_front() { pair.on_predecessor(Event::Received(signal)) },
                2 | 3 => if let Some(signal) = pair.to_successor.pop_front() { pair.on_successor(Event::Received(signal)) },
                4 => pair.on_successor(Event::EndpointsKnown),
                5 => pair.on_predecessor(Event::Drained),
                6 => if pair.predecessor.timeout().is_some() { pair.on_predecessor(Event::TimedOut) },
                7 => if pair.successor.timeout().is_some() { pair.on_successor(Event::TimedOut) },
                // One of the two crashes: the predecessor if both serve, otherwise the successor,
                // which is more likely to be faulty as it has not served yet.
                _ => if pair.predecessor_runs && pair.successor_runs {
                    if pair.successor == SuccessorStage::Sharing { pair.predecessor_runs = false } else { pair.successor_runs = false }
                },
            }
        }
        // Messages that were sent are still received, then the end of the stream; and stages with a
        // timeout time out.
        while let Some(signal) = pair.to_predecessor.pop_front() { pair.on_predecessor(Event::Received(signal)) }
        while let Some(signal) = pair.to_successor.pop_front() { pair.on_successor(Event::Received(signal)) }
        if !pair.successor_runs || pair.connection_closed { pair.on_predecessor(Event::ConnectionLost) }
        if !pair.predecessor_runs { pair.on_successor(Event::ConnectionLost) }
        pair.on_successor(Event::EndpointsKnown);
        for _ in 0..2 {
            while let Some(signal) = pair.to_predecessor.pop_front() { pair.on_predecessor(Event::Received(signal)) }
            while let Some(signal) = pair.to_successor.pop_front() { pair.on_successor(Event::Received(signal)) }
            if pair.predecessor.timeout().is_some() { pair.on_predecessor(Event::TimedOut) }
            if pair.successor.timeout().is_some() { pair.on_successor(Event::TimedOut) }
            // Messages that were sent before the connection was closed are received before its end.
            while let Some(signal) = pair.to_predecessor.pop_front() { pair.on_predecessor(Event::Received(signal)) }
            if pair.connection_closed { pair.on_predecessor(Event::ConnectionLost) }
        }
        prop_assert!(!(pair.adopted && pair.reclaimed), "both processes report the same units to the counter");
        let serves = (pair.predecessor_runs && pair.predecessor_accepts) || (pair.successor_runs && pair.successor_accepts);
        prop_assert!(serves, "no process serves: {:?} {:?}", pair.predecessor, pair.successor);
    }
}

#[test]
fn a_hand_over_exchanges_its_messages_in_order() {
    let (mut predecessor, mut successor) = (PredecessorStage::Serving, SuccessorStage::Joining);
    assert_eq!(
        predecessor.on(Event::Received(Signal::Join(VERSION))),
        [Step::Send(Signal::Accept)]
    );
    assert_eq!(successor.on(Event::Received(Signal::Accept)), []);
    assert_eq!(
        successor.on(Event::EndpointsKnown),
        [Step::Send(Signal::RequestState)]
    );
    assert_eq!(
        predecessor.on(Event::Received(Signal::RequestState)),
        [Step::StopAccepting, Step::Send(Signal::State)]
    );
    assert_eq!(
        successor.on(Event::Received(Signal::State)),
        [Step::Send(Signal::Serving)]
    );
    assert_eq!(successor.on(Event::Sent), [Step::Serve]);
    assert_eq!(
        predecessor.on(Event::Received(Signal::Serving)),
        [Step::HandOverConnections]
    );
    assert_eq!(
        predecessor.on(Event::Drained),
        [Step::Exit, Step::Send(Signal::Finished)]
    );
    assert_eq!(
        successor.on(Event::Received(Signal::Finished)),
        [Step::EndSharing]
    );
    // Another version is rejected, and the predecessor continues to serve.
    let mut predecessor = PredecessorStage::Serving;
    assert_eq!(
        predecessor.on(Event::Received(Signal::Join(VERSION + 1))),
        [Step::Send(Signal::Reject)]
    );
    assert_eq!(
        (predecessor, predecessor.timeout()),
        (PredecessorStage::Serving, None)
    );
}
