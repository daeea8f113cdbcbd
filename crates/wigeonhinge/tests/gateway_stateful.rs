//! Stateful property test: the gateway against a simple reference model, under random events.

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
use crate::oracle::configuration;
use crate::oracle::selected;

// Each test file uses only some of the helpers.
#[allow(dead_code)]
#[path = "support/gateways.rs"]
mod gateways;

const SERVICES: [&str; 3] = ["crews", "bridge", "backoffice"];

/// Upstreams that leave, fail probes or are lent.
const UPSTREAMS: [&str; 6] = [
    "crews-0",
    "crews-1",
    "crews-2",
    "bridge-0",
    "bridge-1",
    "backoffice-0",
];

/// Possible results of a send; none for a response.
const OUTCOMES: [Option<ErrorKind>; 9] = [
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
    LeavingVms(u8),
    AnnounceLeaving(usize, bool),
    ProbeFailed(usize),
    Configure(usize),
    ConfirmMembership,
    Tick(u64),
    Pause(u64),
    Offer(bool),
    ReplyToBorrow(bool),
    Borrow(usize, u32),
    ReturnLoan,
}

/// An open request as its caller and the embedder see it.
#[derive(Clone, Debug)]
struct OpenRequest {
    arrival: Arrival,
    upstream: Option<String>,
    sends: u32,
    maybe_ran: bool,
}

/// A loan that the entry holds as borrower.
#[derive(Clone, Debug)]
struct BorrowedLoan {
    upstream: String,
    slots: u32,
    requested: Duration,
    /// Whether a request was sent to the upstream since the loan was granted.
    used: bool,
}

/// The gateway under test, with the requests and loans seen from outside.
struct System {
    gateway: Gateway,
    requests: BTreeMap<Ticket, OpenRequest>,
    last_id: Ticket,
    loan_requests: Vec<(String, String, u32, Duration)>,
    borrowed: BTreeMap<(String, u64), BorrowedLoan>,
    lent: BTreeMap<u64, (String, u32, Duration)>,
    /// Slots of the upstreams of the entry's own zone, also of removed ones.
    slots: BTreeMap<String, u32>,
}

impl System {
    fn handle(&mut self, oracle: &Oracle, event: Event) {
        for action in self.gateway.handle(event, oracle.now) {
            self.carry_out(oracle, action);
        }
    }

    fn carry_out(&mut self, oracle: &Oracle, action: Action) {
        match action {
            Action::Send {
                ticket,
                upstream,
                address,
            } => {
                self.check_send(oracle, ticket, &upstream, &address.to_string());
            }
            Action::Fail { ticket, kind } => {
                let request = self
                    .requests
                    .remove(&ticket)
                    .expect("request failed twice or is unknown");
                assert!(
                    request.upstream.is_none(),
                    "request failed while at an upstream"
                );
                let not_run = kind.response().run == Run::NotRun;
                assert!(
                    !(not_run && request.maybe_ran),
                    "{kind:?} reports \"not run\" for a request that may have run"
                );
            }
            Action::Borrow {
                entry,
                upstream,
                slots,
            } => {
                let request = (entry.to_string(), upstream.to_string(), slots, oracle.now);
                self.loan_requests.push(request);
            }
            Action::Return { entry, loan } => {
                let loan = self.borrowed.remove(&(entry.to_string(), loan));
                let loan = loan.expect("loan returned twice or unknown");
                let running = self.running(&loan.upstream);
                let bound = self.bound(oracle, &loan.upstream, true);
                assert!(!loan.used || running <= bound, "loan returned while in use");
            }
            Action::Loan {
                upstream,
                slots,
                loan,
                ..
            } if slots > 0 => {
                self.lent
                    .insert(loan, (upstream.to_string(), slots, oracle.now));
                let share = self.bound(oracle, &upstream, false);
                assert!(self.running(&upstream) <= share, "a slot in use was lent");
            }
            Action::Loan { .. } | Action::LimitConnections { .. } => {}
        }
    }

