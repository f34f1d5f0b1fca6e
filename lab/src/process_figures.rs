//! A process's own processor time and memory, and whether the machine keeps up with it.

use crate::error::LabError;
use hdrhistogram::Histogram;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Ticks of processor time in a second, as Linux counts them for programs.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a page.
const PAGE_BYTES: u64 = 4_096;
/// The longest lateness that is told apart, in µs.
const LONGEST_US: u64 = 60_000_000;
/// A process looks so often whether it is woken in time.
const TICK: Duration = Duration::from_millis(20);

/// Processor time of a process in seconds, its ended threads included; 0 where the system does not tell.
pub fn cpu_seconds(process: Option<u32>) -> f64 {
    let Ok(text) = std::fs::read_to_string(path(process, "stat")) else {
        return 0.0;
    };
    // The name before the last bracket may hold anything.
    let Some((_, fields)) = text.rsplit_once(')') else {
        return 0.0;
    };
    let field = |number: usize| {
        fields
            .split_whitespace()
            .nth(number)
            .and_then(|f| f.parse::<u64>().ok())
    };
    (field(11).unwrap_or(0) + field(12).unwrap_or(0)) as f64 / TICKS_PER_S
}

/// Resident memory of a process in bytes; 0 where the system does not tell.
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

/// Ticks of this process: how much later than asked for it is woken.
#[derive(Clone)]
pub struct Lateness(Arc<Mutex<Histogram<u64>>>);

impl Lateness {
    /// Starts to look.
    pub fn watch() -> Result<Self, LabError> {
        let seen = Histogram::new_with_bounds(1, LONGEST_US, 3)?;
        let lateness = Self(Arc::new(Mutex::new(seen)));
        let own = lateness.clone();
        crate::stand_in::spawn(move || own.run())?;
        Ok(lateness)
    }

    fn run(&self) {
        loop {
            let began = Instant::now();
            std::thread::sleep(TICK);
            let late = began.elapsed().saturating_sub(TICK);
            let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            seen.saturating_record(late.as_micros() as u64);
        }
    }

    /// 99th percentile and worst, in ms.
    pub fn p99_and_worst_ms(&self) -> (f64, f64) {
        let seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        (
            seen.value_at_quantile(0.99) as f64 / 1e3,
            seen.max() as f64 / 1e3,
        )
    }

    /// Forgets what was seen so far.
    pub fn reset(&self) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .reset();
    }
}
