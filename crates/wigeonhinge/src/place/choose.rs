//! Selection of a worker for a job.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;

use crate::id::JobId;
use crate::id::VmId;
use crate::place::Placer;
use crate::place::Reservation;
use crate::place::Zone;
use crate::place::capacity::Capacity;
use crate::place::preemption_level;
use crate::place::reservation::throttled_millicores;
use crate::place::tree::LEVELS;
use crate::place::tree::Search;

/// Workers whose preemption cost is compared in one search.
const MAX_COMPARED_WORKERS: usize = 8;

/// Requirements of a job on its worker.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Size to reserve.
    pub size: Capacity,
    /// Level of the job; see [`preemption_level`].
    pub level: usize,
    /// Zone that the job must run in; empty for any.
    pub zone: String,
    /// Group whose jobs are spread over zones and racks; empty for none.
    pub group: String,
    /// Whether the job may be stopped and started again.
    pub restartable: bool,
    /// Whether the job may use every worker although it cannot be restarted, as it is
    /// urgent or has waited long; see [`Placer::plan`].
    pub any_worker: bool,
    /// Whether the job may preempt tasks of less urgent levels.
    pub preempt: bool,
    /// Workers to leave out, as the job failed on them or in their racks.
    pub avoid: BTreeSet<VmId>,
    /// Selects the order in which zones are tried, so that jobs without a group
    /// spread over them.
    pub seed: u64,
}

impl Request {
    /// Jobs that cannot be restarted fill the workers of a zone from the end, all
    /// other jobs from the start, so that some workers can always be drained
    /// completely.
    fn search(&self, level: usize) -> Search {
        Search {
            level,
            need: self.size,
            reverse: !self.restartable,
        }
    }
}

/// A task to preempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Victim {
    /// Job of the task.
    pub job: JobId,
    /// Whether the task is stopped; otherwise it is throttled.
    pub stop: bool,
}

/// Placement of a job: its worker and the tasks to preempt there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Worker that the job is placed on.
    pub worker: VmId,
    /// Tasks to preempt before the job starts, the least urgent first.
    pub victims: Vec<Victim>,
}

impl Placer {
    /// Finds a worker for a job; `None` if no worker can take it now.
    ///
    /// Uses free capacity if there is any, and otherwise preempts tasks of the least
    /// urgent level possible, on the worker where the least work is lost. A job
    /// that cannot be restarted uses only the last workers of each zone unless
    /// [`Request::any_worker`] is set.
    ///
    /// ```
    /// use wigeonhinge::place::Capacity;
    /// use wigeonhinge::place::Placer;
    /// use wigeonhinge::place::Request;
    /// use wigeonhinge_schema::fleet::Vm;
    ///
    /// let vm = Vm { name: "w1".into(), cores: 4, memory_mb: 8_192, ..Vm::default() };
    /// let mut placer = Placer::new([&vm]);
    /// placer.set_usable("w1", true);
    /// let size = Capacity { millicores: 2_000, memory_mb: 1_024, accelerators: 0 };
    /// let plan = placer.plan("index", &Request { size, ..Request::default() });
    /// assert_eq!(plan.unwrap().worker, "w1");
    /// ```
    pub fn plan(&self, job: &str, request: &Request) -> Option<Plan> {
        if let Some(at) = self.first_fit(job, request, LEVELS) {
            return Some(Plan {
                worker: self.workers[at].name.clone(),
                victims: Vec::new(),
            });
        }
        if !request.preempt {
            return None;
        }
        let lowest = (request.level + 1..LEVELS).rev();
        lowest
            .into_iter()
            .find_map(|level| self.plan_preemption(job, request, level))
    }

    fn first_fit(&self, job: &str, request: &Request, level: usize) -> Option<usize> {
        let mut found = None;
        for span in self.search_spans(request) {
            let hit = self.tree.search(span, request.search(level), &mut |at| {
                let eligible = self.is_eligible(at, job, request);
                found = eligible.then_some(at);
                eligible
            });
            if hit {
                break;
            }
        }
        found
    }

    fn plan_preemption(&self, job: &str, request: &Request, level: usize) -> Option<Plan> {
        let mut best: Option<(i64, usize, Vec<Victim>)> = None;
        let mut compared = 0;
        for span in self.search_spans(request) {
            let full = self.tree.search(span, request.search(level), &mut |at| {
                if !self.is_eligible(at, job, request) {
                    return false;
                }
                compared += 1;
                let (waste, victims) = self.choose_victims(at, request.size, level);
                if best.as_ref().is_none_or(|(least, ..)| waste < *least) {
                    best = Some((waste, at, victims));
                }
                compared >= MAX_COMPARED_WORKERS
            });
            if full {
                break;
            }
        }
        best.map(|(_, at, victims)| Plan {
            worker: self.workers[at].name.clone(),
            victims,
        })
    }

