//! Builds a [`Description`] from JSON and gathers all errors on the way.

use super::class::{key_header, read_class, Effect};
use super::error::{DescriptionError, DescriptionErrors, Problem};
use super::path::Segment;
use super::references::{escape, resolve, unresolved, Resolved};
use super::{Description, Operation, Path, Statuses};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// The methods that a path may have.
const METHODS: [&str; 8] = [
    "get", "put", "post", "delete", "options", "head", "patch", "trace",
];

/// Reads a parsed description.
pub(super) fn load(root: &Value) -> Result<Description, DescriptionErrors> {
    let mut loader = Loader {
        root,
        errors: Vec::new(),
        description: Description::default(),
        classes: HashMap::new(),
        places_by_id: HashMap::new(),
        places_by_route: HashMap::new(),
        operations: BTreeMap::new(),
    };
    loader.load();
    if !loader.errors.is_empty() {
        return Err(DescriptionErrors::new(loader.errors));
    }
    Ok(loader.finish())
}

struct Loader<'a> {
    root: &'a Value,
    errors: Vec<DescriptionError>,
    /// The classes so far, and operations without an effect.
    description: Description,
    /// Indices of the classes so far, by name and effect: one class of the description whose operations have two
    /// effects is two classes of the decision module.
    classes: HashMap<(&'a str, Effect), usize>,
    /// Where an operationId was first seen.
    places_by_id: HashMap<&'a str, String>,
    /// Where a method of a path was first seen.
    places_by_route: HashMap<(Vec<Segment>, &'static str), String>,
    /// The operations so far, by path and method.
    operations: BTreeMap<Vec<Segment>, BTreeMap<String, Operation>>,
}

/// An operation as it is in the description.
#[derive(Clone, Copy)]
struct Source<'a, 'b> {
    value: &'a Value,
    path: &'b str,
    method: &'static str,
    /// JSON pointer to the operation.
    place: &'b str,
}

impl<'a> Loader<'a> {
    fn error(&mut self, place: &str, problem: Problem) {
        self.errors.push(DescriptionError::Invalid {
            place: place.to_owned(),
            problem,
        });
    }

    fn load(&mut self) {
        let root = self.root;
        if !root["openapi"]
            .as_str()
            .is_some_and(|version| version.starts_with("3."))
        {
            self.error("/openapi", Problem::NotVersion3);
        }
        for (place, problem) in unresolved(root) {
            self.error(&place, problem);
        }
        let base = self.base_path();
        let Some(paths) = root["paths"].as_object() else {
            self.error("/paths", Problem::NotAnObject);
            return;
        };
        for (path, item) in paths {
            if !path.starts_with("x-") {
                self.load_path(base, path, item);
            }
        }
    }

    /// The path of the first server's URL, which precedes all paths.
    fn base_path(&mut self) -> &'a str {
        let url = self.root["servers"][0]["url"].as_str().unwrap_or("");
        if url.contains('{') {
            self.error("/servers/0/url", Problem::ServerVariables);
        }
        let path = match url.split_once("://") {
            Some((_, rest)) => rest.find('/').map_or("", |start| &rest[start..]),
            None => url,
        };
        path.trim_end_matches('/')
    }

    fn load_path(&mut self, base: &str, path: &str, item: &'a Value) {
        let place = format!("/paths/{}", escape(path));
        let Some(segments) = Segment::parse_path(base, path) else {
            self.error(&place, Problem::UnsupportedPath);
            return;
        };
        let Some(item) = self.resolve(item, &place).and_then(Value::as_object) else {
            return;
        };
        for method in METHODS {
            let Some(value) = item.get(method) else {
                continue;
            };
            let place = format!("{place}/{method}");
            let source = Source {
                value,
                path,
                method,
                place: &place,
            };
            self.check_unique(source, &segments);
            if let Some(operation) = self.read_operation(source) {
                self.operations
                    .entry(segments.clone())
                    .or_default()
                    .insert(method.to_uppercase(), operation);
            }
        }
    }

    fn check_unique(&mut self, source: Source<'a, '_>, segments: &[Segment]) {
        let place = source.place;
        if let Some(id) = source.value["operationId"].as_str() {
            if let Some(other) = self.places_by_id.insert(id, place.to_owned()) {
                let id = id.to_owned();
                self.error(place, Problem::DuplicateOperationId { id, other });
            }
        }
        let route = (segments.to_vec(), source.method);
        if let Some(other) = self.places_by_route.insert(route, place.to_owned()) {
            self.error(place, Problem::DuplicateOperation { other });
        }
    }

    fn read_operation(&mut self, source: Source<'a, '_>) -> Option<Operation> {
        let Source { value, place, .. } = source;
        let name = value["operationId"].as_str().map_or_else(
            || format!("{} {}", source.method.to_uppercase(), source.path),
            str::to_owned,
        );
        let units = value["x-quota-units"].as_f64().filter(|units| *units > 0.0);
        if units.is_none() {
            self.error(place, Problem::UnitsMissing);
        }
        let Some(class_name) = value["x-quota-class"].as_str() else {
            self.error(place, Problem::ClassMissing);
            return None;
        };
        let class_place = format!("/x-quota-classes/{}", escape(class_name));
        let Some(class) = self.root["x-quota-classes"].get(class_name) else {
            self.error(place, Problem::UnknownClass(class_name.to_owned()));
            return None;
        };
        let class = self.resolve(class, &class_place)?;
        let effect = self.read_effect(source, class, &name)?;
        let class_index = self.class_index(class_name, class, effect, &class_place)?;
        let never_ran = self.read_never_ran(value, place);
        Some(Operation {
            name,
            class: class_index,
            units: units?,
            key_header: (effect == Effect::Keyed).then(|| key_header(class)),
            never_ran,
        })
    }

    /// The effect of an operation, or else of its class. Without either the operation counts as not idempotent.
    fn read_effect(&mut self, source: Source<'a, '_>, class: &Value, name: &str) -> Option<Effect> {
        let place = source.place;
        let stated = source
            .value
            .get("x-quota-effect")
            .or_else(|| class.get("x-quota-effect"));
        let Some(stated) = stated else {
            self.description.unmarked.push(format!("{name} ({place})"));
            return Some(Effect::Unsafe);
        };
        let effect = stated.as_str().and_then(Effect::parse);
        if effect.is_none() {
            self.error(place, Problem::UnknownEffect(stated.to_string()));
        }
        effect
    }

    /// The index of the class for operations with an effect, which is added where it is the first.
    fn class_index(
        &mut self,
        name: &'a str,
        value: &Value,
        effect: Effect,
        place: &str,
    ) -> Option<usize> {
        if let Some(index) = self.classes.get(&(name, effect)) {
            return Some(*index);
        }
        let mut problems = Vec::new();
        let class = read_class(value, effect, &mut problems);
        for problem in problems {
            self.error(place, problem);
        }
        let index = self.description.classes.len();
        self.description.classes.push(class?);
        let class_names = &mut self.description.class_names;
        let is_second = class_names.iter().any(|known| known == name);
        class_names.push(if is_second {
            format!("{name}-{}", effect.name())
        } else {
            name.to_owned()
        });
        self.classes.insert((name, effect), index);
        Some(index)
    }

    /// The statuses whose response states that the request never ran.
    fn read_never_ran(&mut self, operation: &'a Value, place: &str) -> Vec<Statuses> {
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
                    self.error(&place, Problem::NeverRanNotBoolean(other.to_string()));
                    continue;
                }
            }
            match Statuses::parse_error(status) {
                Some(status) => statuses.push(status),
                // A response such as `default` may stand for successes too.
                None => self.error(&place, Problem::NeverRanStatus),
            }
        }
        statuses
    }

    /// Follows references. One that leads nowhere has been reported already.
    fn resolve(&mut self, value: &'a Value, place: &str) -> Option<&'a Value> {
        match resolve(self.root, value) {
            Resolved::Value(value) => Some(value),
            Resolved::Nothing => None,
            Resolved::Cycle => {
                self.error(place, Problem::ReferenceCycle);
                None
            }
        }
    }

    fn finish(self) -> Description {
        let mut description = self.description;
        description.paths = self
            .operations
            .into_iter()
            .map(|(segments, operations)| Path {
                segments,
                operations,
            })
            .collect();
        description.paths.sort_by_key(|path| {
            path.segments
                .iter()
                .map(Segment::unspecificity)
                .collect::<Vec<_>>()
        });
        description
    }
}
