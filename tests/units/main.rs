//! Parts of the limiter that need neither sockets of their own nor a clock, one file by subject.

mod admin_calls;
mod bans;
mod deploy_file;
mod glossary;
mod handover_link;
mod handover_stages;
mod layers;
mod log_messages;
mod node_list_waits;
mod shutdown;
mod source_text;
