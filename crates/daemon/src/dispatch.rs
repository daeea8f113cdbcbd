//! The dispatch thread, which owns the [`Gateway`] and decides on every request.
//!
//! I/O threads and the control plane send messages through one bounded
//! channel. The dispatch thread never waits for an I/O thread: if the mailbox
//! of an I/O thread is full, the reply is dropped and a granted request is
//! cancelled.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::gateway::Action;
use wigeonhinge::gateway::Arrival;
use wigeonhinge::gateway::Event;
use wigeonhinge::gateway::Gateway;
use wigeonhinge::gateway::SendOutcome;
use wigeonhinge::gateway::Status;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::ServiceId;
use wigeonhinge::id::Ticket;
use wigeonhinge::id::UpstreamId;
use wigeonhinge::outcome::ErrorKind;
use wigeonhinge_schema::fleet::Fleet;

use crate::report::Report;
use crate::settings::Settings;

const INBOX_CAPACITY: usize = 16_384;
const MAILBOX_CAPACITY: usize = 16_384;
const ACTIONS_CAPACITY: usize = 1_024;
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Period at which the gauges of the gateway are reported.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);
const DEFAULT_HEALTH_PATH: &str = "/healthz";

/// Handle by which the control plane reaches the dispatch thread.
///
/// The control plane sends adopted fleets ([`Event::Configure`]), live entries of the
/// zone ([`Event::Members`], [`Event::MembershipConfirmed`]), leaving VMs
/// ([`Event::LeavingVms`]) and messages of peers on loans ([`Event::Offers`],
/// [`Event::Borrow`], [`Event::Loan`], [`Event::Return`]). It receives the
/// actions on loans and sends them to the peers concerned.
#[derive(Clone, Debug)]
pub struct Control {
    inbox: Sender<Message>,
    actions: Receiver<Action>,
}

impl Control {
    /// Sends an event, waiting while the channel is full; returns false once the entry has stopped.
    pub fn send(&self, event: Event) -> bool {
        self.inbox.send(Message::Control(event)).is_ok()
    }

    /// Returns the actions on loans: [`Action::Borrow`], [`Action::Loan`] and
    /// [`Action::Return`].
    ///
    /// While 1,024 actions wait to be received, further ones are dropped; the
    /// loans concerned expire.
    pub fn actions(&self) -> Receiver<Action> {
        self.actions.clone()
    }

    /// Returns the state of the gateway; `None` once the entry has stopped.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let (answer, snapshot) = flume::bounded(1);
        self.inbox.send(Message::Snapshot(answer)).ok()?;
        snapshot.recv().ok()
    }

    pub(crate) fn close(&self) {
        let _ = self.inbox.send(Message::Close);
    }
}

/// State of the gateway at the time of the call.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// State of the services and upstreams, with counters since the start of the entry.
    pub status: Status,
    /// Idle slots to advertise to peers.
    pub offers: BTreeMap<UpstreamId, u32>,
}

/// Message to the dispatch thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request has arrived on I/O thread `thread`.
    Arrive { thread: usize, arrival: Arrival },
    /// An attempt to send a request ended.
    Report { ticket: Ticket, sent: SendOutcome },
    /// A request ended before its final report, as when its caller closes the connection.
    Cancel(Ticket),
    /// An upstream started or stopped announcing that it is leaving.
    Leaving { upstream: UpstreamId, leaving: bool },
    /// A probe of an upstream on a new connection was not answered.
    ProbeFailed(UpstreamId),
    /// An event of the control plane.
    Control(Event),
    /// The control plane asks for the state of the gateway.
    Snapshot(Sender<Snapshot>),
    /// The entry has stopped.
    Close,
}

/// Message to an I/O thread.
#[derive(Clone, Debug)]
pub(crate) enum IoMessage {
    /// Decision on a request.
    Reply(Ticket, Reply),
    /// Idle connections that all I/O threads together may keep to an upstream.
    Connections { upstream: UpstreamId, limit: u32 },
}

/// Decision on a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Send the request to this upstream.
    Grant(Target),
    /// Respond to the caller with this error.
    Refuse(ErrorKind),
}

/// Upstream to which a request is sent.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) health_path: CompactString,
}

