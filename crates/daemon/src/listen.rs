//! I/O threads, each with its own listener and callers' connections.

mod caller;
mod limits;
pub(crate) mod runtime;

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener as Socket;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use flume::Receiver;
use flume::Sender;
use futures_util::FutureExt;
use futures_util::future;
use futures_util::future::Either;
use hyper::Response;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use socket2::Domain;
use socket2::Protocol;
use socket2::Type;
use wigeonhinge::outcome::ErrorKind;

use crate::daemon::Phase;
use crate::dispatch::DispatchHandle;
use crate::dispatch::IoMessage;
use crate::exchange::ConnectionPool;
use crate::flow::RequestHandler;
use crate::listen::caller::AnswerBody;
use crate::listen::caller::CallerStream;
use crate::listen::caller::Progress;
use crate::listen::limits::ConnectionCounts;
use crate::report::Report;
use crate::settings::Limits;
use crate::settings::Settings;

/// Maximum number of established connections that wait to be accepted, per listener.
const BACKLOG: i32 = 1_024;
/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
const CLOSE: HeaderValue = HeaderValue::from_static("close");
/// Pause after an accept error such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time without a new connection after which a stopping listener closes.
const ACCEPT_DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time without a request after which a caller's connection is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for sending an answer to a caller.
pub(crate) const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Command to an I/O thread.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Command {
    /// Close the listener, finish every request, then exit.
    Finish,
    /// Exit at once and cut every connection.
    Abort,
    /// Block the thread for this long; for tests.
    Stall(Duration),
}

/// State and settings that all I/O threads of an entry share.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) limits: Limits,
    pub(crate) dispatcher: DispatchHandle,
    pub(crate) report: Report,
    phase: Phase,
    counts: Arc<ConnectionCounts>,
    threads: usize,
}

impl Shared {
    pub(crate) fn new(
        settings: &Settings,
        phase: Phase,
        dispatcher: DispatchHandle,
        report: Report,
    ) -> Self {
        Self {
            limits: settings.limits,
            phase,
            dispatcher,
            counts: Arc::new(ConnectionCounts::new(settings.limits)),
            threads: settings.threads,
            report,
        }
    }
}

/// Handle of a running I/O thread.
#[derive(Debug)]
pub(crate) struct Thread {
    commands: Sender<Command>,
    handle: JoinHandle<()>,
}

impl Thread {
    pub(crate) fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    pub(crate) fn join(self) {
        let _ = self.handle.join();
    }
}

/// Binds one listener for each I/O thread to the same address (`SO_REUSEPORT`).
pub(crate) fn bind(address: SocketAddr, threads: usize) -> io::Result<Vec<Socket>> {
    let first = bind_listener(address)?;
    let address = first.local_addr()?;
    let mut sockets = vec![first];
    for _ in 1..threads {
        sockets.push(bind_listener(address)?);
    }
    Ok(sockets)
}

