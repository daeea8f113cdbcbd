//! The next ledger value, assembled during a step.

use std::time::Duration;

use compact_str::CompactString;
use wigeonhinge_schema::audit::Kind;
use wigeonhinge_schema::audit::Record;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;
use wigeonhinge_schema::ledger::WaveState;

use crate::buffer::Headroom;
use crate::controller::Input;
use crate::controller::Observations;
use crate::controller::Request;
use crate::controller::Write;
use crate::id::Fence;
use crate::id::Time;
use crate::ledger::Change;
use crate::ledger::Ledger;
use crate::ledger::Refusal;
use crate::ledger::WaveChange;
use crate::ledger::millis;
use crate::wave;
use crate::wave::Decision;
use crate::wave::Planner;

/// Time after which a VM that is to leave its pool, but did not drain in time, is drained again.
const DRAIN_RETRY: Duration = Duration::from_secs(600);

/// The next ledger value and the audit records of its changes.
pub(super) struct Draft<'a> {
    version: u64,
    before: &'a Ledger,
    next: Ledger,
    fence: Fence,
    now: Time,
    entry: &'a str,
    records: Vec<Record>,
}

impl<'a> Draft<'a> {
    /// Starts from the confirmed ledger and records the fence of the role in it.
    pub(super) fn new(
        version: u64,
        before: &'a Ledger,
        fence: Fence,
        now: Time,
        entry: &'a str,
    ) -> Self {
        let mut next = before.clone();
        next.raise_fence(fence)
            .expect("the caller has compared the fences");
        Self {
            version,
            before,
            next,
            fence,
            now,
            entry,
            records: Vec::new(),
        }
    }

    /// Returns the value with the changes so far.
    pub(super) fn ledger(&self) -> &Ledger {
        &self.next
    }

    /// Applies a change with the entry as its author; leaves a refused change to a later step.
    pub(super) fn apply(&mut self, change: Change, reason: &str) {
        let entry = self.entry;
        let _ = self.apply_as(change, entry, reason);
    }

    /// Applies the adopted fleet description if the ledger has an earlier revision.
    pub(super) fn apply_fleet(&mut self, input: &Input<'_>) {
        let held = self.next.document().revision;
        if input.revision <= held {
            return;
        }
        let change = Change::Inventory {
            revision: input.revision,
            fleet: Box::new(input.fleet.clone()),
        };
        self.apply(change, "new revision");
    }

    /// Applies requests; returns the reason to refuse each one, or none.
    pub(super) fn apply_requests(
        &mut self,
        requests: &[Request],
        observations: &Observations<'_>,
    ) -> Vec<Option<CompactString>> {
        requests
            .iter()
            .map(|request| self.apply_request(request, observations))
            .collect()
    }

    /// Cordons VMs for inventory edits and for the wave; starts, pauses and ends waves.
    pub(super) fn plan(&mut self, fleet: &Fleet, observations: &Observations<'_>) {
        let uninformed = observations.isolated || !observations.list_recent;
        if uninformed {
            return;
        }
        self.cordon_leaving();
        self.start_due_wave(fleet);
        let unreachable = observations.unreachable_zones.clone();
        let decisions = Planner { unreachable }.next(&self.next, self.now);
        for decision in decisions {
            match decision {
                Decision::Cordon { vm } => self.apply(Change::Cordon { vm, target: None }, "wave"),
                Decision::Pause { reason } => self.change_wave(WaveChange::Pause {
                    reason: reason.clone(),
                }),
                Decision::Finish { reason } => self.change_wave(WaveChange::Finish {
                    reason: reason.clone(),
                }),
            }
        }
    }

    /// Returns the write; none if the value equals the confirmed ledger.
    pub(super) fn finish(self) -> Option<Write> {
        if self.next == *self.before {
            return None;
        }
        Some(Write {
            expect: self.version,
            ledger: self.next,
            records: self.records,
        })
    }

    fn apply_request(
        &mut self,
        request: &Request,
        observations: &Observations<'_>,
    ) -> Option<CompactString> {
        if self.already_applied(&request.change) {
            return None;
        }
        let allowed = match &request.change {
            Change::Cordon {
                vm,
                target: Some(_),
            } => self.check_leave(vm, observations),
            Change::Quarantine { .. } | Change::Wave(_) => Ok(()),
            _ => Err("the controller decides on this change by itself".into()),
        };
        if let Err(reason) = allowed {
            return Some(reason);
        }
        let change = request.change.clone();
        self.apply_as(change, &request.author, &request.reason)
            .err()
            .map(|refusal| CompactString::from(refusal.to_string()))
    }

    /// Returns whether a request has been carried out before, as by a write whose answer was lost.
    fn already_applied(&self, change: &Change) -> bool {
        let state = self.next.wave().map(|wave| wave.state());
        match change {
            Change::Wave(WaveChange::Start { id, .. }) => {
                self.next.wave().is_some_and(|wave| wave.id == *id)
            }
            Change::Wave(WaveChange::Pause { .. }) => state == Some(WaveState::Paused),
            Change::Wave(WaveChange::Resume) => state == Some(WaveState::Running),
            Change::Wave(WaveChange::Abort { .. }) => state == Some(WaveState::Aborted),
            Change::Cordon {
                vm,
                target: Some(target),
            } => self
                .next
                .vm(vm)
                .is_some_and(|vm| vm.target == *target || vm.pool == *target),
            Change::Quarantine { vm, .. } => self
                .next
                .vm(vm)
                .is_some_and(|vm| vm.phase() == Phase::Quarantined),
            _ => false,
        }
    }

