//! What callers and the balancer ask.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use eyre::Result;
use eyre::WrapErr;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use slog::info;
use slog::warn;
use socket2::Domain;
use socket2::Protocol;
use socket2::Type;
use wigeonhinge::Time;
use wigeonhinge::batch::JobRow;
use wigeonhinge::batch::Phase;
use wigeonhinge::batch::Queue;
use wigeonhinge::batch::StateRow;
use wigeonhinge_platform::callers;
use wigeonhinge_platform::store::Commit;
use wigeonhinge_platform::store::Error;
use wigeonhinge_platform::store::Outcome;

use crate::site::Shared;
use crate::site::clock;
use crate::site::keys;

const BACKLOG: i32 = 1_024;

/// Pause after a failed accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time for a write of a job; a silent store is given up after it and asked again.
const WRITE: Duration = Duration::from_millis(500);

/// Time without any answer of the store after which further jobs are refused unsent;
/// a slow store answers within 240 ms.
const SILENT: Duration = Duration::from_millis(350);

/// Time for a read of a job.
const READ: Duration = Duration::from_millis(400);

/// Time for an answer if the caller names none.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Part of the caller's deadline that is left for the answer's way back.
const RETURN: Duration = Duration::from_millis(150);

/// Pause before a write whose outcome is unknown is repeated.
const REPEAT: Duration = Duration::from_millis(50);

/// Silence of the store after which an entry is not ready.
const NOT_READY: Duration = Duration::from_millis(2_500);

/// Seconds after which a refused caller is to come back.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// Header with the time for which a caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Who asks at a listener.
#[derive(Clone, Copy, Debug)]
enum Port {
    Callers,
    Operators,
    Readiness,
}

/// Running listeners.
pub(super) struct Served {
    shared: Rc<Shared>,
    open: Rc<Cell<usize>>,
    accepting: Cell<Vec<JoinHandle<()>>>,
}

impl Served {
    /// Returns the number of requests that are being answered.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Stops accepting and waits for the open requests.
    pub(super) async fn finish(&self) {
        self.accepting.take();
        while self.open.get() > 0 {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        info!(self.shared.log, "front: every request is answered");
    }
}

/// Starts the listeners.
pub(super) async fn bind(shared: &Rc<Shared>) -> Result<Served> {
    let open = Rc::new(Cell::new(0));
    let settings = &shared.settings;
    let callers = listener(settings.callers).wrap_err("cannot listen for callers")?;
    let readiness = listener(settings.readiness).wrap_err("cannot listen for the balancer")?;
    let mut listeners = vec![(callers, Port::Callers), (readiness, Port::Readiness)];
    if let Some(address) = settings.metrics {
        let metrics = listener(address).wrap_err("cannot listen for operators")?;
        listeners.push((metrics, Port::Operators));
    }
    let accepting = listeners.into_iter().map(|(listener, port)| {
        let task = accept(Rc::clone(shared), listener, Rc::clone(&open), port);
        compio::runtime::spawn(task)
    });
    let accepting = accepting.collect();
    Ok(Served {
        shared: Rc::clone(shared),
        open,
        accepting: Cell::new(accepting),
    })
}

fn listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

async fn accept(shared: Rc<Shared>, listener: TcpListener, open: Rc<Cell<usize>>, port: Port) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let task = converse(Rc::clone(&shared), stream, Rc::clone(&open), port);
                compio::runtime::spawn(task).detach();
            }
            Err(error) => {
                warn!(shared.log, "front: cannot accept a connection"; "error" => %error);
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(shared: Rc<Shared>, stream: TcpStream, open: Rc<Cell<usize>>, port: Port) {
    // Without it, answers may wait for an acknowledgement; the connection works all the same.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let shared = Rc::clone(&shared);
        let open = Rc::clone(&open);
        async move {
            let answer = match port {
                Port::Readiness => ready(&shared),
                Port::Operators => operate(&shared, request.uri().path()),
                Port::Callers => {
                    let began = clock::now();
                    open.set(open.get() + 1);
                    let answer = respond(&shared, request).await;
                    open.set(open.get() - 1);
                    let name = format!("answer.{}", answer.status.as_u16());
                    shared.metrics.count(&name);
                    shared.metrics.time("answer", clock::now() - began);
                    answer
                }
            };
            Ok::<_, Infallible>(seal(&shared, answer))
        }
    });
    // A broken connection is the caller's affair.
    let _ = http1::Builder::new()
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}

