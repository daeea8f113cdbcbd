//! Keys in the platform's store that entries write.

use std::fmt::Display;

/// Prefix of the keys that every entry replicates.
pub(super) const REPLICATED: &str = "wigeonhinge/";

/// Prefix of accepted jobs and cancellations.
pub(super) const INPUT: &str = "wigeonhinge/in/";

/// Prefix of accepted jobs.
pub(super) const JOBS: &str = "wigeonhinge/in/job/";

/// Prefix of cancellations.
pub(super) const CANCELS: &str = "wigeonhinge/in/cancel/";

/// Prefix of the states of jobs, which outlive the jobs for the retention time.
pub(super) const STATES: &str = "wigeonhinge/out/";

/// Prefix of the progress of jobs' runs.
///
/// It does not start with [`REPLICATED`], because these rows change most often and only the holder
/// of the role reads them.
pub(super) const PROGRESS: &str = "wigeonhinge-runs/";

/// Prefix of the progress of maintenance waves.
pub(super) const WAVES: &str = "wigeonhinge/wave/";

/// Key of the log of recent machine orders.
pub(super) const ORDERS: &str = "wigeonhinge/orders";

/// Key of the scheduler role; the revision of its creation is the role's fence.
pub(super) const ROLE: &str = "wigeonhinge/role";

pub(super) fn job(id: impl Display) -> String {
    format!("{JOBS}{id}")
}

pub(super) fn cancel(id: impl Display) -> String {
    format!("{CANCELS}{id}")
}

pub(super) fn state(id: impl Display) -> String {
    format!("{STATES}{id}")
}

pub(super) fn progress(id: impl Display) -> String {
    format!("{PROGRESS}{id}")
}

pub(super) fn wave(number: u64) -> String {
    format!("{WAVES}{number}")
}
