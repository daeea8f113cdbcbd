//! Messages to the dispatch thread, without waiting for it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::plane::ToDispatch;

/// Passing messages that wait while the dispatch thread is behind.
const WAITING: usize = 1024;

/// Sends messages; keeps the latest state of each kind until it is taken.
#[derive(Debug)]
pub(crate) struct Outlet {
    channel: flume::Sender<ToDispatch>,
    states: BTreeMap<u8, ToDispatch>,
    passing: VecDeque<ToDispatch>,
}

impl Outlet {
    pub(crate) fn new(channel: flume::Sender<ToDispatch>) -> Self {
        Self {
            channel,
            states: BTreeMap::new(),
            passing: VecDeque::new(),
        }
    }

    /// Queues a message; a newer state takes the place of an older one.
    pub(crate) fn send(&mut self, message: ToDispatch) {
        match state(&message) {
            Some(kind) => {
                self.states.insert(kind, message);
            }
            None if self.passing.len() < WAITING => self.passing.push_back(message),
            None => {}
        }
        self.flush();
    }

    /// Sends what waits, as far as the channel has room.
    pub(crate) fn flush(&mut self) {
        while let Some((kind, message)) = self.states.pop_first() {
            if let Err(flume::TrySendError::Full(message)) = self.channel.try_send(message) {
                self.states.insert(kind, message);
                return;
            }
        }
        while let Some(message) = self.passing.pop_front() {
            if let Err(flume::TrySendError::Full(message)) = self.channel.try_send(message) {
                self.passing.push_front(message);
                return;
            }
        }
    }
}

fn state(message: &ToDispatch) -> Option<u8> {
    match message {
        ToDispatch::Adopt(_) => Some(0),
        ToDispatch::Members(_) => Some(1),
        ToDispatch::Leaving(_) => Some(2),
        ToDispatch::Usable(_) => Some(3),
        ToDispatch::Ready(_) => Some(4),
        _ => None,
    }
}
