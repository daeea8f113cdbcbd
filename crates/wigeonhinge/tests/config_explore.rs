//! Exhaustive exploration of acceptance and spread of the configuration.
//!
//! The transition functions are those that ship: `Edit::apply`, `Edit::resolve`
//! and `Adopter::offer`. The model around them is a store, two racing editors
//! with lost answers and repeated writes, and three entries in two zones.

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

/// Writes that one editor sends at most.
const SENDS: u8 = 2;

/// Entries 0 and 1 are in zone 0, entry 2 in zone 1; entry 1 starts later.
const ZONES: [usize; 3] = [0, 0, 1];

thread_local! {
    /// Configurations by the edits that made them; there are few.
    static CONFIGS: RefCell<BTreeMap<Vec<u8>, Config>> = const { RefCell::new(BTreeMap::new()) };
}

/// Rule that is removed from the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Removed {
    Nothing,
    /// An entry adopts whatever it is offered.
    Revision,
    /// An editor makes its edit again without looking for its identifier.
    Identifier,
    /// An editor takes a conflict for a refusal.
    ReadBack,
    /// Entries do not ask the store.
    Poll,
    /// Entries do not ask each other.
    Gossip,
}

/// Edits in the store, in order, stand for the configuration; every value that
/// an entry or an editor knows is one of its prefixes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    store: Vec<u8>,
    up: bool,
    /// Zone 1 is cut off from the store.
    cut_store: bool,
    /// Zone 1 is cut off from zone 0.
    cut_peers: bool,
    editors: [Editor; EDITORS],
    /// Writes under way: editor and base.
    flight: Vec<(u8, u8)>,
    /// Revisions in force; `None` for an entry that has not started.
    entries: [Option<u8>; 3],
    /// Whether a revision went down.
    fell: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Editor {
    phase: Phase,
    sends: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    Ready(u8),
    Waiting(u8),
    Unknown(u8),
    Accepted,
    Refused,
}

impl World {
    fn new() -> Self {
        let editor = Editor {
            phase: Phase::Idle,
            sends: 0,
        };
        Self {
            store: vec![0],
            up: true,
            cut_store: false,
            cut_peers: false,
            editors: [editor; EDITORS],
            flight: Vec::new(),
            entries: [Some(1), None, Some(1)],
            fell: false,
        }
    }

