//! The session of an entry with the store, and its roles.
//!
//! A deterministic state machine: [`Control::due`] gives the calls to make,
//! [`Control::done`] takes their answers.

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

use crate::platform::Item;
use crate::platform::LeaseId;
use crate::platform::Swap;
use crate::platform::Version;

/// Period of the lists of roles.
pub const ROLES: Duration = Duration::from_secs(2);

/// Period of the lists of roles while one has no holder.
pub const VACANT: Duration = Duration::from_millis(500);

/// Period of the lists of entries.
pub const ENTRIES: Duration = Duration::from_secs(5);

/// Time after which a failed call is made again.
pub const RETRY: Duration = Duration::from_millis(500);

/// Prefix of the keys of entries.
pub const ENTRY: &str = "entry/";

/// Prefix of the keys of roles.
pub const ROLE: &str = "role/";

/// Name of a role, such as `fleet/north`.
pub type Name = CompactString;

/// An entry as the registry of the store shows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
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
    Roles,
    /// List the registered entries.
    Entries,
    /// Read the registry key of an entry.
    Entry(EntryId),
    /// Create the key of a role.
    Take(Name, LeaseId),
    /// Read the key of a role whose version is new to this entry.
    Check(Name),
    /// Remove the key of a role that is no longer wanted.
    Release(Name, Fence),
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
    Listed(Vec<Item>),
    /// An entry and the version of its key.
    Entry(Option<(Version, Entry)>),
    /// Holder of a role and the version of its key.
    Holder(Option<(Version, Holder)>),
    /// No usable answer.
    Failed,
}

/// A change of the roles of this entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// The entry holds the role with this fence.
    Gained(Name, Fence),
    /// The entry no longer holds the role.
    Lost(Name),
}

/// Session and roles of one entry.
#[derive(Clone, Debug)]
pub struct Control {
    own: Entry,
    session: Option<Lease>,
    registered: bool,
    version: Version,
    wanted: BTreeSet<Name>,
    held: BTreeMap<Name, Fence>,
    vacant: BTreeMap<Name, Time>,
    holders: BTreeMap<Name, (Version, Holder)>,
    book: BTreeMap<EntryId, (Version, Entry)>,
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
    Role(Name),
}

impl Control {
    /// Creates the state of an entry without a session.
    pub fn new(own: Entry) -> Self {
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
    pub fn want(&mut self, roles: BTreeSet<Name>) {
        self.vacant.retain(|role, _| roles.contains(role));
        self.holders.retain(|role, _| roles.contains(role));
        self.wanted = roles;
    }

    /// Returns the registered entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.book.values().map(|(_, entry)| entry)
    }

    /// Returns the entry as the registry shows it.
    pub fn own(&self) -> &Entry {
        &self.own
    }

    /// Returns the roles that this entry holds, with their fences.
    pub fn held(&self) -> &BTreeMap<Name, Fence> {
        &self.held
    }

    /// Returns the known holders of roles, with their fences.
    pub fn holders(&self) -> impl Iterator<Item = (&Name, &EntryId, Fence)> {
        let known = self.holders.iter();
        known.map(|(role, (fence, holder))| (role, &holder.holder, *fence))
    }

    /// Returns the lease under which this entry may act in a role now.
    ///
    /// `None` once the session may have ended, also if a pause kept this entry
    /// from noticing.
    pub fn permit(&self, role: &str, now: Time) -> Option<Lease> {
        let fence = *self.held.get(role)?;
        let session = self.session.filter(|lease| lease.valid(now))?;
        Some(session.with_fence(fence))
    }

    /// Returns the session lease while it may be relied on.
    pub fn session(&self, now: Time) -> Option<LeaseId> {
        let lease = self.session.filter(|lease| lease.valid(now))?;
        Some(lease.fence())
    }