fn seal(shared: &Shared, answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = answer.status;
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if answer.retry {
        headers.insert(header::RETRY_AFTER, RETRY_AFTER);
    }
    if shared.draining.get() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Answer before it is encoded.
struct Answer {
    status: StatusCode,
    body: String,
    /// Whether the caller is told when to come back.
    retry: bool,
}

impl Answer {
    fn new(status: StatusCode, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
            retry: false,
        }
    }

    fn error(status: StatusCode, reason: &str) -> Self {
        let body = serde_json::json!({ "reason": reason });
        Self::new(status, body.to_string())
    }

    /// Refusal that says that nothing was done.
    fn refusal(reason: &str) -> Self {
        Self {
            retry: true,
            ..Self::error(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

fn ready(shared: &Shared) -> Answer {
    let reason = if shared.draining.get() {
        "stopping"
    } else if shared.catalog.borrow().is_none() || !shared.replica.borrow().complete {
        "no configuration yet"
    } else if shared.health.silence() > NOT_READY {
        "the store does not answer"
    } else {
        return Answer::new(StatusCode::OK, "{}");
    };
    Answer::error(StatusCode::SERVICE_UNAVAILABLE, reason)
}

/// Answers `/metrics` and `/status`.
fn operate(shared: &Shared, path: &str) -> Answer {
    match path {
        "/metrics" => Answer::new(StatusCode::OK, shared.metrics.page()),
        "/status" => Answer::new(StatusCode::OK, shared.status.borrow().to_string()),
        _ => Answer::error(StatusCode::NOT_FOUND, "/metrics or /status"),
    }
}

async fn respond(shared: &Shared, request: Request<Incoming>) -> Answer {
    let arrived = clock::now();
    let Some(catalog) = shared.catalog.borrow().clone() else {
        return Answer::refusal("no configuration yet");
    };
    let host = request.headers().get(header::HOST);
    let host = host.and_then(|it| it.to_str().ok()).unwrap_or_default();
    let path = request.uri().path().to_owned();
    let Some(queue) = catalog.route(host, &path) else {
        return Answer::error(StatusCode::NOT_FOUND, "no such queue");
    };
    let id = path[queue.prefix.len()..].trim_end_matches('/').to_owned();
    match *request.method() {
        Method::GET if id.is_empty() => {
            let waiting = shared.replica.borrow().waiting(&queue.name);
            Answer::new(StatusCode::OK, callers::encode_waiting(waiting))
        }
        _ if !valid(&id) => Answer::error(StatusCode::NOT_FOUND, "no such job"),
        Method::GET => show(shared, &id).await,
        Method::DELETE => cancel(shared, &id, arrived, deadline(&request)).await,
        Method::POST => {
            let limit = deadline(&request);
            let body = Limited::new(request.into_body(), catalog.max_body_bytes);
            match body.collect().await {
                Ok(body) => submit(shared, queue, (&id, &body.to_bytes()), arrived + limit).await,
                Err(error) => Answer::error(StatusCode::BAD_REQUEST, &error.to_string()),
            }
        }
        _ => Answer::error(StatusCode::METHOD_NOT_ALLOWED, "GET, POST or DELETE"),
    }
}

fn valid(id: &str) -> bool {
    !id.is_empty() && id.len() <= 64 && id.bytes().all(|byte| byte.is_ascii_alphanumeric())
}

fn deadline(request: &Request<Incoming>) -> Duration {
    let value = request.headers().get(DEADLINE_HEADER);
    let value = value.and_then(|it| it.to_str().ok());
    let millis = value.and_then(|it| it.parse().ok());
    let time = millis.map_or(DEADLINE, Duration::from_millis);
    time.saturating_sub(RETURN)
}

/// Stores a job, under the condition that it does not exist yet.
async fn submit(
    shared: &Shared,
    queue: &Queue,
    (id, body): (&str, &[u8]),
    deadline: Time,
) -> Answer {
    let job = match callers::decode_job(body) {
        Ok(job) => job,
        Err(reason) => return Answer::error(StatusCode::BAD_REQUEST, &reason),
    };
    if shared.replica.borrow().job(id).is_some() {
        return Answer::new(StatusCode::OK, "{}");
    }
    let row = JobRow {
        id: id.into(),
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        accepted_ms: clock::wall_ms(),
        job,
    };
    let value = match serde_json::to_vec(&row) {
        Ok(value) => value,
        Err(error) => return Answer::error(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let commit = Commit {
        expect: vec![(keys::job(id), 0), (keys::state(id), 0)],
        writes: vec![(keys::job(id), value, 0)],
        removes: Vec::new(),
    };
    match store(shared, &commit, deadline).await {
        Stored::Done | Stored::Conflict => {
            shared.replica.borrow_mut().accepted(&row);
            info!(shared.log, "front: job accepted"; "job" => id, "queue" => %queue.name);
            Answer::new(StatusCode::OK, "{}")
        }
        Stored::Refused(reason) => {
            info!(shared.log, "front: job refused"; "job" => id, "reason" => &reason);
            Answer::refusal(&reason)
        }
        Stored::Unknown => {
            info!(shared.log, "front: job's outcome is unknown"; "job" => id);
            Answer::error(StatusCode::GATEWAY_TIMEOUT, "the outcome is unknown")
        }
    }
}

/// Outcome of a conditional write.
enum Stored {
    Done,
    Conflict,
    /// Nothing was written, nor will be.
    Refused(String),
    Unknown,
}

/// Writes under a condition that makes a repetition harmless; repeats it while the outcome is
/// unknown.
async fn store(shared: &Shared, commit: &Commit, deadline: Time) -> Stored {
    let failing = shared.health.failing() && shared.health.silence() > SILENT;
    if failing || shared.health.waiting() > SILENT {
        return Stored::Refused("the store does not answer".into());
    }
    let mut unknown = false;
    loop {
        let left = deadline.saturating_sub(clock::now());
        if left.is_zero() {
            return match unknown {
                true => Stored::Unknown,
                false => Stored::Refused("no time left".into()),
            };
        }
        shared.health.ask();
        match shared.store.commit(commit, WRITE.min(left)).await {
            Ok(outcome) => {
                shared.health.good();
                return match outcome {
                    Outcome::Done(_) => Stored::Done,
                    Outcome::Conflict(_) | Outcome::NoLease => Stored::Conflict,
                };
            }
            Err(Error::NotExecuted(reason)) if !unknown => {
                return Stored::Refused(reason);
            }
            Err(error) => {
                unknown |= matches!(error, Error::Unknown(_));
                warn!(shared.log, "front: a write has no outcome yet"; "error" => %error,
                    "key" => commit.writes.first().map(|it| it.0.clone()));
            }
        }
        compio::time::sleep(REPEAT.min(left)).await;
    }
}

async fn show(shared: &Shared, id: &str) -> Answer {
    if let Some(known) = shared.replica.borrow().job(id) {
        return Answer::new(StatusCode::OK, callers::encode_state(known.shown()));
    }
    match read(shared, id).await {
        Ok(Some(phase)) => Answer::new(StatusCode::OK, callers::encode_state(phase)),
        Ok(None) => Answer::error(StatusCode::GONE, "no such job"),
        Err(error) => {
            warn!(shared.log, "front: a job's state cannot be read"; "job" => id, "error" => %error);
            Answer::refusal("the store does not answer")
        }
    }
}

/// Reads a job's state from the store.
async fn read(shared: &Shared, id: &str) -> Result<Option<Phase>, Error> {
    if let Some(item) = shared.store.get(&keys::state(id), READ).await? {
        let row: Result<StateRow, _> = serde_json::from_slice(&item.value);
        return match row {
            Ok(row) => Ok(Some(row.phase)),
            Err(error) => Err(Error::Unknown(error.to_string())),
        };
    }
    let item = shared.store.get(&keys::job(id), READ).await?;
    Ok(item.map(|_| Phase::Pending))
}

async fn cancel(shared: &Shared, id: &str, arrived: Time, limit: Duration) -> Answer {
    let known = shared.replica.borrow().job(id).map(|it| it.shown());
    let phase = match known {
        Some(phase) => Some(phase),
        None => match read(shared, id).await {
            Ok(phase) => phase,
            Err(error) => {
                warn!(shared.log, "front: a job cannot be read"; "job" => id, "error" => %error);
                return Answer::refusal("the store does not answer");
            }
        },
    };
    match phase {
        Some(Phase::Canceled) => return Answer::new(StatusCode::OK, "{}"),
        None | Some(Phase::Completed | Phase::Failed) => {
            return Answer::error(StatusCode::GONE, "no such job or already ended");
        }
        Some(Phase::Pending | Phase::Active) => {}
    }
    let commit = Commit {
        expect: vec![(keys::cancel(id), 0)],
        writes: vec![(keys::cancel(id), b"{}".to_vec(), 0)],
        removes: Vec::new(),
    };
    match store(shared, &commit, arrived + limit).await {
        Stored::Done | Stored::Conflict => {
            shared.replica.borrow_mut().cancelled(id);
            info!(shared.log, "front: job cancelled"; "job" => id);
            Answer::new(StatusCode::OK, "{}")
        }
        Stored::Refused(reason) => Answer::refusal(&reason),
        Stored::Unknown => Answer::error(StatusCode::GATEWAY_TIMEOUT, "the outcome is unknown"),
    }
}
