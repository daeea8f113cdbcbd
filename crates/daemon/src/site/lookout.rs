//! Talks to one worker: one connection waits for its lists, one carries orders.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use flume::Receiver;
use flume::Sender;
use futures_util::future;
use slog::Logger;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::batch;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::Reply;
use wigeonhinge::batch::Run;
use wigeonhinge::batch::TaskId;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge_platform::http::Link;
use wigeonhinge_platform::worker;
use wigeonhinge_platform::worker::Authority;
use wigeonhinge_platform::worker::Refusal;
use wigeonhinge_platform::worker::Start;

use crate::site::clock;
use crate::site::role::Message;

/// Time for which a look waits for an end.
const WAIT: Duration = Duration::from_millis(700);

/// Time for an answer beyond the wait.
const CALL: Duration = Duration::from_millis(300);

/// Time in which the store is expected to hold the ends of the last look.
const STORED: Duration = Duration::from_millis(100);

/// First and longest pause after a look without an answer.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// Order to a worker.
#[derive(Debug)]
pub(super) enum Order {
    /// Start a run.
    Start(
        TaskId,
        Run,
        compact_str::CompactString,
        compact_str::CompactString,
    ),
    /// Stop a run.
    Stop(TaskId, Run),
    /// Let a run work at a share of its speed, in percent.
    Pace(TaskId, Run, u32),
}

/// Running tasks for one worker; dropping it ends them.
#[derive(Debug)]
pub(super) struct Handle {
    pub(super) address: SocketAddr,
    orders: Sender<Order>,
    lane: Rc<Lane>,
    _tasks: [JoinHandle<()>; 2],
}

/// What the two connections share.
#[derive(Debug)]
struct Lane {
    authority: Authority,
    log: Logger,
    inbox: Sender<Message>,
    /// Time on the worker's clock, and when it was read.
    clock: Cell<Option<(u64, Time)>>,
    /// End of the lease on the worker's clock.
    until: Cell<u64>,
    /// Ends up to this number are stored.
    stored: Cell<u64>,
    changed: event_listener::Event,
    /// Whether leases may be extended.
    extend: Rc<Cell<bool>>,
    /// Whether the last look had no answer.
    silent: Cell<bool>,
}

/// Starts to talk to a worker.
pub(super) fn spawn(
    entry: &WorkerEntry,
    fence: u64,
    extend: Rc<Cell<bool>>,
    (log, inbox): (Logger, Sender<Message>),
) -> Option<Handle> {
    let address: SocketAddr = entry.address.parse().ok()?;
    let (orders, queue) = flume::unbounded();
    let lane = Rc::new(Lane {
        authority: Authority {
            worker: entry.id.clone(),
            fence,
        },
        log,
        inbox,
        clock: Cell::new(None),
        until: Cell::new(0),
        stored: Cell::new(0),
        changed: event_listener::Event::new(),
        extend,
        silent: Cell::new(false),
    });
    let tasks = [
        compio::runtime::spawn(look(Rc::clone(&lane), address)),
        compio::runtime::spawn(carry(Rc::clone(&lane), address, queue)),
    ];
    Some(Handle {
        address,
        orders,
        lane,
        _tasks: tasks,
    })
}

impl Handle {
    pub(super) fn order(&self, order: Order) {
        // The receiver lives as long as this handle.
        let _ = self.orders.send(order);
    }

    /// Acknowledges ends up to a number with the next look.
    pub(super) fn acknowledge(&self, end: u64) {
        self.lane.stored.set(end);
        self.lane.changed.notify(1);
    }
}

impl Lane {
    fn tell(&self, event: Event) {
        // The receiver is gone only if the role was given up.
        let _ = self.inbox.send(Message::Event(event));
    }

    fn fenced(&self) {
        let reason = format!("worker {} has a higher fence", self.authority.worker);
        let _ = self.inbox.send(Message::Lost(reason));
    }

