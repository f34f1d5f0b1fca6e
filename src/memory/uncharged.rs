//! The memory of the process that no charge covers: the program, unused buffers, idle threads, and
//! what the allocator keeps of memory that was freed.

use super::other_process::OtherProcess;
use crate::threads::lock;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// File in which Linux gives the memory of a process in pages (proc(5)).
const STATM_FILE: &str = "/proc/self/statm";
/// Least time between two measurements.
const MEASURE_INTERVAL: Duration = Duration::from_millis(10);
/// Room for the text of [`STATM_FILE`], in bytes.
const STATM_BYTES: usize = 160;

/// The pages of a process that are resident.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResidentPages {
    /// All resident pages.
    pub total: usize,
    /// Those of them that are mapped from files, which two processes of one program share.
    pub files: usize,
}

impl ResidentPages {
    /// Parses the text of the system's file. `None` if it is not as documented.
    pub fn parse(statm: &str) -> Option<Self> {
        let mut figures = statm.split_whitespace().skip(1);
        Some(Self {
            total: figures.next()?.parse().ok()?,
            files: figures.next()?.parse().ok()?,
        })
    }
}

/// Measures the memory of the process that no charge covers, and that of another process of the same
/// limiter.
#[derive(Debug)]
pub(super) struct UnchargedMemory {
    /// Kept open, as a process in need of memory is often in need of descriptors too. None if the
    /// system has no such file: nothing is measured then.
    statm: Option<File>,
    /// In bytes.
    page_bytes: usize,
    started: Instant,
    /// When the next measurement is due, in microseconds since `started`.
    next_measurement: AtomicU64,
    /// In bytes, as last measured.
    bytes: AtomicUsize,
    /// The file of the other process; none if there is none, or the system does not tell.
    other_statm: Mutex<Option<File>>,
    /// What the other process adds to the memory of this one, in bytes, as last measured.
    other_bytes: AtomicUsize,
}

impl UnchargedMemory {
    /// Returns a measurement of this process.
    pub(super) fn of_process() -> Self {
        Self {
            statm: File::open(STATM_FILE).ok(),
            ..Self::none()
        }
    }

    /// Returns a measurement that is always zero.
    pub(super) fn none() -> Self {
        Self {
            statm: None,
            page_bytes: rustix::param::page_size(),
            started: Instant::now(),
            next_measurement: AtomicU64::new(0),
            bytes: AtomicUsize::new(0),
            other_statm: Mutex::default(),
            other_bytes: AtomicUsize::new(0),
        }
    }

    /// Sets the other process that is measured from now on, if there is one.
    pub(super) fn set_other_process(&self, other: Option<OtherProcess>) {
        let statm_file = other.and_then(|other| other.statm_file());
        *lock(&self.other_statm) = statm_file.and_then(|path| File::open(path).ok());
        self.other_bytes.store(0, Ordering::Relaxed);
    }

    /// Returns what the other process adds to the memory of this one, in bytes, as last measured: the
    /// pages of files that both have are divided between them.
    pub(super) fn other_bytes(&self) -> usize {
        self.other_bytes.load(Ordering::Relaxed)
    }

    /// Returns the memory beyond `charged` bytes, in bytes, measuring it if that is due. `is_shared`
    /// states that another process has the same file pages, which count half for each.
    pub(super) fn bytes(&self, charged: usize, is_shared: bool) -> usize {
        if self.begin_measurement() {
            if let Some(pages) = self.statm.as_ref().and_then(read_pages) {
                let files_elsewhere = if is_shared { pages.files / 2 } else { 0 };
                self.measure_other_process(files_elsewhere);
                let resident = pages.total.saturating_sub(files_elsewhere) * self.page_bytes;
                self.bytes
                    .store(resident.saturating_sub(charged), Ordering::Relaxed);
            }
        }
        self.bytes.load(Ordering::Relaxed)
    }

    /// Whether a measurement is due; if so, the caller makes it and no other thread does.
    fn begin_measurement(&self) -> bool {
        let now = self.started.elapsed().as_micros() as u64;
        let due = self.next_measurement.load(Ordering::Relaxed);
        let next = now + MEASURE_INTERVAL.as_micros() as u64;
        self.statm.is_some()
            && now >= due
            && self
                .next_measurement
                .compare_exchange(due, next, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok()
    }

    /// Measures the other process, which has this many pages of files in addition. One that has ended
    /// holds nothing.
    fn measure_other_process(&self, file_pages: usize) {
        let pages = lock(&self.other_statm).as_ref().and_then(read_pages);
        let pages = pages.map_or(0, |pages| {
            pages.total.saturating_sub(pages.files) + file_pages
        });
        self.other_bytes
            .store(pages * self.page_bytes, Ordering::Relaxed);
    }
}

/// Reads the pages of a process from its file.
fn read_pages(statm: &File) -> Option<ResidentPages> {
    let mut text = [0; STATM_BYTES];
    let read = statm.read_at(&mut text, 0).ok()?;
    ResidentPages::parse(std::str::from_utf8(&text[..read]).ok()?)
}
