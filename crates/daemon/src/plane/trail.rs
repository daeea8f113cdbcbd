//! Writes audit records to the store, in order, as soon as it answers.

use std::collections::VecDeque;
use std::time::Duration;

use wigeonhinge::Time;
use wigeonhinge::audit;
use wigeonhinge::audit::Log;
use wigeonhinge::audit::Record;
use wigeonhinge::audit::SLOTS;
use wigeonhinge::audit::Write;
use wigeonhinge_schema::audit as schema;

use crate::platform::Swap;
use crate::platform::Version;
use crate::watch::RETRY_DELAY;

/// Records that wait for the store; older ones are dropped.
const WAITING: usize = 4_096;

/// Time for which records are collected after a write.
///
/// A document of the ring is up to 100 KB, and control may use 16 KB/s a node.
const WINDOW: Duration = Duration::from_secs(10);

/// A call to make.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    /// Read a document of the ring.
    Load(usize),
    /// Write a document of the ring that holds this number of waiting records.
    Write(Box<Write>, usize),
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
        // Records that are being written stay until the answer has come.
        if self.waiting.len() >= WAITING && !self.busy {
            self.waiting.pop_front();
        }
        if self.waiting.len() < WAITING {
            self.waiting.push_back(record);
        }
    }

    /// Returns the call to make now.
    pub(crate) fn due(&mut self, now: Time) -> Option<Call> {
        if self.busy || self.next > now {
            return None;
        }
        if self.waiting.is_empty() {
            return None;
        }
        let missing = self.loaded.iter().position(|loaded| !loaded);
        let call = match missing {
            Some(slot) => Some(Call::Load(slot)),
            None => self.write(),
        };
        self.busy = call.is_some();
        call
    }

    /// Returns one write with as many waiting records as fit one document.
    ///
    /// Records that the trail holds already are dropped.
    fn write(&mut self) -> Option<Call> {
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
        match last {
            Some(write) => Some(Call::Write(Box::new(write), count)),
            None => {
                self.waiting.drain(..count);
                None
            }
        }
    }

    /// Takes the answer to a call.
    pub(crate) fn done(&mut self, call: Call, answer: Answer, now: Time) {
        self.busy = false;
        match (call, answer) {
            (Call::Load(slot), Answer::Loaded(Some((version, document)))) => {
                self.log.load(slot, version, document);
                self.loaded[slot] = true;
            }
            (Call::Write(write, count), Answer::Swapped(Some(Swap::Done(version)))) => {
                self.log.written(&write, version);
                self.waiting.drain(..count.min(self.waiting.len()));
                self.next = now + WINDOW;
            }
            // Whatever became of the write, the document tells.
            (Call::Write(write, _), answer) => {
                self.loaded[write.slot] = false;
                if matches!(answer, Answer::Swapped(None)) {
                    self.next = now + RETRY_DELAY;
                }
            }
            (Call::Load(_), _) => self.next = now + RETRY_DELAY,
        }
    }
}

/// Returns the store key of a call.
pub(crate) fn key(call: &Call) -> String {
    match call {
        Call::Load(slot) => audit::key(*slot),
        Call::Write(write, _) => audit::key(write.slot),
    }
}
