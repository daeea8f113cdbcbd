//! The controllers of the roles that this entry holds.

use std::collections::BTreeMap;

use wigeonhinge::Time;
use wigeonhinge::lease::Lease;

use crate::plane::Controller;
use crate::plane::Controllers;
use crate::plane::Input;
use crate::plane::Order;
use crate::session::RoleName;

/// An order of a role, to be sent while its lease is valid.
#[derive(Debug)]
pub(crate) struct Duty {
    pub(crate) role: RoleName,
    pub(crate) number: u64,
    pub(crate) order: Order,
    pub(crate) lease: Lease,
}

/// Controllers by role.
pub(crate) struct Duties {
    make: Controllers,
    active: BTreeMap<RoleName, Controller>,
}

impl Duties {
    pub(crate) fn new(make: Controllers) -> Self {
        let active = BTreeMap::new();
        Self { make, active }
    }

    /// Starts the controller of a role that was taken.
    pub(crate) fn gained(&mut self, role: &RoleName, lease: Lease, now: Time) -> Vec<Duty> {
        let Some(controller) = (self.make)(role) else {
            return Vec::new();
        };
        self.active.insert(role.clone(), controller);
        self.feed(role, Input::Gained(lease), lease, now)
    }

    /// Drops the controller of a role that was lost.
    pub(crate) fn lost(&mut self, role: &RoleName) {
        self.active.remove(role);
    }

    /// Returns the roles that have a controller.
    pub(crate) fn roles(&self) -> Vec<RoleName> {
        self.active.keys().cloned().collect()
    }

    /// Gives an event to the controller of a role.
    pub(crate) fn feed(
        &mut self,
        role: &RoleName,
        input: Input,
        lease: Lease,
        now: Time,
    ) -> Vec<Duty> {
        let Some(controller) = self.active.get_mut(role) else {
            return Vec::new();
        };
        controller(input, lease, now)
            .into_iter()
            .map(|(number, order)| Duty {
                role: role.clone(),
                number,
                order,
                lease,
            })
            .collect()
    }
}
