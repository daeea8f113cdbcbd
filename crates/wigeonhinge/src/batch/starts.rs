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
use crate::id::Time;

/// Most starts that a row names, which are 4 KB; with more, none counts as answered.
const MAX_LISTED: usize = 128;

/// Stored row of the starts without an answer, written with each row that records a start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartsRow {
    /// Whether all of them are named.
    pub complete: bool,
    /// Tasks whose starts are not answered, each with its run.
    pub unanswered: BTreeMap<CompactString, Run>,
}

/// Progress of a job as read from the store.
#[derive(Clone, Debug)]
pub struct StoredProgress {
    /// Progress of its tasks.
    pub row: ProgressRow,
    /// A time by which the row was written.
    pub written_by: Time,
}

impl StartsRow {
    /// Returns whether a recorded start is known to be answered.
    fn is_answered(&self, task: &TaskId, run: Run) -> bool {
        self.complete && self.unanswered.get(&task.to_compact_string()) != Some(&run)
    }
}

impl Batch {
    /// Takes over the starts without an answer that a predecessor recorded; called before its jobs are
    /// restored.
    pub fn restore_starts(&mut self, row: StartsRow) {
        self.predecessor_starts = row;
    }

    /// Returns the row of the starts without an answer, if the next write has to contain it.
    pub fn take_starts(&mut self) -> Option<StartsRow> {
        if !self.starts_changed {
            return None;
        }
        let (workers, jobs) = (&self.workers, &self.jobs);
        self.unanswered_starts.retain(|task, run| {
            let state = jobs.get(&task.job).and_then(|job| job.task(task));
            let worker = state.and_then(|it| workers.get(it.worker()?));
            let state = worker.and_then(|it| it.runs.get(task));
            let state = state.filter(|it| it.run == *run);
            state.is_some_and(|it| it.stage == Stage::Reserved || it.is_unanswered())
        });
        let listed = self.unanswered_starts.iter();
        let unanswered = listed.map(|(task, run)| (task.to_compact_string(), *run));
        let complete = self.unanswered_starts.len() <= MAX_LISTED;
        // Those that are left are answered later, and some may be recorded later.
        self.starts_changed = !self.unanswered_starts.is_empty();
        Some(StartsRow {
            complete,
            unanswered: match complete {
                true => unanswered.collect(),
                false => BTreeMap::new(),
            },
        })
    }

    /// Records that a start is about to be recorded and sent, or may have been sent by a predecessor, and
    /// has no answer.
    pub(super) fn start_unanswered(&mut self, task: TaskId, run: Run) {
        self.unanswered_starts.insert(task, run);
        self.starts_changed = true;
    }

    /// Returns the time by which a predecessor's start was recorded, or `None` if it was answered.
    pub(super) fn recorded_by(&self, written_by: Time, task: &TaskId, run: Run) -> Option<Time> {
        let answered = self.predecessor_starts.is_answered(task, run);
        (!answered).then_some(written_by)
    }
}

impl super::worker::RunState {
    /// Returns whether its start was sent and the worker is not known to have had it.
    pub(super) fn is_unanswered(&self) -> bool {
        let sent = matches!(self.stage, Stage::Starting | Stage::Stopping(..));
        sent && !self.seen && self.recorded_by.is_some()
    }
}
