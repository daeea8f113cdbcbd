//! Maintenance waves: requests of operators and stored progress.

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

/// Stored progress of a wave.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct WaveRow {
    pub(super) due_ms: i64,
    pub(super) done: Vec<VmId>,
    pub(super) completed: bool,
}

impl Role {
    pub(super) fn apply_waves(&mut self, items: Vec<Item>) {
        for item in items {
            let wave = match records::decode_wave(&item.value) {
                Ok(wave) => wave,
                Err(reason) => {
                    self.log_invalid(&item.key, &reason);
                    continue;
                }
            };
            self.apply_wave(wave);
        }
    }

    pub(super) fn apply_wave(&mut self, mut wave: Wave) {
        let now_ms = clock::wall_ms();
        let number = wave.number;
        match self.waves.get(&number) {
            Some(row) => {
                let remaining_ms = u64::try_from(row.due_ms - now_ms).unwrap_or(0);
                wave.remaining = Duration::from_millis(remaining_ms);
                wave.done = row.done.iter().cloned().collect();
                wave.completed = row.completed;
            }
            None => {
                let due_ms = now_ms + wave.remaining.as_millis() as i64;
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
        self.apply(Event::Wave(wave));
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
            Ok(value) => self.queue_row(keys::wave(number), value),
            Err(error) => {
                warn!(self.shared.log, "waves: progress cannot be encoded, not storing it";
                    "error" => %error)
            }
        }
        self.queue_row(records::wave_state_key(number), state);
    }
}
