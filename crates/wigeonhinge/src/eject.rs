//! Upstreams that fail.
//!
//! An upstream is ejected for a while by its own rate of failures, if that is
//! well above the rate of the others; never more than half the upstreams of a
//! group. After the time it gets one request at a time, as a trial.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::Index;
use crate::id::Time;
use crate::outcome::ErrorKind;

/// First time for which an upstream is ejected; it doubles with each failed trial.
pub const FIRST: Duration = Duration::from_secs(1);

/// Longest time for which an upstream is ejected.
pub const LONGEST: Duration = Duration::from_secs(30);

/// Length of one of the two windows over which rates are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Failures in a row that eject an upstream.
const ROW: u32 = 3;

/// Failures within the windows that eject an upstream if they are half of its answers.
const COUNT: u32 = 5;

/// Percentage points by which the rate has to exceed the rate of the others.
///
/// Without it, failures that all upstreams share would eject half of them.
const MARGIN: u64 = 25;

/// Successful trials that end the ejection.
const TRIALS: u32 = 3;

/// What the end of a request says about its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It works.
    Good,
    /// It fails.
    Bad,
    /// Nothing: the connection or the request is at fault.
    Neutral,
}

/// Use that may be made of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Usable {
    /// All its slots.
    Fully,
    /// One request at a time.
    Trial,
    /// None.
    No,
}

/// Health of the upstreams of one entry.
///
/// ```
/// use std::time::Duration;
///
/// use wigeonhinge::eject::Ejector;
/// use wigeonhinge::eject::Usable;
/// use wigeonhinge::eject::Verdict;
///
/// let mut ejector = Ejector::default();
/// ejector.add(0, 7);
/// ejector.add(1, 7);
/// for _ in 0..3 {
///     ejector.record(0, Verdict::Bad, Duration::ZERO);
/// }
/// assert_eq!(ejector.usable(0), Usable::No);
/// ```
#[derive(Debug, Default)]
pub struct Ejector {
    upstreams: BTreeMap<Index, Health>,
    groups: BTreeMap<u64, BTreeSet<Index>>,
    timers: BTreeSet<(Time, Index)>,
}

#[derive(Debug)]
struct Health {
    group: u64,
    counts: Counts,
    row: u32,
    leaving: bool,
    state: State,
    period: Duration,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    In { since: Time },
    Out { until: Time },
    Trial { good: u32 },
}

/// Answers of the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    start: Time,
    now: (u32, u32),
    before: (u32, u32),
}

impl Verdict {
    /// Returns what a failed sending says about the upstream.
    ///
    /// A connection that is lost or silent while new ones work says nothing.
    pub fn of(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::ConnectFailed
            | ErrorKind::RefusedByUpstream
            | ErrorKind::DeadlineAfterSend
            | ErrorKind::AnswerMismatch => Self::Bad,
            ErrorKind::AnswerTooLarge => Self::Good,
            _ => Self::Neutral,
        }
    }
}

impl Ejector {
    /// Adds an upstream to a group whose upstreams stand in for each other.
    pub fn add(&mut self, index: Index, group: u64) {
        let health = Health {
            group,
            counts: Counts::default(),
            row: 0,
            leaving: false,
            state: State::In { since: Time::ZERO },
            period: FIRST,
        };
        self.upstreams.insert(index, health);
        self.groups.entry(group).or_default().insert(index);
    }

    /// Removes an upstream; returns those whose use changed.
    pub fn remove(&mut self, index: Index) -> Vec<Index> {
        let Some(health) = self.upstreams.remove(&index) else {
            return Vec::new();
        };
        if let State::Out { until } = health.state {
            self.timers.remove(&(until, index));
        }
        if let Some(group) = self.groups.get_mut(&health.group) {
            group.remove(&index);
        }
        self.readmit(health.group)
    }

    /// Marks an upstream as leaving or not; returns those whose use changed.
    pub fn leaving(&mut self, index: Index, leaving: bool) -> Vec<Index> {
        let Some(health) = self.upstreams.get_mut(&index) else {
            return Vec::new();
        };
        health.leaving = leaving;
        let group = health.group;
        self.readmit(group)
    }

    /// Records the end of a request; returns whether the use of the upstream changed.
    pub fn record(&mut self, index: Index, verdict: Verdict, now: Time) -> bool {
        let Some(health) = self.upstreams.get_mut(&index) else {
            return false;
        };
        match verdict {
            Verdict::Good => health.good(now),
            Verdict::Bad => {
                health.bad(now);
                self.judge(index, now)
            }
            Verdict::Neutral => false,
        }
    }

    /// Takes note that a probe was not answered; returns whether the use changed.
    pub fn suspect(&mut self, index: Index, now: Time) -> bool {
        if let Some(health) = self.upstreams.get_mut(&index) {
            health.row = health.row.max(ROW);
        }
        self.record(index, Verdict::Bad, now)
    }

    /// Starts the trials that are due; returns the upstreams.
    pub fn tick(&mut self, now: Time) -> Vec<Index> {
        let mut due = Vec::new();
        while let Some(&(until, index)) = self.timers.first() {
            if until > now {
                break;
            }
            self.timers.pop_first();
            if let Some(health) = self.upstreams.get_mut(&index) {
                health.state = State::Trial { good: 0 };
                due.push(index);
            }
        }
        due
    }

