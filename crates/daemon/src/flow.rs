//! Request handling, from the parsed request to the response of its upstream or an error.

pub(crate) mod headers;
mod pending;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::format_compact;
use flume::Receiver;
use flume::Sender;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use wigeonhinge::gateway::Arrival;
use wigeonhinge::gateway::SendOutcome;
use wigeonhinge::id::CallerId;
use wigeonhinge::id::ServiceId;
use wigeonhinge::id::Ticket;
use wigeonhinge::outcome::ErrorKind;
use wigeonhinge::outcome::Run;

use crate::dispatch::DispatchHandle;
use crate::dispatch::IoMessage;
use crate::dispatch::Message;
use crate::dispatch::Reply;
use crate::exchange::ConnectionPool;
use crate::exchange::OutgoingRequest;
use crate::flow::headers::ParsedRequest;
use crate::flow::pending::Pending;
use crate::listen::Shared;
use crate::report::Report;
use crate::settings::Limits;

/// Time past a request's deadline during which a decision of the dispatch thread is still awaited.
const DECISION_GRACE: Duration = Duration::from_millis(250);

/// Handles the requests of one I/O thread.
pub(crate) struct RequestHandler {
    thread: usize,
    dispatcher: DispatchHandle,
    pool: Rc<ConnectionPool>,
    limits: Limits,
    report: Report,
    waiting: RefCell<BTreeMap<Ticket, Sender<Reply>>>,
}

impl RequestHandler {
    pub(crate) fn new(thread: usize, pool: Rc<ConnectionPool>, shared: &Shared) -> Rc<Self> {
        Rc::new(Self {
            thread,
            pool,
            dispatcher: shared.dispatcher.clone(),
            limits: shared.limits,
            report: shared.report.clone(),
            waiting: RefCell::default(),
        })
    }

    /// Delivers decisions to the waiting requests and connection limits to the pool.
    pub(crate) async fn deliver_messages(self: Rc<Self>, messages: Receiver<IoMessage>) {
        while let Ok(message) = messages.recv_async().await {
            match message {
                IoMessage::Reply(ticket, reply) => self.deliver(ticket, reply),
                IoMessage::Connections { upstream, limit } => self.pool.limit(upstream, limit),
            }
        }
    }

    /// Delivers a decision to its request.
    ///
    /// A grant whose request has ended is cancelled, so that the gateway frees
    /// its slot.
    fn deliver(&self, ticket: Ticket, reply: Reply) {
        let granted = matches!(reply, Reply::Grant(_));
        let delivered = self
            .waiting
            .borrow()
            .get(&ticket)
            .is_some_and(|sender| sender.try_send(reply).is_ok());
        if granted && !delivered {
            self.dispatcher.send(Message::Cancel(ticket));
        }
    }

    /// Handles one request and records its result; `began` is when its first byte arrived.
    pub(crate) async fn serve(
        &self,
        request: Request<Incoming>,
        caller: IpAddr,
        began: Instant,
    ) -> Response<Bytes> {
        let mut service = None;
        let result = self.handle(request, caller, began, &mut service).await;
        let kind = result.as_ref().err().copied();
        self.report
            .request_ended(service.as_deref(), kind, began.elapsed());
        result.unwrap_or_else(headers::error_response)
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        caller: IpAddr,
        began: Instant,
        service: &mut Option<ServiceId>,
    ) -> Result<Response<Bytes>, ErrorKind> {
        let (parts, body) = request.into_parts();
        let parsed = headers::parse(parts)?;
        let body = self
            .receive(body, began + self.limits.receive_timeout)
            .await?;
        let deadline = Instant::now() + parsed.deadline;
        let mut pending = self.admit(&parsed, caller, deadline)?;
        *service = Some(parsed.service.clone());
        let mut maybe_ran = None;
        loop {
            let target = match pending.decision().await {
                Ok(target) => target,
                Err(kind) => return Err(caller_kind(kind, maybe_ran)),
            };
            let id = format_compact!("{}-{}", self.dispatcher.entry(), pending.ticket);
            let outgoing = OutgoingRequest {
                id: &id,
                request: headers::upstream_request(&parsed, &id, deadline),
                body: body.clone(),
                service: &parsed.service,
                deadline,
            };
            let sent = self.pool.exchange(&target, outgoing).await;
            match sent {
                Ok(answer) => {
                    let server_error = answer.status().is_server_error();
                    pending.answered(SendOutcome::Answered { server_error });
                    return Ok(headers::caller_response(answer, &id));
                }
                Err(kind) => {
                    self.report.exchange_failed(&target.upstream, kind);
                    if kind.response().run != Run::NotRun {
                        maybe_ran = Some(kind);
                    }
                    pending.failed(kind);
                }
            }
        }
    }

    /// Reads the whole body.
    ///
    /// Admission starts after that, so a slow sender holds no slot of an upstream.
    async fn receive(&self, body: Incoming, due: Instant) -> Result<Bytes, ErrorKind> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let limit = self.limits.body_bytes;
        if body.size_hint().lower() > limit as u64 {
            return Err(ErrorKind::BodyTooLarge);
        }
        compio::time::timeout_at(due, collect(body, limit))
            .await
            .unwrap_or(Err(ErrorKind::SlowSender))
    }

    fn admit(
        &self,
        parsed: &ParsedRequest,
        caller: IpAddr,
        deadline: Instant,
    ) -> Result<Pending<'_>, ErrorKind> {
        let arrival = Arrival {
            ticket: self.dispatcher.ticket(),
            service: parsed.service.clone(),
            caller: CallerId::from(caller.to_string()),
            team: parsed.team.clone(),
            idempotent: parsed.idempotent,
            deadline: self.dispatcher.time(deadline),
        };
        let pending = Pending::new(self, arrival.ticket, deadline + DECISION_GRACE);
        if !self.dispatcher.arrive(self.thread, arrival) {
            return Err(ErrorKind::QueueFull);
        }
        Ok(pending)
    }
}

/// Returns the error kind for the caller.
///
/// A "not run" kind must not hide an `earlier` attempt that may have run.
fn caller_kind(kind: ErrorKind, earlier: Option<ErrorKind>) -> ErrorKind {
    match earlier {
        Some(earlier) if kind.response().run == Run::NotRun => earlier,
        _ => kind,
    }
}

async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, ErrorKind> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ErrorKind::BadRequest)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(ErrorKind::BodyTooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
