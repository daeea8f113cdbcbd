//! First come, first served by declared sizes: the oldest job starts on the first
//! worker with room, and all others wait for it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use wigeonhinge::id::Time;
use wigeonhinge_schema::jobs::Size;

use crate::measure::jobs::Figures;
use crate::measure::jobs::load::Load;
use crate::measure::jobs::load::Plan;

/// Time after which a task uses its real size.
const PEAK: Time = Duration::from_secs(2);

/// Attempts after which a job that runs out of memory is given up.
const ATTEMPTS: u32 = 5;

struct Worker {
    free: Size,
    memory: u64,
    running: Vec<Running>,
}

struct Running {
    plan: usize,
    began: Time,
    peaked: bool,
}

struct Pool<'a> {
    plans: &'a [Plan],
    workers: Vec<Worker>,
    queue: VecDeque<usize>,
    first: BTreeMap<usize, Time>,
    attempts: BTreeMap<usize, u32>,
    worked: f64,
    lost: f64,
}

/// Runs the plans in steps of 100 ms.
pub(crate) fn run(load: &Load, plans: &[Plan], span: Time) -> Figures {
    let vms = load
        .fleet
        .inventory
        .iter()
        .filter(|vm| vm.pool == load.pool);
    let workers = vms.map(|vm| Worker {
        free: Size {
            millicores: vm.cores * 1_000,
            memory_mb: vm.memory_mb,
            accelerators: vm.accelerators,
        },
        memory: vm.memory_mb,
        running: Vec::new(),
    });
    let mut pool = Pool {
        plans,
        workers: workers.collect(),
        queue: VecDeque::new(),
        first: BTreeMap::new(),
        attempts: BTreeMap::new(),
        worked: 0.0,
        lost: 0.0,
    };
    let cores: f64 = load.cores(&load.fleet);
    let (mut used, mut steps, mut arrived) = (0.0, 0.0, 0);
    let mut now = Time::ZERO;
    while now < span {
        while plans.get(arrived).is_some_and(|plan| plan.at <= now) {
            pool.queue.push_back(arrived);
            arrived += 1;
        }
        pool.step(now);
        used += (pool.busy() / (1_000.0 * cores)).min(1.0);
        steps += 1.0;
        now += Duration::from_millis(100);
    }
    let waited = |at: usize| {
        let first = pool.first.get(&at).copied().unwrap_or(span);
        first.saturating_sub(plans[at].at)
    };
    let of = |priority: u32| {
        let all = 0..plans.len();
        all.filter(move |at| plans[*at].job.priority == priority)
    };
    Figures {
        urgent: of(0).map(waited).collect(),
        utilisation: used / steps,
        longest: of(3).map(waited).max().unwrap_or_default(),
        reserved: f64::NAN,
        wasted: 0.0,
        exhausted: pool.lost / (pool.worked + pool.lost).max(1.0),
    }
}

impl Pool<'_> {
    fn step(&mut self, now: Time) {
        for at in 0..self.workers.len() {
            self.finish(at, now);
            self.peak(at, now);
        }
        while let Some(&plan) = self.queue.front() {
            let size = self.plans[plan].job.size.unwrap_or_default();
            let fits = |worker: &&mut Worker| {
                size.millicores <= worker.free.millicores
                    && size.memory_mb <= worker.free.memory_mb
                    && size.accelerators <= worker.free.accelerators
            };
            let Some(worker) = self.workers.iter_mut().find(fits) else {
                break;
            };
            worker.free.millicores -= size.millicores;
            worker.free.memory_mb -= size.memory_mb;
            worker.free.accelerators -= size.accelerators;
            worker.running.push(Running {
                plan,
                began: now,
                peaked: false,
            });
            self.first.entry(plan).or_insert(now);
            self.queue.pop_front();
        }
    }

    fn finish(&mut self, at: usize, now: Time) {
        let plans = self.plans;
        let over = |running: &Running| running.began + plans[running.plan].truth.run <= now;
        while let Some(index) = self.workers[at].running.iter().position(over) {
            let running = self.remove(at, index);
            let truth = &plans[running.plan].truth;
            self.worked += truth.run.as_secs_f64() * f64::from(truth.peak.millicores);
        }
    }

    /// Ends the task that exceeds its declaration most when memory runs out.
    fn peak(&mut self, at: usize, now: Time) {
        let plans = self.plans;
        let mut news = false;
        for running in &mut self.workers[at].running {
            let peaked = now >= running.began + PEAK;
            news |= peaked && !running.peaked;
            running.peaked = peaked;
        }
        loop {
            let worker = &self.workers[at];
            let use_of = |running: &Running| {
                let peak = plans[running.plan].truth.peak.memory_mb;
                if running.peaked { peak } else { peak / 2 }
            };
            let used: u64 = worker.running.iter().map(use_of).sum();
            if !news || used <= worker.memory {
                break;
            }
            let excess = |running: &Running| {
                let size = plans[running.plan].job.size.unwrap_or_default();
                use_of(running).saturating_sub(size.memory_mb)
            };
            let tasks = worker.running.iter().enumerate();
            let Some((index, _)) = tasks.max_by_key(|(_, running)| excess(running)) else {
                break;
            };
            let running = self.remove(at, index);
            let truth = &plans[running.plan].truth;
            let ran = now.saturating_sub(running.began).as_secs_f64();
            self.lost += ran * f64::from(truth.peak.millicores);
            let attempts = self.attempts.entry(running.plan).or_default();
            *attempts += 1;
            if *attempts < ATTEMPTS && plans[running.plan].job.idempotent {
                self.queue.push_back(running.plan);
            }
        }
    }

    fn remove(&mut self, at: usize, index: usize) -> Running {
        let worker = &mut self.workers[at];
        let running = worker.running.swap_remove(index);
        let size = self.plans[running.plan].job.size.unwrap_or_default();
        worker.free.millicores += size.millicores;
        worker.free.memory_mb += size.memory_mb;
        worker.free.accelerators += size.accelerators;
        running
    }

    fn busy(&self) -> f64 {
        let running = self.workers.iter().flat_map(|worker| &worker.running);
        let used = running.map(|running| self.plans[running.plan].truth.peak.millicores);
        used.map(f64::from).sum()
    }
}
