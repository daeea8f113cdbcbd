//! Decisions on requests for one entry.
//!
//! The embedder feeds every [`Event`] in order and carries out the
//! [`Action`]s that come back. A request is known by its [`Ticket`] from
//! [`Event::Arrive`] until [`Action::Fail`], a final [`Event::Report`] or
//! [`Event::Cancel`].
//!
//! ```
//! use std::time::Duration;
//!
//! use wigeonhinge::gateway::Action;
//! use wigeonhinge::gateway::Arrival;
//! use wigeonhinge::gateway::Event;
//! use wigeonhinge::gateway::Gateway;
//! use wigeonhinge::outcome::ErrorKind;
//!
//! let mut gateway = Gateway::new("e1".into(), "a".into());
//! let arrival = Arrival {
//!     ticket: 1,
//!     service: "crews".into(),
//!     caller: "10.0.0.1".into(),
//!     team: "".into(),
//!     idempotent: true,
//!     deadline: Duration::from_secs(10),
//! };
//! let actions = gateway.handle(Event::Arrive(arrival), Duration::ZERO);
//! let kind = ErrorKind::NotReady;
//! assert_eq!(actions, [Action::Fail { ticket: 1, kind }]);
//! ```

mod adopt;
mod event;
mod flow;
mod lend;
mod status;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::admit::Admission;
use crate::eject::Ejector;
use crate::eject::Usable;
use crate::id::EntryId;
use crate::id::Index;
use crate::id::ServiceId;
use crate::id::Ticket;
use crate::id::Time;
use crate::id::UpstreamId;
use crate::id::VmId;
use crate::id::ZoneId;
use crate::outcome::ErrorKind;
use crate::retry::Budget;
use crate::route::Router;
use crate::share::Loans;
use crate::share::Shares;

pub use crate::gateway::event::Action;
pub use crate::gateway::event::Arrival;
pub use crate::gateway::event::Event;
pub use crate::gateway::event::SendOutcome;
pub use crate::gateway::status::ServiceStatus;
pub use crate::gateway::status::Status;
pub use crate::gateway::status::UpstreamStatus;

/// Longest time between two events; the embedder sends [`Event::Tick`] at least this often.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two sweeps over loans.
const SWEEP: Duration = Duration::from_millis(10);

/// Decisions on the requests of one entry.
#[derive(Debug)]
pub struct Gateway {
    entry: EntryId,
    zone: ZoneId,
    now: Time,
    swept: Time,
    configured: bool,
    stopping: bool,
    shares: Shares,
    loans: Loans,
    admission: Admission,
    router: Router,
    ejector: Ejector,
    services: BTreeMap<Index, Service>,
    upstreams: BTreeMap<Index, Upstream>,
    service_names: BTreeMap<ServiceId, Index>,
    upstream_names: BTreeMap<UpstreamId, Index>,
    requests: BTreeMap<Ticket, Request>,
    cooling: BTreeSet<(Time, u64, Index)>,
    leaving: BTreeSet<VmId>,
    announced: BTreeSet<UpstreamId>,
    spare: Option<Index>,
    numbers: Numbers,
    dirty: BTreeSet<Index>,
    actions: Vec<Action>,
}

/// Last numbers given.
#[derive(Debug, Default)]
struct Numbers {
    index: Index,
    order: u64,
}

#[derive(Debug)]
struct Service {
    name: ServiceId,
    active: bool,
    open: u32,
    near: u32,
    running: u32,
    mean: Duration,
    budget: Budget,
    counts: ServiceStatus,
}

#[derive(Debug)]
struct Upstream {
    name: UpstreamId,
    service: Index,
    vm: VmId,
    address: SocketAddr,
    near: bool,
    gone: bool,
    limit: u32,
}

#[derive(Debug)]
struct Request {
    arrival: Arrival,
    service: Index,
    order: u64,
    running: Option<Running>,
    tried: Vec<Index>,
    sends: u32,
    doubt: Option<ErrorKind>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    upstream: Index,
    since: Time,
}

