//! Division of slots and connections among the entries of a zone, and loans.
//!
//! Every entry computes its own part from the live entries of its zone, with
//! no message. Two entries whose lists differ for a moment must not use more
//! than the upstream has together: an entry that joins shrinks the parts of the
//! others at once and uses its own only after [`HOLD`]; an entry that dies
//! enlarges the parts of the others only at [`TAKEOVER`].

mod loan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::EntryId;
use crate::id::Index;
use crate::id::Time;
use crate::id::UpstreamId;

pub(crate) use crate::share::loan::Ask;
pub(crate) use crate::share::loan::Listed;
pub(crate) use crate::share::loan::Loans;

/// Silence after which an entry is suspected: nothing is borrowed from it.
pub const SUSPECT: Duration = Duration::from_secs(1);

/// Silence after which an entry is considered dead and leaves the live entries.
pub const DEAD: Duration = Duration::from_secs(2);

/// Silence after which the others use the part of a dead entry.
pub const TAKEOVER: Duration = Duration::from_millis(2_500);

/// Time after a start or a pause in which an entry uses no slots of its share.
pub const HOLD: Duration = Duration::from_millis(2_500);

/// Time between two observations above which the entry counts as paused.
///
/// It is shorter than [`TAKEOVER`] by more than a heartbeat period, so that a
/// paused entry stops before the others use its part.
pub const MAX_GAP: Duration = Duration::from_secs(1);

/// Parts of one entry of every upstream of its zone.
///
/// ```
/// use std::collections::BTreeSet;
/// use std::time::Duration;
///
/// use wigeonhinge::share::HOLD;
/// use wigeonhinge::share::Shares;
///
/// let mut shares = Shares::new("e1".into());
/// shares.set(0, "crews-1".into(), 8, 64);
/// shares.observe(Duration::ZERO);
/// shares.members(&BTreeSet::from(["e1".into(), "e2".into()]), Duration::ZERO);
/// assert_eq!(shares.allowed(0, Duration::ZERO), 0);
/// shares.confirm();
/// assert_eq!(shares.allowed(0, Duration::ZERO), 4);
/// assert_eq!(shares.allowed(0, HOLD), 0);
/// ```
#[derive(Debug)]
pub struct Shares {
    entry: EntryId,
    live: BTreeSet<EntryId>,
    departed: BTreeMap<EntryId, Time>,
    upstreams: BTreeMap<Index, Share>,
    observed: Option<Time>,
    hold: Option<Time>,
}

#[derive(Debug)]
struct Share {
    name: UpstreamId,
    slots: u32,
    connections: u32,
    part: Part,
}

/// Part of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Part {
    slots: u32,
    connections: u32,
}

impl Shares {
    /// Creates the shares of an entry that knows no other.
    pub fn new(entry: EntryId) -> Self {
        Self {
            live: BTreeSet::from([entry.clone()]),
            entry,
            departed: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            observed: None,
            hold: None,
        }
    }

    /// Adds or changes an upstream of the zone.
    pub fn set(&mut self, index: Index, name: UpstreamId, slots: u32, connections: u32) {
        let mut share = Share {
            name,
            slots,
            connections,
            part: Part::default(),
        };
        share.divide(&self.entry, self.counted());
        self.upstreams.insert(index, share);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, index: Index) {
        self.upstreams.remove(&index);
    }

    /// Takes the live entries of the zone; the own entry always counts.
    ///
    /// An entry that is missing for the first time has been silent for
    /// [`DEAD`]; its part is used at [`TAKEOVER`].
    pub fn members(&mut self, live: &BTreeSet<EntryId>, now: Time) {
        let takeover = now + (TAKEOVER - DEAD);
        let gone: Vec<EntryId> = self.live.difference(live).cloned().collect();
        for entry in gone.into_iter().filter(|entry| *entry != self.entry) {
            self.departed.insert(entry, takeover);
        }
        self.departed.retain(|entry, _| !live.contains(entry));
        self.live = live.clone();
        self.live.insert(self.entry.clone());
        self.divide();
    }

    /// Takes the current time; returns whether parts changed.
    ///
    /// Called before every decision: the first call and a gap above
    /// [`MAX_GAP`] start a hold.
    pub fn observe(&mut self, now: Time) -> bool {
        let paused = self.paused(now);
        self.observed = Some(now);
        if paused {
            self.hold = Some(now + HOLD);
        }
        let ended = self.hold.is_some_and(|until| until <= now);
        if ended {
            self.hold = None;
        }
        let due = self.departed.values().any(|at| *at <= now);
        if due {
            self.departed.retain(|_, at| *at > now);
            self.divide();
        }
        paused || ended || due
    }

    /// Ends the hold: every live entry of the zone counts this entry as live.
    pub fn confirm(&mut self) {
        self.hold = None;
    }

    /// Returns whether the entry uses no slots of its share.
    pub fn holding(&self) -> bool {
        self.hold.is_some()
    }

    /// Returns the slots of an upstream that the entry may use at `now`, loans not counted.
    pub fn allowed(&self, index: Index, now: Time) -> u32 {
        if self.holding() || self.paused(now) {
            return 0;
        }
        self.upstreams
            .get(&index)
            .map_or(0, |share| share.part.slots)
    }

    /// Returns the connections to an upstream that the entry may keep open, loans not counted.
    pub fn connections(&self, index: Index) -> u32 {
        self.upstreams
            .get(&index)
            .map_or(0, |share| share.part.connections)
    }

    /// Returns whether an entry of the zone is live, or dead and not yet taken over.
    pub fn counts(&self, entry: &EntryId) -> bool {
        self.live.contains(entry) || self.departed.contains_key(entry)
    }

    fn paused(&self, now: Time) -> bool {
        self.observed
            .is_none_or(|last| now.saturating_sub(last) > MAX_GAP)
    }

    fn counted(&self) -> impl Iterator<Item = &EntryId> + Clone {
        self.live.iter().chain(self.departed.keys())
    }

    fn divide(&mut self) {
        let counted = self.live.iter().chain(self.departed.keys());
        for share in self.upstreams.values_mut() {
            share.divide(&self.entry, counted.clone());
        }
    }
}

impl Share {
    fn divide<'a>(&mut self, entry: &EntryId, entries: impl Iterator<Item = &'a EntryId>) {
        let own = order(&self.name, entry);
        let (mut count, mut before) = (0, 0);
        for other in entries {
            count += 1;
            before += u32::from(order(&self.name, other) < own);
        }
        self.part = Part {
            slots: part(self.slots, count, before),
            connections: part(self.connections, count, before),
        };
    }
}

/// Returns the part of the entry at a position among `count` entries.
fn part(total: u32, count: u32, position: u32) -> u32 {
    let count = count.max(1);
    total / count + u32::from(position < total % count)
}

/// Returns the key of an entry in the order of an upstream.
pub(crate) fn order<'a>(upstream: &str, entry: &'a str) -> (u64, &'a str) {
    (hash(upstream, entry), entry)
}

/// FNV-1a with the finalizer of SplitMix64.
///
/// Entries of different builds must agree, which the standard library's
/// hasher does not promise.
fn hash(upstream: &str, entry: &str) -> u64 {
    let bytes = upstream.bytes().chain([0]).chain(entry.bytes());
    let mut value = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |value, byte| {
        (value ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
