//! Stand-ins of the workers and of the service that manages their machines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Record;
use crate::free_address;
use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::json;
use crate::json::Value;
use crate::object;
use crate::store::Store;
use crate::unix_ms;

/// `holdMaxMs` of the settings.
const MAX_LEASE_MS: u64 = 10_000;

/// `gangMs` of the settings.
const GANG_WAIT: Duration = Duration::from_millis(3_000);

/// `checkpointS` of the settings.
const CHECKPOINT_MS: u64 = 500;

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Most ends in one answer.
const MAX_ENDS: usize = 500;

pub const CPU: u64 = 16_000;
pub const MEM_MB: u64 = 65_536;

/// Time after its start from which a lasting task is at work.
pub const STARTUP: Duration = Duration::from_millis(300);

/// How a run ends by itself.
#[derive(Clone, Copy, Debug)]
pub enum Course {
    DoneAfter(Duration),
    FailsAfter(Duration),
    Lasts,
    /// Works together with the other members of its gang, of which there are so many.
    Gang(usize, Duration),
}

/// What the workers know of the jobs: the request of a task and the course of its runs.
pub type Plan = Arc<dyn Fn(&str, u64) -> (u64, u64, Course) + Send + Sync>;

/// Run of a task as its worker saw it.
#[derive(Clone, Debug)]
pub struct RunLog {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// When its end was acknowledged.
    pub observed: Option<Instant>,
    /// Whether the worker's lease lapsed between the two.
    pub lapsed: bool,
    pub course: Course,
    /// Checkpoint that the start carried.
    pub checkpoint: String,
}

impl RunLog {
    fn is_member(&self, other: &Self) -> bool {
        let step = |task: &str| task.rsplit_once('.').map(|it| it.0.to_owned());
        self.run == other.run && step(&self.task) == step(&other.task)
    }

    /// Returns when the last member of a gang started, once all are present.
    fn formed(&self, runs: &[RunLog]) -> Option<Instant> {
        let Course::Gang(members, _) = self.course else {
            return None;
        };
        let all = runs.iter().filter(|it| it.is_member(self));
        let all: Vec<Instant> = all.map(|it| it.started).collect();
        all.iter().max().copied().filter(|_| all.len() == members)
    }

    /// Returns the newest checkpoint of the member of a gang.
    fn saved(&self, runs: &[RunLog]) -> String {
        let Some(formed) = self.formed(runs) else {
            return self.checkpoint.clone();
        };
        let end = self.ended.map_or_else(Instant::now, |it| it.0);
        let time = end.saturating_duration_since(formed).as_millis() as u64;
        let before = self.checkpoint.get(..8);
        let before = before.and_then(|it| u64::from_str_radix(it, 16).ok());
        match time / CHECKPOINT_MS {
            0 => self.checkpoint.clone(),
            count => format!(
                "{:08x}7a21d94b",
                before.unwrap_or(0) + count * CHECKPOINT_MS
            ),
        }
    }

    /// Returns how the member of a gang ends now, if it does.
    fn gang_end(&self, runs: &[RunLog]) -> Option<&'static str> {
        let Course::Gang(_, work) = self.course else {
            return None;
        };
        let Some(formed) = self.formed(runs) else {
            return (self.started.elapsed() >= GANG_WAIT).then_some("alone");
        };
        let mut others = runs.iter().filter(|it| it.is_member(self));
        let broken = others.any(|it| it.ended.is_some_and(|end| end.1 != "done"));
        if broken {
            return Some("broken");
        }
        (formed.elapsed() >= work).then_some("done")
    }
}

/// All runs of all workers.
pub type Runs = Arc<Mutex<Vec<RunLog>>>;

struct End {
    number: u64,
    log: usize,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    id: String,
    up: bool,
    draining: bool,
    born: u64,
    started: Instant,
    fence: u64,
    lease_end: u64,
    running: BTreeMap<(String, u64), usize>,
    closed: BTreeMap<String, u64>,
    ends: Vec<End>,
    next: u64,
    life: u64,
}

