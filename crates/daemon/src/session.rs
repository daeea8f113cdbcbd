//! The session of an entry with the store, and its roles.
//!
//! A deterministic state machine: [`Session::due_calls`] gives the calls to make,
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

/// Period of the lists of roles.
pub const ROLE_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Period of the lists of roles while one has no holder.
pub const VACANT_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Period of the lists of entries.
pub const ENTRY_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a failed call is made again.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Prefix of the keys of entries.
pub const ENTRY_PREFIX: &str = "entry/";

/// Prefix of the keys of roles.
pub const ROLE_PREFIX: &str = "role/";

/// Name of a role, such as `fleet/north`.
pub type RoleName = CompactString;

/// An entry as the registry of the store shows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Name.
    pub entry: EntryId,
    /// Availability zone.
    pub zone: CompactString,
    /// Address for peers.
    pub address: CompactString,
    /// Address for operators.
    pub admin: CompactString,
}

/// Value of a role's key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Entry that holds the role.
    pub holder: EntryId,
    /// Its session lease.
    pub session: LeaseId,
}

/// A call to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Open the session lease.
    Grant,
    /// Renew the session lease.
    Renew(LeaseId),
    /// Write the entry's own registry key, which has this version.
    Register(LeaseId, Version),
    /// List the roles that have a holder.
    ListRoles,
    /// List the registered entries.
    ListEntries,
    /// Read the registry key of an entry.
    ReadEntry(EntryId),
    /// Create the key of a role.
    TakeRole(RoleName, LeaseId),
    /// Read the key of a role whose version is new to this entry.
    ReadHolder(RoleName),
    /// Remove the key of a role that is no longer wanted.
    ReleaseRole(RoleName, Fence),
}

/// Answer to a call; [`Answer::Failed`] for every error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The session lease was opened.
    Granted(LeaseId),
    /// The session lease was renewed, or has ended.
    Renewed(bool),
    /// A write was carried out or not.
    Swapped(Swap),
    /// Keys of a prefix.
    Listed(Vec<KeyVersion>),
    /// An entry and the version of its key.
    Entry(Option<(Version, Registration)>),
    /// Holder of a role and the version of its key.
    Holder(Option<(Version, Holder)>),
    /// No usable answer.
    Failed,
}

/// A change of the roles of this entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoleChange {
    /// The entry holds the role with this fence.
    Gained(RoleName, Fence),
    /// The entry no longer holds the role.
    Lost(RoleName),
}

/// Session and roles of one entry.
#[derive(Clone, Debug)]
pub struct Session {
    own: Registration,
    session: Option<Lease>,
    registered: bool,
    version: Version,
    wanted: BTreeSet<RoleName>,
    held: BTreeMap<RoleName, Fence>,
    vacant: BTreeMap<RoleName, Time>,
    holders: BTreeMap<RoleName, (Version, Holder)>,
    book: BTreeMap<EntryId, (Version, Registration)>,
    busy: BTreeSet<Slot>,
    next: BTreeMap<Slot, Time>,
}

/// Calls of one slot are made one at a time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Slot {
    Session,
    Register,
    Roles,
    Entries,
    Entry(EntryId),
    Role(RoleName),
}

impl Session {
    /// Creates the state of an entry without a session.
    pub fn new(own: Registration) -> Self {
        Self {
            own,
            session: None,
            registered: false,
            version: 0,
            wanted: BTreeSet::new(),
            held: BTreeMap::new(),
            vacant: BTreeMap::new(),
            holders: BTreeMap::new(),
            book: BTreeMap::new(),
            busy: BTreeSet::new(),
            next: BTreeMap::new(),
        }
    }

    /// Sets the roles that have to have a holder.
    pub fn set_wanted(&mut self, roles: BTreeSet<RoleName>) {
        self.vacant.retain(|role, _| roles.contains(role));
        self.holders.retain(|role, _| roles.contains(role));
        self.wanted = roles;
    }

    /// Returns the registered entries.
    pub fn entries(&self) -> impl Iterator<Item = &Registration> {
        self.book.values().map(|(_, entry)| entry)
    }

    /// Returns the entry as the registry shows it.
    pub fn own(&self) -> &Registration {
        &self.own
    }

    /// Returns the roles that this entry holds, with their fences.
    pub fn held(&self) -> &BTreeMap<RoleName, Fence> {
        &self.held
    }

    /// Returns the known holders of roles, with their fences.
    pub fn holders(&self) -> impl Iterator<Item = (&RoleName, &EntryId, Fence)> {
        let known = self.holders.iter();
        known.map(|(role, (fence, holder))| (role, &holder.holder, *fence))
    }

    /// Returns the lease under which this entry may act in a role now.
    ///
    /// `None` once the session may have ended, also if a pause kept this entry
    /// from noticing.
    pub fn role_lease(&self, role: &str, now: Time) -> Option<Lease> {
        let fence = *self.held.get(role)?;
        let session = self.session.filter(|lease| lease.valid(now))?;
        Some(session.with_fence(fence))
    }

