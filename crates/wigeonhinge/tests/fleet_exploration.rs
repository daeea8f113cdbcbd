//! Explores every interleaving of two fleet controllers over a small fleet.
//!
//! The transitions are those that ship; this file only wires them to a store, a network and
//! workers. Each property is also shown to fail when one guard is removed.

#[path = "fleet_exploration/host.rs"]
mod host;
#[path = "fleet_exploration/writes.rs"]
mod writes;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;

use pathfinding::directed::bfs::bfs;
use rstest::rstest;
use wigeonhinge::controller::Controller;
use wigeonhinge::controller::Input;
use wigeonhinge::controller::Order;
use wigeonhinge::controller::Output;
use wigeonhinge::controller::PlatformVmState;
use wigeonhinge::controller::Request;
use wigeonhinge::controller::Timing;
use wigeonhinge::controller::VmList;
use wigeonhinge::controller::WorkerReport;
use wigeonhinge::id::Time;
use wigeonhinge::ledger::Change;
use wigeonhinge::ledger::Ledger;
use wigeonhinge::ledger::WaveChange;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_standin::region;

use crate::writes::check;
use crate::writes::merge;

const NOW: Time = Duration::from_secs(9000);
const VMS: [&str; 3] = ["crews-0", "crews-1", "spare-0"];

/// Reboots of a VM; without a bound, copies of one order give endlessly many states.
const MAX_BOOTS: u64 = 2;

/// Guard that a variant removes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Without {
    Nothing,
    /// The fence of the ledger is not compared.
    Fence,
    /// Budgets are checked on what was read and not on what the write replaces.
    BudgetInWrite,
    /// A write replaces whatever the store holds.
    Swap,
    /// Workers do not compare the steps of orders.
    Step,
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    writes: u64,
    orders: usize,
    failures: u8,
    lost_answers: u8,
    outages: u8,
    moves: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Doc(Rc<Ledger>);

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Host {
    fence: u64,
    step: u64,
    boot: u64,
    cordoned: bool,
    rebooting: bool,
    failed: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Seat {
    fence: Option<u64>,
    write: Option<(u64, Doc, Doc)>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    version: u64,
    ledger: Doc,
    up: bool,
    hosts: Vec<Host>,
    seats: [Seat; 2],
    network: BTreeSet<Order>,
    failures: u8,
    lost_answers: u8,
    outages: u8,
    broken: Option<&'static str>,
}

impl Hash for Doc {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.document().fence.hash(state);
        self.0.vms().hash(state);
        self.0.wave().hash(state);
    }
}

struct Model {
    without: Without,
    bounds: Bounds,
    fleet: Fleet,
    requests: Vec<Request>,
    wanted: Option<&'static str>,
}

impl Model {
    fn new(without: Without, bounds: Bounds) -> Self {
        let mut fleet = region::fleet();
        fleet.inventory.retain(|vm| VMS.contains(&vm.name.as_str()));
        let rules = fleet.rules.as_mut().expect("rules");
        rules.pools.retain(|pool| pool.name != "quoting");
        for pool in &mut rules.pools {
            pool.max_unavailable = u32::from(!bounds.moves || pool.spare);
            pool.promised = u32::from(!pool.spare);
        }
        if bounds.moves {
            // Leaves the spare pool a VM to give.
            rules.pools[1].max_unavailable = 1;
            rules.pools[1].promised = 0;
            fleet.inventory[0].pool = "spare".into();
        }
        let change = Change::Cordon {
            vm: "spare-0".into(),
            target: Some("crews".into()),
        };
        let (author, reason) = ("balancer".into(), "model".into());
        let requests = vec![Request {
            author,
            reason,
            change,
        }];
        Self {
            without,
            bounds,
            fleet,
            requests,
            wanted: None,
        }
    }

    /// Returns whether a broken property ends the exploration; a variant looks for its own.
    fn wanted(&self, found: &str) -> bool {
        self.wanted.is_none_or(|wanted| wanted == found)
    }

