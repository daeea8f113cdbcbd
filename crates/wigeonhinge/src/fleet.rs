//! Validation of a fleet description.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use compact_str::CompactString;
use compact_str::format_compact;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;

/// A value of a fleet description that breaks a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Location of the value in the document.
    pub location: Location,
    /// The value, as text.
    pub value: CompactString,
    /// Description of the values that are allowed there.
    pub expected: CompactString,
}

/// Location of a value in a fleet description.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Location {
    /// List that holds the item.
    pub list: List,
    /// Index of the item in its list.
    pub index: usize,
    /// Name of the field in the item.
    pub field: &'static str,
}

/// A list in a fleet description.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum List {
    /// `rules.zones`.
    Zones,
    /// `rules.pools`.
    Pools,
    /// `rules.services`.
    Services,
    /// `rules.teams`.
    Teams,
    /// `inventory`.
    Inventory,
    /// `upstreams`.
    Upstreams,
}

/// Returns every violation in a fleet description; none if it is valid.
///
/// ```
/// use wigeonhinge::fleet;
/// use wigeonhinge_schema::fleet::Fleet;
///
/// assert!(fleet::validate(&Fleet::default()).is_empty());
/// ```
pub fn validate(fleet: &Fleet) -> Vec<Violation> {
    let mut validator = Validator::new(fleet);
    validator.check_zones();
    validator.check_pools();
    validator.check_services();
    validator.check_teams();
    validator.check_inventory();
    validator.check_upstreams();
    validator.violations
}

struct Validator<'a> {
    fleet: &'a Fleet,
    /// Region of each zone.
    zones: BTreeMap<&'a str, &'a str>,
    pools: BTreeMap<&'a str, &'a Pool>,
    /// Number of VMs by pool and region.
    vm_counts: BTreeMap<(&'a str, &'a str), u32>,
    violations: Vec<Violation>,
}

impl<'a> Validator<'a> {
    fn new(fleet: &'a Fleet) -> Self {
        let rules = fleet.rules.as_ref();
        let zones: BTreeMap<&str, &str> = rules
            .iter()
            .flat_map(|rules| &rules.zones)
            .map(|zone| (zone.name.as_str(), zone.region.as_str()))
            .collect();
        let pools = rules
            .iter()
            .flat_map(|rules| &rules.pools)
            .map(|pool| (pool.name.as_str(), pool))
            .collect();
        let mut vm_counts = BTreeMap::new();
        for vm in &fleet.inventory {
            let region = zones.get(vm.zone.as_str()).copied().unwrap_or_default();
            *vm_counts.entry((vm.pool.as_str(), region)).or_insert(0) += 1;
        }
        Self {
            fleet,
            zones,
            pools,
            vm_counts,
            violations: Vec::new(),
        }
    }

    fn check_zones(&mut self) {
        let Some(rules) = &self.fleet.rules else {
            return;
        };
        self.check_unique(
            List::Zones,
            rules.zones.iter().map(|zone| zone.name.as_str()),
        );
        for (index, zone) in rules.zones.iter().enumerate() {
            if zone.region.is_empty() {
                self.report(List::Zones, index, "region", "", "the name of a region");
            }
        }
    }

    fn check_pools(&mut self) {
        let Some(rules) = &self.fleet.rules else {
            return;
        };
        self.check_unique(
            List::Pools,
            rules.pools.iter().map(|pool| pool.name.as_str()),
        );
        let mut spares = rules
            .pools
            .iter()
            .enumerate()
            .filter(|(_, pool)| pool.spare);
        let first = spares.next();
        for (index, _) in spares {
            let name = first.map_or("", |(_, pool)| pool.name.as_str());
            let expected = format_compact!("one spare pool; {name:?} is one already");
            self.report(List::Pools, index, "spare", "true", &expected);
        }
        for (index, pool) in rules.pools.iter().enumerate() {
            self.check_budget(index, pool);
        }
    }

    /// Checks that the inventory of a pool covers its promise and its budget in every region.
    fn check_budget(&mut self, index: usize, pool: &Pool) {
        let regions: BTreeMap<&str, u32> = self
            .vm_counts
            .iter()
            .filter(|((name, _), _)| *name == pool.name)
            .map(|((_, region), size)| (*region, *size))
            .collect();
        if pool.budgets.is_empty() {
            if regions.len() > 1 {
                let expected = "a part for each region of the pool";
                self.report(List::Pools, index, "budgets", "[]", expected);
            }
            let size = regions.values().sum();
            self.check_promise(index, size, pool.promised, pool.max_unavailable);
            return;
        }
        let total: u32 = pool.budgets.iter().map(|part| part.max_unavailable).sum();
        if total != pool.max_unavailable {
            let expected = format_compact!("the sum {total} of the regions' parts");
            let value = format_compact!("{}", pool.max_unavailable);
            self.report(List::Pools, index, "max_unavailable", &value, &expected);
        }
        for part in &pool.budgets {
            let size = regions.get(part.region.as_str()).copied().unwrap_or(0);
            self.check_promise(index, size, part.promised, part.max_unavailable);
        }
    }

