//! Upstream connections of one I/O thread, one exchange at a time.
//!
//! A connection is used again only after a whole answer with the right request
//! id. Any timeout, cancellation or doubt about the protocol closes it.

mod link;
mod pace;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use wigeonhinge::id::ServiceId;
use wigeonhinge::outcome::Kind;

use crate::dispatch::Target;
use crate::exchange::link::Link;
use crate::exchange::pace::Pace;

/// Time within which a connection has to be made.
const CONNECT: Duration = Duration::from_millis(500);
/// Idle connections to one upstream that are kept, for each I/O thread.
const IDLE_LINKS: usize = 4;
/// Time between probes of an idle connection.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Time within which a probe has to be answered.
const PROBE: Duration = Duration::from_millis(500);
/// Time without progress after which a request's upstream is probed.
const QUIET: Duration = Duration::from_secs(1);
/// Time without progress after which a connection may be given up.
const SILENT: Duration = Duration::from_millis(1_500);
const UPKEEP: Duration = Duration::from_millis(100);

/// A request on its way to an upstream.
pub(crate) struct Sending<'a> {
    pub(crate) id: &'a str,
    pub(crate) request: Request<()>,
    pub(crate) body: Bytes,
    pub(crate) service: &'a ServiceId,
    pub(crate) deadline: Instant,
}

/// How sending a request ended.
pub(crate) struct Sent {
    pub(crate) result: Result<Response<Bytes>, Kind>,
    /// Whether the upstream announced that it is leaving.
    pub(crate) leaving: bool,
}

/// Upstream connections of one I/O thread.
pub(crate) struct Pool {
    answer_bytes: usize,
    idle: RefCell<BTreeMap<SocketAddr, Vec<Link>>>,
    paces: RefCell<BTreeMap<ServiceId, Pace>>,
}

impl Pool {
    pub(crate) fn new(answer_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            answer_bytes,
            idle: RefCell::default(),
            paces: RefCell::default(),
        })
    }

    /// Sends a request and returns the whole answer.
    pub(crate) async fn exchange(&self, target: &Target, sending: Sending<'_>) -> Sent {
        let mut leaving = false;
        let result = self.attempt(target, sending, &mut leaving).await;
        Sent { result, leaving }
    }

    async fn attempt(
        &self,
        target: &Target,
        sending: Sending<'_>,
        leaving: &mut bool,
    ) -> Result<Response<Bytes>, Kind> {
        let mut link = self.link(target, sending.deadline).await?;
        let start = Instant::now();
        let (deadline, service) = (sending.deadline, sending.service);
        let meter = link.meter();
        let run = link.run(sending, self.answer_bytes, leaving);
        let watch = self.silence(target, service, &meter);
        let answer = compio::time::timeout_at(deadline, async {
            futures_util::pin_mut!(run, watch);
            match futures_util::future::select(run, watch).await {
                futures_util::future::Either::Left((result, _)) => result,
                futures_util::future::Either::Right(((), _)) => Err(Kind::ConnectionSilent),
            }
        })
        .await
        .unwrap_or(Err(Kind::DeadlineAfterSend));
        match answer {
            Ok(answer) => {
                self.pace(service, start.elapsed());
                if !*leaving {
                    self.keep(link);
                }
                Ok(answer)
            }
            Err(kind) if meter.untouched() => Err(unsent(kind)),
            Err(Kind::RefusedByUpstream) => {
                self.keep(link);
                Err(Kind::RefusedByUpstream)
            }
            Err(kind) => Err(kind),
        }
    }

    /// Returns a connection without an exchange on it.
    async fn link(&self, target: &Target, deadline: Instant) -> Result<Link, Kind> {
        if let Some(link) = self.take(target.address) {
            return Ok(link);
        }
        let due = deadline.min(Instant::now() + CONNECT);
        match compio::time::timeout_at(due, Link::open(target)).await {
            Ok(Ok(link)) => Ok(link),
            Ok(Err(_)) => Err(Kind::ConnectFailed),
            Err(_) if due == deadline => Err(Kind::DeadlineBeforeSend),
            Err(_) => Err(Kind::ConnectFailed),
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        links.retain(Link::open_still);
        let index = links.iter().rposition(Link::ready)?;
        Some(links.swap_remove(index))
    }

    fn keep(&self, mut link: Link) {
        link.meter().rest();
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(link.target().address).or_default();
        if links.len() < IDLE_LINKS {
            link.checked = Instant::now();
            links.push(link);
        }
    }

    /// Completes once the connection of a request must be considered lost.
    async fn silence(&self, target: &Target, service: &ServiceId, meter: &link::Meter) {
        loop {
            let quiet = meter.quiet();
            if quiet < QUIET {
                compio::time::sleep(QUIET - quiet).await;
                continue;
            }
            let answered = probe_new(target).await;
            let limit = SILENT.max(4 * self.percentile(service));
            while answered && meter.quiet() >= QUIET {
                let quiet = meter.quiet();
                if quiet >= limit {
                    return;
                }
                compio::time::sleep(limit - quiet).await;
            }
            compio::time::sleep(QUIET).await;
        }
    }

    fn pace(&self, service: &ServiceId, time: Duration) {
        let mut paces = self.paces.borrow_mut();
        match paces.get_mut(service) {
            Some(pace) => pace.record(time),
            None => paces.entry(service.clone()).or_default().record(time),
        }
    }

    fn percentile(&self, service: &ServiceId) -> Duration {
        self.paces
            .borrow()
            .get(service)
            .map_or(Duration::ZERO, Pace::percentile)
    }

    /// Probes idle connections and closes those that do not answer.
    pub(crate) async fn upkeep(self: Rc<Self>) {
        loop {
            compio::time::sleep(UPKEEP).await;
            for link in self.due() {
                let pool = Rc::clone(&self);
                compio::runtime::spawn(async move { pool.check(link).await }).detach();
            }
        }
    }

    fn due(&self) -> Vec<Link> {
        let mut due = Vec::new();
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(Link::open_still);
            due.extend(links.extract_if(.., |link| {
                link.ready() && link.checked.elapsed() >= PROBE_EVERY
            }));
        }
        idle.retain(|_, links| !links.is_empty());
        due
    }

    async fn check(&self, mut link: Link) {
        if let Ok(true) = compio::time::timeout(PROBE, link.probe()).await {
            self.keep(link);
        }
    }
}

async fn probe_new(target: &Target) -> bool {
    let probe = async {
        match Link::open(target).await {
            Ok(mut link) => link.probe().await,
            Err(_) => false,
        }
    };
    compio::time::timeout(PROBE, probe).await.unwrap_or(false)
}

/// Returns the kind of a failure before any byte was written.
fn unsent(kind: Kind) -> Kind {
    match kind {
        Kind::DeadlineAfterSend => Kind::DeadlineBeforeSend,
        _ => Kind::ConnectFailed,
    }
}
