//! Learned run times and the work that each queue brings.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use crate::batch::Batch;
use crate::batch::JobRow;
use crate::batch::Step;
use crate::batch::job::Occurrence;
use crate::batch::task::Task;
use crate::id::Time;

/// Weight of a new run time in the averages.
const WEIGHT: f64 = 0.05;

/// Ends after which learned run times replace estimates.
const LEARNED: u32 = 8;

/// Time for which arrivals are remembered.
const WINDOW: Duration = Duration::from_secs(3);

/// Windows from which a rate may be read, in seconds.
const WINDOWS: [f64; 2] = [0.6, 1.3];

/// Arrivals that make a rate trustworthy.
const ENOUGH: usize = 6;

/// Run times of a queue.
#[derive(Debug, Default)]
struct Times {
    count: u32,
    mean_ms: f64,
    /// Mean deviation of the logarithm from the estimate, and from the mean.
    estimate_error: f64,
    mean_error: f64,
    /// Mean logarithm of run time over estimate.
    bias: f64,
}

/// What is known of the queues.
#[derive(Debug, Default)]
pub(super) struct Demand {
    times: BTreeMap<CompactString, Times>,
    arrivals: BTreeMap<CompactString, VecDeque<(Time, f64)>>,
    /// When the first work arrived.
    first: Option<Time>,
}

impl Demand {
    /// Learns from a run that ended as done.
    pub(super) fn learn(&mut self, queue: &CompactString, step: &Step, elapsed: Duration) {
        let actual = (elapsed.as_millis() as f64).max(1.0);
        let estimate = (step.estimate_ms as f64).max(1.0);
        let times = self.times.entry(queue.clone()).or_default();
        let weight = WEIGHT.max(1.0 / f64::from(times.count + 1));
        if times.count > 0 {
            let from_estimate = (actual / estimate).ln() - times.bias;
            let from_mean = (actual / times.mean_ms.max(1.0)).ln();
            times.estimate_error += weight * (from_estimate.abs() - times.estimate_error);
            times.mean_error += weight * (from_mean.abs() - times.mean_error);
        }
        times.bias += weight * ((actual / estimate).ln() - times.bias);
        times.mean_ms += weight * (actual - times.mean_ms);
        times.count += 1;
    }

    /// Returns the expected run time of a step's task in milliseconds.
    pub(super) fn expect(&self, queue: &str, step: &Step) -> f64 {
        let estimate = step.estimate_ms as f64;
        match self.times.get(queue) {
            Some(times) if times.count >= LEARNED => {
                match times.estimate_error < times.mean_error {
                    true => estimate * times.bias.exp(),
                    false => times.mean_ms,
                }
            }
            _ => estimate,
        }
    }

    /// Returns the latency objective of a job in milliseconds.
    pub(super) fn objective(&self, row: &JobRow, stretch: f64, constant: Duration) -> i64 {
        let chain = self.chain(row, |_, _| true);
        (stretch * chain) as i64 + constant.as_millis() as i64
    }

    /// Returns the expected time that an occurrence still needs in milliseconds.
    pub(super) fn rest(&self, row: &JobRow, occurrence: &Occurrence) -> i64 {
        let open = |index: usize, _: &Step| {
            let tasks = occurrence.steps.get(index);
            tasks.is_some_and(|it| it.tasks.iter().any(Task::waiting))
        };
        self.chain(row, open) as i64
    }

    fn chain(&self, row: &JobRow, counts: impl Fn(usize, &Step) -> bool) -> f64 {
        let mut ends: Vec<f64> = Vec::new();
        for (index, step) in row.job.steps.iter().enumerate() {
            let begin = step
                .after
                .iter()
                .filter_map(|number| ends.get(*number))
                .fold(0.0, |a: f64, b| a.max(*b));
            let time = match counts(index, step) {
                true => self.expect(&row.queue, step),
                false => 0.0,
            };
            ends.push(begin + time);
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Notes the work of a job that arrived at `time`; a successor learns of it later.
    pub(super) fn arrived(&mut self, row: &JobRow, time: Time, now: Time) {
        let work = row.job.steps.iter().filter(|step| !step.long_running);
        let work = work.map(|step| {
            let time = self.expect(&row.queue, step);
            f64::from(step.count) * step.millicores as f64 * time / 1e6
        });
        let work: f64 = work.sum();
        if work > 0.0 {
            self.first.get_or_insert(now);
            if now.saturating_sub(time) > WINDOW {
                return;
            }
            let arrivals = self.arrivals.entry(row.queue.clone()).or_default();
            arrivals.push_back((time, work));
        }
    }

    /// Returns whether work was seen for long enough to tell which pools are idle.
    pub(super) fn known(&self, now: Time) -> bool {
        self.first
            .is_some_and(|first| now.saturating_sub(first) > WINDOW)
    }

    /// Returns the cores that a queue is expected to keep busy `lead` seconds from now.
    ///
    /// The rate comes from the shortest window that holds enough arrivals; a rise
    /// against the window before it is taken to go on.
    pub(super) fn forecast(&self, queue: &str, lead: f64, now: Time) -> f64 {
        let Some(arrivals) = self.arrivals.get(queue) else {
            return 0.0;
        };
        let within = |from: f64, to: f64| {
            let mut count = 0;
            let mut work = 0.0;
            for (time, cores) in arrivals {
                let age = now.saturating_sub(*time).as_secs_f64();
                if age >= from && age < to {
                    count += 1;
                    work += cores;
                }
            }
            (count, work / (to - from))
        };
        for window in WINDOWS {
            let (count, rate) = within(0.0, window);
            if count >= ENOUGH {
                let (_, before) = within(window, 2.0 * window);
                let rise = (rate - before) / window * lead;
                return rate + rise.clamp(0.0, rate);
            }
        }
        let (count, rate) = within(0.0, WINDOW.as_secs_f64());
        rate * count as f64 / ENOUGH as f64
    }
}

impl Batch {
    pub(super) fn demand_tick(&mut self, now: Time) {
        for arrivals in self.demand.arrivals.values_mut() {
            while arrivals
                .front()
                .is_some_and(|(time, _)| now.saturating_sub(*time) > WINDOW)
            {
                arrivals.pop_front();
            }
        }
    }
}
