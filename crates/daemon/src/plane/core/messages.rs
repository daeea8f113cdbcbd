//! Messages to and from peers, and from the request path.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::debug;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::config;
use wigeonhinge::id::EntryId;
use wigeonhinge::membership;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::peer;
use wigeonhinge_schema::peer::Heartbeat;
use wigeonhinge_schema::peer::envelope::Body;

use crate::peer::PeerEvent;
use crate::peer::encode;
use crate::plane::FromDispatch;
use crate::plane::Input;
use crate::plane::RegionView;
use crate::plane::ToDispatch;
use crate::plane::core::Core;
use crate::platform::Document;

/// Time after which an unanswered pull of the configuration may be sent again.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Period of heartbeats to other zones, unless leaving VMs or ledgers change.
///
/// At 300 ms, 16 entries in 8 zones exchanged 21 KB/s each, above the budget of 16 KB/s.
const INTERZONE_HEARTBEAT: Duration = Duration::from_millis(600);

impl Core {
    pub(super) fn handle_peer_event(&mut self, event: PeerEvent) {
        let now = self.now();
        match event {
            PeerEvent::Unreachable(entry) => self.gossip.mark_unreachable(entry, now),
            PeerEvent::Message(entry, _) if self.blocked.contains(&entry) => {}
            PeerEvent::Message(entry, body) => {
                self.counters.heard += 1;
                self.handle_message(entry, *body, now);
            }
        }
    }

    fn handle_message(&mut self, entry: EntryId, body: Body, now: Time) {
        match body {
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(entry, heartbeat, now),
            Body::Pull(pull) if pull.key == config::STORE_KEY => {
                if let Some((_, message)) = &self.config_push {
                    let message = message.clone();
                    self.send_encoded(&entry, message);
                }
            }
            Body::Pull(_) => {}
            Body::Push(push) => self.handle_push(push),
            Body::Borrow(borrow) => {
                let upstream = borrow.upstream.into();
                self.outbox
                    .send(ToDispatch::Borrow(entry, upstream, borrow.slots));
            }
            Body::Loan(loan) => {
                let upstream = loan.upstream.into();
                let message = ToDispatch::Loan(entry, upstream, loan.slots, loan.loan);
                self.outbox.send(message);
            }
            Body::JobAsk(request) => self.handle_peer_request(entry, request),
            Body::JobAnswer(answer) => self.handle_peer_answer(answer),
            Body::Return(loan) => self.outbox.send(ToDispatch::Return(entry, loan.loan)),
            Body::Bye(_) => {
                self.members.record_stop(&entry);
                self.outbox.send(ToDispatch::Bye(entry));
                self.update_dispatch(now);
            }
        }
    }

    fn handle_heartbeat(&mut self, entry: EntryId, heartbeat: Heartbeat, now: Time) {
        if heartbeat.introduction {
            if entry != self.control.own().entry
                && let Err(reason) = self.gossip.record_introduction(&heartbeat, now)
            {
                warn!(self.log, "peer: introduction ignored"; "entry" => %entry,
                    "address" => heartbeat.address, "reason" => reason);
            }
            return;
        }
        let zone = heartbeat.zone.as_str().into();
        if !self
            .members
            .record_heartbeat(entry.clone(), zone, heartbeat.incarnation, now)
        {
            return;
        }
        let offers: BTreeMap<_, _> = heartbeat
            .offers
            .iter()
            .map(|offer| (offer.upstream.as_str().into(), offer.slots))
            .collect();
        if !offers.is_empty() {
            self.outbox.send(ToDispatch::Offers(entry.clone(), offers));
        }
        let revision = heartbeat.revision;
        let views = RegionView::from_wire(&heartbeat.ledgers);
        if self.gossip.record_heartbeat(heartbeat, now) {
            self.update_dispatch(now);
        }
        self.merge_regions(views);
        let may_pull = self
            .pulled_at
            .is_none_or(|pulled| pulled + PULL_TIMEOUT <= now);
        if revision > self.adopter.revision() && may_pull {
            self.pulled_at = Some(now);
            let key = config::STORE_KEY.to_owned();
            self.send(&entry, Body::Pull(peer::Pull { key }));
        }
    }

    fn handle_push(&mut self, push: peer::Push) {
        if push.key != config::STORE_KEY {
            return;
        }
        match serde_json::from_slice::<Config>(&push.value) {
            Ok(value) => {
                self.pulled_at = None;
                self.offer_config(Document {
                    key: push.key.into(),
                    version: push.version,
                    value,
                });
                self.update_dispatch(self.now());
            }
            Err(error) => warn!(self.log, "peer: ignored a bad configuration"; "error" => %error),
        }
    }

