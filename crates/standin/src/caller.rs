//! Stand-in for callers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpStream;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::upstream::KEY;
use crate::upstream::Ledger;
use crate::upstream::runtime;
use crate::wire::Message;
use crate::wire::Wire;

/// Time past its deadline after which a request counts as lost.
const PATIENCE: Duration = Duration::from_secs(2);

/// Entries that callers may connect to, as a load balancer knows them.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    /// Creates a balancer over entries.
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        let entries = entries.into_iter().collect();
        let entries = Arc::new(Mutex::new(entries));
        Self { entries }
    }

    /// Adds an entry.
    pub fn add(&self, entry: SocketAddr) {
        self.lock().push(entry);
    }

    /// Removes an entry; its open connections are used no more.
    pub fn remove(&self, entry: SocketAddr) {
        self.lock().retain(|own| *own != entry);
    }

    fn pick(&self, number: usize) -> Option<SocketAddr> {
        let entries = self.lock();
        let count = entries.len().max(1);
        entries.get(number % count).copied()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Load on one service.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Service.
    pub service: String,
    /// Team; empty without one.
    pub team: String,
    /// Requests a second, on average.
    pub rate: f64,
    /// Share of requests that may run more than once, from 0 to 1.
    pub idempotent: f64,
    /// Time that the caller gives a request.
    pub deadline: Duration,
    /// Bytes of each request's body.
    pub bytes: usize,
}

/// A request and what came of it.
#[derive(Clone, Debug)]
pub struct Record {
    /// Unique name of the request.
    pub key: String,
    /// Service.
    pub service: String,
    /// Team; empty without one.
    pub team: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time of sending, since the start of the load.
    pub sent: Duration,
    /// Time until the answer or the loss.
    pub latency: Duration,
    /// Answer; `None` if the request was lost.
    pub answer: Option<Answer>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Names in lower case, and values.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Violations of the promises to callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Requests sent.
    pub requests: usize,
    /// Requests with an answer of their upstream.
    pub answered: usize,
    /// Requests without a whole answer.
    pub lost: usize,
    /// Non-idempotent requests that ran more than once.
    pub duplicated: usize,
    /// Answers that belong to another request.
    pub crossed: usize,
    /// Answers that say "not run" for a request that ran.
    pub false_not_run: usize,
}

/// Sends a load for a while, waits for every answer and returns the records.
///
/// The times of sending and the kinds of requests depend on the seed only.
///
/// # Errors
///
/// Fails if no runtime can be started.
pub fn run(
    balancer: &Balancer,
    streams: &[Stream],
    time: Duration,
    seed: u64,
) -> io::Result<Vec<Record>> {
    let plan = plan(streams, time, seed);
    let caller = Rc::new(Caller {
        balancer: balancer.clone(),
        idle: RefCell::default(),
    });
    runtime()?.block_on(async move {
        let start = Instant::now();
        let mut tasks = Vec::with_capacity(plan.len());
        for (number, (sent, request)) in plan.into_iter().enumerate() {
            compio::time::sleep_until(start + sent).await;
            let caller = Rc::clone(&caller);
            let task = async move { caller.send(request, number, sent).await };
            tasks.push(compio::runtime::spawn(task));
        }
        let mut records = Vec::with_capacity(tasks.len());
        for task in tasks {
            records.extend(task.await);
        }
        Ok(records)
    })
}

/// Sends requests on a number of connections, each without a pause between answer and request.
///
/// # Errors
///
/// Fails if no runtime can be started.
pub fn saturate(
    balancer: &Balancer,
    stream: &Stream,
    connections: usize,
    time: Duration,
    seed: u64,
) -> io::Result<Vec<Record>> {
    let caller = Rc::new(Caller {
        balancer: balancer.clone(),
        idle: RefCell::default(),
    });
    runtime()?.block_on(async move {
        let start = Instant::now();
        let tasks = (0..connections).map(|number| {
            let caller = Rc::clone(&caller);
            let stream = stream.clone();
            compio::runtime::spawn(async move {
                let mut records = Vec::new();
                while start.elapsed() < time {
                    let request = Request {
                        key: format!("{seed}-{number}-{}", records.len()),
                        stream: stream.clone(),
                        idempotent: false,
                    };
                    records.push(caller.send(request, number, start.elapsed()).await);
                }
                records
            })
        });
        let tasks: Vec<_> = tasks.collect();
        let mut records = Vec::new();
        for task in tasks {
            records.extend(task.await.unwrap_or_default());
        }
        Ok(records)
    })
}

