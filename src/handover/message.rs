//! The messages of a hand-over, encoded as Protocol Buffers in frames of bounded size.

use crate::decision::{Micros, RequestId};
use prost::{Message, Oneof};

/// Maximum length of a frame, in bytes. It fits the state of about ten thousand accounts.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// A frame, which contains one message.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The message; none if this version does not know its type.
    #[prost(
        oneof = "HandoverMessage",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12"
    )]
    pub body: Option<HandoverMessage>,
    /// The optional features that the sender understands, as bits. Only sent with
    /// [`HandoverMessage::Join`].
    #[prost(uint32, tag = "15")]
    pub features: u32,
}

/// Feature bit of a process that understands [`HandoverMessage::MayRun`].
pub const RECENT_IDS_FEATURE: u32 = 1;
/// Feature bit of a process that understands [`HandoverMessage::WaitingConnection`].
pub const WAITING_CONNECTION_FEATURE: u32 = 2;
/// The features that this version understands.
const FEATURES: u32 = RECENT_IDS_FEATURE | WAITING_CONNECTION_FEATURE;

impl Frame {
    /// Returns the frame that carries a message of this version.
    pub fn of(message: HandoverMessage) -> Self {
        let features = match message {
            HandoverMessage::Join(_) => FEATURES,
            _ => 0,
        };
        Self {
            body: Some(message),
            features,
        }
    }
}

/// A message of a hand-over. In messages without content the `bool` is always true.
#[derive(Clone, PartialEq, Oneof)]
pub enum HandoverMessage {
    /// The successor has started. Contains the version of its hand-over protocol.
    #[prost(uint32, tag = "1")]
    Join(u32),
    /// The predecessor accepts the successor. Carries the file descriptor of the client listener.
    #[prost(bool, tag = "2")]
    Accept(bool),
    /// The predecessor rejects the successor.
    #[prost(bool, tag = "3")]
    Reject(bool),
    /// The successor is able to serve and requests the predecessor's state.
    #[prost(bool, tag = "4")]
    RequestState(bool),
    /// The predecessor's state.
    #[prost(message, tag = "5")]
    LearnedState(LearnedState),
    /// The successor confirms that it serves.
    #[prost(bool, tag = "6")]
    Serving(bool),
    /// The predecessor has no open connection and no open request, and exits.
    #[prost(message, tag = "7")]
    FinalReport(FinalReport),
    /// A client connection that is handed over to a process without
    /// [`WAITING_CONNECTION_FEATURE`]. Carries its file descriptor, and contains the bytes that were
    /// read from it but not processed.
    #[prost(bytes = "vec", tag = "8")]
    Connection(Vec<u8>),
    /// An upstream server was banned, or its ban was lifted.
    #[prost(message, tag = "9")]
    Ban(Ban),
    /// An attempt that was in flight when the state was sent has ended. Contains the id of its
    /// account.
    #[prost(string, tag = "10")]
    Ended(String),
    /// A request with this id is about to be sent by the predecessor, and may run from now on. Only
    /// sent to a process that has [`RECENT_IDS_FEATURE`].
    #[prost(message, tag = "11")]
    MayRun(RecentId),
    /// A client connection that is handed over. Carries its file descriptor. Only sent to a process
    /// that has [`WAITING_CONNECTION_FEATURE`].
    #[prost(message, tag = "12")]
    WaitingConnection(WaitingConnection),
}

impl HandoverMessage {
    /// Whether the message carries a file descriptor.
    pub(super) fn carries_descriptor(&self) -> bool {
        matches!(
            self,
            Self::Accept(_) | Self::Connection(_) | Self::WaitingConnection(_)
        )
    }

    /// Returns the features that the receiver needs in order to understand the message.
    pub(super) fn required_features(&self) -> u32 {
        match self {
            Self::MayRun(_) => RECENT_IDS_FEATURE,
            Self::WaitingConnection(_) => WAITING_CONNECTION_FEATURE,
            _ => 0,
        }
    }
}

