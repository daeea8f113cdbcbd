//! Audit log, kept in a bounded ring of store documents.

use wigeonhinge_schema::audit;

pub use wigeonhinge_schema::audit::Kind;
pub use wigeonhinge_schema::audit::Record;

/// Number of documents in the ring.
pub const SLOT_COUNT: usize = 8;

/// Largest size of a document's records, in bytes of JSON.
///
/// A record that would exceed it goes to the next slot.
pub const MAX_SLOT_BYTES: usize = 100_000;

/// Longest text in each text field of a record, in bytes; longer texts are cut off.
pub const MAX_TEXT_BYTES: usize = 1000;

/// The audit log as far as this entry has read it.
///
/// The embedder loads every slot once with [`Log::load`], writes what
/// [`Log::prepare_append`] returns by compare-and-swap, and confirms the write
/// with [`Log::confirm_write`]. After a conflict or a lost answer it loads the
/// slot again and prepares the same record again.
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

/// A compare-and-swap of one slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Slot to write, below [`SLOT_COUNT`].
    pub slot: usize,
    /// Store version that the slot must have; 0 if it must be absent.
    pub expected_version: u64,
    /// Content that replaces the slot.
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
    /// Records the content of a slot that was read; an absent one has version 0 and no records.
    ///
    /// A version lower than the known one is ignored.
    pub fn load(&mut self, slot: usize, version: u64, document: audit::Log) {
        if let Some(known) = self.slots.get_mut(slot)
            && version >= known.version
        {
            *known = Slot { version, document };
        }
    }

    /// Returns the write that appends a record; `None` if the log already contains it.
    ///
    /// When the document is full, the record goes to the next slot and replaces its content.
    pub fn prepare_append(&self, record: &Record) -> Option<Write> {
        let mut records = self.slots.iter().flat_map(|slot| &slot.document.records);
        if records.any(|known| known.id == record.id) {
            return None;
        }
        let record = truncate_texts(record);
        let slot = self.newest_slot();
        let current = &self.slots[slot];
        let size =
            json_bytes(&current.document.records) + json_bytes(std::slice::from_ref(&record));
        if size <= MAX_SLOT_BYTES {
            let mut document = current.document.clone();
            document.records.push(record);
            return Some(self.replace(slot, document));
        }
        let document = audit::Log {
            records: vec![record],
            sequence: current.document.sequence + 1,
        };
        Some(self.replace((slot + 1) % SLOT_COUNT, document))
    }

    /// Records that a write took effect and gave the slot this store version.
    pub fn confirm_write(&mut self, write: &Write, version: u64) {
        self.load(write.slot, version, write.document.clone());
    }

    /// Iterates over the loaded records, newest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        let newest = self.newest_slot();
        (0..SLOT_COUNT)
            .map(move |age| &self.slots[(newest + SLOT_COUNT - age) % SLOT_COUNT])
            .flat_map(|slot| slot.document.records.iter().rev())
    }

    fn newest_slot(&self) -> usize {
        let sequence = |slot: &usize| self.slots[*slot].document.sequence;
        // `max_by_key` returns the last maximum; reversed, an empty log starts at slot 0.
        (0..SLOT_COUNT).rev().max_by_key(sequence).unwrap_or(0)
    }

    fn replace(&self, slot: usize, document: audit::Log) -> Write {
        let expected_version = self.slots[slot].version;
        Write {
            slot,
            expected_version,
            document,
        }
    }
}

fn truncate_texts(record: &Record) -> Record {
    let mut record = record.clone();
    for text in [&mut record.who, &mut record.subject, &mut record.reason] {
        text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
    }
    record
}

fn json_bytes(records: &[Record]) -> usize {
    serde_json::to_vec(records).map_or(0, |json| json.len())
}
