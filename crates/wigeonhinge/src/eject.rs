//! Outlier ejection: temporary removal of upstreams that fail.
//!
//! An upstream is ejected if its failure rate is well above that of the other
//! upstreams of its group; at most half the upstreams of a group are ejected at
//! a time. After the ejection it gets one request at a time, as a trial.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::Index;
use crate::id::Time;
use crate::outcome::ErrorKind;

/// Duration of an upstream's first ejection; it doubles with each failed trial.
pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);

/// Longest duration of an ejection.
///
/// An upstream that has been back in service for this long starts again at
/// [`BASE_EJECTION_TIME`].
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Length of each of the two windows, current and previous, in which responses are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Consecutive failures that make an upstream a candidate for ejection.
const CONSECUTIVE_FAILURES: u32 = 3;

/// Failures within both windows that make an upstream a candidate for ejection, if they are at
/// least half of its requests.
const MIN_WINDOW_FAILURES: u32 = 5;

/// Percentage points by which the failure rate of an ejected upstream exceeds that of the others.
///
/// Without this margin, failures common to all upstreams would eject half of them.
const OUTLIER_MARGIN_PERCENT: u64 = 25;

/// Successful trial requests that return an upstream to service.
const TRIAL_SUCCESSES: u32 = 3;

/// What the outcome of a request says about its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The upstream works.
    Success,
    /// The upstream failed.
    Failure,
    /// Nothing: the fault is in the connection or in the request.
    Neutral,
}

/// How much work an upstream may get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// As much as it has slots.
    Full,
    /// One request at a time, after an ejection.
    Trial,
    /// None: it is ejected or unknown.
    Unavailable,
}

/// Health of the upstreams of one entry.
///
/// ```
/// use std::time::Duration;
///
/// use wigeonhinge::eject::Availability;
/// use wigeonhinge::eject::Ejector;
/// use wigeonhinge::eject::Verdict;
///
/// let mut ejector = Ejector::default();
/// ejector.add(0, 7);
/// ejector.add(1, 7);
/// for _ in 0..3 {
///     ejector.record(0, Verdict::Failure, Duration::ZERO);
/// }
/// assert_eq!(ejector.availability(0), Availability::Unavailable);
/// ```
#[derive(Debug, Default)]
pub struct Ejector {
    upstreams: BTreeMap<Index, Health>,
    groups: BTreeMap<u64, BTreeSet<Index>>,
    trials: BTreeSet<(Time, Index)>,
}

#[derive(Debug)]
struct Health {
    group: u64,
    counts: Counts,
    failure_streak: u32,
    leaving: bool,
    state: State,
    ejection_time: Duration,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    InService { since: Time },
    Ejected { until: Time },
    Trial { successes: u32 },
}

/// Failures and total requests of the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    start: Time,
    current: (u32, u32),
    previous: (u32, u32),
}

impl Verdict {
    /// Returns what a failed send says about the upstream.
    ///
    /// A lost or silent connection says nothing, as new connections to the
    /// upstream may work.
    pub fn of(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::ConnectFailed
            | ErrorKind::RefusedByUpstream
            | ErrorKind::DeadlineAfterSend
            | ErrorKind::AnswerMismatch => Self::Failure,
            ErrorKind::AnswerTooLarge => Self::Success,
            _ => Self::Neutral,
        }
    }
}

impl Ejector {
    /// Adds an upstream to a group of upstreams that can replace each other.
    pub fn add(&mut self, index: Index, group: u64) {
        let health = Health {
            group,
            counts: Counts::default(),
            failure_streak: 0,
            leaving: false,
            state: State::InService { since: Time::ZERO },
            ejection_time: BASE_EJECTION_TIME,
        };
        self.upstreams.insert(index, health);
        self.groups.entry(group).or_default().insert(index);
    }

