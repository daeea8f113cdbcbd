//! What an entry must respect, from the events alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use wigeonhinge_schema::fleet::Fleet;

use crate::ENDS;
use crate::SERVICES;
use crate::Step;
use crate::UPSTREAMS;
use crate::gateways::fleet;
use crate::gateways::ms;

/// What an entry must respect, from the events alone.
#[derive(Clone, Debug)]
pub(super) struct Oracle {
    pub(super) now: Duration,
    pub(super) adopted: usize,
    pub(super) live: u8,
    pub(super) departed: BTreeMap<u8, Duration>,
    pub(super) hold: Duration,
    pub(super) leaving: BTreeSet<String>,
    pub(super) announced: BTreeSet<String>,
}

pub(super) fn variant(index: usize) -> Fleet {
    match index {
        0 => fleet(&["a", "b"], &SERVICES, 4, 4),
        1 => fleet(&["a", "b"], &["crews", "backoffice"], 2, 8),
        _ => fleet(&["a", "b"], &SERVICES, 6, 2),
    }
}

pub(super) fn vms(mask: u8) -> BTreeSet<String> {
    let chosen = UPSTREAMS.iter().enumerate();
    chosen
        .filter(|(at, _)| mask >> at & 1 == 1)
        .map(|(_, name)| (*name).to_owned())
        .collect()
}

impl Oracle {
    pub(super) fn pass(&mut self, time: Duration) {
        if time > ms(1_000) {
            self.hold = self.now + time + ms(2_500);
        }
        self.now += time;
    }

    /// Returns the most slots of an upstream that are this entry's own.
    pub(super) fn part(&self, slots: u32) -> u32 {
        if self.now < self.hold {
            return 0;
        }
        let departed = self.departed.iter();
        let departed = departed.filter(|(_, at)| **at + ms(500) > self.now).count();
        let count = 1 + self.live.count_ones() + departed as u32;
        slots.div_ceil(count)
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            now: ms(0),
            adopted: 0,
            live: 0,
            departed: BTreeMap::new(),
            hold: ms(2_500),
            leaving: BTreeSet::new(),
            announced: BTreeSet::new(),
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let arrive = (
            0..3_usize,
            0..4_u8,
            any::<bool>(),
            1..5_000_u64,
            1..30_usize,
        );
        prop_oneof![
            6 => arrive.prop_map(|(service, caller, idempotent, wait, count)| Step::Arrive {
                service, caller, idempotent, wait, count,
            }),
            20 => (0..64_usize, 0..ENDS.len(), any::<bool>())
                .prop_map(|(nth, end, failed)| Step::Report(nth, end, failed)),
            2 => (0..64_usize, 1..20_usize).prop_map(|(nth, count)| Step::Cancel(nth, count)),
            1 => (0..4_u8).prop_map(Step::Members),
            1 => any::<u8>().prop_map(|mask| Step::Leaving(mask & mask >> 1)),
            2 => (0..UPSTREAMS.len(), any::<bool>()).prop_map(|(at, on)| Step::Announce(at, on)),
            1 => (0..UPSTREAMS.len()).prop_map(Step::Suspect),
            1 => (0..3_usize).prop_map(Step::Adopt),
            2 => Just(Step::Confirm),
            8 => (1..400_u64).prop_map(Step::Tick),
            1 => (900..4_000_u64).prop_map(Step::Pause),
            3 => any::<bool>().prop_map(Step::Offer),
            4 => any::<bool>().prop_map(Step::Grant),
            2 => (0..UPSTREAMS.len(), 1..3_u32).prop_map(|(at, slots)| Step::Ask(at, slots)),
            2 => Just(Step::GiveBack),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Members(mask) => {
                for bit in [1, 2] {
                    if state.live & bit > mask & bit {
                        state.departed.insert(bit, state.now);
                    }
                    if mask & bit > 0 {
                        state.departed.remove(&bit);
                    }
                }
                state.live = *mask;
            }
            Step::Leaving(mask) => {
                let before = std::mem::replace(&mut state.leaving, vms(*mask));
                let back: Vec<&String> = before.difference(&state.leaving).collect();
                state.announced.retain(|name| !back.contains(&name));
            }
            Step::Announce(at, leaving) => {
                let name = UPSTREAMS[*at].to_owned();
                let known = variant(state.adopted).upstreams;
                if !leaving {
                    state.announced.remove(&name);
                } else if known.iter().any(|it| it.name == name) {
                    state.announced.insert(name);
                }
            }
            Step::Adopt(index) => {
                state.adopted = *index;
                let known = variant(*index).upstreams;
                let kept = |name: &String| known.iter().any(|it| it.name == *name);
                state.announced.retain(kept);
            }
            Step::Confirm => state.hold = state.now,
            Step::Tick(time) | Step::Pause(time) => state.pass(ms(*time)),
            _ => {}
        }
        state
    }
}
