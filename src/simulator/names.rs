//! Names of classes and plans: the wire has names where the decision module has indices.

use serde_json::Value;

/// Index of the settings in the line that starts an instance.
pub(super) const SETTINGS_INDEX: usize = 3;

/// Names of the classes and plans of an instance.
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

impl Names {
    /// Reads the names in the line that starts an instance. A line that can't be parsed has none.
    pub fn from_line(line: &str) -> Names {
        let value: Value = serde_json::from_str(line).unwrap_or_default();
        Names::from_settings(&value[SETTINGS_INDEX])
    }

    /// Reads the names in the settings of an instance. An entry without a name has an empty one.
    pub fn from_settings(settings: &Value) -> Names {
        Names {
            classes: read_names(&settings["classes"]),
            plans: read_names(&settings["tariffs"]),
        }
    }

    /// The names of the classes, in the order of their indices.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// The index of a plan.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|plan| plan == name)
    }
}

fn read_names(list: &Value) -> Vec<String> {
    let entries = list.as_array().map(Vec::as_slice).unwrap_or_default();
    entries
        .iter()
        .map(|entry| entry["name"].as_str().unwrap_or_default().to_owned())
        .collect()
}
