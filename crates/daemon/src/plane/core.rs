//! Event loop of the control thread, which owns all state of the control plane.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bytes::Bytes;
use compio::time::sleep_until;
use eyre::Result;
use futures_util::FutureExt;
use slog::Logger;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::audit::Kind;
use wigeonhinge::audit::Record;
use wigeonhinge::config::Adopter;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::Fence;
use wigeonhinge::id::VmId;
use wigeonhinge::membership;
use wigeonhinge::membership::Change;
use wigeonhinge::membership::Membership;
use wigeonhinge_schema::peer;
use wigeonhinge_schema::peer::envelope::Body;
use wigeonhinge_schema::settings::Settings;

use crate::admin;
use crate::admin::Query;
use crate::peer::PeerEvent;
use crate::peer::Peers;
use crate::peer::encode;
use crate::plane::Command;
use crate::plane::Counters;
use crate::plane::FromDispatch;
use crate::plane::Input;
use crate::plane::Options;
use crate::plane::Order;
use crate::plane::ToDispatch;
use crate::plane::audit::AuditWriter;
use crate::plane::calls::Completion;
use crate::plane::calls::PlatformClient;
use crate::plane::core::jobs::PendingRequests;
use crate::plane::gossip::Gossip;
use crate::plane::outbox::Outbox;
use crate::plane::roles::RoleControllers;
use crate::plane::roles::RoleOrder;
use crate::platform::HttpPlatform;
use crate::platform::Platform;
use crate::platform::Version;
use crate::session::Answer;
use crate::session::Registration;
use crate::session::RoleChange;
use crate::session::RoleName;
use crate::session::Session;
use crate::watch;
use crate::watch::CallSchedule;

mod config;
mod jobs;
mod messages;
mod reload;
mod status;

/// Period of time-outs, heartbeats and controller ticks.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Period between checks of the settings file for changes.
const RELOAD_PERIOD: Duration = Duration::from_secs(1);

/// Delay before and after closing the peer connections, so that the last messages are sent.
const CLOSE_DELAY: Duration = Duration::from_millis(150);

/// Capacity of each channel for peer messages, completed calls and admin requests.
const EVENT_CAPACITY: usize = 1024;

/// Sockets and channels of the control thread.
pub(crate) struct Endpoints {
    pub(crate) peer: UdpSocket,
    pub(crate) admin: TcpListener,
    pub(crate) commands: flume::Receiver<Command>,
    pub(crate) from_dispatch: flume::Receiver<FromDispatch>,
}

/// State of the control plane.
pub(crate) struct Core {
    start: Instant,
    incarnation: u64,
    settings: Settings,
    file: Option<PathBuf>,
    log: Logger,
    client: PlatformClient,
    peers: Peers,
    inbox: Inbox,
    outbox: Outbox,
    adopter: Adopter,
    config_push: Option<(Version, Bytes)>,
    members: Membership,
    watch: CallSchedule,
    control: Session,
    gossip: Gossip,
    controllers: RoleControllers,
    pending: PendingRequests,
    audit: AuditWriter,
    dispatched: DispatchState,
    offers: Vec<peer::Offer>,
    blocked: BTreeSet<EntryId>,
    draining: bool,
    pulled_at: Option<Time>,
    next_heartbeat: Time,
    next_interzone: Time,
    next_reload: Time,
    counters: Counters,
}

/// State last sent to the dispatch thread; only differences are sent.
#[derive(Default)]
struct DispatchState {
    members: BTreeSet<EntryId>,
    leaving: BTreeSet<VmId>,
    usable: bool,
    ready: bool,
}

struct Inbox {
    messages: flume::Receiver<PeerEvent>,
    completions: flume::Receiver<Completion>,
    admin: flume::Receiver<Query>,
    from_dispatch: flume::Receiver<FromDispatch>,
    commands: flume::Receiver<Command>,
}

enum Event {
    Peer(PeerEvent),
    Completion(Completion),
    Admin(Query),
    Dispatch(FromDispatch),
    Command(Command),
    Tick,
}

