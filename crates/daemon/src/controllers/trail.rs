//! Records of a controller on their way into the audit trail.

use std::collections::VecDeque;
use std::time::Duration;

use wigeonhinge::Time;
use wigeonhinge::audit;
use wigeonhinge::audit::Log;
use wigeonhinge::audit::Record;
use wigeonhinge::audit::Write;

use crate::controllers::Orders;
use crate::controllers::value;
use crate::plane::Order;
use crate::plane::Outcome;
use crate::platform::Swap;

/// Time for which records are collected before they are written together.
///
/// A document of the trail is up to 100 KB, and control may use 16 KB/s a node.
const WINDOW: Duration = Duration::from_secs(10);

/// Records that wait; the oldest are dropped beyond this.
const WAITING: usize = 4_096;

/// Records on their way into the audit trail.
#[derive(Debug, Default)]
pub(super) struct Trail {
    log: Log,
    loaded: usize,
    waiting: VecDeque<Record>,
    busy: bool,
    due: Time,
}

/// What an order of the trail is for.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// Reads a document.
    Load(usize),
    /// Writes a document with this number of waiting records.
    Write(Box<Write>, usize),
}

impl Trail {
    /// Adds records.
    pub(super) fn extend(&mut self, records: impl IntoIterator<Item = Record>) {
        self.waiting.extend(records);
        while self.waiting.len() > WAITING {
            self.waiting.pop_front();
        }
    }

    /// Gives the next order, if one is due.
    pub(super) fn tick<P: From<Step>>(&mut self, orders: &mut Orders<P>, now: Time) {
        if self.busy || self.waiting.is_empty() || now < self.due {
            return;
        }
        self.busy = true;
        if self.loaded < audit::SLOTS {
            let order = Order::Get(audit::key(self.loaded));
            orders.give(order, Step::Load(self.loaded).into(), now);
            return;
        }
        let Some((write, count)) = self.next() else {
            self.busy = false;
            self.waiting.clear();
            return;
        };
        let Ok(document) = serde_json::to_value(&write.document) else {
            self.busy = false;
            return;
        };
        let order = Order::Put(audit::key(write.slot), document, write.expect, false);
        orders.give(order, Step::Write(Box::new(write), count).into(), now);
    }

    /// Takes the outcome of an order; `None` if none came.
    pub(super) fn done(&mut self, step: Step, outcome: Option<Outcome>, now: Time) {
        self.busy = false;
        match (step, outcome) {
            (Step::Load(slot), Some(outcome)) => match value(outcome) {
                Some(found) => self.load(slot, found),
                None => self.due = now + WINDOW,
            },
            (Step::Write(write, count), Some(Outcome::Swapped(Swap::Done(version)))) => {
                self.log.written(&write, version);
                self.waiting.drain(..count);
                self.due = now + WINDOW;
            }
            // Another writer was first, or the outcome is unknown: the records
            // that are in the trail already are found by their identifiers.
            (Step::Write(..), Some(Outcome::Swapped(Swap::Conflict(_)))) => self.loaded = 0,
            _ => {
                self.loaded = 0;
                self.due = now + WINDOW;
            }
        }
    }

    fn load(&mut self, slot: usize, found: Option<(u64, serde_json::Value)>) {
        if let Some((version, value)) = found {
            let document = serde_json::from_value(value).unwrap_or_default();
            self.log.load(slot, version, document);
        }
        self.loaded += 1;
    }

    /// Returns one write with as many waiting records as fit one document, and their number.
    fn next(&self) -> Option<(Write, usize)> {
        let mut log = self.log.clone();
        let mut last: Option<Write> = None;
        let mut count = 0;
        for record in &self.waiting {
            if let Some(write) = log.push(record) {
                if last.as_ref().is_some_and(|last| last.slot != write.slot) {
                    break;
                }
                log.load(write.slot, write.expect, write.document.clone());
                last = Some(write);
            }
            count += 1;
        }
        last.map(|write| (write, count))
    }
}