    /// Returns the session lease while it may be relied on.
    pub fn lease_id(&self, now: Time) -> Option<LeaseId> {
        let lease = self.session.filter(|lease| lease.valid(now))?;
        Some(lease.fence())
    }

    /// Returns the calls to make now; `candidates` are the live entries.
    pub fn due_calls(&mut self, candidates: &BTreeSet<EntryId>, now: Time) -> Vec<Call> {
        let mut calls = Vec::new();
        match self.session {
            None => self.push(&mut calls, Slot::Session, now, || Call::Grant),
            Some(lease) => {
                let lease = lease.fence();
                self.push(&mut calls, Slot::Session, now, || Call::Renew(lease));
            }
        }
        self.push(&mut calls, Slot::Roles, now, || Call::ListRoles);
        self.push(&mut calls, Slot::Entries, now, || Call::ListEntries);
        if let Some(session) = self.lease_id(now) {
            self.due_session(&mut calls, session, candidates, now);
        }
        calls
    }

    fn due_session(
        &mut self,
        calls: &mut Vec<Call>,
        session: LeaseId,
        candidates: &BTreeSet<EntryId>,
        now: Time,
    ) {
        if !self.registered {
            let version = self.version;
            let register = || Call::Register(session, version);
            self.push(calls, Slot::Register, now, register);
        }
        for (role, since) in self.vacant.clone() {
            let delay = role::delay(candidates, &role, &self.own.entry);
            let due = delay.is_some_and(|delay| since + delay <= now);
            if due && !self.held.contains_key(&role) {
                let slot = Slot::Role(role.clone());
                self.push(calls, slot, now, || Call::TakeRole(role, session));
            }
        }
        let surplus: Vec<(RoleName, Fence)> = self
            .held
            .iter()
            .filter(|(role, _)| !self.wanted.contains(*role))
            .map(|(role, fence)| (role.clone(), *fence))
            .collect();
        for (role, fence) in surplus {
            let slot = Slot::Role(role.clone());
            self.push(calls, slot, now, || Call::ReleaseRole(role, fence));
        }
    }

    fn push(&mut self, calls: &mut Vec<Call>, slot: Slot, now: Time, call: impl FnOnce() -> Call) {
        let next = self.next.get(&slot).copied().unwrap_or_default();
        if next <= now && self.busy.insert(slot) {
            calls.push(call());
        }
    }

    /// Takes the answer to a call that was sent at `sent`.
    ///
    /// Returns the changes of roles, and a call to make at once.
    pub fn handle_answer(&mut self, call: Call, sent: Time, answer: Answer, now: Time) -> Effects {
        let slot = call.slot();
        self.busy.remove(&slot);
        let failed = answer == Answer::Failed;
        let period = if failed {
            RETRY_DELAY
        } else {
            self.period(&call)
        };
        self.next.insert(slot, now + period);
        let mut effects = Effects::default();
        match (call, answer) {
            (Call::Grant, Answer::Granted(lease)) => {
                self.session = Some(Lease::new(lease, sent, lease::SESSION_TTL));
            }
            (Call::Renew(lease), Answer::Renewed(true)) => self.renewed(lease, sent),
            (Call::Renew(lease), Answer::Renewed(false)) => self.ended(lease, now, &mut effects),
            (Call::Register(_, _), Answer::Swapped(swap)) => self.register(swap, now),
            (Call::ListRoles, Answer::Listed(items)) => self.roles(&items, now, &mut effects),
            (Call::ListEntries, Answer::Listed(items)) => self.list(&items, now, &mut effects),
            (Call::ReadEntry(entry), Answer::Entry(found)) => self.found(entry, found),
            (Call::TakeRole(role, lease), Answer::Swapped(Swap::Done(fence))) => {
                self.gain(role, lease, fence, &mut effects);
            }
            (Call::TakeRole(role, _), Answer::Swapped(Swap::Conflict(_))) => {
                self.vacant.remove(&role);
            }
            (Call::ReadHolder(role), Answer::Holder(found)) => {
                self.check(role, found, &mut effects)
            }
            (Call::ReleaseRole(role, _), Answer::Swapped(_)) => self.lose(role, &mut effects),
            _ => {}
        }
        effects
    }

    fn period(&self, call: &Call) -> Duration {
        match call {
            Call::Grant | Call::Renew(_) => lease::RENEW_INTERVAL,
            Call::ListRoles if !self.vacant.is_empty() => VACANT_LIST_INTERVAL,
            Call::ListRoles => ROLE_LIST_INTERVAL,
            Call::ListEntries => ENTRY_LIST_INTERVAL,
            _ => Duration::ZERO,
        }
    }

