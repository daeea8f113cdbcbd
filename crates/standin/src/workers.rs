//! The workers: cordon, drain, reboot, uncordon, and tasks under leases and fences.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::platform::unix_ms;

/// Time that a reboot takes unless set otherwise.
pub const REBOOT: Duration = Duration::from_millis(200);

/// The workers.
#[derive(Clone, Debug, Default)]
pub struct Workers {
    /// Time after which a task ends with success; `None` for never.
    pub run_time: Option<Duration>,
    workers: BTreeMap<String, Worker>,
}

/// Faults of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// It does not work after its next reboot.
    pub broken: bool,
    /// Every task that it starts fails at once.
    pub fails: bool,
    /// Its usage reports show a value only after this time.
    pub lag: Duration,
}

/// A task to start.
#[derive(Clone, Debug, Deserialize)]
pub struct Start {
    /// Identifier.
    pub id: String,
    /// Role of the one who starts it.
    pub role: String,
    /// Fence of that role.
    pub fence: u64,
    /// Boot number that the start is meant for.
    pub boot: u64,
    /// Milliseconds that it may run without being renewed.
    pub lease_ms: u64,
    /// Thousandths of a core that it declares.
    #[serde(default)]
    pub millicores: u32,
    /// Memory in MiB that it declares.
    #[serde(default)]
    pub memory_mb: u64,
    /// Accelerators that it declares.
    #[serde(default)]
    pub accelerators: u32,
}

/// A command's role, fence and terms.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Order {
    /// Role of the one who gives the command.
    pub role: String,
    /// Fence of that role.
    pub fence: u64,
    /// Step of a worker command.
    pub step: u64,
    /// Milliseconds that a renewed task may run.
    pub lease_ms: u64,
}

/// Why a worker refused a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No such worker or task.
    Absent,
    /// It has seen this higher fence of the role.
    Fenced(u64),
    /// Its state does not allow the command.
    State(&'static str),
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Refusal>;

#[derive(Clone, Debug)]
struct Worker {
    state: State,
    fences: BTreeMap<String, u64>,
    boot: u64,
    step: u64,
    seen: u64,
    faults: Faults,
    reboot: Duration,
    until: Option<Instant>,
    tasks: BTreeMap<String, Task>,
    starts: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Up,
    Cordoned,
    Draining,
    Drained,
    Rebooting,
    Broken,
}

#[derive(Clone, Debug)]
struct Task {
    state: &'static str,
    ran: bool,
    lease: Instant,
    end: Option<Instant>,
    usage: Option<(Instant, u64, u32, u64)>,
}

impl Workers {
    /// Adds a worker.
    pub fn add(&mut self, vm: &str) {
        let worker = Worker {
            state: State::Up,
            fences: BTreeMap::new(),
            boot: 1,
            step: 0,
            seen: 0,
            faults: Faults::default(),
            reboot: REBOOT,
            until: None,
            tasks: BTreeMap::new(),
            starts: 0,
        };
        self.workers.insert(vm.to_owned(), worker);
    }

    /// Sets the faults of a worker.
    pub fn faults(&mut self, vm: &str, faults: Faults) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.faults = faults;
        }
    }

    /// Sets how long the reboots of a worker take.
    pub fn reboot_time(&mut self, vm: &str, time: Duration) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.reboot = time;
        }
    }

    /// Returns how often a worker began to run a task.
    pub fn starts(&self, vm: &str) -> u64 {
        self.workers.get(vm).map_or(0, |worker| worker.starts)
    }

    /// Ends a task by itself.
    pub fn finish(&mut self, vm: &str, id: &str, success: bool) {
        let worker = self.workers.get_mut(vm);
        let task = worker.and_then(|worker| worker.tasks.get_mut(id));
        if let Some(task) = task.filter(|task| task.runs()) {
            task.state = if success { "done" } else { "failed" };
        }
    }

    /// Sets what a task uses from now on; reported after the lag of its worker.
    pub fn usage(&mut self, vm: &str, id: &str, millicores: u32, memory_mb: u64, now: Instant) {
        let worker = self.workers.get_mut(vm);
        if let Some(task) = worker.and_then(|worker| worker.tasks.get_mut(id)) {
            task.usage = Some((now, unix_ms(), millicores, memory_mb));
        }
    }

    /// Starts a task once at most, and answers with its state.
    ///
    /// A start that cannot run is remembered and refused from then on.
    ///
    /// # Errors
    ///
    /// Fails for an absent worker or a lower fence.
    pub fn start(&mut self, vm: &str, start: &Start, now: Instant) -> Result<Value> {
        let run_time = self.run_time;
        let worker = self.fenced(vm, &start.role, start.fence)?;
        if let Some(task) = worker.tasks.get(&start.id) {
            return Ok(task.answer(worker.boot));
        }
        let state = match (worker.state, start.boot == worker.boot) {
            (State::Up, true) if worker.faults.fails => "failed",
            (State::Up, true) => "running",
            _ => "refused",
        };
        let ran = state == "running";
        let task = Task {
            state,
            ran,
            lease: now + Duration::from_millis(start.lease_ms),
            end: run_time.map(|time| now + time),
            usage: ran.then(|| (now, unix_ms(), start.millicores, start.memory_mb)),
        };
        worker.starts += u64::from(ran);
        let answer = task.answer(worker.boot);
        worker.tasks.insert(start.id.clone(), task);
        Ok(answer)
    }

    /// Carries out `renew`, `checkpoint`, `throttle` or `stop` on a task, and
    /// answers with its state. A task that is unknown when it is stopped is
    /// refused from then on.
    ///
    /// # Errors
    ///
    /// Fails for an absent worker or task, or a lower fence.
    pub fn task(
        &mut self,
        vm: &str,
        id: &str,
        command: &str,
        order: &Order,
        now: Instant,
    ) -> Result<Value> {
        let worker = self.fenced(vm, &order.role, order.fence)?;
        let boot = worker.boot;
        if command == "stop" {
            let task = worker.tasks.entry(id.to_owned()).or_insert(Task {
                state: "refused",
                ran: false,
                lease: now,
                end: None,
                usage: None,
            });
            if task.runs() {
                task.state = "stopped";
            }
            return Ok(task.answer(boot));
        }
        let task = worker.tasks.get_mut(id).ok_or(Refusal::Absent)?;
        match command {
            "renew" => task.lease = now + Duration::from_millis(order.lease_ms),
            "checkpoint" | "throttle" => {}
            _ => return Err(Refusal::Absent),
        }
        Ok(task.answer(boot))
    }

    /// Carries out `cordon`, `drain`, `reboot` or `uncordon` on a worker.
    ///
    /// # Errors
    ///
    /// Fails for an absent worker, a lower fence or a state that forbids the command.
    pub fn command(&mut self, vm: &str, command: &str, order: &Order, now: Instant) -> Result<()> {
        let worker = self.fenced(vm, &order.role, order.fence)?;
        if order.step < worker.seen {
            return Err(Refusal::State("the worker has seen a later step"));
        }
        if order.step == worker.seen && order.step > 0 {
            return Ok(());
        }
        match (command, worker.state) {
            (_, State::Rebooting) => return Err(Refusal::State("the worker reboots")),
            ("reboot", _) => worker.restart(now),
            (_, State::Broken) => return Err(Refusal::State("the worker is broken")),
            ("cordon", State::Up) => worker.state = State::Cordoned,
            ("cordon", _) => {}
            ("drain", State::Drained) => {}
            ("drain", _) => worker.state = State::Draining,
            ("uncordon", _) => worker.state = State::Up,
            _ => return Err(Refusal::Absent),
        }
        worker.seen = order.step;
        if worker.state != State::Rebooting {
            worker.step = order.step;
        }
        Ok(())
    }

    fn fenced(&mut self, vm: &str, role: &str, fence: u64) -> Result<&mut Worker> {
        let worker = self.workers.get_mut(vm).ok_or(Refusal::Absent)?;
        let seen = worker.fences.entry(role.to_owned()).or_default();
        if fence < *seen {
            return Err(Refusal::Fenced(*seen));
        }
        *seen = fence;
        Ok(worker)
    }

    /// Lets time pass: leases end, reboots finish, drained workers report so.
    pub fn tick(&mut self, now: Instant) {
        for worker in self.workers.values_mut() {
            worker.tick(now);
        }
    }

    /// Returns the reports of some workers; absent ones are left out.
    pub fn list<'a>(&self, vms: impl Iterator<Item = &'a str>, now: Instant) -> Value {
        let workers: Vec<Value> = vms
            .filter_map(|vm| Some(self.workers.get(vm)?.report(vm, now)))
            .collect();
        json!({ "as_of_ms": unix_ms(), "workers": workers })
    }
}

