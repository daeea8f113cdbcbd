//! Session of an entry with the store, and the roles that it holds.
//!
//! The session is a deterministic state machine without I/O:
//! [`Session::due_calls`] returns the calls to make and
//! [`Session::handle_answer`] takes their answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use wigeonhinge::Time;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::Fence;
use wigeonhinge::lease;
use wigeonhinge::lease::Lease;
use wigeonhinge::role;

use crate::platform::KeyVersion;
use crate::platform::LeaseId;
use crate::platform::Swap;
use crate::platform::Version;

/// Interval between lists of the roles while every wanted role has a holder.
pub const ROLE_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between lists of the roles while a wanted role has no holder.
pub const VACANT_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between lists of the registered entries.
pub const ENTRY_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Delay before a failed call is repeated.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Prefix of the store keys under which entries register.
pub const ENTRY_PREFIX: &str = "entry/";

/// Prefix of the store keys of roles.
pub const ROLE_PREFIX: &str = "role/";

/// Name of a role, such as `fleet/north`.
pub type RoleName = CompactString;

/// Registration of an entry, the value of its key in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Name of the entry.
    pub entry: EntryId,
    /// Availability zone of the entry.
    pub zone: CompactString,
    /// Address at which peers reach the entry.
    pub address: CompactString,
    /// Address at which operators reach the entry.
    pub admin: CompactString,
}

/// Holder of a role, the value of the role's key in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Entry that holds the role.
    pub holder: EntryId,
    /// Session lease under which the entry took the role.
    pub session: LeaseId,
}

/// Call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Create the session lease.
    Grant,
    /// Renew the session lease.
    Renew(LeaseId),
    /// Write the entry's own registration if its key still has this version.
    Register(LeaseId, Version),
    /// List the keys of the roles that have a holder.
    ListRoles,
    /// List the keys of the registered entries.
    ListEntries,
    /// Read the registration of an entry.
    ReadEntry(EntryId),
    /// Take a role: create its key under the session lease.
    TakeRole(RoleName, LeaseId),
    /// Read the holder of a role whose key has a version that this entry does not know.
    ReadHolder(RoleName),
    /// Release a role that is no longer wanted: remove its key at this version.
    ReleaseRole(RoleName, Fence),
}

/// Answer to a [`Call`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The session lease was created.
    Granted(LeaseId),
    /// The session lease was renewed; `false` if it had already ended.
    Renewed(bool),
    /// Result of a write or removal.
    Swapped(Swap),
    /// Keys that begin with the prefix, and their versions.
    Listed(Vec<KeyVersion>),
    /// Registration of an entry and the version of its key; `None` if it is not registered.
    Entry(Option<(Version, Registration)>),
    /// Holder of a role and the version of its key; `None` if the role has no holder.
    Holder(Option<(Version, Holder)>),
    /// The call failed for any reason; it may have taken effect.
    Failed,
}

/// Change of the roles that this entry holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoleChange {
    /// The entry now holds the role with this fence.
    Gained(RoleName, Fence),
    /// The entry no longer holds the role.
    Lost(RoleName),
}

/// Session of an entry with the store, and its roles.
#[derive(Clone, Debug)]
pub struct Session {
    own: Registration,
    lease: Option<Lease>,
    registered: bool,
    /// Version of the entry's own registration; 0 if its key is absent or unknown.
    own_version: Version,
    wanted: BTreeSet<RoleName>,
    held: BTreeMap<RoleName, Fence>,
    /// Wanted roles without a holder, and when this entry first saw them so.
    vacant: BTreeMap<RoleName, Time>,
    holders: BTreeMap<RoleName, (Version, Holder)>,
    entries: BTreeMap<EntryId, (Version, Registration)>,
    in_flight: BTreeSet<CallSlot>,
    /// Earliest time of the next call of each slot.
    next_call: BTreeMap<CallSlot, Time>,
    /// Set if the list of the entries that is in flight was sent before this entry registered.
    list_precedes_registration: bool,
}

/// What a call is about; at most one call of a slot is in flight.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum CallSlot {
    Session,
    Register,
    Roles,
    Entries,
    Entry(EntryId),
    Role(RoleName),
}

