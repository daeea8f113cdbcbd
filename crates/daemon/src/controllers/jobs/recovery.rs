//! Reading a pool's snapshot and the log after it.

use serde_json::Value;
use wigeonhinge::scheduler::LogEntry;
use wigeonhinge_schema::jobs::Snapshot;

use crate::controllers::jobs::position;
use crate::controllers::jobs::snapshot_key;
use crate::controllers::value;
use crate::plane::Order;
use crate::plane::Outcome;

/// Progress of a recovery: the snapshot first, then one position after another.
#[derive(Debug)]
pub(super) struct Recovery {
    pool: String,
    snapshot: Option<Option<Box<Snapshot>>>,
    batches: Vec<LogEntry>,
    seq: u64,
}

/// What follows from an outcome.
pub(super) enum Next {
    /// This order comes next.
    Order(Recovery, Order),
    /// The log was read up to its end.
    Done(Option<Box<Snapshot>>, Vec<LogEntry>),
    /// The store gave no usable answer.
    Failed,
}

impl Recovery {
    /// Begins a recovery.
    pub(super) fn start(pool: &str) -> (Self, Order) {
        let recovery = Self {
            pool: pool.to_owned(),
            snapshot: None,
            batches: Vec::new(),
            seq: 0,
        };
        let order = Order::Get(snapshot_key(pool));
        (recovery, order)
    }

    /// Takes the outcome of the order given last; `None` if none came.
    pub(super) fn next(mut self, outcome: Option<Outcome>) -> Next {
        let Some(found) = outcome.and_then(value) else {
            return Next::Failed;
        };
        match self.snapshot.take() {
            None => {
                let snapshot = match found.map(|(_, value)| serde_json::from_value(value)) {
                    Some(Err(_)) => return Next::Failed,
                    Some(Ok(snapshot)) => Some(Box::<Snapshot>::new(snapshot)),
                    None => None,
                };
                self.seq = snapshot.as_ref().map_or(0, |snapshot| snapshot.seq);
                self.snapshot = Some(snapshot);
            }
            Some(snapshot) => {
                let Some(found) = found else {
                    return Next::Done(snapshot, self.batches);
                };
                let Some(entry) = entry(found) else {
                    return Next::Failed;
                };
                self.batches.push(entry);
                self.snapshot = Some(snapshot);
            }
        }
        self.seq += 1;
        let order = Order::Get(position(&self.pool, self.seq));
        Next::Order(self, order)
    }
}

/// Reads a position of the log.
pub(super) fn entry((version, value): (u64, Value)) -> Option<LogEntry> {
    let batch = serde_json::from_value(value).ok()?;
    Some(LogEntry { version, batch })
}
