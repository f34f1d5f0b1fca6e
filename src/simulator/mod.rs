//! The simulator's wire: lines of JSON in, lines of JSON out. Translates and decides nothing.

use crate::decision::{
    Action, AttemptResult, Endpoint, Event, Idempotency, KeyScope, Limits, LoadField, Micros,
    Outcome, Plan, Prices, Readiness, Request, RequestClass, Safety, Settings, UpdateScope,
};
use base64::{engine::general_purpose::STANDARD, Engine};
use serde_json::{json, Value};

/// What is wrong with a line, in plain words.
pub type Fault = String;

/// A line of the simulator.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A batch begins, at this time.
    Batch(Micros),
    /// The batch is whole.
    End,
    /// An instance starts.
    Start(u64, u64, Box<Settings>),
    /// An instance has been killed.
    Stop(u64),
    /// An instance has an event.
    Event(u64, Event),
}

/// The values of one line, with the name of the message for faults.
struct Row<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Row<'a> {
    fn get(&self, at: usize) -> Option<&'a Value> {
        self.values.get(at).filter(|v| !v.is_null())
    }

    fn bad(&self, at: usize, want: &str) -> Fault {
        match self.get(at) {
            None => format!("{}: value {at} is missing, wanted {want}", self.name),
            Some(v) => format!("{}: value {at} is {v}, wanted {want}", self.name),
        }
    }

    fn int(&self, at: usize) -> Result<u64, Fault> {
        self.get(at)
            .and_then(Value::as_u64)
            .ok_or_else(|| self.bad(at, "a whole number"))
    }

    fn int_or(&self, at: usize, absent: u64) -> Result<u64, Fault> {
        self.get(at).map_or(Ok(absent), |_| self.int(at))
    }

    fn num(&self, at: usize) -> Result<f64, Fault> {
        self.get(at)
            .and_then(Value::as_f64)
            .ok_or_else(|| self.bad(at, "a number"))
    }

    fn num_or(&self, at: usize, absent: f64) -> Result<f64, Fault> {
        self.get(at).map_or(Ok(absent), |_| self.num(at))
    }

    fn text(&self, at: usize) -> Result<&'a str, Fault> {
        self.get(at)
            .and_then(Value::as_str)
            .ok_or_else(|| self.bad(at, "text"))
    }

    fn flag(&self, at: usize) -> Result<bool, Fault> {
        self.get(at).map_or(Ok(false), |v| {
            v.as_bool().ok_or_else(|| self.bad(at, "true or false"))
        })
    }

    fn list(&self, at: usize) -> Result<&'a [Value], Fault> {
        match self.get(at) {
            None => Ok(&[]),
            Some(v) => v
                .as_array()
                .map(Vec::as_slice)
                .ok_or_else(|| self.bad(at, "a list")),
        }
    }

    fn bytes(&self, at: usize) -> Result<Vec<u8>, Fault> {
        STANDARD
            .decode(self.text(at)?)
            .map_err(|_| self.bad(at, "base64"))
    }

    fn load(&self, at: usize) -> Result<Vec<f64>, Fault> {
        self.list(at)?
            .iter()
            .map(|v| v.as_f64().ok_or_else(|| self.bad(at, "a load report")))
            .collect()
    }

    fn outcome(&self, at: usize) -> Result<Outcome, Fault> {
        Ok(match self.int(at)? {
            100 => Outcome::Ok,
            301 => Outcome::Error,
            302 => Outcome::Rejected,
            303 => Outcome::Timeout,
            304 => Outcome::ConnectFailed,
            305 => Outcome::Reset,
            306 => Outcome::Cancelled,
            307 => Outcome::Superseded,
            _ => return Err(self.bad(at, "an outcome code")),
        })
    }
}

/// Names of classes and plans of an instance; events carry names, the library wants numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    classes: Vec<String>,
    plans: Vec<String>,
}

/// Looks up the names of an instance while its events are parsed.
pub trait Lookup {
    /// The names of this instance, if it runs.
    fn names(&self, instance: u64) -> Option<&Names>;
}

