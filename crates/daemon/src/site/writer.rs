//! Writes of the scheduler role, one after the other.
//!
//! Each write also changes the role's key under the condition that nobody else
//! did. So a write of a deposed holder, or one that is executed late, fails as
//! a whole, and a write without an answer can be repeated.

use std::rc::Rc;
use std::time::Duration;

use flume::Sender;
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
use crate::site::clock;
use crate::site::election::Term;
use crate::site::keys;
use crate::site::role::Message;

/// Time for a write.
const CALL: Duration = Duration::from_millis(600);

/// Pause after a failed write.
const RETRY: Duration = Duration::from_millis(40);

/// Rows of one write; a job's last row takes three entries of the transaction.
pub(super) const ROWS: usize = 9;

/// What a write brings beside the rows of jobs.
pub(super) type Extra = (String, Vec<u8>);

/// Content of a write.
#[derive(Debug)]
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
    let commit = commit(&term, number, &brought);
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

fn commit(term: &Term, number: u64, brought: &Brought) -> Commit {
    let role = keys::ROLE.to_owned();
    let expected: Revision = term.revision;
    let mut commit = Commit {
        expect: vec![(role.clone(), expected)],
        writes: vec![(role, term.value(number), term.lease)],
        removes: Vec::new(),
    };
    for write in &brought.writes {
        let mut row = write.row.clone();
        if row.phase.terminal() {
            row.ended_ms = Some(clock::wall_ms());
            commit.removes.push(keys::job(&write.job));
            if row.phase == Phase::Canceled {
                commit.removes.push(keys::cancel(&write.job));
            }
        }
        let value = serde_json::to_vec(&row).unwrap_or_default();
        commit.writes.push((keys::progress(&write.job), value, 0));
    }
    for (key, value) in &brought.extras {
        commit.writes.push((key.clone(), value.clone(), 0));
    }
    for job in &brought.expired {
        commit.removes.push(keys::progress(job));
    }
    commit
}
