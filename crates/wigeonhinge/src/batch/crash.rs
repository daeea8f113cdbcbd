//! Crashes of workers, and tasks that cause them.
//!
//! A task may crash each worker that starts it, and takes all other runs of the worker with it. A
//! crash counts against the runs that may have caused it, and a task that keeps causing crashes is
//! given up. A worker that is only silent is no crash: this needs an answer of another instance at
//! its address, a new incarnation, or a new worker on its machine, in the registry or in the list of
//! machines.
//!
//! The runs that a crash counts against most are those that had just been started and those of
//! suspects, tasks that earlier crashes counted against. A task whose run was just started when the
//! worker became silent is a suspect as well, as a crashed worker may be back only after its lease has
//! ended.
//!
//! Suspects start apart from other tasks until their runs have survived, so that a further crash tells
//! which task caused it. Weak suspects, with one crash or loss against them, start together: after the
//! loss of a zone there are many, and one worker for each of them would leave none for other tasks. If
//! their worker crashes as well, they are strong suspects, and each of them starts alone.
//!
//! A task that was lost at its start again waits until it is known whether its workers crashed, and
//! then starts on a worker that has no other new run. Otherwise it might crash more workers than the
//! platform allows before the first crashes are known.
//!
//! A start without an answer may not have been carried out when its worker crashed. Such a crash
//! makes a suspect, but it takes two crashes under runs that are known to have been on their workers
//! to give a task up, or as many possible ones as the platform allows starts.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::batch::Batch;
use crate::batch::DEREGISTRATION_TIME;
use crate::batch::LostRunRow;
use crate::batch::Phase;
use crate::batch::Run;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::batch::WorkerEntry;
use crate::batch::WorkerId;
use crate::batch::task::Task;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::batch::worker::Worker;
use crate::id::JobId;
use crate::id::Time;

/// Time for which a worker must have had a run until the run counts as having survived its start; a
/// crash at the start follows within some 10 ms.
const SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// The same for a long-running task, whose later crashes do not count. A task that crashes its
/// workers after this time is not found, and one that lives through a crash each second is kept.
const LONG_RUNNING_SURVIVAL_TIME: Duration = Duration::from_millis(800);

/// Suspicion that a crash adds to a possible cause, and to a run that had survived its start.
const SUSPICION: (u32, u32) = (2, 1);

/// Suspicion from which a task is a suspect: one crash at its start, or two later ones.
const SUSPECT: u32 = 2;

/// Suspicion from which the only possible cause of a crash is given up: two crashes. The platform
/// allows giving up after two crashes, and at most two more starts after three.
const LIMIT: u32 = 4;

/// The same for a long-running task, which lives through more crashes that it does not cause.
const LONG_RUNNING_LIMIT: u32 = 6;

/// Suspicion from which one of several possible causes is given up: four crashes.
const SHARED_LIMIT: u32 = 8;

/// Crashes under runs that are known to have been on their workers, without which no task is given
/// up. The platform allows giving up only after two crashes.
const MIN_CRASHES: u32 = 2;

/// Possible crashes from which a task is given up although others may have caused them. If all of them
/// were crashes, another start would be the third one after three, which the platform does not allow.
const MAX_POSSIBLE_CRASHES: u32 = 5;

/// Runs that were lost at their starts, from which a task does not start beside other new runs.
const ISOLATION_LOSSES: u32 = 2;

/// Time after the end of a lease in which the next instance of a crashed worker is waited for.
const EVIDENCE_TIME: Duration = Duration::from_secs(8);

/// Time after the end of a lease for which an isolated task is held back while it is unknown whether
/// its workers crashed. Workers come back within 9 s of a crash, and a lease ends 3.9 s after it.
const HOLD_TIME: Duration = Duration::from_secs(5);

/// The same for a long-running task, which has to run again within 6 s of the end of its last run.
const LONG_RUNNING_HOLD_TIME: Duration = Duration::from_secs(2);

/// How much speaks for a task crashing the workers that start it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum SuspicionLevel {
    /// Nothing, or crashes that its runs had outlived for long.
    #[default]
    None,
    /// One worker that crashed or was lost at the start of a run. After the loss of a zone or a rack
    /// there are many such tasks, hardly any of which is the cause.
    Weak,
    /// More than that.
    Strong,
}