    fn check_promise(&mut self, index: usize, size: u32, promised: u32, budget: u32) {
        if promised > size {
            let expected = format_compact!("at most the {size} VMs of the inventory");
            self.report(
                List::Pools,
                index,
                "promised",
                &format_compact!("{promised}"),
                &expected,
            );
        } else if budget > size - promised {
            let rest = size - promised;
            let expected = format_compact!(
                "at most {rest}: {size} VMs of the inventory less {promised} promised"
            );
            let value = format_compact!("{budget}");
            self.report(List::Pools, index, "max_unavailable", &value, &expected);
        }
    }

    fn check_services(&mut self) {
        let Some(rules) = &self.fleet.rules else {
            return;
        };
        self.check_unique(
            List::Services,
            rules.services.iter().map(|service| service.name.as_str()),
        );
        for (index, service) in rules.services.iter().enumerate() {
            if !self.pools.contains_key(service.pool.as_str()) {
                self.report(
                    List::Services,
                    index,
                    "pool",
                    &service.pool,
                    "a pool of the rules",
                );
            }
            if service.name.contains('/') {
                let expected = "a name without \"/\"";
                self.report(List::Services, index, "name", &service.name, expected);
            }
        }
    }

    fn check_teams(&mut self) {
        let Some(rules) = &self.fleet.rules else {
            return;
        };
        self.check_unique(
            List::Teams,
            rules.teams.iter().map(|team| team.name.as_str()),
        );
    }

    fn check_inventory(&mut self) {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (index, vm) in self.fleet.inventory.iter().enumerate() {
            if vm.name.is_empty() {
                self.report(List::Inventory, index, "name", "", "a name");
            }
            match owners.insert(vm.name.as_str(), vm.pool.as_str()) {
                Some(pool) if pool != vm.pool => {
                    let expected =
                        format_compact!("one pool; VM {:?} is in {pool:?} already", vm.name);
                    self.report(List::Inventory, index, "pool", &vm.pool, &expected);
                }
                Some(_) => {
                    self.report(List::Inventory, index, "name", &vm.name, "a name used once");
                }
                None => {}
            }
            if !self.pools.contains_key(vm.pool.as_str()) {
                self.report(
                    List::Inventory,
                    index,
                    "pool",
                    &vm.pool,
                    "a pool of the rules",
                );
            }
            if !self.zones.contains_key(vm.zone.as_str()) {
                self.report(
                    List::Inventory,
                    index,
                    "zone",
                    &vm.zone,
                    "a zone of the rules",
                );
            }
            if vm.cores == 0 {
                self.report(List::Inventory, index, "cores", "0", "at least 1");
            }
        }
    }

    fn check_upstreams(&mut self) {
        let fleet = self.fleet;
        self.check_unique(
            List::Upstreams,
            fleet.upstreams.iter().map(|item| item.name.as_str()),
        );
        let services: BTreeSet<&str> = fleet
            .rules
            .iter()
            .flat_map(|rules| &rules.services)
            .map(|service| service.name.as_str())
            .collect();
        let vms: BTreeSet<&str> = fleet.inventory.iter().map(|vm| vm.name.as_str()).collect();
        for (index, upstream) in fleet.upstreams.iter().enumerate() {
            if !services.contains(upstream.service.as_str()) {
                let expected = "a service of the rules";
                self.report(
                    List::Upstreams,
                    index,
                    "service",
                    &upstream.service,
                    expected,
                );
            }
            if !vms.contains(upstream.vm.as_str()) {
                let expected = "a VM of the inventory";
                self.report(List::Upstreams, index, "vm", &upstream.vm, expected);
            }
            if upstream.address.parse::<SocketAddr>().is_err() {
                let expected = "an address as IP:port";
                self.report(
                    List::Upstreams,
                    index,
                    "address",
                    &upstream.address,
                    expected,
                );
            }
            if upstream.slots == 0 {
                self.report(List::Upstreams, index, "slots", "0", "at least 1");
            }
            if upstream.connections < upstream.slots {
                let value = format_compact!("{}", upstream.connections);
                let expected = format_compact!("at least the {} slots", upstream.slots);
                self.report(List::Upstreams, index, "connections", &value, &expected);
            }
        }
    }

    fn check_unique(&mut self, list: List, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            if name.is_empty() {
                self.report(list, index, "name", "", "a name");
            } else if !seen.insert(name) {
                self.report(list, index, "name", name, "a name used once");
            }
        }
    }

    fn report(
        &mut self,
        list: List,
        index: usize,
        field: &'static str,
        value: &str,
        expected: &str,
    ) {
        let location = Location { list, index, field };
        self.violations.push(Violation {
            location,
            value: value.into(),
            expected: expected.into(),
        });
    }
}

impl List {
    /// Returns the keys that lead to the list in the JSON document, outermost first.
    pub fn path(self) -> &'static [&'static str] {
        match self {
            Self::Zones => &["rules", "zones"],
            Self::Pools => &["rules", "pools"],
            Self::Services => &["rules", "services"],
            Self::Teams => &["rules", "teams"],
            Self::Inventory => &["inventory"],
            Self::Upstreams => &["upstreams"],
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = self.list.path().join(".");
        write!(f, "{list}[{}].{}", self.index, self.field)
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is {:?}; expected {}",
            self.location, self.value, self.expected
        )
    }
}
