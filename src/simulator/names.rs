//! Names of classes and plans, which the simulator uses where the decision module uses indices.

use serde_json::Value;

/// Index of the settings in the line that starts an instance.
pub(super) const SETTINGS_INDEX: usize = 3;

/// Names of the classes and plans of an instance, in the order of their indices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    classes: Vec<String>,
    plans: Vec<String>,
}

/// Source of the names of classes and plans that are needed to parse the events of an instance.
pub trait Lookup {
    /// Returns the names of an instance, or `None` if it is not running.
    fn names(&self, instance: u64) -> Option<&Names>;
}

impl Names {
    /// Reads the names in the line that starts an instance. Returns no names if the line can't be
    /// parsed.
    pub fn from_line(line: &str) -> Names {
        let value: Value = serde_json::from_str(line).unwrap_or_default();
        Names::from_settings(&value[SETTINGS_INDEX])
    }

    /// Reads the names in the settings of an instance. The name of an entry without one is empty.
    pub fn from_settings(settings: &Value) -> Names {
        Names {
            classes: read_names(&settings["classes"]),
            plans: read_names(&settings["tariffs"]),
        }
    }

    /// Returns the names of the classes, in the order of their indices.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Returns the index of the class with this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// Returns the index of the plan with this name.
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
