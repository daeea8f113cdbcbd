//! Election of the holder of a partition: its role is a key in the store, attached to a lease that
//! the holder renews.
//!
//! The revision of the key's creation is the fence of all orders. Workers reject orders with a
//! lower fence, so a former holder that has not noticed its loss of the role does no harm.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use flume::Sender;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::batch::Contact;
use wigeonhinge::id::Fence;
use wigeonhinge::partition::Claimant;
use wigeonhinge::partition::Partition;
use wigeonhinge::partition::claim_delay;
use wigeonhinge_platform::store::Commit;
use wigeonhinge_platform::store::Error;
use wigeonhinge_platform::store::LeaseId;
use wigeonhinge_platform::store::Outcome;
use wigeonhinge_platform::store::Revision;

use crate::site;
use crate::site::Shared;
use crate::site::clock;
use crate::site::control::HolderRow;
use crate::site::keys;
use crate::site::message::Message;
use crate::site::role;

/// Time to live of the role's lease. It is short so that a successor takes over before the
/// workers' leases end.
const ROLE_LEASE: Duration = Duration::from_millis(1_400);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(350);

/// Time limit for a call about the role's lease or key.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time between two checks whether a partition has no holder.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which an entry that gave up a partition does not claim it again; with the delay of its
/// claim it is still at work again before the workers' leases end.
const RECLAIM_PAUSE: Duration = Duration::from_millis(1_200);

/// Term of a partition's holder.
#[derive(Clone, Debug)]
pub(super) struct Term {
    pub(super) partition: Partition,
    pub(super) fence: Fence,
    pub(super) lease: LeaseId,
    /// Current revision of the partition's chain key, from which workers get fences: it rises with each
    /// write and stays below the fence of any successor, whose claim changes the chain key as well.
    pub(super) revision: Rc<Cell<Revision>>,
    /// Identifier of the term, which distinguishes its writes from those of other terms.
    pub(super) session: String,
    /// Contact to the store and the workers, which the renewals and the role update.
    pub(super) contact: Rc<Cell<Contact>>,
}

impl Term {
    /// Returns the value of the chain key after the write of this number.
    pub(super) fn chain_value(&self, writes: u64) -> Vec<u8> {
        format!("{} {writes}", self.session).into_bytes()
    }
}

/// Claims every partition that has no holder, and runs those that this entry holds.
pub(super) async fn campaign_all(shared: Rc<Shared>) {
    let mut campaigns: Vec<JoinHandle<()>> = Vec::new();
    while !shared.draining.get() {
        let partitions = shared.control.borrow().topology.partitions();
        for partition in campaigns.len() as Partition..partitions {
            let campaign = campaign(Rc::clone(&shared), partition);
            campaigns.push(compio::runtime::spawn(campaign));
        }
        site::wait_for_change(&shared, CHECK_INTERVAL).await;
    }
    for campaign in campaigns {
        if campaign.await.is_err() {
            warn!(shared.log, "role: a campaign ended with a panic");
        }
    }
}

/// Claims a partition whenever it has no holder, and runs it while this entry holds it.
async fn campaign(shared: Rc<Shared>, partition: Partition) {
    let mut barred_until = Time::ZERO;
    while !shared.draining.get() {
        if !is_vacant(&shared, partition) {
            site::wait_for_change(&shared, CHECK_INTERVAL).await;
            continue;
        }
        compio::time::sleep(delay(&shared, partition)).await;
        let vacant = is_vacant(&shared, partition);
        let ready = shared.catalog.borrow().is_some() && !shared.health.is_failing();
        if !vacant || !ready || clock::now() < barred_until || shared.draining.get() {
            site::wait_for_change(&shared, CHECK_INTERVAL).await;
            continue;
        }
        match claim(&shared, partition).await {
            Ok(Some(term)) => {
                let lease = term.lease;
                let reason = role::run(&shared, term).await;
                info!(shared.log, "role: given up"; "partition" => partition, "reason" => &reason);
                barred_until = clock::now() + RECLAIM_PAUSE;
                if let Err(error) = shared.store.revoke_lease(lease, CALL_TIMEOUT).await {
                    warn!(shared.log, "role: lease cannot be revoked, it expires by itself";
                        "partition" => partition, "error" => %error);
                }
            }
            Ok(None) => site::wait_for_change(&shared, CHECK_INTERVAL).await,
            Err(error) => {
                warn!(shared.log, "role: cannot be taken, trying again";
                    "partition" => partition, "error" => %error);
                shared.health.record_failure();
                site::wait_for_change(&shared, CHECK_INTERVAL).await;
            }
        }
    }
}

fn is_vacant(shared: &Shared, partition: Partition) -> bool {
    let control = shared.control.borrow();
    control.loaded && control.topology.holder(partition).is_none()
}

/// Returns for how long this entry lets others claim a partition first.
fn delay(shared: &Shared, partition: Partition) -> Duration {
    let settings = &shared.settings;
    let control = shared.control.borrow();
    let claimant = Claimant {
        entry: &settings.entry,
        cores: settings.cores,
        held: control.topology.held_by(&settings.entry).len(),
        zone_held: control.topology.held_in(&settings.zone),
    };
    claim_delay(partition, &claimant)
}

async fn claim(shared: &Shared, partition: Partition) -> Result<Option<Term>, Error> {
    let started_at = clock::now();
    let (lease, _) = shared
        .store
        .grant_lease(lease_ttl(shared), CALL_TIMEOUT)
        .await?;
    let session = format!("{}-{}", shared.settings.entry, started_at.as_nanos());
    let mut term = Term {
        partition,
        fence: 0,
        lease,
        revision: Rc::new(Cell::new(0)),
        session,
        contact: Rc::new(Cell::new(Contact::new(started_at))),
    };
    let holder = HolderRow {
        entry: shared.settings.entry.clone(),
        zone: shared.settings.zone.clone(),
    };
    let holder = serde_json::to_vec(&holder);
    let holder = holder.map_err(|error| Error::NotExecuted(error.to_string()))?;
    let commit = Commit {
        expect: vec![(keys::role(partition), 0)],
        writes: vec![
            (keys::role(partition), holder, lease),
            (keys::chain(partition), term.chain_value(0), 0),
        ],
        removes: Vec::new(),
    };
    match shared.store.commit(&commit, CALL_TIMEOUT).await? {
        Outcome::Done(revision) => {
            term.fence = revision;
            term.revision.set(revision);
            info!(shared.log, "role: taken"; "partition" => partition, "fence" => revision,
                "lease" => lease);
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
                let mut contact = term.contact.get();
                contact.renew(sent);
                term.contact.set(contact);
                failing = false;
            }
            Ok(false) => {
                let mut contact = term.contact.get();
                contact.end();
                term.contact.set(contact);
                // The receiver is gone only if the role has been given up.
                let _ = inbox.send(Message::Lost("the lease has ended".into()));
                return;
            }
            Err(error) => {
                shared.health.record_failure();
                if !std::mem::replace(&mut failing, true) {
                    warn!(shared.log, "role: lease cannot be renewed, trying again";
                        "partition" => term.partition, "error" => %error);
                }
            }
        }
    }
}
