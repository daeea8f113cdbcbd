//! State of an entry, as `/status` reports it to operators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;

use serde::Deserialize;
use serde::Serialize;

/// State of an entry, the body of `/status`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Name of the entry.
    pub entry: String,
    /// Availability zone of the entry.
    pub zone: String,
    /// Address for peers.
    pub peer: String,
    /// Start time in milliseconds since the Unix epoch; tells apart the starts of an entry.
    pub incarnation: u64,
    /// Whether requests are served.
    pub ready: bool,
    /// Why requests are not served; empty if they are.
    pub reason: String,
    /// Whether the entry may use its share of the slots.
    pub usable: bool,
    /// Configuration revision in force; 0 for none.
    pub revision: u64,
    /// Edit that created the revision in force.
    pub edit: String,
    /// Milliseconds since the store last answered; absent if it never did.
    pub store_age_ms: Option<u64>,
    /// Roles that this entry holds under a valid lease, with their fences.
    pub roles: BTreeMap<String, u64>,
    /// Entries that hold the roles, by role, as far as this entry knows.
    pub holders: BTreeMap<String, String>,
    /// Peers that this entry has received heartbeats from.
    pub members: BTreeMap<String, Member>,
    /// VMs that are leaving service or out of service.
    pub leaving: BTreeSet<String>,
    /// Counters since the start.
    pub counters: Counters,
}

/// A peer, as an entry sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Availability zone; empty if no recent heartbeat is known.
    pub zone: String,
    /// `live`, `suspect` or `dead`.
    pub health: String,
    /// Configuration revision in force on the peer; 0 if no recent heartbeat is known.
    pub revision: u64,
}

/// Counters of an entry since its start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Milliseconds since the start of the entry.
    pub uptime_ms: u64,
    /// Microseconds of processor time of the control thread.
    pub cpu_us: u64,
    /// Bytes sent to peers, with the headers of UDP and IPv4.
    pub peer_sent: u64,
    /// Bytes received from peers, with the headers of UDP and IPv4.
    pub peer_received: u64,
    /// Bytes sent to the platform, without the headers of TCP and IP.
    pub platform_sent: u64,
    /// Bytes received from the platform, without the headers of TCP and IP.
    pub platform_received: u64,
    /// Configurations that this entry put in force.
    pub adopted: u64,
    /// Rejected configurations: unreadable, or with the revision in force and another edit.
    pub faults: u64,
    /// Messages received from peers.
    pub heard: u64,
    /// Times that the control thread was found to have been paused.
    pub pauses: u64,
    /// Orders of controllers that were passed on to the platform.
    pub orders: u64,
}

/// Returns the microseconds of processor time of the current thread.
pub(crate) fn thread_cpu_us() -> u64 {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = stat.split_whitespace().next();
    nanos
        .and_then(|nanos| nanos.parse::<u64>().ok())
        .unwrap_or(0)
        / 1000
}
