//! Availability zones that are cut off from the platform and from the other zones, with the entry in
//! it that holds the role: real processes, a store and workers of three zones.
//!
//! `ZONE_SEEDS=1-20 cargo test --release -p wigeonhinged --test zone_cut -- --nocapture by_hand` plays
//! more seeds.

#[path = "support/entry.rs"]
mod entry;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

use std::collections::BTreeMap;
use std::env;
use std::fs;
use std::fs::File;
use std::path::PathBuf;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use entry::Entry;
use entry::exchange;
use entry::program;
use entry::wait;
use site::Site;
use site::proxy::Mode;
use site::proxy::Proxy;

const ZONES: usize = 3;

const WORKERS: usize = 12;

const ENTRIES: usize = 6;

/// Tasks of the long-running job, of 0.15 cores each: 18 of the 48 cores of all workers, so that less
/// than half of the capacity is in use.
const LASTING_TASKS: u64 = 120;

/// Time after which the registry drops a worker that cannot reach the store: three heartbeats.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Time after a cut in which everything has to run again; the platform's bound for recovery.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time without disruption after which jobs are judged: the platform's `contactMs`, and a second for
/// the successor's restore.
const CALM: Duration = Duration::from_secs(4);

/// Longest time for which a job may have nothing running while less than half of the capacity is used.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// Time between two checks of the workers' leases.
const LEASE_CHECK: Duration = Duration::from_millis(5);

/// Pause between two jobs. With three tasks of 0.15 s and 0.3 cores each they use 2 cores.
const PAUSE: Duration = Duration::from_millis(60);

/// Seed that CI plays: a cut of 13.8 s, long enough for the leases of the lost zone to end.
const SHORT_SEED: u64 = 1;

const LASTING: &str = "f000000000000000";

/// Running system of three zones.
struct Zones {
    site: Site,
    entries: Vec<Entry>,
    /// Ways of the entries to the store.
    stores: Vec<Proxy>,
    /// Ways of each zone's entries to each worker.
    links: Vec<Vec<Proxy>>,
    /// Registry entries of the workers, which the store drops while their zone is cut off.
    registry: Vec<String>,
    folder: PathBuf,
}

fn zone_of(index: usize) -> usize {
    index % ZONES
}

fn worker_key(index: usize) -> String {
    format!("servers/i-{index}")
}

impl Zones {
    fn open(seed: u64) -> Self {
        let site = Site::spawn(WORKERS);
        let keys = (0..WORKERS).map(worker_key);
        let registry = keys.map(|key| site.value(&key).expect("a registry entry"));
        let registry = registry.collect();
        let mut links = Vec::new();
        let mut views = Vec::new();
        for _ in 0..ZONES {
            let proxies: Vec<Proxy> = site
                .proxies
                .iter()
                .map(|it| Proxy::spawn(it.address))
                .collect();
            let workers = site.proxies.iter().map(|it| it.address);
            let others = proxies.iter().map(|it| it.address);
            views.push(site.spawn_view(workers.zip(others).collect::<BTreeMap<_, _>>()));
            links.push(proxies);
        }
        let stores: Vec<Proxy> = (0..ENTRIES)
            .map(|it| Proxy::spawn(views[zone_of(it)]))
            .collect();
        let folder = format!("wigeonhinge-zones-{}-{seed}", std::process::id());
        let folder = env::temp_dir().join(folder);
        fs::create_dir_all(&folder).expect("a folder for logs");
        let names = stores.iter().enumerate();
        let entries = names.map(|(index, store)| Entry::spawn(store.address, &format!("e{index}")));
        let mut zones = Self {
            entries: entries.collect(),
            site,
            stores,
            links,
            registry,
            folder,
        };
        (0..ENTRIES).for_each(|index| zones.restart(index));
        zones.entries.iter().for_each(Entry::wait_ready);
        zones
    }

