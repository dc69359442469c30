use std::collections::BTreeMap;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::{Document, Violation};

/// Applies a JSON merge patch as in RFC 7396.
///
/// Only the values that the patch changes are converted to JSON and back.
///
/// # Errors
///
/// Returns the first part of the patch that does not fit the schema of a document.
pub fn merge(document: &Document, patch: &Value) -> Result<Document, Violation> {
    let fields = require_object("patch", patch)?;
    let mut next = document.clone();
    for (field, change) in fields {
        match field.as_str() {
            "schema" => patch_value("schema", &mut next.schema, change)?,
            "zones" => patch_entries("zones", &mut next.zones, change)?,
            "services" => patch_entries("services", &mut next.services, change)?,
            "groups" => patch_entries("groups", &mut next.groups, change)?,
            "endpoints" => patch_entries("endpoints", &mut next.endpoints, change)?,
            "teams" => patch_entries("teams", &mut next.teams, change)?,
            "policy" => patch_value("policy", &mut next.policy, change)?,
            other => {
                let rule = "is not a field of the document";
                return Err(Violation::new(other, "", rule, "remove it"));
            }
        }
    }
    Ok(next)
}

fn require_object<'a>(path: &str, value: &'a Value) -> Result<&'a Map<String, Value>, Violation> {
    value
        .as_object()
        .ok_or_else(|| Violation::new(path, value, "is not an object", "write { ... }"))
}

fn patch_entries<T>(
    section: &str,
    entries: &mut BTreeMap<SmolStr, T>,
    change: &Value,
) -> Result<(), Violation>
where
    T: DeserializeOwned + Serialize,
{
    for (name, change) in require_object(section, change)? {
        let path = format!("{section}.{name}");
        if change.is_null() {
            entries.remove(name.as_str());
            continue;
        }
        let old = entries.get(name.as_str());
        entries.insert(name.into(), merge_value(&path, old, change)?);
    }
    Ok(())
}

fn patch_value<T>(path: &str, value: &mut T, change: &Value) -> Result<(), Violation>
where
    T: DeserializeOwned + Serialize,
{
    *value = merge_value(path, Some(value), change)?;
    Ok(())
}

fn merge_value<T>(path: &str, old: Option<&T>, change: &Value) -> Result<T, Violation>
where
    T: DeserializeOwned + Serialize,
{
    let mut value = serde_json::to_value(old).unwrap_or(Value::Null);
    json_patch::merge(&mut value, change);
    serde_path_to_error::deserialize(value).map_err(|e| {
        let inner = e.path().to_string();
        let path = match inner.as_str() {
            "." => path.to_owned(),
            inner => format!("{path}.{inner}"),
        };
        Violation::new(&path, "", &e.inner().to_string(), "see docs/CONFIG.md")
    })
}

/// Returns the JSON merge patch that changes `old` into `new`, or `None` if they are equal.
#[must_use]
pub fn difference(old: &Value, new: &Value) -> Option<Value> {
    if old == new {
        return None;
    }
    let (Value::Object(before), Value::Object(after)) = (old, new) else {
        return Some(new.clone());
    };
    let removed = before.keys().filter(|key| !after.contains_key(*key));
    let mut patch: Map<_, _> = removed.map(|key| (key.clone(), Value::Null)).collect();
    for (key, value) in after {
        let change = before
            .get(key)
            .map_or_else(|| Some(value.clone()), |old| difference(old, value));
        patch.extend(change.map(|change| (key.clone(), change)));
    }
    Some(Value::Object(patch))
}
