//! Submission of an edit, through lost answers and races.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compact_str::CompactString;
use compio::time::sleep;
use wigeonhinge::config::Edit;
use wigeonhinge::config::Resolution;
use wigeonhinge::config::STORE_KEY;
use wigeonhinge::id::Revision;
use wigeonhinge_schema::fleet::Config;
use wigeonhinged::platform::Document;
use wigeonhinged::platform::Effect;
use wigeonhinged::platform::Error;
use wigeonhinged::platform::Platform;
use wigeonhinged::platform::Swap;
use wigeonhinged::platform::Version;

/// Pause between two tries to reach the store.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What became of an edit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was accepted and made this revision.
    Accepted(Revision),
    /// Another edit was first; it made this revision.
    Overtaken {
        /// Revision that was made in its place.
        revision: Revision,
        /// Who made that revision.
        author: CompactString,
    },
    /// Nothing was sent, for this reason.
    NotSent(String),
    /// It may have been accepted or may still be; ask again with its identifier.
    Unknown(String),
}

/// Reads the configuration and its version, an empty one while none exists.
///
/// # Errors
///
/// Fails when the store gives no usable answer.
pub async fn current<P: Platform>(platform: &P) -> Result<(Config, Version), Error> {
    let document: Option<Document<Config>> = platform.get(STORE_KEY).await?;
    Ok(document.map_or_else(Default::default, |found| (found.value, found.version)))
}

/// Submits an edit and reads it back until its outcome is known or `limit` has passed.
///
/// The same compare-and-swap is sent again after a lost answer. That is safe:
/// it takes effect from the base revision only, and at most once.
pub async fn submit<P: Platform>(platform: &P, edit: &Edit, limit: Duration) -> Outcome {
    let end = Instant::now() + limit;
    let mut sent = false;
    let mut trouble = String::from("no answer from the store");
    loop {
        match attempt(platform, edit).await {
            Step::Ended(outcome) => return outcome,
            Step::Failed { error, wrote } => {
                sent |= wrote;
                trouble = error.to_string();
            }
            Step::Raced => {}
        }
        if Instant::now() >= end {
            break;
        }
        sleep(RETRY_PAUSE).await;
    }
    if sent {
        Outcome::Unknown(trouble)
    } else {
        Outcome::NotSent(trouble)
    }
}

/// Looks up an edit that was submitted before.
pub async fn resolve<P: Platform>(platform: &P, edit: &Edit) -> Outcome {
    match current(platform).await {
        Ok((config, _)) => match edit.resolve(&config) {
            Resolution::Accepted(revision) => Outcome::Accepted(revision),
            Resolution::Refused { revision, author } => Outcome::Overtaken { revision, author },
            Resolution::Pending => Outcome::Unknown("not in force yet".to_owned()),
            Resolution::Unknown => Outcome::Unknown("the edit records end after it".to_owned()),
        },
        Err(error) => Outcome::Unknown(error.to_string()),
    }
}

/// Result of one try.
enum Step {
    Ended(Outcome),
    Raced,
    Failed { error: Error, wrote: bool },
}

/// Reads the configuration, then swaps it if the outcome of the edit is still open.
async fn attempt<P: Platform>(platform: &P, edit: &Edit) -> Step {
    let (config, version) = match current(platform).await {
        Ok(found) => found,
        Err(error) => {
            return Step::Failed {
                error,
                wrote: false,
            };
        }
    };
    match edit.resolve(&config) {
        Resolution::Accepted(revision) => return Step::Ended(Outcome::Accepted(revision)),
        Resolution::Refused { revision, author } => {
            return Step::Ended(Outcome::Overtaken { revision, author });
        }
        Resolution::Unknown => {
            let reason = "the edit records no longer reach back to its base".to_owned();
            return Step::Ended(Outcome::Unknown(reason));
        }
        Resolution::Pending => {}
    }
    let Ok(next) = edit.apply(&config, now_ms()) else {
        return Step::Raced;
    };
    match platform.put(STORE_KEY, &next, version, None).await {
        Ok(Swap::Done(_)) => Step::Ended(Outcome::Accepted(next.revision)),
        Ok(Swap::Conflict(_)) => Step::Raced,
        Err(error) => {
            let wrote = error.effect() == Effect::Unknown;
            Step::Failed { error, wrote }
        }
    }
}

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
