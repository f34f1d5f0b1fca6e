//! The decision logic of a limiter, without I/O or clocks.
//!
//! An [`Engine`] is a state machine: its host passes [`Event`]s with the current time to it and carries
//! out the [`Action`]s that it returns. The same events with the same seed give the same actions.
//!
//! | module | decides |
//! | --- | --- |
//! | `admission` | which requests are queued and which are rejected at once |
//! | `account_eviction` | which accounts are forgotten when there are too many |
//! | `fair_queue` | the order in which they are sent |
//! | `dispatch`, `account` | whether an account's quota allows a request |
//! | `counter_sync`, `counter_calls` | which accounts need a call of the shared counter |
//! | `concurrency` | how many attempts may be in flight |
//! | `load_balancing`, `slow_start`, `outlier` | which server gets an attempt |
//! | `sending` | whether an attempt satisfies all rules |
//! | `completion`, `retry_budget` | retries and final answers |

pub mod account;
mod account_eviction;
mod action;
mod admission;
mod completion;
pub mod concurrency;
mod counter_calls;
pub mod counter_sync;
mod dispatch;
mod endpoints;
mod engine;
mod event;
pub mod fair_queue;
mod identifiers;
pub mod latency;
mod load_balancing;
pub mod outlier;
mod quota_shares;
mod request;
pub mod retry_budget;
mod sending;
mod server;
mod settings;
pub mod slow_start;
mod timers;

pub use account::{counter_key, counter_window};
pub use action::Action;
pub use engine::Engine;
pub use event::{AttemptResult, Endpoint, Event, Outcome, Readiness, Request, UpdateScope};
pub use identifiers::{AccountId, Micros, RequestId, ServerId};
pub use quota_shares::QuotaShares;
pub use settings::{
    Idempotency, KeyScope, Limits, LoadField, Plan, Prices, RequestClass, Safety, Settings,
};