    /// Returns the configuration that the first edits made.
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
            self.with(|world| world.up = !world.up),
            self.with(|world| world.cut_store = !world.cut_store),
            self.with(|world| world.cut_peers = !world.cut_peers),
        ];
        if self.entries[1].is_none() {
            next.push(self.with(|world| world.entries[1] = Some(0)));
        }
        for editor in 0..EDITORS {
            next.extend(self.edit_steps(editor, removed));
        }
        for index in 0..self.flight.len() {
            next.push(self.with(|world| {
                world.flight.remove(index);
            }));
            if self.up {
                next.extend(self.arrive(index, removed));
            }
        }
        for entry in 0..ZONES.len() {
            next.extend(self.offers(entry, removed));
        }
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = self.clone();
        change(&mut world);
        world.flight.sort_unstable();
        world
    }

    fn phase(&self, editor: usize, phase: Phase) -> Self {
        self.with(|world| world.editors[editor].phase = phase)
    }

    /// Steps of one editor; reads may return any value that the store ever held.
    fn edit_steps(&self, editor: usize, removed: Removed) -> Vec<Self> {
        let Editor { phase, sends } = self.editors[editor];
        let reads = 0..if self.up { self.length() + 1 } else { 0 };
        match phase {
            Phase::Idle => reads
                .map(|base| self.phase(editor, Phase::Ready(base)))
                .collect(),
            Phase::Ready(base) if sends < SENDS => vec![self.send(editor, base)],
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
        self.with(|world| {
            world.flight.push((editor as u8, base));
            world.editors[editor].sends += 1;
            world.editors[editor].phase = Phase::Waiting(base);
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

    /// A write arrives; its answer arrives or is lost.
    fn arrive(&self, index: usize, removed: Removed) -> Vec<Self> {
        let (editor, base) = self.flight[index];
        let done = base == self.length();
        let lost = self.with(|world| {
            world.flight.remove(index);
            if done {
                world.store.push(id(editor.into()));
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

    /// Offers to an entry: any value of the store, and the values of its peers.
    fn offers(&self, entry: usize, removed: Removed) -> Vec<Self> {
        if self.entries[entry].is_none() {
            return Vec::new();
        }
        let mut offers = Vec::new();
        let reaches = self.up && !(self.cut_store && ZONES[entry] == 1);
        if reaches && removed != Removed::Poll {
            offers.extend(0..=self.length());
        }
        if removed != Removed::Gossip {
            let peers = (0..ZONES.len()).filter(|peer| self.linked(entry, *peer));
            offers.extend(peers.filter_map(|peer| self.entries[peer]));
        }
        offers
            .into_iter()
            .map(|offer| self.with(|world| world.adopt(entry, offer, removed)))
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
        self.fell |= adopted < current;
        self.entries[entry] = Some(adopted);
    }

    /// Returns whether no edit was accepted twice and no refused one is in force.
    fn sound(&self) -> bool {
        (0..EDITORS).all(|editor| {
            let count = self.store.iter().filter(|edit| **edit == id(editor));
            match (self.editors[editor].phase, count.count()) {
                (Phase::Accepted, count) => count == 1,
                (Phase::Refused, count) => count == 0,
                (_, count) => count <= 1,
            }
        })
    }

    /// Returns whether every editor learns its outcome and every entry has the
    /// latest revision, once the store is up and one path to zone 1 is healed.
    fn converges(&self, store_heals: bool, removed: Removed) -> bool {
        let mut world = self.clone();
        world.up = true;
        world.entries[1] = world.entries[1].or(Some(0));
        world.flight.clear();
        if store_heals {
            world.cut_store = false;
        } else {
            world.cut_peers = false;
        }
        for editor in 0..EDITORS {
            if !world.settle(editor) {
                return false;
            }
        }
        // Two rounds suffice: to one entry of a zone, then within the zone.
        for entry in [0, 1, 2, 0, 1, 2] {
            let best = world.offers(entry, removed).into_iter();
            let best = best.max_by_key(|next| next.entries[entry]);
            world = best.unwrap_or(world);
        }
        let last = Some(world.length());
        world.entries.iter().all(|entry| *entry == last)
    }

    /// Lets an editor finish with fresh reads and no further fault.
    fn settle(&mut self, editor: usize) -> bool {
        loop {
            let base = match self.editors[editor].phase {
                Phase::Idle | Phase::Accepted | Phase::Refused => return self.sound(),
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

/// The configuration that a store holds after a write that `Edit::apply` forbids.
fn forced(mut config: Config, id: u8) -> Config {
    config.revision += 1;
    config.edit_id = id.to_string();
    config
}

/// Checks every reachable state, and prints the bounds and their number.
#[test]
fn explore_all() {
    let reached = bfs_reach(World::new(), |world| world.successors(Removed::Nothing));
    let mut count = 0_u64;
    for world in reached {
        assert!(!world.fell, "a revision went down: {world:?}");
        assert!(
            world.sound(),
            "accepted twice or refused in force: {world:?}"
        );
        for store_heals in [true, false] {
            let settled = world.converges(store_heals, Removed::Nothing);
            assert!(settled, "not in force in the end: {world:?}");
        }
        count += 1;
    }
    println!(
        "editors {EDITORS}, writes of each {SENDS}, entries {}, zones 2, states {count}",
        ZONES.len()
    );
    assert!(count > 10_000, "the model has lost its transitions");
}

/// Shows for each property that it needs a rule: without it, a path to a fault exists.
#[rstest]
#[case::revision(Removed::Revision, |world: &World| world.fell)]
#[case::identifier(Removed::Identifier, |world: &World| !world.sound())]
#[case::read_back(Removed::ReadBack, |world: &World| !world.sound())]
#[case::poll(Removed::Poll, |world: &World| !world.converges(true, Removed::Poll))]
#[case::gossip(Removed::Gossip, |world: &World| !world.converges(false, Removed::Gossip))]
fn explore_without(#[case] removed: Removed, #[case] faulty: fn(&World) -> bool) {
    let path = bfs(&World::new(), |world| world.successors(removed), faulty);
    let path = path.expect("a counterexample");
    println!("without {removed:?}, {} steps to", path.len() - 1);
    println!("{:?}", path.last());
}
