//! Command `demo`: a fleet, its entries and stand-ins on loopback, in one process.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::WrapErr;
use serde::Serialize;
use wigeonhinge::ledger::Change;
use wigeonhinge::ledger::Ledger;
use wigeonhinge::ledger::WaveChange;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::WaveState;
use wigeonhinge_standin::caller;
use wigeonhinge_standin::caller::Record;
use wigeonhinge_standin::caller::Stream;

use crate::exit::Exit;
use crate::options::DemoOptions;
use crate::owner::Owner;
use crate::owner::SLOTS;
use crate::site::Findings;
use crate::site::Site;
use crate::site::Watch;
use crate::site::within;
use crate::submit;

/// Requests a second of a service, on average.
const RATE: f64 = 60.0;

/// Times its mean that a queue asks for while it floods.
const FLOOD: f64 = 5.0;

/// Length of each phase of the load.
const PHASE: Duration = Duration::from_secs(5);

/// Time that a caller gives a request.
const DEADLINE: Duration = Duration::from_secs(2);

/// Time in which a revision has to be in force on every entry.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Time given to the wave, the job and the start of the entries.
const PATIENCE: Duration = Duration::from_secs(30);

/// Share of its answered work that a queue keeps while another one floods.
const KEPT: f64 = 0.99;

/// Figures of a run, as the last line of `--json`.
#[derive(Clone, Debug, Default, Serialize)]
struct Summary {
    owner: String,
    seed: u64,
    /// Share of the VMs held back beyond what is promised, in percent.
    buffer_cost: f64,
    rollout_seconds: f64,
    moves: usize,
    /// Smallest share of its work that a queue keeps while another one floods.
    flood_protection: f64,
    requests: usize,
    lost: usize,
    duplicated: usize,
    crossed: usize,
    false_not_run: usize,
    budget_violations: usize,
    config_reverts: usize,
    /// Upstreams that ran more requests at the same time than they have slots.
    over_limit: usize,
    /// Longest time until an accepted revision was in force on every entry.
    in_force_seconds: f64,
    ok: bool,
}

/// Runs the demonstration and prints its report.
pub(crate) fn run(options: &DemoOptions) -> Exit {
    let owner = options.owner.unwrap_or(Owner::Coastline);
    match demonstrate(owner, options.seed, options.json) {
        Ok(summary) => {
            if options.json {
                println!("{}", serde_json::json!(summary));
            } else {
                print(&summary);
            }
            if summary.ok {
                Exit::Done
            } else {
                Exit::Refused
            }
        }
        Err(error) => {
            eprintln!("wigeonhinge: demo: {error:#}");
            Exit::Refused
        }
    }
}

fn demonstrate(owner: Owner, seed: u64, json: bool) -> Result<Summary> {
    let say = |text: &str| {
        if !json {
            println!("{text}");
        }
    };
    let mut site = Site::open(owner)?;
    say(&format!(
        "{owner}: {} entries in {} zones, {} VMs, {} upstreams",
        site.entries.len(),
        owner.zones().len(),
        site.fleet.inventory.len(),
        site.upstreams.len()
    ));
    let mut in_force = apply(&site, "first", 0)?;
    say(&format!(
        "revision 1 is in force everywhere after {:.2} s",
        in_force.as_secs_f64()
    ));
    within(PATIENCE, "not every VM is in service", || site.in_service())?;
    let watch = Watch::spawn(&site);
    let load = spawn_load(&site, seed);
    thread::sleep(PHASE);
    start_wave(&site)?;
    let wave = Instant::now();
    say("a wave has started");
    run_job(&site)?;
    say("a job was accepted, ran and is done");
    in_force = in_force.max(apply(&site, "second", 1)?);
    say("an edit is in force as revision 2");
    site.stop_first();
    say("an entry has stopped gracefully");
    wait_wave(&site)?;
    let rollout = wave.elapsed();
    say(&format!(
        "the wave is done after {:.1} s",
        rollout.as_secs_f64()
    ));
    let records = load
        .join()
        .map_err(|_| eyre::eyre!("the load has panicked"))??;
    let findings = watch.stop();
    let mut summary = judge(&site, &records, &findings);
    summary.owner = owner.to_string();
    summary.seed = seed;
    summary.rollout_seconds = rollout.as_secs_f64();
    summary.in_force_seconds = in_force.as_secs_f64();
    summary.ok &= in_force <= IN_FORCE;
    Ok(summary)
}

