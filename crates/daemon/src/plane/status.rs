//! The state of an entry as operators see it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;

use serde::Deserialize;
use serde::Serialize;

/// State of an entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Name.
    pub entry: String,
    /// Availability zone.
    pub zone: String,
    /// Address for peers.
    pub peer: String,
    /// Differs after each start.
    pub incarnation: u64,
    /// Whether requests are served.
    pub ready: bool,
    /// Why not; empty if ready.
    pub reason: String,
    /// Whether the entry may use its share of the slots.
    pub usable: bool,
    /// Configuration revision in force; 0 for none.
    pub revision: u64,
    /// Edit that made it.
    pub edit: String,
    /// Milliseconds since the store last answered.
    pub store_age_ms: Option<u64>,
    /// Roles that this entry may act in now, with their fences.
    pub roles: BTreeMap<String, u64>,
    /// Known holders of all roles.
    pub holders: BTreeMap<String, String>,
    /// Entries that were heard from.
    pub members: BTreeMap<String, Member>,
    /// VMs that are leaving.
    pub leaving: BTreeSet<String>,
    /// Counters since the start.
    pub counters: Counters,
}

/// A member as an entry sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Availability zone.
    pub zone: String,
    /// `live`, `suspect` or `dead`.
    pub health: String,
    /// Configuration revision in force there.
    pub revision: u64,
}

/// Counters of an entry since its start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Milliseconds since the start.
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
    /// Configurations that were adopted.
    pub adopted: u64,
    /// Configurations with the revision in force and another edit.
    pub faults: u64,
    /// Messages received from peers.
    pub heard: u64,
    /// Pauses of this entry.
    pub pauses: u64,
    /// Orders of controllers that were sent.
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
