//! Orders to machines, and their list.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use slog::Logger;
use slog::info;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::batch::Event;
use wigeonhinge::id::Fence;
use wigeonhinge::id::VmId;
use wigeonhinge_platform::machines::MachineClient;
use wigeonhinge_platform::machines::Order;

use crate::site::clock;
use crate::site::role::Message;

/// Time for a call.
const CALL: Duration = Duration::from_millis(800);

/// Time between two reads of the list.
const POLL: Duration = Duration::from_millis(400);

/// Age of the role's last renewal up to which orders are given.
///
/// A successor waits longer than this with the machines that were ordered lately.
const FRESH: Duration = Duration::from_millis(1_000);

/// Connections that carry orders; an order takes about 12 ms, and the service accepts more
/// than 80 a second.
pub(super) const LANES: usize = 4;

/// Orders that need not wait for each other; a quarter of what the smallest sites accept a second.
const UNPACED: u32 = 16;

/// Spreads orders, so that they stay within what the service accepts a second.
#[derive(Debug)]
pub(super) struct Pacer {
    pause: Duration,
    next: Cell<Time>,
}

impl Pacer {
    /// Creates a pacer for a number of orders a second.
    pub(super) fn new(per_s: f64) -> Self {
        Self {
            pause: Duration::from_secs_f64(1.0 / per_s),
            next: Cell::new(Time::ZERO),
        }
    }

    async fn turn(&self) {
        let now = clock::now();
        let turn = self
            .next
            .get()
            .max(now.saturating_sub(UNPACED * self.pause));
        self.next.set(turn + self.pause);
        if turn > now {
            compio::time::sleep(turn - now).await;
        }
    }
}

/// Reads the list of machines again and again.
pub(super) async fn list(address: SocketAddr, holder: String, log: Logger, inbox: Sender<Message>) {
    let mut machines = MachineClient::new(address, &holder);
    let mut failing = false;
    loop {
        match machines.list(CALL).await {
            Ok(list) => {
                failing = false;
                if inbox.send(Message::Event(Event::Machines(list))).is_err() {
                    return;
                }
            }
            Err(reason) => {
                if !failing {
                    warn!(log, "machines: cannot be listed"; "reason" => reason);
                }
                failing = true;
            }
        }
        compio::time::sleep(POLL).await;
    }
}

/// Gives orders to machines while the role's lease is certainly held.
pub(super) async fn give(
    (address, holder): (SocketAddr, String),
    (fence, renewed, pacer): (Fence, Rc<Cell<Time>>, Rc<Pacer>),
    orders: Receiver<(VmId, Order)>,
    log: Logger,
    inbox: Sender<Message>,
) {
    let mut machines = MachineClient::new(address, &holder);
    while let Ok((machine, order)) = orders.recv_async().await {
        pacer.turn().await;
        let age = clock::now().saturating_sub(renewed.get());
        let done = if age > FRESH {
            info!(log, "machines: order held back"; "machine" => %machine,
                "renewed_ms" => age.as_millis() as u64);
            false
        } else {
            let reply = machines.order(&machine, &order, fence, CALL).await;
            info!(log, "machines: order"; "machine" => %machine, "order" => ?order,
                "answer" => ?reply);
            matches!(reply, Ok(Ok(())))
        };
        if inbox
            .send(Message::Event(Event::OrderAnswered(machine, done)))
            .is_err()
        {
            return;
        }
    }
}
