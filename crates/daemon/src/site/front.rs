//! HTTP server for callers, operators and the balancer.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use eyre::Result;
use eyre::WrapErr;
use futures_util::future;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
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
use wigeonhinge::id::WorkspaceId;
use wigeonhinge::workspace;
use wigeonhinge::workspace::Access;
use wigeonhinge::workspace::Freshness;
use wigeonhinge::workspace::MAX_CONFIG_AGE;
use wigeonhinge_platform::callers;
use wigeonhinge_platform::store::Commit;
use wigeonhinge_platform::store::Error;
use wigeonhinge_platform::store::Item;
use wigeonhinge_platform::store::Outcome;
use wigeonhinge_platform::store::Revision;

use crate::site::Shared;
use crate::site::clock;
use crate::site::guard::Client;
use crate::site::guard::ClientStream;
use crate::site::guard::MAX_HEAD_BYTES;
use crate::site::guard::SPARE_CONNECTIONS;
use crate::site::keys;
use crate::site::rows;

const LISTEN_BACKLOG: i32 = 1_024;

/// Pause after a failed accept, for example because too many files are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time limit for one attempt to store a job or a cancellation; it is retried afterwards.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a response of the store after which jobs are refused without a write. A slow store
/// responds within 240 ms.
const MAX_SILENCE: Duration = Duration::from_millis(350);

/// Time limit for a read of a job.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for a response if the caller names none.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_000);

/// Part of the caller's time limit that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Pause before a write whose outcome is unknown is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time without a response of the store after which the entry reports that it is not ready.
const UNREADY_SILENCE: Duration = Duration::from_millis(2_500);

/// Value of the `Retry-After` header of refusals, in seconds.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// Request header with the key of the caller's workspace.
const KEY_HEADER: &str = "api-key";

/// Request header with the time for which the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Clients that a listener serves.
#[derive(Clone, Copy, Debug)]
enum ListenerKind {
    Callers,
    Operators,
    Readiness,
}

/// Running HTTP server.
pub(super) struct Server {
    shared: Rc<Shared>,
    open_requests: Rc<Cell<usize>>,
    accept_tasks: Cell<Vec<JoinHandle<()>>>,
}

