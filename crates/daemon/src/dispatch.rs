//! The thread that owns the gateway of the entry.
//!
//! I/O threads and the control plane send messages through one bounded
//! channel. The dispatch thread never waits for an I/O thread: a reply that
//! does not fit the mailbox of its I/O thread is dropped and its request
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

const INBOX: usize = 16_384;
const MAILBOX: usize = 16_384;
const ACTIONS: usize = 1_024;
const TICK: Duration = Duration::from_millis(20);
/// Time between two reports of the gateway's state.
const GAUGES: Duration = Duration::from_secs(1);
const HEALTH_PATH: &str = "/healthz";

/// Connects the control plane with the dispatch thread.
///
/// The control plane sends adopted fleets ([`Event::Configure`]), live entries of the
/// zone ([`Event::Members`], [`Event::MembershipConfirmed`]), leaving VMs
/// ([`Event::LeavingVms`]) and its peers' messages on loans ([`Event::Offers`],
/// [`Event::Borrow`], [`Event::Loan`], [`Event::Return`]). It receives the
/// actions on loans, and carries them out.
#[derive(Clone, Debug)]
pub struct Control {
    inbox: Sender<Message>,
    actions: Receiver<Action>,
}

impl Control {
    /// Delivers an event; returns false once the entry has stopped.
    pub fn send(&self, event: Event) -> bool {
        self.inbox.send(Message::Control(event)).is_ok()
    }

    /// Returns the actions on loans: [`Action::Borrow`], [`Action::Loan`] and
    /// [`Action::Return`].
    ///
    /// Actions that nobody receives are dropped once 1,024 wait; the loans
    /// concerned expire.
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

/// State of the gateway at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// State and counts.
    pub status: Status,
    /// Idle slots to advertise to peers.
    pub offers: BTreeMap<UpstreamId, u32>,
}

/// Message to the dispatch thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request has arrived on I/O thread `thread`.
    Arrive { thread: usize, arrival: Arrival },
    /// Sending a request ended.
    Report { ticket: Ticket, sent: SendOutcome },
    /// The caller of a request is gone.
    Cancel(Ticket),
    /// An upstream announced that it is leaving, or that it is not any more.
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
    /// Connections that the entry may keep to an upstream.
    Connections { upstream: UpstreamId, limit: u32 },
}

/// Decision on a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Send it.
    Grant(Target),
    /// Answer the caller with an error.
    Refuse(ErrorKind),
}

/// Upstream that a request is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) health: CompactString,
}

/// Sends messages of an I/O thread to the dispatch thread.
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

    /// Returns a number that no other request of the entry has.
    pub(crate) fn ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the time of the gateway's clock.
    pub(crate) fn time(&self, at: Instant) -> Time {
        at.saturating_duration_since(self.start)
    }

    /// Announces a request; false if the dispatch thread is overloaded.
    pub(crate) fn arrive(&self, thread: usize, arrival: Arrival) -> bool {
        let message = Message::Arrive { thread, arrival };
        self.inbox.try_send(message).is_ok()
    }

    /// Sends what must not be lost; waits only while the dispatch thread catches up.
    pub(crate) fn tell(&self, message: Message) {
        let _ = self.inbox.send(message);
    }
}

/// Receiver of the dispatch thread.
#[derive(Debug)]
pub(crate) struct Inbox {
    messages: Receiver<Message>,
    actions: Sender<Action>,
    start: Instant,
}

