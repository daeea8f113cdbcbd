//! Keys in the platform's store that entries write.
//!
//! Rows that change often are not below [`CONTROL`], because every entry follows that prefix.

use std::fmt::Display;

use wigeonhinge::partition::Partition;

/// Prefix of the rows that every entry follows: who holds which partition, which racks belong to it,
/// and the plans of maintenance waves.
pub(super) const CONTROL: &str = "wigeonhinge/";

/// Prefix of the holders of partitions; a holder's key ends with its lease.
///
/// The revision of a key's creation is the fence of the holder.
pub(super) const ROLES: &str = "wigeonhinge/role/";

/// Key of the number of partitions.
pub(super) const LAYOUT: &str = "wigeonhinge/layout";

/// Prefix of the racks that were given to a partition.
pub(super) const RACKS: &str = "wigeonhinge/rack/";

/// Prefix of the pools that have no worker in a partition.
pub(super) const ABSENT: &str = "wigeonhinge/absent/";

/// Prefix of the plans of waves and of the parts that partitions completed.
pub(super) const WAVE_PLANS: &str = "wigeonhinge/wave/";

/// Prefix of the states of jobs, which outlive the jobs for the retention time.
pub(super) const STATES: &str = "wigeonhinge-state/";

/// Prefix of the waiting jobs that the holders of all partitions count.
pub(super) const LOADS: &str = "wigeonhinge-load/";

/// Prefix of the progress of waves in all partitions.
pub(super) const WAVE_PROGRESS: &str = "wigeonhinge-wave/";

/// Part of an input key that a cancellation has after the prefix of its partition.
pub(super) const CANCEL: &str = "cancel/";

pub(super) fn role(partition: Partition) -> String {
    format!("{ROLES}{partition}")
}

/// Returns the key that every write of a partition's holder changes.
pub(super) fn chain(partition: Partition) -> String {
    format!("wigeonhinge-chain/{partition}")
}

pub(super) fn rack(rack: &str) -> String {
    format!("{RACKS}{rack}")
}

pub(super) fn absent(partition: Partition) -> String {
    format!("{ABSENT}{partition}")
}

/// Returns the prefix of the accepted jobs and the cancellations of a partition.
pub(super) fn inputs(partition: Partition) -> String {
    format!("wigeonhinge-in/{partition}/")
}

pub(super) fn job(partition: Partition, id: impl Display) -> String {
    format!("wigeonhinge-in/{partition}/job/{id}")
}

pub(super) fn cancel(partition: Partition, id: impl Display) -> String {
    format!("wigeonhinge-in/{partition}/{CANCEL}{id}")
}

pub(super) fn state(id: impl Display) -> String {
    format!("{STATES}{id}")
}

/// Returns the prefix of the progress of a partition's open jobs, which only its holder reads.
pub(super) fn progress_rows(partition: Partition) -> String {
    format!("wigeonhinge-runs/{partition}/")
}

pub(super) fn progress(partition: Partition, id: impl Display) -> String {
    format!("wigeonhinge-runs/{partition}/{id}")
}

/// Returns the key of the log of recent machine orders.
pub(super) fn orders(partition: Partition) -> String {
    format!("wigeonhinge-orders/{partition}")
}

/// Returns the key of the starts that had no answer.
pub(super) fn starts(partition: Partition) -> String {
    format!("wigeonhinge-starts/{partition}")
}

/// Returns the key of the workers that restarted lately.
pub(super) fn restarts(partition: Partition) -> String {
    format!("wigeonhinge-restarts/{partition}")
}

pub(super) fn load(partition: Partition) -> String {
    format!("{LOADS}{partition}")
}

/// Returns the prefix of the progress of waves in a partition.
pub(super) fn wave_rows(partition: Partition) -> String {
    format!("{WAVE_PROGRESS}{partition}/")
}

pub(super) fn wave_row(partition: Partition, wave: u64) -> String {
    format!("{WAVE_PROGRESS}{partition}/{wave}")
}

pub(super) fn wave_plan(wave: u64) -> String {
    format!("{WAVE_PLANS}{wave}")
}

/// Returns the key under which a partition reports that its part of a wave is completed.
pub(super) fn wave_part(wave: u64, partition: Partition) -> String {
    format!("{WAVE_PLANS}{wave}/{partition}")
}
