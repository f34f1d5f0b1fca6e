//! The budget of a process, and charges to it.
//!
//! Each kind of holder may use the budget up to a ceiling of its own. What serves requests that
//! were taken has the highest ceiling, and what may still be turned away the lowest, so that bytes
//! of clients that never complete a command can't take the room that replies need.
//!
//! Charges are estimates, and some memory belongs to no holder. What the process holds beyond its
//! charges is therefore measured, and further charges have to fit beside it.

use super::other_process::OtherProcess;
use super::uncharged::UnchargedMemory;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Ceilings are multiples of one part in this many of the budget.
const PARTS: usize = 16;
/// Charges and measured memory together may reach this many [`PARTS`] of their limit.
/// The rest is for what is touched between two measurements.
const MEASURED_PARTS: usize = 15;
/// The same for two processes together: each touches memory between its measurements.
const MEASURED_PARTS_OF_BOTH: usize = 14;
/// One part in this many of the budget may be charged whatever was measured, as the allocator may
/// keep freed memory for good: it serves further charges.
const ASSURED_PARTS: usize = 4;

/// How the memory limit of a process is divided, in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryLimits {
    /// The whole process.
    pub process: usize,
    /// Charges and what is measured beside them.
    pub measured: usize,
    /// Everything that is charged to the budget.
    pub charged: usize,
    /// The requests without a written reply and their replies.
    pub requests: usize,
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemoryHolder {
    /// Bytes of a command that is not complete and does not fit in a small buffer.
    IncompleteCommand,
    /// A connection of a client: its reader, its state and a small buffer.
    Connection,
    /// A request without a written reply.
    Request,
    /// The worker of an attempt at an upstream server.
    Attempt,
    /// A response until it is written, and the writer of replies.
    Reply,
}

impl MemoryHolder {
    const COUNT: usize = 5;

    /// Returns up to how many [`PARTS`] of the budget may be charged in total for a further charge
    /// of this kind.
    fn total_parts(self) -> usize {
        match self {
            Self::IncompleteCommand => 13,
            Self::Connection => 14,
            Self::Request => 15,
            Self::Attempt | Self::Reply => PARTS,
        }
    }

    /// Returns how many [`PARTS`] of the budget this kind may hold.
    fn own_parts(self) -> usize {
        match self {
            Self::IncompleteCommand => 4,
            _ => PARTS,
        }
    }
}

/// The memory that a process may hold for its peers.
#[derive(Debug)]
pub struct MemoryBudget {
    /// In bytes.
    limit: usize,
    /// Limit of charges and what is measured beside them, in bytes.
    measured_limit: usize,
    /// What no charge covers.
    uncharged: UnchargedMemory,
    /// Whether another process of this limiter holds memory too. Each then has half of the limit.
    is_shared: AtomicBool,
    /// In bytes, over all holders.
    total: AtomicUsize,
    /// In bytes, by holder.
    by_holder: [AtomicUsize; MemoryHolder::COUNT],
}

impl MemoryBudget {
    /// Returns a budget of `limit` bytes, beside which nothing is measured.
    pub fn new(limit: usize) -> Arc<Self> {
        Self::with_uncharged(limit, usize::MAX, UnchargedMemory::none())
    }

    /// Returns the budget of this process, beside whose charges the rest of its memory is measured.
    pub fn of_process(limits: MemoryLimits) -> Arc<Self> {
        let uncharged = UnchargedMemory::of_process();
        Self::with_uncharged(limits.charged, limits.measured, uncharged)
    }

    fn with_uncharged(
        limit: usize,
        measured_limit: usize,
        uncharged: UnchargedMemory,
    ) -> Arc<Self> {
        Arc::new(Self {
            limit,
            measured_limit,
            uncharged,
            is_shared: AtomicBool::new(false),
            total: AtomicUsize::new(0),
            by_holder: Default::default(),
        })
    }

