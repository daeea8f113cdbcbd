//! What the VM list and the reports of the workers say about each VM.

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

/// Age of a report up to which it describes the worker.
const REPORT_AGE: Duration = Duration::from_secs(15);

/// Age of the VM list up to which new disruptions start.
const LIST_AGE: Duration = Duration::from_secs(60);

/// What is known about the VMs.
#[derive(Debug)]
pub(super) struct Facts<'a> {
    /// Time since the Unix epoch.
    pub(super) now: Time,
    /// Whether the list is recent enough to start a disruption.
    pub(super) listed: bool,
    /// Whether most workers are silent: then the controller itself is cut off.
    pub(super) blind: bool,
    /// Zones whose workers are all silent.
    pub(super) cut: BTreeSet<ZoneId>,
    racks: BTreeSet<(&'a str, &'a str)>,
    list: &'a VmList,
    workers: &'a BTreeMap<VmId, WorkerReport>,
}

impl<'a> Facts<'a> {
    /// Judges the list and the reports.
    pub(super) fn new(input: &Input<'a>, ledger: &'a Ledger) -> Self {
        let mut facts = Self {
            now: input.now,
            listed: input.now.saturating_sub(input.list.as_of) <= LIST_AGE,
            blind: false,
            cut: BTreeSet::new(),
            racks: BTreeSet::new(),
            list: input.list,
            workers: input.workers,
        };
        facts.blind = facts.mostly_silent(ledger);
        facts.find_cut(ledger);
        facts
    }

    /// Returns the report of a worker, if it is recent.
    pub(super) fn report(&self, vm: &VmState) -> Option<&WorkerReport> {
        let worker = self.workers.get(vm.name.as_str())?;
        (self.now.saturating_sub(worker.at) <= REPORT_AGE).then_some(worker)
    }

    /// Returns the latest report of a worker, whatever its age.
    pub(super) fn last(&self, vm: &VmState) -> Option<&WorkerReport> {
        self.workers.get(vm.name.as_str())
    }

    /// Returns the recent report of a worker that has accepted the order of the present step.
    pub(super) fn accepted(&self, vm: &VmState) -> Option<&WorkerReport> {
        self.report(vm).filter(|worker| worker.step >= vm.step)
    }

    /// Returns whether a VM can serve, as far as the list and its worker say.
    ///
    /// A list that is older than the report of a healthy worker does not make its VM gone.
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

    /// Returns whether the list, made after the given time, says that the VM runs.
    pub(super) fn live_after(&self, vm: &VmState, time_ms: u64) -> Option<bool> {
        let time = Duration::from_millis(time_ms);
        let state = self.list.vms.get(vm.name.as_str());
        (self.list.as_of >= time).then(|| state == Some(&PlatformVmState::Live))
    }

    /// Returns whether the zone or the rack of a VM cannot be reached.
    pub(super) fn unreachable(&self, vm: &VmState) -> bool {
        let rack = (vm.zone.as_str(), vm.rack.as_str());
        self.cut.contains(vm.zone.as_str()) || self.racks.contains(&rack)
    }

    fn mostly_silent(&self, ledger: &Ledger) -> bool {
        let out = [Phase::Down, Phase::Quarantined, Phase::Rebooting];
        let expected = ledger.vms().iter().filter(|vm| !out.contains(&vm.phase()));
        let (mut total, mut heard) = (0_usize, 0);
        for vm in expected {
            total += 1;
            heard += usize::from(self.report(vm).is_some());
        }
        heard * 2 < total
    }

    fn find_cut(&mut self, ledger: &'a Ledger) {
        let mut zones: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
        let mut racks: BTreeMap<(&str, &str), (u32, u32)> = BTreeMap::new();
        for vm in ledger.vms() {
            if matches!(vm.phase(), Phase::Quarantined | Phase::Rebooting) {
                continue;
            }
            let heard = u32::from(self.report(vm).is_some());
            let zone = zones.entry(&vm.zone).or_default();
            let rack = racks.entry((&vm.zone, &vm.rack)).or_default();
            *zone = (zone.0 + 1, zone.1 + heard);
            *rack = (rack.0 + 1, rack.1 + heard);
        }
        let silent = |&(total, heard): &(u32, u32)| total > 1 && heard == 0;
        self.cut = zones
            .iter()
            .filter(|(_, counts)| silent(counts))
            .map(|(zone, _)| ZoneId::from(*zone))
            .collect();
        self.racks = racks
            .iter()
            .filter(|(_, counts)| counts.1 == 0)
            .map(|(rack, _)| *rack)
            .collect();
    }
}
