//! One play: processes, callers, disruptions, recovery, and what was broken.
#![allow(unreachable_pub)]

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use crate::entry::Entry;
use crate::entry::wait;
use crate::plan;
use crate::plan::Action;
use crate::plan::ENTRIES;
use crate::plan::Outage;
use crate::plan::Strike;
use crate::plan::WORKERS;
use crate::site::Call;
use crate::site::Site;
use crate::site::lock;
use crate::site::proxy::Mode;
use crate::site::proxy::Proxy;
use crate::site::worker::LASTING;
use crate::site::worker::TIMED;

/// Long-running job, and its tasks of a tenth of a core.
const LASTING_JOB: &str = "f000000000000000";
const LASTING_TASKS: u64 = 24;

/// Time from the last disruption until callers submit no more.
const LAST_JOBS: Duration = Duration::from_secs(1);

/// Time in which all jobs have to end after that: the platform's 14 s and one more run of a long task.
const FINISH: Duration = Duration::from_secs(22);

/// Range of the run times of short and of long tasks in milliseconds; long ones outlive most leases.
const SHORT_MS: (u64, u64) = (100, 1_300);
const LONG_MS: (u64, u64) = (5_000, 8_000);

/// Time between two checks of the workers' leases.
const LEASE_CHECK: Duration = Duration::from_millis(5);

/// Plays a seed; returns what was broken.
pub fn play(seed: u64) -> Vec<String> {
    let mut random = Pcg64::seed_from_u64(seed);
    let actions = plan::draw(&mut random);
    let site = Site::spawn(WORKERS);
    let entries = (0..ENTRIES).map(|index| Entry::spawn(site.store, &format!("e{index}")));
    let entries: Mutex<Vec<Entry>> = Mutex::new(entries.collect());
    let mut links: Vec<Vec<Proxy>> = site.proxies.iter().map(|it| vec![it.clone()]).collect();
    wait("an entry holds the role", || holder(&site).is_some());
    lock(&entries).iter().for_each(Entry::wait_ready);
    // Logs name the time of day.
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    site.oracle.trace(format!("unix time {time:?}"));
    let (jobs_over, over) = (AtomicBool::new(false), AtomicBool::new(false));
    let accepted = thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::SeqCst) {
                site.workers.iter().for_each(|worker| worker.expire());
                thread::sleep(LEASE_CHECK);
            }
        });
        let mut jobs = Pcg64::seed_from_u64(random.random());
        let caller = scope.spawn({
            let (site, entries, jobs_over) = (&site, &entries, &jobs_over);
            move || submit_jobs(site, entries, jobs_over, &mut jobs)
        });
        let mut lasting = true;
        let started = Instant::now();
        for (at, action) in &actions {
            if std::mem::take(&mut lasting) {
                submit_lasting(&site, &entries);
            }
            thread::sleep(at.saturating_sub(started.elapsed()));
            act(&site, &entries, &mut links, *action, &mut random);
        }
        thread::sleep(LAST_JOBS);
        jobs_over.store(true, Ordering::SeqCst);
        let accepted = caller.join().expect("a caller");
        let deadline = Instant::now() + FINISH;
        while !open_jobs(&site, &accepted).is_empty() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(100));
        }
        over.store(true, Ordering::SeqCst);
        accepted
    });
    let mut broken = site.oracle.violations();
    let open = open_jobs(&site, &accepted);
    if !open.is_empty() {
        broken.push(format!("not complete: {open:?}"));
    }
    if !broken.is_empty() {
        let trace = std::env::temp_dir().join(format!("restart-series-{seed}.trace"));
        let planned = actions.iter().map(|it| format!("{it:?}"));
        let lines: Vec<String> = planned.chain(site.oracle.traced()).collect();
        // The trace is for reading only; what was broken is reported without it as well.
        match std::fs::write(&trace, lines.join("\n")) {
            Ok(()) => broken.push(format!("trace: {}", trace.display())),
            Err(error) => broken.push(format!("the trace cannot be written: {error}")),
        }
        for entry in lock(&entries).iter() {
            let log = entry.file.with_extension("log");
            let kept = trace.with_extension(format!("{}.log", entry.callers.port()));
            if std::fs::copy(&log, &kept).is_ok() {
                broken.push(format!("log: {}", kept.display()));
            }
        }
    }
    broken
}

/// Returns the name of the entry that holds the role.
fn holder(site: &Site) -> Option<String> {
    let row = site.value("wigeonhinge/role/0")?;
    let row: serde_json::Value = serde_json::from_str(&row).ok()?;
    Some(row["entry"].as_str()?.to_owned())
}

