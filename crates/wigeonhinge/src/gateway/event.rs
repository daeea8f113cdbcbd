//! Events and actions of the gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use wigeonhinge_schema::fleet;

use crate::id::CallerId;
use crate::id::EntryId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::id::Ticket;
use crate::id::Time;
use crate::id::UpstreamId;
use crate::id::VmId;
use crate::outcome::ErrorKind;

/// A request that has arrived in full.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Number that the embedder gives the request.
    pub ticket: Ticket,
    /// Service asked for.
    pub service: ServiceId,
    /// Caller, by its IP number.
    pub caller: CallerId,
    /// Team; empty without one.
    pub team: TeamId,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: Time,
}

/// How sending a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The upstream's whole answer was received; `server_error` for a 5xx status.
    Answered {
        /// Whether the status is 500 or above.
        server_error: bool,
    },
    /// Sending failed.
    Failed(ErrorKind),
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has arrived.
    Arrive(Arrival),
    /// Sending a request to an upstream ended.
    Report {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        outcome: SendOutcome,
    },
    /// The caller of a request is gone.
    Cancel(Ticket),
    /// A configuration came into force.
    Configure(Box<fleet::Fleet>),
    /// The live entries of this zone changed; includes this entry.
    Members(BTreeSet<EntryId>),
    /// The VMs known to be leaving changed.
    LeavingVms(BTreeSet<VmId>),
    /// An upstream announced that it is leaving.
    UpstreamLeaving(UpstreamId),
    /// An upstream that announced that it is leaving answers health checks again without saying so.
    UpstreamRejoined(UpstreamId),
    /// A probe of an upstream on a new connection was not answered.
    ProbeFailed(UpstreamId),
    /// After a start or a pause, every live entry of the zone counts this entry as live again.
    ///
    /// Ends early the time in which the entry uses no slots; without it, the
    /// time ends after [`share::HOLD`](crate::share::HOLD).
    MembershipConfirmed,
    /// A peer's idle slots on offer, from its heartbeat; replaces its earlier ones.
    Offers {
        /// The peer, of this zone or another.
        entry: EntryId,
        /// Slots by upstream.
        slots: BTreeMap<UpstreamId, u32>,
    },
    /// A peer asks for slots; answered by [`Action::Loan`], at once or within 125 ms.
    Borrow {
        /// The peer.
        entry: EntryId,
        /// Upstream.
        upstream: UpstreamId,
        /// Slots asked for.
        slots: u32,
    },
    /// A peer answered [`Action::Borrow`].
    Loan {
        /// The peer.
        entry: EntryId,
        /// Upstream.
        upstream: UpstreamId,
        /// Slots granted; 0 for none.
        slots: u32,
        /// Identifier of the loan, unique for the peer.
        loan: u64,
    },
    /// A peer gave back a loan of this entry.
    Return {
        /// The peer.
        entry: EntryId,
        /// Identifier of the loan.
        loan: u64,
    },
    /// The entry stops gracefully: it refuses new requests and finishes the others.
    Stop,
    /// Time passed; needed at least every [`TICK_INTERVAL`](crate::gateway::TICK_INTERVAL).
    Tick,
}

/// What the embedder has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the request to an upstream and report how that ended.
    Send {
        /// The request.
        ticket: Ticket,
        /// Upstream.
        upstream: UpstreamId,
        /// Its address.
        address: SocketAddr,
    },
    /// Answer the caller with an error.
    Fail {
        /// The request.
        ticket: Ticket,
        /// Error kind.
        kind: ErrorKind,
    },
    /// Keep at most this number of connections to an upstream.
    LimitConnections {
        /// Upstream.
        upstream: UpstreamId,
        /// Connections, idle ones included.
        limit: u32,
    },
    /// Ask a peer for slots; the answer is [`Event::Loan`].
    Borrow {
        /// The peer.
        entry: EntryId,
        /// Upstream.
        upstream: UpstreamId,
        /// Slots asked for.
        slots: u32,
    },
    /// Answer a peer's [`Event::Borrow`].
    Loan {
        /// The peer.
        entry: EntryId,
        /// Upstream.
        upstream: UpstreamId,
        /// Slots granted; 0 for none.
        slots: u32,
        /// Identifier of the loan.
        loan: u64,
    },
    /// Give a loan back to the peer that granted it.
    Return {
        /// The peer.
        entry: EntryId,
        /// Identifier of the loan.
        loan: u64,
    },
}
