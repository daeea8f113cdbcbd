//! In-process store, workers and VM list around fleet controllers, with an oracle.

mod fleet;
mod machine;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

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
use wigeonhinge::id::VmId;
use wigeonhinge::ledger::Change;
use wigeonhinge::ledger::Ledger;
use wigeonhinge::ledger::WaveChange;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::ledger::Phase;

pub use crate::region::fleet::fleet;

const BOOT: Duration = Duration::from_secs(60);
/// Delay of the copy that the network delivers of every order.
const LATE: Duration = Duration::from_secs(90);
const TICK: Duration = Duration::from_secs(2);

/// A worker and what is wrong with it.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    /// What the worker reports.
    pub report: WorkerReport,
    /// Highest fence that the worker has seen.
    pub fence: u64,
    /// End of a reboot.
    pub booted: Option<Time>,
    /// Whether the VM has failed.
    pub lost: bool,
    /// Whether the worker is unhealthy after a reboot.
    pub broken: bool,
    /// Whether a broken worker is healthy in its first report after a reboot.
    pub late: bool,
    /// Whether the worker never becomes idle.
    pub stuck: bool,
}

/// A controller and its view.
#[derive(Clone, Debug)]
pub struct Seat {
    /// Controller.
    pub controller: Controller,
    /// Fence that it takes for valid.
    pub fence: Option<u64>,
    /// Whether it is paused.
    pub paused: bool,
    /// Ledger that it last read, with the version.
    pub view: Option<(u64, Ledger)>,
    /// Decision that it had made when it was paused.
    pub held: Output,
    /// Write that a slow store has yet to carry out, and the tick on which it does.
    pub pending: Option<(Time, u64, Ledger)>,
}

/// A region with two controllers, one of which may act on a lapsed lease.
#[derive(Clone, Debug)]
pub struct Region {
    /// Time since the Unix epoch.
    pub now: Time,
    /// Adopted fleet description.
    pub fleet: Fleet,
    /// Revision of the fleet description.
    pub revision: u64,
    /// Version of the ledger in the store.
    pub version: u64,
    /// Ledger in the store.
    pub ledger: Ledger,
    /// Whether the store responds.
    pub store_up: bool,
    /// Whether the answer to the next write is lost.
    pub lose_answer: bool,
    /// Whether all orders are lost.
    pub refuse_orders: bool,
    /// Whether the store takes several ticks for a write.
    pub slow: bool,
    /// Copies of orders that reach their worker late.
    pub late: Vec<(Time, Order)>,
    /// Zones that cannot be reached.
    pub cut: BTreeSet<String>,
    /// Whether the VM list is no longer renewed.
    pub list_lags: bool,
    /// VM list.
    pub list: VmList,
    /// VMs and their workers.
    pub machines: BTreeMap<VmId, Machine>,
    /// Controllers; the first holds the role at the start.
    pub seats: Vec<Seat>,
    /// Latest reports.
    pub reports: BTreeMap<VmId, WorkerReport>,
    /// Requests until a write has answered them.
    pub requests: Vec<Request>,
    /// Reasons of refused requests.
    pub refused: Vec<String>,
    /// Broken properties that were found.
    pub faults: Vec<String>,
    /// Identifiers of the audit records.
    pub audit: BTreeSet<String>,
}

impl Region {
    /// Returns a region whose VMs are all active under one controller, seat 0 with fence 1.
    pub fn small() -> Self {
        let mut region = Self::empty(fleet());
        region.run(6);
        assert!(
            region
                .ledger
                .vms()
                .iter()
                .all(|vm| vm.phase() == Phase::Active)
        );
        region
    }

    fn empty(fleet: Fleet) -> Self {
        let machines = fleet
            .inventory
            .iter()
            .map(|vm| (VmId::from(vm.name.as_str()), Machine::default()))
            .collect();
        Self {
            now: Duration::from_secs(1_000_000),
            fleet,
            revision: 1,
            version: 0,
            ledger: Ledger::new("north"),
            store_up: true,
            lose_answer: false,
            refuse_orders: false,
            slow: false,
            late: Vec::new(),
            cut: BTreeSet::new(),
            list_lags: false,
            list: VmList::default(),
            machines,
            seats: vec![seat("e0", Some(1)), seat("e1", None)],
            reports: BTreeMap::new(),
            requests: Vec::new(),
            refused: Vec::new(),
            faults: Vec::new(),
            audit: BTreeSet::new(),
        }
    }

