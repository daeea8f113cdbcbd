//! Loans of slots between entries.
//!
//! A borrower starts work on a loan for at most [`TERM`] from its question, so
//! that it has stopped before the part of a lender that died is used by others.
//! The lender leaves what it lent unused until it is returned.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::id::EntryId;
use crate::id::Index;
use crate::id::Time;
use crate::id::UpstreamId;
use crate::share::SUSPECT;

/// Time from the question in which a borrower starts work on a loan.
pub(crate) const TERM: Duration = Duration::from_secs(1);

/// Time after which an unanswered question no longer keeps others from being asked.
pub(crate) const ANSWER: Duration = Duration::from_millis(250);

/// Time after which an unanswered question is forgotten.
///
/// Answers carry no number of their question. Until then the same peer is not
/// asked for the same upstream again, so that a late answer is not taken for
/// the answer to a later question, which would lengthen its term. A connection
/// between peers has to close after a shorter silence.
pub(crate) const FORGET: Duration = Duration::from_secs(5);

/// Time after which a lender uses its slots again although no return came.
///
/// A borrower in another zone may have died; work on a loan may also take
/// this long, and the upstream itself then refuses what is too much.
pub(crate) const RECLAIM: Duration = Duration::from_secs(30);

/// A question for slots to a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Ask {
    /// The peer.
    pub(crate) entry: EntryId,
    /// Upstream.
    pub(crate) upstream: Index,
    /// Name of the upstream.
    pub(crate) name: UpstreamId,
    /// Slots.
    pub(crate) slots: u32,
}

/// Offers, questions and loans of one entry.
#[derive(Debug, Default)]
pub(crate) struct Loans {
    offers: BTreeMap<Index, BTreeSet<Offer>>,
    offered: BTreeMap<EntryId, Vec<(Index, Offer)>>,
    asked: BTreeMap<(EntryId, UpstreamId), Question>,
    borrowed: BTreeMap<(EntryId, u64), Borrowed>,
    lent: BTreeMap<u64, Lent>,
    waiting: BTreeMap<Index, VecDeque<(Ask, Time)>>,
    last: u64,
    sums: BTreeMap<Index, Sums>,
}

/// Slots of an upstream in a peer's list of offers.
#[derive(Clone, Debug)]
pub(crate) struct Listed {
    /// Service of the upstream.
    pub(crate) service: Index,
    /// Upstream.
    pub(crate) upstream: Index,
    /// Name of the upstream.
    pub(crate) name: UpstreamId,
    /// Whether it is in another zone.
    pub(crate) far: bool,
    /// Position among the offers of its kind; differs between entries.
    pub(crate) rank: u64,
    /// Slots.
    pub(crate) slots: u32,
}

/// An offer in the order in which offers are taken: own zone first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Offer {
    far: bool,
    rank: u64,
    upstream: Index,
    name: UpstreamId,
    entry: EntryId,
    slots: u32,
    until: Time,
}

#[derive(Debug)]
struct Question {
    service: Index,
    upstream: Index,
    slots: u32,
    asked: Time,
}

#[derive(Debug)]
struct Borrowed {
    service: Index,
    upstream: Index,
    slots: u32,
    until: Time,
    closing: bool,
}

#[derive(Debug)]
struct Lent {
    entry: EntryId,
    upstream: Index,
    slots: u32,
    until: Time,
}

/// Slots of an upstream by the state of their loans.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Sums {
    /// Slots lent to peers.
    pub(crate) lent: u32,
    /// Slots borrowed and open for new work.
    pub(crate) open: u32,
    /// Slots borrowed that are given back after the work on them.
    pub(crate) closing: u32,
}