pub struct Worker {
    pub address: SocketAddr,
    pub machine: String,
    rack: String,
    pool: String,
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Runs,
    plan: Plan,
}

impl State {
    fn clock(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }
}

impl Worker {
    /// Starts a worker and registers it.
    pub fn spawn(
        index: usize,
        (pool, rack): (&str, &str),
        (store, record): (&Arc<Store>, &Arc<Record>),
        (runs, plan): (&Runs, &Plan),
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            address: free_address(),
            machine: format!("m-{index:05x}"),
            rack: rack.to_owned(),
            pool: pool.to_owned(),
            state: Mutex::new(State {
                id: format!("i-{index:04x}000001"),
                up: true,
                draining: false,
                born: unix_ms(),
                started: Instant::now(),
                fence: 0,
                lease_end: 0,
                running: BTreeMap::new(),
                closed: BTreeMap::new(),
                ends: Vec::new(),
                next: 1,
                life: 1,
            }),
            changed: Condvar::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
            plan: Arc::clone(plan),
        });
        let served = Arc::clone(&worker);
        http::serve(worker.address, move |request| served.handle(request));
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(4));
                let mut state = ticking.state.lock().unwrap();
                if ticking.advance(&mut state) {
                    ticking.changed.notify_all();
                }
            }
        });
        let beating = Arc::clone(&worker);
        beating.register(1);
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(HEARTBEAT);
                if beating.is_up() && !beating.store.is_down() {
                    beating.register(seq);
                }
            }
        });
        worker
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().up
    }

    fn register(&self, seq: u64) {
        let state = self.state.lock().unwrap();
        let capacity = object(&[
            ("cpu", CPU.into()),
            ("memMb", MEM_MB.into()),
            ("gpu", 0.into()),
        ]);
        let labels = Value::List(vec!["a".into(), self.rack.as_str().into()]);
        let entry = object(&[
            ("service", self.pool.as_str().into()),
            ("address", self.address.to_string().into()),
            ("zone", "zone-a".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            (
                "state",
                if state.draining { "draining" } else { "ready" }.into(),
            ),
            ("coldRemainingMs", 0.into()),
            ("capacity", capacity),
            ("labels", labels),
            ("machine", self.machine.as_str().into()),
            ("born", state.born.into()),
            ("clockMs", state.clock().into()),
            ("seq", seq.into()),
        ]);
        let key = format!("servers/{}", state.id);
        drop(state);
        self.store.write(&key, &entry.to_string());
    }

    /// Crashes: everything that runs is gone, and open connections end.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let mut runs = self.runs.lock().unwrap();
        for log in state.running.values() {
            runs[*log].ended = Some((now, "crash"));
        }
        for end in &state.ends {
            runs[end.log].lapsed = true;
        }
        self.record.add(format!(
            "worker {} crashes with {} runs",
            state.id,
            state.running.len()
        ));
        state.up = false;
        state.running.clear();
        drop(runs);
        drop(state);
        self.changed.notify_all();
    }

    /// Starts the next life after a crash, under another id.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        let before = state.id.clone();
        let life = state.life + 1;
        *state = State {
            id: format!("{}{life:06}", &before[..6]),
            up: true,
            draining: false,
            born: unix_ms(),
            started: Instant::now(),
            fence: 0,
            lease_end: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: Vec::new(),
            next: 1,
            life,
        };
        self.record.add(format!(
            "worker {} starts on the machine of {before}",
            state.id
        ));
        drop(state);
        self.register(1);
        self.store.remove(&format!("servers/{before}"));
    }

    fn machine_row(&self) -> Value {
        let state = self.state.lock().unwrap();
        let capacity = object(&[
            ("cpu", CPU.into()),
            ("memMb", MEM_MB.into()),
            ("gpu", 0.into()),
        ]);
        let id = if state.up {
            state.id.as_str().into()
        } else {
            Value::Null
        };
        object(&[
            ("machine", self.machine.as_str().into()),
            ("pool", self.pool.as_str().into()),
            ("state", if state.up { "up" } else { "down" }.into()),
            ("zone", "zone-a".into()),
            (
                "labels",
                Value::List(vec!["a".into(), self.rack.as_str().into()]),
            ),
            ("capacity", capacity),
            ("id", id),
        ])
    }

    fn handle(&self, request: &Request) -> Reply {
        let body = json::parse(&request.body);
        let mut state = self.state.lock().unwrap();
        if !state.up {
            return None;
        }
        let answer = |status: u16, state: &State, reason: &str| {
            let mut fields = vec![
                ("clockMs", state.clock().into()),
                ("born", state.born.into()),
            ];
            if !reason.is_empty() {
                fields.push(("reason", reason.into()));
            }
            Some((status, object(&fields).to_string()))
        };
        if request.header("X-Expect-Instance") != state.id {
            return answer(421, &state, "");
        }
        self.advance(&mut state);
        if body.get("fencingToken").number() < state.fence {
            return answer(409, &state, "fence");
        }
        state.fence = body.get("fencingToken").number();
        let until = body
            .get("untilMs")
            .number()
            .min(state.clock() + MAX_LEASE_MS);
        state.lease_end = state.lease_end.max(until);
        let (task, run) = (body.get("task").text(), body.get("run").number());
        match request.path.as_str() {
            "/wigeonhinge/run-start" => {
                let checkpoint = body.get("checkpoint").text();
                let (status, reason) = self.start(&mut state, (&task, run), checkpoint);
                answer(status, &state, reason)
            }
            "/wigeonhinge/run-stop" => {
                let closed = state.closed.entry(task.clone()).or_default();
                *closed = run.max(*closed);
                if let Some(log) = state.running.remove(&(task.clone(), run)) {
                    self.end(&mut state, (task, run, log), "stopped");
                    self.changed.notify_all();
                }
                answer(200, &state, "")
            }
            "/wigeonhinge/pace" => answer(200, &state, ""),
            "/wigeonhinge/hold" => self.hold(state, &body),
            _ => Some((404, "{}".into())),
        }
    }

    fn start(
        &self,
        state: &mut State,
        (task, run): (&str, u64),
        checkpoint: String,
    ) -> (u16, &'static str) {
        if state.running.contains_key(&(task.to_owned(), run)) {
            return (200, "");
        }
        if state.closed.get(task).is_some_and(|closed| *closed >= run) {
            return (409, "old");
        }
        if state.lease_end <= state.clock() {
            return (409, "late");
        }
        let (cpu, mem, course) = (self.plan)(task, run);
        let used = state
            .running
            .keys()
            .map(|(task, run)| (self.plan)(task, *run));
        let used = used.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        if used.0 + cpu > CPU || used.1 + mem > MEM_MB {
            return (409, "room");
        }
        let mut runs = self.runs.lock().unwrap();
        runs.push(RunLog {
            task: task.to_owned(),
            run,
            worker: state.id.clone(),
            started: Instant::now(),
            ended: None,
            observed: None,
            lapsed: false,
            course,
            checkpoint: checkpoint.clone(),
        });
        state.running.insert((task.to_owned(), run), runs.len() - 1);
        drop(runs);
        self.record.add(format!(
            "worker {}: {task} run {run} starts, checkpoint {checkpoint:?}",
            state.id
        ));
        (200, "")
    }

    fn end(&self, state: &mut State, (task, run, log): (String, u64, usize), how: &'static str) {
        let closed = state.closed.entry(task.clone()).or_default();
        *closed = run.max(*closed);
        self.runs.lock().unwrap()[log].ended = Some((Instant::now(), how));
        self.record.add(format!(
            "worker {}: {task} run {run} ends {how}, end {}",
            state.id, state.next
        ));
        let number = state.next;
        state.next += 1;
        state.ends.push(End {
            number,
            log,
            task,
            run,
            how,
        });
    }

    /// Ends the runs whose time is over, and all runs once the lease has lapsed.
    fn advance(&self, state: &mut State) -> bool {
        if !state.up {
            return false;
        }
        let lapsed = state.lease_end <= state.clock();
        let mut ended = Vec::new();
        {
            let mut runs = self.runs.lock().unwrap();
            if lapsed {
                for end in &state.ends {
                    runs[end.log].lapsed = true;
                }
            }
            for ((task, run), log) in &state.running {
                let time = runs[*log].started.elapsed();
                let how = match runs[*log].course {
                    _ if lapsed => "lapsed",
                    Course::DoneAfter(limit) if time >= limit => "done",
                    Course::FailsAfter(limit) if time >= limit => "failed",
                    Course::Gang(..) => match runs[*log].gang_end(&runs) {
                        Some(how) => how,
                        None => continue,
                    },
                    _ => continue,
                };
                ended.push(((task.clone(), *run, *log), how));
            }
        }
        let any = !ended.is_empty();
        for ((task, run, log), how) in ended {
            state.running.remove(&(task.clone(), run));
            self.end(state, (task, run, log), how);
        }
        any
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Value) -> Reply {
        let observed = body.get("observed").number();
        if state.ends.iter().any(|it| it.number <= observed) {
            let mut runs = self.runs.lock().unwrap();
            for end in state.ends.iter().filter(|it| it.number <= observed) {
                runs[end.log].observed = Some(Instant::now());
            }
            self.record.add(format!(
                "worker {}: ends up to {observed} are acknowledged",
                state.id
            ));
            drop(runs);
            state.ends.retain(|it| it.number > observed);
        }
        let life = state.life;
        let wait = body.get("waitMs").number().min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            if !state.up || state.life != life {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let runs = self.runs.lock().unwrap();
        let running = state.running.iter().map(|((task, run), log)| {
            let time = runs[*log].started.elapsed();
            let (whole, most) = match runs[*log].course {
                Course::Lasts => (STARTUP, 100),
                Course::DoneAfter(limit) | Course::FailsAfter(limit) | Course::Gang(_, limit) => {
                    (limit, 99)
                }
            };
            let percent = (time.as_millis() * 100 / whole.as_millis()).min(most) as u64;
            let row = vec![
                task.as_str().into(),
                (*run).into(),
                runs[*log].saved(&runs).into(),
                percent.into(),
                0.into(),
            ];
            Value::List(row)
        });
        let running: Vec<Value> = running.collect();
        let listed = state.ends.iter().take(MAX_ENDS);
        let finished = listed.map(|end| {
            let row = vec![
                end.number.into(),
                end.task.as_str().into(),
                end.run.into(),
                end.how.into(),
                runs[end.log].saved(&runs).into(),
            ];
            Value::List(row)
        });
        let finished: Vec<Value> = finished.collect();
        drop(runs);
        if state.ends.len() > MAX_ENDS {
            let (id, all) = (&state.id, state.ends.len());
            self.record.add(format!(
                "worker {id}: lists {MAX_ENDS} of {all} ends and {} runs",
                running.len()
            ));
        }
        let body = object(&[
            ("clockMs", state.clock().into()),
            ("born", state.born.into()),
            ("running", Value::List(running)),
            ("finished", Value::List(finished)),
        ]);
        Some((200, body.to_string()))
    }
}

/// Serves the list of machines. No order is expected, as there is one pool and no wave.
pub fn serve_machines(workers: Arc<Mutex<Vec<Arc<Worker>>>>, record: Arc<Record>) -> SocketAddr {
    let address = free_address();
    http::serve(address, move |request| {
        if request.method == "GET" {
            let rows = workers
                .lock()
                .unwrap()
                .iter()
                .map(|it| it.machine_row())
                .collect();
            let body = object(&[("machines", Value::List(rows)), ("nextToken", Value::Null)]);
            return Some((200, body.to_string()));
        }
        record.add(format!(
            "machines: {} {} is refused",
            request.path, request.body
        ));
        Some((409, "{\"reason\":\"busy\"}".into()))
    });
    address
}
