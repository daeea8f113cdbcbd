//! The controller of a region's fleet, driven by the holder of role `fleet/{region}`.
//!
//! Each call of [`Controller::step`] takes what is known and gives back at most
//! one ledger value to write and the orders for workers. The result depends on
//! the confirmed ledger alone, so that a new holder resumes any step from the
//! document: an order is given only for a phase that the store has confirmed.

mod advance;
mod draft;
mod facts;
mod orders;

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use wigeonhinge_schema::audit::Record;
use wigeonhinge_schema::fleet::Fleet;

use crate::controller::draft::Draft;
use crate::controller::facts::Facts;
use crate::id::Fence;
use crate::id::Revision;
use crate::id::Time;
use crate::id::VmId;
use crate::ledger::Change;
use crate::ledger::Ledger;

/// What is known at the time of a step.
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
    /// Changes that operators and the balancer ask for.
    pub requests: &'a [Request],
}

/// VM list of the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmList {
    /// Time that the list describes, since the Unix epoch.
    pub as_of: Time,
    /// State of each VM.
    pub vms: BTreeMap<VmId, PlatformVmState>,
}

/// State of a VM in the platform's VM list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformVmState {
    /// Runs.
    Live,
    /// Is about to be stopped.
    Leaving,
    /// Does not exist any more.
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
    /// Boot number; differs after each reboot.
    pub boot: u64,
    /// Step of the last order that the worker accepted; 0 for none since its boot.
    pub step: u64,
}

/// A change that someone other than the controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Who asks.
    pub author: CompactString,
    /// Why.
    pub reason: CompactString,
    /// The change: `Cordon` with a target, `Quarantine` or `Wave`.
    pub change: Change,
}

/// Result of a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Ledger value to write, if any.
    pub write: Option<Write>,
    /// Orders for workers, for phases that the store has confirmed.
    pub orders: Vec<Order>,
    /// Answers to the requests, in their order: none when accepted with the write.
    pub refused: Vec<Option<CompactString>>,
}

/// A ledger value to write by compare-and-swap.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Version that the value replaces; 0 for an absent key.
    pub expect: u64,
    /// Value.
    pub ledger: Ledger,
    /// Audit records to log once the write is confirmed.
    pub records: Vec<Record>,
}

/// An order for a worker.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// VM.
    pub vm: VmId,
    /// What to do.
    pub action: Action,
    /// Fence of the role; the worker rejects one lower than the highest it has seen.
    pub fence: Fence,
    /// Step of the VM in the ledger; the worker rejects one lower than the highest it has seen, so
    /// that a late copy of an order has no effect.
    pub step: u64,
}

/// What an order asks of a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Take no new work.
    Cordon,
    /// Finish or hand over the work in progress.
    Drain,
    /// Reboot.
    Reboot,
    /// Take new work.
    Uncordon,
}

/// The controller of a region's fleet.
#[derive(Clone, Debug)]
pub struct Controller {
    region: CompactString,
    entry: CompactString,
    timing: Timing,
    sent: BTreeMap<VmId, (u64, Time)>,
}

/// Times given to the steps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time given to a drain; doubles after each drain of the VM that passed it.
    pub drain: Duration,
    /// Time given to a reboot until the worker is healthy.
    pub reboot: Duration,
    /// Time after which an order without an effect is given again.
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
    /// Returns a controller for a region that acts in the name of an entry.
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
    /// or without the store nothing is given back: no disruption starts, and what is under way
    /// stays as it is.
    pub fn step(&mut self, input: &Input<'_>) -> Output {
        let (Some(fence), Some((version, ledger))) = (input.fence, input.ledger) else {
            return Output::held(input.requests, "no valid lease or no store");
        };
        if fence < ledger.document().fence {
            return Output::held(input.requests, "a later holder of the role has written");
        }
        let facts = Facts::new(input, ledger);
        let orders = self.orders(ledger, fence, &facts);
        let mut draft = Draft::new(version, ledger, fence, input.now, &self.entry);
        draft.follow(input);
        if !facts.blind {
            self.advance(&mut draft, &facts);
        }
        let refused = draft.answer(input.requests, &facts);
        draft.plan(input.fleet, &facts);
        let write = draft.finish();
        Output {
            write,
            orders,
            refused,
        }
    }

    /// Returns the region.
    pub fn region(&self) -> &str {
        &self.region
    }
}

impl Output {
    fn held(requests: &[Request], reason: &str) -> Self {
        let refused = requests.iter().map(|_| Some(reason.into())).collect();
        Self {
            refused,
            ..Self::default()
        }
    }
}
