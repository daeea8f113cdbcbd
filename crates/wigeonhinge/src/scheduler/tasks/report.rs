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
use crate::scheduler::tasks::Live;
use crate::scheduler::tasks::Step;
use crate::scheduler::tasks::Why;

impl Scheduler {
    pub(in crate::scheduler) fn reports(&mut self, reports: Vec<WorkerReport>, now: Time) {
        let ready = self.ready(now);
        let mut news = false;
        for report in reports {
            let before = self.incarnations.get(&report.worker).copied();
            if before.is_none_or(|before| before < report.incarnation) {
                self.incarnations
                    .insert(report.worker.clone(), report.incarnation);
                news = true;
            }
            if ready {
                self.restarted(&report, now);
                for task in report.tasks {
                    self.task_report(&report.worker, task, now);
                }
            }
        }
        if news {
            self.update_usable();
            self.freed = true;
        }
    }

    /// Acts on the tasks of workers that no longer take work.
    pub(in crate::scheduler) fn leave_workers(&mut self, now: Time) {
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
                self.leave(&id, phase, now);
            }
        }
        self.return_suspects();
    }

    fn leave(&mut self, id: &JobId, phase: Phase, now: Time) {
        let Some(live) = self.live.get(id) else {
            return;
        };
        let restartable = self.jobs.get(id).is_some_and(|job| job.idempotent);
        if place::tasks_lost(phase) {
            self.lose_task(id, "its worker was lost", now);
        } else if !live.was_asked() {
            self.stop(id, Why::Room, now);
        } else if phase == Phase::Draining && restartable && live.step == Step::Running {
            self.save(id, now);
        }
    }

    /// Gives up the tasks that a restart of their worker ended.
    fn restarted(&mut self, report: &WorkerReport, now: Time) {
        let listed: BTreeSet<&Task> = report.tasks.iter().map(|report| &report.task).collect();
        for id in self.placer.jobs_on(&report.worker) {
            let (Some(job), Some(live)) = (self.jobs.get(&id), self.live.get(&id)) else {
                continue;
            };
            let task = Task {
                job: id.clone(),
                attempt: live.attempt,
            };
            let older = job.incarnation < report.incarnation;
            if older && live.was_asked() && !listed.contains(&task) {
                self.lose_task(&id, "its worker restarted", now);
            }
        }
    }

    fn task_report(&mut self, worker: &VmId, report: TaskReport, now: Time) {
        let id = report.task.job.clone();
        let live = self.live.get(&id);
        let own = live.is_some_and(|live| {
            live.worker == *worker && live.attempt == report.task.attempt && live.was_asked()
        });
        if !own {
            return self.stray(worker, report, now);
        }
        self.grow(&id, report.peak, now);
        match report.state {
            TaskState::Running => {
                let step = self.live.get(&id).map(|live| live.step);
                if matches!(step, Some(Step::Asked | Step::Doubtful)) {
                    self.runs(&id, None, now);
                }
            }
            TaskState::Done => self.done(&id, now),
            TaskState::Failed(reason) => self.failed(&id, true, &reason, now),
            TaskState::Stopped => self.stopped(&id, true, 0, now),
        }
    }

    /// Raises what a task holds to what it was seen to use; when that is more
    /// than its worker has, the least urgent work there makes room.
    fn grow(&mut self, id: &JobId, peak: Size, now: Time) {
        let Some(live) = self.live.get_mut(id) else {
            return;
        };
        live.peak.millicores = live.peak.millicores.max(peak.millicores);
        live.peak.memory_mb = live.peak.memory_mb.max(peak.memory_mb);
        let wanted = live.size.max(Capacity {
            accelerators: 0,
            ..Capacity::from(live.peak)
        });
        if wanted == live.size {
            return;
        }
        live.size = wanted;
        let worker = live.worker.clone();
        self.placer.set_size(id, wanted);
        for victim in self.placer.memory_victims(&worker) {
            self.save(&victim, now);
        }
    }

    /// Takes the report of a task that is not known to be on this worker.
    fn stray(&mut self, worker: &VmId, report: TaskReport, now: Time) {
        let id = &report.task.job;
        let job = self.jobs.get(id);
        let same = |job: &&wigeonhinge_schema::jobs::Job| {
            job.worker == *worker && job.attempts == report.task.attempt
        };
        let unknown = job
            .filter(same)
            .is_some_and(|job| job.state() == State::Unknown);
        match report.state {
            TaskState::Running if unknown => self.found(id, worker, report.task.attempt, now),
            TaskState::Running if self.obsolete(worker, &report.task) => {
                self.out.push(Action::Command {
                    worker: worker.clone(),
                    task: report.task,
                    command: Command::Stop,
                    fence: self.fence(),
                });
            }
            TaskState::Done if unknown => self.finish(id, State::Done, "", now),
            TaskState::Failed(reason) if unknown => self.finish(id, State::Failed, &reason, now),
            _ => {}
        }
    }

    /// Whether a task must not run: its job ended, was started again elsewhere
    /// or is not known.
    fn obsolete(&self, worker: &VmId, task: &Task) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        is_ended(job.state()) || job.worker != *worker || job.attempts != task.attempt
    }

    /// Takes up a task that was lost and is running after all.
    fn found(&mut self, id: &JobId, worker: &VmId, attempt: u32, now: Time) {
        let size = self.jobs.get(id).and_then(|job| job.size);
        if self.jobs.apply(JobEvent::Run(id.clone())).is_err() || !self.placer.contains(worker) {
            return;
        }
        let size = size.unwrap_or_default().into();
        let mut live = Live::planned(worker.clone(), attempt, size, false, BTreeSet::new());
        live.step = Step::Running;
        live.ran = true;
        self.live.insert(id.clone(), live);
        self.hold(id, now);
        self.arm(id, now, Time::ZERO);
        self.mark(id, false, now);
    }
}
