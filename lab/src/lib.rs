//! Scale tests of mossrill: scenario files, stand-ins for the services around a fleet (discovery,
//! counter, upstream servers), simulated ("hollow") limiters that run the real state machines, and
//! measurement. `README.md` lists what is a stand-in and what runs in virtual time.

#![forbid(unsafe_code)]
#![warn(clippy::too_many_lines)]
#![warn(missing_docs)]

pub mod audit;
pub mod child;
pub mod clock;
pub mod counter;
pub mod counter_mechanism;
pub mod discovery;
pub mod engine_host;
pub mod error;
pub mod event_queue;
pub mod hollow;
pub mod hollow_play;
pub mod lease_mechanism;
pub mod load_generator;
pub mod membership_play;
pub mod messages;
pub mod population;
pub mod predictions;
pub mod process_figures;
pub mod quota_log;
pub mod quota_mechanism;
pub mod quota_network;
pub mod quota_play;
pub mod real_files;
pub mod real_play;
pub mod real_process;
pub mod report;
pub mod run;
pub mod scenario;
pub mod server_list;
pub mod soak;
pub mod stand_in;
pub mod summary;
pub mod upstream;

/// Simulated network in virtual time, shared with the membership tests.
#[path = "../../tests/common/net.rs"]
#[allow(dead_code, missing_docs, missing_debug_implementations)]
mod net;