    /// Removes an upstream; returns the upstreams that are readmitted because the group shrank.
    pub fn remove(&mut self, index: Index) -> Vec<Index> {
        let Some(health) = self.upstreams.remove(&index) else {
            return Vec::new();
        };
        if let State::Ejected { until } = health.state {
            self.trials.remove(&(until, index));
        }
        if let Some(group) = self.groups.get_mut(&health.group) {
            group.remove(&index);
        }
        self.readmit(health.group)
    }

    /// Marks an upstream as leaving or not; returns the upstreams that are readmitted because
    /// fewer stay in the group.
    pub fn set_leaving(&mut self, index: Index, leaving: bool) -> Vec<Index> {
        let Some(health) = self.upstreams.get_mut(&index) else {
            return Vec::new();
        };
        health.leaving = leaving;
        let group = health.group;
        self.readmit(group)
    }

    /// Records the outcome of a request; returns whether the upstream's availability changed.
    pub fn record(&mut self, index: Index, verdict: Verdict, now: Time) -> bool {
        let Some(health) = self.upstreams.get_mut(&index) else {
            return false;
        };
        match verdict {
            Verdict::Success => health.record_success(now),
            Verdict::Failure => {
                health.record_failure(now);
                self.eject_if_outlier(index, now)
            }
            Verdict::Neutral => false,
        }
    }

    /// Records an unanswered probe; returns whether the upstream's availability changed.
    ///
    /// A single unanswered probe makes the upstream a candidate for ejection.
    pub fn record_probe_failure(&mut self, index: Index, now: Time) -> bool {
        if let Some(health) = self.upstreams.get_mut(&index) {
            health.failure_streak = health.failure_streak.max(CONSECUTIVE_FAILURES);
        }
        self.record(index, Verdict::Failure, now)
    }

    /// Starts the trials of upstreams whose ejection has ended; returns these upstreams.
    pub fn start_trials(&mut self, now: Time) -> Vec<Index> {
        let mut due = Vec::new();
        while let Some(&(until, index)) = self.trials.first() {
            if until > now {
                break;
            }
            self.trials.pop_first();
            if let Some(health) = self.upstreams.get_mut(&index) {
                health.state = State::Trial { successes: 0 };
                due.push(index);
            }
        }
        due
    }

    /// Returns how much work an upstream may get.
    pub fn availability(&self, index: Index) -> Availability {
        match self.upstreams.get(&index).map(|health| health.state) {
            Some(State::InService { .. }) => Availability::Full,
            Some(State::Trial { .. }) => Availability::Trial,
            Some(State::Ejected { .. }) | None => Availability::Unavailable,
        }
    }

    fn eject_if_outlier(&mut self, index: Index, now: Time) -> bool {
        let Some(health) = self.upstreams.get(&index) else {
            return false;
        };
        let eject = match health.state {
            State::InService { .. } => health.is_failing() && self.is_outlier(index, now),
            State::Trial { .. } => true,
            State::Ejected { .. } => false,
        };
        if eject {
            self.eject(index, now);
        }
        eject
    }

    /// Returns whether the upstream fails well above the others and may be ejected without
    /// ejecting more than half of the group.
    fn is_outlier(&mut self, index: Index, now: Time) -> bool {
        let Some(health) = self.upstreams.get_mut(&index) else {
            return false;
        };
        let own_percent = failure_percent(health.counts.sum(now));
        let group = self.groups.get(&health.group).into_iter().flatten();
        let (mut staying, mut ejected, mut others) = (0, 0, (0, 0));
        for other in group {
            let Some(health) = self.upstreams.get_mut(other) else {
                continue;
            };
            staying += u32::from(!health.leaving);
            ejected += u32::from(!health.leaving && health.is_ejected());
            if *other != index && !health.is_ejected() {
                let (failures, total) = health.counts.sum(now);
                others = (others.0 + failures, others.1 + total);
            }
        }
        own_percent >= failure_percent(others) + OUTLIER_MARGIN_PERCENT
            && 2 * (ejected + 1) <= staying
    }

