//! Start of a term: reads the state from the store and starts the watches that continue from it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compio::runtime::JoinHandle;
use flume::Receiver;
use flume::Sender;
use futures_util::future;
use futures_util::future::Either;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::batch::JobRow;
use wigeonhinge::batch::OrderLog;
use wigeonhinge::batch::OrdersRow;
use wigeonhinge::batch::ProgressRow;
use wigeonhinge::batch::RestartsRow;
use wigeonhinge::batch::StartsRow;
use wigeonhinge::batch::StateRow;
use wigeonhinge::batch::StoredProgress;
use wigeonhinge::partition::FIRST;
use wigeonhinge_platform::records;
use wigeonhinge_platform::store::Change;
use wigeonhinge_platform::store::Item;
use wigeonhinge_platform::store::Range;
use wigeonhinge_platform::store::Revision;

use crate::site;
use crate::site::Shared;
use crate::site::clock;
use crate::site::election::Term;
use crate::site::keys;
use crate::site::message::Message;
use crate::site::role::MAX_RENEWAL_AGE;
use crate::site::role::Role;
use crate::site::role::waves::WaveRow;
use crate::site::rows;
use crate::site::watcher;
use crate::site::watcher::Backoff;
use crate::site::watcher::Update;
use crate::site::watcher::Watch;

/// Time between two checks whether the role is still held while the state is read.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after each page of old states, so that they do not hold up other work.
const SWEEP_PAUSE: Duration = Duration::from_millis(500);

/// Pause of the watch on accepted jobs after each update, so that a burst is read in few calls.
const INPUT_PAUSE: Duration = Duration::from_millis(15);

/// Pause of the watch on the registry after each update; workers write there every 1.5 s.
const REGISTRY_PAUSE: Duration = Duration::from_millis(100);

/// Content of the store at the start of a term. Inputs and workers come with the revision from
/// which their watches continue.
pub(super) struct Snapshot {
    inputs: (Vec<Item>, Revision),
    progress: Vec<Item>,
    workers: (Vec<Item>, Revision),
    waves: Vec<Item>,
    wave_rows: Vec<Item>,
    orders: Vec<Item>,
    restarts: Vec<Item>,
    starts: Vec<Item>,
    chain: Vec<Item>,
}

/// Reads the state of a partition.
///
/// # Errors
///
/// Fails with the reason if the role is lost before everything is read.
pub(super) async fn load(
    shared: &Shared,
    term: &Term,
    messages: &Receiver<Message>,
) -> Result<Snapshot, String> {
    let (inputs, progress) = (
        keys::inputs(term.partition),
        keys::progress_rows(term.partition),
    );
    let (wave_rows, orders) = (
        keys::wave_rows(term.partition),
        keys::orders(term.partition),
    );
    let restarts = keys::restarts(term.partition);
    let starts = keys::starts(term.partition);
    let chain = keys::chain(term.partition);
    let read = |prefix| watcher::read_range(shared, prefix);
    let jobs = future::join(read(&inputs), read(&progress));
    let fleet = future::join3(
        read(records::WORKER_PREFIX),
        read(records::WAVE_PREFIX),
        read(&wave_rows),
    );
    let reads = async {
        // Every rack that an earlier holder gave away was given before this term's key was created.
        while shared
            .control
            .borrow()
            .revision(&keys::role(term.partition))
            != Some(term.fence)
        {
            site::wait_for_change(shared, CHECK_INTERVAL).await;
        }
        let handover = future::join4(read(&orders), read(&restarts), read(&starts), read(&chain));
        future::join3(jobs, fleet, handover).await
    };
    let lost = role_lost(shared, term, messages);
    match future::select(Box::pin(reads), Box::pin(lost)).await {
        Either::Left(((jobs, fleet, (orders, restarts, starts, chain)), _)) => {
            let (workers, waves, wave_rows) = fleet;
            let (inputs, progress) = jobs;
            Ok(Snapshot {
                inputs,
                progress: progress.0,
                workers,
                waves: waves.0,
                wave_rows: wave_rows.0,
                orders: orders.0,
                restarts: restarts.0,
                starts: starts.0,
                chain: chain.0,
            })
        }
        Either::Right((reason, _)) => Err(reason),
    }
}

