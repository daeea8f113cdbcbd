//! The controller of a region's fleet, driven by the holder of role `fleet/{region}`.
//!
//! Each call of [`Controller::step`] takes the present observations and returns
//! at most one ledger value to write and the orders for workers. All progress is
//! in the ledger, and an order is given only for a phase that the store has
//! confirmed. A new holder of the role can therefore resume any step from the
//! document.

mod advance;
mod draft;
mod observations;
mod orders;

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use wigeonhinge_schema::audit::Record;
use wigeonhinge_schema::fleet::Fleet;

use crate::controller::draft::Draft;
use crate::controller::observations::Observations;
use crate::id::Fence;
use crate::id::Revision;
use crate::id::Time;
use crate::id::VmId;
use crate::ledger::Change;
use crate::ledger::Ledger;

/// Observations and requests at the time of a step.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Time since the Unix epoch.
    pub now: Time,
    /// Fence of the role while its lease is valid; none without a valid lease.
    pub fence: Option<Fence>,
    /// Ledger and its version as the store last confirmed them, version 0 for an absent key; none
    /// while the store does not respond or the answer to a write is outstanding.
    pub ledger: Option<(u64, &'a Ledger)>,
    /// Revision of the adopted fleet description.
    pub revision: Revision,
    /// Adopted fleet description.
    pub fleet: &'a Fleet,
    /// Latest VM list of the platform.
    pub list: &'a VmList,
    /// Latest report of each worker.
    pub workers: &'a BTreeMap<VmId, WorkerReport>,
    /// Changes that operators and the balancer request.
    pub requests: &'a [Request],
}

/// VM list of the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmList {
    /// Time since the Unix epoch that the list describes.
    pub as_of: Time,
    /// State of each VM by name; a VM that the platform does not know is absent.
    pub vms: BTreeMap<VmId, PlatformVmState>,
}

/// State of a VM in the platform's VM list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformVmState {
    /// The VM runs.
    Live,
    /// The platform is about to stop the VM.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

/// State of a worker as its last answered poll reported it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// Time, since the Unix epoch, at which the poll that returned the report was sent.
    pub at: Time,
    /// Whether the worker passes its health checks.
    pub healthy: bool,
    /// Whether the worker refuses new work.
    pub cordoned: bool,
    /// Tasks and requests in progress.
    pub tasks: u32,
    /// Boot number; a reboot changes it.
    pub boot: u64,
    /// Step of the last order that the worker accepted; 0 for none since its boot.
    pub step: u64,
}

/// A change that an operator or the balancer requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Operator, or the name of the component, for the audit trail.
    pub author: CompactString,
    /// Reason for the audit trail.
    pub reason: CompactString,
    /// `Cordon` with a target, `Quarantine` or `Wave`; any other change is refused.
    pub change: Change,
}

/// Result of a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Ledger value to write; none if nothing has changed.
    pub write: Option<Write>,
    /// Orders for workers, for phases that the store has confirmed.
    pub orders: Vec<Order>,
    /// For each request, in order, the reason to refuse it; none if it is accepted with the write or
    /// had been carried out before.
    pub refused: Vec<Option<CompactString>>,
}

/// A ledger value to write by compare-and-swap.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Version that the value replaces; 0 for an absent key.
    pub expect: u64,
    /// New value of the key.
    pub ledger: Ledger,
    /// Audit records to log once the write is confirmed.
    pub records: Vec<Record>,
}

/// An order for a worker.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// VM whose worker gets the order.
    pub vm: VmId,
    /// Action that the worker is to take.
    pub action: Action,
    /// Fence of the role; the worker rejects one lower than the highest it has seen.
    pub fence: Fence,
    /// Step of the VM in the ledger; the worker rejects one lower than the highest it has seen, so
    /// that a late copy of an order has no effect.
    pub step: u64,
}

/// Action of an order.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Accept no new work.
    Cordon,
    /// Finish or hand over the work in progress.
    Drain,
    /// Reboot the VM.
    Reboot,
    /// Accept new work.
    Uncordon,
}

/// The controller of a region's fleet.
#[derive(Clone, Debug)]
pub struct Controller {
    region: CompactString,
    entry: CompactString,
    timing: Timing,
    /// Step and time of the last order for each VM.
    sent: BTreeMap<VmId, (u64, Time)>,
}

/// Time limits of the steps, and the interval at which orders are repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time limit of a drain; doubles with each earlier drain of the VM that passed its deadline.
    pub drain: Duration,
    /// Time limit of a reboot, until the worker is healthy.
    pub reboot: Duration,
    /// Time after which an order that the worker has not carried out is given again.
    pub resend: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(60),
            reboot: Duration::from_secs(900),
            resend: Duration::from_secs(2),
        }
    }
}

impl Controller {
    /// Returns a controller for a region; the audit trail names the entry as author of its changes.
    pub fn new(region: &str, entry: &str, timing: Timing) -> Self {
        Self {
            region: region.into(),
            entry: entry.into(),
            timing,
            sent: BTreeMap::new(),
        }
    }

    /// Decides on the next ledger value and on the orders for workers.
    ///
    /// Call it on every tick and after every confirmed write. After a refused write or a lost
    /// answer, read the ledger again and call it with what the store holds. Without a valid lease
    /// or without the store it returns no write and no order and refuses all requests: no
    /// disruption starts, and steps in progress stay as they are.
    pub fn step(&mut self, input: &Input<'_>) -> Output {
        let (Some(fence), Some((version, ledger))) = (input.fence, input.ledger) else {
            return Output::refuse_all(input.requests, "no valid lease or no store");
        };
        if fence < ledger.document().fence {
            return Output::refuse_all(input.requests, "a later holder of the role has written");
        }
        let observations = Observations::new(input, ledger);
        let orders = self.orders(ledger, fence, &observations);
        let mut draft = Draft::new(version, ledger, fence, input.now, &self.entry);
        draft.apply_fleet(input);
        if !observations.isolated {
            self.advance(&mut draft, &observations);
        }
        let refused = draft.apply_requests(input.requests, &observations);
        draft.plan(input.fleet, &observations);
        let write = draft.finish();
        Output {
            write,
            orders,
            refused,
        }
    }

    /// Returns the name of the region that the controller was made for.
    pub fn region(&self) -> &str {
        &self.region
    }
}

impl Output {
    fn refuse_all(requests: &[Request], reason: &str) -> Self {
        let refused = requests.iter().map(|_| Some(reason.into())).collect();
        Self {
            refused,
            ..Self::default()
        }
    }
}
