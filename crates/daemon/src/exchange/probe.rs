//! Health probes on idle connections and of upstreams.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Message;
use crate::dispatch::Target;
use crate::exchange::ConnectionPool;
use crate::exchange::connection::Connection;

/// Period of the probes of an idle connection and of a leaving upstream.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Period at which the idle connections are searched for those due for a probe.
const STALE_CHECK_PERIOD: Duration = Duration::from_millis(100);

impl ConnectionPool {
    /// Probes idle connections and leaving upstreams until the thread stops.
    pub(crate) async fn run_probes(self: Rc<Self>) {
        let mut leaving_due = Instant::now();
        loop {
            compio::time::sleep(STALE_CHECK_PERIOD).await;
            let now = Instant::now();
            let stale = self.idle.borrow_mut().take_stale(now - PROBE_PERIOD);
            for connection in stale {
                let pool = Rc::clone(&self);
                compio::runtime::spawn(async move { pool.probe_idle(connection).await }).detach();
            }
            if now >= leaving_due {
                leaving_due = now + PROBE_PERIOD;
                self.probe_leaving();
            }
        }
    }

    /// Probes an upstream on a new connection.
    ///
    /// Reports a missing answer to the dispatch thread; returns whether the
    /// upstream answered.
    pub(super) async fn reachable(&self, target: &Target) -> bool {
        let probe = async {
            let mut connection = Connection::open(target).await.ok()?;
            connection.probe().await.then_some(connection.leaving)
        };
        match compio::time::timeout(PROBE_TIMEOUT, probe).await {
            Ok(Some(leaving)) => {
                self.note_leaving(target, leaving);
                true
            }
            Ok(None) | Err(_) => {
                let upstream = target.upstream.clone();
                self.dispatcher.send(Message::ProbeFailed(upstream));
                false
            }
        }
    }

    /// Probes an idle connection; closes it if no answer arrives in time.
    async fn probe_idle(&self, mut connection: Connection) {
        if let Ok(true) = compio::time::timeout(PROBE_TIMEOUT, connection.probe()).await {
            self.note_leaving(connection.target(), connection.leaving);
            self.keep(connection);
        }
    }

    /// Probes the leaving upstreams, so that one that no longer announces it gets requests again.
    fn probe_leaving(self: &Rc<Self>) {
        for target in self.leaving.borrow().values() {
            let pool = Rc::clone(self);
            let target = target.clone();
            let probe = async move {
                pool.reachable(&target).await;
            };
            compio::runtime::spawn(probe).detach();
        }
    }
}
