//! The scheduler role: a key in the store under a lease of its holder.
//!
//! The revision of the key's creation is the fence of all orders. Workers
//! check it, so a deposed holder that does not know it yet does no harm.

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

/// Lease of the role. A successor has to be at work before the workers' leases end.
const LEASE: Duration = Duration::from_millis(1_400);

/// Time between two renewals.
const RENEW: Duration = Duration::from_millis(350);

/// Time for a call about the role.
const CALL: Duration = Duration::from_millis(500);

/// Longest wait between two looks at the role's key.
const LOOK: Duration = Duration::from_millis(300);

/// Time for which a holder that gave up the role does not ask for it again.
const BARRED: Duration = Duration::from_millis(2_500);

/// Cores that the role takes in its busiest seconds: 0.19 were measured with 350 workers and
/// 1,700 rows a second.
const NEEDED_CORES: f64 = 0.25;

/// Time for which an entry with less than that lets others ask first; a takeover still ends
/// before the workers' leases do.
const DEFER: Duration = Duration::from_millis(400);

/// Held role.
#[derive(Clone, Debug)]
pub(super) struct Term {
    pub(super) fence: Fence,
    pub(super) lease: LeaseId,
    /// Present revision of the role's key.
    pub(super) revision: Revision,
    /// Distinguishes this term's writes from those of other holders.
    pub(super) session: String,
    /// When the last renewal that succeeded was sent.
    pub(super) renewed: Rc<Cell<Time>>,
}

impl Term {
    /// Returns the value of the role's key after a number of writes.
    pub(super) fn value(&self, writes: u64) -> Vec<u8> {
        format!("{} {writes}", self.session).into_bytes()
    }
}

/// Asks for the role whenever nobody holds it, and fills it.
pub(super) async fn campaign(shared: Rc<Shared>, resigned: Receiver<()>) {
    let mut barred = Time::ZERO;
    while !shared.draining.get() {
        site::changed(&shared, LOOK).await;
        if vacant(&shared) && shared.settings.cores < NEEDED_CORES {
            compio::time::sleep(DEFER).await;
        }
        let vacant = vacant(&shared);
        let ready = shared.catalog.borrow().is_some() && !shared.health.failing();
        if !vacant || !ready || clock::now() < barred || shared.draining.get() {
            continue;
        }
        match take(&shared).await {
            Ok(Some(term)) => {
                let lease = term.lease;
                let reason = role::run(&shared, term, &resigned).await;
                info!(shared.log, "role: given up"; "reason" => &reason);
                barred = clock::now() + BARRED;
                if let Err(error) = shared.store.revoke_lease(lease, CALL).await {
                    warn!(shared.log, "role: lease cannot be ended"; "error" => %error);
                }
            }
            Ok(None) => {}
            Err(error) => {
                warn!(shared.log, "role: cannot ask for it"; "error" => %error);
                shared.health.bad();
            }
        }
    }
}

fn vacant(shared: &Shared) -> bool {
    let replica = shared.replica.borrow();
    replica.complete && replica.role.is_none()
}

async fn take(shared: &Shared) -> Result<Option<Term>, Error> {
    let began = clock::now();
    let (lease, _) = shared.store.grant_lease(ttl(shared), CALL).await?;
    let session = format!("{}-{}", shared.settings.entry, began.as_nanos());
    let mut term = Term {
        fence: 0,
        lease,
        revision: 0,
        session,
        renewed: Rc::new(Cell::new(began)),
    };
    let commit = Commit {
        expect: vec![(keys::ROLE.to_owned(), 0)],
        writes: vec![(keys::ROLE.to_owned(), term.value(0), lease)],
        removes: Vec::new(),
    };
    match shared.store.commit(&commit, CALL).await? {
        Outcome::Done(revision) => {
            term.fence = revision;
            term.revision = revision;
            info!(shared.log, "role: taken"; "fence" => revision, "lease" => lease);
            Ok(Some(term))
        }
        Outcome::Conflict(_) | Outcome::NoLease => {
            shared.store.revoke_lease(lease, CALL).await?;
            Ok(None)
        }
    }
}

fn ttl(shared: &Shared) -> Duration {
    let shortest = shared.settings.bounds.shortest_lease_ms;
    LEASE.max(Duration::from_secs_f64(shortest / 1e3))
}

/// Renews the lease of a role until it has ended.
pub(super) async fn renew(shared: Rc<Shared>, term: Term, inbox: Sender<Message>) {
    let mut failing = false;
    loop {
        compio::time::sleep(RENEW).await;
        let sent = clock::now();
        match shared.store.renew_lease(term.lease, CALL).await {
            Ok(true) => {
                shared.health.good();
                term.renewed.set(sent);
                failing = false;
            }
            Ok(false) => {
                // The receiver is gone only if the role was given up already.
                let _ = inbox.send(Message::Lost("the lease has ended".into()));
                return;
            }
            Err(error) => {
                shared.health.bad();
                if !std::mem::replace(&mut failing, true) {
                    warn!(shared.log, "role: cannot be renewed"; "error" => %error);
                }
            }
        }
    }
}
