//! An entry on the users' platform.
//!
//! The platform keeps what must last, so an entry needs neither peers nor a
//! disk: every entry follows the configuration and all jobs by watches, and
//! one of them, which holds the scheduler role, starts tasks and orders
//! machines. All tasks share one thread and talk by messages.

mod clock;
mod election;
mod front;
mod keys;
mod metrics;
mod orders;
mod replica;
mod role;
mod settings;
mod watcher;
mod worker;
mod writer;

use std::cell::Cell;
use std::cell::RefCell;
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
use wigeonhinge_platform::store::Store;

use crate::listen::runtime;
use crate::site::metrics::Metrics;
use crate::site::replica::Replica;

pub use crate::site::settings::Settings;

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// Time from SIGTERM to the end of the process; the balancer needs up to two
/// checks, one a second, to send new connections elsewhere.
const DRAIN: Duration = Duration::from_millis(3_200);

/// What the tasks of an entry share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) store: Store,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) replica: RefCell<Replica>,
    pub(crate) health: Health,
    /// What the holder of the role reports of pools and waves.
    pub(crate) status: RefCell<serde_json::Value>,
    pub(crate) draining: Cell<bool>,
    /// Told when the configuration or the role's key changes.
    pub(crate) changed: event_listener::Event,
}

/// How the store answered lately.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Last answer.
    answered: Cell<Time>,
    /// First call since then that got none in time, or was refused.
    failed: Cell<Option<Time>>,
    /// Oldest write that a caller waits for, sent after the last answer.
    asked: Cell<Option<Time>>,
}

impl Health {
    /// Notes an answer.
    pub(crate) fn good(&self) {
        self.answered.set(clock::now());
        self.failed.set(None);
        self.asked.set(None);
    }

    /// Notes a write that is sent.
    pub(crate) fn ask(&self) {
        if self.asked.get().is_none() {
            self.asked.set(Some(clock::now()));
        }
    }

    /// Returns for how long a write has waited without any answer of the store.
    pub(crate) fn waiting(&self) -> Duration {
        let asked = self.asked.get();
        asked.map_or(Duration::ZERO, |time| clock::now().saturating_sub(time))
    }

    /// Notes a call without an answer.
    pub(crate) fn bad(&self) {
        if self.failed.get().is_none() {
            self.failed.set(Some(clock::now()));
        }
    }

    /// Returns the time since the last answer.
    pub(crate) fn silence(&self) -> Duration {
        clock::now().saturating_sub(self.answered.get())
    }

    /// Returns whether calls fail now.
    pub(crate) fn failing(&self) -> bool {
        self.failed.get().is_some()
    }
}

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// Fails if the settings are wrong or an address cannot be bound.
pub fn run(path: &Path) -> Result<()> {
    let settings = Settings::open(path)?;
    let log = crate::report::stdout(&settings.entry, &settings.zone);
    let runtime = runtime::build().wrap_err("cannot build the runtime")?;
    runtime::block_on(&runtime, serve(settings, path.to_owned(), log))
}

async fn serve(settings: Settings, path: PathBuf, log: Logger) -> Result<()> {
    info!(log, "site: starting"; "callers" => %settings.callers, "store" => %settings.store,
        "metrics" => ?settings.metrics);
    let shared = Rc::new(Shared {
        store: Store::new(settings.store),
        log: log.clone(),
        metrics: Metrics::open(),
        catalog: RefCell::new(None),
        replica: RefCell::new(Replica::default()),
        health: Health::default(),
        status: RefCell::new(serde_json::json!({ "role": false })),
        draining: Cell::new(false),
        changed: event_listener::Event::new(),
        settings,
    });
    let served = front::bind(&shared).await?;
    let mut tasks = vec![
        compio::runtime::spawn(watcher::follow_config(Rc::clone(&shared))),
        compio::runtime::spawn(watcher::follow_jobs(Rc::clone(&shared))),
        compio::runtime::spawn(reload(Rc::clone(&shared), path)),
    ];
    let (resign, resigned) = flume::bounded(1);
    let role = compio::runtime::spawn(election::campaign(Rc::clone(&shared), resigned));
    compio::signal::unix::signal(SIGTERM)
        .await
        .wrap_err("cannot wait for a signal")?;
    info!(log, "site: told to stop"; "open_requests" => served.open());
    let told = clock::now();
    shared.draining.set(true);
    // A full channel means that the role was told already.
    let _ = resign.try_send(());
    let _ = compio::time::timeout(DRAIN, role).await;
    compio::time::sleep(DRAIN.saturating_sub(clock::now().saturating_sub(told))).await;
    served.finish().await;
    tasks.clear();
    info!(log, "site: stopped"; "open_requests" => served.open());
    Ok(())
}

/// Reads the settings again on SIGHUP; a running entry keeps its addresses.
async fn reload(shared: Rc<Shared>, path: PathBuf) {
    loop {
        if let Err(error) = compio::signal::unix::signal(SIGHUP).await {
            warn!(shared.log, "site: cannot wait for SIGHUP"; "error" => %error);
            return;
        }
        match Settings::open(&path) {
            Ok(settings) if settings == shared.settings => {
                info!(shared.log, "site: settings read again, nothing changed");
            }
            Ok(_) => warn!(
                shared.log,
                "site: settings changed; they apply from the next start"
            ),
            Err(error) => {
                warn!(shared.log, "site: new settings refused"; "error" => %format!("{error:#}"));
            }
        }
    }
}

/// Waits for a change, at most for a time.
pub(crate) async fn changed(shared: &Shared, time: Duration) {
    let listener = shared.changed.listen();
    let sleep = compio::time::sleep(time);
    future::select(Box::pin(listener), Box::pin(sleep.fuse())).await;
}