impl Server {
    /// Returns the number of callers' requests that are being handled.
    pub(super) fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Stops accepting connections and waits until the open requests are answered.
    pub(super) async fn shutdown(&self) {
        self.accept_tasks.take();
        while self.open_requests.get() > 0 {
            self.shared.guard.end_stalled_bodies();
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        info!(self.shared.log, "front: all open requests are answered");
    }
}

/// Starts the listeners.
pub(super) async fn bind(shared: &Rc<Shared>) -> Result<Server> {
    let open_requests = Rc::new(Cell::new(0));
    let settings = &shared.settings;
    let callers = listen(settings.callers).wrap_err("cannot listen for callers")?;
    let readiness = listen(settings.readiness).wrap_err("cannot listen for the balancer")?;
    let mut listeners = vec![
        (callers, ListenerKind::Callers),
        (readiness, ListenerKind::Readiness),
    ];
    if let Some(address) = settings.metrics {
        let metrics = listen(address).wrap_err("cannot listen for operators")?;
        listeners.push((metrics, ListenerKind::Operators));
    }
    let accept_tasks = listeners.into_iter().map(|(listener, kind)| {
        let task = accept(Rc::clone(shared), listener, Rc::clone(&open_requests), kind);
        compio::runtime::spawn(task)
    });
    let accept_tasks = accept_tasks.collect();
    Ok(Server {
        shared: Rc::clone(shared),
        open_requests,
        accept_tasks: Cell::new(accept_tasks),
    })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

async fn accept(
    shared: Rc<Shared>,
    listener: TcpListener,
    open_requests: Rc<Cell<usize>>,
    kind: ListenerKind,
) {
    let spare = match kind {
        ListenerKind::Callers => 0,
        ListenerKind::Operators | ListenerKind::Readiness => SPARE_CONNECTIONS,
    };
    loop {
        shared.guard.wait_for_room(spare).await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let client = Client::open(&shared.guard);
                let task = serve_connection(
                    Rc::clone(&shared),
                    (stream, client),
                    Rc::clone(&open_requests),
                    kind,
                );
                compio::runtime::spawn(task).detach();
            }
            Err(error) => {
                warn!(shared.log, "front: cannot accept a connection"; "error" => %error);
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    shared: Rc<Shared>,
    (stream, client): (TcpStream, Rc<Client>),
    open_requests: Rc<Cell<usize>>,
    kind: ListenerKind,
) {
    // Without this option, responses may be delayed until earlier data is acknowledged. The
    // connection works without it, so a failure is ignored.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let shared = Rc::clone(&shared);
        let open_requests = Rc::clone(&open_requests);
        let client = Rc::clone(&client);
        // From here on the request is answered; its body, if it is read, is charged on its own.
        client.begin_handling();
        async move {
            let reply = match kind {
                ListenerKind::Readiness => readiness_reply(&shared),
                ListenerKind::Operators => operator_reply(&shared, request.uri().path()),
                ListenerKind::Callers => {
                    let started = clock::now();
                    let _open = OpenRequest::begin(open_requests);
                    let reply = handle_caller(&shared, request, &client).await;
                    let name = format!("answer.{}", reply.status.as_u16());
                    shared.metrics.increment(&name);
                    shared.metrics.record_time("answer", clock::now() - started);
                    reply
                }
            };
            client.answer(reply.body.len());
            Ok::<_, Infallible>(encode_reply(&shared, reply))
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(ClientStream::new(stream, Rc::clone(&client)), service);
    // An error of a connection concerns only its client, so it is ignored. Whether it has to close is
    // checked first, so that a request whose bytes were given up does not run.
    let _ = future::select(pin!(client.closing()), connection).await;
}

/// Counts a caller's request for as long as it is handled, also if its connection ends before.
struct OpenRequest(Rc<Cell<usize>>);

impl OpenRequest {
    fn begin(count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Reads a body of at most a number of bytes.
async fn read_body(mut body: Incoming, most: usize, client: &Client) -> Result<Bytes, Reply> {
    let too_large = || {
        client.refuse_body();
        Reply::error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
    };
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > most {
        return Err(too_large());
    }
    client.begin_body();
    // The system provides the memory of a large buffer only as it is written.
    let mut bytes = BytesMut::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|it| match client.is_closing() {
            true => Reply::refusal("requests of other clients use up the memory"),
            false => Reply::error(StatusCode::BAD_REQUEST, &it.to_string()),
        })?;
        let data = frame.into_data().unwrap_or_default();
        if bytes.len() + data.len() > most {
            return Err(too_large());
        }
        bytes.extend_from_slice(&data);
    }
    client.begin_handling();
    Ok(bytes.freeze())
}

fn encode_reply(shared: &Shared, reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = reply.status;
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if reply.retry_after {
        headers.insert(header::RETRY_AFTER, RETRY_AFTER);
    }
    if shared.draining.get() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reply before it is encoded as an HTTP response.
struct Reply {
    status: StatusCode,
    body: String,
    /// Whether the response has a `Retry-After` header.
    retry_after: bool,
}

impl Reply {
    fn new(status: StatusCode, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
            retry_after: false,
        }
    }

    fn error(status: StatusCode, reason: &str) -> Self {
        let body = serde_json::json!({ "reason": reason });
        Self::new(status, body.to_string())
    }

    /// Creates a refusal, which guarantees that the request had no effect.
    fn refusal(reason: &str) -> Self {
        Self {
            retry_after: true,
            ..Self::error(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

fn readiness_reply(shared: &Shared) -> Reply {
    let reason = if shared.draining.get() {
        "stopping"
    } else if shared.catalog.borrow().is_none() || !shared.control.borrow().loaded {
        "no configuration yet"
    } else if shared.health.time_since_response() > UNREADY_SILENCE {
        "the store does not answer"
    } else {
        return Reply::new(StatusCode::OK, "{}");
    };
    Reply::error(StatusCode::SERVICE_UNAVAILABLE, reason)
}

/// Handles `/metrics` and `/status`.
fn operator_reply(shared: &Shared, path: &str) -> Reply {
    match path {
        "/metrics" => Reply::new(StatusCode::OK, shared.metrics.render()),
        "/status" => Reply::new(StatusCode::OK, status_text(shared)),
        _ => Reply::error(StatusCode::NOT_FOUND, "/metrics or /status"),
    }
}

fn status_text(shared: &Shared) -> String {
    let status = shared.status.borrow();
    let control = shared.control.borrow();
    serde_json::json!({
        "clients": shared.guard.status(),
        "role": !status.is_empty(),
        "partition_count": control.topology.partitions(),
        "partitions": *status,
    })
    .to_string()
}

async fn handle_caller(shared: &Shared, request: Request<Incoming>, client: &Client) -> Reply {
    client.begin_handling();
    let received_at = clock::now();
    let Some(catalog) = shared.catalog.borrow().clone() else {
        return Reply::refusal("no configuration yet");
    };
    let host = request.headers().get(header::HOST);
    let host = host.and_then(|it| it.to_str().ok()).unwrap_or_default();
    let path = request.uri().path().to_owned();
    let Some(queue) = catalog.route(host, &path) else {
        return unknown_queue(shared);
    };
    let key = request.headers().get(KEY_HEADER);
    let key = key.and_then(|it| it.to_str().ok());
    let access = workspace::identify(catalog.workspaces.as_ref(), queue, key, freshness(shared));
    let workspace = match access {
        Access::Anonymous => WorkspaceId::default(),
        Access::Workspace(workspace) => workspace.name.clone(),
        Access::Denied => {
            shared.metrics.increment("key.denied");
            return Reply::error(StatusCode::UNAUTHORIZED, "unknown key");
        }
        Access::Unconfirmed => {
            shared.metrics.increment("key.unconfirmed");
            return Reply::refusal("the configuration may be out of date");
        }
    };
    let id = path[queue.prefix.len()..].trim_end_matches('/').to_owned();
    match *request.method() {
        Method::GET if id.is_empty() => count_waiting(shared, &queue.name).await,
        _ if !is_valid_id(&id) => Reply::error(StatusCode::NOT_FOUND, "no such job"),
        Method::GET => get_job(shared, &id).await,
        Method::DELETE => cancel_job(shared, &id, received_at, time_budget(&request)).await,
        Method::POST => {
            let budget = time_budget(&request);
            match read_body(request.into_body(), catalog.max_body_bytes, client).await {
                Ok(body) => {
                    let deadline = received_at + budget;
                    submit_job(shared, (queue, workspace), (&id, &body), deadline).await
                }
                Err(reply) => reply,
            }
        }
        _ => Reply::error(StatusCode::METHOD_NOT_ALLOWED, "GET, POST or DELETE"),
    }
}

/// Returns how fresh the configuration is, and the age from which keys are refused.
fn freshness(shared: &Shared) -> Freshness {
    let settings = &shared.settings;
    let revoke = Duration::from_secs_f64(settings.bounds.revoke_ms / 1e3);
    Freshness {
        age: clock::now().saturating_sub(shared.config_current_at.get()),
        max_age: settings.strict_revocation.then_some(revoke),
    }
}

/// Answers for a queue that the configuration does not name. A newer configuration may name it.
fn unknown_queue(shared: &Shared) -> Reply {
    match freshness(shared).age > MAX_CONFIG_AGE {
        true => Reply::refusal("the configuration may be out of date"),
        false => Reply::error(StatusCode::NOT_FOUND, "no such queue"),
    }
}

fn is_valid_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= 64 && id.bytes().all(|byte| byte.is_ascii_alphanumeric())
}

/// Returns the time within which a reply must be ready, from the caller's time limit.
fn time_budget(request: &Request<Incoming>) -> Duration {
    let value = request.headers().get(DEADLINE_HEADER);
    let value = value.and_then(|it| it.to_str().ok());
    let millis = value.and_then(|it| it.parse().ok());
    let time = millis.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    time.saturating_sub(RESPONSE_MARGIN)
}

/// Stores a job on the condition that it does not exist yet.
async fn submit_job(
    shared: &Shared,
    (queue, workspace): (&Queue, WorkspaceId),
    (id, body): (&str, &[u8]),
    deadline: Time,
) -> Reply {
    let job = match callers::decode_job(body) {
        Ok(job) => job,
        Err(reason) => return Reply::error(StatusCode::BAD_REQUEST, &reason),
    };
    if shared.known_jobs.borrow().phase(id).is_some() {
        return Reply::new(StatusCode::OK, "{}");
    }
    let partition = {
        let topology = &shared.control.borrow().topology;
        topology.choose(id, &queue.pool, &job.steps)
    };
    let row = JobRow {
        id: id.into(),
        partition,
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        accepted_ms: clock::wall_ms(),
        job,
        workspace,
        transfer: None,
    };
    let state = StateRow {
        phase: Phase::Pending,
        queue: queue.name.clone(),
        partition,
        ended_ms: None,
    };
    let encoded = (rows::encode(&row), rows::encode(&state));
    // The steps of a job take many times the bytes of its body, and the store may be slow.
    drop(row);
    let (row, state) = match encoded {
        (Ok(row), Ok(state)) => (row, state),
        (Err(error), _) | (_, Err(error)) => return Reply::error(StatusCode::BAD_REQUEST, &error),
    };
    // The state's key is the same for every partition, so a job is accepted once, whichever entry a
    // repeated request reaches and whatever it knows of the partitions.
    let commit = Commit {
        expect: vec![(keys::state(id), 0)],
        writes: vec![
            (keys::job(partition, id), row, 0),
            (keys::state(id), state, 0),
        ],
        removes: Vec::new(),
    };
    match commit_with_retry(shared, &commit, deadline).await {
        WriteOutcome::Done | WriteOutcome::Conflict(_) => {
            shared.known_jobs.borrow_mut().record(id, Phase::Pending);
            info!(shared.log, "front: job accepted"; "job" => id, "queue" => %queue.name,
                "partition" => partition);
            Reply::new(StatusCode::OK, "{}")
        }
        WriteOutcome::Refused(reason) => {
            info!(shared.log, "front: job refused"; "job" => id, "reason" => &reason);
            Reply::refusal(&reason)
        }
        WriteOutcome::Unknown => {
            info!(shared.log, "front: job's outcome is unknown"; "job" => id);
            Reply::error(StatusCode::GATEWAY_TIMEOUT, "the outcome is unknown")
        }
    }
}

async fn count_waiting(shared: &Shared, queue: &str) -> Reply {
    match shared.loads.pending(shared, queue).await {
        Ok(count) => Reply::new(StatusCode::OK, callers::encode_waiting(count)),
        Err(reason) => {
            warn!(shared.log, "front: waiting jobs cannot be counted"; "queue" => queue,
                "reason" => &reason);
            Reply::refusal("the number of waiting jobs is not known")
        }
    }
}

/// Outcome of a conditional write.
enum WriteOutcome {
    Done,
    /// A condition did not hold; the current items of the keys in the conditions.
    Conflict(Vec<Item>),
    /// The write was not executed and will not be.
    Refused(String),
    Unknown,
}

/// Executes a conditional write and retries it until its outcome is known or the deadline passes.
/// The condition makes retries harmless.
async fn commit_with_retry(shared: &Shared, commit: &Commit, deadline: Time) -> WriteOutcome {
    let failing = shared.health.is_failing() && shared.health.time_since_response() > MAX_SILENCE;
    if failing || shared.health.write_wait() > MAX_SILENCE {
        return WriteOutcome::Refused("the store does not answer".into());
    }
    let mut maybe_executed = false;
    loop {
        let left = deadline.saturating_sub(clock::now());
        if left.is_zero() {
            return match maybe_executed {
                true => WriteOutcome::Unknown,
                false => WriteOutcome::Refused("no time left".into()),
            };
        }
        shared.health.record_write();
        match shared.store.commit(commit, WRITE_TIMEOUT.min(left)).await {
            Ok(outcome) => {
                shared.health.record_success();
                return match outcome {
                    Outcome::Done(_) => WriteOutcome::Done,
                    Outcome::Conflict(items) => WriteOutcome::Conflict(items),
                    Outcome::NoLease => WriteOutcome::Conflict(Vec::new()),
                };
            }
            Err(Error::NotExecuted(reason)) if !maybe_executed => {
                return WriteOutcome::Refused(reason);
            }
            Err(error) => {
                maybe_executed |= matches!(error, Error::Unknown(_));
                warn!(shared.log, "front: outcome of a write is unknown, retrying it";
                    "error" => %error,
                    "key" => commit.writes.first().map(|it| it.0.clone()));
            }
        }
        compio::time::sleep(RETRY_PAUSE.min(left)).await;
    }
}

async fn get_job(shared: &Shared, id: &str) -> Reply {
    let known = shared.known_jobs.borrow().phase(id);
    if let Some(phase) = known.filter(|phase| phase.terminal()) {
        return Reply::new(StatusCode::OK, callers::encode_state(phase));
    }
    match read_state(shared, id).await {
        Ok(Some((row, _))) => Reply::new(StatusCode::OK, callers::encode_state(row.phase)),
        Ok(None) => Reply::error(StatusCode::GONE, "no such job"),
        Err(error) => {
            warn!(shared.log, "front: job's state cannot be read from the store";
                "job" => id, "error" => %error, "known" => ?known);
            match known {
                // The job was not ended when it was last looked at.
                Some(phase) => Reply::new(StatusCode::OK, callers::encode_state(phase)),
                None => Reply::refusal("the store does not answer"),
            }
        }
    }
}

/// Reads a job's state with its revision; returns `None` if the job does not exist.
async fn read_state(shared: &Shared, id: &str) -> Result<Option<(StateRow, Revision)>, Error> {
    let Some(item) = shared.store.get(&keys::state(id), READ_TIMEOUT).await? else {
        return Ok(None);
    };
    let row: StateRow = rows::decode(&item.value).map_err(Error::Unknown)?;
    shared.known_jobs.borrow_mut().record(id, row.phase);
    Ok(Some((row, item.revision)))
}

/// Stores a cancellation on the condition that the job has not ended.
async fn cancel_job(shared: &Shared, id: &str, received_at: Time, budget: Duration) -> Reply {
    let deadline = received_at + budget;
    loop {
        let (row, revision) = match read_state(shared, id).await {
            Ok(Some(state)) => state,
            Ok(None) => return Reply::error(StatusCode::GONE, "no such job"),
            Err(error) => {
                warn!(shared.log, "front: job's state cannot be read from the store";
                    "job" => id, "error" => %error);
                return Reply::refusal("the store does not answer");
            }
        };
        match row.phase {
            Phase::Canceled => return Reply::new(StatusCode::OK, "{}"),
            Phase::Completed | Phase::Failed => {
                return Reply::error(StatusCode::GONE, "the job has already ended");
            }
            Phase::Pending | Phase::Active => {}
        }
        let key = keys::cancel(row.partition, id);
        let commit = Commit {
            expect: vec![(key.clone(), 0), (keys::state(id), revision)],
            writes: vec![(key.clone(), b"{}".to_vec(), 0)],
            removes: Vec::new(),
        };
        match commit_with_retry(shared, &commit, deadline).await {
            WriteOutcome::Done => {}
            WriteOutcome::Conflict(items) if items.iter().any(|item| item.key == key) => {}
            // The state has changed in the meantime.
            WriteOutcome::Conflict(_) => continue,
            WriteOutcome::Refused(reason) => return Reply::refusal(&reason),
            WriteOutcome::Unknown => {
                return Reply::error(StatusCode::GATEWAY_TIMEOUT, "the outcome is unknown");
            }
        }
        info!(shared.log, "front: job cancelled"; "job" => id);
        return Reply::new(StatusCode::OK, "{}");
    }
}