impl Session {
    /// Creates the state of an entry that has no session lease yet.
    pub fn new(own: Registration) -> Self {
        Self {
            own,
            lease: None,
            registered: false,
            own_version: 0,
            wanted: BTreeSet::new(),
            held: BTreeMap::new(),
            vacant: BTreeMap::new(),
            holders: BTreeMap::new(),
            entries: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            next_call: BTreeMap::new(),
            list_precedes_registration: false,
        }
    }

    /// Sets the roles that need a holder; held roles outside this set are released.
    pub fn set_wanted(&mut self, roles: BTreeSet<RoleName>) {
        self.vacant.retain(|role, _| roles.contains(role));
        self.holders.retain(|role, _| roles.contains(role));
        self.wanted = roles;
    }

    /// Returns the registrations of the other entries, as last read.
    pub fn entries(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values().map(|(_, entry)| entry)
    }

    /// Returns the registration of this entry.
    pub fn own(&self) -> &Registration {
        &self.own
    }

    /// Returns the roles that this entry has taken, with their fences.
    ///
    /// The session may have ended since; [`Session::role_lease`] also checks that.
    pub fn held(&self) -> &BTreeMap<RoleName, Fence> {
        &self.held
    }

    /// Returns the holders of the wanted roles, as last read, with their fences.
    pub fn holders(&self) -> impl Iterator<Item = (&RoleName, &EntryId, Fence)> {
        let known = self.holders.iter();
        known.map(|(role, (fence, holder))| (role, &holder.holder, *fence))
    }

    /// Returns the lease under which this entry may act in a role at `now`.
    ///
    /// `None` if the entry does not hold the role or if the session may have ended,
    /// for example during a pause of this process.
    pub fn role_lease(&self, role: &str, now: Time) -> Option<Lease> {
        let fence = *self.held.get(role)?;
        let lease = self.lease.filter(|lease| lease.valid(now))?;
        Some(lease.with_fence(fence))
    }

    /// Returns the identifier of the session lease; `None` if the lease may have ended.
    pub fn lease_id(&self, now: Time) -> Option<LeaseId> {
        let lease = self.lease.filter(|lease| lease.valid(now))?;
        Some(lease.fence())
    }

    /// Returns the calls to make at `now`.
    ///
    /// `candidates` are the live entries; their ranking determines how long this
    /// entry waits before it takes a vacant role.
    pub fn due_calls(&mut self, candidates: &BTreeSet<EntryId>, now: Time) -> Vec<Call> {
        let mut calls = Vec::new();
        match self.lease {
            None => self.push_due(&mut calls, CallSlot::Session, now, || Call::Grant),
            Some(lease) => {
                let lease = lease.fence();
                self.push_due(&mut calls, CallSlot::Session, now, || Call::Renew(lease));
            }
        }
        self.push_due(&mut calls, CallSlot::Roles, now, || Call::ListRoles);
        self.push_due(&mut calls, CallSlot::Entries, now, || Call::ListEntries);
        if let Some(session) = self.lease_id(now) {
            self.session_calls(&mut calls, session, candidates, now);
        }
        calls
    }

    fn session_calls(
        &mut self,
        calls: &mut Vec<Call>,
        session: LeaseId,
        candidates: &BTreeSet<EntryId>,
        now: Time,
    ) {
        if !self.registered {
            let version = self.own_version;
            let register = || Call::Register(session, version);
            self.push_due(calls, CallSlot::Register, now, register);
        }
        for (role, since) in self.vacant.clone() {
            let delay = role::delay(candidates, &role, &self.own.entry);
            let due = delay.is_some_and(|delay| since + delay <= now);
            if due && !self.held.contains_key(&role) {
                let slot = CallSlot::Role(role.clone());
                self.push_due(calls, slot, now, || Call::TakeRole(role, session));
            }
        }
        let surplus: Vec<(RoleName, Fence)> = self
            .held
            .iter()
            .filter(|(role, _)| !self.wanted.contains(*role))
            .map(|(role, fence)| (role.clone(), *fence))
            .collect();
        for (role, fence) in surplus {
            let slot = CallSlot::Role(role.clone());
            self.push_due(calls, slot, now, || Call::ReleaseRole(role, fence));
        }
    }

    fn push_due(
        &mut self,
        calls: &mut Vec<Call>,
        slot: CallSlot,
        now: Time,
        call: impl FnOnce() -> Call,
    ) {
        let next = self.next_call.get(&slot).copied().unwrap_or_default();
        if next <= now && self.in_flight.insert(slot) {
            calls.push(call());
        }
    }

