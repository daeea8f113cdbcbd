//! Listeners and callers' connections, one set for each I/O thread.

mod guard;
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
use crate::listen::guard::Guard;
use crate::listen::guard::Sealed;
use crate::listen::guard::Watch;
use crate::listen::limits::Counts;
use crate::report::Report;
use crate::settings::Limits;
use crate::settings::Settings;

const BACKLOG: i32 = 1_024;
/// Smallest buffer that hyper accepts.
const MIN_BUFFER: usize = 8_192;
const CLOSE: HeaderValue = HeaderValue::from_static("close");
/// Pause after an accept error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time without a new connection after which a stopping listener closes.
const LAST_ACCEPT: Duration = Duration::from_millis(20);
const FINISH_POLL: Duration = Duration::from_millis(5);
/// Time for which a caller's connection may stay without a request.
pub(crate) const IDLE: Duration = Duration::from_secs(60);
/// Time within which a caller has to read its answer.
pub(crate) const SEND: Duration = Duration::from_secs(30);

/// Order to an I/O thread.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Order {
    /// Close the listener, finish every request, then end.
    Finish,
    /// End at once.
    Abort,
    /// Block the thread for a while.
    Stall(Duration),
}

/// What the I/O threads of an entry share.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) limits: Limits,
    pub(crate) dispatcher: DispatchHandle,
    pub(crate) report: Report,
    phase: Phase,
    counts: Arc<Counts>,
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
            counts: Arc::new(Counts::new(settings.limits)),
            threads: settings.threads,
            report,
        }
    }
}

/// A running I/O thread.
#[derive(Debug)]
pub(crate) struct Thread {
    orders: Sender<Order>,
    handle: JoinHandle<()>,
}

impl Thread {
    pub(crate) fn order(&self, order: Order) {
        let _ = self.orders.send(order);
    }

    pub(crate) fn join(self) {
        let _ = self.handle.join();
    }
}

/// Binds one listener for each I/O thread to the same address.
pub(crate) fn bind(address: SocketAddr, threads: usize) -> io::Result<Vec<Socket>> {
    let first = listener(address)?;
    let address = first.local_addr()?;
    let mut sockets = vec![first];
    for _ in 1..threads {
        sockets.push(listener(address)?);
    }
    Ok(sockets)
}

fn listener(address: SocketAddr) -> io::Result<Socket> {
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
    let (orders, inbox) = flume::unbounded();
    let handle = thread::Builder::new()
        .name(format!("io-{index}"))
        .spawn(move || {
            let runtime = runtime::build().expect("a runtime needs a poller only");
            runtime::block_on(&runtime, run(index, socket, messages, shared, inbox));
        })?;
    Ok(Thread { orders, handle })
}

async fn run(
    index: usize,
    socket: Socket,
    messages: Receiver<IoMessage>,
    shared: Shared,
    orders: Receiver<Order>,
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
        match future::select(accept.as_mut(), orders.recv_async()).await {
            Either::Left((result, _)) => {
                server.welcome(result).await;
                accept.set(self::accept(listener.clone()));
            }
            Either::Right((Ok(Order::Stall(time)), _)) => thread::sleep(time),
            Either::Right((Ok(Order::Finish), _)) => break,
            Either::Right((Ok(Order::Abort) | Err(_), _)) => return,
        }
    }
    while let Ok(result) = compio::time::timeout(LAST_ACCEPT, accept.as_mut()).await {
        server.welcome(result).await;
        accept.set(self::accept(listener.clone()));
    }
    drop(accept);
    drop(listener);
    drop(finish);
    while server.open.get() > 0 {
        compio::time::sleep(FINISH_POLL).await;
    }
}

async fn accept(listener: TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    listener.accept().await
}

/// Serves callers on one I/O thread.
struct Server {
    handler: Rc<RequestHandler>,
    shared: Shared,
    /// Disconnected once connections have to finish.
    finished: Receiver<()>,
    open: Cell<usize>,
}

impl Server {
    async fn welcome(self: &Rc<Self>, result: io::Result<(TcpStream, SocketAddr)>) {
        let Ok((stream, address)) = result else {
            compio::time::sleep(ACCEPT_PAUSE).await;
            return;
        };
        let _ = stream.set_nodelay(true);
        self.open.set(self.open.get() + 1);
        let server = Rc::clone(self);
        compio::runtime::spawn(async move {
            server.connection(stream, address.ip()).await;
            server.open.set(server.open.get() - 1);
        })
        .detach();
    }

    async fn connection(&self, stream: TcpStream, caller: IpAddr) {
        let watch = Rc::new(Watch::new());
        let mut guard = Guard::new(HyperStream::new_plain(stream), Rc::clone(&watch));
        let Some(permit) = self.shared.counts.admit(caller) else {
            self.shared.report.connection_refused();
            guard.refuse(ErrorKind::TooManyConnections);
            return guard.close().await;
        };
        self.shared.report.connections_open(permit.total);
        let service = service_fn(|request| {
            let began = watch.call();
            let watch = Rc::clone(&watch);
            async move {
                let answer = self.handler.serve(request, caller, began).await;
                Ok::<_, Infallible>(self.seal(answer, watch))
            }
            .boxed_local()
        });
        let limits = self.shared.limits;
        let mut connection = http1::Builder::new()
            .timer(CompioTimer)
            .header_read_timeout(None)
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER))
            .max_header_size(limits.header_bytes)
            .serve_connection(guard, service);
        let mut late = Box::pin(watch.overdue(limits.receive_timeout));
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
            late.poll_unpin(cx).map(|()| false)
        })
        .await;
        if !ended && watch.receiving() {
            let mut guard = connection.into_parts().io;
            guard.refuse(ErrorKind::SlowSender);
            guard.close().await;
        }
    }

    fn seal(&self, answer: Response<Bytes>, watch: Rc<Watch>) -> Response<Sealed> {
        let (mut parts, bytes) = answer.into_parts();
        if self.shared.phase.draining() {
            parts.headers.insert(CONNECTION, CLOSE);
        }
        Response::from_parts(parts, Sealed::new(bytes, watch))
    }
}
