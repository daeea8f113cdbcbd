//! Adoption of configurations, and edits of the configuration.
//!
//! An entry adopts a configuration only if its revision is higher than the one
//! in force. An edit is a compare-and-swap from the revision that it was based
//! on; its identifier is kept in the document, so that its outcome can be read
//! back when the store's answer was lost.

use std::sync::Arc;

use compact_str::CompactString;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::fleet::EditRecord;
use wigeonhinge_schema::fleet::Fleet;

use crate::error::Error;
use crate::error::Result;
use crate::id::Revision;

/// Key of the configuration in the store.
pub const STORE_KEY: &str = "config";

/// Edit records that a configuration keeps.
///
/// At 340 edits a day, a record stays for a day and a half.
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

/// What became of a configuration that was offered for adoption.
#[derive(Clone, Debug, PartialEq)]
pub enum Adoption {
    /// It is in force now.
    Adopted(Arc<Config>),
    /// It was in force already.
    Current,
    /// Its revision is lower than the one in force, which stays.
    Older,
    /// Another edit made the same revision; the one in force stays.
    Conflict {
        /// Edit that made the configuration in force.
        ours: CompactString,
        /// Edit that made the configuration on offer.
        theirs: CompactString,
    },
}

/// An edit of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// Random identifier.
    pub id: CompactString,
    /// Revision that the edit is based on; 0 while no configuration exists.
    pub base: Revision,
    /// Who makes the edit.
    pub author: CompactString,
    /// Why the edit is made.
    pub reason: CompactString,
    /// Fleet that replaces the one in force.
    pub fleet: Fleet,
}

/// What a configuration read from the store says about an edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// The edit was accepted and made this revision.
    Accepted(Revision),
    /// The edit was not accepted and never will be.
    Refused {
        /// Revision that was made from the base in its place.
        revision: Revision,
        /// Who made that revision.
        author: CompactString,
    },
    /// The edit may still be accepted; the same compare-and-swap is safe to send again.
    Pending,
    /// The records no longer reach back to the base of the edit.
    Unknown,
}

impl Adopter {
    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Arc<Config>> {
        self.current.as_ref()
    }

    /// Returns the revision in force; 0 without a configuration.
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

fn compare(current: &Config, config: &Config) -> Adoption {
    if current.edit_id == config.edit_id {
        return Adoption::Current;
    }
    Adoption::Conflict {
        ours: CompactString::from(&current.edit_id),
        theirs: CompactString::from(&config.edit_id),
    }
}

impl Edit {
    /// Returns the configuration that the edit makes from its base.
    ///
    /// `now_ms` is in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`](crate::Category::Conflict) if `current` is not the base of
    /// the edit, or holds the edit already.
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
        let surplus = (current.edits.len() + 1).saturating_sub(MAX_EDIT_RECORDS);
        let mut edits = current.edits[surplus..].to_vec();
        edits.push(record);
        Ok(Config {
            revision,
            edit_id: self.id.to_string(),
            fleet: Some(self.fleet.clone()),
            edits,
        })
    }

    /// Tells from a configuration that was read back what became of the edit.
    ///
    /// An outdated value leads to [`Resolution::Pending`] at worst: once a
    /// revision above the base exists, every value that holds it names the edit
    /// that was made from the base, and no later value changes that.
    pub fn resolve(&self, config: &Config) -> Resolution {
        let own = config.edits.iter().find(|record| record.id == self.id);
        if let Some(record) = own {
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
