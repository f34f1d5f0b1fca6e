//! CPU time and memory of a process, and the delay with which the machine schedules its threads.

use crate::error::LabError;
use hdrhistogram::Histogram;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Clock ticks in a second, the unit of CPU time in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Upper bound of the lateness histogram in µs; longer delays are recorded as this one.
const MAX_LATENESS_US: u64 = 60_000_000;
/// Interval at which a process checks whether it is woken in time.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the CPU time of a process in seconds, including threads that have ended, or 0 if `/proc`
/// has no such record. `None` stands for the calling process.
pub fn cpu_seconds(process: Option<u32>) -> f64 {
    let Ok(text) = std::fs::read_to_string(path(process, "stat")) else {
        return 0.0;
    };
    // The program name in parentheses may itself contain any character, so the fields are read
    // after the last closing parenthesis.
    let Some((_, fields)) = text.rsplit_once(')') else {
        return 0.0;
    };
    let field = |number: usize| {
        fields
            .split_whitespace()
            .nth(number)
            .and_then(|f| f.parse::<u64>().ok())
    };
    // Counted from the field after the name: user time and system time.
    (field(11).unwrap_or(0) + field(12).unwrap_or(0)) as f64 / TICKS_PER_S
}

/// Returns the resident memory of a process in bytes, or 0 if `/proc` has no such record. `None`
/// stands for the calling process.
pub fn memory_bytes(process: Option<u32>) -> u64 {
    let Ok(text) = std::fs::read_to_string(path(process, "statm")) else {
        return 0;
    };
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|f| f.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

fn path(process: Option<u32>, file: &str) -> String {
    match process {
        Some(id) => format!("/proc/{id}/{file}"),
        None => format!("/proc/self/{file}"),
    }
}

/// Histogram of how much later than requested this process is woken from a sleep.
#[derive(Clone)]
pub struct Lateness(Arc<Mutex<Histogram<u64>>>);

impl Lateness {
    /// Starts a thread that measures the lateness.
    pub fn start() -> Result<Self, LabError> {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENESS_US, 3)?;
        let lateness = Self(Arc::new(Mutex::new(histogram)));
        let measured = lateness.clone();
        crate::stand_in::spawn(move || measured.run())?;
        Ok(lateness)
    }

    fn run(&self) {
        loop {
            let began = Instant::now();
            std::thread::sleep(TICK_INTERVAL);
            let late = began.elapsed().saturating_sub(TICK_INTERVAL);
            let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            histogram.saturating_record(late.as_micros() as u64);
        }
    }

    /// Returns the 99th percentile and the maximum in ms.
    pub fn p99_and_max_ms(&self) -> (f64, f64) {
        let histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        (
            histogram.value_at_quantile(0.99) as f64 / 1e3,
            histogram.max() as f64 / 1e3,
        )
    }

    /// Discards what was recorded so far.
    pub fn reset(&self) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .reset();
    }
}
