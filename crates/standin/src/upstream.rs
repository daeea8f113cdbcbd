//! Stand-in for an upstream.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as Socket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use compio::driver::DriverType;
use compio::driver::ProactorBuilder;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::Runtime;
use flume::Receiver;
use flume::Sender;
use futures_util::future;
use futures_util::future::Either;
use serde_json::json;

use crate::wire::Message;
use crate::wire::Wire;

/// Header that names a request from end to end; the ledger is kept by it.
pub const KEY: &str = "standin-key";

/// Time after which a request counts as shorter than the place where it is cut.
const SHORT: Duration = Duration::from_millis(100);

/// How an upstream behaves from now on.
#[derive(Clone, Debug, Default)]
pub struct Behaviour {
    /// Time that a request takes.
    pub delay: Duration,
    /// Fault of every answer.
    pub fault: Fault,
    /// Whether answers announce that the upstream is leaving.
    pub leaving: bool,
    /// Bytes of padding in every answer.
    pub padding: usize,
}

/// Fault of an upstream's answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// The right answer.
    #[default]
    None,
    /// The answer of the request before, with its id.
    Crossed,
    /// The right answer without the request id.
    Unnamed,
    /// The connection closes after so many bytes of the answer.
    CutAnswer(usize),
    /// The connection closes after so many bytes of a request were read.
    CutRequest(usize),
    /// The answer is sent twice.
    Twice,
    /// Bytes that are not HTTP.
    Garbage,
    /// Status 500 at once.
    Fail,
    /// A refusal that says that the request did not run.
    Refuse,
}

/// What an upstream has done.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Runs of each request, by its [`KEY`].
    pub runs: BTreeMap<String, Vec<Run>>,
    /// Highest number of requests at the same time.
    pub peak: usize,
    /// Health probes answered.
    pub probes: usize,
    /// Connections accepted.
    pub connections: usize,
    /// Bytes of the last answer.
    pub answer_bytes: usize,
    /// Bytes of the last request.
    pub request_bytes: usize,
    /// When the last request arrived.
    pub last: Option<Instant>,
    busy: usize,
}

/// One run of a request.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// When the whole request had arrived.
    pub start: Instant,
    /// When the answer was ready; `None` while it is not.
    pub end: Option<Instant>,
}

/// A running stand-in; dropping it closes every connection.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    ledger: Ledger,
    /// Connections accepted in an earlier epoch are silent.
    epoch: usize,
    before: Option<(String, Vec<u8>)>,
}

