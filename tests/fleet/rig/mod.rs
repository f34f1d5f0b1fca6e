//! A fleet of limiter processes whose network, upstream servers, quota counter and service
//! discovery are controlled by the test.

mod load;
mod plan;
mod processes;
mod stand_ins;

pub use plan::Plan;
pub use processes::Rig;
