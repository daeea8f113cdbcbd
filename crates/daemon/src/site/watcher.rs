//! Watches on the store that keep the configuration and the replica of all jobs current.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;
use wigeonhinge_platform::http::Connection;
use wigeonhinge_platform::records;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Error;
use wigeonhinge_platform::store::Revision;
use wigeonhinge_platform::store::WatchResponse;

use crate::site::Shared;
use crate::site::keys;

/// Time for which the store may delay its response to a watch. A dead connection is noticed after
/// this time and [`CALL_TIMEOUT`].
const POLL_WAIT: Duration = Duration::from_millis(700);

/// Time limit for a response, in addition to the wait of a watch.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause after each update of the watch on all jobs, so that a burst of changes is read in few
/// calls.
const JOBS_PAUSE: Duration = Duration::from_millis(120);

/// Watch on a prefix that starts with a snapshot and continues with changes.
pub(super) struct Watch {
    shared: Rc<Shared>,
    prefix: &'static str,
    connection: Connection,
    after: Option<Revision>,
}

/// Update that a watch reports.
pub(super) enum Update {
    /// All items whose keys have the prefix.
    Snapshot(Vec<wigeonhinge_platform::store::Item>),
    /// Changes since the last update.
    Changes(Vec<Change>),
}

impl Watch {
    pub(super) fn new(shared: &Rc<Shared>, prefix: &'static str) -> Self {
        Self {
            shared: Rc::clone(shared),
            prefix,
            connection: shared.store.connection(),
            after: None,
        }
    }

    /// Makes the watch continue from a revision instead of a snapshot.
    pub(super) fn resume_from(mut self, revision: Revision) -> Self {
        self.after = Some(revision);
        self
    }

    /// Waits for the next update; retries failed calls.
    pub(super) async fn next(&mut self) -> Update {
        loop {
            match self.poll().await {
                Ok(Some(update)) => {
                    self.shared.health.record_success();
                    return update;
                }
                Ok(None) => self.shared.health.record_success(),
                Err(error) => {
                    if !self.shared.health.is_failing() {
                        let prefix = self.prefix;
                        warn!(self.shared.log, "watch: the store does not answer";
                            "prefix" => prefix, "error" => %error);
                    }
                    self.shared.health.record_failure();
                    compio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn poll(&mut self) -> Result<Option<Update>, Error> {
        let store = self.shared.store.clone();
        let Some(after) = self.after else {
            let (items, revision) = store.range(self.prefix, CALL_TIMEOUT).await?;
            self.after = Some(revision);
            return Ok(Some(Update::Snapshot(items)));
        };
        let watched = store
            .watch(
                &mut self.connection,
                (self.prefix, after),
                POLL_WAIT,
                CALL_TIMEOUT,
            )
            .await?;
        match watched {
            WatchResponse::Changes(changes, revision) => {
                self.after = Some(revision.max(after));
                Ok((!changes.is_empty()).then_some(Update::Changes(changes)))
            }
            WatchResponse::Compacted => {
                info!(self.shared.log, "watch: history is compacted, reading a new snapshot";
                    "prefix" => self.prefix, "after" => after);
                self.after = None;
                Ok(None)
            }
        }
    }
}

/// Follows the configuration; a version that is not higher than the one in force is ignored.
pub(super) async fn follow_config(shared: Rc<Shared>) {
    let mut watch = Watch::new(&shared, records::OPERATOR_PREFIX);
    loop {
        let items = match watch.next().await {
            Update::Snapshot(items) => items,
            Update::Changes(changes) => changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Set(item) => Some(item),
                    Change::Removed { .. } => None,
                })
                .collect(),
        };
        for item in items {
            if item.key == records::CONFIG_KEY {
                adopt_config(&shared, &item.value);
            }
        }
        shared.change.notify(usize::MAX);
    }
}

fn adopt_config(shared: &Shared, value: &[u8]) {
    let catalog = match records::decode_config(value) {
        Ok(catalog) => catalog,
        Err(reason) => {
            warn!(shared.log, "watch: unreadable configuration"; "reason" => reason);
            return;
        }
    };
    let mut current = shared.catalog.borrow_mut();
    let version = current.as_ref().map_or(0, |it| it.version);
    if catalog.version > version {
        info!(shared.log, "watch: configuration is in force"; "version" => catalog.version,
            "before" => version, "queues" => catalog.queues().len());
        *current = Some(Rc::new(catalog));
    }
}

/// Follows all jobs and the role's key.
pub(super) async fn follow_jobs(shared: Rc<Shared>) {
    let mut watch = Watch::new(&shared, keys::REPLICATED);
    loop {
        let update = watch.next().await;
        let role = {
            let mut replica = shared.replica.borrow_mut();
            let before = replica.role_revision.is_some();
            match update {
                Update::Snapshot(items) => replica.load(items),
                Update::Changes(changes) => changes.iter().for_each(|it| replica.apply(it)),
            }
            for (key, reason) in replica.take_unreadable() {
                warn!(shared.log, "watch: item cannot be decoded, ignoring it";
                    "key" => key, "reason" => reason);
            }
            before != replica.role_revision.is_some()
        };
        if role {
            shared.change.notify(usize::MAX);
        }
        compio::time::sleep(JOBS_PAUSE).await;
    }
}