    /// Handles the answer to a call that was sent at `sent`.
    ///
    /// Returns the changes of roles and further calls to make without delay.
    pub fn handle_answer(&mut self, call: Call, sent: Time, answer: Answer, now: Time) -> Effects {
        let slot = call.slot();
        self.in_flight.remove(&slot);
        let failed = answer == Answer::Failed;
        let delay = if failed {
            RETRY_DELAY
        } else {
            self.interval(&call)
        };
        self.next_call.insert(slot, now + delay);
        let list_again =
            call == Call::ListEntries && std::mem::take(&mut self.list_precedes_registration);
        let mut effects = Effects::default();
        match (call, answer) {
            (Call::Grant, Answer::Granted(lease)) => {
                self.lease = Some(Lease::new(lease, sent, lease::SESSION_TTL));
            }
            (Call::Renew(lease), Answer::Renewed(true)) => self.extend_lease(lease, sent),
            (Call::Renew(lease), Answer::Renewed(false)) => {
                self.end_session(lease, now, &mut effects)
            }
            (Call::Register(_, _), Answer::Swapped(swap)) => self.record_registration(swap, now),
            (Call::ListRoles, Answer::Listed(items)) => {
                self.update_roles(&items, now, &mut effects)
            }
            (Call::ListEntries, Answer::Listed(items)) => {
                if list_again {
                    self.next_call.insert(CallSlot::Entries, now);
                }
                self.update_entries(&items, now, &mut effects)
            }
            (Call::ReadEntry(entry), Answer::Entry(found)) => self.set_entry(entry, found),
            (Call::TakeRole(role, lease), Answer::Swapped(Swap::Done(fence))) => {
                self.gain_role(role, lease, fence, &mut effects);
            }
            (Call::TakeRole(role, _), Answer::Swapped(Swap::Conflict(_))) => {
                self.vacant.remove(&role);
            }
            (Call::ReadHolder(role), Answer::Holder(found)) => {
                self.update_holder(role, found, &mut effects)
            }
            (Call::ReleaseRole(role, _), Answer::Swapped(_)) => self.lose_role(role, &mut effects),
            _ => {}
        }
        effects
    }

    fn interval(&self, call: &Call) -> Duration {
        match call {
            Call::Grant | Call::Renew(_) => lease::RENEW_INTERVAL,
            Call::ListRoles if !self.vacant.is_empty() => VACANT_LIST_INTERVAL,
            Call::ListRoles => ROLE_LIST_INTERVAL,
            Call::ListEntries => ENTRY_LIST_INTERVAL,
            _ => Duration::ZERO,
        }
    }

    fn extend_lease(&mut self, lease: LeaseId, sent: Time) {
        if let Some(current) = &mut self.lease
            && current.fence() == lease
        {
            current.renewed(sent, lease::SESSION_TTL);
        }
    }

    /// Forgets a session that has ended in the store, which removed all of its keys.
    fn end_session(&mut self, lease: LeaseId, now: Time, effects: &mut Effects) {
        if self.lease.is_none_or(|current| current.fence() != lease) {
            return;
        }
        self.lease = None;
        self.registered = false;
        self.own_version = 0;
        self.next_call.insert(CallSlot::Session, now);
        for role in std::mem::take(&mut self.held).into_keys() {
            effects.changes.push(RoleChange::Lost(role));
        }
    }

    /// Records the result of a registration.
    ///
    /// A restarted entry conflicts with the key of its former session and retries
    /// from that version. After success the entries are listed at once: of two
    /// entries that start together, the one that registers later sees the other.
    /// A list that is in flight may not show it, so another one follows.
    fn record_registration(&mut self, swap: Swap, now: Time) {
        match swap {
            Swap::Done(version) => {
                self.registered = true;
                self.own_version = version;
                self.next_call.insert(CallSlot::Entries, now);
                self.list_precedes_registration = self.in_flight.contains(&CallSlot::Entries);
            }
            Swap::Conflict(version) => self.own_version = version,
        }
    }

