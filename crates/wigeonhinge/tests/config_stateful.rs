//! Stateful fuzzing of accepting edits and adopting configurations, against an oracle.

#[allow(dead_code, unreachable_pub)]
#[path = "support/fuzz.rs"]
mod fuzz;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::sample::Index;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use wigeonhinge::config::Adopter;
use wigeonhinge::config::Edit;
use wigeonhinge::config::MAX_EDIT_RECORDS;
use wigeonhinge::config::Resolution;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::fleet::Fleet;

const SEED: u64 = 20_261_204;
const ENTRIES: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    /// An editor reads any configuration that the store ever held and prepares an edit from it.
    Prepare(Index),
    /// An edit is written for the first time or again; its answer is lost.
    Write(Index),
    /// An edit is resolved from any configuration that the store ever held.
    Resolve(Index, Index),
    /// Other editors make this many edits.
    OtherEdits(u16),
    /// An entry is offered any configuration that the store ever held.
    Read(usize, Index),
    /// An entry is offered the configuration in force on another.
    Gossip(usize, usize),
    /// An entry is replaced by one that has adopted nothing.
    Replace(usize),
}

/// Oracle: the accepted edits in order, and the revision that each entry must have in force.
#[derive(Clone, Debug, Default)]
struct Oracle {
    accepted: Vec<usize>,
    /// Base of each prepared edit.
    bases: Vec<usize>,
    entries: [usize; ENTRIES],
    /// Number of edits by other editors.
    others: usize,
}

/// First identifier of edits by other editors; those of prepared edits are lower.
const FIRST_OTHER: usize = 1_000_000;

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let entry = 0..ENTRIES;
        prop_oneof![
            4 => any::<Index>().prop_map(Step::Prepare),
            8 => any::<Index>().prop_map(Step::Write),
            8 => any::<(Index, Index)>().prop_map(|(edit, read)| Step::Resolve(edit, read)),
            1 => (1_u16..400).prop_map(Step::OtherEdits),
            6 => (entry.clone(), any::<Index>()).prop_map(|(entry, read)| Step::Read(entry, read)),
            6 => (entry.clone(), entry.clone()).prop_map(|(entry, peer)| Step::Gossip(entry, peer)),
            1 => entry.prop_map(Step::Replace),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        let values = state.accepted.len() + 1;
        match step {
            Step::Prepare(read) => state.bases.push(read.index(values)),
            Step::Write(edit) => {
                if let Some(edit) = pick(edit, state.bases.len())
                    && state.bases[edit] == state.accepted.len()
                {
                    state.accepted.push(edit);
                }
            }
            Step::OtherEdits(count) => {
                for _ in 0..*count {
                    state.accepted.push(FIRST_OTHER + state.others);
                    state.others += 1;
                }
            }
            Step::Read(entry, read) => state.raise(*entry, read.index(values)),
            Step::Gossip(entry, peer) => state.raise(*entry, state.entries[*peer]),
            Step::Replace(entry) => state.entries[*entry] = 0,
            Step::Resolve(_, _) => {}
        }
        state
    }
}

impl Oracle {
    fn raise(&mut self, entry: usize, revision: usize) {
        self.entries[entry] = self.entries[entry].max(revision);
    }
}

fn pick(index: &Index, count: usize) -> Option<usize> {
    (count > 0).then(|| index.index(count))
}

/// The production code under test, with a store that keeps every configuration it ever held.
struct System {
    stored: Vec<Config>,
    edits: Vec<Edit>,
    entries: Vec<Adopter>,
    others: usize,
}

impl System {
    fn write(&mut self, edit: &Edit) {
        let base = edit.base as usize;
        if base + 1 == self.stored.len() {
            // `apply` refuses an edit that the document already contains.
            if let Ok(next) = edit.apply(&self.stored[base], 0) {
                self.stored.push(next);
            }
        }
    }
}

fn edit(id: usize, base: usize) -> Edit {
    Edit {
        id: id.to_string().into(),
        base: base as u64,
        author: format!("author of {id}").into(),
        reason: "".into(),
        fleet: Fleet::default(),
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self {
            stored: vec![Config::default()],
            edits: Vec::new(),
            entries: vec![Adopter::default(); ENTRIES],
            others: 0,
        }
    }

    fn apply(mut system: Self, oracle: &Oracle, step: Step) -> Self {
        let values = system.stored.len();
        match step {
            Step::Prepare(read) => {
                let edit = edit(system.edits.len(), read.index(values));
                system.edits.push(edit);
            }
            Step::Write(index) => {
                if let Some(index) = pick(&index, system.edits.len()) {
                    let edit = system.edits[index].clone();
                    system.write(&edit);
                }
            }
            Step::Resolve(index, read) => {
                if let Some(index) = pick(&index, system.edits.len()) {
                    let read = read.index(values);
                    let resolution = system.edits[index].resolve(&system.stored[read]);
                    check(index, read, &resolution, oracle);
                }
            }
            Step::OtherEdits(count) => {
                for _ in 0..count {
                    let edit = edit(FIRST_OTHER + system.others, system.stored.len() - 1);
                    system.write(&edit);
                    system.others += 1;
                }
            }
            Step::Read(entry, read) => {
                let value = system.stored[read.index(values)].clone();
                system.entries[entry].offer(value);
            }
            Step::Gossip(entry, peer) => {
                let value = system.entries[peer].current().cloned();
                let value = value.map(|config| Config::clone(&config));
                system.entries[entry].offer(value.unwrap_or_default());
            }
            Step::Replace(entry) => system.entries[entry] = Adopter::default(),
        }
        system
    }

    fn check_invariants(system: &Self, oracle: &Oracle) {
        assert_eq!(system.stored.len(), oracle.accepted.len() + 1);
        for (entry, revision) in system.entries.iter().zip(oracle.entries) {
            assert_eq!(entry.revision(), revision as u64);
        }
        let last = system.stored.last().expect("value");
        assert!(last.edits.len() <= MAX_EDIT_RECORDS);
        let made = last.edits.iter().rev().map(|record| record.id.clone());
        let expected = oracle.accepted.iter().rev().map(ToString::to_string);
        assert!(made.eq(expected.take(MAX_EDIT_RECORDS)));
    }
}

/// Checks the outcome of an edit that was resolved from revision `read` against the oracle.
fn check(edit: usize, read: usize, resolution: &Resolution, oracle: &Oracle) {
    let made = oracle
        .accepted
        .iter()
        .position(|accepted| *accepted == edit);
    let base = oracle.bases[edit];
    match resolution {
        Resolution::Accepted(revision) => assert_eq!(made, Some(*revision as usize - 1)),
        Resolution::Refused { revision, .. } => {
            assert_eq!(made, None);
            assert!(oracle.accepted.len() > base);
            assert_eq!(*revision as usize, base + 1);
        }
        Resolution::Pending => assert!(read <= base),
        Resolution::Unknown => assert!(read > base + MAX_EDIT_RECORDS),
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(256, SEED, 4_000))]

    /// Guards against edits that are lost, doubled or wrongly reported, and entries that return to
    /// an older revision, in long histories.
    #[test]
    fn config_histories(sequential 1..80 => System);
}
