//! Exhaustive search for a second run of a non-idempotent request, and for a request that ran but
//! was reported as "not run".
//!
//! The search drives the real gateway through every order of network and upstream behaviour up to
//! a fixed depth. In the network model, bytes of a request may be written or not, and a written
//! request may run at any later time, even after its connection was lost.

use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;
use wigeonhinge::gateway::Action;
use wigeonhinge::gateway::Arrival;
use wigeonhinge::gateway::Event;
use wigeonhinge::gateway::Gateway;
use wigeonhinge::gateway::SendOutcome;
use wigeonhinge::id::Ticket;
use wigeonhinge::outcome::ErrorKind;
use wigeonhinge::outcome::Run;

use crate::gateways::arrival;
use crate::gateways::fleet;
use crate::gateways::ms;
use crate::gateways::ready;
use crate::gateways::sends;

#[path = "support/gateways.rs"]
mod gateways;

/// Maximum number of steps of a path.
const MAX_DEPTH: usize = 7;

const NON_IDEMPOTENT: Ticket = 1;
const IDEMPOTENT: Ticket = 2;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Step {
    Arrive(Ticket),
    Write(Ticket),
    Run(Ticket),
    Report(Ticket, Option<ErrorKind>),
    Cancel(Ticket),
    LeaveVm,
    RemoveUpstream,
    PassDeadline,
}

/// Safeguard that is disabled, to check that the search then finds a violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DisabledGuard {
    None,
    /// The gateway does not learn that the request is non-idempotent.
    Idempotence,
    /// A connection that was lost after the write is reported as one that was never made.
    Written,
}

/// State of one request as seen by the network and the upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct RequestState {
    arrived: bool,
    sending: bool,
    written: bool,
    ran: bool,
    /// Sends whose connection was lost and that may still run.
    in_flight: u8,
    runs: u8,
    refused: bool,
    ended: bool,
}

#[derive(Clone, Debug)]
struct Model {
    path: Vec<Step>,
    requests: [RequestState; 2],
    /// Debug output of the gateway; models with equal requests and fingerprints are the same state.
    fingerprint: String,
}

impl PartialEq for Model {
    fn eq(&self, other: &Self) -> bool {
        self.requests == other.requests && self.fingerprint == other.fingerprint
    }
}

impl Eq for Model {}

impl Hash for Model {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.requests.hash(state);
        self.fingerprint.hash(state);
    }
}

impl Model {
    fn start() -> Self {
        Self {
            path: Vec::new(),
            requests: [RequestState::default(); 2],
            fingerprint: String::new(),
        }
    }

    /// Returns whether the non-idempotent request ran twice, or a request reported as "not run" ran.
    fn violates_guarantee(&self) -> bool {
        let twice = self.requests[0].runs > 1;
        twice
            || self
                .requests
                .iter()
                .any(|request| request.refused && request.runs > 0)
    }

    fn successors(&self, disabled: DisabledGuard) -> Vec<Self> {
        if self.path.len() == MAX_DEPTH || self.violates_guarantee() {
            return Vec::new();
        }
        let steps = self.steps().into_iter();
        steps.map(|step| self.after(step, disabled)).collect()
    }

    /// Returns the steps that network, upstreams, callers and operators can take next.
    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::LeaveVm, Step::RemoveUpstream, Step::PassDeadline];
        for (request, ticket) in self.requests.iter().zip([NON_IDEMPOTENT, IDEMPOTENT]) {
            if !request.arrived {
                steps.push(Step::Arrive(ticket));
            } else if !request.ended {
                steps.push(Step::Cancel(ticket));
            }
            if (request.sending && request.written && !request.ran) || request.in_flight > 0 {
                steps.push(Step::Run(ticket));
            }
            if request.sending {
                steps.extend(possible_results(request).map(|kind| Step::Report(ticket, kind)));
            }
            if request.sending && !request.written {
                steps.push(Step::Write(ticket));
            }
        }
        steps
    }

    /// Replays the path on a new gateway and takes one more step.
    fn after(&self, step: Step, disabled: DisabledGuard) -> Self {
        let mut gateway = ready(fleet(&["a"], &["crews"], 2, 1));
        for ticket in 100..130 {
            gateway.handle(Event::Arrive(arrival(ticket, "crews", ms(0))), ms(0));
            let outcome = SendOutcome::Answered {
                server_error: false,
            };
            gateway.handle(Event::Report { ticket, outcome }, ms(0));
        }
        let mut model = Self::start();
        model.path.clone_from(&self.path);
        model.path.push(step);
        for at in 0..model.path.len() {
            let step = model.path[at];
            model.apply(&mut gateway, step, disabled, at);
        }
        model.fingerprint = format!("{gateway:?}");
        model
    }

    fn apply(&mut self, gateway: &mut Gateway, step: Step, disabled: DisabledGuard, at: usize) {
        let past_deadline = self.path[..=at].contains(&Step::PassDeadline);
        let now = if past_deadline { ms(10_000) } else { ms(0) };
        let actions = match step {
            Step::Arrive(ticket) => {
                self.requests[index(ticket)].arrived = true;
                let idempotent = ticket == IDEMPOTENT || disabled == DisabledGuard::Idempotence;
                let request = Arrival {
                    idempotent,
                    ..arrival(ticket, "crews", ms(0))
                };
                gateway.handle(Event::Arrive(request), now)
            }
            Step::Write(ticket) => {
                self.requests[index(ticket)].written = true;
                Vec::new()
            }
            Step::Run(ticket) => {
                self.requests[index(ticket)].run();
                Vec::new()
            }
            Step::Report(ticket, kind) => {
                let written = self.requests[index(ticket)].end_send(kind);
                let kind = match kind {
                    Some(_) if written && disabled == DisabledGuard::Written => {
                        Some(ErrorKind::ConnectFailed)
                    }
                    kind => kind,
                };
                let outcome = kind.map_or(
                    SendOutcome::Answered {
                        server_error: false,
                    },
                    SendOutcome::Failed,
                );
                gateway.handle(Event::Report { ticket, outcome }, now)
            }
            Step::Cancel(ticket) => {
                self.requests[index(ticket)].end_send(Some(ErrorKind::ConnectionLost));
                self.requests[index(ticket)].ended = true;
                gateway.handle(Event::Cancel(ticket), now)
            }
            Step::LeaveVm => {
                let vms = BTreeSet::from(["crews-0".into()]);
                gateway.handle(Event::LeavingVms(vms), now)
            }
            Step::RemoveUpstream => {
                let fleet = fleet(&["a"], &["crews"], 1, 1);
                gateway.handle(Event::Configure(Box::new(fleet)), now)
            }
            Step::PassDeadline => gateway.handle(Event::Tick, now),
        };
        self.record(&actions);
    }

    fn record(&mut self, actions: &[Action]) {
        for (ticket, _) in sends(actions) {
            self.requests[index(ticket)].sending = true;
        }
        for action in actions {
            if let Action::Fail { ticket, kind } = action {
                let request = &mut self.requests[index(*ticket)];
                request.ended = true;
                request.refused = kind.response().run == Run::NotRun;
            }
        }
    }
}

