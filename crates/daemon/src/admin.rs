//! The operators' HTTP port: `/healthz`, `/readyz`, `/status` and `/jobs/`.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use wigeonhinge::id::PoolId;
use wigeonhinge_schema::jobs::Job;

use crate::plane::JobAnswer;
use crate::plane::JobRequest;

pub use crate::plane::Counters;
pub use crate::plane::Member;
pub use crate::plane::Status;

/// Connections at the same time; further ones are closed.
const CONNECTIONS: usize = 64;

/// Time within which the header of a request has to arrive.
const HEADER: Duration = Duration::from_secs(5);

/// Time within which the control plane has to answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// Time within which a submitter of jobs gets an answer.
const JOB_PATIENCE: Duration = Duration::from_secs(5);

/// Bytes of a submitted job.
const JOB_BYTES: usize = 64 * 1024;

/// JobQuery to the control plane.
#[derive(Debug)]
pub(crate) enum Query {
    /// Its state.
    Status(flume::Sender<Status>),
    /// A question of a submitter of jobs.
    Job(JobQuery),
}

/// JobQuery of a submitter of jobs.
#[derive(Debug)]
pub(crate) struct JobQuery {
    pub(crate) pool: PoolId,
    pub(crate) request: JobRequest,
    pub(crate) reply: flume::Sender<JobAnswer>,
}

/// Serves operators until the control plane stops.
pub(crate) async fn serve(listener: TcpListener, asks: flume::Sender<Query>) {
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

async fn converse(stream: TcpStream, asks: flume::Sender<Query>) {
    let service = service_fn(|request| {
        let asks = asks.clone();
        async move { Ok::<_, Infallible>(respond(request, &asks).await) }
    });
    // A failed connection is the operator's affair.
    let _ = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}

async fn respond(request: Request<Incoming>, asks: &flume::Sender<Query>) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    match path.strip_prefix("/jobs/") {
        Some(rest) => job(&parts.method, rest, body, asks).await,
        None => state(&parts.method, path, asks).await,
    }
}

/// Answers `POST /jobs/{pool}`, and `GET` and `DELETE /jobs/{pool}/{job}`.
async fn job(
    method: &Method,
    path: &str,
    body: Incoming,
    asks: &flume::Sender<Query>,
) -> Response<Full<Bytes>> {
    let target = match (method, path.split_once('/')) {
        (&Method::POST, None) => match read(body).await {
            Ok(job) => (path, JobRequest::Submit(Box::new(job))),
            Err(reason) => return answer(StatusCode::BAD_REQUEST, &reason),
        },
        (&Method::GET, Some((pool, job))) => (pool, JobRequest::Show(job.into())),
        (&Method::DELETE, Some((pool, job))) => (pool, JobRequest::Cancel(job.into())),
        _ => return answer(StatusCode::METHOD_NOT_ALLOWED, ""),
    };
    let (reply, replied) = flume::bounded(1);
    let question = JobQuery {
        pool: target.0.into(),
        request: target.1,
        reply,
    };
    let unknown = JobAnswer {
        state: "unknown".into(),
        reason: "no answer in time; ask again with the same identifier".into(),
    };
    let given = match asks.try_send(Query::Job(question)) {
        Ok(()) => compio::time::timeout(JOB_PATIENCE, replied.recv_async()).await,
        Err(_) => return answer(StatusCode::SERVICE_UNAVAILABLE, ""),
    };
    let given = given.ok().and_then(Result::ok).unwrap_or(unknown);
    let status = match given.state.as_str() {
        "refused" => StatusCode::CONFLICT,
        "unknown" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::OK,
    };
    answer(status, &serde_json::to_string(&given).unwrap_or_default())
}

async fn read(body: Incoming) -> Result<Job, String> {
    let bytes = Limited::new(body, JOB_BYTES).collect().await;
    let bytes = bytes.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

async fn state(method: &Method, path: &str, asks: &flume::Sender<Query>) -> Response<Full<Bytes>> {
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

async fn ask(asks: &flume::Sender<Query>) -> Option<Status> {
    let (reply, status) = flume::bounded(1);
    asks.try_send(Query::Status(reply)).ok()?;
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
