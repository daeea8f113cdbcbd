//! Changes of a ledger and the reasons to refuse them.

use std::fmt;

use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::ledger::Phase;

use crate::error::Error;
use crate::id::Fence;
use crate::id::PoolId;
use crate::id::Revision;
use crate::id::Time;
use crate::id::VmId;

/// A change of a ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// `Active → Cordoned`; the only change that takes a working VM out of service by choice.
    Cordon {
        /// VM.
        vm: VmId,
        /// Pool that the VM moves to; none for maintenance or removal.
        target: Option<PoolId>,
    },
    /// `Cordoned → Draining`.
    Drain {
        /// VM.
        vm: VmId,
        /// End of the time given to the drain.
        deadline: Time,
    },
    /// `Draining → Drained`.
    Drained {
        /// VM.
        vm: VmId,
    },
    /// `Drained → Rebooting`, and once more from `Rebooting` for a worker that did not reboot.
    Reboot {
        /// VM.
        vm: VmId,
        /// Boot number that the worker reports before the reboot.
        boot: u64,
        /// End of the time given to the reboot.
        deadline: Time,
    },
    /// `Rebooting → Returning` for a worker that is healthy after its reboot; from `Cordoned`,
    /// `Draining` and `Drained` the step is given up and the VM returns unmaintained.
    Returned {
        /// VM.
        vm: VmId,
        /// Whether a drain is given up because it passed its deadline.
        skipped: bool,
    },
    /// `Returning → Active` once the worker takes work again, and `Moving → Active` in the target.
    Uncordon {
        /// VM.
        vm: VmId,
    },
    /// `Drained → Moving`.
    Move {
        /// VM.
        vm: VmId,
    },
    /// Any phase `→ Down`: a failure, or a state that nothing is known about.
    MarkDown {
        /// VM.
        vm: VmId,
    },
    /// `Down → Returning`.
    MarkUp {
        /// VM.
        vm: VmId,
    },
    /// Any phase `→ Quarantined`.
    Quarantine {
        /// VM.
        vm: VmId,
        /// Boot number that the broken worker reports.
        boot: u64,
    },
    /// `Quarantined → Returning` once the VM has been replaced or restarted.
    Replace {
        /// VM.
        vm: VmId,
    },
    /// `Drained`, `Down` or `Quarantined` → removed from the ledger.
    Retire {
        /// VM.
        vm: VmId,
    },
    /// Changes the maintenance wave.
    Wave(WaveChange),
    /// Follows a new revision of the fleet description.
    Inventory {
        /// Revision.
        revision: Revision,
        /// Fleet description of that revision.
        fleet: Box<Fleet>,
    },
}

/// A change of the maintenance wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaveChange {
    /// Starts a wave.
    Start {
        /// Identifier.
        id: String,
        /// Who starts it.
        author: String,
        /// VMs last maintained before this time belong to the wave; at most the present.
        before: Time,
    },
    /// Stops the wave; VMs that have not begun to reboot return.
    Pause {
        /// Reason.
        reason: String,
    },
    /// Goes on after a pause.
    Resume,
    /// Ends the wave; VMs that have not begun to reboot return.
    Abort {
        /// Reason.
        reason: String,
    },
    /// Ends the wave after its last VM.
    Finish {
        /// What was left out and why; empty when nothing was.
        reason: String,
    },
}

/// Why a change is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A later holder of the role has written.
    Fence {
        /// Fence in the ledger.
        held: Fence,
        /// Fence of the change.
        given: Fence,
    },
    /// The ledger has no such VM.
    UnknownVm {
        /// VM.
        vm: VmId,
    },
    /// The ledger has no such pool.
    UnknownPool {
        /// Pool.
        pool: PoolId,
    },
    /// The change does not start from the phase of the VM.
    Phase {
        /// VM.
        vm: VmId,
        /// Its phase.
        phase: Phase,
    },
    /// The pool would have more VMs unavailable than it may.
    Budget {
        /// Pool.
        pool: PoolId,
        /// VMs unavailable after the change.
        unavailable: u32,
        /// VMs that may be unavailable.
        limit: u32,
    },
    /// The pool would fall below its promise.
    Promise {
        /// Pool.
        pool: PoolId,
        /// VMs left after the change.
        left: u32,
        /// VMs that have to be left.
        needed: u32,
    },
    /// The wave is not in a state that allows the change.
    Wave {
        /// What was expected.
        expected: &'static str,
    },
    /// The ledger follows a later revision.
    Revision {
        /// Revision in the ledger.
        held: Revision,
        /// Revision of the change.
        given: Revision,
    },
}

impl Change {
    /// Returns the VM that the change is about.
    pub fn vm(&self) -> Option<&VmId> {
        match self {
            Self::Cordon { vm, .. }
            | Self::Drain { vm, .. }
            | Self::Drained { vm }
            | Self::Reboot { vm, .. }
            | Self::Returned { vm, .. }
            | Self::Uncordon { vm }
            | Self::Move { vm }
            | Self::MarkDown { vm }
            | Self::MarkUp { vm }
            | Self::Quarantine { vm, .. }
            | Self::Replace { vm }
            | Self::Retire { vm } => Some(vm),
            Self::Wave(_) | Self::Inventory { .. } => None,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fence { held, given } => {
                write!(f, "fence {given} is lower than {held} in the ledger")
            }
            Self::UnknownVm { vm } => write!(f, "VM {vm:?} is not in the ledger"),
            Self::UnknownPool { pool } => write!(f, "pool {pool:?} is not in the ledger"),
            Self::Phase { vm, phase } => {
                write!(f, "VM {vm:?} is in phase {}", phase.as_str_name())
            }
            Self::Budget {
                pool,
                unavailable,
                limit,
            } => write!(
                f,
                "pool {pool:?} would have {unavailable} VMs unavailable; it may have {limit}"
            ),
            Self::Promise { pool, left, needed } => write!(
                f,
                "pool {pool:?} would be left with {left} VMs; it needs {needed}"
            ),
            Self::Wave { expected } => write!(f, "the wave is not in the state: {expected}"),
            Self::Revision { held, given } => {
                write!(f, "revision {given} is lower than {held} in the ledger")
            }
        }
    }
}

impl std::error::Error for Refusal {}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        match &refusal {
            Refusal::Fence { .. } | Refusal::Revision { .. } => Self::conflict("ledger"),
            Refusal::UnknownVm { vm } => Self::unknown("VM", vm),
            Refusal::UnknownPool { pool } => Self::unknown("pool", pool),
            _ => Self::refused(refusal.to_string()),
        }
    }
}
