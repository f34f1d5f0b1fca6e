//! What is said in a hand-over, as protocol buffers in frames of bounded size.

use prost::{Message, Oneof};

/// The longest frame: what is known of some ten thousand agent accounts.
pub const LONGEST: usize = 4 << 20;

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What it says.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

/// What a frame says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// The newcomer has started; its version.
    #[prost(uint32, tag = "1")]
    Join(u32),
    /// The listener comes with it.
    #[prost(bool, tag = "2")]
    Welcome(bool),
    /// Not with you.
    #[prost(bool, tag = "3")]
    Refuse(bool),
    /// The newcomer could serve.
    #[prost(bool, tag = "4")]
    Take(bool),
    /// What the incumbent knows.
    #[prost(message, tag = "5")]
    LearnedState(LearnedState),
    /// The newcomer serves.
    #[prost(bool, tag = "6")]
    Serving(bool),
    /// Nothing is left at the incumbent, but for these units that it has not told the counter.
    #[prost(message, tag = "7")]
    FinalReport(FinalReport),
    /// An agent's connection, with the bytes read from it and not taken.
    #[prost(bytes = "vec", tag = "8")]
    Connection(Vec<u8>),
    /// A ticket node was taken out or put back.
    #[prost(message, tag = "9")]
    Ban(Ban),
    /// An attempt of this account, which was out when it was given, has ended.
    #[prost(string, tag = "10")]
    Ended(String),
}

/// All that a limiter has learned and its successor would have to learn anew.
#[derive(Clone, PartialEq, Message)]
pub struct LearnedState {
    /// Agent accounts.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<Account>,
    /// Ticket nodes.
    #[prost(message, repeated, tag = "2")]
    pub nodes: Vec<Node>,
    /// Ticket nodes that operators have taken out or put back.
    #[prost(message, repeated, tag = "3")]
    pub bans: Vec<Ban>,
    /// By class: mean response time in µs, and the part of attempts that fail.
    #[prost(double, repeated, tag = "4")]
    pub paces: Vec<f64>,
    /// By class, as the means.
    #[prost(double, repeated, tag = "5")]
    pub fails: Vec<f64>,
    /// Virtual time.
    #[prost(double, tag = "6")]
    pub virtual_time: f64,
    /// Depth D, and when it was last cut.
    #[prost(double, tag = "7")]
    pub depth: f64,
    /// See `depth`.
    #[prost(uint64, tag = "8")]
    pub depth_cut: u64,
    /// Sends a second.
    #[prost(double, tag = "9")]
    pub send_rate: f64,
    /// Price of a call of the counter, and calls that may be out at once.
    #[prost(double, tag = "10")]
    pub price: f64,
    /// See `price`.
    #[prost(double, tag = "11")]
    pub calls: f64,
    /// Mean worth of a request.
    #[prost(double, tag = "12")]
    pub mean_worth: f64,
}

/// An agent account.
#[derive(Clone, PartialEq, Message)]
pub struct Account {
    /// Its name.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of its plan.
    #[prost(uint32, tag = "2")]
    pub plan: u32,
    /// Limiters that its requests come through.
    #[prost(uint32, tag = "3")]
    pub spread: u32,
    /// Finish tag of its last request.
    #[prost(double, tag = "4")]
    pub finish: f64,
    /// Units in the copy of its store.
    #[prost(double, tag = "5")]
    pub level: f64,
    /// As of this time.
    #[prost(uint64, tag = "6")]
    pub filled: u64,
    /// Units sent on and not told to the counter: told by the successor alone.
    #[prost(double, tag = "7")]
    pub pending: f64,
    /// The window, own units told in it and units elsewhere seen in it.
    #[prost(uint64, tag = "8")]
    pub window: u64,
    /// See `window`.
    #[prost(double, tag = "9")]
    pub told: f64,
    /// See `window`.
    #[prost(double, tag = "10")]
    pub seen: f64,
    /// Last answer of the counter; none if 0.
    #[prost(uint64, tag = "11")]
    pub answered: u64,
    /// Last request.
    #[prost(uint64, tag = "12")]
    pub last_seen: u64,
    /// Attempts out.
    #[prost(uint32, tag = "13")]
    pub open: u32,
}

/// A ticket node.
#[derive(Clone, PartialEq, Message)]
pub struct Node {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its start, as the limiter has it.
    #[prost(uint64, tag = "2")]
    pub started: u64,
    /// Its pace against the others.
    #[prost(double, tag = "3")]
    pub ratio: f64,
    /// When it was last judged.
    #[prost(uint64, tag = "4")]
    pub judged: u64,
    /// By class: part of the attempts that failed.
    #[prost(message, repeated, tag = "5")]
    pub fails: Vec<Fails>,
}

/// How often a class fails at a node.
#[derive(Clone, PartialEq, Message)]
pub struct Fails {
    /// Number of the class.
    #[prost(uint32, tag = "1")]
    pub class: u32,
    /// Part of its attempts.
    #[prost(double, tag = "2")]
    pub part: f64,
    /// When it was last heard.
    #[prost(uint64, tag = "3")]
    pub at: u64,
}

/// A ticket node taken out, or put back.
#[derive(Clone, PartialEq, Message)]
pub struct Ban {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Taken out.
    #[prost(bool, tag = "2")]
    pub out: bool,
    /// When it was put back.
    #[prost(uint64, tag = "3")]
    pub at: u64,
}

/// The last words.
#[derive(Clone, PartialEq, Message)]
pub struct FinalReport {
    /// Units sent on since, and claimed from the counter and not sent on (below nought).
    #[prost(message, repeated, tag = "1")]
    pub unreported: Vec<UnreportedUnits>,
}

/// Units of an account that the counter is to be told.
#[derive(Clone, PartialEq, Message)]
pub struct UnreportedUnits {
    /// The account.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The units.
    #[prost(double, tag = "2")]
    pub units: f64,
}
