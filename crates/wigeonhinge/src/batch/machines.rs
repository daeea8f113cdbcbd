//! Machines, and the orders that move them between pools or take them into maintenance.

use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::batch::Action;
use crate::batch::Batch;
use crate::batch::OrdersRow;
use crate::batch::WorkerId;
use crate::batch::worker::Worker;
use crate::id::PoolId;
use crate::id::RackId;
use crate::id::Time;
use crate::id::VmId;
use crate::id::ZoneId;

/// Delay before a machine whose order was refused gets another order, and before an order without
/// an answer is repeated.
const ORDER_RETRY: Duration = Duration::from_millis(500);

/// Time after the expected end of an order until the machine counts as available.
const RETURN_SLACK: Duration = Duration::from_millis(300);

/// Time after which a machine's worker that is not in the registry counts as nonexistent. Workers
/// register as soon as they start, and expired entries are registered again within 2 s.
pub(super) const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a worker's cordon is lifted if no pending order renews it.
const CORDON_RETENTION: Duration = Duration::from_millis(600);

/// Time added to the platform's bound after a predecessor's order was answered; covers the delay
/// until the answer was recorded.
const ANSWER_DELAY: Duration = Duration::from_millis(200);

/// Time for which a predecessor may still send an order that it recorded.
const PREDECESSOR_ORDER_TIME: Duration = Duration::from_millis(1_500);

/// State of a machine as the platform reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// In service in its pool.
    Up,
    /// Moving to another pool.
    Moving,
    /// In maintenance.
    Maintenance,
    /// Out of service.
    Down,
}

/// Entry of the platform's list of machines.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Identifier of the machine.
    pub id: VmId,
    /// Pool that the machine belongs to.
    pub pool: PoolId,
    /// Current state.
    pub state: MachineState,
    /// Availability zone of the machine.
    pub zone: ZoneId,
    /// Rack of the machine; empty if unknown.
    pub rack: RackId,
    /// Labels, such as machine kind and rack.
    pub labels: Vec<CompactString>,
    /// Worker that runs on the machine; empty for none.
    pub worker: WorkerId,
}

/// Order to a machine.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Order {
    Move(PoolId),
    Maintain(u64),
}

/// Machine with its current order and planned move.
#[derive(Debug)]
pub(super) struct ManagedMachine {
    pub(super) machine: Machine,
    /// Order that is not answered yet.
    pub(super) order: Option<Order>,
    /// When to repeat the order, if an attempt may be carried out although it had no answer.
    repeat_at: Option<Time>,
    /// Whether an attempt had no answer.
    open: bool,
    /// When the last order is expected to be finished, or may be retried if it was not accepted.
    pub(super) available_at: Time,
    /// When the platform last listed the machine.
    listed_at: Time,
    /// Worker that was listed last; the machine may be listed without one until the next starts.
    last_worker: WorkerId,
    /// When the platform first listed the current worker.
    worker_since: Time,
    /// Pool to which the machine moves once it is drained.
    pub(super) planned_pool: Option<PoolId>,
    /// When an order of this term was last sent or answered.
    last_order: Option<Time>,
}

impl ManagedMachine {
    /// Returns whether an order is unanswered or being carried out.
    pub(super) fn order_active(&self, now: Time) -> bool {
        now < self.available_at || self.order.is_some()
    }

    /// Returns whether the machine is in service without an order or a planned move.
    pub(super) fn is_available(&self, now: Time) -> bool {
        self.machine.state == MachineState::Up
            && self.order.is_none()
            && self.planned_pool.is_none()
            && now >= self.available_at
            && !self.listing_outdated()
    }

    /// Returns whether the last order was answered that long ago, if there was one.
    pub(super) fn rested(&self, rest: Duration, now: Time) -> bool {
        let recent = |time: Time| now.saturating_sub(time) < rest;
        self.order.is_none() && !self.last_order.is_some_and(recent)
    }

    /// Returns whether the last listing may still name the worker from before the last order.
    pub(super) fn listing_outdated(&self) -> bool {
        self.listed_at < self.available_at
    }

    /// Returns whether the machine is or may be out of service. An order without an answer may have
    /// been carried out until a later listing shows that it was not.
    pub(super) fn down(&self, now: Time) -> bool {
        self.order_active(now) || self.listing_outdated() || self.machine.state != MachineState::Up
    }
}

