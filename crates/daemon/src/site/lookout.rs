//! Talks to one worker: one connection waits for its lists, one carries orders.

use std::cell::Cell;
use std::cell::RefCell;
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
use wigeonhinge::batch::Event;
use wigeonhinge::batch::Grant;
use wigeonhinge::batch::Run;
use wigeonhinge::batch::StartReply;
use wigeonhinge::batch::TaskId;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge_platform::http::Connection;
use wigeonhinge_platform::worker;
use wigeonhinge_platform::worker::Refusal;
use wigeonhinge_platform::worker::Start;
use wigeonhinge_platform::worker::Target;

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
    /// Orders, and when each was given.
    orders: Sender<(Time, Order)>,
    lane: Rc<Lane>,
    _tasks: [JoinHandle<()>; 2],
}

/// What the two connections share.
#[derive(Debug)]
struct Lane {
    target: Target,
    log: Logger,
    inbox: Sender<Message>,
    grant: RefCell<Grant>,
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
        target: Target {
            worker: entry.id.clone(),
            fence,
        },
        log,
        inbox,
        grant: RefCell::new(Grant::default()),
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
        let _ = self.orders.send((clock::now(), order));
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
        let reason = format!("worker {} has a higher fence", self.target.worker);
        let _ = self.inbox.send(Message::Lost(reason));
    }

    /// Returns the end of the lease; a new one begins now if it may be extended.
    ///
    /// An unanswered look may have extended the lease, so a silent worker's is left to end.
    fn lease(&self) -> Option<u64> {
        let mut grant = self.grant.borrow_mut();
        if self.extend.get() && !self.silent.get() {
            // The scheduler counts from when it hears of it, which is not before the lease begins.
            let extended = grant.extend(clock::now());
            if extended.is_some() {
                self.tell(Event::LeaseExtended(self.target.worker.clone()));
                return extended;
            }
        }
        grant.expiry_ms()
    }

    fn settled(&self, task: &TaskId, run: Run) {
        self.grant.borrow_mut().start_settled(task, run);
    }
}

/// Reads the worker's lists again and again.
async fn look(lane: Rc<Lane>, address: SocketAddr) {
    let mut connection = Connection::new(address);
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
        let wait = match lane.stored.get() < seen || lane.grant.borrow().expiry_ms().is_none() {
            true => Duration::ZERO,
            false => WAIT,
        };
        stop_doubtful(&lane, &mut connection).await;
        let asked = clock::now();
        let until = lane.lease();
        let stored = lane.stored.get();
        let look = worker::poll(&mut connection, &lane.target, (stored, until), (wait, CALL));
        match look.await {
            Ok(mut look) => {
                if lane.silent.replace(false) {
                    info!(lane.log, "worker: answers again"; "worker" => %lane.target.worker);
                }
                pause = PAUSE.0;
                if look.unreadable > 0 {
                    warn!(lane.log, "worker: rows of its lists cannot be read";
                        "worker" => %lane.target.worker, "rows" => look.unreadable);
                }
                let mut grant = lane.grant.borrow_mut();
                grant.record_clock(look.clock_ms, clock::now());
                drop(grant);
                if let Some(last) = look.report.finished.iter().map(|end| end.number).max() {
                    seen = last;
                }
                look.report.requested_at = asked;
                let event = Event::Report(lane.target.worker.clone(), look.report);
                lane.tell(event);
            }
            Err(Refusal::Fenced) => return lane.fenced(),
            Err(refusal) => {
                if !lane.silent.replace(true) {
                    warn!(lane.log, "worker: does not answer";
                        "worker" => %lane.target.worker, "reason" => ?refusal);
                }
                compio::time::sleep(pause).await;
                pause = (pause * 2).min(PAUSE.1);
            }
        }
    }
}

/// Stops the starts that could still be carried out under a new lease.
async fn stop_doubtful(lane: &Lane, connection: &mut Connection) {
    let doubtful = lane.grant.borrow().starts_to_stop(clock::now());
    for (task, run) in doubtful {
        let stop = worker::stop(connection, &lane.target, (&task, run), CALL).await;
        info!(lane.log, "worker: start without an answer stopped before a new lease";
            "worker" => %lane.target.worker, "task" => %task, "run" => run,
            "answer" => ?stop);
        match stop {
            Ok(()) => lane.settled(&task, run),
            Err(_) => return,
        }
    }
}

/// Carries orders to the worker, one after the other.
async fn carry(lane: Rc<Lane>, address: SocketAddr, queue: Receiver<(Time, Order)>) {
    let mut connection = Connection::new(address);
    let id = lane.target.worker.clone();
    while let Ok((ordered, order)) = queue.recv_async().await {
        match order {
            Order::Start(task, run, spec, checkpoint) => {
                let now = clock::now();
                if !lane.grant.borrow().may_start(ordered, now) {
                    info!(lane.log, "worker: start dropped, its lease has ended"; "worker" => %id,
                        "task" => %task, "run" => run,
                        "waited_ms" => now.saturating_sub(ordered).as_millis() as u64);
                    lane.tell(Event::StartAnswered(
                        id.clone(),
                        task,
                        run,
                        StartReply::Refused,
                    ));
                    continue;
                }
                lane.grant.borrow_mut().start_sent(&task, run);
                let start = Start {
                    task: task.clone(),
                    run,
                    spec,
                    checkpoint,
                    until_ms: lane.lease().unwrap_or(0),
                };
                let reply = worker::start(&mut connection, &lane.target, &start, CALL).await;
                let reply = match reply {
                    Ok(reply) => reply,
                    Err(Refusal::Fenced) => return lane.fenced(),
                    Err(_) => StartReply::Unknown,
                };
                if reply != StartReply::Unknown {
                    lane.settled(&task, run);
                }
                lane.tell(Event::StartAnswered(id.clone(), task, run, reply));
            }
            Order::Stop(task, run) => {
                let stop = worker::stop(&mut connection, &lane.target, (&task, run), CALL).await;
                if stop.is_ok() {
                    lane.settled(&task, run);
                }
                if let Err(refusal) = &stop {
                    warn!(lane.log, "worker: a stop has no answer"; "worker" => %id,
                        "task" => %task, "reason" => ?refusal);
                }
                lane.tell(Event::StopAnswered(id.clone(), task, run, stop.is_ok()));
            }
            Order::Pace(task, run, percent) => {
                let order = (&task, run, percent);
                if let Err(refusal) = worker::pace(&mut connection, &lane.target, order, CALL).await
                {
                    warn!(lane.log, "worker: a pace has no answer"; "worker" => %id,
                        "task" => %task, "reason" => ?refusal);
                }
            }
        }
    }
}
