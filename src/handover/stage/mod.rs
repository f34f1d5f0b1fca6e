//! The hand-over as two state machines, one for each process, without input or output.
//!
//! The predecessor serves before the hand-over, the successor after it. The hand-over is committed when the predecessor
//! sends its state. Before that it serves as if there were no successor. After it, until the successor confirms that it
//! serves, the predecessor has only stopped accepting connections: it keeps the listener and serves again if the
//! successor fails. `docs/upgrade.md` has the design.

mod predecessor;
mod successor;

pub use predecessor::PredecessorStage;
pub use successor::SuccessorStage;

use thiserror::Error;

/// Version of the hand-over. A predecessor rejects a successor with another one.
pub const VERSION: u32 = 1;

/// What one process sends to the other, without the content of the message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// Successor: it has started, with this version of the hand-over.
    Join(u32),
    /// Predecessor: the successor is accepted. The listener comes with it.
    Accept,
    /// Predecessor: the successor is rejected.
    Reject,
    /// Successor: it has an endpoint list and requests the predecessor's state.
    RequestState,
    /// Predecessor: its state. It accepts no more connections.
    State,
    /// Successor: it serves.
    Serving,
    /// Predecessor: it has no connection and no request left, and exits.
    Finished,
}

/// What happens to a process in a hand-over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The other process has sent this.
    Received(Signal),
    /// An endpoint list is known.
    EndpointsKnown,
    /// The last message was sent before the other process closed the connection.
    Sent,
    /// The connection is closed or broken, or the other process has sent a malformed message.
    ConnectionLost,
    /// Nothing was received within the limit of the stage.
    TimedOut,
    /// Every connection has been handed over or closed, and no request is open.
    Drained,
}

/// What a process has to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Send this.
    Send(Signal),
    /// Accept connections and report readiness, beside the predecessor.
    Serve,
    /// Accept connections without a hand-over, which has failed.
    ServeAlone(HandoverFailure),
    /// Close the connection to the other process. What it sent before can still be received.
    CloseConnection,
    /// Accept no more connections.
    StopAccepting,
    /// Hand over every connection as soon as its replies are written.
    HandOverConnections,
    /// Accept connections again and hand over no more: the hand-over has failed.
    ResumeServing(HandoverFailure),
    /// Own the state again that was sent: the other process has reported none of it to the counter.
    ReclaimState,
    /// Exit, once the units that are not reported yet have been sent.
    Exit,
    /// The other process is gone: no limit is shared any more.
    EndSharing,
}

/// Why a hand-over failed.
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
    #[error("the successor did not serve")]
    SuccessorDidNotServe,
    /// The connection to the successor was lost while it served.
    #[error("connection to the successor lost")]
    SuccessorLost,
}
