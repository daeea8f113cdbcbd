//! Messages of peers and of the request path.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::warn;
use wigeonhinge::Time;
use wigeonhinge::config;
use wigeonhinge::id::EntryId;
use wigeonhinge::membership;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::peer;
use wigeonhinge_schema::peer::Heartbeat;
use wigeonhinge_schema::peer::envelope::Body;

use crate::peer::Heard;
use crate::peer::encode;
use crate::plane::Input;
use crate::plane::Message;
use crate::plane::RegionView;
use crate::plane::Request;
use crate::plane::core::Core;
use crate::platform::Document;

/// Time after which an unanswered pull is sent again.
const PULL: Duration = Duration::from_millis(500);

/// Period of heartbeats to other zones, unless there is news.
///
/// At 300 ms, 16 entries in 8 zones exchanged 21 KB/s each, above the budget of 16 KB/s.
const FAR: Duration = Duration::from_millis(600);

impl Core {
    pub(super) fn heard(&mut self, heard: Heard) {
        let now = self.now();
        match heard {
            Heard::Lost(entry) => self.spread.lost(entry, now),
            Heard::Message(entry, _) if self.blocked.contains(&entry) => {}
            Heard::Message(entry, body) => {
                self.counters.heard += 1;
                self.message(entry, *body, now);
            }
        }
    }

    fn message(&mut self, entry: EntryId, body: Body, now: Time) {
        match body {
            Body::Heartbeat(beat) => self.heartbeat(entry, beat, now),
            Body::Pull(pull) if pull.key == config::KEY => {
                if let Some((_, message)) = &self.document {
                    let message = message.clone();
                    self.deliver(&entry, message);
                }
            }
            Body::Pull(_) => {}
            Body::Push(push) => self.push(push),
            Body::Borrow(ask) => {
                let upstream = ask.upstream.into();
                self.outlet
                    .send(Message::Borrow(entry, upstream, ask.slots));
            }
            Body::Loan(loan) => {
                let upstream = loan.upstream.into();
                let message = Message::Loan(entry, upstream, loan.slots, loan.loan);
                self.outlet.send(message);
            }
            Body::JobAsk(ask) => self.job_asked(entry, ask),
            Body::JobAnswer(answer) => self.job_answered(answer),
            Body::Return(back) => self.outlet.send(Message::Return(entry, back.loan)),
            Body::Bye(_) => {
                self.members.left(&entry);
                self.outlet.send(Message::Bye(entry));
                self.tell(now);
            }
        }
    }

    fn heartbeat(&mut self, entry: EntryId, beat: Heartbeat, now: Time) {
        let zone = beat.zone.as_str().into();
        if !self
            .members
            .heard(entry.clone(), zone, beat.incarnation, now)
        {
            return;
        }
        let offers: BTreeMap<_, _> = beat
            .offers
            .iter()
            .map(|offer| (offer.upstream.as_str().into(), offer.slots))
            .collect();
        if !offers.is_empty() {
            self.outlet.send(Message::Offers(entry.clone(), offers));
        }
        let revision = beat.revision;
        let views = RegionView::read(&beat.ledgers);
        if self.spread.heard(beat, now) {
            self.tell(now);
        }
        self.learn(views);
        let free = self.pulled.is_none_or(|pulled| pulled + PULL <= now);
        if revision > self.adopter.revision() && free {
            self.pulled = Some(now);
            let key = config::KEY.to_owned();
            self.send(&entry, Body::Pull(peer::Pull { key }));
        }
    }

    fn push(&mut self, push: peer::Push) {
        if push.key != config::KEY {
            return;
        }
        match serde_json::from_slice::<Config>(&push.value) {
            Ok(value) => {
                self.pulled = None;
                self.offer(Document {
                    key: push.key.into(),
                    version: push.version,
                    value,
                });
                self.tell(self.now());
            }
            Err(error) => warn!(self.log, "peer: unreadable configuration"; "error" => %error),
        }
    }

    pub(super) fn asked(&mut self, request: Request) {
        match request {
            Request::Offers(offers) => self.offers = offers,
            Request::Announced(vms) => {
                self.spread.announce(vms);
                self.tell(self.now());
            }
            Request::Busy(vms) => self.spread.busy(vms),
            Request::Borrow(entry, upstream, slots) => {
                let upstream = upstream.into();
                let body = Body::Borrow(peer::Borrow { upstream, slots });
                self.send(&entry, body);
            }
            Request::Loan(entry, upstream, slots, loan) => {
                let body = Body::Loan(peer::Loan {
                    upstream: upstream.into(),
                    slots,
                    loan,
                });
                self.send(&entry, body);
            }
            Request::Return(entry, loan) => {
                let body = Body::Return(peer::Return { loan });
                self.send(&entry, body);
            }
        }
    }

    /// Takes over what newer ledgers say and tells the controllers.
    pub(super) fn learn(&mut self, views: Vec<RegionView>) {
        let mut changed = false;
        for view in views {
            changed |= self.spread.learn(view);
        }
        if changed {
            self.far = self.now();
            self.tell(self.now());
            let regions = self.spread.regions();
            for role in self.duties.roles() {
                self.drive(&role, Input::Regions(Arc::clone(&regions)));
            }
        }
    }

    pub(super) fn send(&mut self, entry: &EntryId, body: Body) {
        let message = encode(&self.control.own().entry, body);
        self.deliver(entry, message);
    }

    fn deliver(&mut self, entry: &EntryId, message: Bytes) {
        if self.blocked.contains(entry) {
            return;
        }
        if let Some(address) = self.spread.address(entry) {
            self.peers.send(entry, address, message);
        }
    }

    /// Sends the heartbeat that is due, to other zones at a longer period.
    pub(super) fn due_beat(&mut self) {
        let far = self.far <= self.now();
        self.beat(far);
    }

    /// Sends a heartbeat to every target at once.
    pub(super) fn send_beat(&mut self) {
        self.beat(true);
    }

    fn beat(&mut self, far: bool) {
        let now = self.now();
        self.beat = now + membership::HEARTBEAT;
        if far {
            self.far = now + FAR;
        }
        let own = self.control.own();
        let mut beat = Heartbeat {
            entry: own.entry.to_string(),
            zone: own.zone.to_string(),
            incarnation: self.incarnation,
            revision: self.adopter.revision(),
            offers: self.offers.clone(),
            stopping: self.draining,
            store_age_ms: age_field(self.watch.store_age(now)),
            address: own.address.to_string(),
            ..Heartbeat::default()
        };
        self.spread.fill(&mut beat);
        self.broadcast(encode("", Body::Heartbeat(beat)), far);
    }

    /// Sends a message to the zone, and to some entries of the other zones if `far`.
    pub(super) fn broadcast(&mut self, message: Bytes, far: bool) {
        let targets = self.spread.targets(far);
        self.peers.expire();
        for (entry, address) in targets {
            if !self.blocked.contains(&entry) {
                self.peers.send(&entry, address, message.clone());
            }
        }
    }
}

fn age_field(age: Option<Duration>) -> u64 {
    age.map_or(0, |age| age.as_millis() as u64 + 1)
}
