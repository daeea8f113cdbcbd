//! Jobs that callers of this entry submitted, cancelled or asked for lately.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use wigeonhinge::batch::Phase;
use wigeonhinge::id::JobId;

/// Most jobs that are remembered; the oldest ones are forgotten first. A caller that asks for one of
/// those costs a read of the store.
const MAX_JOBS: usize = 8_192;

/// Bounded memory of jobs.
///
/// It answers for jobs that have ended, as their state does not change any more, and for jobs
/// whose state cannot be read.
#[derive(Debug, Default)]
pub(crate) struct KnownJobs {
    jobs: BTreeMap<JobId, Phase>,
    order: VecDeque<JobId>,
}

impl KnownJobs {
    /// Records the phase of a job; an ended job stays ended.
    pub(crate) fn record(&mut self, id: &str, phase: Phase) {
        if let Some(known) = self.jobs.get_mut(id) {
            if !known.terminal() {
                *known = phase;
            }
            return;
        }
        self.jobs.insert(id.into(), phase);
        self.order.push_back(id.into());
        if self.order.len() > MAX_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }

    /// Returns the last known phase of a job.
    pub(crate) fn phase(&self, id: &str) -> Option<Phase> {
        self.jobs.get(id).copied()
    }
}
