//! When an entry asks the platform for the configuration and the VM list.
//!
//! One entry of each zone holds a pending watch and reads the VM list; every
//! entry asks for a newer configuration in addition.

use std::time::Duration;

use wigeonhinge::Time;

use crate::platform::Version;

/// Period of the calls that ask for a newer configuration.
pub const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Period after a call that failed.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest wait of a watch.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Period of reads of the VM list.
pub const VM_LIST_PERIOD: Duration = Duration::from_secs(1);

/// Age of the last answer up to which the store counts as reachable.
pub const MAX_STORE_AGE: Duration = Duration::from_secs(2);

/// A call to make.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Ask whether a version above this one exists.
    Poll(Version),
    /// Wait for a version above this one.
    Watch(Version),
    /// Read the VM list.
    Vms,
}

/// Calls under way and due.
#[derive(Clone, Debug, Default)]
pub struct CallSchedule {
    seen: Version,
    reached: Option<Time>,
    poll: Timer,
    watch: Timer,
    vms: Timer,
}

/// One call at a time, not before `next`.
#[derive(Clone, Copy, Debug, Default)]
struct Timer {
    busy: bool,
    next: Time,
}

impl CallSchedule {
    /// Returns the calls to make now; `first` tells whether this entry acts for its zone.
    pub fn due(&mut self, first: bool, now: Time) -> Vec<Call> {
        let mut calls = Vec::new();
        if self.poll.start(now) {
            calls.push(Call::Poll(self.seen));
        }
        if first && self.watch.start(now) {
            calls.push(Call::Watch(self.seen));
        }
        if first && self.vms.start(now) {
            calls.push(Call::Vms);
        }
        calls
    }

    /// Takes note that a call has ended.
    pub fn done(&mut self, call: Call, answered: bool, now: Time) {
        if answered {
            self.store_answered(now);
        }
        let (timer, period) = match call {
            Call::Poll(_) => (&mut self.poll, POLL_PERIOD),
            Call::Watch(_) => (&mut self.watch, Duration::ZERO),
            Call::Vms => (&mut self.vms, VM_LIST_PERIOD),
        };
        let period = if answered { period } else { RETRY_DELAY };
        *timer = Timer {
            busy: false,
            next: now + period,
        };
    }

    /// Takes note of a version that need not be asked for again.
    pub fn seen(&mut self, version: Version) {
        self.seen = self.seen.max(version);
    }

    /// Takes note that the store has answered.
    pub fn store_answered(&mut self, now: Time) {
        self.reached = Some(now);
    }

    /// Returns the time since the store last answered; `None` for never.
    pub fn store_age(&self, now: Time) -> Option<Duration> {
        self.reached.map(|reached| now.saturating_sub(reached))
    }
}

impl Timer {
    fn start(&mut self, now: Time) -> bool {
        let due = !self.busy && self.next <= now;
        self.busy |= due;
        due
    }
}
