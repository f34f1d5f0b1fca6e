//! Reads an OpenAPI 3 description as the source of routes, classes and units.
//!
//! What OpenAPI has no words for stands in extensions, which `docs/openapi.md` describes. A description that
//! leaves a cost open, names an effect that is not known or has an operation twice is not taken at all: a
//! limiter that guesses would charge agents wrongly, or repeat what must not be repeated.

use super::strict;
use crate::decision::{Idempotency, KeyScope, Micros, RequestClass};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// The methods that a path may have.
const METHODS: [&str; 8] = [
    "get", "put", "post", "delete", "options", "head", "patch", "trace",
];
/// References followed one after another at most; more go round in a circle.
const HOPS: usize = 16;
/// The header with the key of a keyed request, where the class names none.
const KEY_HEADER: &str = "Idempotency-Key";

/// A call that agents may make.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Its operationId, or its method and path.
    pub name: String,
    /// Index of its class.
    pub class: usize,
    /// Units that a request takes.
    pub units: f64,
    /// The header that must hold the key of a keyed request.
    pub key_header: Option<String>,
    /// Statuses with which a ticket node says that the request never ran.
    pub never_ran: Vec<Statuses>,
}

/// A status, or all that begin with a digit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statuses {
    /// This one.
    One(u16),
    /// Such as `5XX`.
    Hundred(u16),
}

impl Operation {
    /// The description states that a request answered so never ran.
    pub fn never_ran(&self, status: u16) -> bool {
        self.never_ran.iter().any(|s| match s {
            Statuses::One(one) => *one == status,
            Statuses::Hundred(digit) => *digit == status / 100,
        })
    }
}

/// What became of looking for a route.
#[derive(Debug)]
pub enum Found<'a> {
    /// This operation.
    Operation(&'a Operation),
    /// The path has other methods.
    Methods(String),
    /// No such path.
    Nothing,
}

/// All operations with their classes.
#[derive(Debug, Default)]
pub struct Description {
    /// Classes as the decision module takes them.
    pub classes: Vec<RequestClass>,
    /// And what operators know them by.
    pub class_names: Vec<String>,
    /// Operations that do not say whether they may be repeated.
    pub unmarked: Vec<String>,
    paths: Vec<Path>,
}

#[derive(Debug)]
struct Path {
    segments: Vec<Segment>,
    operations: BTreeMap<String, Operation>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Segment {
    Literal(String),
    /// A parameter between two texts, which are mostly empty.
    Parameter(String, String),
}

impl Segment {
    fn parse(text: &str) -> Option<Self> {
        match (text.find('{'), text.find('}')) {
            (None, None) => Some(Self::Literal(text.into())),
            (Some(open), Some(close))
                if open + 1 < close && !text[close + 1..].contains(['{', '}']) =>
            {
                Some(Self::Parameter(
                    text[..open].into(),
                    text[close + 1..].into(),
                ))
            }
            _ => None,
        }
    }

    /// How little it says: a literal comes before a parameter in the same place, a bare parameter last.
    fn loose(&self) -> usize {
        match self {
            Self::Literal(_) => 0,
            Self::Parameter(before, after) => usize::MAX - before.len() - after.len(),
        }
    }

    fn fits(&self, text: &str) -> bool {
        match self {
            Self::Literal(literal) => literal == text,
            Self::Parameter(before, after) => {
                text.len() > before.len() + after.len()
                    && text.starts_with(before)
                    && text.ends_with(after)
            }
        }
    }
}

impl Description {
    /// Reads a description; all faults that it has, each with its place.
    pub fn read(text: &str) -> Result<Self, Vec<String>> {
        let root = strict::parse(text)?;
        let mut loader = Loader {
            root: &root,
            faults: Vec::new(),
            classes: HashMap::new(),
        };
        let description = loader.description();
        match loader.faults.is_empty() {
            true => Ok(description),
            false => Err(loader.faults),
        }
    }

    /// Finds the operation for a method and the path of a request's target.
    pub fn find(&self, method: &str, path: &str) -> Found<'_> {
        let asked: Vec<&str> = path.split('/').collect();
        let fits = |p: &&Path| {
            p.segments.len() == asked.len()
                && p.segments.iter().zip(&asked).all(|(s, text)| s.fits(text))
        };
        let Some(path) = self.paths.iter().find(fits) else {
            return Found::Nothing;
        };
        // A description seldom has HEAD beside GET: it is the same call without the body of its answer.
        let get = || path.operations.get("GET").filter(|_| method == "HEAD");
        match path.operations.get(method).or_else(get) {
            Some(operation) => Found::Operation(operation),
            None => {
                let mut methods: Vec<&str> = path.operations.keys().map(String::as_str).collect();
                if methods.contains(&"GET") && !methods.contains(&"HEAD") {
                    methods.push("HEAD");
                }
                Found::Methods(methods.join(", "))
            }
        }
    }
}