    /// Checks that a VM may be taken out of service to leave its pool.
    fn check_leave(&self, vm: &str, observations: &Observations<'_>) -> Result<(), CompactString> {
        if observations.isolated || !observations.list_recent {
            return Err("the VM list or the reports are out of date".into());
        }
        if !self.promises_hold_without(vm) {
            return Err("the spare pool could not make up for the loss of a rack".into());
        }
        Ok(())
    }

    /// Returns whether the promises hold without a VM, also after the loss of any one rack.
    fn promises_hold_without(&self, vm: &str) -> bool {
        let (mut headroom, positions) = Headroom::new(&self.next);
        let index = self.next.vms().iter().position(|item| item.name == vm);
        if let Some(index) = index {
            headroom.remove(positions[index]);
        }
        headroom.promises_hold()
    }

    /// Cordons VMs that an inventory edit has removed or reassigned.
    fn cordon_leaving(&mut self) {
        let now_ms = millis(self.now);
        let interval = millis(DRAIN_RETRY);
        let ready = |vm: &&VmState| {
            let leaving = vm.removing || !vm.target.is_empty();
            let waited = vm.skips == 0 || now_ms.saturating_sub(vm.since_ms) >= interval;
            vm.phase() == Phase::Active && leaving && waited
        };
        let vms: Vec<VmState> = self.next.vms().iter().filter(ready).cloned().collect();
        for vm in vms {
            let room = self
                .next
                .count(&vm.pool)
                .is_some_and(|count| count.allowed_disruptions() > 0);
            if room && self.promises_hold_without(&vm.name) {
                let vm = vm.name.as_str().into();
                self.apply(Change::Cordon { vm, target: None }, "inventory edit");
            }
        }
    }

    /// Starts a wave if the maintenance of a VM is due.
    fn start_due_wave(&mut self, fleet: &Fleet) {
        let days = fleet
            .rules
            .as_ref()
            .map_or(0, |rules| rules.maintenance_days);
        let Some((reason, before)) = wave::due(&self.next, days, self.now) else {
            return;
        };
        let region = &self.next.document().region;
        let start = WaveChange::Start {
            id: format!("{region}-{}", millis(self.now)),
            author: self.entry.into(),
            before,
        };
        self.apply(Change::Wave(start), &reason);
    }

    fn change_wave(&mut self, change: WaveChange) {
        let reason = match &change {
            WaveChange::Pause { reason }
            | WaveChange::Abort { reason }
            | WaveChange::Finish { reason } => reason.clone(),
            WaveChange::Start { .. } | WaveChange::Resume => String::new(),
        };
        self.apply(Change::Wave(change), &reason);
    }

    /// Applies a change and adds its audit record.
    fn apply_as(&mut self, change: Change, who: &str, reason: &str) -> Result<(), Refusal> {
        let old_revision = self.next.document().revision;
        let moved = change
            .vm()
            .and_then(|vm| self.next.vm(vm))
            .is_some_and(|vm| !vm.target.is_empty());
        self.next.apply_in_place(&change, self.fence, self.now)?;
        let Some((kind, verb)) = describe(&change, moved) else {
            return Ok(());
        };
        let edit = matches!(change, Change::Inventory { .. });
        let new_revision = self.next.document().revision;
        let region = &self.next.document().region;
        let number = self.records.len();
        let mut record = Record {
            // Contains the version, so that a repeated write logs no record twice.
            id: format!("ledger/{region}/{}/{number}", self.version + 1),
            at_ms: millis(self.now),
            who: who.into(),
            subject: change.vm().map_or(region.as_str(), |vm| vm.as_str()).into(),
            old_revision: if edit { old_revision } else { 0 },
            new_revision: if edit { new_revision } else { 0 },
            reason: format!("{verb}: {reason}"),
            ..Record::default()
        };
        record.set_kind(kind);
        self.records.push(record);
        Ok(())
    }
}

/// Returns the kind and the verb of the audit record of a change; none if the change only records an
/// observation, which has no record.
fn describe(change: &Change, moved: bool) -> Option<(Kind, &'static str)> {
    let step = if moved { Kind::Move } else { Kind::WaveStep };
    let described = match change {
        Change::Cordon {
            target: Some(_), ..
        } => (Kind::Move, "cordon"),
        Change::Cordon { .. } => (step, "cordon"),
        Change::Drain { .. } => (step, "drain"),
        Change::Drained { .. } => (step, "drained"),
        Change::Reboot { .. } => (step, "reboot"),
        Change::Returned { .. } => (step, "return"),
        Change::Uncordon { .. } => (step, "uncordon"),
        Change::Move { .. } => (Kind::Move, "move"),
        Change::Quarantine { .. } => (Kind::Quarantine, "quarantine"),
        Change::Replace { .. } => (Kind::Quarantine, "replace"),
        Change::Retire { .. } => (Kind::Edit, "retire"),
        Change::Inventory { .. } => (Kind::Edit, "inventory"),
        Change::Wave(WaveChange::Start { .. }) => (Kind::WaveStep, "wave start"),
        Change::Wave(WaveChange::Pause { .. }) => (Kind::WaveStep, "wave pause"),
        Change::Wave(WaveChange::Resume) => (Kind::WaveStep, "wave resume"),
        Change::Wave(WaveChange::Abort { .. }) => (Kind::WaveStep, "wave abort"),
        Change::Wave(WaveChange::Finish { .. }) => (Kind::WaveStep, "wave finish"),
        Change::MarkDown { .. } | Change::MarkUp { .. } => return None,
    };
    Some(described)
}
