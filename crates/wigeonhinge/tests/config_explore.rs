//! Exhaustive exploration of accepting and distributing the configuration.
//!
//! The model checks the production code of `Edit::apply`, `Edit::resolve` and
//! `Adopter::offer`. Around it, the model has a store, two racing editors with
//! lost answers and repeated writes, and three entries in two zones.

use std::cell::RefCell;
use std::collections::BTreeMap;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;
use rstest::rstest;
use wigeonhinge::config::Adopter;
use wigeonhinge::config::Edit;
use wigeonhinge::config::Resolution;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::fleet::Fleet;

const EDITORS: usize = 2;

/// Most writes that one editor sends.
const MAX_SENDS: u8 = 2;

/// Entries 0 and 1 are in zone 0, entry 2 in zone 1; entry 1 starts later.
const ZONES: [usize; 3] = [0, 0, 1];

thread_local! {
    /// Cache of the configurations by the edits that made them; there are few.
    static CONFIGS: RefCell<BTreeMap<Vec<u8>, Config>> = const { RefCell::new(BTreeMap::new()) };
}

/// Rule that a variant removes from the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Removed {
    Nothing,
    /// An entry adopts every configuration it is offered, whatever its revision.
    Revision,
    /// An editor repeats its edit without looking for its identifier in the configuration.
    Identifier,
    /// An editor treats a conflict as a refusal, without reading back.
    ReadBack,
    /// Entries do not poll the store.
    Poll,
    /// Entries do not pull from each other.
    Gossip,
}

/// State of the model.
///
/// The accepted edits, in order, represent the configuration. Every configuration that an entry or
/// an editor has read is a prefix of them, and is represented by its length.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    store: Vec<u8>,
    store_up: bool,
    /// Zone 1 is partitioned from the store.
    cut_store: bool,
    /// Zone 1 is partitioned from zone 0.
    cut_peers: bool,
    editors: [Editor; EDITORS],
    /// Writes that have not arrived at the store: editor and base.
    in_flight: Vec<(u8, u8)>,
    /// Revision in force on each entry; `None` for an entry that has not started.
    entries: [Option<u8>; 3],
    /// Whether an entry's revision ever decreased.
    decreased: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Editor {
    phase: Phase,
    sends: u8,
}

/// Phase of an editor; while its outcome is open, with the base of its edit.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    Ready(u8),
    Waiting(u8),
    Unknown(u8),
    Accepted,
    Refused,
}

impl State {
    fn new() -> Self {
        let editor = Editor {
            phase: Phase::Idle,
            sends: 0,
        };
        Self {
            store: vec![0],
            store_up: true,
            cut_store: false,
            cut_peers: false,
            editors: [editor; EDITORS],
            in_flight: Vec::new(),
            entries: [Some(1), None, Some(1)],
            decreased: false,
        }
    }

    /// Returns the configuration after the first `length` edits.
    fn config(&self, length: u8) -> Config {
        let ids = &self.store[..length.into()];
        CONFIGS.with_borrow_mut(|configs| {
            let known = configs.entry(ids.to_vec());
            known.or_insert_with(|| chain(ids)).clone()
        })
    }

    fn length(&self) -> u8 {
        self.store.len() as u8
    }

    fn successors(&self, removed: Removed) -> Vec<Self> {
        let mut next = vec![
            self.with(|state| state.store_up = !state.store_up),
            self.with(|state| state.cut_store = !state.cut_store),
            self.with(|state| state.cut_peers = !state.cut_peers),
        ];
        if self.entries[1].is_none() {
            next.push(self.with(|state| state.entries[1] = Some(0)));
        }
        for editor in 0..EDITORS {
            next.extend(self.editor_steps(editor, removed));
        }
        for index in 0..self.in_flight.len() {
            next.push(self.with(|state| {
                state.in_flight.remove(index);
            }));
            if self.store_up {
                next.extend(self.arrive(index, removed));
            }
        }
        for entry in 0..ZONES.len() {
            next.extend(self.offers(entry, removed));
        }
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut state = self.clone();
        change(&mut state);
        state.in_flight.sort_unstable();
        state
    }

    fn phase(&self, editor: usize, phase: Phase) -> Self {
        self.with(|state| state.editors[editor].phase = phase)
    }

