//! A request announced to the dispatch thread.

use std::time::Instant;

use flume::Receiver;
use wigeonhinge::gateway::SendOutcome;
use wigeonhinge::id::Ticket;
use wigeonhinge::outcome::ErrorKind;

use crate::dispatch::Message;
use crate::dispatch::Reply;
use crate::dispatch::Target;
use crate::flow::RequestHandler;

/// Guard of a request between its announcement and its final report.
///
/// Dropping it earlier cancels the request at the gateway.
pub(super) struct Pending<'a> {
    pub(super) ticket: Ticket,
    handler: &'a RequestHandler,
    replies: Receiver<Reply>,
    due: Instant,
    open: bool,
}

impl<'a> Pending<'a> {
    pub(super) fn new(handler: &'a RequestHandler, ticket: Ticket, due: Instant) -> Self {
        let (sender, replies) = flume::bounded(1);
        handler.waiting.borrow_mut().insert(ticket, sender);
        Self {
            ticket,
            handler,
            replies,
            due,
            open: true,
        }
    }

    /// Waits for the decision of the dispatch thread.
    ///
    /// Returns [`ErrorKind::DeadlineBeforeSend`] if none arrives in time.
    pub(super) async fn decision(&mut self) -> Result<Target, ErrorKind> {
        match compio::time::timeout_at(self.due, self.replies.recv_async()).await {
            Ok(Ok(Reply::Grant(target))) => Ok(target),
            Ok(Ok(Reply::Refuse(kind))) => {
                self.open = false;
                Err(kind)
            }
            Ok(Err(_)) | Err(_) => Err(ErrorKind::DeadlineBeforeSend),
        }
    }

    /// Reports a failed attempt; the dispatch thread then decides on a retry.
    pub(super) fn failed(&self, kind: ErrorKind) {
        let ticket = self.ticket;
        let sent = SendOutcome::Failed(kind);
        self.handler
            .dispatcher
            .send(Message::Report { ticket, sent });
    }

    /// Reports the response, which ends the request.
    pub(super) fn answered(&mut self, sent: SendOutcome) {
        let ticket = self.ticket;
        self.open = false;
        self.handler
            .dispatcher
            .send(Message::Report { ticket, sent });
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.handler.waiting.borrow_mut().remove(&self.ticket);
        if self.open {
            self.handler.dispatcher.send(Message::Cancel(self.ticket));
        }
    }
}
