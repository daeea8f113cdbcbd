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
const KEEP: u32 = 4;

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

    /// Answers a peer that asks for slots.
    pub(super) fn lend(&mut self, entry: EntryId, upstream: UpstreamId, slots: u32) {
        let index = self.upstream_names.get(&upstream).copied();
        let slots = index.map_or(0, |index| {
            let service = self.upstreams.get(&index).map(|upstream| upstream.service);
            let budget = service.map_or(0, |service| self.lendable(service));
            slots.min(self.idle(index)).min(budget)
        });
        let mut loan = 0;
        if let Some(index) = index.filter(|_| slots > 0) {
            let ask = Ask {
                entry: entry.clone(),
                upstream: index,
                name: upstream.clone(),
                slots,
            };
            loan = self.loans.lend(&ask, self.now);
            self.refresh(index);
        }
        self.actions.push(Action::Loan {
            entry,
            upstream,
            slots,
            loan,
        });
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
            let mut want = waiting
                .min(ASKED)
                .saturating_sub(self.loans.asked(pool, self.now));
            while want > 0 {
                let Some(ask) = self.loans.ask(pool, want, self.now) else {
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
