//! The ids of requests that may have run and must not run again.

use crate::decision::{Micros, RequestId};
use std::collections::{HashMap, VecDeque};

/// Ids that clients gave to requests, until their windows end. At the bound, the id that was added
/// first is forgotten.
pub(super) struct RecentIds {
    /// When the window of an id ends.
    ends: HashMap<RequestId, Micros>,
    /// The ids in the order in which they were added. May contain ids that were removed since.
    order: VecDeque<(Micros, RequestId)>,
    max: usize,
}

impl RecentIds {
    /// Creates an empty set of at most `max` ids.
    pub(super) fn new(max: usize) -> Self {
        Self {
            ends: HashMap::new(),
            order: VecDeque::new(),
            max,
        }
    }

    /// Adds an id whose window ends at `end`.
    pub(super) fn add(&mut self, now: Micros, id: RequestId, end: Micros) {
        self.remove_ended(now);
        if self.order.len() >= self.max {
            self.remove_first();
        }
        self.ends.insert(id.clone(), end);
        self.order.push_back((end, id));
    }

    /// Whether a request with this id may have run within its window.
    pub(super) fn contains(&self, now: Micros, id: &RequestId) -> bool {
        self.ends.get(id).is_some_and(|end| now < *end)
    }

    /// Removes an id whose request is known not to have run.
    pub(super) fn remove(&mut self, id: &RequestId) {
        self.ends.remove(id);
    }

    /// Returns the ids whose windows have not ended, and when they end.
    pub(super) fn all(&self, now: Micros) -> impl Iterator<Item = (&RequestId, Micros)> {
        let open = self.ends.iter().filter(move |(_, end)| now < **end);
        open.map(|(id, end)| (id, *end))
    }

    fn remove_ended(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(end, _)| *end <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let Some((end, id)) = self.order.pop_front() else {
            return;
        };
        // The id may have been added again since, with another window.
        if self.ends.get(&id) == Some(&end) {
            self.ends.remove(&id);
        }
    }
}
