//! One request from accept to answer.

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

use crate::dispatch::Desk;
use crate::dispatch::Letter;
use crate::dispatch::Message;
use crate::dispatch::Reply;
use crate::exchange::Pool;
use crate::exchange::Sending;
use crate::flow::headers::Call;
use crate::flow::pending::Pending;
use crate::listen::Shared;
use crate::report::Report;
use crate::settings::Limits;

/// Time past a request's deadline for which the dispatch thread may still decide.
const DECISION: Duration = Duration::from_millis(250);

/// Serves the requests of one I/O thread.
pub(crate) struct Flow {
    thread: usize,
    desk: Desk,
    pool: Rc<Pool>,
    limits: Limits,
    report: Report,
    waiting: RefCell<BTreeMap<Ticket, Sender<Reply>>>,
}

impl Flow {
    pub(crate) fn new(thread: usize, pool: Rc<Pool>, shared: &Shared) -> Rc<Self> {
        Rc::new(Self {
            thread,
            pool,
            desk: shared.desk.clone(),
            limits: shared.limits,
            report: shared.report.clone(),
            waiting: RefCell::default(),
        })
    }

    /// Passes the messages of the dispatch thread on to those that they concern.
    pub(crate) async fn route(self: Rc<Self>, letters: Receiver<Letter>) {
        while let Ok(letter) = letters.recv_async().await {
            match letter {
                Letter::Reply(ticket, reply) => self.deliver(ticket, reply),
                Letter::Connections { upstream, limit } => self.pool.limit(upstream, limit),
            }
        }
    }

    /// Passes a decision on; a grant that nobody waits for is given back.
    fn deliver(&self, ticket: Ticket, reply: Reply) {
        let granted = matches!(reply, Reply::Grant(_));
        let delivered = self
            .waiting
            .borrow()
            .get(&ticket)
            .is_some_and(|waiter| waiter.try_send(reply).is_ok());
        if granted && !delivered {
            self.desk.tell(Message::Cancel(ticket));
        }
    }

    /// Serves one request; `began` is when its first byte arrived.
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
        result.unwrap_or_else(headers::refusal)
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        caller: IpAddr,
        began: Instant,
        service: &mut Option<ServiceId>,
    ) -> Result<Response<Bytes>, ErrorKind> {
        let (parts, body) = request.into_parts();
        let call = headers::classify(parts)?;
        let body = self
            .receive(body, began + self.limits.receive_timeout)
            .await?;
        let deadline = Instant::now() + call.deadline;
        let mut pending = self.admit(&call, caller, deadline)?;
        *service = Some(call.service.clone());
        let mut written = None;
        loop {
            let target = match pending.decision().await {
                Ok(target) => target,
                Err(kind) => return Err(truthful(kind, written)),
            };
            let id = format_compact!("{}-{}", self.desk.entry(), pending.ticket);
            let sending = Sending {
                id: &id,
                request: headers::forward(&call, &id, deadline),
                body: body.clone(),
                service: &call.service,
                deadline,
            };
            let sent = self.pool.exchange(&target, sending).await;
            match sent {
                Ok(answer) => {
                    let server_error = answer.status().is_server_error();
                    pending.answered(SendOutcome::Answered { server_error });
                    return Ok(headers::answer(answer, &id));
                }
                Err(kind) => {
                    self.report.exchange_failed(&target.upstream, kind);
                    if kind.response().run != Run::NotRun {
                        written = Some(kind);
                    }
                    pending.failed(kind);
                }
            }
        }
    }

    /// Reads the whole body before the request takes part in admission.
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
        call: &Call,
        caller: IpAddr,
        deadline: Instant,
    ) -> Result<Pending<'_>, ErrorKind> {
        let arrival = Arrival {
            ticket: self.desk.ticket(),
            service: call.service.clone(),
            caller: CallerId::from(caller.to_string()),
            team: call.team.clone(),
            idempotent: call.idempotent,
            deadline: self.desk.time(deadline),
        };
        let pending = Pending::new(self, arrival.ticket, deadline + DECISION);
        if !self.desk.arrive(self.thread, arrival) {
            return Err(ErrorKind::QueueFull);
        }
        Ok(pending)
    }
}

/// Returns the kind that the caller gets after an earlier attempt may have run.
fn truthful(kind: ErrorKind, written: Option<ErrorKind>) -> ErrorKind {
    match written {
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
