//! The start of a term: what the store holds, and the watches that go on from there.

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
use crate::site::watcher::CALL;
use crate::site::watcher::Seen;
use crate::site::watcher::Watch;

/// What the store holds at the start of a term.
pub(super) struct Stored {
    pub(super) inputs: (Vec<Item>, Revision),
    pub(super) progress: Vec<Item>,
    pub(super) states: Vec<Item>,
    pub(super) workers: (Vec<Item>, Revision),
    pub(super) waves: Vec<Item>,
    pub(super) done: Vec<Item>,
    pub(super) orders: Option<Item>,
}

pub(super) async fn load(shared: &Shared) -> Result<Stored, Error> {
    let store = &shared.store;
    let jobs = future::join3(
        store.range(keys::INPUT, CALL),
        store.range(keys::PROGRESS, CALL),
        store.range(keys::STATES, CALL),
    );
    let fleet = future::join3(
        store.range(records::WORKER_PREFIX, CALL),
        store.range(records::WAVE_PREFIX, CALL),
        store.range(keys::WAVES, CALL),
    );
    let ((inputs, progress, states), (workers, waves, done)) = future::join(jobs, fleet).await;
    Ok(Stored {
        inputs: inputs?,
        progress: progress?.0,
        states: states?.0,
        workers: workers?,
        waves: waves?.0,
        done: done?.0,
        orders: store.get(keys::ORDERS, CALL).await?,
    })
}

impl Role {
    /// Takes over what the store holds.
    pub(super) fn restore(&mut self, stored: Stored, now: Time) {
        self.all_workers(stored.workers.0);
        let mut progress = BTreeMap::new();
        for item in stored.progress {
            match serde_json::from_slice::<ProgressRow>(&item.value) {
                Ok(row) => {
                    progress.insert(item.key, row);
                }
                Err(error) => self.unreadable(&item.key, &error.to_string()),
            }
        }
        for item in stored.states {
            match serde_json::from_slice::<StateRow>(&item.value) {
                Ok(row) if row.phase.terminal() => {
                    let id = item.key.strip_prefix(keys::STATES).unwrap_or(&item.key);
                    self.batch.restore_ended(id.into(), now);
                }
                Ok(_) => {}
                Err(error) => self.unreadable(&item.key, &error.to_string()),
            }
        }
        let mut cancels = Vec::new();
        let mut count = 0;
        for item in stored.inputs.0 {
            if let Some(id) = item.key.strip_prefix(keys::CANCELS) {
                cancels.push(CompactString::from(id));
                continue;
            }
            match serde_json::from_slice::<JobRow>(&item.value) {
                Ok(row) => {
                    let done = progress.remove(&keys::progress(&row.id));
                    self.batch.restore(row, done, now);
                    count += 1;
                }
                Err(error) => self.unreadable(&item.key, &error.to_string()),
            }
        }
        info!(self.shared.log, "role: jobs taken over"; "jobs" => count,
            "cancelled" => cancels.len(), "workers" => self.registry.len());
        for job in cancels {
            self.handle(Event::Cancel(job));
        }
        for item in stored.done {
            let number = item.key.strip_prefix(keys::WAVES);
            let number = number.and_then(|it| it.parse().ok());
            if let (Some(number), Ok(row)) = (number, serde_json::from_slice(&item.value)) {
                self.waves.insert(number, row);
            }
        }
        self.all_waves(stored.waves);
        self.bar_machines(stored.orders, now);
    }

    /// Keeps away from the machines that a predecessor may still order.
    pub(super) fn bar_machines(&mut self, row: Option<Item>, now: Time) {
        let Some(row) = row else {
            return;
        };
        match serde_json::from_slice::<OrdersRow>(&row.value) {
            Ok(row) => {
                self.batch.block_orders(&row, now);
                // A second takeover may follow before the bound is over.
                self.ordered = OrderLog::restore(&row, now);
            }
            Err(error) => self.unreadable(keys::ORDERS, &error.to_string()),
        }
    }
}

/// Starts the watches on jobs, workers and waves.
pub(super) fn watches(
    shared: &Rc<Shared>,
    stored: &Stored,
    inbox: &Sender<Message>,
) -> Vec<JoinHandle<()>> {
    let inputs = Watch::open(shared, keys::INPUT).after(stored.inputs.1);
    let workers = Watch::open(shared, records::WORKER_PREFIX).after(stored.workers.1);
    let waves = Watch::open(shared, records::WAVE_PREFIX);
    let follow = |mut watch: Watch, wrap: fn(Seen) -> Message| {
        let inbox = inbox.clone();
        compio::runtime::spawn(async move {
            loop {
                let seen = watch.next().await;
                if inbox.send(wrap(seen)).is_err() {
                    return;
                }
            }
        })
    };
    vec![
        follow(inputs, |seen| match seen {
            Seen::All(items) => Message::Inputs(items),
            Seen::Changes(changes) => Message::Input(changes),
        }),
        follow(workers, |seen| match seen {
            Seen::All(items) => Message::Workers(items),
            Seen::Changes(changes) => Message::Registry(changes),
        }),
        follow(waves, |seen| match seen {
            Seen::All(items) => Message::Waves(items),
            Seen::Changes(changes) => {
                let items = changes.into_iter().filter_map(|change| match change {
                    Change::Set(item) => Some(item),
                    Change::Removed { .. } => None,
                });
                Message::Waves(items.collect())
            }
        }),
    ]
}
