//! Heartbeat-based failure detector: which entries are live, and which of them share slots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::EntryId;
use crate::id::Time;
use crate::id::ZoneId;

/// Interval between the heartbeats that an entry sends.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);

/// Time without a heartbeat after which a member is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// Time without a heartbeat after which a member counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(2);

/// Time without a heartbeat after which the share of a member is split among the others.
///
/// Longer than [`DEAD_AFTER`], so that a paused member has stopped using its share by then.
pub const REDISTRIBUTE_AFTER: Duration = Duration::from_millis(2500);

/// Longest time between two ticks of this entry; after a longer one it counts as paused.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// The other entries and their health, as one entry sees them.
///
/// ```
/// use std::time::Duration;
/// use wigeonhinge::membership::Membership;
///
/// let mut members = Membership::new("a".into(), "north".into(), Duration::ZERO);
/// members.record_heartbeat("b".into(), "north".into(), 1, Duration::from_millis(100));
/// members.tick(Duration::from_millis(500));
/// assert_eq!(members.not_dead().len(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    own: EntryId,
    zone: ZoneId,
    members: BTreeMap<EntryId, Member>,
    now: Time,
    /// Set while this entry must not use its slots after its start or a pause.
    hold: Option<Hold>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    /// Heartbeats read before this time may have been queued since before the pause.
    fresh_from: Time,
    until: Time,
}

/// Health of a member, from the time since its last heartbeat.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Health {
    /// Its last heartbeat is more recent than [`SUSPECT_AFTER`].
    Live,
    /// No heartbeat for [`SUSPECT_AFTER`].
    Suspect,
    /// No heartbeat for [`DEAD_AFTER`], or stopped.
    Dead,
}

/// A change that [`Membership::tick`] detected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// This entry did not tick for this time, which is longer than [`MAX_TICK_GAP`].
    Paused(Duration),
    /// The health of a member changed to this value.
    Health(EntryId, Health),
}

#[derive(Clone, Debug)]
struct Member {
    zone: ZoneId,
    incarnation: u64,
    last_heard: Time,
    health: Health,
    stopped: bool,
}

impl Membership {
    /// Creates the view of an entry that starts at `now` and has not heard from a peer.
    pub fn new(own: EntryId, zone: ZoneId, now: Time) -> Self {
        Self {
            own,
            zone,
            members: BTreeMap::new(),
            now,
            hold: Some(Hold::new(now)),
        }
    }

    /// Records a heartbeat of a peer and returns whether it was accepted.
    ///
    /// A heartbeat of this entry itself, of an earlier incarnation of a peer that is not dead, or
    /// of an incarnation that has stopped is ignored.
    pub fn record_heartbeat(
        &mut self,
        entry: EntryId,
        zone: ZoneId,
        incarnation: u64,
        now: Time,
    ) -> bool {
        if entry == self.own {
            return false;
        }
        if let Some(known) = self.members.get(&entry) {
            let earlier = incarnation < known.incarnation && known.health != Health::Dead;
            let stopped = known.stopped && incarnation == known.incarnation;
            if earlier || stopped {
                return false;
            }
        }
        let fresh = self.hold.is_some_and(|hold| hold.fresh_from <= now);
        if fresh && zone == self.zone && now.saturating_sub(self.now) <= MAX_TICK_GAP {
            self.hold = None;
        }
        let member = Member {
            zone,
            incarnation,
            last_heard: now,
            health: Health::Live,
            stopped: false,
        };
        self.members.insert(entry, member);
        true
    }

    /// Marks a member as stopped; only a heartbeat of another incarnation makes it live again.
    pub fn record_stop(&mut self, entry: &EntryId) {
        if let Some(member) = self.members.get_mut(entry) {
            member.stopped = true;
            member.health = Health::Dead;
        }
    }

    /// Advances the time and returns what changed.
    ///
    /// After a pause of this entry, no peer counts as silent for longer than [`SUSPECT_AFTER`]:
    /// its heartbeats may still be queued, so it is declared dead only if none arrives in the
    /// rest of [`DEAD_AFTER`].
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        let gap = now.saturating_sub(self.now);
        self.now = now;
        if gap > MAX_TICK_GAP {
            changes.push(Change::Paused(gap));
            self.hold = Some(Hold::new(now));
            let floor = now.saturating_sub(SUSPECT_AFTER);
            for member in self.members.values_mut() {
                member.last_heard = member.last_heard.max(floor);
            }
        }
        if self.hold.is_some_and(|hold| hold.until <= now) {
            self.hold = None;
        }
        for (entry, member) in &mut self.members {
            let health = member.health(now);
            if health != member.health {
                member.health = health;
                changes.push(Change::Health(entry.clone(), health));
            }
        }
        changes
    }

    /// Returns the entries that are live or suspected, including this one.
    pub fn not_dead(&self) -> BTreeSet<EntryId> {
        self.select(|member| member.health != Health::Dead)
    }

    /// Returns the entries that are neither dead nor suspected, including this one.
    pub fn healthy(&self) -> BTreeSet<EntryId> {
        self.select(|member| member.health == Health::Live)
    }

    /// Returns the healthy entries of this entry's zone, including this one.
    pub fn healthy_in_zone(&self) -> BTreeSet<EntryId> {
        self.select(|member| member.health == Health::Live && member.zone == self.zone)
    }

    /// Returns the entries that share the slots of this entry's zone, including this one.
    ///
    /// A member keeps its share until [`REDISTRIBUTE_AFTER`], unless it has stopped.
    pub fn share_holders(&self) -> BTreeSet<EntryId> {
        self.select(|member| {
            let silence = self.now.saturating_sub(member.last_heard);
            member.zone == self.zone && !member.stopped && silence < REDISTRIBUTE_AFTER
        })
    }

    /// Returns the health of a member; `None` if no heartbeat of it was ever accepted.
    pub fn health(&self, entry: &EntryId) -> Option<Health> {
        self.members.get(entry).map(|member| member.health)
    }

    /// Returns whether this entry may use its share of the slots.
    ///
    /// After its start or a pause it may not, until it has heard from a peer of
    /// its zone or [`REDISTRIBUTE_AFTER`] has passed: other entries may be using its share.
    /// Only a heartbeat read at least [`HEARTBEAT_PERIOD`] later counts, because one that
    /// was queued during the pause does not show that the peer is still live.
    pub fn may_use_share(&self, now: Time) -> bool {
        self.hold.is_none() && now.saturating_sub(self.now) <= MAX_TICK_GAP
    }

    fn select(&self, predicate: impl Fn(&Member) -> bool) -> BTreeSet<EntryId> {
        self.members
            .iter()
            .filter(|(_, member)| predicate(member))
            .map(|(entry, _)| entry.clone())
            .chain([self.own.clone()])
            .collect()
    }
}

impl Hold {
    fn new(now: Time) -> Self {
        Self {
            fresh_from: now + HEARTBEAT_PERIOD,
            until: now + REDISTRIBUTE_AFTER,
        }
    }
}

impl Member {
    fn health(&self, now: Time) -> Health {
        let silence = now.saturating_sub(self.last_heard);
        if self.stopped || silence >= DEAD_AFTER {
            Health::Dead
        } else if silence >= SUSPECT_AFTER {
            Health::Suspect
        } else {
            Health::Live
        }
    }
}
