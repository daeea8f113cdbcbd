//! Choice of the upstream.

use wigeonhinge::route::Router;

fn router(lanes: &[(u32, bool, u32)]) -> Router {
    let mut router = Router::default();
    for (index, near, allowed) in lanes {
        router.add(*index, 7, *near);
        router.set(*index, *allowed);
    }
    router
}

/// Guards against work for another zone while the own zone has a free slot.
#[test]
fn choose_own_zone_first() {
    let mut router = router(&[(1, true, 1), (2, false, 8)]);
    router.start(2);
    router.finish(2);
    assert_eq!(router.choose(7, &[]), Some(1));
    router.start(1);
    assert_eq!(router.choose(7, &[]), Some(2));
}

/// Guards against work for an upstream without a slot, and against losing a freed one.
#[test]
fn choose_free_slots() {
    let mut router = router(&[(1, true, 2), (2, true, 0)]);
    router.start(1);
    router.start(1);
    assert_eq!(router.choose(7, &[]), None);
    router.set(1, 1);
    router.finish(1);
    assert_eq!((router.choose(7, &[]), router.free(7)), (None, 0));
    router.finish(1);
    assert_eq!((router.choose(7, &[]), router.free(7)), (Some(1), 1));
    router.remove(1);
    assert_eq!((router.choose(7, &[]), router.total(7)), (None, 0));
}

/// Guards against an uneven load and against an upstream that gets every request because it
/// answers at once.
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
    let quick: Vec<u32> = (0..6)
        .map(|_| {
            let index = router.choose(7, &[]).unwrap();
            router.start(index);
            router.finish(index);
            index
        })
        .collect();
    assert_eq!(quick, [1, 2, 3, 1, 2, 3]);
}

/// Guards against a retry on the upstream that failed, unless it is the only one.
#[test]
fn choose_avoid() {
    let mut router = router(&[(1, true, 1), (2, true, 1)]);
    assert_eq!(router.choose(7, &[1]), Some(2));
    router.start(2);
    assert_eq!(router.choose(7, &[1]), None);
    router.set(2, 0);
    assert_eq!(router.choose(7, &[1]), Some(1));
}
