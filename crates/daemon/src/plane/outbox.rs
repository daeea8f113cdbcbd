//! Messages to the dispatch thread, sent without blocking the control thread.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::plane::ToDispatch;

/// Messages without a state queued while the channel is full; further ones are dropped.
const MAX_QUEUED: usize = 1024;

/// Sends messages, and buffers them while the channel is full.
///
/// Of a message that carries a state, such as the members, only the latest is kept.
#[derive(Debug)]
pub(crate) struct Outbox {
    channel: flume::Sender<ToDispatch>,
    latest: BTreeMap<u8, ToDispatch>,
    queue: VecDeque<ToDispatch>,
}

impl Outbox {
    pub(crate) fn new(channel: flume::Sender<ToDispatch>) -> Self {
        Self {
            channel,
            latest: BTreeMap::new(),
            queue: VecDeque::new(),
        }
    }

    /// Queues a message and sends what the channel has room for.
    pub(crate) fn send(&mut self, message: ToDispatch) {
        match state_kind(&message) {
            Some(kind) => {
                self.latest.insert(kind, message);
            }
            None if self.queue.len() < MAX_QUEUED => self.queue.push_back(message),
            None => {}
        }
        self.flush();
    }

    /// Sends buffered messages until the channel is full, states first.
    pub(crate) fn flush(&mut self) {
        while let Some((kind, message)) = self.latest.pop_first() {
            if let Err(flume::TrySendError::Full(message)) = self.channel.try_send(message) {
                self.latest.insert(kind, message);
                return;
            }
        }
        while let Some(message) = self.queue.pop_front() {
            if let Err(flume::TrySendError::Full(message)) = self.channel.try_send(message) {
                self.queue.push_front(message);
                return;
            }
        }
    }
}

/// Returns the flush order of a message that replaces earlier ones of its kind; `None` for one that does not.
fn state_kind(message: &ToDispatch) -> Option<u8> {
    match message {
        ToDispatch::Adopt(_) => Some(0),
        ToDispatch::Members(_) => Some(1),
        ToDispatch::Leaving(_) => Some(2),
        ToDispatch::Usable(_) => Some(3),
        ToDispatch::Ready(_) => Some(4),
        _ => None,
    }
}
