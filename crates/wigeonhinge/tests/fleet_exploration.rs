//! Explores every interleaving of two fleet controllers over a small fleet.
//!
//! The transitions are those of the library; this file models only the store, the network and the
//! workers around them. For each property there is also a guard without which the exploration finds
//! a counterexample.

#[path = "fleet_exploration/worker.rs"]
mod worker;
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

use crate::writes::check_write;
use crate::writes::merge_vms;

const NOW: Time = Duration::from_secs(9000);
const VMS: [&str; 3] = ["crews-0", "crews-1", "spare-0"];

/// Reboots of a VM; without a bound, copies of one order give infinitely many states.
const MAX_BOOTS: u64 = 2;

/// Guard that is left out of an exploration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Guard {
    None,
    /// Controllers do not compare their fence with that of the ledger.
    Fence,
    /// Budgets are checked on the ledger that was read and not on the one that the write replaces.
    BudgetInWrite,
    /// A write replaces whatever version the store holds.
    CompareAndSwap,
    /// Workers do not compare the steps of orders.
    Step,
}

/// Limits that keep an exploration finite, and what it explores.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// Version of the ledger at which writes end.
    writes: u64,
    /// Orders on their way at the same time.
    orders: usize,
    failures: u8,
    lost_answers: u8,
    outages: u8,
    /// Whether the controllers move a VM between pools instead of running a wave.
    moves: bool,
}

/// Ledger that several states share.
#[derive(Clone, Debug, Eq, PartialEq)]
struct SharedLedger(Rc<Ledger>);

/// Worker of a VM.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct WorkerModel {
    fence: u64,
    step: u64,
    boot: u64,
    cordoned: bool,
    rebooting: bool,
    failed: bool,
}

/// Controller and the role that it believes to hold.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ControllerModel {
    fence: Option<u64>,
    /// Outstanding write: the version and the ledger that it replaces, and the new ledger.
    write: Option<(u64, SharedLedger, SharedLedger)>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    version: u64,
    ledger: SharedLedger,
    store_up: bool,
    workers: Vec<WorkerModel>,
    controllers: [ControllerModel; 2],
    /// Orders on their way to the workers.
    in_flight: BTreeSet<Order>,
    failures: u8,
    lost_answers: u8,
    outages: u8,
    /// First property that was violated.
    violation: Option<&'static str>,
}

impl Hash for SharedLedger {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.document().fence.hash(state);
        self.0.vms().hash(state);
        self.0.wave().hash(state);
    }
}

struct Model {
    removed: Guard,
    bounds: Bounds,
    fleet: Fleet,
    requests: Vec<Request>,
    sought: Option<&'static str>,
}

impl Model {
    fn new(removed: Guard, bounds: Bounds) -> Self {
        let mut fleet = region::fleet();
        fleet.inventory.retain(|vm| VMS.contains(&vm.name.as_str()));
        let rules = fleet.rules.as_mut().expect("rules");
        rules.pools.retain(|pool| pool.name != "quoting");
        for pool in &mut rules.pools {
            pool.max_unavailable = u32::from(!bounds.moves || pool.spare);
            pool.promised = u32::from(!pool.spare);
        }
        if bounds.moves {
            // Leaves the spare pool a VM that it can give away.
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
            removed,
            bounds,
            fleet,
            requests,
            sought: None,
        }
    }

