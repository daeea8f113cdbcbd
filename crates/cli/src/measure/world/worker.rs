//! Fake of a worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wigeonhinge::id::Time;
use wigeonhinge::id::VmId;
use wigeonhinge::scheduler::Command;
use wigeonhinge::scheduler::Reply;
use wigeonhinge::scheduler::Task;
use wigeonhinge::scheduler::TaskReport;
use wigeonhinge::scheduler::TaskState;
use wigeonhinge::scheduler::WorkerReport;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::jobs::Size;

use super::Truth;

/// A worker and its tasks.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Whether it answers.
    pub up: bool,
    /// Whether every start fails.
    pub bad: bool,
    /// Whether it rejects commands with an outdated fence.
    pub fences: bool,
    /// Grows with each restart.
    pub incarnation: u64,
    memory: u64,
    fence: u64,
    tasks: BTreeMap<Task, Running>,
    refused: BTreeSet<Task>,
}

#[derive(Clone, Debug)]
struct Running {
    state: TaskState,
    truth: Truth,
    reserved: Size,
    used: Size,
    saved: Time,
    progress: Time,
    since: Time,
    percent: u32,
    epoch: u64,
    begun: bool,
    counted: bool,
}

impl Worker {
    /// Creates a worker without tasks.
    pub fn new(vm: &Vm) -> Self {
        Self {
            up: true,
            bad: false,
            fences: true,
            incarnation: 1,
            memory: vm.memory_mb,
            fence: 0,
            tasks: BTreeMap::new(),
            refused: BTreeSet::new(),
        }
    }

    /// Carries out a command.
    pub fn command(
        &mut self,
        task: &Task,
        command: Command,
        fence: u64,
        (truth, saved): (Option<&Truth>, Time),
        now: Time,
    ) -> Reply {
        if self.fences && fence < self.fence {
            return Reply::Fenced;
        }
        self.fence = self.fence.max(fence);
        match command {
            Command::Start { incarnation, .. } if incarnation != self.incarnation => {
                return Reply::Stopped { ran: false };
            }
            Command::Start { size, resume, .. } => {
                let saved = if resume { saved } else { Time::ZERO };
                return self.start(task, size, truth, (saved, now));
            }
            Command::Stop if !self.tasks.contains_key(task) => {
                self.refused.insert(task.clone());
                return Reply::Stopped { ran: false };
            }
            _ => {}
        }
        let Some(running) = self.tasks.get_mut(task) else {
            return Reply::Absent;
        };
        if running.state != TaskState::Running {
            return running.reply();
        }
        running.advance(now);
        match command {
            Command::Stop => {
                running.state = TaskState::Stopped;
                Reply::Stopped { ran: true }
            }
            Command::Throttle { percent } => {
                running.percent = percent;
                running.epoch += 1;
                Reply::Running
            }
            _ => Reply::Running,
        }
    }

    /// Marks a task as begun; `false` when it had begun before.
    pub fn begin(&mut self, task: &Task) -> bool {
        let running = self.tasks.get_mut(task);
        running.is_some_and(|running| !std::mem::replace(&mut running.begun, true))
    }

    /// Time until a running task ends, with the number of its schedule.
    pub fn left(&self, task: &Task, now: Time) -> Option<(Time, u64)> {
        let running = self.tasks.get(task)?;
        if running.truth.fails {
            return Some((Duration::from_millis(500), running.epoch));
        }
        let left = running.truth.run.saturating_sub(running.at(now));
        Some((left * 100 / running.percent.max(1), running.epoch))
    }

    /// Ends a task; returns its work in millicore seconds and whether it ended
    /// well.
    pub fn end(&mut self, task: &Task, epoch: u64, now: Time) -> Option<(f64, bool)> {
        let running = self.tasks.get_mut(task)?;
        if running.state != TaskState::Running || running.epoch != epoch {
            return None;
        }
        running.advance(now);
        if running.truth.fails {
            running.state = TaskState::Failed("exit status 1".into());
            return Some((0.0, false));
        }
        running.state = TaskState::Done;
        Some((running.weight(running.truth.run), true))
    }