fn bind_listener(address: SocketAddr) -> io::Result<Socket> {
    let socket = socket2::Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Starts an I/O thread.
pub(crate) fn spawn(
    index: usize,
    socket: Socket,
    messages: Receiver<IoMessage>,
    shared: Shared,
) -> io::Result<Thread> {
    let (commands, inbox) = flume::unbounded();
    let handle = thread::Builder::new()
        .name(format!("io-{index}"))
        .spawn(move || {
            let runtime = runtime::build().expect("cannot create the poller of an I/O thread");
            runtime::block_on(&runtime, run(index, socket, messages, shared, inbox));
        })?;
    Ok(Thread { commands, handle })
}

async fn run(
    index: usize,
    socket: Socket,
    messages: Receiver<IoMessage>,
    shared: Shared,
    commands: Receiver<Command>,
) {
    let Ok(listener) = TcpListener::from_std(socket) else {
        return;
    };
    let pool = ConnectionPool::new(
        shared.dispatcher.clone(),
        shared.limits.answer_bytes,
        shared.threads,
    );
    let _probes = compio::runtime::spawn(Rc::clone(&pool).run_probes());
    let handler = RequestHandler::new(index, pool, &shared);
    let _deliveries = compio::runtime::spawn(Rc::clone(&handler).deliver_messages(messages));
    let (finish, finished) = flume::bounded(0);
    let server = Rc::new(Server {
        handler,
        shared,
        finished,
        open: Cell::new(0),
    });
    let mut accept = Box::pin(accept(listener.clone()));
    loop {
        match future::select(accept.as_mut(), commands.recv_async()).await {
            Either::Left((result, _)) => {
                server.handle_accepted(result).await;
                accept.set(self::accept(listener.clone()));
            }
            Either::Right((Ok(Command::Stall(time)), _)) => thread::sleep(time),
            Either::Right((Ok(Command::Finish), _)) => break,
            Either::Right((Ok(Command::Abort) | Err(_), _)) => return,
        }
    }
    while let Ok(result) = compio::time::timeout(ACCEPT_DRAIN_TIMEOUT, accept.as_mut()).await {
        server.handle_accepted(result).await;
        accept.set(self::accept(listener.clone()));
    }
    drop(accept);
    drop(listener);
    drop(finish);
    while server.open.get() > 0 {
        compio::time::sleep(FINISH_POLL_INTERVAL).await;
    }
}

async fn accept(listener: TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    listener.accept().await
}

/// Serves the callers of one I/O thread.
struct Server {
    handler: Rc<RequestHandler>,
    shared: Shared,
    /// Disconnected when the connections have to finish.
    finished: Receiver<()>,
    /// Number of open connections.
    open: Cell<usize>,
}

impl Server {
    async fn handle_accepted(self: &Rc<Self>, result: io::Result<(TcpStream, SocketAddr)>) {
        let Ok((stream, address)) = result else {
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            return;
        };
        let _ = stream.set_nodelay(true);
        self.open.set(self.open.get() + 1);
        let server = Rc::clone(self);
        compio::runtime::spawn(async move {
            server.serve_connection(stream, address.ip()).await;
            server.open.set(server.open.get() - 1);
        })
        .detach();
    }

    async fn serve_connection(&self, stream: TcpStream, caller: IpAddr) {
        let progress = Rc::new(Progress::new());
        let mut stream = CallerStream::new(HyperStream::new_plain(stream), Rc::clone(&progress));
        let Some(permit) = self.shared.counts.try_acquire(caller) else {
            self.shared.report.connection_refused();
            stream.refuse(ErrorKind::TooManyConnections);
            return stream.close().await;
        };
        self.shared.report.connections_open(permit.total);
        let service = service_fn(|request| {
            let began = progress.headers_received();
            let progress = Rc::clone(&progress);
            async move {
                let answer = self.handler.serve(request, caller, began).await;
                Ok::<_, Infallible>(self.finish_answer(answer, progress))
            }
            .boxed_local()
        });
        let limits = self.shared.limits;
        let mut connection = http1::Builder::new()
            .timer(CompioTimer)
            .header_read_timeout(None)
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .max_header_size(limits.header_bytes)
            .serve_connection(stream, service);
        let mut timed_out = Box::pin(progress.timed_out(limits.receive_timeout));
        let mut finish = Some(Box::pin(self.finished.recv_async()));
        let ended = future::poll_fn(|cx| {
            let finishing = finish
                .as_mut()
                .is_some_and(|finish| finish.poll_unpin(cx).is_ready());
            if finishing {
                finish = None;
                Pin::new(&mut connection).graceful_shutdown();
            }
            if connection.poll_unpin(cx).is_ready() {
                return Poll::Ready(true);
            }
            timed_out.poll_unpin(cx).map(|()| false)
        })
        .await;
        if !ended && progress.receiving() {
            let mut stream = connection.into_parts().io;
            stream.refuse(ErrorKind::SlowSender);
            stream.close().await;
        }
    }

    /// Wraps an answer for hyper; closes the connection after it if the entry is draining.
    fn finish_answer(
        &self,
        answer: Response<Bytes>,
        progress: Rc<Progress>,
    ) -> Response<AnswerBody> {
        let (mut parts, bytes) = answer.into_parts();
        if self.shared.phase.draining() {
            parts.headers.insert(CONNECTION, CLOSE);
        }
        Response::from_parts(parts, AnswerBody::new(bytes, progress))
    }
}
