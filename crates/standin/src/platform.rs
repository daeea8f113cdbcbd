//! The platform over HTTP on loopback, on a thread of its own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::store::Store;
use crate::vms::Vms;
use crate::workers::Workers;

mod route;
mod serve;

/// A running platform; stops when it is dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    shared: Shared,
    stop: flume::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

/// How the platform treats calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// It answers.
    #[default]
    Up,
    /// It closes the connection of every call; no call takes effect.
    Down,
    /// It never answers; no call takes effect.
    Hang,
}

/// What the platform consists of and how it fails.
#[derive(Debug, Default)]
pub struct State {
    /// Key-value store.
    pub store: Store,
    /// List of VMs.
    pub vms: Vms,
    /// Workers.
    pub workers: Workers,
    /// How calls are treated.
    pub mode: Mode,
    /// Time that passes before a call takes effect.
    pub slow: Duration,
    /// Number of writes to come whose answers are lost after they took effect.
    pub lose_answers: u32,
    /// Store that reads are answered from; writes go to [`State::store`].
    pub stale: Option<Store>,
    /// Entries that are cut off: their calls get no answer and have no effect.
    pub cut: BTreeSet<String>,
    calls: BTreeMap<&'static str, u64>,
}

type Shared = Arc<Mutex<State>>;

impl Platform {
    /// Starts a platform on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails if no socket or thread is available.
    pub fn spawn() -> io::Result<Self> {
        let shared = Shared::default();
        let (stop, stopped) = flume::bounded(1);
        let (ready, address) = flume::bounded(1);
        let state = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("platform".to_owned())
            .spawn(move || serve::run(state, &ready, &stopped))?;
        let address = address.recv().map_err(io::Error::other)??;
        Ok(Self {
            address,
            shared,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the base address, as `http://IP:port`.
    pub fn base(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Gives access to the state, to look at it or to switch a fault on.
    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.shared)
    }

    /// Returns the calls so far by kind.
    pub fn calls(&self) -> BTreeMap<&'static str, u64> {
        self.state().calls.clone()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        // The thread may have ended already.
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl State {
    /// Returns the store that reads are answered from.
    fn readable(&self) -> &Store {
        self.stale.as_ref().unwrap_or(&self.store)
    }

    fn count(&mut self, kind: &'static str) {
        *self.calls.entry(kind).or_default() += 1;
    }

    fn tick(&mut self) {
        let now = Instant::now();
        self.store.tick(now);
        self.workers.tick(now);
    }
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
