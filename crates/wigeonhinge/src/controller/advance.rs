//! Progress of each VM from one phase to the next.

use std::time::Duration;

use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;

use crate::controller::Controller;
use crate::controller::Draft;
use crate::controller::Observations;
use crate::controller::WorkerReport;
use crate::id::VmId;
use crate::ledger::Change;
use crate::wave::MAX_SKIPS;

/// Time after its reboot deadline at which a VM of unknown state is marked down.
const UNKNOWN_GRACE: Duration = Duration::from_secs(1800);

impl Controller {
    /// Records failures and then the progress of the other VMs.
    ///
    /// Failures come first, so that the ledger refuses a step that the pool can no longer afford in
    /// the same write that records the failure.
    pub(super) fn advance(&self, draft: &mut Draft<'_>, observations: &Observations<'_>) {
        let vms = draft.ledger().vms().to_vec();
        for vm in vms.iter().filter(|vm| failed(vm, observations)) {
            let (change, reason) = failure_change(vm, observations);
            draft.apply(change, reason);
        }
        let running = draft.ledger().wave_running();
        for vm in vms.iter().filter(|vm| !failed(vm, observations)) {
            for (change, reason) in self.next_changes(vm, running, observations) {
                draft.apply(change, reason);
            }
        }
    }

    /// Returns the next changes of a VM that has not failed, each with its reason.
    fn next_changes(
        &self,
        vm: &VmState,
        running: bool,
        observations: &Observations<'_>,
    ) -> Vec<(Change, &'static str)> {
        let in_maintenance = !vm.removing && vm.target.is_empty();
        let canceled = in_maintenance && !running;
        match vm.phase() {
            Phase::Cordoned | Phase::Draining | Phase::Drained if canceled => {
                vec![(return_change(vm), "the wave is not running")]
            }
            Phase::Cordoned => self.cordoned(vm, observations),
            Phase::Draining => self.draining(vm, observations),
            Phase::Drained => self.drained(vm, observations),
            Phase::Rebooting => self.rebooting(vm, observations),
            Phase::Returning | Phase::Moving => returning(vm, observations),
            Phase::Down if vm.removing => vec![(Change::Retire { vm: vm_id(vm) }, "removed")],
            Phase::Quarantined if vm.removing => {
                vec![(Change::Retire { vm: vm_id(vm) }, "removed")]
            }
            Phase::Down if observations.usable(vm) => {
                vec![(Change::MarkUp { vm: vm_id(vm) }, "usable")]
            }
            Phase::Quarantined => quarantined(vm, observations),
            Phase::Active | Phase::Down => Vec::new(),
        }
    }

    fn cordoned(
        &self,
        vm: &VmState,
        observations: &Observations<'_>,
    ) -> Vec<(Change, &'static str)> {
        if !observations
            .accepted(vm)
            .is_some_and(|worker| worker.cordoned)
        {
            return Vec::new();
        }
        let deadline = observations.now + self.timing.drain * (1 << vm.skips.min(MAX_SKIPS));
        let vm = vm_id(vm);
        vec![(Change::Drain { vm, deadline }, "worker is cordoned")]
    }

    fn draining(
        &self,
        vm: &VmState,
        observations: &Observations<'_>,
    ) -> Vec<(Change, &'static str)> {
        if observations
            .accepted(vm)
            .is_some_and(|worker| worker.tasks == 0)
        {
            let drained = Change::Drained { vm: vm_id(vm) };
            let mut changes = vec![(drained, "worker is idle")];
            changes.extend(self.drained(vm, observations));
            return changes;
        }
        if deadline_passed(vm, observations) {
            let vm = vm_id(vm);
            let skipped = true;
            return vec![(
                Change::Returned { vm, skipped },
                "drain passed its deadline",
            )];
        }
        Vec::new()
    }

    fn drained(
        &self,
        vm: &VmState,
        observations: &Observations<'_>,
    ) -> Vec<(Change, &'static str)> {
        if vm.removing {
            return vec![(Change::Retire { vm: vm_id(vm) }, "removed")];
        }
        if !vm.target.is_empty() {
            return vec![(Change::Move { vm: vm_id(vm) }, "worker is idle")];
        }
        match observations.report(vm) {
            Some(worker) => vec![(self.reboot(vm, worker.boot, observations), "worker is idle")],
            None => Vec::new(),
        }
    }

    fn reboot(&self, vm: &VmState, boot: u64, observations: &Observations<'_>) -> Change {
        let vm = vm_id(vm);
        let deadline = observations.now + self.timing.reboot;
        Change::Reboot { vm, boot, deadline }
    }

