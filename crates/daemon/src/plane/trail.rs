//! Writes audit records to the store, in order, as soon as it answers.

use std::collections::VecDeque;

use wigeonhinge::Time;
use wigeonhinge::audit;
use wigeonhinge::audit::Log;
use wigeonhinge::audit::Record;
use wigeonhinge::audit::SLOTS;
use wigeonhinge::audit::Write;
use wigeonhinge_schema::audit as schema;

use crate::platform::Swap;
use crate::platform::Version;
use crate::watch::RETRY;

/// Records that wait for the store; older ones are dropped.
const WAITING: usize = 256;

/// A call to make.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    /// Read a document of the ring.
    Load(usize),
    /// Write a document of the ring.
    Write(Write),
}

/// Answer to a call; `None` for every error.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// A document and its version; the default and 0 for an absent one.
    Loaded(Option<(Version, schema::Log)>),
    /// Result of a write.
    Swapped(Option<Swap>),
}

/// Records that wait, and the ring as far as it is known.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    log: Log,
    loaded: [bool; SLOTS],
    waiting: VecDeque<Record>,
    busy: bool,
    next: Time,
}

impl Trail {
    /// Queues a record.
    pub(crate) fn push(&mut self, record: Record) {
        if self.waiting.len() == WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(record);
    }

    /// Returns the call to make now.
    pub(crate) fn due(&mut self, now: Time) -> Option<Call> {
        if self.busy || self.next > now {
            return None;
        }
        while let Some(record) = self.waiting.front() {
            let missing = self.loaded.iter().position(|loaded| !loaded);
            let call = match missing {
                Some(slot) => Some(Call::Load(slot)),
                None => self.log.push(record).map(Call::Write),
            };
            if call.is_some() {
                self.busy = true;
                return call;
            }
            // The trail holds the record already.
            self.waiting.pop_front();
        }
        None
    }

    /// Takes the answer to a call.
    pub(crate) fn done(&mut self, call: Call, answer: Answer, now: Time) {
        self.busy = false;
        match (call, answer) {
            (Call::Load(slot), Answer::Loaded(Some((version, document)))) => {
                self.log.load(slot, version, document);
                self.loaded[slot] = true;
            }
            (Call::Write(write), Answer::Swapped(Some(Swap::Done(version)))) => {
                self.log.written(&write, version);
                self.waiting.pop_front();
            }
            // Whatever became of the write, the document tells.
            (Call::Write(write), answer) => {
                self.loaded[write.slot] = false;
                if matches!(answer, Answer::Swapped(None)) {
                    self.next = now + RETRY;
                }
            }
            (Call::Load(_), _) => self.next = now + RETRY,
        }
    }
}

/// Returns the store key of a call.
pub(crate) fn key(call: &Call) -> String {
    match call {
        Call::Load(slot) => audit::key(*slot),
        Call::Write(write) => audit::key(write.slot),
    }
}
