//! Targets of this entry's heartbeats, and the state that peers report in theirs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wigeonhinge::Time;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::RegionId;
use wigeonhinge::id::VmId;
use wigeonhinge::id::ZoneId;
use wigeonhinge::role;
use wigeonhinge_schema::peer::Heartbeat;
use wigeonhinge_schema::settings;

use crate::plane::RegionView;
use crate::platform::VmList;
use crate::platform::VmState;
use crate::session::Registration;
use crate::watch::MAX_STORE_AGE;

/// Entries of each other zone that receive a heartbeat.
const TARGETS_PER_ZONE: usize = 2;

/// Time for which an unreachable entry is the last choice as a target and gets no introduction.
///
/// An entry that is cut off from many others tries to reach them no more often, which keeps its
/// handshakes within the budget of 16 KB/s.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Silence after which the reported state of a peer, including its address, is dropped.
///
/// Longer than [`ENTRY_LIST_INTERVAL`](crate::session::ENTRY_LIST_INTERVAL), so that the registry
/// names an entry by the time its introduction is dropped.
const PEER_EXPIRY: Duration = Duration::from_secs(10);

/// Maximum number of introductions that are kept; further ones are refused until some expire.
///
/// The largest sweep has 300 entries. An entry that introduces itself under ever new names must not
/// take up the 256 MB of a process.
const MAX_INTRODUCTIONS: usize = 1_024;

/// Addresses of entries, leaving VMs, ledger summaries and the last heartbeat of each peer.
#[derive(Debug)]
pub(crate) struct Gossip {
    own: EntryId,
    zone: ZoneId,
    configured: BTreeMap<EntryId, (ZoneId, SocketAddr)>,
    registry: BTreeMap<EntryId, (ZoneId, SocketAddr)>,
    /// Entries that introduced themselves, and when.
    introductions_received: BTreeMap<EntryId, (ZoneId, SocketAddr, Time)>,
    /// Registered addresses that this entry introduced itself at.
    introductions_sent: BTreeMap<EntryId, SocketAddr>,
    peers: BTreeMap<EntryId, Peer>,
    unreachable: BTreeMap<EntryId, Time>,
    /// Time of the newest VM list in milliseconds, and the VMs in it that are not live.
    vm_list: (u64, BTreeSet<VmId>),
    announced: BTreeSet<VmId>,
    busy: BTreeSet<VmId>,
    regions: BTreeMap<RegionId, RegionView>,
}

/// State of a peer by its last heartbeat.
#[derive(Debug)]
pub(crate) struct Peer {
    zone: ZoneId,
    address: Option<SocketAddr>,
    last_heard: Time,
    store_age: Option<Duration>,
    announced: BTreeSet<VmId>,
    busy: BTreeSet<VmId>,
    /// Revision in force on the peer.
    pub(crate) revision: u64,
}

impl Gossip {
    pub(crate) fn new(own: EntryId, zone: ZoneId, peers: &[settings::Peer]) -> Self {
        let mut gossip = Self {
            own,
            zone,
            configured: BTreeMap::new(),
            registry: BTreeMap::new(),
            introductions_received: BTreeMap::new(),
            introductions_sent: BTreeMap::new(),
            peers: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            vm_list: (0, BTreeSet::new()),
            announced: BTreeSet::new(),
            busy: BTreeSet::new(),
            regions: BTreeMap::new(),
        };
        gossip.set_configured(peers);
        gossip
    }

    /// Replaces the peers of the settings; those without a valid address are ignored.
    pub(crate) fn set_configured(&mut self, peers: &[settings::Peer]) {
        self.configured = peers
            .iter()
            .filter(|peer| peer.entry != self.own)
            .filter_map(|peer| {
                let location = (ZoneId::from(&peer.zone), peer.address.parse().ok()?);
                Some((EntryId::from(&peer.entry), location))
            })
            .collect();
    }

