//! Upstream connections of one I/O thread, one exchange at a time.
//!
//! A connection is used again only after a whole answer with the right request
//! id. Any timeout, cancellation or doubt about the protocol closes it.

mod idle;
mod link;
mod pace;
mod probe;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future;
use futures_util::future::Either;
use hyper::Request;
use hyper::Response;
use wigeonhinge::id::ServiceId;
use wigeonhinge::id::UpstreamId;
use wigeonhinge::outcome::ErrorKind;

use crate::dispatch::DispatchHandle;
use crate::dispatch::Message;
use crate::dispatch::Target;
use crate::exchange::idle::Idle;
use crate::exchange::link::Link;
use crate::exchange::link::Meter;
use crate::exchange::pace::Pace;

/// Time within which a connection has to be made.
const CONNECT: Duration = Duration::from_millis(500);
/// Time without progress after which a request's upstream is probed.
const QUIET: Duration = Duration::from_secs(1);
/// Time without progress after which a connection may be given up.
const SILENT: Duration = Duration::from_millis(1_500);
/// 99th percentiles without progress after which a connection may be given up.
const SILENT_PACES: u32 = 4;

/// A request on its way to an upstream.
pub(crate) struct Sending<'a> {
    pub(crate) id: &'a str,
    pub(crate) request: Request<()>,
    pub(crate) body: Bytes,
    pub(crate) service: &'a ServiceId,
    pub(crate) deadline: Instant,
}

/// Upstream connections of one I/O thread.
pub(crate) struct ConnectionPool {
    dispatcher: DispatchHandle,
    answer_bytes: usize,
    idle: RefCell<Idle>,
    paces: RefCell<BTreeMap<ServiceId, Pace>>,
    /// Upstreams that announced that they are leaving.
    leaving: RefCell<BTreeMap<UpstreamId, Target>>,
}

impl ConnectionPool {
    pub(crate) fn new(dispatcher: DispatchHandle, answer_bytes: usize, threads: usize) -> Rc<Self> {
        Rc::new(Self {
            dispatcher,
            answer_bytes,
            idle: RefCell::new(Idle::new(threads)),
            paces: RefCell::default(),
            leaving: RefCell::default(),
        })
    }

    /// Sets how many connections the entry may keep to an upstream.
    pub(crate) fn limit(&self, upstream: UpstreamId, limit: u32) {
        self.idle.borrow_mut().limit(upstream, limit);
    }

    /// Sends a request and returns the whole answer.
    pub(crate) async fn exchange(
        &self,
        target: &Target,
        sending: Sending<'_>,
    ) -> Result<Response<Bytes>, ErrorKind> {
        let mut link = self.link(target, sending.deadline).await?;
        let start = Instant::now();
        let (deadline, service) = (sending.deadline, sending.service);
        let meter = link.meter();
        let result = {
            let run = link.run(sending, self.answer_bytes);
            let silence = self.silence(target, service, &meter);
            futures_util::pin_mut!(run, silence);
            let either = compio::time::timeout_at(deadline, future::select(run, silence));
            match either.await {
                Ok(Either::Left((result, _))) => result,
                Ok(Either::Right(((), _))) => Err(ErrorKind::ConnectionSilent),
                Err(_) => Err(ErrorKind::DeadlineAfterSend),
            }
        };
        self.hear(target, link.leaving);
        match result {
            Ok(_) => {
                self.learn(service, start.elapsed());
                self.keep(link);
            }
            Err(ErrorKind::RefusedByUpstream) => self.keep(link),
            Err(kind) if meter.untouched() => return Err(unsent(kind)),
            Err(_) => {}
        }
        result
    }

    /// Returns a connection without an exchange on it.
    async fn link(&self, target: &Target, deadline: Instant) -> Result<Link, ErrorKind> {
        let idle = self.idle.borrow_mut().take(target);
        if let Some(link) = idle {
            return Ok(link);
        }
        let due = deadline.min(Instant::now() + CONNECT);
        match compio::time::timeout_at(due, Link::open(target)).await {
            Ok(Ok(link)) => Ok(link),
            Ok(Err(_)) => Err(ErrorKind::ConnectFailed),
            Err(_) if due == deadline => Err(ErrorKind::DeadlineBeforeSend),
            Err(_) => Err(ErrorKind::ConnectFailed),
        }
    }

    /// Keeps a connection for the next exchange, unless its upstream is leaving.
    fn keep(&self, link: Link) {
        if !link.leaving {
            self.idle.borrow_mut().keep(link);
        }
    }

    /// Tells the dispatch thread when an upstream starts or stops leaving.
    fn hear(&self, target: &Target, leaving: bool) {
        let known = self.leaving.borrow().contains_key(&target.upstream);
        if known == leaving {
            return;
        }
        let upstream = target.upstream.clone();
        let mut set = self.leaving.borrow_mut();
        if leaving {
            set.insert(upstream.clone(), target.clone());
        } else {
            set.remove(&upstream);
        }
        self.dispatcher.tell(Message::Leaving { upstream, leaving });
    }

    /// Completes once the connection of a request must be considered lost.
    ///
    /// A request without progress may be slow or on a lost connection. A probe on
    /// a new connection shows that the upstream is reachable; silence far beyond
    /// the usual service time then points to the connection.
    async fn silence(&self, target: &Target, service: &ServiceId, meter: &Meter) {
        loop {
            let quiet = meter.quiet();
            if quiet < QUIET {
                compio::time::sleep(QUIET - quiet).await;
                continue;
            }
            if !self.reachable(target).await {
                compio::time::sleep(QUIET).await;
                continue;
            }
            let limit = SILENT.max(SILENT_PACES * self.percentile(service));
            loop {
                let quiet = meter.quiet();
                if quiet < QUIET {
                    break;
                }
                if quiet >= limit {
                    return;
                }
                compio::time::sleep(limit - quiet).await;
            }
        }
    }

    fn learn(&self, service: &ServiceId, time: Duration) {
        let mut paces = self.paces.borrow_mut();
        match paces.get_mut(service) {
            Some(pace) => pace.record(time),
            None => paces.entry(service.clone()).or_default().record(time),
        }
    }

    fn percentile(&self, service: &ServiceId) -> Duration {
        let paces = self.paces.borrow();
        paces.get(service).map_or(Duration::ZERO, Pace::percentile)
    }
}

/// Returns the kind of a failure before any byte was written.
fn unsent(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::DeadlineAfterSend => ErrorKind::DeadlineBeforeSend,
        _ => ErrorKind::ConnectFailed,
    }
}
