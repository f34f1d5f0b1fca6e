//! A quota limiter for a fleet of API gateways: enforces the plan of each account of a shared back
//! end.
//!
//! [`decision`] contains the decision engine, `core` the event loop that drives it, [`process`]
//! assembles a limiter from its components, and [`config`] reads its configuration.
//!
//! An [`Engine`] is a state machine without I/O or clocks: its host notifies it of events together
//! with their time, and carries out the actions that it returns.
//!
//! ```
//! use mossrill::decision::{
//!     Action, Endpoint, Engine, Event, Limits, Plan, Readiness, Request, RequestClass, Settings,
//!     UpdateScope,
//! };
//!
//! let settings = Settings {
//!     limiters: 1,
//!     classes: vec![RequestClass {
//!         latency_objective: 500_000,
//!         deadline: 2_000_000,
//!         priority_weight: 1.0,
//!         ..RequestClass::default()
//!     }],
//!     plans: vec![Plan { rate: 5.0, burst: 10.0, weight_factor: 1.0, ..Plan::default() }],
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     ..Settings::default()
//! };
//! let mut engine = Engine::new(settings, 7);
//! let mut actions = Vec::new();
//! let server = Endpoint {
//!     id: "a".into(),
//!     zone: String::new(),
//!     cell: 0,
//!     readiness: Readiness::Ready,
//!     weight: 1.0,
//!     started_at: 0,
//! };
//! let update = Event::EndpointUpdate { scope: UpdateScope::Snapshot, endpoints: vec![server] };
//! engine.on_event(0, update, &mut actions);
//! let request = Request {
//!     id: "r1".into(),
//!     class: 0,
//!     plan: 0,
//!     account: "c1".into(),
//!     timeout: 2_000_000,
//!     units: 1.0,
//!     limiter_count: 1,
//!     first_limiter: 0,
//! };
//! actions.clear();
//! engine.on_event(1_000, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { .. })));
//! ```

#![forbid(unsafe_code)]
#![warn(clippy::too_many_lines)]
#![warn(missing_docs)]

pub mod admin;
pub mod client;
pub mod clock;
pub mod config;
pub mod core;
pub mod counter;
pub mod decision;
pub mod discovery;
pub mod handover;
pub mod log_throttle;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod openapi;
pub mod platform;
pub mod process;
pub mod protocol;
pub mod quota_lease;
pub mod retrying_stream;
pub mod simulator;
pub mod threads;
pub mod upstream;

pub use decision::Engine;
