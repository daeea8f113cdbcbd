//! Communication with one worker: one connection polls its lists, another sends orders.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use flume::Sender;
use futures_util::future;
use slog::Logger;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::batch::Contact;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::Grant;
use wigeonhinge::batch::Order;
use wigeonhinge::batch::Outbox;
use wigeonhinge::batch::Report;
use wigeonhinge::batch::Run;
use wigeonhinge::batch::StartReply;
use wigeonhinge::batch::TaskId;
use wigeonhinge::batch::WorkerEntry;
use wigeonhinge::batch::WorkerId;
use wigeonhinge::id::Fence;
use wigeonhinge::id::Revision;
use wigeonhinge_platform::http::Connection;
use wigeonhinge_platform::worker;
use wigeonhinge_platform::worker::Refusal;
use wigeonhinge_platform::worker::Start;
use wigeonhinge_platform::worker::StartAnswer;
use wigeonhinge_platform::worker::Target;

use crate::site::clock;
use crate::site::election::Term;
use crate::site::message::Message;
use crate::site::metrics::Metrics;

/// Time for which a worker may delay its response to a poll until a run ends.
const POLL_WAIT: Duration = Duration::from_millis(700);

/// Time limit for a response, in addition to the wait of a poll.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time limit for the response to a poll. The limit doubles with each failure, as a slow
/// link may delay all responses; a lease lasts longer than such a poll.
const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longest time for which a poll waits until the store holds the ends that the last poll returned.
const STORE_WAIT: Duration = Duration::from_millis(100);

/// First and longest pause after a failed poll; the pause doubles with each failure.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// Time between two checks whether the store gave a new fence.
const FENCE_CHECK: Duration = Duration::from_millis(5);

/// Time in the queue from which the sending of a start or stop is logged; shorter waits are frequent
/// and follow from the log line of the decision.
const LOGGED_WAIT: Duration = Duration::from_millis(200);

/// Handle to the polling and sending tasks of one worker; dropping it stops them.
#[derive(Debug)]
pub(super) struct Handle {
    pub(super) address: SocketAddr,
    inner: Rc<Inner>,
    _tasks: [JoinHandle<()>; 2],
}

/// State that the polling and the sending task share.
#[derive(Debug)]
struct Inner {
    worker: WorkerId,
    /// Fence of all calls, which rises with each incarnation of the worker.
    fence: Cell<Fence>,
    /// Revision of the role's last write.
    revision: Rc<Cell<Revision>>,
    log: Logger,
    metrics: Metrics,
    inbox: Sender<Message>,
    grant: RefCell<Grant>,
    outbox: RefCell<Outbox>,
    outbox_changed: event_listener::Event,
    /// Incarnation whose lists were reported last, as the time at which it began; 0 if unknown.
    incarnation: Cell<u64>,
    /// Highest number of an end that the store holds, with the incarnation that numbered it.
    acknowledged: Cell<(u64, u64)>,
    acknowledged_changed: event_listener::Event,
    /// Highest number that an answered poll acknowledged to the present incarnation.
    confirmed: Cell<u64>,
    /// Whether a poll that acknowledges ends is under way, or waits for the outcomes of starts.
    acknowledging: Cell<bool>,
    /// Notified when that ends, and when the outcome of a start is known.
    call_ended: event_listener::Event,
    /// Contact of the role holder, which lets it extend leases.
    contact: Rc<Cell<Contact>>,
    /// Whether the last poll failed, or was answered by an incarnation that may still carry out calls
    /// that were meant for an earlier one.
    unresponsive: Cell<bool>,
}

/// Starts the tasks for a worker; returns `None` if its address is unknown.
///
/// `rack_fence` is the lowest fence that is valid for the worker's rack.
pub(super) fn spawn(
    entry: &WorkerEntry,
    rack_fence: Fence,
    term: &Term,
    (log, metrics, inbox): (Logger, Metrics, Sender<Message>),
) -> Option<Handle> {
    let address = entry.address?;
    let inner = Rc::new(Inner {
        worker: entry.id.clone(),
        // An earlier connection of this term may have raised the worker's fence.
        fence: Cell::new(rack_fence.max(term.revision.get())),
        revision: Rc::clone(&term.revision),
        log,
        metrics,
        inbox,
        grant: RefCell::new(Grant::default()),
        outbox: RefCell::new(Outbox::default()),
        outbox_changed: event_listener::Event::new(),
        incarnation: Cell::new(0),
        acknowledged: Cell::default(),
        acknowledged_changed: event_listener::Event::new(),
        confirmed: Cell::new(0),
        acknowledging: Cell::new(false),
        call_ended: event_listener::Event::new(),
        contact: Rc::clone(&term.contact),
        unresponsive: Cell::new(false),
    });
    let tasks = [
        compio::runtime::spawn(poll_lists(Rc::clone(&inner), address)),
        compio::runtime::spawn(send_orders(Rc::clone(&inner), address)),
    ];
    Some(Handle {
        address,
        inner,
        _tasks: tasks,
    })
}

