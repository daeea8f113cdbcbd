//! Starts without an answer, which the next role holder has to know.
//!
//! A worker that has started again carries out a start that was meant for its former incarnation, and
//! runs the task for as long as it grants. A start that was answered cannot begin any more, so only
//! the runs of the others may outlive the leases that the former holder extended.

use std::collections::BTreeMap;

use compact_str::CompactString;
use compact_str::ToCompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::Batch;
use crate::batch::ProgressRow;
use crate::batch::Run;
use crate::batch::TaskId;
use crate::batch::worker::Stage;
use crate::id::Revision;
use crate::id::Time;

/// Most starts that a row names; while there are more, the last row stays, which is older but true.
const MAX_LISTED: usize = 128;

/// Stored row of the starts that had no answer when it was written.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartsRow {
    /// Revision of the store up to which all starts that were recorded are answered, but these.
    pub revision: Revision,
    /// Tasks whose starts are not answered, each with its run.
    pub unanswered: BTreeMap<CompactString, Run>,
}

/// Progress of a job as read from the store.
#[derive(Clone, Debug)]
pub struct StoredProgress {
    /// Progress of its tasks.
    pub row: ProgressRow,
    /// Revision at which the row was written.
    pub revision: Revision,
    /// A time by which that was.
    pub written_by: Time,
}

impl StartsRow {
    /// Returns whether a start is known to be answered that a row of this revision records.
    fn is_answered(&self, revision: Revision, task: &TaskId, run: Run) -> bool {
        revision <= self.revision && self.unanswered.get(&task.to_compact_string()) != Some(&run)
    }
}

impl Batch {
    /// Takes over the starts without an answer that a predecessor recorded; called before its jobs are
    /// restored.
    pub fn restore_starts(&mut self, row: StartsRow) {
        self.predecessor_starts = row;
    }

    /// Returns the row of the starts without an answer to store next, if it has to change. The store
    /// holds the starts that were sent so far at a revision.
    pub fn take_starts(&mut self, revision: Revision) -> Option<StartsRow> {
        if !self.starts_changed {
            return None;
        }
        let (workers, jobs) = (&self.workers, &self.jobs);
        self.unanswered_starts.retain(|task, run| {
            let state = jobs.get(&task.job).and_then(|job| job.task(task));
            let worker = state.and_then(|it| workers.get(it.worker()?));
            let state = worker.and_then(|it| it.runs.get(task));
            state.is_some_and(|it| it.run == *run && it.is_unanswered())
        });
        if self.unanswered_starts.len() > MAX_LISTED {
            return None;
        }
        // Those that are left are answered later.
        self.starts_changed = !self.unanswered_starts.is_empty();
        let listed = self.unanswered_starts.iter();
        let unanswered = listed.map(|(task, run)| (task.to_compact_string(), *run));
        Some(StartsRow {
            revision,
            unanswered: unanswered.collect(),
        })
    }

    /// Records that a start was sent, or may have been sent by a predecessor, and has no answer.
    pub(super) fn start_unanswered(&mut self, task: TaskId, run: Run) {
        self.unanswered_starts.insert(task, run);
        self.starts_changed = true;
    }

    /// Returns the time by which a predecessor's start was recorded, or `None` if it was answered.
    pub(super) fn recorded_by(
        &self,
        stored: &StoredStart,
        task: &TaskId,
        run: Run,
    ) -> Option<Time> {
        let answered = self
            .predecessor_starts
            .is_answered(stored.revision, task, run);
        (!answered).then_some(stored.written_by)
    }
}

/// When the row that records a predecessor's starts was written.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredStart {
    pub(super) revision: Revision,
    pub(super) written_by: Time,
}

impl super::worker::RunState {
    /// Returns whether its start was sent and the worker is not known to have had it.
    pub(super) fn is_unanswered(&self) -> bool {
        let sent = matches!(self.stage, Stage::Starting | Stage::Stopping(..));
        sent && !self.seen && self.recorded_by.is_some()
    }
}