/// Applies the fleet and returns the time until it is in force on every entry.
fn apply(site: &Site, id: &str, base: u64) -> Result<Duration> {
    site.apply(id, base)?;
    let start = Instant::now();
    within(PATIENCE, "the revision is not in force", || {
        site.in_force(base + 1)
    })?;
    Ok(start.elapsed())
}

/// Load in phases of equal length: no flood, a flood of the least urgent work,
/// a pause, a flood of the most urgent work, and the rest.
fn spawn_load(site: &Site, seed: u64) -> thread::JoinHandle<Result<Vec<Record>>> {
    let services: Vec<String> = site
        .owner
        .services()
        .iter()
        .map(|(name, _)| (*name).to_owned())
        .collect();
    let balancer = site.balancer.clone();
    thread::spawn(move || {
        let mut records = Vec::new();
        for (phase, flooding) in FLOODING.iter().enumerate() {
            let streams: Vec<Stream> = services
                .iter()
                .enumerate()
                .map(|(rank, service)| stream(service, flooding.rank(services.len()) == Some(rank)))
                .collect();
            let mut sent = caller::run(&balancer, &streams, PHASE, seed + phase as u64)?;
            let shift = PHASE * u32::try_from(phase)?;
            sent.iter_mut().for_each(|record| record.sent += shift);
            records.extend(sent);
        }
        Ok(records)
    })
}

/// Which queue floods in a phase.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Flooding {
    Nobody,
    LeastUrgent,
    MostUrgent,
}

/// Phases of the load.
const FLOODING: [Flooding; 8] = [
    Flooding::Nobody,
    Flooding::LeastUrgent,
    Flooding::Nobody,
    Flooding::MostUrgent,
    Flooding::Nobody,
    Flooding::Nobody,
    Flooding::Nobody,
    Flooding::Nobody,
];

impl Flooding {
    /// Returns the rank of the flooding service; the spare pool's service, which
    /// ranks last, is not flooded.
    fn rank(self, services: usize) -> Option<usize> {
        match self {
            Self::Nobody => None,
            Self::LeastUrgent => Some(services - 2),
            Self::MostUrgent => Some(0),
        }
    }
}

fn stream(service: &str, floods: bool) -> Stream {
    Stream {
        service: service.to_owned(),
        team: String::new(),
        rate: if floods { RATE * FLOOD } else { RATE },
        idempotent: 0.5,
        deadline: DEADLINE,
        bytes: 256,
    }
}

fn start_wave(site: &Site) -> Result<()> {
    within(PATIENCE, "the ledger is missing", || {
        site.ledger().is_some()
    })?;
    let change = Change::Wave(WaveChange::Start {
        id: "demo".to_owned(),
        author: "demo".to_owned(),
        before: Duration::from_millis(submit::now_ms()),
    });
    within(PATIENCE, "the wave has not started", || {
        let Some((version, ledger)) = site.ledger() else {
            return false;
        };
        let now = Duration::from_millis(submit::now_ms());
        let next = ledger.apply(&change, ledger.document().fence, now);
        next.is_ok_and(|next| site.put_ledger(version, &next))
    })
}

fn wait_wave(site: &Site) -> Result<()> {
    let done = |ledger: &Ledger| {
        ledger
            .wave()
            .is_some_and(|wave| wave.state() == WaveState::Done)
    };
    let end = within(PATIENCE, "the wave is not done", || {
        site.ledger().is_some_and(|(_, ledger)| done(&ledger))
    });
    end.wrap_err_with(|| {
        site.ledger()
            .map_or(String::new(), |(_, ledger)| describe(&ledger))
    })
}

/// Returns the state of the wave and the VMs that are out of service.
fn describe(ledger: &Ledger) -> String {
    let state = ledger
        .wave()
        .map_or("no wave", |wave| wave.state().as_str_name());
    let out = ledger.vms().iter().filter(|vm| vm.phase() != Phase::Active);
    let out: Vec<String> = out
        .map(|vm| format!("{} {}", vm.name, vm.phase().as_str_name()))
        .collect();
    let reason = ledger.wave().map_or("", |wave| wave.reason.as_str());
    format!(
        "wave {state} {reason:?}, out of service: {}",
        out.join(", ")
    )
}

