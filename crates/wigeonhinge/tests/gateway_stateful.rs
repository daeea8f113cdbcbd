//! The gateway against a simple oracle, under random sequences of events.

#[allow(dead_code, unreachable_pub)]
#[path = "support/fuzz.rs"]
mod fuzz;
#[path = "gateway_stateful/oracle.rs"]
mod oracle;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use wigeonhinge::gateway::Action;
use wigeonhinge::gateway::Arrival;
use wigeonhinge::gateway::Event;
use wigeonhinge::gateway::Gateway;
use wigeonhinge::gateway::SendOutcome;
use wigeonhinge::id::Ticket;
use wigeonhinge::outcome::ErrorKind;
use wigeonhinge::outcome::Run;

use crate::gateways::arrival;
use crate::gateways::ms;
use crate::oracle::Oracle;
use crate::oracle::variant;
use crate::oracle::vms;

// Each test file uses a part of the helpers.
#[allow(dead_code)]
#[path = "support/gateways.rs"]
mod gateways;

const SERVICES: [&str; 3] = ["crews", "bridge", "backoffice"];

/// Names that announcements, suspicions and loans pick from.
const UPSTREAMS: [&str; 6] = [
    "crews-0",
    "crews-1",
    "crews-2",
    "bridge-0",
    "bridge-1",
    "backoffice-0",
];

/// How a sending can end; none for an answer.
const ENDS: [Option<ErrorKind>; 9] = [
    None,
    None,
    Some(ErrorKind::ConnectFailed),
    Some(ErrorKind::RefusedByUpstream),
    Some(ErrorKind::ConnectionLost),
    Some(ErrorKind::ConnectionSilent),
    Some(ErrorKind::DeadlineAfterSend),
    Some(ErrorKind::AnswerMismatch),
    Some(ErrorKind::AnswerTooLarge),
];

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        service: usize,
        caller: u8,
        idempotent: bool,
        wait: u64,
        count: usize,
    },
    Report(usize, usize, bool),
    Cancel(usize, usize),
    Members(u8),
    Leaving(u8),
    Announce(usize, bool),
    Suspect(usize),
    Adopt(usize),
    Confirm,
    Tick(u64),
    Pause(u64),
    Offer(bool),
    Grant(bool),
    Ask(usize, u32),
    GiveBack,
}

/// A request as its caller and the embedder see it.
#[derive(Clone, Debug)]
struct Open {
    arrival: Arrival,
    at: Option<String>,
    sends: u32,
    doubt: bool,
}

/// A loan that the entry holds.
#[derive(Clone, Debug)]
struct Borrowed {
    upstream: String,
    slots: u32,
    asked: Duration,
    /// Whether a request was sent to the upstream since.
    used: bool,
}

/// The gateway and the oracle's book of requests and loans.
struct System {
    gateway: Gateway,
    open: BTreeMap<Ticket, Open>,
    last: Ticket,
    asked: Vec<(String, String, u32, Duration)>,
    borrowed: BTreeMap<(String, u64), Borrowed>,
    lent: BTreeMap<u64, (String, u32, Duration)>,
    /// Slots of the upstreams of the own zone, also of those that were removed.
    slots: BTreeMap<String, u32>,
}

impl System {
    fn feed(&mut self, oracle: &Oracle, event: Event) {
        for action in self.gateway.handle(event, oracle.now) {
            self.act(oracle, action);
        }
    }

    fn act(&mut self, oracle: &Oracle, action: Action) {
        match action {
            Action::Send {
                ticket,
                upstream,
                address,
            } => {
                self.sent(oracle, ticket, &upstream, &address.to_string());
            }
            Action::Fail { ticket, kind } => {
                let open = self.open.remove(&ticket).expect("failed twice or unknown");
                assert!(open.at.is_none(), "failed while being sent");
                let not_run = kind.response().run == Run::NotRun;
                assert!(!(not_run && open.doubt), "{kind:?} may have run");
            }
            Action::Borrow {
                entry,
                upstream,
                slots,
            } => {
                let ask = (entry.to_string(), upstream.to_string(), slots, oracle.now);
                self.asked.push(ask);
            }
            Action::Return { entry, loan } => {
                let loan = self.borrowed.remove(&(entry.to_string(), loan));
                let loan = loan.expect("returned twice or unknown");
                let running = self.running(&loan.upstream);
                let bound = self.bound(oracle, &loan.upstream, true);
                assert!(!loan.used || running <= bound, "returned in use");
            }
            Action::Loan {
                upstream,
                slots,
                loan,
                ..
            } if slots > 0 => {
                self.lent
                    .insert(loan, (upstream.to_string(), slots, oracle.now));
                let part = self.bound(oracle, &upstream, false);
                assert!(self.running(&upstream) <= part, "lent a slot in use");
            }
            Action::Loan { .. } | Action::LimitConnections { .. } => {}
        }
    }