    /// Updates the roles from the list of the store.
    ///
    /// A role whose key has an unknown version is read: this entry may hold it
    /// through a call whose answer was lost.
    fn update_roles(&mut self, items: &[KeyVersion], now: Time, effects: &mut Effects) {
        let listed: BTreeMap<RoleName, Version> = items
            .iter()
            .filter_map(|item| Some((item.key.strip_prefix(ROLE_PREFIX)?.into(), item.version)))
            .collect();
        let lost: Vec<RoleName> = self
            .held
            .iter()
            .filter(|(role, fence)| listed.get(*role) != Some(*fence))
            .map(|(role, _)| role.clone())
            .collect();
        for role in lost {
            self.lose_role(role, effects);
        }
        for role in self.wanted.clone() {
            match listed.get(&role) {
                Some(version) => self.role_occupied(role, *version, effects),
                None => {
                    self.holders.remove(&role);
                    self.vacant.entry(role).or_insert(now);
                }
            }
        }
        if !self.vacant.is_empty() {
            self.next_call
                .insert(CallSlot::Roles, now + VACANT_LIST_INTERVAL);
        }
    }

    fn role_occupied(&mut self, role: RoleName, version: Version, effects: &mut Effects) {
        self.vacant.remove(&role);
        let known = self.holders.get(&role).map(|(version, _)| *version);
        if known != Some(version) && self.in_flight.insert(CallSlot::Role(role.clone())) {
            effects.calls.push(Call::ReadHolder(role));
        }
    }

    /// Updates the entries from the list of the store, and reads those whose version changed.
    fn update_entries(&mut self, items: &[KeyVersion], now: Time, effects: &mut Effects) {
        let listed: BTreeMap<EntryId, Version> = items
            .iter()
            .filter_map(|item| Some((item.key.strip_prefix(ENTRY_PREFIX)?.into(), item.version)))
            .collect();
        self.entries.retain(|entry, _| listed.contains_key(entry));
        if self.registered && listed.get(&self.own.entry) != Some(&self.own_version) {
            self.registered = false;
            self.next_call.insert(CallSlot::Register, now);
        }
        for (entry, version) in listed {
            let known = self.entries.get(&entry).map(|(version, _)| *version);
            let slot = CallSlot::Entry(entry.clone());
            if known != Some(version) && entry != self.own.entry && self.in_flight.insert(slot) {
                effects.calls.push(Call::ReadEntry(entry));
            }
        }
    }

    fn set_entry(&mut self, entry: EntryId, found: Option<(Version, Registration)>) {
        match found {
            Some(found) => self.entries.insert(entry, found),
            None => self.entries.remove(&entry),
        };
    }

    /// Updates the holder of a role.
    ///
    /// A key that names this entry's current session proves that the entry holds
    /// the role, even if the answer to the call that took it was lost.
    fn update_holder(
        &mut self,
        role: RoleName,
        found: Option<(Version, Holder)>,
        effects: &mut Effects,
    ) {
        let Some((fence, holder)) = found else {
            return;
        };
        self.vacant.remove(&role);
        self.holders.insert(role.clone(), (fence, holder.clone()));
        if holder.holder == self.own.entry {
            self.gain_role(role, holder.session, fence, effects);
        }
    }

    fn gain_role(&mut self, role: RoleName, lease: LeaseId, fence: Fence, effects: &mut Effects) {
        self.vacant.remove(&role);
        let current = self.lease.is_some_and(|current| current.fence() == lease);
        if current && self.held.insert(role.clone(), fence) != Some(fence) {
            effects.changes.push(RoleChange::Gained(role, fence));
        }
    }

    fn lose_role(&mut self, role: RoleName, effects: &mut Effects) {
        self.holders.remove(&role);
        if self.held.remove(&role).is_some() {
            effects.changes.push(RoleChange::Lost(role));
        }
    }
}

/// Effects of an answer.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Calls to make without delay.
    pub calls: Vec<Call>,
    /// Changes of the roles that this entry holds.
    pub changes: Vec<RoleChange>,
}

impl Call {
    fn slot(&self) -> CallSlot {
        match self {
            Self::Grant | Self::Renew(_) => CallSlot::Session,
            Self::Register(_, _) => CallSlot::Register,
            Self::ListRoles => CallSlot::Roles,
            Self::ListEntries => CallSlot::Entries,
            Self::ReadEntry(entry) => CallSlot::Entry(entry.clone()),
            Self::TakeRole(role, _) | Self::ReadHolder(role) | Self::ReleaseRole(role, _) => {
                CallSlot::Role(role.clone())
            }
        }
    }
}
