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
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a worker stays reserved for an order that no one asks for any more.
const CORDON_RETENTION: Duration = Duration::from_millis(600);

/// Time added to the platform's bound after a predecessor's last order was answered; covers
/// the way of the answer.
const ANSWER_DELAY: Duration = Duration::from_millis(200);

/// Time for which a predecessor may still give an order that it recorded.
const PREDECESSOR_ORDER_TIME: Duration = Duration::from_millis(1_500);

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
pub(super) struct ManagedMachine {
    pub(super) machine: Machine,
    /// Order without an answer yet.
    pub(super) order: Option<Order>,
    /// When an accepted order is over.
    pub(super) available_at: Time,
    /// When it was last listed.
    listed_at: Time,
    /// When its present worker was first listed.
    worker_since: Time,
    /// Pool to which it moves once it is empty.
    pub(super) planned_pool: Option<PoolId>,
}

impl ManagedMachine {
    /// Returns whether an order is under way.
    pub(super) fn order_active(&self, now: Time) -> bool {
        now < self.available_at || self.order.is_some()
    }

    /// Returns whether it works and nothing is decided for it.
    pub(super) fn is_available(&self, now: Time) -> bool {
        self.machine.state == MachineState::Up
            && self.order.is_none()
            && self.planned_pool.is_none()
            && now >= self.available_at
            && !self.listing_outdated()
    }

    /// Returns whether the list may still name the worker from before its last order.
    pub(super) fn listing_outdated(&self) -> bool {
        self.listed_at < self.available_at
    }

    /// Returns whether it is down or may be.
    pub(super) fn down(&self, now: Time) -> bool {
        self.order_active(now) || self.order.is_some() || self.machine.state != MachineState::Up
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
                    now + bound.saturating_sub(Duration::from_millis(*millis)) + ANSWER_DELAY
                }
                None => now + bound + PREDECESSOR_ORDER_TIME,
            };
            self.blocked_until.insert(machine.clone(), until);
        }
    }

    /// Returns whether a predecessor's orders for a machine are certainly over.
    pub(super) fn may_order(&self, machine: &VmId, now: Time) -> bool {
        self.blocked_until
            .get(machine)
            .is_none_or(|until| now >= *until)
    }

    pub(super) fn update_machines(&mut self, list: Vec<Machine>, now: Time) {
        let mut listed = BTreeSet::new();
        let mut ended = Vec::new();
        for machine in list {
            listed.insert(machine.id.clone());
            match self.machines.get_mut(&machine.id) {
                Some(managed) => {
                    let before = std::mem::replace(&mut managed.machine, machine);
                    managed.listed_at = now;
                    if managed.machine.worker != before.worker {
                        managed.worker_since = now;
                    }
                    let ordered = matches!(
                        managed.machine.state,
                        MachineState::Moving | MachineState::Maintenance
                    );
                    let other = managed.machine.worker != before.worker;
                    if other && (ordered || !managed.machine.worker.is_empty()) {
                        ended.push(before.worker);
                    }
                }
                None => {
                    let id = machine.id.clone();
                    let managed = ManagedMachine {
                        machine,
                        order: None,
                        available_at: Time::ZERO,
                        listed_at: now,
                        worker_since: now,
                        planned_pool: None,
                    };
                    self.machines.insert(id, managed);
                }
            }
        }
        self.machines.retain(|id, _| listed.contains(id));
        for worker in ended {
            self.worker_replaced(&worker, now);
        }
        // A worker whose machine is being ordered gets no work, however long that takes.
        let ordered = self
            .machines
            .values()
            .filter(|managed| managed.order.is_some());
        let ordered: BTreeSet<WorkerId> = ordered.map(|it| it.machine.worker.clone()).collect();
        for (id, worker) in &mut self.workers {
            if worker.cordoned
                && !ordered.contains(id)
                && now.saturating_sub(worker.cordoned_at) > CORDON_RETENTION
            {
                worker.cordoned = false;
                self.dirty_pools.insert(worker.entry.pool.clone());
            }
        }
    }

    /// Gives up the runs of a worker whose machine has another life.
    fn worker_replaced(&mut self, id: &WorkerId, now: Time) {
        self.lose_runs(id, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.replaced = true;
        }
        self.remove_absent(now);
    }

    /// Returns whether a machine's worker is known, or there is none for certain.
    ///
    /// A new worker is in the list of machines before the registry has it.
    pub(super) fn worker_known(&self, managed: &ManagedMachine, now: Time) -> bool {
        self.workers.contains_key(&managed.machine.worker)
            || self.catalog.is_standby(&managed.machine.pool)
            || now.saturating_sub(managed.worker_since) > REGISTRATION_TIMEOUT
    }

    pub(super) fn send_order(&mut self, id: &VmId, order: Order) {
        let Some(managed) = self.machines.get_mut(id) else {
            return;
        };
        managed.order = Some(order.clone());
        let machine = id.clone();
        self.actions.push(match order {
            Order::Move(pool) => Action::Move { machine, pool },
            Order::Maintain(wave) => Action::Maintain { machine, wave },
        });
    }

    pub(super) fn order_answered(&mut self, id: &VmId, done: bool, now: Time) {
        let Some(managed) = self.machines.get_mut(id) else {
            return;
        };
        if !done {
            // If it is still wanted it is given again; orders are idempotent.
            managed.order = None;
            managed.available_at = now + ORDER_RETRY;
            return;
        }
        let Some(order) = managed.order.take() else {
            return;
        };
        let time = match &order {
            Order::Move(_) => self.bounds.migrate,
            Order::Maintain(_) => self.bounds.maintenance,
        };
        managed.available_at = now + time + RETURN_SLACK;
        if let Some(worker) = self.workers.get_mut(&managed.machine.worker) {
            worker.ordered_at = Some(now);
        }
        match order {
            Order::Move(pool) => managed.machine.pool = pool,
            Order::Maintain(wave) => self.maintenance.mark_done(wave, id),
        }
    }
}
