//! Measurement of job decisions: start latency, utilisation, starvation, wasted
//! work and store writes, beside first come, first served by declared sizes.

mod baseline;
mod load;

use std::time::Duration;

use hdrhistogram::Histogram;
use wigeonhinge::id::Time;
use wigeonhinge_schema::fleet::Fleet;

use crate::measure::Report;
use crate::measure::Row;
use crate::measure::jobs::load::Load;
use crate::measure::jobs::load::Plan;
use crate::measure::world::World;
use crate::owner::Owner;

/// Time that is measured.
const SPAN: Time = Duration::from_secs(1_200);

/// Jobs that are cancelled together.
const WAVE: usize = 500;

/// Stated target of an urgent start on a full fleet, in milliseconds.
const URGENT_MS: f64 = 1_300.0;

/// Least time of an urgent start on a full fleet, in milliseconds: one write to
/// the store (3 ms) and the shortest checkpoint (50 ms), one hop each (0.3 ms).
const URGENT_BOUND_MS: f64 = 50.6;

/// Figures of one policy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    urgent: Vec<Time>,
    utilisation: f64,
    reserved: f64,
    longest: Time,
    wasted: f64,
    exhausted: f64,
}

/// Measures the first pool of an owner, then a pool of the two-year size.
pub fn run(seed: u64, owner: Owner) -> Report {
    let mut report = Report::new("jobs", &owner.to_string(), seed);
    let load = Load::today(owner);
    measure(&mut report, "", &load, seed);
    measure(&mut report, "two years: ", &Load::grown(owner), seed);
    report
}

fn measure(report: &mut Report, prefix: &str, load: &Load, seed: u64) {
    let plans = load.plans(seed, SPAN);
    let (ours, world) = simulate(load, &plans, seed);
    let first = baseline::run(load, &plans, SPAN);
    let mut push = |row: Row| {
        let metric = format!("{prefix}{}", row.metric);
        report.push(Row { metric, ..row });
    };
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let row = Row::new(
            &format!("urgent start {name}"),
            "ms",
            quantile_ms(&ours.urgent, quantile),
        );
        let other = quantile_ms(&first.urgent, quantile);
        push(
            row.baseline("fcfs", other)
                .bound(URGENT_BOUND_MS)
                .target(URGENT_MS),
        );
    }
    let fcfs = |row: Row, value: f64| row.baseline("fcfs", value);
    let used = Row::new("processors in use", "%", 100.0 * ours.utilisation);
    let most = 100.0 * load.most(plans.iter(), SPAN);
    push(fcfs(used, 100.0 * first.utilisation).bound(most));
    let held = Row::new("scarcest resource reserved", "%", 100.0 * ours.reserved);
    push(held.bound(100.0));
    let longest = Row::new(
        "longest wait, least urgent",
        "s",
        ours.longest.as_secs_f64(),
    );
    push(fcfs(longest, first.longest.as_secs_f64()).bound(0.0));
    let wasted = Row::new("work wasted by preemption", "%", 100.0 * ours.wasted);
    push(fcfs(wasted, 100.0 * first.wasted).bound(0.0));
    let lost = Row::new("work wasted by far-off sizes", "%", 100.0 * ours.exhausted);
    push(fcfs(lost, 100.0 * first.exhausted).bound(0.0));
    let jobs = world.stats.first.len().max(1) as f64;
    push(Row::new(
        "store writes per started job",
        "writes",
        world.stats.writes as f64 / jobs,
    ));
    let bytes = world.stats.bytes as f64 / SPAN.as_secs_f64();
    push(Row::new("store bytes written", "B/s", bytes));
    push(Row::new(
        "jobs ended well",
        "jobs",
        world.stats.done.len() as f64,
    ));
    let writes = wave(load, seed);
    let row = Row::new(
        &format!("store writes for {WAVE} cancellations"),
        "writes",
        writes,
    );
    push(row.baseline("one each", WAVE as f64).bound(1.0));
}

