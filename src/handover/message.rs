//! The messages of a hand-over, as protocol buffers in frames of bounded size.

use prost::{Message, Oneof};

/// The longest frame, in bytes: the state of some ten thousand accounts.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The message; none if it is of a kind that this version does not know.
    #[prost(oneof = "HandoverMessage", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<HandoverMessage>,
}

/// A message. A bool is always true: the message has no content.
#[derive(Clone, PartialEq, Oneof)]
pub enum HandoverMessage {
    /// The successor has started; the version of its hand-over.
    #[prost(uint32, tag = "1")]
    Join(u32),
    /// The successor is accepted. The listener comes with it.
    #[prost(bool, tag = "2")]
    Accept(bool),
    /// The successor is rejected.
    #[prost(bool, tag = "3")]
    Reject(bool),
    /// The successor could serve and requests the predecessor's state.
    #[prost(bool, tag = "4")]
    RequestState(bool),
    /// The predecessor's state.
    #[prost(message, tag = "5")]
    LearnedState(LearnedState),
    /// The successor serves.
    #[prost(bool, tag = "6")]
    Serving(bool),
    /// The predecessor has no connection and no request left, and exits.
    #[prost(message, tag = "7")]
    FinalReport(FinalReport),
    /// A client connection, with the bytes that were read from it and not processed. The connection comes with it.
    #[prost(bytes = "vec", tag = "8")]
    Connection(Vec<u8>),
    /// An upstream server was banned, or its ban was lifted.
    #[prost(message, tag = "9")]
    Ban(Ban),
    /// An attempt of this account, which was in flight when the state was sent, has ended.
    #[prost(string, tag = "10")]
    Ended(String),
}

impl HandoverMessage {
    /// Whether a file descriptor comes with the message.
    pub(super) fn carries_descriptor(&self) -> bool {
        matches!(self, Self::Accept(_) | Self::Connection(_))
    }
}

/// All that a limiter has learned and its successor would have to learn anew.
#[derive(Clone, PartialEq, Message)]
pub struct LearnedState {
    /// Accounts.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<AccountState>,
    /// Upstream servers.
    #[prost(message, repeated, tag = "2")]
    pub servers: Vec<ServerState>,
    /// Bans of upstream servers, and bans that were lifted.
    #[prost(message, repeated, tag = "3")]
    pub bans: Vec<Ban>,
    /// Mean response time of each class, in microseconds.
    #[prost(double, repeated, tag = "4")]
    pub mean_latencies: Vec<f64>,
    /// Share of the attempts of each class that fail.
    #[prost(double, repeated, tag = "5")]
    pub failure_rates: Vec<f64>,
    /// Virtual time of the fair queue.
    #[prost(double, tag = "6")]
    pub virtual_time: f64,
    /// The concurrency limit D.
    #[prost(double, tag = "7")]
    pub concurrency_limit: f64,
    /// Time at which it was last decreased, in microseconds.
    #[prost(uint64, tag = "8")]
    pub concurrency_limit_decreased_at: u64,
    /// Attempts sent a second.
    #[prost(double, tag = "9")]
    pub send_rate: f64,
    /// Price of a call of the counter.
    #[prost(double, tag = "10")]
    pub counter_call_price: f64,
    /// Calls of the counter that may be in flight at once.
    #[prost(double, tag = "11")]
    pub max_counter_calls: f64,
    /// Mean priority weight of a request.
    #[prost(double, tag = "12")]
    pub mean_priority_weight: f64,
}

/// The state of an account. Times are in microseconds of Unix time.
#[derive(Clone, PartialEq, Message)]
pub struct AccountState {
    /// Its name.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Index of its plan.
    #[prost(uint32, tag = "2")]
    pub plan: u32,
    /// Number of limiters that receive its requests.
    #[prost(uint32, tag = "3")]
    pub limiter_count: u32,
    /// Finish tag of its last request.
    #[prost(double, tag = "4")]
    pub finish_tag: f64,
    /// Units in the local copy of its token bucket.
    #[prost(double, tag = "5")]
    pub bucket_level: f64,
    /// Time at which the bucket had this level.
    #[prost(uint64, tag = "6")]
    pub bucket_filled_at: u64,
    /// Units forwarded and not reported to the counter, which the successor alone reports.
    #[prost(double, tag = "7")]
    pub unreported_units: f64,
    /// Number of the counting window.
    #[prost(uint64, tag = "8")]
    pub window: u64,
    /// Units that this limiter reported in the window.
    #[prost(double, tag = "9")]
    pub reported_units: f64,
    /// Units of other limiters that were seen in the window.
    #[prost(double, tag = "10")]
    pub units_elsewhere: f64,
    /// Time of the last reply of the counter; none if 0.
    #[prost(uint64, tag = "11")]
    pub last_counter_reply: u64,
    /// Time of the last request.
    #[prost(uint64, tag = "12")]
    pub last_request: u64,
    /// Attempts in flight.
    #[prost(uint32, tag = "13")]
    pub in_flight: u32,
}

/// The state of an upstream server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerState {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Time of its start, in microseconds of Unix time.
    #[prost(uint64, tag = "2")]
    pub started: u64,
    /// Its response time relative to the others.
    #[prost(double, tag = "3")]
    pub latency_ratio: f64,
    /// Time at which the ratio was last updated, in microseconds of Unix time.
    #[prost(uint64, tag = "4")]
    pub ratio_updated_at: u64,
    /// Failures by class.
    #[prost(message, repeated, tag = "5")]
    pub failures: Vec<ClassFailures>,
}

/// How often the attempts of a class fail at an upstream server.
#[derive(Clone, PartialEq, Message)]
pub struct ClassFailures {
    /// Index of the class.
    #[prost(uint32, tag = "1")]
    pub class: u32,
    /// Share of its attempts that fail.
    #[prost(double, tag = "2")]
    pub share: f64,
    /// Time of the last attempt, in microseconds of Unix time.
    #[prost(uint64, tag = "3")]
    pub at: u64,
}

/// A ban of an upstream server, or one that was lifted.
#[derive(Clone, PartialEq, Message)]
pub struct Ban {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Whether the server is banned.
    #[prost(bool, tag = "2")]
    pub is_banned: bool,
    /// Time at which the ban was lifted, in microseconds of Unix time.
    #[prost(uint64, tag = "3")]
    pub lifted_at: u64,
}

/// The last message of a process.
#[derive(Clone, PartialEq, Message)]
pub struct FinalReport {
    /// Units forwarded since the state was sent, less those claimed from the counter and not forwarded.
    #[prost(message, repeated, tag = "1")]
    pub unreported: Vec<UnreportedUnits>,
}

/// Units of an account that are not reported to the counter.
#[derive(Clone, PartialEq, Message)]
pub struct UnreportedUnits {
    /// The account.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The units.
    #[prost(double, tag = "2")]
    pub units: f64,
}
