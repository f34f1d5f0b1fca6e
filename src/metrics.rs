//! Counters that operators are shown. They are kept where the thing happens, and read without asking the core.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// How a request ended, as its agent was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// With a ticket node's value.
    Served,
    /// Trying again is harmless.
    Rejected,
    /// Promising nothing, or the agent had gone.
    Failed,
}

/// All figures of one process; they begin at 0.
#[derive(Debug, Default)]
pub struct Metrics {
    /// By class: its name, and requests served, refused and failed.
    classes: Vec<(String, [AtomicU64; 3])>,
    attempts: AtomicU64,
    in_flight: AtomicU64,
    servers: [AtomicUsize; 2],
}

impl Metrics {
    /// Metrics of these classes, which are told as 0 until a request of theirs has ended.
    pub fn new(classes: Vec<String>) -> Arc<Self> {
        let classes = classes
            .into_iter()
            .map(|name| (name, Default::default()))
            .collect();
        Arc::new(Self {
            classes,
            ..Self::default()
        })
    }

    /// A request of this class has been taken.
    pub fn taken(self: &Arc<Self>, class: usize) -> InFlightRequest {
        self.in_flight.fetch_add(1, Relaxed);
        InFlightRequest {
            figures: self.clone(),
            class,
            end: RequestOutcome::Failed,
        }
    }

    /// An attempt has been written whole to a ticket node.
    pub fn attempt(&self) {
        self.attempts.fetch_add(1, Relaxed);
    }

    /// Requests taken whose answer is not written.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// So many ticket nodes are listed, and so many of them avoided now.
    pub fn servers(&self, known: usize, excluded: usize) {
        self.servers[0].store(known, Relaxed);
        self.servers[1].store(excluded, Relaxed);
    }

    /// Each figure's name and value.
    pub fn all(&self) -> Vec<(String, u64)> {
        let words = ["served", "refused", "failed"];
        let class = |(name, ends): &(String, [AtomicU64; 3])| {
            let one = |(word, count): (&str, &AtomicU64)| {
                (format!("requests.{name}.{word}"), count.load(Relaxed))
            };
            words.into_iter().zip(ends).map(one).collect::<Vec<_>>()
        };
        let mut all: Vec<_> = self.classes.iter().flat_map(class).collect();
        let servers = self
            .servers
            .each_ref()
            .map(|count| count.load(Relaxed) as u64);
        let rest = [
            ("attempts", self.attempts.load(Relaxed)),
            ("in_flight", self.in_flight.load(Relaxed)),
            ("servers_known", servers[0]),
            ("servers_excluded", servers[1]),
        ];
        all.extend(rest.map(|(name, value)| (name.to_owned(), value)));
        all
    }
}

/// A request that has been taken: counted once, when this is dropped, as failed unless something else was told.
///
/// Guards against requests that end where nobody thought of counting them.
#[derive(Debug)]
pub struct InFlightRequest {
    figures: Arc<Metrics>,
    class: usize,
    end: RequestOutcome,
}

impl InFlightRequest {
    /// The whole answer has been written.
    pub fn finish(mut self, end: RequestOutcome) {
        self.end = end;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if let Some((_, ends)) = self.figures.classes.get(self.class) {
            ends[self.end as usize].fetch_add(1, Relaxed);
        }
        self.figures.in_flight.fetch_sub(1, Relaxed);
    }
}
