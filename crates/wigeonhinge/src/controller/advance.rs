//! Progress of each VM from one phase to the next.

use std::time::Duration;

use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;

use crate::controller::Controller;
use crate::controller::Draft;
use crate::controller::Facts;
use crate::controller::WorkerReport;
use crate::id::VmId;
use crate::ledger::Change;
use crate::wave::MAX_SKIPS;

/// Time past its deadline after which a rebooting VM that nothing is known about counts as down.
const REBOOT_HOLD: Duration = Duration::from_secs(1800);

impl Controller {
    /// Records failures first and then the progress of each VM.
    ///
    /// The order matters: a step that a pool can no longer afford is refused by the ledger in the
    /// same write that records the failure.
    pub(super) fn advance(&self, draft: &mut Draft<'_>, facts: &Facts<'_>) {
        let vms = draft.ledger().vms().to_vec();
        for vm in vms.iter().filter(|vm| failed(vm, facts)) {
            let (change, reason) = failure(vm, facts);
            draft.apply(change, reason);
        }
        let running = draft.ledger().wave_running();
        for vm in vms.iter().filter(|vm| !failed(vm, facts)) {
            for (change, reason) in self.progress(vm, running, facts) {
                draft.apply(change, reason);
            }
        }
    }

    fn progress(
        &self,
        vm: &VmState,
        running: bool,
        facts: &Facts<'_>,
    ) -> Vec<(Change, &'static str)> {
        let maintained = !vm.removing && vm.target.is_empty();
        let pointless = maintained && !running;
        match vm.phase() {
            Phase::Cordoned | Phase::Draining | Phase::Drained if pointless => {
                vec![(returned(vm), "the wave is not running")]
            }
            Phase::Cordoned => self.cordoned(vm, facts),
            Phase::Draining => self.draining(vm, facts),
            Phase::Drained => self.drained(vm, facts),
            Phase::Rebooting => self.rebooting(vm, facts),
            Phase::Returning | Phase::Moving => returning(vm, facts),
            Phase::Down if vm.removing => vec![(Change::Retire { vm: name(vm) }, "removed")],
            Phase::Quarantined if vm.removing => vec![(Change::Retire { vm: name(vm) }, "removed")],
            Phase::Down if facts.usable(vm) => vec![(Change::MarkUp { vm: name(vm) }, "usable")],
            Phase::Quarantined => quarantined(vm, facts),
            Phase::Active | Phase::Down => Vec::new(),
        }
    }

    fn cordoned(&self, vm: &VmState, facts: &Facts<'_>) -> Vec<(Change, &'static str)> {
        if !facts.accepted(vm).is_some_and(|worker| worker.cordoned) {
            return Vec::new();
        }
        let deadline = facts.now + self.timing.drain * (1 << vm.skips.min(MAX_SKIPS));
        let vm = name(vm);
        vec![(Change::Drain { vm, deadline }, "worker is cordoned")]
    }

    fn draining(&self, vm: &VmState, facts: &Facts<'_>) -> Vec<(Change, &'static str)> {
        if facts.accepted(vm).is_some_and(|worker| worker.tasks == 0) {
            let drained = Change::Drained { vm: name(vm) };
            let mut changes = vec![(drained, "worker is idle")];
            changes.extend(self.drained(vm, facts));
            return changes;
        }
        if passed(vm, facts) {
            let vm = name(vm);
            let skipped = true;
            return vec![(
                Change::Returned { vm, skipped },
                "drain passed its deadline",
            )];
        }
        Vec::new()
    }

    fn drained(&self, vm: &VmState, facts: &Facts<'_>) -> Vec<(Change, &'static str)> {
        if vm.removing {
            return vec![(Change::Retire { vm: name(vm) }, "removed")];
        }
        if !vm.target.is_empty() {
            return vec![(Change::Move { vm: name(vm) }, "worker is idle")];
        }
        match facts.report(vm) {
            Some(worker) => vec![(self.reboot(vm, worker.boot, facts), "worker is idle")],
            None => Vec::new(),
        }
    }

    fn reboot(&self, vm: &VmState, boot: u64, facts: &Facts<'_>) -> Change {
        let vm = name(vm);
        let deadline = facts.now + self.timing.reboot;
        Change::Reboot { vm, boot, deadline }
    }

