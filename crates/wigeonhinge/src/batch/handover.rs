//! Log of recent machine orders for the next role holder.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Time;
use crate::id::VmId;

/// Time from its sending for which an order without a definite answer is kept; covers several
/// attempts, each of which is recorded again.
const OPEN_ORDER_RETENTION: Duration = Duration::from_secs(12);

/// Stored row of recent orders: for each machine the milliseconds since its last order was
/// answered, or `None` if the order may still be carried out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrdersRow(pub BTreeMap<VmId, Option<u64>>);

#[derive(Clone, Copy, Debug)]
enum OrderState {
    /// Recorded; sent once the record is stored, which takes as long as an outage of the store.
    Recorded,
    /// Sent at or after this time; no definite answer yet.
    Open(Time),
    /// Carried out or refused; answered at this time.
    Settled(Time),
}

/// Machines with recent orders.
///
/// ```
/// use std::time::Duration;
/// use wigeonhinge::batch::OrderLog;
///
/// let mut log = OrderLog::default();
/// log.record("m1".into());
/// let row = log.row(Duration::from_secs(3), Duration::from_secs(1));
/// assert_eq!(row.0["m1"], None);
/// ```
#[derive(Debug, Default)]
pub struct OrderLog {
    orders: BTreeMap<VmId, OrderState>,
}

impl OrderLog {
    /// Creates a log from the row that the previous role holder stored.
    pub fn restore(row: &OrdersRow, now: Time) -> Self {
        let orders = row.0.iter().map(|(machine, age)| {
            let state = match age {
                Some(millis) => {
                    OrderState::Settled(now.saturating_sub(Duration::from_millis(*millis)))
                }
                None => OrderState::Open(now),
            };
            (machine.clone(), state)
        });
        Self {
            orders: orders.collect(),
        }
    }

    /// Records an order; call before the order is sent.
    pub fn record(&mut self, machine: VmId) {
        self.orders.insert(machine, OrderState::Recorded);
    }

    /// Records that the store holds the record of an order, which is sent now.
    pub fn stored(&mut self, machine: &VmId, now: Time) {
        if let Some(state) = self.orders.get_mut(machine) {
            *state = OrderState::Open(now);
        }
    }

    /// Records a definite answer: the last order was carried out or refused.
    pub fn answered(&mut self, machine: &VmId, now: Time) {
        if let Some(state) = self.orders.get_mut(machine) {
            *state = OrderState::Settled(now);
        }
    }

    /// Removes old orders and returns the row to store.
    ///
    /// For `bound` after an answer, the next role holder must send no order to the machine.
    pub fn row(&mut self, bound: Duration, now: Time) -> OrdersRow {
        self.orders.retain(|_, state| match state {
            OrderState::Recorded => true,
            OrderState::Open(since) => now.saturating_sub(*since) < OPEN_ORDER_RETENTION,
            OrderState::Settled(since) => now.saturating_sub(*since) < bound,
        });
        let ages = self.orders.iter().map(|(machine, state)| {
            let age = match state {
                OrderState::Recorded | OrderState::Open(_) => None,
                OrderState::Settled(since) => Some(now.saturating_sub(*since).as_millis() as u64),
            };
            (machine.clone(), age)
        });
        OrdersRow(ages.collect())
    }
}
