//! The loop of the control thread, which owns all state of the control plane.

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
use crate::admin::Ask;
use crate::peer::Heard;
use crate::peer::Peers;
use crate::peer::encode;
use crate::plane::Command;
use crate::plane::Counters;
use crate::plane::Input;
use crate::plane::Message;
use crate::plane::Options;
use crate::plane::Order;
use crate::plane::Request;
use crate::plane::calls::Caller;
use crate::plane::calls::Ended;
use crate::plane::core::jobs::Questions;
use crate::plane::duty::Duties;
use crate::plane::duty::Duty;
use crate::plane::outlet::Outlet;
use crate::plane::spread::Spread;
use crate::plane::trail::Trail;
use crate::platform::HttpPlatform;
use crate::platform::Platform;
use crate::platform::Version;
use crate::session::Answer;
use crate::session::Registration;
use crate::session::RoleChange;
use crate::session::RoleName;
use crate::session::Session;
use crate::watch;
use crate::watch::Watch;

mod documents;
mod jobs;
mod reload;
mod report;
mod talk;

/// Period of the core's own work.
const TICK: Duration = Duration::from_millis(100);

/// Period of looks at the settings file.
const RELOAD: Duration = Duration::from_secs(1);

/// Time for the last messages to leave.
const FAREWELL: Duration = Duration::from_millis(150);

/// Messages, ends of calls and questions that wait for the core.
const INBOX: usize = 1024;

/// Sockets and channels of the control thread.
pub(crate) struct Ports {
    pub(crate) peer: UdpSocket,
    pub(crate) admin: TcpListener,
    pub(crate) commands: flume::Receiver<Command>,
    pub(crate) asked: flume::Receiver<Request>,
}

/// State of the control plane.
pub(crate) struct Core {
    start: Instant,
    incarnation: u64,
    settings: Settings,
    file: Option<PathBuf>,
    log: Logger,
    caller: Caller,
    peers: Peers,
    inbox: Inbox,
    outlet: Outlet,
    adopter: Adopter,
    document: Option<(Version, Bytes)>,
    members: Membership,
    watch: Watch,
    control: Session,
    spread: Spread,
    duties: Duties,
    questions: Questions,
    trail: Trail,
    told: Told,
    offers: Vec<peer::Offer>,
    blocked: BTreeSet<EntryId>,
    draining: bool,
    pulled: Option<Time>,
    beat: Time,
    far: Time,
    reload: Time,
    counters: Counters,
}

/// What the dispatch thread was told last.
#[derive(Default)]
struct Told {
    members: BTreeSet<EntryId>,
    leaving: BTreeSet<VmId>,
    usable: bool,
    ready: bool,
}

struct Inbox {
    heard: flume::Receiver<Heard>,
    ended: flume::Receiver<Ended>,
    asks: flume::Receiver<Ask>,
    asked: flume::Receiver<Request>,
    commands: flume::Receiver<Command>,
}

enum Event {
    Heard(Heard),
    Ended(Ended),
    Ask(Ask),
    Asked(Request),
    Command(Command),
    Tick,
}

impl Core {
    pub(crate) fn new(
        options: Options,
        ports: Ports,
        log: Logger,
        outlet: flume::Sender<Message>,
    ) -> Result<Self> {
        let settings = options.settings;
        let start = Instant::now();
        let own = Registration {
            entry: settings.entry.as_str().into(),
            zone: settings.zone.as_str().into(),
            address: ports.peer.local_addr()?.to_string().into(),
            admin: ports.admin.local_addr()?.to_string().into(),
        };
        let (heard_sender, heard) = flume::bounded(INBOX);
        let (ended_sender, ended) = flume::bounded(INBOX);
        let (asks_sender, asks) = flume::bounded(INBOX);
        let peers = Peers::bind(ports.peer, &settings, heard_sender, log.clone())?;
        ports.admin.set_nonblocking(true)?;
        let listener = compio::net::TcpListener::from_std(ports.admin)?;
        compio::runtime::spawn(admin::serve(listener, asks_sender)).detach();
        let caller = Caller {
            platform: HttpPlatform::new(&settings.platform, &settings.entry)?,
            start,
            own: own.clone(),
            ended: ended_sender,
        };
        let inbox = Inbox {
            heard,
            ended,
            asks,
            asked: ports.asked,
            commands: ports.commands,
        };
        let (entry, zone) = (own.entry.clone(), own.zone.clone());
        Ok(Self {
            start,
            incarnation: unix_ms(),
            spread: Spread::new(entry.clone(), zone.clone(), &settings.peers),
            settings,
            file: options.file,
            log,
            caller,
            peers,
            inbox,
            outlet: Outlet::new(outlet),
            adopter: Adopter::default(),
            document: None,
            members: Membership::new(entry, zone, Time::ZERO),
            watch: Watch::default(),
            control: Session::new(own),
            duties: Duties::new(options.controllers),
            questions: Questions::default(),
            trail: Trail::default(),
            told: Told::default(),
            offers: Vec::new(),
            blocked: BTreeSet::new(),
            draining: false,
            pulled: None,
            beat: Time::ZERO,
            far: Time::ZERO,
            reload: RELOAD,
            counters: Counters::default(),
        })
    }

