//! Adoption of configurations, and edits of the configuration.
//!
//! An entry adopts a configuration only if its revision is higher than the one
//! in force. An edit is a compare-and-swap from the revision that it is based
//! on. The document keeps the identifiers of recent edits, so that the outcome
//! of an edit can be read back after the store's answer was lost.

use std::sync::Arc;

use compact_str::CompactString;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::fleet::EditRecord;
use wigeonhinge_schema::fleet::Fleet;

use crate::error::Error;
use crate::error::Result;
use crate::id::Revision;

/// Store key of the configuration.
pub const STORE_KEY: &str = "config";

/// Most edit records that a configuration keeps; the oldest are dropped first.
///
/// At 340 edits a day, a record is kept for a day and a half.
pub const MAX_EDIT_RECORDS: usize = 512;

/// The configuration in force on one entry.
///
/// ```
/// use wigeonhinge::config::Adopter;
/// use wigeonhinge::config::Adoption;
/// use wigeonhinge_schema::fleet::Config;
///
/// let mut adopter = Adopter::default();
/// let newer = Config { revision: 2, ..Config::default() };
/// let older = Config { revision: 1, ..Config::default() };
/// assert!(matches!(adopter.offer(newer), Adoption::Adopted(_)));
/// assert_eq!(adopter.offer(older), Adoption::Older);
/// assert_eq!(adopter.revision(), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Adopter {
    current: Option<Arc<Config>>,
}

/// Result of [`Adopter::offer`].
#[derive(Clone, Debug, PartialEq)]
pub enum Adoption {
    /// The offered configuration is now in force.
    Adopted(Arc<Config>),
    /// The offered configuration was already in force.
    Current,
    /// The offered revision is lower than the one in force, which stays.
    Older,
    /// A different edit made the same revision; the configuration in force stays.
    Conflict {
        /// Identifier of the edit that made the configuration in force.
        ours: CompactString,
        /// Identifier of the edit that made the offered configuration.
        theirs: CompactString,
    },
}

/// An edit of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// Random identifier by which the outcome of the edit is read back.
    pub id: CompactString,
    /// Revision that the edit is based on; 0 while no configuration exists.
    pub base: Revision,
    /// Who makes the edit.
    pub author: CompactString,
    /// Why the edit is made.
    pub reason: CompactString,
    /// Fleet description that replaces the one in force.
    pub fleet: Fleet,
}

/// Outcome of an edit, as far as a configuration read from the store shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// The edit was accepted and created this revision.
    Accepted(Revision),
    /// The edit was not accepted and never will be.
    Refused {
        /// Revision that another edit created from the same base.
        revision: Revision,
        /// Author of that edit.
        author: CompactString,
    },
    /// The edit may still be accepted; the same compare-and-swap can safely be sent again.
    Pending,
    /// The outcome cannot be read back: the kept records no longer reach back to the edit's base.
    Unknown,
}

impl Adopter {
    /// Returns the configuration in force; `None` before the first adoption.
    pub fn current(&self) -> Option<&Arc<Config>> {
        self.current.as_ref()
    }

    /// Returns the revision in force; 0 before the first adoption.
    pub fn revision(&self) -> Revision {
        self.current.as_ref().map_or(0, |config| config.revision)
    }

    /// Adopts a configuration if its revision is higher than the one in force.
    ///
    /// Revision 0 stands for "no configuration" and is never adopted.
    pub fn offer(&mut self, config: Config) -> Adoption {
        if config.revision > self.revision() {
            let config = Arc::new(config);
            self.current = Some(Arc::clone(&config));
            return Adoption::Adopted(config);
        }
        match &self.current {
            Some(current) if current.revision == config.revision => compare(current, &config),
            _ => Adoption::Older,
        }
    }
}

fn compare(current: &Config, offered: &Config) -> Adoption {
    if current.edit_id == offered.edit_id {
        return Adoption::Current;
    }
    Adoption::Conflict {
        ours: CompactString::from(&current.edit_id),
        theirs: CompactString::from(&offered.edit_id),
    }
}

impl Edit {
    /// Returns the configuration that results from applying the edit to its base.
    ///
    /// `now_ms` is the time of acceptance in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`](crate::Category::Conflict) if `current` is not the base of
    /// the edit, or already contains the edit, and with
    /// [`Category::Refused`](crate::Category::Refused) if no higher revision exists.
    pub fn apply(&self, current: &Config, now_ms: u64) -> Result<Config> {
        if self.resolve(current) != Resolution::Pending || current.revision != self.base {
            return Err(Error::conflict("the configuration"));
        }
        let revision = self.base.checked_add(1);
        let revision = revision.ok_or_else(|| Error::refused("no revision is left"))?;
        let record = EditRecord {
            id: self.id.to_string(),
            revision,
            author: self.author.to_string(),
            accepted_ms: now_ms,
            reason: self.reason.to_string(),
        };
        let dropped = (current.edits.len() + 1).saturating_sub(MAX_EDIT_RECORDS);
        let mut edits = current.edits[dropped..].to_vec();
        edits.push(record);
        Ok(Config {
            revision,
            edit_id: self.id.to_string(),
            fleet: Some(self.fleet.clone()),
            edits,
        })
    }

    /// Determines the outcome of the edit from a configuration that was read back.
    ///
    /// A stale configuration yields [`Resolution::Pending`] at worst: once a revision above the
    /// base exists, every configuration that records it names the edit that was accepted from the
    /// base, and no later configuration changes that.
    pub fn resolve(&self, config: &Config) -> Resolution {
        let accepted = config.edits.iter().find(|record| record.id == self.id);
        if let Some(record) = accepted {
            return Resolution::Accepted(record.revision);
        }
        if config.revision <= self.base {
            return Resolution::Pending;
        }
        let winner = config
            .edits
            .iter()
            .find(|record| record.revision == self.base + 1);
        match winner {
            Some(record) => Resolution::Refused {
                revision: record.revision,
                author: CompactString::from(&record.author),
            },
            None => Resolution::Unknown,
        }
    }
}
