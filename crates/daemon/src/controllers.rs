//! Controllers of the roles: they drive the library's state machines.
//!
//! A controller exists while its entry holds the role. It turns the actions of
//! [`wigeonhinge::controller`] and [`wigeonhinge::scheduler`] into orders to the
//! platform, and the outcomes back into events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use wigeonhinge::Time;
use wigeonhinge::id::EntryId;

use crate::controllers::fleet::Fleet;
use crate::controllers::jobs::Jobs;
use crate::plane::Controllers;
use crate::plane::Order;
use crate::plane::Outcome;

mod fleet;
mod jobs;

pub use crate::controllers::fleet::Timing;

/// Time after which the outcome of an order is no longer expected.
///
/// Longer than a call to the platform; an outcome that arrives while the lease
/// is not valid is dropped.
const OUTCOME: Duration = Duration::from_secs(4);

/// Returns the factory that an entry creates the controllers of its roles with.
pub fn factory(entry: EntryId, timing: Timing) -> Controllers {
    Arc::new(move |role| {
        if let Some(region) = role.strip_prefix("fleet/") {
            let mut fleet = Fleet::new(region, &entry, timing);
            return Some(Box::new(move |input, lease, now| {
                fleet.handle(input, lease, now)
            }));
        }
        let pool = role.strip_prefix("jobs/")?;
        let mut jobs = Jobs::new(pool.into(), entry.clone());
        Some(Box::new(move |input, lease, now| {
            jobs.handle(input, lease, now)
        }))
    })
}

/// Orders that were given and what each is for.
#[derive(Debug)]
struct Orders<P> {
    last: u64,
    open: BTreeMap<u64, (Time, P)>,
    given: Vec<(u64, Order)>,
}

impl<P> Orders<P> {
    fn new() -> Self {
        Self {
            last: 0,
            open: BTreeMap::new(),
            given: Vec::new(),
        }
    }

    /// Gives an order whose outcome is expected.
    fn give(&mut self, order: Order, purpose: P, now: Time) {
        self.last += 1;
        self.open.insert(self.last, (now, purpose));
        self.given.push((self.last, order));
    }

    /// Gives an order that has no outcome.
    fn tell(&mut self, order: Order) {
        self.last += 1;
        self.given.push((self.last, order));
    }

    /// Returns what an outcome is for.
    fn close(&mut self, number: u64) -> Option<P> {
        self.open.remove(&number).map(|(_, purpose)| purpose)
    }

    /// Returns the purposes whose outcomes are no longer expected.
    fn expire(&mut self, now: Time) -> Vec<P> {
        let late: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, (since, _))| *since + OUTCOME < now)
            .map(|(number, _)| *number)
            .collect();
        late.into_iter()
            .filter_map(|number| self.close(number))
            .collect()
    }

    /// Takes the orders that were given.
    fn take(&mut self) -> Vec<(u64, Order)> {
        std::mem::take(&mut self.given)
    }
}

/// Returns the time since the Unix epoch.
fn unix() -> Time {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns the result of a read, `None` if it failed.
fn value(outcome: Outcome) -> Option<Option<(u64, serde_json::Value)>> {
    match outcome {
        Outcome::Value(found) => Some(found),
        _ => None,
    }
}