impl Upstream {
    /// Starts an upstream on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn spawn() -> io::Result<Self> {
        let socket = Socket::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let (stop, stopped) = flume::bounded(0);
        let shared = Arc::clone(&state);
        let thread = thread::Builder::new()
            .name("upstream".into())
            .spawn(move || {
                let runtime = runtime().expect("a runtime needs a poller only");
                runtime.block_on(run(socket, shared, stopped));
            })?;
        Ok(Self {
            address,
            state,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour for requests that arrive from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Makes every open connection silent; new ones work.
    pub fn silence(&self) {
        lock(&self.state).epoch += 1;
    }

    /// Returns what it has done so far.
    pub fn ledger(&self) -> Ledger {
        lock(&self.state).ledger.clone()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Builds a runtime that polls.
pub(crate) fn runtime() -> io::Result<Runtime> {
    let mut proactor = ProactorBuilder::new();
    proactor.driver_type(DriverType::Poll);
    Runtime::builder().with_proactor(proactor).build()
}

async fn run(socket: Socket, state: Arc<Mutex<State>>, stopped: Receiver<()>) {
    let Ok(listener) = TcpListener::from_std(socket) else {
        return;
    };
    let accept = async {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let state = Arc::clone(&state);
            compio::runtime::spawn(async move {
                let _ = serve(stream, &state).await;
            })
            .detach();
        }
    };
    futures_util::pin_mut!(accept);
    match future::select(accept, stopped.recv_async()).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

async fn serve(stream: TcpStream, state: &Mutex<State>) -> io::Result<()> {
    let epoch = {
        let mut state = lock(state);
        state.ledger.connections += 1;
        state.epoch
    };
    let mut wire = Wire::new(stream);
    loop {
        let fault = lock(state).behaviour.fault;
        if let Fault::CutRequest(count) = fault {
            let _ = compio::time::timeout(SHORT, wire.fill(count)).await;
            return Ok(());
        }
        let Some(request) = wire.read(false).await? else {
            return Ok(());
        };
        if lock(state).epoch != epoch {
            return future::pending().await;
        }
        if request.word(0) == "HEAD" && request.header(KEY).is_none() {
            lock(state).ledger.probes += 1;
            let leaving = lock(state).behaviour.leaving;
            wire.write(answer(200, &[("wigeonhinge-leaving", flag(leaving))], b""))
                .await?;
            continue;
        }
        let (bytes, open) = execute(&request, state).await;
        if lock(state).epoch != epoch {
            return future::pending().await;
        }
        wire.write(bytes).await?;
        if !open {
            return Ok(());
        }
    }
}

/// Runs a request; returns the bytes to write and whether the connection stays open.
async fn execute(request: &Message, state: &Mutex<State>) -> (Vec<u8>, bool) {
    let id = request.header("wigeonhinge-request-id").unwrap_or_default();
    let key = request.header(KEY).unwrap_or(id).to_owned();
    let behaviour = lock(state).behaviour.clone();
    lock(state).ledger.last = Some(Instant::now());
    lock(state).ledger.request_bytes = request.bytes;
    let leaving = ("wigeonhinge-leaving", flag(behaviour.leaving));
    let named = ("wigeonhinge-request-id", id);
    if behaviour.fault == Fault::Refuse {
        let headers = [named, leaving, ("wigeonhinge-run", "not-run")];
        return (answer(503, &headers, b""), true);
    }
    let index = begin(state, &key);
    if !behaviour.delay.is_zero() {
        compio::time::sleep(behaviour.delay).await;
    }
    finish(state, &key, index);
    let body = json!({
        "key": key,
        "id": id,
        "method": request.word(0),
        "path": request.word(1),
        "bytes": request.body.len(),
        "padding": "x".repeat(behaviour.padding),
    });
    let body = body.to_string().into_bytes();
    let before = lock(state).before.replace((id.to_owned(), body.clone()));
    let right = answer(200, &[named, leaving], &body);
    lock(state).ledger.answer_bytes = right.len();
    match behaviour.fault {
        Fault::None | Fault::Refuse | Fault::CutRequest(_) => (right, true),
        Fault::Crossed => {
            let (id, body) = before.unwrap_or_else(|| ("none".into(), b"{}".to_vec()));
            let headers = [("wigeonhinge-request-id", id.as_str()), leaving];
            (answer(200, &headers, &body), true)
        }
        Fault::Unnamed => (answer(200, &[leaving], &body), true),
        Fault::CutAnswer(count) => (right[..count.min(right.len())].to_vec(), false),
        Fault::Twice => (right.repeat(2), true),
        Fault::Garbage => (b"\x00\x01garbage\r\n\r\n".to_vec(), true),
        Fault::Fail => (answer(500, &[named, leaving], b"failed"), true),
    }
}

fn begin(state: &Mutex<State>, key: &str) -> usize {
    let mut state = lock(state);
    let ledger = &mut state.ledger;
    ledger.busy += 1;
    ledger.peak = ledger.peak.max(ledger.busy);
    let runs = ledger.runs.entry(key.to_owned()).or_default();
    runs.push(Run {
        start: Instant::now(),
        end: None,
    });
    runs.len() - 1
}

fn finish(state: &Mutex<State>, key: &str, index: usize) {
    let mut state = lock(state);
    let ledger = &mut state.ledger;
    ledger.busy -= 1;
    if let Some(run) = ledger
        .runs
        .get_mut(key)
        .and_then(|runs| runs.get_mut(index))
    {
        run.end = Some(Instant::now());
    }
}

fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn flag(value: bool) -> &'static str {
    if value { "true" } else { "false" }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