    /// Starts an entry anew, with a log. The processes that [`Entry`] starts have none.
    fn restart(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let _ = entry.child.kill();
        let _ = entry.child.wait();
        let log = self.folder.join(format!("e{index}.log"));
        let log = File::options().create(true).append(true).open(log);
        entry.child = program(&entry.file, log.map_or_else(|_| Stdio::null(), Stdio::from));
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.entries[index].child.id() as i32) {
            // The process may have ended.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the entry that holds the role.
    fn holder(&self) -> Option<usize> {
        let row = self.site.value("wigeonhinge/role/0")?;
        (0..ENTRIES).find(|index| row.contains(&format!("\"e{index}\"")))
    }

    /// Sets the mode of all links that cross the border of a zone; the store is outside of each zone.
    fn set_links(&self, zone: usize, mode: Mode) {
        let entries = (0..ENTRIES).filter(|index| zone_of(*index) == zone);
        entries.for_each(|index| self.stores[index].set_mode(mode));
        for (from, links) in self.links.iter().enumerate() {
            let workers = links.iter().enumerate();
            let crossing = workers.filter(|(to, _)| (from == zone) != (zone_of(*to) == zone));
            crossing.for_each(|(_, link)| link.set_mode(mode));
        }
    }

    fn set_registered(&self, zone: usize, registered: bool) {
        for index in (0..WORKERS).filter(|index| zone_of(*index) == zone) {
            match registered {
                true => self.site.put(&worker_key(index), &self.registry[index]),
                false => self.site.remove(&worker_key(index)),
            }
        }
    }

    /// Lets time pass, in which leases lapse also on workers that receive no calls.
    fn pass(&self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.site.workers.iter().for_each(|it| it.expire());
            thread::sleep(LEASE_CHECK);
        }
    }

    fn begin(&self, holder: usize, strike: Strike) {
        match strike {
            Strike::Nothing => {}
            Strike::Terminate => self.signal(holder, Signal::TERM),
            Strike::Kill => self.signal(holder, Signal::KILL),
            Strike::Pause(_) => self.signal(holder, Signal::STOP),
        }
    }

    /// Waits until all jobs are complete and the long-running one is at work; returns what was broken.
    fn recover(&self, submitted: &[String]) -> Vec<String> {
        let oracle = &self.site.oracle;
        let until = Instant::now() + RECOVERY;
        let open = || -> Vec<String> {
            let jobs = submitted.iter().filter(|id| !oracle.is_complete(id));
            let jobs = jobs.map(|id| format!("{id} is not complete"));
            let lasting =
                (!oracle.is_at_work(LASTING)).then(|| format!("{LASTING} is not at work"));
            jobs.chain(lasting).collect()
        };
        while !open().is_empty() && Instant::now() < until {
            self.pass(PAUSE);
        }
        let mut broken = oracle.violations();
        broken.extend(open());
        broken
    }
}

/// What happens to the holder besides the cut of its zone.
#[derive(Clone, Copy, Debug)]
enum Strike {
    Nothing,
    Terminate,
    Kill,
    /// It is suspended for a time.
    Pause(Duration),
}

/// Times and faults of one play.
#[derive(Debug)]
struct Plan {
    length: Duration,
    strike: Strike,
    strike_at: Duration,
    /// Time from the end of the cut until the zone's workers are registered again.
    registered_after: Duration,
}

impl Plan {
    fn draw(seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut millis = |range| Duration::from_millis(random.random_range(range));
        let length = millis(2_000..16_000);
        let strike_at = millis(0..2_500);
        let pause = millis(500..6_000);
        let registered_after = millis(0..1_500);
        let strike = match random.random_range(0..5) {
            0 => Strike::Terminate,
            1 => Strike::Kill,
            2 => Strike::Pause(pause),
            _ => Strike::Nothing,
        };
        Self {
            length,
            strike,
            strike_at,
            registered_after,
        }
    }
}

/// Short jobs that are handed in, one after the other, while the zone is cut off.
struct Load<'a> {
    zones: &'a Zones,
    submitted: Vec<String>,
    /// Jobs that have not begun, with the times of their acceptance.
    waiting: Vec<(String, Instant)>,
    longest_wait: Duration,
}

impl Load<'_> {
    /// Hands in the next job outside of a zone; if it is judged, its wait is measured.
    fn submit(&mut self, zone: usize, judged: bool) {
        let oracle = &self.zones.site.oracle;
        let number = self.submitted.len();
        let id = format!("{number:016x}");
        let spec = format!("spec of {id}");
        oracle.submitted(&id, &spec, &[3]);
        let step = r#"{"count":3,"cpu":300,"memMb":50,"estimateMs":150}"#;
        let body = format!(r#"{{"spec":"{spec}","steps":[{step}]}}"#);
        let outside = (0..ENTRIES).filter(|index| zone_of(*index) != zone);
        let entry = outside.cycle().nth(number).expect("entries of other zones");
        let address = self.zones.entries[entry].callers;
        let answer = exchange(address, "POST", &format!("/jobs/{id}"), &body);
        if answer.is_some_and(|it| it.0 == 200) {
            if judged {
                self.waiting.push((id.clone(), Instant::now()));
            }
            self.submitted.push(id);
        }
    }

    fn measure(&mut self) {
        let oracle = &self.zones.site.oracle;
        for (_, since) in &self.waiting {
            self.longest_wait = self.longest_wait.max(since.elapsed());
        }
        self.waiting.retain(|(id, _)| !oracle.has_begun(id));
    }
}