    fn check_send(&mut self, oracle: &Oracle, ticket: Ticket, name: &str, address: &str) {
        let fleet = configuration(oracle.config);
        let rule = fleet.upstreams.iter().find(|it| it.name == name);
        let rule = rule.expect("request sent to an upstream that is not configured");
        assert_eq!(rule.address, address);
        assert!(!oracle.leaving.contains(name) && !oracle.announced.contains(name));
        let request = self
            .requests
            .get_mut(&ticket)
            .expect("request sent after its end");
        assert!(
            request.upstream.is_none(),
            "request sent to two upstreams at once"
        );
        assert!(
            request.arrival.deadline > oracle.now,
            "request sent after its deadline"
        );
        assert!(
            request.arrival.idempotent || !request.maybe_ran,
            "non-idempotent request may run twice"
        );
        let spare = rule.service == "backoffice";
        assert!(spare || request.arrival.service == rule.service);
        request.upstream = Some(name.to_owned());
        request.sends += 1;
        let loans = self.borrowed.values_mut();
        loans
            .filter(|it| it.upstream == name)
            .for_each(|it| it.used = true);
        let bound = self.bound(oracle, name, false);
        assert!(
            self.running(name) <= bound,
            "more than {bound} requests at {name}"
        );
    }

    fn running(&self, name: &str) -> u32 {
        let running = self
            .requests
            .values()
            .filter(|it| it.upstream.as_deref() == Some(name));
        running.count() as u32
    }

    /// Returns how many requests may run at an upstream.
    ///
    /// A borrowed loan counts for 1 s, or until its return if `closing`.
    fn bound(&self, oracle: &Oracle, name: &str, closing: bool) -> u32 {
        let slots = self.slots.get(name);
        let share = slots.map_or(0, |slots| oracle.share(*slots));
        let borrowed = self
            .borrowed
            .values()
            .filter(|it| it.upstream == name && (closing || it.requested + ms(1_000) > oracle.now));
        let lent = self.lent.values().filter(|(upstream, _, at)| {
            upstream == name && *at + Duration::from_secs(30) > oracle.now
        });
        let lent: u32 = lent.map(|(_, slots, _)| slots).sum();
        share.saturating_sub(lent) + borrowed.map(|it| it.slots).sum::<u32>()
    }

    fn report(
        &mut self,
        oracle: &Oracle,
        nth: usize,
        error: Option<ErrorKind>,
        server_error: bool,
    ) {
        let running = self
            .requests
            .iter()
            .filter(|(_, request)| request.upstream.is_some());
        let tickets: Vec<Ticket> = running.map(|(ticket, _)| *ticket).collect();
        let Some(ticket) = tickets.get(nth % tickets.len().max(1)).copied() else {
            return;
        };
        let outcome = match error {
            Some(kind) => {
                let request = self.requests.get_mut(&ticket).unwrap();
                request.upstream = None;
                request.maybe_ran |= kind.response().run != Run::NotRun;
                SendOutcome::Failed(kind)
            }
            None => {
                self.requests.remove(&ticket);
                SendOutcome::Answered { server_error }
            }
        };
        self.handle(oracle, Event::Report { ticket, outcome });
    }

