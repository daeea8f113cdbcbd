//! Stream of a caller's connection, with the error answers that hyper does not provide.
//!
//! hyper answers malformed requests by itself, without the headers that
//! describe the error kind. The stream replaces these answers. After shutdown
//! it reads on for a while: closing a socket with unread bytes would reset the
//! connection, and the caller could lose the last answer.

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

use crate::listen::IDLE_TIMEOUT;
use crate::listen::SEND_TIMEOUT;
use crate::stream;
use crate::stream::READ_BUFFER_BYTES;

/// Time for which the stream reads and discards input after shutdown.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Progress of the current request on a caller's connection.
#[derive(Debug)]
pub(super) struct Progress {
    stage: Cell<Stage>,
    /// Start of the current stage.
    since: Cell<Instant>,
    /// Arrival of the first byte of the request that is being received.
    began: Cell<Option<Instant>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// No request, or a request whose headers are being received.
    Idle,
    /// The service is processing a request.
    Processing,
    /// hyper has the answer and has not flushed it yet.
    Answered,
}

impl Progress {
    pub(super) fn new() -> Self {
        Self {
            stage: Cell::new(Stage::Idle),
            since: Cell::new(Instant::now()),
            began: Cell::new(None),
        }
    }

    /// Records that the headers are complete; returns the arrival time of their first byte.
    pub(super) fn headers_received(&self) -> Instant {
        self.enter(Stage::Processing);
        self.began.take().unwrap_or_else(Instant::now)
    }

    /// Returns whether a request has arrived in part.
    pub(super) fn receiving(&self) -> bool {
        self.stage.get() == Stage::Idle && self.began.get().is_some()
    }

    /// Completes when the caller exceeds the time limit of the current stage.
    ///
    /// `receive` limits the time for receiving the headers of a request; the
    /// stage in which the service processes the request has no limit here.
    pub(super) async fn timed_out(&self, receive: Duration) {
        loop {
            let due = match (self.stage.get(), self.began.get()) {
                (Stage::Idle, Some(began)) => began + receive,
                (Stage::Idle, None) => self.since.get() + IDLE_TIMEOUT,
                (Stage::Processing, _) => Instant::now() + receive,
                (Stage::Answered, _) => self.since.get() + SEND_TIMEOUT,
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

    fn bytes_received(&self) {
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

/// Body of an answer; when hyper drops it, the connection enters [`Stage::Answered`].
#[derive(Debug)]
pub(super) struct AnswerBody {
    bytes: Option<Bytes>,
    size: u64,
    progress: Rc<Progress>,
}

impl AnswerBody {
    pub(super) fn new(bytes: Bytes, progress: Rc<Progress>) -> Self {
        let size = bytes.len() as u64;
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self {
            bytes,
            size,
            progress,
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.progress.enter(Stage::Answered);
    }
}

impl Body for AnswerBody {
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

/// Stream of a caller's connection, on which hyper reads and writes.
pub(super) struct CallerStream {
    io: HyperStream<TcpStream>,
    progress: Rc<Progress>,
    /// Rest of the error answer that is still to be written.
    error_answer: Bytes,
    /// Whether an error answer was given; the output of hyper is discarded from then on.
    refused: bool,
    linger: Option<LocalBoxFuture<'static, ()>>,
}

impl CallerStream {
    pub(super) fn new(io: HyperStream<TcpStream>, progress: Rc<Progress>) -> Self {
        Self {
            io,
            progress,
            error_answer: Bytes::new(),
            refused: false,
            linger: None,
        }
    }

    /// Queues an error answer and discards everything that hyper writes afterwards.
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
        self.error_answer = Bytes::from(text);
        self.refused = true;
    }

    /// Writes the rest of the error answer, then shuts the connection down.
    pub(super) async fn close(mut self) {
        let _ = future::poll_fn(|cx| Pin::new(&mut self).poll_shutdown(cx)).await;
    }

    fn poll_error_answer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.error_answer.is_empty() {
            let count = ready!(Pin::new(&mut self.io).poll_write(cx, &self.error_answer))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            let _ = self.error_answer.split_to(count);
        }
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let linger = self
            .linger
            .get_or_insert_with(|| compio::time::sleep(LINGER_TIMEOUT).boxed_local());
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

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let count = ready!(stream::poll_read(&mut self.io, cx, cursor))?;
        if count > 0 {
            self.progress.bytes_received();
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.refused {
            return Poll::Ready(Ok(bytes.len()));
        }
        // Without a request at the service, this is an error answer of hyper.
        if self.progress.stage.get() == Stage::Idle {
            self.refuse(hyper_error_kind(bytes));
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_error_answer(cx))?;
        self.progress.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(self.poll_error_answer(cx))?;
            ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
        }
        self.poll_linger(cx)
    }
}

/// Returns the error kind for an answer that hyper generated itself, from its status.
fn hyper_error_kind(bytes: &[u8]) -> ErrorKind {
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
