//! Run-time estimates and load forecasts per queue.

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

/// Weight of a new sample in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Samples after which measured run times replace the caller's estimates.
const MIN_SAMPLES: u32 = 8;

/// Multiple of the mean error of the logarithm of run times that a single run rarely exceeds.
const ERROR_MULTIPLE: f64 = 2.0;

/// Largest factor between expected and actual run time that placement allows for; estimates of
/// callers are wrong by up to a factor of 2.
const MAX_MARGIN: f64 = 2.0;

/// Time for which job arrivals are kept.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(3);

/// Windows for measuring the arrival rate, in seconds, shortest first.
const RATE_WINDOWS_SECS: [f64; 2] = [0.6, 1.3];

/// Arrivals that a window must hold for its rate to count in full.
const MIN_ARRIVALS: usize = 6;

/// Run-time statistics of a queue.
#[derive(Debug, Default)]
struct RunTimes {
    count: u32,
    mean_ms: f64,
    /// Mean absolute error of the logarithm of the run time, predicted from the estimate.
    estimate_error: f64,
    /// The same, predicted from the mean run time.
    mean_error: f64,
    /// Mean logarithm of the ratio of run time to estimate.
    bias: f64,
}

/// Run times and recent arrivals of all queues.
#[derive(Debug, Default)]
pub(super) struct Demand {
    times: BTreeMap<CompactString, RunTimes>,
    arrivals: BTreeMap<CompactString, VecDeque<(Time, f64)>>,
    /// When the first job with short tasks was recorded.
    first_arrival: Option<Time>,
}

impl Demand {
    /// Adds the run time of a task that completed.
    pub(super) fn record_run_time(
        &mut self,
        queue: &CompactString,
        step: &Step,
        elapsed: Duration,
    ) {
        let actual = (elapsed.as_millis() as f64).max(1.0);
        let estimate = (step.estimate_ms as f64).max(1.0);
        let times = self.times.entry(queue.clone()).or_default();
        let weight = AVERAGE_WEIGHT.max(1.0 / f64::from(times.count + 1));
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

    /// Returns the expected run time of one task of a step in milliseconds.
    pub(super) fn expected_ms(&self, queue: &str, step: &Step) -> f64 {
        let estimate = step.estimate_ms as f64;
        match self.times.get(queue) {
            Some(times) if times.count >= MIN_SAMPLES => {
                match times.estimate_error < times.mean_error {
                    true => estimate * times.bias.exp(),
                    false => times.mean_ms,
                }
            }
            _ => estimate,
        }
    }

    /// Returns the factor by which the run time of a task of a queue may exceed the expected one.
    pub(super) fn run_time_margin(&self, queue: &str) -> f64 {
        match self.times.get(queue) {
            Some(times) if times.count >= MIN_SAMPLES => {
                let error = times.estimate_error.min(times.mean_error);
                (ERROR_MULTIPLE * error).exp().min(MAX_MARGIN)
            }
            _ => MAX_MARGIN,
        }
    }

    /// Returns the latency objective of a job in milliseconds.
    pub(super) fn objective_ms(&self, row: &JobRow, stretch_factor: f64, base: Duration) -> i64 {
        let critical_path = self.critical_path_ms(row, |_, _| true);
        (stretch_factor * critical_path) as i64 + base.as_millis() as i64
    }

    /// Returns the expected run time of an occurrence's steps with waiting tasks, along the
    /// critical path, in milliseconds.
    pub(super) fn remaining_ms(&self, row: &JobRow, occurrence: &Occurrence) -> i64 {
        let waiting = |index: usize, _: &Step| {
            let tasks = occurrence.steps.get(index);
            tasks.is_some_and(|it| it.tasks.iter().any(Task::waiting))
        };
        self.critical_path_ms(row, waiting) as i64
    }

    /// Returns the expected run time of the critical path, of the steps for which `included` holds.
    fn critical_path_ms(&self, row: &JobRow, included: impl Fn(usize, &Step) -> bool) -> f64 {
        let mut ends: Vec<f64> = Vec::new();
        for (index, step) in row.job.steps.iter().enumerate() {
            let start = step
                .after
                .iter()
                .filter_map(|number| ends.get(*number))
                .fold(0.0, |a: f64, b| a.max(*b));
            let time = match included(index, step) {
                true => self.expected_ms(&row.queue, step),
                false => 0.0,
            };
            ends.push(start + time);
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Records the work of a job that arrived at `time`, which is before `now` if a new role
    /// holder restores the job.
    pub(super) fn record_arrival(&mut self, row: &JobRow, time: Time, now: Time) {
        let work = row.job.steps.iter().filter(|step| !step.long_running);
        let work = work.map(|step| {
            let time = self.expected_ms(&row.queue, step);
            f64::from(step.count) * step.millicores as f64 * time / 1e6
        });
        let work: f64 = work.sum();
        if work > 0.0 {
            self.first_arrival.get_or_insert(now);
            if now.saturating_sub(time) > ARRIVAL_WINDOW {
                return;
            }
            let arrivals = self.arrivals.entry(row.queue.clone()).or_default();
            arrivals.push_back((time, work));
        }
    }

    /// Returns the queues that had arrivals in this term.
    pub(super) fn active_queues(&self) -> impl Iterator<Item = &CompactString> {
        self.arrivals.keys()
    }

    /// Returns whether arrivals were recorded for long enough to tell which pools are idle.
    pub(super) fn has_history(&self, now: Time) -> bool {
        self.first_arrival
            .is_some_and(|first| now.saturating_sub(first) > ARRIVAL_WINDOW)
    }

    /// Returns the cores that a queue is expected to use `lead` seconds from now.
    ///
    /// The rate is that of the shortest window with enough arrivals. A rise over the
    /// preceding window of the same length is extrapolated, to at most twice the rate.
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
        for window in RATE_WINDOWS_SECS {
            let (count, rate) = within(0.0, window);
            if count >= MIN_ARRIVALS {
                let (_, previous) = within(window, 2.0 * window);
                let increase = (rate - previous) / window * lead;
                return rate + increase.clamp(0.0, rate);
            }
        }
        let (count, rate) = within(0.0, ARRIVAL_WINDOW.as_secs_f64());
        rate * count as f64 / MIN_ARRIVALS as f64
    }
}

impl Batch {
    pub(super) fn expire_arrivals(&mut self, now: Time) {
        for arrivals in self.demand.arrivals.values_mut() {
            while arrivals
                .front()
                .is_some_and(|(time, _)| now.saturating_sub(*time) > ARRIVAL_WINDOW)
            {
                arrivals.pop_front();
            }
        }
    }
}
