//! Decisions on requests for one entry.
//!
//! The embedder feeds every [`Event`] in order and carries out the
//! [`Action`]s that come back. A request is known by its [`Ticket`] from
//! [`Event::Arrive`] until [`Action::Fail`], a final [`Event::Report`] or
//! [`Event::Cancel`].

mod event;
mod status;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use wigeonhinge_schema::fleet;

use crate::id::EntryId;
use crate::id::ServiceId;
use crate::id::Ticket;
use crate::id::Time;
use crate::id::UpstreamId;
use crate::id::VmId;
use crate::id::ZoneId;
use crate::outcome::Kind;
use crate::outcome::Run;

pub use crate::gateway::event::Action;
pub use crate::gateway::event::Arrival;
pub use crate::gateway::event::Event;
pub use crate::gateway::event::Sent;
pub use crate::gateway::status::ServiceStatus;
pub use crate::gateway::status::Status;
pub use crate::gateway::status::UpstreamStatus;

/// Longest time between two events; the embedder sends [`Event::Tick`] at least this often.
pub const TICK: Duration = Duration::from_millis(50);

/// Decisions on the requests of one entry.
#[derive(Debug)]
pub struct Gateway {
    zone: ZoneId,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    requests: BTreeMap<Ticket, Request>,
    leaving: BTreeSet<VmId>,
    members: usize,
}

#[derive(Debug)]
struct Upstream {
    service: ServiceId,
    vm: VmId,
    address: SocketAddr,
    slots: u32,
    busy: u32,
    near: bool,
}

#[derive(Debug)]
struct Request {
    arrival: Arrival,
    upstream: Option<UpstreamId>,
}

impl Gateway {
    /// Creates the gateway of an entry, without any configuration.
    pub fn new(_entry: EntryId, zone: ZoneId) -> Self {
        Self {
            zone,
            upstreams: BTreeMap::new(),
            requests: BTreeMap::new(),
            leaving: BTreeSet::new(),
            members: 1,
        }
    }

    /// Takes an event and returns what has to be done.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        match event {
            Event::Arrive(arrival) => self.arrive(arrival, now),
            Event::Report { ticket, sent } => self.report(ticket, sent, now),
            Event::Cancel(ticket) => self.finish(ticket),
            Event::Adopt(fleet) => self.adopt(&fleet),
            Event::Members(entries) => self.members = entries.len().max(1),
            Event::Leaving(vms) => self.leaving = vms,
            Event::Announced(_)
            | Event::Rejoined(_)
            | Event::Suspect(_)
            | Event::Confirmed
            | Event::Offers { .. }
            | Event::Borrow { .. }
            | Event::Loan { .. }
            | Event::Return { .. }
            | Event::Stop
            | Event::Tick => {}
        }
        self.dispatch(now)
    }

    /// Returns the idle slots to advertise to peers, by upstream.
    pub fn offers(&self) -> BTreeMap<UpstreamId, u32> {
        BTreeMap::new()
    }

    /// Returns the state and the counts for operators and metrics.
    pub fn status(&self) -> Status {
        Status::default()
    }

    fn arrive(&mut self, arrival: Arrival, _now: Time) {
        let request = Request {
            arrival,
            upstream: None,
        };
        self.requests.insert(request.arrival.ticket, request);
    }

    fn report(&mut self, ticket: Ticket, sent: Sent, _now: Time) {
        match sent {
            Sent::Failed(kind) if kind.answer().run == Run::NotRun => {
                self.finish(ticket);
            }
            Sent::Answered { .. } | Sent::Failed(_) => self.finish(ticket),
        }
    }

    fn finish(&mut self, ticket: Ticket) {
        let upstream = self
            .requests
            .remove(&ticket)
            .and_then(|request| request.upstream);
        if let Some(state) = upstream.and_then(|name| self.upstreams.get_mut(&name)) {
            state.busy = state.busy.saturating_sub(1);
        }
    }

    fn adopt(&mut self, fleet: &fleet::Fleet) {
        let zones: BTreeMap<&str, &str> = fleet
            .inventory
            .iter()
            .map(|vm| (vm.name.as_str(), vm.zone.as_str()))
            .collect();
        let busy: BTreeMap<UpstreamId, u32> = self
            .upstreams
            .iter()
            .map(|(name, state)| (name.clone(), state.busy))
            .collect();
        self.upstreams.clear();
        for upstream in &fleet.upstreams {
            let Ok(address) = upstream.address.parse() else {
                continue;
            };
            let name = UpstreamId::from(&upstream.name);
            let state = Upstream {
                service: ServiceId::from(&upstream.service),
                vm: VmId::from(&upstream.vm),
                address,
                slots: upstream.slots,
                busy: busy.get(&name).copied().unwrap_or(0),
                near: zones.get(upstream.vm.as_str()) == Some(&self.zone.as_str()),
            };
            self.upstreams.insert(name, state);
        }
    }

    fn dispatch(&mut self, now: Time) -> Vec<Action> {
        let waiting: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| request.upstream.is_none())
            .map(|(ticket, _)| *ticket)
            .collect();
        waiting
            .into_iter()
            .filter_map(|ticket| self.step(ticket, now))
            .collect()
    }

    fn step(&mut self, ticket: Ticket, now: Time) -> Option<Action> {
        let request = self.requests.get_mut(&ticket)?;
        if request.arrival.deadline <= now {
            self.requests.remove(&ticket);
            return Some(Action::Fail {
                ticket,
                kind: Kind::DeadlineBeforeSend,
            });
        }
        let members = u32::try_from(self.members).unwrap_or(u32::MAX);
        let (name, state) = self
            .upstreams
            .iter_mut()
            .filter(|(_, state)| state.near && state.service == request.arrival.service)
            .filter(|(_, state)| !self.leaving.contains(&state.vm))
            .filter(|(_, state)| state.busy < state.slots / members)
            .min_by_key(|(_, state)| state.busy)?;
        state.busy += 1;
        request.upstream = Some(name.clone());
        Some(Action::Send {
            ticket,
            upstream: name.clone(),
            address: state.address,
        })
    }
}