/// Submits a job to an entry and waits for its end.
fn run_job(site: &Site) -> Result<()> {
    let pool = site.owner.services()[0].0;
    let job = Job {
        id: "permit-drawing".to_owned(),
        team: "office".to_owned(),
        class: "drawing".to_owned(),
        size: Some(Size {
            millicores: 2_000,
            memory_mb: 1_024,
            accelerators: 0,
        }),
        ..Job::default()
    };
    let state = |path: &str, body: Option<&Job>| site.ask_job(path, body).unwrap_or_default();
    let first = |text: &String| text.contains("accepted") || text.contains("running");
    within(PATIENCE, "the job was not accepted", || {
        first(&state(pool, Some(&job)))
    })?;
    let path = format!("{pool}/permit-drawing");
    within(PATIENCE, "the job is not done", || {
        state(&path, None).contains("\"done\"")
    })
}

/// Compares what callers saw with what upstreams did, and the rest with the promises.
fn judge(site: &Site, records: &[Record], findings: &Findings) -> Summary {
    let ledgers: Vec<_> = site
        .upstreams
        .iter()
        .map(|upstream| upstream.ledger())
        .collect();
    let verdict = caller::compare(records, &ledgers);
    let protection = protection(site.owner, records);
    let slots = usize::try_from(SLOTS).unwrap_or(usize::MAX);
    let over_limit = ledgers.iter().filter(|ledger| ledger.peak > slots).count();
    let clean = verdict.lost + verdict.duplicated + verdict.crossed + verdict.false_not_run == 0;
    let kept = findings.budget_violations + findings.config_reverts == 0;
    Summary {
        buffer_cost: site.buffer_cost(),
        moves: findings.moves,
        flood_protection: protection,
        requests: verdict.requests,
        lost: verdict.lost,
        duplicated: verdict.duplicated,
        crossed: verdict.crossed,
        false_not_run: verdict.false_not_run,
        budget_violations: findings.budget_violations,
        config_reverts: findings.config_reverts,
        over_limit,
        ok: clean && kept && over_limit == 0 && protection >= KEPT,
        ..Summary::default()
    }
}

/// Returns the smallest share of answered requests of a queue during a flood of another one.
fn protection(owner: Owner, records: &[Record]) -> f64 {
    let services = owner.services();
    let mut least: f64 = 1.0;
    for (phase, flooding) in FLOODING.iter().enumerate() {
        let Some(flooded) = flooding.rank(services.len()) else {
            continue;
        };
        let start = PHASE * u32::try_from(phase).unwrap_or(0);
        for (rank, (service, _)) in services.iter().enumerate() {
            if rank == flooded {
                continue;
            }
            let sent = records.iter().filter(|record| {
                record.service == *service && record.sent >= start && record.sent < start + PHASE
            });
            let (answered, all) = sent.fold((0_u32, 0_u32), |(answered, all), record| {
                let good = record
                    .answer
                    .as_ref()
                    .is_some_and(|answer| answer.status == 200);
                (answered + u32::from(good), all + 1)
            });
            least = least.min(f64::from(answered) / f64::from(all.max(1)));
        }
    }
    least
}

fn print(summary: &Summary) {
    let Summary {
        requests,
        lost,
        duplicated,
        crossed,
        false_not_run,
        ..
    } = summary;
    println!(
        "requests {requests}, lost {lost}, duplicated {duplicated}, crossed {crossed}, falsely refused {false_not_run}"
    );
    println!(
        "flood protection {:.3}: smallest share of its work that a queue kept",
        summary.flood_protection
    );
    println!(
        "roll-out {:.1} s, moves {}, buffer cost {:.1} %",
        summary.rollout_seconds, summary.moves, summary.buffer_cost
    );
    println!(
        "budget violations {}, configuration reverts {}, upstreams over their limit {}",
        summary.budget_violations, summary.config_reverts, summary.over_limit
    );
    println!(
        "{}",
        if summary.ok {
            "every promise held"
        } else {
            "a promise was broken"
        }
    );
}