    fn start(&self) -> State {
        let fleet = Box::new(self.fleet.clone());
        let mut changes = vec![Change::Inventory { revision: 1, fleet }];
        for vm in VMS {
            changes.push(Change::MarkUp { vm: vm.into() });
            changes.push(Change::Uncordon { vm: vm.into() });
        }
        let earlier = NOW - Duration::from_secs(100);
        let ledger = Ledger::new("north")
            .apply_all(&changes, 1, earlier)
            .expect("start");
        let mut doc = ledger.document().clone();
        for vm in doc.vms.iter_mut().filter(|vm| vm.name != "crews-0") {
            // Keeps the other VMs out of the wave, which bounds the number of states.
            vm.maintained_ms = 9_000_000;
        }
        let ledger = Ledger::from_document(doc);
        let mut changes = Vec::new();
        if !self.bounds.moves {
            let (id, author, before) = ("w".into(), "operator".into(), NOW);
            changes.push(Change::Wave(WaveChange::Start { id, author, before }));
        }
        let ledger = ledger.apply_all(&changes, 1, NOW).expect("wave");
        let hosts = ledger.vms().iter().map(|vm| Host::new(vm.step)).collect();
        let seat = |fence| Seat { fence, write: None };
        State {
            version: 1,
            ledger: Doc(Rc::new(ledger)),
            up: true,
            hosts,
            seats: [seat(Some(1)), seat(None)],
            network: BTreeSet::new(),
            failures: 0,
            lost_answers: 0,
            outages: 0,
            broken: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.broken.is_some() {
            return next;
        }
        for index in 0..2 {
            self.controller(state, index, &mut next);
        }
        self.network(state, &mut next);
        self.hosts(state, &mut next);
        self.failures(state, &mut next);
        for after in &mut next {
            after.broken = after.broken.filter(|found| self.wanted(found));
        }
        next
    }

    /// Reads and decides, or has its write carried out.
    ///
    /// A pause between the two shows as a write or an order that takes effect late.
    fn controller(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let seat = &state.seats[index];
        if seat.write.is_some() {
            self.land(state, index, next);
        } else if seat.fence.is_some() && state.up {
            next.push(self.decide(state, index));
        }
    }

    fn decide(&self, state: &State, index: usize) -> State {
        let mut after = state.clone();
        let (version, view) = (state.version, &state.ledger);
        let output = self.step(state, index, version, view);
        for order in output.orders {
            if after.network.len() < self.bounds.orders {
                after.network.insert(order);
            }
        }
        if let Some(write) = output.write {
            let value = Doc(Rc::new(write.ledger));
            after.seats[index].write = Some((version, view.clone(), value));
        }
        after
    }

    fn step(&self, state: &State, index: usize, version: u64, view: &Doc) -> Output {
        let fence = state.seats[index].fence;
        let mut doc = view.0.document().clone();
        if self.without == Without::Fence {
            doc.fence = doc.fence.min(fence.unwrap_or(0));
        }
        let ledger = Ledger::from_document(doc);
        let (list, workers) = state.reports();
        let requests: &[Request] = if self.bounds.moves {
            &self.requests
        } else {
            &[]
        };
        Controller::new("north", "e", Timing::default()).step(&Input {
            now: NOW,
            fence,
            ledger: Some((version, &ledger)),
            revision: 1,
            fleet: &self.fleet,
            list: &list,
            workers: &workers,
            requests,
        })
    }

    /// A write takes effect and is answered, takes effect without an answer, or is refused.
    fn land(&self, state: &State, index: usize, next: &mut Vec<State>) {
        if !state.up || state.version >= self.bounds.writes {
            return;
        }
        let mut after = state.clone();
        let (expect, before, value) = after.seats[index].write.take().expect("write");
        let unchecked = matches!(self.without, Without::BudgetInWrite | Without::Swap);
        if expect != state.version && !unchecked {
            next.push(after);
            return;
        }
        let value = match self.without {
            Without::BudgetInWrite => merge(&state.ledger.0, &before.0, &value.0),
            _ => value.0.as_ref().clone(),
        };
        after.broken = check(&state.ledger.0, &value, state.seats[index].fence);
        after.version += 1;
        after.ledger = Doc(Rc::new(value));
        after.check_hosts();
        if state.lost_answers < self.bounds.lost_answers {
            let mut lost = after.clone();
            lost.lost_answers += 1;
            // The writer does not know and sends the same write again.
            lost.seats[index].write = state.seats[index].write.clone();
            next.push(lost);
        }
        next.push(after);
    }

    /// An order arrives, any number of times, or is lost.
    fn network(&self, state: &State, next: &mut Vec<State>) {
        for order in &state.network {
            let mut after = state.clone();
            let index = state.index(&order.vm);
            after.hosts[index].obey(order, self.without);
            after.check_hosts();
            if after != *state {
                next.push(after);
            }
            let mut dropped = state.clone();
            dropped.network.remove(order);
            next.push(dropped);
        }
    }

    fn hosts(&self, state: &State, next: &mut Vec<State>) {
        for (index, host) in state.hosts.iter().enumerate() {
            let mut after = state.clone();
            if host.failed {
                after.hosts[index].failed = false;
            } else if host.rebooting {
                after.hosts[index] = Host::new(0);
                after.hosts[index].boot = host.boot + 1;
                after.hosts[index].fence = host.fence;
            } else if state.failures < self.bounds.failures {
                after.hosts[index].failed = true;
                after.failures += 1;
            } else {
                continue;
            }
            next.push(after);
        }
    }

    /// The role passes to the second controller, the first notices, and the store has outages.
    fn failures(&self, state: &State, next: &mut Vec<State>) {
        if state.seats[1].fence.is_none() {
            let mut after = state.clone();
            after.seats[1].fence = Some(2);
            next.push(after);
        } else if state.seats[0].fence.is_some() {
            let mut after = state.clone();
            after.seats[0] = Seat {
                fence: None,
                write: None,
            };
            next.push(after);
        }
        if !state.up || state.outages < self.bounds.outages {
            let mut after = state.clone();
            after.up = !state.up;
            after.outages += u8::from(state.up);
            next.push(after);
        }
    }

    /// Returns the number of states and the shortest path to a broken property.
    fn explore(&self) -> (usize, Option<Vec<State>>) {
        let mut states = 0;
        let path = bfs(
            &self.start(),
            |state| {
                states += 1;
                self.successors(state)
            },
            |state| state.broken.is_some(),
        );
        (states, path)
    }
}

impl State {
    fn index(&self, name: &str) -> usize {
        self.ledger
            .0
            .vms()
            .iter()
            .position(|vm| vm.name == name)
            .expect("VM")
    }

