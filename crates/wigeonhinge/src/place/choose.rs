//! Choice of a worker for a job.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;

use crate::id::JobId;
use crate::id::VmId;
use crate::place::Held;
use crate::place::Placer;
use crate::place::Zone;
use crate::place::capacity::Capacity;
use crate::place::held::kept;
use crate::place::level;
use crate::place::tree::LEVELS;
use crate::place::tree::Want;

/// Workers that are compared for the least wasted work.
const COMPARED: usize = 8;

/// What a job asks of its worker.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Size to reserve.
    pub size: Capacity,
    /// Level of the job; see [`level`](crate::place::level).
    pub level: usize,
    /// Zone that it must run in; empty for any.
    pub zone: String,
    /// Group that is spread over zones and racks; empty for none.
    pub group: String,
    /// Whether it may be stopped and started again.
    pub movable: bool,
    /// Whether it may use every worker although it cannot be moved.
    pub anywhere: bool,
    /// Whether it may preempt less urgent levels.
    pub preempt: bool,
    /// Workers that it failed on.
    pub avoid: BTreeSet<VmId>,
    /// Spreads jobs without a group over the zones.
    pub seed: u64,
}

impl Request {
    /// Work that cannot be moved goes to the last workers of a zone, elsewhere
    /// only when it is urgent or waits long, and all other work to the first, so
    /// that some workers can always be cleared entirely.
    fn want(&self, level: usize) -> Want {
        Want {
            level,
            need: self.size,
            last: !self.movable,
        }
    }
}

/// A task that makes room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Victim {
    /// Job of the task.
    pub job: JobId,
    /// Whether it is stopped; otherwise it is throttled.
    pub stop: bool,
}

/// A worker for a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Worker.
    pub worker: VmId,
    /// Tasks that have to make room first, the least urgent first.
    pub victims: Vec<Victim>,
}

