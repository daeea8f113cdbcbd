//! Gateways of all entries with fake upstreams, in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use wigeonhinge::gateway::Action;
use wigeonhinge::gateway::Arrival;
use wigeonhinge::gateway::Event;
use wigeonhinge::gateway::Gateway;
use wigeonhinge::gateway::SendOutcome;
use wigeonhinge::gateway::TICK_INTERVAL;
use wigeonhinge::id::EntryId;
use wigeonhinge::id::UpstreamId;
use wigeonhinge::outcome::ErrorKind;

use crate::measure::floods::load::DEADLINE;
use crate::measure::floods::load::Request;
use crate::measure::floods::load::ZONE_ENTRIES;
use crate::owner::Owner;

/// Time from an entry to an upstream or a peer.
pub(super) const HOP: Duration = Duration::from_millis(1);

/// Time from a caller to an entry.
pub(super) const CALLER: Duration = Duration::from_millis(3);

/// Period of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// Time that a failing upstream takes for an answer.
const FAST: Duration = Duration::from_millis(1);

/// What is wrong with the upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Faults {
    /// Nothing.
    None,
    /// No connection can be made to any.
    Down,
    /// The first one of the fleet answers every request at once with an error.
    FirstBad,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outcome {
    /// Whether the caller had the answer before its deadline.
    pub(super) answered: bool,
    /// Time until the caller had it.
    pub(super) latency: Duration,
    /// Times that it was sent to an upstream.
    pub(super) sends: u32,
}

/// Time for which a request occupied a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    /// Service whose upstream it was.
    pub(super) pool: usize,
    /// Start.
    pub(super) start: Duration,
    /// End.
    pub(super) end: Duration,
}

/// What happened in a run.
#[derive(Debug, Default)]
pub(super) struct Trace {
    /// How each request ended.
    pub(super) outcomes: Vec<Outcome>,
    /// Use of slots.
    pub(super) spans: Vec<Span>,
    /// Times at which a request was sent to the first upstream, and to any of its service.
    pub(super) first: (Vec<Duration>, Vec<Duration>),
}

impl Trace {
    /// Creates a trace in which no request was answered.
    pub(super) fn new(requests: usize) -> Self {
        Self {
            outcomes: vec![Outcome::default(); requests],
            ..Self::default()
        }
    }
}

/// Something that is due.
#[derive(Debug)]
enum Due {
    Arrive(usize),
    Reach {
        index: usize,
        upstream: usize,
        send: u32,
    },
    End {
        index: usize,
        upstream: usize,
        send: u32,
    },
    Report {
        index: usize,
        sent: SendOutcome,
        send: u32,
    },
    Peer(usize, Event),
    Heartbeat(usize),
    Tick(usize),
}

#[derive(Debug)]
struct Upstream {
    service: usize,
    slots: u32,
    busy: u32,
}

struct World<'a> {
    requests: &'a [Request],
    services: Vec<&'static str>,
    faults: Faults,
    names: Vec<EntryId>,
    gateways: Vec<Gateway>,
    upstreams: Vec<Upstream>,
    numbers: BTreeMap<UpstreamId, usize>,
    due: BTreeMap<u64, Due>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    last: u64,
    /// Number of the sending under way, by request; 0 once it has ended.
    sending: Vec<u32>,
    now: Duration,
    trace: Trace,
}

/// Runs the requests through the gateways of an owner.
pub(super) fn run(owner: Owner, requests: &[Request], faults: Faults) -> Trace {
    let mut world = World::new(owner, requests, faults);
    let end = requests
        .last()
        .map_or(Duration::ZERO, |request| request.at + 2 * DEADLINE);
    while let Some(Reverse((at, number))) = world.queue.pop() {
        if at > end {
            break;
        }
        world.now = at;
        if let Some(due) = world.due.remove(&number) {
            world.step(due);
        }
    }
    world.trace
}

impl<'a> World<'a> {
    fn new(owner: Owner, requests: &'a [Request], faults: Faults) -> Self {
        let zones = owner.zones();
        let names = (0..zones.len() * ZONE_ENTRIES).map(|at| EntryId::from(format!("entry-{at}")));
        let services: Vec<&str> = owner.services().iter().map(|(name, _)| *name).collect();
        let fleet = owner.fleet();
        let place = |name: &str| services.iter().position(|it| *it == name).unwrap_or(0);
        let upstreams = fleet.upstreams.iter().map(|rule| Upstream {
            service: place(&rule.service),
            slots: rule.slots,
            busy: 0,
        });
        let numbers = fleet.upstreams.iter().enumerate();
        let mut world = Self {
            requests,
            faults,
            gateways: Vec::new(),
            upstreams: upstreams.collect(),
            numbers: numbers
                .map(|(at, rule)| (rule.name.as_str().into(), at))
                .collect(),
            names: names.collect(),
            services,
            due: BTreeMap::new(),
            queue: BinaryHeap::new(),
            last: 0,
            sending: vec![0; requests.len()],
            now: Duration::ZERO,
            trace: Trace::new(requests.len()),
        };
        for entry in 0..world.names.len() {
            let zone = entry / ZONE_ENTRIES;
            let mut gateway = Gateway::new(world.names[entry].clone(), zones[zone].into());
            gateway.handle(Event::Configure(Box::new(fleet.clone())), Duration::ZERO);
            let first = zone * ZONE_ENTRIES;
            let live: BTreeSet<EntryId> = world.names[first..first + ZONE_ENTRIES]
                .iter()
                .cloned()
                .collect();
            gateway.handle(Event::Members(live), Duration::ZERO);
            gateway.handle(Event::MembershipConfirmed, Duration::ZERO);
            world.gateways.push(gateway);
            let offset = TICK_INTERVAL / 8 * u32::try_from(entry).unwrap_or(0);
            world.plan(offset, Due::Tick(entry));
            world.plan(offset, Due::Heartbeat(entry));
        }
        if !requests.is_empty() {
            world.plan(requests[0].at, Due::Arrive(0));
        }
        world
    }

