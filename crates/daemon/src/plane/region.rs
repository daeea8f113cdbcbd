//! Summary of the ledger of a region, as heartbeats carry it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wigeonhinge::id::PoolId;
use wigeonhinge::id::RegionId;
use wigeonhinge::id::VmId;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::ledger::Ledger;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::peer::LedgerVersion;
use wigeonhinge_schema::peer::Moved;

use crate::platform::Version;

/// Differences between the ledger of a region and the configuration.
///
/// They fit into heartbeats, because budgets limit the number of inactive VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegionView {
    /// Region that the ledger belongs to.
    pub region: RegionId,
    /// Store version of the ledger.
    pub version: Version,
    /// VMs that are not in phase `Active`.
    pub inactive: BTreeSet<VmId>,
    /// VMs whose pool differs from the one in the configuration, with their pool in the ledger.
    pub moved: BTreeMap<VmId, PoolId>,
}

impl RegionView {
    /// Compares a ledger with the inventory of a configuration.
    pub fn new(ledger: &Ledger, version: Version, fleet: &Fleet) -> Self {
        let pools: BTreeMap<&str, &str> = fleet
            .inventory
            .iter()
            .map(|vm| (vm.name.as_str(), vm.pool.as_str()))
            .collect();
        let inactive = ledger.vms.iter().filter(|vm| vm.phase() != Phase::Active);
        let moved = ledger
            .vms
            .iter()
            .filter(|vm| pools.get(vm.name.as_str()) != Some(&vm.pool.as_str()));
        Self {
            region: RegionId::from(&ledger.region),
            version,
            inactive: inactive.map(|vm| VmId::from(&vm.name)).collect(),
            moved: moved
                .map(|vm| (VmId::from(&vm.name), PoolId::from(&vm.pool)))
                .collect(),
        }
    }

    pub(crate) fn from_wire(ledgers: &[LedgerVersion]) -> Vec<Self> {
        let view = |ledger: &LedgerVersion| Self {
            region: RegionId::from(&ledger.region),
            version: ledger.version,
            inactive: ledger.inactive.iter().map(VmId::from).collect(),
            moved: ledger
                .moved
                .iter()
                .map(|moved| (VmId::from(&moved.vm), PoolId::from(&moved.pool)))
                .collect(),
        };
        ledgers.iter().map(view).collect()
    }

    pub(crate) fn to_wire(&self) -> LedgerVersion {
        let moved = |(vm, pool): (&VmId, &PoolId)| Moved {
            vm: vm.to_string(),
            pool: pool.to_string(),
        };
        LedgerVersion {
            region: self.region.to_string(),
            version: self.version,
            inactive: self.inactive.iter().map(ToString::to_string).collect(),
            moved: self.moved.iter().map(moved).collect(),
        }
    }
}