impl Handle {
    /// Queues an order. A stop of a run whose start is still queued withdraws the start.
    pub(super) fn order(&self, order: Order) {
        let inner = &self.inner;
        let withdrawn = inner.outbox.borrow_mut().push(order, clock::now());
        if let Some((task, run)) = withdrawn {
            inner.report_start(task, run, StartReply::NotSent);
        } else {
            inner.outbox_changed.notify(1);
        }
    }

    /// Drops the stop of a run that is not sent yet.
    pub(super) fn withdraw_stop(&self, task: &TaskId, run: Run) {
        self.inner.outbox.borrow_mut().withdraw_stop(task, run);
    }

    /// Withdraws all starts that are still queued.
    pub(super) fn withdraw_starts(&self) {
        let withdrawn = self.inner.outbox.borrow_mut().withdraw_starts();
        self.inner.report_withdrawn(withdrawn);
    }

    /// Returns the time after which the worker's lease has ended for certain, if it ever had one.
    pub(super) fn lease_end(&self) -> Option<Time> {
        self.inner.grant.borrow().lease_end()
    }

    /// Returns whether no order is queued and the outcome of every start is known.
    pub(super) fn is_settled(&self) -> bool {
        self.inner.outbox.borrow().is_empty() && self.inner.grant.borrow().is_settled()
    }

    /// Acknowledges ends of an incarnation up to a number with the next poll.
    ///
    /// The worker may have restarted since it reported them, and numbers its ends anew. If it has not
    /// answered yet, its first answer tells whether they are ends of its present incarnation.
    pub(super) fn acknowledge(&self, incarnation: u64, end: u64) {
        let known = self.inner.incarnation.get();
        if known != 0 && incarnation != known {
            return;
        }
        self.inner.acknowledged.set((incarnation, end));
        self.inner.acknowledged_changed.notify(1);
    }
}

impl Inner {
    fn send_event(&self, event: Event) {
        // The receiver is gone only if the role has been given up.
        let _ = self.inbox.send(Message::Event(event));
    }

    /// Returns the target of the next call.
    fn target(&self) -> Target {
        Target {
            worker: self.worker.clone(),
            fence: self.fence.get(),
        }
    }

    /// Raises the fence above that of all calls so far, once the store has given one.
    async fn raise_fence(&self) {
        let before = self.fence.get();
        if self.revision.get() <= before {
            // The receiver is gone only if the role has been given up.
            let _ = self.inbox.send(Message::FenceNeeded);
        }
        while self.revision.get() <= before {
            compio::time::sleep(FENCE_CHECK).await;
        }
        self.fence.set(self.revision.get());
    }

    fn report_start(&self, task: TaskId, run: Run, reply: StartReply) {
        let worker = self.worker.clone();
        self.send_event(Event::StartAnswered(worker, task, run, reply));
    }

    fn report_withdrawn(&self, starts: Vec<(TaskId, Run)>) {
        for (task, run) in starts {
            self.report_start(task, run, StartReply::NotSent);
        }
    }

    fn report_fenced(&self) {
        // The polls of the other workers go on until the role handles the message.
        let mut contact = self.contact.get();
        contact.end();
        self.contact.set(contact);
        let reason = format!("worker {} has a higher fence", self.worker);
        let _ = self.inbox.send(Message::Lost(reason));
    }

    /// Waits for the next order to send; withdraws starts that have waited for too long.
    async fn next_order(&self) -> (Time, Order) {
        loop {
            let listener = self.outbox_changed.listen();
            let overdue = self.outbox.borrow_mut().withdraw_overdue(clock::now());
            self.report_withdrawn(overdue);
            if let Some(order) = self.outbox.borrow_mut().pop() {
                return order;
            }
            listener.await;
        }
    }

