//! Reference model: the limits that an entry must respect, derived from the events alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use wigeonhinge_schema::fleet::Fleet;

use crate::OUTCOMES;
use crate::SERVICES;
use crate::Step;
use crate::UPSTREAMS;
use crate::gateways::fleet;
use crate::gateways::ms;

/// Limits that an entry must respect, derived from the events alone.
#[derive(Clone, Debug)]
pub(super) struct Oracle {
    pub(super) now: Duration,
    pub(super) config: usize,
    pub(super) live: u8,
    pub(super) departed: BTreeMap<u8, Duration>,
    pub(super) hold_until: Duration,
    pub(super) leaving: BTreeSet<String>,
    pub(super) announced: BTreeSet<String>,
}

/// Returns one of three configurations, which differ in services, upstreams and slots.
pub(super) fn configuration(index: usize) -> Fleet {
    match index {
        0 => fleet(&["a", "b"], &SERVICES, 4, 4),
        1 => fleet(&["a", "b"], &["crews", "backoffice"], 2, 8),
        _ => fleet(&["a", "b"], &SERVICES, 6, 2),
    }
}

/// Returns the upstreams, or the VMs of the same names, that a bit mask selects.
pub(super) fn selected(mask: u8) -> BTreeSet<String> {
    let chosen = UPSTREAMS.iter().enumerate();
    chosen
        .filter(|(at, _)| mask >> at & 1 == 1)
        .map(|(_, name)| (*name).to_owned())
        .collect()
}

impl Oracle {
    pub(super) fn advance(&mut self, time: Duration) {
        if time > ms(1_000) {
            self.hold_until = self.now + time + ms(2_500);
        }
        self.now += time;
    }

    /// Returns the largest share of an upstream's slots that this entry may have.
    pub(super) fn share(&self, slots: u32) -> u32 {
        if self.now < self.hold_until {
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
            config: 0,
            live: 0,
            departed: BTreeMap::new(),
            hold_until: ms(2_500),
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
            20 => (0..64_usize, 0..OUTCOMES.len(), any::<bool>())
                .prop_map(|(nth, outcome, server_error)| Step::Report(nth, outcome, server_error)),
            2 => (0..64_usize, 1..20_usize).prop_map(|(nth, count)| Step::Cancel(nth, count)),
            1 => (0..4_u8).prop_map(Step::Members),
            1 => any::<u8>().prop_map(|mask| Step::LeavingVms(mask & mask >> 1)),
            2 => (0..UPSTREAMS.len(), any::<bool>()).prop_map(|(at, on)| Step::AnnounceLeaving(at, on)),
            1 => (0..UPSTREAMS.len()).prop_map(Step::ProbeFailed),
            1 => (0..3_usize).prop_map(Step::Configure),
            2 => Just(Step::ConfirmMembership),
            8 => (1..400_u64).prop_map(Step::Tick),
            1 => (900..4_000_u64).prop_map(Step::Pause),
            3 => any::<bool>().prop_map(Step::Offer),
            4 => any::<bool>().prop_map(Step::ReplyToBorrow),
            2 => (0..UPSTREAMS.len(), 1..3_u32).prop_map(|(at, slots)| Step::Borrow(at, slots)),
            2 => Just(Step::ReturnLoan),
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
            Step::LeavingVms(mask) => {
                let before = std::mem::replace(&mut state.leaving, selected(*mask));
                let back: Vec<&String> = before.difference(&state.leaving).collect();
                state.announced.retain(|name| !back.contains(&name));
            }
            Step::AnnounceLeaving(at, leaving) => {
                let name = UPSTREAMS[*at].to_owned();
                let known = configuration(state.config).upstreams;
                if !leaving {
                    state.announced.remove(&name);
                } else if known.iter().any(|it| it.name == name) {
                    state.announced.insert(name);
                }
            }
            Step::Configure(index) => {
                state.config = *index;
                let known = configuration(*index).upstreams;
                let kept = |name: &String| known.iter().any(|it| it.name == *name);
                state.announced.retain(kept);
            }
            Step::ConfirmMembership => state.hold_until = state.now,
            Step::Tick(time) | Step::Pause(time) => state.advance(ms(*time)),
            _ => {}
        }
        state
    }
}
