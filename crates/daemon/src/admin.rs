//! The operators' HTTP port: `/healthz`, `/readyz` and `/status`.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;

pub use crate::plane::Counters;
pub use crate::plane::Member;
pub use crate::plane::Status;

/// Connections at the same time; further ones are closed.
const CONNECTIONS: usize = 64;

/// Time within which the header of a request has to arrive.
const HEADER: Duration = Duration::from_secs(5);

/// Time within which the control plane has to answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// Asks the control plane for its state.
pub(crate) type Ask = flume::Sender<Status>;

/// Serves operators until the control plane stops.
pub(crate) async fn serve(listener: TcpListener, asks: flume::Sender<Ask>) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Rc::strong_count(&open) > CONNECTIONS {
            continue;
        }
        let held = Rc::clone(&open);
        let asks = asks.clone();
        let task = async move {
            converse(stream, asks).await;
            drop(held);
        };
        compio::runtime::spawn(task).detach();
    }
}

async fn converse(stream: TcpStream, asks: flume::Sender<Ask>) {
    let service = service_fn(|request| {
        let method = request.method().clone();
        let path = path(&request);
        let asks = asks.clone();
        async move { Ok::<_, Infallible>(respond(&method, &path, &asks).await) }
    });
    // A failed connection is the operator's affair.
    let _ = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}

fn path<B>(request: &Request<B>) -> String {
    request.uri().path().to_owned()
}

async fn respond(method: &Method, path: &str, asks: &flume::Sender<Ask>) -> Response<Full<Bytes>> {
    if method != Method::GET && method != Method::HEAD {
        return answer(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    if !matches!(path, "/healthz" | "/readyz" | "/status") {
        return answer(StatusCode::NOT_FOUND, "");
    }
    let Some(status) = ask(asks).await else {
        return answer(
            StatusCode::SERVICE_UNAVAILABLE,
            "{\"reason\":\"no answer\"}",
        );
    };
    match path {
        "/healthz" => answer(StatusCode::OK, "{}"),
        "/readyz" => {
            let code = match status.ready {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            };
            let body = serde_json::json!({ "ready": status.ready, "reason": status.reason });
            answer(code, &body.to_string())
        }
        _ => {
            let body = serde_json::to_string(&status).unwrap_or_default();
            answer(StatusCode::OK, &body)
        }
    }
}

async fn ask(asks: &flume::Sender<Ask>) -> Option<Status> {
    let (reply, status) = flume::bounded(1);
    asks.try_send(reply).ok()?;
    let status = compio::time::timeout(PATIENCE, status.recv_async()).await;
    status.ok()?.ok()
}

fn answer(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_owned())));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}
