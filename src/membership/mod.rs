//! The fleet's own view: limiters that know each other through joins, crashes and partitions.

pub mod datagram;
pub mod link;
pub mod parts;
pub mod released;
pub mod view;
