//! Pace of filling tasks beside tasks that serve.

use std::time::Duration;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::worker::RunState;
use crate::batch::worker::Stage;
use crate::batch::worker::Worker;
use crate::id::Time;

/// Time between two changes on a worker; workers report figures of half a second.
const INTERVAL: Duration = Duration::from_millis(600);

/// Share of a goal from which filling tasks are slowed.
const NEAR: f64 = 0.85;

/// Share of a goal below which filling tasks are sped up.
const FAR: f64 = 0.6;

/// Step by which filling tasks are sped up, in percent.
const STEP: u32 = 20;

impl Batch {
    /// Slows filling tasks beside tasks that serve and near their goal.
    pub(super) fn pace_fillers(&mut self, now: Time) {
        for (id, worker) in &mut self.workers {
            if now < worker.paced + INTERVAL {
                continue;
            }
            let Some(load) = worst(worker) else {
                continue;
            };
            for (task, run) in &mut worker.runs {
                if !run.best_effort || !matches!(run.stage, Stage::Confirmed(_)) {
                    continue;
                }
                let pace = next(run.pace, load);
                if pace != run.pace {
                    run.pace = pace;
                    worker.paced = now;
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
}

/// Returns the largest share of its goal that a serving task's tail has reached.
fn worst(worker: &Worker) -> Option<f64> {
    let share = |run: &RunState| run.measurement / run.goal_ms as f64;
    let serving = worker.runs.values().filter(|run| run.goal_ms > 0);
    serving.map(share).reduce(f64::max)
}

/// Returns the pace that follows from the worst tail beside it.
fn next(pace: u32, load: f64) -> u32 {
    if load >= 1.0 {
        0
    } else if load > NEAR {
        pace / 2
    } else if load < FAR {
        (pace + STEP).min(100)
    } else {
        pace
    }
}