impl Worker {
    fn restart(&mut self, now: Instant) {
        self.state = State::Rebooting;
        self.boot += 1;
        self.step = 0;
        self.until = Some(now + self.reboot);
        self.tasks.clear();
    }

    fn tick(&mut self, now: Instant) {
        for task in self.tasks.values_mut().filter(|task| task.runs()) {
            if task.lease <= now {
                task.state = "stopped";
            } else if task.end.is_some_and(|end| end <= now) {
                task.state = "done";
            }
        }
        if self.state == State::Draining && !self.tasks.values().any(Task::runs) {
            self.state = State::Drained;
        }
        if self.until.is_some_and(|until| until <= now) {
            self.until = None;
            self.state = match self.faults.broken {
                true => State::Broken,
                false => State::Cordoned,
            };
        }
    }

    fn report(&self, vm: &str, now: Instant) -> Value {
        let lag = self.faults.lag;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(id, task)| task.report(id, lag, now))
            .collect();
        json!({
            "vm": vm,
            "state": self.state.name(),
            "boot": self.boot,
            "step": self.step,
            "tasks": tasks,
        })
    }
}

impl Task {
    fn runs(&self) -> bool {
        self.state == "running"
    }

    /// Returns the answer to a command on the task.
    fn answer(&self, boot: u64) -> Value {
        json!({ "state": self.state, "ran": self.ran, "boot": boot })
    }

    fn report(&self, id: &str, lag: Duration, now: Instant) -> Value {
        let usage = self.usage.filter(|(since, ..)| *since + lag <= now);
        let usage = usage.map(|(_, at_ms, millicores, memory_mb)| {
            json!({ "at_ms": at_ms, "millicores": millicores, "memory_mb": memory_mb })
        });
        json!({ "id": id, "state": self.state, "ran": self.ran, "usage": usage })
    }
}

impl State {
    fn name(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Cordoned => "cordoned",
            Self::Draining => "draining",
            Self::Drained => "drained",
            Self::Rebooting => "rebooting",
            Self::Broken => "broken",
        }
    }
}
