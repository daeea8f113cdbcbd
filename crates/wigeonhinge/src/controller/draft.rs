//! The next ledger value while a step makes it.

use std::time::Duration;

use compact_str::CompactString;
use wigeonhinge_schema::audit::Kind;
use wigeonhinge_schema::audit::Record;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;
use wigeonhinge_schema::ledger::WaveState;

use crate::buffer::Headroom;
use crate::controller::Facts;
use crate::controller::Input;
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

/// Time after which the drain of a VM that leaves its pool is tried again.
const LEAVE_RETRY: Duration = Duration::from_secs(600);

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
    /// Starts from the confirmed ledger and takes it over for the fence.
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

    /// Returns the value so far.
    pub(super) fn ledger(&self) -> &Ledger {
        &self.next
    }

    /// Applies a change in the name of the entry; a refused one is left for a later step.
    pub(super) fn apply(&mut self, change: Change, reason: &str) {
        let entry = self.entry;
        let _ = self.apply_for(change, entry, reason);
    }

    /// Follows the adopted fleet description when it is newer.
    pub(super) fn follow(&mut self, input: &Input<'_>) {
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

    /// Carries out requests and returns why each one is refused.
    pub(super) fn answer(
        &mut self,
        requests: &[Request],
        facts: &Facts<'_>,
    ) -> Vec<Option<CompactString>> {
        requests
            .iter()
            .map(|request| self.answer_one(request, facts))
            .collect()
    }

    /// Takes VMs out of service for inventory edits and for the wave.
    pub(super) fn plan(&mut self, fleet: &Fleet, facts: &Facts<'_>) {
        let held = facts.blind || !facts.listed;
        if held {
            return;
        }
        self.plan_leaving();
        self.start_due(fleet);
        let unreachable = facts.cut.clone();
        let decisions = Planner { unreachable }.next(&self.next, self.now);
        for decision in decisions {
            match decision {
                Decision::Cordon { vm } => self.apply(Change::Cordon { vm, target: None }, "wave"),
                Decision::Pause { reason } => self.wave(WaveChange::Pause {
                    reason: reason.clone(),
                }),
                Decision::Finish { reason } => self.wave(WaveChange::Finish {
                    reason: reason.clone(),
                }),
            }
        }
    }

    /// Returns the write, if anything has changed.
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

    fn answer_one(&mut self, request: &Request, facts: &Facts<'_>) -> Option<CompactString> {
        if self.fulfilled(&request.change) {
            return None;
        }
        let allowed = match &request.change {
            Change::Cordon {
                vm,
                target: Some(_),
            } => self.may_leave(vm, facts),
            Change::Quarantine { .. } | Change::Wave(_) => Ok(()),
            _ => Err("the controller decides on this change by itself".into()),
        };
        if let Err(reason) = allowed {
            return Some(reason);
        }
        let change = request.change.clone();
        self.apply_for(change, &request.author, &request.reason)
            .err()
            .map(|refusal| CompactString::from(refusal.to_string()))
    }

    /// Returns whether a request has been carried out already, as after a lost answer.
    fn fulfilled(&self, change: &Change) -> bool {
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

    /// Returns whether a VM may be taken out of service to leave its pool.
    fn may_leave(&self, vm: &str, facts: &Facts<'_>) -> Result<(), CompactString> {
        if facts.blind || !facts.listed {
            return Err("the VM list or the reports are out of date".into());
        }
        if !self.affordable(vm) {
            return Err("the spare pool could not make up for the loss of a rack".into());
        }
        Ok(())
    }

    /// Returns whether the promises hold without a VM, also after the loss of a rack.
    fn affordable(&self, vm: &str) -> bool {
        let (mut headroom, positions) = Headroom::new(&self.next);
        let index = self.next.vms().iter().position(|item| item.name == vm);
        if let Some(index) = index {
            headroom.remove(positions[index]);
        }
        headroom.promises_hold()
    }

    /// Cordons VMs that an inventory edit removes or reassigns.
    fn plan_leaving(&mut self) {
        let now_ms = millis(self.now);
        let retry = millis(LEAVE_RETRY);
        let ready = |vm: &&VmState| {
            let leaving = vm.removing || !vm.target.is_empty();
            let waited = vm.skips == 0 || now_ms.saturating_sub(vm.since_ms) >= retry;
            vm.phase() == Phase::Active && leaving && waited
        };
        let vms: Vec<VmState> = self.next.vms().iter().filter(ready).cloned().collect();
        for vm in vms {
            let room = self
                .next
                .count(&vm.pool)
                .is_some_and(|count| count.allowed_disruptions() > 0);
            if room && self.affordable(&vm.name) {
                let vm = vm.name.as_str().into();
                self.apply(Change::Cordon { vm, target: None }, "inventory edit");
            }
        }
    }

    /// Starts the default wave when a VM is due.
    fn start_due(&mut self, fleet: &Fleet) {
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

    fn wave(&mut self, change: WaveChange) {
        let reason = match &change {
            WaveChange::Pause { reason }
            | WaveChange::Abort { reason }
            | WaveChange::Finish { reason } => reason.clone(),
            WaveChange::Start { .. } | WaveChange::Resume => String::new(),
        };
        self.apply(Change::Wave(change), &reason);
    }

    fn apply_for(&mut self, change: Change, who: &str, reason: &str) -> Result<(), Refusal> {
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
            // The version is part of the identifier, so that a repeated write logs nothing twice.
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

/// Returns the kind of a change in the audit trail and its name; none for a plain observation.
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
