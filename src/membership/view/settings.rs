//! Settings of a view.

use crate::decision::Micros;
use crate::membership::format::Encoding;
use std::net::SocketAddrV4;

/// Settings of a [`View`](super::View).
#[derive(Clone, Debug)]
pub struct ViewSettings {
    /// Number of this limiter.
    pub me: u32,
    /// Number of configured limiters.
    pub size: u32,
    /// How datagrams carry the set of revoked leases.
    pub encoding: Encoding,
    /// The fleet's name.
    pub fleet: String,
    /// Address at which the others reach this limiter.
    pub address: SocketAddrV4,
    /// Encoded version of the program.
    pub version: u32,
    /// Configured addresses of limiters, by number. Gossip does not override them.
    pub seeds: Vec<(u32, SocketAddrV4)>,
    /// Protocol period in µs: one member is probed in each.
    pub period: Micros,
    /// The most datagrams sent in a second.
    pub out_per_s: u32,
    /// The most datagrams accepted in a second.
    pub in_per_s: u32,
    /// Time in µs after which a dead member is forgotten.
    pub forget: Micros,
    /// Fraction of its even share that a limiter keeps in any case, from 0 to 1.
    pub kept: f64,
}
