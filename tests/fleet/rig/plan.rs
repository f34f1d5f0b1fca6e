//! The setup of a rig.

/// How a rig is set up.
pub struct Plan {
    /// Name in the rig's messages and in the names of its folders and files.
    pub name: &'static str,
    /// Number of limiters.
    pub limiters: usize,
    /// Seed of the relay's faults and, with its number, of each limiter.
    pub seed: u64,
    /// Number of limiters, from 0 on, that every limiter has as seeds of the fleet.
    pub seeds: usize,
    /// Number of upstream servers.
    pub servers: usize,
    /// Units per second of each account.
    pub rate: f64,
    /// Units that each account may use at once.
    pub burst: f64,
    /// Fraction of its even quota share that a limiter keeps without a lease.
    pub kept: f64,
    /// Whether the limiters are members of a fleet.
    pub fleet: bool,
}

impl Plan {
    pub fn new(name: &'static str, limiters: usize) -> Self {
        let seed = 1_000 + limiters as u64;
        let (servers, seeds) = (4, limiters);
        Self {
            name,
            limiters,
            seed,
            seeds,
            servers,
            rate: 1e5,
            burst: 2e5,
            kept: 0.5,
            fleet: true,
        }
    }
}