    /// Raises the use of a task to its peak; when memory runs out, the task that
    /// exceeds its reservation most fails. Returns the work lost.
    pub fn peak(&mut self, task: &Task, now: Time) -> f64 {
        if let Some(running) = self.tasks.get_mut(task) {
            running.used = running.truth.peak;
        }
        let live = || self.tasks.iter().filter(|(_, running)| running.live());
        let used: u64 = live().map(|(_, running)| running.used.memory_mb).sum();
        if used <= self.memory {
            return 0.0;
        }
        let worst = live().max_by_key(|(_, running)| {
            let reserved = running.reserved.memory_mb;
            running.used.memory_mb.saturating_sub(reserved)
        });
        let Some(name) = worst.map(|(name, _)| name.clone()) else {
            return 0.0;
        };
        let Some(running) = self.tasks.get_mut(&name) else {
            return 0.0;
        };
        running.advance(now);
        running.state = TaskState::Failed("out of memory".into());
        running.weight(running.progress.saturating_sub(running.saved))
    }

    /// Progress of a task.
    pub fn progress(&self, task: &Task, now: Time) -> Time {
        let running = self.tasks.get(task);
        running.map_or(Time::ZERO, |running| running.at(now))
    }

    /// Work of a stopped task after its checkpoint, counted once.
    pub fn take_waste(&mut self, task: &Task, saved: Time) -> f64 {
        let Some(running) = self.tasks.get_mut(task) else {
            return 0.0;
        };
        if std::mem::replace(&mut running.counted, true) {
            return 0.0;
        }
        running.weight(running.progress.saturating_sub(saved))
    }

    /// Restarts the worker and returns the work lost.
    pub fn restart(&mut self, now: Time) -> f64 {
        self.incarnation += 1;
        self.refused.clear();
        let tasks = std::mem::take(&mut self.tasks);
        let lost = tasks.values().filter(|running| running.live());
        lost.map(|running| running.weight(running.at(now).saturating_sub(running.saved)))
            .sum()
    }

    /// Reports the tasks.
    pub fn report(&self, name: &VmId) -> WorkerReport {
        let tasks = self.tasks.iter().map(|(task, running)| TaskReport {
            task: task.clone(),
            state: running.state.clone(),
            peak: running.used,
        });
        WorkerReport {
            worker: name.clone(),
            incarnation: self.incarnation,
            tasks: tasks.collect(),
        }
    }

    /// Whether it runs a job.
    pub fn runs(&self, job: &str) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|(task, running)| task.job == job && running.live())
    }

    /// Thousandths of a core in use.
    pub fn busy(&self) -> u64 {
        let live = self.tasks.values().filter(|running| running.live());
        live.map(|running| u64::from(running.truth.peak.millicores))
            .sum()
    }

    fn start(
        &mut self,
        task: &Task,
        size: Size,
        truth: Option<&Truth>,
        (saved, now): (Time, Time),
    ) -> Reply {
        if let Some(running) = self.tasks.get(task) {
            return running.reply();
        }
        if self.refused.contains(task) {
            return Reply::Stopped { ran: false };
        }
        if self.bad {
            return Reply::StartFailed("no such image".into());
        }
        let Some(truth) = truth.cloned() else {
            return Reply::StartFailed("unknown job".into());
        };
        let used = Size {
            millicores: truth.peak.millicores / 2,
            memory_mb: truth.peak.memory_mb / 2,
            ..truth.peak
        };
        let running = Running {
            state: TaskState::Running,
            truth,
            reserved: size,
            used,
            saved,
            progress: saved,
            since: now,
            percent: 100,
            epoch: 0,
            begun: false,
            counted: false,
        };
        self.tasks.insert(task.clone(), running);
        Reply::Running
    }
}

impl Running {
    fn live(&self) -> bool {
        self.state == TaskState::Running
    }

    fn reply(&self) -> Reply {
        match &self.state {
            TaskState::Running => Reply::Running,
            TaskState::Done => Reply::Done,
            TaskState::Failed(reason) => Reply::Failed(reason.clone()),
            TaskState::Stopped => Reply::Stopped { ran: true },
        }
    }

    fn at(&self, now: Time) -> Time {
        if !self.live() {
            return self.progress;
        }
        self.progress + now.saturating_sub(self.since) * self.percent / 100
    }

    fn advance(&mut self, now: Time) {
        self.progress = self.at(now);
        self.since = now;
    }

    /// Work of a time in millicore seconds.
    fn weight(&self, time: Time) -> f64 {
        time.as_secs_f64() * f64::from(self.truth.peak.millicores)
    }
}
