//! Sizes learned from the workers' reports, by class of job.

use std::collections::BTreeMap;

use compact_str::CompactString;
use wigeonhinge_schema::jobs::Size;

/// Ended jobs of a class before its learned size replaces declared ones.
pub const MIN_SAMPLES: u32 = 3;

/// Ended jobs of a class from which on the margin is [`MARGIN`].
pub const FULL_SAMPLES: u32 = 8;

/// Safety margin on sizes learned from few jobs, in percent.
pub const WIDE_MARGIN: u64 = 50;

/// Share of a class's jobs, in percent, whose use the learned size covers.
pub const PERCENTILE: u32 = 95;

/// Safety margin on learned sizes, in percent.
pub const MARGIN: u64 = 10;

/// Classes that are remembered; keeps the learned sizes under 1 MB.
pub const MAX_CLASSES: usize = 1_000;

/// Samples of a class after which all of its counts are halved, so that recent
/// jobs weigh more.
const MAX_SAMPLES: u32 = 512;

/// Buckets per doubling of the size.
const STEPS: u32 = 16;

/// Learned sizes.
///
/// ```
/// use wigeonhinge::usage::Usage;
/// use wigeonhinge_schema::jobs::Size;
///
/// let size = |millicores| Size { millicores, memory_mb: 512, accelerators: 0 };
/// let mut usage = Usage::default();
/// for _ in 0..10 {
///     usage.observe("index", size(800));
/// }
/// let learned = usage.estimate("index", size(16_000));
/// assert!((800..1_100).contains(&learned.millicores));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Usage {
    classes: BTreeMap<CompactString, Class>,
    clock: u64,
}

#[derive(Clone, Debug, Default)]
struct Class {
    cpu: Histogram,
    mem: Histogram,
    seen: u64,
}

#[derive(Clone, Debug, Default)]
struct Histogram {
    counts: BTreeMap<u16, u16>,
    total: u32,
}

impl Usage {
    /// Takes the highest use of a job that ended, once for each job.
    pub fn observe(&mut self, class: &str, peak: Size) {
        self.clock += 1;
        if !self.classes.contains_key(class) && self.classes.len() >= MAX_CLASSES {
            self.forget();
        }
        let entry = self.classes.entry(class.into()).or_default();
        entry.seen = self.clock;
        entry.cpu.add(peak.millicores.into());
        entry.mem.add(peak.memory_mb);
    }

    /// Returns the size to reserve for a job of a class. Accelerators are
    /// always as declared.
    pub fn estimate(&self, class: &str, declared: Size) -> Size {
        let Some(entry) = self.classes.get(class) else {
            return declared;
        };
        if entry.cpu.total < MIN_SAMPLES {
            return declared;
        }
        let margin = match entry.cpu.total {
            ..FULL_SAMPLES => WIDE_MARGIN,
            _ => MARGIN,
        };
        let cpu = with_margin(entry.cpu.percentile(), margin);
        Size {
            millicores: u32::try_from(cpu).unwrap_or(u32::MAX),
            memory_mb: with_margin(entry.mem.percentile(), margin),
            accelerators: declared.accelerators,
        }
    }

    /// Whether the size of a class is learned.
    pub fn learned(&self, class: &str) -> bool {
        let entry = self.classes.get(class);
        entry.is_some_and(|entry| entry.cpu.total >= MIN_SAMPLES)
    }

    fn forget(&mut self) {
        let oldest = self.classes.iter().min_by_key(|(_, class)| class.seen);
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
                return ceiling(*bucket);
            }
        }
        0
    }
}

fn with_margin(value: u64, margin: u64) -> u64 {
    value + (value * margin).div_ceil(100)
}

/// Bucket of a value: the integer part of `STEPS * log2(value)`.
fn bucket(value: u64) -> u16 {
    let value = value.clamp(1, 1 << 48);
    let whole = value.ilog2();
    let rest = ((value - (1 << whole)) * u64::from(STEPS)) >> whole;
    u16::try_from(u64::from(whole * STEPS) + rest).unwrap_or(u16::MAX)
}

/// Largest value of a bucket.
fn ceiling(bucket: u16) -> u64 {
    let next = u32::from(bucket) + 1;
    let (whole, rest) = (next / STEPS, next % STEPS);
    let base = 1_u64 << whole;
    (base + (base * u64::from(rest)).div_ceil(u64::from(STEPS)))
        .saturating_sub(1)
        .max(1)
}
