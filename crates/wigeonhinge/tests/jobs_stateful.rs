//! Stateful property tests of the scheduler in a simulated pool, against a
//! reference that records submissions and cancellations.

#[allow(dead_code, unreachable_pub)]
#[path = "support/fuzz.rs"]
mod fuzz;

#[allow(dead_code, unreachable_pub)]
#[path = "../../cli/src/measure/world.rs"]
mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use wigeonhinge::id::Ticket;
use wigeonhinge::scheduler::Answer;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Rules;
use wigeonhinge_schema::fleet::Team;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::ledger::Phase;

use crate::world::Truth;
use crate::world::World;

const WORKERS: usize = 12;

#[derive(Clone, Copy, Debug)]
enum Kind {
    Normal,
    Impossible,
    Failing,
    TooLarge,
    TooSmall,
}

#[derive(Clone, Debug)]
enum Step {
    Submit(Kind, u32, bool),
    Overload(u32, u32),
    Cancel(usize),
    CancelAll,
    Resubmit(usize),
    StoreDown(bool),
    StoreSlow(bool),
    StoreLost(bool),
    WorkerLost(bool),
    Late(bool),
    Pause(usize, bool),
    Restart(usize),
    Rack(usize, bool),
    Bad(usize, bool),
    Run(u64),
}

/// Reference state: jobs and cancellations in the order in which they were sent.
#[derive(Clone, Debug, Default)]
struct Oracle {
    jobs: Vec<(Kind, bool)>,
    cancelled: Vec<usize>,
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let kind = prop_oneof![
            6 => Just(Kind::Normal),
            1 => Just(Kind::Impossible),
            1 => Just(Kind::Failing),
            2 => Just(Kind::TooLarge),
            2 => Just(Kind::TooSmall),
        ];
        let known_job = 0..state.jobs.len().max(1);
        prop_oneof![
            8 => (kind, 0_u32..4, any::<bool>()).prop_map(|(k, p, i)| Step::Submit(k, p, i)),
            1 => (prop_oneof![Just(3_u32), Just(0)], 20_u32..60)
                .prop_map(|(priority, count)| Step::Overload(priority, count)),
            2 => known_job.clone().prop_map(Step::Cancel),
            1 => Just(Step::CancelAll),
            1 => known_job.prop_map(Step::Resubmit),
            1 => any::<bool>().prop_map(Step::StoreDown),
            1 => any::<bool>().prop_map(Step::StoreSlow),
            1 => any::<bool>().prop_map(Step::StoreLost),
            1 => any::<bool>().prop_map(Step::WorkerLost),
            1 => any::<bool>().prop_map(Step::Late),
            2 => (0_usize..2, any::<bool>()).prop_map(|(node, on)| Step::Pause(node, on)),
            1 => (0..WORKERS).prop_map(Step::Restart),
            1 => (0..WORKERS / 4, any::<bool>()).prop_map(|(rack, on)| Step::Rack(rack, on)),
            1 => (0..WORKERS, any::<bool>()).prop_map(|(worker, on)| Step::Bad(worker, on)),
            8 => (50_u64..8_000).prop_map(Step::Run),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Submit(kind, _, idempotent) => state.jobs.push((*kind, *idempotent)),
            Step::Overload(_, count) => {
                let jobs = (0..*count).map(|_| (Kind::Normal, true));
                state.jobs.extend(jobs);
            }
            Step::Cancel(job) => state.cancelled.push(*job),
            Step::CancelAll => state.cancelled.extend(0..state.jobs.len()),
            _ => {}
        }
        state
    }
}

struct Fuzzed {
    world: World,
    /// Tickets of each job: of its submission and of the repeated ones.
    tickets: Vec<Vec<Ticket>>,
    /// Job of each cancellation.
    cancels: BTreeMap<Ticket, usize>,
}

