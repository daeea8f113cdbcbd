//! HTTP server of the admin port: `/healthz`, `/readyz`, `/status` and `/jobs/`.

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

/// Open connections; further ones are closed.
const MAX_CONNECTIONS: usize = 64;

/// Time within which the header of a request has to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Most bytes of a request's header; hyper allows 400 KB by default.
const MAX_HEAD_BYTES: usize = 16_384;

/// Time within which the body of a request has to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which the control plane has to return its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a job request is answered with `unknown`.
const JOB_TIMEOUT: Duration = Duration::from_secs(5);

/// Limit for the body of a submitted job.
const MAX_JOB_BYTES: usize = 64 * 1024;

/// Query to the control plane.
#[derive(Debug)]
pub(crate) enum Query {
    /// Returns the status of the entry.
    Status(flume::Sender<Status>),
    /// Handles a request of a job submitter.
    Job(JobQuery),
}

/// Request of a job submitter, and the channel for its answer.
#[derive(Debug)]
pub(crate) struct JobQuery {
    pub(crate) pool: PoolId,
    pub(crate) request: JobRequest,
    pub(crate) reply: flume::Sender<JobAnswer>,
}

/// Serves operators until the control plane stops.
pub(crate) async fn serve(listener: TcpListener, queries: flume::Sender<Query>) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            continue;
        }
        let permit = Rc::clone(&open);
        let queries = queries.clone();
        let task = async move {
            serve_connection(stream, queries).await;
            drop(permit);
        };
        compio::runtime::spawn(task).detach();
    }
}

async fn serve_connection(stream: TcpStream, queries: flume::Sender<Query>) {
    let service = service_fn(|request| {
        let queries = queries.clone();
        async move { Ok::<_, Infallible>(route(request, &queries).await) }
    });
    // A failed connection affects only its client.
    let _ = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}

async fn route(
    request: Request<Incoming>,
    queries: &flume::Sender<Query>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    match path.strip_prefix("/jobs/") {
        Some(rest) => handle_job(&parts.method, rest, body, queries).await,
        None => handle_status(&parts.method, path, queries).await,
    }
}

/// Answers `POST /jobs/{pool}`, and `GET` and `DELETE /jobs/{pool}/{job}`.
async fn handle_job(
    method: &Method,
    path: &str,
    body: Incoming,
    queries: &flume::Sender<Query>,
) -> Response<Full<Bytes>> {
    let target = match (method, path.split_once('/')) {
        (&Method::POST, None) => match read_job(body).await {
            Ok(job) => (path, JobRequest::Submit(Box::new(job))),
            Err(reason) => return json_response(StatusCode::BAD_REQUEST, &reason),
        },
        (&Method::GET, Some((pool, job))) => (pool, JobRequest::Show(job.into())),
        (&Method::DELETE, Some((pool, job))) => (pool, JobRequest::Cancel(job.into())),
        _ => return json_response(StatusCode::METHOD_NOT_ALLOWED, ""),
    };
    let (reply, receiver) = flume::bounded(1);
    let query = JobQuery {
        pool: target.0.into(),
        request: target.1,
        reply,
    };
    let unknown = JobAnswer {
        state: "unknown".into(),
        reason: "no answer in time; ask again with the same identifier".into(),
    };
    let answer = match queries.try_send(Query::Job(query)) {
        Ok(()) => compio::time::timeout(JOB_TIMEOUT, receiver.recv_async()).await,
        Err(_) => return json_response(StatusCode::SERVICE_UNAVAILABLE, ""),
    };
    let answer = answer.ok().and_then(Result::ok).unwrap_or(unknown);
    let status = match answer.state.as_str() {
        "refused" => StatusCode::CONFLICT,
        "unknown" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::OK,
    };
    json_response(status, &serde_json::to_string(&answer).unwrap_or_default())
}

async fn read_job(body: Incoming) -> Result<Job, String> {
    let bytes = Limited::new(body, MAX_JOB_BYTES).collect();
    let bytes = compio::time::timeout(BODY_TIMEOUT, bytes).await;
    let bytes = bytes.map_err(|_| "the body did not arrive in time".to_owned())?;
    let bytes = bytes.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

async fn handle_status(
    method: &Method,
    path: &str,
    queries: &flume::Sender<Query>,
) -> Response<Full<Bytes>> {
    if method != Method::GET && method != Method::HEAD {
        return json_response(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    if !matches!(path, "/healthz" | "/readyz" | "/status") {
        return json_response(StatusCode::NOT_FOUND, "");
    }
    let Some(status) = query_status(queries).await else {
        return json_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "{\"reason\":\"no answer\"}",
        );
    };
    match path {
        "/healthz" => json_response(StatusCode::OK, "{}"),
        "/readyz" => {
            let code = match status.ready {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            };
            let body = serde_json::json!({ "ready": status.ready, "reason": status.reason });
            json_response(code, &body.to_string())
        }
        _ => {
            let body = serde_json::to_string(&status).unwrap_or_default();
            json_response(StatusCode::OK, &body)
        }
    }
}

async fn query_status(queries: &flume::Sender<Query>) -> Option<Status> {
    let (reply, status) = flume::bounded(1);
    queries.try_send(Query::Status(reply)).ok()?;
    let status = compio::time::timeout(STATUS_TIMEOUT, status.recv_async()).await;
    status.ok()?.ok()
}

fn json_response(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_owned())));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}