/// Reads one line.
pub fn parse(line: &str, lookup: &impl Lookup) -> Result<Line, Fault> {
    let value: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
    let values = value.as_array().ok_or("not a list")?;
    let name = values
        .first()
        .and_then(Value::as_str)
        .ok_or("no message name")?;
    let row = Row { name, values };
    match name {
        "batch" => return Ok(Line::Batch(row.int(1)?)),
        "end" => return Ok(Line::End),
        "provision" => {
            let facts = row
                .get(3)
                .filter(|v| v.is_object())
                .ok_or_else(|| row.bad(3, "settings"))?;
            return Ok(Line::Start(
                row.int(1)?,
                row.int(2)?,
                Box::new(settings(facts)?),
            ));
        }
        "destroy" => return Ok(Line::Stop(row.int(1)?)),
        _ => {}
    }
    let instance = row.int(1);
    let event = match name {
        "fleet" => members(&row)?,
        "workItem" => request(&row, lookup)?,
        "opened" => Event::ResponseStarted {
            id: row.text(2)?.into(),
        },
        "resolved" => Event::AttemptEnded(AttemptResult {
            id: row.text(2)?.into(),
            settled_units: row
                .get(3)
                .map(|_| row.num(3))
                .transpose()?
                .filter(|units| *units > 0.0),
            latency: row.int_or(5, 0)?,
            server: row.text(6)?.into(),
            outcome: row.outcome(7)?,
            attempt: row.int(8)? as usize,
            is_final: row.flag(9)?,
            load: row.load(10)?,
        }),
        "withdrawn" => Event::ClientDisconnected {
            id: row.text(2)?.into(),
        },
        "deadlineHit" => Event::TimerExpired { token: row.int(2)? },
        "checkResult" => Event::HealthChecked {
            latency: row.int_or(2, 0)?,
            outcome: row.outcome(3)?,
            server: row.text(4)?.into(),
            load: row.load(5)?,
        },
        "mail" => Event::PeerMessage {
            from: row.int(2)? as u32,
            body: row.bytes(3)?,
        },
        "reckoned" => Event::CounterReply {
            total: row.num_or(2, 0.0)?,
            outcome: row.outcome(3)?,
            key: row.int(5)?,
        },
        _ => return Err(format!("unknown message {name}")),
    };
    let instance = instance?;
    lookup
        .names(instance)
        .ok_or_else(|| format!("{name}: no instance {instance} runs"))?;
    Ok(Line::Event(instance, event))
}

fn request(row: &Row, lookup: &impl Lookup) -> Result<Event, Fault> {
    let instance = row.int(1)?;
    let names = lookup
        .names(instance)
        .ok_or_else(|| format!("{}: no instance {instance} runs", row.name))?;
    let index = |list: &[String], at: usize, what: &str| {
        let name = row.text(at)?;
        list.iter()
            .position(|n| n == name)
            .ok_or_else(|| format!("{}: unknown {what} {name}", row.name))
    };
    Ok(Event::Request(Request {
        id: row.text(2)?.into(),
        class: index(&names.classes, 3, "class")?,
        plan: index(&names.plans, 4, "plan")?,
        account: row.text(5)?.into(),
        timeout: row.int(6)?,
        units: row.num_or(7, 1.0)?,
        limiter_count: row.int_or(8, 1)? as u32,
        first_limiter: row.int_or(9, 0)? as u32,
    }))
}

fn members(row: &Row) -> Result<Event, Fault> {
    let scope = match row.text(2)? {
        "Partial" => UpdateScope::Delta,
        "Complete" => UpdateScope::Snapshot,
        "Persisted" => UpdateScope::Cached,
        "Error" => UpdateScope::Failed,
        _ => return Err(row.bad(2, "a scope")),
    };
    let member = |value: &Value| {
        let values = value
            .as_array()
            .ok_or_else(|| row.bad(4, "a list of entries"))?;
        let entry = Row {
            name: "fleet entry",
            values,
        };
        let readiness = match entry.text(4)? {
            "Ready" => Readiness::Ready,
            "Terminating" => Readiness::Draining,
            "Gone" => Readiness::Removed,
            _ => return Err(entry.bad(4, "a readiness")),
        };
        Ok(Endpoint {
            id: entry.text(0)?.into(),
            zone: entry.text(1)?.into(),
            cell: entry.int_or(3, 0)?,
            readiness,
            weight: entry.num_or(5, 1.0)?,
            started_at: entry.int_or(6, 0)?,
        })
    };
    let members = row
        .list(4)?
        .iter()
        .map(member)
        .collect::<Result<_, Fault>>()?;
    Ok(Event::EndpointUpdate {
        scope,
        endpoints: members,
    })
}

