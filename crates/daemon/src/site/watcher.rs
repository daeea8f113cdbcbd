//! Watches on the store that keep the configuration and the division of the fleet current.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future;
use futures_util::future::Either;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::workspace::Workspaces;
use wigeonhinge_platform::http::Connection;
use wigeonhinge_platform::records;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Error;
use wigeonhinge_platform::store::Item;
use wigeonhinge_platform::store::Range;
use wigeonhinge_platform::store::Revision;
use wigeonhinge_platform::store::Store;
use wigeonhinge_platform::store::WatchResponse;

use crate::site::Shared;
use crate::site::clock;
use crate::site::keys;

/// Time for which the store may delay its response to a watch. A dead connection is noticed after
/// this time and the time limit of the call.
const POLL_WAIT: Duration = Duration::from_millis(1_500);

/// Same as [`POLL_WAIT`], for the configuration: a change is in force within 2 s, also if the watch
/// is lost just before the store returns, unnoticed by other calls.
const CONFIG_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Shortest and longest time limit for a response, in addition to the wait of a watch. The limit
/// doubles with each failure, as a slow link may delay responses for seconds.
const CALL_TIMEOUT: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));

/// First and longest pause after a failed call; the pause doubles with each failure, so that calls
/// that fail for lack of bandwidth do not keep the link full.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(800));

/// Time limit and pause that grow with failures.
#[derive(Debug)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(super) fn new() -> Self {
        Self { failures: 0 }
    }

    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Returns the time limit of the next call.
    pub(super) fn timeout(&self) -> Duration {
        doubled(CALL_TIMEOUT, self.failures)
    }

    /// Waits after a failed call, until the store returns if it was silent. `returns` are those of
    /// the store before the call.
    pub(super) async fn pause(&mut self, store: &Store, returns: u64) {
        let pause = doubled(RETRY_PAUSE, self.failures);
        self.failures = self.failures.saturating_add(1);
        compio::time::sleep(RETRY_PAUSE.0).await;
        let rest = pause.saturating_sub(RETRY_PAUSE.0);
        let rest = compio::time::sleep(rest);
        let returned = Box::pin(store.returned(returns));
        if let Either::Left((_, rest)) = future::select(returned, Box::pin(rest)).await
            && !store.outage_ended(returns)
        {
            rest.await;
        }
        if store.outage_ended(returns) {
            // The failures in the outage tell nothing about the link's bandwidth.
            self.failures = 0;
        }
    }
}

fn doubled((first, longest): (Duration, Duration), times: u32) -> Duration {
    (first * 2u32.saturating_pow(times.min(8))).min(longest)
}

/// Reads all items whose keys have a prefix, and the revision from which a watch continues.
///
/// Failed calls are repeated, and the pages that were read are kept.
pub(super) async fn read_range(shared: &Shared, prefix: &str) -> (Vec<Item>, Revision) {
    let mut range = Range::new(prefix);
    let mut backoff = Backoff::new();
    while !range.is_complete() {
        let returns = shared.store.returns();
        match shared.store.read_page(&mut range, backoff.timeout()).await {
            Ok(()) => {
                shared.health.record_success();
                backoff.succeeded();
            }
            Err(error) => {
                if backoff.failures == 0 {
                    warn!(shared.log, "watch: a page cannot be read, trying again";
                        "prefix" => prefix, "items" => range.len(), "error" => %error);
                }
                shared.health.record_failure();
                backoff.pause(&shared.store, returns).await;
            }
        }
    }
    range.into_parts()
}

/// Watch on a prefix that starts with a snapshot and continues with changes.
pub(super) struct Watch {
    shared: Rc<Shared>,
    prefix: String,
    connection: Connection,
    after: Option<Revision>,
    wait: Duration,
    backoff: Backoff,
    /// When the last answered call was sent.
    current_at: Rc<Cell<Time>>,
}

/// Update that a watch reports.
pub(super) enum Update {
    /// All items whose keys have the prefix, as of a revision or later.
    Snapshot(Vec<Item>, Revision),
    /// Changes since the last update.
    Changes(Vec<Change>),
}

