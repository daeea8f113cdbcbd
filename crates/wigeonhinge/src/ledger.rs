//! Ownership and maintenance state of the VMs of a region.
//!
//! The whole state of a region is one store document. [`Ledger::apply`] checks
//! ownership, phase order, fence and budgets on the value that the
//! compare-and-swap replaces. If two controllers both believe that they hold
//! the role, one of them loses the write, and neither can exceed a budget.

mod change;
mod inventory;

use std::collections::BTreeMap;

use wigeonhinge_schema::ledger as schema;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::PoolState;
use wigeonhinge_schema::ledger::VmState;
use wigeonhinge_schema::ledger::Wave;
use wigeonhinge_schema::ledger::WaveState;

pub use crate::ledger::change::Change;
pub use crate::ledger::change::Refusal;
pub use crate::ledger::change::WaveChange;

use crate::id::Fence;
use crate::id::PoolId;
use crate::id::Time;

/// Ownership and maintenance state of the VMs of a region.
///
/// ```
/// use std::time::Duration;
///
/// use wigeonhinge::ledger::Change;
/// use wigeonhinge::ledger::Ledger;
/// use wigeonhinge::ledger::Refusal;
///
/// let ledger = Ledger::new("north");
/// let change = Change::Drained { vm: "vm-1".into() };
/// let refusal = ledger.apply(&change, 1, Duration::ZERO);
/// assert_eq!(refusal, Err(Refusal::UnknownVm { vm: "vm-1".into() }));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    doc: schema::Ledger,
}

// Documents hold no floating-point numbers, so every document equals itself.
impl Eq for Ledger {}

/// Number of VMs of a pool by availability, and the limits of the pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolCount {
    /// VMs that belong to the pool.
    pub size: u32,
    /// VMs in phase `Active`.
    pub active: u32,
    /// VMs that are to leave the pool: removed from the fleet or moving to another pool.
    pub leaving: u32,
    /// Budget: VMs that may be unavailable at the same time.
    pub max_unavailable: u32,
    /// VMs promised to the owner.
    pub promised: u32,
    /// Whether this is the spare pool, whose capacity the other pools share.
    pub spare: bool,
}

impl Ledger {
    /// Returns the ledger of a region without VMs.
    pub fn new(region: &str) -> Self {
        let doc = schema::Ledger {
            region: region.into(),
            ..schema::Ledger::default()
        };
        Self { doc }
    }

    /// Returns the ledger of a stored document, with VMs and pools sorted by name.
    pub fn from_document(mut doc: schema::Ledger) -> Self {
        doc.vms.sort_by(|a, b| a.name.cmp(&b.name));
        doc.pools.sort_by(|a, b| a.name.cmp(&b.name));
        Self { doc }
    }

    /// Returns the document to write to the store.
    pub fn document(&self) -> &schema::Ledger {
        &self.doc
    }

    /// Returns the ledger after a change.
    ///
    /// `now` is the time since the Unix epoch: other controllers compare the times in the ledger
    /// with their own clocks.
    ///
    /// # Errors
    ///
    /// Refuses a change whose fence is lower than that of the last writer, that names an unknown
    /// VM or pool, that skips a phase, or that takes a VM out of service and so exceeds a pool's
    /// budget or breaks its promise.
    pub fn apply(&self, change: &Change, fence: Fence, now: Time) -> Result<Self, Refusal> {
        self.apply_all(std::slice::from_ref(change), fence, now)
    }

    /// Returns the ledger after several changes, in order.
    ///
    /// # Errors
    ///
    /// Refuses all changes if [`Ledger::apply`] would refuse one of them.
    pub fn apply_all(&self, changes: &[Change], fence: Fence, now: Time) -> Result<Self, Refusal> {
        let mut next = self.clone();
        next.raise_fence(fence)?;
        for change in changes {
            next.apply_in_place(change, fence, now)?;
        }
        Ok(next)
    }

    /// Returns the VMs, sorted by name.
    pub fn vms(&self) -> &[VmState] {
        &self.doc.vms
    }

    /// Returns the VM of a name; none if the ledger does not list it.
    pub fn vm(&self, name: &str) -> Option<&VmState> {
        let index = self.index(name)?;
        self.doc.vms.get(index)
    }

