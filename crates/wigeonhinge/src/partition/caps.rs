//! Division of the caps of workspaces among partitions.
//!
//! One stored row has a column for each partition with what it may use of each cap. A holder changes
//! its own column only, by compare-and-swap on the row's revision. It acquires only what is in no
//! column, and uses an increase only once the store has answered the write; it stops using what it
//! releases before it sends the write. So the uses never exceed a cap together, whichever writes are
//! lost or late.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::Size;
use crate::batch::WorkspaceUse;
use crate::id::WorkspaceId;
use crate::partition::Partition;

/// Part of a cap that a holder acquires beyond its use and its waiting tasks, as the reciprocal of the
/// cap's equal part. It starts the first tasks of a burst without a write.
const RESERVE_SHARE: u64 = 8;

/// Number of resources.
const RESOURCES: usize = 3;

/// Millicores, MB of memory and accelerators, stored as a list in this order.
type Amounts = [u64; RESOURCES];

/// Part of a workspace's cap in the column of a partition.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapPart {
    /// What the partition may use.
    pub held: Amounts,
    /// How much more it could use now.
    pub wanted: Amounts,
    /// Which resources the cap limited when the part was written. A resource that had no limit is not
    /// accounted for.
    pub limited: [bool; RESOURCES],
}

/// Column of a partition.
pub type CapColumn = BTreeMap<WorkspaceId, CapPart>;

/// Stored row of the caps' division.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapTable {
    /// Columns by partition.
    pub columns: BTreeMap<Partition, CapColumn>,
}

/// What a holder knows of the division, and what it may use.
///
/// ```
/// use wigeonhinge::partition::CapHolder;
///
/// let holder = CapHolder::new(1);
/// assert!(holder.shares(&Default::default()).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct CapHolder {
    partition: Partition,
    /// Row as last read, with its revision; 0 for a row that does not exist. `None` if unknown.
    row: Option<(CapTable, u64)>,
    /// What the partition may use.
    shares: BTreeMap<WorkspaceId, Amounts>,
    /// Revision that a write replaces whose outcome is unknown.
    pending: Option<u64>,
}

impl CapHolder {
    /// Creates the state of a holder that has not read the row.
    pub fn new(partition: Partition) -> Self {
        Self {
            partition,
            row: None,
            shares: BTreeMap::new(),
            pending: None,
        }
    }

    /// Records the row as read with its revision; `None` if it does not exist.
    ///
    /// A row that is older than the known one changes nothing. A write that fails because the row has
    /// changed may be the repetition of one that was executed, so its holder reads the row too.
    pub fn read(&mut self, table: Option<CapTable>, revision: u64) {
        if self
            .row
            .as_ref()
            .is_some_and(|(_, known)| revision < *known)
        {
            return;
        }
        self.row = Some((table.unwrap_or_default(), revision));
        // A write that replaces an earlier revision was executed before, or never will be.
        if self.pending.is_some_and(|base| revision > base) {
            self.pending = None;
        }
        self.adopt();
    }

    /// Records that the write was executed, at this revision.
    pub fn written(&mut self, table: CapTable, revision: u64) {
        self.pending = None;
        self.read(Some(table), revision);
    }

    /// Uses the column of the row, but no more than before while a write is pending.
    fn adopt(&mut self) {
        let Some((table, _)) = &self.row else {
            return;
        };
        let held = table.columns.get(&self.partition).into_iter().flatten();
        let held = held.map(|(name, part)| (name.clone(), part.held));
        let mut shares: BTreeMap<WorkspaceId, Amounts> = held.collect();
        if self.pending.is_some() {
            for (name, share) in &mut shares {
                let known = self.shares.get(name).copied().unwrap_or_default();
                *share = zip(*share, known, u64::min);
            }
        }
        self.shares = shares;
    }

