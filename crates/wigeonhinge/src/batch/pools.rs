//! Machines, and the orders that move them between pools or take them down.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::OrdersRow;
use crate::batch::WorkerId;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::VmId;
use crate::id::ZoneId;

/// Pause before a machine whose order was refused, or has no answer, is ordered again.
const ORDER_RETRY: Duration = Duration::from_millis(500);

/// Time beyond a move or maintenance until the machine counts as back.
const RETURN_SLACK: Duration = Duration::from_millis(300);

/// Time after which a listed worker that the registry does not have counts as gone; workers
/// register within a moment of their start, and entries that lapsed are back within 2 s.
const UNREGISTERED: Duration = Duration::from_secs(3);

/// Time for which a worker stays reserved for an order that no one asks for any more.
const HOLD: Duration = Duration::from_millis(600);

/// Time added to the platform's bound after a predecessor's last order was answered; covers
/// the way of the answer.
const TURN_SLACK: Duration = Duration::from_millis(200);

/// Time for which a predecessor may still give an order that it recorded.
const HANDOVER: Duration = Duration::from_millis(1_500);

/// State of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// Works in its pool.
    Up,
    /// Changes its pool.
    Moving,
    /// Has its maintenance.
    Maintenance,
    /// Does not work.
    Down,
}

/// Machine as the platform lists it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Identifier.
    pub id: VmId,
    /// Pool.
    pub pool: PoolId,
    /// State.
    pub state: MachineState,
    /// Availability zone.
    pub zone: ZoneId,
    /// Worker that is its present life; empty for none.
    pub worker: WorkerId,
}

/// Order for a machine.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Order {
    Move(PoolId),
    Maintain(u64),
}

/// Machine with the order that is under way.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) machine: Machine,
    /// Order without an answer yet.
    pub(super) order: Option<Order>,
    /// When an accepted order is over.
    pub(super) back: Time,
    /// When it was last listed.
    listed: Time,
    /// When its present worker was first listed.
    since: Time,
    /// Pool to which it moves once it is empty.
    pub(super) plan: Option<PoolId>,
}

impl Held {
    /// Returns whether an order is under way.
    pub(super) fn busy(&self, now: Time) -> bool {
        now < self.back || self.order.is_some()
    }

    /// Returns whether it works and nothing is decided for it.
    pub(super) fn free(&self, now: Time) -> bool {
        self.machine.state == MachineState::Up
            && self.order.is_none()
            && self.plan.is_none()
            && now >= self.back
            && !self.outdated()
    }

    /// Returns whether the list may still name the worker from before its last order.
    pub(super) fn outdated(&self) -> bool {
        self.listed < self.back
    }

    /// Returns whether it is down or may be.
    pub(super) fn down(&self, now: Time) -> bool {
        self.busy(now) || self.order.is_some() || self.machine.state != MachineState::Up
    }
}

impl Batch {
    /// Keeps machines from orders that could take turns with a predecessor's.
    ///
    /// A predecessor records its orders before it gives them, so the machines
    /// of its row are the only ones that it may still order, and only those
    /// whose last order had no answer.
    pub fn block_orders(&mut self, row: &OrdersRow, now: Time) {
        let bound = self.bounds.order_lease;
        for (machine, age) in &row.0 {
            let until = match age {
                Some(millis) => {
                    now + bound.saturating_sub(Duration::from_millis(*millis)) + TURN_SLACK
                }
                None => now + bound + HANDOVER,
            };
            self.barred.insert(machine.clone(), until);
        }
    }

    /// Returns whether a predecessor's orders for a machine are certainly over.
    pub(super) fn may_order(&self, machine: &VmId, now: Time) -> bool {
        self.barred.get(machine).is_none_or(|until| now >= *until)
    }

    pub(super) fn inventory(&mut self, list: Vec<Machine>, now: Time) {
        let mut listed = BTreeSet::new();
        let mut ended = Vec::new();
        for machine in list {
            listed.insert(machine.id.clone());
            match self.machines.get_mut(&machine.id) {
                Some(held) => {
                    let before = std::mem::replace(&mut held.machine, machine);
                    held.listed = now;
                    if held.machine.worker != before.worker {
                        held.since = now;
                    }
                    let ordered = matches!(
                        held.machine.state,
                        MachineState::Moving | MachineState::Maintenance
                    );
                    let other = held.machine.worker != before.worker;
                    if other && (ordered || !held.machine.worker.is_empty()) {
                        ended.push(before.worker);
                    }
                }
                None => {
                    let id = machine.id.clone();
                    let held = Held {
                        machine,
                        order: None,
                        back: Time::ZERO,
                        listed: now,
                        since: now,
                        plan: None,
                    };
                    self.machines.insert(id, held);
                }
            }
        }
        self.machines.retain(|id, _| listed.contains(id));
        for worker in ended {
            self.life_ended(&worker, now);
        }
        // A worker whose machine is being ordered gets no work, however long that takes.
        let ordered = self.machines.values().filter(|held| held.order.is_some());
        let ordered: BTreeSet<WorkerId> = ordered.map(|it| it.machine.worker.clone()).collect();
        for (id, worker) in &mut self.workers {
            if worker.held && !ordered.contains(id) && now.saturating_sub(worker.held_at) > HOLD {
                worker.held = false;
                self.stale.insert(worker.entry.pool.clone());
            }
        }
    }

    /// Gives up the runs of a worker whose machine has another life.
    fn life_ended(&mut self, id: &WorkerId, now: Time) {
        self.forget_runs(id, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.gone = true;
        }
        self.drop_absent(now);
    }

    /// Returns whether a machine's worker is known, or there is none for certain.
    ///
    /// A new worker is in the list of machines before the registry has it.
    pub(super) fn worker_certain(&self, held: &Held, now: Time) -> bool {
        self.workers.contains_key(&held.machine.worker)
            || self.catalog.is_standby(&held.machine.pool)
            || now.saturating_sub(held.since) > UNREGISTERED
    }

    pub(super) fn order(&mut self, id: &VmId, order: Order) {
        let Some(held) = self.machines.get_mut(id) else {
            return;
        };
        held.order = Some(order.clone());
        let machine = id.clone();
        self.actions.push(match order {
            Order::Move(pool) => Action::Move { machine, pool },
            Order::Maintain(wave) => Action::Maintain { machine, wave },
        });
    }

    pub(super) fn ordered(&mut self, id: &VmId, done: bool, now: Time) {
        let Some(held) = self.machines.get_mut(id) else {
            return;
        };
        if !done {
            // If it is still wanted it is given again; orders are idempotent.
            held.order = None;
            held.back = now + ORDER_RETRY;
            return;
        }
        let Some(order) = held.order.take() else {
            return;
        };
        let time = match &order {
            Order::Move(_) => self.bounds.migrate,
            Order::Maintain(_) => self.bounds.maintenance,
        };
        held.back = now + time + RETURN_SLACK;
        if let Some(worker) = self.workers.get_mut(&held.machine.worker) {
            worker.ordered = Some(now);
        }
        match order {
            Order::Move(pool) => held.machine.pool = pool,
            Order::Maintain(wave) => self.upkeep.done(wave, id),
        }
    }
}