impl Loans {
    /// Replaces the offers of a peer.
    pub(crate) fn offer(&mut self, entry: &EntryId, offers: &[Listed], now: Time) {
        for (service, offer) in self.offered.remove(entry).unwrap_or_default() {
            self.offers.entry(service).or_default().remove(&offer);
        }
        let mut listed = Vec::with_capacity(offers.len());
        for item in offers {
            let offer = Offer {
                far: item.far,
                rank: item.rank,
                upstream: item.upstream,
                name: item.name.clone(),
                entry: entry.clone(),
                slots: item.slots,
                until: now + SUSPECT,
            };
            self.offers
                .entry(item.service)
                .or_default()
                .insert(offer.clone());
            listed.push((item.service, offer));
        }
        self.offered.insert(entry.clone(), listed);
    }

    /// Takes the next offer for a service and notes the question.
    ///
    /// Asks for `least` slots or more, whatever is offered.
    pub(crate) fn ask(&mut self, service: Index, slots: u32, least: u32, now: Time) -> Option<Ask> {
        let offers = self.offers.get_mut(&service)?;
        let (key, offer) = loop {
            let offer = offers.pop_first()?;
            let key = (offer.entry.clone(), offer.name.clone());
            if offer.until > now && !self.asked.contains_key(&key) {
                break (key, offer);
            }
        };
        let slots = slots.min(offer.slots).max(least);
        let question = Question {
            service,
            upstream: offer.upstream,
            slots,
            asked: now,
        };
        self.asked.insert(key, question);
        Some(Ask {
            entry: offer.entry,
            upstream: offer.upstream,
            name: offer.name,
            slots,
        })
    }

    /// Returns the slots of a service that are asked for and may still be granted soon.
    pub(crate) fn asked(&self, service: Index, now: Time) -> u32 {
        self.asked
            .values()
            .filter(|question| question.service == service && question.asked + ANSWER > now)
            .map(|question| question.slots)
            .sum()
    }

    /// Takes a loan; returns whether it answers a question that still stands.
    ///
    /// A loan that nothing waits for is to be given back at once.
    pub(crate) fn take(&mut self, ask: &Ask, loan: u64, now: Time) -> bool {
        let key = (ask.entry.clone(), ask.name.clone());
        let Some(question) = self.asked.remove(&key) else {
            return self.borrowed.contains_key(&(ask.entry.clone(), loan));
        };
        let until = question.asked + TERM;
        let same = ask.upstream == question.upstream;
        let fits = same && ask.slots <= question.slots && until > now;
        if !fits || ask.slots == 0 {
            return ask.slots == 0;
        }
        let borrowed = Borrowed {
            service: question.service,
            upstream: ask.upstream,
            slots: ask.slots,
            until,
            closing: false,
        };
        self.borrowed.insert((ask.entry.clone(), loan), borrowed);
        self.sums.entry(ask.upstream).or_default().open += ask.slots;
        true
    }

