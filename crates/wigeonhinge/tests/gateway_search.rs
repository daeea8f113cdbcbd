//! Exhaustive search for a second run of a non-idempotent request, or for a "not run" that ran.
//!
//! The search drives the gateway that ships with every order of network and upstream behaviour up
//! to a depth. The network model: bytes of a request may be written or not; what was written may
//! run at any later time, also after the connection was lost.

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

/// Steps of a path.
const DEPTH: usize = 7;

/// The non-idempotent request.
const ONCE: Ticket = 1;

/// The idempotent request.
const OFTEN: Ticket = 2;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Step {
    Arrive(Ticket),
    Write(Ticket),
    Run(Ticket),
    Report(Ticket, Option<ErrorKind>),
    Cancel(Ticket),
    Leave,
    Remove,
    Late,
}

/// Guard that is taken away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Missing {
    Nothing,
    /// The gateway does not learn that the request is non-idempotent.
    Idempotence,
    /// A connection that was lost after the write is reported as not made.
    Written,
}

/// What the world knows of one request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Fact {
    arrived: bool,
    sending: bool,
    written: bool,
    ran: bool,
    /// Lost sendings that may still run.
    adrift: u8,
    runs: u8,
    refused: bool,
    over: bool,
}

#[derive(Clone, Debug)]
struct World {
    path: Vec<Step>,
    facts: [Fact; 2],
    /// State of the gateway in words; two worlds with the same words are one.
    words: String,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.facts == other.facts && self.words == other.words
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.facts.hash(state);
        self.words.hash(state);
    }
}

impl World {
    fn start() -> Self {
        Self {
            path: Vec::new(),
            facts: [Fact::default(); 2],
            words: String::new(),
        }
    }

    /// Returns whether a promise is broken.
    fn broken(&self) -> bool {
        let twice = self.facts[0].runs > 1;
        twice || self.facts.iter().any(|fact| fact.refused && fact.runs > 0)
    }

    fn successors(&self, missing: Missing) -> Vec<Self> {
        if self.path.len() == DEPTH || self.broken() {
            return Vec::new();
        }
        let steps = self.steps().into_iter();
        steps.map(|step| self.then(step, missing)).collect()
    }