struct Loader<'a> {
    root: &'a Value,
    faults: Vec<String>,
    /// Module classes made so far: by class name and by whether a request may be repeated.
    classes: HashMap<(String, &'a str), usize>,
}

impl<'a> Loader<'a> {
    fn fault(&mut self, place: &str, what: impl std::fmt::Display) {
        self.faults.push(format!("{place}: {what}"));
    }

    fn description(&mut self) -> Description {
        let mut made = Description::default();
        if !self.root["openapi"]
            .as_str()
            .is_some_and(|v| v.starts_with("3."))
        {
            self.fault("/openapi", "wanted a version 3 description");
        }
        self.check_references(self.root, "");
        let base = self.base();
        let Some(paths) = self.root["paths"].as_object() else {
            self.fault("/paths", "wanted an object");
            return made;
        };
        // Where each operation was first seen, by its operationId and by its method and shape of path.
        let mut ids: HashMap<&str, String> = HashMap::new();
        let mut shapes: HashMap<(Vec<Segment>, &str), String> = HashMap::new();
        let mut found: BTreeMap<Vec<Segment>, BTreeMap<String, Operation>> = BTreeMap::new();
        for (path, item) in paths.iter().filter(|(path, _)| !path.starts_with("x-")) {
            let place = format!("/paths/{}", escape(path));
            let segments = format!("{base}{path}")
                .split('/')
                .map(Segment::parse)
                .collect::<Option<Vec<_>>>();
            let Some(segments) = segments.filter(|_| path.starts_with('/')) else {
                self.fault(
                    &place,
                    "wanted a path that begins with / and has one parameter a segment at most",
                );
                continue;
            };
            let Some(item) = self.resolve(item, &place).and_then(Value::as_object) else {
                continue;
            };
            for method in METHODS {
                let Some(operation) = item.get(method) else {
                    continue;
                };
                let place = format!("{place}/{method}");
                if let Some(id) = operation["operationId"].as_str() {
                    if let Some(other) = ids.insert(id, place.clone()) {
                        self.fault(&place, format!("operationId {id} stands at {other} too"));
                    }
                }
                if let Some(other) = shapes.insert((segments.clone(), method), place.clone()) {
                    self.fault(&place, format!("the same operation stands at {other} too"));
                }
                if let Some(operation) = self.operation(operation, path, method, &place, &mut made)
                {
                    found
                        .entry(segments.clone())
                        .or_default()
                        .insert(method.to_uppercase(), operation);
                }
            }
        }
        made.paths = found
            .into_iter()
            .map(|(segments, operations)| Path {
                segments,
                operations,
            })
            .collect();
        made.paths
            .sort_by_key(|path| path.segments.iter().map(Segment::loose).collect::<Vec<_>>());
        made
    }

    /// The path that the first server puts before all others.
    fn base(&mut self) -> String {
        let url = self.root["servers"][0]["url"].as_str().unwrap_or("");
        if url.contains('{') {
            self.fault("/servers/0/url", "variables are not supported");
        }
        let path = match url.split_once("://") {
            Some((_, rest)) => rest.find('/').map_or("", |at| &rest[at..]),
            None => url,
        };
        path.trim_end_matches('/').to_owned()
    }

    fn operation(
        &mut self,
        value: &'a Value,
        path: &str,
        method: &str,
        place: &str,
        made: &mut Description,
    ) -> Option<Operation> {
        let name = value["operationId"]
            .as_str()
            .map_or(format!("{} {path}", method.to_uppercase()), str::to_owned);
        let units = value["x-quota-units"].as_f64().filter(|u| *u > 0.0);
        if units.is_none() {
            self.fault(
                place,
                "x-quota-units is missing or not above 0: the cost of a request",
            );
        }
        let Some(class_name) = value["x-quota-class"].as_str() else {
            self.fault(
                place,
                "x-quota-class is missing: the name of one of /x-quota-classes",
            );
            return None;
        };
        let class_place = format!("/x-quota-classes/{}", escape(class_name));
        let Some(class) = self.root["x-quota-classes"].get(class_name) else {
            self.fault(
                place,
                format!("x-quota-class names {class_name}, which is not in /x-quota-classes"),
            );
            return None;
        };
        let class = self.resolve(class, &class_place)?;
        let marked = value.get("x-quota-effect").or(class.get("x-quota-effect"));
        let effect = match marked.map(Value::as_str) {
            None => {
                made.unmarked.push(format!("{name} ({place})"));
                "unsafe"
            }
            Some(Some(effect @ ("safe" | "keyed" | "unsafe"))) => effect,
            Some(_) => {
                self.fault(
                    place,
                    format!(
                        "x-quota-effect is {}, wanted safe, keyed or unsafe",
                        marked?
                    ),
                );
                return None;
            }
        };
        let at = (class_name.to_owned(), effect);
        let class_number = match self.classes.get(&at) {
            Some(number) => *number,
            None => {
                let class = self.class(class, effect, &class_place)?;
                made.classes.push(class);
                // One class for operations that may and may not be repeated is two.
                let again = made.class_names.iter().any(|name| name == class_name);
                let name = if again {
                    format!("{class_name}-{effect}")
                } else {
                    class_name.to_owned()
                };
                made.class_names.push(name);
                self.classes.insert(at, made.classes.len() - 1);
                made.classes.len() - 1
            }
        };
        let key_header = class["key-header"]
            .as_str()
            .unwrap_or(KEY_HEADER)
            .to_owned();
        let never_ran = self.never_ran(value, place);
        Some(Operation {
            name,
            class: class_number,
            units: units?,
            key_header: (effect == "keyed").then_some(key_header),
            never_ran,
        })
    }

