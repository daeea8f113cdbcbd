//! Amounts of cores, memory and accelerators.

use wigeonhinge_schema::jobs::Size;

/// Amount of capacity. A difference is negative where more is reserved than exists.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Capacity {
    /// Processor time in thousandths of a core.
    pub millicores: i32,
    /// Memory in MiB.
    pub memory_mb: i32,
    /// Number of accelerators.
    pub accelerators: i32,
}

impl Capacity {
    /// Capacity of an unusable worker: not even an empty job fits.
    pub(crate) const UNUSABLE: Self = Self {
        millicores: i32::MIN,
        memory_mb: i32::MIN,
        accelerators: i32::MIN,
    };

    /// Returns whether every component is at most that of `into`.
    pub fn fits(self, into: Self) -> bool {
        self.millicores <= into.millicores
            && self.memory_mb <= into.memory_mb
            && self.accelerators <= into.accelerators
    }

    /// Adds component by component, saturating at the numeric bounds.
    pub fn plus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts component by component, saturating at the numeric bounds.
    pub fn minus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the component-wise maximum.
    pub fn max(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the component-wise minimum.
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
