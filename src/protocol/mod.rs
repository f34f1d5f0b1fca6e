//! Codecs for RESP and HTTP, and the pooled buffers that messages are read into.

pub mod buffers;
pub mod command_skipper;
pub mod http;
pub mod resp;
