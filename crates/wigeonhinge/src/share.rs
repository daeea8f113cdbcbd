//! Division of slots and connections among the entries of a zone, and loans.
//!
//! Every entry computes its own share from the live entries of its zone, without
//! messages. Entries whose lists of live entries differ for a moment must not
//! together use more than the upstream has. Therefore an entry that joins
//! shrinks the shares of the others at once, but uses its own only after
//! [`HOLD_DOWN`]; an entry that dies enlarges the shares of the others only
//! after [`TAKEOVER_AFTER`].

mod loan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::EntryId;
use crate::id::Index;
use crate::id::Time;
use crate::id::UpstreamId;

pub(crate) use crate::share::loan::LoanRequest;
pub(crate) use crate::share::loan::Loans;
pub(crate) use crate::share::loan::OfferedSlots;

/// Silence after which a peer is suspected to be dead: nothing more is borrowed from it.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// Silence after which a peer counts as dead and is no longer one of the live entries.
pub const DEAD_AFTER: Duration = Duration::from_secs(2);

/// Silence after which the other entries use the share of a dead entry.
pub const TAKEOVER_AFTER: Duration = Duration::from_millis(2_500);

/// Hold-down time: after a start or a pause an entry uses no slots of its share for this long.
pub const HOLD_DOWN: Duration = Duration::from_millis(2_500);

/// Time between two calls of [`Shares::observe`] above which the entry counts as paused.
///
/// It is shorter than [`TAKEOVER_AFTER`] by more than a heartbeat period, so
/// that a paused entry stops before the others use its share.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Shares that one entry has of the upstreams of its zone.
///
/// ```
/// use std::collections::BTreeSet;
/// use std::time::Duration;
///
/// use wigeonhinge::share::HOLD_DOWN;
/// use wigeonhinge::share::Shares;
///
/// let mut shares = Shares::new("e1".into());
/// shares.set(0, "crews-1".into(), 8, 64);
/// shares.observe(Duration::ZERO);
/// shares.set_live(&BTreeSet::from(["e1".into(), "e2".into()]), Duration::ZERO);
/// assert_eq!(shares.allowed(0, Duration::ZERO), 0);
/// shares.end_hold_down();
/// assert_eq!(shares.allowed(0, Duration::ZERO), 4);
/// assert_eq!(shares.allowed(0, HOLD_DOWN), 0);
/// ```
#[derive(Debug)]
pub struct Shares {
    entry: EntryId,
    live: BTreeSet<EntryId>,
    /// Dead entries whose share is not taken over yet, and when it will be.
    departed: BTreeMap<EntryId, Time>,
    upstreams: BTreeMap<Index, Upstream>,
    last_observed: Option<Time>,
    /// End of the hold-down; none outside of one.
    hold_until: Option<Time>,
}

#[derive(Debug)]
struct Upstream {
    name: UpstreamId,
    slots: u32,
    connections: u32,
    share: Share,
}

/// The entry's share of an upstream, loans not counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Share {
    slots: u32,
    connections: u32,
}

impl Shares {
    /// Creates the shares of an entry that does not know of any other entry.
    pub fn new(entry: EntryId) -> Self {
        Self {
            live: BTreeSet::from([entry.clone()]),
            entry,
            departed: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            last_observed: None,
            hold_until: None,
        }
    }

    /// Adds or changes an upstream of the zone, with all its slots and connections.
    pub fn set(&mut self, index: Index, name: UpstreamId, slots: u32, connections: u32) {
        let mut upstream = Upstream {
            name,
            slots,
            connections,
            share: Share::default(),
        };
        upstream.divide(&self.entry, self.counted());
        self.upstreams.insert(index, upstream);
    }

    /// Removes an upstream; the entry then has no share of it.
    pub fn remove(&mut self, index: Index) {
        self.upstreams.remove(&index);
    }