/// Run that was on a worker when the worker crashed or its lease ended.
#[derive(Clone, Debug)]
pub(super) struct Casualty {
    task: TaskId,
    run: Run,
    long_running: bool,
    /// Whether it had not survived its start, or its task is a suspect.
    possible_cause: bool,
    /// Whether it is known to have been on the worker.
    seen: bool,
}

impl Casualty {
    /// Returns `None` if no start of the run was sent.
    pub(super) fn new(task: &TaskId, run: &RunState) -> Option<Self> {
        (run.stage != Stage::Reserved).then(|| Self {
            task: task.clone(),
            run: run.run,
            long_running: run.long_running,
            possible_cause: !run.survived || run.suspicion != SuspicionLevel::None,
            seen: run.seen,
        })
    }
}

impl Task {
    /// Returns how much speaks for the task crashing its workers.
    pub(super) fn suspicion_level(&self) -> SuspicionLevel {
        match self.suspicion >= SUSPECT || self.lost_at_start > 0 {
            false => SuspicionLevel::None,
            true if self.suspicion <= SUSPICION.0 && self.lost_at_start < ISOLATION_LOSSES => {
                SuspicionLevel::Weak
            }
            true => SuspicionLevel::Strong,
        }
    }

    /// Returns the suspicion that decides where a task of a step may start. The members of a gang
    /// start together, wherever they fit.
    pub(super) fn start_suspicion(&self, step: &Step) -> SuspicionLevel {
        match step.gang {
            true => SuspicionLevel::None,
            false => self.suspicion_level(),
        }
    }

    /// Returns how many workers may have crashed by a run of the task: those that are counted, and those
    /// that were lost at the start of a run and of which nothing is known since.
    fn possible_crashes(&self) -> u32 {
        let unknown = self.unknown_fates.iter();
        let unknown = unknown.filter(|LostRunRow(_, _, possible_cause, _)| *possible_cause);
        self.suspicion / SUSPICION.0 + unknown.count() as u32
    }

    /// Returns whether the task must not start again, as it might crash one worker too many.
    pub(super) fn is_exhausted(&self) -> bool {
        self.crashes >= MIN_CRASHES && self.possible_crashes() >= MAX_POSSIBLE_CRASHES
    }

    /// Returns whether the task must not start on a worker with other new runs.
    pub(super) fn is_isolated(&self) -> bool {
        self.lost_at_start >= ISOLATION_LOSSES
    }
}

impl RunState {
    /// Returns for how long a worker must have had it until it counts as having survived its start.
    pub(super) fn survival_time(&self) -> Duration {
        match self.long_running {
            true => LONG_RUNNING_SURVIVAL_TIME,
            false => SURVIVAL_TIME,
        }
    }
}

impl Worker {
    /// Returns whether a task may start beside the runs that have not survived their starts.
    pub(super) fn may_start_beside(&self, suspicion: SuspicionLevel) -> bool {
        match self.fresh.keys().next_back() {
            None | Some(SuspicionLevel::None) => true,
            Some(SuspicionLevel::Weak) => suspicion == SuspicionLevel::Weak,
            Some(SuspicionLevel::Strong) => false,
        }
    }

    /// Returns the cost of a start on the worker, besides its other costs; 0 for the best workers.
    ///
    /// A suspect starts without others, so that a crash tells which task caused it. Weak suspects
    /// start together, so that they keep few workers from other tasks.
    pub(super) fn start_cost(&self, suspicion: SuspicionLevel) -> u32 {
        let beside = |kind| self.fresh.contains_key(&kind);
        match suspicion {
            SuspicionLevel::None => 0,
            SuspicionLevel::Weak if beside(SuspicionLevel::None) => 2,
            SuspicionLevel::Weak => u32::from(!beside(SuspicionLevel::Weak)),
            SuspicionLevel::Strong => u32::from(!self.fresh.is_empty()),
        }
    }

    /// Returns whether it is still unknown whether the worker crashed when its lease ended.
    pub(super) fn fate_unknown(&self, now: Time) -> bool {
        !self.lapsed.is_empty() && now.saturating_sub(self.lapsed_at) < EVIDENCE_TIME
    }