impl Watch {
    pub(super) fn new(shared: &Rc<Shared>, prefix: &str) -> Self {
        Self {
            shared: Rc::clone(shared),
            prefix: prefix.to_owned(),
            connection: shared.store.connection(),
            after: None,
            wait: POLL_WAIT,
            backoff: Backoff::new(),
            current_at: Rc::default(),
        }
    }

    /// Creates the watch on the configuration, which records when the configuration was current.
    fn on_config(shared: &Rc<Shared>) -> Self {
        Self {
            wait: CONFIG_POLL_WAIT,
            current_at: Rc::clone(&shared.config_current_at),
            ..Self::new(shared, records::OPERATOR_PREFIX)
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
            let sent = clock::now();
            let Some(after) = self.after else {
                let (items, revision) = read_range(&self.shared, &self.prefix).await;
                self.current_at.set(sent);
                self.after = Some(revision);
                return Update::Snapshot(items, revision);
            };
            let returns = self.shared.store.returns();
            match self.poll(after).await {
                Ok(changes) => {
                    self.backoff.succeeded();
                    // A compacted history does not tell what has changed.
                    if self.after.is_some() {
                        self.current_at.set(sent);
                    }
                    self.shared.health.record_success();
                    if !changes.is_empty() {
                        return Update::Changes(changes);
                    }
                }
                Err(error) => {
                    if !self.shared.health.is_failing() {
                        warn!(self.shared.log, "watch: the store does not answer";
                            "prefix" => &self.prefix, "error" => %error);
                    }
                    self.shared.health.record_failure();
                    self.backoff.pause(&self.shared.store, returns).await;
                }
            }
        }
    }

    async fn poll(&mut self, after: Revision) -> Result<Vec<Change>, Error> {
        let store = self.shared.store.clone();
        let from = (self.prefix.as_str(), after);
        let timeout = self.backoff.timeout();
        // After a failure, a response without a wait tells soonest whether the store is back.
        let wait = match self.backoff.failures {
            0 => self.wait,
            _ => Duration::ZERO,
        };
        let watched = store
            .watch(&mut self.connection, from, wait, timeout)
            .await?;
        match watched {
            WatchResponse::Changes(changes, revision) => {
                let mut revisions = self.shared.revisions.borrow_mut();
                revisions.record(revision, clock::now());
                self.after = Some(revision.max(after));
                Ok(changes)
            }
            WatchResponse::Compacted => {
                info!(self.shared.log, "watch: history is compacted, reading a new snapshot";
                    "prefix" => &self.prefix, "after" => after);
                self.after = None;
                Ok(Vec::new())
            }
        }
    }
}

/// Follows the configuration; a version that is not higher than the one in force is ignored.
pub(super) async fn follow_config(shared: Rc<Shared>) {
    let mut watch = Watch::on_config(&shared);
    loop {
        let items = match watch.next().await {
            Update::Snapshot(items, _) => items,
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
    let mut catalog = match records::decode_config(value) {
        Ok(catalog) => catalog,
        Err(reason) => {
            warn!(shared.log, "watch: unreadable configuration"; "reason" => reason);
            return;
        }
    };
    catalog.backfill |= shared.settings.backfill;
    let mut current = shared.catalog.borrow_mut();
    let version = current.as_ref().map_or(0, |it| it.version);
    if catalog.version > version {
        info!(shared.log, "watch: configuration is in force"; "version" => catalog.version,
            "before" => version, "queues" => catalog.queues().len(),
            "workspaces" => catalog.workspaces.as_ref().map(|it| it.iter().len()),
            "job_rate" => catalog.workspaces.as_ref().map(Workspaces::total_weight));
        *current = Some(Rc::new(catalog));
    }
}

/// Follows the holders of partitions, the racks and the plans of waves.
pub(super) async fn follow_control(shared: Rc<Shared>) {
    let mut watch = Watch::new(&shared, keys::CONTROL);
    loop {
        let update = watch.next().await;
        let mut control = shared.control.borrow_mut();
        match update {
            Update::Snapshot(items, revision) => control.load(items, revision),
            Update::Changes(changes) => changes.iter().for_each(|it| control.apply(it)),
        }
        for (key, reason) in control.take_unreadable() {
            warn!(shared.log, "watch: item cannot be decoded, ignoring it";
                "key" => key, "reason" => reason);
        }
        drop(control);
        shared.change.notify(usize::MAX);
    }
}
