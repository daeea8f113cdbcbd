//! Writes of a partition's holder, one at a time.
//!
//! Each write is a transaction that also updates the partition's chain key, on the condition that
//! its revision is unchanged. A write of a former holder, or one that is executed late, therefore
//! fails as a whole, and a write without a response can be retried.

use std::rc::Rc;
use std::time::Duration;

use flume::Sender;
use slog::warn;
use wigeonhinge::batch::Phase;
use wigeonhinge::batch::StateRow;
use wigeonhinge::batch::Write;
use wigeonhinge::partition::Partition;
use wigeonhinge_platform::store::Commit;
use wigeonhinge_platform::store::MAX_COMMIT_ENTRIES;
use wigeonhinge_platform::store::Outcome;

use crate::site::Shared;
use crate::site::election::Term;
use crate::site::keys;
use crate::site::message::Message;
use crate::site::message::WriteContent;
use crate::site::rows;

/// Time limit for the first attempt of a write, and the longest one. The limit doubles with each
/// attempt, as a slow link may need seconds for the rows.
const CALL_TIMEOUT: (Duration, Duration) = (Duration::from_millis(600), Duration::from_secs(5));

/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Entries that every write needs: the condition on the chain key and its new value.
const CHAIN_ENTRIES: usize = 2;

/// Entries for the starts without an answer, which are added last.
const STARTS_ENTRIES: usize = 1;

/// Most entries that one job needs: its last write stores the state and removes the other keys, or
/// stores the job for another partition as well and removes two keys.
const MAX_JOB_ENTRIES: usize = 4;

/// Most rows other than those of jobs in one write.
pub(super) const MAX_EXTRA_ROWS: usize = 17;

/// Most keys of cancellations without effect that one write removes.
pub(super) const MAX_REMOVES: usize = 8;

// Each write has room for a job, so that no amount of other rows holds up the jobs.
const _: () = assert!(
    CHAIN_ENTRIES + STARTS_ENTRIES + MAX_EXTRA_ROWS + MAX_REMOVES + MAX_JOB_ENTRIES
        <= MAX_COMMIT_ENTRIES
);

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
    let chain = keys::chain(term.partition);
    let mut warned = false;
    let mut timeout = CALL_TIMEOUT.0;
    let message = loop {
        let returns = shared.store.returns();
        match shared.store.commit(&commit, timeout).await {
            Ok(Outcome::Done(revision)) => break Message::Written(content, revision),
            Ok(Outcome::NoLease) => break Message::Lost("the lease has ended".into()),
            Ok(Outcome::Conflict(items)) => {
                let own = term.chain_value(number);
                let last = items.into_iter().find(|item| item.key == chain);
                break match last.filter(|item| item.value == own) {
                    // An earlier attempt was executed, but its response was lost.
                    Some(item) => Message::Written(content, item.revision),
                    None => Message::Lost("another entry holds the role".into()),
                };
            }
            Err(error) => {
                shared.health.record_failure();
                if !std::mem::replace(&mut warned, true) {
                    warn!(shared.log, "role: outcome of a write is unknown, retrying it";
                        "partition" => term.partition, "error" => %error);
                }
                timeout = match shared.store.outage_ended(returns) {
                    // The attempt was lost in an outage, which tells nothing about the link's bandwidth.
                    true => CALL_TIMEOUT.0,
                    false => (2 * timeout).min(CALL_TIMEOUT.1),
                };
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
    /// Returns how many more entries fit into the transaction.
    pub(super) fn room(&self) -> usize {
        let jobs: usize = self.writes.iter().map(entry_count).sum();
        let removes = self.expired.len() + self.removes.len();
        let used = CHAIN_ENTRIES + STARTS_ENTRIES + self.extra_rows.len() + removes + jobs;
        MAX_COMMIT_ENTRIES.saturating_sub(used)
    }

    /// Returns whether the rows of one more job are sure to fit.
    pub(super) fn has_job_room(&self) -> bool {
        self.room() >= MAX_JOB_ENTRIES
    }

    pub(super) fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.extra_rows.is_empty()
            && self.expired.is_empty()
            && self.removes.is_empty()
    }
}

/// Returns the number of entries that a job's rows need in a transaction.
fn entry_count(write: &Write) -> usize {
    let rows = usize::from(write.state.is_some()) + usize::from(write.progress.is_some());
    let ended = write.state.as_ref().is_some_and(|it| it.phase.terminal());
    match ended || write.transfer.is_some() {
        true => MAX_JOB_ENTRIES,
        false => rows,
    }
}

/// Returns the keys to remove with a job's write: those of an ended job other than its state, and
/// those of a job that passes to another partition.
fn removed_keys(partition: Partition, write: &Write) -> Vec<String> {
    let mut keys = Vec::new();
    let last = |row: &&StateRow| row.phase.terminal() || write.transfer.is_some();
    if let Some(state) = write.state.as_ref().filter(last) {
        keys.push(keys::job(partition, &write.job));
        if write.progress_stored {
            keys.push(keys::progress(partition, &write.job));
        }
        if state.phase == Phase::Canceled {
            keys.push(keys::cancel(partition, &write.job));
        }
    }
    keys
}

fn build_commit(term: &Term, number: u64, content: &WriteContent) -> Result<Commit, String> {
    let partition = term.partition;
    let chain = keys::chain(partition);
    let mut commit = Commit {
        expect: vec![(chain.clone(), term.revision.get())],
        writes: vec![(chain, term.chain_value(number), 0)],
        removes: content.removes.clone(),
    };
    for write in &content.writes {
        if let Some(state) = &write.state {
            let key = keys::state(&write.job);
            commit.writes.push((key, rows::encode(state)?, 0));
        }
        if let Some(progress) = &write.progress {
            let key = keys::progress(partition, &write.job);
            commit.writes.push((key, rows::encode(progress)?, 0));
        }
        if let Some(row) = &write.transfer {
            let key = keys::job(row.partition, &write.job);
            commit.writes.push((key, rows::encode(row)?, 0));
        }
        commit.removes.extend(removed_keys(partition, write));
    }
    for (key, value) in &content.extra_rows {
        commit.writes.push((key.clone(), value.clone(), 0));
    }
    let expired = content.expired.iter().map(keys::state);
    commit.removes.extend(expired);
    Ok(commit)
}