    /// Returns the steps that the network, the upstreams, the callers and the operators can take.
    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Leave, Step::Remove, Step::Late];
        for (fact, ticket) in self.facts.iter().zip([ONCE, OFTEN]) {
            if !fact.arrived {
                steps.push(Step::Arrive(ticket));
            } else if !fact.over {
                steps.push(Step::Cancel(ticket));
            }
            if (fact.sending && fact.written && !fact.ran) || fact.adrift > 0 {
                steps.push(Step::Run(ticket));
            }
            if fact.sending {
                steps.extend(reports(fact).map(|kind| Step::Report(ticket, kind)));
            }
            if fact.sending && !fact.written {
                steps.push(Step::Write(ticket));
            }
        }
        steps
    }

    /// Plays the path again and takes one more step.
    fn then(&self, step: Step, missing: Missing) -> Self {
        let mut gateway = ready(fleet(&["a"], &["crews"], 2, 1));
        for ticket in 100..130 {
            gateway.handle(Event::Arrive(arrival(ticket, "crews", ms(0))), ms(0));
            let outcome = SendOutcome::Answered {
                server_error: false,
            };
            gateway.handle(Event::Report { ticket, outcome }, ms(0));
        }
        let mut world = Self::start();
        world.path.clone_from(&self.path);
        world.path.push(step);
        for at in 0..world.path.len() {
            let step = world.path[at];
            world.step(&mut gateway, step, missing, at);
        }
        world.words = format!("{gateway:?}");
        world
    }

    fn step(&mut self, gateway: &mut Gateway, step: Step, missing: Missing, at: usize) {
        let late = self.path[..=at].contains(&Step::Late);
        let now = if late { ms(10_000) } else { ms(0) };
        let actions = match step {
            Step::Arrive(ticket) => {
                self.facts[place(ticket)].arrived = true;
                let idempotent = ticket == OFTEN || missing == Missing::Idempotence;
                let request = Arrival {
                    idempotent,
                    ..arrival(ticket, "crews", ms(0))
                };
                gateway.handle(Event::Arrive(request), now)
            }
            Step::Write(ticket) => {
                self.facts[place(ticket)].written = true;
                Vec::new()
            }
            Step::Run(ticket) => {
                self.facts[place(ticket)].run();
                Vec::new()
            }
            Step::Report(ticket, kind) => {
                let written = self.facts[place(ticket)].end(kind);
                let kind = match kind {
                    Some(_) if written && missing == Missing::Written => {
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
                self.facts[place(ticket)].end(Some(ErrorKind::ConnectionLost));
                self.facts[place(ticket)].over = true;
                gateway.handle(Event::Cancel(ticket), now)
            }
            Step::Leave => {
                let vms = BTreeSet::from(["crews-0".into()]);
                gateway.handle(Event::LeavingVms(vms), now)
            }
            Step::Remove => {
                let fleet = fleet(&["a"], &["crews"], 1, 1);
                gateway.handle(Event::Configure(Box::new(fleet)), now)
            }
            Step::Late => gateway.handle(Event::Tick, now),
        };
        self.follow(&actions);
    }

    fn follow(&mut self, actions: &[Action]) {
        for (ticket, _) in sends(actions) {
            self.facts[place(ticket)].sending = true;
        }
        for action in actions {
            if let Action::Fail { ticket, kind } = action {
                let fact = &mut self.facts[place(*ticket)];
                fact.over = true;
                fact.refused = kind.response().run == Run::NotRun;
            }
        }
    }
}

impl Fact {
    fn run(&mut self) {
        self.runs = self.runs.saturating_add(1);
        if self.sending && self.written && !self.ran {
            self.ran = true;
        } else {
            self.adrift -= 1;
        }
    }

    /// Ends a sending; returns whether it was written.
    fn end(&mut self, kind: Option<ErrorKind>) -> bool {
        let written = std::mem::take(&mut self.written);
        let ran = std::mem::take(&mut self.ran);
        self.sending = false;
        self.over |= kind.is_none();
        let refused = kind == Some(ErrorKind::RefusedByUpstream);
        if written && !ran && !refused {
            self.adrift += 1;
        }
        written
    }
}

/// Returns what a sending can end with: none for an answer.
fn reports(fact: &Fact) -> impl Iterator<Item = Option<ErrorKind>> {
    let mut ends = Vec::new();
    if !fact.written {
        ends.push(Some(ErrorKind::ConnectFailed));
    } else {
        ends.push(Some(ErrorKind::ConnectionLost));
        ends.push(Some(ErrorKind::ConnectionSilent));
        ends.push(Some(ErrorKind::DeadlineAfterSend));
    }
    if fact.written && !fact.ran {
        ends.push(Some(ErrorKind::RefusedByUpstream));
    }
    if fact.ran {
        ends.push(Some(ErrorKind::AnswerCutShort));
        ends.push(Some(ErrorKind::AnswerMismatch));
        ends.push(Some(ErrorKind::AnswerTooLarge));
        ends.push(None);
    }
    ends.into_iter()
}

fn place(ticket: Ticket) -> usize {
    usize::from(ticket == OFTEN)
}

/// Guards against a second run of a non-idempotent request and against a "not run" that ran, over
/// every order of steps up to the depth.
#[test]
fn handle_at_most_once() {
    let mut states = 0;
    let mut retried = 0;
    let reach = bfs_reach(World::start(), |world| world.successors(Missing::Nothing));
    for world in reach {
        assert!(!world.broken(), "{:?}", world.path);
        states += 1;
        retried += u64::from(world.facts[1].runs > 1);
    }
    println!("depth {DEPTH}, 2 requests, 2 upstreams: {states} states, {retried} with two runs");
    assert!(retried > 0);
}

fn counterexample(missing: Missing) -> Vec<Step> {
    let start = World::start();
    let path = bfs(&start, |world| world.successors(missing), World::broken);
    let path = path.and_then(|path| path.last().map(|world| world.path.clone()));
    println!("without {missing:?}: {path:?}");
    path.expect("no counterexample found")
}

/// Guards against a search that could not find a second run: without the guard it does.
#[test]
fn handle_without_idempotence() {
    let path = counterexample(Missing::Idempotence);
    assert_eq!(path.iter().filter(|it| **it == Step::Run(ONCE)).count(), 2);
}

/// Guards against a search that could not find a false "not run".
#[test]
fn handle_without_written() {
    let path = counterexample(Missing::Written);
    assert!(path.contains(&Step::Run(ONCE)) || path.contains(&Step::Run(OFTEN)));
}