/// A part of the settings, with its path for faults.
struct Facts<'a>(&'a Value, String);

impl<'a> Facts<'a> {
    fn part(&self, key: &str) -> Facts<'a> {
        Facts(&self.0[key], format!("{}.{key}", self.1))
    }

    fn read<T>(
        &self,
        key: &str,
        absent: T,
        want: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, Fault> {
        match &self.0[key] {
            Value::Null => Ok(absent),
            v => {
                read(v).ok_or_else(|| format!("provision: {}.{key} is {v}, wanted {want}", self.1))
            }
        }
    }

    fn num(&self, key: &str) -> Result<f64, Fault> {
        self.read(key, 0.0, "a number", Value::as_f64)
    }

    fn int(&self, key: &str) -> Result<u64, Fault> {
        self.read(key, 0, "a whole number", Value::as_u64)
    }

    fn flag(&self, key: &str) -> Result<bool, Fault> {
        self.read(key, false, "true or false", Value::as_bool)
    }

    fn text(&self, key: &str) -> Result<&'a str, Fault> {
        self.read(key, "", "text", Value::as_str)
    }

    fn list(&self, key: &str) -> Result<Vec<Facts<'a>>, Fault> {
        let values = self.read(key, None, "a list", |v| v.as_array().map(Some))?;
        let path = format!("{}.{key}", self.1);
        Ok(values
            .into_iter()
            .flatten()
            .map(|v| Facts(v, path.clone()))
            .collect())
    }
}

impl Names {
    /// The names in the line that starts an instance.
    pub fn from_line(line: &str) -> Names {
        let value: Value = serde_json::from_str(line).unwrap_or_default();
        Names::from_settings(&value[3])
    }

    /// The names in the settings of an instance.
    pub fn from_settings(facts: &Value) -> Names {
        let names = |key: &str| {
            let list = facts[key].as_array().map(Vec::as_slice).unwrap_or_default();
            list.iter()
                .map(|v| v["name"].as_str().unwrap_or_default().to_owned())
                .collect()
        };
        Names {
            classes: names("classes"),
            plans: names("tariffs"),
        }
    }

    /// The names of the classes, in the order of their numbers.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The number of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|n| n == name)
    }

    /// The number of a plan.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|n| n == name)
    }
}

fn class(facts: &Facts) -> Result<RequestClass, Fault> {
    let group = match facts.text("group")? {
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        _ => KeyScope::AllServers,
    };
    let effect = match facts.text("semantics")? {
        "read_like" => Idempotency::Idempotent,
        "idempotency_key" => Idempotency::Keyed(group),
        "non_idempotent" => Idempotency::NonIdempotent,
        other => return Err(format!("provision: {}.semantics is {other:?}", facts.1)),
    };
    Ok(RequestClass {
        latency_objective: facts.int("slo")?,
        deadline: facts.int("deadline")?,
        idempotency: effect,
        idempotency_window: facts.int("memorySpan")?,
        priority_weight: facts.num("importance")?,
        late_weight: facts.num("lateWorth")?,
    })
}

fn plan(facts: &Facts) -> Result<Plan, Fault> {
    Ok(Plan {
        rate: facts.num("refill")?,
        burst: facts.num("peakUnits")?,
        max_concurrent: facts.int("parallel")? as u32,
        weight_factor: facts.num("worthFactor")?,
        over_quota_weight: facts.num("excessWorth")?,
        over_quota_cost: facts.num("excessCost")?,
        ceiling_rate: facts.num("hardRate")?,
        ceiling_burst: facts.num("ceilingBurst")?,
        ceiling_slack: facts.num("capSlack")?,
    })
}

