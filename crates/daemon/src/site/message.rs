//! Messages from the async tasks of a partition's holder to the holder.

use wigeonhinge::batch::Event;
use wigeonhinge::batch::Machine;
use wigeonhinge::batch::Write;
use wigeonhinge::id::Fence;
use wigeonhinge::id::JobId;
use wigeonhinge::id::VmId;
use wigeonhinge_platform::machines::Order;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Item;
use wigeonhinge_platform::store::Revision;

/// Key and value of a row.
pub(super) type KeyValue = (String, Vec<u8>);

/// Order to a machine with the fence under which it is given.
pub(super) type MachineOrder = (VmId, Order, Fence);

/// Content of one write.
#[derive(Debug, Default)]
pub(super) struct WriteContent {
    pub(super) writes: Vec<Write>,
    pub(super) extra_rows: Vec<KeyValue>,
    /// Jobs whose retention time has passed; their states are removed.
    pub(super) expired: Vec<JobId>,
    /// Other keys to remove.
    pub(super) removes: Vec<String>,
    /// Machine orders to send once the write is done.
    pub(super) orders: Vec<MachineOrder>,
}

/// Message to the holder of a partition.
#[derive(Debug)]
pub(super) enum Message {
    /// Jobs were accepted or cancelled.
    InputChanges(Vec<Change>),
    /// All accepted jobs and cancellations.
    InputSnapshot(Vec<Item>),
    /// Registry entries of workers changed.
    WorkerChanges(Vec<Change>),
    /// All registry entries of workers.
    WorkerSnapshot(Vec<Item>),
    /// Operators requested waves.
    Waves(Vec<Item>),
    /// States of jobs that earlier holders left in the store.
    OldStates(Vec<Item>),
    /// Progress of waves in all partitions.
    WaveProgress(Vec<Item>),
    /// The platform's complete list of machines.
    Machines(Vec<Machine>),
    /// An event for the scheduler.
    Event(Event),
    /// A fence above that of the role's last write is needed.
    FenceNeeded,
    /// A write was executed; the chain key now has this revision.
    Written(WriteContent, Revision),
    /// The role is lost, for this reason.
    Lost(String),
}
