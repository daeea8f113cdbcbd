//! Writes of the ledger: an unguarded merge and the properties that every write has to keep.

use wigeonhinge::ledger::Ledger;
use wigeonhinge_schema::ledger::Phase;

/// Applies the VMs that a proposal changes to a later ledger, as if each VM had a key of its own.
pub(super) fn merge_vms(current: &Ledger, before: &Ledger, proposal: &Ledger) -> Ledger {
    let mut doc = current.document().clone();
    for vm in &mut doc.vms {
        let proposed = proposal.vm(&vm.name);
        if before.vm(&vm.name) != proposed {
            vm.clone_from(proposed.expect("VM"));
        }
    }
    Ledger::from_document(doc)
}

/// Compares a write with the ledger that it replaces; returns the property that it violates.
pub(super) fn check_write(
    before: &Ledger,
    after: &Ledger,
    fence: Option<u64>,
) -> Option<&'static str> {
    if fence < Some(before.document().fence) {
        return Some("earlier holder wrote");
    }
    for vm in before.vms() {
        let now = after.vm(&vm.name);
        let stays = now.is_some_and(|now| now.pool == vm.pool);
        let moved = vm.phase() == Phase::Moving && now.is_some_and(|now| now.pool == vm.target);
        if !stays && !moved {
            return Some("pool changed without a move");
        }
    }
    for (pool, count) in after.counts() {
        let members = after.vms().iter().filter(|vm| vm.pool == pool.as_str());
        let taken = members.into_iter().any(|vm| {
            let active = before
                .vm(&vm.name)
                .is_some_and(|vm| vm.phase() == Phase::Active);
            active && vm.phase() == Phase::Cordoned
        });
        let kept = count.active >= count.promised && count.unavailable() <= count.max_unavailable;
        if taken && !kept {
            return Some("budget exceeded voluntarily");
        }
    }
    None
}
