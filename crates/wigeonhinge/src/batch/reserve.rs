//! Reservations in time for short tasks that fit on no worker now (backfill).
//!
//! A pass reserves room for the highest ranked short tasks that find no worker: on the workers where
//! they should fit soonest, from the expected ends of the runs there. Tasks of lower rank may use
//! these workers only if the room is left at the expected start, or if they should have ended by
//! then. Tasks of higher rank and long-running ones ignore the reservations. The state is not
//! stored: a successor starts without reservations and makes its own in its first pass.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::batch::Batch;
use crate::batch::Size;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::crash::SuspicionLevel;
use crate::batch::ready::Rank;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::batch::worker::Worker;
use crate::batch::workers::PoolIndex;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::Time;

/// Most reservations of a pool. Each costs a look at its candidates when it is made, and tasks of
/// lower rank a look at the runs of its workers.
const MAX_RESERVATIONS: usize = 4;

/// Workers of a pool for each reservation, so that a small pool does not keep most of its room for
/// tasks that wait.
const WORKERS_PER_RESERVATION: usize = 6;

/// Part of a worker's mean capacity that a task must exceed to get a reservation. Smaller tasks find
/// room again soon, and reservations for them would only keep others waiting.
const LARGE_PART: u64 = 4;

/// Workers that are looked at for a reservation, with most free cores first.
const MAX_SCANNED: usize = 64;

/// Workers whose expected ends of runs are computed for a reservation.
const MAX_CANDIDATES: usize = 16;

/// Shortest time after the expected start until a reservation is given up. A report of an end takes
/// up to 300 ms.
const MIN_GRACE: Duration = Duration::from_millis(400);

/// Time from the placement of a task to its start on the worker, and from its end to the report.
const START_TIME: Duration = Duration::from_millis(50);

/// Part of its expected run time that a run should still need when it has taken longer than that.
const OVERDUE_PART: f64 = 0.2;

/// Least progress in percent from which the end of a run is extrapolated.
const MIN_PERCENT: u32 = 10;

/// Room for one task, or for all tasks of a gang.
#[derive(Debug)]
struct Reservation {
    rank: Rank,
    /// Request of a task.
    size: Size,
    /// Number of tasks by worker.
    places: BTreeMap<WorkerId, u64>,
    /// When all of them should fit.
    start: Time,
    made_at: Time,
    /// Whether the current pass renewed it.
    renewed: bool,
}

/// Numbers of reservations in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BackfillCounts {
    /// Reservations made.
    pub made: usize,
    /// Reservations whose task started on a reserved worker.
    pub used: usize,
    /// Reservations given up because a worker was lost or the start was expected too early.
    pub given_up: usize,
}

/// Reservations in time of all pools.
#[derive(Debug, Default)]
pub(super) struct Backfill {
    pools: BTreeMap<PoolId, Vec<Reservation>>,
    counts: BackfillCounts,
    /// Whether a reservation kept the task that was tried last from a worker.
    blocked: Cell<bool>,
}

/// What a task asks of a worker with a reservation.
#[derive(Debug)]
pub(super) struct Claim {
    pool: PoolId,
    rank: Rank,
    size: Size,
    /// When the task has ended if its run time was underestimated.
    end: Time,
}

impl Reservation {
    /// Returns whether its task should have started so long ago that the estimate was wrong.
    fn is_overdue(&self, now: Time) -> bool {
        let expected = self.start.saturating_sub(self.made_at);
        now > self.start + expected.max(MIN_GRACE)
    }
}

impl Backfill {
    /// Begins a pass over a pool.
    pub(super) fn begin_pass(&mut self, pool: &PoolId) {
        for it in self.pools.get_mut(pool).into_iter().flatten() {
            it.renewed = false;
        }
    }

    /// Ends the part of a pass over the head of the queue: drops the reservations of tasks that do
    /// not wait there any more.
    pub(super) fn end_head(&mut self, pool: &PoolId) {
        if let Some(list) = self.pools.get_mut(pool) {
            list.retain(|it| it.renewed);
            if list.is_empty() {
                self.pools.remove(pool);
            }
        }
    }

