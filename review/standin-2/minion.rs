//! Stand-in of minions: they run tasks under a lease, as the protocol page says.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http::Reply;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::quote;
use crate::site::Record;
use crate::store::Store;

const HOLD_MAX_MS: u64 = 10_000;
const GANG_MS: u64 = 3_000;
const CHECKPOINT_MS: u64 = 500;
const RESTORE_MS: u64 = 600;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const LISTED_ENDS: usize = 500;

/// What a minion is.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem: u64,
}

struct Run {
    spec: String,
    cpu: u64,
    /// Work done before this run, and since when it works.
    base_ms: u64,
    checkpoint: String,
    began: Instant,
    works_since: Option<Instant>,
}

struct Minion {
    id: String,
    machine: String,
    kind: Kind,
    up: bool,
    /// State of its machine while the minion is not up.
    away: &'static str,
    born_ms: u64,
    born: Instant,
    seq: u64,
    registered_at: Option<Instant>,
    register_at: Instant,
    fence: u64,
    lease_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    ends: Vec<(u64, String, u64, &'static str, String)>,
    next_end: u64,
    /// Highest run of each task that ended or was stopped here.
    closed: BTreeMap<String, u64>,
}

/// A start as the minions saw it.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Duration,
    pub task: String,
    pub run: u64,
    pub checkpoint: String,
}

/// An end, or the loss of a run with its minion.
#[derive(Clone, Debug)]
pub struct End {
    pub at: Duration,
    pub minion: usize,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    /// When `observed` reached it.
    pub noted: Option<Duration>,
    number: u64,
    born_ms: u64,
}

#[derive(Default)]
struct World {
    minions: Vec<Minion>,
    starts: Vec<Start>,
    ends: Vec<End>,
}

pub struct Minions {
    world: Mutex<World>,
    ended: Condvar,
    servers: Mutex<Vec<Server>>,
    store: Arc<Store>,
    record: Arc<Record>,
    /// Requested processor time by job and step, for the capacity of minions.
    pub sizes: Mutex<BTreeMap<String, u64>>,
    /// Time from the start of a minion to its first entry in the store.
    pub register_delay: Duration,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// Returns a number of a specification of the form `name=value;name=value`.
fn setting(spec: &str, name: &str) -> Option<u64> {
    let fields = spec.split(';').filter_map(|it| it.split_once('='));
    fields.filter(|it| it.0 == name).find_map(|it| it.1.parse().ok())
}

fn setting_text<'a>(spec: &'a str, name: &str) -> &'a str {
    let fields = spec.split(';').filter_map(|it| it.split_once('='));
    fields.filter(|it| it.0 == name).map(|it| it.1).next().unwrap_or("")
}

fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |it| it.0)
}

impl Minion {
    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    fn used(&self) -> u64 {
        self.runs.values().map(|it| it.cpu).sum()
    }

    fn extend(&mut self, until_ms: u64) {
        let until = until_ms.min(self.clock_ms() + HOLD_MAX_MS);
        self.lease_ms = self.lease_ms.max(until);
    }
}

impl Run {
    fn work_ms(&self) -> u64 {
        let restore = if self.checkpoint.is_empty() { 0 } else { RESTORE_MS };
        let worked = self.works_since.map_or(0, |it| it.elapsed().as_millis() as u64);
        self.base_ms + worked.saturating_sub(restore)
    }

    /// Returns the newest checkpoint. Members of a gang that have worked for the same time have the
    /// same value.
    fn saved(&self, task: &str) -> String {
        if setting(&self.spec, "saves").is_none() {
            return String::new();
        }
        match self.work_ms() / CHECKPOINT_MS {
            0 => self.checkpoint.clone(),
            count => format!("{}-{count}", step_of(task)),
        }
    }
}

