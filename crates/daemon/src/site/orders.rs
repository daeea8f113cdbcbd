//! Polling of the list of machines, and sending of orders to machines.

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
use wigeonhinge::batch::Contact;
use wigeonhinge::batch::Event;
use wigeonhinge_platform::machines::MachineClient;
use wigeonhinge_platform::machines::OrderReply;

use crate::site::clock;
use crate::site::message::MachineOrder;
use crate::site::message::Message;

/// Time limit for a call to the service that manages machines.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Shortest time between two polls of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Longest time between two polls of the list.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(1_600);

/// Share of the link that polls of the list may use.
const POLL_LINK_SHARE: f64 = 0.05;

/// Size of a machine in the list, in bits.
const MACHINE_BITS: f64 = 1_600.0;

/// Age of the role's last renewal up to which orders are sent.
///
/// A successor waits longer than this before it sends orders to recently ordered machines.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(1_000);

/// Number of connections that send orders in parallel. An order takes about 12 ms, so one
/// connection sends about 80 a second, and the service accepts more.
pub(super) const CONNECTIONS: usize = 4;

/// Number of orders that may be sent in a burst; a quarter of what the smallest deployments accept
/// a second.
const BURST_ORDERS: u32 = 16;

/// Rate limiter that keeps orders within the number that the service accepts a second.
#[derive(Debug)]
pub(super) struct RateLimiter {
    interval: Cell<Duration>,
    next_slot: Cell<Time>,
}

impl RateLimiter {
    /// Creates a limiter for a number of orders a second.
    pub(super) fn new(per_s: f64) -> Self {
        Self {
            interval: Cell::new(Duration::from_secs_f64(1.0 / per_s)),
            next_slot: Cell::new(Time::ZERO),
        }
    }

    /// Changes the number of orders a second.
    pub(super) fn set_rate(&self, per_s: f64) {
        self.interval.set(Duration::from_secs_f64(1.0 / per_s));
    }

    async fn wait_for_slot(&self) {
        let now = clock::now();
        let interval = self.interval.get();
        let slot = self
            .next_slot
            .get()
            .max(now.saturating_sub(BURST_ORDERS * interval));
        self.next_slot.set(slot + interval);
        if slot > now {
            compio::time::sleep(slot - now).await;
        }
    }
}

/// Polls the list of machines and reports it to the role.
///
/// A long list is polled less often on a slow link.
pub(super) async fn poll_machines(
    address: SocketAddr,
    (holder, link_mbps): (String, f64),
    log: Logger,
    inbox: Sender<Message>,
) {
    let mut machines = MachineClient::new(address, &holder);
    let mut failing = false;
    let mut interval = POLL_INTERVAL;
    loop {
        match machines.list(CALL_TIMEOUT).await {
            Ok(list) => {
                failing = false;
                let bits = list.len() as f64 * MACHINE_BITS;
                let time = Duration::from_secs_f64(bits / (link_mbps * 1e6 * POLL_LINK_SHARE));
                interval = time.clamp(POLL_INTERVAL, MAX_POLL_INTERVAL);
                if inbox.send(Message::Machines(list)).is_err() {
                    return;
                }
            }
            Err(reason) => {
                if !failing {
                    warn!(log, "machines: list cannot be read, trying again"; "reason" => reason);
                }
                failing = true;
            }
        }
        compio::time::sleep(interval).await;
    }
}

/// Sends queued orders to machines. An order is dropped if the last renewal of the role's lease is
/// too old to be sure that the lease is still held.
pub(super) async fn send_orders(
    (address, holder): (SocketAddr, String),
    (contact, limiter): (Rc<Cell<Contact>>, Rc<RateLimiter>),
    orders: Receiver<MachineOrder>,
    log: Logger,
    inbox: Sender<Message>,
) {
    let mut machines = MachineClient::new(address, &holder);
    while let Ok((machine, order, fence)) = orders.recv_async().await {
        limiter.wait_for_slot().await;
        let age = clock::now().saturating_sub(contact.get().renewed_at());
        let event = if age > MAX_RENEWAL_AGE {
            info!(log, "machines: order dropped, the lease of the role may have ended";
                "machine" => %machine, "renewed_ms" => age.as_millis() as u64);
            Event::OrderNotSent(machine)
        } else {
            let reply = machines.order(&machine, &order, fence, CALL_TIMEOUT).await;
            info!(log, "machines: order"; "machine" => %machine, "order" => ?order,
                "answer" => ?reply);
            match reply {
                OrderReply::Accepted => Event::OrderAnswered(machine, true),
                OrderReply::Refused(_) => Event::OrderAnswered(machine, false),
                OrderReply::NotSent(_) => Event::OrderNotSent(machine),
                OrderReply::Unknown(_) => Event::OrderUnanswered(machine),
            }
        };
        if inbox.send(Message::Event(event)).is_err() {
            return;
        }
    }
}
