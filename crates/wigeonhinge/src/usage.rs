//! Job sizes estimated per job class from the usage that workers report.

use std::collections::BTreeMap;

use compact_str::CompactString;
use wigeonhinge_schema::jobs::Size;

/// Completed jobs of a class from which on the estimate replaces declared sizes.
pub const MIN_SAMPLES: u32 = 3;

/// Completed jobs of a class from which on the margin is [`MARGIN_PERCENT`].
pub const FULL_SAMPLES: u32 = 8;

/// Margin on estimates from fewer than [`FULL_SAMPLES`] jobs, in percent.
pub const WIDE_MARGIN_PERCENT: u64 = 50;

/// Share of the jobs of a class, in percent, whose peak usage the estimate covers.
pub const PERCENTILE: u32 = 95;

/// Margin on estimates, in percent.
pub const MARGIN_PERCENT: u64 = 10;

/// Classes that are kept; bounds the history to under 1 MB.
pub const MAX_CLASSES: usize = 1_000;

/// Samples from which the use of large declarations tells a [likely
/// size](UsageHistory::likely). Each class gives at most [`FULL_SAMPLES`] of them.
pub const MIN_SHARES: u32 = 8;

/// Smallest likely size, in percent of the declared one. Some classes declare eight
/// times their need; a new class is not assumed to use less than a quarter.
pub const MIN_SHARE_PERCENT: u64 = 25;

/// Margin on the likely size of a job that cannot be restarted, in percent. Such a
/// job is lost when it lacks memory.
pub const FIXED_MARGIN_PERCENT: u64 = 100;

/// Samples at which the counts of a histogram are halved, so that recent jobs
/// weigh more.
const MAX_SAMPLES: u32 = 512;

/// Histogram buckets per doubling of the value.
const BUCKETS_PER_DOUBLING: u32 = 16;

/// Usage history of job classes.
///
/// ```
/// use wigeonhinge::usage::UsageHistory;
/// use wigeonhinge_schema::jobs::Size;
///
/// let size = |millicores| Size { millicores, memory_mb: 512, accelerators: 0 };
/// let mut history = UsageHistory::default();
/// for _ in 0..10 {
///     history.observe("index", size(800));
/// }
/// let estimate = history.estimate("index", size(16_000));
/// assert!((800..1_100).contains(&estimate.millicores));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsageHistory {
    classes: BTreeMap<CompactString, Class>,
    /// Used share of declared cores, and of declared memory.
    millicores: Shares,
    memory_mb: Shares,
    clock: u64,
}

/// Used share, in thousandths, of what jobs declared, by the binary logarithm of the
/// declaration.
#[derive(Clone, Debug, Default)]
struct Shares(BTreeMap<u32, Histogram>);

#[derive(Clone, Debug, Default)]
struct Class {
    millicores: Histogram,
    memory_mb: Histogram,
    last_seen: u64,
}

#[derive(Clone, Debug, Default)]
struct Histogram {
    counts: BTreeMap<u16, u16>,
    total: u32,
}

impl UsageHistory {
    /// Records the peak usage of a completed job; to be called once for each job.
    pub fn observe(&mut self, class: &str, peak: Size) {
        self.clock += 1;
        if !self.classes.contains_key(class) && self.classes.len() >= MAX_CLASSES {
            self.evict_oldest();
        }
        let entry = self.classes.entry(class.into()).or_default();
        entry.last_seen = self.clock;
        entry.millicores.add(peak.millicores.into());
        entry.memory_mb.add(peak.memory_mb);
    }

    /// Returns the size to reserve for a job of a class: the declared one while there
    /// are fewer than [`MIN_SAMPLES`] jobs. Accelerators are always as declared.
    pub fn estimate(&self, class: &str, declared: Size) -> Size {
        let Some(entry) = self.classes.get(class) else {
            return declared;
        };
        if entry.millicores.total < MIN_SAMPLES {
            return declared;
        }
        let margin = match entry.millicores.total {
            ..FULL_SAMPLES => WIDE_MARGIN_PERCENT,
            _ => MARGIN_PERCENT,
        };
        let millicores = with_margin(entry.millicores.percentile(), margin);
        Size {
            millicores: u32::try_from(millicores).unwrap_or(u32::MAX),
            memory_mb: with_margin(entry.memory_mb.percentile(), margin),
            accelerators: declared.accelerators,
        }
    }

    /// Records the peak usage of a completed job against its declared size; to be called
    /// before [`observe`](Self::observe). Classes with [`FULL_SAMPLES`] jobs are left
    /// out, so that no class outweighs the others.
    pub fn compare(&mut self, class: &str, declared: Size, peak: Size) {
        let seen = self.classes.get(class);
        if seen.is_some_and(|class| class.millicores.total >= FULL_SAMPLES) {
            return;
        }
        let millicores = (declared.millicores.into(), peak.millicores.into());
        self.millicores.add(millicores.0, millicores.1);
        self.memory_mb.add(declared.memory_mb, peak.memory_mb);
    }

