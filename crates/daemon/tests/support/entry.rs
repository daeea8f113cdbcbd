//! Runs the daemon as a separate process, and sends HTTP requests to it.
#![allow(dead_code, unreachable_pub)]

use std::fs;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use wigeonhinge_standin::port::unused_address;

/// Longest wait for an expected state.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(12);

/// A running process of the daemon; dropping it kills the process.
pub struct Entry {
    pub child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub file: PathBuf,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
        let log = self.file.with_extension("log");
        match thread::panicking() {
            true => println!("log of an entry: {}", log.display()),
            false => drop(fs::remove_file(log)),
        }
    }
}

/// Held while an address is chosen and while a process starts. A process that starts holds the sockets
/// of its parent for a moment, so that the address of one that was probed meanwhile stays in use.
static STARTING: Mutex<()> = Mutex::new(());

fn lock_start() -> MutexGuard<'static, ()> {
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the daemon with a settings file.
pub fn program(file: &Path, log: Stdio) -> Child {
    let _guard = lock_start();
    Command::new(env!("CARGO_BIN_EXE_wigeonhinged"))
        .args(["--site", "--settings"])
        .arg(file)
        .stdout(log)
        .spawn()
        .expect("the daemon starts")
}

impl Entry {
    /// Starts an entry that uses the platform store at an address.
    pub fn spawn(store: SocketAddr, name: &str) -> Self {
        Self::spawn_with(store, name, "")
    }

    /// Like [`Entry::spawn`], with more settings.
    pub fn spawn_with(store: SocketAddr, name: &str, more: &str) -> Self {
        Self::spawn_retaining(store, name, more, 120.0)
    }

    /// Like [`Entry::spawn_with`], with the retention time of ended jobs in seconds.
    pub fn spawn_retaining(store: SocketAddr, name: &str, more: &str, retention: f64) -> Self {
        let (callers, readiness, metrics) = {
            let _guard = lock_start();
            (unused_address(), unused_address(), unused_address())
        };
        let text = format!(
            r#"// Settings of a test.
            {{ "entry": "{name}", "zone": "a", "callers": "{callers}", "readiness": "{readiness}",
              "metrics": "{metrics}", "store": "{}", {more} "bounds": {{ "lease_ms": 10000,
              "retention_secs": {retention}, "migrate_secs": 1.5, "maintenance_secs": 2,
              "order_lease_ms": 3000, "notice_ms": 4500, "shortest_lease_ms": 1000, }}, }}"#,
            store
        );
        let file = format!("wigeonhinge-{}-{name}.jsonc", callers.port());
        let file = std::env::temp_dir().join(file);
        fs::write(&file, text).expect("the settings file is written");
        let log = File::create(file.with_extension("log")).expect("the log file is created");
        let child = program(&file, log.into());
        Self {
            child,
            callers,
            readiness,
            metrics,
            file,
        }
    }

    pub fn ask(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        exchange(self.callers, method, path, body)
    }

    pub fn wait_ready(&self) {
        wait("the entry is ready", || {
            exchange(self.readiness, "GET", "/", "").is_some_and(|it| it.0 == 200)
        });
    }

    pub fn wait_state(&self, id: &str, state: &str) {
        wait(state, || {
            let answer = self.ask("GET", &format!("/jobs/{id}"), "");
            answer.is_some_and(|(_, body)| body.contains(state))
        });
    }
}

pub fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "not within {WAIT_TIMEOUT:?}: {what}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends one request on a new connection; returns the status and the complete answer, or
/// `None` if no valid answer arrives.
pub fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    exchange_with(address, (method, path), body, "")
}

/// Like [`exchange`], with more header lines.
pub fn exchange_with(
    address: SocketAddr,
    (method, path): (&str, &str),
    body: &str,
    headers: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: crews.example\r\nConnection: close\r\n\
         {headers}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer))
}
