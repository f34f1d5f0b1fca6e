//! A quota limiter for a fleet of API gateways: keeps each agent account of a shared back end to its plan.
//!
//! [`core`](crate::core) is the event loop, [`process`] assembles a limiter, [`config`] reads its configuration. The
//! decisions are in [`policy`].
//!
//! A [`Gateway`] is a state machine without input or output of its own: a host hands it events with the
//! time, and carries out the actions that come back.
//!
//! ```
//! use mossrill::interface::*;
//! use mossrill::Gateway;
//!
//! let settings = Settings {
//!     gateways: 1,
//!     classes: vec![Class { aim: 500_000, deadline: 2_000_000, worth: 1.0, ..Class::default() }],
//!     plans: vec![Plan { rate: 5.0, burst: 10.0, price: 1.0, ..Plan::default() }],
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7);
//! let mut actions = Vec::new();
//! let server = Member {
//!     id: "a".into(),
//!     zone: String::new(),
//!     cell: 0,
//!     readiness: Readiness::Ready,
//!     weight: 1.0,
//!     started: 0,
//! };
//! gateway.on_event(0, Event::Members { scope: Scope::Full, members: vec![server] }, &mut actions);
//! let request = Request {
//!     id: "r1".into(),
//!     class: 0,
//!     plan: 0,
//!     customer: "c1".into(),
//!     budget: 2_000_000,
//!     units: 1.0,
//!     spread: 1,
//!     first: 0,
//! };
//! actions.clear();
//! gateway.on_event(1_000, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod client;
pub mod config;
pub mod core;
pub mod counter;
pub mod discovery;
pub mod handover;
pub mod interface;
pub mod log_throttle;
pub mod membership;
pub mod metrics;
pub mod openapi;
pub mod platform;
pub mod policy;
pub mod process;
pub mod protocol;
pub mod quota_lease;
pub mod simulator;
mod state;
pub mod threads;
pub mod upstream;

pub use policy::Gateway;