    /// Returns whether the worker is expected to go away, so that its end is no crash.
    fn is_leaving(&self, now: Time) -> bool {
        let ordered = self.ordered_at;
        self.drained
            || self.cordoned
            || ordered.is_some_and(|time| now.saturating_sub(time) < DEREGISTRATION_TIME)
    }
}

impl Batch {
    /// Queues the tasks of a worker that is gone again, but for the runs that its next incarnation
    /// lists; if it crashed, the crash counts against them.
    pub(super) fn worker_gone(
        &mut self,
        id: &WorkerId,
        listed: &BTreeSet<(TaskId, Run)>,
        now: Time,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let lapsed = std::mem::take(&mut worker.lapsed);
        self.fate_known(id, &lapsed);
        let mut casualties = lapsed;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let runs = worker.runs.iter();
        let lost = runs.filter(|(task, run)| !listed.contains(&((*task).clone(), run.run)));
        casualties.extend(lost.filter_map(|(task, run)| Casualty::new(task, run)));
        let leaving = worker.is_leaving(now);
        self.lose_runs(id, listed, now);
        if !leaving && !casualties.is_empty() {
            self.count_crash(id, casualties, now);
        }
    }

    /// Ends the runs of the worker that a machine had before it registered a new one.
    ///
    /// The list of machines is read seconds apart, so that it may never name a worker that crashes
    /// soon after it has registered.
    pub(super) fn end_predecessor(&mut self, entry: &WorkerEntry, now: Time) {
        if entry.machine.is_empty() || entry.incarnation == 0 {
            return;
        }
        let known = self.newest_workers.get(&entry.machine);
        let known = known.filter(|id| **id != entry.id).cloned();
        let previous = known.as_ref().and_then(|id| self.workers.get(id));
        let born = previous.map_or(0, |worker| worker.entry.incarnation);
        // The entry of a worker that is gone may be read after that of the next one.
        if born >= entry.incarnation {
            return;
        }
        // The end of one that drains is no crash, and it may still work.
        let leaving = previous.is_some_and(|worker| worker.is_leaving(now));
        let (machine, id) = (entry.machine.clone(), entry.id.clone());
        self.newest_workers.insert(machine, id);
        if let Some(previous) = known.filter(|_| born != 0 && !leaving) {
            self.worker_gone(&previous, &BTreeSet::new(), now);
        }
    }

    /// Records that a worker has or had a run for certain.
    pub(super) fn run_seen(&mut self, id: &WorkerId, task: &TaskId, run: Run) {
        let worker = self.workers.get_mut(id);
        let state = worker.and_then(|worker| worker.runs.get_mut(task));
        if let Some(state) = state.filter(|state| state.run == run) {
            state.seen = true;
        }
    }

    /// Records that a run survived its start, so that the worker may start other tasks.
    pub(super) fn run_survived(&mut self, id: &WorkerId, task: &TaskId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let job = self.jobs.get_mut(&task.job);
        let Some(state) = job.and_then(|job| job.task_mut(task)) else {
            return;
        };
        state.lost_at_start = 0;
        if worker.runs.get(task).is_some_and(|it| it.long_running) {
            // It outlives many workers, and their crashes would add up.
            state.suspicion = 0;
            state.crashes = 0;
            state.unknown_fates.clear();
        }
        worker.survive(task, state.suspicion_level());
        self.dirty_pools.insert(worker.entry.pool.clone());
    }

    /// Removes a run whose worker's lease has ended; a crash of the worker may become known later.
    pub(super) fn run_lapsed(&mut self, id: &WorkerId, task: &TaskId, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.has_reported = false;
        worker.lapsed_at = now;
        let run = worker.remove(task);
        let Some(casualty) = run.and_then(|it| Casualty::new(task, &it)) else {
            return;
        };
        let job = self.jobs.get_mut(&task.job);
        let gang = job.as_ref().and_then(|job| job.step(task.step));
        let gang = gang.is_some_and(|step| step.gang);
        if let Some(state) = job.and_then(|job| job.task_mut(task)) {
            state.lost_at_start += u32::from(casualty.possible_cause);
            let Casualty {
                run,
                possible_cause,
                seen,
                ..
            } = casualty;
            let lost = LostRunRow(id.clone(), run, possible_cause, seen);
            state.unknown_fates.push(lost);
            if (state.is_isolated() && !gang) || state.is_exhausted() {
                state.held_until = now + hold_time(casualty.long_running);
            }
        }
        worker.lapsed.push(casualty);
    }

