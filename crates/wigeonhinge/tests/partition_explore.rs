//! Exhaustive exploration of a rack that passes between two partitions while their holders change.
//!
//! The model checks the production code of `Topology` and `Ownership`. Around it, the model has a
//! store with the chain keys of both partitions, entries that are frozen and wake up, writes and
//! orders that arrive late, and a worker on the rack that refuses orders with a lower fence.

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;
use rstest::rstest;
use wigeonhinge::partition::Ownership;
use wigeonhinge::partition::Partition;
use wigeonhinge::partition::RackRow;
use wigeonhinge::partition::Topology;

const RACK: &str = "r1";

/// Most terms in one history, of both partitions together.
const MAX_TERMS: usize = 4;

/// Most times that the rack is given.
const MAX_GIFTS: u8 = 2;

/// Most orders in one history.
const MAX_ORDERS: u8 = 2;

/// Rule that a variant removes from the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Removed {
    Nothing,
    /// A term begins with any topology that the entry knows.
    View,
    /// Orders carry the fence of the term only.
    RackFence,
    /// Writes have no condition on the chain key.
    Chain,
    /// A rack is given while a run may exist on it.
    Idle,
    /// The giving holder goes on to use the rack until it sees the new owner.
    Leaving,
}

/// Owner of the rack as stored: the partition and the revision of the row; `None` without a row.
type Owner = Option<(Partition, u64)>;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Term {
    partition: Partition,
    fence: u64,
    /// Revision of the chain key that the next write expects.
    chain: u64,
    view: Owner,
    /// Whether the term gave the rack away.
    gave: bool,
    /// Gift that was sent and has not arrived.
    gift: Option<Partition>,
    /// Whether the holder knows of a run that may exist on the worker.
    run: bool,
    /// Whether the worker answered this term, so that it has its fence.
    polled: bool,
}

/// State of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    revision: u64,
    owner: Owner,
    /// Holder of each partition, as an index of `terms`.
    holders: [Option<usize>; 2],
    chains: [u64; 2],
    /// Whether a run of each partition's jobs on the worker is recorded in the store.
    recorded: [bool; 2],
    terms: Vec<Term>,
    /// Starts on their way to the worker: term and fence.
    orders: Vec<(usize, u64)>,
    orders_sent: u8,
    gifts: u8,
    /// Highest fence that the worker has seen.
    worker_fence: u64,
    /// Terms whose orders the worker accepted, in order, each with the fence.
    accepted: Vec<(usize, u64)>,
    /// Partition of the run on the worker.
    running: Option<Partition>,
    /// Whether two partitions had runs on the worker at a time.
    shared: bool,
}

