//! One connection to an upstream.

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
use crate::exchange::Sending;
use crate::flow::headers::LEAVING;
use crate::flow::headers::REQUEST_ID;
use crate::flow::headers::RUN;
use crate::stream;

/// Time without traffic after which the kernel probes a connection.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// Time without acknowledgement after which the kernel ends a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// One connection to an upstream; dropping it closes it.
pub(super) struct Link {
    target: Target,
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<Meter>,
    /// When the connection was last known to answer.
    pub(super) checked: Instant,
    /// Whether the last answer announced that the upstream is leaving.
    pub(super) leaving: bool,
    _task: JoinHandle<()>,
}

/// Traffic of one exchange.
#[derive(Debug)]
pub(super) struct Meter {
    written: Cell<u64>,
    read: Cell<u64>,
    progress: Cell<Instant>,
}

impl Meter {
    fn new() -> Self {
        Self {
            written: Cell::new(0),
            read: Cell::new(0),
            progress: Cell::new(Instant::now()),
        }
    }

    /// Returns whether no byte of the exchange was written.
    pub(super) fn untouched(&self) -> bool {
        self.written.get() == 0
    }

    /// Returns the time without progress.
    pub(super) fn quiet(&self) -> Duration {
        self.progress.get().elapsed()
    }

    /// Starts the count of the next exchange.
    pub(super) fn rest(&self) {
        self.written.set(0);
        self.read.set(0);
        self.progress.set(Instant::now());
    }

    fn add(&self, cell: &Cell<u64>, count: usize) {
        if count > 0 {
            cell.set(cell.get() + count as u64);
            self.progress.set(Instant::now());
        }
    }
}

impl Link {
    pub(super) async fn open(target: &Target) -> io::Result<Self> {
        let stream = TcpStream::connect(target.address).await?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE))?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let meter = Rc::new(Meter::new());
        let metered = Metered {
            io: HyperStream::new_plain(stream),
            meter: Rc::clone(&meter),
        };
        let (sender, connection) = http1::handshake(metered).await.map_err(io::Error::other)?;
        let task = compio::runtime::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            target: target.clone(),
            sender,
            meter,
            checked: Instant::now(),
            leaving: false,
            _task: task,
        })
    }

    pub(super) fn target(&self) -> &Target {
        &self.target
    }

    pub(super) fn meter(&self) -> Rc<Meter> {
        Rc::clone(&self.meter)
    }

    /// Returns whether the connection is open.
    pub(super) fn alive(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns whether the connection is open and leads to a target.
    pub(super) fn usable(&self, target: &Target) -> bool {
        self.alive() && self.target.address == target.address
    }

    /// Returns whether the connection can take an exchange.
    pub(super) fn ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Runs one exchange; after an error the connection must not be used again,
    /// except after [`ErrorKind::RefusedByUpstream`].
    pub(super) async fn run(
        &mut self,
        sending: Sending<'_>,
        limit: usize,
    ) -> Result<Response<Bytes>, ErrorKind> {
        self.meter.rest();
        let (mut parts, ()) = sending.request.into_parts();
        let host = self.target.address.to_string();
        if let Ok(host) = HeaderValue::from_str(&host) {
            parts.headers.insert(header::HOST, host);
        }
        let request = Request::from_parts(parts, Full::new(sending.body));
        let response = self.sender.send_request(request).await;
        let response = response.map_err(|error| self.lost(&error))?;
        let (parts, body) = response.into_parts();
        self.leaving = is(&parts.headers, &LEAVING, "true");
        if !is(&parts.headers, &REQUEST_ID, sending.id) {
            return Err(ErrorKind::AnswerMismatch);
        }
        let refused =
            parts.status == StatusCode::SERVICE_UNAVAILABLE && is(&parts.headers, &RUN, "not-run");
        let body = collect(body, limit).await?;
        if refused {
            return Err(ErrorKind::RefusedByUpstream);
        }
        Ok(Response::from_parts(parts, body))
    }

    /// Asks for the health path; returns whether the upstream answered.
    pub(super) async fn probe(&mut self) -> bool {
        let request = Request::builder()
            .method(Method::HEAD)
            .uri(self.target.health.as_str())
            .header(header::HOST, self.target.address.to_string())
            .body(Full::default());
        let Ok(request) = request else {
            return false;
        };
        let Ok(response) = self.sender.send_request(request).await else {
            return false;
        };
        self.leaving = is(response.headers(), &LEAVING, "true");
        true
    }

    fn lost(&self, error: &hyper::Error) -> ErrorKind {
        if error.is_parse() {
            ErrorKind::AnswerMismatch
        } else if self.meter.read.get() > 0 {
            ErrorKind::AnswerCutShort
        } else {
            ErrorKind::ConnectionLost
        }
    }
}

fn is(headers: &HeaderMap, name: &header::HeaderName, value: &str) -> bool {
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

/// Stream that counts its traffic.
struct Metered {
    io: HyperStream<TcpStream>,
    meter: Rc<Meter>,
}

impl Read for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let count = ready!(stream::poll_read(&mut self.io, cx, cursor))?;
        self.meter.add(&self.meter.read, count);
        Poll::Ready(Ok(()))
    }
}

impl Write for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.io).poll_write(cx, bytes))?;
        self.meter.add(&self.meter.written, count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, slices))?;
        self.meter.add(&self.meter.written, count);
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
