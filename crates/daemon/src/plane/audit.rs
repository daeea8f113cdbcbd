//! Writes audit records to the store in order, and retries until they are stored.

use std::collections::VecDeque;
use std::time::Duration;

use wigeonhinge::Time;
use wigeonhinge::audit;
use wigeonhinge::audit::Log;
use wigeonhinge::audit::Record;
use wigeonhinge::audit::SLOT_COUNT;
use wigeonhinge::audit::Write;
use wigeonhinge_schema::audit as schema;

use crate::platform::Swap;
use crate::platform::Version;
use crate::watch::RETRY_DELAY;

/// Records that wait for the store.
///
/// At the limit the oldest is dropped, or the new one while a call is in flight.
const MAX_QUEUED: usize = 4_096;

/// Time for which records are collected after a write.
///
/// A document of the ring has up to 100 KB, and the control plane may use 16 KB/s on each node.
const BATCH_WINDOW: Duration = Duration::from_secs(10);

/// A call to the store.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    /// Read a document of the ring.
    Load(usize),
    /// Write a document of the ring, which includes this number of queued records.
    Write(Box<Write>, usize),
}

/// Result of a call; `None` for every error.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// A version and its document; 0 and an empty document for an absent key.
    Loaded(Option<(Version, schema::Log)>),
    /// Result of a conditional write.
    Swapped(Option<Swap>),
}

/// Queued records, and the loaded documents of the ring.
#[derive(Debug, Default)]
pub(crate) struct AuditWriter {
    log: Log,
    loaded: [bool; SLOT_COUNT],
    queue: VecDeque<Record>,
    in_flight: bool,
    next_call: Time,
}

impl AuditWriter {
    /// Queues a record.
    pub(crate) fn push(&mut self, record: Record) {
        // While a call is in flight, queued records may be part of it and are not dropped.
        if self.queue.len() >= MAX_QUEUED && !self.in_flight {
            self.queue.pop_front();
        }
        if self.queue.len() < MAX_QUEUED {
            self.queue.push_back(record);
        }
    }

    /// Returns the next call, if one is due and none is in flight.
    pub(crate) fn due(&mut self, now: Time) -> Option<Call> {
        if self.in_flight || self.next_call > now {
            return None;
        }
        if self.queue.is_empty() {
            return None;
        }
        let missing = self.loaded.iter().position(|loaded| !loaded);
        let call = match missing {
            Some(slot) => Some(Call::Load(slot)),
            None => self.next_write(),
        };
        self.in_flight = call.is_some();
        call
    }

    /// Returns a write with as many queued records as fit into one document.
    ///
    /// Records that the loaded documents already contain are removed from the queue.
    fn next_write(&mut self) -> Option<Call> {
        let mut log = self.log.clone();
        let mut last: Option<Write> = None;
        let mut count = 0;
        for record in &self.queue {
            if let Some(write) = log.prepare_append(record) {
                if last.as_ref().is_some_and(|last| last.slot != write.slot) {
                    break;
                }
                log.load(write.slot, write.expected_version, write.document.clone());
                last = Some(write);
            }
            count += 1;
        }
        match last {
            Some(write) => Some(Call::Write(Box::new(write), count)),
            None => {
                self.queue.drain(..count);
                None
            }
        }
    }

    /// Handles the result of a call.
    pub(crate) fn complete(&mut self, call: Call, answer: Answer, now: Time) {
        self.in_flight = false;
        match (call, answer) {
            (Call::Load(slot), Answer::Loaded(Some((version, document)))) => {
                self.log.load(slot, version, document);
                self.loaded[slot] = true;
            }
            (Call::Write(write, count), Answer::Swapped(Some(Swap::Done(version)))) => {
                self.log.confirm_write(&write, version);
                self.queue.drain(..count.min(self.queue.len()));
                self.next_call = now + BATCH_WINDOW;
            }
            // The write may have taken effect: reload the document to find out.
            (Call::Write(write, _), answer) => {
                self.loaded[write.slot] = false;
                if matches!(answer, Answer::Swapped(None)) {
                    self.next_call = now + RETRY_DELAY;
                }
            }
            (Call::Load(_), _) => self.next_call = now + RETRY_DELAY,
        }
    }
}

/// Returns the store key that a call reads or writes.
pub(crate) fn store_key(call: &Call) -> String {
    match call {
        Call::Load(slot) => audit::key(*slot),
        Call::Write(write, _) => audit::key(write.slot),
    }
}
