//! Adoption of a fleet description by a ledger.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::PoolState;
use wigeonhinge_schema::ledger::VmState;

use crate::id::Fence;
use crate::id::Revision;
use crate::id::Time;
use crate::ledger::Ledger;
use crate::ledger::Refusal;
use crate::ledger::millis;

impl Ledger {
    /// Adopts a fleet description.
    ///
    /// New VMs enter as `Down` until their worker reports. A VM that is no longer listed, or that
    /// is listed in another pool, is only marked for removal or for a move: the controller cordons
    /// and drains it within the budget like any other.
    pub(super) fn apply_inventory(
        &mut self,
        revision: Revision,
        fleet: &Fleet,
        fence: Fence,
        now: Time,
    ) -> Result<(), Refusal> {
        if revision < self.doc.revision {
            return Err(Refusal::Revision {
                held: self.doc.revision,
                given: revision,
            });
        }
        self.doc.revision = revision;
        let listed = self.listed_vms(fleet);
        for vm in &mut self.doc.vms {
            update_listing(vm, listed.get(vm.name.as_str()).copied());
        }
        self.add_vms(&listed, fence, millis(now));
        self.update_pools(fleet);
        Ok(())
    }

    /// Returns the VMs that the fleet description lists in the region, by name.
    fn listed_vms<'a>(&self, fleet: &'a Fleet) -> BTreeMap<&'a str, &'a Vm> {
        let zones: BTreeSet<&str> = fleet
            .rules
            .iter()
            .flat_map(|rules| &rules.zones)
            .filter(|zone| zone.region == self.doc.region)
            .map(|zone| zone.name.as_str())
            .collect();
        fleet
            .inventory
            .iter()
            .filter(|vm| zones.contains(vm.zone.as_str()))
            .map(|vm| (vm.name.as_str(), vm))
            .collect()
    }

    fn add_vms(&mut self, listed: &BTreeMap<&str, &Vm>, fence: Fence, now_ms: u64) {
        let known: BTreeSet<String> = self.doc.vms.iter().map(|vm| vm.name.clone()).collect();
        for vm in listed.values().filter(|vm| !known.contains(&vm.name)) {
            let mut state = VmState {
                name: vm.name.clone(),
                pool: vm.pool.clone(),
                home: vm.pool.clone(),
                zone: vm.zone.clone(),
                rack: vm.rack.clone(),
                since_ms: now_ms,
                maintained_ms: now_ms,
                fence,
                // Exceeds every step of an earlier VM of the same name: its worker may remember them
                // and would reject a lower one.
                step: now_ms,
                ..VmState::default()
            };
            state.set_phase(Phase::Down);
            self.doc.vms.push(state);
        }
        self.doc.vms.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Updates the rules of the pools and keeps those of a removed pool until it has no VMs.
    fn update_pools(&mut self, fleet: &Fleet) {
        let used: BTreeSet<&str> = self
            .doc
            .vms
            .iter()
            .flat_map(|vm| [vm.pool.as_str(), vm.target.as_str()])
            .collect();
        let mut pools: BTreeMap<String, PoolState> = self
            .doc
            .pools
            .iter()
            .filter(|pool| used.contains(pool.name.as_str()))
            .map(|pool| (pool.name.clone(), pool.clone()))
            .collect();
        for pool in fleet.rules.iter().flat_map(|rules| &rules.pools) {
            pools.insert(pool.name.clone(), region_rules(pool, &self.doc.region));
        }
        self.doc.pools = pools.into_values().collect();
    }
}

/// Updates a VM to a new fleet description; marks it for removal if it is not listed.
fn update_listing(vm: &mut VmState, listed: Option<&Vm>) {
    let Some(listed) = listed else {
        vm.removing = true;
        vm.target = String::new();
        return;
    };
    vm.removing = false;
    vm.zone.clone_from(&listed.zone);
    vm.rack.clone_from(&listed.rack);
    if vm.home == listed.pool {
        return;
    }
    vm.home.clone_from(&listed.pool);
    vm.target = String::new();
    if vm.pool != listed.pool {
        vm.target.clone_from(&listed.pool);
    }
}

/// Returns the rules of a pool in a region; 0 VMs if its regional budgets leave the region out.
fn region_rules(pool: &Pool, region: &str) -> PoolState {
    let mut state = PoolState {
        name: pool.name.clone(),
        max_unavailable: pool.max_unavailable,
        promised: pool.promised,
        spare: pool.spare,
    };
    if !pool.budgets.is_empty() {
        let part = pool.budgets.iter().find(|part| part.region == region);
        state.max_unavailable = part.map_or(0, |part| part.max_unavailable);
        state.promised = part.map_or(0, |part| part.promised);
    }
    state
}
