//! Life cycle of a request: arrival, queue, send, retry, end.

use std::time::Duration;

use crate::admit::QueuedRequest;
use crate::admit::Slots;
use crate::admit::Throughput;
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

/// Longest time for which a slot stays taken after its request ended without a good response.
const MAX_COOLDOWN: Duration = Duration::from_secs(1);

/// Maximum number of requests skipped per dispatch because all free slots are at upstreams at which
/// they failed.
///
/// It is higher than the number of retries that a budget can save up, so that
/// retries do not keep other requests from the free slots.
const MAX_SKIPPED: usize = 32;

/// Divisor for the weight of a new service time in the moving average.
const MEAN_WEIGHT_DIVISOR: u32 = 16;

impl Gateway {
    /// Adds a request to the queue of its service or refuses it.
    pub(super) fn arrive(&mut self, arrival: Arrival) {
        let ticket = arrival.ticket;
        match self.resolve_service(&arrival) {
            Ok(service) => self.enqueue(arrival, service),
            Err(kind) => self.actions.push(Action::Fail { ticket, kind }),
        }
    }

    /// Handles the outcome of a send: ends the request or queues it for a retry.
    pub(super) fn report(&mut self, ticket: Ticket, outcome: SendOutcome) {
        let Some((running, service)) = self.running(ticket) else {
            return;
        };
        let (verdict, answered) = match outcome {
            SendOutcome::Answered {
                server_error: false,
            } => (Verdict::Success, true),
            SendOutcome::Answered { server_error: true } => (Verdict::Failure, false),
            SendOutcome::Failed(kind) => (Verdict::of(kind), false),
        };
        if answered {
            self.update_mean_time(service, running);
        }
        if self.ejector.record(running.upstream, verdict, self.now) {
            self.refresh(running.upstream);
        }
        self.release_slot(running, service, answered);
        match outcome {
            SendOutcome::Answered { .. } => self.complete(ticket, running),
            SendOutcome::Failed(kind) => self.retry_or_fail(ticket, running, kind),
        }
    }