/// A client connection from which its process no longer reads.
#[derive(Clone, PartialEq, Message)]
pub struct WaitingConnection {
    /// The bytes that were read and not processed.
    #[prost(bytes = "vec", tag = "1")]
    pub read: Vec<u8>,
    /// For how long bytes may have been waiting on it, in microseconds.
    #[prost(uint64, tag = "2")]
    pub waited_us: u64,
}

/// The state that a limiter has learned at run time, which its successor would otherwise have to
/// learn again.
#[derive(Clone, PartialEq, Message)]
pub struct LearnedState {
    /// States of the accounts.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<AccountState>,
    /// States of the upstream servers.
    #[prost(message, repeated, tag = "2")]
    pub servers: Vec<ServerState>,
    /// Bans of upstream servers, including lifted ones.
    #[prost(message, repeated, tag = "3")]
    pub bans: Vec<Ban>,
    /// Mean response time of each request class, in microseconds.
    #[prost(double, repeated, tag = "4")]
    pub mean_latencies: Vec<f64>,
    /// Share of failed attempts of each request class, from 0 to 1.
    #[prost(double, repeated, tag = "5")]
    pub failure_rates: Vec<f64>,
    /// Virtual time of the fair queue.
    #[prost(double, tag = "6")]
    pub virtual_time: f64,
    /// The concurrency limit (D in the design documents), in attempts in flight.
    #[prost(double, tag = "7")]
    pub concurrency_limit: f64,
    /// Time at which the concurrency limit was last decreased, in microseconds of Unix time.
    #[prost(uint64, tag = "8")]
    pub concurrency_limit_decreased_at: u64,
    /// Attempts sent per second.
    #[prost(double, tag = "9")]
    pub send_rate: f64,
    /// Price of a call to the quota counter, in mean priority weights of a request.
    #[prost(double, tag = "10")]
    pub counter_call_price: f64,
    /// Maximum number of calls to the quota counter that are in flight at once.
    #[prost(double, tag = "11")]
    pub max_counter_calls: f64,
    /// Mean priority weight of a request.
    #[prost(double, tag = "12")]
    pub mean_priority_weight: f64,
    /// Ids of requests that may have run and must not run again.
    #[prost(message, repeated, tag = "13")]
    pub recent_ids: Vec<RecentId>,
    /// Time of the predecessor's clock when the state was sent, in microseconds of Unix time; 0 if
    /// the predecessor does not say.
    #[prost(uint64, tag = "14")]
    pub exported_at: u64,
}

impl LearnedState {
    /// Moves all times by this many microseconds. The clocks of two processes differ if the system
    /// clock has stepped between their starts; start times of servers are those of service
    /// discovery, and stay.
    pub fn move_times(&mut self, shift: i64) {
        let moved = |time: &mut u64| {
            if *time > 0 {
                *time = time.saturating_add_signed(shift).max(1);
            }
        };
        moved(&mut self.concurrency_limit_decreased_at);
        for account in &mut self.accounts {
            moved(&mut account.bucket_filled_at);
            moved(&mut account.last_counter_reply);
            moved(&mut account.last_request);
        }
        for server in &mut self.servers {
            moved(&mut server.ratio_updated_at);
            server
                .failures
                .iter_mut()
                .for_each(|failures| moved(&mut failures.at));
        }
        self.bans
            .iter_mut()
            .for_each(|ban| moved(&mut ban.lifted_at));
        self.recent_ids
            .iter_mut()
            .for_each(|recent| moved(&mut recent.ends_at));
    }
}

/// The id of a request that may have run.
#[derive(Clone, PartialEq, Message)]
pub struct RecentId {
    /// Id that the client gave to the request.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Time until which it must not run again, in microseconds of Unix time.
    #[prost(uint64, tag = "2")]
    pub ends_at: u64,
}

impl RecentId {
    /// Returns the message for this id.
    pub fn new(id: &RequestId, ends_at: Micros) -> Self {
        Self {
            id: id.0.to_string(),
            ends_at,
        }
    }
}

