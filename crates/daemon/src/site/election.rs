//! Election of the scheduler role's holder: the role is a key in the store, attached to a lease
//! that the holder renews.
//!
//! The revision of the key's creation is the fence of all orders. Workers reject orders with a
//! lower fence, so a former holder that has not noticed its loss of the role does no harm.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::id::Fence;
use wigeonhinge_platform::store::Commit;
use wigeonhinge_platform::store::Error;
use wigeonhinge_platform::store::LeaseId;
use wigeonhinge_platform::store::Outcome;
use wigeonhinge_platform::store::Revision;

use crate::site;
use crate::site::Shared;
use crate::site::clock;
use crate::site::keys;
use crate::site::role;
use crate::site::role::Message;

/// Time to live of the role's lease. It is short so that a successor takes over before the
/// workers' leases end.
const ROLE_LEASE: Duration = Duration::from_millis(1_400);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(350);

/// Time limit for a call about the role's lease or key.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time between two checks whether the role is vacant.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which an entry that gave up the role does not try to acquire it again.
const REACQUIRE_PAUSE: Duration = Duration::from_millis(2_500);

/// Cores that the role needs in its busiest seconds; it uses 0.19 cores with 350 workers and
/// 1,700 rows a second.
const MIN_CORES: f64 = 0.25;

/// Time for which an entry with fewer than [`MIN_CORES`] cores lets other entries try first. A
/// takeover after this delay still completes before the workers' leases end.
const LOW_CORES_DELAY: Duration = Duration::from_millis(400);

/// Term of a role holder.
#[derive(Clone, Debug)]
pub(super) struct Term {
    pub(super) fence: Fence,
    pub(super) lease: LeaseId,
    /// Current revision of the role's key.
    pub(super) revision: Revision,
    /// Identifier of the term, which distinguishes its writes from those of other terms.
    pub(super) session: String,
    /// Time at which the last successful renewal was sent.
    pub(super) renewed: Rc<Cell<Time>>,
}

impl Term {
    /// Returns the value of the role's key after the write of this number.
    pub(super) fn key_value(&self, writes: u64) -> Vec<u8> {
        format!("{} {writes}", self.session).into_bytes()
    }
}

/// Tries to acquire the role whenever it is vacant, and runs it while it is held.
pub(super) async fn campaign(shared: Rc<Shared>, resign_rx: Receiver<()>) {
    let mut barred_until = Time::ZERO;
    while !shared.draining.get() {
        site::wait_for_change(&shared, POLL_INTERVAL).await;
        if is_vacant(&shared) && shared.settings.cores < MIN_CORES {
            compio::time::sleep(LOW_CORES_DELAY).await;
        }
        let vacant = is_vacant(&shared);
        let ready = shared.catalog.borrow().is_some() && !shared.health.is_failing();
        if !vacant || !ready || clock::now() < barred_until || shared.draining.get() {
            continue;
        }
        match acquire(&shared).await {
            Ok(Some(term)) => {
                let lease = term.lease;
                let reason = role::run(&shared, term, &resign_rx).await;
                info!(shared.log, "role: given up"; "reason" => &reason);
                barred_until = clock::now() + REACQUIRE_PAUSE;
                if let Err(error) = shared.store.revoke_lease(lease, CALL_TIMEOUT).await {
                    warn!(shared.log, "role: lease cannot be revoked, it expires by itself";
                        "error" => %error);
                }
            }
            Ok(None) => {}
            Err(error) => {
                warn!(shared.log, "role: cannot be acquired, trying again"; "error" => %error);
                shared.health.record_failure();
            }
        }
    }
}

fn is_vacant(shared: &Shared) -> bool {
    let replica = shared.replica.borrow();
    replica.loaded && replica.role_revision.is_none()
}

async fn acquire(shared: &Shared) -> Result<Option<Term>, Error> {
    let started_at = clock::now();
    let (lease, _) = shared
        .store
        .grant_lease(lease_ttl(shared), CALL_TIMEOUT)
        .await?;
    let session = format!("{}-{}", shared.settings.entry, started_at.as_nanos());
    let mut term = Term {
        fence: 0,
        lease,
        revision: 0,
        session,
        renewed: Rc::new(Cell::new(started_at)),
    };
    let commit = Commit {
        expect: vec![(keys::ROLE.to_owned(), 0)],
        writes: vec![(keys::ROLE.to_owned(), term.key_value(0), lease)],
        removes: Vec::new(),
    };
    match shared.store.commit(&commit, CALL_TIMEOUT).await? {
        Outcome::Done(revision) => {
            term.fence = revision;
            term.revision = revision;
            info!(shared.log, "role: taken"; "fence" => revision, "lease" => lease);
            Ok(Some(term))
        }
        Outcome::Conflict(_) | Outcome::NoLease => {
            shared.store.revoke_lease(lease, CALL_TIMEOUT).await?;
            Ok(None)
        }
    }
}

fn lease_ttl(shared: &Shared) -> Duration {
    let shortest = shared.settings.bounds.shortest_lease_ms;
    ROLE_LEASE.max(Duration::from_secs_f64(shortest / 1e3))
}

/// Renews the lease of the role until the store reports that it has ended.
pub(super) async fn keep_lease(shared: Rc<Shared>, term: Term, inbox: Sender<Message>) {
    let mut failing = false;
    loop {
        compio::time::sleep(RENEW_INTERVAL).await;
        let sent = clock::now();
        match shared.store.renew_lease(term.lease, CALL_TIMEOUT).await {
            Ok(true) => {
                shared.health.record_success();
                term.renewed.set(sent);
                failing = false;
            }
            Ok(false) => {
                // The receiver is gone only if the role has been given up.
                let _ = inbox.send(Message::Lost("the lease has ended".into()));
                return;
            }
            Err(error) => {
                shared.health.record_failure();
                if !std::mem::replace(&mut failing, true) {
                    warn!(shared.log, "role: lease cannot be renewed, trying again";
                        "error" => %error);
                }
            }
        }
    }
}
