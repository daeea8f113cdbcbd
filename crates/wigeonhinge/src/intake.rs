//! Connections of clients that nobody controls: what they may hold, and which of them is closed.
//!
//! Bytes of requests that are not complete, of requests that are being handled, and of answers that
//! were not read are charged to one budget. A connection whose request was read in full is never
//! chosen to be closed, so a closed connection means that its request has not run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::Time;

/// Identifier of a connection within a process.
pub type ConnectionId = u64;

/// Share of the budget that is freed at once when it is used up, as a divisor. Each choice looks at
/// all connections, so closing one at a time would cost too much.
const FREED_PART: usize = 16;

/// Time for which a connection must have stood still to be closed for a new one, so that one that was
/// just accepted has its turn.
const MIN_IDLE: Duration = Duration::from_millis(250);

/// Time for which a body must have stood still to be given up when the process stops.
const STOP_STALL: Duration = Duration::from_secs(1);

/// Limits of all connections of a process together, and time limits of each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of requests and answers.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
    /// Time from the first byte of a head to its last.
    pub head_time: Duration,
    /// Time from the end of a head to the end of the body.
    pub body_time: Duration,
    /// Time without a request.
    pub idle_time: Duration,
    /// Time for which an answer may stay unread.
    pub send_time: Duration,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The budget of bytes is used up.
    Bytes,
    /// There are too many connections.
    Connections,
    /// The head took too long.
    Head,
    /// The body took too long.
    Body,
    /// There was no request for too long.
    Idle,
    /// The answer was not read.
    Unread,
}

impl Reason {
    /// Returns the name of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Bytes => "bytes",
            Self::Connections => "connections",
            Self::Head => "head",
            Self::Body => "body",
            Self::Idle => "idle",
            Self::Unread => "unread",
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Idle,
    Head,
    Body,
    /// The request was read in full.
    Handling,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    stage: Stage,
    /// Start of the stage.
    since: Time,
    /// Time at which the client last sent bytes or read an answer.
    moved_at: Time,
    bytes: usize,
    /// Time since which an answer is not read.
    unread_since: Option<Time>,
}

impl Connection {
    fn expired(&self, limits: &Limits, now: Time) -> Option<Reason> {
        let (reason, limit) = match self.stage {
            Stage::Handling => return None,
            Stage::Head => (Reason::Head, limits.head_time),
            Stage::Body => (Reason::Body, limits.body_time),
            Stage::Idle => (Reason::Idle, limits.idle_time),
        };
        let unread = self.unread_since;
        if unread.is_some_and(|it| now.saturating_sub(it) > limits.send_time) {
            return Some(Reason::Unread);
        }
        (now.saturating_sub(self.since) > limit).then_some(reason)
    }

    fn enter(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.since = now;
        self.moved_at = now;
    }
}

/// State of all connections of a process.
#[derive(Debug)]
pub struct Intake {
    limits: Limits,
    used: usize,
    next: ConnectionId,
    connections: BTreeMap<ConnectionId, Connection>,
}

impl Intake {
    /// Creates the state without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            used: 0,
            next: 0,
            connections: BTreeMap::new(),
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the number of bytes that are charged.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Time) -> ConnectionId {
        self.next += 1;
        let connection = Connection {
            stage: Stage::Idle,
            since: now,
            moved_at: now,
            bytes: 0,
            unread_since: None,
        };
        self.connections.insert(self.next, connection);
        self.next
    }

    /// Removes a connection and releases its bytes.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.used -= connection.bytes;
        }
    }

    /// Returns the connections to close before a number of bytes may be read.
    pub fn make_room(&self, bytes: usize, now: Time) -> Vec<ConnectionId> {
        if self.used + bytes <= self.limits.bytes {
            return Vec::new();
        }
        let mut choices: Vec<(u128, ConnectionId, usize)> = self
            .connections
            .iter()
            .filter(|(_, it)| it.stage != Stage::Handling && it.bytes > 0)
            .map(|(id, it)| {
                let stalled = now.saturating_sub(it.moved_at).as_millis() + 1;
                (stalled * it.bytes as u128, *id, it.bytes)
            })
            .collect();
        // A single request within the limits is served, also if it alone exceeds the budget.
        if choices.len() <= 1 {
            return Vec::new();
        }
        choices.sort_unstable_by(|one, other| other.cmp(one));
        let mut excess = self.used + bytes + self.limits.bytes / FREED_PART;
        let chosen = choices.into_iter().take_while(|(_, _, bytes)| {
            let needed = excess > self.limits.bytes;
            excess = excess.saturating_sub(*bytes);
            needed
        });
        chosen.map(|(_, id, _)| id).collect()
    }

    /// Charges bytes that were read.
    pub fn charge(&mut self, id: ConnectionId, bytes: usize, now: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if connection.stage == Stage::Idle {
                connection.enter(Stage::Head, now);
            }
            connection.moved_at = now;
            connection.bytes += bytes;
            self.used += bytes;
        }
    }

    /// Records that a head is complete and its body is being read.
    pub fn begin_body(&mut self, id: ConnectionId, now: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(Stage::Body, now);
        }
    }

    /// Records that a request was read in full.
    pub fn begin_handling(&mut self, id: ConnectionId, now: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(Stage::Handling, now);
        }
    }

    /// Records that a request is answered; the bytes of the answer replace those of the request.
    pub fn answer(&mut self, id: ConnectionId, bytes: usize, now: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(Stage::Idle, now);
            self.used = self.used - connection.bytes + bytes;
            connection.bytes = bytes;
            connection.unread_since.get_or_insert(now);
        }
    }

    /// Records that all answers were sent.
    pub fn sent(&mut self, id: ConnectionId, now: Time) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.unread_since.take().is_some() && connection.stage == Stage::Idle {
            self.used -= connection.bytes;
            connection.bytes = 0;
            connection.enter(Stage::Idle, now);
        }
    }

    /// Returns the connection to close for a new one: of those whose request was not read in full, the
    /// one that has stood still longest.
    pub fn longest_idle(&self, now: Time) -> Option<ConnectionId> {
        let idle = self.connections.iter().filter(|(_, it)| {
            it.stage != Stage::Handling && now.saturating_sub(it.moved_at) >= MIN_IDLE
        });
        idle.min_by_key(|(id, it)| (it.moved_at, **id))
            .map(|(id, _)| *id)
    }

    /// Returns the connections whose bodies stand still, to close when the process stops.
    pub fn stalled_bodies(&self, now: Time) -> Vec<ConnectionId> {
        let stalled = self.connections.iter().filter(|(_, it)| {
            it.stage == Stage::Body && now.saturating_sub(it.moved_at) > STOP_STALL
        });
        stalled.map(|(id, _)| *id).collect()
    }

    /// Returns the connections that exceed a time limit.
    pub fn expired(&self, now: Time) -> Vec<(ConnectionId, Reason)> {
        let expired = self.connections.iter();
        expired
            .filter_map(|(id, it)| Some((*id, it.expired(&self.limits, now)?)))
            .collect()
    }
}