    /// Returns the end of the lease; a new one begins now if it may be extended.
    ///
    /// An unanswered look may have extended the lease, so a silent worker's is left to end.
    fn lease(&self) -> Option<u64> {
        let (millis, read) = self.clock.get()?;
        if self.extend.get() && !self.silent.get() {
            self.tell(Event::Extended(self.authority.worker.clone()));
            let elapsed = clock::now().saturating_sub(read) + batch::LEASE;
            let until = millis + elapsed.as_millis() as u64;
            self.until.set(self.until.get().max(until));
        }
        Some(self.until.get())
    }
}

/// Reads the worker's lists again and again.
async fn look(lane: Rc<Lane>, address: SocketAddr) {
    let mut link = Link::new(address);
    let mut pause = PAUSE.0;
    let mut seen = 0;
    loop {
        if lane.stored.get() < seen {
            let listener = lane.changed.listen();
            if lane.stored.get() < seen {
                let sleep = compio::time::sleep(STORED);
                future::select(Box::pin(listener), Box::pin(sleep)).await;
            }
        }
        // A look with ends that are not stored yet is answered at once anyway.
        let wait = match lane.stored.get() < seen || lane.clock.get().is_none() {
            true => Duration::ZERO,
            false => WAIT,
        };
        let asked = clock::now();
        let until = lane.lease();
        let stored = lane.stored.get();
        let look = worker::look(&mut link, &lane.authority, (stored, until), (wait, CALL));
        match look.await {
            Ok(mut look) => {
                if lane.silent.replace(false) {
                    info!(lane.log, "worker: answers again"; "worker" => %lane.authority.worker);
                }
                pause = PAUSE.0;
                lane.clock.set(Some((look.clock_ms, clock::now())));
                if let Some(last) = look.report.finished.iter().map(|end| end.number).max() {
                    seen = last;
                }
                look.report.asked = asked;
                let event = Event::Report(lane.authority.worker.clone(), look.report);
                lane.tell(event);
            }
            Err(Refusal::Fenced) => return lane.fenced(),
            Err(refusal) => {
                if !lane.silent.replace(true) {
                    warn!(lane.log, "worker: does not answer";
                        "worker" => %lane.authority.worker, "reason" => ?refusal);
                }
                compio::time::sleep(pause).await;
                pause = (pause * 2).min(PAUSE.1);
            }
        }
    }
}

/// Carries orders to the worker, one after the other.
async fn carry(lane: Rc<Lane>, address: SocketAddr, queue: Receiver<Order>) {
    let mut link = Link::new(address);
    let id = lane.authority.worker.clone();
    while let Ok(order) = queue.recv_async().await {
        match order {
            Order::Start(task, run, spec, checkpoint) => {
                let start = Start {
                    task: task.clone(),
                    run,
                    spec,
                    checkpoint,
                    until_ms: lane.lease().unwrap_or(0),
                };
                let reply = worker::start(&mut link, &lane.authority, &start, CALL).await;
                let reply = match reply {
                    Ok(reply) => reply,
                    Err(Refusal::Fenced) => return lane.fenced(),
                    Err(_) => Reply::Unknown,
                };
                lane.tell(Event::Started(id.clone(), task, run, reply));
            }
            Order::Stop(task, run) => {
                let stop = worker::stop(&mut link, &lane.authority, (&task, run), CALL).await;
                if let Err(refusal) = &stop {
                    warn!(lane.log, "worker: a stop has no answer"; "worker" => %id,
                        "task" => %task, "reason" => ?refusal);
                }
                lane.tell(Event::Stopped(id.clone(), task, run, stop.is_ok()));
            }
            Order::Pace(task, run, percent) => {
                let order = (&task, run, percent);
                if let Err(refusal) = worker::pace(&mut link, &lane.authority, order, CALL).await {
                    warn!(lane.log, "worker: a pace has no answer"; "worker" => %id,
                        "task" => %task, "reason" => ?refusal);
                }
            }
        }
    }
}
