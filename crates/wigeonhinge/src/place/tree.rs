//! Index over the capacity of each worker that is free or can be preempted.

use std::ops::Range;

use crate::place::capacity::Capacity;

/// Number of preemption levels, the most urgent first: four for tasks within the
/// quota of their team, then four for tasks that borrow.
pub const LEVELS: usize = 8;

/// Capacity of a worker that a job can use. Element `n` is for a job that may
/// preempt tasks of level `n` and above; the last one is the free capacity.
pub(crate) type Available = [Capacity; LEVELS + 1];

/// Parameters of a search.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Search {
    /// First level that may be preempted; [`LEVELS`] for none.
    pub(crate) level: usize,
    /// Capacity that has to be available.
    pub(crate) need: Capacity,
    /// Whether to visit workers from the end of the range.
    pub(crate) reverse: bool,
}

/// Tournament tree over the available capacity of the workers. An inner node has
/// the component-wise maximum of its children, so that a search skips subtrees
/// in which no worker can fit.
#[derive(Clone, Debug)]
pub(crate) struct CapacityTree {
    nodes: Vec<Available>,
    leaves: usize,
}

impl CapacityTree {
    pub(crate) fn new(workers: usize) -> Self {
        let leaves = workers.next_power_of_two();
        Self {
            nodes: vec![[Capacity::UNUSABLE; LEVELS + 1]; 2 * leaves],
            leaves,
        }
    }

    pub(crate) fn set(&mut self, worker: usize, available: Available) {
        let mut node = self.leaves + worker;
        self.nodes[node] = available;
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

    /// Calls `visit` with each worker of the range that has the capacity, in the
    /// requested order, until it returns `true`. Returns whether it did.
    pub(crate) fn search(
        &self,
        range: Range<usize>,
        search: Search,
        visit: &mut dyn FnMut(usize) -> bool,
    ) -> bool {
        self.descend(1, 0..self.leaves, &range, search, visit)
    }

    fn descend(
        &self,
        node: usize,
        span: Range<usize>,
        range: &Range<usize>,
        search: Search,
        visit: &mut dyn FnMut(usize) -> bool,
    ) -> bool {
        let disjoint = span.end <= range.start || range.end <= span.start;
        if disjoint || !search.need.fits(self.nodes[node][search.level]) {
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
        if search.reverse {
            halves.reverse();
        }
        let mut halves = halves.into_iter();
        halves.any(|(node, span)| self.descend(node, span, range, search, visit))
    }

    pub(crate) fn bytes(&self) -> usize {
        self.nodes.capacity() * size_of::<Available>()
    }
}