    /// Removes a request whose caller is gone, whether it is queued or at an upstream.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        self.dequeue(ticket);
        if let Some((running, service)) = self.running(ticket) {
            self.release_slot(running, service, false);
            self.charge(ticket, running);
        }
        if let Some(request) = self.requests.remove(&ticket) {
            self.increment(request.service, |counts| &mut counts.cancelled);
        }
    }

    /// Sends waiting requests to free slots, for every service whose queue or slots changed.
    ///
    /// Also requests loans for what still waits, and closes loans without use.
    pub(super) fn dispatch(&mut self) {
        while let Some(service) = self.dirty.pop_first() {
            self.dispatch_pool(service);
            let overflow = self.spare.filter(|spare| *spare != service);
            if let Some(spare) = overflow.filter(|_| self.admission.len(service) > 0) {
                self.dispatch_pool(spare);
            }
            if self.admission.len(service) > 0 {
                self.request_loans(service);
            } else if self.spare != Some(service) || self.admission.is_empty() {
                self.close_loans(service);
            }
        }
    }

    /// Removes a request from its queue, if it waits there.
    pub(super) fn dequeue(&mut self, ticket: Ticket) {
        let request = self.requests.get(&ticket);
        if let Some(request) = request.filter(|request| request.running.is_none()) {
            self.admission.remove(&request.queued());
        }
    }

    /// Fails a request that is not in a queue.
    pub(super) fn fail(&mut self, ticket: Ticket, kind: ErrorKind) {
        let Some(request) = self.requests.remove(&ticket) else {
            return;
        };
        let kind = retry::reported_kind(request.maybe_ran, kind);
        self.increment(request.service, |counts| match kind.response().run {
            Run::NotRun => &mut counts.refused,
            Run::Unknown | Run::Ran => &mut counts.failed,
        });
        self.actions.push(Action::Fail { ticket, kind });
    }

    /// Frees a slot of an upstream for this entry's requests or for waiting loan requests.
    pub(super) fn free_slot(&mut self, index: Index) {
        self.router.finish(index);
        if let Some(upstream) = self.upstreams.get(&index) {
            self.dirty.insert(upstream.service);
        }
        self.lend_freed_slots(index);
        self.return_unused_loans(index);
        self.update_connection_limit(index);
        self.remove_if_unused(index);
    }

    /// Returns the service that an arriving request is for, or why the request is refused.
    fn resolve_service(&self, arrival: &Arrival) -> Result<Index, ErrorKind> {
        if self.stopping || !self.configured {
            return Err(ErrorKind::NotReady);
        }
        let index = self.service_names.get(&arrival.service).copied();
        let service = index.and_then(|index| self.services.get(&index));
        let service = service
            .filter(|service| service.active)
            .ok_or(ErrorKind::UnknownService)?;
        let spare = self.spare.and_then(|spare| self.services.get(&spare));
        if service.available == 0 && spare.is_none_or(|spare| spare.available == 0) {
            return Err(ErrorKind::NoUpstream);
        }
        index.ok_or(ErrorKind::UnknownService)
    }

    fn enqueue(&mut self, arrival: Arrival, service: Index) {
        let ticket = arrival.ticket;
        if self.requests.contains_key(&ticket) {
            return;
        }
        self.counters.order += 1;
        let request = Request {
            arrival,
            service,
            order: self.counters.order,
            running: None,
            tried: Vec::new(),
            sends: 0,
            maybe_ran: None,
        };
        let queued = request.queued();
        self.requests.insert(ticket, request);
        self.increment(service, |counts| &mut counts.arrived);
        if let Some(service) = self.services.get_mut(&service) {
            service.budget.deposit();
        }
        let throughput = self.throughput(service);
        match self.admission.enqueue(queued, throughput, self.now) {
            Ok(dropped) => {
                dropped
                    .into_iter()
                    .for_each(|it| self.fail(it, ErrorKind::QueueFull));
                self.dirty.insert(service);
            }
            Err(kind) => self.fail(ticket, kind),
        }
    }

    /// Sends waiting requests to the free slots of a pool, given by its service.
    fn dispatch_pool(&mut self, pool: Index) {
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED {
            let slots = Slots {
                free: self.router.free(pool),
                total: self.router.total(pool),
            };
            let Some(ticket) = self.admission.dequeue(pool, slots) else {
                break;
            };
            if !self.send(ticket, pool) {
                skipped.push(ticket);
            }
        }
        for ticket in skipped {
            if let Some(request) = self.requests.get(&ticket) {
                self.admission.requeue(request.queued());
            }
        }
    }

    /// Sends a request to an upstream, or refuses it if its deadline is too close.
    ///
    /// Returns false if all free slots are at upstreams at which it failed.
    fn send(&mut self, ticket: Ticket, pool: Index) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return true;
        };
        let service = request.service;
        let needed = self
            .services
            .get(&service)
            .map_or(Duration::ZERO, |it| it.mean_time * 3 / 2);
        if self.now + needed > request.arrival.deadline && self.admission.len(service) > 0 {
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

    fn complete(&mut self, ticket: Ticket, running: Running) {
        self.charge(ticket, running);
        if let Some(request) = self.requests.remove(&ticket) {
            self.increment(request.service, |counts| &mut counts.answered);
        }
    }

    fn retry_or_fail(&mut self, ticket: Ticket, running: Running, kind: ErrorKind) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let attempt = Attempt {
            kind,
            maybe_ran: request.maybe_ran,
            idempotent: request.arrival.idempotent,
            sends: request.sends,
            deadline: request.arrival.deadline,
            now: self.now,
        };
        let service = request.service;
        let budget = self.services.get_mut(&service).map(|it| &mut it.budget);
        match retry::decide(attempt) {
            Decision::Retry(_) if budget.is_some_and(|budget| budget.try_withdraw()) => {
                if kind.response().run == Run::Unknown {
                    request.maybe_ran = Some(kind);
                }
                request.tried.push(running.upstream);
                request.running = None;
                self.admission.requeue(request.queued());
                self.dirty.insert(service);
                self.increment(service, |counts| &mut counts.retried);
            }
            Decision::Retry(kind) | Decision::Fail(kind) => {
                self.charge(ticket, running);
                self.fail(ticket, kind);
            }
        }
    }

    /// Frees the slot of a request that ended.
    ///
    /// Without a good response the slot stays taken for the rest of the mean
    /// service time: the request may still run there, and an upstream that fails
    /// at once would otherwise get more requests than one that works.
    fn release_slot(&mut self, running: Running, service: Index, answered: bool) {
        if let Some(service) = self.services.get_mut(&service) {
            service.running = service.running.saturating_sub(1);
        }
        let until = running.since + self.mean_time(service).min(MAX_COOLDOWN);
        if answered || until <= self.now {
            self.free_slot(running.upstream);
        } else {
            self.counters.order += 1;
            let order = self.counters.order;
            self.cooldowns.insert((until, order, running.upstream));
        }
    }

    fn update_mean_time(&mut self, service: Index, running: Running) {
        let time = self.now.saturating_sub(running.since);
        if let Some(service) = self.services.get_mut(&service) {
            service.mean_time = match service.mean_time {
                Duration::ZERO => time,
                mean => (mean * (MEAN_WEIGHT_DIVISOR - 1) + time) / MEAN_WEIGHT_DIVISOR,
            };
        }
    }

    /// Charges team and caller of a request for its time in a slot.
    fn charge(&mut self, ticket: Ticket, running: Running) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let time = self.now.saturating_sub(running.since).as_micros();
        let mean = self.mean_time(request.service).as_micros();
        let cost = (time * 1_000).checked_div(mean).unwrap_or(1_000);
        let cost = i64::try_from(cost).unwrap_or(i64::MAX);
        let arrival = &request.arrival;
        self.admission
            .charge(request.service, &arrival.team, &arrival.caller, cost);
    }

    /// Returns the throughput for a service's queue.
    ///
    /// Slots of the spare pool count as far as the service uses them now.
    fn throughput(&self, service: Index) -> Throughput {
        let running = self.services.get(&service).map_or(0, |it| it.running);
        Throughput {
            slots: self.router.total(service).max(running),
            mean_time: self.mean_time(service),
        }
    }

    fn running(&self, ticket: Ticket) -> Option<(Running, Index)> {
        let request = self.requests.get(&ticket)?;
        Some((request.running?, request.service))
    }

    fn mean_time(&self, service: Index) -> Duration {
        self.services
            .get(&service)
            .map_or(Duration::ZERO, |service| service.mean_time)
    }

    fn increment(
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
    fn queued(&self) -> QueuedRequest {
        QueuedRequest {
            ticket: self.arrival.ticket,
            order: self.order,
            service: self.service,
            caller: self.arrival.caller.clone(),
            team: self.arrival.team.clone(),
            deadline: self.arrival.deadline,
        }
    }
}
