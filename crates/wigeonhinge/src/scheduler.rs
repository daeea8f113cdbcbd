//! Decisions on the jobs of one pool, composed of [`job`](crate::job),
//! [`place`](crate::place), [`quota`](crate::quota) and [`usage`](crate::usage).
//!
//! The holder of the role `jobs/{pool}` feeds every [`Event`] in order to
//! [`Scheduler::handle`], carries out the [`Action`]s that come back in order,
//! and calls it with [`Event::Tick`] every [`TICK`]. Nothing is accepted or
//! started before the store holds it, and no command goes to the store or to a
//! worker outside the lease that [`Event::Lease`] announced.

mod api;

pub use crate::scheduler::api::Action;
pub use crate::scheduler::api::Answer;
pub use crate::scheduler::api::Command;
pub use crate::scheduler::api::Entry;
pub use crate::scheduler::api::Event;
pub use crate::scheduler::api::Reply;
pub use crate::scheduler::api::Report;
pub use crate::scheduler::api::Task;
pub use crate::scheduler::api::TaskReport;
pub use crate::scheduler::api::TaskState;

use std::time::Duration;

use crate::id::EntryId;
use crate::id::PoolId;
use crate::id::Time;

/// Interval of [`Event::Tick`]; it adds to the start latency of urgent work.
pub const TICK: Time = Duration::from_millis(50);

/// Time within which a worker stops a task whose scheduler is gone.
pub const TASK_TTL: Time = Duration::from_secs(3_600);

/// Decisions on the jobs of one pool.
#[derive(Debug)]
pub struct Scheduler {
    pool: PoolId,
    entry: EntryId,
    epoch: u64,
}

impl Scheduler {
    /// Creates the scheduler of a pool, without a role. `epoch` is the origin
    /// of [`Time`] in milliseconds since the Unix epoch.
    pub fn new(pool: PoolId, entry: EntryId, epoch: u64) -> Self {
        Self { pool, entry, epoch }
    }

    /// Takes an event and returns what has to be done, in order.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        let _ = (event, now, &self.pool, &self.entry, self.epoch);
        Vec::new()
    }
}
