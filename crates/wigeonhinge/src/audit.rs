//! The audit trail: a bounded ring of store documents.

use wigeonhinge_schema::audit;

pub use wigeonhinge_schema::audit::Kind;
pub use wigeonhinge_schema::audit::Record;

/// Documents of the ring.
pub const SLOT_COUNT: usize = 8;

/// Bytes of JSON from which on a document takes no further record.
pub const MAX_SLOT_BYTES: usize = 100_000;

/// Bytes that the text of one record may have.
pub const MAX_TEXT_BYTES: usize = 1000;

/// The audit trail as far as this entry has read it.
///
/// The embedder reads every slot once with [`Log::load`], writes what
/// [`Log::prepare_append`] returns by compare-and-swap, and confirms it with
/// [`Log::confirm_write`]. After a conflict or a lost answer it loads the slot again
/// and pushes the same record again.
///
/// ```
/// use wigeonhinge::audit::Log;
/// use wigeonhinge::audit::Record;
///
/// let mut log = Log::default();
/// let record = Record { id: "r1".to_owned(), ..Record::default() };
/// let write = log.prepare_append(&record).expect("a write");
/// assert_eq!((write.slot, write.expected_version), (0, 0));
/// log.confirm_write(&write, 1);
/// assert!(log.prepare_append(&record).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Log {
    slots: [Slot; SLOT_COUNT],
}

/// A document to write.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Slot of the document.
    pub slot: usize,
    /// Version that the slot has to have.
    pub expected_version: u64,
    /// Document.
    pub document: audit::Log,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    version: u64,
    document: audit::Log,
}

/// Returns the store key of a slot.
pub fn key(slot: usize) -> String {
    format!("audit/{slot}")
}

impl Log {
    /// Takes note of a slot that was read; version 0 and no record stand for an absent one.
    pub fn load(&mut self, slot: usize, version: u64, document: audit::Log) {
        if let Some(known) = self.slots.get_mut(slot)
            && version >= known.version
        {
            *known = Slot { version, document };
        }
    }

    /// Returns the write that adds a record; `None` if the trail holds it already.
    ///
    /// A full document is followed by the next slot, whose earlier content is dropped.
    pub fn prepare_append(&self, record: &Record) -> Option<Write> {
        let mut records = self.slots.iter().flat_map(|slot| &slot.document.records);
        if records.any(|known| known.id == record.id) {
            return None;
        }
        let record = shorten(record);
        let slot = self.newest();
        let current = &self.slots[slot];
        let size = bytes(&current.document.records) + bytes(std::slice::from_ref(&record));
        if size <= MAX_SLOT_BYTES {
            let mut document = current.document.clone();
            document.records.push(record);
            return Some(self.write(slot, document));
        }
        let document = audit::Log {
            records: vec![record],
            sequence: current.document.sequence + 1,
        };
        Some(self.write((slot + 1) % SLOT_COUNT, document))
    }

    /// Takes note of a write that took effect.
    pub fn confirm_write(&mut self, write: &Write, version: u64) {
        self.load(write.slot, version, write.document.clone());
    }

    /// Returns the records, newest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        let newest = self.newest();
        (0..SLOT_COUNT)
            .map(move |age| &self.slots[(newest + SLOT_COUNT - age) % SLOT_COUNT])
            .flat_map(|slot| slot.document.records.iter().rev())
    }

    fn newest(&self) -> usize {
        let sequence = |slot: &usize| self.slots[*slot].document.sequence;
        // Slot 0 is the first one to be written.
        (0..SLOT_COUNT).rev().max_by_key(sequence).unwrap_or(0)
    }

    fn write(&self, slot: usize, document: audit::Log) -> Write {
        let expected_version = self.slots[slot].version;
        Write {
            slot,
            expected_version,
            document,
        }
    }
}

fn shorten(record: &Record) -> Record {
    let mut record = record.clone();
    for text in [&mut record.who, &mut record.subject, &mut record.reason] {
        text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
    }
    record
}

fn bytes(records: &[Record]) -> usize {
    serde_json::to_vec(records).map_or(0, |json| json.len())
}
