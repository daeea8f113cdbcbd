//! Planning of maintenance waves.
//!
//! A wave takes every VM through cordon, drain, reboot and uncordon once. It
//! has no list of its own: a VM belongs to the open wave until its last
//! maintenance is later than the start of the wave, so that any holder of the
//! role goes on from the ledger alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;
use wigeonhinge_schema::ledger::Wave;
use wigeonhinge_schema::ledger::WaveState;

use crate::buffer::Headroom;
use crate::buffer::Slot;
use crate::id::Time;
use crate::id::VmId;
use crate::id::ZoneId;
use crate::ledger::Ledger;
use crate::ledger::PoolCount;
use crate::ledger::millis;

/// Drains past their deadline after which a VM is left out of the wave.
pub const MAX_SKIPS: u32 = 3;

/// Time after which a wave ends without a VM that is down.
pub const DOWN_GRACE: Duration = Duration::from_secs(24 * 3600);

/// Share of broken VMs, in percent of those handled, above which a wave pauses.
pub const BROKEN_PERCENT: u32 = 5;

/// Broken VMs below which a wave does not pause.
pub const BROKEN_LEAST: u32 = 3;

/// Days within which every VM is maintained once, unless the fleet description says otherwise.
pub const MAINTENANCE_DAYS: u32 = 42;

/// What a wave does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Take a VM out of service.
    Cordon {
        /// VM.
        vm: VmId,
    },
    /// Stop taking further VMs.
    Pause {
        /// Reason.
        reason: String,
    },
    /// End the wave.
    Finish {
        /// What was left out and why; empty when nothing was.
        reason: String,
    },
}

/// Planner of the open wave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Zones that cannot be reached; their part of the wave waits.
    pub cut: BTreeSet<ZoneId>,
}

/// Progress of a wave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// VMs maintained in the wave.
    pub done: u32,
    /// VMs on their way through the steps.
    pub under_way: u32,
    /// VMs that wait for their turn.
    pub waiting: u32,
    /// VMs whose drain passed its deadline; they come last.
    pub stragglers: Vec<VmId>,
    /// VMs that are down.
    pub down: Vec<VmId>,
    /// VMs that are quarantined.
    pub quarantined: Vec<VmId>,
}

impl Plan {
    /// Returns the next steps of the running wave; none without one.
    ///
    /// The cordons are the largest set found that keeps every pool's budget and promise and what
    /// is promised after the loss of any other rack. Pools with the most rounds left come first,
    /// as they decide when the wave ends; among their VMs, those in racks already under
    /// maintenance come first, so that planned and unplanned losses overlap.
    pub fn next(&self, ledger: &Ledger, now: Time) -> Vec<Step> {
        let Some(wave) = ledger.wave() else {
            return Vec::new();
        };
        if wave.state() != WaveState::Running {
            return Vec::new();
        }
        let progress = Progress::new(ledger, wave);
        if let Some(reason) = too_broken(wave, &progress) {
            return vec![Step::Pause { reason }];
        }
        let chosen = self.batch(ledger, wave);
        if !chosen.is_empty() {
            return chosen.into_iter().map(|vm| Step::Cordon { vm }).collect();
        }
        self.rest(ledger, wave, &progress, now)
    }

    /// Returns the VMs to take out of service now.
    fn batch(&self, ledger: &Ledger, wave: &Wave) -> Vec<VmId> {
        let mut counts = ledger.counts();
        let (mut headroom, slots) = Headroom::new(ledger);
        let mut chosen = Vec::new();
        for index in self.order(ledger, wave, &counts) {
            let vm = &ledger.vms()[index];
            let Some(count) = counts.get_mut(vm.pool.as_str()) else {
                continue;
            };
            if count.room() == 0 {
                continue;
            }
            let slot: Slot = slots[index];
            headroom.remove(slot);
            if !headroom.holds() {
                headroom.restore(slot);
                continue;
            }
            count.active -= 1;
            chosen.push(vm.name.as_str().into());
        }
        chosen
    }

    /// Returns the VMs that may be taken, in the order of preference.
    fn order(
        &self,
        ledger: &Ledger,
        wave: &Wave,
        counts: &BTreeMap<crate::id::PoolId, PoolCount>,
    ) -> Vec<usize> {
        let mut left: BTreeMap<&str, u32> = BTreeMap::new();
        let mut started: BTreeSet<(&str, &str)> = BTreeSet::new();
        for vm in ledger.vms() {
            if pending(vm, wave) {
                *left.entry(&vm.pool).or_default() += 1;
            }
            if under_way(vm) {
                started.insert((&vm.zone, &vm.rack));
            }
        }
        let rounds = |pool: &str| {
            let budget = counts.get(pool).map_or(1, |count| count.max_unavailable);
            let left = left.get(pool).copied().unwrap_or(0);
            left.div_ceil(budget.max(1))
        };
        let mut order: Vec<usize> = ledger
            .vms()
            .iter()
            .enumerate()
            .filter(|(_, vm)| self.eligible(vm, wave))
            .map(|(index, _)| index)
            .collect();
        order.sort_by_cached_key(|&index| {
            let vm = &ledger.vms()[index];
            let rack = (vm.zone.as_str(), vm.rack.as_str());
            (
                vm.skips,
                std::cmp::Reverse(rounds(&vm.pool)),
                !started.contains(&rack),
                rack,
                index,
            )
        });
        order
    }

    fn eligible(&self, vm: &VmState, wave: &Wave) -> bool {
        pending(vm, wave)
            && vm.phase() == Phase::Active
            && !vm.removing
            && vm.target.is_empty()
            && vm.skips < MAX_SKIPS
            && !self.cut.contains(vm.zone.as_str())
    }