    fn rebooting(&self, vm: &VmState, facts: &Facts<'_>) -> Vec<(Change, &'static str)> {
        let Some(worker) = facts.report(vm) else {
            return silent(vm, facts);
        };
        if worker.boot != vm.boot && worker.healthy {
            return vec![(returned(vm), "worker is healthy after its reboot")];
        }
        if !passed(vm, facts) {
            return Vec::new();
        }
        if worker.boot == vm.boot && vm.skips < MAX_SKIPS {
            let reboot = self.reboot(vm, vm.boot, facts);
            return vec![(reboot, "worker did not reboot")];
        }
        let boot = worker.boot;
        let vm = name(vm);
        vec![(Change::Quarantine { vm, boot }, "broken after its reboot")]
    }
}

/// Returns whether a VM has failed or is in a state that nothing is known about.
///
/// An active worker that refuses work counts as failed, whoever cordoned it, and so does one that
/// has restarted and forgotten the order that made it active. Both are admitted again like any VM
/// that returns.
fn failed(vm: &VmState, facts: &Facts<'_>) -> bool {
    match vm.phase() {
        Phase::Rebooting | Phase::Down | Phase::Quarantined => false,
        Phase::Active => {
            let strange = |worker: &WorkerReport| worker.cordoned || worker.step + 1 < vm.step;
            !facts.usable(vm) || facts.report(vm).is_some_and(strange)
        }
        _ => !facts.usable(vm),
    }
}

/// Returns how a failure is recorded: a worker that fails between its reboot and its return came
/// back broken.
fn failure(vm: &VmState, facts: &Facts<'_>) -> (Change, &'static str) {
    let rebooted = vm.phase() == Phase::Returning && vm.maintained_ms == vm.since_ms;
    match facts.report(vm) {
        Some(worker) if rebooted && !worker.healthy => {
            let boot = worker.boot;
            let vm = name(vm);
            (Change::Quarantine { vm, boot }, "broken after its reboot")
        }
        _ => (Change::MarkDown { vm: name(vm) }, "not usable"),
    }
}

/// Decides on a rebooting VM whose worker is silent.
fn silent(vm: &VmState, facts: &Facts<'_>) -> Vec<(Change, &'static str)> {
    if !passed(vm, facts) {
        return Vec::new();
    }
    let hold = u64::try_from(REBOOT_HOLD.as_millis()).unwrap_or(u64::MAX);
    if crate::ledger::millis(facts.now) > vm.deadline_ms + hold {
        return vec![(
            Change::MarkDown { vm: name(vm) },
            "not heard of since its reboot",
        )];
    }
    if facts.unreachable(vm) {
        return Vec::new();
    }
    match facts.live_after(vm, vm.deadline_ms) {
        Some(true) => {
            let boot = vm.boot;
            let vm = name(vm);
            vec![(Change::Quarantine { vm, boot }, "silent after its reboot")]
        }
        Some(false) => vec![(Change::MarkDown { vm: name(vm) }, "gone during its reboot")],
        None => Vec::new(),
    }
}

fn returning(vm: &VmState, facts: &Facts<'_>) -> Vec<(Change, &'static str)> {
    match facts.accepted(vm) {
        Some(worker) if !worker.cordoned => {
            vec![(Change::Uncordon { vm: name(vm) }, "worker takes work")]
        }
        _ => Vec::new(),
    }
}

fn quarantined(vm: &VmState, facts: &Facts<'_>) -> Vec<(Change, &'static str)> {
    let replaced = facts
        .report(vm)
        .is_some_and(|worker| worker.boot != vm.boot);
    if !replaced || !facts.usable(vm) {
        return Vec::new();
    }
    vec![(Change::Replace { vm: name(vm) }, "replaced or restarted")]
}

fn returned(vm: &VmState) -> Change {
    let vm = name(vm);
    let skipped = false;
    Change::Returned { vm, skipped }
}

fn passed(vm: &VmState, facts: &Facts<'_>) -> bool {
    crate::ledger::millis(facts.now) > vm.deadline_ms
}

fn name(vm: &VmState) -> VmId {
    vm.name.as_str().into()
}
