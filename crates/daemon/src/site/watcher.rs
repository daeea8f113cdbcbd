//! Watches on the store: the configuration and all jobs.

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

/// Time for which a watch waits; bounds how long a silent connection stays unnoticed.
const WAIT: Duration = Duration::from_millis(700);

/// Time for an answer beyond a watch's wait.
pub(super) const CALL: Duration = Duration::from_millis(500);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(100);

/// Pause between two reads of a busy watch on all jobs.
const PACE: Duration = Duration::from_millis(120);

/// A watch that starts with a whole read and goes on by changes.
pub(super) struct Watch {
    shared: Rc<Shared>,
    prefix: &'static str,
    connection: Connection,
    after: Option<Revision>,
}

/// What a watch saw.
pub(super) enum Seen {
    /// All items below the prefix.
    All(Vec<wigeonhinge_platform::store::Item>),
    /// Changes since then.
    Changes(Vec<Change>),
}

impl Watch {
    pub(super) fn open(shared: &Rc<Shared>, prefix: &'static str) -> Self {
        Self {
            shared: Rc::clone(shared),
            prefix,
            connection: shared.store.connection(),
            after: None,
        }
    }

    /// Returns a watch that goes on from a revision.
    pub(super) fn after(mut self, revision: Revision) -> Self {
        self.after = Some(revision);
        self
    }

    /// Waits for what comes next; repeats failed calls.
    pub(super) async fn next(&mut self) -> Seen {
        loop {
            match self.step().await {
                Ok(Some(seen)) => {
                    self.shared.health.good();
                    return seen;
                }
                Ok(None) => self.shared.health.good(),
                Err(error) => {
                    if !self.shared.health.failing() {
                        let prefix = self.prefix;
                        warn!(self.shared.log, "watch: the store does not answer";
                            "prefix" => prefix, "error" => %error);
                    }
                    self.shared.health.bad();
                    compio::time::sleep(RETRY).await;
                }
            }
        }
    }

    async fn step(&mut self) -> Result<Option<Seen>, Error> {
        let store = self.shared.store.clone();
        let Some(after) = self.after else {
            let (items, revision) = store.range(self.prefix, CALL).await?;
            self.after = Some(revision);
            return Ok(Some(Seen::All(items)));
        };
        let watched = store
            .watch(&mut self.connection, (self.prefix, after), WAIT, CALL)
            .await?;
        match watched {
            WatchResponse::Changes(changes, revision) => {
                self.after = Some(revision.max(after));
                Ok((!changes.is_empty()).then_some(Seen::Changes(changes)))
            }
            WatchResponse::Compacted => {
                info!(self.shared.log, "watch: the history is gone, reading anew";
                    "prefix" => self.prefix, "after" => after);
                self.after = None;
                Ok(None)
            }
        }
    }
}

/// Follows the configuration; a lower version than the one in force is not taken.
pub(super) async fn follow_config(shared: Rc<Shared>) {
    let mut watch = Watch::open(&shared, records::OPERATOR_PREFIX);
    loop {
        let items = match watch.next().await {
            Seen::All(items) => items,
            Seen::Changes(changes) => changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Set(item) => Some(item),
                    Change::Removed { .. } => None,
                })
                .collect(),
        };
        for item in items {
            if item.key == records::CONFIG_KEY {
                adopt(&shared, &item.value);
            }
        }
        shared.changed.notify(usize::MAX);
    }
}

fn adopt(shared: &Shared, value: &[u8]) {
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
    let mut watch = Watch::open(&shared, keys::ALL);
    loop {
        let seen = watch.next().await;
        let role = {
            let mut replica = shared.replica.borrow_mut();
            let before = replica.role.is_some();
            match seen {
                Seen::All(items) => replica.load(items),
                Seen::Changes(changes) => changes.iter().for_each(|it| replica.apply(it)),
            }
            for (key, reason) in replica.take_unreadable() {
                warn!(shared.log, "watch: entry skipped"; "key" => key, "reason" => reason);
            }
            before != replica.role.is_some()
        };
        if role {
            shared.changed.notify(usize::MAX);
        }
        compio::time::sleep(PACE).await;
    }
}