    /// Decides on a wave that cannot take a further VM now.
    fn rest(&self, ledger: &Ledger, wave: &Wave, progress: &Progress, now: Time) -> Vec<Step> {
        let grace = millis(DOWN_GRACE);
        let recent = |vm: &VmState| millis(now).saturating_sub(vm.since_ms) < grace;
        let mut blocked = ledger.vms().iter().filter(|vm| self.eligible(vm, wave));
        let mut out = ledger.vms().iter().filter(|vm| vm.phase() != Phase::Active);
        if let Some(vm) = blocked.next() {
            let young = millis(now).saturating_sub(wave.started_ms) < grace;
            if out.any(|vm| under_way(vm) || recent(vm)) || young && reserve_lent(ledger) {
                return Vec::new();
            }
            let reason = blocked_reason(ledger, vm, blocked.count() + 1);
            return vec![Step::Pause { reason }];
        }
        let awaited =
            |vm: &VmState| under_way(vm) || vm.phase() == Phase::Down && !vm.removing && recent(vm);
        let mut pending = ledger.vms().iter().filter(|vm| pending(vm, wave));
        if pending.any(|vm| awaited(vm) || self.cut.contains(vm.zone.as_str())) {
            return Vec::new();
        }
        let reason = left_out(progress);
        vec![Step::Finish { reason }]
    }
}

impl Progress {
    /// Counts the progress of a wave.
    pub fn new(ledger: &Ledger, wave: &Wave) -> Self {
        let mut progress = Self::default();
        for vm in ledger.vms() {
            progress.add(vm, wave);
        }
        progress
    }

    fn add(&mut self, vm: &VmState, wave: &Wave) {
        let name = || VmId::from(vm.name.as_str());
        match vm.phase() {
            Phase::Quarantined => self.quarantined.push(name()),
            Phase::Down => self.down.push(name()),
            _ if vm.maintained_ms >= wave.started_ms => self.done += 1,
            _ if !pending(vm, wave) => {}
            Phase::Active if vm.skips > 0 => self.stragglers.push(name()),
            Phase::Active => self.waiting += 1,
            _ => self.under_way += 1,
        }
    }
}

/// Returns why a wave is due by default, and the time before which a VM must last have been
/// maintained to belong to it; none when no wave is due.
///
/// A wave starts once six sevenths of the time given to the maintenance of a VM have passed, which
/// leaves a seventh, 6 days of 42, for the wave itself. It takes the VMs that were not maintained
/// in the second half of the period.
pub fn due(ledger: &Ledger, days: u32, now: Time) -> Option<(String, Time)> {
    if ledger.wave_open() {
        return None;
    }
    let days = if days == 0 { MAINTENANCE_DAYS } else { days };
    let period = Duration::from_secs(u64::from(days) * 24 * 3600);
    let limit = millis(period / 7 * 6);
    let oldest = ledger
        .vms()
        .iter()
        .filter(|vm| vm.phase() == Phase::Active && vm.skips < MAX_SKIPS)
        .min_by_key(|vm| vm.maintained_ms)?;
    let age = millis(now).saturating_sub(oldest.maintained_ms);
    (age > limit).then(|| {
        let name = &oldest.name;
        let reason = format!("VM {name:?} is due: every VM is maintained once in {days} days");
        (reason, now.saturating_sub(period / 2))
    })
}

/// Returns whether a VM is yet to be maintained in a wave.
pub(crate) fn pending(vm: &VmState, wave: &Wave) -> bool {
    vm.maintained_ms < wave.before_ms
}

fn under_way(vm: &VmState) -> bool {
    !matches!(vm.phase(), Phase::Active | Phase::Down | Phase::Quarantined)
}

/// Returns whether VMs of the spare pool work elsewhere; the balancer returns idle ones.
fn reserve_lent(ledger: &Ledger) -> bool {
    let spare = ledger.pools().iter().find(|pool| pool.spare);
    spare.is_some_and(|spare| {
        let lent = |vm: &VmState| vm.home == spare.name && vm.pool != spare.name;
        ledger.vms().iter().any(lent)
    })
}

fn too_broken(wave: &Wave, progress: &Progress) -> Option<String> {
    let handled = progress.done + wave.broken;
    let broken = wave.broken;
    let exceeded = broken * 100 > handled * BROKEN_PERCENT;
    (broken >= BROKEN_LEAST && exceeded)
        .then(|| format!("{broken} of {handled} VMs came back broken"))
}

fn blocked_reason(ledger: &Ledger, vm: &VmState, number: usize) -> String {
    let pool = &vm.pool;
    let cause = match ledger.count(pool) {
        Some(count) if count.max_unavailable == 0 => "its budget is 0".into(),
        Some(count) if count.room() == 0 => format!(
            "{} of its VMs are unavailable and {} are active",
            count.unavailable(),
            count.active
        ),
        _ => "the spare pool could not make up for the loss of a rack".into(),
    };
    format!("{number} VMs wait; pool {pool:?} can spare none: {cause}")
}

fn left_out(progress: &Progress) -> String {
    let groups = [
        ("not drained in time", &progress.stragglers),
        ("down", &progress.down),
        ("quarantined", &progress.quarantined),
    ];
    let parts: Vec<String> = groups
        .iter()
        .filter(|(_, vms)| !vms.is_empty())
        .map(|(cause, vms)| format!("{} {cause}: {}", vms.len(), vms.join(", ")))
        .collect();
    parts.join("; ")
}
