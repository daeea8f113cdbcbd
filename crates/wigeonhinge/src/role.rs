//! Order in which entries try to acquire a role.

use std::cmp::Reverse;
use std::time::Duration;

use crate::id::EntryId;

/// Delay between the attempts of two successive candidates.
pub const CANDIDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the entries in the order in which they try to acquire a role.
///
/// The order is by rendezvous hashing: every entry computes the same order from
/// the same set of entries, and adding or removing an entry leaves the order of
/// the others unchanged.
///
/// ```
/// use wigeonhinge::id::EntryId;
/// use wigeonhinge::role::rank;
///
/// let entries = ["a", "b", "c"].map(EntryId::from);
/// let all = rank(&entries, "fleet/north");
/// let rest = rank(all.iter().skip(1), "fleet/north");
/// assert_eq!(rest, all[1..]);
/// ```
pub fn rank<'a>(entries: impl IntoIterator<Item = &'a EntryId>, role: &str) -> Vec<EntryId> {
    let mut ranked: Vec<EntryId> = entries.into_iter().cloned().collect();
    ranked.sort_by_cached_key(|entry| (Reverse(score(entry, role)), entry.clone()));
    ranked
}

/// Returns how long a role has to be without a holder before `own` tries to
/// acquire it; `None` if `own` is not among the entries.
pub fn delay<'a>(
    entries: impl IntoIterator<Item = &'a EntryId>,
    role: &str,
    own: &EntryId,
) -> Option<Duration> {
    let ranked = rank(entries, role);
    let place = ranked.iter().position(|entry| entry == own)?;
    Some(CANDIDATE_INTERVAL * u32::try_from(place).unwrap_or(u32::MAX))
}

/// Hashes an entry and a role with FNV-1a and the finalizer of MurmurHash3.
///
/// Entries of different builds have to agree on the hash, and the hasher of the
/// standard library may change between releases.
fn score(entry: &str, role: &str) -> u64 {
    let bytes = entry.bytes().chain([0]).chain(role.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
