//! Restarts of workers under their identifiers, which the next role holder has to know.
//!
//! Calls that were meant for an earlier incarnation of a worker may have given the present one the
//! longest lease. The worker's lists show neither the lease nor the earlier incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::WorkerEntry;
use crate::batch::WorkerId;
use crate::batch::contact::predecessor_lease;
use crate::batch::worker;
use crate::batch::worker::Origin;
use crate::batch::worker::Worker;
use crate::id::Time;

/// Stored row of the workers that restarted lately, each with the Unix time in milliseconds at which
/// its longest possible lease ends.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RestartsRow(pub BTreeMap<WorkerId, i64>);

impl Batch {
    /// Takes over the restarts that a predecessor recorded; called before workers are registered.
    pub fn restore_restarts(&mut self, row: &RestartsRow, now: Time) {
        // The clocks of two entries may differ.
        let latest = now + worker::unanswered_lease(self.bounds.lease);
        for (id, until_ms) in &row.0 {
            let millis = u64::try_from(until_ms.saturating_sub(self.epoch_ms)).unwrap_or(0);
            let until = Time::from_millis(millis).min(latest);
            if now < until {
                self.restarts.insert(id.clone(), until);
            }
        }
    }

    /// Records that a worker reported the runs of another incarnation than before.
    ///
    /// From this report on, the worker refuses calls that were meant for earlier ones.
    pub(super) fn worker_restarted(&mut self, id: &WorkerId, now: Time) {
        let lease = worker::inherited_lease(self.bounds.lease);
        self.record_restart(id, now + lease, now);
    }

    /// Counts the lease of a worker until a time, also in the terms of the next holders.
    fn record_restart(&mut self, id: &WorkerId, until: Time, now: Time) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.inherit_lease(until);
        }
        self.restarts.retain(|_, until| now < *until);
        self.restarts.insert(id.clone(), until);
        let rows = self.restarts.iter();
        let rows = rows.map(|(id, until)| (id.clone(), self.epoch_ms + until.as_millis() as i64));
        let row = RestartsRow(rows.collect());
        self.actions.push(Action::RecordRestarts(row));
    }

    /// Counts the longest lease for a worker that reports for the first time in this term and began
    /// shortly before.
    ///
    /// It may have restarted, and may have taken a lease from a call of an earlier holder that was meant
    /// for its former incarnation. The earlier holder need not have known, and the registry may name the
    /// present incarnation already.
    pub(super) fn inherit_unseen_lease(&mut self, id: &WorkerId, age: Duration, now: Time) {
        let lease = worker::unanswered_lease(self.bounds.lease);
        // A clock may be slow, so that the incarnation is older; it is not younger.
        let until = (now + lease).saturating_sub(age);
        let worker = self.workers.get(id);
        let inherited = worker.is_some_and(|it| it.origin == Origin::Inherited);
        if inherited && now < until {
            self.record_restart(id, until, now);
        }
    }

    /// Adds a worker whose lease may be one of a predecessor, and lasts longer if that recorded its
    /// restart.
    pub(super) fn add_worker(&mut self, entry: WorkerEntry, origin: Origin, now: Time) {
        let id = entry.id.clone();
        let mut worker = Worker::new(entry, now, now + predecessor_lease());
        worker.origin = origin;
        if let Some(until) = self.restarts.get(&id) {
            worker.inherit_lease(*until);
        }
        self.workers.insert(id, worker);
    }

    /// Compares the incarnation that a worker registered with that for which a predecessor recorded
    /// its runs. The registered one may have begun these runs, and may be cut off.
    pub(super) fn check_adopted(&mut self, id: &WorkerId, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let (registered, recorded) = (worker.entry.incarnation, worker.incarnation);
        let adopted = !worker.has_reported && !worker.runs.is_empty();
        if adopted && registered != 0 && recorded != 0 && registered != recorded {
            worker.inherit_lease(now + worker::unanswered_lease(self.bounds.lease));
        }
    }
}
