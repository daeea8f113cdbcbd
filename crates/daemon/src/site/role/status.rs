//! Metrics of the role holder and the status that it shows to operators.

use std::fmt::Write;
use std::time::Duration;

use slog::info;
use slog::warn;
use wigeonhinge::batch::Event;
use wigeonhinge::batch::Size;
use wigeonhinge::batch::StartReply;

use crate::site::role::Role;

/// Load of the role since its status was last published.
#[derive(Debug, Default)]
pub(super) struct LoadStats {
    /// Number of stored job rows.
    pub(super) rows: usize,
    /// Number of writes.
    pub(super) writes: usize,
    /// Number of handled messages.
    pub(super) messages: usize,
    /// Longest delay of a tick.
    pub(super) max_delay: Duration,
    /// Most messages that waited in the inbox at a tick.
    pub(super) max_queue: usize,
    /// Longest duration of a write.
    pub(super) max_write: Duration,
}

impl Role {
    /// Counts an event of a worker or machine in the metrics.
    pub(super) fn count_event(&self, event: &Event) {
        let metrics = &self.shared.metrics;
        match event {
            Event::Report(_, report) => {
                metrics.increment("worker.look");
                metrics.add("worker.end", report.finished.len());
            }
            Event::StartAnswered(_, _, _, reply) => metrics.increment(match reply {
                StartReply::Started => "start.done",
                StartReply::NoRoom => "start.no_room",
                StartReply::Refused => "start.refused",
                StartReply::Unhealthy => "start.unhealthy",
                StartReply::NotSent => "start.not_sent",
                StartReply::Unknown => "start.unknown",
            }),
            Event::StopAnswered(..) => metrics.increment("stop"),
            Event::OrderAnswered(_, true) => metrics.increment("machine.ordered"),
            Event::OrderAnswered(_, false) => metrics.increment("machine.refused"),
            Event::OrderUnanswered(_) => metrics.increment("machine.unanswered"),
            Event::OrderNotSent(_) => metrics.increment("machine.not_sent"),
            _ => {}
        }
    }

    /// Updates the status of pools and waves that operators see.
    pub(super) fn publish_status(&mut self) {
        let summary = self.batch.summary();
        let waiting = summary.values().map(|it| it.waiting as u64).sum();
        self.shared.metrics.set_gauge("tasks.waiting", waiting);
        let reservations = self.batch.take_backfill_counts();
        let counts = [
            ("reservations.made", reservations.made),
            ("reservations.used", reservations.used),
            ("reservations.given_up", reservations.given_up),
        ];
        for (name, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
            self.shared.metrics.add(name, count);
        }
        let load_stats = std::mem::take(&mut self.load_stats);
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
            info!(self.shared.log, "role: standing"; "partition" => self.term.partition,
                "pools" => line,
                "rows" => load_stats.rows, "writes" => load_stats.writes,
                "messages" => load_stats.messages, "queued" => load_stats.max_queue,
                "polled" => self.workers.len(),
                "late_ms" => load_stats.max_delay.as_millis() as u64,
                "write_ms" => load_stats.max_write.as_millis() as u64);
        }
        let waves = match serde_json::to_value(self.wave_status()) {
            Ok(waves) => waves,
            Err(error) => {
                warn!(self.shared.log, "role: waves cannot be encoded, omitting them from the status";
                    "error" => %error);
                serde_json::Value::Null
            }
        };
        let workspaces = self.workspace_status();
        let status = serde_json::json!({
            "fence": self.term.fence,
            "pools": pools,
            "workspaces": workspaces,
            "waves": waves,
        });
        let mut partitions = self.shared.status.borrow_mut();
        partitions.insert(self.term.partition, status);
    }

    /// Returns use, cap and ready tasks of each workspace, and sets the gauges of waiting tasks.
    fn workspace_status(&mut self) -> serde_json::Map<String, serde_json::Value> {
        let mut capped = 0;
        let size = |size: Size| {
            serde_json::json!({
                "millicores": size.millicores, "memory_mb": size.memory_mb,
                "accelerators": size.accelerators,
            })
        };
        let mut rows = serde_json::Map::new();
        for (name, it) in self.batch.workspace_use() {
            capped += it.capped as u64;
            let row = serde_json::json!({
                "used": size(it.used), "cap": size(it.cap), "share": size(it.share),
                "waiting": it.waiting, "capped": it.capped,
            });
            rows.insert(name.to_string(), row);
        }
        self.shared.metrics.set_gauge("caps.held_back", capped);
        rows
    }
}
