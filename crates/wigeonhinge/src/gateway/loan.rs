//! Loans between this entry and its peers.

use std::collections::BTreeMap;

use crate::gateway::Action;
use crate::gateway::Gateway;
use crate::id::EntryId;
use crate::id::Index;
use crate::id::UpstreamId;
use crate::share;
use crate::share::LoanRequest;
use crate::share::OfferedSlots;

/// Of this number of a service's slots, one is kept from peers for its next requests.
const IDLE_RESERVE_DIVISOR: u32 = 8;

/// Of this number of a service's slots, one may be lent under load.
///
/// An entry in a zone without upstreams of the service has no slots but these;
/// with idle slots alone its callers would get nothing during a flood.
const LOADED_LOAN_DIVISOR: u32 = 4;

/// Of this number of those, one peer holds one at most, so that the first to ask leaves some.
const PEER_LOAN_DIVISOR: u32 = 2;

/// Slots of a service that are asked for at the same time.
const MAX_REQUESTED_SLOTS: u32 = 8;

impl Gateway {
    /// Takes a peer's offers; those of upstreams that are unknown here are left out.
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

    /// Answers a peer that asks for slots, at once or when a slot is free.
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
        let loaded = slots == 1 && self.may_lend_under_load(&request.entry, service);
        match slots.min(idle).min(self.lendable(service)) {
            0 if loaded && idle > 0 => self.grant(request, 1),
            0 if loaded && self.router.allowed(request.upstream) > 0 => {
                self.loans.enqueue(request, self.now)
            }
            slots => self.grant(request, slots),
        }
    }

    /// Lends a slot that has become free to a peer that waits for it.
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

    /// Refuses the peers that have waited too long for a slot.
    pub(super) fn refuse_waiting(&mut self) {
        for request in self.loans.expire_waiting(self.now) {
            self.grant(request, 0);
        }
    }

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

    /// Takes the answer of a peer that was asked; gives back what nothing waits for.
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
        let taken = request
            .as_ref()
            .is_some_and(|request| self.loans.accept(request, loan, self.now));
        if !taken && slots > 0 {
            self.actions.push(Action::Return { entry, loan });
        }
        if let Some(request) = request {
            self.refresh(request.upstream);
        }
    }

    /// Takes back a loan.
    pub(super) fn handle_return(&mut self, entry: &EntryId, loan: u64) {
        if let Some(index) = self.loans.take_back(entry, loan) {
            self.refresh(index);
        }
    }

    /// Returns the slots of a service that may be lent: none while requests wait for them.
    pub(super) fn lendable(&self, service: Index) -> u32 {
        let overflow = self.spare == Some(service) && !self.admission.is_empty();
        if self.admission.len(service) > 0 || overflow {
            return 0;
        }
        let keep = self.router.total(service).div_ceil(IDLE_RESERVE_DIVISOR);
        self.router.free(service).saturating_sub(keep)
    }

    /// Returns the slots of a service that may be lent one by one although requests wait.
    pub(super) fn lendable_under_load(&self, service: Index) -> u32 {
        let lent = self.lent_slots(service, None);
        let whole = self.router.total(service) + lent;
        (whole / LOADED_LOAN_DIVISOR).saturating_sub(lent)
    }

    /// Returns whether a peer may be lent one more of those.
    fn may_lend_under_load(&self, entry: &EntryId, service: Index) -> bool {
        let left = self.lendable_under_load(service);
        let whole = left + self.lent_slots(service, None);
        left > 0 && self.lent_slots(service, Some(entry)) < whole.div_ceil(PEER_LOAN_DIVISOR)
    }

    /// Returns the slots of a service that are lent to a peer, or to all.
    fn lent_slots(&self, service: Index, entry: Option<&EntryId>) -> u32 {
        let owner = |index| self.upstreams.get(&index).map(|it| it.service);
        let lent = self.loans.lent().filter(|(borrower, index, _)| {
            owner(*index) == Some(service) && entry.is_none_or(|entry| *borrower == entry)
        });
        lent.map(|(_, _, slots)| slots).sum()
    }

    /// Returns the slots of an upstream that this entry owns and leaves idle.
    pub(super) fn idle_slots(&self, index: Index) -> u32 {
        if self.router.allowed(index) == 0 {
            return 0;
        }
        let lent = self.loans.totals(index).lent;
        let taken = lent + self.router.busy(index);
        self.shares.allowed(index, self.now).saturating_sub(taken)
    }

    /// Asks peers for slots for the waiting requests of a service.
    pub(super) fn request_loans(&mut self, service: Index) {
        let waiting = u32::try_from(self.admission.len(service)).unwrap_or(u32::MAX);
        let pools = [Some(service), self.spare.filter(|spare| *spare != service)];
        for pool in pools.into_iter().flatten() {
            let least = self.min_request(pool);
            let mut want = waiting
                .min(MAX_REQUESTED_SLOTS)
                .saturating_sub(self.loans.requested(pool, self.now));
            while want > 0 {
                let Some(request) = self.loans.request(pool, want, least, self.now) else {
                    break;
                };
                want -= request.slots.min(want);
                self.actions.push(Action::Borrow {
                    entry: request.entry,
                    upstream: request.name,
                    slots: request.slots,
                });
            }
        }
    }

    /// Returns the slots to ask for at least.
    ///
    /// A question for a single slot may wait at a loaded peer. It is for an
    /// entry that has no upstream of the service in its zone; others ask for
    /// two and get idle slots only.
    fn min_request(&self, pool: Index) -> u32 {
        let local = self.services.get(&pool).map_or(0, |it| it.local);
        if local == 0 { 1 } else { 2 }
    }

    /// Closes the loans of a service that has no waiting request.
    pub(super) fn close_loans(&mut self, service: Index) {
        if !self.loans.has_borrowed() {
            return;
        }
        for index in self.loans.close(service) {
            self.refresh(index);
        }
    }

    /// Gives back the closing loans of an upstream that no request needs any more.
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
