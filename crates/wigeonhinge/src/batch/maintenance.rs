//! Maintenance waves: take each machine of a wave into maintenance once.
//!
//! At most the wave's limit of machines are down at a time, and no step of a job has more tasks
//! unavailable than it allows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::CONTACT_TIMEOUT;
use crate::batch::MachineState;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::machines::Order;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::batch::worker::StopReason;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::VmId;

/// Machines of a wave that may be drained in advance, beyond the wave's limit.
const MAX_PREPARED: usize = 2;

/// Time before a wave's deadline from which machines go down without waiting for short runs.
const URGENT_TIME: Duration = Duration::from_secs(4);

/// Time before that in which no short run is relocated, as it might resume on a machine of the wave;
/// most runs of the known sites end within it.
const UNDISTURBED_TIME: Duration = Duration::from_secs(3);

/// Time from the end of a maintenance to the worker's first report.
const RECOVERY_TIME: Duration = Duration::from_millis(700);

/// Factor on the time that the rest of a wave needs; with less time left, busy machines are drained
/// without limits per pool.
const PRESSURE_FACTOR: f64 = 1.6;

/// Ready tasks in one pool above which no machine in service is drained, unless time runs out.
const STRAINED_QUEUE: usize = 8;

/// Time to drain a machine with long-running tasks.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);

/// Time for which a worker may still report a run that a predecessor stopped: the platform bounds
/// a stop by 400 ms, and sending the order takes some milliseconds.
const STOP_REPORT_DELAY: Duration = Duration::from_millis(600);

/// Drain cost from which a machine counts as busy, which is the cost of one run.
const BUSY_COST: u64 = 100;

/// Request to maintain a set of machines by a deadline.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wave {
    /// Number that identifies the wave.
    pub number: u64,
    /// Machines to maintain.
    pub machines: Vec<VmId>,
    /// Time until the deadline when the scheduler receives the request.
    pub remaining: Duration,
    /// Maximum number of its machines that are down at the same time.
    pub limit: usize,
    /// Machines whose maintenance was ordered and accepted.
    pub done: BTreeSet<VmId>,
    /// Whether the wave was published as completed.
    pub completed: bool,
}

/// Time for which a machine of a wave has to be missing in the platform's list until it counts as
/// gone.
const ABSENCE_TIME: Duration = Duration::from_secs(5);

/// Requested waves by number, including completed ones.
#[derive(Debug, Default)]
pub(super) struct MaintenanceWaves {
    waves: BTreeMap<u64, ActiveWave>,
}

#[derive(Debug)]
struct ActiveWave {
    wave: Wave,
    /// Machines whose maintenance was not accepted yet.
    pending: BTreeSet<VmId>,
    /// Pending machines that the platform's list lacks, with the time since when.
    missing: BTreeMap<VmId, Time>,
    deadline: Time,
    published: bool,
}

impl MaintenanceWaves {
    pub(super) fn add(&mut self, wave: Wave, now: Time) {
        let deadline = now + wave.remaining;
        let published = wave.completed;
        let pending = wave.machines.iter().filter(|it| !wave.done.contains(*it));
        let pending = pending.cloned().collect();
        self.waves.entry(wave.number).or_insert(ActiveWave {
            wave,
            pending,
            missing: BTreeMap::new(),
            deadline,
            published,
        });
    }

    /// Returns the machines of all waves whose maintenance was not accepted yet.
    pub(super) fn pending_machines(&self) -> impl Iterator<Item = &VmId> {
        let active = self.waves.values().filter(|it| !it.published);
        active.flat_map(|it| &it.pending)
    }

    /// Returns whether machines of a wave may soon go down without waiting for short runs.
    pub(super) fn nearly_due(&self, now: Time) -> bool {
        let mut active = self.waves.values().filter(|it| !it.pending.is_empty());
        active.any(|it| !it.published && now + URGENT_TIME + UNDISTURBED_TIME >= it.deadline)
    }

    /// Returns whether a wave is not completed.
    pub(super) fn active(&self) -> bool {
        self.waves.values().any(|it| !it.published)
    }

