//! The state machines of a hand-over, one for each process. They do no I/O.
//!
//! The predecessor serves before the hand-over, the successor after it. Until the predecessor sends
//! its state, it serves as if there were no successor; sending the state commits the hand-over.
//! Until the successor then confirms that it serves, the predecessor has only stopped accepting
//! connections: it keeps the listener and resumes serving if the successor fails. The design is
//! described in `docs/upgrade.md`.

mod predecessor;
mod successor;

pub use predecessor::PredecessorStage;
pub use successor::SuccessorStage;

use thiserror::Error;

/// Version of the hand-over protocol. A predecessor rejects a successor with another version.
pub const VERSION: u32 = 1;

/// The kind of a message that one process sends to the other, as the state machines see it: without
/// the content.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// Sent by the successor at its start, with the version of its hand-over protocol.
    Join(u32),
    /// Sent by the predecessor to accept the successor, along with the client listener.
    Accept,
    /// Sent by the predecessor to reject the successor.
    Reject,
    /// Sent by the successor, once it has an endpoint list, to request the predecessor's state.
    RequestState,
    /// Sent by the predecessor with its state, after it has stopped accepting connections.
    State,
    /// Sent by the successor to confirm that it serves.
    Serving,
    /// Sent by the predecessor when it has no open connection and no open request, and exits.
    Finished,
}

/// An event of a hand-over that a state machine reacts to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A message of this kind was received from the other process.
    Received(Signal),
    /// An endpoint list is known.
    EndpointsKnown,
    /// The last message was sent successfully: the connection was still open.
    Sent,
    /// The connection is closed or broken, or the other process has sent a malformed message.
    ConnectionLost,
    /// Nothing was received within the timeout of the stage.
    TimedOut,
    /// Every connection has been handed over or closed, and no request is open.
    Drained,
}

/// An action that the process has to take next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Send a message of this kind to the other process.
    Send(Signal),
    /// Accept connections and report readiness, while the predecessor still drains.
    Serve,
    /// Accept connections without the predecessor's state, as the hand-over has failed.
    ServeAlone(HandoverFailure),
    /// Close the connection to the other process. Messages that it sent before can still be
    /// received.
    CloseConnection,
    /// Stop accepting connections.
    StopAccepting,
    /// Hand over every client connection as soon as its replies are written.
    HandOverConnections,
    /// Accept connections again and stop handing them over, as the hand-over has failed.
    ResumeServing(HandoverFailure),
    /// Take back the state that was sent. The other process has reported none of it to the counter.
    ReclaimState,
    /// Exit after the final report, with the units that are not reported yet, has been sent.
    Exit,
    /// Stop sharing connection limits, as the other process is gone.
    EndSharing,
}

/// The reason why a hand-over failed.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum HandoverFailure {
    /// The predecessor rejected the successor.
    #[error("rejected by the predecessor")]
    Rejected,
    /// The predecessor sent a message that is not allowed at this stage.
    #[error("unexpected message from the predecessor")]
    UnexpectedMessage,
    /// The connection to the predecessor was lost.
    #[error("connection to the predecessor lost")]
    PredecessorLost,
    /// The predecessor did not answer in time.
    #[error("no message from the predecessor in time")]
    PredecessorTimedOut,
    /// The successor did not confirm that it serves.
    #[error("the successor did not confirm that it serves")]
    SuccessorDidNotServe,
    /// The connection to the successor was lost after it had confirmed that it serves.
    #[error("connection to the successor lost")]
    SuccessorLost,
}
