//! Codec of the simulator's wire: JSON lines in, JSON lines out. The names of the wire occur here alone.

mod actions;
mod error;
mod events;
mod names;
mod reader;
mod settings;

pub use actions::{write, write_fault};
pub use error::ParseError;
pub use events::{parse, Line};
pub use names::{Lookup, Names};
pub use settings::settings;
