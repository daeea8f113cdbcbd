//! What the holder of the role counts and shows to operators.

use std::fmt::Write;
use std::time::Duration;

use slog::info;
use slog::warn;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::StartReply;

use crate::site::role::Role;

/// What the role did since its standing was last published.
#[derive(Debug, Default)]
pub(super) struct Load {
    /// Rows that were stored.
    pub(super) rows: usize,
    /// Writes that stored them.
    pub(super) writes: usize,
    /// Messages that were handled.
    pub(super) messages: usize,
    /// Longest delay of a tick.
    pub(super) late: Duration,
    /// Longest time of a write.
    pub(super) write: Duration,
}

impl Role {
    /// Counts what workers and machines answered.
    pub(super) fn count(&self, event: &Event) {
        let metrics = &self.shared.metrics;
        match event {
            Event::Report(_, report) => {
                metrics.count("worker.look");
                metrics.add("worker.end", report.finished.len());
            }
            Event::StartAnswered(_, _, _, reply) => metrics.count(match reply {
                StartReply::Started => "start.done",
                StartReply::NoRoom => "start.no_room",
                StartReply::Refused => "start.refused",
                StartReply::Unhealthy => "start.unhealthy",
                StartReply::Unknown => "start.unknown",
            }),
            Event::StopAnswered(..) => metrics.count("stop"),
            Event::OrderAnswered(_, true) => metrics.count("machine.ordered"),
            Event::OrderAnswered(_, false) => metrics.count("machine.refused"),
            _ => {}
        }
    }

    /// Publishes the state of pools and waves for operators.
    pub(super) fn publish(&mut self) {
        let summary = self.batch.summary();
        let waiting = summary.values().map(|it| it.waiting as u64).sum();
        self.shared.metrics.gauge("tasks.waiting", waiting);
        let load = std::mem::take(&mut self.load);
        let mut pools = serde_json::Map::new();
        let mut line = String::new();
        for (pool, it) in summary {
            if it.runs + it.waiting > 0 {
                // Writing to a string cannot fail.
                let _ = write!(
                    line,
                    "{pool} {} workers {} runs {} waiting {}% used; ",
                    it.workers,
                    it.runs,
                    it.waiting,
                    it.used_millicores * 100 / it.total_millicores.max(1)
                );
            }
            let row = serde_json::json!({
                "workers": it.workers, "runs": it.runs, "waiting": it.waiting,
                "used_millicores": it.used_millicores, "total_millicores": it.total_millicores,
            });
            pools.insert(pool.to_string(), row);
        }
        if !line.is_empty() {
            info!(self.shared.log, "role: standing"; "pools" => line, "rows" => load.rows,
                "writes" => load.writes, "messages" => load.messages,
                "late_ms" => load.late.as_millis() as u64,
                "write_ms" => load.write.as_millis() as u64);
        }
        let waves = match serde_json::to_value(&self.waves) {
            Ok(waves) => waves,
            Err(error) => {
                warn!(self.shared.log, "role: waves cannot be shown"; "error" => %error);
                serde_json::Value::Null
            }
        };
        *self.shared.status.borrow_mut() = serde_json::json!({
            "role": true,
            "fence": self.term.fence,
            "pools": pools,
            "waves": waves,
        });
    }
}
