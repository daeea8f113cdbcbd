//! Request handling of one entry: admission, load balancing, retries and loans.
//!
//! The embedder passes every [`Event`] in order and carries out the returned
//! [`Action`]s. A request is identified by its [`Ticket`] from
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

mod configure;
mod event;
mod loan;
mod request;
mod status;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::admit::Admission;
use crate::eject::Availability;
use crate::eject::Ejector;
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

/// Longest time between two ticks; the embedder sends [`Event::Tick`] at least this often.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two checks for expired loans and loan requests.
const LOAN_SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// State machine that handles the requests of one entry.
#[derive(Debug)]
pub struct Gateway {
    entry: EntryId,
    zone: ZoneId,
    now: Time,
    last_sweep: Time,
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
    /// Slots that stay taken after their request ended: end, order number, upstream.
    cooldowns: BTreeSet<(Time, u64, Index)>,
    leaving_vms: BTreeSet<VmId>,
    /// Upstreams that announced that they are leaving.
    leaving_upstreams: BTreeSet<UpstreamId>,
    /// Service of the spare pool.
    spare: Option<Index>,
    counters: Counters,
    /// Services whose queue or free slots changed since the last dispatch.
    dirty: BTreeSet<Index>,
    actions: Vec<Action>,
}

/// Last index and last order number that were assigned.
#[derive(Debug, Default)]
struct Counters {
    index: Index,
    order: u64,
}

#[derive(Debug)]
struct Service {
    name: ServiceId,
    /// Whether it is part of the current configuration.
    active: bool,
    /// Number of upstreams that are not leaving.
    available: u32,
    /// Number of these that are in the entry's own zone.
    local: u32,
    /// Number of its requests at upstreams.
    running: u32,
    /// Moving average of the time from send to response.
    mean_time: Duration,
    budget: Budget,
    counts: ServiceStatus,
}

#[derive(Debug)]
struct Upstream {
    name: UpstreamId,
    service: Index,
    vm: VmId,
    address: SocketAddr,
    /// Whether it is in the entry's own zone.
    local: bool,
    /// Whether it is no longer part of the configuration.
    removed: bool,
    /// Limit in the last [`Action::LimitConnections`].
    connection_limit: u32,
}

#[derive(Debug)]
struct Request {
    arrival: Arrival,
    service: Index,
    order: u64,
    running: Option<Running>,
    /// Upstreams at which a send failed.
    tried: Vec<Index>,
    sends: u32,
    /// Why an earlier send failed that may have run.
    maybe_ran: Option<ErrorKind>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    upstream: Index,
    since: Time,
}

impl Gateway {
    /// Creates the gateway of an entry; it refuses requests until [`Event::Configure`].
    pub fn new(entry: EntryId, zone: ZoneId) -> Self {
        Self {
            shares: Shares::new(entry.clone()),
            entry,
            zone,
            now: Time::ZERO,
            last_sweep: Time::ZERO,
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
            cooldowns: BTreeSet::new(),
            leaving_vms: BTreeSet::new(),
            leaving_upstreams: BTreeSet::new(),
            spare: None,
            counters: Counters::default(),
            dirty: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.advance(now);
        match event {
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::Report { ticket, outcome } => self.report(ticket, outcome),
            Event::Cancel(ticket) => self.cancel(ticket),
            Event::Configure(fleet) => self.configure(&fleet),
            Event::Members(entries) => self.set_members(&entries),
            Event::LeavingVms(vms) => self.set_leaving_vms(vms),
            Event::UpstreamLeaving(upstream) => self.set_upstream_leaving(upstream, true),
            Event::UpstreamRejoined(upstream) => self.set_upstream_leaving(upstream, false),
            Event::ProbeFailed(upstream) => self.record_probe_failure(&upstream),
            Event::MembershipConfirmed => self.confirm_membership(),
            Event::Offers { entry, slots } => self.set_offers(&entry, &slots),
            Event::Borrow {
                entry,
                upstream,
                slots,
            } => self.handle_borrow(entry, upstream, slots),
            Event::Loan {
                entry,
                upstream,
                slots,
                loan,
            } => self.handle_loan(entry, &upstream, slots, loan),
            Event::Return { entry, loan } => self.handle_return(&entry, loan),
            Event::Stop => self.stopping = true,
            Event::Tick => self.dirty.extend(self.services.keys()),
        }
        self.dispatch();
        std::mem::take(&mut self.actions)
    }

    /// Returns the slots to offer to peers, by upstream.
    ///
    /// An offer of a single slot may stand for a busy slot; a peer that has no
    /// upstream of the service in its zone may ask for it and wait.
    pub fn offers(&self) -> BTreeMap<UpstreamId, u32> {
        let mut budgets: BTreeMap<Index, (u32, u32)> = BTreeMap::new();
        let mut offers = BTreeMap::new();
        for (index, upstream) in &self.upstreams {
            let (idle, under_load) = budgets.entry(upstream.service).or_insert_with(|| {
                let idle = self.lendable(upstream.service);
                (idle, self.lendable_under_load(upstream.service))
            });
            let mut slots = self.idle_slots(*index).min(*idle);
            *idle -= slots;
            let own = self.shares.allowed(*index, self.now) > 0;
            if slots == 0 && *under_load > 0 && own && self.router.allowed(*index) > 0 {
                *under_load -= 1;
                slots = 1;
            }
            if slots > 0 {
                offers.insert(upstream.name.clone(), slots);
            }
        }
        offers
    }

    /// Returns a snapshot of state and counters, for operators and metrics.
    pub fn status(&self) -> Status {
        let services = self.services.iter().map(|(index, service)| {
            let mut status = service.counts.clone();
            status.queued = self.admission.len(*index);
            status.running = usize::try_from(service.running).unwrap_or(usize::MAX);
            (service.name.clone(), status)
        });
        let upstreams = self.upstreams.iter().map(|(index, upstream)| {
            let totals = self.loans.totals(*index);
            let status = UpstreamStatus {
                allowed: self.router.allowed(*index),
                running: self.router.busy(*index),
                borrowed: totals.open + totals.closing,
                lent: totals.lent,
                leaving: self.is_leaving(upstream),
                ejected: self.ejector.availability(*index) != Availability::Full,
            };
            (upstream.name.clone(), status)
        });
        Status {
            configured: self.configured,
            in_hold_down: self.shares.in_hold_down(),
            stopping: self.stopping,
            requests: self.requests.len(),
            services: services.collect(),
            upstreams: upstreams.collect(),
        }
    }

    /// Updates everything that depends on time.
    fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        if self.shares.observe(self.now) {
            self.refresh_all();
        }
        for index in self.ejector.start_trials(self.now) {
            self.refresh(index);
        }
        if self.last_sweep + LOAN_SWEEP_INTERVAL <= self.now {
            self.last_sweep = self.now;
            for index in self.loans.expire(self.now) {
                self.refresh(index);
            }
            self.refuse_waiting();
        }
        while let Some(&(until, _, index)) = self.cooldowns.first() {
            if until > self.now {
                break;
            }
            self.cooldowns.pop_first();
            self.free_slot(index);
        }
        for ticket in self.admission.expire(self.now) {
            self.fail(ticket, ErrorKind::DeadlineBeforeSend);
        }
    }