/// Waits until the role is lost or the entry stops; returns the reason.
async fn role_lost(shared: &Shared, term: &Term, messages: &Receiver<Message>) -> String {
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        for message in messages.try_iter() {
            if let Message::Lost(reason) = message {
                return reason;
            }
        }
        if shared.draining.get() {
            return "the entry is stopping".into();
        }
        if clock::now().saturating_sub(term.contact.get().renewed_at()) > MAX_RENEWAL_AGE {
            return "the state of the partition cannot be read from the store".into();
        }
    }
}

impl Role {
    /// Restores the scheduler's state from the store.
    pub(super) fn restore(&mut self, snapshot: Snapshot, now: Time) {
        let chain = keys::chain(self.term.partition);
        let chain = snapshot.chain.iter().find(|item| item.key == chain);
        // The first claim of the partition creates the key.
        if chain.is_some_and(|item| item.created == self.term.fence) {
            self.batch.begin_first_term();
        }
        self.restore_restarts(snapshot.restarts, now);
        self.restore_starts(snapshot.starts);
        self.replace_workers(snapshot.workers.0);
        let partition = self.term.partition;
        let mut progress = BTreeMap::new();
        for item in snapshot.progress {
            match rows::decode::<ProgressRow>(&item.value) {
                Ok(row) => {
                    let written_by = self.shared.revisions.borrow().written_by(item.revision);
                    let stored = StoredProgress {
                        row,
                        written_by: written_by.unwrap_or(now),
                    };
                    progress.insert(item.key, stored);
                }
                Err(error) => self.log_invalid(&item.key, &error),
            }
        }
        let cancels = keys::cancel(partition, "");
        let mut cancelled = Vec::new();
        let mut count = 0;
        for item in snapshot.inputs.0 {
            if item.key.starts_with(&cancels) {
                cancelled.push(item);
                continue;
            }
            match rows::decode::<JobRow>(&item.value) {
                Ok(row) => {
                    let progress = progress.remove(&keys::progress(partition, &row.id));
                    self.batch.restore(row, progress, now);
                    count += 1;
                }
                Err(error) => self.log_invalid(&item.key, &error),
            }
        }
        info!(self.shared.log, "role: jobs restored from the store"; "partition" => partition,
            "jobs" => count, "cancelled" => cancelled.len(), "workers" => self.registry.len());
        for item in &cancelled {
            self.handle_input(item);
        }
        self.restore_waves(snapshot.waves, snapshot.wave_rows);
        self.restore_orders(snapshot.orders, now);
    }

    fn restore_waves(&mut self, requests: Vec<Item>, items: Vec<Item>) {
        let mut progress: BTreeMap<u64, WaveRow> = BTreeMap::new();
        for item in items {
            let number = item.key.rsplit('/').next().and_then(|it| it.parse().ok());
            match (number, serde_json::from_slice(&item.value)) {
                (Some(number), Ok(row)) => {
                    progress.insert(number, row);
                }
                (_, Err(error)) => self.log_invalid(&item.key, &error.to_string()),
                (None, Ok(_)) => self.log_invalid(&item.key, "no number of a wave"),
            }
        }
        for item in requests {
            match records::decode_wave(&item.value) {
                Ok(request) => {
                    let row = progress.remove(&request.number).unwrap_or_default();
                    self.add_wave(request, row);
                }
                Err(reason) => self.log_invalid(&item.key, &reason),
            }
        }
        self.plan_waves();
    }

    /// Bars orders to the machines that orders of a predecessor may still reach.
    fn restore_orders(&mut self, items: Vec<Item>, now: Time) {
        let key = keys::orders(self.term.partition);
        let Some(item) = items.into_iter().find(|item| item.key == key) else {
            return;
        };
        match serde_json::from_slice::<OrdersRow>(&item.value) {
            Ok(row) => {
                self.batch.block_orders(&row, now);
                // Keep the predecessor's orders in the log: another takeover may follow before
                // they have expired.
                self.order_log = OrderLog::restore(&row, now);
            }
            Err(error) => self.log_invalid(&item.key, &error.to_string()),
        }
    }

    fn restore_restarts(&mut self, items: Vec<Item>, now: Time) {
        let key = keys::restarts(self.term.partition);
        let Some(item) = items.into_iter().find(|item| item.key == key) else {
            return;
        };
        match serde_json::from_slice::<RestartsRow>(&item.value) {
            Ok(row) => self.batch.restore_restarts(&row, now),
            Err(error) => self.log_invalid(&item.key, &error.to_string()),
        }
    }