    /// Returns the likely size of a job whose class has no estimate, for use when no
    /// worker has the declared one free. It follows from the share that jobs of all
    /// classes used which declared at least about half as much. Equals the declared
    /// size while there are fewer than [`MIN_SHARES`] such jobs.
    ///
    /// ```
    /// use wigeonhinge::usage::UsageHistory;
    /// use wigeonhinge_schema::jobs::Size;
    ///
    /// let size = |memory_mb| Size { millicores: 1_000, memory_mb, accelerators: 0 };
    /// let mut history = UsageHistory::default();
    /// for class in ["a", "b", "c", "d", "e", "f", "g", "h"] {
    ///     history.compare(class, size(64_000), size(16_000));
    /// }
    /// let likely = history.likely(size(64_000), true).memory_mb;
    /// assert!((24_000..28_000).contains(&likely));
    /// ```
    pub fn likely(&self, declared: Size, restartable: bool) -> Size {
        let margin = match restartable {
            true => WIDE_MARGIN_PERCENT,
            false => FIXED_MARGIN_PERCENT,
        };
        let millicores = self.millicores.likely(declared.millicores.into(), margin);
        Size {
            millicores: u32::try_from(millicores).unwrap_or(u32::MAX),
            memory_mb: self.memory_mb.likely(declared.memory_mb, margin),
            accelerators: declared.accelerators,
        }
    }

    /// Returns whether there are enough samples of a class to estimate its size.
    pub fn has_estimate(&self, class: &str) -> bool {
        let class = self.classes.get(class);
        class.is_some_and(|class| class.millicores.total >= MIN_SAMPLES)
    }

    fn evict_oldest(&mut self) {
        let oldest = self.classes.iter().min_by_key(|(_, class)| class.last_seen);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.classes.remove(&name);
        }
    }
}

impl Shares {
    fn add(&mut self, declared: u64, used: u64) {
        let Some(magnitude) = declared.checked_ilog2() else {
            return;
        };
        let share = used.saturating_mul(1_000) / declared;
        self.0.entry(magnitude).or_default().add(share);
    }

    /// Returns the likely part of a declaration, at most all of it.
    fn likely(&self, declared: u64, margin: u64) -> u64 {
        let Some(magnitude) = declared.checked_ilog2() else {
            return declared;
        };
        let mut similar = Histogram::default();
        for (_, shares) in self.0.range(magnitude.saturating_sub(1)..) {
            similar.merge(shares);
        }
        if similar.total < MIN_SHARES {
            return declared;
        }
        let share = with_margin(similar.percentile(), margin);
        let share = share.clamp(10 * MIN_SHARE_PERCENT, 1_000);
        declared.saturating_mul(share).div_ceil(1_000)
    }
}

impl Histogram {
    fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.counts {
            *self.counts.entry(*bucket).or_default() += count;
        }
        self.total += other.total;
    }

    fn add(&mut self, value: u64) {
        *self.counts.entry(bucket(value)).or_default() += 1;
        self.total += 1;
        if self.total < MAX_SAMPLES {
            return;
        }
        self.counts.values_mut().for_each(|count| *count /= 2);
        self.counts.retain(|_, count| *count > 0);
        self.total = self.counts.values().map(|count| u32::from(*count)).sum();
    }

    fn percentile(&self) -> u64 {
        let wanted = (self.total * PERCENTILE).div_ceil(100);
        let mut sum = 0;
        for (bucket, count) in &self.counts {
            sum += u32::from(*count);
            if sum >= wanted {
                return bucket_max(*bucket);
            }
        }
        0
    }
}

fn with_margin(value: u64, margin: u64) -> u64 {
    value + (value * margin).div_ceil(100)
}

/// Returns the bucket of a value: [`BUCKETS_PER_DOUBLING`] buckets of equal width
/// between two successive powers of two.
fn bucket(value: u64) -> u16 {
    let value = value.clamp(1, 1 << 48);
    let whole = value.ilog2();
    let rest = ((value - (1 << whole)) * u64::from(BUCKETS_PER_DOUBLING)) >> whole;
    u16::try_from(u64::from(whole * BUCKETS_PER_DOUBLING) + rest).unwrap_or(u16::MAX)
}

/// Returns the largest value of a bucket.
fn bucket_max(bucket: u16) -> u64 {
    let next = u32::from(bucket) + 1;
    let (whole, rest) = (next / BUCKETS_PER_DOUBLING, next % BUCKETS_PER_DOUBLING);
    let base = 1_u64 << whole;
    (base + (base * u64::from(rest)).div_ceil(u64::from(BUCKETS_PER_DOUBLING)))
        .saturating_sub(1)
        .max(1)
}
