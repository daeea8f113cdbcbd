//! Live entries, from their heartbeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::EntryId;
use crate::id::Time;
use crate::id::ZoneId;

/// Period of heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);

/// Silence after which a member is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// Silence after which a member is dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(2);

/// Silence after which the share of a member goes to the others.
///
/// Later than [`DEAD_AFTER`], so that a member that was paused has stopped using its share by then.
pub const REDISTRIBUTE_AFTER: Duration = Duration::from_millis(2500);

/// Gap between two ticks of this entry from which on it counts as paused.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Live entries as one entry sees them.
///
/// ```
/// use std::time::Duration;
/// use wigeonhinge::membership::Membership;
///
/// let mut members = Membership::new("a".into(), "north".into(), Duration::ZERO);
/// members.record_heartbeat("b".into(), "north".into(), 1, Duration::from_millis(100));
/// members.tick(Duration::from_millis(500));
/// assert_eq!(members.live().len(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    own: EntryId,
    zone: ZoneId,
    members: BTreeMap<EntryId, Member>,
    now: Time,
    /// Set while this entry uses no slots after its start or a pause.
    hold: Option<Hold>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    /// A heartbeat that is read before may have waited since before the pause.
    fresh: Time,
    end: Time,
}

/// Health of a member.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Health {
    /// Heard from lately.
    Live,
    /// Silent for [`SUSPECT_AFTER`].
    Suspect,
    /// Silent for [`DEAD_AFTER`], or stopped.
    Dead,
}

/// A change that a tick found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// This entry was paused for this time.
    Paused(Duration),
    /// A member has another health.
    Health(EntryId, Health),
}

#[derive(Clone, Debug)]
struct Member {
    zone: ZoneId,
    incarnation: u64,
    heard: Time,
    health: Health,
    left: bool,
}

impl Membership {
    /// Creates the view of an entry that starts at `now`, without any peer.
    pub fn new(own: EntryId, zone: ZoneId, now: Time) -> Self {
        Self {
            own,
            zone,
            members: BTreeMap::new(),
            now,
            hold: Some(Hold::new(now)),
        }
    }

    /// Takes note of a heartbeat; `false` if it is from an earlier start of the entry.
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
            let stopped = known.left && incarnation == known.incarnation;
            if earlier || stopped {
                return false;
            }
        }
        let fresh = self.hold.is_some_and(|hold| hold.fresh <= now);
        if fresh && zone == self.zone && now.saturating_sub(self.now) <= MAX_TICK_GAP {
            self.hold = None;
        }
        let member = Member {
            zone,
            incarnation,
            heard: now,
            health: Health::Live,
            left: false,
        };
        self.members.insert(entry, member);
        true
    }

    /// Takes note that an entry has stopped.
    pub fn record_stop(&mut self, entry: &EntryId) {
        if let Some(member) = self.members.get_mut(entry) {
            member.left = true;
            member.health = Health::Dead;
        }
    }

    /// Lets time pass and returns what changed.
    ///
    /// After a pause of this entry, its peers get the time until [`DEAD_AFTER`] once
    /// more: their heartbeats may wait to be read.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        let gap = now.saturating_sub(self.now);
        self.now = now;
        if gap > MAX_TICK_GAP {
            changes.push(Change::Paused(gap));
            self.hold = Some(Hold::new(now));
            let floor = now.saturating_sub(SUSPECT_AFTER);
            for member in self.members.values_mut() {
                member.heard = member.heard.max(floor);
            }
        }
        if self.hold.is_some_and(|hold| hold.end <= now) {
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

    /// Returns the entries that are not dead, with this one.
    pub fn live(&self) -> BTreeSet<EntryId> {
        self.select(|member| member.health != Health::Dead)
    }

    /// Returns the entries that are neither dead nor suspected, with this one.
    pub fn healthy(&self) -> BTreeSet<EntryId> {
        self.select(|member| member.health == Health::Live)
    }

    /// Returns the healthy entries of this entry's zone, with this one.
    pub fn healthy_in_zone(&self) -> BTreeSet<EntryId> {
        self.select(|member| member.health == Health::Live && member.zone == self.zone)
    }

    /// Returns the entries of this entry's zone that have a share of its slots, with this one.
    pub fn share_holders(&self) -> BTreeSet<EntryId> {
        self.select(|member| {
            let silence = self.now.saturating_sub(member.heard);
            member.zone == self.zone && !member.left && silence < REDISTRIBUTE_AFTER
        })
    }

    /// Returns the health of a member; `None` if it was never heard from.
    pub fn health(&self, entry: &EntryId) -> Option<Health> {
        self.members.get(entry).map(|member| member.health)
    }

    /// Returns whether this entry may use its share of the slots.
    ///
    /// After its start or a pause it may not, until it has heard from a peer of
    /// its zone or [`REDISTRIBUTE_AFTER`] has passed: its share may be in use elsewhere.
    /// Only a heartbeat read at least [`HEARTBEAT_PERIOD`] later counts, because one that
    /// waited to be read during the pause says nothing about the present.
    pub fn may_use_share(&self, now: Time) -> bool {
        self.hold.is_none() && now.saturating_sub(self.now) <= MAX_TICK_GAP
    }

    fn select(&self, wanted: impl Fn(&Member) -> bool) -> BTreeSet<EntryId> {
        self.members
            .iter()
            .filter(|(_, member)| wanted(member))
            .map(|(entry, _)| entry.clone())
            .chain([self.own.clone()])
            .collect()
    }
}

impl Hold {
    fn new(now: Time) -> Self {
        Self {
            fresh: now + HEARTBEAT_PERIOD,
            end: now + REDISTRIBUTE_AFTER,
        }
    }
}

impl Member {
    fn health(&self, now: Time) -> Health {
        let silence = now.saturating_sub(self.heard);
        if self.left || silence >= DEAD_AFTER {
            Health::Dead
        } else if silence >= SUSPECT_AFTER {
            Health::Suspect
        } else {
            Health::Live
        }
    }
}
