//! Machine orders of the last moments, as a successor has to know them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Time;
use crate::id::VmId;

/// Time for which an order without a certain answer is remembered; it covers several
/// attempts, each of which is recorded anew.
const OPEN_ORDER_RETENTION: Duration = Duration::from_secs(12);

/// Row that a successor reads: for each machine the milliseconds since its last order was
/// certainly over, or nothing if one may still be given.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrdersRow(pub BTreeMap<VmId, Option<u64>>);

#[derive(Clone, Copy, Debug)]
enum OrderState {
    /// Recorded at this time, without a certain answer.
    Open(Time),
    /// Answered at this time.
    Settled(Time),
}

/// Machines that were ordered lately.
///
/// ```
/// use std::time::Duration;
/// use wigeonhinge::batch::OrderLog;
///
/// let mut log = OrderLog::default();
/// log.record("m1".into(), Duration::ZERO);
/// let row = log.row(Duration::from_secs(3), Duration::from_secs(1));
/// assert_eq!(row.0["m1"], None);
/// ```
#[derive(Debug, Default)]
pub struct OrderLog {
    orders: BTreeMap<VmId, OrderState>,
}

impl OrderLog {
    /// Goes on with what a predecessor left.
    pub fn restore(row: &OrdersRow, now: Time) -> Self {
        let given = row.0.iter().map(|(machine, age)| {
            let given = match age {
                Some(millis) => {
                    OrderState::Settled(now.saturating_sub(Duration::from_millis(*millis)))
                }
                None => OrderState::Open(now),
            };
            (machine.clone(), given)
        });
        Self {
            orders: given.collect(),
        }
    }

    /// Notes an order before it is given.
    pub fn record(&mut self, machine: VmId, now: Time) {
        self.orders.insert(machine, OrderState::Open(now));
    }

    /// Notes that an order was certainly carried out or refused.
    pub fn answered(&mut self, machine: &VmId, now: Time) {
        if let Some(given) = self.orders.get_mut(machine) {
            *given = OrderState::Settled(now);
        }
    }

    /// Returns the row for a successor, which has to keep away from machines for `bound`.
    pub fn row(&mut self, bound: Duration, now: Time) -> OrdersRow {
        self.orders.retain(|_, given| match given {
            OrderState::Open(since) => now.saturating_sub(*since) < OPEN_ORDER_RETENTION,
            OrderState::Settled(since) => now.saturating_sub(*since) < bound,
        });
        let ages = self.orders.iter().map(|(machine, given)| {
            let age = match given {
                OrderState::Open(_) => None,
                OrderState::Settled(since) => Some(now.saturating_sub(*since).as_millis() as u64),
            };
            (machine.clone(), age)
        });
        OrdersRow(ages.collect())
    }
}