impl State {
    fn new() -> Self {
        Self {
            revision: 1,
            owner: None,
            holders: [None; 2],
            chains: [1; 2],
            recorded: [false; 2],
            terms: Vec::new(),
            orders: Vec::new(),
            orders_sent: 0,
            gifts: 0,
            worker_fence: 0,
            accepted: Vec::new(),
            running: None,
            shared: false,
        }
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn successors(&self, removed: Removed) -> Vec<Self> {
        let mut next = Vec::new();
        for partition in 0..2 {
            next.extend(self.claims(partition, removed));
            if self.holders[partition as usize].is_some() {
                // The lease ends while the holder is frozen; it does not notice.
                next.push(self.with(|state| state.holders[partition as usize] = None));
            }
        }
        for term in 0..self.terms.len() {
            next.extend(self.term_steps(term, removed));
        }
        for index in 0..self.orders.len() {
            next.push(self.arrive(index));
        }
        next
    }

    /// An entry takes a partition; its topology may lag behind unless it waits for its own key.
    fn claims(&self, partition: Partition, removed: Removed) -> Vec<Self> {
        let index = partition as usize;
        if self.holders[index].is_some() || self.terms.len() == MAX_TERMS {
            return Vec::new();
        }
        let mut views = vec![self.owner];
        if removed == Removed::View && self.owner.is_some() {
            views.push(None);
        }
        let claim = |view: Owner| {
            self.with(|state| {
                state.revision += 1;
                state.chains[index] = state.revision;
                state.holders[index] = Some(state.terms.len());
                state.terms.push(Term {
                    partition,
                    fence: state.revision,
                    chain: state.revision,
                    view,
                    gave: false,
                    gift: None,
                    run: state.recorded[index],
                    polled: false,
                });
            })
        };
        views.into_iter().map(claim).collect()
    }

    fn term_steps(&self, index: usize, removed: Removed) -> Vec<Self> {
        let term = &self.terms[index];
        let (ownership, topology) = (term.ownership(removed), term.topology());
        let mut next = Vec::new();
        if term.view != self.owner {
            next.push(self.with(|state| state.terms[index].view = state.owner));
        }
        if let Some(target) = term.gift {
            next.push(self.store_gift(index, target, removed));
        }
        if !ownership.includes(RACK, &topology) {
            return next;
        }
        let fence = term.order_fence(removed);
        if fence >= self.worker_fence {
            next.push(self.poll(index, fence));
        }
        if self.orders_sent < MAX_ORDERS && !term.run && term.polled {
            next.extend(self.start(index, fence, removed));
        }
        let idle = removed == Removed::Idle || (!term.run && term.polled);
        if idle && self.gifts < MAX_GIFTS && term.gift.is_none() {
            next.push(self.with(|state| {
                state.gifts += 1;
                state.terms[index].gave = true;
                state.terms[index].gift = Some(1 - term.partition);
            }));
        }
        next
    }

    /// The worker answers a poll: the holder learns whether its run exists.
    fn poll(&self, index: usize, fence: u64) -> Self {
        self.with(|state| {
            state.worker_fence = fence;
            let partition = state.terms[index].partition;
            state.terms[index].polled = true;
            if state.running == Some(partition) {
                // The run ends, and its result is stored before the worker forgets it.
                state.running = None;
            }
            let own = |(term, _): &(usize, u64)| *term == index;
            if !state.orders.iter().any(own) {
                state.terms[index].run = false;
                state.recorded[partition as usize] = false;
            }
        })
    }

    /// A start is recorded and sent; without the record it is not sent.
    fn start(&self, index: usize, fence: u64, removed: Removed) -> Option<Self> {
        let mut state = self.clone();
        if !state.write(index, removed) {
            return None;
        }
        state.recorded[state.terms[index].partition as usize] = true;
        state.terms[index].run = true;
        state.orders_sent += 1;
        state.orders.push((index, fence));
        Some(state)
    }

    fn store_gift(&self, index: usize, target: Partition, removed: Removed) -> Self {
        let mut state = self.clone();
        state.terms[index].gift = None;
        if state.write(index, removed) {
            state.owner = Some((target, state.revision));
        }
        state
    }

    /// Executes a write of a term on the condition that its chain key is unchanged.
    fn write(&mut self, index: usize, removed: Removed) -> bool {
        let partition = self.terms[index].partition as usize;
        if removed != Removed::Chain && self.chains[partition] != self.terms[index].chain {
            return false;
        }
        self.revision += 1;
        self.chains[partition] = self.revision;
        self.terms[index].chain = self.revision;
        true
    }

    fn arrive(&self, index: usize) -> Self {
        let (term, fence) = self.orders[index];
        self.with(|state| {
            state.orders.remove(index);
            if fence < state.worker_fence {
                return;
            }
            state.worker_fence = fence;
            state.accepted.push((term, fence));
            let partition = state.terms[term].partition;
            state.shared |= state.running.is_some_and(|it| it != partition);
            state.running = Some(partition);
        })
    }

    /// Returns the promise that the state breaks, if it breaks one.
    fn broken(&self, removed: Removed) -> Option<&'static str> {
        if self.shared {
            return Some("runs of two partitions on one worker");
        }
        let mut accepted = self.accepted.iter().zip(self.accepted.iter().skip(1));
        if accepted.any(|((term, fence), (next, other))| term != next && fence == other) {
            return Some("two holders with one fence");
        }
        // The rightful owner, once it knows, must be able to reach the worker.
        let (partition, _) = self.owner.unwrap_or((0, 0));
        let holder = self.holders[partition as usize].map(|it| &self.terms[it]);
        let locked_out = holder.is_some_and(|term| {
            term.view == self.owner && term.order_fence(removed) < self.worker_fence
        });
        locked_out.then_some("the owner's fence is too low")
    }
}

impl Term {
    fn topology(&self) -> Topology {
        let mut topology = Topology::default();
        if let Some((partition, revision)) = self.view {
            let row = RackRow {
                partition,
                labels: Default::default(),
            };
            topology.set_rack(RACK.into(), Some((row, revision)));
        }
        topology
    }

    fn order_fence(&self, removed: Removed) -> u64 {
        match removed {
            Removed::RackFence => self.fence,
            _ => self.ownership(removed).fence(RACK, &self.topology()),
        }
    }

    fn ownership(&self, removed: Removed) -> Ownership {
        let mut ownership = Ownership::new(self.partition, self.fence);
        if self.gave && removed != Removed::Leaving {
            ownership.give(RACK.into());
            if self.gift.is_none() {
                ownership.update(&self.topology());
            }
        }
        ownership
    }
}

fn counterexample(removed: Removed) -> Option<(usize, &'static str)> {
    let path = bfs(
        &State::new(),
        |state| state.successors(removed),
        |state| state.broken(removed).is_some(),
    )?;
    let broken = path.last()?.broken(removed)?;
    Some((path.len() - 1, broken))
}

/// No history breaks a promise.
#[test]
fn rack_all_histories() {
    let states = bfs_reach(State::new(), |state| state.successors(Removed::Nothing));
    let mut count = 0_usize;
    for state in states {
        count += 1;
        assert_eq!(state.broken(Removed::Nothing), None, "{state:#?}");
    }
    assert!(count > 10_000, "only {count} states");
    println!("{count} states");
}

/// Each rule of the protocol is needed: without it, a history breaks a promise.
#[rstest]
#[case::view(Removed::View)]
#[case::rack_fence(Removed::RackFence)]
#[case::chain(Removed::Chain)]
#[case::idle(Removed::Idle)]
#[case::leaving(Removed::Leaving)]
fn rack_without_rule(#[case] removed: Removed) {
    let (steps, broken) = counterexample(removed).expect("a history that breaks a promise");
    println!("without {removed:?}: {broken} after {steps} steps");
}
