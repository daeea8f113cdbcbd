//! Load balancing among upstreams.

use wigeonhinge::route::Router;

fn router(upstreams: &[(u32, bool, u32)]) -> Router {
    let mut router = Router::default();
    for (index, local, allowed) in upstreams {
        router.add(*index, 7, *local);
        router.set_allowed(*index, *allowed);
    }
    router
}

/// Guards against requests sent to another zone while the own zone has a free slot.
#[test]
fn choose_own_zone_first() {
    let mut router = router(&[(1, true, 1), (2, false, 8)]);
    router.start(2);
    router.finish(2);
    assert_eq!(router.choose(7, &[]), Some(1));
    router.start(1);
    assert_eq!(router.choose(7, &[]), Some(2));
}

/// Guards against requests sent to an upstream without a free slot, and against a freed slot that
/// is never used again.
#[test]
fn choose_free_slots() {
    let mut router = router(&[(1, true, 2), (2, true, 0)]);
    router.start(1);
    router.start(1);
    assert_eq!(router.choose(7, &[]), None);
    router.set_allowed(1, 1);
    router.finish(1);
    assert_eq!((router.choose(7, &[]), router.free(7)), (None, 0));
    router.finish(1);
    assert_eq!((router.choose(7, &[]), router.free(7)), (Some(1), 1));
    router.remove(1);
    assert_eq!((router.choose(7, &[]), router.total(7)), (None, 0));
}

/// Guards against uneven load, and against an upstream that gets every request because it
/// responds at once.
#[test]
fn choose_turns() {
    let mut router = router(&[(1, true, 2), (2, true, 4), (3, true, 4)]);
    let order = [2, 3, 1, 2, 3].map(|_| {
        let index = router.choose(7, &[]).unwrap();
        router.start(index);
        index
    });
    assert_eq!(order, [1, 2, 3, 2, 3]);
    order.into_iter().for_each(|index| router.finish(index));
    let fast: Vec<u32> = (0..6)
        .map(|_| {
            let index = router.choose(7, &[]).unwrap();
            router.start(index);
            router.finish(index);
            index
        })
        .collect();
    assert_eq!(fast, [1, 2, 3, 1, 2, 3]);
}

/// Guards against a retry at the upstream that failed, unless it is the only one.
#[test]
fn choose_avoid() {
    let mut router = router(&[(1, true, 1), (2, true, 1)]);
    assert_eq!(router.choose(7, &[1]), Some(2));
    router.start(2);
    assert_eq!(router.choose(7, &[1]), None);
    router.set_allowed(2, 0);
    assert_eq!(router.choose(7, &[1]), Some(1));
}
