//! Loans of slots between this entry and its peers.

use std::collections::BTreeMap;

use crate::gateway::Action;
use crate::gateway::Gateway;
use crate::id::EntryId;
use crate::id::Index;
use crate::id::UpstreamId;
use crate::share;
use crate::share::LoanRequest;
use crate::share::OfferedSlots;

/// One in this many slots of a service is not lent while idle, but kept for this entry's next
/// requests.
const IDLE_RESERVE_DIVISOR: u32 = 8;

/// One in this many slots of a service may be lent although requests wait.
///
/// An entry in a zone without upstreams of the service depends on borrowed
/// slots. If only idle slots were lent, its callers would get none in a flood.
const LOADED_LOAN_DIVISOR: u32 = 4;

/// One in this many of the slots lent under load may go to the same peer, so that the first peer
/// to ask does not get all of them.
const PEER_LOAN_DIVISOR: u32 = 2;

/// Maximum number of slots of a service in unanswered loan requests.
const MAX_REQUESTED_SLOTS: u32 = 8;

impl Gateway {
    /// Replaces a peer's offers; offers of upstreams that this entry does not know are ignored.
    pub(super) fn set_offers(&mut self, entry: &EntryId, slots: &BTreeMap<UpstreamId, u32>) {
        let offers: Vec<OfferedSlots> = slots
            .iter()
            .filter_map(|(name, slots)| {
                let index = *self.upstream_names.get(name)?;
                let upstream = self.upstreams.get(&index)?;
                Some(OfferedSlots {
                    service: upstream.service,
                    upstream: index,
                    name: name.clone(),
                    remote: !upstream.local,
                    rank: share::rendezvous_key(name, &self.entry).0,
                    slots: *slots,
                })
            })
            .collect();
        self.loans.set_offers(entry, &offers, self.now);
        let services = offers.iter().map(|item| item.service);
        self.dirty.extend(services);
        if self.spare.is_some() && !offers.is_empty() && !self.admission.is_empty() {
            self.dirty.extend(self.services.keys());
        }
    }

    /// Replies to a peer's loan request, at once or when a slot becomes free.
    pub(super) fn handle_borrow(&mut self, entry: EntryId, upstream: UpstreamId, slots: u32) {
        let index = self.upstream_names.get(&upstream).copied();
        let request = LoanRequest {
            entry,
            upstream: index.unwrap_or_default(),
            name: upstream,
            slots,
        };
        let service = index.and_then(|index| self.upstreams.get(&index));
        let Some(service) = service.map(|upstream| upstream.service) else {
            self.grant(request, 0);
            return;
        };
        let idle = self.idle_slots(request.upstream);
        let under_load = slots == 1 && self.may_lend_under_load(&request.entry, service);
        match slots.min(idle).min(self.lendable(service)) {
            0 if under_load && idle > 0 => self.grant(request, 1),
            0 if under_load && self.router.allowed(request.upstream) > 0 => {
                self.loans.enqueue(request, self.now)
            }
            slots => self.grant(request, slots),
        }
    }

    /// Lends freed slots of an upstream to the peers whose loan requests wait for one.
    pub(super) fn lend_freed_slots(&mut self, index: Index) {
        let Some(service) = self.upstreams.get(&index).map(|it| it.service) else {
            return;
        };
        while self.idle_slots(index) > 0 {
            let Some(request) = self.loans.next_waiting(index) else {
                return;
            };
            let slots = u32::from(self.may_lend_under_load(&request.entry, service));
            self.grant(request, slots);
        }
    }

    /// Refuses the loan requests that have waited too long.
    pub(super) fn refuse_waiting(&mut self) {
        for request in self.loans.expire_waiting(self.now) {
            self.grant(request, 0);
        }
    }

    /// Replies to a loan request; 0 slots refuse it.
    fn grant(&mut self, request: LoanRequest, slots: u32) {
        let request = LoanRequest { slots, ..request };
        let loan = match slots {
            0 => 0,
            _ => self.loans.lend(&request, self.now),
        };
        self.actions.push(Action::Loan {
            entry: request.entry,
            upstream: request.name,
            slots,
            loan,
        });
        self.refresh(request.upstream);
    }

    /// Handles a peer's reply to a loan request; returns the loan at once if no request matches it.
    pub(super) fn handle_loan(
        &mut self,
        entry: EntryId,
        upstream: &UpstreamId,
        slots: u32,
        loan: u64,
    ) {
        let request = self.upstream_names.get(upstream).map(|index| LoanRequest {
            entry: entry.clone(),
            upstream: *index,
            name: upstream.clone(),
            slots,
        });
        let accepted = request
            .as_ref()
            .is_some_and(|request| self.loans.accept(request, loan, self.now));
        if !accepted && slots > 0 {
            self.actions.push(Action::Return { entry, loan });
        }
        if let Some(request) = request {
            self.refresh(request.upstream);
        }
    }

