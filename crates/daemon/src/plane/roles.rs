//! Controllers of the roles that this entry holds.

use std::collections::BTreeMap;

use wigeonhinge::Time;
use wigeonhinge::lease::Lease;

use crate::plane::Controller;
use crate::plane::ControllerFactory;
use crate::plane::Input;
use crate::plane::Order;
use crate::session::RoleName;

/// An order of the controller of a role; it may be sent only while `lease` is valid.
#[derive(Debug)]
pub(crate) struct RoleOrder {
    pub(crate) role: RoleName,
    pub(crate) number: u64,
    pub(crate) order: Order,
    pub(crate) lease: Lease,
}

/// Running controllers by role.
pub(crate) struct RoleControllers {
    factory: ControllerFactory,
    active: BTreeMap<RoleName, Controller>,
}

impl RoleControllers {
    pub(crate) fn new(factory: ControllerFactory) -> Self {
        let active = BTreeMap::new();
        Self { factory, active }
    }

    /// Starts the controller of a role that this entry took, and returns its first orders.
    ///
    /// Returns none if the role has no controller.
    pub(crate) fn start(&mut self, role: &RoleName, lease: Lease, now: Time) -> Vec<RoleOrder> {
        let Some(controller) = (self.factory)(role) else {
            return Vec::new();
        };
        self.active.insert(role.clone(), controller);
        self.handle(role, Input::Gained(lease), lease, now)
    }

    /// Drops the controller of a role that this entry lost.
    pub(crate) fn stop(&mut self, role: &RoleName) {
        self.active.remove(role);
    }

    /// Returns the roles that have a running controller.
    pub(crate) fn roles(&self) -> Vec<RoleName> {
        self.active.keys().cloned().collect()
    }

    /// Passes an input to the controller of a role and returns its orders; none if it is not running.
    pub(crate) fn handle(
        &mut self,
        role: &RoleName,
        input: Input,
        lease: Lease,
        now: Time,
    ) -> Vec<RoleOrder> {
        let Some(controller) = self.active.get_mut(role) else {
            return Vec::new();
        };
        controller(input, lease, now)
            .into_iter()
            .map(|(number, order)| RoleOrder {
                role: role.clone(),
                number,
                order,
                lease,
            })
            .collect()
    }
}
