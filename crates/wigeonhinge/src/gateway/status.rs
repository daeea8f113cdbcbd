//! State and counts of a gateway, for operators and metrics.

use std::collections::BTreeMap;

use crate::id::ServiceId;
use crate::id::UpstreamId;

/// State and counts of a gateway.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Whether a configuration is in force.
    pub configured: bool,
    /// Whether the entry uses no slots of its share, after a start or a pause.
    pub in_hold_down: bool,
    /// Whether the entry is stopping.
    pub stopping: bool,
    /// Requests that are queued or being sent.
    pub requests: usize,
    /// Services of the configuration.
    pub services: BTreeMap<ServiceId, ServiceStatus>,
    /// Upstreams of the configuration, and removed ones that still have requests.
    pub upstreams: BTreeMap<UpstreamId, UpstreamStatus>,
}

/// State and counts of a service; counts are since the start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceStatus {
    /// Requests in the queue.
    pub queued: usize,
    /// Requests at upstreams.
    pub running: usize,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that an upstream answered.
    pub answered: u64,
    /// Requests that were refused as not run.
    pub refused: u64,
    /// Requests that failed after bytes were written.
    pub failed: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Requests sent again.
    pub retried: u64,
}

/// State of an upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpstreamStatus {
    /// Requests that this entry may run there now: share and loans less what is lent.
    pub allowed: u32,
    /// Requests of this entry that run there.
    pub running: u32,
    /// Slots borrowed from peers.
    pub borrowed: u32,
    /// Slots lent to peers.
    pub lent: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is ejected.
    pub ejected: bool,
}
