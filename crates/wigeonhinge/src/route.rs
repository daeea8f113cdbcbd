//! Choice of the upstream for a request.
//!
//! The upstreams of a service that have a free slot are kept in order of load,
//! so that a choice costs a look at the first of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::Index;

/// Load of an upstream whose slots are all taken.
const FULL: u32 = 1 << 16;

/// Upstreams of one entry by load.
///
/// ```
/// use wigeonhinge::route::Router;
///
/// let mut router = Router::default();
/// router.add(0, 7, true);
/// router.add(1, 7, false);
/// router.set(0, 1);
/// router.set(1, 8);
/// assert_eq!(router.choose(7, &[]), Some(0));
/// router.start(0);
/// assert_eq!(router.choose(7, &[]), Some(1));
/// ```
#[derive(Debug, Default)]
pub struct Router {
    upstreams: BTreeMap<Index, Lane>,
    services: BTreeMap<Index, Pool>,
    starts: u64,
}

#[derive(Debug)]
struct Lane {
    service: Index,
    near: bool,
    allowed: u32,
    busy: u32,
    used: u64,
}

/// Upstreams of a service.
#[derive(Debug, Default)]
struct Pool {
    near: BTreeSet<Key>,
    far: BTreeSet<Key>,
    open: usize,
    total: u32,
    free: u32,
}

/// Load, last use and number of an upstream.
///
/// Among equal loads the one that was not used for longest is first, so that
/// an upstream that answers at once does not get more than its turn.
type Key = (u32, u64, Index);

impl Router {
    /// Adds an upstream of a service; `near` if it is in the entry's own zone.
    pub fn add(&mut self, index: Index, service: Index, near: bool) {
        let lane = Lane {
            service,
            near,
            allowed: 0,
            busy: 0,
            used: 0,
        };
        self.upstreams.insert(index, lane);
        self.services.entry(service).or_default();
    }

    /// Removes an upstream.
    pub fn remove(&mut self, index: Index) {
        self.set(index, 0);
        self.upstreams.remove(&index);
    }

    /// Sets how many requests may run at an upstream; 0 for one that is not usable.
    pub fn set(&mut self, index: Index, allowed: u32) {
        self.edit(index, |lane| lane.allowed = allowed);
    }

    /// Counts a request that starts at an upstream.
    pub fn start(&mut self, index: Index) {
        self.starts += 1;
        let used = self.starts;
        self.edit(index, |lane| {
            lane.busy += 1;
            lane.used = used;
        });
    }

    /// Counts a request that no longer occupies an upstream.
    pub fn finish(&mut self, index: Index) {
        self.edit(index, |lane| lane.busy = lane.busy.saturating_sub(1));
    }

    /// Returns the least loaded upstream of a service that has a free slot.
    ///
    /// Upstreams of other zones come last. Those to avoid are chosen only if
    /// the service has no other usable upstream, busy or not.
    pub fn choose(&self, service: Index, avoid: &[Index]) -> Option<Index> {
        let pool = self.services.get(&service)?;
        let mut keys = pool.near.iter().chain(&pool.far);
        let other = keys.clone().find(|key| !avoid.contains(&key.2));
        if let Some(key) = other {
            return Some(key.2);
        }
        let avoided = avoid.iter().filter(|index| self.open(service, **index));
        if avoided.count() < pool.open {
            return None;
        }
        keys.next().map(|key| key.2)
    }

    /// Returns the free slots of a service.
    pub fn free(&self, service: Index) -> u32 {
        self.services.get(&service).map_or(0, |pool| pool.free)
    }

    /// Returns the slots of a service, free or not.
    pub fn total(&self, service: Index) -> u32 {
        self.services.get(&service).map_or(0, |pool| pool.total)
    }

    /// Returns how many requests may run at an upstream.
    pub fn allowed(&self, index: Index) -> u32 {
        self.upstreams.get(&index).map_or(0, |lane| lane.allowed)
    }

    /// Returns how many requests run at an upstream.
    pub fn busy(&self, index: Index) -> u32 {
        self.upstreams.get(&index).map_or(0, |lane| lane.busy)
    }

    fn open(&self, service: Index, index: Index) -> bool {
        self.upstreams
            .get(&index)
            .is_some_and(|lane| lane.service == service && lane.allowed > 0)
    }

    fn edit(&mut self, index: Index, change: impl FnOnce(&mut Lane)) {
        let Some(lane) = self.upstreams.get_mut(&index) else {
            return;
        };
        let pool = self.services.entry(lane.service).or_default();
        pool.leave(index, lane);
        change(lane);
        pool.enter(index, lane);
    }
}

impl Pool {
    fn leave(&mut self, index: Index, lane: &Lane) {
        self.open -= usize::from(lane.allowed > 0);
        self.total -= lane.allowed;
        self.free -= lane.free();
        if lane.free() > 0 {
            self.side(lane.near).remove(&lane.key(index));
        }
    }

    fn enter(&mut self, index: Index, lane: &Lane) {
        self.open += usize::from(lane.allowed > 0);
        self.total += lane.allowed;
        self.free += lane.free();
        if lane.free() > 0 {
            self.side(lane.near).insert(lane.key(index));
        }
    }

    fn side(&mut self, near: bool) -> &mut BTreeSet<Key> {
        if near { &mut self.near } else { &mut self.far }
    }
}

impl Lane {
    fn free(&self) -> u32 {
        self.allowed.saturating_sub(self.busy)
    }

    fn key(&self, index: Index) -> Key {
        let load = (self.busy * FULL).checked_div(self.allowed).unwrap_or(FULL);
        (load, self.used, index)
    }
}