    pub(super) fn handle_dispatch(&mut self, message: FromDispatch) {
        match message {
            FromDispatch::Offers(offers) => self.offers = offers,
            FromDispatch::Announced(vms) => {
                self.gossip.set_announced(vms);
                self.update_dispatch(self.now());
            }
            FromDispatch::Busy(vms) => self.gossip.set_busy(vms),
            FromDispatch::Borrow(entry, upstream, slots) => {
                let upstream = upstream.into();
                let body = Body::Borrow(peer::Borrow { upstream, slots });
                self.send(&entry, body);
            }
            FromDispatch::Loan(entry, upstream, slots, loan) => {
                let body = Body::Loan(peer::Loan {
                    upstream: upstream.into(),
                    slots,
                    loan,
                });
                self.send(&entry, body);
            }
            FromDispatch::Return(entry, loan) => {
                let body = Body::Return(peer::Return { loan });
                self.send(&entry, body);
            }
        }
    }

    /// Records newer ledger summaries and passes them to the controllers.
    ///
    /// A change also makes the next heartbeat go to the other zones.
    pub(super) fn merge_regions(&mut self, views: Vec<RegionView>) {
        let mut changed = false;
        for view in views {
            changed |= self.gossip.merge_region(view);
        }
        if changed {
            self.next_interzone = self.now();
            self.update_dispatch(self.now());
            let regions = self.gossip.regions();
            for role in self.controllers.roles() {
                self.feed_controller(&role, Input::Regions(Arc::clone(&regions)));
            }
        }
    }

    pub(super) fn send(&mut self, entry: &EntryId, body: Body) {
        let message = encode(&self.control.own().entry, body);
        self.send_encoded(entry, message);
    }

    fn send_encoded(&mut self, entry: &EntryId, message: Bytes) {
        if self.blocked.contains(entry) {
            return;
        }
        match self.gossip.address(entry) {
            Some(address) => self.peers.send(entry, address, message),
            None => debug!(self.log, "peer: message dropped, no address of its receiver is known";
                "entry" => %entry, "bytes" => message.len()),
        }
    }

    /// Makes this entry known to registered entries that get no heartbeats of it.
    fn send_introductions(&mut self) {
        let due = self.gossip.due_introductions();
        if due.is_empty() {
            return;
        }
        let own = self.control.own();
        let heartbeat = Heartbeat {
            entry: own.entry.to_string(),
            zone: own.zone.to_string(),
            address: own.address.to_string(),
            incarnation: self.incarnation,
            introduction: true,
            ..Heartbeat::default()
        };
        let message = encode("", Body::Heartbeat(heartbeat));
        for entry in due {
            self.send_encoded(&entry, message.clone());
        }
    }

    /// Sends a heartbeat to the zone, and to other zones every [`INTERZONE_HEARTBEAT`].
    pub(super) fn send_due_heartbeat(&mut self) {
        let interzone = self.next_interzone <= self.now();
        self.send_heartbeat(interzone);
    }

    /// Sends a heartbeat to the zone and to other zones before it is due.
    pub(super) fn send_heartbeat_now(&mut self) {
        self.send_heartbeat(true);
    }

    fn send_heartbeat(&mut self, interzone: bool) {
        let now = self.now();
        self.next_heartbeat = now + membership::HEARTBEAT_PERIOD;
        if interzone {
            self.next_interzone = now + INTERZONE_HEARTBEAT;
        }
        let own = self.control.own();
        let mut heartbeat = Heartbeat {
            entry: own.entry.to_string(),
            zone: own.zone.to_string(),
            incarnation: self.incarnation,
            revision: self.adopter.revision(),
            offers: self.offers.clone(),
            stopping: self.draining,
            store_age_ms: encode_age(self.watch.store_age(now)),
            address: own.address.to_string(),
            ..Heartbeat::default()
        };
        self.gossip.fill_heartbeat(&mut heartbeat);
        self.broadcast(encode("", Body::Heartbeat(heartbeat)), interzone);
        if interzone {
            self.send_introductions();
        }
    }

    /// Sends a message to every entry of the zone and, if `interzone`, to some of each other zone.
    pub(super) fn broadcast(&mut self, message: Bytes, interzone: bool) {
        let targets = self.gossip.targets(interzone);
        self.peers.expire();
        for (entry, address) in targets {
            if !self.blocked.contains(&entry) {
                self.peers.send(&entry, address, message.clone());
            }
        }
    }
}

/// Encodes an age in milliseconds plus one; 0 means "never".
fn encode_age(age: Option<Duration>) -> u64 {
    age.map_or(0, |age| age.as_millis() as u64 + 1)
}