    /// Returns the use that may be made of an upstream.
    pub fn usable(&self, index: Index) -> Usable {
        match self.upstreams.get(&index).map(|health| health.state) {
            Some(State::In { .. }) => Usable::Fully,
            Some(State::Trial { .. }) => Usable::Trial,
            Some(State::Out { .. }) | None => Usable::No,
        }
    }

    fn judge(&mut self, index: Index, now: Time) -> bool {
        let Some(health) = self.upstreams.get(&index) else {
            return false;
        };
        let eject = match health.state {
            State::In { .. } => health.failing() && self.stands_out(index, now),
            State::Trial { .. } => true,
            State::Out { .. } => false,
        };
        if eject {
            self.eject(index, now);
        }
        eject
    }

    /// Returns whether the upstream fails well above the others and half of them stay.
    fn stands_out(&mut self, index: Index, now: Time) -> bool {
        let Some(health) = self.upstreams.get_mut(&index) else {
            return false;
        };
        let own = percent(health.counts.sum(now));
        let group = self.groups.get(&health.group).into_iter().flatten();
        let (mut usable, mut ejected, mut others) = (0, 0, (0, 0));
        for other in group {
            let Some(health) = self.upstreams.get_mut(other) else {
                continue;
            };
            usable += u32::from(!health.leaving);
            ejected += u32::from(!health.leaving && health.out());
            if *other != index && !health.out() {
                let (bad, all) = health.counts.sum(now);
                others = (others.0 + bad, others.1 + all);
            }
        }
        own >= percent(others) + MARGIN && 2 * (ejected + 1) <= usable
    }

    fn eject(&mut self, index: Index, now: Time) {
        let Some(health) = self.upstreams.get_mut(&index) else {
            return;
        };
        if let State::Trial { .. } = health.state {
            health.period = (health.period * 2).min(LONGEST);
        }
        let until = now + health.period;
        health.state = State::Out { until };
        self.timers.insert((until, index));
    }

    /// Ends the ejection of the upstreams above half of the group, the next due first.
    fn readmit(&mut self, group: u64) -> Vec<Index> {
        let members = self.groups.get(&group).into_iter().flatten();
        let mut out = BTreeSet::new();
        let mut usable = 0;
        for index in members {
            let Some(health) = self.upstreams.get(index) else {
                continue;
            };
            usable += usize::from(!health.leaving);
            if health.out() && !health.leaving {
                out.insert((health.due(), *index));
            }
        }
        let excess = out.len().saturating_sub(usable / 2);
        let back: Vec<(Time, Index)> = out.into_iter().take(excess).collect();
        for (due, index) in &back {
            self.timers.remove(&(*due, *index));
            if let Some(health) = self.upstreams.get_mut(index) {
                health.enter(*due);
            }
        }
        back.into_iter().map(|(_, index)| index).collect()
    }
}

impl Health {
    fn good(&mut self, now: Time) -> bool {
        self.row = 0;
        self.counts.add(false, now);
        match &mut self.state {
            State::In { since } => {
                if now.saturating_sub(*since) >= LONGEST {
                    self.period = FIRST;
                }
                false
            }
            State::Out { .. } => false,
            State::Trial { good } => {
                *good += 1;
                let done = *good >= TRIALS;
                if done {
                    self.enter(now);
                }
                done
            }
        }
    }

    fn bad(&mut self, now: Time) {
        self.row += 1;
        self.counts.add(true, now);
    }

    fn enter(&mut self, now: Time) {
        self.state = State::In { since: now };
        self.counts = Counts::default();
        self.row = 0;
    }

    fn failing(&self) -> bool {
        let bad = self.counts.now.0 + self.counts.before.0;
        let all = self.counts.now.1 + self.counts.before.1;
        self.row >= ROW || (bad >= COUNT && 2 * bad >= all)
    }

    fn out(&self) -> bool {
        !matches!(self.state, State::In { .. })
    }

    fn due(&self) -> Time {
        match self.state {
            State::Out { until } => until,
            State::In { .. } | State::Trial { .. } => Time::ZERO,
        }
    }
}

impl Counts {
    fn add(&mut self, bad: bool, now: Time) {
        self.turn(now);
        self.now.0 += u32::from(bad);
        self.now.1 += 1;
    }

    fn sum(&mut self, now: Time) -> (u32, u32) {
        self.turn(now);
        (self.now.0 + self.before.0, self.now.1 + self.before.1)
    }

    fn turn(&mut self, now: Time) {
        let age = now.saturating_sub(self.start);
        if age < WINDOW {
            return;
        }
        let recent = age < 2 * WINDOW;
        self.before = if recent { self.now } else { (0, 0) };
        self.now = (0, 0);
        self.start = now;
    }
}

/// Returns the failures as a percentage of the answers.
fn percent((bad, all): (u32, u32)) -> u64 {
    (u64::from(bad) * 100)
        .checked_div(u64::from(all))
        .unwrap_or(0)
}
