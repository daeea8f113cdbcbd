//! The way of a request: arrival, queue, upstream, end.

use std::time::Duration;

use crate::admit::Pace;
use crate::admit::Room;
use crate::admit::Waiting;
use crate::eject::Verdict;
use crate::gateway::Action;
use crate::gateway::Arrival;
use crate::gateway::Gateway;
use crate::gateway::Request;
use crate::gateway::Running;
use crate::gateway::SendOutcome;
use crate::id::Index;
use crate::id::Ticket;
use crate::outcome::ErrorKind;
use crate::outcome::Run;
use crate::retry;
use crate::retry::Attempt;
use crate::retry::Decision;

/// Longest time for which a slot stays taken after its request ended without an answer.
const COOLING: Duration = Duration::from_secs(1);

/// Requests that are passed over in one pass because only upstreams that they failed on are free.
///
/// More than the retries that a budget can save up, so that retries keep no slot from others.
const ASIDE: usize = 32;

/// Weight of a new service time in the mean, as a divisor.
const MEAN: u32 = 16;

impl Gateway {
    /// Takes a request into its queue or refuses it.
    pub(super) fn arrive(&mut self, arrival: Arrival) {
        let ticket = arrival.ticket;
        match self.classify(&arrival) {
            Ok(service) => self.enqueue(arrival, service),
            Err(kind) => self.actions.push(Action::Fail { ticket, kind }),
        }
    }

    /// Takes the end of a sending: an answer, another sending or a failure.
    pub(super) fn report(&mut self, ticket: Ticket, outcome: SendOutcome) {
        let Some((running, service)) = self.running(ticket) else {
            return;
        };
        let (verdict, answered) = match outcome {
            SendOutcome::Answered {
                server_error: false,
            } => (Verdict::Good, true),
            SendOutcome::Answered { server_error: true } => (Verdict::Bad, false),
            SendOutcome::Failed(kind) => (Verdict::of(kind), false),
        };
        if answered {
            self.learn(service, running);
        }
        if self.ejector.record(running.upstream, verdict, self.now) {
            self.refresh(running.upstream);
        }
        self.release(running, service, answered);
        match outcome {
            SendOutcome::Answered { .. } => self.answered(ticket, running),
            SendOutcome::Failed(kind) => self.failed(ticket, running, kind),
        }
    }

