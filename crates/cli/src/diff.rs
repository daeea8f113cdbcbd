//! Differences between two fleets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use wigeonhinge_schema::fleet::Fleet;

/// How an item differs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Only the new fleet has it.
    Added,
    /// Only the old fleet has it.
    Removed,
    /// Both have it, with other values.
    Changed,
    /// A VM that changes pools.
    Moved,
}

/// An item that differs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Difference {
    /// Kind of item: `vm`, `upstream`, `pool`, `service`, `team`, `zone` or `rule`.
    pub item: &'static str,
    /// Name of the item.
    pub name: String,
    /// How it differs.
    pub change: Change,
    /// Old and new value, as JSON; empty without one.
    pub detail: String,
}

/// Returns the differences between two fleets, by kind of item and name.
///
/// ```
/// use wigeonhinge_cli::diff::compare;
/// use wigeonhinge_schema::fleet::Fleet;
///
/// assert!(compare(&Fleet::default(), &Fleet::default()).is_empty());
/// ```
pub fn compare(old: &Fleet, new: &Fleet) -> Vec<Difference> {
    let mut differences = Vec::new();
    let empty = Default::default();
    let (before, after) = (
        old.rules.as_ref().unwrap_or(&empty),
        new.rules.as_ref().unwrap_or(&empty),
    );
    let mut add = |item, old, new| differences.extend(items(item, &old, &new));
    add(
        "zone",
        texts(&before.zones, |zone| &zone.name),
        texts(&after.zones, |zone| &zone.name),
    );
    add(
        "pool",
        texts(&before.pools, |pool| &pool.name),
        texts(&after.pools, |pool| &pool.name),
    );
    add(
        "service",
        texts(&before.services, |item| &item.name),
        texts(&after.services, |item| &item.name),
    );
    add(
        "team",
        texts(&before.teams, |team| &team.name),
        texts(&after.teams, |team| &team.name),
    );
    add(
        "vm",
        texts(&old.inventory, |vm| &vm.name),
        texts(&new.inventory, |vm| &vm.name),
    );
    add(
        "upstream",
        texts(&old.upstreams, |item| &item.name),
        texts(&new.upstreams, |item| &item.name),
    );
    mark_moves(&mut differences, old, new);
    if before.maintenance_days != after.maintenance_days {
        differences.push(Difference {
            item: "rule",
            name: "maintenance_days".to_owned(),
            change: Change::Changed,
            detail: format!("{} -> {}", before.maintenance_days, after.maintenance_days),
        });
    }
    differences
}

/// Items of one kind by name, as JSON.
fn texts<T: Serialize>(list: &[T], name: impl Fn(&T) -> &String) -> BTreeMap<String, String> {
    let text = |item: &T| serde_json::to_string(item).unwrap_or_default();
    list.iter()
        .map(|item| (name(item).clone(), text(item)))
        .collect()
}

fn items(
    item: &'static str,
    old: &BTreeMap<String, String>,
    new: &BTreeMap<String, String>,
) -> Vec<Difference> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let compare = |name: &String| {
        let (change, detail) = match (old.get(name), new.get(name)) {
            (None, Some(after)) => (Change::Added, after.clone()),
            (Some(before), None) => (Change::Removed, before.clone()),
            (Some(before), Some(after)) if before != after => {
                (Change::Changed, format!("{before} -> {after}"))
            }
            _ => return None,
        };
        Some(Difference {
            item,
            name: name.clone(),
            change,
            detail,
        })
    };
    names.into_iter().filter_map(compare).collect()
}

/// Marks changed VMs whose pool differs as moved.
fn mark_moves(differences: &mut [Difference], old: &Fleet, new: &Fleet) {
    let pools = |fleet: &Fleet| -> BTreeMap<String, String> {
        fleet
            .inventory
            .iter()
            .map(|vm| (vm.name.clone(), vm.pool.clone()))
            .collect()
    };
    let (before, after) = (pools(old), pools(new));
    for difference in differences.iter_mut() {
        if difference.item != "vm" || difference.change != Change::Changed {
            continue;
        }
        let (from, to) = (&before[&difference.name], &after[&difference.name]);
        if from != to {
            difference.change = Change::Moved;
            difference.detail = format!("{from} -> {to}");
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.change {
            Change::Added => '+',
            Change::Removed => '-',
            Change::Changed | Change::Moved => '~',
        };
        write!(f, "{sign} {} {}: {}", self.item, self.name, self.detail)
    }
}
