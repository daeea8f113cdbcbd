//! Maintenance waves: requests of operators, their division among partitions, stored progress.
//!
//! The holder of the first partition stores a plan with each partition's share of the wave's limit.
//! Each partition maintains its own machines within its share and stores which ones had their
//! maintenance. Once all parts are complete, the first holder compares them with the request and
//! reports the wave as completed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::Wave;
use wigeonhinge::id::VmId;
use wigeonhinge::partition::FIRST;
use wigeonhinge::partition::Partition;
use wigeonhinge::partition::WavePlan;
use wigeonhinge_platform::records;
use wigeonhinge_platform::store::Item;

use crate::site::clock;
use crate::site::control::PartRow;
use crate::site::keys;
use crate::site::message::Message;
use crate::site::role::Role;
use crate::site::watcher;

/// Stored progress of a wave in one partition.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct WaveRow {
    /// Machines whose maintenance was ordered and accepted.
    pub(super) done: BTreeSet<VmId>,
    /// Whether that is so for all machines of the partition.
    pub(super) begun: bool,
    /// Whether the whole wave was reported as completed; only the first partition sets it.
    pub(super) completed: bool,
}

/// Wave that operators requested.
#[derive(Debug)]
pub(super) struct ActiveWave {
    request: Wave,
    /// Deadline as this holder read it, as Unix time in milliseconds.
    due_ms: i64,
    row: WaveRow,
    /// This partition's share of the limit, once the scheduler knows the wave.
    share: Option<usize>,
    /// Whether the plan was queued for writing.
    planned: bool,
    /// Whether the progress of all partitions is being read.
    checking: bool,
}

impl Role {
    pub(super) fn apply_waves(&mut self, items: Vec<Item>) {
        for item in items {
            match records::decode_wave(&item.value) {
                Ok(wave) => self.add_wave(wave, WaveRow::default()),
                Err(reason) => self.log_invalid(&item.key, &reason),
            }
        }
        self.plan_waves();
        self.apply_plans();
    }

    /// Adds the wave unless it is known.
    pub(super) fn add_wave(&mut self, request: Wave, row: WaveRow) {
        let number = request.number;
        if self.waves.contains_key(&number) {
            return;
        }
        info!(self.shared.log, "waves: asked for"; "wave" => number,
            "machines" => request.machines.len(), "limit" => request.limit,
            "secs" => request.remaining.as_secs());
        let first = self.term.partition == FIRST;
        if first && !row.completed {
            let state = records::encode_wave_state(number, false);
            self.queue_row(records::wave_state_key(number), state);
        }
        let wave = ActiveWave {
            due_ms: clock::wall_ms() + request.remaining.as_millis() as i64,
            request,
            row,
            share: None,
            planned: false,
            checking: false,
        };
        self.waves.insert(number, wave);
    }

    /// Stores a plan for each wave that has none; only the first partition does.
    pub(super) fn plan_waves(&mut self) {
        if self.term.partition != FIRST {
            return;
        }
        let unplanned: Vec<u64> = {
            let control = self.shared.control.borrow();
            let waves = self.waves.iter();
            waves
                .filter(|(number, wave)| !wave.planned && !control.plans.contains_key(number))
                .map(|(number, _)| *number)
                .collect()
        };
        let divided = self.shared.control.borrow().topology.partitions() > 1;
        // The list of machines tells which partitions take part.
        if divided && self.machines.is_empty() {
            return;
        }
        for number in unplanned {
            let Some(wave) = self.waves.get(&number) else {
                continue;
            };
            let machines = self.machines_by_partition(&wave.request);
            let plan = WavePlan::new(wave.due_ms, wave.request.limit, &machines);
            self.queue_json(keys::wave_plan(number), &plan);
            if let Some(wave) = self.waves.get_mut(&number) {
                wave.planned = true;
            }
        }
    }

    fn machines_by_partition(&self, request: &Wave) -> BTreeMap<Partition, usize> {
        let mut machines = BTreeMap::new();
        for machine in &request.machines {
            *machines.entry(self.machine_owner(machine)).or_default() += 1;
        }
        machines
    }

    /// Passes planned waves to the scheduler, with this partition's share of their limits.
    pub(super) fn apply_plans(&mut self) {
        let plans = self.shared.control.borrow().plans.clone();
        for (number, plan) in plans {
            let Some(wave) = self.waves.get_mut(&number) else {
                continue;
            };
            let share = plan.shares.get(&self.term.partition).copied().unwrap_or(0);
            if wave.share == Some(share) {
                continue;
            }
            let event = match wave.share.replace(share) {
                Some(_) => Event::WaveLimit(number, share),
                None => {
                    let left = u64::try_from(plan.due_ms - clock::wall_ms()).unwrap_or(0);
                    Event::Wave(Wave {
                        remaining: Duration::from_millis(left),
                        limit: share,
                        done: wave.row.done.clone(),
                        completed: wave.row.begun,
                        ..wave.request.clone()
                    })
                }
            };
            self.apply(event);
        }
    }

    /// Stores which machines of a wave had their maintenance, if that changed.
    pub(super) fn store_wave(&mut self, number: u64) {
        let done = self.batch.wave_progress(number);
        let partition = self.term.partition;
        let Some(wave) = self.waves.get_mut(&number) else {
            return;
        };
        if wave.row.done.len() == done.len() {
            return;
        }
        wave.row.done = done;
        let row = wave.row.clone();
        self.queue_json(keys::wave_row(partition, number), &row);
    }