/// Carries out an action; `links` are the proxies of each worker, the last one at its present address.
fn act(
    site: &Site,
    entries: &Mutex<Vec<Entry>>,
    links: &mut [Vec<Proxy>],
    action: Action,
    random: &mut Pcg64,
) {
    site.oracle.trace(format!("{action:?}"));
    match action {
        Action::Crash(index) => site.workers[index].crash(),
        Action::Revive(index) => drop(site.workers[index].revive()),
        // A worker that is down writes nothing.
        Action::Register(index) if site.workers[index].is_dark() => {}
        Action::Register(index) => {
            let link = links[index].last().expect("a link");
            let born = site.workers[index].born();
            site.register(index, Some(link.address), born);
        }
        Action::Move { index, forwards } => {
            if !forwards {
                links[index].iter().for_each(|it| it.set_mode(Mode::Hold));
            }
            links[index].push(Proxy::spawn(site.servers[index]));
        }
        Action::Cut(index) => links[index].iter().for_each(|it| it.set_mode(Mode::Hold)),
        Action::Heal(index) => {
            let link = links[index].last().expect("a link");
            link.set_mode(Mode::Pass);
        }
        Action::Store(outage) => {
            let (down, slow, lost) = match outage {
                None => (false, 0, 0),
                Some(Outage::Down) => (true, 0, 0),
                Some(Outage::Slow(millis)) => (false, millis, 0),
                Some(Outage::Lost(count)) => (false, 0, count),
            };
            let faults = &site.faults;
            faults.down.store(down, Ordering::SeqCst);
            faults.slow_commits_ms.store(slow, Ordering::SeqCst);
            faults.lost_responses.store(lost, Ordering::SeqCst);
        }
        Action::Late(share) => {
            for worker in &site.workers {
                let mut random = Pcg64::seed_from_u64(random.random());
                let late = move |_: &Call| {
                    let is_late = random.random_bool(share);
                    is_late.then(|| plan::late_by(&mut random))
                };
                worker.set_lateness((share > 0.0).then(|| Box::new(late) as _));
            }
        }
        Action::Strike(strike) => {
            let Some(name) = holder(site) else {
                return;
            };
            let index: usize = name.trim_start_matches('e').parse().expect("a number");
            let signal = match strike {
                Strike::Kill => Signal::KILL,
                Strike::Terminate => Signal::TERM,
                Strike::Suspend => Signal::STOP,
            };
            site.oracle.trace(format!("{name} is struck"));
            send(&lock(entries)[index], signal);
        }
        Action::StartEntries => {
            let mut entries = lock(entries);
            for index in 0..ENTRIES {
                let entry = &mut entries[index];
                send(entry, Signal::CONT);
                if !matches!(entry.child.try_wait(), Ok(None)) {
                    let next = Entry::spawn(site.store, &format!("e{index}"));
                    // Ended entries stay at the end of the list, for their logs.
                    let ended = std::mem::replace(entry, next);
                    entries.push(ended);
                }
            }
        }
    }
}

fn send(entry: &Entry, signal: Signal) {
    // A process that has ended takes no signal.
    let _ = kill_process(Pid::from_child(&entry.child), signal);
}

fn submit_lasting(site: &Site, entries: &Mutex<Vec<Entry>>) {
    let job = format!(
        r#"{{"spec":"{LASTING}","steps":[{{"count":{LASTING_TASKS},"cpu":100,"memMb":10,"longRunning":true}}]}}"#
    );
    site.oracle
        .submitted(LASTING_JOB, LASTING, &[LASTING_TASKS]);
    let callers = lock(entries)[0].callers;
    let path = format!("/jobs/{LASTING_JOB}");
    let response = crate::entry::exchange(callers, "POST", &path, &job);
    assert_eq!(response.expect("a response").0, 200);
}

/// Submits jobs with short and with long tasks until it is told that callers are done; returns the
/// accepted ones.
fn submit_jobs(
    site: &Site,
    entries: &Mutex<Vec<Entry>>,
    over: &AtomicBool,
    random: &mut Pcg64,
) -> Vec<String> {
    let mut accepted = Vec::new();
    for number in 0u64.. {
        if over.load(Ordering::SeqCst) {
            break;
        }
        let long = random.random_bool(0.2);
        let ((shortest, longest), count) = match long {
            true => (LONG_MS, random.random_range(2..=8)),
            false => (SHORT_MS, random.random_range(1..=4)),
        };
        let spec = format!("{TIMED}{}", random.random_range(shortest..longest));
        let job = format!(
            r#"{{"spec":"{spec}","steps":[{{"count":{count},"cpu":500,"memMb":10,"estimateMs":500}}]}}"#
        );
        let id = format!("{number:016x}");
        site.oracle.submitted(&id, &spec, &[count]);
        let callers = {
            let entry = &mut lock(entries)[number as usize % ENTRIES];
            // Another process may listen at the address of an entry that has ended.
            matches!(entry.child.try_wait(), Ok(None)).then_some(entry.callers)
        };
        let path = format!("/jobs/{id}");
        let response = callers.and_then(|it| crate::entry::exchange(it, "POST", &path, &job));
        if response.is_some_and(|it| it.0 == 200) {
            accepted.push(id);
        }
        thread::sleep(Duration::from_millis(random.random_range(40..240)));
    }
    accepted
}

/// Returns the jobs that are not complete; a long-running one is if all its tasks are at work.
fn open_jobs(site: &Site, accepted: &[String]) -> Vec<String> {
    let jobs = accepted.iter().filter(|id| !site.oracle.is_complete(id));
    let lasting = (!site.oracle.is_at_work(LASTING_JOB)).then(|| LASTING_JOB.to_owned());
    jobs.cloned().chain(lasting).collect()
}