    /// Extends the lease if that is allowed; returns its end, if there is one.
    ///
    /// The lease of an unresponsive worker is left to end, because a poll without a response may
    /// already have extended it. Its end is not repeated either: the worker may have restarted with
    /// a clock that starts anew, on which that end is far in the future.
    fn extend_lease(&self) -> Option<u64> {
        if self.unresponsive.get() {
            return None;
        }
        let mut grant = self.grant.borrow_mut();
        let now = clock::now();
        let extended = match self.contact.get().may_extend(now) {
            true => grant.extend(now),
            false => None,
        };
        extended.or_else(|| grant.expiry_ms())
    }

    /// Records for how long an order waited until it is sent.
    fn record_wait(&self, ordered: Time, order: &Order) {
        let waited = clock::now().saturating_sub(ordered);
        self.metrics.record_time("order.wait", waited);
        let (kind, task, run) = match order {
            Order::Start { task, run, .. } => ("start", task, run),
            Order::Stop(task, run) => ("stop", task, run),
            Order::Pace(..) => return,
        };
        if waited > LOGGED_WAIT {
            info!(self.log, "worker: sending an order that waited";
                "worker" => %self.worker, "order" => kind, "task" => %task, "run" => run,
                "waited_ms" => waited.as_millis() as u64);
        }
    }

    /// Returns the highest number of an end of the present incarnation that the store holds.
    fn acknowledged(&self) -> u64 {
        match self.acknowledged.get() {
            (incarnation, end) if incarnation == self.incarnation.get() => end,
            _ => 0,
        }
    }

    /// Returns up to which number the next poll acknowledges ends; 0 for none. No start is sent from then
    /// on until [`Inner::end_acknowledgement`].
    ///
    /// A start and a poll without answers may both reach the worker's next incarnation. If the poll
    /// comes after the end of the run there, it acknowledges that end, which is then in no list. So
    /// ends are acknowledged once, while the outcome of every start is known.
    async fn begin_acknowledgement(&self) -> u64 {
        let end = self.acknowledged();
        // The next incarnation of a worker that has restarted numbers its ends anew.
        if self.unresponsive.get() || end <= self.confirmed.get() {
            return 0;
        }
        self.acknowledging.set(true);
        let deadline = clock::now() + STORE_WAIT;
        loop {
            let listener = self.call_ended.listen();
            if self.grant.borrow().is_settled() {
                return end;
            }
            let left = deadline.saturating_sub(clock::now());
            if left.is_zero() || compio::time::timeout(left, listener).await.is_err() {
                self.end_acknowledgement();
                return 0;
            }
        }
    }

    fn end_acknowledgement(&self) {
        self.acknowledging.set(false);
        self.call_ended.notify(usize::MAX);
    }

    /// Waits until no poll that acknowledges ends is under way. One that waits for the outcomes of other
    /// starts does not hold up a start, as these may take seconds.
    async fn wait_for_acknowledgement(&self) {
        loop {
            let listener = self.call_ended.listen();
            if !self.acknowledging.get() || !self.grant.borrow().is_settled() {
                return;
            }
            listener.await;
        }
    }

    /// Forgets what belonged to the worker's earlier incarnation; the numbers of its ends, its clock
    /// and so its lease start anew.
    fn start_incarnation(&self) {
        self.confirmed.set(0);
        self.grant.borrow_mut().restart(clock::now());
    }

    /// Returns the reply to a start that was sent when the worker's clock showed at least `earliest`, or
    /// that it is unknown if the worker's next incarnation gave it: that one keeps the run under a lease
    /// of its own clock, and may be cut off before its first report.
    fn check_clock(&self, answer: StartAnswer, earliest: Option<u64>) -> StartReply {
        match (answer.clock_ms, earliest) {
            (Some(clock), Some(earliest)) if clock < earliest => {
                self.unresponsive.set(true);
                info!(self.log, "worker: its clock starts anew, its next incarnation answers a start";
                    "worker" => %self.worker, "clock_ms" => clock, "reply" => ?answer.reply);
            }
            _ => return answer.reply,
        }
        match answer.reply {
            StartReply::Started => StartReply::Unknown,
            reply => reply,
        }
    }

    /// Returns whether a report is that of another incarnation than the one that was reported last.
    fn is_next_incarnation(&self, report: &Report) -> bool {
        let (known, born) = (self.incarnation.get(), report.incarnation);
        known != 0 && born != 0 && known != born
    }

    fn settle(&self, task: &TaskId, run: Run) {
        self.grant.borrow_mut().start_settled(task, run);
        self.call_ended.notify(usize::MAX);
    }