    fn restore_starts(&mut self, items: Vec<Item>) {
        let key = keys::starts(self.term.partition);
        let Some(item) = items.into_iter().find(|item| item.key == key) else {
            return;
        };
        match serde_json::from_slice::<StartsRow>(&item.value) {
            Ok(row) => {
                info!(self.shared.log, "role: starts without an answer restored from the store";
                    "partition" => self.term.partition, "complete" => row.complete,
                    "starts" => row.unanswered.len());
                self.batch.restore_starts(row);
            }
            Err(error) => self.log_invalid(&item.key, &error.to_string()),
        }
    }

    /// Takes over the removal of the states of ended jobs from earlier holders.
    pub(super) fn restore_states(&mut self, items: Vec<Item>) {
        let now = clock::now();
        for item in items {
            let id = item.key.strip_prefix(keys::STATES).unwrap_or(&item.key);
            match rows::decode::<StateRow>(&item.value) {
                Ok(row) if row.phase.terminal() => {
                    self.batch.restore_ended(CompactString::from(id), now);
                }
                Ok(_) => {}
                Err(error) => self.log_invalid(&item.key, &error),
            }
        }
    }
}

/// Reads the states of all jobs once in each retention time, and reports them to the role.
///
/// A holder removes the states of jobs that ended in its term; those of earlier terms are left.
async fn sweep_states(shared: Rc<Shared>, inbox: Sender<Message>) {
    let retention = Duration::from_secs_f64(shared.settings.bounds.retention_secs);
    loop {
        let mut range = Range::new(keys::STATES);
        let mut backoff = Backoff::new();
        let mut reported = 0;
        while !range.is_complete() {
            compio::time::sleep(SWEEP_PAUSE).await;
            let returns = shared.store.returns();
            if let Err(error) = shared.store.read_page(&mut range, backoff.timeout()).await {
                warn!(shared.log, "role: old states cannot be read, trying again";
                    "error" => %error);
                backoff.pause(&shared.store, returns).await;
                continue;
            }
            backoff.succeeded();
            let page = range.items()[reported..].to_vec();
            reported = range.len();
            if inbox.send(Message::OldStates(page)).is_err() {
                return;
            }
        }
        compio::time::sleep(retention).await;
    }
}

/// Starts the watches on jobs, workers and waves, which report to the role.
pub(super) fn watches(
    shared: &Rc<Shared>,
    term: &Term,
    snapshot: &Snapshot,
    inbox: &Sender<Message>,
) -> Vec<JoinHandle<()>> {
    let inputs = Watch::new(shared, &keys::inputs(term.partition)).resume_from(snapshot.inputs.1);
    let workers = Watch::new(shared, records::WORKER_PREFIX).resume_from(snapshot.workers.1);
    let waves = Watch::new(shared, records::WAVE_PREFIX);
    let follow = |mut watch: Watch, pause: Duration, wrap: fn(Update) -> Message| {
        let inbox = inbox.clone();
        compio::runtime::spawn(async move {
            loop {
                let update = watch.next().await;
                if inbox.send(wrap(update)).is_err() {
                    return;
                }
                compio::time::sleep(pause).await;
            }
        })
    };
    let mut tasks = vec![
        follow(inputs, INPUT_PAUSE, |update| match update {
            Update::Snapshot(items, _) => Message::InputSnapshot(items),
            Update::Changes(changes) => Message::InputChanges(changes),
        }),
        follow(workers, REGISTRY_PAUSE, |update| match update {
            Update::Snapshot(items, _) => Message::WorkerSnapshot(items),
            Update::Changes(changes) => Message::WorkerChanges(changes),
        }),
        follow(waves, Duration::ZERO, |update| match update {
            Update::Snapshot(items, _) => Message::Waves(items),
            Update::Changes(changes) => {
                let items = changes.into_iter().filter_map(|change| match change {
                    Change::Set(item) => Some(item),
                    Change::Removed { .. } => None,
                });
                Message::Waves(items.collect())
            }
        }),
    ];
    if term.partition == FIRST {
        let sweep = sweep_states(Rc::clone(shared), inbox.clone());
        tasks.push(compio::runtime::spawn(sweep));
    }
    tasks
}