    fn rebooting(
        &self,
        vm: &VmState,
        observations: &Observations<'_>,
    ) -> Vec<(Change, &'static str)> {
        let Some(worker) = observations.report(vm) else {
            return rebooting_silent(vm, observations);
        };
        if worker.boot != vm.boot && worker.healthy {
            return vec![(return_change(vm), "worker is healthy after its reboot")];
        }
        if !deadline_passed(vm, observations) {
            return Vec::new();
        }
        if worker.boot == vm.boot && vm.skips < MAX_SKIPS {
            let reboot = self.reboot(vm, vm.boot, observations);
            return vec![(reboot, "worker did not reboot")];
        }
        let boot = worker.boot;
        let vm = vm_id(vm);
        vec![(Change::Quarantine { vm, boot }, "broken after its reboot")]
    }
}

/// Returns whether a VM has failed or its state is unknown.
///
/// An active worker that refuses work counts as failed, whoever cordoned it. So does one that has
/// restarted and no longer knows the order that made it active. Both return to service like any VM
/// that was down.
fn failed(vm: &VmState, observations: &Observations<'_>) -> bool {
    match vm.phase() {
        Phase::Rebooting | Phase::Down | Phase::Quarantined => false,
        Phase::Active => {
            let diverged = |worker: &WorkerReport| worker.cordoned || worker.step + 1 < vm.step;
            !observations.usable(vm) || observations.report(vm).is_some_and(diverged)
        }
        _ => !observations.usable(vm),
    }
}

/// Returns the change that records a failure, with its reason.
///
/// A worker that reports unhealthy between its reboot and its return to service came back broken
/// and is quarantined; any other failed VM is down.
fn failure_change(vm: &VmState, observations: &Observations<'_>) -> (Change, &'static str) {
    let rebooted = vm.phase() == Phase::Returning && vm.maintained_ms == vm.since_ms;
    match observations.report(vm) {
        Some(worker) if rebooted && !worker.healthy => {
            let boot = worker.boot;
            let vm = vm_id(vm);
            (Change::Quarantine { vm, boot }, "broken after its reboot")
        }
        _ => (Change::MarkDown { vm: vm_id(vm) }, "not usable"),
    }
}

/// Returns the changes of a rebooting VM whose worker does not report.
fn rebooting_silent(vm: &VmState, observations: &Observations<'_>) -> Vec<(Change, &'static str)> {
    if !deadline_passed(vm, observations) {
        return Vec::new();
    }
    let grace = u64::try_from(UNKNOWN_GRACE.as_millis()).unwrap_or(u64::MAX);
    if crate::ledger::millis(observations.now) > vm.deadline_ms + grace {
        return vec![(
            Change::MarkDown { vm: vm_id(vm) },
            "not heard of since its reboot",
        )];
    }
    if observations.unreachable(vm) {
        return Vec::new();
    }
    match observations.live_after(vm, vm.deadline_ms) {
        Some(true) => {
            let boot = vm.boot;
            let vm = vm_id(vm);
            vec![(Change::Quarantine { vm, boot }, "silent after its reboot")]
        }
        Some(false) => vec![(Change::MarkDown { vm: vm_id(vm) }, "gone during its reboot")],
        None => Vec::new(),
    }
}

fn returning(vm: &VmState, observations: &Observations<'_>) -> Vec<(Change, &'static str)> {
    match observations.accepted(vm) {
        Some(worker) if !worker.cordoned => {
            vec![(Change::Uncordon { vm: vm_id(vm) }, "worker takes work")]
        }
        _ => Vec::new(),
    }
}

fn quarantined(vm: &VmState, observations: &Observations<'_>) -> Vec<(Change, &'static str)> {
    let replaced = observations
        .report(vm)
        .is_some_and(|worker| worker.boot != vm.boot);
    if !replaced || !observations.usable(vm) {
        return Vec::new();
    }
    vec![(Change::Replace { vm: vm_id(vm) }, "replaced or restarted")]
}

fn return_change(vm: &VmState) -> Change {
    let vm = vm_id(vm);
    let skipped = false;
    Change::Returned { vm, skipped }
}

fn deadline_passed(vm: &VmState, observations: &Observations<'_>) -> bool {
    crate::ledger::millis(observations.now) > vm.deadline_ms
}

fn vm_id(vm: &VmState) -> VmId {
    vm.name.as_str().into()
}
