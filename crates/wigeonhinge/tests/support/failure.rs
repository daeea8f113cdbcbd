//! Failures of design section 1.6 that touch the fleet, each with its beginning and its end.

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
    pub(crate) fn begin(self, world: &mut Region) {
        match self {
            Self::StoreDown => world.store_up = false,
            Self::AnswerLost => world.lose_answer = true,
            Self::LeaseLapsed => world.lapse(),
            Self::RacingEdits => world.edit(),
            Self::RackLost => drop(world.set_rack("r2", true)),
            Self::BrokenVms => set(world, "crews-1", |machine| machine.broken = true),
            Self::ListLag => world.list_lags = true,
            Self::ZoneCut => drop(world.cut.insert("b".into())),
            Self::StuckDrain => set(world, "quoting-2", |machine| machine.stuck = true),
            Self::OrdersLost => world.refuse_orders = true,
        }
    }

    pub(crate) fn end(self, world: &mut Region) {
        match self {
            Self::StoreDown => world.store_up = true,
            Self::AnswerLost => world.lose_answer = false,
            Self::LeaseLapsed => world.wake(),
            Self::RacingEdits => world.edit(),
            Self::RackLost => drop(world.set_rack("r2", false)),
            Self::BrokenVms => set(world, "crews-1", |machine| {
                // A replacement has another boot number.
                machine.broken = false;
                machine.report.boot += 100;
            }),
            Self::ListLag => world.list_lags = false,
            Self::ZoneCut => drop(world.cut.remove("b")),
            Self::StuckDrain => set(world, "quoting-2", |machine| machine.stuck = false),
            Self::OrdersLost => world.refuse_orders = false,
        }
    }
}

fn set(world: &mut Region, name: &str, change: impl Fn(&mut Machine)) {
    if let Some(machine) = world.machines.get_mut(name) {
        change(machine);
    }
}