/// Runs the scheduler over the plans.
fn simulate(load: &Load, plans: &[Plan], seed: u64) -> (Figures, World) {
    let mut world = World::new(&load.fleet, &load.pool, 1, seed);
    let origin = world.now;
    let mut used = 0.0;
    let mut reserved = 0.0;
    let mut plans_left = plans.iter().peekable();
    let steps = SPAN.as_millis() / 100;
    for step in 0..steps {
        let now = Duration::from_millis(u64::try_from(step * 100).unwrap_or(0));
        while let Some(plan) = plans_left.next_if(|plan| plan.at <= now) {
            world.run((origin + plan.at).saturating_sub(world.now));
            world.submit(plan.job.clone(), plan.truth.clone());
        }
        world.run((origin + now + Duration::from_millis(100)).saturating_sub(world.now));
        used += busy(&world, load);
        reserved += held(&world);
    }
    let waited = |plan: &Plan| {
        let first = world.stats.first.get(plan.job.id.as_str());
        let at = first.map_or(SPAN, |at| at.saturating_sub(origin));
        at.saturating_sub(plan.at)
    };
    let stats = &world.stats;
    let all = stats.worked + stats.wasted + stats.exhausted;
    let figures = Figures {
        urgent: urgent(plans).map(waited).collect(),
        utilisation: used / steps as f64,
        reserved: reserved / steps as f64,
        longest: idle(plans).map(waited).max().unwrap_or_default(),
        wasted: stats.wasted / all.max(1.0),
        exhausted: stats.exhausted / all.max(1.0),
    };
    (figures, world)
}

/// Counts the writes that follow a wave of cancellations on a full pool.
fn wave(load: &Load, seed: u64) -> f64 {
    let mut world = World::new(&load.fleet, &load.pool, 1, seed);
    let plans = load.backlog(seed, WAVE);
    for plan in &plans {
        world.submit(plan.job.clone(), plan.truth.clone());
    }
    world.run(Duration::from_secs(20));
    let before = world.stats.writes;
    for plan in &plans {
        world.cancel(&plan.job.id);
    }
    world.run(Duration::from_secs(10));
    (world.stats.writes - before) as f64
}

fn busy(world: &World, load: &Load) -> f64 {
    let cores = load.cores(&load.fleet);
    let used: u64 = world.workers.values().map(|worker| worker.busy()).sum();
    (used as f64 / (1_000.0 * cores)).min(1.0)
}

/// Reserved share of the resource that is reserved most.
fn held(world: &World) -> f64 {
    let (total, used) = world.scheduler().load();
    let share = |used: i32, total: i32| f64::from(used) / f64::from(total.max(1));
    share(used.millicores, total.millicores)
        .max(share(used.memory_mb, total.memory_mb))
        .max(share(used.accelerators, total.accelerators))
}

fn urgent(plans: &[Plan]) -> impl Iterator<Item = &Plan> {
    plans.iter().filter(|plan| plan.job.priority == 0)
}

fn idle(plans: &[Plan]) -> impl Iterator<Item = &Plan> {
    plans.iter().filter(|plan| plan.job.priority == 3)
}

fn quantile_ms(times: &[Time], quantile: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return f64::NAN;
    };
    for time in times {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        // A histogram without bounds grows with each record.
        let _ = histogram.record(micros);
    }
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

impl Load {
    /// Share of the processors that the jobs could use at most, as their memory,
    /// their accelerators or their number is the limit.
    fn most<'a>(&self, plans: impl Iterator<Item = &'a Plan>, span: Time) -> f64 {
        let vms = || {
            self.fleet
                .inventory
                .iter()
                .filter(|vm| vm.pool == self.pool)
        };
        let memory: f64 = vms().map(|vm| vm.memory_mb as f64).sum();
        let devices: f64 = vms().map(|vm| f64::from(vm.accelerators)).sum();
        let mut need = [0.0; 3];
        for plan in plans {
            let (time, peak) = (plan.truth.run.as_secs_f64(), plan.truth.peak);
            need[0] += time * f64::from(peak.millicores) / 1_000.0 / self.cores(&self.fleet);
            need[1] += time * peak.memory_mb as f64 / memory;
            need[2] += time * f64::from(peak.accelerators) / devices.max(1.0);
        }
        let limit = need
            .iter()
            .fold(span.as_secs_f64(), |most, need| most.max(*need));
        need[0] / limit
    }

    fn cores(&self, fleet: &Fleet) -> f64 {
        let vms = fleet.inventory.iter().filter(|vm| vm.pool == self.pool);
        vms.map(|vm| f64::from(vm.cores)).sum()
    }
}
