//! Order in which entries claim a partition that has no holder.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use crate::partition::Partition;

/// Cores that a partition's holder needs in its busiest seconds.
const MIN_CORES: f64 = 0.25;

/// Delay of an entry with fewer cores. A takeover after this delay still completes before the
/// leases of the workers end.
const LOW_CORES_DELAY: Duration = Duration::from_millis(300);

/// Delay for each partition that the entry holds already; longer than the delays of all entries
/// that hold none.
const HELD_DELAY: Duration = Duration::from_millis(700);

/// Delay for each partition that another entry of the same availability zone holds, so that the
/// loss of a zone concerns few partitions.
const ZONE_DELAY: Duration = Duration::from_millis(40);

/// Most partitions in a zone that count towards the delay.
const MAX_ZONE_COUNT: u32 = 3;

/// Range of the part of the delay that differs between entries. The first claim is known to the
/// others after some 10 ms, so that few of them try.
const SPREAD: Duration = Duration::from_millis(120);

/// Entry that may claim a partition.
#[derive(Clone, Copy, Debug)]
pub struct Claimant<'a> {
    /// Name of the entry.
    pub entry: &'a str,
    /// Processor time that the entry may use, in cores.
    pub cores: f64,
    /// Number of partitions that the entry holds.
    pub held: usize,
    /// Number of partitions that entries of its availability zone hold.
    pub zone_held: usize,
}

/// Returns for how long an entry lets others claim a vacant partition first.
///
/// Entries with enough processor time come before the others, and of these the ones that hold no
/// partition, in zones that hold few.
///
/// ```
/// use wigeonhinge::partition::Claimant;
/// use wigeonhinge::partition::claim_delay;
///
/// let free = Claimant { entry: "a", cores: 0.5, held: 0, zone_held: 0 };
/// let busy = Claimant { held: 1, ..free };
/// assert!(claim_delay(1, &free) < claim_delay(1, &busy));
/// ```
pub fn claim_delay(partition: Partition, claimant: &Claimant<'_>) -> Duration {
    let cores = match claimant.cores < MIN_CORES {
        true => LOW_CORES_DELAY,
        false => Duration::ZERO,
    };
    let held = u32::try_from(claimant.held).unwrap_or(u32::MAX).min(16);
    let zone = u32::try_from(claimant.zone_held).unwrap_or(u32::MAX);
    let mut hasher = DefaultHasher::new();
    (claimant.entry, partition).hash(&mut hasher);
    let spread = SPREAD.mul_f64((hasher.finish() % 1_000) as f64 / 1e3);
    cores + HELD_DELAY * held + ZONE_DELAY * zone.min(MAX_ZONE_COUNT) + spread
}
