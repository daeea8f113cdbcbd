//! Controllers of the roles, which drive the state machines of the library.
//!
//! A controller exists while its entry holds the role. It translates the actions of
//! [`wigeonhinge::controller`] and [`wigeonhinge::scheduler`] into orders to the
//! platform, and the outcomes of the orders back into events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use wigeonhinge::Time;
use wigeonhinge::id::EntryId;

use crate::controllers::fleet::Fleet;
use crate::controllers::jobs::Jobs;
use crate::plane::ControllerFactory;
use crate::plane::Order;
use crate::plane::Outcome;

mod fleet;
mod jobs;

pub use crate::controllers::fleet::Timing;

/// Time after which an order without an outcome counts as failed.
///
/// It is longer than a call to the platform takes. An outcome can be missing
/// because one that arrives while the lease is not valid is dropped.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(4);

/// Returns the function that creates the controller of a role for an entry.
///
/// It knows the roles `fleet/REGION` and `jobs/POOL`.
pub fn factory(entry: EntryId, timing: Timing) -> ControllerFactory {
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

/// Orders of a controller, and the purpose of each order whose outcome is pending.
#[derive(Debug)]
struct OrderQueue<P> {
    last_number: u64,
    pending: BTreeMap<u64, (Time, P)>,
    issued: Vec<(u64, Order)>,
}

impl<P> OrderQueue<P> {
    fn new() -> Self {
        Self {
            last_number: 0,
            pending: BTreeMap::new(),
            issued: Vec::new(),
        }
    }

    /// Queues an order and keeps its purpose until its outcome arrives.
    fn issue(&mut self, order: Order, purpose: P, now: Time) {
        self.last_number += 1;
        self.pending.insert(self.last_number, (now, purpose));
        self.issued.push((self.last_number, order));
    }

    /// Queues an order that has no outcome.
    fn issue_without_outcome(&mut self, order: Order) {
        self.last_number += 1;
        self.issued.push((self.last_number, order));
    }

    /// Returns the purpose of an order whose outcome arrived; `None` if it is not pending.
    fn complete(&mut self, number: u64) -> Option<P> {
        self.pending.remove(&number).map(|(_, purpose)| purpose)
    }

    /// Removes the orders whose outcomes are overdue, and returns their purposes.
    fn expire(&mut self, now: Time) -> Vec<P> {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, (since, _))| *since + OUTCOME_TIMEOUT < now)
            .map(|(number, _)| *number)
            .collect();
        expired
            .into_iter()
            .filter_map(|number| self.complete(number))
            .collect()
    }

    /// Takes the queued orders, each with its number.
    fn take(&mut self) -> Vec<(u64, Order)> {
        std::mem::take(&mut self.issued)
    }
}

/// Returns the time since the Unix epoch; zero if the clock is set before it.
fn unix_now() -> Time {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns the result of a read: `None` if it failed, `Some(None)` if the key is absent.
fn read_value(outcome: Outcome) -> Option<Option<(u64, serde_json::Value)>> {
    match outcome {
        Outcome::Value(found) => Some(found),
        _ => None,
    }
}
