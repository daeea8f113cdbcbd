//! Limits for the connections of clients that nobody controls; see [`wigeonhinge::intake`].

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::future;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use serde_json::Value;
use wigeonhinge::intake::ConnectionId;
use wigeonhinge::intake::Intake;
use wigeonhinge::intake::Limits;
use wigeonhinge::intake::Reason;

use crate::site::clock;
use crate::site::metrics::Metrics;
use crate::site::settings::Settings;
use crate::stream;

/// Most bytes of a head. Heads of proper callers have a few hundred bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16_384;

/// Part of the memory that the budget gets, as a divisor. A request occupies up to four times its
/// bytes while it is decoded and stored.
const BUDGET_PART: usize = 8;

/// Connections for each MB of memory; an idle connection occupies 26 kB.
const CONNECTIONS_PER_MB: usize = 10;

/// Most descriptors that are kept for other uses: the store, and two connections to each of 350 workers.
const RESERVED_DESCRIPTORS: usize = 800;

/// Descriptors for each connection of a client: its own, and one to the store while a request is handled.
const DESCRIPTORS_PER_CLIENT: usize = 2;

/// Connections of operators and the balancer beyond the limit, if callers use all of it.
pub(super) const SPARE_CONNECTIONS: usize = 16;

/// Time for which an answer may stay unread.
const SEND_TIME: Duration = Duration::from_secs(30);

/// Interval between two checks of the time limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause before the number of connections is checked again.
const ROOM_PAUSE: Duration = Duration::from_millis(5);

/// Connections of an entry, on all its listeners.
#[derive(Debug)]
pub(crate) struct Guard {
    intake: RefCell<Intake>,
    slots: RefCell<BTreeMap<ConnectionId, Rc<Slot>>>,
    metrics: Metrics,
}

/// Whether a connection has to be closed, and the task to wake then.
#[derive(Debug, Default)]
struct Slot {
    closing: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Guard {
    pub(super) fn new(settings: &Settings, metrics: &Metrics) -> Self {
        let descriptors = settings.descriptors;
        let reserved = RESERVED_DESCRIPTORS.min(descriptors / 2);
        let connections = (descriptors - reserved) / DESCRIPTORS_PER_CLIENT;
        let limits = Limits {
            bytes: (settings.memory_mb << 20) / BUDGET_PART,
            connections: connections.min(settings.memory_mb * CONNECTIONS_PER_MB),
            head_time: Duration::from_millis(settings.head_ms),
            body_time: Duration::from_millis(settings.body_ms),
            idle_time: Duration::from_millis(settings.idle_ms),
            send_time: SEND_TIME,
        };
        Self {
            intake: RefCell::new(Intake::new(limits)),
            slots: RefCell::default(),
            metrics: metrics.clone(),
        }
    }

    /// Returns the use and the limits, for operators.
    pub(super) fn status(&self) -> Value {
        let intake = self.intake.borrow();
        serde_json::json!({
            "bytes": intake.used(),
            "max_bytes": intake.limits().bytes,
            "connections": intake.connections(),
            "max_connections": intake.limits().connections,
        })
    }

    /// Closes connections that exceed a time limit, for as long as the entry runs.
    pub(super) async fn check_times(self: Rc<Self>) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            let expired = self.intake.borrow().expired(clock::now());
            for (id, reason) in expired {
                self.end(id, reason);
            }
        }
    }

    /// Waits until there is room for another connection, and closes idle ones for it.
    pub(super) async fn wait_for_room(&self, spare: usize) {
        loop {
            let (open, limit) = {
                let intake = self.intake.borrow();
                (intake.connections(), intake.limits().connections + spare)
            };
            if open < limit {
                return;
            }
            let idle = self.intake.borrow().longest_idle(clock::now());
            if let Some(id) = idle {
                self.end(id, Reason::Connections);
            }
            // The task of a connection closes its descriptor.
            compio::time::sleep(ROOM_PAUSE).await;
        }
    }

    /// Closes connections whose bodies stand still, as the entry stops.
    pub(super) fn end_stalled_bodies(&self) {
        let stalled = self.intake.borrow().stalled_bodies(clock::now());
        for id in stalled {
            self.end(id, Reason::Body);
        }
    }

    fn end(&self, id: ConnectionId, reason: Reason) {
        let slot = self.slots.borrow().get(&id).cloned();
        let Some(slot) = slot.filter(|slot| !slot.closing.replace(true)) else {
            return;
        };
        self.metrics
            .increment(&format!("closed.{}", reason.as_str()));
        // The bytes are released now, so that no further connection is closed for them.
        self.intake.borrow_mut().close(id);
        if let Some(waker) = slot.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// Connection of a client; it is removed from its guard when the last clone is dropped.
#[derive(Debug)]
pub(super) struct Client {
    guard: Rc<Guard>,
    id: ConnectionId,
    slot: Rc<Slot>,
}

impl Client {
    pub(super) fn open(guard: &Rc<Guard>) -> Rc<Self> {
        let id = guard.intake.borrow_mut().open(clock::now());
        let slot = Rc::<Slot>::default();
        guard.slots.borrow_mut().insert(id, Rc::clone(&slot));
        Rc::new(Self {
            guard: Rc::clone(guard),
            id,
            slot,
        })
    }

    /// Completes when the connection has to be closed.
    pub(super) async fn closing(&self) {
        future::poll_fn(|cx| match self.slot.closing.get() {
            true => Poll::Ready(()),
            false => {
                *self.slot.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        })
        .await;
    }

    /// Returns whether the connection is given up.
    pub(super) fn is_closing(&self) -> bool {
        self.slot.closing.get()
    }

    pub(super) fn begin_body(&self) {
        let mut intake = self.guard.intake.borrow_mut();
        intake.begin_body(self.id, clock::now());
    }

    pub(super) fn begin_handling(&self) {
        let mut intake = self.guard.intake.borrow_mut();
        intake.begin_handling(self.id, clock::now());
    }

    pub(super) fn answer(&self, bytes: usize) {
        let mut intake = self.guard.intake.borrow_mut();
        intake.answer(self.id, bytes, clock::now());
    }

    /// Counts a body that is refused because of its size.
    pub(super) fn refuse_body(&self) {
        self.guard.metrics.increment("refused.body");
    }

    /// Charges bytes that were read, and closes other connections if they exceed the budget.
    fn charge(&self, bytes: usize) -> io::Result<()> {
        let guard = &self.guard;
        let chosen = guard.intake.borrow().make_room(bytes, clock::now());
        for id in chosen {
            guard.end(id, Reason::Bytes);
        }
        if self.is_closing() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let mut intake = guard.intake.borrow_mut();
        intake.charge(self.id, bytes, clock::now());
        Ok(())
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.guard.intake.borrow_mut().close(self.id);
        self.guard.slots.borrow_mut().remove(&self.id);
    }
}

/// Stream of a client, whose bytes are charged to the budget.
pub(super) struct ClientStream {
    io: HyperStream<TcpStream>,
    client: Rc<Client>,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, client: Rc<Client>) -> Self {
        Self {
            io: HyperStream::new_plain(stream),
            client,
        }
    }
}

impl Read for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let count = ready!(stream::poll_read(&mut self.io, cx, cursor))?;
        // Without new bytes nothing is closed for them.
        Poll::Ready(match count {
            0 => Ok(()),
            count => self.client.charge(count),
        })
    }
}

impl Write for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        let mut intake = self.client.guard.intake.borrow_mut();
        intake.sent(self.client.id, clock::now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
