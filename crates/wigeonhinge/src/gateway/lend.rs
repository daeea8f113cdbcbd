//! Loans between this entry and its peers.

use std::collections::BTreeMap;

use crate::gateway::Action;
use crate::gateway::Gateway;
use crate::id::EntryId;
use crate::id::Index;
use crate::id::UpstreamId;
use crate::share;
use crate::share::Ask;
use crate::share::Listed;

/// Of this number of a service's slots, one is kept from peers for its next requests.
const KEEP: u32 = 8;

/// Of this number of a service's slots, one may be lent under load.
///
/// An entry in a zone without upstreams of the service has no slots but these;
/// with idle slots alone its callers would get nothing during a flood.
const LOADED: u32 = 4;

/// Of this number of those, one peer holds one at most, so that the first to ask leaves some.
const PEERS: u32 = 2;

/// Slots of a service that are asked for at the same time.
const ASKED: u32 = 8;

impl Gateway {
    /// Takes a peer's offers; those of upstreams that are unknown here are left out.
    pub(super) fn offered(&mut self, entry: &EntryId, slots: &BTreeMap<UpstreamId, u32>) {
        let listed: Vec<Listed> = slots
            .iter()
            .filter_map(|(name, slots)| {
                let index = *self.upstream_names.get(name)?;
                let upstream = self.upstreams.get(&index)?;
                Some(Listed {
                    service: upstream.service,
                    upstream: index,
                    name: name.clone(),
                    far: !upstream.near,
                    rank: share::order(name, &self.entry).0,
                    slots: *slots,
                })
            })
            .collect();
        self.loans.offer(entry, &listed, self.now);
        let services = listed.iter().map(|item| item.service);
        self.dirty.extend(services);
        if self.spare.is_some() && !listed.is_empty() && !self.admission.is_empty() {
            self.dirty.extend(self.services.keys());
        }
    }

    /// Answers a peer that asks for slots, at once or when a slot is free.
    pub(super) fn lend(&mut self, entry: EntryId, upstream: UpstreamId, slots: u32) {
        let index = self.upstream_names.get(&upstream).copied();
        let ask = Ask {
            entry,
            upstream: index.unwrap_or_default(),
            name: upstream,
            slots,
        };
        let service = index.and_then(|index| self.upstreams.get(&index));
        let Some(service) = service.map(|upstream| upstream.service) else {
            self.grant(ask, 0);
            return;
        };
        let idle = self.idle(ask.upstream);
        let loaded = slots == 1 && self.lendable_to(&ask.entry, service);
        match slots.min(idle).min(self.lendable(service)) {
            0 if loaded && idle > 0 => self.grant(ask, 1),
            0 if loaded && self.router.allowed(ask.upstream) > 0 => self.loans.wait(ask, self.now),
            slots => self.grant(ask, slots),
        }
    }

    /// Lends a slot that has become free to a peer that waits for it.
    pub(super) fn lend_free(&mut self, index: Index) {
        let Some(service) = self.upstreams.get(&index).map(|it| it.service) else {
            return;
        };
        while self.idle(index) > 0 {
            let Some(ask) = self.loans.waiting(index) else {
                return;
            };
            let slots = u32::from(self.lendable_to(&ask.entry, service));
            self.grant(ask, slots);
        }
    }

    /// Refuses the peers that have waited too long for a slot.
    pub(super) fn refuse(&mut self) {
        for ask in self.loans.refuse(self.now) {
            self.grant(ask, 0);
        }
    }

    fn grant(&mut self, ask: Ask, slots: u32) {
        let ask = Ask { slots, ..ask };
        let loan = match slots {
            0 => 0,
            _ => self.loans.lend(&ask, self.now),
        };
        self.actions.push(Action::Loan {
            entry: ask.entry,
            upstream: ask.name,
            slots,
            loan,
        });
        self.refresh(ask.upstream);
    }

    /// Takes the answer of a peer that was asked; gives back what nothing waits for.
    pub(super) fn borrowed(
        &mut self,
        entry: EntryId,
        upstream: &UpstreamId,
        slots: u32,
        loan: u64,
    ) {
        let ask = self.upstream_names.get(upstream).map(|index| Ask {
            entry: entry.clone(),
            upstream: *index,
            name: upstream.clone(),
            slots,
        });
        let taken = ask
            .as_ref()
            .is_some_and(|ask| self.loans.take(ask, loan, self.now));
        if !taken && slots > 0 {
            self.actions.push(Action::Return { entry, loan });
        }
        if let Some(ask) = ask {
            self.refresh(ask.upstream);
        }
    }