impl Core {
    pub(crate) fn new(
        options: Options,
        endpoints: Endpoints,
        log: Logger,
        to_dispatch: flume::Sender<ToDispatch>,
    ) -> Result<Self> {
        let settings = options.settings;
        let start = Instant::now();
        let own = Registration {
            entry: settings.entry.as_str().into(),
            zone: settings.zone.as_str().into(),
            address: endpoints.peer.local_addr()?.to_string().into(),
            admin: endpoints.admin.local_addr()?.to_string().into(),
        };
        let (message_sender, messages) = flume::bounded(EVENT_CAPACITY);
        let (completion_sender, completions) = flume::bounded(EVENT_CAPACITY);
        let (admin_sender, admin) = flume::bounded(EVENT_CAPACITY);
        let peers = Peers::bind(endpoints.peer, &settings, message_sender, log.clone())?;
        endpoints.admin.set_nonblocking(true)?;
        let listener = compio::net::TcpListener::from_std(endpoints.admin)?;
        compio::runtime::spawn(admin::serve(listener, admin_sender)).detach();
        let client = PlatformClient {
            platform: HttpPlatform::new(&settings.platform, &settings.entry)?,
            start,
            own: own.clone(),
            completions: completion_sender,
        };
        let inbox = Inbox {
            messages,
            completions,
            admin,
            from_dispatch: endpoints.from_dispatch,
            commands: endpoints.commands,
        };
        let (entry, zone) = (own.entry.clone(), own.zone.clone());
        Ok(Self {
            start,
            incarnation: unix_ms(),
            gossip: Gossip::new(entry.clone(), zone.clone(), &settings.peers),
            settings,
            file: options.file,
            log,
            client,
            peers,
            inbox,
            outbox: Outbox::new(to_dispatch),
            adopter: Adopter::default(),
            config_push: None,
            members: Membership::new(entry, zone, Time::ZERO),
            watch: CallSchedule::default(),
            control: Session::new(own),
            controllers: RoleControllers::new(options.controllers),
            pending: PendingRequests::default(),
            audit: AuditWriter::default(),
            dispatched: DispatchState::default(),
            offers: Vec::new(),
            blocked: BTreeSet::new(),
            draining: false,
            pulled_at: None,
            next_heartbeat: Time::ZERO,
            next_interzone: Time::ZERO,
            next_reload: RELOAD_PERIOD,
            counters: Counters::default(),
        })
    }

    /// Handles events until [`Command::Abort`] or [`Command::Finish`].
    pub(crate) async fn run(mut self) {
        let mut tick = self.start;
        loop {
            let event = self.inbox.next(tick).await;
            match event {
                Event::Peer(event) => self.handle_peer_event(event),
                Event::Completion(completion) => self.handle_completion(completion),
                Event::Admin(Query::Status(reply)) => {
                    // The send fails if the client has closed its connection.
                    let _ = reply.try_send(self.status());
                }
                Event::Admin(Query::Job(query)) => self.handle_job_request(query),
                Event::Dispatch(message) => self.handle_dispatch(message),
                Event::Command(Command::Abort) => return,
                Event::Command(Command::Finish) => return self.finish().await,
                Event::Command(command) => self.handle_command(command),
                Event::Tick => {}
            }
            if Instant::now() >= tick {
                self.tick();
                tick = Instant::now() + TICK_PERIOD;
            }
        }
    }

    fn now(&self) -> Time {
        self.start.elapsed()
    }

    fn tick(&mut self) {
        let now = self.now();
        for change in self.members.tick(now) {
            self.record_change(change);
        }
        self.gossip.expire(now);
        self.pending.expire(now);
        self.start_due_calls(now);
        if self.next_heartbeat <= now {
            self.send_due_heartbeat();
        }
        if self.next_reload <= now {
            self.next_reload = now + RELOAD_PERIOD;
            self.reload();
        }
        let busy = self.gossip.busy_vms(&self.members.not_dead());
        for role in self.controllers.roles() {
            self.feed_controller(&role, Input::Busy(busy.clone()));
            self.feed_controller(&role, Input::Tick);
        }
        self.update_dispatch(now);
    }

