//! Baseline: one queue in order of arrival for all services.
//!
//! It stands better than it could in practice: one queue for all entries, which
//! sees every slot at once.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use wigeonhinge::admit::DEFAULT_QUEUE_LIMIT;

use crate::measure::floods::load::DEADLINE;
use crate::measure::floods::load::Request;
use crate::measure::floods::load::ZONE_ENTRIES;
use crate::measure::floods::world::CALLER;
use crate::measure::floods::world::HOP;
use crate::measure::floods::world::Outcome;
use crate::measure::floods::world::Span;
use crate::measure::floods::world::Trace;
use crate::owner::Owner;
use crate::owner::SLOTS;

/// Where a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Slots {
    /// In its own pool and in the spare pool.
    Own,
    /// In every pool, which gives up that a pool belongs to its owner's work.
    Every,
}

struct Fifo<'a> {
    requests: &'a [Request],
    slots: Slots,
    free: Vec<u32>,
    limit: usize,
    queue: VecDeque<usize>,
    ends: BinaryHeap<Reverse<(Duration, usize)>>,
    trace: Trace,
}

/// Runs the requests through one queue.
pub(super) fn run(owner: Owner, requests: &[Request], slots: Slots) -> Trace {
    let count = |(_, upstreams): &(&str, usize)| u32::try_from(*upstreams).unwrap_or(0) * SLOTS;
    let mut fifo = Fifo {
        requests,
        slots,
        free: owner.services().iter().map(count).collect(),
        limit: DEFAULT_QUEUE_LIMIT * ZONE_ENTRIES * owner.zones().len(),
        queue: VecDeque::new(),
        ends: BinaryHeap::new(),
        trace: Trace::new(requests.len()),
    };
    for (index, request) in requests.iter().enumerate() {
        fifo.finish(request.at);
        if fifo.queue.len() < fifo.limit {
            fifo.queue.push_back(index);
        }
        fifo.start(request.at);
    }
    fifo.finish(Duration::MAX);
    fifo.trace
}

impl Fifo<'_> {
    /// Ends the requests that are due before `now` and starts those that follow.
    fn finish(&mut self, now: Duration) {
        while let Some(&Reverse((end, pool))) = self.ends.peek() {
            if end > now {
                return;
            }
            self.ends.pop();
            self.free[pool] += 1;
            self.start(end);
        }
    }

    fn start(&mut self, now: Duration) {
        while let Some(&index) = self.queue.front() {
            let request = &self.requests[index];
            if request.at + DEADLINE <= now {
                self.queue.pop_front();
                continue;
            }
            let Some(pool) = self.pool(request.service) else {
                return;
            };
            self.queue.pop_front();
            self.free[pool] -= 1;
            let end = now + request.work + 2 * HOP;
            self.ends.push(Reverse((end, pool)));
            self.trace.spans.push(Span {
                pool,
                start: now + HOP,
                end: end - HOP,
            });
            self.trace.outcomes[index] = Outcome {
                answered: end <= request.at + DEADLINE,
                latency: end - request.at + 2 * CALLER,
                sends: 1,
            };
        }
    }

    fn pool(&self, service: usize) -> Option<usize> {
        let open = |pool: &usize| self.free[*pool] > 0;
        let spare = self.free.len() - 1;
        match self.slots {
            Slots::Own => [service, spare].into_iter().find(open),
            Slots::Every => [service].into_iter().chain(0..self.free.len()).find(open),
        }
    }
}
