//! Measurement of maintenance waves: roll-out time beside one VM at a time, a fixed share of the
//! fleet and the lower bound, and the cost of a decision as the fleet grows.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wigeonhinge::ledger::Change;
use wigeonhinge::ledger::WaveChange;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::ledger::WaveState;

use crate::measure::Report;
use crate::measure::Row;
use crate::measure::fleets::Fake;
use crate::measure::fleets::POLL;
use crate::measure::fleets::REBOOT;
use crate::measure::fleets::grown;
use crate::owner::Owner;

/// Workers of a region at the two-year size.
const REGION_WORKERS: usize = 410;

/// Sizes of one ledger for the cost of a decision.
const SIZES: [usize; 5] = [100, 200, 400, 820, 1_640];

/// Time that a lost rack stays away.
const OUTAGE: Duration = Duration::from_secs(300);

/// Time after which a wave counts as stuck.
const LIMIT: Duration = Duration::from_secs(24 * 3600);

/// Time of a wave over which the cost of decisions is measured: the first round and the next.
const LOOK: Duration = Duration::from_secs(120);

/// Share of the fleet that the baseline takes at a time, in percent.
const SHARE: usize = 10;

/// Polls that see each VM through cordon, drain, reboot and uncordon.
const POLLS: u32 = 4;

/// Measures an owner's fleet, a region of the two-year size and the growth of the cost.
pub fn run(seed: u64, owner: Owner) -> Report {
    let mut report = Report::new("waves", &owner.to_string(), seed);
    rollout(&mut report, "", owner.fleet(), owner.region(), seed);
    let fleet = grown(REGION_WORKERS, seed);
    rollout(&mut report, "two years, a region: ", fleet, "north", seed);
    cost(&mut report, seed);
    report
}

fn rollout(report: &mut Report, prefix: &str, fleet: Fleet, region: &str, seed: u64) {
    let bound = bound(&fleet);
    let (plain, mut violations) = wave(fleet.clone(), region, seed, None);
    let row = Row::new(&format!("{prefix}roll-out"), "s", plain)
        .baseline("one at a time", one_by_one(&fleet, seed))
        .baseline("tenth of the fleet", fixed_share(&fleet, seed))
        .bound(bound);
    report.push(row);
    let ratio = Row::new(&format!("{prefix}roll-out to bound"), "", plain / bound);
    report.push(ratio.target(1.15));
    let lost = Duration::from_secs_f64(bound * 0.4);
    let (failed, more) = wave(fleet, region, seed, Some(lost));
    violations += more;
    let metric = format!("{prefix}roll-out to bound, a rack lost for 300 s");
    report.push(Row::new(&metric, "", failed / bound).target(1.5));
    let metric = format!("{prefix}budget violations");
    report.push(Row::new(&metric, "", violations as f64).target(0.0));
}

/// Runs a wave; a rack is lost some time after its start. Returns its time in seconds and the
/// budget violations.
fn wave(fleet: Fleet, region: &str, seed: u64, lost: Option<Duration>) -> (f64, u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let victim = rng.random_range(0..fleet.inventory.len());
    let rack = fleet.inventory[victim].rack.clone();
    let mut fake = Fake::new(fleet, region, seed);
    let start = fake.now;
    fake.ask(start_wave(start));
    while fake.now - start < LIMIT {
        let since = fake.now - start;
        if let Some(lost) = lost {
            fake.set_rack(&rack, since >= lost && since < lost + OUTAGE);
        }
        fake.tick(Duration::from_secs(1));
        let state = fake.ledger.wave().map(|wave| wave.state());
        if state == Some(WaveState::Done) {
            break;
        }
    }
    ((fake.now - start).as_secs_f64(), fake.violations)
}

fn start_wave(before: Duration) -> Change {
    let (id, author) = ("measured".into(), "operator".into());
    Change::Wave(WaveChange::Start { id, author, before })
}