    fn renewed(&mut self, lease: LeaseId, sent: Time) {
        if let Some(session) = &mut self.session
            && session.fence() == lease
        {
            session.renewed(sent, lease::SESSION_TTL);
        }
    }

    /// The session has ended in the store, and every key with it.
    fn ended(&mut self, lease: LeaseId, now: Time, effects: &mut Effects) {
        if self.session.is_none_or(|session| session.fence() != lease) {
            return;
        }
        self.session = None;
        self.registered = false;
        self.version = 0;
        self.next.insert(Slot::Session, now);
        for role in std::mem::take(&mut self.held).into_keys() {
            effects.changes.push(RoleChange::Lost(role));
        }
    }

    /// Takes note of the entry's own registry key.
    ///
    /// An entry that restarted finds its key of the former session. Of two entries
    /// that start together, the one that registered later lists the other.
    fn register(&mut self, swap: Swap, now: Time) {
        match swap {
            Swap::Done(version) => {
                self.registered = true;
                self.version = version;
                self.next.insert(Slot::Entries, now);
            }
            Swap::Conflict(version) => self.version = version,
        }
    }

    /// Compares the roles with the store's list.
    ///
    /// A role whose key has an unknown version is read: it may be held by this
    /// entry after a call whose answer was lost.
    fn roles(&mut self, items: &[KeyVersion], now: Time, effects: &mut Effects) {
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
            self.lose(role, effects);
        }
        for role in self.wanted.clone() {
            match listed.get(&role) {
                Some(version) => self.occupied(role, *version, effects),
                None => {
                    self.holders.remove(&role);
                    self.vacant.entry(role).or_insert(now);
                }
            }
        }
        if !self.vacant.is_empty() {
            self.next.insert(Slot::Roles, now + VACANT_LIST_INTERVAL);
        }
    }

    fn occupied(&mut self, role: RoleName, version: Version, effects: &mut Effects) {
        self.vacant.remove(&role);
        let known = self.holders.get(&role).map(|(version, _)| *version);
        if known != Some(version) && self.busy.insert(Slot::Role(role.clone())) {
            effects.calls.push(Call::ReadHolder(role));
        }
    }

    /// Reads the entries whose keys changed; only one call each is needed.
    fn list(&mut self, items: &[KeyVersion], now: Time, effects: &mut Effects) {
        let listed: BTreeMap<EntryId, Version> = items
            .iter()
            .filter_map(|item| Some((item.key.strip_prefix(ENTRY_PREFIX)?.into(), item.version)))
            .collect();
        self.book.retain(|entry, _| listed.contains_key(entry));
        if self.registered && listed.get(&self.own.entry) != Some(&self.version) {
            self.registered = false;
            self.next.insert(Slot::Register, now);
        }
        for (entry, version) in listed {
            let known = self.book.get(&entry).map(|(version, _)| *version);
            let slot = Slot::Entry(entry.clone());
            if known != Some(version) && entry != self.own.entry && self.busy.insert(slot) {
                effects.calls.push(Call::ReadEntry(entry));
            }
        }
    }

    fn found(&mut self, entry: EntryId, found: Option<(Version, Registration)>) {
        match found {
            Some(found) => self.book.insert(entry, found),
            None => self.book.remove(&entry),
        };
    }

    /// A key that carries the current session is held, whatever became of the answer.
    fn check(&mut self, role: RoleName, found: Option<(Version, Holder)>, effects: &mut Effects) {
        let Some((fence, holder)) = found else {
            return;
        };
        self.vacant.remove(&role);
        self.holders.insert(role.clone(), (fence, holder.clone()));
        if holder.holder == self.own.entry {
            self.gain(role, holder.session, fence, effects);
        }
    }

    fn gain(&mut self, role: RoleName, lease: LeaseId, fence: Fence, effects: &mut Effects) {
        self.vacant.remove(&role);
        let current = self.session.is_some_and(|session| session.fence() == lease);
        if current && self.held.insert(role.clone(), fence) != Some(fence) {
            effects.changes.push(RoleChange::Gained(role, fence));
        }
    }

    fn lose(&mut self, role: RoleName, effects: &mut Effects) {
        self.holders.remove(&role);
        if self.held.remove(&role).is_some() {
            effects.changes.push(RoleChange::Lost(role));
        }
    }
}

/// What follows from an answer.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Calls to make at once.
    pub calls: Vec<Call>,
    /// Changes of roles.
    pub changes: Vec<RoleChange>,
}

impl Call {
    fn slot(&self) -> Slot {
        match self {
            Self::Grant | Self::Renew(_) => Slot::Session,
            Self::Register(_, _) => Slot::Register,
            Self::ListRoles => Slot::Roles,
            Self::ListEntries => Slot::Entries,
            Self::ReadEntry(entry) => Slot::Entry(entry.clone()),
            Self::TakeRole(role, _) | Self::ReadHolder(role) | Self::ReleaseRole(role, _) => {
                Slot::Role(role.clone())
            }
        }
    }
}