    fn reports(&self) -> (VmList, BTreeMap<wigeonhinge::id::VmId, WorkerReport>) {
        let mut list = VmList {
            as_of: NOW,
            ..VmList::default()
        };
        let mut workers = BTreeMap::new();
        for (vm, host) in self.ledger.0.vms().iter().zip(&self.hosts) {
            let state = if host.failed {
                PlatformVmState::Gone
            } else {
                PlatformVmState::Live
            };
            list.vms.insert(vm.name.as_str().into(), state);
            let worker = WorkerReport {
                at: NOW,
                healthy: !host.failed && !host.rebooting,
                cordoned: host.cordoned,
                tasks: 0,
                boot: host.boot,
                step: host.step,
            };
            workers.insert(vm.name.as_str().into(), worker);
        }
        (list, workers)
    }

    /// No order takes a worker out of service that the ledger counts as active.
    fn check_hosts(&mut self) {
        for (vm, host) in self.ledger.0.vms().iter().zip(&self.hosts) {
            if vm.phase() == Phase::Active && (host.cordoned || host.rebooting) {
                self.broken = self.broken.or(Some("out of service unrecorded"));
            }
        }
    }
}

/// Failures of every kind over the first steps of a wave.
const WAVE: Bounds = Bounds {
    writes: 5,
    orders: 1,
    failures: 1,
    lost_answers: 1,
    outages: 1,
    moves: false,
};

/// A VM's whole way through a wave, with late and lost orders.
const DEEP: Bounds = Bounds {
    writes: 7,
    orders: 2,
    failures: 0,
    lost_answers: 0,
    outages: 0,
    ..WAVE
};

const MOVE: Bounds = Bounds {
    writes: 6,
    moves: true,
    ..WAVE
};

#[rstest]
#[case::wave(WAVE)]
#[case::deep(DEEP)]
#[case::moves(MOVE)]
fn explore_holds(#[case] bounds: Bounds) {
    let (states, path) = Model::new(Without::Nothing, bounds).explore();
    println!("{bounds:?}: {states} states");
    assert!(
        path.is_none(),
        "{:#?}",
        path.map(|path| path.last().cloned())
    );
}

/// Each property fails without its guard, so the exploration can tell.
#[rstest]
#[case::fence(Without::Fence, WAVE, "deposed holder wrote")]
#[case::budget(Without::BudgetInWrite, WAVE, "budget broken by choice")]
#[case::pool(Without::Swap, MOVE, "pool changed without a move")]
#[case::step(Without::Step, DEEP, "out of service unrecorded")]
fn explore_without_guard(
    #[case] without: Without,
    #[case] bounds: Bounds,
    #[case] broken: &'static str,
) {
    let mut model = Model::new(without, bounds);
    model.wanted = Some(broken);
    let (states, path) = model.explore();
    let path = path.expect("counterexample");
    println!(
        "{without:?}: {states} states, counterexample of {} steps",
        path.len() - 1
    );
    assert_eq!(path.last().and_then(|state| state.broken), Some(broken));
}