    /// Takes over from a predecessor what is not known of the workers that had runs of a job.
    pub(super) fn adopt_fates(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let tasks: Vec<TaskId> = job.tasks().map(|(task, _)| task).collect();
        let mut adopted: BTreeSet<WorkerId> = BTreeSet::new();
        for task in tasks {
            let step = job.step(task.step);
            let (long_running, gang) = step.map_or((false, false), |it| (it.long_running, it.gang));
            let Some(state) = job.task_mut(&task) else {
                continue;
            };
            // A worker that left the registry is asked no more, so its fate stays unknown.
            let workers = &mut self.workers;
            let asked = state.unknown_fates.iter();
            let asked = asked.filter(|lost| workers.contains_key(&lost.0)).count() > 0;
            if asked && ((state.is_isolated() && !gang) || state.is_exhausted()) {
                state.held_until = now + hold_time(long_running);
            }
            for LostRunRow(worker, run, possible_cause, seen) in &state.unknown_fates {
                if let Some(worker) = workers.get_mut(worker) {
                    worker.lapsed_at = now;
                    worker.lapsed.push(Casualty {
                        task: task.clone(),
                        run: *run,
                        long_running,
                        possible_cause: *possible_cause,
                        seen: *seen,
                    });
                }
            }
            // The first report of a newer incarnation shows that the one of the run is gone.
            if let Some(worker) = state.worker().and_then(|it| workers.get_mut(it))
                && state.incarnation != 0
            {
                worker.incarnation = state.incarnation;
                adopted.extend(state.worker().cloned());
            }
        }
        for id in adopted {
            self.check_adopted(&id, now);
        }
    }

    /// Records that it is known whether a worker crashed.
    pub(super) fn fate_known(&mut self, id: &WorkerId, casualties: &[Casualty]) {
        for casualty in casualties {
            let job = self.jobs.get_mut(&casualty.task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(&casualty.task)) {
                state.unknown_fates.retain(|lost| lost.0 != *id);
            }
        }
    }

    fn count_crash(&mut self, id: &WorkerId, casualties: Vec<Casualty>, now: Time) {
        let causes = casualties.iter().filter(|it| it.possible_cause).count();
        self.log(format!(
            "jobs: worker {id} crashed with {} runs, {causes} of them possible causes",
            casualties.len()
        ));
        for casualty in casualties {
            let Casualty { task, run, .. } = &casualty;
            let job = self.jobs.get_mut(&task.job);
            let Some(state) = job.and_then(|job| job.task_mut(task)) else {
                continue;
            };
            let limit = match (casualty.possible_cause, causes, casualty.long_running) {
                (false, _, true) => continue,
                (true, 1, true) => LONG_RUNNING_LIMIT,
                (true, 1, false) => LIMIT,
                _ => SHARED_LIMIT,
            };
            if state.done() {
                continue;
            }
            state.suspicion += match casualty.possible_cause {
                true => SUSPICION.0,
                false => SUSPICION.1,
            };
            state.crashes += u32::from(casualty.seen);
            let suspicion = state.suspicion;
            let crashes = state.crashes;
            self.bump_version(&task.job);
            if casualty.possible_cause {
                self.log(format!(
                    "jobs: {task} run {run} may have crashed worker {id}, suspicion {suspicion}, \
                     {crashes} crashes known"
                ));
            }
            let confirmed = suspicion >= limit && crashes >= MIN_CRASHES;
            if confirmed || suspicion >= SUSPICION.0 * MAX_POSSIBLE_CRASHES {
                self.give_up(task, now);
            }
        }
    }

    /// Ends the job of a task that crashes its workers.
    pub(super) fn give_up(&mut self, task: &TaskId, now: Time) {
        self.log(format!(
            "jobs: {task} is given up as it crashes its workers; its job fails"
        ));
        self.finish(&task.job, Phase::Failed, now);
    }
}

/// Returns for how long a task is held back for evidence of the crashes of its workers.
fn hold_time(long_running: bool) -> Duration {
    match long_running {
        true => LONG_RUNNING_HOLD_TIME,
        false => HOLD_TIME,
    }
}
