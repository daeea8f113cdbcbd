//! Whom this entry sends heartbeats to, and what the peers' heartbeats said.

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
use crate::watch::REACH;

/// Entries of each other zone that a heartbeat goes to.
const PER_ZONE: usize = 2;

/// Time for which an entry that cannot be reached is passed over.
const AVOID: Duration = Duration::from_secs(5);

/// Silence after which an address that only a heartbeat told is forgotten.
const FORGET: Duration = Duration::from_secs(10);

/// Addresses, leaving VMs and what is known of each peer.
#[derive(Debug)]
pub(crate) struct Spread {
    own: EntryId,
    zone: ZoneId,
    fixed: BTreeMap<EntryId, (ZoneId, SocketAddr)>,
    registry: BTreeMap<EntryId, (ZoneId, SocketAddr)>,
    peers: BTreeMap<EntryId, Peer>,
    lost: BTreeMap<EntryId, Time>,
    list: (u64, BTreeSet<VmId>),
    announced: BTreeSet<VmId>,
    busy: BTreeSet<VmId>,
    regions: BTreeMap<RegionId, RegionView>,
}

/// What the last heartbeat of a peer said.
#[derive(Debug)]
pub(crate) struct Peer {
    zone: ZoneId,
    address: Option<SocketAddr>,
    heard: Time,
    store: Option<Duration>,
    announced: BTreeSet<VmId>,
    busy: BTreeSet<VmId>,
    /// Revision in force on the peer.
    pub(crate) revision: u64,
}

impl Spread {
    pub(crate) fn new(own: EntryId, zone: ZoneId, peers: &[settings::Peer]) -> Self {
        let mut spread = Self {
            own,
            zone,
            fixed: BTreeMap::new(),
            registry: BTreeMap::new(),
            peers: BTreeMap::new(),
            lost: BTreeMap::new(),
            list: (0, BTreeSet::new()),
            announced: BTreeSet::new(),
            busy: BTreeSet::new(),
            regions: BTreeMap::new(),
        };
        spread.fix(peers);
        spread
    }

    /// Sets the peers that the settings name.
    pub(crate) fn fix(&mut self, peers: &[settings::Peer]) {
        self.fixed = peers
            .iter()
            .filter(|peer| peer.entry != self.own)
            .filter_map(|peer| {
                let place = (ZoneId::from(&peer.zone), peer.address.parse().ok()?);
                Some((EntryId::from(&peer.entry), place))
            })
            .collect();
    }

