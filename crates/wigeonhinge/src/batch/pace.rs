//! Speed limits of best-effort tasks that share a worker with latency-sensitive tasks.

use std::time::Duration;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::Run;
use crate::batch::TaskId;
use crate::batch::WorkerId;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::batch::worker::Worker;
use crate::id::Time;

/// Minimum time between two changes on a worker; workers measure over half a second.
const PACE_INTERVAL: Duration = Duration::from_millis(600);

/// Fraction of the latency goal above which best-effort tasks are slowed down.
const SLOW_DOWN_LOAD: f64 = 0.85;

/// Fraction of the latency goal below which best-effort tasks are sped up.
const SPEED_UP_LOAD: f64 = 0.6;

/// Percentage points by which the speed limit rises at a time.
const SPEED_UP_PERCENT: u32 = 20;

impl Batch {
    /// Adjusts the speed limits of best-effort tasks to the tail latency of the tasks beside them.
    pub(super) fn pace_best_effort(&mut self, now: Time) {
        let due =
            |worker: &Worker| now >= worker.paced_at + PACE_INTERVAL && max_load(worker).is_some();
        for id in self.workers.select(due) {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let Some(load) = max_load(worker) else {
                continue;
            };
            for (task, run) in &mut worker.runs {
                if !run.best_effort || !matches!(run.stage, Stage::Confirmed(_)) {
                    continue;
                }
                let pace = next_pace(run.pace, load);
                if pace != run.pace || run.pace_lost {
                    run.pace = pace;
                    run.pace_lost = false;
                    worker.paced_at = now;
                    self.actions.push(Action::Pace {
                        worker: id.clone(),
                        task: task.clone(),
                        run: run.run,
                        percent: pace,
                    });
                }
            }
        }
    }

    /// Records whether a speed limit is in effect; one that may not be is ordered again.
    pub(super) fn pace_answered(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        (run, done): (Run, bool),
    ) {
        let worker = self.workers.get_mut(worker);
        let state = worker.and_then(|worker| worker.runs.get_mut(task));
        if let Some(state) = state.filter(|state| state.run == run) {
            state.pace_lost = !done;
        }
    }
}

/// Returns the highest ratio of tail latency to goal of a worker's tasks, or `None` if no task has
/// a goal.
fn max_load(worker: &Worker) -> Option<f64> {
    let share = |run: &RunState| run.measurement / run.goal_ms as f64;
    let latency_sensitive = worker.runs.values().filter(|run| run.goal_ms > 0);
    latency_sensitive.map(share).reduce(f64::max)
}

/// Returns the next speed limit in percent.
fn next_pace(pace: u32, load: f64) -> u32 {
    if load >= 1.0 {
        0
    } else if load > SLOW_DOWN_LOAD {
        pace / 2
    } else if load < SPEED_UP_LOAD {
        (pace + SPEED_UP_PERCENT).min(100)
    } else {
        pace
    }
}
