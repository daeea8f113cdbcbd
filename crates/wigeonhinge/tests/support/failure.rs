//! Failures of section 1.6 of the design that affect the fleet, with how each begins and ends.

use wigeonhinge_standin::region::Machine;
use wigeonhinge_standin::region::Region;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    StoreDown,
    AnswerLost,
    LeaseLapsed,
    RacingEdits,
    RackLost,
    BrokenVms,
    ListLag,
    ZoneCut,
    StuckDrain,
    OrdersLost,
}

pub(crate) const FAILURES: [Failure; 10] = [
    Failure::StoreDown,
    Failure::AnswerLost,
    Failure::LeaseLapsed,
    Failure::RacingEdits,
    Failure::RackLost,
    Failure::BrokenVms,
    Failure::ListLag,
    Failure::ZoneCut,
    Failure::StuckDrain,
    Failure::OrdersLost,
];

impl Failure {
    /// Injects the failure.
    pub(crate) fn begin(self, world: &mut Region) {
        match self {
            Self::StoreDown => world.store_up = false,
            Self::AnswerLost => world.lose_answer = true,
            Self::LeaseLapsed => world.lapse(),
            Self::RacingEdits => world.edit(),
            Self::RackLost => drop(world.set_rack("r2", true)),
            Self::BrokenVms => change_machine(world, "crews-1", |machine| machine.broken = true),
            Self::ListLag => world.list_lags = true,
            Self::ZoneCut => drop(world.cut.insert("b".into())),
            Self::StuckDrain => change_machine(world, "quoting-2", |machine| machine.stuck = true),
            Self::OrdersLost => world.refuse_orders = true,
        }
    }

    /// Ends the failure.
    pub(crate) fn end(self, world: &mut Region) {
        match self {
            Self::StoreDown => world.store_up = true,
            Self::AnswerLost => world.lose_answer = false,
            Self::LeaseLapsed => world.wake(),
            Self::RacingEdits => world.edit(),
            Self::RackLost => drop(world.set_rack("r2", false)),
            Self::BrokenVms => change_machine(world, "crews-1", |machine| {
                // The replacement VM reports another boot number.
                machine.broken = false;
                machine.report.boot += 100;
            }),
            Self::ListLag => world.list_lags = false,
            Self::ZoneCut => drop(world.cut.remove("b")),
            Self::StuckDrain => change_machine(world, "quoting-2", |machine| machine.stuck = false),
            Self::OrdersLost => world.refuse_orders = false,
        }
    }
}

fn change_machine(world: &mut Region, name: &str, change: impl Fn(&mut Machine)) {
    if let Some(machine) = world.machines.get_mut(name) {
        change(machine);
    }
}