    /// Returns the calls to make now; `candidates` are the live entries.
    pub fn due(&mut self, candidates: &BTreeSet<EntryId>, now: Time) -> Vec<Call> {
        let mut calls = Vec::new();
        match self.session {
            None => self.push(&mut calls, Slot::Session, now, || Call::Grant),
            Some(lease) => {
                let lease = lease.fence();
                self.push(&mut calls, Slot::Session, now, || Call::Renew(lease));
            }
        }
        self.push(&mut calls, Slot::Roles, now, || Call::Roles);
        self.push(&mut calls, Slot::Entries, now, || Call::Entries);
        if let Some(session) = self.session(now) {
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
                self.push(calls, slot, now, || Call::Take(role, session));
            }
        }
        let surplus: Vec<(Name, Fence)> = self
            .held
            .iter()
            .filter(|(role, _)| !self.wanted.contains(*role))
            .map(|(role, fence)| (role.clone(), *fence))
            .collect();
        for (role, fence) in surplus {
            let slot = Slot::Role(role.clone());
            self.push(calls, slot, now, || Call::Release(role, fence));
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
    pub fn done(&mut self, call: Call, sent: Time, answer: Answer, now: Time) -> Done {
        let slot = call.slot();
        self.busy.remove(&slot);
        let failed = answer == Answer::Failed;
        let period = if failed { RETRY } else { self.period(&call) };
        self.next.insert(slot, now + period);
        let mut done = Done::default();
        match (call, answer) {
            (Call::Grant, Answer::Granted(lease)) => {
                self.session = Some(Lease::new(lease, sent, lease::SESSION_TTL));
            }
            (Call::Renew(lease), Answer::Renewed(true)) => self.renewed(lease, sent),
            (Call::Renew(lease), Answer::Renewed(false)) => self.ended(lease, now, &mut done),
            (Call::Register(_, _), Answer::Swapped(swap)) => self.register(swap, now),
            (Call::Roles, Answer::Listed(items)) => self.roles(&items, now, &mut done),
            (Call::Entries, Answer::Listed(items)) => self.list(&items, now, &mut done),
            (Call::Entry(entry), Answer::Entry(found)) => self.found(entry, found),
            (Call::Take(role, lease), Answer::Swapped(Swap::Done(fence))) => {
                self.gain(role, lease, fence, &mut done);
            }
            (Call::Take(role, _), Answer::Swapped(Swap::Conflict(_))) => {
                self.vacant.remove(&role);
            }
            (Call::Check(role), Answer::Holder(found)) => self.check(role, found, &mut done),
            (Call::Release(role, _), Answer::Swapped(_)) => self.lose(role, &mut done),
            _ => {}
        }
        done
    }

    fn period(&self, call: &Call) -> Duration {
        match call {
            Call::Grant | Call::Renew(_) => lease::RENEW_INTERVAL,
            Call::Roles if !self.vacant.is_empty() => VACANT,
            Call::Roles => ROLES,
            Call::Entries => ENTRIES,
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
    fn ended(&mut self, lease: LeaseId, now: Time, done: &mut Done) {
        if self.session.is_none_or(|session| session.fence() != lease) {
            return;
        }
        self.session = None;
        self.registered = false;
        self.version = 0;
        self.next.insert(Slot::Session, now);
        for role in std::mem::take(&mut self.held).into_keys() {
            done.notices.push(Notice::Lost(role));
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
    fn roles(&mut self, items: &[Item], now: Time, done: &mut Done) {
        let listed: BTreeMap<Name, Version> = items
            .iter()
            .filter_map(|item| Some((item.key.strip_prefix(ROLE)?.into(), item.version)))
            .collect();
        let lost: Vec<Name> = self
            .held
            .iter()
            .filter(|(role, fence)| listed.get(*role) != Some(*fence))
            .map(|(role, _)| role.clone())
            .collect();
        for role in lost {
            self.lose(role, done);
        }
        for role in self.wanted.clone() {
            match listed.get(&role) {
                Some(version) => self.occupied(role, *version, done),
                None => {
                    self.holders.remove(&role);
                    self.vacant.entry(role).or_insert(now);
                }
            }
        }
        if !self.vacant.is_empty() {
            self.next.insert(Slot::Roles, now + VACANT);
        }
    }

    fn occupied(&mut self, role: Name, version: Version, done: &mut Done) {
        self.vacant.remove(&role);
        let known = self.holders.get(&role).map(|(version, _)| *version);
        if known != Some(version) && self.busy.insert(Slot::Role(role.clone())) {
            done.calls.push(Call::Check(role));
        }
    }

    /// Reads the entries whose keys changed; only one call each is needed.
    fn list(&mut self, items: &[Item], now: Time, done: &mut Done) {
        let listed: BTreeMap<EntryId, Version> = items
            .iter()
            .filter_map(|item| Some((item.key.strip_prefix(ENTRY)?.into(), item.version)))
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
                done.calls.push(Call::Entry(entry));
            }
        }
    }

    fn found(&mut self, entry: EntryId, found: Option<(Version, Entry)>) {
        match found {
            Some(found) => self.book.insert(entry, found),
            None => self.book.remove(&entry),
        };
    }

    /// A key that carries the current session is held, whatever became of the answer.
    fn check(&mut self, role: Name, found: Option<(Version, Holder)>, done: &mut Done) {
        let Some((fence, holder)) = found else {
            return;
        };
        self.vacant.remove(&role);
        self.holders.insert(role.clone(), (fence, holder.clone()));
        if holder.holder == self.own.entry {
            self.gain(role, holder.session, fence, done);
        }
    }

    fn gain(&mut self, role: Name, lease: LeaseId, fence: Fence, done: &mut Done) {
        self.vacant.remove(&role);
        let current = self.session.is_some_and(|session| session.fence() == lease);
        if current && self.held.insert(role.clone(), fence) != Some(fence) {
            done.notices.push(Notice::Gained(role, fence));
        }
    }

    fn lose(&mut self, role: Name, done: &mut Done) {
        self.holders.remove(&role);
        if self.held.remove(&role).is_some() {
            done.notices.push(Notice::Lost(role));
        }
    }
}

/// What follows from an answer.
#[derive(Clone, Debug, Default)]
pub struct Done {
    /// Calls to make at once.
    pub calls: Vec<Call>,
    /// Changes of roles.
    pub notices: Vec<Notice>,
}

impl Call {
    fn slot(&self) -> Slot {
        match self {
            Self::Grant | Self::Renew(_) => Slot::Session,
            Self::Register(_, _) => Slot::Register,
            Self::Roles => Slot::Roles,
            Self::Entries => Slot::Entries,
            Self::Entry(entry) => Slot::Entry(entry.clone()),
            Self::Take(role, _) | Self::Check(role) | Self::Release(role, _) => {
                Slot::Role(role.clone())
            }
        }
    }
}