    /// Returns the states after one step of an editor. A read may return any configuration that the
    /// store ever held.
    fn editor_steps(&self, editor: usize, removed: Removed) -> Vec<Self> {
        let Editor { phase, sends } = self.editors[editor];
        let reads = 0..if self.store_up { self.length() + 1 } else { 0 };
        match phase {
            Phase::Idle => reads
                .map(|base| self.phase(editor, Phase::Ready(base)))
                .collect(),
            Phase::Ready(base) if sends < MAX_SENDS => vec![self.send(editor, base)],
            Phase::Waiting(base) => vec![self.phase(editor, Phase::Unknown(base))],
            Phase::Unknown(_) if removed == Removed::Identifier => {
                vec![self.phase(editor, Phase::Idle)]
            }
            Phase::Unknown(base) => reads
                .filter_map(|read| self.read_back(editor, base, read))
                .collect(),
            _ => Vec::new(),
        }
    }

    fn send(&self, editor: usize, base: u8) -> Self {
        self.with(|state| {
            state.in_flight.push((editor as u8, base));
            state.editors[editor].sends += 1;
            state.editors[editor].phase = Phase::Waiting(base);
        })
    }

    fn read_back(&self, editor: usize, base: u8, read: u8) -> Option<Self> {
        let resolution = edit(id(editor), base).resolve(&self.config(read));
        let phase = match resolution {
            Resolution::Accepted(_) => Phase::Accepted,
            Resolution::Refused { .. } => Phase::Refused,
            Resolution::Pending => Phase::Ready(base),
            Resolution::Unknown => return None,
        };
        Some(self.phase(editor, phase))
    }

    /// A write arrives at the store; its answer arrives or is lost.
    fn arrive(&self, index: usize, removed: Removed) -> Vec<Self> {
        let (editor, base) = self.in_flight[index];
        let done = base == self.length();
        let lost = self.with(|state| {
            state.in_flight.remove(index);
            if done {
                state.store.push(id(editor.into()));
            }
        });
        let answer = match done {
            true => Phase::Accepted,
            false if removed == Removed::ReadBack => Phase::Refused,
            false => Phase::Unknown(base),
        };
        let editor = usize::from(editor);
        match lost.editors[editor].phase {
            Phase::Waiting(waiting) if waiting == base => vec![lost.phase(editor, answer), lost],
            _ => vec![lost],
        }
    }

    /// Returns the states after one offer to an entry: any configuration that the store ever held,
    /// or the one in force on a peer.
    fn offers(&self, entry: usize, removed: Removed) -> Vec<Self> {
        if self.entries[entry].is_none() {
            return Vec::new();
        }
        let mut offers = Vec::new();
        let store_reachable = self.store_up && !(self.cut_store && ZONES[entry] == 1);
        if store_reachable && removed != Removed::Poll {
            offers.extend(0..=self.length());
        }
        if removed != Removed::Gossip {
            let peers = (0..ZONES.len()).filter(|peer| self.linked(entry, *peer));
            offers.extend(peers.filter_map(|peer| self.entries[peer]));
        }
        offers
            .into_iter()
            .map(|offer| self.with(|state| state.adopt(entry, offer, removed)))
            .collect()
    }

    fn linked(&self, entry: usize, peer: usize) -> bool {
        entry != peer && (ZONES[entry] == ZONES[peer] || !self.cut_peers)
    }

    fn adopt(&mut self, entry: usize, offer: u8, removed: Removed) {
        let current = self.entries[entry].unwrap_or(0);
        let adopted = match removed {
            Removed::Revision => offer,
            _ => {
                let mut adopter = Adopter::default();
                adopter.offer(self.config(current));
                adopter.offer(self.config(offer));
                adopter.revision() as u8
            }
        };
        self.decreased |= adopted < current;
        self.entries[entry] = Some(adopted);
    }

    /// Returns whether no edit was accepted twice, and each editor that knows its outcome is right.
    fn outcomes_hold(&self) -> bool {
        (0..EDITORS).all(|editor| {
            let count = self.store.iter().filter(|edit| **edit == id(editor));
            match (self.editors[editor].phase, count.count()) {
                (Phase::Accepted, count) => count == 1,
                (Phase::Refused, count) => count == 0,
                (_, count) => count <= 1,
            }
        })
    }

