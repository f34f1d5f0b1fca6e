//! Encoder of the lines sent to the simulator: actions of instances, and failures of their code.

use crate::decision::Action;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::json;

/// Returns the line for an action of an instance.
pub fn encode_action(instance: u64, action: &Action) -> String {
    let line = match action {
        Action::Send {
            id,
            server,
            timeout,
            ..
        } => json!(["submitTo", instance, &*id.0, timeout, &*server.0]),
        Action::Cancel { id, attempt } => json!(["dropAttempt", instance, &*id.0, attempt]),
        Action::Reject { id, retry_after } => json!(["bounce", instance, &*id.0, retry_after]),
        Action::Fail { id } => json!(["abort", instance, &*id.0]),
        Action::SetTimer { delay, token } => json!(["defer", instance, delay, token]),
        Action::CheckHealth { server } => json!(["poll", instance, &*server.0]),
        Action::SendToPeer { to, body } => json!(["signal", instance, to, STANDARD.encode(body)]),
        Action::AddToCounter { key, amount, ttl } => {
            json!(["addAndGet", instance, key, amount, ttl])
        }
        Action::WatchEndpoints => json!(["tail", instance, true]),
        Action::RequestLease { .. } => return encode_fault(instance, "the platform has no leases"),
    };
    line.to_string()
}

/// Returns the line that reports a failure in the code of an instance.
pub fn encode_fault(instance: u64, text: &str) -> String {
    json!(["giveIn", instance, text]).to_string()
}
