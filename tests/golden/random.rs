//! Random number generator of the golden tests. It is implemented here so that no update of a
//! dependency can change its sequence, on which the recorded traces depend.

/// The SplitMix64 generator.
pub struct SplitMix64(u64);

impl SplitMix64 {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from 0 to `bound`, excluding `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    /// Returns a number from `min` to `max`, including both.
    pub fn between(&mut self, min: u64, max: u64) -> u64 {
        min + self.below(max - min + 1)
    }

    /// Returns true with a probability of `percent` %.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Returns a random element.
    pub fn pick<'a, T>(&mut self, elements: &'a [T]) -> &'a T {
        &elements[self.below(elements.len() as u64) as usize]
    }
}
