//! Loans of slots between entries.
//!
//! A borrower sends requests on a loan for at most [`LOAN_TERM`] after it asked
//! for the loan, so that it has stopped before other entries take over the share
//! of a lender that died. The lender does not use the slots it lent until they
//! are returned.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::id::EntryId;
use crate::id::Index;
use crate::id::Time;
use crate::id::UpstreamId;
use crate::share::SUSPECT_AFTER;

/// Time after a loan request in which the borrower may send requests on the loan.
pub(crate) const LOAN_TERM: Duration = Duration::from_secs(1);

/// Time after which an unanswered loan request no longer counts towards the requested slots, so
/// that other peers may be asked.
///
/// A lender keeps a request waiting for half of this time at most.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which an unanswered loan request is dropped.
///
/// Replies do not identify their request. Until this time the same peer is not
/// asked for the same upstream again, so that a late reply is not matched with
/// a later request, which would extend the term of the loan. A silent
/// connection between peers must be closed earlier than this.
pub(crate) const REQUEST_RETENTION: Duration = Duration::from_secs(5);

/// Time after which a lender uses its slots again although the loan was not returned.
///
/// A borrower in another zone may have died. If its requests merely take longer
/// than this, the upstream itself refuses the requests above its slots.
pub(crate) const RECLAIM_AFTER: Duration = Duration::from_secs(30);

/// Request for slots of an upstream, or the slots granted for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LoanRequest {
    /// Peer that is asked or that asks.
    pub(crate) entry: EntryId,
    /// Index of the upstream at this entry.
    pub(crate) upstream: Index,
    /// Name of the upstream.
    pub(crate) name: UpstreamId,
    /// Slots requested or granted.
    pub(crate) slots: u32,
}

/// Offers, loan requests and loans of one entry.
#[derive(Debug, Default)]
pub(crate) struct Loans {
    /// Offers by service.
    offers: BTreeMap<Index, BTreeSet<Offer>>,
    /// The same offers by peer, with their service.
    by_peer: BTreeMap<EntryId, Vec<(Index, Offer)>>,
    /// Loan requests of this entry without a reply, by peer and upstream.
    pending: BTreeMap<(EntryId, UpstreamId), PendingRequest>,
    /// Loans from peers, by lender and identifier.
    borrowed: BTreeMap<(EntryId, u64), BorrowedLoan>,
    /// Loans to peers, by identifier.
    lent: BTreeMap<u64, LentLoan>,
    /// Loan requests of peers that wait for a slot, by upstream, and when they are refused.
    waiting: BTreeMap<Index, VecDeque<(LoanRequest, Time)>>,
    last_loan: u64,
    totals: BTreeMap<Index, SlotTotals>,
}

/// Slots of an upstream that a peer offers.
#[derive(Clone, Debug)]
pub(crate) struct OfferedSlots {
    /// Service of the upstream.
    pub(crate) service: Index,
    /// Index of the upstream at this entry.
    pub(crate) upstream: Index,
    /// Name of the upstream.
    pub(crate) name: UpstreamId,
    /// Whether the upstream is in another zone than this entry.
    pub(crate) remote: bool,
    /// Sort key among the offers of the own or of other zones; differs between entries, so that
    /// they do not all ask for the same slots first.
    pub(crate) rank: u64,
    /// Slots on offer.
    pub(crate) slots: u32,
}

/// An offer; the order of the fields is the order in which offers are used, own zone first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Offer {
    remote: bool,
    rank: u64,
    upstream: Index,
    name: UpstreamId,
    entry: EntryId,
    slots: u32,
    until: Time,
}

#[derive(Debug)]
struct PendingRequest {
    service: Index,
    upstream: Index,
    slots: u32,
    requested: Time,
}

#[derive(Debug)]
struct BorrowedLoan {
    service: Index,
    upstream: Index,
    slots: u32,
    until: Time,
    closing: bool,
}

#[derive(Debug)]
struct LentLoan {
    entry: EntryId,
    upstream: Index,
    slots: u32,
    until: Time,
}

/// Slots of an upstream on loan, by the state of the loan.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SlotTotals {
    /// Slots lent to peers.
    pub(crate) lent: u32,
    /// Borrowed slots that may take new requests.
    pub(crate) open: u32,
    /// Borrowed slots that take no new requests and are returned once the requests there end.
    pub(crate) closing: u32,
}