    /// Handles the return of a loan by its borrower.
    pub(super) fn handle_return(&mut self, entry: &EntryId, loan: u64) {
        if let Some(index) = self.loans.take_back(entry, loan) {
            self.refresh(index);
        }
    }

    /// Returns the idle slots of a service that may be lent: none while requests wait for them.
    pub(super) fn lendable(&self, service: Index) -> u32 {
        let overflow = self.spare == Some(service) && !self.admission.is_empty();
        if self.admission.len(service) > 0 || overflow {
            return 0;
        }
        let reserved = self.router.total(service).div_ceil(IDLE_RESERVE_DIVISOR);
        self.router.free(service).saturating_sub(reserved)
    }

    /// Returns how many more slots of a service may be lent, one at a time, although requests wait.
    pub(super) fn lendable_under_load(&self, service: Index) -> u32 {
        let lent = self.lent_slots(service, None);
        let total = self.router.total(service) + lent;
        (total / LOADED_LOAN_DIVISOR).saturating_sub(lent)
    }

    /// Returns whether a peer may borrow one more slot of a service under load.
    fn may_lend_under_load(&self, entry: &EntryId, service: Index) -> bool {
        let lendable = self.lendable_under_load(service);
        let total = lendable + self.lent_slots(service, None);
        lendable > 0 && self.lent_slots(service, Some(entry)) < total.div_ceil(PEER_LOAN_DIVISOR)
    }

    /// Returns the slots of a service that are lent to a peer, or to all peers if `entry` is none.
    fn lent_slots(&self, service: Index, entry: Option<&EntryId>) -> u32 {
        let owner = |index| self.upstreams.get(&index).map(|it| it.service);
        let lent = self.loans.lent().filter(|(borrower, index, _)| {
            owner(*index) == Some(service) && entry.is_none_or(|entry| *borrower == entry)
        });
        lent.map(|(_, _, slots)| slots).sum()
    }

    /// Returns the slots of this entry's share of an upstream that are neither lent nor in use.
    pub(super) fn idle_slots(&self, index: Index) -> u32 {
        if self.router.allowed(index) == 0 {
            return 0;
        }
        let lent = self.loans.totals(index).lent;
        let taken = lent + self.router.busy(index);
        self.shares.allowed(index, self.now).saturating_sub(taken)
    }

    /// Sends loan requests for the waiting requests of a service, for its own and the spare pool.
    pub(super) fn request_loans(&mut self, service: Index) {
        let waiting = u32::try_from(self.admission.len(service)).unwrap_or(u32::MAX);
        let pools = [Some(service), self.spare.filter(|spare| *spare != service)];
        for pool in pools.into_iter().flatten() {
            let min_slots = self.min_request(pool);
            let mut wanted = waiting
                .min(MAX_REQUESTED_SLOTS)
                .saturating_sub(self.loans.requested(pool, self.now));
            while wanted > 0 {
                let Some(request) = self.loans.request(pool, wanted, min_slots, self.now) else {
                    break;
                };
                wanted -= request.slots.min(wanted);
                self.actions.push(Action::Borrow {
                    entry: request.entry,
                    upstream: request.name,
                    slots: request.slots,
                });
            }
        }
    }

    /// Returns the smallest number of slots for a loan request.
    ///
    /// A lender under load accepts requests for a single slot only. Those are
    /// reserved for entries without an upstream of the service in their zone;
    /// other entries request at least two and get idle slots only.
    fn min_request(&self, pool: Index) -> u32 {
        let local = self.services.get(&pool).map_or(0, |it| it.local);
        if local == 0 { 1 } else { 2 }
    }

    /// Closes the borrowed loans of a service without waiting requests.
    pub(super) fn close_loans(&mut self, service: Index) {
        if !self.loans.has_borrowed() {
            return;
        }
        for index in self.loans.close(service) {
            self.refresh(index);
        }
    }

    /// Returns the closing loans of an upstream that no request uses any more.
    pub(super) fn return_unused_loans(&mut self, index: Index) {
        if !self.loans.has_borrowed() {
            return;
        }
        let excess = self
            .router
            .busy(index)
            .saturating_sub(self.available_slots(index));
        for (entry, loan) in self.loans.remove_unused(index, excess) {
            self.actions.push(Action::Return { entry, loan });
        }
    }
}
