//! Golden tests: decisions and encoded messages are compared with those that were recorded before
//! the program was restructured.
//!
//! The tests never write the recorded files. A difference means that the behaviour has changed.

#[path = "../common/golden.rs"]
mod golden;
mod hosts;
mod messages;
mod random;
mod settings;
mod traces;
mod wire_texts;
mod world;
