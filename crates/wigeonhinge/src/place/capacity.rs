//! Amounts of capacity.

use wigeonhinge_schema::jobs::Size;

/// Amount of capacity; negative where more is held than exists.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Capacity {
    /// Thousandths of a core.
    pub millicores: i32,
    /// Memory in MiB.
    pub memory_mb: i32,
    /// Accelerators.
    pub accelerators: i32,
}

impl Capacity {
    /// Capacity that fits nothing, not even an empty job.
    pub(crate) const NONE: Self = Self {
        millicores: i32::MIN,
        memory_mb: i32::MIN,
        accelerators: i32::MIN,
    };

    /// Whether this amount fits into another.
    pub fn fits(self, into: Self) -> bool {
        self.millicores <= into.millicores
            && self.memory_mb <= into.memory_mb
            && self.accelerators <= into.accelerators
    }

    /// Adds an amount.
    pub fn plus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts an amount.
    pub fn minus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the greater amount of each kind.
    pub fn max(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller amount of each kind.
    pub fn min(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}

impl From<Size> for Capacity {
    fn from(size: Size) -> Self {
        Self {
            millicores: i32::try_from(size.millicores).unwrap_or(i32::MAX),
            memory_mb: i32::try_from(size.memory_mb).unwrap_or(i32::MAX),
            accelerators: i32::try_from(size.accelerators).unwrap_or(i32::MAX),
        }
    }
}

impl From<Capacity> for Size {
    fn from(cap: Capacity) -> Self {
        Self {
            millicores: u32::try_from(cap.millicores).unwrap_or(0),
            memory_mb: u64::try_from(cap.memory_mb).unwrap_or(0),
            accelerators: u32::try_from(cap.accelerators).unwrap_or(0),
        }
    }
}
