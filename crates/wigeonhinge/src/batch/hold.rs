//! Room that is held on workers for long-running tasks that leave their own.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::batch::Size;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::id::Time;

/// Time after which room is released unless the task's worker is still drained; the same as for its
/// cordon.
const HOLD_RETENTION: Duration = Duration::from_millis(600);

/// Room on a worker.
#[derive(Debug)]
struct Hold {
    worker: WorkerId,
    size: Size,
    renewed_at: Time,
}

/// Room that no other task may use, by the task that it is held for.
#[derive(Debug, Default)]
pub(super) struct Holds {
    holds: BTreeMap<TaskId, Hold>,
}

impl Holds {
    /// Holds room for a task, instead of what was held for it before.
    pub(super) fn hold(&mut self, task: &TaskId, worker: WorkerId, size: Size, now: Time) {
        let hold = Hold {
            worker,
            size,
            renewed_at: now,
        };
        self.holds.insert(task.clone(), hold);
    }

    /// Returns the worker on which room is held for a task.
    pub(super) fn worker(&self, task: &TaskId) -> Option<&WorkerId> {
        self.holds.get(task).map(|hold| &hold.worker)
    }

    /// Returns whether room is held on a worker.
    pub(super) fn any_on(&self, worker: &WorkerId) -> bool {
        self.holds.values().any(|hold| hold.worker == *worker)
    }

    /// Returns whether room is held for a task of the same step.
    pub(super) fn any_in_step(&self, task: &TaskId) -> bool {
        let at = |index| TaskId {
            index,
            ..task.clone()
        };
        self.holds.range(at(0)..=at(u32::MAX)).next().is_some()
    }

    pub(super) fn release(&mut self, task: &TaskId) {
        self.holds.remove(task);
    }

    /// Releases what was not renewed lately.
    pub(super) fn expire(&mut self, now: Time) {
        self.holds
            .retain(|_, hold| now.saturating_sub(hold.renewed_at) <= HOLD_RETENTION);
    }

    /// Returns the room on each worker that is held for other tasks.
    pub(super) fn for_others(&self, task: &TaskId) -> BTreeMap<&WorkerId, Size> {
        let mut sizes: BTreeMap<&WorkerId, Size> = BTreeMap::new();
        for (_, hold) in self.holds.iter().filter(|(id, _)| *id != task) {
            let size = sizes.entry(&hold.worker).or_default();
            *size = size.plus(hold.size);
        }
        sizes
    }
}
