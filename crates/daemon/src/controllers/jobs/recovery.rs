//! Recovery of a pool's jobs: reads the snapshot and the log entries after it.

use serde_json::Value;
use wigeonhinge::scheduler::LogEntry;
use wigeonhinge_schema::jobs::Snapshot;

use crate::controllers::jobs::log_key;
use crate::controllers::jobs::snapshot_key;
use crate::controllers::read_value;
use crate::plane::Order;
use crate::plane::Outcome;

/// Recovery in progress.
///
/// The snapshot is read first, then the log one position after another.
#[derive(Debug)]
pub(super) struct Recovery {
    pool: String,
    /// `None` until the read has ended; `Some(None)` if the store holds no snapshot.
    snapshot: Option<Option<Box<Snapshot>>>,
    entries: Vec<LogEntry>,
    /// Position of the log that is read next.
    position: u64,
}

/// Next step of a recovery.
pub(super) enum Step {
    /// The recovery continues with this order.
    Order(Recovery, Order),
    /// The snapshot and the log up to its end.
    Done(Option<Box<Snapshot>>, Vec<LogEntry>),
    /// A read failed or returned a document that cannot be decoded.
    Failed,
}

impl Recovery {
    /// Starts a recovery and returns its first order.
    pub(super) fn start(pool: &str) -> (Self, Order) {
        let recovery = Self {
            pool: pool.to_owned(),
            snapshot: None,
            entries: Vec::new(),
            position: 0,
        };
        let order = Order::Get(snapshot_key(pool));
        (recovery, order)
    }

    /// Continues with the outcome of the last order; `None` if no outcome arrived.
    pub(super) fn advance(mut self, outcome: Option<Outcome>) -> Step {
        let Some(found) = outcome.and_then(read_value) else {
            return Step::Failed;
        };
        match self.snapshot.take() {
            None => {
                let snapshot = match found.map(|(_, value)| serde_json::from_value(value)) {
                    Some(Err(_)) => return Step::Failed,
                    Some(Ok(snapshot)) => Some(Box::<Snapshot>::new(snapshot)),
                    None => None,
                };
                self.position = snapshot.as_ref().map_or(0, |snapshot| snapshot.seq);
                self.snapshot = Some(snapshot);
            }
            Some(snapshot) => {
                let Some(found) = found else {
                    return Step::Done(snapshot, self.entries);
                };
                let Some(entry) = decode_entry(found) else {
                    return Step::Failed;
                };
                self.entries.push(entry);
                self.snapshot = Some(snapshot);
            }
        }
        self.position += 1;
        let order = Order::Get(log_key(&self.pool, self.position));
        Step::Order(self, order)
    }
}

/// Decodes an entry of the log; `None` if it is not valid.
pub(super) fn decode_entry((version, value): (u64, Value)) -> Option<LogEntry> {
    let batch = serde_json::from_value(value).ok()?;
    Some(LogEntry { version, batch })
}