/// Hands in the long-running job, and waits until it is at work.
fn submit_lasting(zones: &Zones) {
    let oracle = &zones.site.oracle;
    let spec = format!("lasting spec of {LASTING}");
    oracle.submitted(LASTING, &spec, &[LASTING_TASKS]);
    let step = format!(
        r#"{{"count":{LASTING_TASKS},"cpu":150,"memMb":50,"longRunning":true,"estimateMs":100}}"#
    );
    let body = format!(r#"{{"spec":"{spec}","steps":[{step}]}}"#);
    let path = format!("/jobs/{LASTING}");
    wait("the long-running job is accepted", || {
        let mut entries = zones.entries.iter();
        entries.any(|it| exchange(it.callers, "POST", &path, &body).is_some_and(|it| it.0 == 200))
    });
    wait("it is at work", || oracle.is_at_work(LASTING));
}

/// Cuts the zone of the role's holder off; returns what was broken.
fn play(seed: u64) -> Vec<String> {
    let plan = Plan::draw(seed);
    let zones = Zones::open(seed);
    submit_lasting(&zones);
    let holder = zones.holder().expect("a holder");
    let zone = zone_of(holder);
    let mut load = Load {
        zones: &zones,
        submitted: Vec::new(),
        waiting: Vec::new(),
        longest_wait: Duration::ZERO,
    };
    let began = Instant::now();
    zones.set_links(zone, Mode::Hold);
    let (mut struck, mut dropped) = (false, false);
    while began.elapsed() < plan.length {
        let time = began.elapsed();
        if time >= plan.strike_at && !std::mem::replace(&mut struck, true) {
            zones.begin(holder, plan.strike);
        }
        if let Strike::Pause(length) = plan.strike
            && time >= plan.strike_at + length
        {
            zones.signal(holder, Signal::CONT);
        }
        if time >= REGISTRY_TIMEOUT && !std::mem::replace(&mut dropped, true) {
            zones.set_registered(zone, false);
        }
        load.submit(zone, time > plan.strike_at + CALM);
        load.measure();
        zones.pass(PAUSE);
    }
    zones.signal(holder, Signal::CONT);
    zones.set_links(zone, Mode::Pass);
    zones.pass(plan.registered_after);
    zones.set_registered(zone, true);
    let Load {
        submitted,
        longest_wait,
        ..
    } = load;
    let mut broken = zones.recover(&submitted);
    if longest_wait > LONGEST_WAIT {
        broken.push(format!("a job had nothing running for {longest_wait:?}"));
    }
    println!(
        "seed {seed}: {plan:?}, {} jobs, longest wait {longest_wait:?}, {} broken",
        submitted.len(),
        broken.len()
    );
    match broken.is_empty() {
        // A folder that cannot be removed does no harm.
        true => drop(fs::remove_dir_all(&zones.folder)),
        false => broken.push(format!("logs in {}", zones.folder.display())),
    }
    broken
}

/// Guards against a pool in which nothing starts for seconds after the zone of the holder was cut off:
/// its long-running tasks started one after the other, and all others waited.
#[test]
fn zone_cut_short() {
    assert_eq!(play(SHORT_SEED), Vec::<String>::new());
}

/// Plays the seeds that the environment names; none without.
#[test]
fn zone_cut_by_hand() {
    let Ok(seeds) = env::var("ZONE_SEEDS") else {
        return;
    };
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let number = |text: &str| text.parse::<u64>().expect("a seed, or two with a dash");
    let mut failed = Vec::new();
    for seed in number(first)..=number(last) {
        let broken = play(seed);
        if !broken.is_empty() {
            broken
                .iter()
                .take(8)
                .for_each(|line| println!("    {line}"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds with a broken promise: {failed:?}");
}
