//! Lines from the simulator: the batch they belong to, instances that start and stop, and events of instances.

use super::names::{Lookup, SETTINGS_INDEX};
use super::reader::Row;
use super::settings::settings;
use super::ParseError;
use crate::decision::{
    AttemptResult, Endpoint, Event, Micros, Readiness, Request, Settings, UpdateScope,
};
use serde_json::Value;

/// Index of the instance in every line that names one.
const INSTANCE: usize = 1;

/// A line of the simulator.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A batch begins, at this time.
    Batch(Micros),
    /// The batch is complete.
    End,
    /// An instance starts.
    Start {
        /// Number of the instance.
        instance: u64,
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance has been killed.
    Stop {
        /// Number of the instance.
        instance: u64,
    },
    /// An instance has an event.
    Event {
        /// Number of the instance.
        instance: u64,
        /// The event.
        event: Event,
    },
}

/// Parses one line.
///
/// # Errors
///
/// Names the message and the index of the value that is missing or has another form.
pub fn parse(line: &str, lookup: &impl Lookup) -> Result<Line, ParseError> {
    let value: Value = serde_json::from_str(line).map_err(ParseError::NotJson)?;
    let values = value.as_array().ok_or(ParseError::NotAList)?;
    let message = values
        .first()
        .and_then(Value::as_str)
        .ok_or(ParseError::NoMessageName)?;
    let row = Row { message, values };
    match message {
        "batch" => Ok(Line::Batch(row.integer(1)?)),
        "end" => Ok(Line::End),
        "provision" => parse_start(&row),
        "destroy" => Ok(Line::Stop {
            instance: row.integer(INSTANCE)?,
        }),
        _ => parse_event_line(&row, lookup),
    }
}

fn parse_start(row: &Row<'_>) -> Result<Line, ParseError> {
    let value = row
        .get(SETTINGS_INDEX)
        .filter(|value| value.is_object())
        .ok_or_else(|| row.wrong(SETTINGS_INDEX, "settings"))?;
    Ok(Line::Start {
        instance: row.integer(INSTANCE)?,
        seed: row.integer(2)?,
        settings: Box::new(settings(value)?),
    })
}

fn parse_event_line(row: &Row<'_>, lookup: &impl Lookup) -> Result<Line, ParseError> {
    let event = parse_event(row, lookup)?;
    let instance = row.integer(INSTANCE)?;
    if lookup.names(instance).is_none() {
        return Err(unknown_instance(row, instance));
    }
    Ok(Line::Event { instance, event })
}

fn unknown_instance(row: &Row<'_>, instance: u64) -> ParseError {
    ParseError::UnknownInstance {
        message: row.message.to_owned(),
        instance,
    }
}

fn parse_event(row: &Row<'_>, lookup: &impl Lookup) -> Result<Event, ParseError> {
    Ok(match row.message {
        "fleet" => parse_endpoint_update(row)?,
        "workItem" => Event::Request(parse_request(row, lookup)?),
        "opened" => Event::ResponseStarted {
            id: row.text(2)?.into(),
        },
        "resolved" => Event::AttemptEnded(parse_attempt_result(row)?),
        "withdrawn" => Event::ClientDisconnected {
            id: row.text(2)?.into(),
        },
        "deadlineHit" => Event::TimerExpired {
            token: row.integer(2)?,
        },
        "checkResult" => Event::HealthChecked {
            latency: row.integer_or(2, 0)?,
            outcome: row.outcome(3)?,
            server: row.text(4)?.into(),
            load: row.load_report(5)?,
        },
        "mail" => Event::PeerMessage {
            from: row.integer(2)? as u32,
            body: row.base64(3)?,
        },
        "reckoned" => Event::CounterReply {
            total: row.number_or(2, 0.0)?,
            outcome: row.outcome(3)?,
            key: row.integer(5)?,
        },
        other => return Err(ParseError::UnknownMessage(other.to_owned())),
    })
}

fn parse_attempt_result(row: &Row<'_>) -> Result<AttemptResult, ParseError> {
    Ok(AttemptResult {
        id: row.text(2)?.into(),
        settled_units: row.optional_number(3)?.filter(|units| *units > 0.0),
        latency: row.integer_or(5, 0)?,
        server: row.text(6)?.into(),
        outcome: row.outcome(7)?,
        attempt: row.integer(8)? as usize,
        is_final: row.flag(9)?,
        load: row.load_report(10)?,
    })
}

fn parse_request(row: &Row<'_>, lookup: &impl Lookup) -> Result<Request, ParseError> {
    let instance = row.integer(INSTANCE)?;
    let names = lookup
        .names(instance)
        .ok_or_else(|| unknown_instance(row, instance))?;
    let unknown_name = |kind: &'static str, name: &str| ParseError::UnknownName {
        message: row.message.to_owned(),
        kind,
        name: name.to_owned(),
    };
    let id = row.text(2)?.into();
    let class = row.text(3)?;
    let class = names
        .class(class)
        .ok_or_else(|| unknown_name("class", class))?;
    let plan = row.text(4)?;
    let plan = names.plan(plan).ok_or_else(|| unknown_name("plan", plan))?;
    Ok(Request {
        id,
        class,
        plan,
        account: row.text(5)?.into(),
        timeout: row.integer(6)?,
        units: row.number_or(7, 1.0)?,
        limiter_count: row.integer_or(8, 1)? as u32,
        first_limiter: row.integer_or(9, 0)? as u32,
    })
}

fn parse_endpoint_update(row: &Row<'_>) -> Result<Event, ParseError> {
    let scope = match row.text(2)? {
        "Partial" => UpdateScope::Delta,
        "Complete" => UpdateScope::Snapshot,
        "Persisted" => UpdateScope::Cached,
        "Error" => UpdateScope::Failed,
        _ => return Err(row.wrong(2, "a scope")),
    };
    let mut endpoints = Vec::new();
    for value in row.list(4)? {
        let values = value
            .as_array()
            .ok_or_else(|| row.wrong(4, "a list of entries"))?;
        endpoints.push(parse_endpoint(values)?);
    }
    Ok(Event::EndpointUpdate { scope, endpoints })
}

fn parse_endpoint(values: &[Value]) -> Result<Endpoint, ParseError> {
    let entry = Row {
        message: "fleet entry",
        values,
    };
    let readiness = match entry.text(4)? {
        "Ready" => Readiness::Ready,
        "Terminating" => Readiness::Draining,
        "Gone" => Readiness::Removed,
        _ => return Err(entry.wrong(4, "a readiness")),
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
