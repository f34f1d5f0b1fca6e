//! The setup of a rig.

/// How a rig is set up.
pub struct Plan {
    pub name: &'static str,
    pub limiters: usize,
    pub seed: u64,
    /// Limiters that every one knows from the start.
    pub seeds: usize,
    pub nodes: usize,
    /// Units a second and at once, of each account.
    pub rate: f64,
    pub burst: f64,
    /// Share of its part that a limiter keeps.
    pub kept: f64,
    /// Knows of the others at all.
    pub fleet: bool,
}

impl Plan {
    pub fn new(name: &'static str, limiters: usize) -> Self {
        let seed = 1_000 + limiters as u64;
        let (nodes, seeds) = (4, limiters);
        Self {
            name,
            limiters,
            seed,
            seeds,
            nodes,
            rate: 1e5,
            burst: 2e5,
            kept: 0.5,
            fleet: true,
        }
    }
}