    /// Runs until a command ends it.
    pub(crate) async fn run(mut self) {
        let mut tick = self.start;
        loop {
            let event = self.inbox.next(tick).await;
            match event {
                Event::Heard(heard) => self.heard(heard),
                Event::Ended(ended) => self.ended(ended),
                Event::Ask(Ask::Status(reply)) => {
                    // The operator has gone if nobody receives the answer.
                    let _ = reply.try_send(self.status());
                }
                Event::Ask(Ask::Job(question)) => self.question(question),
                Event::Asked(request) => self.asked(request),
                Event::Command(Command::Abort) => return,
                Event::Command(Command::Finish) => return self.finish().await,
                Event::Command(command) => self.command(command),
                Event::Tick => {}
            }
            if Instant::now() >= tick {
                self.tick();
                tick = Instant::now() + TICK;
            }
        }
    }

    fn now(&self) -> Time {
        self.start.elapsed()
    }

    fn tick(&mut self) {
        let now = self.now();
        for change in self.members.tick(now) {
            self.changed(change);
        }
        self.spread.tick(now);
        self.questions.expire(now);
        self.call(now);
        if self.beat <= now {
            self.due_beat();
        }
        if self.reload <= now {
            self.reload = now + RELOAD;
            self.reload();
        }
        let serving = self.spread.serving(&self.members.live());
        for role in self.duties.roles() {
            self.drive(&role, Input::Busy(serving.clone()));
            self.drive(&role, Input::Tick);
        }
        self.tell(now);
    }

    fn changed(&mut self, change: Change) {
        match change {
            Change::Paused(gap) => {
                self.counters.pauses += 1;
                warn!(self.log, "peer: this entry was paused"; "ms" => gap.as_millis() as u64);
            }
            Change::Health(entry, health) => {
                info!(self.log, "peer: health changed";
                    "entry" => %entry, "health" => ?health);
            }
        }
    }

    /// Makes the calls to the platform that are due.
    fn call(&mut self, now: Time) {
        let age = self.watch.age(now);
        let first = self.spread.first(&self.members.neighbours(), age, now);
        for call in self.watch.due(first, now) {
            self.caller.watch(call);
        }
        let candidates = self.candidates();
        for call in self.control.due_calls(&candidates, now) {
            self.caller.control(call);
        }
        if let Some(call) = self.trail.due(now) {
            self.caller.trail(call);
        }
    }

    /// Returns the entries that may take a role: known and not dead.
    fn candidates(&self) -> BTreeSet<EntryId> {
        let dead = |entry: &EntryId| self.members.health(entry) == Some(membership::Health::Dead);
        let mut known = self.spread.known();
        known.retain(|entry| !dead(entry));
        known.insert(self.control.own().entry.clone());
        known
    }

    /// Tells the dispatch thread what has changed.
    fn tell(&mut self, now: Time) {
        self.outlet.flush();
        let members = self.members.sharers();
        if self.told.members != members {
            self.told.members = members.clone();
            self.outlet.send(Message::Members(members));
        }
        let leaving = self.spread.leaving(&self.members.live());
        if self.told.leaving != leaving {
            self.told.leaving = leaving.clone();
            self.far = now;
            self.outlet.send(Message::Leaving(leaving));
        }
        let usable = self.members.usable(now);
        if self.told.usable != usable {
            self.told.usable = usable;
            self.outlet.send(Message::Usable(usable));
        }
        let ready = self.adopter.revision() > 0 && !self.draining;
        if self.told.ready != ready {
            self.told.ready = ready;
            self.outlet.send(Message::Ready(ready));
        }
    }

