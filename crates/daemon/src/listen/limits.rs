//! Number of callers' connections.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::settings::Limits;

/// Open connections of all callers, shared by the I/O threads.
#[derive(Debug)]
pub(crate) struct Counts {
    caller: usize,
    total: usize,
    open: Mutex<Open>,
}

#[derive(Debug, Default)]
struct Open {
    total: usize,
    callers: BTreeMap<IpAddr, usize>,
}

/// Right to one connection; given back when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    caller: IpAddr,
    counts: Arc<Counts>,
    /// Connections of all callers, this one included.
    pub(crate) total: usize,
}

impl Counts {
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            caller: limits.caller_connections,
            total: limits.connections,
            open: Mutex::default(),
        }
    }

    /// Counts a connection of a caller; `None` if it has too many or all have.
    pub(crate) fn admit(self: &Arc<Self>, caller: IpAddr) -> Option<Permit> {
        let mut open = self.lock();
        let own = open.callers.get(&caller).copied().unwrap_or(0);
        if open.total >= self.total || own >= self.caller {
            return None;
        }
        open.total += 1;
        open.callers.insert(caller, own + 1);
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
        if let Some(own) = open.callers.get_mut(&self.caller) {
            *own -= 1;
            if *own == 0 {
                open.callers.remove(&self.caller);
            }
        }
    }
}