/// Handle by which the I/O threads reach the dispatch thread.
#[derive(Clone, Debug)]
pub(crate) struct DispatchHandle {
    entry: EntryId,
    inbox: Sender<Message>,
    actions: Receiver<Action>,
    tickets: Arc<AtomicU64>,
    start: Instant,
}

impl DispatchHandle {
    pub(crate) fn control(&self) -> Control {
        Control {
            inbox: self.inbox.clone(),
            actions: self.actions.clone(),
        }
    }

    pub(crate) fn entry(&self) -> &EntryId {
        &self.entry
    }

    /// Returns a request number that is unique until the entry restarts.
    pub(crate) fn ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Converts an instant to the gateway's clock.
    pub(crate) fn time(&self, at: Instant) -> Time {
        at.saturating_duration_since(self.start)
    }

    /// Announces a request; returns false if the channel is full, which means overload.
    pub(crate) fn arrive(&self, thread: usize, arrival: Arrival) -> bool {
        let message = Message::Arrive { thread, arrival };
        self.inbox.try_send(message).is_ok()
    }

    /// Sends a message that must not be dropped; blocks while the channel is full.
    pub(crate) fn send(&self, message: Message) {
        let _ = self.inbox.send(message);
    }
}

/// Ends of the channels that the dispatch thread holds.
#[derive(Debug)]
pub(crate) struct Inbox {
    messages: Receiver<Message>,
    actions: Sender<Action>,
    start: Instant,
}

/// Creates the channels between the dispatch thread and the rest of the entry.
pub(crate) fn channel(entry: EntryId) -> (DispatchHandle, Inbox) {
    let (inbox, messages) = flume::bounded(INBOX_CAPACITY);
    let (sender, actions) = flume::bounded(ACTIONS_CAPACITY);
    let start = Instant::now();
    let dispatcher = DispatchHandle {
        entry,
        inbox,
        actions,
        tickets: Arc::default(),
        start,
    };
    let inbox = Inbox {
        messages,
        actions: sender,
        start,
    };
    (dispatcher, inbox)
}

/// Creates the channel from the dispatch thread to one I/O thread.
pub(crate) fn mailbox() -> (Sender<IoMessage>, Receiver<IoMessage>) {
    flume::bounded(MAILBOX_CAPACITY)
}

/// The dispatch thread: the gateway, and what is needed to carry out its actions.
#[derive(Debug)]
pub(crate) struct Dispatch {
    gateway: Gateway,
    inbox: Inbox,
    mailboxes: Vec<Sender<IoMessage>>,
    /// I/O thread of each open request.
    threads: BTreeMap<Ticket, usize>,
    health_paths: BTreeMap<ServiceId, CompactString>,
    /// Service of each upstream.
    assignments: BTreeMap<UpstreamId, ServiceId>,
    report: Report,
}

impl Dispatch {
    pub(crate) fn new(
        settings: &Settings,
        inbox: Inbox,
        mailboxes: Vec<Sender<IoMessage>>,
        report: Report,
    ) -> Self {
        Self {
            gateway: Gateway::new(settings.entry.clone(), settings.zone.clone()),
            inbox,
            mailboxes,
            threads: BTreeMap::new(),
            health_paths: BTreeMap::new(),
            assignments: BTreeMap::new(),
            report,
        }
    }