/// Reads the settings of an instance; unknown keys are passed over.
pub fn settings(value: &Value) -> Result<Settings, Fault> {
    let facts = Facts(value, "facts".into());
    let (limits, safety, prices) = (
        facts.part("limits"),
        facts.part("safety"),
        facts.part("prices"),
    );
    let (load, kind) = (facts.part("loadInfo"), facts.part("specifics"));
    let field = |v: &Value| {
        Some(match v.as_str()? {
            "inflight" => LoadField::InFlight,
            "queue" => LoadField::Queue,
            "util" => LoadField::Util,
            _ => LoadField::Other,
        })
    };
    let fields = load.read("fields", Vec::new(), "a list of names", |v| {
        v.as_array()
            .and_then(|list| list.iter().map(field).collect())
    })?;
    let advice = if limits.flag("retryAfter")? {
        limits.int("maxRetryAfter")?
    } else {
        0
    };
    Ok(Settings {
        limiter: facts.int("me")? as u32,
        limiters: facts.int("balancers")? as u32,
        zone: facts.text("az")?.to_owned(),
        tick: facts.int("tick")?,
        classes: facts
            .list("classes")?
            .iter()
            .map(class)
            .collect::<Result<_, _>>()?,
        plans: facts
            .list("tariffs")?
            .iter()
            .map(plan)
            .collect::<Result<_, _>>()?,
        limits: Limits {
            max_attempts: limits.int("maxAttempts")? as u32,
            cancel: limits.flag("mayCancel")?,
            health_checks: limits.flag("mayProbe")?,
            peer_messages: limits.flag("peers")?,
            hedging: limits.flag("secondCopies")?,
            max_retry_after: advice,
        },
        safety: Safety {
            drain_grace: safety.int("drainGrace")?,
            initial_capacity: safety.num("coldShare")?,
            slow_start: safety.int("warmWithin")?,
            overload_multiple: safety.num("fallMultiple")?,
            overload_window: safety.int("fall")?,
        },
        prices: Prices {
            cross_zone: prices.num("crossZone")?,
            waste: prices.num("waste")?,
            health_check: prices.num("probe")?,
            counter_call: kind.num("countFee")?,
        },
        load_fields: fields,
        load_by_health_check: load.text("source")? == "pull",
        polls_discovery: facts.text("discovery")? == "ask",
        counter: kind.flag("mayCount")?,
        counter_timeout: kind.int("counterTimeout")?,
        server_weights: !matches!(facts.text("weightSource")?, "" | "silent"),
        quota_leases: false,
    })
}

/// Writes one action of an instance as a line.
pub fn write(instance: u64, action: &Action) -> String {
    match action {
        Action::Send {
            id,
            server,
            timeout,
            ..
        } => {
            json!(["submitTo", instance, &*id.0, timeout, &*server.0])
        }
        Action::Cancel { id, attempt } => json!(["dropAttempt", instance, &*id.0, attempt]),
        Action::Reject {
            id,
            retry_after: after,
        } => json!(["bounce", instance, &*id.0, after]),
        Action::Fail { id } => json!(["abort", instance, &*id.0]),
        Action::SetTimer {
            delay: after,
            token,
        } => json!(["defer", instance, after, token]),
        Action::CheckHealth { server } => json!(["poll", instance, &*server.0]),
        Action::SendToPeer { to, body } => json!(["signal", instance, to, STANDARD.encode(body)]),
        Action::AddToCounter {
            key: name,
            amount: by,
            ttl,
        } => json!(["addAndGet", instance, name, by, ttl]),
        Action::WatchEndpoints => json!(["tail", instance, true]),
        Action::RequestLease { .. } => return write_fault(instance, "the platform has no leases"),
    }
    .to_string()
}

/// Writes that an instance's decision code has failed.
pub fn write_fault(instance: u64, text: &str) -> String {
    json!(["giveIn", instance, text]).to_string()
}