impl Placer {
    /// Finds a worker: free capacity first, then the least urgent work that has
    /// to make room, with the least work wasted.
    ///
    /// ```
    /// use wigeonhinge::place::Capacity;
    /// use wigeonhinge::place::Placer;
    /// use wigeonhinge::place::Request;
    /// use wigeonhinge_schema::fleet::Vm;
    ///
    /// let vm = Vm { name: "w1".into(), cores: 4, memory_mb: 8_192, ..Vm::default() };
    /// let mut placer = Placer::new([&vm]);
    /// placer.usable("w1", true);
    /// let size = Capacity { millicores: 2_000, memory_mb: 1_024, accelerators: 0 };
    /// let plan = placer.plan("index", &Request { size, ..Request::default() });
    /// assert_eq!(plan.unwrap().worker, "w1");
    /// ```
    pub fn plan(&self, job: &str, request: &Request) -> Option<Plan> {
        if let Some(at) = self.first(job, request, LEVELS) {
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
            .find_map(|level| self.evict(job, request, level))
    }

    fn first(&self, job: &str, request: &Request, level: usize) -> Option<usize> {
        let mut found = None;
        for span in self.spans(request) {
            let hit = self.tree.search(span, request.want(level), &mut |at| {
                let open = self.open(at, job, request);
                found = open.then_some(at);
                open
            });
            if hit {
                break;
            }
        }
        found
    }

    fn evict(&self, job: &str, request: &Request, level: usize) -> Option<Plan> {
        let mut best: Option<(i64, usize, Vec<Victim>)> = None;
        let mut compared = 0;
        for span in self.spans(request) {
            let full = self.tree.search(span, request.want(level), &mut |at| {
                if !self.open(at, job, request) {
                    return false;
                }
                compared += 1;
                let (waste, victims) = self.victims(at, request.size, level);
                if best.as_ref().is_none_or(|(least, ..)| waste < *least) {
                    best = Some((waste, at, victims));
                }
                compared >= COMPARED
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

    /// Chooses the tasks of a worker at this level or less urgent that make
    /// room, and returns the wasted work with them.
    fn victims(&self, at: usize, need: Capacity, level: usize) -> (i64, Vec<Victim>) {
        let worker = &self.workers[at];
        let mut free = worker.total.minus(worker.used);
        let mut tasks: Vec<(&JobId, &Held)> = worker
            .jobs
            .iter()
            .map(|job| (job, &self.held[job]))
            .filter(|(_, held)| held.level >= level && held.gives() != Capacity::default())
            .collect();
        tasks.sort_by_key(|(_, held)| Reverse((held.level, held.since)));
        let mut chosen: BTreeMap<&JobId, (&Held, bool)> = BTreeMap::new();
        if need.memory_mb <= free.memory_mb && need.accelerators <= free.accelerators {
            for (job, held) in tasks.iter().filter(|(_, held)| !held.throttled) {
                if need.millicores <= free.millicores {
                    break;
                }
                free.millicores += held.size.millicores - kept(held.size.millicores);
                chosen.insert(job, (held, false));
            }
        }
        for (job, held) in tasks.iter().filter(|(_, held)| held.movable) {
            if need.fits(free) {
                break;
            }
            let before = chosen.insert(job, (held, true));
            let lent = before.map_or(0, |_| held.size.millicores - kept(held.size.millicores));
            free = free.plus(held.holds());
            free.millicores -= lent;
        }
        for (job, held) in tasks
            .iter()
            .filter(|(_, held)| !held.movable && !held.throttled)
        {
            if need.millicores <= free.millicores || chosen.contains_key(job) {
                continue;
            }
            free = free.plus(held.gives());
            chosen.insert(job, (held, false));
        }
        spare(&mut chosen, free, need);
        let waste = chosen.values().filter(|(_, stop)| *stop);
        let waste = waste.map(|(held, _)| waste_of(held)).sum();
        let victims = tasks.iter().filter_map(|(job, _)| {
            let (_, stop) = chosen.get(job)?;
            Some(Victim {
                job: (*job).clone(),
                stop: *stop,
            })
        });
        (waste, victims.collect())
    }

    fn open(&self, at: usize, job: &str, request: &Request) -> bool {
        let claimed = self.claims.get(&at);
        let urgent = level(0, false) == request.level;
        let kept = claimed.is_some_and(|other| other != job && !urgent);
        !kept && !request.avoid.contains(&self.workers[at].name)
    }

    /// Returns the parts of the worker list to search, the best first.
    fn spans(&self, request: &Request) -> Vec<Range<usize>> {
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
            .filter(|zone| request.size.accelerators == 0 || !zone.plain)
            .enumerate()
            .map(|(at, zone)| (!zone.plain, count(&zone.span), turn(request.seed, at), zone))
            .collect();
        zones.sort_by_key(|(dear, count, turn, _)| (*dear, *count, *turn));
        if members.is_none() {
            let spans = zones.iter().map(|(.., zone)| zone.span.clone());
            if request.movable {
                return spans.collect();
            }
            let fixed = zones.iter().map(|(.., zone)| zone.fixed());
            let spans = spans.filter(|_| request.anywhere);
            return fixed.chain(spans).collect();
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
    /// Workers for work that cannot be moved: the last ones, two in five.
    fn fixed(&self) -> Range<usize> {
        self.span.end - (self.span.len() * 2).div_ceil(5)..self.span.end
    }
}

/// Drops chosen tasks that turned out not to be needed, the most wasteful first.
fn spare(chosen: &mut BTreeMap<&JobId, (&Held, bool)>, mut free: Capacity, need: Capacity) {
    let mut order: Vec<(&JobId, Capacity, i64)> = chosen
        .iter()
        .filter(|(_, (_, stop))| *stop)
        .map(|(job, (held, _))| (*job, held.holds(), waste_of(held)))
        .collect();
    order.sort_by_key(|(_, _, waste)| Reverse(*waste));
    for (job, gives, _) in order {
        if need.fits(free.minus(gives)) {
            free = free.minus(gives);
            chosen.remove(job);
        }
    }
}

/// Weight of the work that a stop puts at risk: processors and accelerators
/// held. The latest start comes first among equals by the order of the tasks.
fn waste_of(held: &Held) -> i64 {
    i64::from(held.size.millicores) + 8_000 * i64::from(held.size.accelerators)
}

/// Order of a zone among others of the same count.
fn turn(seed: u64, zone: usize) -> u64 {
    let zone = u64::try_from(zone).unwrap_or(0) + 1;
    (seed ^ zone.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}
