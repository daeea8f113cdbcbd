//! Writes of the scheduler role, one after the other.
//!
//! Each write also changes the role's key under the condition that nobody else
//! did. So a write of a deposed holder, or one that is executed late, fails as
//! a whole, and a write without an answer can be repeated.

use std::rc::Rc;
use std::time::Duration;

use flume::Sender;
use serde::Serialize;
use slog::warn;
use wigeonhinge::batch::Phase;
use wigeonhinge::batch::Write;
use wigeonhinge::id::JobId;
use wigeonhinge::id::VmId;
use wigeonhinge_platform::machines::Order;
use wigeonhinge_platform::store::Commit;
use wigeonhinge_platform::store::Outcome;
use wigeonhinge_platform::store::Revision;

use crate::site::Shared;
use crate::site::election::Term;
use crate::site::keys;
use crate::site::role::Message;

/// Time for a write.
const CALL: Duration = Duration::from_millis(600);

/// Pause after a failed write.
const RETRY: Duration = Duration::from_millis(40);

/// Entries of a transaction that the store accepts.
const ENTRIES: usize = 32;

/// Entries that every write has: the condition on the role's key and its new value.
const OWN_ENTRIES: usize = 2;

/// Most entries of one job: the last one stores its state and removes its other keys.
const JOB_ENTRIES: usize = 4;

/// What a write brings beside the rows of jobs.
pub(super) type Extra = (String, Vec<u8>);

/// Content of a write.
#[derive(Debug, Default)]
pub(super) struct Brought {
    pub(super) writes: Vec<Write>,
    pub(super) extras: Vec<Extra>,
    /// Jobs whose state is no longer kept.
    pub(super) expired: Vec<JobId>,
    /// Machine orders that are given once the write is done.
    pub(super) orders: Vec<(VmId, Order)>,
}

/// Writes rows and reports the role's new revision.
pub(super) async fn write(
    shared: Rc<Shared>,
    (term, number): (Term, u64),
    brought: Brought,
    inbox: Sender<Message>,
) {
    let commit = match commit(&term, number, &brought) {
        Ok(commit) => commit,
        Err(reason) => {
            // The receiver is gone only if the role was given up already.
            let _ = inbox.send(Message::Lost(reason));
            return;
        }
    };
    let mut silent = false;
    let message = loop {
        match shared.store.commit(&commit, CALL).await {
            Ok(Outcome::Done(revision)) => break Message::Written(brought, revision),
            Ok(Outcome::NoLease) => break Message::Lost("the lease has ended".into()),
            Ok(Outcome::Conflict(items)) => {
                let own = term.value(number);
                let role = items.into_iter().find(|item| item.key == keys::ROLE);
                break match role.filter(|item| item.value == own) {
                    // An earlier attempt was executed and its answer was lost.
                    Some(item) => Message::Written(brought, item.revision),
                    None => Message::Lost("another entry holds the role".into()),
                };
            }
            Err(error) => {
                shared.health.bad();
                if !std::mem::replace(&mut silent, true) {
                    warn!(shared.log, "role: a write has no outcome yet"; "error" => %error);
                }
                compio::time::sleep(RETRY).await;
            }
        }
    };
    if matches!(message, Message::Written(..)) {
        shared.health.good();
    }
    // The receiver is gone only if the role was given up already.
    let _ = inbox.send(message);
}

impl Brought {
    /// Returns whether it has room for the rows of one more job.
    pub(super) fn has_room(&self) -> bool {
        let jobs: usize = self.writes.iter().map(entries).sum();
        let used = OWN_ENTRIES + self.extras.len() + self.expired.len() + jobs;
        used + JOB_ENTRIES <= ENTRIES
    }

    pub(super) fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.extras.is_empty() && self.expired.is_empty()
    }
}

/// Returns the number of entries that a job's rows take.
fn entries(write: &Write) -> usize {
    let rows = usize::from(write.state.is_some()) + usize::from(write.progress.is_some());
    rows + removals(write).len()
}

/// Returns the keys that an ended job leaves behind.
fn removals(write: &Write) -> Vec<String> {
    let mut keys = Vec::new();
    if let Some(state) = write.state.as_ref().filter(|row| row.phase.terminal()) {
        keys.push(keys::job(&write.job));
        if write.progress_stored {
            keys.push(keys::progress(&write.job));
        }
        if state.phase == Phase::Canceled {
            keys.push(keys::cancel(&write.job));
        }
    }
    keys
}

fn commit(term: &Term, number: u64, brought: &Brought) -> Result<Commit, String> {
    let role = keys::ROLE.to_owned();
    let expected: Revision = term.revision;
    let mut commit = Commit {
        expect: vec![(role.clone(), expected)],
        writes: vec![(role, term.value(number), term.lease)],
        removes: Vec::new(),
    };
    for write in &brought.writes {
        if let Some(state) = &write.state {
            commit
                .writes
                .push((keys::state(&write.job), encode(state)?, 0));
        }
        if let Some(progress) = &write.progress {
            let key = keys::progress(&write.job);
            commit.writes.push((key, encode(progress)?, 0));
        }
        commit.removes.extend(removals(write));
    }
    for (key, value) in &brought.extras {
        commit.writes.push((key.clone(), value.clone(), 0));
    }
    for job in &brought.expired {
        commit.removes.push(keys::state(job));
    }
    Ok(commit)
}

fn encode(row: &impl Serialize) -> Result<Vec<u8>, String> {
    serde_json::to_vec(row).map_err(|error| format!("a row cannot be encoded: {error}"))
}
