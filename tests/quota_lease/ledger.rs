//! What was granted and used of one account, and by how much that is more than a rate alone allows.

use mossrill::decision::Micros;

/// Units in thousandths, by time.
#[derive(Clone, Debug, Default)]
pub struct Flow(Vec<(Micros, i64)>);

const MICROS_PER_SECOND: i128 = 1_000_000;

impl Flow {
    /// Adds units, and names the place for [`Self::cancel`].
    pub fn add(&mut self, now: Micros, units: i64) -> usize {
        self.0.push((now, units));
        self.0.len() - 1
    }

    /// As if it had never been added.
    pub fn cancel(&mut self, place: usize) {
        self.0[place].1 = 0;
    }

    /// Units in all.
    pub fn total(&self) -> i64 {
        self.0.iter().map(|(_, units)| units).sum()
    }

    /// Over all spans, the most by which the units within a span of t exceed `rate` times t, in thousandths, rounded up.
    pub fn most_above(&self, rate: u64) -> i64 {
        let (mut sum, mut lowest, mut most) = (0, i128::MAX, 0);
        for (at, units) in &self.0 {
            let allowed = i128::from(rate) * i128::from(*at);
            lowest = lowest.min(sum - allowed);
            sum += i128::from(*units) * MICROS_PER_SECOND;
            most = most.max(sum - allowed - lowest);
        }
        i64::try_from((most + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND).unwrap()
    }
}

#[test]
fn the_most_above_a_rate_is_found_over_all_spans() {
    let mut flow = Flow::default();
    flow.add(0, 3_000);
    flow.add(1_000_000, 2_000);
    flow.add(5_000_000, 4_000);
    let cancelled = flow.add(5_000_000, 9_000);
    flow.cancel(cancelled);
    assert_eq!(flow.total(), 9_000);
    // The first second alone, with 1 unit a second; the last grant alone; and all of it at a rate of nothing.
    assert_eq!(flow.most_above(1_000), 4_000);
    assert_eq!(flow.most_above(10_000), 4_000);
    assert_eq!(flow.most_above(0), 9_000);
}