    /// Takes back a loan.
    pub(super) fn returned(&mut self, entry: &EntryId, loan: u64) {
        if let Some(index) = self.loans.returned(entry, loan) {
            self.refresh(index);
        }
    }

    /// Returns the slots of a service that may be lent: none while requests wait for them.
    pub(super) fn lendable(&self, service: Index) -> u32 {
        let overflow = self.spare == Some(service) && !self.admission.is_empty();
        if self.admission.len(service) > 0 || overflow {
            return 0;
        }
        let keep = self.router.total(service).div_ceil(KEEP);
        self.router.free(service).saturating_sub(keep)
    }

    /// Returns the slots of a service that may be lent one by one although requests wait.
    pub(super) fn lendable_loaded(&self, service: Index) -> u32 {
        let lent = self.lent(service, None);
        let whole = self.router.total(service) + lent;
        (whole / LOADED).saturating_sub(lent)
    }

    /// Returns whether a peer may be lent one more of those.
    fn lendable_to(&self, entry: &EntryId, service: Index) -> bool {
        let left = self.lendable_loaded(service);
        let whole = left + self.lent(service, None);
        left > 0 && self.lent(service, Some(entry)) < whole.div_ceil(PEERS)
    }

    /// Returns the slots of a service that are lent to a peer, or to all.
    fn lent(&self, service: Index, entry: Option<&EntryId>) -> u32 {
        let owner = |index| self.upstreams.get(&index).map(|it| it.service);
        let lent = self.loans.lent().filter(|(borrower, index, _)| {
            owner(*index) == Some(service) && entry.is_none_or(|entry| *borrower == entry)
        });
        lent.map(|(_, _, slots)| slots).sum()
    }

    /// Returns the slots of an upstream that this entry owns and leaves idle.
    pub(super) fn idle(&self, index: Index) -> u32 {
        if self.router.allowed(index) == 0 {
            return 0;
        }
        let lent = self.loans.sums(index).lent;
        let taken = lent + self.router.busy(index);
        self.shares.allowed(index, self.now).saturating_sub(taken)
    }

    /// Asks peers for slots for the waiting requests of a service.
    pub(super) fn borrow(&mut self, service: Index) {
        let waiting = u32::try_from(self.admission.len(service)).unwrap_or(u32::MAX);
        let pools = [Some(service), self.spare.filter(|spare| *spare != service)];
        for pool in pools.into_iter().flatten() {
            let least = self.least(pool);
            let mut want = waiting
                .min(ASKED)
                .saturating_sub(self.loans.asked(pool, self.now));
            while want > 0 {
                let Some(ask) = self.loans.ask(pool, want, least, self.now) else {
                    break;
                };
                want -= ask.slots.min(want);
                self.actions.push(Action::Borrow {
                    entry: ask.entry,
                    upstream: ask.name,
                    slots: ask.slots,
                });
            }
        }
    }

    /// Returns the slots to ask for at least.
    ///
    /// A question for a single slot may wait at a loaded peer. It is for an
    /// entry that has no upstream of the service in its zone; others ask for
    /// two and get idle slots only.
    fn least(&self, pool: Index) -> u32 {
        let near = self.services.get(&pool).map_or(0, |it| it.near);
        if near == 0 { 1 } else { 2 }
    }

    /// Closes the loans of a service that has no waiting request.
    pub(super) fn unborrow(&mut self, service: Index) {
        if !self.loans.any() {
            return;
        }
        for index in self.loans.close(service) {
            self.refresh(index);
        }
    }

    /// Gives back the closing loans of an upstream that no request needs any more.
    pub(super) fn settle(&mut self, index: Index) {
        if !self.loans.any() {
            return;
        }
        let excess = self.router.busy(index).saturating_sub(self.granted(index));
        for (entry, loan) in self.loans.settle(index, excess) {
            self.actions.push(Action::Return { entry, loan });
        }
    }
}