    /// Returns whether a violation ends the exploration: the one that is sought, or any.
    fn is_sought(&self, violation: &str) -> bool {
        self.sought.is_none_or(|sought| sought == violation)
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
        let workers = ledger
            .vms()
            .iter()
            .map(|vm| WorkerModel::new(vm.step))
            .collect();
        let controller = |fence| ControllerModel { fence, write: None };
        State {
            version: 1,
            ledger: SharedLedger(Rc::new(ledger)),
            store_up: true,
            workers,
            controllers: [controller(Some(1)), controller(None)],
            in_flight: BTreeSet::new(),
            failures: 0,
            lost_answers: 0,
            outages: 0,
            violation: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.violation.is_some() {
            return next;
        }
        for index in 0..2 {
            self.controller(state, index, &mut next);
        }
        self.deliver(state, &mut next);
        self.workers(state, &mut next);
        self.failures(state, &mut next);
        for after in &mut next {
            after.violation = after
                .violation
                .filter(|violation| self.is_sought(violation));
        }
        next
    }

    /// A controller reads the ledger and decides, or the store handles its outstanding write.
    ///
    /// A paused controller is covered too: its write or its order takes effect late.
    fn controller(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let controller = &state.controllers[index];
        if controller.write.is_some() {
            self.write(state, index, next);
        } else if controller.fence.is_some() && state.store_up {
            next.push(self.decide(state, index));
        }
    }

    fn decide(&self, state: &State, index: usize) -> State {
        let mut after = state.clone();
        let (version, view) = (state.version, &state.ledger);
        let output = self.step(state, index, version, view);
        for order in output.orders {
            if after.in_flight.len() < self.bounds.orders {
                after.in_flight.insert(order);
            }
        }
        if let Some(write) = output.write {
            let next_ledger = SharedLedger(Rc::new(write.ledger));
            after.controllers[index].write = Some((version, view.clone(), next_ledger));
        }
        after
    }

    fn step(&self, state: &State, index: usize, version: u64, view: &SharedLedger) -> Output {
        let fence = state.controllers[index].fence;
        let mut doc = view.0.document().clone();
        if self.removed == Guard::Fence {
            doc.fence = doc.fence.min(fence.unwrap_or(0));
        }
        let ledger = Ledger::from_document(doc);
        let (list, reports) = state.reports();
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
            workers: &reports,
            requests,
        })
    }

    /// The store applies a write and answers, applies it and loses the answer, or refuses it.
    fn write(&self, state: &State, index: usize, next: &mut Vec<State>) {
        if !state.store_up || state.version >= self.bounds.writes {
            return;
        }
        let mut after = state.clone();
        let (expect, before, next_ledger) = after.controllers[index].write.take().expect("write");
        let unchecked = matches!(self.removed, Guard::BudgetInWrite | Guard::CompareAndSwap);
        if expect != state.version && !unchecked {
            next.push(after);
            return;
        }
        let next_ledger = match self.removed {
            Guard::BudgetInWrite => merge_vms(&state.ledger.0, &before.0, &next_ledger.0),
            _ => next_ledger.0.as_ref().clone(),
        };
        after.violation = check_write(
            &state.ledger.0,
            &next_ledger,
            state.controllers[index].fence,
        );
        after.version += 1;
        after.ledger = SharedLedger(Rc::new(next_ledger));
        after.check_workers();
        if state.lost_answers < self.bounds.lost_answers {
            let mut lost = after.clone();
            lost.lost_answers += 1;
            // The writer did not see the answer and sends the same write again.
            lost.controllers[index].write = state.controllers[index].write.clone();
            next.push(lost);
        }
        next.push(after);
    }

    /// An order is delivered, any number of times, or is lost.
    fn deliver(&self, state: &State, next: &mut Vec<State>) {
        for order in &state.in_flight {
            let mut after = state.clone();
            let index = state.index(&order.vm);
            after.workers[index].handle(order, self.removed);
            after.check_workers();
            if after != *state {
                next.push(after);
            }
            let mut dropped = state.clone();
            dropped.in_flight.remove(order);
            next.push(dropped);
        }
    }

    /// A worker fails, recovers or finishes its reboot.
    fn workers(&self, state: &State, next: &mut Vec<State>) {
        for (index, worker) in state.workers.iter().enumerate() {
            let mut after = state.clone();
            if worker.failed {
                after.workers[index].failed = false;
            } else if worker.rebooting {
                after.workers[index] = WorkerModel::new(0);
                after.workers[index].boot = worker.boot + 1;
                after.workers[index].fence = worker.fence;
            } else if state.failures < self.bounds.failures {
                after.workers[index].failed = true;
                after.failures += 1;
            } else {
                continue;
            }
            next.push(after);
        }
    }

    /// The role passes to the second controller, the first controller notices, or the store fails or
    /// recovers.
    fn failures(&self, state: &State, next: &mut Vec<State>) {
        if state.controllers[1].fence.is_none() {
            let mut after = state.clone();
            after.controllers[1].fence = Some(2);
            next.push(after);
        } else if state.controllers[0].fence.is_some() {
            let mut after = state.clone();
            after.controllers[0] = ControllerModel {
                fence: None,
                write: None,
            };
            next.push(after);
        }
        if !state.store_up || state.outages < self.bounds.outages {
            let mut after = state.clone();
            after.store_up = !state.store_up;
            after.outages += u8::from(state.store_up);
            next.push(after);
        }
    }

    /// Returns the number of states visited and the shortest path to a violation, if there is one.
    fn explore(&self) -> (usize, Option<Vec<State>>) {
        let mut states = 0;
        let path = bfs(
            &self.start(),
            |state| {
                states += 1;
                self.successors(state)
            },
            |state| state.violation.is_some(),
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
        let mut reports = BTreeMap::new();
        for (vm, worker) in self.ledger.0.vms().iter().zip(&self.workers) {
            let state = if worker.failed {
                PlatformVmState::Gone
            } else {
                PlatformVmState::Live
            };
            list.vms.insert(vm.name.as_str().into(), state);
            let report = WorkerReport {
                at: NOW,
                healthy: !worker.failed && !worker.rebooting,
                cordoned: worker.cordoned,
                tasks: 0,
                boot: worker.boot,
                step: worker.step,
            };
            reports.insert(vm.name.as_str().into(), report);
        }
        (list, reports)
    }

    /// Checks that no worker of a VM that the ledger counts as active is out of service.
    fn check_workers(&mut self) {
        for (vm, worker) in self.ledger.0.vms().iter().zip(&self.workers) {
            if vm.phase() == Phase::Active && (worker.cordoned || worker.rebooting) {
                self.violation = self.violation.or(Some("active VM out of service"));
            }
        }
    }
}