    fn eject(&mut self, index: Index, now: Time) {
        let Some(health) = self.upstreams.get_mut(&index) else {
            return;
        };
        if let State::Trial { .. } = health.state {
            health.ejection_time = (health.ejection_time * 2).min(MAX_EJECTION_TIME);
        }
        let until = now + health.ejection_time;
        health.state = State::Ejected { until };
        self.trials.insert((until, index));
    }

    /// Readmits ejected upstreams until at most half of the group is ejected, those whose trial
    /// is due first before the others.
    fn readmit(&mut self, group: u64) -> Vec<Index> {
        let members = self.groups.get(&group).into_iter().flatten();
        let mut ejected = BTreeSet::new();
        let mut staying = 0;
        for index in members {
            let Some(health) = self.upstreams.get(index) else {
                continue;
            };
            staying += usize::from(!health.leaving);
            if health.is_ejected() && !health.leaving {
                ejected.insert((health.trial_due(), *index));
            }
        }
        let excess = ejected.len().saturating_sub(staying / 2);
        let readmitted: Vec<(Time, Index)> = ejected.into_iter().take(excess).collect();
        for (due, index) in &readmitted {
            self.trials.remove(&(*due, *index));
            if let Some(health) = self.upstreams.get_mut(index) {
                health.reinstate(*due);
            }
        }
        readmitted.into_iter().map(|(_, index)| index).collect()
    }
}

impl Health {
    fn record_success(&mut self, now: Time) -> bool {
        self.failure_streak = 0;
        self.counts.add(false, now);
        match &mut self.state {
            State::InService { since } => {
                if now.saturating_sub(*since) >= MAX_EJECTION_TIME {
                    self.ejection_time = BASE_EJECTION_TIME;
                }
                false
            }
            State::Ejected { .. } => false,
            State::Trial { successes } => {
                *successes += 1;
                let passed = *successes >= TRIAL_SUCCESSES;
                if passed {
                    self.reinstate(now);
                }
                passed
            }
        }
    }

    fn record_failure(&mut self, now: Time) {
        self.failure_streak += 1;
        self.counts.add(true, now);
    }

    fn reinstate(&mut self, now: Time) {
        self.state = State::InService { since: now };
        self.counts = Counts::default();
        self.failure_streak = 0;
    }

    fn is_failing(&self) -> bool {
        let failures = self.counts.current.0 + self.counts.previous.0;
        let total = self.counts.current.1 + self.counts.previous.1;
        self.failure_streak >= CONSECUTIVE_FAILURES
            || (failures >= MIN_WINDOW_FAILURES && 2 * failures >= total)
    }

    /// Returns whether the upstream is ejected or on trial.
    fn is_ejected(&self) -> bool {
        !matches!(self.state, State::InService { .. })
    }

    /// Returns when the trial starts; zero for an upstream on trial.
    fn trial_due(&self) -> Time {
        match self.state {
            State::Ejected { until } => until,
            State::InService { .. } | State::Trial { .. } => Time::ZERO,
        }
    }
}

impl Counts {
    fn add(&mut self, failed: bool, now: Time) {
        self.rotate(now);
        self.current.0 += u32::from(failed);
        self.current.1 += 1;
    }

    fn sum(&mut self, now: Time) -> (u32, u32) {
        self.rotate(now);
        (
            self.current.0 + self.previous.0,
            self.current.1 + self.previous.1,
        )
    }

    fn rotate(&mut self, now: Time) {
        let age = now.saturating_sub(self.start);
        if age < RATE_WINDOW {
            return;
        }
        let recent = age < 2 * RATE_WINDOW;
        self.previous = if recent { self.current } else { (0, 0) };
        self.current = (0, 0);
        self.start = now;
    }
}

/// Returns the failures as a percentage of all requests; 0 without requests.
fn failure_percent((failures, total): (u32, u32)) -> u64 {
    (u64::from(failures) * 100)
        .checked_div(u64::from(total))
        .unwrap_or(0)
}