    /// Returns the rules of the pools, sorted by name.
    pub fn pools(&self) -> &[PoolState] {
        &self.doc.pools
    }

    /// Returns the latest wave, also after its end; none before the first.
    pub fn wave(&self) -> Option<&Wave> {
        self.doc.wave.as_ref()
    }

    /// Returns whether a wave is running or paused.
    pub fn wave_open(&self) -> bool {
        self.wave()
            .is_some_and(|wave| matches!(wave.state(), WaveState::Running | WaveState::Paused))
    }

    /// Returns whether a wave is running.
    pub fn wave_running(&self) -> bool {
        self.wave()
            .is_some_and(|wave| wave.state() == WaveState::Running)
    }

    /// Returns the counts of every pool.
    pub fn counts(&self) -> BTreeMap<PoolId, PoolCount> {
        let mut counts: BTreeMap<PoolId, PoolCount> = self
            .doc
            .pools
            .iter()
            .map(|pool| (PoolId::from(pool.name.as_str()), PoolCount::new(pool)))
            .collect();
        for vm in &self.doc.vms {
            if let Some(count) = counts.get_mut(vm.pool.as_str()) {
                count.add(vm);
            }
        }
        counts
    }

    /// Returns the counts of a pool; none if the ledger does not list it.
    pub fn count(&self, pool: &str) -> Option<PoolCount> {
        let rules = self.doc.pools.iter().find(|item| item.name == pool)?;
        let mut count = PoolCount::new(rules);
        for vm in self.doc.vms.iter().filter(|vm| vm.pool == pool) {
            count.add(vm);
        }
        Some(count)
    }

    /// Raises the fence to that of a writer and refuses a lower one.
    pub(crate) fn raise_fence(&mut self, fence: Fence) -> Result<(), Refusal> {
        let held = self.doc.fence;
        if fence < held {
            return Err(Refusal::Fence { held, given: fence });
        }
        self.doc.fence = fence;
        Ok(())
    }

    /// Applies a change in place; a refused change alters nothing but the fence.
    pub(crate) fn apply_in_place(
        &mut self,
        change: &Change,
        fence: Fence,
        now: Time,
    ) -> Result<(), Refusal> {
        self.raise_fence(fence)?;
        self.apply_change(change, fence, now)
    }

    fn index(&self, name: &str) -> Option<usize> {
        self.doc
            .vms
            .binary_search_by(|vm| vm.name.as_str().cmp(name))
            .ok()
    }

    fn apply_change(&mut self, change: &Change, fence: Fence, now: Time) -> Result<(), Refusal> {
        match change {
            Change::Wave(wave) => return self.apply_wave(wave, now),
            Change::Inventory { revision, fleet } => {
                return self.apply_inventory(*revision, fleet, fence, now);
            }
            _ => {}
        }
        let name = change.vm().expect("the change names a VM");
        let index = self
            .index(name)
            .ok_or_else(|| Refusal::UnknownVm { vm: name.clone() })?;
        let phase = self.doc.vms[index].phase();
        let next = next_phase(change, phase).ok_or_else(|| Refusal::Phase {
            vm: name.clone(),
            phase,
        })?;
        self.check_rules(change, index)?;
        if matches!(change, Change::Retire { .. }) {
            self.doc.vms.remove(index);
            return Ok(());
        }
        let now_ms = millis(now);
        let vm = &mut self.doc.vms[index];
        // A VM that is quarantined during its reboot, or before its return, counts as broken.
        let after_reboot = phase == Phase::Returning && vm.maintained_ms == vm.since_ms;
        let rebooted = after_reboot || phase == Phase::Rebooting;
        update_fields(vm, change, now_ms);
        vm.set_phase(next);
        vm.since_ms = now_ms;
        vm.fence = fence;
        vm.step += 1;
        if matches!(change, Change::Quarantine { .. }) && rebooted {
            self.count_broken();
        }
        Ok(())
    }

