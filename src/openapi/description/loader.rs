//! Builds a [`Description`] from JSON and collects all errors found.

use super::class::{key_header, read_class, Effect};
use super::error::{DescriptionError, DescriptionErrors, Problem};
use super::path::Segment;
use super::references::{escape, resolve, unresolved, Resolved};
use super::{Description, Operation, Path, Statuses};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// Keys of a path item that denote methods.
const METHODS: [&str; 8] = [
    "get", "put", "post", "delete", "options", "head", "patch", "trace",
];

/// Builds a description from its parsed JSON.
pub(super) fn load(root: &Value) -> Result<Description, DescriptionErrors> {
    let mut loader = Loader {
        root,
        errors: Vec::new(),
        description: Description::default(),
        classes: HashMap::new(),
        pointers_by_id: HashMap::new(),
        pointers_by_route: HashMap::new(),
        operations: BTreeMap::new(),
    };
    loader.load();
    if !loader.errors.is_empty() {
        return Err(DescriptionErrors::new(loader.errors));
    }
    Ok(loader.finish())
}

/// State of the loading of one description.
struct Loader<'a> {
    root: &'a Value,
    errors: Vec<DescriptionError>,
    /// The result so far: classes, and operations without an effect. The paths are added at the end.
    description: Description,
    /// Indices of the classes read so far, by name and effect. A class of the description whose
    /// operations have different effects becomes one class of the decision module for each effect.
    classes: HashMap<(&'a str, Effect), usize>,
    /// JSON pointers to the operations read so far, by operationId.
    pointers_by_id: HashMap<&'a str, String>,
    /// JSON pointers to the operations read so far, by path and method.
    pointers_by_route: HashMap<(Vec<Segment>, &'static str), String>,
    /// The operations read so far, by path and method.
    operations: BTreeMap<Vec<Segment>, BTreeMap<String, Operation>>,
}

/// An operation object of the description.
#[derive(Clone, Copy)]
struct OperationSource<'a, 'b> {
    value: &'a Value,
    path: &'b str,
    method: &'static str,
    /// JSON pointer to the operation.
    pointer: &'b str,
}

impl<'a> Loader<'a> {
    fn error(&mut self, pointer: &str, problem: Problem) {
        self.errors.push(DescriptionError::Invalid {
            pointer: pointer.to_owned(),
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
        for (pointer, problem) in unresolved(root) {
            self.error(&pointer, problem);
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

    /// Returns the path of the first server's URL, which is the prefix of all paths.
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
        let pointer = format!("/paths/{}", escape(path));
        let Some(segments) = Segment::parse_path(base, path) else {
            self.error(&pointer, Problem::UnsupportedPath);
            return;
        };
        let Some(item) = self.resolve(item, &pointer).and_then(Value::as_object) else {
            return;
        };
        for method in METHODS {
            let Some(value) = item.get(method) else {
                continue;
            };
            let pointer = format!("{pointer}/{method}");
            let source = OperationSource {
                value,
                path,
                method,
                pointer: &pointer,
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

    /// Reports an error if an earlier operation has the same operationId, or the same path and
    /// method.
    fn check_unique(&mut self, source: OperationSource<'a, '_>, segments: &[Segment]) {
        let pointer = source.pointer;
        if let Some(id) = source.value["operationId"].as_str() {
            if let Some(other) = self.pointers_by_id.insert(id, pointer.to_owned()) {
                let id = id.to_owned();
                self.error(pointer, Problem::DuplicateOperationId { id, other });
            }
        }
        let route = (segments.to_vec(), source.method);
        if let Some(other) = self.pointers_by_route.insert(route, pointer.to_owned()) {
            self.error(pointer, Problem::DuplicateOperation { other });
        }
    }

    fn read_operation(&mut self, source: OperationSource<'a, '_>) -> Option<Operation> {
        let OperationSource { value, pointer, .. } = source;
        let name = value["operationId"].as_str().map_or_else(
            || format!("{} {}", source.method.to_uppercase(), source.path),
            str::to_owned,
        );
        let units = value["x-quota-units"].as_f64().filter(|units| *units > 0.0);
        if units.is_none() {
            self.error(pointer, Problem::UnitsMissing);
        }
        let Some(class_name) = value["x-quota-class"].as_str() else {
            self.error(pointer, Problem::ClassMissing);
            return None;
        };
        let class_pointer = format!("/x-quota-classes/{}", escape(class_name));
        let Some(class) = self.root["x-quota-classes"].get(class_name) else {
            self.error(pointer, Problem::UnknownClass(class_name.to_owned()));
            return None;
        };
        let class = self.resolve(class, &class_pointer)?;
        let effect = self.read_effect(source, class, &name)?;
        let class_index = self.class_index(class_name, class, effect, &class_pointer)?;
        let never_ran = self.read_never_ran(value, pointer);
        Some(Operation {
            name,
            class: class_index,
            units: units?,
            key_header: (effect == Effect::Keyed).then(|| key_header(class)),
            never_ran,
        })
    }

    /// Reads the effect of an operation, or else that of its class. An operation without either is
    /// treated as not idempotent.
    fn read_effect(
        &mut self,
        source: OperationSource<'a, '_>,
        class: &Value,
        name: &str,
    ) -> Option<Effect> {
        let pointer = source.pointer;
        let stated = source
            .value
            .get("x-quota-effect")
            .or_else(|| class.get("x-quota-effect"));
        let Some(stated) = stated else {
            self.description
                .without_effect
                .push(format!("{name} ({pointer})"));
            return Some(Effect::Unsafe);
        };
        let effect = stated.as_str().and_then(Effect::parse);
        if effect.is_none() {
            self.error(pointer, Problem::UnknownEffect(stated.to_string()));
        }
        effect
    }

    /// Returns the index of the class for operations with the given effect. The class is read when
    /// it is first used with this effect.
    fn class_index(
        &mut self,
        name: &'a str,
        value: &Value,
        effect: Effect,
        pointer: &str,
    ) -> Option<usize> {
        if let Some(index) = self.classes.get(&(name, effect)) {
            return Some(*index);
        }
        let mut problems = Vec::new();
        let class = read_class(value, effect, &mut problems);
        for problem in problems {
            self.error(pointer, problem);
        }
        let index = self.description.classes.len();
        self.description.classes.push(class?);
        let class_names = &mut self.description.class_names;
        let is_name_taken = class_names.iter().any(|other| other == name);
        class_names.push(if is_name_taken {
            format!("{name}-{}", effect.name())
        } else {
            name.to_owned()
        });
        self.classes.insert((name, effect), index);
        Some(index)
    }

    /// Reads the statuses whose responses state that the request never ran.
    fn read_never_ran(&mut self, operation: &'a Value, pointer: &str) -> Vec<Statuses> {
        let mut statuses = Vec::new();
        for (status, response) in operation["responses"].as_object().into_iter().flatten() {
            let pointer = format!("{pointer}/responses/{status}");
            let Some(response) = self.resolve(response, &pointer) else {
                continue;
            };
            match response.get("x-quota-never-ran") {
                None | Some(Value::Bool(false)) => continue,
                Some(Value::Bool(true)) => {}
                Some(other) => {
                    self.error(&pointer, Problem::NeverRanNotBoolean(other.to_string()));
                    continue;
                }
            }
            match Statuses::parse_error(status) {
                Some(status) => statuses.push(status),
                // A response such as `default` may also apply to successful requests.
                None => self.error(&pointer, Problem::NeverRanStatus),
            }
        }
        statuses
    }

    /// Follows references from `value`. References without a target were reported at the start of
    /// loading.
    fn resolve(&mut self, value: &'a Value, pointer: &str) -> Option<&'a Value> {
        match resolve(self.root, value) {
            Resolved::Value(value) => Some(value),
            Resolved::Unresolved => None,
            Resolved::Cycle => {
                self.error(pointer, Problem::ReferenceCycle);
                None
            }
        }
    }

    /// Adds the paths to the description, in the order in which they are matched.
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
                .map(Segment::match_rank)
                .collect::<Vec<_>>()
        });
        description
    }
}
