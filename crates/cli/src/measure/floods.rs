//! Floods: what the other queues keep while one queue floods the system.
//!
//! The gateways of all entries run in virtual time with fake upstreams, beside
//! two queues in order of arrival on the same load. The unflooded value of a
//! queue is that of the same requests without the bursts.

mod fifo;
mod load;
mod world;

use std::time::Duration;

use wigeonhinge::admit::SPARE_RESERVE_DIVISOR;

use crate::measure::Report;
use crate::measure::Row;
use crate::measure::floods::fifo::Slots;
use crate::measure::floods::load::Class;
use crate::measure::floods::load::Load;
use crate::measure::floods::load::Phase;
use crate::measure::floods::load::Request;
use crate::measure::floods::world::Faults;
use crate::measure::floods::world::Trace;
use crate::owner::Owner;
use crate::owner::SLOTS;

/// Name of the baseline with the pools as they are.
const FIFO: &str = "shared FIFO";

/// Name of the baseline that gives up protected pools.
const POOLED: &str = "shared FIFO, pools merged";

/// Part of a burst after which slots count as used or not.
const WARM: Duration = Duration::from_secs(1);

/// Time after which a bad upstream should get no more work than trials.
const SETTLED: Duration = Duration::from_secs(2);

/// Load of a service while one of its upstreams is bad, as a part of its capacity.
const STEADY: f64 = 0.7;

/// A policy's runs with and without the bursts.
struct Runs {
    flooded: Trace,
    quiet: Trace,
}

/// Measures the floods of an owner's queues.
pub fn run(seed: u64, owner: Owner) -> Report {
    let load = Load::new(seed, owner);
    let quiet = load.requests.iter().enumerate();
    let quiet: Vec<(usize, Request)> = quiet
        .filter(|(_, request)| request.class == Class::Quiet)
        .map(|(index, request)| (index, request.clone()))
        .collect();
    let runs = [
        runs(&load, &quiet, |requests| {
            world::run(owner, requests, Faults::None)
        }),
        runs(&load, &quiet, |requests| {
            fifo::run(owner, requests, Slots::Own)
        }),
        runs(&load, &quiet, |requests| {
            fifo::run(owner, requests, Slots::Every)
        }),
    ];
    let mut report = Report::new("floods", &owner.to_string(), seed);
    for rising in [true, false] {
        others(&mut report, &load, &runs, rising);
        fairness(&mut report, &load, &runs, rising);
    }
    usage(&mut report, owner, &load, &runs);
    faults(&mut report, seed, owner);
    report
}

/// Runs a policy on the whole load and on its quiet part, with the same numbering.
fn runs(load: &Load, quiet: &[(usize, Request)], policy: impl Fn(&[Request]) -> Trace) -> Runs {
    let only: Vec<Request> = quiet.iter().map(|(_, request)| request.clone()).collect();
    let compact = policy(&only);
    let mut trace = Trace::new(load.requests.len());
    for ((index, _), outcome) in quiet.iter().zip(compact.outcomes) {
        trace.outcomes[*index] = outcome;
    }
    Runs {
        flooded: policy(&load.requests),
        quiet: trace,
    }
}

/// Adds what the worst of the other queues keeps of its answers and of its 99th percentile.
fn others(report: &mut Report, load: &Load, runs: &[Runs; 3], rising: bool) {
    let order = order(rising);
    let kept = |runs: &Runs| {
        worst(load, rising, |service| {
            let quiet = answered(load, &runs.quiet, service, rising).len();
            let flooded = answered(load, &runs.flooded, service, rising).len();
            100.0 * flooded as f64 / quiet.max(1) as f64
        })
    };
    let metric = format!("answers kept, worst other queue, {order}");
    let row = row(&metric, "%", runs, |runs| {
        kept(runs).into_iter().fold(f64::MAX, f64::min)
    });
    report.push(row.target(99.0));
    let slower = |runs: &Runs| {
        worst(load, rising, |service| {
            let quiet = p99(answered(load, &runs.quiet, service, rising));
            p99(answered(load, &runs.flooded, service, rising)) / quiet
        })
    };
    let metric = format!("p99 flooded / unflooded, worst, {order}");
    let row = self::row(&metric, "x", runs, |runs| {
        slower(runs).into_iter().fold(0.0, f64::max)
    });
    report.push(row.target(1.25));
}

/// Adds what the callers beside the greedy one keep in the flooded queue.
fn fairness(report: &mut Report, load: &Load, runs: &[Runs; 3], rising: bool) {
    let who = if rising { "caller" } else { "team" };
    let metric = format!("answered beside a greedy {who}, worst queue");
    let row = row(&metric, "%", runs, |runs| {
        let phases = load.phases.iter().filter(|phase| phase.rising == rising);
        let parts = phases.map(|phase| modest(load, &runs.flooded, phase));
        parts.fold(f64::MAX, f64::min)
    });
    report.push(row.target(99.0));
}