    /// Checks budgets, promises and the purpose of a drain; the phase has been checked before.
    fn check_rules(&self, change: &Change, index: usize) -> Result<(), Refusal> {
        let vm = &self.doc.vms[index];
        match change {
            Change::Cordon { target, .. } => {
                self.check_budget(&vm.pool)?;
                match target {
                    Some(target) => self.check_move(&vm.pool, target),
                    None => Ok(()),
                }
            }
            Change::Reboot { .. } if vm.removing || !vm.target.is_empty() => self.refuse_phase(vm),
            Change::Move { .. } if vm.removing || vm.target.is_empty() => self.refuse_phase(vm),
            Change::Retire { .. } if !vm.removing => self.refuse_phase(vm),
            _ => Ok(()),
        }
    }

    fn refuse_phase(&self, vm: &VmState) -> Result<(), Refusal> {
        Err(Refusal::Phase {
            vm: vm.name.as_str().into(),
            phase: vm.phase(),
        })
    }

    /// Checks that one more active VM of a pool may be taken out of service voluntarily.
    fn check_budget(&self, pool: &str) -> Result<(), Refusal> {
        let count = self.pool_count(pool)?;
        if count.unavailable() + 1 > count.max_unavailable {
            return Err(Refusal::Budget {
                pool: pool.into(),
                unavailable: count.unavailable() + 1,
                limit: count.max_unavailable,
            });
        }
        if count.active <= count.promised {
            return Err(Refusal::Promise {
                pool: pool.into(),
                left: count.active.saturating_sub(1),
                needed: count.promised,
            });
        }
        Ok(())
    }

    /// Checks that a pool with one VM less can still keep its promise while its budget is used up.
    ///
    /// Without the budget on top of the promise, a pool could give away the VMs that its own
    /// maintenance needs.
    fn check_move(&self, pool: &str, target: &str) -> Result<(), Refusal> {
        self.pool_count(target)?;
        let count = self.pool_count(pool)?;
        let left = (count.size - count.leaving).saturating_sub(1);
        let needed = count.promised + count.max_unavailable;
        if left < needed {
            return Err(Refusal::Promise {
                pool: pool.into(),
                left,
                needed,
            });
        }
        Ok(())
    }

    fn pool_count(&self, pool: &str) -> Result<PoolCount, Refusal> {
        self.count(pool)
            .ok_or_else(|| Refusal::UnknownPool { pool: pool.into() })
    }

    fn apply_wave(&mut self, change: &WaveChange, now: Time) -> Result<(), Refusal> {
        let now_ms = millis(now);
        if let WaveChange::Start { id, author, before } = change {
            let wave = Wave {
                id: id.clone(),
                author: author.clone(),
                started_ms: now_ms,
                before_ms: millis(*before).min(now_ms),
                ..Wave::default()
            };
            return self.start_wave(wave);
        }
        let expected = match change {
            WaveChange::Pause { .. } | WaveChange::Finish { .. } => "running",
            WaveChange::Resume => "paused",
            _ => "running or paused",
        };
        let refusal = Refusal::Wave { expected };
        let Some(wave) = &mut self.doc.wave else {
            return Err(refusal);
        };
        let (state, reason) = match (change, wave.state()) {
            (WaveChange::Pause { reason }, WaveState::Running) => (WaveState::Paused, reason),
            (WaveChange::Resume, WaveState::Paused) => (WaveState::Running, &String::new()),
            (WaveChange::Abort { reason }, WaveState::Running | WaveState::Paused) => {
                (WaveState::Aborted, reason)
            }
            (WaveChange::Finish { reason }, WaveState::Running) => (WaveState::Done, reason),
            _ => return Err(refusal),
        };
        wave.reason.clone_from(reason);
        wave.set_state(state);
        if matches!(state, WaveState::Aborted | WaveState::Done) {
            wave.finished_ms = now_ms;
        }
        if matches!(change, WaveChange::Resume) {
            wave.broken = 0;
        }
        Ok(())
    }

    fn start_wave(&mut self, wave: Wave) -> Result<(), Refusal> {
        if self.wave_open() {
            let expected = "done or aborted";
            return Err(Refusal::Wave { expected });
        }
        self.doc.wave = Some(wave);
        for vm in &mut self.doc.vms {
            vm.skips = 0;
        }
        Ok(())
    }

