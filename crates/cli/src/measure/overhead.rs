//! What an entry adds to a direct call of an upstream.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use wigeonhinge_schema::settings;
use wigeonhinge_standin::caller;
use wigeonhinge_standin::caller::Balancer;
use wigeonhinge_standin::caller::Record;
use wigeonhinge_standin::caller::Stream;
use wigeonhinge_standin::fleet;
use wigeonhinge_standin::upstream::Upstream;
use wigeonhinged::Daemon;
use wigeonhinged::Settings;
use wigeonhinged::Source;

use crate::measure::Report;
use crate::measure::Row;

const SERVICE: &str = "quoting";
const UPSTREAMS: usize = 4;
/// Requests a second of the load that latency is measured under.
const RATE: f64 = 500.0;
/// Callers that send without a pause for the throughput.
const CALLERS: usize = 24;
const TIME: Duration = Duration::from_secs(3);
/// Load before the measurement, which opens the connections.
const WARM: Duration = Duration::from_millis(500);
/// Names of the entry's threads, without their numbers.
const THREADS: [&str; 2] = ["io-", "dispatch"];

/// Measures the latency that an entry adds and the requests that a core serves.
///
/// # Errors
///
/// Fails if no port can be bound or no thread can be started.
pub fn run(seed: u64) -> io::Result<Report> {
    let upstreams: Vec<Upstream> = (0..UPSTREAMS)
        .map(|_| Upstream::spawn())
        .collect::<io::Result<_>>()?;
    let addresses: Vec<SocketAddr> = upstreams.iter().map(Upstream::address).collect();
    let daemon = spawn(&addresses)?;
    let direct = Balancer::new(addresses);
    let entry = Balancer::new([daemon.address()]);
    let mut report = Report::new("overhead", "4 upstreams, 1 service", seed);
    let alone = latencies(&direct, seed)?;
    let through = latencies(&entry, seed)?;
    for (percent, name) in [(50, "p50"), (99, "p99")] {
        let alone = percentile(&alone, percent);
        let through = percentile(&through, percent);
        let metric = format!("latency {name} at {RATE} requests a second");
        report.push(Row::new(&metric, "ms", through).baseline("direct", alone));
        let metric = format!("latency {name} added by the entry");
        report.push(Row::new(&metric, "ms", through - alone));
    }
    caller::saturate(&entry, &stream(), CALLERS, WARM, seed)?;
    let before = cpu();
    let records = caller::saturate(&entry, &stream(), CALLERS, TIME, seed + 1)?;
    let busy = cpu().saturating_sub(before);
    let answered = answered(&records) as f64;
    let rate = answered / TIME.as_secs_f64();
    let direct = caller::saturate(&direct, &stream(), CALLERS, TIME, seed + 2)?;
    let bare = self::answered(&direct) as f64 / TIME.as_secs_f64();
    let metric = format!("throughput of {CALLERS} callers");
    report.push(Row::new(&metric, "requests/s", rate).baseline("direct", bare));
    let core = answered / busy.as_secs_f64().max(f64::MIN_POSITIVE);
    report.push(Row::new("throughput of one core", "requests/s", core));
    Ok(report)
}

fn spawn(addresses: &[SocketAddr]) -> io::Result<Daemon> {
    let raw = settings::Settings {
        entry: "entry-1".into(),
        zone: fleet::ZONE.into(),
        listen: "127.0.0.1:0".into(),
        ..settings::Settings::default()
    };
    let settings = Settings::check(raw).map_err(io::Error::other)?;
    let fleet = fleet::small(&[(SERVICE, addresses)]);
    Daemon::spawn(&settings, Source::Fixed(Box::new(fleet)))
}

fn stream() -> Stream {
    Stream {
        service: SERVICE.into(),
        team: String::new(),
        rate: RATE,
        idempotent: 0.0,
        deadline: Duration::from_secs(5),
        bytes: 100,
    }
}

/// Returns sorted latencies in milliseconds.
fn latencies(balancer: &Balancer, seed: u64) -> io::Result<Vec<f64>> {
    caller::run(balancer, &[stream()], WARM, seed)?;
    let records = caller::run(balancer, &[stream()], TIME, seed + 1)?;
    let mut times: Vec<f64> = records
        .iter()
        .filter(|record| record.answer.as_ref().is_some_and(|it| it.status == 200))
        .map(|record| record.latency.as_secs_f64() * 1e3)
        .collect();
    times.sort_by(f64::total_cmp);
    Ok(times)
}

fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let place = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted.get(place).copied().unwrap_or(f64::NAN)
}

fn answered(records: &[Record]) -> usize {
    let answers = records.iter().filter_map(|record| record.answer.as_ref());
    answers.filter(|answer| answer.status == 200).count()
}

/// Returns the processor time that the entry's threads have used.
fn cpu() -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let nanos = tasks
        .flatten()
        .filter(|task| {
            let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            THREADS.iter().any(|start| name.starts_with(start))
        })
        .filter_map(|task| fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|text| text.split(' ').next()?.parse::<u64>().ok())
        .sum();
    Duration::from_nanos(nanos)
}
