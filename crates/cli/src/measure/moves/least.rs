//! The least number of moves that meets the lasting demand of a trace, by a flow of least cost.
//!
//! VMs flow through the phases. Staying in a pool is free, and changing it costs 1. Each pool keeps
//! its floor, and every VM of lasting demand that is met in a phase earns far more than a move
//! costs, so that demand is met first and with the fewest moves.

use std::collections::VecDeque;

use crate::measure::moves::trace::Trace;

/// What a VM earns where it is needed, in moves.
const NEEDED: i64 = 1_000;

/// What a VM earns where a floor needs it, in moves.
const FLOOR: i64 = 1_000_000;

/// Share of its VMs that a pool may use before it counts as short of VMs.
const FULL: f64 = 0.9;

/// Returns the least number of moves.
pub(crate) fn least(trace: &Trace) -> u32 {
    let pools = trace.pools.len();
    let phases = trace.phases.len();
    // For each phase: a hub, an entry and an exit of each pool; then the source and the sink.
    let width = 1 + 2 * pools;
    let (source, sink) = (phases * width, phases * width + 1);
    let mut graph = Graph::new(phases * width + 2);
    for (phase, (_, levels)) in trace.phases.iter().enumerate() {
        let hub = phase * width;
        for (pool, level) in levels.iter().enumerate() {
            let entry = hub + 1 + 2 * pool;
            let floor = i64::from(trace.floors[pool]);
            let need = ((level / FULL - 1e-9).ceil() as i64).max(floor);
            graph.add(entry, entry + 1, floor, -FLOOR);
            graph.add(entry, entry + 1, need - floor, -NEEDED);
            graph.add(entry, entry + 1, i64::MAX / 4, 0);
            graph.add(hub, entry, i64::MAX / 4, 0);
            let size = i64::from(trace.sizes[pool]);
            if phase == 0 {
                graph.add(source, entry, size, 0);
                graph.add(source, hub, 0, 0);
            }
            if phase + 1 == phases {
                graph.add(entry + 1, sink, i64::MAX / 4, 0);
            } else {
                graph.add(entry + 1, entry + width, i64::MAX / 4, 0);
                graph.add(entry + 1, hub + width, i64::MAX / 4, 1);
            }
        }
    }
    graph.push_all(source, sink);
    let moves = graph.cost_of_hubs(width, phases);
    u32::try_from(moves).unwrap_or(u32::MAX)
}

struct Edge {
    to: usize,
    left: i64,
    flow: i64,
    cost: i64,
}

/// A flow network; each edge is followed by its reverse.
struct Graph {
    edges: Vec<Edge>,
    out: Vec<Vec<usize>>,
}

impl Graph {
    fn new(nodes: usize) -> Self {
        Self {
            edges: Vec::new(),
            out: vec![Vec::new(); nodes],
        }
    }

    fn add(&mut self, from: usize, to: usize, left: i64, cost: i64) {
        if left <= 0 {
            return;
        }
        self.half(from, to, left, cost);
        self.half(to, from, 0, -cost);
    }

    fn half(&mut self, from: usize, to: usize, left: i64, cost: i64) {
        self.out[from].push(self.edges.len());
        let flow = 0;
        self.edges.push(Edge {
            to,
            left,
            flow,
            cost,
        });
    }

    /// Pushes all flow along the cheapest paths.
    fn push_all(&mut self, source: usize, sink: usize) {
        while let Some(path) = self.cheapest(source, sink) {
            let amounts = path.iter().map(|&edge| self.edges[edge].left);
            let amount = amounts.min().unwrap_or(0);
            for edge in path {
                self.edges[edge].left -= amount;
                self.edges[edge].flow += amount;
                self.edges[edge ^ 1].left += amount;
                self.edges[edge ^ 1].flow -= amount;
            }
        }
    }

    /// Returns the edges of the cheapest path with room; costs may be negative, cycles never are.
    fn cheapest(&self, source: usize, sink: usize) -> Option<Vec<usize>> {
        let mut cost = vec![i64::MAX; self.out.len()];
        let mut by = vec![None; self.out.len()];
        let mut queue = VecDeque::from([source]);
        let mut queued = vec![false; self.out.len()];
        cost[source] = 0;
        while let Some(node) = queue.pop_front() {
            queued[node] = false;
            for &index in &self.out[node] {
                let edge = &self.edges[index];
                let next = cost[node] + edge.cost;
                if edge.left == 0 || next >= cost[edge.to] {
                    continue;
                }
                cost[edge.to] = next;
                by[edge.to] = Some(index);
                if !queued[edge.to] {
                    queued[edge.to] = true;
                    queue.push_back(edge.to);
                }
            }
        }
        let mut path = Vec::new();
        let mut node = sink;
        while node != source {
            let index: usize = by[node]?;
            path.push(index);
            node = self.edges[index ^ 1].to;
        }
        Some(path)
    }

    /// Returns the flow over the edges that cost a move.
    fn cost_of_hubs(&self, width: usize, phases: usize) -> i64 {
        let hubs = (1..phases).map(|phase| phase * width);
        hubs.flat_map(|hub| &self.out[hub])
            .map(|&edge| self.edges[edge].flow.max(0))
            .sum()
    }
}