    pub(super) fn set_limit(&mut self, wave: u64, limit: usize) {
        if let Some(active) = self.waves.get_mut(&wave) {
            active.wave.limit = limit;
        }
    }

    pub(super) fn mark_done(&mut self, wave: u64, machine: &VmId) {
        if let Some(active) = self.waves.get_mut(&wave) {
            active.wave.done.insert(machine.clone());
            active.pending.remove(machine);
        }
    }

    pub(super) fn progress(&self, wave: u64) -> BTreeSet<VmId> {
        let active = self.waves.get(&wave);
        active.map(|it| it.wave.done.clone()).unwrap_or_default()
    }
}

impl Batch {
    /// Returns the machines of a wave whose maintenance was accepted; none if the wave is unknown.
    pub fn wave_progress(&self, wave: u64) -> BTreeSet<VmId> {
        self.maintenance.progress(wave)
    }

    /// Returns whether the machines of a wave are all back in service.
    pub fn wave_settled(&self, wave: u64, now: Time) -> bool {
        let active = self.maintenance.waves.get(&wave);
        active.is_some_and(|active| {
            let machines = active.wave.machines.iter();
            let mut known = machines.filter_map(|id| self.machines.get(id));
            active.published && !known.any(|managed| managed.down(now))
        })
    }

    pub(super) fn advance_waves(&mut self, now: Time) {
        if self.machines.is_empty() {
            return;
        }
        let numbers: Vec<u64> = self.maintenance.waves.keys().copied().collect();
        for number in numbers {
            self.advance_wave(number, now);
        }
    }

    fn advance_wave(&mut self, number: u64, now: Time) {
        let Some(active) = self.maintenance.waves.get(&number) else {
            return;
        };
        if active.published {
            return;
        }
        let limit = active.wave.limit;
        let urgent = now + URGENT_TIME >= active.deadline;
        let open = active.pending.iter();
        let open: Vec<VmId> = open
            .filter(|it| self.machines.contains_key(*it))
            .cloned()
            .collect();
        let down = active.wave.machines.iter();
        let down = down
            .filter(|it| {
                self.machines
                    .get(*it)
                    .is_some_and(|managed| managed.down(now))
            })
            .count();
        if open.is_empty() {
            if self.missing_machines_gone(number, now) {
                self.publish(number);
            }
            return;
        }
        if limit == 0 {
            return;
        }
        let rounds = open.len().div_ceil(limit) as u32;
        let needed = (self.bounds.maintenance + RECOVERY_TIME) * (rounds + 1);
        let pressed = now + needed.mul_f64(PRESSURE_FACTOR) + URGENT_TIME >= active.deadline;
        let mut by_cost: Vec<(u64, VmId)> = open
            .iter()
            .map(|machine| (self.drain_cost(machine), machine.clone()))
            .collect();
        by_cost.sort();
        let mut slots = limit.saturating_sub(down);
        let mut prepared = 0;
        let left = active
            .deadline
            .saturating_sub(now + URGENT_TIME)
            .as_secs_f64();
        let allowed = self.drains_at_once(&by_cost, left);
        let mut draining: BTreeMap<PoolId, usize> = BTreeMap::new();
        let strained = self
            .ready
            .values()
            .any(|ready| ready.open_len() > STRAINED_QUEUE);
        for (cost, machine) in by_cost {
            if prepared >= limit + MAX_PREPARED {
                break;
            }
            let Some(managed) = self.machines.get(&machine) else {
                continue;
            };
            if managed.order_active(now)
                || managed.machine.state != MachineState::Up
                || managed.planned_pool.is_some()
            {
                continue;
            }
            if managed.listing_outdated()
                || !self.worker_known(managed, now)
                || !self.may_order(&machine, now)
            {
                continue;
            }
            // It receives tasks of another machine that is drained, which would go back there.
            if self.holds.any_on(&managed.machine.worker) {
                continue;
            }
            // While there is time, each pool drains only as many busy machines at once as the
            // deadline requires; idle ones do not count.
            let busy = cost >= BUSY_COST;
            // While tasks wait, only standby machines can be spared.
            if strained && !pressed && !self.catalog.is_standby(&managed.machine.pool) {
                continue;
            }
            if busy && !pressed {
                let pool = &managed.machine.pool;
                let count = draining.entry(pool.clone()).or_default();
                *count += 1;
                if *count > allowed.get(pool).copied().unwrap_or(1) {
                    continue;
                }
            }
            let worker = managed.machine.worker.clone();
            prepared += 1;
            if self.drain(&worker, urgent, now) && slots > 0 {
                slots -= 1;
                self.send_order(&machine, Order::Maintain(number), now);
            }
        }
    }