    /// Sets the other process of this limiter that holds memory too, as during an upgrade, if there is
    /// one.
    pub fn set_other_process(&self, other: Option<OtherProcess>) {
        self.uncharged.set_other_process(other);
        self.is_shared.store(other.is_some(), Ordering::Relaxed);
    }

    /// Whether another process of this limiter holds memory too.
    pub fn is_shared(&self) -> bool {
        self.is_shared.load(Ordering::Relaxed)
    }

    /// Returns what is charged to all holders, in bytes.
    pub fn charged(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns what is charged to holders of this kind, in bytes.
    pub fn charged_to(&self, holder: MemoryHolder) -> usize {
        self.by_holder[holder as usize].load(Ordering::Relaxed)
    }

    /// Returns what the process holds that is not charged, in bytes, as last measured.
    pub fn uncharged(&self) -> usize {
        self.uncharged.bytes(self.charged(), self.is_shared())
    }

    /// Whether `bytes` more fit for a holder of this kind.
    pub fn has_room(&self, holder: MemoryHolder, bytes: usize) -> bool {
        let charged = self.charged() + bytes;
        let limit = self.part_of_process(self.limit);
        charged <= limit / PARTS * holder.total_parts()
            && self.charged_to(holder) + bytes <= limit / PARTS * holder.own_parts()
            && (charged <= limit / ASSURED_PARTS / PARTS * holder.total_parts()
                || self.fits_process(holder, charged))
    }

    /// Whether `charged` bytes fit beside the memory that is not charged, and beside that of another
    /// process.
    fn fits_process(&self, holder: MemoryHolder, charged: usize) -> bool {
        let held = charged.saturating_add(self.uncharged());
        let held_by_both = held.saturating_add(self.uncharged.other_bytes());
        let limit = self.part_of_process(self.measured_limit) / PARTS * MEASURED_PARTS;
        let limit_of_both = self.measured_limit / PARTS * MEASURED_PARTS_OF_BOTH;
        held <= limit / PARTS * holder.total_parts()
            && (!self.is_shared() || held_by_both <= limit_of_both / PARTS * holder.total_parts())
    }

    /// Returns how much of `limit` this process may hold.
    fn part_of_process(&self, limit: usize) -> usize {
        if self.is_shared() {
            limit / 2
        } else {
            limit
        }
    }

    /// Charges `bytes` if they fit for a holder of this kind.
    pub fn try_charge(
        self: &Arc<Self>,
        holder: MemoryHolder,
        bytes: usize,
    ) -> Option<MemoryCharge> {
        self.has_room(holder, bytes)
            .then(|| self.charge(holder, bytes))
    }

    /// Charges `bytes` even if they exceed the budget: what was taken on is never dropped.
    pub fn charge(self: &Arc<Self>, holder: MemoryHolder, bytes: usize) -> MemoryCharge {
        self.total.fetch_add(bytes, Ordering::Relaxed);
        self.by_holder[holder as usize].fetch_add(bytes, Ordering::Relaxed);
        MemoryCharge {
            budget: self.clone(),
            holder,
            bytes,
        }
    }
}

/// A charge to a budget, which ends when this value is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    budget: Arc<MemoryBudget>,
    holder: MemoryHolder,
    bytes: usize,
}

impl MemoryCharge {
    /// Changes the charge to `bytes`, even if they exceed the budget.
    pub fn set_bytes(&mut self, bytes: usize) {
        let of_holder = &self.budget.by_holder[self.holder as usize];
        self.budget.total.fetch_add(bytes, Ordering::Relaxed);
        self.budget.total.fetch_sub(self.bytes, Ordering::Relaxed);
        of_holder.fetch_add(bytes, Ordering::Relaxed);
        of_holder.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }

    /// Extends the charge to `bytes`, if it is smaller. Returns false if that does not fit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        if added == 0 {
            return true;
        }
        let Some(mut more) = self.budget.try_charge(self.holder, added) else {
            return false;
        };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.budget.total.fetch_sub(self.bytes, Ordering::Relaxed);
        self.budget.by_holder[self.holder as usize].fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