    fn sent(&mut self, oracle: &Oracle, ticket: Ticket, name: &str, address: &str) {
        let fleet = variant(oracle.adopted);
        let rule = fleet.upstreams.iter().find(|it| it.name == name);
        let rule = rule.expect("sent to an upstream that is not configured");
        assert_eq!(rule.address, address);
        assert!(!oracle.leaving.contains(name) && !oracle.announced.contains(name));
        let open = self.open.get_mut(&ticket).expect("sent after its end");
        assert!(open.at.is_none(), "sent twice at once");
        assert!(
            open.arrival.deadline > oracle.now,
            "sent after its deadline"
        );
        assert!(open.arrival.idempotent || !open.doubt, "may run twice");
        let spare = rule.service == "backoffice";
        assert!(spare || open.arrival.service == rule.service);
        open.at = Some(name.to_owned());
        open.sends += 1;
        let loans = self.borrowed.values_mut();
        loans
            .filter(|it| it.upstream == name)
            .for_each(|it| it.used = true);
        let bound = self.bound(oracle, name, false);
        assert!(self.running(name) <= bound, "{name} above {bound}");
    }

    fn running(&self, name: &str) -> u32 {
        let at = self
            .open
            .values()
            .filter(|it| it.at.as_deref() == Some(name));
        at.count() as u32
    }

    /// Returns the most requests that may run at an upstream; loans count for 1 s, or until their
    /// return if `closing`.
    fn bound(&self, oracle: &Oracle, name: &str, closing: bool) -> u32 {
        let slots = self.slots.get(name);
        let part = slots.map_or(0, |slots| oracle.part(*slots));
        let borrowed = self
            .borrowed
            .values()
            .filter(|it| it.upstream == name && (closing || it.asked + ms(1_000) > oracle.now));
        let lent = self.lent.values().filter(|(upstream, _, at)| {
            upstream == name && *at + Duration::from_secs(30) > oracle.now
        });
        let lent: u32 = lent.map(|(_, slots, _)| slots).sum();
        part.saturating_sub(lent) + borrowed.map(|it| it.slots).sum::<u32>()
    }

    fn report(&mut self, oracle: &Oracle, nth: usize, end: Option<ErrorKind>, server_error: bool) {
        let running = self.open.iter().filter(|(_, open)| open.at.is_some());
        let tickets: Vec<Ticket> = running.map(|(ticket, _)| *ticket).collect();
        let Some(ticket) = tickets.get(nth % tickets.len().max(1)).copied() else {
            return;
        };
        let outcome = match end {
            Some(kind) => {
                let open = self.open.get_mut(&ticket).unwrap();
                open.at = None;
                open.doubt |= kind.response().run != Run::NotRun;
                SendOutcome::Failed(kind)
            }
            None => {
                self.open.remove(&ticket);
                SendOutcome::Answered { server_error }
            }
        };
        self.feed(oracle, Event::Report { ticket, outcome });
    }

    fn grant(&mut self, oracle: &Oracle, agree: bool) {
        let mut asked = std::mem::take(&mut self.asked);
        // A connection that is silent for longer is closed.
        asked.retain(|(_, _, _, at)| *at + ms(5_000) > oracle.now);
        for (entry, upstream, slots, at) in asked {
            self.last += 1;
            let (loan, slots) = (self.last, if agree { slots } else { 0 });
            if slots > 0 {
                let borrowed = Borrowed {
                    upstream: upstream.clone(),
                    slots,
                    asked: at,
                    used: false,
                };
                self.borrowed.insert((entry.clone(), loan), borrowed);
            }
            let event = Event::Loan {
                entry: entry.into(),
                upstream: upstream.into(),
                slots,
                loan,
            };
            self.feed(oracle, event);
        }
    }

    fn adopt(&mut self, oracle: &Oracle) {
        let fleet = variant(oracle.adopted);
        for (vm, rule) in fleet.inventory.iter().zip(&fleet.upstreams) {
            if vm.zone == "a" {
                self.slots.insert(rule.name.clone(), rule.slots);
            }
        }
        self.feed(oracle, Event::Configure(Box::new(fleet)));
    }

    fn offer(&mut self, oracle: &Oracle, near: bool) {
        let fleet = variant(oracle.adopted);
        let zone = if near { "a" } else { "b" };
        let vms = fleet.inventory.iter().filter(|vm| vm.zone == zone);
        let event = Event::Offers {
            entry: if near { "e2".into() } else { "e9".into() },
            slots: vms.map(|vm| (vm.name.as_str().into(), 2)).collect(),
        };
        self.feed(oracle, event);
    }
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = System;
    type Reference = Oracle;

