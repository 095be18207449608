//! Differences between two operator configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use hibiscusrail_fleet::objects::{Deployment, OperatorConfig, Workspace};
use hibiscusrail_macros::{id, record};
use serde::Serialize;
use serde_json::Value;

use crate::finding::{Place, abbreviate};

/// What a change does to its object.
#[id]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The object is new.
    Added,
    /// The object is gone.
    Removed,
    /// Fields of the object have other values.
    Changed,
}

/// Difference in one object.
#[record]
#[derive(Serialize)]
pub struct Change {
    /// What happens to the object.
    pub action: Action,
    /// The object.
    pub place: Place,
    /// The changed fields with their values before and after, without secrets.
    pub fields: Vec<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let action = match self.action {
            Action::Added => "added",
            Action::Removed => "removed",
            Action::Changed => "changed",
        };
        write!(f, "{action} {}", self.place)?;
        if !self.fields.is_empty() {
            write!(f, ": {}", self.fields.join(", "))?;
        }
        Ok(())
    }
}

/// Returns the differences from the configuration in force, of which `None` has no objects.
#[must_use]
pub fn changes(old: Option<&OperatorConfig>, new: &OperatorConfig) -> Vec<Change> {
    let old = old.cloned().unwrap_or_default();
    let mut changes = Changes::default();
    let (before, after) = (old.deployment.as_ref(), new.deployment.as_ref());
    let routes = |d: Option<&Deployment>| numbered(d.map_or(&[][..], |d| &d.routes), |r| &r.name);
    changes.compare(&routes(before), &routes(after), Place::Route);
    let services = |d: Option<&Deployment>| {
        let services = d.map(|d| d.services.clone());
        services.unwrap_or_default()
    };
    changes.compare(&services(before), &services(after), Place::Service);
    if let (Some(before), Some(after)) = (before, after) {
        changes.change(Place::Limits, differences(&before.limits, &after.limits));
    }
    changes.compare_workspaces(&workspaces(before), &workspaces(after));
    changes.compare(&old.rollouts, &new.rollouts, Place::Rollout);
    for zone in new.evacuated.difference(&old.evacuated) {
        changes.add(Action::Added, Place::Evacuation(zone.clone()));
    }
    for zone in old.evacuated.difference(&new.evacuated) {
        changes.add(Action::Removed, Place::Evacuation(zone.clone()));
    }
    changes.0
}

/// Returns the objects by name; a further one of the same name gets a number.
fn numbered<T: Clone>(list: &[T], name: impl Fn(&T) -> &String) -> BTreeMap<String, T> {
    let mut counts: BTreeMap<&String, u32> = BTreeMap::new();
    let mut named = BTreeMap::new();
    for object in list {
        let count = counts.entry(name(object)).or_default();
        *count += 1;
        let key = match *count {
            1 => name(object).clone(),
            n => format!("{} ({n})", name(object)),
        };
        named.insert(key, object.clone());
    }
    named
}

fn workspaces(deployment: Option<&Deployment>) -> BTreeMap<String, Workspace> {
    numbered(deployment.map_or(&[][..], |d| &d.workspaces), |w| &w.name)
}

/// Returns the fields of which the values differ.
fn differences<T: Serialize>(old: &T, new: &T) -> Vec<String> {
    let value = |object: &T| serde_json::to_value(object).unwrap_or_default();
    let (old, new) = (value(old), value(new));
    let fields = old.as_object().into_iter().flatten();
    fields
        .filter(|(name, before)| new.get(*name) != Some(before))
        .map(|(name, before)| format!("{name} {} -> {}", show(before), show(&new[name])))
        .collect()
}

/// Returns a value for the operator; durations, which are objects in JSON, with their unit.
fn show(value: &Value) -> String {
    let seconds = value.get("secs").and_then(Value::as_u64);
    let nanos = value.get("nanos").and_then(Value::as_u64);
    match (value, seconds, nanos) {
        (_, Some(seconds), Some(nanos)) => {
            format!(
                "{:?}",
                Duration::from_secs(seconds) + Duration::from_nanos(nanos)
            )
        }
        (Value::Null, ..) => "none".to_owned(),
        _ => value.to_string(),
    }
}

#[derive(Default)]
struct Changes(Vec<Change>);

impl Changes {
    fn add(&mut self, action: Action, place: Place) {
        self.0.push(Change {
            action,
            place,
            fields: Vec::new(),
        });
    }

    fn change(&mut self, place: Place, fields: Vec<String>) {
        if !fields.is_empty() {
            self.0.push(Change {
                action: Action::Changed,
                place,
                fields,
            });
        }
    }

    fn compare<T: Serialize>(
        &mut self,
        old: &BTreeMap<String, T>,
        new: &BTreeMap<String, T>,
        place: impl Fn(String) -> Place,
    ) {
        for (name, object) in new {
            match old.get(name) {
                Some(before) => self.change(place(name.clone()), differences(before, object)),
                None => self.add(Action::Added, place(name.clone())),
            }
        }
        for name in old.keys().filter(|name| !new.contains_key(*name)) {
            self.add(Action::Removed, place(name.clone()));
        }
    }

    fn compare_workspaces(
        &mut self,
        old: &BTreeMap<String, Workspace>,
        new: &BTreeMap<String, Workspace>,
    ) {
        // Keys are compared on their own, as their values must not be shown.
        let ranks = |workspaces: &BTreeMap<String, Workspace>| {
            let without_keys = |(name, w): (&String, &Workspace)| {
                let keys = Vec::new();
                (name.clone(), Workspace { keys, ..w.clone() })
            };
            workspaces
                .iter()
                .map(without_keys)
                .collect::<BTreeMap<_, _>>()
        };
        self.compare(&ranks(old), &ranks(new), Place::Workspace);
        let keys = |workspaces: &BTreeMap<String, Workspace>| {
            let of = |(name, w): (&String, &Workspace)| {
                let pair = |key: &String| (name.clone(), key.clone());
                w.keys.iter().map(pair).collect::<Vec<_>>()
            };
            workspaces.iter().flat_map(of).collect::<BTreeSet<_>>()
        };
        let (old, new) = (keys(old), keys(new));
        for (action, list) in [
            (Action::Added, new.difference(&old)),
            (Action::Removed, old.difference(&new)),
        ] {
            for (workspace, key) in list {
                let place = Place::Key {
                    workspace: workspace.clone(),
                    key: abbreviate(key),
                };
                self.add(action, place);
            }
        }
    }
}