    /// Returns what the partition may use of each cap: its part, less what all parts exceed the cap by
    /// after that was lowered. `uses` are the use and the caps of the workspaces in this partition.
    pub fn shares(
        &self,
        uses: &BTreeMap<WorkspaceId, WorkspaceUse>,
    ) -> BTreeMap<WorkspaceId, Size> {
        let share = |(name, share): (&WorkspaceId, &Amounts)| {
            let cap = uses.get(name).map(|it| amounts(it.cap)).unwrap_or_default();
            let columns = self.row.iter().flat_map(|(table, _)| &table.columns);
            let others = columns.filter(|(it, _)| **it != self.partition);
            let others = others.filter_map(|(_, column)| column.get(name));
            let left = others.fold(cap, |left, part| zip(left, part.held, u64::saturating_sub));
            (name.clone(), size(zip(*share, left, u64::min)))
        };
        self.shares.iter().map(share).collect()
    }

    /// Returns whether a write was sent and its outcome is unknown.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the row to write, with the revision that it replaces, if a change matters. What it
    /// releases is not used from now on.
    ///
    /// `uses` are the use and the caps of the workspaces in this partition.
    pub fn next(
        &mut self,
        uses: &BTreeMap<WorkspaceId, WorkspaceUse>,
        partitions: u32,
    ) -> Option<(CapTable, u64)> {
        if self.pending.is_some() {
            return None;
        }
        let (row, revision) = self.row.clone()?;
        let column = self.column(&row, uses, partitions);
        if !matters(row.columns.get(&self.partition), &column) {
            return None;
        }
        for (name, share) in &mut self.shares {
            let next = column.get(name).map(|it| it.held).unwrap_or_default();
            *share = zip(*share, next, u64::min);
        }
        self.pending = Some(revision);
        let mut table = row;
        table.columns.insert(self.partition, column);
        Some((table, revision))
    }

    /// Returns the column that the partition should have, with an entry for each workspace with a cap.
    fn column(
        &self,
        row: &CapTable,
        uses: &BTreeMap<WorkspaceId, WorkspaceUse>,
        partitions: u32,
    ) -> CapColumn {
        let part = |name: &WorkspaceId, usage: &WorkspaceUse| {
            let limited = amounts(usage.cap).map(|it| it != 0);
            let known = |partition: &Partition| {
                let column = row.columns.get(partition);
                column.and_then(|it| it.get(name)).copied()
            };
            let accounted = |it: Partition| known(&it).is_some_and(|it| it.limited == limited);
            if !accounted(self.partition) {
                // The use counts, and nothing more may start before all partitions count theirs.
                return CapPart {
                    held: masked(amounts(usage.used), limited),
                    wanted: Amounts::default(),
                    limited,
                };
            }
            let others = row.columns.keys().filter(|it| **it != self.partition);
            let division = Division {
                partitions,
                complete: (0..partitions).all(accounted),
                others: others.filter_map(known).collect(),
            };
            division.part(known(&self.partition).unwrap_or_default(), usage)
        };
        let capped = uses.iter().filter(|(_, it)| it.cap != Size::default());
        capped
            .map(|(name, usage)| (name.clone(), part(name, usage)))
            .collect()
    }
}

/// What a holder knows of the other partitions' parts of a cap.
#[derive(Debug)]
struct Division {
    partitions: u32,
    /// Whether all partitions have parts, so that no use is overlooked.
    complete: bool,
    others: Vec<CapPart>,
}