/// Creates the channel into the dispatch thread.
pub(crate) fn channel(entry: EntryId) -> (DispatchHandle, Inbox) {
    let (inbox, messages) = flume::bounded(INBOX);
    let (sender, actions) = flume::bounded(ACTIONS);
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

/// Creates the channel to one I/O thread.
pub(crate) fn mailbox() -> (Sender<IoMessage>, Receiver<IoMessage>) {
    flume::bounded(MAILBOX)
}

/// State of the dispatch thread.
#[derive(Debug)]
pub(crate) struct Dispatch {
    gateway: Gateway,
    inbox: Inbox,
    mailboxes: Vec<Sender<IoMessage>>,
    threads: BTreeMap<Ticket, usize>,
    services: BTreeMap<ServiceId, CompactString>,
    owners: BTreeMap<UpstreamId, ServiceId>,
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
            services: BTreeMap::new(),
            owners: BTreeMap::new(),
            report,
        }
    }

    pub(crate) fn run(mut self) {
        let mut tick = Instant::now() + TICK;
        let mut gauge = tick;
        loop {
            match self.inbox.messages.recv_deadline(tick) {
                Ok(Message::Close) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => {}
            }
            let now = Instant::now();
            if now >= tick {
                tick = now + TICK;
                self.feed(Event::Tick);
            }
            if now >= gauge {
                gauge = now + GAUGES;
                self.report.gateway(&self.gateway.status());
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Arrive { thread, arrival } => self.arrive(thread, arrival),
            Message::Report { ticket, sent } => self.report(ticket, sent),
            Message::Cancel(ticket) => {
                self.threads.remove(&ticket);
                self.feed(Event::Cancel(ticket));
            }
            Message::Leaving { upstream, leaving } => self.leaving(upstream, leaving),
            Message::ProbeFailed(upstream) => {
                warn!(self.report.log(), "exchange: probe not answered"; "upstream" => %upstream);
                self.feed(Event::ProbeFailed(upstream));
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
                self.feed(event);
            }
            Message::Close => {}
        }
    }

    fn arrive(&mut self, thread: usize, arrival: Arrival) {
        self.threads.insert(arrival.ticket, thread);
        self.feed(Event::Arrive(arrival));
    }

    fn report(&mut self, ticket: Ticket, outcome: SendOutcome) {
        if let SendOutcome::Answered { .. } = outcome {
            self.threads.remove(&ticket);
        }
        self.feed(Event::Report { ticket, outcome });
    }

    fn leaving(&mut self, upstream: UpstreamId, leaving: bool) {
        let log = self.report.log();
        info!(log, "exchange: upstream announced"; "upstream" => %upstream, "leaving" => leaving);
        self.feed(match leaving {
            true => Event::UpstreamLeaving(upstream),
            false => Event::UpstreamRejoined(upstream),
        });
    }

    fn adopt(&mut self, fleet: &Fleet) {
        info!(self.report.log(), "dispatch: fleet adopted"; "upstreams" => fleet.upstreams.len());
        self.services = fleet
            .rules
            .iter()
            .flat_map(|rules| &rules.services)
            .map(|service| (ServiceId::from(&service.name), health(&service.health_path)))
            .collect();
        self.owners = fleet
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

    fn feed(&mut self, event: Event) {
        let actions = self.gateway.handle(event, self.now());
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    ticket,
                    upstream,
                    address,
                } => {
                    let health = self.health(&upstream);
                    let target = Target {
                        upstream,
                        address,
                        health,
                    };
                    self.reply(ticket, Reply::Grant(target));
                }
                Action::Fail { ticket, kind } => self.reply(ticket, Reply::Refuse(kind)),
                Action::LimitConnections { upstream, limit } => self.limit(&upstream, limit),
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
            self.feed(Event::Cancel(ticket));
        }
    }

    fn limit(&self, upstream: &UpstreamId, limit: u32) {
        for mailbox in &self.mailboxes {
            let upstream = upstream.clone();
            let _ = mailbox.try_send(IoMessage::Connections { upstream, limit });
        }
    }

    fn health(&self, upstream: &UpstreamId) -> CompactString {
        self.owners
            .get(upstream)
            .and_then(|service| self.services.get(service))
            .cloned()
            .unwrap_or_else(|| HEALTH_PATH.into())
    }

    fn now(&self) -> Time {
        self.inbox.start.elapsed()
    }
}

fn health(path: &str) -> CompactString {
    match path {
        "" => HEALTH_PATH.into(),
        path => path.into(),
    }
}
