//! Settings of one limiter's view of the fleet.

use crate::decision::Micros;
use crate::membership::format::Encoding;
use std::net::SocketAddrV4;

/// Settings of a [`View`](super::View).
#[derive(Clone, Debug)]
pub struct ViewSettings {
    /// Number of this limiter.
    pub limiter: u32,
    /// Number of configured limiters.
    pub limiters: u32,
    /// How datagrams carry the set of revoked leases.
    pub encoding: Encoding,
    /// Name of the fleet.
    pub fleet: String,
    /// Address at which the other limiters reach this one.
    pub address: SocketAddrV4,
    /// Encoded version of the program.
    pub version: u32,
    /// Configured addresses of limiters, by number. Gossip does not override them.
    pub seeds: Vec<(u32, SocketAddrV4)>,
    /// Protocol period in µs. One member is probed in each period.
    pub protocol_period: Micros,
    /// Maximum number of datagrams sent per second.
    pub max_sent_per_second: u32,
    /// Maximum number of datagrams accepted per second.
    pub max_received_per_second: u32,
    /// Time in µs after which a member that is dead or has left is forgotten.
    pub forget_after: Micros,
    /// Fraction of its even share that a limiter keeps in any case, from 0 to 1.
    pub guaranteed_share: f64,
}
