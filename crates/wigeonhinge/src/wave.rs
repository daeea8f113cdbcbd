//! Planning of maintenance waves.
//!
//! A wave takes every VM through cordon, drain, reboot and uncordon once. It
//! keeps no list of VMs: a VM belongs to the open wave as long as its last
//! maintenance is earlier than the time `before` of the wave. Any holder of the
//! role can therefore continue the wave from the ledger alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;
use wigeonhinge_schema::ledger::Wave;
use wigeonhinge_schema::ledger::WaveState;

use crate::buffer::Headroom;
use crate::buffer::Position;
use crate::id::Time;
use crate::id::VmId;
use crate::id::ZoneId;
use crate::ledger::Ledger;
use crate::ledger::PoolCount;
use crate::ledger::millis;

/// Drains past their deadline after which the wave leaves a VM out.
pub const MAX_SKIPS: u32 = 3;

/// Time for which a wave waits for a VM that is down before it ends without it.
pub const DOWN_GRACE: Duration = Duration::from_secs(24 * 3600);

/// Percentage of broken VMs, among those maintained or broken, above which a wave pauses.
pub const MAX_BROKEN_PERCENT: u32 = 5;

/// Number of broken VMs below which a wave does not pause, whatever their percentage.
pub const MIN_BROKEN_VMS: u32 = 3;

/// Days within which every VM is maintained once if the fleet description gives no other period.
pub const DEFAULT_MAINTENANCE_DAYS: u32 = 42;

/// Decision of the planner on the running wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Take a VM out of service.
    Cordon {
        /// Active VM whose maintenance starts.
        vm: VmId,
    },
    /// Pause the wave until an operator resumes it.
    Pause {
        /// Reason for the operator.
        reason: String,
    },
    /// End the wave.
    Finish {
        /// VMs that were not maintained and why; empty if all were.
        reason: String,
    },
}

/// Planner of the open wave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Planner {
    /// Zones that cannot be reached; the wave waits for their VMs.
    pub unreachable: BTreeSet<ZoneId>,
}

/// Progress of a wave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// VMs maintained since the start of the wave.
    pub done: u32,
    /// VMs between their cordon and their return to service.
    pub in_progress: u32,
    /// Active VMs that are yet to be maintained and whose drain has not passed its deadline.
    pub waiting: u32,
    /// Active VMs whose drain passed its deadline; they are retried last.
    pub stragglers: Vec<VmId>,
    /// VMs that are down, whether the wave has maintained them or not.
    pub down: Vec<VmId>,
    /// VMs that are quarantined, of this wave or from before.
    pub quarantined: Vec<VmId>,
}

impl Planner {
    /// Returns the next decisions on the running wave; none if no wave is running.
    ///
    /// The cordons are chosen greedily, as many as keep every pool's budget and promise, also after
    /// the loss of any one rack. Pools with the most rounds left come first, because they determine
    /// when the wave ends. Among their VMs, those in racks already under maintenance come first: a
    /// loss of such a rack then takes fewer VMs that are still active.
    pub fn next(&self, ledger: &Ledger, now: Time) -> Vec<Decision> {
        let Some(wave) = ledger.wave() else {
            return Vec::new();
        };
        if wave.state() != WaveState::Running {
            return Vec::new();
        }
        let progress = Progress::new(ledger, wave);
        if let Some(reason) = broken_reason(wave, &progress) {
            return vec![Decision::Pause { reason }];
        }
        let chosen = self.select(ledger, wave);
        if !chosen.is_empty() {
            return chosen
                .into_iter()
                .map(|vm| Decision::Cordon { vm })
                .collect();
        }
        self.conclude(ledger, wave, &progress, now)
    }

    /// Returns the VMs that can be taken out of service now.
    fn select(&self, ledger: &Ledger, wave: &Wave) -> Vec<VmId> {
        let mut counts = ledger.counts();
        let (mut headroom, positions) = Headroom::new(ledger);
        let mut chosen = Vec::new();
        for index in self.candidates(ledger, wave, &counts) {
            let vm = &ledger.vms()[index];
            let Some(count) = counts.get_mut(vm.pool.as_str()) else {
                continue;
            };
            if count.allowed_disruptions() == 0 {
                continue;
            }
            let position: Position = positions[index];
            headroom.remove(position);
            if !headroom.promises_hold() {
                headroom.restore(position);
                continue;
            }
            count.active -= 1;
            chosen.push(vm.name.as_str().into());
        }
        chosen
    }