    fn plan(&mut self, at: Duration, due: Due) {
        self.last += 1;
        self.due.insert(self.last, due);
        self.queue.push(Reverse((at, self.last)));
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Arrive(index) => self.arrive(index),
            Due::Reach {
                index,
                upstream,
                send,
            } => self.reach(index, upstream, send),
            Due::End {
                index,
                upstream,
                send,
            } => {
                self.upstreams[upstream].busy -= 1;
                let sent = SendOutcome::Answered {
                    server_error: false,
                };
                self.plan(self.now + HOP, Due::Report { index, sent, send });
            }
            Due::Report { index, sent, send } => self.report(index, sent, send),
            Due::Peer(entry, event) => self.feed(entry, event),
            Due::Heartbeat(entry) => self.heartbeat(entry),
            Due::Tick(entry) => {
                self.feed(entry, Event::Tick);
                self.plan(self.now + TICK_INTERVAL, Due::Tick(entry));
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = &self.requests[index];
        let arrival = Arrival {
            ticket: index as u64,
            service: self.services[request.service].into(),
            caller: request.caller.clone(),
            team: request.team.clone(),
            idempotent: true,
            deadline: request.at + DEADLINE,
        };
        let entry = request.entry;
        if let Some(next) = self.requests.get(index + 1) {
            self.plan(next.at, Due::Arrive(index + 1));
        }
        self.feed(entry, Event::Arrive(arrival));
    }

    fn feed(&mut self, entry: usize, event: Event) {
        for action in self.gateways[entry].handle(event, self.now) {
            self.act(entry, action);
        }
    }

    fn act(&mut self, entry: usize, action: Action) {
        let own = self.names[entry].clone();
        let (peer, event) = match action {
            Action::Send {
                ticket, upstream, ..
            } => return self.send(usize::try_from(ticket).unwrap_or(0), &upstream),
            Action::Fail { .. } | Action::LimitConnections { .. } => return,
            Action::Borrow {
                entry,
                upstream,
                slots,
            } => {
                let event = Event::Borrow {
                    entry: own,
                    upstream,
                    slots,
                };
                (entry, event)
            }
            Action::Loan {
                entry,
                upstream,
                slots,
                loan,
            } => {
                let event = Event::Loan {
                    entry: own,
                    upstream,
                    slots,
                    loan,
                };
                (entry, event)
            }
            Action::Return { entry, loan } => (entry, Event::Return { entry: own, loan }),
        };
        if let Some(to) = self.names.iter().position(|name| *name == peer) {
            self.plan(self.now + HOP, Due::Peer(to, event));
        }
    }

    fn send(&mut self, index: usize, upstream: &UpstreamId) {
        let upstream = self.numbers[upstream];
        let outcome = &mut self.trace.outcomes[index];
        outcome.sends += 1;
        let send = outcome.sends;
        self.sending[index] = send;
        if self.upstreams[upstream].service == self.upstreams[0].service {
            self.trace.first.1.push(self.now);
        }
        if upstream == 0 {
            self.trace.first.0.push(self.now);
        }
        let due = Due::Reach {
            index,
            upstream,
            send,
        };
        self.plan(self.now + HOP, due);
        let late = Due::Report {
            index,
            sent: SendOutcome::Failed(ErrorKind::DeadlineAfterSend),
            send,
        };
        self.plan(self.requests[index].at + DEADLINE, late);
    }

    fn reach(&mut self, index: usize, upstream: usize, send: u32) {
        let state = &mut self.upstreams[upstream];
        let at_once = match self.faults {
            Faults::Down => Some(SendOutcome::Failed(ErrorKind::ConnectFailed)),
            Faults::FirstBad if upstream == 0 => Some(SendOutcome::Answered { server_error: true }),
            _ if state.busy >= state.slots => {
                Some(SendOutcome::Failed(ErrorKind::RefusedByUpstream))
            }
            _ => None,
        };
        if let Some(sent) = at_once {
            self.plan(self.now + FAST + HOP, Due::Report { index, sent, send });
            return;
        }
        state.busy += 1;
        let end = self.now + self.requests[index].work;
        self.trace.spans.push(Span {
            pool: state.service,
            start: self.now,
            end,
        });
        let due = Due::End {
            index,
            upstream,
            send,
        };
        self.plan(end, due);
    }

    /// Passes on the end of a sending, unless it has ended already.
    fn report(&mut self, index: usize, outcome: SendOutcome, send: u32) {
        if self.sending[index] != send {
            return;
        }
        self.sending[index] = 0;
        let request = &self.requests[index];
        if outcome
            == (SendOutcome::Answered {
                server_error: false,
            })
        {
            let outcome = &mut self.trace.outcomes[index];
            outcome.answered = true;
            outcome.latency = self.now - request.at + 2 * CALLER;
        }
        let ticket = index as u64;
        self.feed(request.entry, Event::Report { ticket, outcome });
    }

    fn heartbeat(&mut self, entry: usize) {
        let slots = self.gateways[entry].offers();
        for to in (0..self.names.len()).filter(|to| *to != entry) {
            let event = Event::Offers {
                entry: self.names[entry].clone(),
                slots: slots.clone(),
            };
            self.plan(self.now + HOP, Due::Peer(to, event));
        }
        self.plan(self.now + HEARTBEAT, Due::Heartbeat(entry));
    }
}
