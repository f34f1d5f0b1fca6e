//! Parser of the lines from the simulator: batches, starts and stops of instances, and events of
//! instances.

use super::names::{Lookup, SETTINGS_INDEX};
use super::reader::Message;
use super::settings::parse_settings;
use super::ParseError;
use crate::decision::{
    AttemptResult, Endpoint, Event, Micros, Readiness, Request, Settings, UpdateScope,
};
use serde_json::Value;

/// Index of the instance number in every line that names an instance.
const INSTANCE_INDEX: usize = 1;

/// A line from the simulator.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// Start of a batch, with its time in microseconds.
    Batch(Micros),
    /// End of the batch, after which a reply is expected.
    End,
    /// Start of an instance.
    Start {
        /// Number of the instance.
        instance: u64,
        /// Seed of the instance's random number generator.
        seed: u64,
        /// Settings of the instance.
        settings: Box<Settings>,
    },
    /// An instance was killed, and is removed.
    Stop {
        /// Number of the instance.
        instance: u64,
    },
    /// Event of an instance.
    Event {
        /// Number of the instance.
        instance: u64,
        /// The event that the instance must process.
        event: Event,
    },
}

/// Parses one line. `lookup` returns the names of classes and plans of running instances.
///
/// # Errors
///
/// Returns an error that names the message and the index of the value that is missing or invalid.
pub fn parse_line(line: &str, lookup: &impl Lookup) -> Result<Line, ParseError> {
    let value: Value = serde_json::from_str(line).map_err(ParseError::NotJson)?;
    let values = value.as_array().ok_or(ParseError::NotAList)?;
    let name = values
        .first()
        .and_then(Value::as_str)
        .ok_or(ParseError::NoMessageName)?;
    let message = Message { name, values };
    match name {
        "batch" => Ok(Line::Batch(message.integer(1)?)),
        "end" => Ok(Line::End),
        "provision" => parse_start(&message),
        "destroy" => Ok(Line::Stop {
            instance: message.integer(INSTANCE_INDEX)?,
        }),
        _ => parse_event_line(&message, lookup),
    }
}

fn parse_start(message: &Message<'_>) -> Result<Line, ParseError> {
    let value = message
        .get(SETTINGS_INDEX)
        .filter(|value| value.is_object())
        .ok_or_else(|| message.invalid_value(SETTINGS_INDEX, "settings"))?;
    Ok(Line::Start {
        instance: message.integer(INSTANCE_INDEX)?,
        seed: message.integer(2)?,
        settings: Box::new(parse_settings(value)?),
    })
}

fn parse_event_line(message: &Message<'_>, lookup: &impl Lookup) -> Result<Line, ParseError> {
    let event = parse_event(message, lookup)?;
    let instance = message.integer(INSTANCE_INDEX)?;
    if lookup.names(instance).is_none() {
        return Err(unknown_instance(message, instance));
    }
    Ok(Line::Event { instance, event })
}

fn unknown_instance(message: &Message<'_>, instance: u64) -> ParseError {
    ParseError::UnknownInstance {
        message: message.name.to_owned(),
        instance,
    }
}

fn parse_event(message: &Message<'_>, lookup: &impl Lookup) -> Result<Event, ParseError> {
    Ok(match message.name {
        "fleet" => parse_endpoint_update(message)?,
        "workItem" => Event::Request(parse_request(message, lookup)?),
        "opened" => Event::ResponseStarted {
            id: message.text(2)?.into(),
        },
        "resolved" => Event::AttemptEnded(parse_attempt_result(message)?),
        "withdrawn" => Event::ClientDisconnected {
            id: message.text(2)?.into(),
        },
        "deadlineHit" => Event::TimerExpired {
            token: message.integer(2)?,
        },
        "checkResult" => Event::HealthChecked {
            latency: message.integer_or(2, 0)?,
            outcome: message.outcome(3)?,
            server: message.text(4)?.into(),
            load: message.load_report(5)?,
        },
        "mail" => Event::PeerMessage {
            from: message.integer(2)? as u32,
            body: message.base64(3)?,
        },
        "reckoned" => Event::CounterReply {
            total: message.number_or(2, 0.0)?,
            outcome: message.outcome(3)?,
            key: message.integer(5)?,
        },
        other => return Err(ParseError::UnknownMessage(other.to_owned())),
    })
}

fn parse_attempt_result(message: &Message<'_>) -> Result<AttemptResult, ParseError> {
    Ok(AttemptResult {
        id: message.text(2)?.into(),
        settled_units: message.optional_number(3)?.filter(|units| *units > 0.0),
        latency: message.integer_or(5, 0)?,
        server: message.text(6)?.into(),
        outcome: message.outcome(7)?,
        attempt: message.integer(8)? as usize,
        is_final: message.flag(9)?,
        load: message.load_report(10)?,
    })
}

fn parse_request(message: &Message<'_>, lookup: &impl Lookup) -> Result<Request, ParseError> {
    let instance = message.integer(INSTANCE_INDEX)?;
    let names = lookup
        .names(instance)
        .ok_or_else(|| unknown_instance(message, instance))?;
    let unknown_name = |kind: &'static str, name: &str| ParseError::UnknownName {
        message: message.name.to_owned(),
        kind,
        name: name.to_owned(),
    };
    let id = message.text(2)?.into();
    let class = message.text(3)?;
    let class = names
        .class(class)
        .ok_or_else(|| unknown_name("class", class))?;
    let plan = message.text(4)?;
    let plan = names.plan(plan).ok_or_else(|| unknown_name("plan", plan))?;
    Ok(Request {
        id,
        class,
        plan,
        account: message.text(5)?.into(),
        timeout: message.integer(6)?,
        units: message.number_or(7, 1.0)?,
        limiter_count: message.integer_or(8, 1)? as u32,
        first_limiter: message.integer_or(9, 0)? as u32,
    })
}

fn parse_endpoint_update(message: &Message<'_>) -> Result<Event, ParseError> {
    let scope = match message.text(2)? {
        "Partial" => UpdateScope::Delta,
        "Complete" => UpdateScope::Snapshot,
        "Persisted" => UpdateScope::Cached,
        "Error" => UpdateScope::Failed,
        _ => return Err(message.invalid_value(2, "a scope")),
    };
    let mut endpoints = Vec::new();
    for value in message.list(4)? {
        let values = value
            .as_array()
            .ok_or_else(|| message.invalid_value(4, "a list of entries"))?;
        endpoints.push(parse_endpoint(values)?);
    }
    Ok(Event::EndpointUpdate { scope, endpoints })
}

fn parse_endpoint(values: &[Value]) -> Result<Endpoint, ParseError> {
    let entry = Message {
        name: "fleet entry",
        values,
    };
    let readiness = match entry.text(4)? {
        "Ready" => Readiness::Ready,
        "Terminating" => Readiness::Draining,
        "Gone" => Readiness::Removed,
        _ => return Err(entry.invalid_value(4, "a readiness")),
    };
    Ok(Endpoint {
        id: entry.text(0)?.into(),
        zone: entry.text(1)?.into(),
        cell: entry.integer_or(3, 0)?,
        readiness,
        weight: entry.number_or(5, 1.0)?,
        started_at: entry.integer_or(6, 0)?,
    })
}
