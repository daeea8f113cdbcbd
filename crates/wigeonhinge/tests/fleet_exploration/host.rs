//! A VM of the explored fleet: boots, orders, what it lists.

use wigeonhinge::controller::Action;
use wigeonhinge::controller::Order;

use crate::Host;
use crate::MAX_BOOTS;
use crate::Without;

impl Host {
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

    pub(super) fn obey(&mut self, order: &Order, without: Without) {
        let older = order.step < self.step && without != Without::Step;
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
