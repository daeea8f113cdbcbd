//! Stream of a caller's connection, with the answers that hyper cannot give.
//!
//! hyper answers malformed requests by itself, without the headers of the
//! table of error kinds. The guard replaces these answers. It also lingers on
//! shutdown: closing a socket with unread bytes would reset the connection
//! and lose the last answer.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::FutureExt;
use futures_util::future;
use futures_util::future::LocalBoxFuture;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use wigeonhinge::outcome::ErrorKind;

use crate::listen::IDLE;
use crate::listen::SEND;
use crate::stream;
use crate::stream::READ_BUFFER_BYTES;

/// Time for which a closed connection is read from.
const LINGER: Duration = Duration::from_millis(500);

/// Progress of the exchange on a caller's connection.
#[derive(Debug)]
pub(super) struct Watch {
    stage: Cell<Stage>,
    /// Start of the present stage.
    since: Cell<Instant>,
    /// First byte of the request that is arriving.
    began: Cell<Option<Instant>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// No request, or a request whose headers are arriving.
    Idle,
    /// A request is with the service.
    Called,
    /// The answer is with hyper and not yet on the wire.
    Answered,
}

impl Watch {
    pub(super) fn new() -> Self {
        Self {
            stage: Cell::new(Stage::Idle),
            since: Cell::new(Instant::now()),
            began: Cell::new(None),
        }
    }

    /// Notes that the headers have arrived; returns when their first byte did.
    pub(super) fn call(&self) -> Instant {
        self.enter(Stage::Called);
        self.began.take().unwrap_or_else(Instant::now)
    }

    /// Returns whether part of a request has arrived.
    pub(super) fn receiving(&self) -> bool {
        self.stage.get() == Stage::Idle && self.began.get().is_some()
    }

    /// Completes once the caller has been too slow for the present stage.
    pub(super) async fn overdue(&self, receive: Duration) {
        loop {
            let due = match (self.stage.get(), self.began.get()) {
                (Stage::Idle, Some(began)) => began + receive,
                (Stage::Idle, None) => self.since.get() + IDLE,
                (Stage::Called, _) => Instant::now() + receive,
                (Stage::Answered, _) => self.since.get() + SEND,
            };
            let now = Instant::now();
            if due <= now {
                return;
            }
            compio::time::sleep((due - now).min(receive / 2)).await;
        }
    }

    fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
    }

    fn read(&self) {
        if self.stage.get() == Stage::Idle && self.began.get().is_none() {
            self.began.set(Some(Instant::now()));
        }
    }

    fn flushed(&self) {
        if self.stage.get() == Stage::Answered {
            self.enter(Stage::Idle);
        }
    }
}

/// Body of an answer that tells the watch when hyper has taken it.
#[derive(Debug)]
pub(super) struct Sealed {
    bytes: Option<Bytes>,
    size: u64,
    watch: Rc<Watch>,
}

impl Sealed {
    pub(super) fn new(bytes: Bytes, watch: Rc<Watch>) -> Self {
        let size = bytes.len() as u64;
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self { bytes, size, watch }
    }
}

impl Drop for Sealed {
    fn drop(&mut self) {
        self.watch.enter(Stage::Answered);
    }
}

impl Body for Sealed {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Ready(self.bytes.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.size)
    }
}

/// Stream of a caller's connection.
pub(super) struct Guard {
    io: HyperStream<TcpStream>,
    watch: Rc<Watch>,
    /// Own answer that is still to be written.
    own: Bytes,
    refused: bool,
    linger: Option<LocalBoxFuture<'static, ()>>,
}

impl Guard {
    pub(super) fn new(io: HyperStream<TcpStream>, watch: Rc<Watch>) -> Self {
        Self {
            io,
            watch,
            own: Bytes::new(),
            refused: false,
            linger: None,
        }
    }

    /// Answers with an error; nothing else is written afterwards.
    pub(super) fn refuse(&mut self, kind: ErrorKind) {
        let answer = kind.response();
        let text = format!(
            "HTTP/1.1 {} {}\r\n\
             connection: close\r\n\
             content-length: 0\r\n\
             wigeonhinge-kind: {}\r\n\
             wigeonhinge-retry: {}\r\n\
             wigeonhinge-run: {}\r\n\r\n",
            answer.status,
            reason(answer.status),
            answer.name,
            answer.retry.as_str(),
            answer.run.as_str(),
        );
        self.own = Bytes::from(text);
        self.refused = true;
    }

    /// Writes what is left, then closes.
    pub(super) async fn close(mut self) {
        let _ = future::poll_fn(|cx| Pin::new(&mut self).poll_shutdown(cx)).await;
    }

    fn poll_own(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.own.is_empty() {
            let count = ready!(Pin::new(&mut self.io).poll_write(cx, &self.own))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            let _ = self.own.split_to(count);
        }
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let linger = self
            .linger
            .get_or_insert_with(|| compio::time::sleep(LINGER).boxed_local());
        if linger.poll_unpin(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            let mut scratch = [0; READ_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut self.io).poll_read(cx, buffer.unfilled()))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl Read for Guard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let count = ready!(stream::poll_read(&mut self.io, cx, cursor))?;
        if count > 0 {
            self.watch.read();
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Guard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.refused {
            return Poll::Ready(Ok(bytes.len()));
        }
        if self.watch.stage.get() == Stage::Idle {
            self.refuse(kind(bytes));
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_own(cx))?;
        self.watch.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(self.poll_own(cx))?;
            ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
        }
        self.poll_linger(cx)
    }
}

/// Returns the error kind of an answer that hyper wrote by itself.
fn kind(bytes: &[u8]) -> ErrorKind {
    match bytes.get(9..12) {
        Some(b"431" | b"414") => ErrorKind::HeaderTooLarge,
        _ => ErrorKind::BadRequest,
    }
}

fn reason(status: u16) -> &'static str {
    hyper::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Error")
}