impl StateMachineTest for Fuzzed {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self {
            world: World::new(&fleet(), "crews", 2, 5),
            tickets: Vec::new(),
            cancels: BTreeMap::new(),
        }
    }

    fn apply(mut state: Self, oracle: &Oracle, step: Step) -> Self {
        let world = &mut state.world;
        let share = |on: bool| if on { 0.3 } else { 0.0 };
        match step {
            Step::Submit(kind, priority, idempotent) => state.submit(kind, priority, idempotent),
            Step::Overload(priority, count) => {
                (0..count).for_each(|_| state.submit(Kind::Normal, priority, true));
            }
            Step::Cancel(job) => state.cancel(job),
            Step::CancelAll => (0..state.tickets.len()).for_each(|job| state.cancel(job)),
            Step::Resubmit(at) => {
                if let Some((kind, idempotent)) = oracle.jobs.get(at) {
                    let (job, truth) = job(at, *kind, 2, *idempotent);
                    let ticket = world.submit(job, truth);
                    state.tickets[at].push(ticket);
                }
            }
            Step::StoreDown(on) => world.faults.store_down = on,
            Step::StoreSlow(on) => {
                world.faults.store_slow = Duration::from_secs(if on { 2 } else { 0 });
            }
            Step::StoreLost(on) => world.faults.store_lost = share(on),
            Step::WorkerLost(on) => world.faults.worker_lost = share(on),
            Step::Late(on) => world.faults.late = share(on),
            Step::Pause(node, on) => world.pause(node, on),
            Step::Restart(worker) => world.restart(&format!("w{worker}")),
            Step::Rack(rack, down) => state.set_rack_down(rack, down),
            Step::Bad(worker, on) => state.set_bad(worker, on),
            Step::Run(ms) => world.run(Duration::from_millis(ms)),
        }
        state.check_answers(oracle);
        state
    }

    fn check_invariants(state: &Self, oracle: &Oracle) {
        assert_eq!(state.world.repeated(), [] as [&str; 0], "started twice");
        for (at, (kind, _)) in oracle.jobs.iter().enumerate() {
            let ran = state.world.stats.runs.contains_key(id(at).as_str());
            let refused = state
                .answers(at)
                .iter()
                .all(|answer| matches!(answer, Some(Answer::Refused(_) | Answer::Impossible(_))));
            assert!(!(refused && ran), "job {at} ran although it was refused");
            assert!(
                !(matches!(kind, Kind::Impossible) && ran),
                "job {at} cannot run"
            );
        }
    }

    fn teardown(mut state: Self, oracle: Oracle) {
        state.clear_faults();
        state.world.run(Duration::from_secs(1_200));
        state.check_answers(&oracle);
        Self::check_invariants(&state, &oracle);
        for (at, (kind, idempotent)) in oracle.jobs.iter().enumerate() {
            let answers = state.answers(at);
            let answered = answers.iter().all(Option::is_some);
            assert!(answered, "a submission of job {at} has no answer");
            if !answers.contains(&Some(Answer::Accepted)) {
                continue;
            }
            let last = state.world.ask(&id(at));
            let expected = match last {
                Some(Answer::Done) => !matches!(kind, Kind::Failing),
                Some(Answer::Cancelled) => oracle.cancelled.contains(&at),
                Some(Answer::Failed(_)) => matches!(kind, Kind::Failing) || !idempotent,
                Some(Answer::Unknown(_)) => !idempotent,
                _ => false,
            };
            assert!(
                expected,
                "job {at} ({kind:?}, idempotent {idempotent}) is {last:?}"
            );
        }
    }
}

impl Fuzzed {
    fn submit(&mut self, kind: Kind, priority: u32, idempotent: bool) {
        let (job, truth) = job(self.tickets.len(), kind, priority, idempotent);
        let ticket = self.world.submit(job, truth);
        self.tickets.push(vec![ticket]);
    }

    fn answers(&self, job: usize) -> Vec<Option<Answer>> {
        let tickets = self.tickets[job].iter();
        tickets.map(|ticket| self.world.answer(*ticket)).collect()
    }

    fn cancel(&mut self, job: usize) {
        if job < self.tickets.len() {
            let ticket = self.world.cancel(&id(job));
            self.cancels.insert(ticket, job);
        }
    }

    fn set_rack_down(&mut self, rack: usize, down: bool) {
        for worker in rack * 4..rack * 4 + 4 {
            let name = format!("w{worker}");
            if down {
                self.world.restart(&name);
            }
            if let Some(state) = self.world.workers.get_mut(name.as_str()) {
                state.up = !down;
            }
            let phase = if down { Phase::Down } else { Phase::Active };
            self.world.phase(&name, phase);
        }
    }