impl Loans {
    /// Replaces all offers of a peer; they lapse after [`SUSPECT_AFTER`].
    pub(crate) fn set_offers(&mut self, entry: &EntryId, offers: &[OfferedSlots], now: Time) {
        for (service, offer) in self.by_peer.remove(entry).unwrap_or_default() {
            self.offers.entry(service).or_default().remove(&offer);
        }
        let mut peer_offers = Vec::with_capacity(offers.len());
        for item in offers {
            let offer = Offer {
                remote: item.remote,
                rank: item.rank,
                upstream: item.upstream,
                name: item.name.clone(),
                entry: entry.clone(),
                slots: item.slots,
                until: now + SUSPECT_AFTER,
            };
            self.offers
                .entry(item.service)
                .or_default()
                .insert(offer.clone());
            peer_offers.push((item.service, offer));
        }
        self.by_peer.insert(entry.clone(), peer_offers);
    }

    /// Consumes the best offer for a service and returns the loan request to send for it.
    ///
    /// Requests at most `slots` and what is offered, but never less than
    /// `min_slots`. Returns none if no offer is left.
    pub(crate) fn request(
        &mut self,
        service: Index,
        slots: u32,
        min_slots: u32,
        now: Time,
    ) -> Option<LoanRequest> {
        let offers = self.offers.get_mut(&service)?;
        let (key, offer) = loop {
            let offer = offers.pop_first()?;
            let key = (offer.entry.clone(), offer.name.clone());
            if offer.until > now && !self.pending.contains_key(&key) {
                break (key, offer);
            }
        };
        let slots = slots.min(offer.slots).max(min_slots);
        let pending = PendingRequest {
            service,
            upstream: offer.upstream,
            slots,
            requested: now,
        };
        self.pending.insert(key, pending);
        Some(LoanRequest {
            entry: offer.entry,
            upstream: offer.upstream,
            name: offer.name,
            slots,
        })
    }

    /// Returns the slots of a service in loan requests younger than [`REQUEST_TIMEOUT`].
    pub(crate) fn requested(&self, service: Index, now: Time) -> u32 {
        self.pending
            .values()
            .filter(|pending| {
                pending.service == service && pending.requested + REQUEST_TIMEOUT > now
            })
            .map(|pending| pending.slots)
            .sum()
    }

    /// Records a granted loan; returns false if the loan must be returned at once.
    ///
    /// That is the case if no request matches it or its term is over.
    pub(crate) fn accept(&mut self, granted: &LoanRequest, loan: u64, now: Time) -> bool {
        let key = (granted.entry.clone(), granted.name.clone());
        let Some(pending) = self.pending.remove(&key) else {
            return self.borrowed.contains_key(&(granted.entry.clone(), loan));
        };
        let until = pending.requested + LOAN_TERM;
        let same_upstream = granted.upstream == pending.upstream;
        let valid = same_upstream && granted.slots <= pending.slots && until > now;
        if !valid || granted.slots == 0 {
            return granted.slots == 0;
        }
        let borrowed = BorrowedLoan {
            service: pending.service,
            upstream: granted.upstream,
            slots: granted.slots,
            until,
            closing: false,
        };
        self.borrowed
            .insert((granted.entry.clone(), loan), borrowed);
        self.totals.entry(granted.upstream).or_default().open += granted.slots;
        true
    }