/// Sends one request on a connection of its own and returns the whole answer.
///
/// # Errors
///
/// Fails if the connection ends before the whole answer has arrived or `time` is over.
pub fn send(entry: SocketAddr, request: &[u8], time: Duration) -> io::Result<Answer> {
    runtime()?.block_on(async move {
        let exchange = async {
            let mut wire = Wire::new(TcpStream::connect(entry).await?);
            let _ = wire.write(request.to_vec()).await;
            let message = wire.read(request.starts_with(b"HEAD")).await?;
            message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
        };
        let message = compio::time::timeout(time, exchange).await;
        message
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map(answer)
    })
}

/// Compares records with the ledgers of all upstreams.
pub fn compare(records: &[Record], ledgers: &[Ledger]) -> Verdict {
    let mut verdict = Verdict {
        requests: records.len(),
        ..Verdict::default()
    };
    for record in records {
        let runs: usize = ledgers
            .iter()
            .filter_map(|ledger| ledger.runs.get(&record.key))
            .map(Vec::len)
            .sum();
        verdict.duplicated += usize::from(runs > 1 && !record.idempotent);
        let Some(answer) = &record.answer else {
            verdict.lost += 1;
            continue;
        };
        verdict.false_not_run +=
            usize::from(runs > 0 && answer.header("wigeonhinge-run") == "not-run");
        if answer.status == 200 {
            verdict.answered += 1;
            verdict.crossed += usize::from(runs == 0 || !own(answer, &record.key));
        }
    }
    verdict
}

fn own(answer: &Answer, key: &str) -> bool {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    body["key"] == key
}

struct Request {
    key: String,
    stream: Stream,
    idempotent: bool,
}

fn plan(streams: &[Stream], time: Duration, seed: u64) -> Vec<(Duration, Request)> {
    let mut plan = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_add(index as u64));
        let mut at = 0.0;
        loop {
            let uniform: f64 = random.random();
            at -= (1.0 - uniform).ln() / stream.rate;
            if at >= time.as_secs_f64() {
                break;
            }
            let idempotent = random.random::<f64>() < stream.idempotent;
            let request = Request {
                key: format!("{seed}-{index}-{}", plan.len()),
                stream: stream.clone(),
                idempotent,
            };
            plan.push((Duration::from_secs_f64(at), request));
        }
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

struct Caller {
    balancer: Balancer,
    idle: RefCell<BTreeMap<SocketAddr, Vec<Wire>>>,
}

impl Caller {
    async fn send(&self, request: Request, number: usize, sent: Duration) -> Record {
        let start = Instant::now();
        let patience = request.stream.deadline + PATIENCE;
        let answer = compio::time::timeout(patience, self.exchange(&request, number)).await;
        Record {
            key: request.key,
            service: request.stream.service,
            team: request.stream.team,
            idempotent: request.idempotent,
            sent,
            latency: start.elapsed(),
            answer: answer.ok().and_then(Result::ok),
        }
    }

    async fn exchange(&self, request: &Request, number: usize) -> io::Result<Answer> {
        let entry = self.balancer.pick(number);
        let entry = entry.ok_or(io::ErrorKind::NotConnected)?;
        let mut wire = match self.take(entry) {
            Some(wire) => wire,
            None => {
                let stream = TcpStream::connect(entry).await?;
                stream.set_nodelay(true)?;
                Wire::new(stream)
            }
        };
        wire.write(encode(request)).await?;
        let message = wire.read(false).await?;
        let answer = answer(message.ok_or(io::ErrorKind::UnexpectedEof)?);
        if answer.header("connection") != "close" && !wire.surplus() {
            let mut idle = self.idle.borrow_mut();
            idle.entry(entry).or_default().push(wire);
        }
        Ok(answer)
    }

    fn take(&self, entry: SocketAddr) -> Option<Wire> {
        self.idle.borrow_mut().get_mut(&entry)?.pop()
    }
}

fn encode(request: &Request) -> Vec<u8> {
    let Stream {
        service,
        team,
        deadline,
        bytes,
        ..
    } = &request.stream;
    let mut text = format!(
        "POST /{service}/work HTTP/1.1\r\nhost: entry\r\ncontent-length: {bytes}\r\n\
         {KEY}: {}\r\nwigeonhinge-idempotent: {}\r\nwigeonhinge-deadline-ms: {}\r\n",
        request.key,
        request.idempotent,
        deadline.as_millis(),
    );
    if !team.is_empty() {
        text.push_str(&format!("wigeonhinge-team: {team}\r\n"));
    }
    text.push_str("\r\n");
    let mut encoded = text.into_bytes();
    encoded.resize(encoded.len() + bytes, b'x');
    encoded
}

fn answer(message: Message) -> Answer {
    Answer {
        status: message.word(1).parse().unwrap_or(0),
        headers: message.headers.iter().cloned().collect(),
        body: message.body,
    }
}