/// Returns the least time that the budgets allow, in seconds.
fn bound(fleet: &Fleet) -> f64 {
    let sizes = sizes(fleet);
    let pools = fleet.rules.iter().flat_map(|rules| &rules.pools);
    let rounds = pools.filter_map(|pool| {
        let size = sizes.get(pool.name.as_str())?;
        Some(size.div_ceil(pool.max_unavailable.max(1)))
    });
    f64::from(rounds.max().unwrap_or(0)) * REBOOT.as_secs_f64()
}

fn sizes(fleet: &Fleet) -> BTreeMap<&str, u32> {
    let mut sizes = BTreeMap::new();
    for vm in &fleet.inventory {
        *sizes.entry(vm.pool.as_str()).or_default() += 1;
    }
    sizes
}

/// Returns the time that each VM is out of service, as the fake draws it from the seed.
fn cycles(fleet: &Fleet, seed: u64) -> Vec<Duration> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let drain = |_| Duration::from_millis(rng.random_range(2_000..15_000));
    let drains = fleet.inventory.iter().map(drain);
    drains.map(|drain| drain + REBOOT + POLL * POLLS).collect()
}

fn one_by_one(fleet: &Fleet, seed: u64) -> f64 {
    cycles(fleet, seed).iter().sum::<Duration>().as_secs_f64()
}

/// Takes a tenth of the fleet at a time in the order of the inventory, within the budgets, and
/// waits for the whole batch.
fn fixed_share(fleet: &Fleet, seed: u64) -> f64 {
    let cycles = cycles(fleet, seed);
    let size = (fleet.inventory.len() * SHARE).div_ceil(100);
    let budgets: BTreeMap<&str, u32> = fleet
        .rules
        .iter()
        .flat_map(|rules| &rules.pools)
        .map(|pool| (pool.name.as_str(), pool.max_unavailable))
        .collect();
    let mut left: Vec<usize> = (0..fleet.inventory.len()).collect();
    let mut total = Duration::ZERO;
    while !left.is_empty() {
        let mut room = budgets.clone();
        let mut batch = Vec::new();
        for &index in &left {
            let budget = room.get_mut(fleet.inventory[index].pool.as_str());
            let Some(budget) = budget.filter(|budget| **budget > 0) else {
                continue;
            };
            if batch.len() < size {
                *budget -= 1;
                batch.push(index);
            }
        }
        if batch.is_empty() {
            break;
        }
        left.retain(|index| !batch.contains(index));
        let slowest = batch.iter().map(|&index| cycles[index]).max();
        total += slowest.unwrap_or_default();
    }
    total.as_secs_f64()
}

/// Measures the time of a decision, the document and the calls of the store during a wave.
fn cost(report: &mut Report, seed: u64) {
    let mut points = Vec::new();
    for workers in SIZES {
        let mut fake = Fake::new(grown(workers, seed), "north", seed);
        let start = fake.now;
        fake.ask(start_wave(start));
        while fake.now - start < LOOK {
            fake.tick(Duration::from_secs(1));
        }
        let mut times = fake.decisions.clone();
        times.sort();
        let micros = |share: f64| {
            let index = (times.len() - 1) as f64 * share;
            times[index as usize].as_secs_f64() * 1e6
        };
        let text = serde_json::to_string(fake.ledger.document()).unwrap_or_default();
        let seconds = (fake.now - start).as_secs_f64();
        let mut push = |metric: &str, unit, value| {
            report.push(Row::new(
                &format!("{workers} workers: {metric}"),
                unit,
                value,
            ));
        };
        push("decision p50", "us", micros(0.5));
        push("decision p99", "us", micros(0.99));
        push("document", "bytes", text.len() as f64);
        push("store writes", "1/s", fake.writes as f64 / seconds);
        points.push((workers as f64, micros(0.5)));
    }
    if let [(fewer, short), .., (more, long)] = points[..] {
        let slope = f64::ln(long / short) / f64::ln(more / fewer);
        report.push(Row::new("growth exponent of decision p50", "", slope));
    }
}
