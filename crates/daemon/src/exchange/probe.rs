//! Probes of connections and upstreams.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Message;
use crate::dispatch::Target;
use crate::exchange::ConnectionPool;
use crate::exchange::link::Link;

/// Time between probes of an idle connection or of a leaving upstream.
const EVERY: Duration = Duration::from_secs(1);
/// Time within which a probe has to be answered.
const ANSWER: Duration = Duration::from_millis(500);
const UPKEEP: Duration = Duration::from_millis(100);

impl ConnectionPool {
    /// Probes idle connections and closes those that do not answer.
    pub(crate) async fn run_probes(self: Rc<Self>) {
        let mut rejoin = Instant::now();
        loop {
            compio::time::sleep(UPKEEP).await;
            let now = Instant::now();
            let stale = self.idle.borrow_mut().stale(now - EVERY);
            for link in stale {
                let pool = Rc::clone(&self);
                compio::runtime::spawn(async move { pool.check(link).await }).detach();
            }
            if now >= rejoin {
                rejoin = now + EVERY;
                self.ask_leaving();
            }
        }
    }

    /// Probes an upstream on a new connection; an unanswered probe makes it suspect.
    pub(super) async fn reachable(&self, target: &Target) -> bool {
        let probe = async {
            let mut link = Link::open(target).await.ok()?;
            link.probe().await.then_some(link.leaving)
        };
        match compio::time::timeout(ANSWER, probe).await {
            Ok(Some(leaving)) => {
                self.hear(target, leaving);
                true
            }
            Ok(None) | Err(_) => {
                let upstream = target.upstream.clone();
                self.dispatcher.tell(Message::ProbeFailed(upstream));
                false
            }
        }
    }

    async fn check(&self, mut link: Link) {
        if let Ok(true) = compio::time::timeout(ANSWER, link.probe()).await {
            self.hear(link.target(), link.leaving);
            self.keep(link);
        }
    }

    /// Asks leaving upstreams whether they still are.
    fn ask_leaving(self: &Rc<Self>) {
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
