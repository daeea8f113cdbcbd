//! The thread that owns the gateway of the entry.
//!
//! I/O threads and the control plane send messages through one bounded
//! channel. The dispatch thread never waits for an I/O thread: a reply that
//! does not fit the mailbox of its I/O thread is dropped and its request
//! cancelled.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use wigeonhinge::Time;
use wigeonhinge::gateway::Action;
use wigeonhinge::gateway::Arrival;
use wigeonhinge::gateway::Event;
use wigeonhinge::gateway::Gateway;
use wigeonhinge::gateway::Sent;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::ServiceId;
use wigeonhinge::id::Ticket;
use wigeonhinge::id::UpstreamId;
use wigeonhinge::outcome::Kind;
use wigeonhinge_schema::fleet::Fleet;

use crate::settings::Settings;

const INBOX: usize = 16_384;
const MAILBOX: usize = 16_384;
const TICK: Duration = Duration::from_millis(20);
const HEALTH_PATH: &str = "/healthz";

/// Sends events of the control plane to the dispatch thread.
///
/// The control plane delivers adopted fleets ([`Event::Adopt`]), live entries of
/// the zone ([`Event::Members`]), leaving VMs ([`Event::Leaving`]) and loans.
#[derive(Clone, Debug)]
pub struct Control {
    inbox: Sender<Message>,
}

impl Control {
    /// Delivers an event; returns false once the entry has stopped.
    pub fn send(&self, event: Event) -> bool {
        self.inbox.send(Message::Control(event)).is_ok()
    }

    pub(crate) fn close(&self) {
        let _ = self.inbox.send(Message::Close);
    }
}

/// Message to the dispatch thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request has arrived on I/O thread `thread`.
    Arrive { thread: usize, arrival: Arrival },
    /// Sending a request ended.
    Report { ticket: Ticket, sent: Sent },
    /// The caller of a request is gone.
    Cancel(Ticket),
    /// An upstream announced that it is leaving.
    Announced(UpstreamId),
    /// An event of the control plane.
    Control(Event),
    /// The entry has stopped.
    Close,
}

/// Decision on a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Send it.
    Grant(Target),
    /// Answer the caller with an error.
    Refuse(Kind),
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
pub(crate) struct Desk {
    entry: EntryId,
    inbox: Sender<Message>,
    tickets: Arc<AtomicU64>,
    start: Instant,
}

impl Desk {
    pub(crate) fn control(&self) -> Control {
        let inbox = self.inbox.clone();
        Control { inbox }
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
    start: Instant,
}

/// Creates the channel into the dispatch thread.
pub(crate) fn channel(entry: EntryId) -> (Desk, Inbox) {
    let (inbox, messages) = flume::bounded(INBOX);
    let start = Instant::now();
    let tickets = Arc::default();
    let desk = Desk {
        entry,
        inbox,
        tickets,
        start,
    };
    (desk, Inbox { messages, start })
}

/// Replies to the requests of one I/O thread.
pub(crate) type Replies = Receiver<(Ticket, Reply)>;

/// Creates the channel to one I/O thread.
pub(crate) fn mailbox() -> (Sender<(Ticket, Reply)>, Replies) {
    flume::bounded(MAILBOX)
}

/// State of the dispatch thread.
#[derive(Debug)]
pub(crate) struct Dispatch {
    gateway: Gateway,
    inbox: Inbox,
    mailboxes: Vec<Sender<(Ticket, Reply)>>,
    threads: BTreeMap<Ticket, usize>,
    services: BTreeMap<ServiceId, CompactString>,
    owners: BTreeMap<UpstreamId, ServiceId>,
    adopted: bool,
}

impl Dispatch {
    pub(crate) fn new(
        settings: &Settings,
        inbox: Inbox,
        mailboxes: Vec<Sender<(Ticket, Reply)>>,
    ) -> Self {
        let mut gateway = Gateway::new(settings.entry.clone(), settings.zone.clone());
        let members = BTreeSet::from([settings.entry.clone()]);
        gateway.handle(Event::Members(members), Time::ZERO);
        Self {
            gateway,
            inbox,
            mailboxes,
            threads: BTreeMap::new(),
            services: BTreeMap::new(),
            owners: BTreeMap::new(),
            adopted: false,
        }
    }

    pub(crate) fn run(mut self) {
        let mut tick = Instant::now() + TICK;
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
            Message::Announced(upstream) => self.feed(Event::Announced(upstream)),
            Message::Control(event) => {
                if let Event::Adopt(fleet) = &event {
                    self.adopt(fleet);
                }
                self.feed(event);
            }
            Message::Close => {}
        }
    }

    fn arrive(&mut self, thread: usize, arrival: Arrival) {
        let ticket = arrival.ticket;
        self.threads.insert(ticket, thread);
        if !self.adopted {
            self.reply(ticket, Reply::Refuse(Kind::NotReady));
        } else if !self.services.contains_key(&arrival.service) {
            self.reply(ticket, Reply::Refuse(Kind::UnknownService));
        } else {
            self.feed(Event::Arrive(arrival));
        }
    }

    /// Reports how sending ended; a failure that the gateway does not act on is final.
    fn report(&mut self, ticket: Ticket, sent: Sent) {
        let event = Event::Report { ticket, sent };
        let actions = self.gateway.handle(event, self.now());
        let acted = actions.iter().any(|action| match action {
            Action::Send { ticket: other, .. } => *other == ticket,
            Action::Fail { ticket: other, .. } => *other == ticket,
            _ => false,
        });
        match sent {
            Sent::Answered { .. } => {
                self.threads.remove(&ticket);
            }
            Sent::Failed(kind) if !acted => self.reply(ticket, Reply::Refuse(kind)),
            Sent::Failed(_) => {}
        }
        self.act(actions);
    }

    fn adopt(&mut self, fleet: &Fleet) {
        self.adopted = true;
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
                Action::Connections { .. }
                | Action::Borrow { .. }
                | Action::Loan { .. }
                | Action::Return { .. } => {}
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
            .is_some_and(|mailbox| mailbox.try_send((ticket, reply)).is_ok());
        if granted && !delivered {
            self.threads.remove(&ticket);
            self.feed(Event::Cancel(ticket));
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
