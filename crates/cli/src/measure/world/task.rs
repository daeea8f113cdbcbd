//! Tasks on the simulated workers: commands, starts, ends.

use std::time::Duration;

use rand::RngExt;
use wigeonhinge::id::VmId;
use wigeonhinge::scheduler::Command;
use wigeonhinge::scheduler::Reply;
use wigeonhinge::scheduler::Task;

use super::Message;
use super::World;

impl World {
    pub(super) fn command(
        &mut self,
        node: usize,
        name: &VmId,
        task: &Task,
        command: Command,
        fence: u64,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let mut wait = Duration::from_millis(5);
        if !worker.up {
            let reply = Message::Reply(node, name.clone(), task.clone(), command, 0, Reply::Lost);
            return self.push(Duration::from_secs(1), reply);
        }
        let now = self.now;
        let saved = self.checkpoints.get(&task.job).copied().unwrap_or_default();
        let truth = self.truths.get(&task.job);
        let reply = worker.command(task, command, fence, (truth, saved), now);
        match (command, &reply) {
            (Command::Start { .. }, Reply::Running) => self.began(name, task),
            (Command::Checkpoint, Reply::Running) => {
                wait = Duration::from_millis(self.rng.random_range(50..400));
                let progress = self.workers[name].progress(task, now);
                self.checkpoints.insert(task.job.clone(), progress);
            }
            (Command::Throttle { .. }, Reply::Running) => self.schedule_end(name, task),
            (Command::Stop, Reply::Stopped { ran: true }) => {
                let saved = self.checkpoints.get(&task.job).copied().unwrap_or_default();
                if let Some(worker) = self.workers.get_mut(name) {
                    self.stats.wasted += worker.take_waste(task, saved);
                }
            }
            _ => {}
        }
        let hop = self.hop();
        let share = self.faults.worker_lost;
        let lost = self.lost(share);
        let (incarnation, reply) = match lost {
            true => (0, Reply::Lost),
            false => (self.workers[name].incarnation, reply),
        };
        let reply = Message::Reply(
            node,
            name.clone(),
            task.clone(),
            command,
            incarnation,
            reply,
        );
        self.push(wait + hop, reply);
    }

    pub(super) fn began(&mut self, name: &VmId, task: &Task) {
        if !self
            .workers
            .get_mut(name)
            .is_some_and(|worker| worker.begin(task))
        {
            return;
        }
        *self.stats.runs.entry(task.job.clone()).or_default() += 1;
        self.stats.first.entry(task.job.clone()).or_insert(self.now);
        self.schedule_end(name, task);
        self.push(
            Duration::from_secs(2),
            Message::Peak(name.clone(), task.clone()),
        );
    }

    pub(super) fn schedule_end(&mut self, name: &VmId, task: &Task) {
        if let Some((left, epoch)) = self.workers[name].left(task, self.now) {
            self.push(left, Message::End(name.clone(), task.clone(), epoch));
        }
    }

    pub(super) fn end(&mut self, name: &VmId, task: &Task, epoch: u64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some((worked, well)) = worker.end(task, epoch, self.now) else {
            return;
        };
        if well {
            self.stats.worked += worked;
            self.stats.done.entry(task.job.clone()).or_insert(self.now);
        }
    }

    pub(super) fn peak(&mut self, name: &VmId, task: &Task) {
        if let Some(worker) = self.workers.get_mut(name) {
            let lost = worker.peak(task, self.now);
            self.stats.exhausted += lost;
        }
    }
}
