//! Amounts of capacity.

use wigeonhinge_schema::jobs::Size;

/// Amount of capacity; negative where more is held than exists.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Cap {
    /// Thousandths of a core.
    pub cpu: i32,
    /// Memory in MiB.
    pub mem: i32,
    /// Accelerators.
    pub acc: i32,
}

impl Cap {
    /// Capacity that fits nothing, not even an empty job.
    pub(crate) const NONE: Self = Self {
        cpu: i32::MIN,
        mem: i32::MIN,
        acc: i32::MIN,
    };

    /// Whether this amount fits into another.
    pub fn fits(self, into: Self) -> bool {
        self.cpu <= into.cpu && self.mem <= into.mem && self.acc <= into.acc
    }

    /// Adds an amount.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            acc: self.acc.saturating_add(other.acc),
        }
    }

    /// Subtracts an amount.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            acc: self.acc.saturating_sub(other.acc),
        }
    }

    /// Returns the greater amount of each kind.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            acc: self.acc.max(other.acc),
        }
    }

    /// Returns the smaller amount of each kind.
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            mem: self.mem.min(other.mem),
            acc: self.acc.min(other.acc),
        }
    }
}

impl From<Size> for Cap {
    fn from(size: Size) -> Self {
        Self {
            cpu: i32::try_from(size.millicores).unwrap_or(i32::MAX),
            mem: i32::try_from(size.memory_mb).unwrap_or(i32::MAX),
            acc: i32::try_from(size.accelerators).unwrap_or(i32::MAX),
        }
    }
}

impl From<Cap> for Size {
    fn from(cap: Cap) -> Self {
        Self {
            millicores: u32::try_from(cap.cpu).unwrap_or(0),
            memory_mb: u64::try_from(cap.mem).unwrap_or(0),
            accelerators: u32::try_from(cap.acc).unwrap_or(0),
        }
    }
}