impl World {
    fn end(&mut self, index: usize, key: &(String, u64), how: &'static str, record: &Record) {
        let minion = &mut self.minions[index];
        let Some(run) = minion.runs.remove(key) else { return };
        let saved = match how {
            "done" => String::new(),
            _ => run.saved(&key.0),
        };
        minion.next_end += 1;
        let number = minion.next_end;
        let closed = minion.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
        minion.ends.push((number, key.0.clone(), key.1, how, saved));
        let (id, born_ms) = (minion.id.clone(), minion.born_ms);
        record.line(&format!("{id} {} run {} ends {how}", key.0, key.1));
        self.ends.push(End {
            at: record.now(),
            minion: index,
            task: key.0.clone(),
            run: key.1,
            how,
            noted: None,
            number,
            born_ms,
        });
        if setting(&run.spec, "gang").is_some() && how != "done" {
            self.break_gang(&key.0, key.1, record);
        }
    }

    /// Ends the other members of a gang's run that work.
    fn break_gang(&mut self, task: &str, run: u64, record: &Record) {
        let others: Vec<(usize, (String, u64))> = self.members(task, run);
        for (index, key) in others {
            let works = |it: &Run| it.works_since.is_some();
            if self.minions[index].runs.get(&key).is_some_and(works) {
                self.end(index, &key, "broken", record);
            }
        }
    }

    fn members(&self, task: &str, run: u64) -> Vec<(usize, (String, u64))> {
        let mut found = Vec::new();
        for (index, minion) in self.minions.iter().enumerate() {
            let keys = minion.runs.keys().filter(|it| step_of(&it.0) == step_of(task) && it.1 == run);
            found.extend(keys.map(|it| (index, it.clone())));
        }
        found
    }

    /// Lets time pass: leases end, work ends, gangs begin.
    fn tick(&mut self, record: &Record) -> bool {
        let before = self.ends.len();
        for index in 0..self.minions.len() {
            let minion = &self.minions[index];
            if !minion.up {
                continue;
            }
            let lapsed = minion.clock_ms() >= minion.lease_ms;
            let keys: Vec<(String, u64)> = minion.runs.keys().cloned().collect();
            for key in keys {
                let Some(run) = self.minions[index].runs.get(&key) else { continue };
                let limit = setting(&run.spec, "ms");
                let over = limit.is_some_and(|it| run.work_ms() >= it);
                let waits = run.works_since.is_none();
                let alone = waits && run.began.elapsed() >= Duration::from_millis(GANG_MS);
                let gang = setting(&run.spec, "gang").unwrap_or(0) as usize;
                let fails = setting_text(&run.spec, "fail");
                if lapsed {
                    self.end(index, &key, "lapsed", record);
                } else if over && !fails.is_empty() && key.0.ends_with(fails) {
                    self.end(index, &key, "failed", record);
                } else if over {
                    self.end(index, &key, "done", record);
                    if gang > 0 {
                        for (other, key) in self.members(&key.0, key.1) {
                            self.end(other, &key, "done", record);
                        }
                    }
                } else if waits && gang > 0 && self.members(&key.0, key.1).len() == gang {
                    for (other, key) in self.members(&key.0, key.1) {
                        let run = self.minions[other].runs.get_mut(&key);
                        run.expect("a member").works_since = Some(Instant::now());
                    }
                } else if alone {
                    self.end(index, &key, "alone", record);
                }
            }
        }
        self.ends.len() > before
    }
}

