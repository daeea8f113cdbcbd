//! Stand-ins of the platform, its workers and its clients for the scripts of the review.
//!
//! One process plays the store, the service that manages machines, the workers and the clients, as
//! PROTOCOL.md describes them, and starts the entries as separate processes with the command and the
//! settings template of the deploy file. It needs nothing but the standard library.

mod cases;
mod http;
mod json;
mod more;
mod store;
mod support;
mod worker;

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use json::Value;
use store::Store;
use worker::Worker;

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Record of what was sent, answered and run.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn add(&self, line: impl AsRef<str>) {
        let time = self.started.elapsed().as_secs_f64();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{time:9.4}  {}", line.as_ref()));
    }
}

/// Entries that were started, so that all of them are ended.
pub type Children = Arc<Mutex<Vec<Option<Child>>>>;

pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    slot: usize,
}

/// Everything that a case uses.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Arc<Mutex<Vec<Arc<Worker>>>>,
    pub entries: Vec<Entry>,
    pub children: Children,
    pub trouble: bool,
    folder: PathBuf,
    record_path: PathBuf,
    program: Vec<String>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

pub fn sleep(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Returns a loopback address below the range of outgoing connections that nobody listens on.
pub fn free_address() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    loop {
        let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 12_000 + (std::process::id().wrapping_mul(997).wrapping_add(next)) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl World {
    /// Starts the platform and its workers.
    fn new(trouble: bool, record_path: PathBuf) -> Self {
        let record = Arc::new(Record {
            started: Instant::now(),
            lines: Mutex::default(),
        });
        let store = Store::spawn(Arc::clone(&record));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is made");
        let deploy = fs::read_to_string("deploy/system.toml").unwrap_or_default();
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|it| it.strip_suffix('"')).unwrap_or_default();
        let program: Vec<String> = run.split(' ').map(str::to_owned).collect();
        Self {
            record,
            store,
            workers: Arc::default(),
            entries: Vec::new(),
            children: Arc::default(),
            trouble,
            folder,
            record_path,
            program,
        }
    }

    pub fn say(&self, line: impl AsRef<str>) {
        self.record.add(line);
    }

    /// Starts `count` entries and waits until they are ready.
    pub fn start_entries(&mut self, count: usize) {
        let machines = worker::serve_machines(Arc::clone(&self.workers), Arc::clone(&self.record));
        let template = fs::read_to_string("deploy/settings.jsonc");
        let Ok(template) =
            template.map(|it| it.replace("{{#advice}}\"advice\": \"{{.}}\",{{/advice}}", ""))
        else {
            self.finish(NOT_RUN, "the settings template cannot be read");
        };
        for index in 0..count {
            let name = format!("edge-{}", index + 1);
            let (callers, readiness, metrics) = (free_address(), free_address(), free_address());
            let text = |it: String| format!("\"{it}\"");
            let values = [
                ("{{node|json}}", text(name.clone())),
                ("{{zone|json}}", text("zone-a".into())),
                ("{{listen.frontend|json}}", text(callers.to_string())),
                ("{{listen.readiness|json}}", text(readiness.to_string())),
                ("{{ip}}:{{internalPorts.0}}", metrics.to_string()),
                (
                    "{{platform.address|json}}",
                    text(self.store.address.to_string()),
                ),
                ("{{cloud.address|json}}", text(machines.to_string())),
                ("{{cloud.dutyPerS|json}}", "64.0".into()),
                ("{{limits.cpuShare|json}}", "0.25".into()),
                ("{{limits.linkMbps|json}}", "1000.0".into()),
                ("{{bounds.holdMaxMs|json}}", "10000".into()),
                ("{{bounds.status_s|json}}", "120".into()),
                ("{{bounds.migrateS|json}}", "1.5".into()),
                ("{{bounds.maintenanceS|json}}", "2".into()),
                ("{{bounds.leaseMs|json}}", "3000".into()),
                ("{{bounds.noticeMs|json}}", "4500".into()),
                ("{{platform.ttlMinMs|json}}", "1000".into()),
            ];
            let settings = values
                .iter()
                .fold(template.clone(), |it, (from, to)| it.replace(from, to));
            let file = self.folder.join(format!("{name}.jsonc"));
            fs::write(&file, settings).expect("the settings file is written");
            let log = self.folder.join(format!("{name}.log"));
            let slot = self.children.lock().unwrap().len();
            self.children.lock().unwrap().push(None);
            self.entries.push(Entry {
                name,
                callers,
                readiness,
                settings: file,
                log,
                slot,
            });
            self.start_entry(index);
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self
            .entries
            .iter()
            .all(|it| http::get_ok(it.readiness, "/wigeonhinge/readyz"))
        {
            if Instant::now() > deadline {
                self.finish(NOT_RUN, "the entries are not ready after 15 s");
            }
            sleep(50);
        }
        self.say(format!("{count} entries are ready"));
    }

    pub fn start_entry(&self, index: usize) {
        let entry = &self.entries[index];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&entry.log)
            .unwrap();
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .env("WIGEONHINGE_SETTINGS", &entry.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => {
                self.say(format!("{} starts, process {}", entry.name, child.id()));
                self.children.lock().unwrap()[entry.slot] = Some(child);
            }
            Err(error) => self.finish(
                NOT_RUN,
                &format!("{:?} does not start: {error}", self.program),
            ),
        }
    }

    /// Kills the process of an entry.
    pub fn kill(&self, index: usize) {
        if let Some(mut child) = self.children.lock().unwrap()[self.entries[index].slot].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .add(format!("{} is killed", self.entries[index].name));
        }
    }

    /// Returns the entry that holds the first partition, by its key in the store.
    pub fn holder(&self) -> Option<usize> {
        let row = self.store.read("wigeonhinge/role/0")?;
        self.entries
            .iter()
            .position(|it| row.contains(&format!("\"{}\"", it.name)))
    }

    /// Sends a client's request to an entry and records it with its answer.
    pub fn ask(&self, index: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let entry = &self.entries[index];
        let answer = http::call(
            entry.callers,
            (method, path, "jobs.example"),
            body,
            Duration::from_secs(3),
        );
        let shown: String = body.chars().take(200).collect();
        let status = answer
            .as_ref()
            .map_or("no answer".into(), |(status, body)| {
                format!("{status} {body}")
            });
        self.record.add(format!(
            "client: {method} {path} {shown} to {} -> {status}",
            entry.name
        ));
        answer
    }

    /// Asks entries for the state of a job until one answers.
    pub fn state(&self, path: &str) -> String {
        for index in 0..self.entries.len() {
            let alive = self.children.lock().unwrap()[self.entries[index].slot].is_some();
            let answer = if alive {
                self.ask(index, "GET", path, "")
            } else {
                None
            };
            if let Some((200, body)) = answer {
                return json::parse(&body).get("state").text();
            }
        }
        "unknown".into()
    }

    /// Writes lines of the entries' logs that contain one of the words to the record.
    pub fn quote_logs(&self, words: &[&str], most: usize) {
        for entry in &self.entries {
            let log = fs::read_to_string(&entry.log).unwrap_or_default();
            let lines = log
                .lines()
                .filter(|line| words.iter().any(|it| line.contains(it)));
            for line in lines.take(most) {
                let text = json::parse(line).get("msg").text();
                let time = json::parse(line).get("ts").text();
                self.record
                    .add(format!("log of {} at {time}: {text}", entry.name));
            }
        }
    }

    /// Writes the record, ends all processes and exits.
    pub fn finish(&self, code: i32, reason: &str) -> ! {
        self.say(format!("result {code}: {reason}"));
        for child in self.children.lock().unwrap().iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let lines = self.record.lines.lock().unwrap().join("\n");
        if let Ok(mut file) = fs::File::create(&self.record_path) {
            let _ = writeln!(file, "{lines}");
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        println!("{reason}");
        std::process::exit(code);
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let world = World::new(trouble, record.into());
    let (children, record) = (Arc::clone(&world.children), Arc::clone(&world.record));
    let path = world.record_path.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        for child in children.lock().unwrap().iter_mut().flatten() {
            let _ = child.kill();
        }
        let lines = record.lines.lock().unwrap().join("\n");
        let _ = fs::write(path, format!("{lines}\nresult {NOT_RUN}: out of time\n"));
        std::process::exit(NOT_RUN);
    });
    world.say(format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    cases::play(case, world);
}

/// Returns a JSON object.
pub fn object(fields: &[(&str, Value)]) -> Value {
    Value::Object(
        fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), value.clone()))
            .collect(),
    )
}
