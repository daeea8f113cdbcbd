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
    clock: u64,
}

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

impl Histogram {
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