impl Gateway {
    /// Creates the gateway of an entry, without any configuration.
    pub fn new(entry: EntryId, zone: ZoneId) -> Self {
        Self {
            shares: Shares::new(entry.clone()),
            entry,
            zone,
            now: Time::ZERO,
            swept: Time::ZERO,
            configured: false,
            stopping: false,
            loans: Loans::default(),
            admission: Admission::default(),
            router: Router::default(),
            ejector: Ejector::default(),
            services: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            service_names: BTreeMap::new(),
            upstream_names: BTreeMap::new(),
            requests: BTreeMap::new(),
            cooling: BTreeSet::new(),
            leaving: BTreeSet::new(),
            announced: BTreeSet::new(),
            spare: None,
            numbers: Numbers::default(),
            dirty: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    /// Takes an event and returns what has to be done.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.advance(now);
        match event {
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::Report { ticket, outcome } => self.report(ticket, outcome),
            Event::Cancel(ticket) => self.cancel(ticket),
            Event::Configure(fleet) => self.adopt(&fleet),
            Event::Members(entries) => self.members(&entries),
            Event::LeavingVms(vms) => self.leave(vms),
            Event::UpstreamLeaving(upstream) => self.announce(upstream, true),
            Event::UpstreamRejoined(upstream) => self.announce(upstream, false),
            Event::ProbeFailed(upstream) => self.suspect(&upstream),
            Event::MembershipConfirmed => self.confirm(),
            Event::Offers { entry, slots } => self.offered(&entry, &slots),
            Event::Borrow {
                entry,
                upstream,
                slots,
            } => self.lend(entry, upstream, slots),
            Event::Loan {
                entry,
                upstream,
                slots,
                loan,
            } => self.borrowed(entry, &upstream, slots, loan),
            Event::Return { entry, loan } => self.returned(&entry, loan),
            Event::Stop => self.stopping = true,
            Event::Tick => self.dirty.extend(self.services.keys()),
        }
        self.fill();
        std::mem::take(&mut self.actions)
    }

    /// Returns the slots to advertise to peers, by upstream.
    ///
    /// A single slot may also be one that a peer without its own has to wait for.
    pub fn offers(&self) -> BTreeMap<UpstreamId, u32> {
        let mut budgets: BTreeMap<Index, (u32, u32)> = BTreeMap::new();
        let mut offers = BTreeMap::new();
        for (index, upstream) in &self.upstreams {
            let (idle, loaded) = budgets.entry(upstream.service).or_insert_with(|| {
                let idle = self.lendable(upstream.service);
                (idle, self.lendable_loaded(upstream.service))
            });
            let mut slots = self.idle(*index).min(*idle);
            *idle -= slots;
            let own = self.shares.allowed(*index, self.now) > 0;
            if slots == 0 && *loaded > 0 && own && self.router.allowed(*index) > 0 {
                *loaded -= 1;
                slots = 1;
            }
            if slots > 0 {
                offers.insert(upstream.name.clone(), slots);
            }
        }
        offers
    }

    /// Returns the state and the counts for operators and metrics.
    pub fn status(&self) -> Status {
        let services = self.services.iter().map(|(index, service)| {
            let mut status = service.counts.clone();
            status.queued = self.admission.len(*index);
            status.running = usize::try_from(service.running).unwrap_or(usize::MAX);
            (service.name.clone(), status)
        });
        let upstreams = self.upstreams.iter().map(|(index, upstream)| {
            let sums = self.loans.sums(*index);
            let status = UpstreamStatus {
                allowed: self.router.allowed(*index),
                running: self.router.busy(*index),
                borrowed: sums.open + sums.closing,
                lent: sums.lent,
                leaving: self.is_leaving(upstream),
                ejected: self.ejector.usable(*index) != Usable::Fully,
            };
            (upstream.name.clone(), status)
        });
        Status {
            configured: self.configured,
            holding: self.shares.holding(),
            stopping: self.stopping,
            requests: self.requests.len(),
            services: services.collect(),
            upstreams: upstreams.collect(),
        }
    }

    /// Brings everything that depends on time up to `now`.
    fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        if self.shares.observe(self.now) {
            self.refresh_all();
        }
        for index in self.ejector.tick(self.now) {
            self.refresh(index);
        }
        if self.swept + SWEEP <= self.now {
            self.swept = self.now;
            for index in self.loans.expire(self.now) {
                self.refresh(index);
            }
            self.refuse();
        }
        while let Some(&(until, _, index)) = self.cooling.first() {
            if until > self.now {
                break;
            }
            self.cooling.pop_first();
            self.free(index);
        }
        for ticket in self.admission.expire(self.now) {
            self.fail(ticket, ErrorKind::DeadlineBeforeSend);
        }
    }

    fn members(&mut self, entries: &BTreeSet<EntryId>) {
        self.shares.members(entries, self.now);
        self.refresh_all();
    }

    fn confirm(&mut self) {
        self.shares.confirm();
        self.refresh_all();
    }

    fn suspect(&mut self, upstream: &UpstreamId) {
        let index = self.upstream_names.get(upstream).copied();
        if let Some(index) = index.filter(|index| self.ejector.suspect(*index, self.now)) {
            self.refresh(index);
        }
    }

    fn refresh_all(&mut self) {
        let indices: Vec<Index> = self.upstreams.keys().copied().collect();
        for index in indices {
            self.refresh(index);
        }
    }

    /// Recomputes what may run at an upstream, after anything that it depends on changed.
    fn refresh(&mut self, index: Index) {
        let Some(upstream) = self.upstreams.get(&index) else {
            return;
        };
        let allowed = match self.ejector.usable(index) {
            _ if self.is_leaving(upstream) => 0,
            Usable::Fully => self.granted(index),
            Usable::Trial => self.granted(index).min(1),
            Usable::No => 0,
        };
        self.dirty.insert(upstream.service);
        self.router.set(index, allowed);
        self.settle(index);
        self.limit(index);
        self.purge(index);
    }

    /// Returns the slots of an upstream that are at this entry's disposal.
    fn granted(&self, index: Index) -> u32 {
        let sums = self.loans.sums(index);
        let own = self.shares.allowed(index, self.now);
        own.saturating_sub(sums.lent) + sums.open
    }

    /// Announces the limit of connections if it changed; a loan carries one connection a slot.
    fn limit(&mut self, index: Index) {
        let sums = self.loans.sums(index);
        let own = self.shares.connections(index);
        let limit = own.saturating_sub(sums.lent) + sums.open + sums.closing;
        let Some(upstream) = self.upstreams.get_mut(&index) else {
            return;
        };
        if upstream.limit != limit {
            upstream.limit = limit;
            self.actions.push(Action::LimitConnections {
                upstream: upstream.name.clone(),
                limit,
            });
        }
    }

    fn is_leaving(&self, upstream: &Upstream) -> bool {
        upstream.gone
            || self.leaving.contains(&upstream.vm)
            || self.announced.contains(&upstream.name)
    }
}
