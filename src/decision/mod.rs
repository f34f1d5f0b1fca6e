//! The decisions of a limiter, without I/O or clocks.
//!
//! An [`Engine`] is a state machine: its host notifies it of [`Event`]s with the time, and carries out
//! the [`Action`]s that come back. The same events give the same actions.

mod action;
mod engine;
mod event;
mod identifiers;
mod quota_shares;
mod settings;
mod state;

pub use action::Action;
pub use engine::{count_name, window, Engine};
pub use event::{AttemptResult, Endpoint, Event, Outcome, Readiness, Request, UpdateScope};
pub use identifiers::{AccountId, Micros, RequestId, ServerId};
pub use quota_shares::QuotaShares;
pub use settings::{
    Idempotency, KeyScope, Limits, LoadField, Plan, Prices, RequestClass, Safety, Settings,
};

pub(crate) use state::{Customer, Held};