    fn record_change(&mut self, change: Change) {
        match change {
            Change::Paused(gap) => {
                self.counters.pauses += 1;
                warn!(self.log, "peer: this entry was paused; its share of the slots is on hold";
                    "ms" => gap.as_millis() as u64);
            }
            Change::Health(entry, health) => {
                info!(self.log, "peer: health of an entry changed";
                    "entry" => %entry, "health" => ?health);
            }
        }
    }

    /// Starts the platform calls that are due.
    fn start_due_calls(&mut self, now: Time) {
        let age = self.watch.store_age(now);
        let leads = self
            .gossip
            .leads_zone(&self.members.healthy_in_zone(), age, now);
        for call in self.watch.due(leads, now) {
            self.client.start_watch(call);
        }
        let candidates = self.candidates();
        for call in self.control.due_calls(&candidates, now) {
            self.client.start_control(call);
        }
        if let Some(call) = self.audit.due(now) {
            self.client.start_audit(call);
        }
    }

    /// Returns the entries that may take a role: this one and every known entry that is not dead.
    fn candidates(&self) -> BTreeSet<EntryId> {
        let dead = |entry: &EntryId| self.members.health(entry) == Some(membership::Health::Dead);
        let mut known = self.gossip.known_entries();
        known.retain(|entry| !dead(entry));
        known.insert(self.control.own().entry.clone());
        known
    }

    /// Sends the changes since the last update to the dispatch thread.
    ///
    /// A change of the leaving VMs also makes the next heartbeat go to the other zones.
    fn update_dispatch(&mut self, now: Time) {
        self.outbox.flush();
        let members = self.members.share_holders();
        if self.dispatched.members != members {
            self.dispatched.members = members.clone();
            self.outbox.send(ToDispatch::Members(members));
        }
        let leaving = self.gossip.leaving_vms(&self.members.not_dead());
        if self.dispatched.leaving != leaving {
            self.dispatched.leaving = leaving.clone();
            self.next_interzone = now;
            self.outbox.send(ToDispatch::Leaving(leaving));
        }
        let usable = self.members.may_use_share(now);
        if self.dispatched.usable != usable {
            self.dispatched.usable = usable;
            self.outbox.send(ToDispatch::Usable(usable));
        }
        let ready = self.adopter.revision() > 0 && !self.draining;
        if self.dispatched.ready != ready {
            self.dispatched.ready = ready;
            self.outbox.send(ToDispatch::Ready(ready));
        }
    }

    fn handle_completion(&mut self, completion: Completion) {
        let now = self.now();
        match completion {
            Completion::Config(call, answer) => {
                let answered = answer.is_ok();
                if let Ok(Some(document)) = answer {
                    self.read_config(document);
                }
                self.watch.done(call, answered, now);
            }
            Completion::Vms(list) => {
                self.watch.done(watch::Call::Vms, list.is_ok(), now);
                if let Ok(list) = list {
                    self.gossip.record_vms(&list);
                }
            }
            Completion::Control(call, sent, answer) => {
                if answer != Answer::Failed {
                    self.watch.store_answered(now);
                }
                let done = self.control.handle_answer(call, sent, answer, now);
                self.gossip.set_registry(self.control.entries());
                for call in done.calls {
                    self.client.start_control(call);
                }
                for notice in done.changes {
                    self.handle_notice(notice);
                }
            }
            Completion::Audit(call, answer) => self.audit.complete(call, answer, now),
            Completion::Order(role, number, outcome) => {
                self.feed_controller(&role, Input::Done(number, outcome));
            }
        }
        self.start_due_calls(now);
        self.update_dispatch(now);
    }

