//! Changes of the configuration and of what is leaving.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wigeonhinge_schema::fleet;

use crate::gateway::Action;
use crate::gateway::Gateway;
use crate::gateway::Service;
use crate::gateway::ServiceStatus;
use crate::gateway::Upstream;
use crate::id::Index;
use crate::id::ServiceId;
use crate::id::Ticket;
use crate::id::UpstreamId;
use crate::id::VmId;
use crate::outcome::ErrorKind;
use crate::retry::Budget;

impl Gateway {
    /// Brings a configuration into force; requests at upstreams go on.
    pub(super) fn adopt(&mut self, fleet: &fleet::Fleet) {
        self.configured = true;
        self.adopt_services(fleet);
        self.adopt_upstreams(fleet);
        self.recount();
        self.refresh_all();
    }

    /// Takes the VMs that are leaving.
    ///
    /// A VM that was leaving and no longer is has come back, so what its
    /// upstreams announced earlier no longer holds.
    pub(super) fn leave(&mut self, vms: BTreeSet<VmId>) {
        if vms == self.leaving {
            return;
        }
        let before = std::mem::replace(&mut self.leaving, vms);
        for upstream in self.upstreams.values() {
            if before.contains(&upstream.vm) && !self.leaving.contains(&upstream.vm) {
                self.announced.remove(&upstream.name);
            }
        }
        self.recount();
        self.refresh_all();
    }

    /// Takes what an upstream announced about itself.
    pub(super) fn announce(&mut self, name: UpstreamId, leaving: bool) {
        let index = self.upstream_names.get(&name).copied();
        let configured = |index: &Index| self.upstreams.get(index).is_some_and(|it| !it.gone);
        let Some(index) = index.filter(configured) else {
            return;
        };
        let changed = if leaving {
            self.announced.insert(name)
        } else {
            self.announced.remove(&name)
        };
        if changed {
            self.recount();
            self.refresh(index);
        }
    }

    /// Forgets an upstream that is no longer configured, once nobody uses this entry's slots there.
    pub(super) fn purge(&mut self, index: Index) {
        let upstream = self.upstreams.get(&index).filter(|it| it.gone);
        let unused = self.router.busy(index) == 0 && self.loans.sums(index).lent == 0;
        let Some(upstream) = upstream.filter(|_| unused) else {
            return;
        };
        if self.upstream_names.get(&upstream.name) == Some(&index) {
            self.upstream_names.remove(&upstream.name);
        }
        for (entry, loan) in self.loans.remove(index) {
            self.actions.push(Action::Return { entry, loan });
        }
        self.router.remove(index);
        self.shares.remove(index);
        self.upstreams.remove(&index);
        for changed in self.ejector.remove(index) {
            self.refresh(changed);
        }
    }

    fn adopt_services(&mut self, fleet: &fleet::Fleet) {
        let rules = fleet.rules.clone().unwrap_or_default();
        let spare = rules.pools.iter().find(|pool| pool.spare);
        self.spare = None;
        for service in self.services.values_mut() {
            service.active = false;
        }
        for rule in &rules.services {
            let index = self.service(&rule.name);
            self.admission.set(index, rule.priority, rule.queue_limit);
            if spare.is_some_and(|pool| pool.name == rule.pool) {
                self.spare = self.spare.or(Some(index));
            }
        }
        self.admission.lend(self.spare);
        self.flush();
    }

    /// Returns the number of a service and marks it as configured.
    fn service(&mut self, name: &str) -> Index {
        let name = ServiceId::from(name);
        if let Some(index) = self.service_names.get(&name) {
            if let Some(service) = self.services.get_mut(index) {
                service.active = true;
            }
            return *index;
        }
        self.numbers.index += 1;
        let index = self.numbers.index;
        let service = Service {
            name: name.clone(),
            active: true,
            open: 0,
            near: 0,
            running: 0,
            mean: Duration::ZERO,
            budget: Budget::default(),
            counts: ServiceStatus::default(),
        };
        self.services.insert(index, service);
        self.service_names.insert(name, index);
        index
    }

    /// Refuses the waiting requests of services that are no longer configured.
    fn flush(&mut self) {
        let inactive = |index: &Index| self.services.get(index).is_none_or(|it| !it.active);
        let stranded: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| request.running.is_none() && inactive(&request.service))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in stranded {
            self.withdraw(ticket);
            self.fail(ticket, ErrorKind::UnknownService);
        }
    }

    fn adopt_upstreams(&mut self, fleet: &fleet::Fleet) {
        let zones: BTreeMap<&str, &str> = fleet
            .inventory
            .iter()
            .map(|vm| (vm.name.as_str(), vm.zone.as_str()))
            .collect();
        let mut kept = BTreeSet::new();
        for upstream in &fleet.upstreams {
            let near = zones.get(upstream.vm.as_str()) == Some(&self.zone.as_str());
            kept.extend(self.adopt_upstream(upstream, near));
        }
        let dropped: Vec<Index> = self
            .upstreams
            .keys()
            .filter(|index| !kept.contains(*index))
            .copied()
            .collect();
        for index in dropped {
            self.drop(index);
        }
    }

    /// Adds or changes an upstream; returns its number.
    ///
    /// One that moved to another service, VM or zone is a new one: the requests
    /// at the old one keep their place there. One that was removed and still
    /// has requests is the same: they occupy its slots.
    fn adopt_upstream(&mut self, rule: &fleet::Upstream, near: bool) -> Option<Index> {
        let address = rule.address.parse().ok()?;
        let name = UpstreamId::from(&rule.name);
        let service = *self.service_names.get(rule.service.as_str())?;
        self.services.get(&service).filter(|it| it.active)?;
        let same = |upstream: &&mut Upstream| {
            upstream.service == service && upstream.vm == rule.vm && upstream.near == near
        };
        let known = self.upstream_names.get(&name).copied();
        let current = known.and_then(|index| self.upstreams.get_mut(&index));
        let index = if let Some(upstream) = current.filter(same) {
            upstream.address = address;
            upstream.gone = false;
            known?
        } else {
            self.numbers.index += 1;
            let index = self.numbers.index;
            let upstream = Upstream {
                name: name.clone(),
                service,
                vm: VmId::from(&rule.vm),
                address,
                near,
                gone: false,
                limit: 0,
            };
            self.announced.remove(&name);
            self.upstreams.insert(index, upstream);
            self.upstream_names.insert(name.clone(), index);
            self.router.add(index, service, near);
            let group = u64::from(service) * 2 + u64::from(near);
            self.ejector.add(index, group);
            index
        };
        if near {
            self.shares.set(index, name, rule.slots, rule.connections);
        }
        Some(index)
    }

    /// Marks an upstream as no longer configured.
    fn drop(&mut self, index: Index) {
        let Some(upstream) = self.upstreams.get_mut(&index) else {
            return;
        };
        upstream.gone = true;
        if self.upstream_names.get(&upstream.name) == Some(&index) {
            self.announced.remove(&upstream.name);
        }
        self.refresh(index);
    }

    /// Counts the upstreams of each service that are not leaving.
    fn recount(&mut self) {
        for service in self.services.values_mut() {
            service.open = 0;
            service.near = 0;
        }
        let mut changed = Vec::new();
        for (index, upstream) in &self.upstreams {
            let leaving = self.is_leaving(upstream);
            changed.extend(self.ejector.leaving(*index, leaving));
            if let Some(service) = self.services.get_mut(&upstream.service) {
                service.open += u32::from(!leaving);
                service.near += u32::from(upstream.near && !leaving);
            }
        }
        for index in changed {
            self.refresh(index);
        }
    }
}