/// Adds how much of the slots open to a flooded queue is used.
fn usage(report: &mut Report, owner: Owner, load: &Load, runs: &[Runs; 3]) {
    let used = |runs: &Runs, spare: bool| {
        let phases = load.phases.iter();
        let parts = phases.map(|phase| used(owner, &runs.flooded, phase, spare));
        parts.fold(f64::MAX, f64::min)
    };
    let own = row(
        "slots used by a flood, worst, own pool",
        "%",
        runs,
        |runs| used(runs, false),
    );
    report.push(own.bound(100.0).target(90.0));
    let both = row(
        "slots used by a flood, worst, with spare",
        "%",
        runs,
        |runs| used(runs, true),
    );
    report.push(both.bound(open(owner)).target(90.0));
}

/// Returns the smallest part of its own and the spare pool that a flood may use.
fn open(owner: Owner) -> f64 {
    let counts = owner.services().iter().map(|(_, count)| *count as f64);
    let spare = counts.clone().next_back().unwrap_or(0.0);
    let kept = spare / f64::from(SPARE_RESERVE_DIVISOR);
    let parts = counts.map(|own| 100.0 * (1.0 - kept / (own + spare)));
    parts.fold(100.0, f64::min)
}

/// Adds the behaviour when upstreams fail; the baselines have none.
fn faults(report: &mut Report, seed: u64, owner: Owner) {
    let load = Load::steady(seed, owner, 0, STEADY);
    let down = world::run(owner, &load.requests, Faults::Down);
    let sends: u32 = down.outcomes.iter().map(|outcome| outcome.sends).sum();
    let sent = down.outcomes.iter().filter(|outcome| outcome.sends > 0);
    let retries = f64::from(sends) - sent.count() as f64;
    let part = 100.0 * retries / load.requests.len() as f64;
    report.push(Row::new("retries, all upstreams down", "%", part).target(10.0));
    let bad = world::run(owner, &load.requests, Faults::FirstBad);
    let late = |times: &[Duration]| times.iter().filter(|at| **at >= SETTLED).count() as f64;
    let (first, all) = bad.first;
    let part = 100.0 * late(&first) / late(&all);
    let even = 100.0 / owner.services()[0].1 as f64;
    let row = Row::new("requests of a bad upstream after 2 s", "%", part);
    report.push(row.baseline("even share", even));
}

fn order(rising: bool) -> &'static str {
    if rising {
        "least urgent first"
    } else {
        "most urgent first"
    }
}

fn row(metric: &str, unit: &'static str, runs: &[Runs; 3], value: impl Fn(&Runs) -> f64) -> Row {
    Row::new(metric, unit, value(&runs[0]))
        .baseline(FIFO, value(&runs[1]))
        .baseline(POOLED, value(&runs[2]))
}

/// Returns a figure of every service.
fn worst(load: &Load, rising: bool, figure: impl Fn(usize) -> f64) -> Vec<f64> {
    let phases = load.phases.iter().filter(|phase| phase.rising == rising);
    phases.map(|phase| figure(phase.service)).collect()
}

/// Returns the latencies of a queue's answered requests while other queues flood in a pass.
fn answered(load: &Load, trace: &Trace, service: usize, rising: bool) -> Vec<Duration> {
    let others = load
        .phases
        .iter()
        .filter(|phase| phase.rising == rising && phase.service != service);
    let windows: Vec<&Phase> = others.collect();
    let requests = load.requests.iter().zip(&trace.outcomes);
    let within = requests.filter(|(request, outcome)| {
        let quiet = request.service == service && request.class == Class::Quiet;
        let inside = |phase: &&Phase| (phase.start..phase.end).contains(&request.at);
        quiet && outcome.answered && windows.iter().any(inside)
    });
    within.map(|(_, outcome)| outcome.latency).collect()
}

/// Returns the part of a burst that was answered to callers beside the greedy one.
fn modest(load: &Load, trace: &Trace, phase: &Phase) -> f64 {
    let requests = load.requests.iter().zip(&trace.outcomes);
    let modest = requests.filter(|(request, _)| {
        let inside = (phase.start..phase.end).contains(&request.at);
        inside && request.service == phase.service && request.class == Class::Modest
    });
    let (all, kept) = modest.fold((0, 0), |(all, kept), (_, outcome)| {
        (all + 1, kept + u32::from(outcome.answered))
    });
    100.0 * f64::from(kept) / f64::from(all)
}

/// Returns the used part of the slots of the flooded pool, and of the spare pool if wanted.
fn used(owner: Owner, trace: &Trace, phase: &Phase, spare: bool) -> f64 {
    let (start, end) = (phase.start + WARM, phase.end);
    let last = owner.services().len() - 1;
    let counts = |pool: usize| pool == phase.service || (spare && pool == last);
    let spans = trace.spans.iter().filter(|span| counts(span.pool));
    let busy: Duration = spans
        .map(|span| span.end.min(end).saturating_sub(span.start.max(start)))
        .sum();
    let pools = owner.services().iter().enumerate();
    let upstreams = pools.filter(|(pool, _)| counts(*pool));
    let slots: usize = upstreams.map(|(_, (_, count))| count).sum();
    let whole = (end - start).as_secs_f64() * slots as f64 * f64::from(SLOTS);
    100.0 * busy.as_secs_f64() / whole
}

/// Returns the 99th percentile in seconds.
fn p99(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    let rank = (times.len() * 99).div_ceil(100).max(1) - 1;
    times.get(rank).map_or(f64::NAN, Duration::as_secs_f64)
}