    /// Drops the reservations of a job that ended.
    pub(super) fn release_job(&mut self, pool: &PoolId, job: &JobId) {
        if let Some(list) = self.pools.get_mut(pool) {
            list.retain(|it| it.rank.task.job != *job);
        }
    }

    fn take(&mut self, pool: &PoolId, task: &TaskId) -> Option<Reservation> {
        let list = self.pools.get_mut(pool)?;
        let index = list.iter().position(|it| it.rank.task == *task)?;
        Some(list.swap_remove(index))
    }

    /// Adds a reservation in place of those of lower rank on its workers.
    fn add(&mut self, pool: &PoolId, reservation: Reservation) {
        let list = self.pools.entry(pool.clone()).or_default();
        list.retain(|it| {
            !it.places
                .keys()
                .any(|id| reservation.places.contains_key(id))
        });
        list.push(reservation);
    }

    fn renewed(&self, pool: &PoolId) -> impl Iterator<Item = &Reservation> {
        let all = self.pools.get(pool).into_iter().flatten();
        all.filter(|it| it.renewed)
    }
}

impl Batch {
    /// Removes and returns the numbers of reservations in time since the last call.
    pub fn take_backfill_counts(&mut self) -> BackfillCounts {
        std::mem::take(&mut self.backfill.counts)
    }

    /// Returns what a task asks of workers with reservations; `None` if it ignores them or there are
    /// none.
    pub(super) fn claim(
        &self,
        task: &TaskId,
        step: &Step,
        pool: &PoolId,
        now: Time,
    ) -> Option<Claim> {
        self.backfill.blocked.set(false);
        if step.long_running || self.backfill.pools.get(pool)?.is_empty() {
            return None;
        }
        let job = self.jobs.get(&task.job)?;
        let index = match step.gang {
            true => 0,
            false => task.index,
        };
        let lead = TaskId {
            index,
            ..task.clone()
        };
        // A run that may be moved to another worker is not queued; it makes way for tasks that wait.
        let urgency = job.task(&lead)?.queued?;
        let margin = self.demand.run_time_margin(&job.row.queue);
        let run_ms = self.demand.expected_ms(&job.row.queue, step) * margin;
        Some(Claim {
            pool: pool.clone(),
            rank: Rank {
                urgency,
                task: lead,
            },
            size: step.size(),
            end: now + START_TIME + Duration::from_secs_f64(run_ms / 1e3),
        })
    }

    /// Returns whether a task leaves the reservations of higher rank on a worker as they are, beside
    /// what is taken there already.
    pub(super) fn respects_reservations(
        &self,
        claim: &Claim,
        worker: &Worker,
        taken: Size,
        now: Time,
    ) -> bool {
        let list = self.backfill.pools.get(&claim.pool).into_iter().flatten();
        for it in list.filter(|it| it.rank < claim.rank) {
            let Some(count) = it.places.get(&worker.entry.id) else {
                continue;
            };
            if claim.end <= it.start {
                continue;
            }
            let lasting = worker.runs.iter().filter(|(task, run)| {
                self.expected_end(task, run, now)
                    .is_none_or(|end| end > it.start)
            });
            let lasting = lasting.fold(taken, |sum, (_, run)| sum.plus(run.size));
            let needed = claim.size.plus(it.size.scaled(*count)).plus(lasting);
            if !needed.fits(worker.entry.capacity) {
                self.backfill.blocked.set(true);
                return false;
            }
        }
        true
    }

    /// Returns the expected run time of a task in milliseconds.
    pub(super) fn expected_run_ms(&self, task: &TaskId, step: &Step) -> u64 {
        let job = self.jobs.get(&task.job);
        job.map_or(0.0, |job| self.demand.expected_ms(&job.row.queue, step)) as u64
    }

    /// Returns the expected run time of the task that was tried last if a reservation kept it from a
    /// worker, and 0 otherwise.
    pub(super) fn blocked_run_ms(&self, task: &TaskId, step: &Step) -> u64 {
        match self.backfill.blocked.get() {
            true => self.expected_run_ms(task, step).max(1),
            false => 0,
        }
    }