    fn ended(&mut self, ended: Ended) {
        let now = self.now();
        match ended {
            Ended::Config(call, answer) => {
                let answered = answer.is_ok();
                if let Ok(Some(document)) = answer {
                    self.read(document);
                }
                self.watch.done(call, answered, now);
            }
            Ended::Vms(list) => {
                self.watch.done(watch::Call::Vms, list.is_ok(), now);
                if let Ok(list) = list {
                    self.spread.listed(&list);
                }
            }
            Ended::Control(call, sent, answer) => {
                if answer != Answer::Failed {
                    self.watch.reached(now);
                }
                let done = self.control.handle_answer(call, sent, answer, now);
                self.spread.register(self.control.entries());
                for call in done.calls {
                    self.caller.control(call);
                }
                for notice in done.changes {
                    self.notice(notice);
                }
            }
            Ended::Trail(call, answer) => self.trail.done(call, answer, now),
            Ended::Order(role, number, outcome) => {
                self.drive(&role, Input::Done(number, outcome));
            }
        }
        self.call(now);
        self.tell(now);
    }

    fn notice(&mut self, notice: RoleChange) {
        match notice {
            RoleChange::Gained(role, fence) => {
                info!(self.log, "fleet: role taken"; "role" => %role, "fence" => fence);
                let now = self.now();
                self.trail.push(self.taken(&role, fence));
                let Some(lease) = self.control.role_lease(&role, now) else {
                    return;
                };
                let duties = self.duties.gained(&role, lease, now);
                self.carry_out(duties);
                if let Some(config) = self.adopter.current().cloned() {
                    self.drive(&role, Input::Adopted(config));
                }
                self.drive(&role, Input::Regions(self.spread.regions()));
            }
            RoleChange::Lost(role) => {
                info!(self.log, "fleet: role lost"; "role" => %role);
                self.duties.lost(&role);
            }
        }
    }

    /// Returns the audit record of a role that this entry has taken.
    fn taken(&self, role: &RoleName, fence: Fence) -> Record {
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

    /// Gives an event to a controller if this entry may act in its role now.
    fn drive(&mut self, role: &RoleName, input: Input) {
        let now = self.now();
        if let Some(lease) = self.control.role_lease(role, now) {
            let duties = self.duties.feed(role, input, lease, now);
            self.carry_out(duties);
        }
    }

    fn carry_out(&mut self, duties: Vec<Duty>) {
        let Some(session) = self.control.lease_id(self.now()) else {
            return;
        };
        for duty in duties {
            match duty.order {
                Order::Spread(view) => self.learn(vec![view]),
                Order::Audit(records) => {
                    records
                        .into_iter()
                        .for_each(|record| self.trail.push(record));
                }
                Order::Answer(number, answer) => self.answer(number, answer),
                _ => {
                    self.counters.orders += 1;
                    self.caller.order(duty, session);
                }
            }
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Drain => {
                self.draining = true;
                self.send_beat();
                self.tell(self.now());
            }
            Command::Block(entries) => self.blocked = entries,
            Command::Stall(time) => std::thread::sleep(time),
            Command::Finish | Command::Abort => {}
        }
    }

    /// Says goodbye: the peers take over the shares, the store the roles.
    async fn finish(mut self) {
        let entry = self.control.own().entry.to_string();
        let bye = encode(&entry.clone(), Body::Bye(peer::Bye { entry }));
        self.broadcast(bye, true);
        if let Some(session) = self.control.lease_id(self.now()) {
            // The lease ends by itself if the store does not answer.
            let _ = self.caller.platform.revoke(session).await;
        }
        compio::time::sleep(FAREWELL).await;
        self.peers.close();
        compio::time::sleep(FAREWELL).await;
    }
}

impl Inbox {
    async fn next(&self, tick: Instant) -> Event {
        futures_util::select_biased! {
            command = self.commands.recv_async().fuse() => {
                command.map_or(Event::Command(Command::Abort), Event::Command)
            }
            () = sleep_until(tick).fuse() => Event::Tick,
            ended = self.ended.recv_async().fuse() => ended.map_or(Event::Tick, Event::Ended),
            heard = self.heard.recv_async().fuse() => heard.map_or(Event::Tick, Event::Heard),
            asked = self.asked.recv_async().fuse() => asked.map_or(Event::Tick, Event::Asked),
            ask = self.asks.recv_async().fuse() => ask.map_or(Event::Tick, Event::Ask),
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