    /// Ends the time of questions and loans; returns the upstreams whose sums changed.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Index> {
        let mut changed = Vec::new();
        self.asked
            .retain(|_, question| question.asked + FORGET > now);
        for borrowed in self.borrowed.values_mut() {
            if !borrowed.closing && borrowed.until <= now {
                borrowed.close(&mut self.sums);
                changed.push(borrowed.upstream);
            }
        }
        self.lent.retain(|_, lent| {
            let keep = lent.until > now;
            if !keep {
                self.sums.entry(lent.upstream).or_default().lent -= lent.slots;
                changed.push(lent.upstream);
            }
            keep
        });
        changed
    }

    /// Closes the loans of a service, which has no work for them; returns their upstreams.
    pub(crate) fn close(&mut self, service: Index) -> Vec<Index> {
        let mut changed = Vec::new();
        for borrowed in self.borrowed.values_mut() {
            if borrowed.service == service && !borrowed.closing {
                borrowed.close(&mut self.sums);
                changed.push(borrowed.upstream);
            }
        }
        changed
    }

    /// Removes the closing loans that no work needs; returns lender and identifier of each.
    ///
    /// `excess` is the number of requests at the upstream above what is allowed without them.
    pub(crate) fn settle(&mut self, upstream: Index, excess: u32) -> Vec<(EntryId, u64)> {
        let sums = self.sums.entry(upstream).or_default();
        let mut settled = Vec::new();
        for (key, borrowed) in &self.borrowed {
            let idle = sums.closing.saturating_sub(excess);
            if borrowed.closing && borrowed.upstream == upstream && borrowed.slots <= idle {
                sums.closing -= borrowed.slots;
                settled.push(key.clone());
            }
        }
        for key in &settled {
            self.borrowed.remove(key);
        }
        settled
    }

    /// Lends slots to a peer; returns the identifier.
    pub(crate) fn lend(&mut self, ask: &Ask, now: Time) -> u64 {
        self.last += 1;
        let lent = Lent {
            entry: ask.entry.clone(),
            upstream: ask.upstream,
            slots: ask.slots,
            until: now + RECLAIM,
        };
        self.lent.insert(self.last, lent);
        self.sums.entry(ask.upstream).or_default().lent += ask.slots;
        self.last
    }

    /// Keeps a question until a slot of the upstream is free.
    pub(crate) fn wait(&mut self, ask: Ask, now: Time) {
        let list = self.waiting.entry(ask.upstream).or_default();
        list.push_back((ask, now + ANSWER / 2));
    }

    /// Takes the next question that waits for a slot of an upstream.
    pub(crate) fn waiting(&mut self, upstream: Index) -> Option<Ask> {
        let list = self.waiting.get_mut(&upstream)?;
        list.pop_front().map(|(ask, _)| ask)
    }

    /// Removes the questions that waited too long; each is to be answered with no slot.
    pub(crate) fn refuse(&mut self, now: Time) -> Vec<Ask> {
        let mut refused = Vec::new();
        for list in self.waiting.values_mut() {
            while list.front().is_some_and(|(_, until)| *until <= now) {
                refused.extend(list.pop_front().map(|(ask, _)| ask));
            }
        }
        self.waiting.retain(|_, list| !list.is_empty());
        refused
    }

    /// Returns the peer, the upstream and the slots of each loan to a peer.
    pub(crate) fn lent(&self) -> impl Iterator<Item = (&EntryId, Index, u32)> {
        self.lent
            .values()
            .map(|lent| (&lent.entry, lent.upstream, lent.slots))
    }

    /// Takes back a loan; returns its upstream, or none if the peer does not hold it.
    pub(crate) fn returned(&mut self, entry: &EntryId, loan: u64) -> Option<Index> {
        if self.lent.get(&loan)?.entry != *entry {
            return None;
        }
        let lent = self.lent.remove(&loan)?;
        self.sums.entry(lent.upstream).or_default().lent -= lent.slots;
        Some(lent.upstream)
    }

    /// Returns the sums of an upstream.
    pub(crate) fn sums(&self, upstream: Index) -> Sums {
        self.sums.get(&upstream).copied().unwrap_or_default()
    }

    /// Returns whether any loan is borrowed.
    pub(crate) fn any(&self) -> bool {
        !self.borrowed.is_empty()
    }

    /// Removes an upstream without requests and lent slots; returns lender and identifier of the loans held there.
    pub(crate) fn remove(&mut self, upstream: Index) -> Vec<(EntryId, u64)> {
        for offers in self.offers.values_mut() {
            offers.retain(|offer| offer.upstream != upstream);
        }
        self.sums.remove(&upstream);
        let held = |_: &(EntryId, u64), loan: &mut Borrowed| loan.upstream == upstream;
        let held = self.borrowed.extract_if(.., held);
        held.map(|(key, _)| key).collect()
    }
}

impl Borrowed {
    fn close(&mut self, sums: &mut BTreeMap<Index, Sums>) {
        self.closing = true;
        let sums = sums.entry(self.upstream).or_default();
        sums.open -= self.slots;
        sums.closing += self.slots;
    }
}