    /// Reserves room for a task without a worker, or renews its reservation; returns whether it has
    /// one.
    pub(super) fn reserve_in_time(
        &mut self,
        rank: &Rank,
        step: &Step,
        excluded: &BTreeSet<WorkerId>,
        now: Time,
    ) -> bool {
        if !self.catalog.backfill || step.long_running {
            return false;
        }
        let Some(job) = self.jobs.get(&rank.task.job) else {
            return false;
        };
        let pool = job.pool.clone();
        let workers = self.workers.pool(&pool).map_or(0, |it| it.len());
        let limit = workers.div_ceil(WORKERS_PER_RESERVATION);
        if self.backfill.renewed(&pool).count() >= limit.min(MAX_RESERVATIONS) {
            return false;
        }
        if !step.gang && !self.is_large(&pool, step.size()) {
            return false;
        }
        // Tasks that may crash their workers wait for other reasons than room.
        let state = job.task(&rank.task);
        if state.is_none_or(|it| it.start_suspicion(step) != SuspicionLevel::None) {
            return false;
        }
        let mut avoided = BTreeSet::new();
        if let Some(mut known) = self.backfill.take(&pool, &rank.task) {
            let holds = known
                .places
                .keys()
                .all(|id| !excluded.contains(id) && self.may_reserve_on(id, &rank.task, step, now));
            if holds && !known.is_overdue(now) {
                known.rank = rank.clone();
                known.renewed = true;
                self.backfill.add(&pool, known);
                return true;
            }
            self.backfill.counts.given_up += 1;
            avoided = known.places.into_keys().collect();
        }
        let Some((places, start)) = self.find_places(rank, step, (excluded, &avoided), now) else {
            return false;
        };
        self.backfill.counts.made += 1;
        let reservation = Reservation {
            rank: rank.clone(),
            size: step.size(),
            places,
            start,
            made_at: now,
            renewed: true,
        };
        self.backfill.add(&pool, reservation);
        true
    }

    /// Returns whether tasks of a size are large for the workers of a pool.
    pub(super) fn is_large(&self, pool: &PoolId, size: Size) -> bool {
        let capacity = self.workers.pool(pool).and_then(PoolIndex::mean_capacity);
        capacity.is_some_and(|it| !size.fits(it.divided(LARGE_PART)))
    }

    /// Removes the reservation of a task that has a worker or does not wait any more.
    pub(super) fn release_reservation(&mut self, pool: &PoolId, task: &TaskId) {
        let Some(reservation) = self.backfill.take(pool, task) else {
            return;
        };
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let worker = state.and_then(|state| state.worker());
        if worker.is_some_and(|id| reservation.places.contains_key(id)) {
            self.backfill.counts.used += 1;
        }
    }

    /// Returns the workers on which a task or its gang should fit soonest, and when; a gang that
    /// should share a rack gets workers of one rack if there are enough among the candidates.
    fn find_places(
        &self,
        rank: &Rank,
        step: &Step,
        (excluded, avoided): (&BTreeSet<WorkerId>, &BTreeSet<WorkerId>),
        now: Time,
    ) -> Option<(BTreeMap<WorkerId, u64>, Time)> {
        let job = self.jobs.get(&rank.task.job)?;
        let pool = self.workers.pool(&job.pool)?;
        let taken: BTreeSet<&WorkerId> = self
            .backfill
            .renewed(&job.pool)
            .flat_map(|it| it.places.keys())
            .collect();
        let free = |id: &&WorkerId| {
            !taken.contains(*id) && !excluded.contains(*id) && !avoided.contains(*id)
        };
        let candidates = pool.emptiest().take(MAX_SCANNED).filter(free);
        let candidates = candidates.filter(|id| self.may_reserve_on(id, &rank.task, step, now));
        let count = match step.gang {
            true => step.count as usize,
            false => 1,
        };
        let mut starts: Vec<(Time, &WorkerId)> = Vec::new();
        let mut racks: BTreeMap<&[CompactString], Vec<(Time, &WorkerId)>> = BTreeMap::new();
        for id in candidates.take(MAX_CANDIDATES) {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let times = self.expected_starts(worker, step, count, now);
            let times = times.into_iter().map(|time| (time, id));
            if step.gang && step.same_rack {
                let rack = racks.entry(&worker.entry.labels).or_default();
                rack.extend(times.clone());
            }
            starts.extend(times);
        }
        let soonest = |mut starts: Vec<(Time, &WorkerId)>| {
            starts.sort();
            starts.truncate(count);
            let start = starts.last()?.0;
            let mut places: BTreeMap<WorkerId, u64> = BTreeMap::new();
            for (_, id) in &starts {
                *places.entry((*id).clone()).or_default() += 1;
            }
            (starts.len() == count).then_some((places, start))
        };
        let of_racks = racks.into_values().filter_map(soonest);
        of_racks
            .min_by_key(|(_, start)| *start)
            .or_else(|| soonest(starts))
    }

