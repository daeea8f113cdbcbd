//! Guards the reserve: what a fleet needs to hold back and what the loss of a rack leaves.

use wigeonhinge::buffer::Headroom;
use wigeonhinge::buffer::assess;
use wigeonhinge::buffer::lost_racks;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_standin::region;
use wigeonhinge_standin::region::Region;

#[test]
fn need_sizes() {
    let buffer = assess(&region::fleet());
    assert_eq!((buffer.held, buffer.maintenance, buffer.rack), (10, 6, 4));
    assert_eq!(buffer.shared(), 10);
    assert_eq!((buffer.unshared, buffer.spare_racks), (12, 18));
    // 24 VMs in 4 rounds are 6 at a time, and a rack of 4.
    assert_eq!(buffer.bound, 10);
}

/// A reserve is not shared between regions, because each region decides by itself.
#[test]
fn need_regions() {
    let mut fleet = region::fleet();
    let rules = fleet.rules.as_mut().expect("rules");
    rules.zones[2].region = "south".into();
    assert_eq!(assess(&fleet).rack, 8);
}

#[test]
fn holds_until_reserve_used() {
    let world = Region::small();
    let (mut headroom, slots) = Headroom::new(&world.ledger);
    let of = |pool: &str| {
        let vms = world.ledger.vms().iter().zip(&slots);
        vms.filter(|(vm, _)| vm.pool == pool)
            .map(|(_, slot)| *slot)
            .collect::<Vec<_>>()
    };
    for slot in of("crews").into_iter().chain(of("quoting")).step_by(4) {
        headroom.remove(slot);
    }
    assert!(headroom.holds());
    for slot in of("spare").into_iter().take(6) {
        headroom.remove(slot);
    }
    assert!(!headroom.holds());
}

/// While a rack is lost the reserve is in use for it, so the other pools may go on.
#[test]
fn holds_during_loss() {
    let mut world = Region::small();
    world.set_rack("r2", true);
    world.run(4);
    let lost = lost_racks(world.ledger.vms());
    assert_eq!(lost.into_iter().collect::<Vec<_>>(), [("c", "r2")]);
    assert!(
        world
            .ledger
            .vms()
            .iter()
            .any(|vm| vm.phase() == Phase::Down)
    );
    assert!(Headroom::new(&world.ledger).0.holds());
}