impl Batch {
    /// Blocks orders to machines for which a predecessor's order may still be in flight.
    ///
    /// A predecessor records its orders before it sends them. It can therefore only
    /// send orders to the machines in its row whose last order was not answered. After
    /// an answered order, the platform's bound between orders of two holders applies.
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
            if age.is_none() {
                self.open_orders.insert(machine.clone(), until);
            }
        }
        self.cordon_ordered(now);
    }

    /// Keeps tasks away from machines on which a predecessor's order may still be carried out.
    pub(super) fn cordon_ordered(&mut self, now: Time) {
        if self.open_orders.is_empty() {
            return;
        }
        let ordered = |worker: &Worker| self.open_orders.contains_key(&worker.entry.machine);
        for id in self.workers.select(ordered) {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let until = self.open_orders.get(&worker.entry.machine);
            worker.cordoned = until.is_some_and(|until| now < *until);
            worker.cordoned_at = worker.cordoned_at.max(now);
            self.dirty_pools.insert(worker.entry.pool.clone());
        }
        self.open_orders.retain(|_, until| now < *until);
    }

    /// Returns whether no order of a predecessor can interfere with an order to a machine.
    pub(super) fn may_order(&self, machine: &VmId, now: Time) -> bool {
        self.blocked_until
            .get(machine)
            .is_none_or(|until| now >= *until)
    }

    pub(super) fn update_machines(&mut self, list: Vec<Machine>, now: Time) {
        let mut listed = BTreeSet::new();
        let mut replaced_workers = Vec::new();
        for machine in list {
            listed.insert(machine.id.clone());
            match self.machines.get_mut(&machine.id) {
                Some(managed) => {
                    let previous = std::mem::replace(&mut managed.machine, machine);
                    managed.listed_at = now;
                    if managed.machine.worker != previous.worker {
                        managed.worker_since = now;
                    }
                    let ordered = matches!(
                        managed.machine.state,
                        MachineState::Moving | MachineState::Maintenance
                    );
                    let current = &managed.machine.worker;
                    if !current.is_empty() && *current != managed.last_worker {
                        let last = std::mem::replace(&mut managed.last_worker, current.clone());
                        replaced_workers.push(last);
                    } else if *current != previous.worker && ordered {
                        replaced_workers.push(previous.worker);
                    }
                }
                None => {
                    let id = machine.id.clone();
                    let managed = ManagedMachine {
                        last_worker: machine.worker.clone(),
                        machine,
                        order: None,
                        repeat_at: None,
                        open: false,
                        available_at: Time::ZERO,
                        listed_at: now,
                        worker_since: now,
                        planned_pool: None,
                        last_order: None,
                    };
                    self.machines.insert(id, managed);
                }
            }
        }
        self.machines.retain(|id, _| listed.contains(id));
        for worker in replaced_workers {
            self.worker_replaced(&worker, now);
        }
        // A cordon lasts at least as long as the order to the machine is not answered.
        let ordered = self
            .machines
            .values()
            .filter(|managed| managed.order.is_some());
        let ordered: BTreeSet<WorkerId> = ordered.map(|it| it.machine.worker.clone()).collect();
        let outdated = |worker: &Worker| {
            worker.cordoned && now.saturating_sub(worker.cordoned_at) > CORDON_RETENTION
        };
        for id in self.workers.select(outdated) {
            if !ordered.contains(&id)
                && let Some(worker) = self.workers.get_mut(&id)
            {
                worker.cordoned = false;
                self.dirty_pools.insert(worker.entry.pool.clone());
            }
        }
    }

    /// Marks a worker as replaced by another one on its machine; its runs are lost.
    fn worker_replaced(&mut self, id: &WorkerId, now: Time) {
        self.worker_gone(id, &BTreeSet::new(), now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.replaced = true;
        }
        self.remove_absent(now);
    }

    /// Returns whether a machine's worker is registered, or has had enough time to register.
    ///
    /// The list of machines may name a new worker before the registry does.
    pub(super) fn worker_known(&self, managed: &ManagedMachine, now: Time) -> bool {
        self.workers.contains_key(&managed.machine.worker)
            || self.catalog.is_standby(&managed.machine.pool)
            || now.saturating_sub(managed.worker_since) > REGISTRATION_TIMEOUT
    }

    pub(super) fn send_order(&mut self, id: &VmId, order: Order, now: Time) {
        let Some(managed) = self.machines.get_mut(id) else {
            return;
        };
        managed.order = Some(order.clone());
        managed.repeat_at = None;
        managed.last_order = Some(now);
        let machine = id.clone();
        self.actions.push(match order {
            Order::Move(pool) => Action::Move { machine, pool },
            Order::Maintain(wave) => Action::Maintain { machine, wave },
        });
    }

    /// Repeats an order without an answer after a delay. Until it is answered, it may be carried
    /// out at any time, so the machine gets no tasks; orders are idempotent.
    pub(super) fn repeat_order_later(&mut self, id: &VmId, now: Time) {
        let Some(managed) = self.machines.get_mut(id) else {
            return;
        };
        managed.last_order = Some(now);
        managed.open = true;
        managed.repeat_at = Some(now + ORDER_RETRY);
    }

    pub(super) fn order_not_sent(&mut self, id: &VmId, now: Time) {
        match self.machines.get(id).is_some_and(|managed| managed.open) {
            true => self.repeat_order_later(id, now),
            false => self.order_answered(id, false, now),
        }
    }

    /// Sends orders without an answer again, once nothing runs on their machines.
    pub(super) fn repeat_orders(&mut self, now: Time) {
        let due = self.machines.iter().filter_map(|(id, managed)| {
            let order = managed.order.clone()?;
            let worker = managed.machine.worker.clone();
            (managed.repeat_at? <= now).then(|| (id.clone(), worker, order))
        });
        let due: Vec<(VmId, WorkerId, Order)> = due.collect();
        for (id, worker, order) in due {
            if self.drain(&worker, false, now) {
                self.log(format!(
                    "machines: order to {id} had no answer and is repeated"
                ));
                self.send_order(&id, order, now);
            }
        }
    }

    pub(super) fn order_answered(&mut self, id: &VmId, done: bool, now: Time) {
        let Some(managed) = self.machines.get_mut(id) else {
            return;
        };
        managed.last_order = Some(now);
        managed.open = false;
        managed.repeat_at = None;
        if !done {
            // The order is sent again if it is still needed; orders are idempotent.
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
            // A list that was read before names the worker for longer than a cordon lasts.
            worker.cordoned = true;
            worker.cordoned_at = worker.cordoned_at.max(now + time);
        }
        match order {
            Order::Move(pool) => managed.machine.pool = pool,
            Order::Maintain(wave) => self.maintenance.mark_done(wave, id),
        }
    }
}
