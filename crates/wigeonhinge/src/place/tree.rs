//! Index of what each worker can give, by level of preemption.

use std::ops::Range;

use crate::place::capacity::Capacity;

/// Levels of work, the most urgent first: four for work within its team's
/// quota, then four for borrowed work.
pub const LEVELS: usize = 8;

/// Capacity of a worker for a job that may preempt the work of level `n` and
/// above; the last entry is what is free.
pub(crate) type Offer = [Capacity; LEVELS + 1];

/// What a search asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Want {
    /// Level from which on work may be preempted; [`LEVELS`] for none.
    pub(crate) level: usize,
    /// Size that has to fit.
    pub(crate) need: Capacity,
    /// Whether the last workers come first.
    pub(crate) last: bool,
}

/// Tournament tree over the offers of the workers: a search visits only the
/// parts whose greatest offer fits.
#[derive(Clone, Debug)]
pub(crate) struct Tree {
    nodes: Vec<Offer>,
    leaves: usize,
}

impl Tree {
    pub(crate) fn new(workers: usize) -> Self {
        let leaves = workers.next_power_of_two();
        Self {
            nodes: vec![[Capacity::NONE; LEVELS + 1]; 2 * leaves],
            leaves,
        }
    }

    pub(crate) fn set(&mut self, worker: usize, offer: Offer) {
        let mut node = self.leaves + worker;
        self.nodes[node] = offer;
        while node > 1 {
            node /= 2;
            let (left, right) = (&self.nodes[2 * node], &self.nodes[2 * node + 1]);
            let merged = std::array::from_fn(|level| left[level].max(right[level]));
            if merged == self.nodes[node] {
                break;
            }
            self.nodes[node] = merged;
        }
    }

    /// Calls `visit` for each worker of the range whose offer fits, in the
    /// order asked for, until it returns `true`.
    pub(crate) fn search(
        &self,
        range: Range<usize>,
        want: Want,
        visit: &mut dyn FnMut(usize) -> bool,
    ) -> bool {
        self.descend(1, 0..self.leaves, &range, want, visit)
    }

    fn descend(
        &self,
        node: usize,
        span: Range<usize>,
        range: &Range<usize>,
        want: Want,
        visit: &mut dyn FnMut(usize) -> bool,
    ) -> bool {
        let apart = span.end <= range.start || range.end <= span.start;
        if apart || !want.need.fits(self.nodes[node][want.level]) {
            return false;
        }
        if span.len() == 1 {
            return visit(span.start);
        }
        let middle = span.start + span.len() / 2;
        let mut halves = [
            (2 * node, span.start..middle),
            (2 * node + 1, middle..span.end),
        ];
        if want.last {
            halves.reverse();
        }
        let mut halves = halves.into_iter();
        halves.any(|(node, span)| self.descend(node, span, range, want, visit))
    }

    pub(crate) fn bytes(&self) -> usize {
        self.nodes.capacity() * size_of::<Offer>()
    }
}
