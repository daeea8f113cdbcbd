//! Model of a worker: it boots and carries out orders.

use wigeonhinge::controller::Action;
use wigeonhinge::controller::Order;

use crate::Guard;
use crate::MAX_BOOTS;
use crate::WorkerModel;

impl WorkerModel {
    pub(super) fn new(step: u64) -> Self {
        let (fence, boot) = (0, 0);
        let (cordoned, rebooting, failed) = (false, false, false);
        Self {
            fence,
            step,
            boot,
            cordoned,
            rebooting,
            failed,
        }
    }

    /// Carries out an order, unless the worker is out of service or the order is outdated.
    pub(super) fn handle(&mut self, order: &Order, removed: Guard) {
        let older = order.step < self.step && removed != Guard::Step;
        if self.failed || self.rebooting || order.fence < self.fence || older {
            return;
        }
        self.fence = order.fence;
        self.step = order.step;
        match order.action {
            Action::Cordon => self.cordoned = true,
            Action::Uncordon => self.cordoned = false,
            Action::Reboot => self.rebooting = self.boot < MAX_BOOTS,
            Action::Drain => {}
        }
    }
}