    fn init_test(oracle: &Oracle) -> System {
        let mut system = System {
            gateway: Gateway::new("e1".into(), "a".into()),
            open: BTreeMap::new(),
            last: 0,
            asked: Vec::new(),
            borrowed: BTreeMap::new(),
            lent: BTreeMap::new(),
            slots: BTreeMap::new(),
        };
        system.adopt(oracle);
        system
    }

    fn apply(mut system: System, oracle: &Oracle, step: Step) -> System {
        match step {
            Step::Arrive {
                service,
                caller,
                idempotent,
                wait,
                count,
            } => {
                for _ in 0..count {
                    system.last += 1;
                    let arrival = Arrival {
                        caller: format!("c{caller}").into(),
                        team: if caller == 3 { "t".into() } else { "".into() },
                        idempotent,
                        deadline: oracle.now + ms(wait),
                        ..arrival(system.last, SERVICES[service], oracle.now)
                    };
                    let open = Open {
                        arrival: arrival.clone(),
                        at: None,
                        sends: 0,
                        doubt: false,
                    };
                    system.open.insert(system.last, open);
                    system.feed(oracle, Event::Arrive(arrival));
                }
            }
            Step::Report(nth, end, failed) => system.report(oracle, nth, ENDS[end], failed),
            Step::Cancel(nth, count) => {
                let tickets = system.open.keys().copied();
                for ticket in tickets.skip(nth).take(count).collect::<Vec<_>>() {
                    system.open.remove(&ticket);
                    system.feed(oracle, Event::Cancel(ticket));
                }
            }
            Step::Members(mask) => {
                let peers = [(1, "e2"), (2, "e3")].into_iter();
                let peers = peers.filter(|(bit, _)| mask & bit > 0);
                let live = peers.map(|(_, name)| name.into()).chain(["e1".into()]);
                system.feed(oracle, Event::Members(live.collect()));
            }
            Step::Leaving(mask) => {
                let vms = vms(mask).iter().map(Into::into).collect();
                system.feed(oracle, Event::LeavingVms(vms));
            }
            Step::Announce(at, true) => {
                system.feed(oracle, Event::UpstreamLeaving(UPSTREAMS[at].into()))
            }
            Step::Announce(at, false) => {
                system.feed(oracle, Event::UpstreamRejoined(UPSTREAMS[at].into()))
            }
            Step::Suspect(at) => system.feed(oracle, Event::ProbeFailed(UPSTREAMS[at].into())),
            Step::Adopt(_) => system.adopt(oracle),
            Step::Confirm => system.feed(oracle, Event::MembershipConfirmed),
            Step::Tick(_) | Step::Pause(_) => system.feed(oracle, Event::Tick),
            Step::Offer(near) => system.offer(oracle, near),
            Step::Grant(agree) => system.grant(oracle, agree),
            Step::Ask(at, slots) => {
                let event = Event::Borrow {
                    entry: "e3".into(),
                    upstream: UPSTREAMS[at].into(),
                    slots,
                };
                system.feed(oracle, event);
            }
            Step::GiveBack => {
                let event = |loan| Event::Return {
                    entry: "e3".into(),
                    loan,
                };
                if let Some((loan, _)) = system.lent.pop_first() {
                    system.feed(oracle, event(loan));
                }
            }
        }
        system
    }

    fn check_invariants(system: &System, _: &Oracle) {
        let status = system.gateway.status();
        assert_eq!(status.requests, system.open.len(), "a request was lost");
        for (name, service) in &status.services {
            assert!(service.retried * 10 <= service.arrived, "too many retries");
            let again = system
                .open
                .values()
                .filter(|it| it.sends > 0 && it.at.is_none());
            let free = status.upstreams.iter().any(|(upstream, it)| {
                upstream.starts_with(name.as_str()) && it.allowed > it.running
            });
            assert!(
                !free || service.queued <= again.count(),
                "a slot of {name} is idle"
            );
        }
    }

    fn teardown(mut system: System, mut oracle: Oracle) {
        for _ in 0..200 {
            oracle.pass(ms(50));
            system.grant(&oracle, false);
            system.feed(&oracle, Event::Tick);
            system.report(&oracle, 0, None, false);
        }
        while !system.open.is_empty() {
            system.report(&oracle, 0, None, false);
        }
        Self::check_invariants(&system, &oracle);
        assert!(system.borrowed.is_empty(), "a loan was not returned");
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(400, 11, 2_000))]

    /// Guards against lost, doubled, misdirected and falsely refused requests, slots used beyond
    /// the part and the loans, retries beyond the budget, idle slots and loans that are kept.
    #[test]
    fn handle_oracle(sequential 1..150 => Test);
}