    /// Returns whether a worker may have room for a task once its short runs end.
    fn may_reserve_on(&self, id: &WorkerId, task: &TaskId, step: &Step, now: Time) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let room = worker.entry.capacity.minus(worker.long_running);
        worker.accepts_work(now)
            && !worker.paused(now)
            && self
                .jobs
                .get(&task.job)
                .is_some_and(|it| it.pool == worker.entry.pool)
            && step.size().fits(room)
            && (step.requires.is_empty() || worker.entry.labels.contains(&step.requires))
            && (step.max_per_worker == 0
                || self.siblings(worker, task, &BTreeMap::new()) < step.max_per_worker)
            && !self.holds.any_on(id)
            && !self.reservations.values().any(|it| it == id)
    }

    /// Returns when the first, second, and further tasks of a step should fit on a worker, up to
    /// `count`.
    fn expected_starts(&self, worker: &Worker, step: &Step, count: usize, now: Time) -> Vec<Time> {
        let ends = worker.runs.iter().filter_map(|(task, run)| {
            let end = self.expected_end(task, run, now)?;
            Some((end, run.size))
        });
        let mut ends: Vec<(Time, Size)> = ends.collect();
        ends.sort();
        let limit = match step.max_per_worker {
            0 => count,
            limit => count.min(limit as usize),
        };
        let mut used = worker.used;
        let mut starts = Vec::new();
        let mut time = now;
        let mut ends = ends.into_iter();
        loop {
            let fits = |starts: &[Time]| {
                let needed = step.size().scaled(starts.len() as u64 + 1).plus(used);
                needed.fits(worker.entry.capacity)
            };
            while starts.len() < limit && fits(&starts) {
                starts.push(time);
            }
            match ends.next() {
                Some((end, size)) if starts.len() < limit => {
                    time = time.max(end);
                    used = used.minus(size);
                }
                _ => return starts,
            }
        }
    }

    /// Returns when a run should end; `None` if that is unknown.
    fn expected_end(&self, task: &TaskId, run: &RunState, now: Time) -> Option<Time> {
        if run.long_running || run.unanswered_at.is_some() {
            return None;
        }
        let job = self.jobs.get(&task.job);
        let Some((job, step)) = job.and_then(|job| Some((job, job.step(task.step)?))) else {
            // The job has ended, so that the run is being stopped.
            return Some(now + MIN_GRACE);
        };
        let expected = self.demand.expected_ms(&job.row.queue, step).max(1.0) / 1e3;
        let expected = Duration::from_secs_f64(expected);
        let since = match run.stage {
            Stage::Reserved | Stage::Starting => return Some(now + START_TIME + expected),
            Stage::Confirmed(since) => since,
            Stage::Stopping(..) => return Some(now + MIN_GRACE),
        };
        let resumed = job
            .task(task)
            .is_some_and(|state| !state.checkpoint.is_empty());
        let percent = run.percent.min(100);
        let end = match (percent >= MIN_PERCENT, resumed) {
            (true, false) => {
                let elapsed = run.progressed_at.saturating_sub(since);
                since + elapsed.mul_f64(100.0 / f64::from(percent))
            }
            (true, true) => run.progressed_at + expected.mul_f64(f64::from(100 - percent) / 100.0),
            (false, _) => since + expected,
        };
        // A run that takes longer than expected should end soon, but not at once.
        Some(match end > now {
            true => end,
            false => now + expected.mul_f64(OVERDUE_PART),
        })
    }
}