/// The state of an account. Times are in microseconds of Unix time.
#[derive(Clone, PartialEq, Message)]
pub struct AccountState {
    /// Id of the account.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Index of the account's plan.
    #[prost(uint32, tag = "2")]
    pub plan: u32,
    /// Number of limiters that receive requests of the account.
    #[prost(uint32, tag = "3")]
    pub limiter_count: u32,
    /// Finish tag of the account's last request in the fair queue.
    #[prost(double, tag = "4")]
    pub finish_tag: f64,
    /// Units in this limiter's copy of the account's token bucket.
    #[prost(double, tag = "5")]
    pub bucket_level: f64,
    /// Time at which the bucket had `bucket_level` units.
    #[prost(uint64, tag = "6")]
    pub bucket_filled_at: u64,
    /// Units that were forwarded and not yet reported to the counter. Only the successor reports
    /// them.
    #[prost(double, tag = "7")]
    pub unreported_units: f64,
    /// Number of the counting window that `reported_units` and `units_elsewhere` refer to.
    #[prost(uint64, tag = "8")]
    pub window: u64,
    /// Units that this limiter reported in the counting window.
    #[prost(double, tag = "9")]
    pub reported_units: f64,
    /// Units of other limiters in the counting window, as far as the counter's replies showed them.
    #[prost(double, tag = "10")]
    pub units_elsewhere: f64,
    /// Time of the last reply of the counter; 0 if there was none.
    #[prost(uint64, tag = "11")]
    pub last_counter_reply: u64,
    /// Time of the account's last request.
    #[prost(uint64, tag = "12")]
    pub last_request: u64,
    /// Number of the account's attempts in flight.
    #[prost(uint32, tag = "13")]
    pub in_flight: u32,
}

/// The state of an upstream server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerState {
    /// Id of the server.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Time of the server's start, in microseconds of Unix time.
    #[prost(uint64, tag = "2")]
    pub started: u64,
    /// Response time of the server relative to the mean of the request class.
    #[prost(double, tag = "3")]
    pub latency_ratio: f64,
    /// Time at which the ratio was last updated, in microseconds of Unix time.
    #[prost(uint64, tag = "4")]
    pub ratio_updated_at: u64,
    /// Failure rates by request class.
    #[prost(message, repeated, tag = "5")]
    pub failures: Vec<ClassFailures>,
}

/// The failure rate of one request class at an upstream server.
#[derive(Clone, PartialEq, Message)]
pub struct ClassFailures {
    /// Index of the request class.
    #[prost(uint32, tag = "1")]
    pub class: u32,
    /// Share of failed attempts, from 0 to 1.
    #[prost(double, tag = "2")]
    pub share: f64,
    /// Time at which the last attempt ended, in microseconds of Unix time.
    #[prost(uint64, tag = "3")]
    pub at: u64,
}

/// A ban of an upstream server, or the lifting of a ban.
#[derive(Clone, PartialEq, Message)]
pub struct Ban {
    /// Id of the server.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Whether the server is banned.
    #[prost(bool, tag = "2")]
    pub is_banned: bool,
    /// Time at which the ban was lifted, in microseconds of Unix time.
    #[prost(uint64, tag = "3")]
    pub lifted_at: u64,
}

/// The last message that a predecessor sends before it exits.
#[derive(Clone, PartialEq, Message)]
pub struct FinalReport {
    /// For each account, the units forwarded since the state was sent, less the units that were
    /// claimed from the counter but not forwarded.
    #[prost(message, repeated, tag = "1")]
    pub unreported: Vec<UnreportedUnits>,
}

/// Units of one account that have not been reported to the counter.
#[derive(Clone, PartialEq, Message)]
pub struct UnreportedUnits {
    /// Id of the account.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of units; negative if the counter has to be credited.
    #[prost(double, tag = "2")]
    pub units: f64,
}
