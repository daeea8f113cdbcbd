//! Changes of the configuration and of the VMs and upstreams that are leaving.

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
    /// Applies a configuration; requests that are already at upstreams continue.
    pub(super) fn configure(&mut self, fleet: &fleet::Fleet) {
        self.configured = true;
        self.configure_services(fleet);
        self.configure_upstreams(fleet);
        self.count_available();
        self.refresh_all();
    }

    /// Sets the VMs that are leaving.
    ///
    /// If a VM is no longer leaving, earlier announcements of its upstreams that
    /// they are leaving are void as well.
    pub(super) fn set_leaving_vms(&mut self, vms: BTreeSet<VmId>) {
        if vms == self.leaving_vms {
            return;
        }
        let before = std::mem::replace(&mut self.leaving_vms, vms);
        for upstream in self.upstreams.values() {
            if before.contains(&upstream.vm) && !self.leaving_vms.contains(&upstream.vm) {
                self.leaving_upstreams.remove(&upstream.name);
            }
        }
        self.count_available();
        self.refresh_all();
    }

    /// Marks an upstream as leaving or not, as it announced itself.
    pub(super) fn set_upstream_leaving(&mut self, name: UpstreamId, leaving: bool) {
        let index = self.upstream_names.get(&name).copied();
        let configured = |index: &Index| self.upstreams.get(index).is_some_and(|it| !it.removed);
        let Some(index) = index.filter(configured) else {
            return;
        };
        let changed = if leaving {
            self.leaving_upstreams.insert(name)
        } else {
            self.leaving_upstreams.remove(&name)
        };
        if changed {
            self.count_available();
            self.refresh(index);
        }
    }

    /// Removes an upstream that is no longer configured, once no request and no loan uses this
    /// entry's slots there.
    pub(super) fn remove_if_unused(&mut self, index: Index) {
        let upstream = self.upstreams.get(&index).filter(|it| it.removed);
        let unused = self.router.busy(index) == 0 && self.loans.totals(index).lent == 0;
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

    fn configure_services(&mut self, fleet: &fleet::Fleet) {
        let rules = fleet.rules.clone().unwrap_or_default();
        let spare = rules.pools.iter().find(|pool| pool.spare);
        self.spare = None;
        for service in self.services.values_mut() {
            service.active = false;
        }
        for rule in &rules.services {
            let index = self.ensure_service(&rule.name);
            self.admission
                .set_queue(index, rule.priority, rule.queue_limit);
            if spare.is_some_and(|pool| pool.name == rule.pool) {
                self.spare = self.spare.or(Some(index));
            }
        }
        self.admission.set_spare(self.spare);
        self.refuse_unconfigured();
    }

    /// Returns the index of a service, adding it if it is new, and marks it as configured.
    fn ensure_service(&mut self, name: &str) -> Index {
        let name = ServiceId::from(name);
        if let Some(index) = self.service_names.get(&name) {
            if let Some(service) = self.services.get_mut(index) {
                service.active = true;
            }
            return *index;
        }
        self.counters.index += 1;
        let index = self.counters.index;
        let service = Service {
            name: name.clone(),
            active: true,
            available: 0,
            local: 0,
            running: 0,
            mean_time: Duration::ZERO,
            budget: Budget::default(),
            counts: ServiceStatus::default(),
        };
        self.services.insert(index, service);
        self.service_names.insert(name, index);
        index
    }

    /// Refuses the waiting requests of services that are no longer configured.
    fn refuse_unconfigured(&mut self) {
        let inactive = |index: &Index| self.services.get(index).is_none_or(|it| !it.active);
        let stranded: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| request.running.is_none() && inactive(&request.service))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in stranded {
            self.dequeue(ticket);
            self.fail(ticket, ErrorKind::UnknownService);
        }
    }

    fn configure_upstreams(&mut self, fleet: &fleet::Fleet) {
        let zones: BTreeMap<&str, &str> = fleet
            .inventory
            .iter()
            .map(|vm| (vm.name.as_str(), vm.zone.as_str()))
            .collect();
        let mut kept = BTreeSet::new();
        for upstream in &fleet.upstreams {
            let local = zones.get(upstream.vm.as_str()) == Some(&self.zone.as_str());
            kept.extend(self.configure_upstream(upstream, local));
        }
        let dropped: Vec<Index> = self
            .upstreams
            .keys()
            .filter(|index| !kept.contains(*index))
            .copied()
            .collect();
        for index in dropped {
            self.unconfigure_upstream(index);
        }
    }

    /// Adds or changes an upstream; returns its index, or none if the rule is not usable.
    ///
    /// An upstream whose service, VM or zone changed gets a new index; requests
    /// at the old one still occupy slots there. An upstream that was removed and
    /// still has requests keeps its index when it is configured again, because
    /// these requests occupy its slots.
    fn configure_upstream(&mut self, rule: &fleet::Upstream, local: bool) -> Option<Index> {
        let address = rule.address.parse().ok()?;
        let name = UpstreamId::from(&rule.name);
        let service = *self.service_names.get(rule.service.as_str())?;
        self.services.get(&service).filter(|it| it.active)?;
        let same = |upstream: &&mut Upstream| {
            upstream.service == service && upstream.vm == rule.vm && upstream.local == local
        };
        let known = self.upstream_names.get(&name).copied();
        let current = known.and_then(|index| self.upstreams.get_mut(&index));
        let index = if let Some(upstream) = current.filter(same) {
            upstream.address = address;
            upstream.removed = false;
            known?
        } else {
            self.counters.index += 1;
            let index = self.counters.index;
            let upstream = Upstream {
                name: name.clone(),
                service,
                vm: VmId::from(&rule.vm),
                address,
                local,
                removed: false,
                connection_limit: 0,
            };
            self.leaving_upstreams.remove(&name);
            self.upstreams.insert(index, upstream);
            self.upstream_names.insert(name.clone(), index);
            self.router.add(index, service, local);
            let group = u64::from(service) * 2 + u64::from(local);
            self.ejector.add(index, group);
            index
        };
        if local {
            self.shares.set(index, name, rule.slots, rule.connections);
        }
        Some(index)
    }

    /// Marks an upstream as removed from the configuration.
    fn unconfigure_upstream(&mut self, index: Index) {
        let Some(upstream) = self.upstreams.get_mut(&index) else {
            return;
        };
        upstream.removed = true;
        if self.upstream_names.get(&upstream.name) == Some(&index) {
            self.leaving_upstreams.remove(&upstream.name);
        }
        self.refresh(index);
    }

    /// Counts the upstreams of each service that are not leaving, and tells the ejector which are.
    fn count_available(&mut self) {
        for service in self.services.values_mut() {
            service.available = 0;
            service.local = 0;
        }
        let mut changed = Vec::new();
        for (index, upstream) in &self.upstreams {
            let leaving = self.is_leaving(upstream);
            changed.extend(self.ejector.set_leaving(*index, leaving));
            if let Some(service) = self.services.get_mut(&upstream.service) {
                service.available += u32::from(!leaving);
                service.local += u32::from(upstream.local && !leaving);
            }
        }
        for index in changed {
            self.refresh(index);
        }
    }
}
