//! Counters and latency histograms, served as text.
//!
//! The entry counts through cadence; the sink keeps the sums in memory
//! instead of sending them.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cadence::Counted;
use cadence::CountedExt;
use cadence::Gauged;
use cadence::MetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use hdrhistogram::Histogram;

const PREFIX: &str = "wigeonhinge";

/// Longest time that a histogram tells apart, in milliseconds.
const LONGEST_MS: u64 = 120_000;

/// Significant decimal digits of a histogram.
const DIGITS: u8 = 2;

/// Metrics of an entry; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    client: Arc<StatsdClient>,
    sums: Arc<Mutex<Sums>>,
}

#[derive(Debug, Default)]
struct Sums {
    counters: BTreeMap<String, i64>,
    gauges: BTreeMap<String, i64>,
    times: BTreeMap<String, Histogram<u64>>,
    /// Lines that no sum could take.
    unreadable: u64,
}

impl Metrics {
    pub(crate) fn open() -> Self {
        let sums = Arc::new(Mutex::new(Sums::default()));
        let sink = Sink {
            sums: Arc::clone(&sums),
        };
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
            sums,
        }
    }

    /// Counts an event of a kind.
    pub(crate) fn count(&self, name: &str) {
        // The sink cannot fail.
        let _ = self.client.incr(name);
    }

    /// Counts a number of events of a kind.
    pub(crate) fn add(&self, name: &str, number: usize) {
        let _ = self.client.count(name, number as i64);
    }

    /// Adds a time to a histogram.
    pub(crate) fn time(&self, name: &str, time: Duration) {
        let _ = self.client.time(name, time);
    }

    /// Sets a present value.
    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Returns all metrics, one a line: counters and gauges with their value,
    /// histograms with their count, quantiles and largest time in milliseconds.
    pub(crate) fn page(&self) -> String {
        let sums = lock(&self.sums);
        let mut page = String::new();
        for (name, value) in sums.counters.iter().chain(&sums.gauges) {
            // Writing to a string cannot fail.
            let _ = writeln!(page, "{name} {value}");
        }
        for (name, times) in &sums.times {
            let _ = writeln!(page, "{name}.count {}", times.len());
            for (label, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("max", 1.0)] {
                let value = times.value_at_quantile(quantile);
                let _ = writeln!(page, "{name}.{label}_ms {value}");
            }
        }
        let _ = writeln!(page, "{PREFIX}.metrics.unreadable {}", sums.unreadable);
        page
    }
}

/// Keeps sums of what cadence emits.
#[derive(Debug)]
struct Sink {
    sums: Arc<Mutex<Sums>>,
}

impl std::panic::RefUnwindSafe for Sink {}

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        lock(&self.sums).take(metric);
        Ok(metric.len())
    }
}

impl Sums {
    /// Takes a line such as `wigeonhinge.jobs.start:1|c`.
    fn take(&mut self, line: &str) {
        if self.add(line).is_none() {
            self.unreadable += 1;
        }
    }

    fn add(&mut self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        match kind {
            "c" => {
                *self.counters.entry(name.to_owned()).or_default() += value.parse::<i64>().ok()?
            }
            "g" => {
                self.gauges.insert(name.to_owned(), value.parse().ok()?);
            }
            "ms" => {
                let millis: u64 = value.parse().ok()?;
                let times = match self.times.get_mut(name) {
                    Some(times) => times,
                    None => {
                        let times = Histogram::new_with_max(LONGEST_MS, DIGITS).ok()?;
                        self.times.entry(name.to_owned()).or_insert(times)
                    }
                };
                times.saturating_record(millis);
            }
            _ => return None,
        }
        Some(())
    }
}

fn lock(sums: &Mutex<Sums>) -> MutexGuard<'_, Sums> {
    sums.lock().unwrap_or_else(PoisonError::into_inner)
}