    /// Sets the live entries of the zone; this entry itself is always counted.
    ///
    /// An entry that is missing for the first time has been silent for
    /// [`DEAD_AFTER`]; its share is taken over after [`TAKEOVER_AFTER`].
    pub fn set_live(&mut self, live: &BTreeSet<EntryId>, now: Time) {
        let takeover = now + (TAKEOVER_AFTER - DEAD_AFTER);
        let gone: Vec<EntryId> = self.live.difference(live).cloned().collect();
        for entry in gone.into_iter().filter(|entry| *entry != self.entry) {
            self.departed.insert(entry, takeover);
        }
        self.departed.retain(|entry, _| !live.contains(entry));
        self.live = live.clone();
        self.live.insert(self.entry.clone());
        self.divide_all();
    }

    /// Advances the current time; returns whether shares changed.
    ///
    /// Must be called before every decision. The first call, and a call more
    /// than [`PAUSE_THRESHOLD`] after the previous one, start a hold-down.
    pub fn observe(&mut self, now: Time) -> bool {
        let paused = self.is_paused(now);
        self.last_observed = Some(now);
        if paused {
            self.hold_until = Some(now + HOLD_DOWN);
        }
        let ended = self.hold_until.is_some_and(|until| until <= now);
        if ended {
            self.hold_until = None;
        }
        let due = self.departed.values().any(|at| *at <= now);
        if due {
            self.departed.retain(|_, at| *at > now);
            self.divide_all();
        }
        paused || ended || due
    }

    /// Ends the hold-down early, because every live entry of the zone counts this entry as live.
    pub fn end_hold_down(&mut self) {
        self.hold_until = None;
    }

    /// Returns whether the entry is in hold-down, in which it uses no slots of its share.
    pub fn in_hold_down(&self) -> bool {
        self.hold_until.is_some()
    }

    /// Returns the slots of an upstream that the entry may use at `now`, loans not counted.
    pub fn allowed(&self, index: Index, now: Time) -> u32 {
        if self.in_hold_down() || self.is_paused(now) {
            return 0;
        }
        self.upstreams
            .get(&index)
            .map_or(0, |upstream| upstream.share.slots)
    }

    /// Returns the connections to an upstream that the entry may keep open, loans not counted.
    pub fn connections(&self, index: Index) -> u32 {
        self.upstreams
            .get(&index)
            .map_or(0, |upstream| upstream.share.connections)
    }

    /// Returns whether an entry of the zone is live, or is dead but its share not yet taken over.
    pub fn is_counted(&self, entry: &EntryId) -> bool {
        self.live.contains(entry) || self.departed.contains_key(entry)
    }

    fn is_paused(&self, now: Time) -> bool {
        self.last_observed
            .is_none_or(|last| now.saturating_sub(last) > PAUSE_THRESHOLD)
    }

    fn counted(&self) -> impl Iterator<Item = &EntryId> + Clone {
        self.live.iter().chain(self.departed.keys())
    }

    fn divide_all(&mut self) {
        let counted = self.live.iter().chain(self.departed.keys());
        for upstream in self.upstreams.values_mut() {
            upstream.divide(&self.entry, counted.clone());
        }
    }
}

impl Upstream {
    fn divide<'a>(&mut self, entry: &EntryId, entries: impl Iterator<Item = &'a EntryId>) {
        let own = rendezvous_key(&self.name, entry);
        let (mut count, mut before) = (0, 0);
        for other in entries {
            count += 1;
            before += u32::from(rendezvous_key(&self.name, other) < own);
        }
        self.share = Share {
            slots: split(self.slots, count, before),
            connections: split(self.connections, count, before),
        };
    }
}

/// Returns the share that the entry at a position among `count` entries has of a total.
///
/// The remainder goes to the first positions, one unit each.
fn split(total: u32, count: u32, position: u32) -> u32 {
    let count = count.max(1);
    total / count + u32::from(position < total % count)
}

/// Returns the key that orders the entries for an upstream (rendezvous hashing).
pub(crate) fn rendezvous_key<'a>(upstream: &str, entry: &'a str) -> (u64, &'a str) {
    (rendezvous_hash(upstream, entry), entry)
}

/// FNV-1a with the finalizer of SplitMix64.
///
/// Entries of different builds must compute the same hash, which the hasher of
/// the standard library does not guarantee.
fn rendezvous_hash(upstream: &str, entry: &str) -> u64 {
    let bytes = upstream.bytes().chain([0]).chain(entry.bytes());
    let mut value = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |value, byte| {
        (value ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
