//! Several processes of the program, with everything between and around them controlled by the test.

mod load;
mod plan;
mod processes;
mod stand_ins;

pub use plan::Plan;
pub use processes::Rig;
