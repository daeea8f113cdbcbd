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
    /// `Active → Cordoned`; the only change that takes a working VM out of service voluntarily.
    Cordon {
        /// VM to cordon.
        vm: VmId,
        /// Pool that the VM is to move to; none for maintenance or removal.
        target: Option<PoolId>,
    },
    /// `Cordoned → Draining`.
    Drain {
        /// VM to drain.
        vm: VmId,
        /// Time since the Unix epoch after which the drain is abandoned.
        deadline: Time,
    },
    /// `Draining → Drained`.
    Drained {
        /// VM that has no more work in progress.
        vm: VmId,
    },
    /// `Drained → Rebooting`, and again from `Rebooting` for a worker that did not reboot.
    Reboot {
        /// VM to reboot.
        vm: VmId,
        /// Boot number that the worker reports before the reboot.
        boot: u64,
        /// Time since the Unix epoch by which the worker should be healthy again.
        deadline: Time,
    },
    /// `Rebooting → Returning` for a worker that is healthy after its reboot. From `Cordoned`,
    /// `Draining` and `Drained` the step is abandoned and the VM returns without maintenance.
    Returned {
        /// VM that is to take work again.
        vm: VmId,
        /// Whether the step is abandoned because its drain passed the deadline.
        skipped: bool,
    },
    /// `Returning → Active` once the worker takes work again, and `Moving → Active` in the target
    /// pool.
    Uncordon {
        /// VM whose worker takes work.
        vm: VmId,
    },
    /// `Drained → Moving`.
    Move {
        /// Drained VM with a target pool.
        vm: VmId,
    },
    /// Any phase but `Quarantined` `→ Down`: the VM failed or its state is unknown.
    MarkDown {
        /// VM that cannot serve.
        vm: VmId,
    },
    /// `Down → Returning`.
    MarkUp {
        /// VM that can serve again.
        vm: VmId,
    },
    /// Any phase `→ Quarantined`.
    Quarantine {
        /// VM to keep out of service until it is replaced or restarted.
        vm: VmId,
        /// Boot number that the broken worker reports.
        boot: u64,
    },
    /// `Quarantined → Returning` once the VM has been replaced or restarted.
    Replace {
        /// Quarantined VM.
        vm: VmId,
    },
    /// `Drained`, `Down` or `Quarantined` → removed from the ledger.
    Retire {
        /// VM that the fleet description no longer lists.
        vm: VmId,
    },
    /// Changes the maintenance wave.
    Wave(WaveChange),
    /// Adopts a revision of the fleet description.
    Inventory {
        /// Number of the revision; a lower one than that of the ledger is refused.
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
        /// Identifier of the new wave.
        id: String,
        /// Operator or entry that starts the wave.
        author: String,
        /// VMs last maintained before this time belong to the wave; a later time than the present
        /// counts as the present.
        before: Time,
    },
    /// Pauses the wave; VMs that have not begun to reboot return to service.
    Pause {
        /// Reason for the operator.
        reason: String,
    },
    /// Resumes the wave after a pause.
    Resume,
    /// Ends the wave; VMs that have not begun to reboot return to service.
    Abort {
        /// Reason for the operator.
        reason: String,
    },
    /// Ends the wave once no VM of it is left to maintain.
    Finish {
        /// VMs that were not maintained and why; empty if all were.
        reason: String,
    },
}

/// Reason to refuse a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A later holder of the role has written the ledger.
    Fence {
        /// Fence of the last writer.
        held: Fence,
        /// Lower fence of the change.
        given: Fence,
    },
    /// The ledger has no such VM.
    UnknownVm {
        /// Name given in the change.
        vm: VmId,
    },
    /// The ledger has no such pool.
    UnknownPool {
        /// Name given in the change.
        pool: PoolId,
    },
    /// The change is not allowed in the present phase of the VM.
    Phase {
        /// VM named in the change.
        vm: VmId,
        /// Present phase of the VM.
        phase: Phase,
    },
    /// The pool would have more VMs unavailable than its budget allows.
    Budget {
        /// Pool of the VM.
        pool: PoolId,
        /// VMs unavailable after the change.
        unavailable: u32,
        /// VMs that may be unavailable at the same time.
        limit: u32,
    },
    /// The pool would fall below its promise.
    Promise {
        /// Pool of the VM.
        pool: PoolId,
        /// VMs that the pool would have after the change.
        left: u32,
        /// VMs that the pool has to keep.
        needed: u32,
    },
    /// The wave is not in a state that allows the change.
    Wave {
        /// States of the wave in which the change is allowed.
        expected: &'static str,
    },
    /// The ledger has adopted a later revision of the fleet description.
    Revision {
        /// Revision that the ledger has adopted.
        held: Revision,
        /// Earlier revision of the change.
        given: Revision,
    },
}

impl Change {
    /// Returns the VM that is changed; none for a change of the wave or the inventory.
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
