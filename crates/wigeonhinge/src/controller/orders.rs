//! Orders for workers.

use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;

use crate::controller::Action;
use crate::controller::Controller;
use crate::controller::Observations;
use crate::controller::Order;
use crate::id::Fence;
use crate::id::VmId;
use crate::ledger::Ledger;

impl Controller {
    /// Returns the orders that the phases of the confirmed ledger require.
    ///
    /// There are none before the ledger has the fence of this holder of the role: until then an
    /// earlier holder may still write, and the ledger that was read may be out of date.
    pub(super) fn orders(
        &mut self,
        ledger: &Ledger,
        fence: Fence,
        observations: &Observations<'_>,
    ) -> Vec<Order> {
        if ledger.document().fence != fence {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for vm in ledger.vms() {
            let Some(action) = required_action(vm, observations) else {
                self.sent.remove(vm.name.as_str());
                continue;
            };
            if !self.due(vm, observations) {
                continue;
            }
            let name = VmId::from(vm.name.as_str());
            self.sent.insert(name.clone(), (vm.step, observations.now));
            orders.push(Order {
                vm: name,
                action,
                fence,
                step: vm.step,
            });
        }
        orders
    }

    /// Returns whether the order of the present step is yet to be given or to be repeated.
    fn due(&self, vm: &VmState, observations: &Observations<'_>) -> bool {
        match self.sent.get(vm.name.as_str()) {
            Some((step, at)) if *step == vm.step => {
                observations.now.saturating_sub(*at) >= self.timing.resend
            }
            _ => true,
        }
    }
}

/// Returns the action that the phase of a VM requires; none if its worker has carried it out.
fn required_action(vm: &VmState, observations: &Observations<'_>) -> Option<Action> {
    let accepted = observations
        .last_report(vm)
        .filter(|worker| worker.step >= vm.step);
    match vm.phase() {
        Phase::Cordoned => {
            let done = accepted.is_some_and(|worker| worker.cordoned);
            (!done).then_some(Action::Cordon)
        }
        Phase::Draining => accepted.is_none().then_some(Action::Drain),
        Phase::Rebooting => {
            let rebooted = observations
                .last_report(vm)
                .is_some_and(|worker| worker.boot != vm.boot);
            (accepted.is_none() && !rebooted).then_some(Action::Reboot)
        }
        Phase::Returning | Phase::Moving => {
            let done = accepted.is_some_and(|worker| !worker.cordoned);
            (!done).then_some(Action::Uncordon)
        }
        _ => None,
    }
}