    /// Chooses the tasks of a worker to preempt, at this level or less urgent, and
    /// returns them with the [work lost](wasted_work).
    fn choose_victims(&self, at: usize, need: Capacity, level: usize) -> (i64, Vec<Victim>) {
        let worker = &self.workers[at];
        let mut free = worker.total.minus(worker.used);
        let mut tasks: Vec<(&JobId, &Reservation)> = worker
            .jobs
            .iter()
            .map(|job| (job, &self.reservations[job]))
            .filter(|(_, task)| task.level >= level && task.preemptible() != Capacity::default())
            .collect();
        tasks.sort_by_key(|(_, task)| Reverse((task.level, task.since)));
        let mut chosen: BTreeMap<&JobId, (&Reservation, bool)> = BTreeMap::new();
        if need.memory_mb <= free.memory_mb && need.accelerators <= free.accelerators {
            for (job, task) in tasks.iter().filter(|(_, task)| !task.throttled) {
                if need.millicores <= free.millicores {
                    break;
                }
                free.millicores +=
                    task.size.millicores - throttled_millicores(task.size.millicores);
                chosen.insert(job, (task, false));
            }
        }
        for (job, task) in tasks.iter().filter(|(_, task)| task.restartable) {
            if need.fits(free) {
                break;
            }
            let before = chosen.insert(job, (task, true));
            let throttled = before.map_or(0, |_| {
                task.size.millicores - throttled_millicores(task.size.millicores)
            });
            free = free.plus(task.occupied());
            free.millicores -= throttled;
        }
        for (job, task) in tasks
            .iter()
            .filter(|(_, task)| !task.restartable && !task.throttled)
        {
            if need.millicores <= free.millicores || chosen.contains_key(job) {
                continue;
            }
            free = free.plus(task.preemptible());
            chosen.insert(job, (task, false));
        }
        drop_unneeded(&mut chosen, free, need);
        let waste = chosen.values().filter(|(_, stop)| *stop);
        let waste = waste.map(|(task, _)| wasted_work(task)).sum();
        let victims = tasks.iter().filter_map(|(job, _)| {
            let (_, stop) = chosen.get(job)?;
            Some(Victim {
                job: (*job).clone(),
                stop: *stop,
            })
        });
        (waste, victims.collect())
    }

    fn is_eligible(&self, at: usize, job: &str, request: &Request) -> bool {
        let claimed = self.claims.get(&at);
        let urgent = preemption_level(0, false) == request.level;
        let kept = claimed.is_some_and(|other| other != job && !urgent);
        !kept && !request.avoid.contains(&self.workers[at].name)
    }

    /// Returns the ranges of the worker list to search, the preferred first: zones
    /// without accelerators, then those (and their racks) with the fewest jobs of
    /// the group.
    fn search_spans(&self, request: &Request) -> Vec<Range<usize>> {
        let members = self.groups.get(&request.group);
        let count = |span: &Range<usize>| {
            members.map_or(0, |members| {
                let inside = members.iter().filter(|(at, _)| span.contains(at));
                inside.count()
            })
        };
        let mut zones: Vec<(bool, usize, u64, &Zone)> = self
            .zones
            .iter()
            .filter(|zone| request.zone.is_empty() || zone.name == request.zone)
            .filter(|zone| request.size.accelerators == 0 || !zone.cpu_only)
            .enumerate()
            .map(|(at, zone)| {
                (
                    !zone.cpu_only,
                    count(&zone.span),
                    zone_order(request.seed, at),
                    zone,
                )
            })
            .collect();
        zones.sort_by_key(|(accelerated, count, order, _)| (*accelerated, *count, *order));
        if members.is_none() {
            let spans = zones.iter().map(|(.., zone)| zone.span.clone());
            if request.restartable {
                return spans.collect();
            }
            let pinned = zones.iter().map(|(.., zone)| zone.pinned_span());
            let spans = spans.filter(|_| request.any_worker);
            return pinned.chain(spans).collect();
        }
        zones
            .into_iter()
            .flat_map(|(.., zone)| {
                let mut racks = zone.racks.clone();
                racks.sort_by_key(|rack| count(rack));
                racks
            })
            .collect()
    }
}

impl Zone {
    /// Returns the workers for jobs that cannot be restarted: the last two fifths.
    fn pinned_span(&self) -> Range<usize> {
        self.span.end - (self.span.len() * 2).div_ceil(5)..self.span.end
    }
}

/// Removes chosen stops that the other victims make unnecessary, starting with
/// those that lose the most work.
fn drop_unneeded(
    chosen: &mut BTreeMap<&JobId, (&Reservation, bool)>,
    mut free: Capacity,
    need: Capacity,
) {
    let mut order: Vec<(&JobId, Capacity, i64)> = chosen
        .iter()
        .filter(|(_, (_, stop))| *stop)
        .map(|(job, (task, _))| (*job, task.occupied(), wasted_work(task)))
        .collect();
    order.sort_by_key(|(_, _, waste)| Reverse(*waste));
    for (job, freed, _) in order {
        if need.fits(free.minus(freed)) {
            free = free.minus(freed);
            chosen.remove(job);
        }
    }
}

/// Returns the cost of stopping a task, in millicores; an accelerator counts as
/// 8 cores. Among equals, the order of the tasks prefers the latest start.
fn wasted_work(task: &Reservation) -> i64 {
    i64::from(task.size.millicores) + 8_000 * i64::from(task.size.accelerators)
}

/// Returns the sort key of a zone among zones with equally many jobs of the group.
fn zone_order(seed: u64, zone: usize) -> u64 {
    let zone = u64::try_from(zone).unwrap_or(0) + 1;
    (seed ^ zone.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}
