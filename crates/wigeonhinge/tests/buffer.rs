//! Tests the spare capacity that a fleet requires and the promises after the loss of a rack.

use wigeonhinge::buffer::Headroom;
use wigeonhinge::buffer::assess;
use wigeonhinge::buffer::lost_racks;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_standin::region;
use wigeonhinge_standin::region::Region;

#[test]
fn assess_sizes() {
    let buffer = assess(&region::fleet());
    assert_eq!((buffer.held, buffer.maintenance, buffer.rack), (10, 6, 4));
    assert_eq!(buffer.shared(), 10);
    assert_eq!((buffer.unshared, buffer.spare_racks), (12, 18));
    // A rack of 4, and 24 VMs in 4 rounds, which is 6 at a time.
    assert_eq!(buffer.bound, 10);
}

/// Each region needs a reserve of its own, because its controller decides independently.
#[test]
fn assess_regions() {
    let mut fleet = region::fleet();
    let rules = fleet.rules.as_mut().expect("rules");
    rules.zones[2].region = "south".into();
    assert_eq!(assess(&fleet).rack, 8);
}

#[test]
fn promises_hold_until_reserve_used() {
    let world = Region::small();
    let (mut headroom, positions) = Headroom::new(&world.ledger);
    let of = |pool: &str| {
        let vms = world.ledger.vms().iter().zip(&positions);
        vms.filter(|(vm, _)| vm.pool == pool)
            .map(|(_, position)| *position)
            .collect::<Vec<_>>()
    };
    for position in of("crews").into_iter().chain(of("quoting")).step_by(4) {
        headroom.remove(position);
    }
    assert!(headroom.promises_hold());
    for position in of("spare").into_iter().take(6) {
        headroom.remove(position);
    }
    assert!(!headroom.promises_hold());
}

/// While a rack is down it uses the reserve, so maintenance of the other pools may continue.
#[test]
fn promises_hold_during_rack_loss() {
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
    assert!(Headroom::new(&world.ledger).0.promises_hold());
}