    /// Passes a number of ticks.
    pub fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.tick();
        }
    }

    /// Passes ticks until a condition holds; fails after the given number.
    pub fn until(&mut self, ticks: u32, what: &str, done: impl Fn(&Self) -> bool) {
        for _ in 0..ticks {
            if done(self) {
                return;
            }
            self.tick();
        }
        let wave = self.ledger.wave();
        let mut phases: BTreeMap<Phase, usize> = BTreeMap::new();
        for vm in self.ledger.vms() {
            *phases.entry(vm.phase()).or_default() += 1;
        }
        let faults = &self.faults;
        panic!("not reached: {what}; {wave:?}; {phases:?}; faults {faults:?}");
    }

    /// Passes a tick: machines, polls, then each controller in turn.
    pub fn tick(&mut self) {
        self.now += TICK;
        for machine in self.machines.values_mut() {
            machine.tick(self.now);
        }
        self.deliver_late();
        self.poll();
        for index in 0..self.seats.len() {
            self.decide(index);
        }
        self.check_workers();
    }

    /// Lets one controller decide and carries out what it gives back.
    pub fn decide(&mut self, index: usize) {
        if self.seats[index].paused {
            return;
        }
        if !self.settle(index) {
            return;
        }
        if self.store_up {
            self.seats[index].view = Some((self.version, self.ledger.clone()));
        }
        let output = self.output(index);
        if index == self.holder() {
            let refused = output.refused.iter().flatten();
            self.refused.extend(refused.map(ToString::to_string));
        }
        self.deliver(output.orders);
        let Some(write) = output.write else {
            return;
        };
        if self.slow {
            let at = self.now + 4 * TICK;
            self.seats[index].pending = Some((at, write.expect, write.ledger));
            return;
        }
        let audit = write.records.into_iter().map(|record| record.id);
        if self.write(write.expect, write.ledger) {
            self.audit.extend(audit);
            self.requests.clear();
        }
    }

    /// Carries out a write that a slow store holds; returns whether none is outstanding.
    fn settle(&mut self, index: usize) -> bool {
        let Some((at, expect, ledger)) = self.seats[index].pending.take() else {
            return true;
        };
        if at > self.now {
            self.seats[index].pending = Some((at, expect, ledger));
            return false;
        }
        self.write(expect, ledger);
        true
    }

    /// Returns what a controller decides on its view.
    pub fn output(&mut self, index: usize) -> Output {
        let store_up = self.store_up;
        let seat = &mut self.seats[index];
        let view = seat.view.as_ref().filter(|_| store_up);
        seat.controller.step(&Input {
            now: self.now,
            fence: seat.fence,
            ledger: view.map(|(version, ledger)| (*version, ledger)),
            revision: self.revision,
            fleet: &self.fleet,
            list: &self.list,
            workers: &self.reports,
            requests: &self.requests,
        })
    }

    /// Pauses the holder with a decision in hand; the other controller takes the role.
    pub fn lapse(&mut self) {
        let holder = self.holder();
        if self.seats[1 - holder].paused {
            return;
        }
        self.seats[holder].held = self.output(holder);
        self.seats[holder].paused = true;
        let fence = self.seats[holder].fence.map(|fence| fence + 1);
        self.seats[1 - holder].fence = fence;
    }

    /// Wakes a paused controller, which acts on its old decision before it notices.
    pub fn wake(&mut self) {
        let Some(index) = self.seats.iter().position(|seat| seat.paused) else {
            return;
        };
        let held = std::mem::take(&mut self.seats[index].held);
        self.deliver(held.orders);
        if let Some(write) = held.write {
            self.write(write.expect, write.ledger);
        }
        self.seats[index].paused = false;
        self.decide(index);
        self.seats[index].fence = None;
    }

    /// Returns the controller with the higher fence.
    pub fn holder(&self) -> usize {
        usize::from(self.seats[1].fence > self.seats[0].fence)
    }

    /// Edits the inventory: one VM leaves the fleet or returns, another changes its pool.
    pub fn edit(&mut self) {
        self.revision += 1;
        let mut fleet = fleet();
        if self.revision.is_multiple_of(2) {
            let rules = fleet.rules.as_mut().expect("rules");
            rules.pools[0].promised = 5;
            fleet.inventory.retain(|vm| vm.name != "crews-7");
            for vm in fleet.inventory.iter_mut().filter(|vm| vm.name == "spare-6") {
                vm.pool = "quoting".into();
            }
        }
        self.fleet = fleet;
    }

    /// Replaces the ledger by compare-and-swap; returns whether the writer learns of its success.
    pub fn write(&mut self, expect: u64, ledger: Ledger) -> bool {
        if !self.store_up || expect != self.version {
            return false;
        }
        self.check_write(&ledger);
        self.version += 1;
        self.ledger = ledger;
        !std::mem::take(&mut self.lose_answer)
    }

    /// Carries orders to the workers that can be reached.
    pub fn deliver(&mut self, orders: Vec<Order>) {
        if self.refuse_orders {
            return;
        }
        for order in orders {
            self.late.push((self.now + LATE, order.clone()));
            let zone = self.zone(&order.vm);
            if self.cut.contains(&zone) {
                continue;
            }
            if let Some(machine) = self.machines.get_mut(&order.vm) {
                machine.obey(&order, self.now);
            }
        }
    }

    fn deliver_late(&mut self) {
        let now = self.now;
        let late = std::mem::take(&mut self.late);
        let (due, rest): (Vec<_>, Vec<_>) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late = rest;
        for (_, order) in due {
            if let Some(machine) = self.machines.get_mut(&order.vm) {
                machine.obey(&order, now);
            }
        }
    }

    /// Asks for a wave.
    pub fn start_wave(&mut self, id: &str) {
        let before = self.now;
        let (id, author) = (id.into(), "operator".into());
        self.ask(Change::Wave(WaveChange::Start { id, author, before }));
    }

    /// Asks for a change.
    pub fn ask(&mut self, change: Change) {
        self.requests.push(Request {
            author: "operator".into(),
            reason: "test".into(),
            change,
        });
    }

    /// Makes the VMs of a rack fail or return.
    pub fn set_rack(&mut self, rack: &str, lost: bool) -> Vec<VmId> {
        let names: Vec<VmId> = self
            .fleet
            .inventory
            .iter()
            .filter(|vm| vm.rack == rack)
            .map(|vm| VmId::from(vm.name.as_str()))
            .collect();
        for name in &names {
            self.set_lost(name, lost);
        }
        names
    }

    /// Makes a VM fail or return.
    pub fn set_lost(&mut self, name: &str, lost: bool) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.lost = lost;
        }
    }

    /// Returns the phase of a VM.
    pub fn phase(&self, name: &str) -> Option<Phase> {
        self.ledger.vm(name).map(|vm| vm.phase())
    }

    /// Returns the number of VMs maintained since the start of the wave.
    pub fn maintained(&self) -> usize {
        let start = self.ledger.wave().map_or(u64::MAX, |wave| wave.started_ms);
        let vms = self.ledger.vms().iter();
        vms.filter(|vm| vm.maintained_ms >= start).count()
    }

    fn zone(&self, name: &str) -> String {
        let vm = self.fleet.inventory.iter().find(|vm| vm.name == name);
        vm.map_or(String::new(), |vm| vm.zone.clone())
    }

    /// Renews the reports and the VM list.
    pub fn poll(&mut self) {
        let names: Vec<VmId> = self.machines.keys().cloned().collect();
        for name in names {
            let machine = &self.machines[&name];
            if machine.lost || machine.booted.is_some() || self.cut.contains(&self.zone(&name)) {
                continue;
            }
            let mut report = self.machines[&name].report;
            report.at = self.now;
            self.reports.insert(name, report);
        }
        if self.list_lags {
            return;
        }
        self.list.as_of = self.now;
        for (name, machine) in &self.machines {
            let state = if machine.lost {
                PlatformVmState::Gone
            } else {
                PlatformVmState::Live
            };
            self.list.vms.insert(name.clone(), state);
        }
    }

    /// Compares a write with the value it replaces: no pool loses a VM by choice beyond its rules,
    /// and every VM is in one pool.
    fn check_write(&mut self, next: &Ledger) {
        let mut names = BTreeSet::new();
        for vm in next.vms() {
            if !names.insert(vm.name.clone()) || !next.pools().iter().any(|p| p.name == vm.pool) {
                self.faults.push(format!("{} is not in one pool", vm.name));
            }
        }
        for pool in next.pools() {
            let members = || next.vms().iter().filter(|vm| vm.pool == pool.name);
            let taken = members().any(|vm| {
                let before = self.ledger.vm(&vm.name).map(|vm| vm.phase());
                before == Some(Phase::Active)
                    && !matches!(vm.phase(), Phase::Active | Phase::Down | Phase::Quarantined)
            });
            let active = members().filter(|vm| vm.phase() == Phase::Active).count();
            let out = members().count() - active;
            if taken && (out > pool.max_unavailable as usize || active < pool.promised as usize) {
                self.faults
                    .push(format!("budget of {}: {out} out", pool.name));
            }
        }
    }

    /// Checks that no order has taken a worker out of service that the ledger counts as active.
    fn check_workers(&mut self) {
        for vm in self
            .ledger
            .vms()
            .iter()
            .filter(|vm| vm.phase() == Phase::Active)
        {
            let machine = &self.machines[vm.name.as_str()];
            if machine.booted.is_some() || machine.report.cordoned {
                self.faults
                    .push(format!("{} is out of service unrecorded", vm.name));
            }
        }
    }
}

fn seat(entry: &str, fence: Option<u64>) -> Seat {
    Seat {
        controller: Controller::new("north", entry, Timing::default()),
        fence,
        paused: false,
        view: None,
        held: Output::default(),
        pending: None,
    }
}
