//! Measurement of moves between pools: the balancer beside a greedy policy and the least number of
//! moves that the same demand allows.

mod least;
mod trace;

use std::time::Duration;

use wigeonhinge::ledger::Ledger;
use wigeonhinge::moves::Balancer;
use wigeonhinge::moves::Policy;
use wigeonhinge_schema::fleet::Fleet;

use crate::measure::Report;
use crate::measure::Row;
use crate::measure::fleets::Fake;
use crate::measure::fleets::grown;
use crate::measure::moves::least::least;
use crate::measure::moves::trace::Trace;
use crate::owner::Owner;

/// Workers of a region at the two-year size.
const REGION_WORKERS: usize = 410;

/// Interval of demand samples and of decisions.
const SAMPLE: Duration = Duration::from_secs(20);

/// Figures of a policy.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    moves: u32,
    /// VM-hours of lasting demand beyond the VMs of a pool.
    unmet: f64,
    /// Pools found below their promise.
    broken: u64,
}

/// Measures an owner's fleet and a region of the two-year size.
pub fn run(seed: u64, owner: Owner) -> Report {
    let mut report = Report::new("moves", &owner.to_string(), seed);
    measure(&mut report, "", owner.fleet(), owner.region(), seed);
    let fleet = grown(REGION_WORKERS, seed);
    measure(&mut report, "two years, a region: ", fleet, "north", seed);
    report
}

fn measure(report: &mut Report, prefix: &str, fleet: Fleet, region: &str, seed: u64) {
    let trace = Trace::new(&fleet, seed);
    let ours = balanced(&trace, fleet, region, seed);
    let greedy = greedy(&trace);
    let none = unmet(&trace, |_| trace.sizes.clone());
    let least = least(&trace);
    let row = Row::new(&format!("{prefix}moves"), "", f64::from(ours.moves))
        .baseline("greedy", f64::from(greedy.moves))
        .bound(f64::from(least));
    report.push(row);
    let metric = format!("{prefix}lasting demand not met");
    let row = Row::new(&metric, "VM-hours", ours.unmet)
        .baseline("greedy", greedy.unmet)
        .baseline("no moves", none);
    report.push(row);
    let metric = format!("{prefix}pools below their promise");
    let row = Row::new(&metric, "", ours.broken as f64).target(0.0);
    report.push(row.baseline("greedy", greedy.broken as f64));
}

/// Runs the balancer and the controller over the trace.
fn balanced(trace: &Trace, fleet: Fleet, region: &str, seed: u64) -> Outcome {
    let mut fake = Fake::new(fleet, region, seed);
    let mut balancer = Balancer::new(Policy::default());
    let mut outcome = Outcome::default();
    let mut sizes = trace.sizes_of(&fake.ledger);
    for sample in 0..trace.samples() {
        for (index, pool) in trace.pools.iter().enumerate() {
            balancer.observe(pool, trace.demand(sample, index), fake.now);
        }
        if sample % 3 == 0 {
            fake.requests = balancer.plan(&fake.ledger);
        }
        fake.tick(SAMPLE);
        let next = trace.sizes_of(&fake.ledger);
        outcome.moves += moved(&sizes, &next);
        outcome.unmet += trace.lack(sample, &next);
        outcome.broken += below(&fake.ledger);
        sizes = next;
    }
    outcome.broken += fake.violations;
    outcome
}

/// Returns how many VMs have arrived in another pool.
fn moved(before: &[u32], after: &[u32]) -> u32 {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| after.saturating_sub(*before))
        .sum()
}

fn below(ledger: &Ledger) -> u64 {
    let counts = ledger.counts();
    counts
        .values()
        .map(|count| u64::from(count.active < count.promised))
        .sum()
}

/// Moves a VM whenever a sample exceeds a pool and another pool has a VM idle at that moment.
fn greedy(trace: &Trace) -> Outcome {
    let mut sizes = trace.sizes.clone();
    let mut outcome = Outcome::default();
    for sample in 0..trace.samples() {
        let demand = |pool: usize| trace.demand(sample, pool).ceil() as u32;
        for to in 0..sizes.len() {
            while demand(to) > sizes[to] {
                let idle = |pool: &usize| sizes[*pool].saturating_sub(demand(*pool));
                let donors = (0..sizes.len()).filter(|&pool| sizes[pool] > trace.floors[pool]);
                let Some(from) = donors.filter(|pool| idle(pool) > 0).max_by_key(idle) else {
                    break;
                };
                sizes[from] -= 1;
                sizes[to] += 1;
                outcome.moves += 1;
            }
        }
        outcome.unmet += trace.lack(sample, &sizes);
    }
    outcome
}

fn unmet(trace: &Trace, sizes: impl Fn(usize) -> Vec<u32>) -> f64 {
    (0..trace.samples())
        .map(|sample| trace.lack(sample, &sizes(sample)))
        .sum()
}
