//! Codec for the protocol of the simulator: JSON lines in both directions. Its wire names are used
//! in this module only.

mod actions;
mod error;
mod events;
mod names;
mod reader;
mod settings;

pub use actions::{encode_action, encode_fault};
pub use error::ParseError;
pub use events::{parse_line, Line};
pub use names::{Lookup, Names};
pub use settings::parse_settings;