    /// Returns whether every editor learns its outcome and every entry adopts the
    /// latest revision, once the store is up and one path to zone 1 is restored:
    /// the one to the store with `store_heals`, else the one to zone 0.
    fn converges(&self, store_heals: bool, removed: Removed) -> bool {
        let mut state = self.clone();
        state.store_up = true;
        state.entries[1] = state.entries[1].or(Some(0));
        state.in_flight.clear();
        if store_heals {
            state.cut_store = false;
        } else {
            state.cut_peers = false;
        }
        for editor in 0..EDITORS {
            if !state.settle(editor) {
                return false;
            }
        }
        // Two rounds are enough: the first reaches one entry of each zone, the second the others.
        for entry in [0, 1, 2, 0, 1, 2] {
            let offers = state.offers(entry, removed).into_iter();
            let best = offers.max_by_key(|next| next.entries[entry]);
            state = best.unwrap_or(state);
        }
        let last = Some(state.length());
        state.entries.iter().all(|entry| *entry == last)
    }

    /// Runs an editor to its end with fresh reads and no further fault; `false` if it cannot end.
    fn settle(&mut self, editor: usize) -> bool {
        loop {
            let base = match self.editors[editor].phase {
                Phase::Idle | Phase::Accepted | Phase::Refused => return self.outcomes_hold(),
                Phase::Ready(base) | Phase::Waiting(base) | Phase::Unknown(base) => base,
            };
            let Some(next) = self.read_back(editor, base, self.length()) else {
                return false;
            };
            *self = next;
            if self.editors[editor].phase == Phase::Ready(base) {
                if base != self.length() {
                    return false;
                }
                self.store.push(id(editor));
            }
        }
    }
}

fn id(editor: usize) -> u8 {
    editor as u8 + 1
}

fn edit(id: u8, base: u8) -> Edit {
    Edit {
        id: id.to_string().into(),
        base: base.into(),
        author: id.to_string().into(),
        reason: "".into(),
        fleet: Fleet::default(),
    }
}

fn chain(ids: &[u8]) -> Config {
    let mut config = Config::default();
    for (base, id) in ids.iter().enumerate() {
        config = edit(*id, base as u8)
            .apply(&config, 0)
            .unwrap_or_else(|_| forced(config, *id));
    }
    config
}

/// Returns the configuration that the store holds after a write that `Edit::apply` refuses.
fn forced(mut config: Config, id: u8) -> Config {
    config.revision += 1;
    config.edit_id = id.to_string();
    config
}

/// Guards against a lost, doubled or wrongly reported edit, a revision that decreases and an entry
/// that stays behind, in every reachable state. Prints the bounds and the number of states.
#[test]
fn explore_all() {
    let reached = bfs_reach(State::new(), |state| state.successors(Removed::Nothing));
    let mut count = 0_u64;
    for state in reached {
        assert!(
            !state.decreased,
            "the revision of an entry decreased: {state:?}"
        );
        assert!(
            state.outcomes_hold(),
            "an edit was accepted twice, or its editor has the wrong outcome: {state:?}"
        );
        for store_heals in [true, false] {
            let settled = state.converges(store_heals, Removed::Nothing);
            assert!(
                settled,
                "an editor or an entry does not converge: {state:?}"
            );
        }
        count += 1;
    }
    println!(
        "editors {EDITORS}, writes of each {MAX_SENDS}, entries {}, zones 2, states {count}",
        ZONES.len()
    );
    assert!(
        count > 10_000,
        "too few states; the model lacks transitions"
    );
}

/// Checks that each rule is necessary: without it, the exploration finds a path to a fault.
#[rstest]
#[case::revision(Removed::Revision, |state: &State| state.decreased)]
#[case::identifier(Removed::Identifier, |state: &State| !state.outcomes_hold())]
#[case::read_back(Removed::ReadBack, |state: &State| !state.outcomes_hold())]
#[case::poll(Removed::Poll, |state: &State| !state.converges(true, Removed::Poll))]
#[case::gossip(Removed::Gossip, |state: &State| !state.converges(false, Removed::Gossip))]
fn explore_without(#[case] removed: Removed, #[case] faulty: fn(&State) -> bool) {
    let path = bfs(&State::new(), |state| state.successors(removed), faulty);
    let path = path.expect("a counterexample");
    println!("without {removed:?}, {} steps to", path.len() - 1);
    println!("{:?}", path.last());
}
