//! Orders that wait until they are sent to one worker.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use crate::batch::Run;
use crate::batch::TaskId;
use crate::id::Time;

/// Time after which a start that is not sent yet is withdrawn, so that its task starts elsewhere;
/// covers three orders before it without an answer, each of which takes 0.3 s.
pub const MAX_START_WAIT: Duration = Duration::from_secs(1);

/// Order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a run.
    Start {
        /// Task that is run.
        task: TaskId,
        /// Number of the run.
        run: Run,
        /// Specification of the job.
        spec: CompactString,
        /// Checkpoint to resume from; empty for none.
        checkpoint: CompactString,
    },
    /// Stop a run.
    Stop(TaskId, Run),
    /// Limit a run to a percentage of its full speed.
    Pace(TaskId, Run, u32),
}

/// Orders to one worker that are not sent yet, each with the time of the decision.
///
/// A worker that leaves orders unanswered delays those behind them for seconds. Meanwhile the
/// reason for a start may lapse: its task is done on another worker, its job is cancelled, or the
/// worker drains. So a stop withdraws the start of the same run, all starts can be withdrawn, and
/// stops are sent before all other orders.
///
/// ```
/// use std::time::Duration;
/// use wigeonhinge::batch::Order;
/// use wigeonhinge::batch::Outbox;
///
/// let task: wigeonhinge::batch::TaskId = "a.0.0.0".parse().unwrap();
/// let (spec, checkpoint) = ("draw".into(), "".into());
/// let mut outbox = Outbox::default();
/// outbox.push(Order::Start { task: task.clone(), run: 1, spec, checkpoint }, Duration::ZERO);
/// let withdrawn = outbox.push(Order::Stop(task.clone(), 1), Duration::ZERO);
/// assert_eq!(withdrawn, Some((task, 1)));
/// assert!(outbox.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Outbox {
    stops: VecDeque<(Time, Order)>,
    others: VecDeque<(Time, Order)>,
}

impl Outbox {
    /// Adds an order. If it is a stop of a run whose start is still here, both are dropped and the
    /// run is returned.
    ///
    /// A stop that waits already is not added again, and a newer pace of a run replaces an older
    /// one.
    pub fn push(&mut self, order: Order, now: Time) -> Option<(TaskId, Run)> {
        match order {
            Order::Start { .. } => self.others.push_back((now, order)),
            Order::Stop(task, run) => {
                if self.remove_start(&task, run) {
                    return Some((task, run));
                }
                let order = Order::Stop(task, run);
                if self.stops.iter().all(|(_, other)| *other != order) {
                    self.stops.push_back((now, order));
                }
            }
            Order::Pace(ref task, run, _) => {
                self.others.retain(|(_, other)| {
                    !matches!(other, Order::Pace(name, number, _) if (name, *number) == (task, run))
                });
                self.others.push_back((now, order));
            }
        }
        None
    }

    /// Drops the stop of a run that is not sent yet.
    pub fn withdraw_stop(&mut self, task: &TaskId, run: Run) {
        self.stops.retain(|(_, order)| {
            !matches!(order, Order::Stop(name, number) if (name, *number) == (task, run))
        });
    }

    fn remove_start(&mut self, task: &TaskId, run: Run) -> bool {
        let position = self.others.iter().position(|(_, other)| {
            matches!(other, Order::Start { task: name, run: number, .. } if (name, *number) == (task, run))
        });
        position.and_then(|it| self.others.remove(it)).is_some()
    }

    /// Removes all starts and returns their runs.
    pub fn withdraw_starts(&mut self) -> Vec<(TaskId, Run)> {
        self.remove_starts(|_| true)
    }

    /// Removes the starts that have waited for longer than [`MAX_START_WAIT`] and returns their
    /// runs.
    pub fn withdraw_overdue(&mut self, now: Time) -> Vec<(TaskId, Run)> {
        self.remove_starts(|added| now.saturating_sub(added) > MAX_START_WAIT)
    }

    fn remove_starts(&mut self, condition: impl Fn(Time) -> bool) -> Vec<(TaskId, Run)> {
        let mut removed = Vec::new();
        self.others.retain(|(added, order)| match order {
            Order::Start { task, run, .. } if condition(*added) => {
                removed.push((task.clone(), *run));
                false
            }
            Order::Start { .. } | Order::Stop(..) | Order::Pace(..) => true,
        });
        removed
    }

    /// Removes and returns the order to send next, with the time at which it was added.
    pub fn pop(&mut self) -> Option<(Time, Order)> {
        self.stops.pop_front().or_else(|| self.others.pop_front())
    }

    /// Returns whether no order waits.
    pub fn is_empty(&self) -> bool {
        self.stops.is_empty() && self.others.is_empty()
    }
}
