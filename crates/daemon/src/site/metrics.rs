//! Counters, gauges and latency histograms, served as text.
//!
//! Metrics are recorded through cadence. Its sink aggregates them in memory instead of sending them
//! to a server.

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

/// Longest time that a histogram records; longer times count as this one.
const MAX_TIME_MS: u64 = 120_000;

/// Precision of a histogram in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Metrics of an entry; clones share the recorded values.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    client: Arc<StatsdClient>,
    registry: Arc<Mutex<Registry>>,
}

#[derive(Debug, Default)]
struct Registry {
    counters: BTreeMap<String, i64>,
    gauges: BTreeMap<String, i64>,
    histograms: BTreeMap<String, Histogram<u64>>,
    /// Number of lines that could not be parsed.
    rejected: u64,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Arc::new(Mutex::new(Registry::default()));
        let sink = Sink {
            registry: Arc::clone(&registry),
        };
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
            registry,
        }
    }

    /// Increments a counter.
    pub(crate) fn increment(&self, name: &str) {
        // The in-memory sink never fails.
        let _ = self.client.incr(name);
    }

    /// Adds a number to a counter.
    pub(crate) fn add(&self, name: &str, number: usize) {
        let _ = self.client.count(name, number as i64);
    }

    /// Records a time in a histogram.
    pub(crate) fn record_time(&self, name: &str, time: Duration) {
        let _ = self.client.time(name, time);
    }

    /// Sets the current value of a gauge.
    pub(crate) fn set_gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Returns all metrics as text, one value per line: counters and gauges with their values,
    /// histograms with their count, quantiles and largest time in milliseconds.
    pub(crate) fn render(&self) -> String {
        let registry = lock(&self.registry);
        let mut page = String::new();
        for (name, value) in registry.counters.iter().chain(&registry.gauges) {
            // Writing to a string cannot fail.
            let _ = writeln!(page, "{name} {value}");
        }
        for (name, histogram) in &registry.histograms {
            let _ = writeln!(page, "{name}.count {}", histogram.len());
            for (label, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("max", 1.0)] {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(page, "{name}.{label}_ms {value}");
            }
        }
        let _ = writeln!(page, "{PREFIX}.metrics.unreadable {}", registry.rejected);
        page
    }
}

/// Sink that aggregates the lines that cadence emits.
#[derive(Debug)]
struct Sink {
    registry: Arc<Mutex<Registry>>,
}

impl std::panic::RefUnwindSafe for Sink {}

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        lock(&self.registry).record_line(metric);
        Ok(metric.len())
    }
}

impl Registry {
    /// Records a statsd line such as `wigeonhinge.jobs.start:1|c`, or counts it as rejected.
    fn record_line(&mut self, line: &str) {
        if self.try_record(line).is_none() {
            self.rejected += 1;
        }
    }

    fn try_record(&mut self, line: &str) -> Option<()> {
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
                let histogram = match self.histograms.get_mut(name) {
                    Some(histogram) => histogram,
                    None => {
                        let histogram =
                            Histogram::new_with_max(MAX_TIME_MS, SIGNIFICANT_DIGITS).ok()?;
                        self.histograms.entry(name.to_owned()).or_insert(histogram)
                    }
                };
                histogram.saturating_record(millis);
            }
            _ => return None,
        }
        Some(())
    }
}

fn lock(registry: &Mutex<Registry>) -> MutexGuard<'_, Registry> {
    registry.lock().unwrap_or_else(PoisonError::into_inner)
}