    fn set_members(&mut self, entries: &BTreeSet<EntryId>) {
        self.shares.set_live(entries, self.now);
        self.refresh_all();
    }

    fn confirm_membership(&mut self) {
        self.shares.end_hold_down();
        self.refresh_all();
    }

    fn record_probe_failure(&mut self, upstream: &UpstreamId) {
        let index = self.upstream_names.get(upstream).copied();
        if let Some(index) =
            index.filter(|index| self.ejector.record_probe_failure(*index, self.now))
        {
            self.refresh(index);
        }
    }

    fn refresh_all(&mut self) {
        let indices: Vec<Index> = self.upstreams.keys().copied().collect();
        for index in indices {
            self.refresh(index);
        }
    }

    /// Recomputes how many requests may run at an upstream, after a change of its share, loans or
    /// health.
    fn refresh(&mut self, index: Index) {
        let Some(upstream) = self.upstreams.get(&index) else {
            return;
        };
        let allowed = match self.ejector.availability(index) {
            _ if self.is_leaving(upstream) => 0,
            Availability::Full => self.available_slots(index),
            Availability::Trial => self.available_slots(index).min(1),
            Availability::Unavailable => 0,
        };
        self.dirty.insert(upstream.service);
        self.router.set_allowed(index, allowed);
        self.return_unused_loans(index);
        self.update_connection_limit(index);
        self.remove_if_unused(index);
    }

    /// Returns the slots of an upstream that this entry may fill: its share, less lent slots, plus
    /// open loans.
    fn available_slots(&self, index: Index) -> u32 {
        let totals = self.loans.totals(index);
        let own = self.shares.allowed(index, self.now);
        own.saturating_sub(totals.lent) + totals.open
    }

    /// Emits [`Action::LimitConnections`] if the limit of an upstream changed.
    ///
    /// Each slot on loan moves one connection from the lender to the borrower.
    fn update_connection_limit(&mut self, index: Index) {
        let totals = self.loans.totals(index);
        let own = self.shares.connections(index);
        let limit = own.saturating_sub(totals.lent) + totals.open + totals.closing;
        let Some(upstream) = self.upstreams.get_mut(&index) else {
            return;
        };
        if upstream.connection_limit != limit {
            upstream.connection_limit = limit;
            self.actions.push(Action::LimitConnections {
                upstream: upstream.name.clone(),
                limit,
            });
        }
    }

    fn is_leaving(&self, upstream: &Upstream) -> bool {
        upstream.removed
            || self.leaving_vms.contains(&upstream.vm)
            || self.leaving_upstreams.contains(&upstream.name)
    }
}
