//! Writes of the scheduler role, one at a time.
//!
//! Each write is a transaction that also updates the role's key, on the condition that its
//! revision is unchanged. A write of a former holder, or one that is executed late, therefore
//! fails as a whole, and a write without a response can be retried.

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

/// Time limit for one attempt of a write.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Most entries of a transaction that the store accepts.
const MAX_ENTRIES: usize = 32;

/// Entries that every write needs: the condition on the role's key and its new value.
const ROLE_ENTRIES: usize = 2;

/// Most entries that one job needs: its last write stores the state and removes the other keys.
const MAX_JOB_ENTRIES: usize = 4;

/// Key and value of a row.
pub(super) type KeyValue = (String, Vec<u8>);

/// Content of one write.
#[derive(Debug, Default)]
pub(super) struct WriteContent {
    pub(super) writes: Vec<Write>,
    pub(super) extra_rows: Vec<KeyValue>,
    /// Jobs whose retention time has passed; their states are removed.
    pub(super) expired: Vec<JobId>,
    /// Machine orders to send once the write is done.
    pub(super) orders: Vec<(VmId, Order)>,
}

/// Executes a write, retrying it until its outcome is known, and reports the outcome to the role.
pub(super) async fn write(
    shared: Rc<Shared>,
    (term, number): (Term, u64),
    content: WriteContent,
    inbox: Sender<Message>,
) {
    let commit = match build_commit(&term, number, &content) {
        Ok(commit) => commit,
        Err(reason) => {
            // The receiver is gone only if the role has been given up.
            let _ = inbox.send(Message::Lost(reason));
            return;
        }
    };
    let mut warned = false;
    let message = loop {
        match shared.store.commit(&commit, CALL_TIMEOUT).await {
            Ok(Outcome::Done(revision)) => break Message::Written(content, revision),
            Ok(Outcome::NoLease) => break Message::Lost("the lease has ended".into()),
            Ok(Outcome::Conflict(items)) => {
                let own = term.key_value(number);
                let role = items.into_iter().find(|item| item.key == keys::ROLE);
                break match role.filter(|item| item.value == own) {
                    // An earlier attempt was executed, but its response was lost.
                    Some(item) => Message::Written(content, item.revision),
                    None => Message::Lost("another entry holds the role".into()),
                };
            }
            Err(error) => {
                shared.health.record_failure();
                if !std::mem::replace(&mut warned, true) {
                    warn!(shared.log, "role: outcome of a write is unknown, retrying it";
                        "error" => %error);
                }
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    };
    if matches!(message, Message::Written(..)) {
        shared.health.record_success();
    }
    // The receiver is gone only if the role has been given up.
    let _ = inbox.send(message);
}

impl WriteContent {
    /// Returns whether the rows of one more job are sure to fit.
    pub(super) fn has_room(&self) -> bool {
        let jobs: usize = self.writes.iter().map(entry_count).sum();
        let used = ROLE_ENTRIES + self.extra_rows.len() + self.expired.len() + jobs;
        used + MAX_JOB_ENTRIES <= MAX_ENTRIES
    }

    pub(super) fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.extra_rows.is_empty() && self.expired.is_empty()
    }
}

/// Returns the number of entries that a job's rows need in a transaction.
fn entry_count(write: &Write) -> usize {
    let rows = usize::from(write.state.is_some()) + usize::from(write.progress.is_some());
    rows + removed_keys(write).len()
}

/// Returns the keys to remove with a job's write: those of an ended job other than its state.
fn removed_keys(write: &Write) -> Vec<String> {
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

fn build_commit(term: &Term, number: u64, content: &WriteContent) -> Result<Commit, String> {
    let role = keys::ROLE.to_owned();
    let expected: Revision = term.revision;
    let mut commit = Commit {
        expect: vec![(role.clone(), expected)],
        writes: vec![(role, term.key_value(number), term.lease)],
        removes: Vec::new(),
    };
    for write in &content.writes {
        if let Some(state) = &write.state {
            commit
                .writes
                .push((keys::state(&write.job), encode(state)?, 0));
        }
        if let Some(progress) = &write.progress {
            let key = keys::progress(&write.job);
            commit.writes.push((key, encode(progress)?, 0));
        }
        commit.removes.extend(removed_keys(write));
    }
    for (key, value) in &content.extra_rows {
        commit.writes.push((key.clone(), value.clone(), 0));
    }
    for job in &content.expired {
        commit.removes.push(keys::state(job));
    }
    Ok(commit)
}

fn encode(row: &impl Serialize) -> Result<Vec<u8>, String> {
    serde_json::to_vec(row).map_err(|error| format!("a row cannot be encoded: {error}"))
}