    /// Forgets a request whose caller is gone.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        self.withdraw(ticket);
        if let Some((running, service)) = self.running(ticket) {
            self.release(running, service, false);
            self.charge(ticket, running);
        }
        if let Some(request) = self.requests.remove(&ticket) {
            self.count(request.service, |counts| &mut counts.cancelled);
        }
    }

    /// Sends waiting requests to free slots, for every service where one of both changed.
    pub(super) fn fill(&mut self) {
        while let Some(service) = self.dirty.pop_first() {
            self.fill_pool(service);
            let overflow = self.spare.filter(|spare| *spare != service);
            if let Some(spare) = overflow.filter(|_| self.admission.len(service) > 0) {
                self.fill_pool(spare);
            }
            if self.admission.len(service) > 0 {
                self.borrow(service);
            } else if self.spare != Some(service) || self.admission.is_empty() {
                self.unborrow(service);
            }
        }
    }

    /// Removes a request from its queue, if it waits there.
    pub(super) fn withdraw(&mut self, ticket: Ticket) {
        let request = self.requests.get(&ticket);
        if let Some(request) = request.filter(|request| request.running.is_none()) {
            self.admission.remove(&request.waiting());
        }
    }

    /// Ends a request that is in no queue with an error.
    pub(super) fn fail(&mut self, ticket: Ticket, kind: ErrorKind) {
        let Some(request) = self.requests.remove(&ticket) else {
            return;
        };
        let kind = retry::report(request.doubt, kind);
        self.count(request.service, |counts| match kind.response().run {
            Run::NotRun => &mut counts.refused,
            Run::Unknown | Run::Ran => &mut counts.failed,
        });
        self.actions.push(Action::Fail { ticket, kind });
    }

    /// Counts a slot of an upstream as free.
    pub(super) fn free(&mut self, index: Index) {
        self.router.finish(index);
        if let Some(upstream) = self.upstreams.get(&index) {
            self.dirty.insert(upstream.service);
        }
        self.lend_free(index);
        self.settle(index);
        self.limit(index);
        self.purge(index);
    }

    fn classify(&self, arrival: &Arrival) -> Result<Index, ErrorKind> {
        if self.stopping || !self.configured {
            return Err(ErrorKind::NotReady);
        }
        let index = self.service_names.get(&arrival.service).copied();
        let service = index.and_then(|index| self.services.get(&index));
        let service = service
            .filter(|service| service.active)
            .ok_or(ErrorKind::UnknownService)?;
        let spare = self.spare.and_then(|spare| self.services.get(&spare));
        if service.open == 0 && spare.is_none_or(|spare| spare.open == 0) {
            return Err(ErrorKind::NoUpstream);
        }
        index.ok_or(ErrorKind::UnknownService)
    }

    fn enqueue(&mut self, arrival: Arrival, service: Index) {
        let ticket = arrival.ticket;
        if self.requests.contains_key(&ticket) {
            return;
        }
        self.numbers.order += 1;
        let request = Request {
            arrival,
            service,
            order: self.numbers.order,
            running: None,
            tried: Vec::new(),
            sends: 0,
            doubt: None,
        };
        let waiting = request.waiting();
        self.requests.insert(ticket, request);
        self.count(service, |counts| &mut counts.arrived);
        if let Some(service) = self.services.get_mut(&service) {
            service.budget.earn();
        }
        let pace = self.pace(service);
        match self.admission.arrive(waiting, pace, self.now) {
            Ok(dropped) => {
                dropped
                    .into_iter()
                    .for_each(|it| self.fail(it, ErrorKind::QueueFull));
                self.dirty.insert(service);
            }
            Err(kind) => self.fail(ticket, kind),
        }
    }

    fn fill_pool(&mut self, pool: Index) {
        let mut aside = Vec::new();
        while aside.len() < ASIDE {
            let room = Room {
                free: self.router.free(pool),
                total: self.router.total(pool),
            };
            let Some(ticket) = self.admission.next(pool, room) else {
                break;
            };
            if !self.send(ticket, pool) {
                aside.push(ticket);
            }
        }
        for ticket in aside {
            if let Some(request) = self.requests.get(&ticket) {
                self.admission.again(request.waiting());
            }
        }
    }

    /// Sends a request to an upstream, or refuses it if its deadline is too close.
    ///
    /// Returns false if only upstreams that it failed on are free.
    fn send(&mut self, ticket: Ticket, pool: Index) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return true;
        };
        let service = request.service;
        let need = self
            .services
            .get(&service)
            .map_or(Duration::ZERO, |it| it.mean * 3 / 2);
        if self.now + need > request.arrival.deadline && self.admission.len(service) > 0 {
            let arrival = &request.arrival;
            self.admission
                .charge(service, &arrival.team, &arrival.caller, 0);
            self.fail(ticket, ErrorKind::DeadlineBeforeSend);
            return true;
        }
        let Some(index) = self.router.choose(pool, &request.tried) else {
            return false;
        };
        request.sends += 1;
        request.running = Some(Running {
            upstream: index,
            since: self.now,
        });
        self.router.start(index);
        if let Some(service) = self.services.get_mut(&service) {
            service.running += 1;
        }
        if let Some(upstream) = self.upstreams.get(&index) {
            self.actions.push(Action::Send {
                ticket,
                upstream: upstream.name.clone(),
                address: upstream.address,
            });
        }
        true
    }

    fn answered(&mut self, ticket: Ticket, running: Running) {
        self.charge(ticket, running);
        if let Some(request) = self.requests.remove(&ticket) {
            self.count(request.service, |counts| &mut counts.answered);
        }
    }

    fn failed(&mut self, ticket: Ticket, running: Running, kind: ErrorKind) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let attempt = Attempt {
            kind,
            doubt: request.doubt,
            idempotent: request.arrival.idempotent,
            sends: request.sends,
            deadline: request.arrival.deadline,
            now: self.now,
        };
        let service = request.service;
        let budget = self.services.get_mut(&service).map(|it| &mut it.budget);
        match retry::decide(attempt) {
            Decision::Retry(_) if budget.is_some_and(|budget| budget.spend()) => {
                if kind.response().run == Run::Unknown {
                    request.doubt = Some(kind);
                }
                request.tried.push(running.upstream);
                request.running = None;
                self.admission.again(request.waiting());
                self.dirty.insert(service);
                self.count(service, |counts| &mut counts.retried);
            }
            Decision::Retry(kind) | Decision::Fail(kind) => {
                self.charge(ticket, running);
                self.fail(ticket, kind);
            }
        }
    }

    /// Frees the slot of a request that ended.
    ///
    /// Without a good answer the slot stays taken for the rest of the mean
    /// service time: the request may still run there, and an upstream that
    /// fails at once would otherwise get more work than one that works.
    fn release(&mut self, running: Running, service: Index, answered: bool) {
        if let Some(service) = self.services.get_mut(&service) {
            service.running = service.running.saturating_sub(1);
        }
        let until = running.since + self.mean(service).min(COOLING);
        if answered || until <= self.now {
            self.free(running.upstream);
        } else {
            self.numbers.order += 1;
            let order = self.numbers.order;
            self.cooling.insert((until, order, running.upstream));
        }
    }

    fn learn(&mut self, service: Index, running: Running) {
        let time = self.now.saturating_sub(running.since);
        if let Some(service) = self.services.get_mut(&service) {
            service.mean = match service.mean {
                Duration::ZERO => time,
                mean => (mean * (MEAN - 1) + time) / MEAN,
            };
        }
    }

    fn charge(&mut self, ticket: Ticket, running: Running) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let time = self.now.saturating_sub(running.since).as_micros();
        let mean = self.mean(request.service).as_micros();
        let share = (time * 1_000).checked_div(mean).unwrap_or(1_000);
        let share = i64::try_from(share).unwrap_or(i64::MAX);
        let arrival = &request.arrival;
        self.admission
            .charge(request.service, &arrival.team, &arrival.caller, share);
    }

    /// Returns the pace of a service's queue; overflow counts by the slots that it has now.
    fn pace(&self, service: Index) -> Pace {
        let running = self.services.get(&service).map_or(0, |it| it.running);
        Pace {
            slots: self.router.total(service).max(running),
            mean: self.mean(service),
        }
    }

    fn running(&self, ticket: Ticket) -> Option<(Running, Index)> {
        let request = self.requests.get(&ticket)?;
        Some((request.running?, request.service))
    }

    fn mean(&self, service: Index) -> Duration {
        self.services
            .get(&service)
            .map_or(Duration::ZERO, |service| service.mean)
    }

    fn count(
        &mut self,
        service: Index,
        field: impl FnOnce(&mut crate::gateway::ServiceStatus) -> &mut u64,
    ) {
        if let Some(service) = self.services.get_mut(&service) {
            *field(&mut service.counts) += 1;
        }
    }
}

impl Request {
    fn waiting(&self) -> Waiting {
        Waiting {
            ticket: self.arrival.ticket,
            order: self.order,
            service: self.service,
            caller: self.arrival.caller.clone(),
            team: self.arrival.team.clone(),
            deadline: self.arrival.deadline,
        }
    }
}
