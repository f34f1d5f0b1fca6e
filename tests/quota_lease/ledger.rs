//! Units that were granted or used of one account over time, and by how much they exceed what a rate
//! allows.

use mossrill::decision::Micros;

/// Changes of a number of units, in thousandths, each with its time.
#[derive(Clone, Debug, Default)]
pub struct UnitSeries(Vec<(Micros, i64)>);

const MICROS_PER_SECOND: i128 = 1_000_000;

impl UnitSeries {
    /// Adds units and returns the index that [`Self::cancel`] takes.
    pub fn add(&mut self, now: Micros, units: i64) -> usize {
        self.0.push((now, units));
        self.0.len() - 1
    }

    /// Sets the units at an index to 0, as if they had not been added.
    pub fn cancel(&mut self, index: usize) {
        self.0[index].1 = 0;
    }

    /// Returns the sum of all units.
    pub fn total(&self) -> i64 {
        self.0.iter().map(|(_, units)| units).sum()
    }

    /// Returns the maximum, over all time spans, of the units within the span less `rate` times its
    /// duration, in thousandths of a unit, rounded up. `rate` is in thousandths of a unit per second.
    pub fn max_excess_over(&self, rate: u64) -> i64 {
        let (mut sum, mut min_balance, mut max_excess) = (0, i128::MAX, 0);
        for (at, units) in &self.0 {
            let allowed = i128::from(rate) * i128::from(*at);
            min_balance = min_balance.min(sum - allowed);
            sum += i128::from(*units) * MICROS_PER_SECOND;
            max_excess = max_excess.max(sum - allowed - min_balance);
        }
        i64::try_from((max_excess + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND).unwrap()
    }
}

#[test]
fn max_excess_over_a_rate_is_taken_over_all_spans() {
    let mut flow = UnitSeries::default();
    flow.add(0, 3_000);
    flow.add(1_000_000, 2_000);
    flow.add(5_000_000, 4_000);
    let cancelled = flow.add(5_000_000, 9_000);
    flow.cancel(cancelled);
    assert_eq!(flow.total(), 9_000);
    // At 1 unit per second the maximum is at the first second or at the last grant; at 10 units per
    // second it is the last grant alone; at rate 0 it is the total.
    assert_eq!(flow.max_excess_over(1_000), 4_000);
    assert_eq!(flow.max_excess_over(10_000), 4_000);
    assert_eq!(flow.max_excess_over(0), 9_000);
}