impl RequestState {
    fn run(&mut self) {
        self.runs = self.runs.saturating_add(1);
        if self.sending && self.written && !self.ran {
            self.ran = true;
        } else {
            self.in_flight -= 1;
        }
    }

    /// Ends a send; returns whether the request was written.
    fn end_send(&mut self, kind: Option<ErrorKind>) -> bool {
        let written = std::mem::take(&mut self.written);
        let ran = std::mem::take(&mut self.ran);
        self.sending = false;
        self.ended |= kind.is_none();
        let refused = kind == Some(ErrorKind::RefusedByUpstream);
        if written && !ran && !refused {
            self.in_flight += 1;
        }
        written
    }
}

/// Returns the possible results of a send; none stands for a response.
fn possible_results(request: &RequestState) -> impl Iterator<Item = Option<ErrorKind>> {
    let mut results = Vec::new();
    if !request.written {
        results.push(Some(ErrorKind::ConnectFailed));
    } else {
        results.push(Some(ErrorKind::ConnectionLost));
        results.push(Some(ErrorKind::ConnectionSilent));
        results.push(Some(ErrorKind::DeadlineAfterSend));
    }
    if request.written && !request.ran {
        results.push(Some(ErrorKind::RefusedByUpstream));
    }
    if request.ran {
        results.push(Some(ErrorKind::AnswerCutShort));
        results.push(Some(ErrorKind::AnswerMismatch));
        results.push(Some(ErrorKind::AnswerTooLarge));
        results.push(None);
    }
    results.into_iter()
}

fn index(ticket: Ticket) -> usize {
    usize::from(ticket == IDEMPOTENT)
}

/// Guards against a second run of a non-idempotent request, and against reporting "not run" for a
/// request that ran, in every order of steps up to the maximum depth.
#[test]
fn handle_at_most_once() {
    let mut states = 0;
    let mut retried = 0;
    let reach = bfs_reach(Model::start(), |model| {
        model.successors(DisabledGuard::None)
    });
    for model in reach {
        assert!(!model.violates_guarantee(), "{:?}", model.path);
        states += 1;
        retried += u64::from(model.requests[1].runs > 1);
    }
    println!(
        "depth {MAX_DEPTH}, 2 requests, 2 upstreams: {states} states, {retried} with two runs"
    );
    assert!(retried > 0);
}

fn counterexample(disabled: DisabledGuard) -> Vec<Step> {
    let start = Model::start();
    let path = bfs(
        &start,
        |model| model.successors(disabled),
        Model::violates_guarantee,
    );
    let path = path.and_then(|path| path.last().map(|model| model.path.clone()));
    println!("without {disabled:?}: {path:?}");
    path.expect("no counterexample found")
}

/// Guards against a search that cannot find a second run: it must find one if the gateway does not
/// know that the request is non-idempotent.
#[test]
fn handle_without_idempotence() {
    let path = counterexample(DisabledGuard::Idempotence);
    assert_eq!(
        path.iter()
            .filter(|it| **it == Step::Run(NON_IDEMPOTENT))
            .count(),
        2
    );
}

/// Guards against a search that cannot find a false "not run": it must find one if a connection
/// lost after the write is reported as never made.
#[test]
fn handle_without_written() {
    let path = counterexample(DisabledGuard::Written);
    assert!(path.contains(&Step::Run(NON_IDEMPOTENT)) || path.contains(&Step::Run(IDEMPOTENT)));
}