    fn set_bad(&mut self, worker: usize, on: bool) {
        let name = format!("w{worker}");
        if let Some(state) = self.world.workers.get_mut(name.as_str()) {
            state.bad = on;
        }
    }

    fn clear_faults(&mut self) {
        self.world.faults = world::Faults::default();
        (0..2).for_each(|node| self.world.pause(node, false));
        (0..WORKERS / 4).for_each(|rack| self.set_rack_down(rack, false));
        (0..WORKERS).for_each(|worker| self.set_bad(worker, false));
    }

    /// Checks that the answers given so far agree with what ran on the workers.
    fn check_answers(&mut self, oracle: &Oracle) {
        let answers: Vec<(Ticket, Answer)> = self
            .world
            .answers
            .iter()
            .flat_map(|(ticket, list)| list.iter().map(|(_, answer)| (*ticket, answer.clone())))
            .collect();
        for (ticket, answer) in &answers {
            let at = self.cancels.get(ticket).copied();
            let at = at.or_else(|| self.tickets.iter().position(|list| list.contains(ticket)));
            let Some(at) = at else {
                continue;
            };
            let name = id(at);
            if *answer == Answer::Done {
                assert!(
                    self.world.stats.done.contains_key(name.as_str()),
                    "{name} is not done"
                );
            }
            if *answer == Answer::Cancelled {
                let runs = self.world.workers.values().any(|worker| worker.runs(&name));
                assert!(!runs, "{name} runs although it was answered as cancelled");
                assert!(oracle.cancelled.contains(&at), "{name} was never cancelled");
            }
        }
    }
}

fn job(at: usize, kind: Kind, priority: u32, idempotent: bool) -> (Job, Truth) {
    let size = |millicores: u32| Size {
        millicores,
        memory_mb: u64::from(millicores),
        accelerators: 0,
    };
    let (declared, real) = match kind {
        Kind::Normal | Kind::Failing => (2_000, 2_000),
        Kind::Impossible => (99_000, 2_000),
        Kind::TooLarge => (16_000, 500),
        Kind::TooSmall => (200, 3_000),
    };
    let job = Job {
        id: id(at),
        team: format!("team-{}", at % 3),
        class: format!("{kind:?}"),
        priority,
        size: Some(size(declared)),
        idempotent,
        ..Job::default()
    };
    let truth = Truth {
        run: Duration::from_secs(5 + at as u64 % 20),
        peak: size(real),
        fails: matches!(kind, Kind::Failing),
        once: !idempotent,
    };
    (job, truth)
}

fn id(at: usize) -> String {
    format!("job-{at}")
}

fn fleet() -> Fleet {
    let vm = |index: usize| Vm {
        name: format!("w{index}"),
        pool: "crews".into(),
        zone: format!("zone-{}", index / 4),
        rack: format!("rack-{}", index / 4),
        cores: 16,
        memory_mb: 16_384,
        accelerators: 0,
    };
    let team = |index: u32| Team {
        name: format!("team-{index}"),
        cores: 64,
        memory_mb: 65_536,
        accelerators: 0,
    };
    Fleet {
        rules: Some(Rules {
            pools: vec![Pool {
                name: "crews".into(),
                max_unavailable: 4,
                ..Pool::default()
            }],
            teams: (0..3).map(team).collect(),
            ..Rules::default()
        }),
        inventory: (0..WORKERS).map(vm).collect(),
        ..Fleet::default()
    }
}

fn config(seed: u64) -> Config {
    fuzz::config(48, seed, 4_000)
}

prop_state_machine! {
    #![proptest_config(config(1))]
    #[test]
    fn stateful_seed_1(sequential 1..60 => Fuzzed);
}

prop_state_machine! {
    #![proptest_config(config(2))]
    #[test]
    fn stateful_seed_2(sequential 1..60 => Fuzzed);
}

prop_state_machine! {
    #![proptest_config(config(3))]
    #[test]
    fn stateful_seed_3(sequential 1..120 => Fuzzed);
}