/// Failures of every kind during the first steps of a wave.
const WAVE: Bounds = Bounds {
    writes: 5,
    orders: 1,
    failures: 1,
    lost_answers: 1,
    outages: 1,
    moves: false,
};

/// All steps of a VM in a wave, with late and lost orders.
const DEEP: Bounds = Bounds {
    writes: 7,
    orders: 2,
    failures: 0,
    lost_answers: 0,
    outages: 0,
    ..WAVE
};

/// Failures of every kind during a move between pools.
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
    let (states, path) = Model::new(Guard::None, bounds).explore();
    println!("{bounds:?}: {states} states");
    assert!(
        path.is_none(),
        "{:#?}",
        path.map(|path| path.last().cloned())
    );
}

/// The exploration finds a violation of each property once its guard is removed, which shows that it
/// can detect one.
#[rstest]
#[case::fence(Guard::Fence, WAVE, "earlier holder wrote")]
#[case::budget(Guard::BudgetInWrite, WAVE, "budget exceeded voluntarily")]
#[case::pool(Guard::CompareAndSwap, MOVE, "pool changed without a move")]
#[case::step(Guard::Step, DEEP, "active VM out of service")]
fn explore_without_guard(
    #[case] removed: Guard,
    #[case] bounds: Bounds,
    #[case] violation: &'static str,
) {
    let mut model = Model::new(removed, bounds);
    model.sought = Some(violation);
    let (states, path) = model.explore();
    let path = path.expect("counterexample");
    println!(
        "{removed:?}: {states} states, counterexample of {} steps",
        path.len() - 1
    );
    assert_eq!(
        path.last().and_then(|state| state.violation),
        Some(violation)
    );
}
