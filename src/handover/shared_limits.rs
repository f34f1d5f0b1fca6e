//! Sharing of the limits of connections and memory with another process of the same limiter, which goes
//! on until that process has ended: one whose hand-over has failed, or is complete, still holds memory.

use super::LimiterProcess;
use crate::memory::OtherProcess;
use crate::threads::{lock, spawn};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval of the checks whether the other process has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The other process whose end is awaited, if any.
#[derive(Debug, Default)]
pub(super) struct SharedLimits {
    awaited: Mutex<Option<OtherProcess>>,
}

impl SharedLimits {
    /// Shares the limits with `other` from now on.
    pub(super) fn share<L: LimiterProcess>(&self, process: &L, other: OtherProcess) {
        let mut awaited = lock(&self.awaited);
        *awaited = None;
        process.set_sharing(Some(other));
    }

    /// Gives this process the whole limits once `other` holds no memory any more, unless they are shared
    /// with a further process by then.
    pub(super) fn end_with<L: LimiterProcess>(
        self: &Arc<Self>,
        process: &Arc<L>,
        other: OtherProcess,
    ) {
        *lock(&self.awaited) = Some(other);
        let (limits, sharing_process) = (self.clone(), process.clone());
        let watched = spawn("handover-watch", move || {
            while other.holds_memory() && limits.awaits(other) {
                thread::sleep(CHECK_INTERVAL);
            }
            limits.end(&*sharing_process, other);
        });
        if watched.is_err() {
            self.end(&**process, other);
        }
    }

    fn awaits(&self, other: OtherProcess) -> bool {
        *lock(&self.awaited) == Some(other)
    }

    fn end<L: LimiterProcess>(&self, process: &L, other: OtherProcess) {
        let mut awaited = lock(&self.awaited);
        if awaited.take_if(|awaited| *awaited == other).is_some() {
            process.set_sharing(None);
        }
    }
}