    /// Sets the entries of the registry.
    pub(crate) fn register<'a>(&mut self, entries: impl Iterator<Item = &'a Registration>) {
        self.registry = entries
            .filter(|entry| entry.entry != self.own)
            .filter_map(|entry| {
                let place = (entry.zone.clone(), entry.address.parse().ok()?);
                Some((entry.entry.clone(), place))
            })
            .collect();
    }

    /// Takes note of a heartbeat; `true` if it changes the leaving VMs.
    pub(crate) fn heard(&mut self, beat: Heartbeat, now: Time) -> bool {
        let entry = EntryId::from(&beat.entry);
        let peer = Peer {
            zone: ZoneId::from(&beat.zone),
            address: beat.address.parse().ok(),
            heard: now,
            store: age(beat.store_age_ms),
            announced: beat.announced.iter().map(VmId::from).collect(),
            busy: beat.busy.iter().map(VmId::from).collect(),
            revision: beat.revision,
        };
        let mut changed = !peer.announced.is_empty();
        if let Some(known) = self.peers.insert(entry.clone(), peer) {
            changed |= !known.announced.is_empty();
        }
        self.lost.remove(&entry);
        if beat.leaving_ms > self.list.0 {
            let leaving = beat.leaving.iter().map(VmId::from).collect();
            self.list = (beat.leaving_ms, leaving);
            changed = true;
        }
        changed
    }

    /// Takes note of a VM list of the platform; the newest list counts.
    pub(crate) fn listed(&mut self, list: &VmList) {
        if list.as_of_ms > self.list.0 {
            let leaving = list
                .vms
                .iter()
                .filter(|vm| vm.state != VmState::Live)
                .map(|vm| vm.name.clone())
                .collect();
            self.list = (list.as_of_ms, leaving);
        }
    }

    /// Sets the VMs whose upstreams told this entry that they are leaving.
    pub(crate) fn announce(&mut self, vms: BTreeSet<VmId>) {
        self.announced = vms;
    }

    /// Sets the VMs out of service at which this entry still has requests.
    pub(crate) fn busy(&mut self, vms: BTreeSet<VmId>) {
        self.busy = vms;
    }

    /// Returns the VMs out of service at which this entry or a live peer still has requests.
    pub(crate) fn serving(&self, live: &BTreeSet<EntryId>) -> BTreeSet<VmId> {
        let told = self.peers.iter().filter(|(entry, _)| live.contains(*entry));
        told.flat_map(|(_, peer)| &peer.busy)
            .chain(&self.busy)
            .cloned()
            .collect()
    }

    /// Takes note that an entry cannot be reached.
    pub(crate) fn lost(&mut self, entry: EntryId, now: Time) {
        self.lost.insert(entry, now);
    }

    /// Forgets what is too old.
    pub(crate) fn tick(&mut self, now: Time) {
        self.lost.retain(|_, since| *since + AVOID > now);
        self.peers.retain(|_, peer| peer.heard + FORGET > now);
    }

    /// Takes over what a ledger says unless a newer one is known; `true` if it is new.
    pub(crate) fn learn(&mut self, view: RegionView) -> bool {
        let known = self.regions.get(&view.region);
        if known.is_some_and(|known| known.version >= view.version) {
            return false;
        }
        self.regions.insert(view.region.clone(), view);
        true
    }

    /// Returns what the newest known ledgers say.
    pub(crate) fn regions(&self) -> Arc<BTreeMap<RegionId, RegionView>> {
        Arc::new(self.regions.clone())
    }

    /// Returns the VMs that are leaving: by the list, a ledger, this entry or a live peer.
    pub(crate) fn leaving(&self, live: &BTreeSet<EntryId>) -> BTreeSet<VmId> {
        let told = self.peers.iter().filter(|(entry, _)| live.contains(*entry));
        told.flat_map(|(_, peer)| &peer.announced)
            .chain(&self.announced)
            .chain(&self.list.1)
            .chain(self.regions.values().flat_map(|view| &view.inactive))
            .cloned()
            .collect()
    }

    /// Fills in what a heartbeat says about leaving VMs.
    pub(crate) fn fill(&self, beat: &mut Heartbeat) {
        beat.leaving_ms = self.list.0;
        beat.leaving = self.list.1.iter().map(ToString::to_string).collect();
        beat.busy = self.busy.iter().map(ToString::to_string).collect();
        beat.ledgers = self.regions.values().map(RegionView::write).collect();
        beat.announced = self.announced.iter().map(ToString::to_string).collect();
    }

    /// Returns whether this entry acts for its zone: it is the first of those
    /// that reached the store lately.
    pub(crate) fn first(
        &self,
        neighbours: &BTreeSet<EntryId>,
        own: Option<Duration>,
        now: Time,
    ) -> bool {
        let reaches = |entry: &&EntryId| match self.peers.get(*entry) {
            _ if **entry == self.own => own.is_some_and(|age| age <= REACH),
            Some(peer) => peer
                .store
                .is_some_and(|age| age + now.saturating_sub(peer.heard) <= REACH),
            None => false,
        };
        let able = neighbours.iter().filter(reaches);
        role::rank(able, &self.zone).first() == Some(&self.own)
    }

    /// Returns the entries that a heartbeat goes to.
    ///
    /// Every entry of the zone and, if `far`, two of each other zone: those that rank first
    /// for this entry. One that could not be reached lately comes last, but is
    /// still tried if no other is left, so that a healed path is found at once.
    pub(crate) fn targets(&self, far: bool) -> BTreeMap<EntryId, SocketAddr> {
        let book = self.book();
        let mut zones: BTreeMap<&ZoneId, Vec<&EntryId>> = BTreeMap::new();
        let near = |zone: &ZoneId| *zone == self.zone;
        for (entry, (zone, _)) in book.iter().filter(|(_, (zone, _))| far || near(zone)) {
            zones.entry(zone).or_default().push(entry);
        }
        let mut targets = BTreeMap::new();
        for (zone, entries) in zones {
            let count = if near(zone) { usize::MAX } else { PER_ZONE };
            let mut ranked = role::rank(entries, &self.own);
            ranked.sort_by_key(|entry| self.lost.contains_key(entry));
            for entry in ranked.into_iter().take(count) {
                if let Some((_, address)) = book.get(&entry) {
                    targets.insert(entry, *address);
                }
            }
        }
        targets
    }

    /// Returns the address of an entry.
    pub(crate) fn address(&self, entry: &EntryId) -> Option<SocketAddr> {
        self.book().get(entry).map(|(_, address)| *address)
    }

    /// Returns every known entry with its zone.
    pub(crate) fn known(&self) -> BTreeSet<EntryId> {
        self.book().into_keys().cloned().collect()
    }

    /// Returns what is known of a peer from its heartbeats.
    pub(crate) fn peer(&self, entry: &EntryId) -> Option<&Peer> {
        self.peers.get(entry)
    }

    /// Heartbeats are newer than the registry, which is newer than the settings.
    fn book(&self) -> BTreeMap<&EntryId, (&ZoneId, SocketAddr)> {
        let told = self
            .peers
            .iter()
            .filter_map(|(entry, peer)| Some((entry, (&peer.zone, peer.address?))));
        self.fixed
            .iter()
            .chain(&self.registry)
            .map(|(entry, (zone, address))| (entry, (zone, *address)))
            .chain(told)
            .collect()
    }
}

impl Peer {
    /// Returns the availability zone of the peer.
    pub(crate) fn zone(&self) -> &ZoneId {
        &self.zone
    }
}

/// Heartbeats carry the age plus one, so that 0 stands for "never".
fn age(field: u64) -> Option<Duration> {
    field.checked_sub(1).map(Duration::from_millis)
}
