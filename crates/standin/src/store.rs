//! The key-value store: compare-and-swap on single keys and session leases.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// Bytes that a value may have.
pub const VALUE_BYTES: usize = 1_000_000;

/// State of the store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    keys: BTreeMap<String, Key>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

/// A key; kept after its removal, because its version never goes down.
#[derive(Clone, Debug)]
struct Key {
    version: u64,
    value: Option<Value>,
    lease: Option<u64>,
}

#[derive(Clone, Debug)]
struct Lease {
    holder: String,
    ttl: Duration,
    end: Instant,
}

/// Why a write was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The key has this version.
    Conflict(u64),
    /// The lease has ended.
    NoLease,
    /// The value is too large.
    TooLarge,
}

impl Store {
    /// Returns the version and the value of a key.
    pub fn get(&self, key: &str) -> Option<(u64, &Value)> {
        let entry = self.keys.get(key)?;
        Some((entry.version, entry.value.as_ref()?))
    }

    /// Returns the version of a key; 0 while it is absent.
    pub fn version(&self, key: &str) -> u64 {
        self.get(key).map_or(0, |(version, _)| version)
    }

    /// Writes a key if its version is `expect`.
    ///
    /// # Errors
    ///
    /// Fails if the version differs, the lease has ended or the value is too large.
    pub fn put(
        &mut self,
        key: &str,
        value: Value,
        expect: u64,
        lease: Option<u64>,
    ) -> Result<u64, Refusal> {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(Refusal::NoLease);
        }
        if value.to_string().len() > VALUE_BYTES {
            return Err(Refusal::TooLarge);
        }
        self.expect(key, expect)?;
        let last = self.keys.get(key).map_or(0, |entry| entry.version);
        let version = last + 1;
        let entry = Key {
            version,
            value: Some(value),
            lease,
        };
        self.keys.insert(key.to_owned(), entry);
        Ok(version)
    }

    /// Removes a key if its version is `expect`.
    ///
    /// # Errors
    ///
    /// Fails if the version differs.
    pub fn delete(&mut self, key: &str, expect: u64) -> Result<u64, Refusal> {
        self.expect(key, expect)?;
        if let Some(entry) = self.keys.get_mut(key) {
            entry.value = None;
            entry.lease = None;
        }
        Ok(expect)
    }

    fn expect(&self, key: &str, expect: u64) -> Result<(), Refusal> {
        match self.version(key) {
            version if version == expect => Ok(()),
            version => Err(Refusal::Conflict(version)),
        }
    }

    /// Lists the keys that begin with a prefix, with their versions.
    pub fn list(&self, prefix: &str) -> Vec<(&str, u64)> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.value.is_some())
            .map(|(key, entry)| (key.as_str(), entry.version))
            .collect()
    }

    /// Opens a lease.
    pub fn grant(&mut self, holder: &str, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        let lease = Lease {
            holder: holder.to_owned(),
            ttl,
            end: now + ttl,
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Extends a lease; `false` if it has ended.
    pub fn renew(&mut self, lease: u64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.end = now + lease.ttl;
        true
    }

    /// Ends a lease and removes its keys; `false` if it has ended already.
    pub fn revoke(&mut self, lease: u64) -> bool {
        for entry in self.keys.values_mut() {
            if entry.lease == Some(lease) {
                entry.value = None;
                entry.lease = None;
            }
        }
        self.leases.remove(&lease).is_some()
    }

    /// Ends every lease of a holder.
    pub fn lapse(&mut self, holder: &str) {
        self.revoke_where(|lease| lease.holder == holder);
    }

    /// Ends the leases whose time is over.
    pub fn tick(&mut self, now: Instant) {
        self.revoke_where(|lease| lease.end <= now);
    }

    fn revoke_where(&mut self, ended: impl Fn(&Lease) -> bool) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| ended(lease))
            .map(|(id, _)| *id)
            .collect();
        for lease in over {
            self.revoke(lease);
        }
    }
}
