//! Jobs that pass between two partitions while holders are killed and the store is slow or loses
//! answers; seeded.
//!
//! CI plays two seeds. `TRANSFER_SEEDS=1-50 cargo test --release -p wigeonhinged --test transfer_series
//! -- --nocapture by_hand` plays more, one after the other.

#[path = "support/entry.rs"]
mod entry;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

use std::collections::BTreeMap;
use std::env;
use std::fs;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use entry::Entry;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;
use site::Site;

const SPEC: &str = "time-300";

/// Two steps, so that jobs pass on with a part of their tasks done.
const JOB: &str = r#"{"spec":"time-300","steps":[
    {"count":2,"cpu":1500,"memMb":100,"estimateMs":300},
    {"count":1,"cpu":1500,"memMb":100,"estimateMs":300,"after":[0]}]}"#;

/// Time in which faults begin.
const FAULT_TIME: Duration = Duration::from_secs(14);

/// Time after the faults in which all jobs have to end.
const REST_TIME: Duration = Duration::from_secs(20);

/// Worker of the second partition that serves the jobs' pool, and drains at times.
const ONLY_WORKER: usize = 2;

fn set_draining(site: &Site, drains: bool) {
    let state = if drains { "draining" } else { "ready" };
    site.change_worker(ONLY_WORKER, |entry| entry["state"] = state.into());
}

/// Starts a site of two partitions: one has two workers of the jobs' pool, the other one has one.
fn divided() -> Site {
    let site = Site::spawn(4);
    site.divide(&[ONLY_WORKER, 3]);
    site.change_worker(3, |entry| entry["service"] = "plans".into());
    site
}

/// Jobs that callers submitted, by whether their cancellation was acknowledged.
type Jobs = BTreeMap<String, bool>;

fn submit(site: &Site, entry: &Entry, jobs: &mut Jobs) {
    let id = format!("{:016x}", jobs.len());
    site.oracle.submitted(&id, SPEC, &[2, 1]);
    let answer = entry.ask("POST", &format!("/jobs/{id}"), JOB);
    if answer.is_some_and(|(status, _)| status == 200) {
        jobs.insert(id, false);
    }
}

fn cancel(site: &Site, entry: &Entry, jobs: &mut Jobs) {
    let Some((id, cancelled)) = jobs.iter_mut().next_back() else {
        return;
    };
    let answer = entry.ask("DELETE", &format!("/jobs/{id}"), "");
    if answer.is_some_and(|(status, _)| status == 200) {
        site.oracle.cancelled(id);
        *cancelled = true;
    }
}

/// Returns the number of jobs that an entry transferred, by its log.
fn transfers(entry: &Entry) -> usize {
    let log = fs::read_to_string(entry.file.with_extension("log"));
    let log = log.expect("the log of an entry");
    log.matches("jobs: job passes to another partition").count()
}

/// Plays the faults of a seed; returns what broke.
fn play(seed: u64) -> Vec<String> {
    let mut random = Pcg64::seed_from_u64(seed);
    let site = divided();
    let spawn = |number: usize| Entry::spawn(site.store, &format!("e{number}"));
    let mut entries: Vec<Entry> = (0..3).map(spawn).collect();
    let mut spawned = entries.len();
    entries.iter().for_each(Entry::wait_ready);
    let mut jobs = Jobs::new();
    let began = Instant::now();
    let mut transferred = 0;
    let mut drains = false;
    let mut drained_at = began;
    while began.elapsed() < FAULT_TIME {
        // Long enough for jobs to pass on, and for others to come back.
        if drained_at.elapsed() > Duration::from_secs(4) {
            drains = !drains;
            drained_at = Instant::now();
            set_draining(&site, drains);
        }
        let entry = random.random_range(0..entries.len());
        submit(&site, &entries[entry], &mut jobs);
        match random.random_range(0..12) {
            0 => {
                transferred += transfers(&entries.remove(entry));
                entries.push(spawn(spawned));
                spawned += 1;
            }
            1 => site.faults.lost_responses.store(2, Ordering::SeqCst),
            2 => site.faults.slow_commits_ms.store(300, Ordering::SeqCst),
            3 => cancel(&site, &entries[entry], &mut jobs),
            _ => site.faults.slow_commits_ms.store(0, Ordering::SeqCst),
        }
        thread::sleep(Duration::from_millis(random.random_range(50..250)));
    }
    site.faults.slow_commits_ms.store(0, Ordering::SeqCst);
    set_draining(&site, true);
    let healed = Instant::now();
    let mut broken = loop {
        let kept = jobs.iter().filter(|(_, cancelled)| !**cancelled);
        let open = kept.filter(|(id, _)| !site.oracle.is_complete(id));
        let open: Vec<String> = open
            .map(|(id, _)| format!("{id} is not complete"))
            .collect();
        if open.is_empty() || healed.elapsed() > REST_TIME {
            break open;
        }
        thread::sleep(Duration::from_millis(100));
    };
    broken.extend(site.oracle.violations());
    transferred += entries.iter().map(transfers).sum::<usize>();
    println!("{} jobs, {transferred} transfers", jobs.len());
    if transferred == 0 {
        broken.push("no job was transferred".to_owned());
    }
    broken
}

/// Guards against tasks that run twice and jobs that never end.
#[rstest]
#[case::first(1)]
#[case::second(2)]
fn series_short(#[case] seed: u64) {
    let broken = play(seed);
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
}

/// Plays the seeds that the environment names; none without.
#[test]
fn series_by_hand() {
    let Ok(seeds) = env::var("TRANSFER_SEEDS") else {
        return;
    };
    let number = |text: &str| text.parse::<u64>().expect("a seed, or two with a dash");
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let mut failed = Vec::new();
    for seed in number(first)..=number(last) {
        let broken = play(seed);
        println!("seed {seed}: {} broken", broken.len());
        broken.iter().for_each(|line| println!("    {line}"));
        if !broken.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
