//! Seeded load: each queue floods in turn, least urgent first, then most urgent first.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::owner::Owner;
use crate::owner::SLOTS;

/// Entries in each zone.
pub(super) const ZONE_ENTRIES: usize = 2;

/// Time that a caller waits.
pub(super) const DEADLINE: Duration = Duration::from_secs(2);

/// Length of a burst.
const BURST: Duration = Duration::from_secs(6);

/// Time between two bursts.
const PAUSE: Duration = Duration::from_secs(2);

/// Demand of a burst as a part of the capacity of the pool.
const OVERLOAD: f64 = 3.0;

/// Demand between bursts as a part of the demand of a burst: a twentieth of a fifth.
const QUIET: f64 = 0.01;

/// Part of a burst that one caller or team sends.
const GREEDY: f64 = 0.8;

/// Callers of a service beside the greedy one.
const CALLERS: u32 = 18;

/// Callers of the greedy team.
const TEAM: u32 = 50;

/// One request in this number takes longer.
const LONG_EVERY: f64 = 50.0;

/// Factor by which it does.
const LONG: f64 = 4.0;

/// Who sends a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Class {
    /// A caller between bursts, at any time.
    Quiet,
    /// One of many callers in a burst.
    Modest,
    /// The caller or team that sends most of a burst.
    Greedy,
}

/// A request with the time that it takes.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// When it reaches an entry.
    pub(super) at: Duration,
    /// Service, by its position among the owner's.
    pub(super) service: usize,
    /// Entry that the balancer chose.
    pub(super) entry: usize,
    /// Caller.
    pub(super) caller: CompactString,
    /// Team; empty without one.
    pub(super) team: CompactString,
    /// Who sends it.
    pub(super) class: Class,
    /// Time that it occupies a slot.
    pub(super) work: Duration,
}

/// A burst of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Phase {
    /// Service that floods.
    pub(super) service: usize,
    /// Whether it belongs to the first pass, least urgent first.
    pub(super) rising: bool,
    /// Start of the burst.
    pub(super) start: Duration,
    /// End of the burst.
    pub(super) end: Duration,
}

/// Requests in order of time, and the bursts among them.
#[derive(Debug)]
pub(super) struct Load {
    /// Requests.
    pub(super) requests: Vec<Request>,
    /// Bursts.
    pub(super) phases: Vec<Phase>,
}

impl Load {
    /// Returns the load of an owner.
    pub(super) fn new(seed: u64, owner: Owner) -> Self {
        let phases = phases(owner);
        let end = phases.last().map_or(Duration::ZERO, |phase| phase.end) + PAUSE;
        let mut maker = Maker::new(seed, owner);
        for service in 0..owner.services().len() {
            let rate = OVERLOAD * QUIET * capacity(owner, service);
            maker.stream(service, rate, (Duration::ZERO, end), None);
        }
        for phase in &phases {
            let rate = OVERLOAD * capacity(owner, phase.service);
            maker.stream(
                phase.service,
                rate,
                (phase.start, phase.end),
                Some(phase.rising),
            );
        }
        Self {
            requests: maker.finish(),
            phases,
        }
    }

    /// Returns a steady load of one service at a part of its capacity.
    pub(super) fn steady(seed: u64, owner: Owner, service: usize, part: f64) -> Self {
        let mut maker = Maker::new(seed, owner);
        let rate = part * capacity(owner, service);
        maker.stream(service, rate, (Duration::ZERO, BURST), None);
        Self {
            requests: maker.finish(),
            phases: Vec::new(),
        }
    }
}

/// Returns the first half of a pass, least urgent first, then the other.
fn phases(owner: Owner) -> Vec<Phase> {
    let count = owner.services().len();
    let order = (0..count).rev().map(|service| (service, true));
    let order = order.chain((0..count).map(|service| (service, false)));
    let mut start = PAUSE;
    let phases = order.map(|(service, rising)| {
        let phase = Phase {
            service,
            rising,
            start,
            end: start + BURST,
        };
        start = phase.end + PAUSE;
        phase
    });
    phases.collect()
}

/// Returns the requests a second that the pool of a service can serve.
fn capacity(owner: Owner, service: usize) -> f64 {
    let upstreams = owner.services()[service].1 as f64;
    let mean = 0.1 * (1.0 + (LONG - 1.0) / LONG_EVERY);
    upstreams * f64::from(SLOTS) / mean
}

struct Maker {
    random: Pcg64,
    entries: usize,
    requests: Vec<Request>,
}

impl Maker {
    fn new(seed: u64, owner: Owner) -> Self {
        Self {
            random: Pcg64::seed_from_u64(seed),
            entries: owner.zones().len() * ZONE_ENTRIES,
            requests: Vec::new(),
        }
    }

    /// Adds arrivals at random times; `burst` says which pass a burst belongs to.
    fn stream(
        &mut self,
        service: usize,
        rate: f64,
        (start, end): (Duration, Duration),
        burst: Option<bool>,
    ) {
        let mut at = start;
        loop {
            let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(gap);
            if at >= end {
                return;
            }
            let request = self.request(at, service, burst);
            self.requests.push(request);
        }
    }

    fn request(&mut self, at: Duration, service: usize, burst: Option<bool>) -> Request {
        let greedy = burst.filter(|_| self.random.random::<f64>() < GREEDY);
        let class = match (burst, greedy) {
            (None, _) => Class::Quiet,
            (Some(_), None) => Class::Modest,
            (Some(_), Some(_)) => Class::Greedy,
        };
        let (caller, team) = match greedy {
            None => {
                let caller = self.random.random_range(0..CALLERS);
                (format_compact!("10.0.{service}.{caller}"), "")
            }
            Some(true) => ("10.1.0.1".into(), ""),
            Some(false) => {
                let caller = self.random.random_range(0..TEAM);
                (format_compact!("10.2.0.{caller}"), "bulk")
            }
        };
        Request {
            at,
            service,
            entry: self.random.random_range(0..self.entries),
            caller,
            team: team.into(),
            class,
            work: self.work(),
        }
    }

    fn work(&mut self) -> Duration {
        let long = self.random.random::<f64>() * LONG_EVERY < 1.0;
        let factor = if long { LONG } else { 1.0 };
        let seconds = 0.05 + 0.1 * self.random.random::<f64>();
        Duration::from_secs_f64(seconds * factor)
    }

    fn finish(mut self) -> Vec<Request> {
        self.requests.sort_by_key(|request| request.at);
        self.requests
    }
}
