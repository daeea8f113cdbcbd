//! Load of a pool: jobs over time, with declared and real sizes.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wigeonhinge::id::Time;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Rules;
use wigeonhinge_schema::fleet::Team;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::Size;

use crate::measure::world::Truth;
use crate::owner::Owner;
use crate::owner::RACK_VMS;

/// Classes of jobs; each has its own real size and error of declaration.
const CLASSES: usize = 20;

/// Declared size as a multiple of the real one, by class.
const ERRORS: [f64; 5] = [0.3, 1.0, 1.0, 3.0, 8.0];

/// Workers of a pool in two years: 820 over 20 pools.
const GROWN_WORKERS: usize = 41;

/// Accelerators of a pool in two years: 1,800 over 20 pools.
const GROWN_ACCELERATORS: u32 = 90;

/// Teams in two years.
const GROWN_TEAMS: u32 = 300;

/// Cores of a team's quota in two years: 820 workers with 16 cores over 300.
const GROWN_QUOTA: u32 = 43;

/// A pool and the load on it.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) fleet: Fleet,
    pub(crate) pool: String,
    teams: Vec<String>,
    memory_mb: u64,
    accelerators: bool,
    workers: usize,
}

/// A job and when it arrives.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) at: Time,
    pub(crate) job: Job,
    pub(crate) truth: Truth,
}

struct Class {
    name: String,
    millicores: u32,
    memory_mb: u64,
    error: f64,
}

impl Load {
    /// The first pool of an owner.
    pub(crate) fn today(owner: Owner) -> Self {
        let fleet = owner.fleet();
        let (pool, _) = owner.services()[0];
        let rules = fleet.rules.iter();
        let teams = rules.flat_map(|rules| rules.teams.iter().map(|team| team.name.clone()));
        let workers = fleet.inventory.iter().filter(|vm| vm.pool == pool);
        Self {
            teams: teams.collect(),
            pool: pool.to_owned(),
            memory_mb: owner.memory_mb(),
            accelerators: false,
            workers: workers.count(),
            fleet,
        }
    }

    /// A pool of the two-year size.
    pub(crate) fn grown(owner: Owner) -> Self {
        let team = |index: u32| Team {
            name: format!("team-{index}"),
            cores: GROWN_QUOTA,
            memory_mb: u64::from(GROWN_QUOTA) * owner.memory_mb() / 16,
            accelerators: 6,
        };
        let teams: Vec<Team> = (0..GROWN_TEAMS).map(team).collect();
        let vm = |index: usize| Vm {
            name: format!("vm-{index:03}"),
            pool: "grown".into(),
            zone: format!("zone-{}", index / RACK_VMS % 8),
            rack: format!("rack-{}", index / RACK_VMS),
            cores: 16,
            memory_mb: owner.memory_mb(),
            accelerators: accelerators(index),
        };
        let pool = Pool {
            name: "grown".into(),
            max_unavailable: 4,
            ..Pool::default()
        };
        Self {
            teams: teams.iter().map(|team| team.name.clone()).collect(),
            pool: pool.name.clone(),
            memory_mb: owner.memory_mb(),
            accelerators: true,
            workers: GROWN_WORKERS,
            fleet: Fleet {
                rules: Some(Rules {
                    pools: vec![pool],
                    teams,
                    ..Rules::default()
                }),
                inventory: (0..GROWN_WORKERS).map(vm).collect(),
                ..Fleet::default()
            },
        }
    }

    /// Jobs that fill the pool over a time: a backlog of the least urgent work
    /// that never ends, a steady stream of normal work, and urgent work.
    pub(crate) fn plans(&self, seed: u64, span: Time) -> Vec<Plan> {
        let mut rng = Pcg64::seed_from_u64(seed);
        let classes = self.classes(&mut rng);
        let workers = self.workers as f64;
        let streams = [
            (3, 0.022 * workers, 60..300),
            (1, 0.008 * workers, 30..120),
            (0, 0.1_f64.max(0.004 * workers), 5..30),
        ];
        let mut plans = self.backlog(seed, 10 * self.workers);
        for (priority, rate, run) in streams {
            let mut at = Time::from_secs(if priority == 0 { 30 } else { 0 });
            while at < span {
                let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
                at += Duration::from_secs_f64(gap);
                let class = &classes[rng.random_range(0..CLASSES)];
                let id = format!("p{priority}-{}", plans.len());
                let run = Duration::from_secs(rng.random_range(run.clone()));
                plans.push(self.plan(&mut rng, (id, priority), class, (at, run)));
            }
        }
        plans.sort_by_key(|plan| plan.at);
        plans.retain(|plan| plan.at < span);
        plans
    }

    /// Jobs of the least urgent class that all arrive at the start.
    pub(crate) fn backlog(&self, seed: u64, count: usize) -> Vec<Plan> {
        let mut rng = Pcg64::seed_from_u64(seed ^ 1);
        let classes = self.classes(&mut rng);
        let mut plans = Vec::new();
        for index in 0..count {
            let class = &classes[rng.random_range(0..CLASSES)];
            let run = Duration::from_secs(rng.random_range(60..300));
            let id = format!("back-{index}");
            plans.push(self.plan(&mut rng, (id, 3), class, (Time::ZERO, run)));
        }
        plans
    }

    fn classes(&self, rng: &mut Pcg64) -> Vec<Class> {
        let class = |index: usize| Class {
            name: format!("class-{index}"),
            millicores: rng.random_range(5..40) * 100,
            memory_mb: self.memory_mb * rng.random_range(2..25) / 100,
            error: ERRORS[index % ERRORS.len()],
        };
        (0..CLASSES).map(class).collect()
    }

    fn plan(
        &self,
        rng: &mut Pcg64,
        (id, priority): (String, u32),
        class: &Class,
        (at, run): (Time, Time),
    ) -> Plan {
        let spread = rng.random_range(0.7..1.0);
        let real = Size {
            millicores: (f64::from(class.millicores) * spread) as u32,
            memory_mb: (class.memory_mb as f64 * spread) as u64,
            accelerators: match self.accelerators && rng.random_bool(0.15) {
                true => rng.random_range(1..4),
                false => 0,
            },
        };
        let declared = Size {
            millicores: ((f64::from(real.millicores) * class.error) as u32).min(16_000),
            memory_mb: ((real.memory_mb as f64 * class.error) as u64).min(self.memory_mb),
            ..real
        };
        let idempotent = rng.random_bool(0.8);
        Plan {
            at,
            job: Job {
                id,
                team: self.teams[rng.random_range(0..self.teams.len())].clone(),
                class: class.name.clone(),
                priority,
                size: Some(declared),
                idempotent,
                ..Job::default()
            },
            truth: Truth {
                run,
                peak: real,
                fails: false,
                once: !idempotent,
            },
        }
    }
}

/// Accelerators of a worker: four on each until all are placed.
fn accelerators(index: usize) -> u32 {
    let before = 4 * u32::try_from(index).unwrap_or(u32::MAX / 4);
    GROWN_ACCELERATORS.saturating_sub(before).min(4)
}