    /// Settles the starts of runs that the worker lists: a start is not executed twice.
    fn settle_listed(&self, report: &Report) {
        let running = report.running.iter().map(|it| (&it.task, it.run));
        let finished = report.finished.iter().map(|it| (&it.task, it.run));
        for (task, run) in running.chain(finished) {
            self.settle(task, run);
        }
    }
}

/// Polls the worker's lists and extends its lease until the role is lost.
async fn poll_lists(inner: Rc<Inner>, address: SocketAddr) {
    let mut connection = Connection::new(address);
    let mut retry_pause = RETRY_PAUSE.0;
    let mut timeout = CALL_TIMEOUT;
    let mut last_received = 0;
    let mut replaced = false;
    let mut list_is_cut = false;
    // Incarnation that answered before the fence was raised for it.
    let mut unfenced = 0;
    loop {
        if inner.acknowledged() < last_received {
            let listener = inner.acknowledged_changed.listen();
            if inner.acknowledged() < last_received {
                let sleep = compio::time::sleep(STORE_WAIT);
                future::select(Box::pin(listener), Box::pin(sleep)).await;
            }
        }
        // The worker responds at once anyway while it has ends that are not acknowledged.
        let answered_at_once =
            inner.acknowledged() < last_received || inner.grant.borrow().expiry_ms().is_none();
        let acknowledged = inner.begin_acknowledgement().await;
        let wait = match answered_at_once || unfenced != 0 || acknowledged != 0 {
            true => Duration::ZERO,
            false => POLL_WAIT,
        };
        stop_unresolved_starts(&inner, &mut connection).await;
        let polled_at = clock::now();
        let answered_by = polled_at + wait + timeout;
        let until = inner.extend_lease();
        let target = inner.target();
        let poll = worker::poll(
            &mut connection,
            &target,
            (acknowledged, until),
            (wait, timeout),
        );
        let answer = poll.await;
        if acknowledged != 0 {
            inner.end_acknowledgement();
        }
        match answer {
            Ok(status)
                if inner.is_next_incarnation(&status.report)
                    && status.report.incarnation != unfenced =>
            {
                unfenced = status.report.incarnation;
                inner.unresponsive.set(true);
                inner.raise_fence().await;
                // This list is withheld, as the incarnation may still begin runs that it lacks.
                info!(inner.log, "worker: started again under its identifier";
                    "worker" => %inner.worker, "born" => unfenced, "fence" => inner.fence.get(),
                    "clock_ms" => status.clock_ms, "runs" => status.report.running.len(),
                    "ended" => status.report.finished.len(), "acknowledged" => acknowledged,
                    "until_ms" => until);
            }
            Ok(mut status) => {
                if inner.unresponsive.replace(false) {
                    info!(inner.log, "worker: responds to polls again";
                        "worker" => %inner.worker);
                }
                retry_pause = RETRY_PAUSE.0;
                timeout = CALL_TIMEOUT;
                if status.unreadable > 0 {
                    warn!(inner.log, "worker: rows of its lists cannot be decoded, ignoring them";
                        "worker" => %inner.worker, "rows" => status.unreadable);
                }
                if inner.is_next_incarnation(&status.report) {
                    inner.start_incarnation();
                    last_received = 0;
                    unfenced = 0;
                }
                if status.report.incarnation != 0 {
                    inner.incarnation.set(status.report.incarnation);
                }
                inner.confirmed.set(inner.confirmed.get().max(acknowledged));
                let mut grant = inner.grant.borrow_mut();
                grant.record_clock(status.clock_ms, clock::now());
                drop(grant);
                if let Some(last) = status.report.finished.iter().map(|end| end.number).max() {
                    last_received = last;
                }
                let cut = status.report.more_finished;
                if std::mem::replace(&mut list_is_cut, cut) != cut {
                    let message = match cut {
                        true => "worker: lists a part of its ended runs, none counts as lost",
                        false => "worker: lists all of its ended runs again",
                    };
                    info!(inner.log, "{}", message; "worker" => %inner.worker,
                        "listed" => status.report.finished.len(), "acknowledged" => acknowledged);
                }
                inner.settle_listed(&status.report);
                status.report.requested_at = polled_at;
                status.report.answered_by = answered_by;
                let event = Event::Report(inner.worker.clone(), status.report);
                inner.send_event(event);
            }
            Err(Refusal::Fenced) => return inner.report_fenced(),
            Err(refusal) => {
                if !inner.unresponsive.replace(true) {
                    // A poll without an answer may reach the worker's next incarnation.
                    warn!(inner.log, "worker: does not answer";
                        "worker" => %inner.worker, "reason" => ?refusal,
                        "acknowledged" => acknowledged, "until_ms" => until);
                }
                if refusal == Refusal::OtherInstance && !std::mem::replace(&mut replaced, true) {
                    info!(inner.log, "worker: another instance answers at its address";
                        "worker" => %inner.worker);
                    inner.send_event(Event::WorkerGone(inner.worker.clone()));
                }
                compio::time::sleep(retry_pause).await;
                retry_pause = (retry_pause * 2).min(RETRY_PAUSE.1);
                timeout = (timeout * 2).min(MAX_POLL_TIMEOUT);
            }
        }
    }
}