    fn reply_to_borrows(&mut self, oracle: &Oracle, granted: bool) {
        let mut pending = std::mem::take(&mut self.loan_requests);
        // Peers close a connection that is silent for longer, so later replies never arrive.
        pending.retain(|(_, _, _, at)| *at + ms(5_000) > oracle.now);
        for (entry, upstream, slots, at) in pending {
            self.last_id += 1;
            let (loan, slots) = (self.last_id, if granted { slots } else { 0 });
            if slots > 0 {
                let borrowed = BorrowedLoan {
                    upstream: upstream.clone(),
                    slots,
                    requested: at,
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
            self.handle(oracle, event);
        }
    }

    fn configure(&mut self, oracle: &Oracle) {
        let fleet = configuration(oracle.config);
        for (vm, rule) in fleet.inventory.iter().zip(&fleet.upstreams) {
            if vm.zone == "a" {
                self.slots.insert(rule.name.clone(), rule.slots);
            }
        }
        self.handle(oracle, Event::Configure(Box::new(fleet)));
    }

    fn offer(&mut self, oracle: &Oracle, local: bool) {
        let fleet = configuration(oracle.config);
        let zone = if local { "a" } else { "b" };
        let vms = fleet.inventory.iter().filter(|vm| vm.zone == zone);
        let event = Event::Offers {
            entry: if local { "e2".into() } else { "e9".into() },
            slots: vms.map(|vm| (vm.name.as_str().into(), 2)).collect(),
        };
        self.handle(oracle, event);
    }
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = System;
    type Reference = Oracle;

    fn init_test(oracle: &Oracle) -> System {
        let mut system = System {
            gateway: Gateway::new("e1".into(), "a".into()),
            requests: BTreeMap::new(),
            last_id: 0,
            loan_requests: Vec::new(),
            borrowed: BTreeMap::new(),
            lent: BTreeMap::new(),
            slots: BTreeMap::new(),
        };
        system.configure(oracle);
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
                    system.last_id += 1;
                    let arrival = Arrival {
                        caller: format!("c{caller}").into(),
                        team: if caller == 3 { "t".into() } else { "".into() },
                        idempotent,
                        deadline: oracle.now + ms(wait),
                        ..arrival(system.last_id, SERVICES[service], oracle.now)
                    };
                    let request = OpenRequest {
                        arrival: arrival.clone(),
                        upstream: None,
                        sends: 0,
                        maybe_ran: false,
                    };
                    system.requests.insert(system.last_id, request);
                    system.handle(oracle, Event::Arrive(arrival));
                }
            }
            Step::Report(nth, outcome, server_error) => {
                system.report(oracle, nth, OUTCOMES[outcome], server_error)
            }
            Step::Cancel(nth, count) => {
                let tickets = system.requests.keys().copied();
                for ticket in tickets.skip(nth).take(count).collect::<Vec<_>>() {
                    system.requests.remove(&ticket);
                    system.handle(oracle, Event::Cancel(ticket));
                }
            }
            Step::Members(mask) => {
                let peers = [(1, "e2"), (2, "e3")].into_iter();
                let peers = peers.filter(|(bit, _)| mask & bit > 0);
                let live = peers.map(|(_, name)| name.into()).chain(["e1".into()]);
                system.handle(oracle, Event::Members(live.collect()));
            }
            Step::LeavingVms(mask) => {
                let vms = selected(mask).iter().map(Into::into).collect();
                system.handle(oracle, Event::LeavingVms(vms));
            }
            Step::AnnounceLeaving(at, true) => {
                system.handle(oracle, Event::UpstreamLeaving(UPSTREAMS[at].into()))
            }
            Step::AnnounceLeaving(at, false) => {
                system.handle(oracle, Event::UpstreamRejoined(UPSTREAMS[at].into()))
            }
            Step::ProbeFailed(at) => {
                system.handle(oracle, Event::ProbeFailed(UPSTREAMS[at].into()))
            }
            Step::Configure(_) => system.configure(oracle),
            Step::ConfirmMembership => system.handle(oracle, Event::MembershipConfirmed),
            Step::Tick(_) | Step::Pause(_) => system.handle(oracle, Event::Tick),
            Step::Offer(local) => system.offer(oracle, local),
            Step::ReplyToBorrow(granted) => system.reply_to_borrows(oracle, granted),
            Step::Borrow(at, slots) => {
                let event = Event::Borrow {
                    entry: "e3".into(),
                    upstream: UPSTREAMS[at].into(),
                    slots,
                };
                system.handle(oracle, event);
            }
            Step::ReturnLoan => {
                let event = |loan| Event::Return {
                    entry: "e3".into(),
                    loan,
                };
                if let Some((loan, _)) = system.lent.pop_first() {
                    system.handle(oracle, event(loan));
                }
            }
        }
        system
    }

    fn check_invariants(system: &System, _: &Oracle) {
        let status = system.gateway.status();
        assert_eq!(status.requests, system.requests.len(), "a request was lost");
        for (name, service) in &status.services {
            assert!(service.retried * 10 <= service.arrived, "too many retries");
            let retries = system
                .requests
                .values()
                .filter(|it| it.sends > 0 && it.upstream.is_none());
            let free = status.upstreams.iter().any(|(upstream, it)| {
                upstream.starts_with(name.as_str()) && it.allowed > it.running
            });
            assert!(
                !free || service.queued <= retries.count(),
                "a slot of {name} is idle"
            );
        }
    }

    fn teardown(mut system: System, mut oracle: Oracle) {
        for _ in 0..200 {
            oracle.advance(ms(50));
            system.reply_to_borrows(&oracle, false);
            system.handle(&oracle, Event::Tick);
            system.report(&oracle, 0, None, false);
        }
        while !system.requests.is_empty() {
            system.report(&oracle, 0, None, false);
        }
        Self::check_invariants(&system, &oracle);
        assert!(system.borrowed.is_empty(), "a loan was not returned");
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(400, 11, 2_000))]

    /// Guards against lost, duplicated, misrouted and wrongly refused requests, use of more slots
    /// than share and loans allow, retries beyond the budget, idle slots while requests wait, and
    /// loans that are never returned.
    #[test]
    fn handle_oracle(sequential 1..150 => Test);
}