    pub(crate) fn run(mut self) {
        let mut tick_due = Instant::now() + TICK_PERIOD;
        let mut gauges_due = tick_due;
        loop {
            match self.inbox.messages.recv_deadline(tick_due) {
                Ok(Message::Close) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
            }
            let now = Instant::now();
            if now >= tick_due {
                tick_due = now + TICK_PERIOD;
                self.apply(Event::Tick);
            }
            if now >= gauges_due {
                gauges_due = now + GAUGE_PERIOD;
                self.report.gateway(&self.gateway.status());
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Arrive { thread, arrival } => self.arrive(thread, arrival),
            Message::Report { ticket, sent } => self.report(ticket, sent),
            Message::Cancel(ticket) => {
                self.threads.remove(&ticket);
                self.apply(Event::Cancel(ticket));
            }
            Message::Leaving { upstream, leaving } => self.leaving(upstream, leaving),
            Message::ProbeFailed(upstream) => {
                warn!(self.report.log(), "exchange: upstream did not answer a probe; \
                    counted as enough failures for its ejection"; "upstream" => %upstream);
                self.apply(Event::ProbeFailed(upstream));
            }
            Message::Snapshot(answer) => {
                let _ = answer.try_send(Snapshot {
                    status: self.gateway.status(),
                    offers: self.gateway.offers(),
                });
            }
            Message::Control(event) => {
                if let Event::Configure(fleet) = &event {
                    self.adopt(fleet);
                }
                self.apply(event);
            }
            Message::Close => {}
        }
    }

    fn arrive(&mut self, thread: usize, arrival: Arrival) {
        self.threads.insert(arrival.ticket, thread);
        self.apply(Event::Arrive(arrival));
    }

    fn report(&mut self, ticket: Ticket, outcome: SendOutcome) {
        if let SendOutcome::Answered { .. } = outcome {
            self.threads.remove(&ticket);
        }
        self.apply(Event::Report { ticket, outcome });
    }

    fn leaving(&mut self, upstream: UpstreamId, leaving: bool) {
        let log = self.report.log();
        info!(log, "exchange: upstream started or stopped announcing that it is leaving";
            "upstream" => %upstream, "leaving" => leaving);
        self.apply(match leaving {
            true => Event::UpstreamLeaving(upstream),
            false => Event::UpstreamRejoined(upstream),
        });
    }

    fn adopt(&mut self, fleet: &Fleet) {
        info!(self.report.log(), "dispatch: configuration adopted; requests are now routed by it";
            "upstreams" => fleet.upstreams.len());
        self.health_paths = fleet
            .rules
            .iter()
            .flat_map(|rules| &rules.services)
            .map(|service| {
                (
                    ServiceId::from(&service.name),
                    health_path(&service.health_path),
                )
            })
            .collect();
        self.assignments = fleet
            .upstreams
            .iter()
            .map(|upstream| {
                (
                    UpstreamId::from(&upstream.name),
                    ServiceId::from(&upstream.service),
                )
            })
            .collect();
    }

    fn apply(&mut self, event: Event) {
        let actions = self.gateway.handle(event, self.now());
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    ticket,
                    upstream,
                    address,
                } => {
                    let health_path = self.health_path(&upstream);
                    let target = Target {
                        upstream,
                        address,
                        health_path,
                    };
                    self.reply(ticket, Reply::Grant(target));
                }
                Action::Fail { ticket, kind } => self.reply(ticket, Reply::Refuse(kind)),
                Action::LimitConnections { upstream, limit } => {
                    self.limit_connections(&upstream, limit)
                }
                Action::Borrow { .. } | Action::Loan { .. } | Action::Return { .. } => {
                    let _ = self.inbox.actions.try_send(action);
                }
            }
        }
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        let thread = match reply {
            Reply::Grant(_) => self.threads.get(&ticket).copied(),
            Reply::Refuse(_) => self.threads.remove(&ticket),
        };
        let granted = matches!(reply, Reply::Grant(_));
        let delivered = thread
            .and_then(|thread| self.mailboxes.get(thread))
            .is_some_and(|mailbox| mailbox.try_send(IoMessage::Reply(ticket, reply)).is_ok());
        if granted && !delivered {
            self.threads.remove(&ticket);
            self.apply(Event::Cancel(ticket));
        }
    }

    fn limit_connections(&self, upstream: &UpstreamId, limit: u32) {
        for mailbox in &self.mailboxes {
            let upstream = upstream.clone();
            let _ = mailbox.try_send(IoMessage::Connections { upstream, limit });
        }
    }

    fn health_path(&self, upstream: &UpstreamId) -> CompactString {
        self.assignments
            .get(upstream)
            .and_then(|service| self.health_paths.get(service))
            .cloned()
            .unwrap_or_else(|| DEFAULT_HEALTH_PATH.into())
    }

    fn now(&self) -> Time {
        self.inbox.start.elapsed()
    }
}

fn health_path(path: &str) -> CompactString {
    match path {
        "" => DEFAULT_HEALTH_PATH.into(),
        path => path.into(),
    }
}