    /// Returns the indexes of the VMs that the wave may take, in order of preference.
    fn candidates(
        &self,
        ledger: &Ledger,
        wave: &Wave,
        counts: &BTreeMap<crate::id::PoolId, PoolCount>,
    ) -> Vec<usize> {
        let mut remaining: BTreeMap<&str, u32> = BTreeMap::new();
        let mut in_maintenance: BTreeSet<(&str, &str)> = BTreeSet::new();
        for vm in ledger.vms() {
            if pending(vm, wave) {
                *remaining.entry(&vm.pool).or_default() += 1;
            }
            if in_progress(vm) {
                in_maintenance.insert((&vm.zone, &vm.rack));
            }
        }
        let rounds = |pool: &str| {
            let budget = counts.get(pool).map_or(1, |count| count.max_unavailable);
            let remaining = remaining.get(pool).copied().unwrap_or(0);
            remaining.div_ceil(budget.max(1))
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
                !in_maintenance.contains(&rack),
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
            && !self.unreachable.contains(vm.zone.as_str())
    }

    /// Decides whether a wave that cannot take a further VM now waits, pauses or ends.
    fn conclude(
        &self,
        ledger: &Ledger,
        wave: &Wave,
        progress: &Progress,
        now: Time,
    ) -> Vec<Decision> {
        let grace = millis(DOWN_GRACE);
        let recent = |vm: &VmState| millis(now).saturating_sub(vm.since_ms) < grace;
        let mut blocked = ledger.vms().iter().filter(|vm| self.eligible(vm, wave));
        let mut inactive = ledger.vms().iter().filter(|vm| vm.phase() != Phase::Active);
        if let Some(vm) = blocked.next() {
            let wave_recent = millis(now).saturating_sub(wave.started_ms) < grace;
            if inactive.any(|vm| in_progress(vm) || recent(vm))
                || wave_recent && spare_in_use(ledger)
            {
                return Vec::new();
            }
            let reason = blocked_reason(ledger, vm, blocked.count() + 1);
            return vec![Decision::Pause { reason }];
        }
        let awaited = |vm: &VmState| {
            in_progress(vm) || vm.phase() == Phase::Down && !vm.removing && recent(vm)
        };
        let mut pending = ledger.vms().iter().filter(|vm| pending(vm, wave));
        if pending.any(|vm| awaited(vm) || self.unreachable.contains(vm.zone.as_str())) {
            return Vec::new();
        }
        let reason = finish_reason(progress);
        vec![Decision::Finish { reason }]
    }
}

impl Progress {
    /// Counts the VMs of a ledger by their progress in a wave.
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
            _ => self.in_progress += 1,
        }
    }
}

/// Returns the reason to start a wave without a request, and the time before which a VM must last
/// have been maintained to belong to it; none if no wave is due.
///
/// Every VM is to be maintained once in `days` days; 0 stands for [`DEFAULT_MAINTENANCE_DAYS`]. A
/// wave is due once six sevenths of this period have passed for a VM, which leaves a seventh, 6
/// days of 42, for the wave itself. It takes the VMs that were not maintained in the second half of
/// the period.
pub fn due(ledger: &Ledger, days: u32, now: Time) -> Option<(String, Time)> {
    if ledger.wave_open() {
        return None;
    }
    let days = if days == 0 {
        DEFAULT_MAINTENANCE_DAYS
    } else {
        days
    };
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

fn in_progress(vm: &VmState) -> bool {
    !matches!(vm.phase(), Phase::Active | Phase::Down | Phase::Quarantined)
}

/// Returns whether VMs of the spare pool are in other pools; the balancer returns idle ones.
fn spare_in_use(ledger: &Ledger) -> bool {
    let spare = ledger.pools().iter().find(|pool| pool.spare);
    spare.is_some_and(|spare| {
        let elsewhere = |vm: &VmState| vm.home == spare.name && vm.pool != spare.name;
        ledger.vms().iter().any(elsewhere)
    })
}

/// Returns the reason to pause a wave in which too many VMs came back broken.
fn broken_reason(wave: &Wave, progress: &Progress) -> Option<String> {
    let handled = progress.done + wave.broken;
    let broken = wave.broken;
    let exceeded = broken * 100 > handled * MAX_BROKEN_PERCENT;
    (broken >= MIN_BROKEN_VMS && exceeded)
        .then(|| format!("{broken} of {handled} VMs came back broken"))
}

/// Returns the reason to pause a wave that cannot take any of its remaining VMs.
fn blocked_reason(ledger: &Ledger, vm: &VmState, number: usize) -> String {
    let pool = &vm.pool;
    let cause = match ledger.count(pool) {
        Some(count) if count.max_unavailable == 0 => "its budget is 0".into(),
        Some(count) if count.allowed_disruptions() == 0 => format!(
            "{} of its VMs are unavailable and {} are active",
            count.unavailable(),
            count.active
        ),
        _ => "the spare pool could not make up for the loss of a rack".into(),
    };
    format!("{number} VMs wait; pool {pool:?} can spare none: {cause}")
}

/// Lists the VMs that a wave ends without, by cause.
fn finish_reason(progress: &Progress) -> String {
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
