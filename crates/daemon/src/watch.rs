//! Schedule of the calls that read the configuration and the VM list from the platform.
//!
//! Every entry polls for a newer configuration. One entry of each zone also
//! keeps a watch (a long poll) pending and reads the VM list.

use std::time::Duration;

use wigeonhinge::Time;

use crate::platform::Version;

/// Period of the polls for a newer configuration.
pub const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Delay after a failed call.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest time that the platform holds a watch without a newer version.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Period of the reads of the VM list.
pub const VM_LIST_PERIOD: Duration = Duration::from_secs(1);

/// Longest time since the last answer of the store for which it counts as reachable.
pub const MAX_STORE_AGE: Duration = Duration::from_secs(2);

/// Call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read the configuration if its version is above this one, without waiting.
    Poll(Version),
    /// Wait for a configuration whose version is above this one.
    Watch(Version),
    /// Read the VM list.
    Vms,
}

/// Decides which calls are due, and tracks when the store last answered.
#[derive(Clone, Debug, Default)]
pub struct CallSchedule {
    seen: Version,
    answered_at: Option<Time>,
    poll: Timer,
    watch: Timer,
    vms: Timer,
}

/// Timer of one kind of call: at most one is in progress, and none starts before `next`.
#[derive(Clone, Copy, Debug, Default)]
struct Timer {
    busy: bool,
    next: Time,
}

impl CallSchedule {
    /// Returns the calls to start now and counts them as in progress until [`Self::done`].
    ///
    /// `zone_reader` tells whether this entry reads the platform for its zone.
    pub fn due(&mut self, zone_reader: bool, now: Time) -> Vec<Call> {
        let mut calls = Vec::new();
        if self.poll.start(now) {
            calls.push(Call::Poll(self.seen));
        }
        if zone_reader && self.watch.start(now) {
            calls.push(Call::Watch(self.seen));
        }
        if zone_reader && self.vms.start(now) {
            calls.push(Call::Vms);
        }
        calls
    }

    /// Records the end of a call; `answered` is false if it failed.
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

    /// Records a known version; later polls and watches ask only for newer ones.
    pub fn seen(&mut self, version: Version) {
        self.seen = self.seen.max(version);
    }

    /// Records an answer of the store.
    pub fn store_answered(&mut self, now: Time) {
        self.answered_at = Some(now);
    }

    /// Returns the time since the store last answered; `None` if it never has.
    pub fn store_age(&self, now: Time) -> Option<Duration> {
        self.answered_at
            .map(|answered_at| now.saturating_sub(answered_at))
    }
}

impl Timer {
    fn start(&mut self, now: Time) -> bool {
        let due = !self.busy && self.next <= now;
        self.busy |= due;
        due
    }
}
