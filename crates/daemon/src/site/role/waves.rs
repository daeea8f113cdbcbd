//! Maintenance waves: what operators asked for and what was done.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::Wave;
use wigeonhinge::id::VmId;
use wigeonhinge_platform::records;
use wigeonhinge_platform::store::Item;

use crate::site::clock;
use crate::site::keys;
use crate::site::role::Role;

/// What was done for a wave, as it is stored.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct WaveRow {
    pub(super) due_ms: i64,
    pub(super) done: Vec<VmId>,
    pub(super) completed: bool,
}

impl Role {
    pub(super) fn all_waves(&mut self, items: Vec<Item>) {
        for item in items {
            let wave = match records::decode_wave(&item.value) {
                Ok(wave) => wave,
                Err(reason) => {
                    self.unreadable(&item.key, &reason);
                    continue;
                }
            };
            self.wave(wave);
        }
    }

    pub(super) fn wave(&mut self, mut wave: Wave) {
        let wall = clock::wall_ms();
        let number = wave.number;
        match self.waves.get(&number) {
            Some(row) => {
                let left = u64::try_from(row.due_ms - wall).unwrap_or(0);
                wave.remaining = Duration::from_millis(left);
                wave.done = row.done.iter().cloned().collect();
                wave.completed = row.completed;
            }
            None => {
                let due_ms = wall + wave.remaining.as_millis() as i64;
                let row = WaveRow {
                    due_ms,
                    ..WaveRow::default()
                };
                self.waves.insert(number, row);
                info!(self.shared.log, "waves: asked for"; "wave" => number,
                    "machines" => wave.machines.len(), "limit" => wave.limit,
                    "secs" => wave.remaining.as_secs());
            }
        }
        self.handle(Event::Wave(wave));
        self.store_wave(number, false);
    }

    pub(super) fn store_wave(&mut self, number: u64, completed: bool) {
        let done = self.batch.wave_progress(number);
        let Some(row) = self.waves.get_mut(&number) else {
            return;
        };
        row.completed |= completed;
        row.done = done.into_iter().collect();
        let state = records::encode_wave_state(number, row.completed);
        if completed {
            info!(self.shared.log, "waves: completed"; "wave" => number);
        }
        match serde_json::to_vec(row) {
            Ok(value) => self.extra(keys::wave(number), value),
            Err(error) => warn!(self.shared.log, "waves: row"; "error" => %error),
        }
        self.extra(records::wave_state_key(number), state);
    }
}
