//! Start of a term: reads the state from the store and starts the watches that continue from it.

use std::collections::BTreeMap;
use std::rc::Rc;

use compact_str::CompactString;
use compio::runtime::JoinHandle;
use flume::Sender;
use futures_util::future;
use slog::info;
use wigeonhinge::Time;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::JobRow;
use wigeonhinge::batch::OrderLog;
use wigeonhinge::batch::OrdersRow;
use wigeonhinge::batch::ProgressRow;
use wigeonhinge::batch::StateRow;
use wigeonhinge_platform::records;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Error;
use wigeonhinge_platform::store::Item;
use wigeonhinge_platform::store::Revision;

use crate::site::Shared;
use crate::site::keys;
use crate::site::role::Message;
use crate::site::role::Role;
use crate::site::watcher::CALL_TIMEOUT;
use crate::site::watcher::Update;
use crate::site::watcher::Watch;

/// Content of the store at the start of a term. Inputs and workers come with the revision from
/// which their watches continue.
pub(super) struct Snapshot {
    pub(super) inputs: (Vec<Item>, Revision),
    pub(super) progress: Vec<Item>,
    pub(super) states: Vec<Item>,
    pub(super) workers: (Vec<Item>, Revision),
    pub(super) waves: Vec<Item>,
    pub(super) wave_rows: Vec<Item>,
    pub(super) orders: Option<Item>,
}

pub(super) async fn load(shared: &Shared) -> Result<Snapshot, Error> {
    let store = &shared.store;
    let jobs = future::join3(
        store.range(keys::INPUT, CALL_TIMEOUT),
        store.range(keys::PROGRESS, CALL_TIMEOUT),
        store.range(keys::STATES, CALL_TIMEOUT),
    );
    let fleet = future::join3(
        store.range(records::WORKER_PREFIX, CALL_TIMEOUT),
        store.range(records::WAVE_PREFIX, CALL_TIMEOUT),
        store.range(keys::WAVES, CALL_TIMEOUT),
    );
    let ((inputs, progress, states), (workers, waves, wave_rows)) = future::join(jobs, fleet).await;
    Ok(Snapshot {
        inputs: inputs?,
        progress: progress?.0,
        states: states?.0,
        workers: workers?,
        waves: waves?.0,
        wave_rows: wave_rows?.0,
        orders: store.get(keys::ORDERS, CALL_TIMEOUT).await?,
    })
}

impl Role {
    /// Restores the scheduler's state from the store.
    pub(super) fn restore(&mut self, snapshot: Snapshot, now: Time) {
        self.replace_workers(snapshot.workers.0);
        let mut progress = BTreeMap::new();
        for item in snapshot.progress {
            match serde_json::from_slice::<ProgressRow>(&item.value) {
                Ok(row) => {
                    progress.insert(item.key, row);
                }
                Err(error) => self.log_invalid(&item.key, &error.to_string()),
            }
        }
        for item in snapshot.states {
            match serde_json::from_slice::<StateRow>(&item.value) {
                Ok(row) if row.phase.terminal() => {
                    let id = item.key.strip_prefix(keys::STATES).unwrap_or(&item.key);
                    self.batch.restore_ended(id.into(), now);
                }
                Ok(_) => {}
                Err(error) => self.log_invalid(&item.key, &error.to_string()),
            }
        }
        let mut cancels = Vec::new();
        let mut count = 0;
        for item in snapshot.inputs.0 {
            if let Some(id) = item.key.strip_prefix(keys::CANCELS) {
                cancels.push(CompactString::from(id));
                continue;
            }
            match serde_json::from_slice::<JobRow>(&item.value) {
                Ok(row) => {
                    let progress = progress.remove(&keys::progress(&row.id));
                    self.batch.restore(row, progress, now);
                    count += 1;
                }
                Err(error) => self.log_invalid(&item.key, &error.to_string()),
            }
        }
        info!(self.shared.log, "role: jobs restored from the store"; "jobs" => count,
            "cancelled" => cancels.len(), "workers" => self.registry.len());
        for job in cancels {
            self.apply(Event::Cancel(job));
        }
        for item in snapshot.wave_rows {
            let number = item.key.strip_prefix(keys::WAVES);
            let number = number.and_then(|it| it.parse().ok());
            if let (Some(number), Ok(row)) = (number, serde_json::from_slice(&item.value)) {
                self.waves.insert(number, row);
            }
        }
        self.apply_waves(snapshot.waves);
        self.restore_orders(snapshot.orders, now);
    }

    /// Bars orders to the machines that orders of a predecessor may still reach.
    pub(super) fn restore_orders(&mut self, row: Option<Item>, now: Time) {
        let Some(row) = row else {
            return;
        };
        match serde_json::from_slice::<OrdersRow>(&row.value) {
            Ok(row) => {
                self.batch.block_orders(&row, now);
                // Keep the predecessor's orders in the log: another takeover may follow before
                // they have expired.
                self.order_log = OrderLog::restore(&row, now);
            }
            Err(error) => self.log_invalid(keys::ORDERS, &error.to_string()),
        }
    }
}

/// Starts the watches on jobs, workers and waves, which report to the role.
pub(super) fn watches(
    shared: &Rc<Shared>,
    snapshot: &Snapshot,
    inbox: &Sender<Message>,
) -> Vec<JoinHandle<()>> {
    let inputs = Watch::new(shared, keys::INPUT).resume_from(snapshot.inputs.1);
    let workers = Watch::new(shared, records::WORKER_PREFIX).resume_from(snapshot.workers.1);
    let waves = Watch::new(shared, records::WAVE_PREFIX);
    let follow = |mut watch: Watch, wrap: fn(Update) -> Message| {
        let inbox = inbox.clone();
        compio::runtime::spawn(async move {
            loop {
                let update = watch.next().await;
                if inbox.send(wrap(update)).is_err() {
                    return;
                }
            }
        })
    };
    vec![
        follow(inputs, |update| match update {
            Update::Snapshot(items) => Message::InputSnapshot(items),
            Update::Changes(changes) => Message::InputChanges(changes),
        }),
        follow(workers, |update| match update {
            Update::Snapshot(items) => Message::WorkerSnapshot(items),
            Update::Changes(changes) => Message::WorkerChanges(changes),
        }),
        follow(waves, |update| match update {
            Update::Snapshot(items) => Message::Waves(items),
            Update::Changes(changes) => {
                let items = changes.into_iter().filter_map(|change| match change {
                    Change::Set(item) => Some(item),
                    Change::Removed { .. } => None,
                });
                Message::Waves(items.collect())
            }
        }),
    ]
}