    fn handle_notice(&mut self, notice: RoleChange) {
        match notice {
            RoleChange::Gained(role, fence) => {
                info!(self.log, "fleet: this entry took a role and starts its controller";
                    "role" => %role, "fence" => fence);
                let now = self.now();
                self.audit.push(self.role_record(&role, fence));
                let Some(lease) = self.control.role_lease(&role, now) else {
                    return;
                };
                let orders = self.controllers.start(&role, lease, now);
                self.execute(orders);
                if let Some(config) = self.adopter.current().cloned() {
                    self.feed_controller(&role, Input::Adopted(config));
                }
                self.feed_controller(&role, Input::Regions(self.gossip.regions()));
            }
            RoleChange::Lost(role) => {
                info!(self.log, "fleet: this entry lost a role and stops its controller";
                    "role" => %role);
                self.controllers.stop(&role);
            }
        }
    }

    /// Returns the audit record of a role that this entry has taken.
    fn role_record(&self, role: &RoleName, fence: Fence) -> Record {
        Record {
            id: format!("role/{role}/{fence}"),
            at_ms: unix_ms(),
            who: self.control.own().entry.to_string(),
            kind: Kind::Role.into(),
            subject: role.to_string(),
            reason: format!("taken with fence {fence}"),
            ..Record::default()
        }
    }

    /// Passes an input to the controller of a role if this entry's lease on the role is valid,
    /// and carries out the orders that it returns.
    fn feed_controller(&mut self, role: &RoleName, input: Input) {
        let now = self.now();
        if let Some(lease) = self.control.role_lease(role, now) {
            let orders = self.controllers.handle(role, input, lease, now);
            self.execute(orders);
        }
    }

    /// Carries out orders: local ones at once, the others as platform calls.
    ///
    /// Orders are dropped if this entry has no valid session.
    fn execute(&mut self, orders: Vec<RoleOrder>) {
        let Some(session) = self.control.lease_id(self.now()) else {
            return;
        };
        for order in orders {
            match order.order {
                Order::Publish(view) => self.merge_regions(vec![view]),
                Order::Audit(records) => {
                    records
                        .into_iter()
                        .for_each(|record| self.audit.push(record));
                }
                Order::Answer(number, answer) => self.answer_job(number, answer),
                _ => {
                    self.counters.orders += 1;
                    self.client.start_order(order, session);
                }
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Drain => {
                self.draining = true;
                self.send_heartbeat_now();
                self.update_dispatch(self.now());
            }
            Command::Block(entries) => self.blocked = entries,
            Command::Stall(time) => std::thread::sleep(time),
            Command::Finish | Command::Abort => {}
        }
    }

    /// Announces the stop to the peers, which take over the shares of the slots, and revokes the
    /// session, so that the store releases the roles.
    async fn finish(mut self) {
        let entry = self.control.own().entry.to_string();
        let bye = encode(&entry.clone(), Body::Bye(peer::Bye { entry }));
        self.broadcast(bye, true);
        if let Some(session) = self.control.lease_id(self.now()) {
            // If the store does not answer, the lease expires by itself.
            let _ = self.client.platform.revoke(session).await;
        }
        compio::time::sleep(CLOSE_DELAY).await;
        self.peers.close();
        compio::time::sleep(CLOSE_DELAY).await;
    }
}

impl Inbox {
    async fn next(&self, tick: Instant) -> Event {
        futures_util::select_biased! {
            command = self.commands.recv_async().fuse() => {
                command.map_or(Event::Command(Command::Abort), Event::Command)
            }
            () = sleep_until(tick).fuse() => Event::Tick,
            completion = self.completions.recv_async().fuse() => completion.map_or(Event::Tick, Event::Completion),
            event = self.messages.recv_async().fuse() => event.map_or(Event::Tick, Event::Peer),
            message = self.from_dispatch.recv_async().fuse() => message.map_or(Event::Tick, Event::Dispatch),
            request = self.admin.recv_async().fuse() => request.map_or(Event::Tick, Event::Admin),
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
