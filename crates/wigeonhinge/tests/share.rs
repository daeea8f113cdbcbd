//! Shares: the slots that the entries of a zone use never sum to more than an upstream has.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use wigeonhinge::id::EntryId;
use wigeonhinge::share::DEAD_AFTER;
use wigeonhinge::share::HOLD_DOWN;
use wigeonhinge::share::Shares;

const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT_STEPS: u64 = 30;
const SLOTS: u32 = 8;

/// Fault of an entry at a step.
#[derive(Clone, Debug)]
enum Fault {
    Crash,
    Start,
    /// Stops the entry for a number of steps.
    Pause(u64),
}

/// An entry with a simple membership: entries heard within [`DEAD_AFTER`] are live.
struct Entry {
    shares: Shares,
    heard: BTreeMap<EntryId, Duration>,
    inbox: Vec<EntryId>,
    paused: u64,
}

impl Entry {
    fn new(name: &EntryId) -> Self {
        let mut shares = Shares::new(name.clone());
        shares.set(0, "crews-1".into(), SLOTS, 64);
        Self {
            shares,
            heard: BTreeMap::new(),
            inbox: Vec::new(),
            paused: 0,
        }
    }

    fn step(&mut self, now: Duration) {
        self.shares.observe(now);
        let heard = self.inbox.drain(..).map(|name| (name, now));
        self.heard.extend(heard);
        self.heard.retain(|_, at| now - *at < DEAD_AFTER);
        let live = self.heard.keys().cloned().collect();
        self.shares.set_live(&live, now);
    }
}

fn name(index: usize) -> EntryId {
    format!("e{index}").into()
}

/// Simulates three entries; returns the sum of their shares and how many are alive at the end.
fn simulate(faults: &[(u64, usize, Fault)], steps: u64) -> Result<(u32, usize), TestCaseError> {
    let mut entries: BTreeMap<EntryId, Entry> = BTreeMap::new();
    for index in 0..3 {
        entries.insert(name(index), Entry::new(&name(index)));
    }
    let mut sum = 0;
    for step in 0..steps {
        let now = STEP * u32::try_from(step).unwrap();
        for (_, index, fault) in faults.iter().filter(|(at, _, _)| *at == step) {
            let name = name(*index);
            match (fault, entries.get_mut(&name)) {
                (Fault::Crash, _) => drop(entries.remove(&name)),
                (Fault::Pause(steps), Some(entry)) => entry.paused = *steps,
                (Fault::Start, None) => drop(entries.insert(name.clone(), Entry::new(&name))),
                _ => {}
            }
        }
        let senders: Vec<EntryId> = entries
            .iter()
            .enumerate()
            .filter(|(at, (_, it))| {
                it.paused == 0 && (step + 7 * *at as u64).is_multiple_of(HEARTBEAT_STEPS)
            })
            .map(|(_, (name, _))| name.clone())
            .collect();
        sum = 0;
        for (own, entry) in &mut entries {
            let others = senders.iter().filter(|name| *name != own);
            entry.inbox.extend(others.cloned());
            if entry.paused > 0 {
                entry.paused -= 1;
                continue;
            }
            // The share that the entry would use before it observes the current time.
            sum += entry.shares.allowed(0, now);
            entry.step(now);
        }
        prop_assert!(sum <= SLOTS, "shares sum to {sum} at {now:?}");
    }
    Ok((sum, entries.len()))
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Crash),
        Just(Fault::Start),
        (1_u64..600).prop_map(Fault::Pause),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a slot used by two entries while entries crash, start and pause at any time,
    /// and against slots that are still unused 8 s after the last fault.
    #[test]
    fn observe_sum(faults in vec((0_u64..1_500, 0_usize..5, fault()), 0..8)) {
        let (sum, alive) = simulate(&faults, 3_000)?;
        prop_assert!(sum == SLOTS || alive == 0, "shares sum to {}", sum);
    }
}

fn entries(names: &[&str]) -> BTreeSet<EntryId> {
    names.iter().map(|name| EntryId::from(*name)).collect()
}

/// Returns the shares of an entry after its hold-down.
fn confirmed(entry: &str, live: &[&str]) -> Shares {
    let mut shares = Shares::new(entry.into());
    shares.set(0, "crews-1".into(), SLOTS, 64);
    shares.observe(Duration::ZERO);
    shares.set_live(&entries(live), Duration::ZERO);
    shares.end_hold_down();
    shares
}

/// Guards against slots that no entry gets because the division leaves a remainder.
#[rstest]
#[case(1)]
#[case(3)]
#[case(7)]
#[case(12)]
fn divide_remainder(#[case] count: usize) {
    let names: Vec<String> = (0..count).map(|index| format!("e{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let shares = names.iter().map(|name| confirmed(name, &names));
    let sums = shares.fold((0, 0), |sums, shares| {
        let slots = shares.allowed(0, Duration::ZERO);
        (sums.0 + slots, sums.1 + shares.connections(0))
    });
    assert_eq!(sums, (SLOTS, 64));
}

/// Guards against a takeover of a silent entry's share before that entry has stopped, or later
/// than 3 s.
#[test]
fn members_takeover() {
    let mut shares = confirmed("e1", &["e1", "e2"]);
    shares.observe(Duration::from_millis(900));
    shares.observe(Duration::from_millis(1_800));
    shares.observe(DEAD_AFTER);
    shares.set_live(&entries(&["e1"]), DEAD_AFTER);
    let before = Duration::from_millis(2_499);
    shares.observe(before);
    assert_eq!(shares.allowed(0, before), 4);
    let after = Duration::from_millis(2_500);
    shares.observe(after);
    assert_eq!(shares.allowed(0, after), SLOTS);
}

/// Guards against a paused entry that uses its old share before it has noticed the pause.
#[rstest]
#[case(1_000, 4)]
#[case(1_001, 0)]
fn allowed_gap(#[case] gap: u64, #[case] allowed: u32) {
    let mut shares = confirmed("e1", &["e1", "e2"]);
    let now = Duration::from_millis(gap);
    assert_eq!(shares.allowed(0, now), allowed);
    shares.observe(now);
    assert_eq!(shares.allowed(0, now), allowed);
    for tick in 1..=26 {
        shares.observe(now + HOLD_DOWN / 25 * tick);
    }
    assert_eq!(shares.allowed(0, now + HOLD_DOWN / 25 * 26), 4);
}
