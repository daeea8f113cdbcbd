//! Log and metrics of an entry.
//!
//! `docs/metrics.md` lists every metric with its unit.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::CountedExt;
use cadence::Gauged;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use slog::Discard;
use slog::Drain;
use slog::Logger;
use slog::o;
use wigeonhinge::gateway::Status;
use wigeonhinge::outcome::ErrorKind;

use crate::settings::LogFormat;
use crate::settings::Settings;

const PREFIX: &str = "wigeonhinge";
/// Metrics that wait for the sending thread; further ones are dropped.
const METRICS_CAPACITY: usize = 16_384;
/// Log records that wait for the writing thread; further ones are dropped and counted.
const LOG_CAPACITY: usize = 1_024;
/// Value of the tag `service` for requests refused before their service was known.
const NO_SERVICE: &str = "none";

/// Logger and metrics client of an entry; clones share both.
#[derive(Clone, Debug)]
pub struct Report {
    log: Logger,
    metrics: Option<Arc<StatsdClient>>,
}

impl Report {
    /// Creates the logger and, if the settings have an address for metrics, the client.
    ///
    /// # Errors
    ///
    /// Fails if the UDP socket for metrics cannot be created.
    pub fn open(settings: &Settings) -> io::Result<Self> {
        let log = Logger::root(
            drain(settings.log),
            o!("entry" => settings.entry.to_string(), "zone" => settings.zone.to_string()),
        );
        let metrics = settings
            .metrics
            .map(|address| statsd_client(address, settings));
        let metrics = metrics.transpose()?.map(Arc::new);
        Ok(Self { log, metrics })
    }

    /// Returns a report that discards log records and metrics.
    pub fn discard() -> Self {
        Self {
            log: Logger::root(Discard, o!()),
            metrics: None,
        }
    }

    /// Returns the logger; its records carry the entry and its zone.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Counts a request and records its duration; `kind` is `None` if an upstream answered it.
    pub(crate) fn request_ended(
        &self,
        service: Option<&str>,
        kind: Option<ErrorKind>,
        duration: Duration,
    ) {
        let Some(metrics) = &self.metrics else {
            return;
        };
        let service = match kind {
            Some(ErrorKind::UnknownService | ErrorKind::NotReady) => NO_SERVICE,
            _ => service.unwrap_or(NO_SERVICE),
        };
        let result = kind.map_or("answered", |kind| kind.response().name);
        metrics
            .count_with_tags("request.count", 1)
            .with_tag("service", service)
            .with_tag("result", result)
            .send();
        metrics
            .time_with_tags("request.time", duration)
            .with_tag("service", service)
            .send();
    }

    /// Counts a failed exchange with an upstream.
    pub(crate) fn exchange_failed(&self, upstream: &str, kind: ErrorKind) {
        if let Some(metrics) = &self.metrics {
            metrics
                .count_with_tags("exchange.failed", 1)
                .with_tag("upstream", upstream)
                .with_tag("kind", kind.response().name)
                .send();
        }
    }

    /// Counts a refused connection of a caller.
    pub(crate) fn connection_refused(&self) {
        if let Some(metrics) = &self.metrics {
            let _ = metrics.incr("connection.refused");
        }
    }

    /// Reports the number of open connections of callers.
    pub(crate) fn connections_open(&self, count: usize) {
        if let Some(metrics) = &self.metrics {
            let _ = metrics.gauge("connection.open", count as u64);
        }
    }

    /// Reports the queues of services and the slots of upstreams.
    pub(crate) fn gateway(&self, status: &Status) {
        let Some(metrics) = &self.metrics else {
            return;
        };
        for (name, service) in &status.services {
            let gauges = [
                ("queue.length", service.queued),
                ("queue.running", service.running),
            ];
            for (gauge, value) in gauges {
                metrics
                    .gauge_with_tags(gauge, value as u64)
                    .with_tag("service", name)
                    .send();
            }
        }
        for (name, upstream) in &status.upstreams {
            let gauges = [
                ("upstream.allowed", u64::from(upstream.allowed)),
                ("upstream.running", u64::from(upstream.running)),
                ("upstream.leaving", u64::from(upstream.leaving)),
                ("upstream.ejected", u64::from(upstream.ejected)),
            ];
            for (gauge, value) in gauges {
                metrics
                    .gauge_with_tags(gauge, value)
                    .with_tag("upstream", name)
                    .send();
            }
        }
    }
}

/// Returns a logger that writes JSON lines to standard output.
pub(crate) fn stdout_logger(entry: &str, zone: &str) -> Logger {
    let drain = slog_json::Json::default(io::stdout());
    let drain = slog_async::Async::new(boxed(drain))
        .chan_size(LOG_CAPACITY)
        .build()
        .fuse();
    Logger::root(
        drain,
        o!("entry" => entry.to_owned(), "zone" => zone.to_owned()),
    )
}

fn statsd_client(address: SocketAddr, settings: &Settings) -> io::Result<StatsdClient> {
    let local: SocketAddr = match address {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0; 16], 0).into(),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    let sink = QueuingMetricSink::with_capacity(sink, METRICS_CAPACITY);
    Ok(StatsdClient::builder(PREFIX, sink)
        .with_tag("entry", &settings.entry)
        .with_tag("zone", &settings.zone)
        .build())
}

fn drain(log: LogFormat) -> slog::Fuse<slog_async::Async> {
    let build = |drain| {
        slog_async::Async::new(drain)
            .chan_size(LOG_CAPACITY)
            .build()
            .fuse()
    };
    match log {
        LogFormat::Json => build(boxed(slog_json::Json::default(io::stderr()))),
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            build(boxed(slog_term::FullFormat::new(decorator).build()))
        }
    }
}

type BoxedDrain = slog::Fuse<Box<dyn slog::SendSyncRefUnwindSafeDrain<Ok = (), Err = slog::Never>>>;

fn boxed<D>(drain: D) -> BoxedDrain
where
    D: Drain<Ok = (), Err = io::Error> + Send + 'static,
{
    let drain = std::sync::Mutex::new(drain.ignore_res()).ignore_res();
    let drain: Box<dyn slog::SendSyncRefUnwindSafeDrain<Ok = (), Err = slog::Never>> =
        Box::new(drain);
    drain.fuse()
}
