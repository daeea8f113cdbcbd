//! HTTP/1.1 exchanges with upstreams over the connections of one I/O thread.
//!
//! A connection carries one exchange at a time. It is reused only after a
//! complete response whose request id matches; a timeout, a cancellation or a
//! protocol error closes it.

mod connection;
mod idle;
mod latency;
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
use crate::exchange::connection::Connection;
use crate::exchange::connection::Traffic;
use crate::exchange::idle::IdleConnections;
use crate::exchange::latency::LatencyWindow;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without bytes sent or received after which the upstream of a request is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Shortest time without bytes sent or received after which a connection is abandoned.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);
/// Multiple of the service's 99th percentile latency that a connection may stay
/// without bytes sent or received before it is abandoned.
const SILENCE_P99_FACTOR: u32 = 4;

/// A request to send to an upstream, without its target.
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) request: Request<()>,
    pub(crate) body: Bytes,
    pub(crate) service: &'a ServiceId,
    pub(crate) deadline: Instant,
}

/// Connections of one I/O thread to all upstreams.
pub(crate) struct ConnectionPool {
    dispatcher: DispatchHandle,
    answer_bytes: usize,
    idle: RefCell<IdleConnections>,
    latencies: RefCell<BTreeMap<ServiceId, LatencyWindow>>,
    /// Upstreams whose last response carried the leaving header.
    leaving: RefCell<BTreeMap<UpstreamId, Target>>,
}

impl ConnectionPool {
    pub(crate) fn new(dispatcher: DispatchHandle, answer_bytes: usize, threads: usize) -> Rc<Self> {
        Rc::new(Self {
            dispatcher,
            answer_bytes,
            idle: RefCell::new(IdleConnections::new(threads)),
            latencies: RefCell::default(),
            leaving: RefCell::default(),
        })
    }

    /// Sets how many idle connections all I/O threads together may keep to an upstream.
    pub(crate) fn limit(&self, upstream: UpstreamId, limit: u32) {
        self.idle.borrow_mut().limit(upstream, limit);
    }

    /// Sends a request and returns the complete response.
    ///
    /// The error tells whether the request may have run: it is
    /// [`ErrorKind::ConnectFailed`] or [`ErrorKind::DeadlineBeforeSend`] if no
    /// byte of it was written.
    pub(crate) async fn exchange(
        &self,
        target: &Target,
        outgoing: OutgoingRequest<'_>,
    ) -> Result<Response<Bytes>, ErrorKind> {
        let mut connection = self.acquire(target, outgoing.deadline).await?;
        let start = Instant::now();
        let (deadline, service) = (outgoing.deadline, outgoing.service);
        let traffic = connection.traffic();
        let result = {
            let run = connection.run(outgoing, self.answer_bytes);
            let silence = self.wait_until_silent(target, service, &traffic);
            futures_util::pin_mut!(run, silence);
            let either = compio::time::timeout_at(deadline, future::select(run, silence));
            match either.await {
                Ok(Either::Left((result, _))) => result,
                Ok(Either::Right(((), _))) => Err(ErrorKind::ConnectionSilent),
                Err(_) => Err(ErrorKind::DeadlineAfterSend),
            }
        };
        self.note_leaving(target, connection.leaving);
        match result {
            Ok(_) => {
                self.record_latency(service, start.elapsed());
                self.keep(connection);
            }
            Err(ErrorKind::RefusedByUpstream) => self.keep(connection),
            Err(kind) if traffic.nothing_written() => return Err(kind_before_write(kind)),
            Err(_) => {}
        }
        result
    }

    /// Takes an idle connection to the target or opens a new one.
    async fn acquire(&self, target: &Target, deadline: Instant) -> Result<Connection, ErrorKind> {
        let idle = self.idle.borrow_mut().take(target);
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let due = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        match compio::time::timeout_at(due, Connection::open(target)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) => Err(ErrorKind::ConnectFailed),
            Err(_) if due == deadline => Err(ErrorKind::DeadlineBeforeSend),
            Err(_) => Err(ErrorKind::ConnectFailed),
        }
    }

    /// Keeps a connection for reuse; closes it if its upstream is leaving.
    fn keep(&self, connection: Connection) {
        if !connection.leaving {
            self.idle.borrow_mut().keep(connection);
        }
    }

    /// Notifies the dispatch thread when an upstream starts or stops leaving.
    fn note_leaving(&self, target: &Target, leaving: bool) {
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
        self.dispatcher.send(Message::Leaving { upstream, leaving });
    }

    /// Completes once the connection of a request counts as lost.
    ///
    /// A request without traffic is either slow or on a lost connection. If a
    /// probe on a new connection is answered, the upstream is reachable, and a
    /// wait far beyond the service's usual latency means that the connection is
    /// lost.
    async fn wait_until_silent(&self, target: &Target, service: &ServiceId, traffic: &Traffic) {
        loop {
            let idle_time = traffic.idle_time();
            if idle_time < PROBE_AFTER {
                compio::time::sleep(PROBE_AFTER - idle_time).await;
                continue;
            }
            if !self.reachable(target).await {
                compio::time::sleep(PROBE_AFTER).await;
                continue;
            }
            let limit = MIN_SILENCE.max(SILENCE_P99_FACTOR * self.p99(service));
            loop {
                let idle_time = traffic.idle_time();
                if idle_time < PROBE_AFTER {
                    break;
                }
                if idle_time >= limit {
                    return;
                }
                compio::time::sleep(limit - idle_time).await;
            }
        }
    }

    fn record_latency(&self, service: &ServiceId, time: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        match latencies.get_mut(service) {
            Some(window) => window.record(time),
            None => latencies.entry(service.clone()).or_default().record(time),
        }
    }

    fn p99(&self, service: &ServiceId) -> Duration {
        let latencies = self.latencies.borrow();
        latencies
            .get(service)
            .map_or(Duration::ZERO, LatencyWindow::p99)
    }
}

/// Maps the error of an exchange that wrote no byte, so that the request counts as not run.
fn kind_before_write(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::DeadlineAfterSend => ErrorKind::DeadlineBeforeSend,
        _ => ErrorKind::ConnectFailed,
    }
}
