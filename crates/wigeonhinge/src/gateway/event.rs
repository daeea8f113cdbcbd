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

/// A request that was received completely.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Number that the embedder gives the request; unique among open requests.
    pub ticket: Ticket,
    /// Service that the request is for.
    pub service: ServiceId,
    /// IP address of the caller.
    pub caller: CallerId,
    /// Team of the caller; empty for a caller without a team.
    pub team: TeamId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time at which the caller gives up.
    pub deadline: Time,
}

/// Result of sending a request to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The complete response of the upstream was received.
    Answered {
        /// Whether the status of the response is 500 or above.
        server_error: bool,
    },
    /// The send failed without a complete response.
    Failed(ErrorKind),
}

/// Input of the gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrive(Arrival),
    /// A send that [`Action::Send`] started has ended.
    Report {
        /// Request that was sent.
        ticket: Ticket,
        /// Result of the send.
        outcome: SendOutcome,
    },
    /// The caller of a request is gone.
    Cancel(Ticket),
    /// A configuration came into force.
    Configure(Box<fleet::Fleet>),
    /// The set of live entries of this zone changed; it includes this entry.
    Members(BTreeSet<EntryId>),
    /// The set of VMs known to be leaving changed.
    LeavingVms(BTreeSet<VmId>),
    /// An upstream announced that it is leaving.
    UpstreamLeaving(UpstreamId),
    /// An upstream that had announced that it is leaving answered a health check without doing so.
    UpstreamRejoined(UpstreamId),
    /// An upstream did not answer a probe on a new connection.
    ProbeFailed(UpstreamId),
    /// After a start or a pause, every live entry of the zone counts this entry as live again.
    ///
    /// This ends the hold-down early, in which the entry uses no slots of its
    /// share; otherwise it ends after
    /// [`share::HOLD_DOWN`](crate::share::HOLD_DOWN).
    MembershipConfirmed,
    /// Slots that a peer offers in its heartbeat; replaces all its earlier offers.
    Offers {
        /// Peer of this or of another zone.
        entry: EntryId,
        /// Offered slots by upstream.
        slots: BTreeMap<UpstreamId, u32>,
    },
    /// A peer requests slots; the reply is [`Action::Loan`], at once or within 125 ms.
    Borrow {
        /// Peer that wants to borrow.
        entry: EntryId,
        /// Upstream whose slots are requested.
        upstream: UpstreamId,
        /// Number of slots requested.
        slots: u32,
    },
    /// A peer replied to [`Action::Borrow`].
    Loan {
        /// Peer that lends.
        entry: EntryId,
        /// Upstream whose slots were requested.
        upstream: UpstreamId,
        /// Number of slots granted; 0 if the request was refused.
        slots: u32,
        /// Identifier of the loan, unique for the lender.
        loan: u64,
    },
    /// A peer returned slots that this entry lent to it.
    Return {
        /// Peer that borrowed.
        entry: EntryId,
        /// Identifier of the loan.
        loan: u64,
    },
    /// The entry stops gracefully: it refuses new requests and finishes open ones.
    Stop,
    /// Time passed; required at least every [`TICK_INTERVAL`](crate::gateway::TICK_INTERVAL).
    Tick,
}

/// Output of the gateway, for the embedder to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to an upstream and report the result with [`Event::Report`].
    Send {
        /// Request to send.
        ticket: Ticket,
        /// Upstream to send it to.
        upstream: UpstreamId,
        /// Address of the upstream.
        address: SocketAddr,
    },
    /// Respond to the caller with an error.
    Fail {
        /// Request that failed.
        ticket: Ticket,
        /// Why it failed.
        kind: ErrorKind,
    },
    /// Limit the number of connections to an upstream.
    LimitConnections {
        /// Upstream whose limit changed.
        upstream: UpstreamId,
        /// Maximum number of connections, idle ones included.
        limit: u32,
    },
    /// Request slots from a peer, which replies with [`Event::Loan`].
    Borrow {
        /// Peer to borrow from.
        entry: EntryId,
        /// Upstream whose slots are requested.
        upstream: UpstreamId,
        /// Number of slots requested.
        slots: u32,
    },
    /// Reply to a peer's [`Event::Borrow`].
    Loan {
        /// Peer that asked.
        entry: EntryId,
        /// Upstream whose slots were requested.
        upstream: UpstreamId,
        /// Number of slots granted; 0 if the request is refused.
        slots: u32,
        /// Identifier of the loan; 0 if the request is refused.
        loan: u64,
    },
    /// Return a loan to the peer that granted it.
    Return {
        /// Peer that lent the slots.
        entry: EntryId,
        /// Identifier of the loan, as the lender gave it.
        loan: u64,
    },
}
