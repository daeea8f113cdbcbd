//! Limits on the number of callers' connections.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::settings::Limits;

/// Counts the open connections of all I/O threads and enforces their limits.
#[derive(Debug)]
pub(crate) struct ConnectionCounts {
    caller_limit: usize,
    total_limit: usize,
    open: Mutex<Open>,
}

#[derive(Debug, Default)]
struct Open {
    total: usize,
    callers: BTreeMap<IpAddr, usize>,
}

/// Permit for one connection; releases it when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    caller: IpAddr,
    counts: Arc<ConnectionCounts>,
    /// Open connections of all callers when the permit was issued, including this one.
    pub(crate) total: usize,
}

impl ConnectionCounts {
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            caller_limit: limits.caller_connections,
            total_limit: limits.connections,
            open: Mutex::default(),
        }
    }

    /// Counts a connection of a caller; `None` if the limit for one caller or for all is reached.
    pub(crate) fn try_acquire(self: &Arc<Self>, caller: IpAddr) -> Option<Permit> {
        let mut open = self.lock();
        let current = open.callers.get(&caller).copied().unwrap_or(0);
        if open.total >= self.total_limit || current >= self.caller_limit {
            return None;
        }
        open.total += 1;
        open.callers.insert(caller, current + 1);
        Some(Permit {
            caller,
            counts: Arc::clone(self),
            total: open.total,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut open = self.counts.lock();
        open.total -= 1;
        if let Some(count) = open.callers.get_mut(&self.caller) {
            *count -= 1;
            if *count == 0 {
                open.callers.remove(&self.caller);
            }
        }
    }
}