    /// Ends loan requests and loans whose time is over; returns the upstreams whose totals changed.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Index> {
        let mut changed = Vec::new();
        self.pending
            .retain(|_, pending| pending.requested + REQUEST_RETENTION > now);
        for borrowed in self.borrowed.values_mut() {
            if !borrowed.closing && borrowed.until <= now {
                borrowed.close(&mut self.totals);
                changed.push(borrowed.upstream);
            }
        }
        self.lent.retain(|_, lent| {
            let held = lent.until > now;
            if !held {
                self.totals.entry(lent.upstream).or_default().lent -= lent.slots;
                changed.push(lent.upstream);
            }
            held
        });
        changed
    }

    /// Closes the borrowed loans of a service to new requests; returns their upstreams.
    pub(crate) fn close(&mut self, service: Index) -> Vec<Index> {
        let mut changed = Vec::new();
        for borrowed in self.borrowed.values_mut() {
            if borrowed.service == service && !borrowed.closing {
                borrowed.close(&mut self.totals);
                changed.push(borrowed.upstream);
            }
        }
        changed
    }

    /// Removes the closing loans that no request uses; returns lender and identifier of each.
    ///
    /// `excess` is the number of requests at the upstream above the slots that
    /// are available without closing loans.
    pub(crate) fn remove_unused(&mut self, upstream: Index, excess: u32) -> Vec<(EntryId, u64)> {
        let totals = self.totals.entry(upstream).or_default();
        let mut unused = Vec::new();
        for (key, borrowed) in &self.borrowed {
            let idle = totals.closing.saturating_sub(excess);
            if borrowed.closing && borrowed.upstream == upstream && borrowed.slots <= idle {
                totals.closing -= borrowed.slots;
                unused.push(key.clone());
            }
        }
        for key in &unused {
            self.borrowed.remove(key);
        }
        unused
    }

    /// Records a loan to a peer; returns its identifier.
    pub(crate) fn lend(&mut self, request: &LoanRequest, now: Time) -> u64 {
        self.last_loan += 1;
        let lent = LentLoan {
            entry: request.entry.clone(),
            upstream: request.upstream,
            slots: request.slots,
            until: now + RECLAIM_AFTER,
        };
        self.lent.insert(self.last_loan, lent);
        self.totals.entry(request.upstream).or_default().lent += request.slots;
        self.last_loan
    }

    /// Keeps a peer's loan request until a slot of the upstream is free.
    pub(crate) fn enqueue(&mut self, request: LoanRequest, now: Time) {
        let requests = self.waiting.entry(request.upstream).or_default();
        requests.push_back((request, now + REQUEST_TIMEOUT / 2));
    }

    /// Removes and returns the oldest loan request that waits for a slot of an upstream.
    pub(crate) fn next_waiting(&mut self, upstream: Index) -> Option<LoanRequest> {
        let requests = self.waiting.get_mut(&upstream)?;
        requests.pop_front().map(|(request, _)| request)
    }

    /// Removes the loan requests that have waited too long; each must be answered with 0 slots.
    pub(crate) fn expire_waiting(&mut self, now: Time) -> Vec<LoanRequest> {
        let mut refused = Vec::new();
        for requests in self.waiting.values_mut() {
            while requests.front().is_some_and(|(_, until)| *until <= now) {
                refused.extend(requests.pop_front().map(|(request, _)| request));
            }
        }
        self.waiting.retain(|_, requests| !requests.is_empty());
        refused
    }

    /// Returns borrower, upstream and slots of each loan to a peer.
    pub(crate) fn lent(&self) -> impl Iterator<Item = (&EntryId, Index, u32)> {
        self.lent
            .values()
            .map(|lent| (&lent.entry, lent.upstream, lent.slots))
    }

    /// Ends a loan that a peer returned.
    ///
    /// Returns the upstream of the loan, or none if the peer does not hold it.
    pub(crate) fn take_back(&mut self, entry: &EntryId, loan: u64) -> Option<Index> {
        if self.lent.get(&loan)?.entry != *entry {
            return None;
        }
        let lent = self.lent.remove(&loan)?;
        self.totals.entry(lent.upstream).or_default().lent -= lent.slots;
        Some(lent.upstream)
    }

    /// Returns the totals of an upstream; zero without loans.
    pub(crate) fn totals(&self, upstream: Index) -> SlotTotals {
        self.totals.get(&upstream).copied().unwrap_or_default()
    }

    /// Returns whether this entry holds a borrowed loan.
    pub(crate) fn has_borrowed(&self) -> bool {
        !self.borrowed.is_empty()
    }

    /// Removes an upstream without requests and lent slots; returns lender and identifier of the
    /// borrowed loans there, which must be returned.
    pub(crate) fn remove(&mut self, upstream: Index) -> Vec<(EntryId, u64)> {
        for offers in self.offers.values_mut() {
            offers.retain(|offer| offer.upstream != upstream);
        }
        self.totals.remove(&upstream);
        let held = |_: &(EntryId, u64), loan: &mut BorrowedLoan| loan.upstream == upstream;
        let held = self.borrowed.extract_if(.., held);
        held.map(|(key, _)| key).collect()
    }
}

impl BorrowedLoan {
    fn close(&mut self, totals: &mut BTreeMap<Index, SlotTotals>) {
        self.closing = true;
        let totals = totals.entry(self.upstream).or_default();
        totals.open -= self.slots;
        totals.closing += self.slots;
    }
}
