//! State and counters of a gateway, for operators and metrics.

use std::collections::BTreeMap;

use crate::id::ServiceId;
use crate::id::UpstreamId;

/// State and counters of a gateway.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Whether a configuration is in force.
    pub configured: bool,
    /// Whether the entry is in hold-down after a start or a pause and uses no slots of its share.
    pub in_hold_down: bool,
    /// Whether the entry is stopping and refuses new requests.
    pub stopping: bool,
    /// Number of requests that are queued or at an upstream.
    pub requests: usize,
    /// Services that were ever configured since the start.
    pub services: BTreeMap<ServiceId, ServiceStatus>,
    /// Upstreams of the configuration, and removed ones that still have requests.
    pub upstreams: BTreeMap<UpstreamId, UpstreamStatus>,
}

/// State and counters of a service; the counters start at 0 when the entry starts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceStatus {
    /// Number of requests in the queue.
    pub queued: usize,
    /// Number of requests at upstreams.
    pub running: usize,
    /// Requests that were passed to the queue, those that it refused included.
    pub arrived: u64,
    /// Requests that got a response from an upstream.
    pub answered: u64,
    /// Requests that failed and certainly did not run.
    pub refused: u64,
    /// Requests that failed and ran or may have run.
    pub failed: u64,
    /// Requests whose caller was gone before the end.
    pub cancelled: u64,
    /// Retries.
    pub retried: u64,
}

/// State of an upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpstreamStatus {
    /// Number of requests that this entry may run there: its share plus borrowed, less lent slots;
    /// less while the upstream is leaving, ejected or on trial.
    pub allowed: u32,
    /// Number of slots that this entry's requests occupy there.
    pub running: u32,
    /// Slots borrowed from peers, until they are returned.
    pub borrowed: u32,
    /// Slots lent to peers.
    pub lent: u32,
    /// Whether the upstream is leaving or was removed from the configuration.
    pub leaving: bool,
    /// Whether the upstream is ejected or on trial after an ejection.
    pub ejected: bool,
}
