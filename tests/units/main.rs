//! Parts of the limiter that need neither sockets of their own nor a clock, one file by subject.

mod admin_calls;
mod bans;
mod glossary;
mod handover_link;
mod handover_stages;
mod node_list_waits;
mod shutdown;