impl Minions {
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, register_delay: Duration) -> Arc<Minions> {
        let minions = Arc::new(Minions {
            world: Mutex::default(),
            ended: Condvar::new(),
            servers: Mutex::default(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            sizes: Mutex::default(),
            register_delay,
        });
        let ticker = Arc::clone(&minions);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                if ticker.world.lock().unwrap().tick(&ticker.record) {
                    ticker.ended.notify_all();
                }
                ticker.heartbeat();
            }
        });
        minions
    }

    /// Adds a minion; it registers at once.
    pub fn add(self: &Arc<Self>, kind: Kind) -> usize {
        let mut world = self.world.lock().unwrap();
        let index = world.minions.len();
        let now = Instant::now();
        world.minions.push(Minion {
            id: format!("i-{index}"),
            machine: format!("m-{index}"),
            kind,
            up: true,
            away: "down",
            born_ms: unix_ms(),
            born: now,
            seq: 0,
            registered_at: None,
            register_at: now,
            fence: 0,
            lease_ms: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 0,
            closed: BTreeMap::new(),
        });
        drop(world);
        let minions = Arc::clone(self);
        let server = Server::start(Arc::new(move |request| minions.handle(index, request)));
        self.servers.lock().unwrap().push(server);
        index
    }

    /// The minion crashes: it sends nothing, and all that runs on it is gone.
    pub fn crash(&self, index: usize) {
        let mut world = self.world.lock().unwrap();
        let minion = &mut world.minions[index];
        minion.up = false;
        minion.away = "down";
        let keys: Vec<(String, u64)> = minion.runs.keys().cloned().collect();
        let gangs: Vec<(String, u64)> = minion
            .runs
            .iter()
            .filter(|it| setting(&it.1.spec, "gang").is_some())
            .map(|it| it.0.clone())
            .collect();
        minion.runs.clear();
        let (id, born_ms) = (minion.id.clone(), minion.born_ms);
        self.record.line(&format!("{id} is gone with all that runs on it"));
        for (task, run) in gangs {
            world.break_gang(&task, run, &self.record);
        }
        for (task, run) in keys {
            self.record.line(&format!("{id} {task} run {run} is lost with its minion"));
            let at = self.record.now();
            world.ends.push(End { at, minion: index, task, run, how: "lost", noted: None, number: 0, born_ms });
        }
        drop(world);
        self.ended.notify_all();
        self.servers.lock().unwrap()[index].take_down();
    }

    /// The machine's upkeep begins: its minion is gone, and leaves the registry. Returns `false` if the
    /// machine is not up.
    pub fn begin_upkeep(self: &Arc<Self>, machine: &str, time: Duration) -> bool {
        let index = {
            let world = self.world.lock().unwrap();
            let index = world.minions.iter().position(|it| it.machine == machine && it.up);
            let Some(index) = index else { return false };
            index
        };
        self.crash(index);
        let mut world = self.world.lock().unwrap();
        world.minions[index].away = "upkeep";
        world.minions[index].registered_at = None;
        let id = world.minions[index].id.clone();
        drop(world);
        self.store.remove(&format!("servers/{id}"));
        let minions = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(time);
            minions.world.lock().unwrap().minions[index].id.push('x');
            minions.restart(index);
        });
        true
    }

    /// The minion starts again under its id, and knows nothing of before.
    pub fn restart(&self, index: usize) {
        let mut world = self.world.lock().unwrap();
        let minion = &mut world.minions[index];
        minion.up = true;
        minion.born_ms = unix_ms();
        minion.born = Instant::now();
        minion.seq = 0;
        minion.register_at = Instant::now() + self.register_delay;
        minion.fence = 0;
        minion.lease_ms = 0;
        minion.runs.clear();
        minion.ends.clear();
        minion.next_end = 0;
        minion.closed.clear();
        self.record.line(&format!("{} starts again", minion.id));
        drop(world);
        self.servers.lock().unwrap()[index].bring_up();
    }

    fn heartbeat(&self) {
        let mut puts = Vec::new();
        let mut removes = Vec::new();
        {
            let mut world = self.world.lock().unwrap();
            for (index, minion) in world.minions.iter_mut().enumerate() {
                let due = minion.registered_at.is_none_or(|it| it.elapsed() >= HEARTBEAT)
                    || minion.registered_at.is_some_and(|it| it < minion.register_at);
                if !minion.up {
                    let gone = minion.registered_at.is_some_and(|it| it.elapsed() >= 3 * HEARTBEAT);
                    if gone {
                        minion.registered_at = None;
                        removes.push(format!("servers/{}", minion.id));
                    }
                } else if due && Instant::now() >= minion.register_at {
                    minion.seq += 1;
                    minion.registered_at = Some(Instant::now());
                    let Some(address) = self.servers.lock().unwrap().get(index).map(|it| it.address) else {
                        continue;
                    };
                    if minion.seq == 1 {
                        self.record.line(&format!("{} registers", minion.id));
                    }
                    puts.push((format!("servers/{}", minion.id), entry(minion, &address.to_string())));
                }
            }
        }
        puts.iter().for_each(|(key, value)| self.store.put(key, value));
        removes.iter().for_each(|key| self.store.remove(key));
    }

    /// Returns the body of the platform's list of machines.
    pub fn machines(&self) -> String {
        let world = self.world.lock().unwrap();
        let rows: Vec<String> = world
            .minions
            .iter()
            .map(|it| {
                let state = if it.up { "up" } else { it.away };
                let id = if it.up { quote(&it.id) } else { "null".into() };
                let Kind { service, cpu, mem, .. } = &it.kind;
                format!(
                    "{{\"machine\":\"{}\",\"pool\":\"{service}\",\"state\":\"{state}\",\"zone\":\"a\",\"labels\":{},\"capacity\":{{\"cpu\":{cpu},\"memMb\":{mem},\"gpu\":0}},\"id\":{id}}}",
                    it.machine,
                    labels(&it.kind)
                )
            })
            .collect();
        format!("{{\"machines\":[{}],\"nextToken\":null}}", rows.join(","))
    }

    pub fn starts(&self) -> Vec<Start> {
        self.world.lock().unwrap().starts.clone()
    }

    pub fn ends(&self) -> Vec<End> {
        self.world.lock().unwrap().ends.clone()
    }

    /// Returns where a task runs, with its run and for how long.
    pub fn running(&self, task: &str) -> Option<(usize, u64, Duration)> {
        let world = self.world.lock().unwrap();
        world.minions.iter().enumerate().find_map(|(index, minion)| {
            let found = minion.runs.iter().find(|it| it.0.0 == task);
            found.map(|(key, run)| (index, key.1, run.began.elapsed()))
        })
    }

    pub fn count_running(&self) -> usize {
        self.world.lock().unwrap().minions.iter().map(|it| it.runs.len()).sum()
    }

    /// Returns the millicores in use and in all, and the most that are free on one minion.
    pub fn room(&self) -> (u64, u64, u64) {
        let world = self.world.lock().unwrap();
        let up = world.minions.iter().filter(|it| it.up);
        let sums = up.map(|it| (it.used(), it.kind.cpu));
        sums.fold((0, 0, 0), |sum, (used, cpu)| (sum.0 + used, sum.1 + cpu, sum.2.max(cpu - used)))
    }

    /// Returns how many tasks of a job run.
    pub fn count_of(&self, job: &str) -> usize {
        let world = self.world.lock().unwrap();
        let runs = world.minions.iter().flat_map(|it| it.runs.keys());
        runs.filter(|it| it.0.starts_with(job)).count()
    }

    /// Returns how many runs have ended done.
    pub fn count_done(&self) -> usize {
        self.world.lock().unwrap().ends.iter().filter(|it| it.how == "done").count()
    }

    fn handle(&self, index: usize, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply(400, "{}".into());
        };
        let mut world = self.world.lock().unwrap();
        let minion = &mut world.minions[index];
        if request.header("x-expect-instance") != minion.id {
            return Reply(421, "{}".into());
        }
        let clock = minion.clock_ms();
        let refuse = |reason: &str| {
            Reply(409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"))
        };
        let fence = body.get("fencingToken").int();
        if fence < minion.fence {
            return refuse("fence");
        }
        minion.fence = fence;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").int());
        let key = (task.clone(), run);
        let fine = format!("{{\"clockMs\":{clock}}}");
        match request.path.as_str() {
            "/wigeonhinge/run-start" => {
                minion.extend(body.get("untilMs").int());
                if minion.runs.contains_key(&key) {
                    return Reply(200, fine);
                }
                if minion.closed.get(&task).is_some_and(|it| run <= *it) {
                    return refuse("old");
                }
                if minion.lease_ms <= clock {
                    return refuse("late");
                }
                let cpu = self.sizes.lock().unwrap().get(step_of(&task)).copied().unwrap_or(0);
                if minion.used() + cpu > minion.kind.cpu {
                    return refuse("room");
                }
                let spec = body.get("spec").text().to_owned();
                let checkpoint = body.get("checkpoint").text().to_owned();
                let count = checkpoint.rsplit_once('-').and_then(|it| it.1.parse::<u64>().ok());
                let gang = setting(&spec, "gang").is_some();
                minion.runs.insert(key, Run {
                    spec,
                    cpu,
                    base_ms: count.unwrap_or(0) * CHECKPOINT_MS,
                    checkpoint: checkpoint.clone(),
                    began: Instant::now(),
                    works_since: (!gang).then(Instant::now),
                });
                self.record.line(&format!(
                    "{} starts {task} run {run} checkpoint {checkpoint:?} fence {fence}",
                    minion.id
                ));
                let at = self.record.now();
                world.starts.push(Start { at, task, run, checkpoint });
                Reply(200, fine)
            }
            "/wigeonhinge/run-stop" => {
                let closed = minion.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(run);
                self.record.line(&format!("{} is told to stop {task} run {run}", minion.id));
                world.end(index, &key, "stopped", &self.record);
                drop(world);
                self.ended.notify_all();
                Reply(200, fine)
            }
            "/wigeonhinge/pace" => Reply(200, fine),
            "/wigeonhinge/hold" => {
                let observed = body.get("observed").int();
                let born_ms = minion.born_ms;
                minion.ends.retain(|it| it.0 > observed);
                minion.extend(body.get("untilMs").int());
                let now = self.record.now();
                for end in world.ends.iter_mut().rev().take(2_000) {
                    let own = end.minion == index && end.born_ms == born_ms && end.number > 0;
                    if own && end.number <= observed && end.noted.is_none() {
                        end.noted = Some(now);
                    }
                }
                let wait = Duration::from_millis(body.get("waitMs").int().min(2_000));
                let until = Instant::now() + wait;
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    if !world.minions[index].ends.is_empty() || left.is_zero() {
                        return Reply(200, lists(&world.minions[index]));
                    }
                    world = self.ended.wait_timeout(world, left).unwrap().0;
                }
            }
            _ => Reply(404, "{}".into()),
        }
    }
}

