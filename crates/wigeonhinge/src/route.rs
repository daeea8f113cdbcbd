//! Load balancing: the choice of an upstream for a request.
//!
//! The upstreams of a service that have a free slot are kept sorted by load, so
//! that a choice usually reads only the first of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::Index;

/// Load of an upstream whose slots are all busy, in fixed-point representation.
const FULL_LOAD: u32 = 1 << 16;

/// Load of the upstreams that one entry uses.
///
/// ```
/// use wigeonhinge::route::Router;
///
/// let mut router = Router::default();
/// router.add(0, 7, true);
/// router.add(1, 7, false);
/// router.set_allowed(0, 1);
/// router.set_allowed(1, 8);
/// assert_eq!(router.choose(7, &[]), Some(0));
/// router.start(0);
/// assert_eq!(router.choose(7, &[]), Some(1));
/// ```
#[derive(Debug, Default)]
pub struct Router {
    upstreams: BTreeMap<Index, Upstream>,
    services: BTreeMap<Index, Service>,
    starts: u64,
}

#[derive(Debug)]
struct Upstream {
    service: Index,
    local: bool,
    allowed: u32,
    busy: u32,
    last_start: u64,
}

/// Upstreams of a service that have a free slot, and the sums over all its upstreams.
#[derive(Debug, Default)]
struct Service {
    local: BTreeSet<Key>,
    remote: BTreeSet<Key>,
    usable: usize,
    total: u32,
    free: u32,
}

/// Sort key of an upstream: load, number of its last start, index.
///
/// Among equal loads the least recently used upstream comes first, so that an
/// upstream that responds at once does not get every request.
type Key = (u32, u64, Index);

impl Router {
    /// Adds an upstream of a service; `local` if it is in the entry's own zone.
    pub fn add(&mut self, index: Index, service: Index, local: bool) {
        let upstream = Upstream {
            service,
            local,
            allowed: 0,
            busy: 0,
            last_start: 0,
        };
        self.upstreams.insert(index, upstream);
        self.services.entry(service).or_default();
    }

    /// Removes an upstream and its slots.
    pub fn remove(&mut self, index: Index) {
        self.set_allowed(index, 0);
        self.upstreams.remove(&index);
    }

    /// Sets how many requests this entry may run at an upstream; 0 if it must not be used.
    pub fn set_allowed(&mut self, index: Index, allowed: u32) {
        self.update(index, |upstream| upstream.allowed = allowed);
    }

    /// Takes a slot of an upstream for a request.
    pub fn start(&mut self, index: Index) {
        self.starts += 1;
        let last_start = self.starts;
        self.update(index, |upstream| {
            upstream.busy += 1;
            upstream.last_start = last_start;
        });
    }

    /// Frees the slot of a request at an upstream.
    pub fn finish(&mut self, index: Index) {
        self.update(index, |upstream| {
            upstream.busy = upstream.busy.saturating_sub(1)
        });
    }

    /// Returns the least loaded upstream of a service that has a free slot.
    ///
    /// Upstreams of other zones are used only if none in the own zone has a free
    /// slot. Upstreams in `avoid` are chosen only if the service has no other
    /// upstream with slots, free or not.
    pub fn choose(&self, service: Index, avoid: &[Index]) -> Option<Index> {
        let candidates = self.services.get(&service)?;
        let mut keys = candidates.local.iter().chain(&candidates.remote);
        let other = keys.clone().find(|key| !avoid.contains(&key.2));
        if let Some(key) = other {
            return Some(key.2);
        }
        let avoided = avoid
            .iter()
            .filter(|index| self.is_usable(service, **index));
        if avoided.count() < candidates.usable {
            return None;
        }
        keys.next().map(|key| key.2)
    }

    /// Returns the free slots of all upstreams of a service.
    pub fn free(&self, service: Index) -> u32 {
        self.services
            .get(&service)
            .map_or(0, |service| service.free)
    }

    /// Returns the slots of all upstreams of a service, free or not.
    pub fn total(&self, service: Index) -> u32 {
        self.services
            .get(&service)
            .map_or(0, |service| service.total)
    }

    /// Returns how many requests this entry may run at an upstream.
    pub fn allowed(&self, index: Index) -> u32 {
        self.upstreams
            .get(&index)
            .map_or(0, |upstream| upstream.allowed)
    }

    /// Returns how many slots of an upstream are taken.
    pub fn busy(&self, index: Index) -> u32 {
        self.upstreams
            .get(&index)
            .map_or(0, |upstream| upstream.busy)
    }

    fn is_usable(&self, service: Index, index: Index) -> bool {
        self.upstreams
            .get(&index)
            .is_some_and(|upstream| upstream.service == service && upstream.allowed > 0)
    }

    /// Changes an upstream and keeps the sort order and the sums of its service up to date.
    fn update(&mut self, index: Index, change: impl FnOnce(&mut Upstream)) {
        let Some(upstream) = self.upstreams.get_mut(&index) else {
            return;
        };
        let service = self.services.entry(upstream.service).or_default();
        service.subtract(index, upstream);
        change(upstream);
        service.add(index, upstream);
    }
}

impl Service {
    fn subtract(&mut self, index: Index, upstream: &Upstream) {
        self.usable -= usize::from(upstream.allowed > 0);
        self.total -= upstream.allowed;
        self.free -= upstream.free();
        if upstream.free() > 0 {
            self.zone_set(upstream.local).remove(&upstream.key(index));
        }
    }

    fn add(&mut self, index: Index, upstream: &Upstream) {
        self.usable += usize::from(upstream.allowed > 0);
        self.total += upstream.allowed;
        self.free += upstream.free();
        if upstream.free() > 0 {
            self.zone_set(upstream.local).insert(upstream.key(index));
        }
    }

    fn zone_set(&mut self, local: bool) -> &mut BTreeSet<Key> {
        if local {
            &mut self.local
        } else {
            &mut self.remote
        }
    }
}

impl Upstream {
    fn free(&self) -> u32 {
        self.allowed.saturating_sub(self.busy)
    }

    fn key(&self, index: Index) -> Key {
        let load = (self.busy * FULL_LOAD)
            .checked_div(self.allowed)
            .unwrap_or(FULL_LOAD);
        (load, self.last_start, index)
    }
}
