//! Connections of the platform, and its faults.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::Runtime;
use compio::time::sleep;
use cyper_core::HyperStream;
use futures_util::FutureExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use super::Mode;
use super::Shared;
use super::lock;
use super::route;
use super::route::Call;

/// Bytes of a request's body that are read.
const BODY_BYTES: usize = 4 << 20;

/// Period of leases, reboots and pending watches.
const TICK: Duration = Duration::from_millis(10);

/// Header that names the entry that calls.
const CALLER: &str = "wigeonhinge-entry";

pub(super) fn run(
    shared: Shared,
    ready: &flume::Sender<io::Result<SocketAddr>>,
    stopped: &flume::Receiver<()>,
) {
    let served = Runtime::new().map(|runtime| {
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            // The starter has gone if nobody receives the address.
            let _ = ready.send(listener.local_addr());
            futures_util::select! {
                () = accept(&listener, &shared).fuse() => {}
                () = tick(&shared).fuse() => {}
                _ = stopped.recv_async().fuse() => {}
            }
            io::Result::Ok(())
        })
    });
    if let Err(error) = served.and_then(|served| served) {
        let _ = ready.send(Err(error));
    }
}

async fn tick(shared: &Shared) {
    loop {
        sleep(TICK).await;
        lock(shared).tick();
    }
}

async fn accept(listener: &TcpListener, shared: &Shared) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            compio::runtime::spawn(serve(stream, Arc::clone(shared))).detach();
        }
    }
}

async fn serve(stream: TcpStream, shared: Shared) {
    let service = service_fn(|request| handle(request, Arc::clone(&shared)));
    // A failed connection is the caller's affair.
    let _ = http1::Builder::new()
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}

async fn handle(request: Request<Incoming>, shared: Shared) -> io::Result<Response<Full<Bytes>>> {
    let caller = request.headers().get(CALLER);
    let caller = caller.and_then(|value| value.to_str().ok());
    let caller = caller.unwrap_or_default().to_owned();
    let (head, body) = request.into_parts();
    let body = Limited::new(body, BODY_BYTES).collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let call = Call::new(&head.method, &head.uri, body);
    lock(&shared).count(call.kind);
    // Runs to its end also if the caller closes the connection in the meantime.
    let (sender, receiver) = flume::bounded(1);
    let work = async move {
        // The caller has gone if nobody receives the answer.
        let _ = sender.send(act(&call, &caller, &shared).await);
    };
    compio::runtime::spawn(work).detach();
    receiver.recv_async().await.map_err(io::Error::other)?
}

async fn act(call: &Call, caller: &str, shared: &Shared) -> io::Result<Response<Full<Bytes>>> {
    let slow = lock(shared).slow;
    if !slow.is_zero() {
        sleep(slow).await;
    }
    let end = std::time::Instant::now() + call.wait();
    loop {
        if reach(caller, shared).await {
            return Err(io::Error::other("the platform is down"));
        }
        let over = std::time::Instant::now() >= end;
        if let Some(response) = respond(call, over, shared)? {
            return Ok(response);
        }
        sleep(TICK).await;
    }
}

/// Waits while the caller is cut off; `true` if the call has to fail.
async fn reach(caller: &str, shared: &Shared) -> bool {
    let mut waited = false;
    loop {
        let (mode, cut) = {
            let state = lock(shared);
            (state.mode, state.cut.contains(caller))
        };
        match mode {
            Mode::Down => return true,
            Mode::Up if !cut => return waited,
            Mode::Up | Mode::Hang => waited = true,
        }
        sleep(TICK).await;
    }
}

fn respond(call: &Call, over: bool, shared: &Shared) -> io::Result<Option<Response<Full<Bytes>>>> {
    let mut state = lock(shared);
    let Some((status, body)) = route::respond(&mut state, call, over) else {
        return Ok(None);
    };
    if call.writes() && state.lose_answers > 0 {
        state.lose_answers -= 1;
        return Err(io::Error::other("the answer is lost"));
    }
    drop(state);
    let body = body.map_or_else(Bytes::new, |body| Bytes::from(body.to_string()));
    let response = Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Full::new(body));
    response.map(Some).map_err(io::Error::other)
}
