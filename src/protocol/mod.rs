//! Codecs of the protocols on the wire: RESP and HTTP, and the buffers that they read into.

pub mod buffers;
pub mod http;
pub mod resp;