fn labels(kind: &Kind) -> String {
    let labels: Vec<String> = kind.labels.iter().map(|it| quote(it)).collect();
    format!("[{}]", labels.join(","))
}

/// Returns a minion's report about itself.
fn entry(minion: &Minion, address: &str) -> String {
    let Kind { service, cpu, mem, .. } = &minion.kind;
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{cpu},\"memMb\":{mem},\"gpu\":0}},\"labels\":{},\"clockMs\":{},\"seq\":{},\"machine\":\"{}\",\"born\":{}}}",
        labels(&minion.kind),
        minion.clock_ms(),
        minion.seq,
        minion.machine,
        minion.born_ms
    )
}

fn lists(minion: &Minion) -> String {
    let running = minion.runs.iter().map(|((task, number), run)| {
        let limit = setting(&run.spec, "ms").unwrap_or(0).max(1);
        let percent = match setting(&run.spec, "ms") {
            Some(_) => (run.work_ms() * 100 / limit).min(99),
            None => 100,
        };
        format!("[\"{task}\",{number},{},{percent},0]", quote(&run.saved(task)))
    });
    let running: Vec<String> = running.collect();
    let ends = minion.ends.iter().take(LISTED_ENDS);
    let ends = ends.map(|(number, task, run, how, saved)| {
        format!("[{number},\"{task}\",{run},\"{how}\",{}]", quote(saved))
    });
    let ends: Vec<String> = ends.collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        minion.clock_ms(),
        minion.born_ms,
        running.join(","),
        ends.join(",")
    )
}