impl Division {
    /// Decides what a partition holds of a cap.
    fn part(&self, own: CapPart, usage: &WorkspaceUse) -> CapPart {
        let limited = own.limited;
        let cap = masked(amounts(usage.cap), limited);
        let used = masked(amounts(usage.used), limited);
        let unit = masked(amounts(usage.unit), limited);
        let waiting = masked(amounts(usage.requested), limited);
        let needed = zip(zip(used, waiting, u64::saturating_add), cap, u64::min);
        let sum = |of: fn(&CapPart) -> Amounts| {
            let parts = self.others.iter().map(of);
            parts.fold(Amounts::default(), |a, b| zip(a, b, u64::saturating_add))
        };
        let (foreign, wanted) = (sum(|it| it.held), sum(|it| it.wanted));
        let taken = zip(foreign, own.held, u64::saturating_add);
        let free = zip(cap, taken, u64::saturating_sub);
        let even = self.even(cap, unit);
        let lacking =
            (0..RESOURCES).any(|index| wanted[index] > free[index] || taken[index] > cap[index]);
        let mut held = zip(own.held, used, u64::max);
        if lacking {
            // Beyond its equal part, the partition keeps what its runs use.
            let kept = zip(zip(needed, even, u64::min), used, u64::max);
            held = zip(held, kept, u64::min);
        }
        let lacks = (0..RESOURCES).any(|index| needed[index] > held[index]);
        if lacks && self.complete && held == own.held {
            held = self.acquired(held, (needed, used, unit), (free, wanted, even), cap);
        }
        CapPart {
            held,
            wanted: zip(needed, held, u64::saturating_sub),
            limited,
        }
    }

    /// Returns what the partition holds once it has acquired what it needs and what is free, as far as
    /// that lets it start a task.
    fn acquired(
        &self,
        held: Amounts,
        (needed, used, unit): (Amounts, Amounts, Amounts),
        (free, wanted, even): (Amounts, Amounts, Amounts),
        cap: Amounts,
    ) -> Amounts {
        let next: Amounts = std::array::from_fn(|index| {
            let reserve = match wanted[index] {
                0 => cap[index] / u64::from(self.partitions.max(1)) / RESERVE_SHARE,
                _ => 0,
            };
            let missing = (needed[index] + reserve).saturating_sub(held[index]);
            // What others want is left to them, beyond the equal part of this partition.
            let below = even[index].saturating_sub(held[index]).min(free[index]);
            let beyond = match even == Amounts::default() {
                true => free[index],
                false => free[index].saturating_sub(wanted[index]),
            };
            held[index] + missing.min(below.max(beyond))
        });
        let starts = (0..RESOURCES).all(|index| next[index] >= used[index] + unit[index]);
        match starts {
            true => next,
            false => held,
        }
    }

    /// Returns the equal part of a cap in whole starts of the smallest waiting task. Of a cap that is
    /// too small for a start in each partition, no partition may keep a part that starts nothing.
    fn even(&self, cap: Amounts, unit: Amounts) -> Amounts {
        let even = cap.map(|it| it / u64::from(self.partitions.max(1)));
        let starts = (0..RESOURCES).filter(|index| unit[*index] > 0 && cap[*index] > 0);
        match starts.map(|index| even[index] / unit[index]).min() {
            None => even,
            Some(0) => Amounts::default(),
            Some(_) => even,
        }
    }
}

/// Returns whether a column differs so much from the stored one that it is worth a write: another part
/// is held, or the partition lacks something, lacks nothing any more, or lacks half as much or more
/// than twice as much as before.
fn matters(stored: Option<&CapColumn>, column: &CapColumn) -> bool {
    let Some(stored) = stored else {
        return true;
    };
    let same_names = stored.keys().eq(column.keys());
    !same_names
        || column.iter().any(|(name, after)| {
            let before = stored.get(name).copied().unwrap_or_default();
            before.held != after.held
                || before.limited != after.limited
                || (0..RESOURCES).any(|index| {
                    let (from, to) = (before.wanted[index], after.wanted[index]);
                    from != to && (to * 2 <= from || to > from * 2)
                })
        })
}

fn amounts(size: Size) -> Amounts {
    [size.millicores, size.memory_mb, size.accelerators]
}

fn size([millicores, memory_mb, accelerators]: Amounts) -> Size {
    Size {
        millicores,
        memory_mb,
        accelerators,
    }
}

fn masked(amounts: Amounts, limited: [bool; RESOURCES]) -> Amounts {
    std::array::from_fn(|index| if limited[index] { amounts[index] } else { 0 })
}

fn zip(a: Amounts, b: Amounts, join: fn(u64, u64) -> u64) -> Amounts {
    std::array::from_fn(|index| join(a[index], b[index]))
}
