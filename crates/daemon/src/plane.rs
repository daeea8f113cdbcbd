//! The control plane of an entry, on its own thread.
//!
//! It adopts configurations, knows the live entries and the leaving VMs, holds
//! roles, and answers operators. It talks to the request path by messages only:
//! [`Message`] towards the dispatch thread, [`Request`] from there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use compact_str::CompactString;
use compio::runtime::Runtime;
use eyre::Result;
use eyre::WrapErr;
use eyre::eyre;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use wigeonhinge::Time;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::JobId;
use wigeonhinge::id::RegionId;
use wigeonhinge::id::UpstreamId;
use wigeonhinge::id::VmId;
use wigeonhinge::lease::Lease;
use wigeonhinge_schema::audit::Record;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::peer::Offer;
use wigeonhinge_schema::settings::Settings;

use crate::platform;
use crate::platform::StartRequest;
use crate::platform::Swap;
use crate::platform::TaskCommand;
use crate::platform::TaskReply;
use crate::platform::Version;
use crate::platform::VmList;
use crate::platform::WorkerCommand;
use crate::platform::WorkerList;
use crate::platform::WorkerReply;

pub use crate::plane::region::RegionView;
pub use crate::plane::status::Counters;
pub use crate::plane::status::Member;
pub use crate::plane::status::Status;

mod calls;
mod core;
mod duty;
mod outlet;
mod region;
mod spread;
mod status;
mod trail;

/// Messages from the request path that wait for the control thread.
const REQUESTS: usize = 1024;

/// Message to the dispatch thread.
#[derive(Clone, Debug)]
pub enum Message {
    /// A configuration came into force.
    Adopt(Arc<Config>),
    /// Entries that share the slots of this zone, with this one.
    Members(BTreeSet<EntryId>),
    /// VMs that are leaving.
    Leaving(BTreeSet<VmId>),
    /// Whether this entry may use its share of the slots.
    Usable(bool),
    /// Whether this entry has a configuration and is not stopping.
    Ready(bool),
    /// Idle slots that an entry offers, in place of its earlier offers.
    Offers(EntryId, BTreeMap<UpstreamId, u32>),
    /// An entry asks for slots.
    Borrow(EntryId, UpstreamId, u32),
    /// An entry lends slots, under this number.
    Loan(EntryId, UpstreamId, u32, u64),
    /// An entry gives this loan back.
    Return(EntryId, u64),
    /// An entry has stopped and uses no slots any more.
    Bye(EntryId),
}

/// Message from the request path.
#[derive(Clone, Debug)]
pub enum Request {
    /// Idle slots on offer, in place of the earlier ones.
    Offers(Vec<Offer>),
    /// VMs whose upstreams say that they are leaving.
    Announced(BTreeSet<VmId>),
    /// VMs out of service at which this entry still has requests.
    Busy(BTreeSet<VmId>),
    /// Ask an entry for slots.
    Borrow(EntryId, UpstreamId, u32),
    /// Lend slots to an entry, under this number.
    Loan(EntryId, UpstreamId, u32, u64),
    /// Give a loan back to an entry.
    Return(EntryId, u64),
}

/// Event for the controller of a role.
#[derive(Clone, Debug)]
pub enum Input {
    /// This entry has taken the role, under this lease.
    Gained(Lease),
    /// A configuration is in force.
    Adopted(Arc<Config>),
    /// Time passed.
    Tick,
    /// An order ended.
    Done(u64, Outcome),
    /// What the newest known ledgers say of VMs, by region.
    Regions(Arc<BTreeMap<RegionId, RegionView>>),
    /// VMs out of service at which live entries still have requests.
    Busy(BTreeSet<VmId>),
    /// A submitter asks, under a number that the answer goes back under.
    Ask(u64, JobAsk),
}

/// Question of a submitter of jobs.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAsk {
    /// Accept a job.
    Submit(Box<Job>),
    /// Cancel a job.
    Cancel(JobId),
    /// Tell the state of a job.
    Show(JobId),
}

/// Answer to a submitter of jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobAnswer {
    /// `accepted`, `running`, `done`, `failed`, `cancelled`, `refused`, `impossible` or `unknown`.
    pub state: CompactString,
    /// Reason, or the worker of a running job.
    pub reason: CompactString,
}

/// Order of a controller, with a number that its outcome comes back under.
#[derive(Clone, Debug)]
pub enum Order {
    /// Read a store key.
    Get(String),
    /// Write a store key from a version; one lasts as long as the session if `true`.
    Put(String, serde_json::Value, Version, bool),
    /// Remove a store key at a version.
    Delete(String, Version),
    /// List store keys by prefix.
    List(String),
    /// Read the reports of workers.
    Workers(Vec<VmId>),
    /// Command a worker at a step of its VM, under the fence of the role.
    Worker(VmId, WorkerCommand, u64),
    /// Start a task, under the fence of the role.
    Start(VmId, StartRequest),
    /// Command a task, under the fence of the role.
    Task(VmId, String, TaskCommand),
    /// Read the list of VMs.
    Vms,
    /// Tell every entry what a ledger says of VMs; no call to the platform.
    Spread(RegionView),
    /// Add records to the audit trail; no call of its own to the platform.
    Audit(Vec<Record>),
    /// Answer a question of a submitter; no call to the platform.
    Answer(u64, JobAnswer),
}

