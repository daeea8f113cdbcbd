//! Machines of the region: boots and orders.

use wigeonhinge::controller::Action;
use wigeonhinge::controller::Order;
use wigeonhinge::id::Time;

use crate::region::BOOT;
use crate::region::Machine;

impl Machine {
    pub(super) fn tick(&mut self, now: Time) {
        self.report.tasks = u32::from(self.stuck);
        if self.booted.is_some_and(|end| end <= now) && !self.lost {
            self.booted = None;
            self.report.boot += 1;
            self.report.step = 0;
            self.report.cordoned = false;
            self.report.healthy = !self.broken || self.late;
            return;
        }
        self.report.healthy = !(self.broken && self.report.boot > 0);
    }

    /// Follows an order unless a later one was seen; a reboot clears what the worker remembers.
    pub fn obey(&mut self, order: &Order, now: Time) {
        let late = order.fence < self.fence || order.step < self.report.step;
        if self.lost || self.booted.is_some() || late {
            return;
        }
        self.fence = order.fence;
        self.report.step = order.step;
        match order.action {
            Action::Cordon => self.report.cordoned = true,
            Action::Uncordon => self.report.cordoned = false,
            Action::Reboot => self.booted = Some(now + BOOT),
            Action::Drain => {}
        }
    }
}
