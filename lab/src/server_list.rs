//! The server list of the discovery stand-in: entries, their changes, and their JSON text on the
//! wire.

use rand::rngs::StdRng;
use rand::seq::index::sample;
use rand::SeedableRng;
use std::fmt::Write;
use std::sync::Arc;

/// Lifecycle state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    InService,
    Terminated,
}

impl Lifecycle {
    fn wire_name(self) -> &'static str {
        match self {
            Self::InService => "in_service",
            Self::Terminated => "terminated",
        }
    }
}

#[derive(Clone, Copy)]
struct Entry {
    lifecycle: Lifecycle,
    started_at_ms: u64,
}

/// The server list with the changes of each version.
pub struct ServerList {
    entries: Vec<Entry>,
    services: u32,
    zones: u32,
    generation: u64,
    rng: StdRng,
    /// JSON text of the whole list.
    whole: Arc<str>,
    /// JSON text of the changes of each version, from version 2 on.
    changes: Vec<Arc<str>>,
}

impl ServerList {
    /// Creates version 1 of a list, with every server in service.
    pub fn new(servers: u32, services: u32, zones: u32, seed: u64) -> Self {
        let entry = Entry {
            lifecycle: Lifecycle::InService,
            started_at_ms: 0,
        };
        let mut list = Self {
            entries: vec![entry; servers as usize],
            services,
            zones,
            generation: 1,
            rng: StdRng::seed_from_u64(seed),
            whole: "".into(),
            changes: Vec::new(),
        };
        list.whole = list.whole_text();
        list
    }

    /// Returns the current version.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the JSON text of the whole list.
    pub fn whole(&self) -> Arc<str> {
        self.whole.clone()
    }

    /// Returns the JSON texts of the changes after `generation`, one for each later version, or
    /// `None` if the whole list has to be sent.
    pub fn changes_after(&self, generation: u64) -> Option<&[Arc<str>]> {
        let after = usize::try_from(generation.checked_sub(1)?).ok()?;
        self.changes.get(after..)
    }

    /// Restarts `count` randomly drawn servers, which changes their start times.
    pub fn restart_servers(&mut self, count: u32, now_ms: u64) {
        let count = (count as usize).min(self.entries.len());
        let changed: Vec<usize> = sample(&mut self.rng, self.entries.len(), count).into_vec();
        for number in &changed {
            self.entries[*number] = Entry {
                lifecycle: Lifecycle::InService,
                started_at_ms: now_ms,
            };
        }
        self.publish(&changed);
    }

    /// Takes a zone's servers out of service, or puts them back into service.
    pub fn set_zone(&mut self, zone: u32, in_service: bool, now_ms: u64) {
        let lifecycle = if in_service {
            Lifecycle::InService
        } else {
            Lifecycle::Terminated
        };
        let changed: Vec<usize> = (zone as usize..self.entries.len())
            .step_by(self.zones as usize)
            .collect();
        for number in &changed {
            self.entries[*number] = Entry {
                lifecycle,
                started_at_ms: now_ms,
            };
        }
        self.publish(&changed);
    }

    fn publish(&mut self, changed: &[usize]) {
        self.generation += 1;
        self.changes.push(self.text(false, changed.iter().copied()));
        self.whole = self.whole_text();
    }

    fn whole_text(&self) -> Arc<str> {
        let listed = |number: &usize| self.entries[*number].lifecycle != Lifecycle::Terminated;
        self.text(true, (0..self.entries.len()).filter(listed))
    }

    fn text(&self, reset: bool, numbers: impl Iterator<Item = usize>) -> Arc<str> {
        let mut text = format!(
            "{{\"generation\":{},\"reset\":{reset},\"instances\":[",
            self.generation
        );
        for (index, number) in numbers.enumerate() {
            let Entry {
                lifecycle,
                started_at_ms,
            } = self.entries[number];
            let comma = if index > 0 { "," } else { "" };
            let (high, low) = (number / 250, number % 250 + 1);
            let (zone, cell) = (number as u32 % self.zones, number as u32 % self.services);
            let state = lifecycle.wire_name();
            _ = write!(
                text,
                "{comma}{{\"instanceId\":\"s-{number:08x}\",\"hostPort\":\"10.1.{high}.{low}:6379\",\
                 \"zone\":\"z{zone}\",\"machineType\":\"m2\",\"cell\":{cell},\"lifecycle\":\"{state}\",\
                 \"weight\":1.0,\"startedAtMs\":{started_at_ms}}}"
            );
        }
        text.push_str("]}\n");
        text.into()
    }
}