/// How an order ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The lease was over; nothing was sent.
    Expired,
    /// The platform gave no usable answer.
    Failed(platform::Error),
    /// A value, with its version.
    Value(Option<(Version, serde_json::Value)>),
    /// Result of a write or removal.
    Swapped(Swap),
    /// Keys and versions.
    Listed(Vec<platform::KeyVersion>),
    /// Reports of workers.
    Workers(WorkerList),
    /// List of VMs.
    Vms(VmList),
    /// Answer of a worker to a worker command.
    Reply(WorkerReply),
    /// Answer of a worker to a start or a task command.
    Task(TaskReply),
}

/// A controller of a role: events in, orders out.
///
/// It exists while this entry holds the role. The lease that it is given with an
/// event is valid at that time; each order is checked again before it is sent.
pub type Controller = Box<dyn FnMut(Input, Lease, Time) -> Vec<(u64, Order)>>;

/// Makes the controller of a role; `None` for a role that has none.
pub type Controllers = Arc<dyn Fn(&str) -> Option<Controller> + Send + Sync>;

/// What a control plane is started with.
#[derive(Clone)]
pub struct Options {
    /// Settings.
    pub settings: Settings,
    /// File that the settings are reloaded from when it changes.
    pub file: Option<PathBuf>,
    /// Controllers of the roles.
    pub controllers: Controllers,
}

/// A running control plane; stops when it is dropped.
#[derive(Debug)]
pub struct Plane {
    peer: SocketAddr,
    admin: SocketAddr,
    orders: flume::Sender<Command>,
    requests: flume::Sender<Request>,
    thread: Option<JoinHandle<()>>,
}

/// Command of the one who holds the handle.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Become not ready and say so to the peers.
    Drain,
    /// Say goodbye to the peers, end the session and stop.
    Finish,
    /// Stop at once, as if killed.
    Abort,
    /// Exchange no messages with these entries.
    Block(BTreeSet<EntryId>),
    /// Block the control thread.
    Stall(Duration),
}

impl Options {
    /// Creates options without a settings file and without controllers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            file: None,
            controllers: Arc::new(|_| None),
        }
    }
}

impl fmt::Debug for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Options")
            .field("entry", &self.settings.entry)
            .field("file", &self.file)
            .finish_non_exhaustive()
    }
}

impl Plane {
    /// Starts the control plane and returns once its ports are bound.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the identity is missing or malformed.
    pub fn spawn(options: Options, log: Logger, outlet: flume::Sender<Message>) -> Result<Self> {
        let settings = &options.settings;
        let peer = UdpSocket::bind(address("peer", &settings.peer)?).wrap_err("peer")?;
        let admin = TcpListener::bind(address("admin", &settings.admin)?).wrap_err("admin")?;
        let bound = (peer.local_addr()?, admin.local_addr()?);
        let (orders, commands) = flume::unbounded();
        let (requests, asked) = flume::bounded(REQUESTS);
        let (ready, started) = flume::bounded(1);
        let ports = core::Ports {
            peer,
            admin,
            commands,
            asked,
        };
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || run(options, ports, log, outlet, &ready))?;
        started.recv().map_err(io::Error::other)??;
        Ok(Self {
            peer: bound.0,
            admin: bound.1,
            orders,
            requests,
            thread: Some(thread),
        })
    }

    /// Returns the address for peers.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the address for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the channel from the request path.
    pub fn requests(&self) -> flume::Sender<Request> {
        self.requests.clone()
    }

    /// Makes the entry not ready; its peers hear that it is stopping.
    pub fn drain(&self) {
        self.order(Command::Drain);
    }

    /// Stops once every request is done: the peers take over the shares at once.
    pub fn finish(mut self) {
        self.end(Command::Finish);
    }

    /// Stops without a word, as when the VM is lost.
    pub fn kill(mut self) {
        self.end(Command::Abort);
    }

    /// Cuts the entry off from other entries, for tests; an empty set heals it.
    pub fn block(&self, entries: BTreeSet<EntryId>) {
        self.order(Command::Block(entries));
    }

    /// Blocks the control thread for a while, as a paused VM would; for tests.
    pub fn stall(&self, time: Duration) {
        self.order(Command::Stall(time));
    }

    fn order(&self, command: Command) {
        // The thread has ended if it does not receive the command.
        let _ = self.orders.send(command);
    }

    fn end(&mut self, command: Command) {
        self.order(command);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Plane {
    fn drop(&mut self) {
        self.end(Command::Abort);
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddr> {
    text.parse()
        .wrap_err_with(|| eyre!("{field} {text:?}: expected IP:port"))
}

fn run(
    options: Options,
    ports: core::Ports,
    log: Logger,
    outlet: flume::Sender<Message>,
    ready: &flume::Sender<io::Result<()>>,
) {
    let served = Runtime::new().map(|runtime| {
        runtime.block_on(async {
            let core = core::Core::new(options, ports, log, outlet).map_err(io::Error::other)?;
            // The starter has gone if it does not receive this.
            let _ = ready.send(Ok(()));
            core.run().await;
            io::Result::Ok(())
        })
    });
    if let Err(error) = served.and_then(|served| served) {
        let _ = ready.send(Err(error));
    }
}