    /// Replaces the entries of the store's registry.
    pub(crate) fn set_registry<'a>(&mut self, entries: impl Iterator<Item = &'a Registration>) {
        self.registry = entries
            .filter(|entry| entry.entry != self.own)
            .filter_map(|entry| {
                let location = (entry.zone.clone(), entry.address.parse().ok()?);
                Some((entry.entry.clone(), location))
            })
            .collect();
    }

    /// Returns the registered entries that this one has to introduce itself to.
    ///
    /// These get no heartbeats and got no introduction at their address yet. Until they list the
    /// registry themselves they do not know this entry and drop their answers to it.
    pub(crate) fn due_introductions(&mut self) -> Vec<EntryId> {
        let registry = &self.registry;
        self.introductions_sent.retain(|entry, known| {
            registry
                .get(entry)
                .is_some_and(|(_, address)| address == known)
        });
        let targets = self.targets(true);
        let due: BTreeMap<EntryId, SocketAddr> = self
            .registry
            .iter()
            .filter(|(entry, _)| !targets.contains_key(*entry))
            .filter(|(entry, _)| !self.unreachable.contains_key(*entry))
            .filter(|(entry, _)| !self.introductions_sent.contains_key(*entry))
            .map(|(entry, (_, address))| (entry.clone(), *address))
            .collect();
        self.introductions_sent.extend(due.clone());
        due.into_keys().collect()
    }

    /// Records the zone and the address of an entry that sends no regular heartbeats to this one.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the address is invalid or [`MAX_INTRODUCTIONS`] are kept already.
    pub(crate) fn record_introduction(
        &mut self,
        heartbeat: &Heartbeat,
        now: Time,
    ) -> Result<(), &'static str> {
        let address = heartbeat.address.parse();
        let address = address.map_err(|_| "the address is not of the form IP:port")?;
        let entry = EntryId::from(&heartbeat.entry);
        let known = self.introductions_received.contains_key(&entry);
        if !known && self.introductions_received.len() >= MAX_INTRODUCTIONS {
            return Err("too many entries introduced themselves");
        }
        let zone = ZoneId::from(&heartbeat.zone);
        if let Some(peer) = self.peers.get_mut(&entry) {
            peer.address = Some(address);
        }
        self.unreachable.remove(&entry);
        self.introductions_received
            .insert(entry, (zone, address, now));
        Ok(())
    }

    /// Records a heartbeat; `true` if it may change the leaving VMs.
    pub(crate) fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) -> bool {
        let entry = EntryId::from(&heartbeat.entry);
        let peer = Peer {
            zone: ZoneId::from(&heartbeat.zone),
            address: heartbeat.address.parse().ok(),
            last_heard: now,
            store_age: decode_age(heartbeat.store_age_ms),
            announced: heartbeat.announced.iter().map(VmId::from).collect(),
            busy: heartbeat.busy.iter().map(VmId::from).collect(),
            revision: heartbeat.revision,
        };
        let mut changed = !peer.announced.is_empty();
        if let Some(previous) = self.peers.insert(entry.clone(), peer) {
            changed |= !previous.announced.is_empty();
        }
        self.unreachable.remove(&entry);
        if heartbeat.leaving_ms > self.vm_list.0 {
            let leaving = heartbeat.leaving.iter().map(VmId::from).collect();
            self.vm_list = (heartbeat.leaving_ms, leaving);
            changed = true;
        }
        changed
    }

    /// Records a VM list of the platform, unless a list at least as new is known.
    pub(crate) fn record_vms(&mut self, list: &VmList) {
        if list.as_of_ms > self.vm_list.0 {
            let leaving = list
                .vms
                .iter()
                .filter(|vm| vm.state != VmState::Live)
                .map(|vm| vm.name.clone())
                .collect();
            self.vm_list = (list.as_of_ms, leaving);
        }
    }

    /// Replaces the VMs whose upstreams announced to this entry that they are leaving.
    pub(crate) fn set_announced(&mut self, vms: BTreeSet<VmId>) {
        self.announced = vms;
    }

    /// Replaces the VMs out of service on which requests of this entry are still running.
    pub(crate) fn set_busy(&mut self, vms: BTreeSet<VmId>) {
        self.busy = vms;
    }

    /// Returns the VMs out of service on which requests of this entry or a live peer are still running.
    pub(crate) fn busy_vms(&self, live: &BTreeSet<EntryId>) -> BTreeSet<VmId> {
        let reported = self.peers.iter().filter(|(entry, _)| live.contains(*entry));
        reported
            .flat_map(|(_, peer)| &peer.busy)
            .chain(&self.busy)
            .cloned()
            .collect()
    }

    /// Records that an entry could not be reached.
    ///
    /// An introduction may have been lost, and is repeated after [`UNREACHABLE_TIMEOUT`].
    pub(crate) fn mark_unreachable(&mut self, entry: EntryId, now: Time) {
        self.introductions_sent.remove(&entry);
        self.unreachable.insert(entry, now);
    }

    /// Drops the state of silent peers, and marks of unreachable entries, that have timed out.
    pub(crate) fn expire(&mut self, now: Time) {
        self.unreachable
            .retain(|_, since| *since + UNREACHABLE_TIMEOUT > now);
        self.peers
            .retain(|_, peer| peer.last_heard + PEER_EXPIRY > now);
        self.introductions_received
            .retain(|_, (_, _, since)| *since + PEER_EXPIRY > now);
    }

    /// Records a ledger summary; `false` if one at least as new is known.
    pub(crate) fn merge_region(&mut self, view: RegionView) -> bool {
        let known = self.regions.get(&view.region);
        if known.is_some_and(|known| known.version >= view.version) {
            return false;
        }
        self.regions.insert(view.region.clone(), view);
        true
    }

    /// Returns the newest known ledger summaries.
    pub(crate) fn regions(&self) -> Arc<BTreeMap<RegionId, RegionView>> {
        Arc::new(self.regions.clone())
    }

    /// Returns the VMs that are leaving by the VM list, a ledger, or an announcement to this
    /// entry or a live peer.
    pub(crate) fn leaving_vms(&self, live: &BTreeSet<EntryId>) -> BTreeSet<VmId> {
        let reported = self.peers.iter().filter(|(entry, _)| live.contains(*entry));
        reported
            .flat_map(|(_, peer)| &peer.announced)
            .chain(&self.announced)
            .chain(&self.vm_list.1)
            .chain(self.regions.values().flat_map(|view| &view.inactive))
            .cloned()
            .collect()
    }

    /// Sets the fields of a heartbeat for leaving and busy VMs and for ledgers.
    pub(crate) fn fill_heartbeat(&self, heartbeat: &mut Heartbeat) {
        heartbeat.leaving_ms = self.vm_list.0;
        heartbeat.leaving = self.vm_list.1.iter().map(ToString::to_string).collect();
        heartbeat.busy = self.busy.iter().map(ToString::to_string).collect();
        heartbeat.ledgers = self.regions.values().map(RegionView::to_wire).collect();
        heartbeat.announced = self.announced.iter().map(ToString::to_string).collect();
    }

    /// Returns whether this entry watches the store and reads the VM list for its zone.
    ///
    /// It does if it ranks first among the neighbours that reached the store within [`MAX_STORE_AGE`].
    pub(crate) fn leads_zone(
        &self,
        neighbours: &BTreeSet<EntryId>,
        own: Option<Duration>,
        now: Time,
    ) -> bool {
        let reaches = |entry: &&EntryId| match self.peers.get(*entry) {
            _ if **entry == self.own => own.is_some_and(|age| age <= MAX_STORE_AGE),
            Some(peer) => peer
                .store_age
                .is_some_and(|age| age + now.saturating_sub(peer.last_heard) <= MAX_STORE_AGE),
            None => false,
        };
        let eligible = neighbours.iter().filter(reaches);
        role::rank(eligible, &self.zone).first() == Some(&self.own)
    }

    /// Returns the entries that a heartbeat goes to.
    ///
    /// These are every entry of the zone and, if `interzone`, the [`TARGETS_PER_ZONE`] of each
    /// other zone that rank first for this entry. Entries that could not be reached within
    /// [`UNREACHABLE_TIMEOUT`] rank last, but are still tried if no other is left, so that a
    /// restored path is found at once.
    pub(crate) fn targets(&self, interzone: bool) -> BTreeMap<EntryId, SocketAddr> {
        let addresses = self.addresses();
        let mut zones: BTreeMap<&ZoneId, Vec<&EntryId>> = BTreeMap::new();
        let same_zone = |zone: &ZoneId| *zone == self.zone;
        for (entry, (zone, _)) in addresses
            .iter()
            .filter(|(_, (zone, _))| interzone || same_zone(zone))
        {
            zones.entry(zone).or_default().push(entry);
        }
        let mut targets = BTreeMap::new();
        for (zone, entries) in zones {
            let count = if same_zone(zone) {
                usize::MAX
            } else {
                TARGETS_PER_ZONE
            };
            let mut ranked = role::rank(entries, &self.own);
            ranked.sort_by_key(|entry| self.unreachable.contains_key(entry));
            for entry in ranked.into_iter().take(count) {
                if let Some((_, address)) = addresses.get(&entry) {
                    targets.insert(entry, *address);
                }
            }
        }
        targets
    }

    /// Returns the peer address of an entry; `None` if it is unknown.
    pub(crate) fn address(&self, entry: &EntryId) -> Option<SocketAddr> {
        self.addresses().get(entry).map(|(_, address)| *address)
    }

    /// Returns every entry whose address is known, except this one.
    pub(crate) fn known_entries(&self) -> BTreeSet<EntryId> {
        self.addresses().into_keys().cloned().collect()
    }

    /// Returns the last heartbeat of a peer; `None` after [`PEER_EXPIRY`] without one.
    pub(crate) fn peer(&self, entry: &EntryId) -> Option<&Peer> {
        self.peers.get(entry)
    }

    /// Returns the zone and address of each entry.
    ///
    /// Heartbeats take precedence over introductions, these over the registry, and the registry
    /// over the settings.
    fn addresses(&self) -> BTreeMap<&EntryId, (&ZoneId, SocketAddr)> {
        let reported = self
            .peers
            .iter()
            .filter_map(|(entry, peer)| Some((entry, (&peer.zone, peer.address?))));
        let introduced = self.introductions_received.iter();
        let introduced = introduced.map(|(entry, (zone, address, _))| (entry, (zone, *address)));
        self.configured
            .iter()
            .chain(&self.registry)
            .map(|(entry, (zone, address))| (entry, (zone, *address)))
            .chain(introduced)
            .chain(reported)
            .collect()
    }
}

impl Peer {
    /// Returns the availability zone of the peer.
    pub(crate) fn zone(&self) -> &ZoneId {
        &self.zone
    }
}

/// Decodes an age in milliseconds, which heartbeats carry plus one: 0 means "never".
fn decode_age(field: u64) -> Option<Duration> {
    field.checked_sub(1).map(Duration::from_millis)
}
