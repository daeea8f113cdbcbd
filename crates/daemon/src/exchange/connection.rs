//! An HTTP/1.1 connection to an upstream.

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
use bytes::BytesMut;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use socket2::SockRef;
use socket2::TcpKeepalive;
use wigeonhinge::outcome::ErrorKind;

use crate::dispatch::Target;
use crate::exchange::OutgoingRequest;
use crate::flow::headers::LEAVING;
use crate::flow::headers::REQUEST_ID;
use crate::flow::headers::RUN;
use crate::stream;

/// Time without traffic after which the kernel sends keep-alive probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Time that sent data may stay unacknowledged before the kernel closes a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Connection to an upstream; closed on drop.
pub(super) struct Connection {
    target: Target,
    sender: SendRequest<Full<Bytes>>,
    traffic: Rc<Traffic>,
    /// When the last exchange or probe on the connection succeeded.
    pub(super) checked: Instant,
    /// Whether the last response carried the leaving header.
    pub(super) leaving: bool,
    _task: JoinHandle<()>,
}

/// Bytes of the current exchange, and when the last of them were sent or received.
#[derive(Debug)]
pub(super) struct Traffic {
    written: Cell<u64>,
    read: Cell<u64>,
    last_progress: Cell<Instant>,
}

impl Traffic {
    fn new() -> Self {
        Self {
            written: Cell::new(0),
            read: Cell::new(0),
            last_progress: Cell::new(Instant::now()),
        }
    }

    pub(super) fn nothing_written(&self) -> bool {
        self.written.get() == 0
    }

    /// Returns the time since bytes were last sent or received.
    pub(super) fn idle_time(&self) -> Duration {
        self.last_progress.get().elapsed()
    }

    /// Resets the counts for the next exchange.
    pub(super) fn reset(&self) {
        self.written.set(0);
        self.read.set(0);
        self.last_progress.set(Instant::now());
    }

    fn add(&self, cell: &Cell<u64>, count: usize) {
        if count > 0 {
            cell.set(cell.get() + count as u64);
            self.last_progress.set(Instant::now());
        }
    }
}

impl Connection {
    pub(super) async fn open(target: &Target) -> io::Result<Self> {
        let stream = TcpStream::connect(target.address).await?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_TIME))?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let traffic = Rc::new(Traffic::new());
        let counted = CountedStream {
            io: HyperStream::new_plain(stream),
            traffic: Rc::clone(&traffic),
        };
        let (sender, driver) = http1::handshake(counted).await.map_err(io::Error::other)?;
        let task = compio::runtime::spawn(async move {
            let _ = driver.await;
        });
        Ok(Self {
            target: target.clone(),
            sender,
            traffic,
            checked: Instant::now(),
            leaving: false,
            _task: task,
        })
    }

    pub(super) fn target(&self) -> &Target {
        &self.target
    }

    pub(super) fn traffic(&self) -> Rc<Traffic> {
        Rc::clone(&self.traffic)
    }

    /// Returns whether the connection is open.
    pub(super) fn alive(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns whether the connection is open and leads to the current address of the target.
    pub(super) fn usable(&self, target: &Target) -> bool {
        self.alive() && self.target.address == target.address
    }

    /// Returns whether no exchange is in progress.
    pub(super) fn ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Runs one exchange; `limit` is the most bytes of a response body.
    ///
    /// After an error the connection must not be reused, except after
    /// [`ErrorKind::RefusedByUpstream`], which follows a complete response.
    pub(super) async fn run(
        &mut self,
        outgoing: OutgoingRequest<'_>,
        limit: usize,
    ) -> Result<Response<Bytes>, ErrorKind> {
        self.traffic.reset();
        let (mut parts, ()) = outgoing.request.into_parts();
        let host = self.target.address.to_string();
        if let Ok(host) = HeaderValue::from_str(&host) {
            parts.headers.insert(header::HOST, host);
        }
        let request = Request::from_parts(parts, Full::new(outgoing.body));
        let response = self.sender.send_request(request).await;
        let response = response.map_err(|error| self.send_error_kind(&error))?;
        let (parts, body) = response.into_parts();
        self.leaving = has_only_value(&parts.headers, &LEAVING, "true");
        if !has_only_value(&parts.headers, &REQUEST_ID, outgoing.id) {
            return Err(ErrorKind::AnswerMismatch);
        }
        let refused = parts.status == StatusCode::SERVICE_UNAVAILABLE
            && has_only_value(&parts.headers, &RUN, "not-run");
        let body = collect(body, limit).await?;
        if refused {
            return Err(ErrorKind::RefusedByUpstream);
        }
        Ok(Response::from_parts(parts, body))
    }

    /// Sends a `HEAD` request for the health path; returns whether any response arrived.
    pub(super) async fn probe(&mut self) -> bool {
        let request = Request::builder()
            .method(Method::HEAD)
            .uri(self.target.health_path.as_str())
            .header(header::HOST, self.target.address.to_string())
            .body(Full::default());
        let Ok(request) = request else {
            return false;
        };
        let Ok(response) = self.sender.send_request(request).await else {
            return false;
        };
        self.leaving = has_only_value(response.headers(), &LEAVING, "true");
        true
    }

    fn send_error_kind(&self, error: &hyper::Error) -> ErrorKind {
        if error.is_parse() {
            ErrorKind::AnswerMismatch
        } else if self.traffic.read.get() > 0 {
            ErrorKind::AnswerCutShort
        } else {
            ErrorKind::ConnectionLost
        }
    }
}

/// Returns whether a header occurs exactly once and has this value.
fn has_only_value(headers: &HeaderMap, name: &header::HeaderName, value: &str) -> bool {
    let mut values = headers.get_all(name).iter();
    let first = values.next().is_some_and(|first| first == value);
    first && values.next().is_none()
}

async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, ErrorKind> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ErrorKind::AnswerCutShort)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(ErrorKind::AnswerTooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Stream that counts the bytes read and written.
struct CountedStream {
    io: HyperStream<TcpStream>,
    traffic: Rc<Traffic>,
}

impl Read for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let count = ready!(stream::poll_read(&mut self.io, cx, cursor))?;
        self.traffic.add(&self.traffic.read, count);
        Poll::Ready(Ok(()))
    }
}

impl Write for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.io).poll_write(cx, bytes))?;
        self.traffic.add(&self.traffic.written, count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, slices))?;
        self.traffic.add(&self.traffic.written, count);
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