    /// Returns whether the pending machines of a wave that are not known have been missing in the
    /// platform's list for long enough, or belong to other partitions.
    fn missing_machines_gone(&mut self, number: u64, now: Time) -> bool {
        let Some(active) = self.maintenance.waves.get_mut(&number) else {
            return false;
        };
        let mut gone = true;
        let missing = active.pending.iter();
        for machine in missing.filter(|it| !self.foreign_machines.contains(*it)) {
            let since = *active.missing.entry(machine.clone()).or_insert(now);
            gone &= now.saturating_sub(since) > ABSENCE_TIME;
        }
        gone
    }

    /// Returns how many busy machines of each pool to drain at a time, so that all of them are
    /// drained within the `left` seconds.
    fn drains_at_once(&self, by_cost: &[(u64, VmId)], left: f64) -> BTreeMap<PoolId, usize> {
        let mut busy: BTreeMap<PoolId, usize> = BTreeMap::new();
        for (_, machine) in by_cost.iter().filter(|(cost, _)| *cost >= BUSY_COST) {
            if let Some(managed) = self.machines.get(machine) {
                *busy.entry(managed.machine.pool.clone()).or_default() += 1;
            }
        }
        let drain_time = DRAIN_TIME.as_secs_f64();
        let at_once =
            |count: usize| (count as f64 * drain_time / left.max(drain_time)).ceil() as usize;
        busy.into_iter()
            .map(|(pool, count)| (pool, at_once(count).max(1)))
            .collect()
    }

    /// Publishes a wave as completed.
    fn publish(&mut self, number: u64) {
        if let Some(active) = self.maintenance.waves.get_mut(&number) {
            active.published = true;
            self.actions.push(Action::Publish {
                wave: number,
                completed: true,
            });
        }
    }

    /// Returns the cost of draining a machine: least without runs, most with long-running tasks,
    /// and lower for cordoned machines of otherwise equal cost.
    fn drain_cost(&self, machine: &VmId) -> u64 {
        let worker = self
            .machines
            .get(machine)
            .map(|managed| &managed.machine.worker);
        let Some(worker) = worker.and_then(|id| self.workers.get(id)) else {
            return 0;
        };
        let uncordoned = u64::from(!worker.cordoned);
        worker
            .runs
            .values()
            .map(|run| match run.long_running {
                true => 10_000,
                false => 100 + u64::from(100 - run.percent.min(100)),
            })
            .sum::<u64>()
            + uncordoned
    }