/// Stops runs whose start got no response: the worker could still execute a delayed start once it
/// has a new lease.
async fn stop_unresolved_starts(inner: &Inner, connection: &mut Connection) {
    let unresolved = inner.grant.borrow().starts_to_stop(clock::now());
    for (task, run) in unresolved {
        let stop = worker::stop(connection, &inner.target(), (&task, run), CALL_TIMEOUT).await;
        info!(inner.log, "worker: ordered the stop of a run whose start had no response";
            "worker" => %inner.worker, "task" => %task, "run" => run,
            "answer" => ?stop);
        match stop {
            Ok(()) => inner.settle(&task, run),
            Err(_) => return,
        }
    }
}

/// Sends the queued orders to the worker, one at a time.
async fn send_orders(inner: Rc<Inner>, address: SocketAddr) {
    let mut connection = Connection::new(address);
    let id = inner.worker.clone();
    loop {
        let (ordered, order) = inner.next_order().await;
        inner.record_wait(ordered, &order);
        match order {
            Order::Start {
                task,
                run,
                spec,
                checkpoint,
            } => {
                inner.wait_for_acknowledgement().await;
                let now = clock::now();
                // A worker that has restarted answers no poll at first. Until one is answered, its
                // clock and its incarnation are unknown.
                if inner.unresponsive.get() || !inner.grant.borrow().may_start(ordered, now) {
                    info!(inner.log, "worker: silent, or lease ended before a start was sent";
                        "worker" => %id, "task" => %task, "run" => run,
                        "waited_ms" => now.saturating_sub(ordered).as_millis() as u64);
                    inner.report_start(task, run, StartReply::NotSent);
                    continue;
                }
                inner.grant.borrow_mut().start_sent(&task, run);
                let start = Start {
                    task: task.clone(),
                    run,
                    spec,
                    checkpoint,
                    until_ms: inner.extend_lease().unwrap_or(0),
                };
                let target = inner.target();
                let earliest = inner.grant.borrow().earliest_clock(clock::now());
                let answer = worker::start(&mut connection, &target, &start, CALL_TIMEOUT).await;
                let reply = match answer {
                    Ok(answer) => inner.check_clock(answer, earliest),
                    // The worker's next incarnation refuses starts that were meant for this one.
                    Err(Refusal::Fenced) if target.fence < inner.fence.get() => StartReply::Refused,
                    Err(Refusal::Fenced) => return inner.report_fenced(),
                    Err(_) => StartReply::Unknown,
                };
                if reply != StartReply::Unknown {
                    inner.settle(&task, run);
                }
                inner.report_start(task, run, reply);
            }
            Order::Stop(task, run) => {
                let stop =
                    worker::stop(&mut connection, &inner.target(), (&task, run), CALL_TIMEOUT)
                        .await;
                if stop.is_ok() {
                    inner.settle(&task, run);
                }
                if let Err(refusal) = &stop {
                    warn!(inner.log, "worker: a stop failed or had no response"; "worker" => %id,
                        "task" => %task, "reason" => ?refusal);
                }
                inner.send_event(Event::StopAnswered(id.clone(), task, run, stop.is_ok()));
            }
            Order::Pace(task, run, percent) => {
                let order = (&task, run, percent);
                let pace =
                    worker::pace(&mut connection, &inner.target(), order, CALL_TIMEOUT).await;
                if let Err(refusal) = &pace {
                    warn!(inner.log, "worker: a pace failed or had no response"; "worker" => %id,
                        "task" => %task, "reason" => ?refusal);
                }
                inner.send_event(Event::PaceAnswered(id.clone(), task, run, pace.is_ok()));
            }
        }
    }
}
