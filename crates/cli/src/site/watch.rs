//! Watches the promises that hold at every moment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use wigeonhinge::ledger::Ledger;
use wigeonhinge_schema::ledger;
use wigeonhinged::platform::HttpPlatform;
use wigeonhinged::platform::Platform;

use crate::site::Site;
use crate::site::status;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(100);

/// What the watch has found.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Looks at which a pool had more VMs unavailable than it may.
    pub budget_violations: usize,
    /// Times that an entry went back to a lower revision.
    pub config_reverts: usize,
    /// Times that a VM changed its pool.
    pub moves: usize,
}

/// A running watch.
#[derive(Debug)]
pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Findings>,
}

impl Watch {
    /// Starts to watch a site.
    pub fn spawn(site: &Site) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let (base, key, admins) = (site.platform.base(), site.key(), site.admins());
        let thread = thread::spawn(move || look(&base, &key, &admins, &stopped));
        Self { stop, thread }
    }

    /// Ends the watch and returns what it has found.
    pub fn stop(self) -> Findings {
        self.stop.store(true, Ordering::Release);
        self.thread.join().unwrap_or_default()
    }
}

fn look(base: &str, key: &str, admins: &[SocketAddr], stopped: &AtomicBool) -> Findings {
    let mut findings = Findings::default();
    let mut revisions: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    let mut pools: BTreeMap<String, String> = BTreeMap::new();
    while !stopped.load(Ordering::Acquire) {
        for admin in admins {
            let Some(revision) = status(*admin).and_then(|status| status["revision"].as_u64())
            else {
                continue;
            };
            let before = revisions.insert(*admin, revision).unwrap_or(0);
            findings.config_reverts += usize::from(revision < before);
        }
        if let Some(ledger) = read(base, key) {
            let broken = |count: &wigeonhinge::ledger::PoolCount| {
                count.unavailable() > count.max_unavailable
            };
            findings.budget_violations += ledger
                .counts()
                .values()
                .filter(|count| broken(count))
                .count();
            for vm in ledger.vms() {
                let before = pools.insert(vm.name.clone(), vm.pool.clone());
                findings.moves += usize::from(before.is_some_and(|pool| pool != vm.pool));
            }
        }
        thread::sleep(PAUSE);
    }
    findings
}

fn read(base: &str, key: &str) -> Option<Ledger> {
    let runtime = compio::runtime::Runtime::new().ok()?;
    let found = runtime.block_on(async {
        let platform = HttpPlatform::new(base, "watch").ok()?;
        platform.get::<ledger::Ledger>(key).await.ok()?
    });
    found.map(|document| Ledger::from_document(document.value))
}
