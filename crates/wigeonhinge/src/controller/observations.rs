//! State of the VMs according to the VM list and the reports of the workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;

use crate::controller::Input;
use crate::controller::PlatformVmState;
use crate::controller::VmList;
use crate::controller::WorkerReport;
use crate::id::Time;
use crate::id::VmId;
use crate::id::ZoneId;
use crate::ledger::Ledger;

/// Age of a report beyond which the worker counts as silent.
const MAX_REPORT_AGE: Duration = Duration::from_secs(15);

/// Age of the VM list beyond which no new disruption starts.
const MAX_LIST_AGE: Duration = Duration::from_secs(60);

/// VM list and reports of the workers, evaluated at the time of a step.
#[derive(Debug)]
pub(super) struct Observations<'a> {
    /// Time since the Unix epoch.
    pub(super) now: Time,
    /// Whether the list is recent enough to start a disruption.
    pub(super) list_recent: bool,
    /// Whether most workers are silent, which means that the controller itself is cut off.
    pub(super) isolated: bool,
    /// Zones with more than one VM whose workers are all silent.
    pub(super) unreachable_zones: BTreeSet<ZoneId>,
    /// Zones and names of racks whose workers are all silent.
    silent_racks: BTreeSet<(&'a str, &'a str)>,
    list: &'a VmList,
    workers: &'a BTreeMap<VmId, WorkerReport>,
}

impl<'a> Observations<'a> {
    /// Evaluates the list and the reports.
    pub(super) fn new(input: &Input<'a>, ledger: &'a Ledger) -> Self {
        let mut observations = Self {
            now: input.now,
            list_recent: input.now.saturating_sub(input.list.as_of) <= MAX_LIST_AGE,
            isolated: false,
            unreachable_zones: BTreeSet::new(),
            silent_racks: BTreeSet::new(),
            list: input.list,
            workers: input.workers,
        };
        observations.isolated = observations.most_silent(ledger);
        observations.find_unreachable(ledger);
        observations
    }

    /// Returns the report of a worker; none if the worker is silent.
    pub(super) fn report(&self, vm: &VmState) -> Option<&WorkerReport> {
        let worker = self.workers.get(vm.name.as_str())?;
        (self.now.saturating_sub(worker.at) <= MAX_REPORT_AGE).then_some(worker)
    }

    /// Returns the latest report of a worker, whatever its age.
    pub(super) fn last_report(&self, vm: &VmState) -> Option<&WorkerReport> {
        self.workers.get(vm.name.as_str())
    }

    /// Returns the report of a worker that has accepted the order of the present step; none if it
    /// has not or is silent.
    pub(super) fn accepted(&self, vm: &VmState) -> Option<&WorkerReport> {
        self.report(vm).filter(|worker| worker.step >= vm.step)
    }

    /// Returns whether a VM can serve according to the list and to its worker.
    ///
    /// If the list shows the VM as gone or not at all, but is older than the report of a healthy
    /// worker, the report counts.
    pub(super) fn usable(&self, vm: &VmState) -> bool {
        let Some(worker) = self.report(vm) else {
            return false;
        };
        let listed = match self.list.vms.get(vm.name.as_str()) {
            Some(PlatformVmState::Live) => true,
            Some(PlatformVmState::Leaving) => false,
            Some(PlatformVmState::Gone) | None => worker.at > self.list.as_of,
        };
        listed && worker.healthy
    }

    /// Returns whether the list shows the VM as running; none if the list is older than the time.
    pub(super) fn live_after(&self, vm: &VmState, time_ms: u64) -> Option<bool> {
        let time = Duration::from_millis(time_ms);
        let state = self.list.vms.get(vm.name.as_str());
        (self.list.as_of >= time).then(|| state == Some(&PlatformVmState::Live))
    }

    /// Returns whether the zone or the rack of a VM is unreachable, because all its workers are
    /// silent.
    pub(super) fn unreachable(&self, vm: &VmState) -> bool {
        let rack = (vm.zone.as_str(), vm.rack.as_str());
        self.unreachable_zones.contains(vm.zone.as_str()) || self.silent_racks.contains(&rack)
    }

    fn most_silent(&self, ledger: &Ledger) -> bool {
        let excluded = [Phase::Down, Phase::Quarantined, Phase::Rebooting];
        let expected = ledger
            .vms()
            .iter()
            .filter(|vm| !excluded.contains(&vm.phase()));
        let (mut total, mut reporting) = (0_usize, 0);
        for vm in expected {
            total += 1;
            reporting += usize::from(self.report(vm).is_some());
        }
        reporting * 2 < total
    }

    fn find_unreachable(&mut self, ledger: &'a Ledger) {
        let mut zones: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
        let mut racks: BTreeMap<(&str, &str), (u32, u32)> = BTreeMap::new();
        for vm in ledger.vms() {
            if matches!(vm.phase(), Phase::Quarantined | Phase::Rebooting) {
                continue;
            }
            let reporting = u32::from(self.report(vm).is_some());
            let zone = zones.entry(&vm.zone).or_default();
            let rack = racks.entry((&vm.zone, &vm.rack)).or_default();
            *zone = (zone.0 + 1, zone.1 + reporting);
            *rack = (rack.0 + 1, rack.1 + reporting);
        }
        let silent = |&(total, reporting): &(u32, u32)| total > 1 && reporting == 0;
        self.unreachable_zones = zones
            .iter()
            .filter(|(_, counts)| silent(counts))
            .map(|(zone, _)| ZoneId::from(*zone))
            .collect();
        self.silent_racks = racks
            .iter()
            .filter(|(_, counts)| counts.1 == 0)
            .map(|(rack, _)| *rack)
            .collect();
    }
}
