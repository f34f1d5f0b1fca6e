//! Measures the processor time and allocations of operations.
//!
//! The time is the CPU time of the thread, so that preemption by other work on the machine, which
//! lasts for milliseconds at a time, does not count. Each duration includes the system call that
//! reads this clock.

use super::report::{Figure, Quantity};
use hdrhistogram::Histogram;
use rustix::time::{clock_gettime, ClockId};
use stats_alloc::{Region, INSTRUMENTED_SYSTEM};
use std::ops::AddAssign;
use std::time::Duration;

/// Significant digits of the histograms of durations.
const DIGITS: u8 = 3;

/// Returns the CPU time of this thread.
fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or(0))
}

/// Cost of one operation, which may consist of several parts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    duration: Duration,
    allocations: usize,
    allocated_bytes: usize,
}

impl Cost {
    /// Runs a part of the operation and adds its cost.
    pub fn measure<T>(&mut self, operation: impl FnOnce() -> T) -> T {
        let region = Region::new(&INSTRUMENTED_SYSTEM);
        let started_at = cpu_time();
        let result = operation();
        self.duration += cpu_time().saturating_sub(started_at);
        let change = region.change();
        self.allocations += change.allocations + change.reallocations;
        self.allocated_bytes += change.bytes_allocated;
        result
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, other: Self) {
        self.duration += other.duration;
        self.allocations += other.allocations;
        self.allocated_bytes += other.allocated_bytes;
    }
}

/// Costs of many runs of the same operation.
pub struct Costs {
    nanoseconds: Histogram<u64>,
    allocations: usize,
    allocated_bytes: usize,
}

impl Default for Costs {
    fn default() -> Self {
        let nanoseconds =
            Histogram::new(DIGITS).expect("3 is a valid number of significant digits");
        Self {
            nanoseconds,
            allocations: 0,
            allocated_bytes: 0,
        }
    }
}

impl Costs {
    /// Adds the cost of one run.
    pub fn add(&mut self, cost: Cost) {
        let nanoseconds = u64::try_from(cost.duration.as_nanos()).unwrap_or(u64::MAX);
        self.nanoseconds
            .record(nanoseconds.max(1))
            .expect("an auto-resizing histogram records every value");
        self.allocations += cost.allocations;
        self.allocated_bytes += cost.allocated_bytes;
    }

    /// Runs the operation once and adds its cost.
    pub fn measure<T>(&mut self, operation: impl FnOnce() -> T) -> T {
        let mut cost = Cost::default();
        let result = cost.measure(operation);
        self.add(cost);
        result
    }

    /// Returns the durations and mean allocations of all runs; empty if there was no run.
    pub fn figures(&self) -> Vec<Figure> {
        let runs = self.nanoseconds.len();
        if runs == 0 {
            return Vec::new();
        }
        let microseconds = |nanoseconds: u64| nanoseconds as f64 / 1e3;
        let mean = |sum: usize| sum as f64 / runs as f64;
        vec![
            Figure::new(
                Quantity::Median,
                microseconds(self.nanoseconds.value_at_quantile(0.5)),
            ),
            Figure::new(
                Quantity::P99,
                microseconds(self.nanoseconds.value_at_quantile(0.99)),
            ),
            Figure::new(Quantity::Worst, microseconds(self.nanoseconds.max())),
            Figure::new(Quantity::Allocations, mean(self.allocations)),
            Figure::new(Quantity::AllocatedBytes, mean(self.allocated_bytes)),
        ]
    }
}

/// Creates a value and measures how many bytes of the heap it holds.
pub fn measure_held_bytes<T>(create: impl FnOnce() -> T) -> (T, Figure) {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let value = create();
    let change = region.change();
    let held = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (value, Figure::new(Quantity::HeldBytes, held))
}

/// Drops a value and measures how many bytes of the heap it held.
pub fn measure_freed_bytes<T>(value: T) -> Figure {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    drop(value);
    let change = region.change();
    let freed = change.bytes_deallocated as f64 - change.bytes_allocated as f64;
    Figure::new(Quantity::HeldBytes, freed.max(0.0))
}
