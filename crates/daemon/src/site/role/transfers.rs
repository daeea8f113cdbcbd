//! Jobs that pass to another partition, as no worker of this one can run them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::batch::StateRow;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge::id::JobId;
use wigeonhinge::id::PoolId;
use wigeonhinge::partition::Partition;
use wigeonhinge::partition::pick;
use wigeonhinge_platform::store::Commit;
use wigeonhinge_platform::store::Error;
use wigeonhinge_platform::store::Outcome;

use crate::site::Shared;
use crate::site::clock;
use crate::site::control::AbsentRow;
use crate::site::keys;
use crate::site::role::Role;
use crate::site::rows;

/// Time for which a pool lacks a worker until entries choose other partitions for its jobs. A machine
/// that moves to it or has its maintenance takes less.
const ABSENCE_DELAY: Duration = Duration::from_secs(5);

/// Time limit for a call that forwards a cancellation.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// First and longest pause until a cancellation is looked at again that could not be forwarded.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));

impl Role {
    /// Transfers jobs that no worker of this partition can run to others whose workers can.
    pub(super) fn transfer_jobs(&mut self) {
        if self.shared.control.borrow().topology.partitions() <= 1 {
            return;
        }
        let now = clock::now();
        let unschedulable = self.batch.unschedulable_jobs(now);
        if unschedulable.is_empty() {
            return;
        }
        let mut others: BTreeMap<Partition, Vec<&WorkerEntry>> = BTreeMap::new();
        {
            let topology = &self.shared.control.borrow().topology;
            for entry in self.registry.values().filter(|it| !it.draining) {
                let (partition, _) = topology.owner(&entry.rack);
                if partition != self.term.partition && topology.holder(partition).is_some() {
                    others.entry(partition).or_default().push(entry);
                }
            }
        }
        let mut transfers = Vec::new();
        for job in unschedulable {
            let fitting = others.iter().filter(|(_, it)| self.batch.can_run(&job, it));
            let fitting: Vec<Partition> = fitting.map(|(partition, _)| *partition).collect();
            transfers.extend(pick(&job, &fitting).map(|to| (job, to)));
        }
        for (job, to) in transfers {
            let pool = self.batch.pool_of(&job).cloned().unwrap_or_default();
            info!(self.shared.log, "jobs: job passes to another partition, as no worker can run it";
                "job" => %job, "pool" => %pool, "from" => self.term.partition, "to" => to);
            self.shared.metrics.increment("role.jobs_transferred");
            self.batch.transfer(&job, to, now);
            if !self.batch.has_pool(&pool, now) {
                self.absent_pools.insert(pool);
            }
        }
    }

    /// Tells entries for which pools they should choose other partitions.
    ///
    /// These are pools that lack a worker here for longer than a move of a machine takes, until one
    /// comes.
    pub(super) fn publish_absent_pools(&mut self) {
        if self.shared.control.borrow().topology.partitions() <= 1 {
            return;
        }
        let partition = self.term.partition;
        let published = self.shared.control.borrow().topology.absent(partition);
        let now = clock::now();
        let mut pools = std::mem::take(&mut self.absent_pools);
        pools.extend(published.iter().cloned());
        pools.extend(self.find_absent_pools(now));
        pools.retain(|pool| !self.batch.has_pool(pool, now));
        self.absent_pools = pools.clone();
        if pools != published {
            info!(self.shared.log, "partitions: pools without a worker changed";
                "partition" => partition, "pools" => ?pools);
            self.queue_json(keys::absent(partition), &AbsentRow { pools });
        }
    }

    /// Returns the pools of queues that have had no worker here for some time, and have one elsewhere.
    fn find_absent_pools(&mut self, now: Time) -> Vec<PoolId> {
        let Some(catalog) = self.shared.catalog.borrow().clone() else {
            return Vec::new();
        };
        let pools = catalog.queues().map(|queue| &queue.pool);
        let lacking: BTreeSet<&PoolId> = pools
            .filter(|pool| !self.batch.has_pool(pool, now))
            .collect();
        self.lacking_since.retain(|pool, _| lacking.contains(pool));
        let mut absent = Vec::new();
        for pool in lacking {
            let since = *self.lacking_since.entry(pool.clone()).or_insert(now);
            let mut others = self.registry.values();
            if now.saturating_sub(since) >= ABSENCE_DELAY && others.any(|it| it.pool == *pool) {
                absent.push(pool.clone());
            }
        }
        absent
    }

    /// Passes a cancellation on to the partition of its job, or removes it if the job has ended.
    pub(super) fn forward_cancel(&self, job: JobId) {
        let shared = Rc::clone(&self.shared);
        let partition = self.term.partition;
        compio::runtime::spawn(async move {
            let mut warned = false;
            let mut pause = RETRY_PAUSE.0;
            // The next holder finds the cancellation in the store.
            while holds(&shared, partition) {
                match try_forward_cancel(&shared, partition, &job).await {
                    Ok(true) => return,
                    Ok(false) => {}
                    Err(error) => {
                        if !std::mem::replace(&mut warned, true) {
                            warn!(shared.log, "role: a cancellation cannot be forwarded, trying again";
                                "job" => %job, "partition" => partition, "error" => %error);
                        }
                    }
                }
                compio::time::sleep(pause).await;
                pause = (2 * pause).min(RETRY_PAUSE.1);
            }
        })
        .detach();
    }
}

/// Returns whether this entry holds a partition, as far as it knows.
fn holds(shared: &Shared, partition: Partition) -> bool {
    let control = shared.control.borrow();
    let holder = control.topology.holder(partition);
    holder.is_some_and(|it| it.entry == shared.settings.entry)
}

/// Returns whether nothing is left to do for a cancellation that a partition has for a job that is not
/// open there.
///
/// The job may have left in memory only. Its state has the same partition until that is stored.
async fn try_forward_cancel(
    shared: &Shared,
    partition: Partition,
    job: &JobId,
) -> Result<bool, Error> {
    let own = keys::cancel(partition, job);
    let Some(item) = shared.store.get(&keys::state(job), CALL_TIMEOUT).await? else {
        return remove(shared, own).await;
    };
    let row: StateRow = rows::decode(&item.value).map_err(Error::Unknown)?;
    if row.phase.terminal() {
        return remove(shared, own).await;
    }
    if row.partition == partition {
        return Ok(false);
    }
    // The other partition's holder removes its own key with the job, so the state must not change.
    let commit = Commit {
        expect: vec![(keys::state(job), item.revision)],
        writes: vec![(keys::cancel(row.partition, job), b"{}".to_vec(), 0)],
        removes: vec![own],
    };
    let outcome = shared.store.commit(&commit, CALL_TIMEOUT).await?;
    Ok(matches!(outcome, Outcome::Done(_)))
}

async fn remove(shared: &Shared, key: String) -> Result<bool, Error> {
    let commit = Commit {
        removes: vec![key],
        ..Commit::default()
    };
    let outcome = shared.store.commit(&commit, CALL_TIMEOUT).await?;
    Ok(matches!(outcome, Outcome::Done(_)))
}
