//! Reports of workers and phases of their VMs.

use std::collections::BTreeSet;

use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::jobs::State;
use wigeonhinge_schema::ledger::Phase;

use crate::id::JobId;
use crate::id::Time;
use crate::id::VmId;
use crate::job::JobEvent;
use crate::job::is_ended;
use crate::place;
use crate::place::Capacity;
use crate::scheduler::Action;
use crate::scheduler::Command;
use crate::scheduler::Scheduler;
use crate::scheduler::Task;
use crate::scheduler::TaskReport;
use crate::scheduler::TaskState;
use crate::scheduler::WorkerReport;
use crate::scheduler::tasks::Assignment;
use crate::scheduler::tasks::Stage;
use crate::scheduler::tasks::StopReason;

impl Scheduler {
    pub(in crate::scheduler) fn on_reports(&mut self, reports: Vec<WorkerReport>, now: Time) {
        let ready = self.ready(now);
        let mut updated = false;
        for report in reports {
            let before = self.incarnations.get(&report.worker).copied();
            if before.is_none_or(|before| before < report.incarnation) {
                self.incarnations
                    .insert(report.worker.clone(), report.incarnation);
                updated = true;
            }
            if ready {
                self.on_restart(&report, now);
                for task in report.tasks {
                    self.on_task_report(&report.worker, task, now);
                }
            }
        }
        if updated {
            self.update_usable();
            self.capacity_freed = true;
        }
    }

    /// Handles the tasks of workers that no longer accept work, and reinstates
    /// suspects that were out of service.
    pub(in crate::scheduler) fn vacate_workers(&mut self, now: Time) {
        if !self.ready(now) {
            return;
        }
        let phases: Vec<(VmId, Phase)> = self
            .phases
            .iter()
            .filter(|(_, phase)| !place::accepts_work(**phase))
            .map(|(worker, phase)| (worker.clone(), *phase))
            .collect();
        for (worker, phase) in phases {
            for id in self.placer.jobs_on(&worker) {
                self.vacate(&id, phase, now);
            }
        }
        self.reinstate_suspects();
    }

    fn vacate(&mut self, id: &JobId, phase: Phase, now: Time) {
        let Some(assignment) = self.assignments.get(id) else {
            return;
        };
        let restartable = self.jobs.get(id).is_some_and(|job| job.idempotent);
        if place::tasks_lost(phase) {
            self.on_task_lost(id, "its worker was lost", now);
        } else if !assignment.start_sent() {
            self.stop(id, StopReason::Vacate, now);
        } else if phase == Phase::Draining && restartable && assignment.stage == Stage::Running {
            self.checkpoint(id, now);
        }
    }

    /// Handles the loss of tasks that a restart of their worker ended.
    fn on_restart(&mut self, report: &WorkerReport, now: Time) {
        let listed: BTreeSet<&Task> = report.tasks.iter().map(|report| &report.task).collect();
        for id in self.placer.jobs_on(&report.worker) {
            let (Some(job), Some(assignment)) = (self.jobs.get(&id), self.assignments.get(&id))
            else {
                continue;
            };
            let task = Task {
                job: id.clone(),
                attempt: assignment.attempt,
            };
            let older = job.incarnation < report.incarnation;
            if older && assignment.start_sent() && !listed.contains(&task) {
                self.on_task_lost(&id, "its worker restarted", now);
            }
        }
    }

    fn on_task_report(&mut self, worker: &VmId, report: TaskReport, now: Time) {
        let id = report.task.job.clone();
        let assignment = self.assignments.get(&id);
        let own = assignment.is_some_and(|assignment| {
            assignment.worker == *worker
                && assignment.attempt == report.task.attempt
                && assignment.start_sent()
        });
        if !own {
            return self.on_stray_report(worker, report, now);
        }
        self.raise_usage(&id, report.peak, now);
        match report.state {
            TaskState::Running => {
                let stage = self.assignments.get(&id).map(|assignment| assignment.stage);
                if matches!(stage, Some(Stage::StartSent | Stage::Uncertain)) {
                    self.on_running(&id, None, now);
                }
            }
            TaskState::Done => self.on_done(&id, now),
            TaskState::Failed(reason) => self.on_failed(&id, true, &reason, now),
            TaskState::Stopped => self.on_stopped(&id, true, 0, now),
        }
    }

    /// Raises the reservation of a task to its observed usage. If the worker then
    /// lacks memory, the least urgent tasks on it are checkpointed and stopped.
    fn raise_usage(&mut self, id: &JobId, peak: Size, now: Time) {
        let Some(assignment) = self.assignments.get_mut(id) else {
            return;
        };
        assignment.peak.millicores = assignment.peak.millicores.max(peak.millicores);
        assignment.peak.memory_mb = assignment.peak.memory_mb.max(peak.memory_mb);
        let wanted = assignment.size.max(Capacity {
            accelerators: 0,
            ..Capacity::from(assignment.peak)
        });
        if wanted == assignment.size {
            return;
        }
        assignment.size = wanted;
        let worker = assignment.worker.clone();
        self.placer.set_size(id, wanted);
        for victim in self.placer.memory_victims(&worker) {
            self.checkpoint(&victim, now);
        }
    }

    /// Handles the report of a task that is not assigned to this worker.
    fn on_stray_report(&mut self, worker: &VmId, report: TaskReport, now: Time) {
        let id = &report.task.job;
        let job = self.jobs.get(id);
        let same = |job: &&wigeonhinge_schema::jobs::Job| {
            job.worker == *worker && job.attempts == report.task.attempt
        };
        let unknown = job
            .filter(same)
            .is_some_and(|job| job.state() == State::Unknown);
        match report.state {
            TaskState::Running if unknown => self.readopt(id, worker, report.task.attempt, now),
            TaskState::Running if self.is_obsolete(worker, &report.task) => {
                self.actions.push(Action::Command {
                    worker: worker.clone(),
                    task: report.task,
                    command: Command::Stop,
                    fence: self.fence(),
                });
            }
            TaskState::Done if unknown => self.end_job(id, State::Done, "", now),
            TaskState::Failed(reason) if unknown => self.end_job(id, State::Failed, &reason, now),
            _ => {}
        }
    }

    /// Returns whether a task must not run, as its job has ended, was started again or
    /// is not known.
    fn is_obsolete(&self, worker: &VmId, task: &Task) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        is_ended(job.state()) || job.worker != *worker || job.attempts != task.attempt
    }

    /// Resumes a job in state unknown whose task turns out to be running, or stops the task
    /// if the job was cancelled.
    fn readopt(&mut self, id: &JobId, worker: &VmId, attempt: u32, now: Time) {
        let size = self.jobs.get(id).and_then(|job| job.size);
        if self.jobs.apply(JobEvent::Run(id.clone())).is_err() || !self.placer.contains(worker) {
            return;
        }
        let size = size.unwrap_or_default().into();
        let mut assignment = Assignment::new(worker.clone(), attempt, size, false, BTreeSet::new());
        assignment.stage = Stage::Running;
        assignment.ran = true;
        self.assignments.insert(id.clone(), assignment);
        self.reserve(id, now);
        self.set_timer(id, now, Time::ZERO);
        self.mark_dirty(id, false, now);
        if self.cancelled.remove(id) {
            self.stop(id, StopReason::Cancel, now);
        }
    }
}