    /// Cordons a worker and stops its long-running tasks that may move; returns whether its machine
    /// may go down now.
    ///
    /// Short runs are left to end; if `urgent`, the machine goes down without waiting for them. A
    /// worker none of whose long-running tasks has room elsewhere stays in service: it would stand
    /// still until another machine joins its pool, for 20 s in the fault soak.
    pub(super) fn drain(&mut self, id: &WorkerId, urgent: bool, now: Time) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return true;
        };
        let was_cordoned = std::mem::replace(&mut worker.cordoned, true);
        worker.cordoned_at = worker.cordoned_at.max(now);
        let settled = |run: &RunState| match run.stage {
            Stage::Confirmed(since) => run.percent >= 100 || now.saturating_sub(since) > DRAIN_TIME,
            Stage::Reserved | Stage::Starting | Stage::Stopping(..) => false,
        };
        let starting: BTreeSet<TaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.long_running && !settled(run))
            .map(|(task, _)| task.clone())
            .collect();
        let runs: Vec<(TaskId, bool, Stage)> = worker
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.long_running, run.stage))
            .collect();
        let staying = runs.iter().filter(|(_, long_running, _)| *long_running);
        let staying: Vec<TaskId> = staying.map(|(task, ..)| task.clone()).collect();
        if !staying.is_empty() && !staying.iter().any(|task| self.fits_elsewhere(task, now)) {
            self.hold_future_room(id, &staying, now);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.cordoned = false;
                if was_cordoned {
                    self.dirty_pools.insert(worker.entry.pool.clone());
                }
            }
            return false;
        }
        let mut drained = true;
        for (task, long_running, stage) in runs {
            // The start of a reserved run may already be on its way to the store and can't be taken
            // back, so the run is stopped once it was sent.
            if matches!(stage, Stage::Stopping(..) | Stage::Reserved) {
                if long_running {
                    self.hold_room(&task, now);
                }
                drained = false;
                continue;
            }
            // Other machines of the wave may have moved it here; a task that starts is left to get to
            // work, as they would pass it to each other.
            if long_running
                && !starting.contains(&task)
                && self.may_stop(&task, now)
                && self.hold_room(&task, now)
            {
                self.log(format!("waves: {task} is stopped to drain worker {id}"));
                self.stop(id, &task, StopReason::Drain);
            }
            if long_running || !urgent {
                drained = false;
            }
        }
        drained
    }

    /// Holds room on another worker for a long-running task until it starts there; returns whether
    /// there is any. Otherwise short tasks would take it before the present run has ended.
    fn hold_room(&mut self, task: &TaskId, now: Time) -> bool {
        let job = self.jobs.get(&task.job);
        let Some(step) = job.and_then(|it| it.step(task.step)).cloned() else {
            return true;
        };
        let worker = self.choose_worker(task, &step, (&[], &BTreeSet::new()), now);
        let found = worker.is_some();
        if let Some(worker) = worker {
            self.holds.hold(task, worker, step.size(), now);
        }
        found
    }

    /// Holds room on another worker for one of the long-running tasks of a worker, which becomes free
    /// when short runs end. Otherwise short tasks that wait would take it at once each time, and a
    /// wave would wait until none are left.
    fn hold_future_room(&mut self, source: &WorkerId, staying: &[TaskId], now: Time) {
        let excluded = BTreeSet::from([source.clone()]);
        let mut stoppable = staying.iter().filter(|task| self.may_stop(task, now));
        let found = stoppable.find_map(|task| {
            let worker = self.worker_to_reserve(task, &excluded, now)?;
            Some((task, worker))
        });
        let Some((task, worker)) = found else {
            return;
        };
        let job = self.jobs.get(&task.job);
        if let Some(size) = job.and_then(|it| it.step(task.step)).map(Step::size) {
            self.holds.hold(task, worker, size, now);
        }
    }

    /// Returns whether another worker has capacity for a task.
    pub(super) fn fits_elsewhere(&mut self, task: &TaskId, now: Time) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|it| it.step(task.step)).cloned();
        step.is_none_or(|step| {
            self.choose_worker(task, &step, (&[], &BTreeSet::new()), now)
                .is_some()
        })
    }

    /// Returns whether a long-running task may be stopped now without exceeding the number of
    /// unavailable tasks that its step allows.
    pub(super) fn may_stop(&self, task: &TaskId, now: Time) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let Some(limit) = job.step(task.step).map(|step| step.max_unavailable) else {
            return true;
        };
        let limit = limit.unwrap_or(1).max(1) as usize;
        let available = |run: &RunState| match run.stage {
            Stage::Confirmed(since) => {
                run.percent >= 100 && now.saturating_sub(since) >= STOP_REPORT_DELAY
            }
            Stage::Reserved | Stage::Starting | Stage::Stopping(..) => false,
        };
        let siblings = job.tasks().filter(|(id, _)| {
            id.occurrence == task.occurrence && id.step == task.step && id.index != task.index
        });
        let unavailable = siblings.filter(|(id, state)| {
            let worker = state.worker().and_then(|worker| self.workers.get(worker));
            // A worker that lost power keeps its runs here until its lease ends.
            let responsive =
                worker.filter(|it| now.saturating_sub(it.reported_at) < CONTACT_TIMEOUT);
            let run = responsive.and_then(|worker| worker.runs.get(id));
            !run.is_some_and(available)
        });
        unavailable.count() < limit
    }
}