    fn count_broken(&mut self) {
        if !self.wave_open() {
            return;
        }
        if let Some(wave) = &mut self.doc.wave {
            wave.broken += 1;
        }
    }
}

impl PoolCount {
    /// Returns how many VMs of the pool are not active.
    pub fn unavailable(&self) -> u32 {
        self.size - self.active
    }

    /// Returns how many more VMs may be taken out of service voluntarily.
    pub fn allowed_disruptions(&self) -> u32 {
        let budget = self.max_unavailable.saturating_sub(self.unavailable());
        budget.min(self.active.saturating_sub(self.promised))
    }

    fn new(pool: &PoolState) -> Self {
        Self {
            max_unavailable: pool.max_unavailable,
            promised: pool.promised,
            spare: pool.spare,
            ..Self::default()
        }
    }

    fn add(&mut self, vm: &VmState) {
        self.size += 1;
        if vm.phase() == Phase::Active {
            self.active += 1;
        }
        if vm.removing || !vm.target.is_empty() {
            self.leaving += 1;
        }
    }
}

/// Converts a time to whole milliseconds, the unit of stored documents.
pub(crate) fn millis(time: Time) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the phase after a change; none if the change is not allowed in the present phase.
fn next_phase(change: &Change, phase: Phase) -> Option<Phase> {
    let next = match (change, phase) {
        (Change::Cordon { .. }, Phase::Active) => Phase::Cordoned,
        (Change::Drain { .. }, Phase::Cordoned) => Phase::Draining,
        (Change::Drained { .. }, Phase::Draining) => Phase::Drained,
        (Change::Reboot { .. }, Phase::Drained | Phase::Rebooting) => Phase::Rebooting,
        (Change::Move { .. }, Phase::Drained) => Phase::Moving,
        (Change::Returned { skipped: false, .. }, Phase::Cordoned | Phase::Drained) => {
            Phase::Returning
        }
        (Change::Returned { .. }, Phase::Draining) => Phase::Returning,
        (Change::Returned { skipped: false, .. }, Phase::Rebooting) => Phase::Returning,
        (Change::Uncordon { .. }, Phase::Returning | Phase::Moving) => Phase::Active,
        (Change::MarkDown { .. }, Phase::Down | Phase::Quarantined) => return None,
        (Change::MarkDown { .. }, _) => Phase::Down,
        (Change::MarkUp { .. }, Phase::Down) => Phase::Returning,
        (Change::Quarantine { .. }, Phase::Quarantined) => return None,
        (Change::Quarantine { .. }, _) => Phase::Quarantined,
        (Change::Replace { .. }, Phase::Quarantined) => Phase::Returning,
        (Change::Retire { .. }, Phase::Drained | Phase::Down | Phase::Quarantined) => phase,
        _ => return None,
    };
    Some(next)
}

/// Updates the fields of a VM that depend on the change; the caller sets the phase.
fn update_fields(vm: &mut VmState, change: &Change, now_ms: u64) {
    vm.deadline_ms = 0;
    match change {
        Change::Cordon {
            target: Some(target),
            ..
        } => vm.target = target.to_string(),
        Change::Drain { deadline, .. } => vm.deadline_ms = millis(*deadline),
        Change::Reboot { boot, deadline, .. } => {
            vm.skips += u32::from(vm.phase() == Phase::Rebooting);
            vm.boot = *boot;
            vm.deadline_ms = millis(*deadline);
        }
        Change::Returned { skipped, .. } => {
            if vm.phase() == Phase::Rebooting {
                vm.maintained_ms = now_ms;
            } else {
                vm.skips += u32::from(*skipped);
                cancel_move(vm);
            }
        }
        Change::Uncordon { .. } if vm.phase() == Phase::Moving && !vm.target.is_empty() => {
            vm.pool = std::mem::take(&mut vm.target);
        }
        Change::MarkDown { .. } => cancel_move(vm),
        Change::Quarantine { boot, .. } => {
            vm.boot = *boot;
            cancel_move(vm);
        }
        Change::Replace { .. } => vm.maintained_ms = now_ms,
        _ => {}
    }
}

/// Cancels a move unless the fleet description asks for it.
fn cancel_move(vm: &mut VmState) {
    if vm.target != vm.home {
        vm.target = String::new();
    }
}
