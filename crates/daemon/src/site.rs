//! Entry that runs on the users' platform.
//!
//! The platform's store holds all durable state, so an entry needs neither peers nor a disk.
//! Every entry accepts jobs and follows the configuration and the division of the fleet into
//! partitions. The entry that holds a partition starts its tasks and sends orders to its machines.
//! All async tasks of an entry run on one thread and communicate by messages.

mod clock;
mod control;
mod election;
mod front;
mod guard;
mod keys;
mod known;
mod load;
mod message;
mod metrics;
mod orders;
mod role;
mod rows;
mod settings;
mod watcher;
mod worker;
mod writer;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use eyre::Result;
use eyre::WrapErr;
use futures_util::FutureExt;
use futures_util::future;
use slog::Logger;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::batch::Catalog;
use wigeonhinge::batch::RevisionHistory;
use wigeonhinge::partition::Partition;
use wigeonhinge_platform::store::Store;

use crate::listen::runtime;
use crate::site::control::Control;
use crate::site::guard::Guard;
use crate::site::known::KnownJobs;
use crate::site::load::Loads;
use crate::site::metrics::Metrics;

pub use crate::site::settings::Settings;

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// Time from SIGTERM to the end of the process. The balancer checks readiness once a second and
/// needs up to two checks to send new connections elsewhere.
const DRAIN_TIME: Duration = Duration::from_millis(3_200);

/// State that the async tasks of an entry share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    /// Connections of callers, the balancer and operators.
    pub(crate) guard: Rc<Guard>,
    pub(crate) store: Store,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    /// Time as of which the catalog is known to be the newest configuration.
    pub(crate) config_current_at: Rc<Cell<Time>>,
    pub(crate) control: RefCell<Control>,
    pub(crate) known_jobs: RefCell<KnownJobs>,
    pub(crate) loads: Loads,
    pub(crate) health: StoreHealth,
    /// State of pools and waves of the partitions that this entry holds, for operators.
    pub(crate) status: RefCell<BTreeMap<Partition, serde_json::Value>>,
    pub(crate) draining: Cell<bool>,
    /// When this entry last left one of several partitions to another entry.
    pub(crate) spread_at: Cell<Option<Time>>,
    /// Notified when the configuration or a control row changes.
    pub(crate) change: event_listener::Event,
    /// Revisions of the store that watches have seen.
    pub(crate) revisions: RefCell<RevisionHistory>,
}

/// Whether and when the store responded to recent calls.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    /// Time of the last response.
    last_response: Cell<Time>,
    /// Time of the first call since the last response that timed out or was rejected.
    failing_since: Cell<Option<Time>>,
    /// Time at which the oldest write since the last response was sent.
    unanswered_write: Cell<Option<Time>>,
}

impl StoreHealth {
    /// Records a response.
    pub(crate) fn record_success(&self) {
        self.last_response.set(clock::now());
        self.failing_since.set(None);
        self.unanswered_write.set(None);
    }

    /// Records that a caller's write is sent.
    pub(crate) fn record_write(&self) {
        if self.unanswered_write.get().is_none() {
            self.unanswered_write.set(Some(clock::now()));
        }
    }

    /// Returns for how long a caller's write has waited without any response of the store.
    pub(crate) fn write_wait(&self) -> Duration {
        let unanswered_write = self.unanswered_write.get();
        unanswered_write.map_or(Duration::ZERO, |time| clock::now().saturating_sub(time))
    }

    /// Records a call that timed out or was rejected.
    pub(crate) fn record_failure(&self) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(clock::now()));
        }
    }

    /// Returns the time since the last response.
    pub(crate) fn time_since_response(&self) -> Duration {
        clock::now().saturating_sub(self.last_response.get())
    }

    /// Returns whether a call failed since the last response.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing_since.get().is_some()
    }
}

/// Runs an entry until SIGTERM, with the settings file at `path`.
///
/// # Errors
///
/// Fails if the settings are invalid or an address cannot be bound.
pub fn run(path: &Path) -> Result<()> {
    let settings = Settings::open(path)?;
    let log = crate::report::stdout_logger(&settings.entry, &settings.zone);
    let runtime = runtime::build().wrap_err("cannot build the runtime")?;
    runtime::block_on(&runtime, serve(settings, path.to_owned(), log))
}

async fn serve(settings: Settings, path: PathBuf, log: Logger) -> Result<()> {
    info!(log, "site: starting"; "callers" => %settings.callers, "store" => %settings.store,
        "metrics" => ?settings.metrics);
    let metrics = Metrics::new();
    let shared = Rc::new(Shared {
        store: Store::new(settings.store),
        log: log.clone(),
        guard: Rc::new(Guard::new(&settings, &metrics)),
        metrics,
        catalog: RefCell::new(None),
        config_current_at: Rc::default(),
        control: RefCell::new(Control::default()),
        known_jobs: RefCell::new(KnownJobs::default()),
        loads: Loads::default(),
        health: StoreHealth::default(),
        status: RefCell::new(BTreeMap::new()),
        draining: Cell::new(false),
        spread_at: Cell::new(None),
        change: event_listener::Event::new(),
        revisions: RefCell::default(),
        settings,
    });
    let server = front::bind(&shared).await?;
    let mut tasks = vec![
        compio::runtime::spawn(watcher::follow_config(Rc::clone(&shared))),
        compio::runtime::spawn(watcher::follow_control(Rc::clone(&shared))),
        compio::runtime::spawn(Rc::clone(&shared.guard).check_times()),
        compio::runtime::spawn(reload(Rc::clone(&shared), path)),
    ];
    let roles = compio::runtime::spawn(election::campaign_all(Rc::clone(&shared)));
    compio::signal::unix::signal(SIGTERM)
        .await
        .wrap_err("cannot wait for a signal")?;
    info!(log, "site: told to stop"; "open_requests" => server.open_requests());
    let stop_time = clock::now();
    shared.draining.set(true);
    shared.change.notify(usize::MAX);
    if compio::time::timeout(DRAIN_TIME, roles).await.is_err() {
        warn!(
            log,
            "site: a role was not given up in time; its lease expires by itself"
        );
    }
    compio::time::sleep(DRAIN_TIME.saturating_sub(clock::now().saturating_sub(stop_time))).await;
    server.shutdown().await;
    tasks.clear();
    info!(log, "site: stopped"; "open_requests" => server.open_requests());
    Ok(())
}

/// Checks the settings on SIGHUP and logs whether they changed; they apply from the next start.
async fn reload(shared: Rc<Shared>, path: PathBuf) {
    loop {
        if let Err(error) = compio::signal::unix::signal(SIGHUP).await {
            warn!(shared.log, "site: cannot wait for SIGHUP"; "error" => %error);
            return;
        }
        match Settings::open(&path) {
            Ok(settings) if settings == shared.settings => {
                info!(shared.log, "site: settings reloaded, nothing changed");
            }
            Ok(_) => warn!(
                shared.log,
                "site: settings changed; they take effect at the next start"
            ),
            Err(error) => {
                warn!(shared.log, "site: new settings are invalid, keeping the current ones";
                    "error" => %format!("{error:#}"));
            }
        }
    }
}

/// Waits until the configuration or a control row changes, at most for `timeout`.
pub(crate) async fn wait_for_change(shared: &Shared, timeout: Duration) {
    let listener = shared.change.listen();
    let sleep = compio::time::sleep(timeout);
    future::select(Box::pin(listener), Box::pin(sleep.fuse())).await;
}