    /// Records that the maintenance of all machines of this partition has begun.
    pub(super) fn part_completed(&mut self, number: u64) {
        self.store_wave(number);
        let partition = self.term.partition;
        let Some(wave) = self.waves.get_mut(&number) else {
            return;
        };
        wave.row.begun = true;
        let row = wave.row.clone();
        self.queue_json(keys::wave_row(partition, number), &row);
        info!(self.shared.log, "waves: part completed"; "wave" => number,
            "partition" => partition);
        let undivided = self.shared.control.borrow().topology.partitions() == 1;
        if undivided {
            self.complete_wave(number);
            return;
        }
        let part = PartRow {
            begun: true,
            settled: false,
        };
        self.queue_json(keys::wave_part(number, partition), &part);
    }

    /// Reports parts whose machines are back in service, divides limits again and completes waves.
    pub(super) fn advance_plans(&mut self) {
        if self.shared.control.borrow().topology.partitions() == 1 {
            return;
        }
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        for number in numbers {
            self.report_settled(number);
            if self.term.partition == FIRST {
                self.redivide(number);
                self.check_parts(number);
            }
        }
    }

    fn report_settled(&mut self, number: u64) {
        let part = (number, self.term.partition);
        let reported = self.shared.control.borrow().parts.get(&part).copied();
        let begun = reported.is_some_and(|it| it.begun && !it.settled);
        if begun && self.batch.wave_settled(number, clock::now()) {
            let row = PartRow {
                begun: true,
                settled: true,
            };
            self.queue_json(keys::wave_part(number, part.1), &row);
        }
    }

    /// Passes the shares of partitions that are finished with a wave to the others.
    fn redivide(&mut self, number: u64) {
        let Some(wave) = self.waves.get(&number).filter(|it| !it.row.completed) else {
            return;
        };
        let machines = self.machines_by_partition(&wave.request);
        let (plan, finished) = {
            let control = self.shared.control.borrow();
            let settled = control.parts.iter().filter(|((wave, _), part)| {
                let done = part.settled;
                *wave == number && done
            });
            let finished: BTreeSet<Partition> = settled.map(|((_, it), _)| *it).collect();
            (control.plans.get(&number).cloned(), finished)
        };
        if let Some(mut plan) = plan
            && plan.redivide(wave.request.limit, &machines, &finished)
        {
            self.queue_json(keys::wave_plan(number), &plan);
        }
    }

    /// Reads the progress of all partitions once each of them completed its part.
    fn check_parts(&mut self, number: u64) {
        let complete = {
            let control = self.shared.control.borrow();
            let begun = |partition: &Partition| {
                let part = control.parts.get(&(number, *partition));
                part.is_some_and(|it| it.begun)
            };
            let plan = control.plans.get(&number);
            plan.is_some_and(|plan| plan.shares.keys().all(begun))
        };
        let Some(wave) = self.waves.get_mut(&number) else {
            return;
        };
        if !complete || wave.row.completed || std::mem::replace(&mut wave.checking, true) {
            return;
        }
        let shared = Rc::clone(&self.shared);
        let inbox = self.inbox.clone();
        compio::runtime::spawn(async move {
            let (items, _) = watcher::read_range(&shared, keys::WAVE_PROGRESS).await;
            // The receiver is gone only if the role has been given up.
            let _ = inbox.send(Message::WaveProgress(items));
        })
        .detach();
    }

    /// Completes the waves of which every machine that is still listed had its maintenance.
    pub(super) fn complete_waves(&mut self, items: Vec<Item>) {
        let mut done: BTreeMap<u64, BTreeSet<VmId>> = BTreeMap::new();
        for item in items {
            let number = item.key.rsplit('/').next().and_then(|it| it.parse().ok());
            match (number, serde_json::from_slice::<WaveRow>(&item.value)) {
                (Some(number), Ok(row)) => done.entry(number).or_default().extend(row.done),
                (_, Err(error)) => self.log_invalid(&item.key, &error.to_string()),
                (None, Ok(_)) => self.log_invalid(&item.key, "no number of a wave"),
            }
        }
        let checked = self.waves.iter().filter(|(_, wave)| wave.checking);
        let checked: Vec<u64> = checked.map(|(number, _)| *number).collect();
        for number in checked {
            let Some(wave) = self.waves.get_mut(&number) else {
                continue;
            };
            wave.checking = false;
            let handled = done.remove(&number).unwrap_or_default();
            let open = wave.request.machines.iter();
            let open = open.filter(|it| self.machines.contains_key(*it) && !handled.contains(*it));
            match open.count() {
                0 => self.complete_wave(number),
                open => warn!(self.shared.log, "waves: parts are complete, machines are left";
                    "wave" => number, "machines" => open),
            }
        }
    }

    fn complete_wave(&mut self, number: u64) {
        let partition = self.term.partition;
        let Some(wave) = self.waves.get_mut(&number) else {
            return;
        };
        wave.row.completed = true;
        let row = wave.row.clone();
        info!(self.shared.log, "waves: completed"; "wave" => number);
        self.queue_json(keys::wave_row(partition, number), &row);
        let state = records::encode_wave_state(number, true);
        self.queue_row(records::wave_state_key(number), state);
    }

    /// Returns the requested waves with their progress in this partition, for operators.
    pub(super) fn wave_status(&self) -> BTreeMap<u64, WaveRow> {
        let waves = self.waves.iter();
        waves
            .map(|(number, wave)| (*number, wave.row.clone()))
            .collect()
    }
}