    fn class(&mut self, value: &Value, effect: &str, place: &str) -> Option<RequestClass> {
        let mut number = |key: &str| {
            let found = value[key].as_f64().filter(|n| *n > 0.0);
            if found.is_none() {
                self.fault(place, format!("{key} is missing or not above 0"));
            }
            found
        };
        let (aim, deadline, worth) = (number("aim-ms"), number("deadline-ms"), number("worth"));
        let window = if effect == "keyed" {
            number("window-ms")
        } else {
            Some(0.0)
        };
        let group = match value["group"].as_str().unwrap_or("all") {
            "all" => KeyScope::AllServers,
            "zone" => KeyScope::Zone,
            "cell" => KeyScope::Cell,
            other => {
                self.fault(place, format!("group is {other}, wanted all, zone or cell"));
                return None;
            }
        };
        let effect = match effect {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed(group),
            _ => Idempotency::NonIdempotent,
        };
        let micros = |ms: f64| (ms * 1e3) as Micros;
        let (aim, deadline) = (micros(aim?), micros(deadline?));
        if aim > deadline {
            self.fault(place, "aim-ms is longer than deadline-ms");
        }
        Some(RequestClass {
            latency_objective: aim,
            deadline,
            idempotency: effect,
            idempotency_window: micros(window?),
            priority_weight: worth?,
            late_weight: 0.0,
        })
    }

    /// The statuses whose description states that a request answered so never ran.
    fn never_ran(&mut self, operation: &'a Value, place: &str) -> Vec<Statuses> {
        let mut statuses = Vec::new();
        for (status, response) in operation["responses"].as_object().into_iter().flatten() {
            let place = format!("{place}/responses/{status}");
            let Some(response) = self.resolve(response, &place) else {
                continue;
            };
            match response.get("x-quota-never-ran") {
                None | Some(Value::Bool(false)) => continue,
                Some(Value::Bool(true)) => {}
                Some(other) => {
                    self.fault(
                        &place,
                        format!("x-quota-never-ran is {other}, wanted true or false"),
                    );
                    continue;
                }
            }
            let digit = status
                .strip_suffix("XX")
                .and_then(|d| d.parse().ok())
                .filter(|d| (4..=5).contains(d));
            let one = status.parse().ok().filter(|s| (400..=599).contains(s));
            match (one, digit) {
                (Some(one), _) => statuses.push(Statuses::One(one)),
                (None, Some(digit)) => statuses.push(Statuses::Hundred(digit)),
                // A blanket answer can't vouch for all that may be meant by it.
                _ => self.fault(
                    &place,
                    "x-quota-never-ran goes with a status of 400 to 599, 4XX or 5XX",
                ),
            }
        }
        statuses
    }

    /// Follows references within the description. Bad ones are told of by [`Self::check_references`].
    fn resolve(&mut self, mut value: &'a Value, place: &str) -> Option<&'a Value> {
        for _ in 0..HOPS {
            match value.get("$ref").and_then(Value::as_str) {
                None => return Some(value),
                Some(to) => value = self.target(to)?,
            }
        }
        self.fault(place, "$ref goes round in a circle");
        None
    }

    fn target(&self, reference: &str) -> Option<&'a Value> {
        self.root.pointer(reference.strip_prefix('#')?)
    }

    /// Every reference must lead to something in this description: a limiter does not fetch others.
    fn check_references(&mut self, value: &Value, place: &str) {
        match value {
            Value::Object(entries) => {
                for (key, value) in entries {
                    match (key.as_str(), value) {
                        // Data, not description.
                        ("example" | "examples" | "default" | "enum" | "const", _) => {}
                        ("$ref", Value::String(to)) if self.target(to).is_none() => {
                            self.fault(
                                place,
                                format!("$ref {to} leads nowhere in this description"),
                            );
                        }
                        _ => self.check_references(value, &format!("{place}/{}", escape(key))),
                    }
                }
            }
            Value::Array(values) => {
                for (at, value) in values.iter().enumerate() {
                    self.check_references(value, &format!("{place}/{at}"));
                }
            }
            _ => {}
        }
    }
}

/// A key as JSON pointers have it.
fn escape(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}
