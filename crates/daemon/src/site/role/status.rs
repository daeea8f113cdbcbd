//! What the holder of the role counts and shows to operators.

use wigeonhinge::batch::Event;
use wigeonhinge::batch::Reply;

use crate::site::role::Role;

impl Role {
    /// Counts what workers and machines answered.
    pub(super) fn count(&self, event: &Event) {
        let metrics = &self.shared.metrics;
        match event {
            Event::Report(_, report) => {
                metrics.count("worker.look");
                metrics.add("worker.end", report.finished.len());
            }
            Event::Started(_, _, _, reply) => metrics.count(match reply {
                Reply::Started => "start.done",
                Reply::NoRoom => "start.no_room",
                Reply::Refused => "start.refused",
                Reply::Unhealthy => "start.unhealthy",
                Reply::Unknown => "start.unknown",
            }),
            Event::Stopped(..) => metrics.count("stop"),
            Event::Ordered(_, true) => metrics.count("machine.ordered"),
            Event::Ordered(_, false) => metrics.count("machine.refused"),
            _ => {}
        }
    }

    /// Publishes the state of pools and waves for operators.
    pub(super) fn publish(&self) {
        let pools = self.batch.summary();
        let waiting = pools.values().map(|(.., waiting)| *waiting as u64).sum();
        self.shared.metrics.gauge("tasks.waiting", waiting);
        let pools = pools.into_iter().map(|(pool, (workers, runs, waiting))| {
            let row = serde_json::json!({ "workers": workers, "runs": runs, "waiting": waiting });
            (pool.to_string(), row)
        });
        let pools: serde_json::Map<String, serde_json::Value> = pools.collect();
        let waves = serde_json::to_value(&self.waves).unwrap_or_default();
        *self.shared.status.borrow_mut() = serde_json::json!({
            "role": true,
            "fence": self.term.fence,
            "pools": pools,
            "waves": waves,
        });
    }
}
