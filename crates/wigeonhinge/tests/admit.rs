//! Admission control under overload.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use wigeonhinge::admit::Admission;
use wigeonhinge::admit::QueuedRequest;
use wigeonhinge::admit::Slots;
use wigeonhinge::admit::Throughput;
use wigeonhinge::id::Ticket;
use wigeonhinge::outcome::ErrorKind;

const SPARE: u32 = 9;
const ALL: Slots = Slots { free: 8, total: 8 };

fn admission() -> Admission {
    let mut admission = Admission::default();
    (0..3).for_each(|service| admission.set_queue(service, service, 100));
    admission.set_queue(SPARE, SPARE, 100);
    admission.set_spare(Some(SPARE));
    admission
}

fn queued(ticket: Ticket, service: u32, caller: &str) -> QueuedRequest {
    QueuedRequest {
        ticket,
        order: ticket,
        service,
        caller: caller.into(),
        team: "".into(),
        deadline: Duration::from_secs(10),
    }
}

fn enqueue(admission: &mut Admission, request: QueuedRequest) -> Result<Option<Ticket>, ErrorKind> {
    admission.enqueue(request, Throughput::default(), Duration::ZERO)
}

fn flood(admission: &mut Admission, service: u32, tickets: std::ops::Range<Ticket>) {
    for ticket in tickets {
        enqueue(admission, queued(ticket, service, "flooder")).ok();
    }
}

/// Guards against a flood of one service, the least or the most urgent, that takes the slots of
/// another pool or displaces requests from its queue.
#[rstest]
#[case(0)]
#[case(2)]
fn dequeue_floor(#[case] flooded: u32) {
    let mut admission = admission();
    flood(&mut admission, flooded, 0..500);
    assert_eq!(enqueue(&mut admission, queued(900, 1, "a")), Ok(None));
    assert_eq!(enqueue(&mut admission, queued(901, SPARE, "a")), Ok(None));
    assert_eq!(admission.dequeue(1, ALL), Some(900));
    assert_eq!(admission.dequeue(1, ALL), None);
    assert_eq!(admission.dequeue(SPARE, ALL), Some(901));
    assert!(admission.dequeue(SPARE, ALL).is_some_and(|it| it < 500));
}

/// Guards against spare slots used for less urgent requests while more urgent ones wait, and
/// against an order other than by deadline among equal priorities.
#[test]
fn dequeue_spare_order() {
    let mut admission = admission();
    admission.set_queue(2, 0, 100);
    let late = queued(1, 0, "a");
    let early = QueuedRequest {
        deadline: Duration::from_secs(5),
        ..queued(2, 2, "a")
    };
    for request in [queued(3, 1, "a"), late, early] {
        enqueue(&mut admission, request).unwrap();
    }
    let order = [1, 2, 3].map(|_| admission.dequeue(SPARE, ALL));
    assert_eq!(order, [Some(2), Some(1), Some(3)]);
}

/// Guards against other queues using the slots reserved for the spare pool's own queue.
#[rstest]
#[case(1, 12)]
#[case(2, 13)]
#[case(3, 25)]
fn dequeue_spare_reserve(#[case] free: u32, #[case] total: u32) {
    let mut admission = admission();
    enqueue(&mut admission, queued(1, 0, "a")).unwrap();
    let slots = Slots { free, total };
    assert_eq!(admission.dequeue(SPARE, slots), None);
    enqueue(&mut admission, queued(2, SPARE, "a")).unwrap();
    assert_eq!(admission.dequeue(SPARE, slots), Some(2));
    let more = Slots {
        free: free + 1,
        total,
    };
    assert_eq!(admission.dequeue(SPARE, more), Some(1));
}

/// Guards against a caller or team that gets more than its fair share by sending more requests or
/// longer ones.
#[rstest]
#[case("", 1_000)]
#[case("team", 1_000)]
#[case("", 10_000)]
fn dequeue_fairness(#[case] team: &str, #[case] cost: i64) {
    let mut admission = admission();
    for ticket in 0..60 {
        let greedy = QueuedRequest {
            team: team.into(),
            ..queued(ticket, 0, &format!("c{}", ticket % 3))
        };
        let greedy = match team {
            "" => QueuedRequest {
                caller: "greedy".into(),
                ..greedy
            },
            _ => greedy,
        };
        enqueue(&mut admission, greedy).unwrap();
    }
    for ticket in 60..70 {
        enqueue(&mut admission, queued(ticket, 0, "modest")).unwrap();
    }
    let mut spent: BTreeMap<bool, i64> = BTreeMap::new();
    while spent.len() < 2 || spent[&false] < 10_000 {
        let ticket = admission.dequeue(0, ALL).unwrap();
        let modest = ticket >= 60;
        let cost = if modest { 1_000 } else { cost };
        *spent.entry(!modest).or_default() += cost;
        let caller = if modest { "modest" } else { "greedy" };
        let caller = match (modest, team) {
            (false, "team") => format!("c{}", ticket % 3),
            _ => caller.to_owned(),
        };
        let team = if modest { "" } else { team };
        admission.charge(0, &team.into(), &caller.into(), cost);
    }
    assert!(spent[&true] <= 21_000, "{spent:?}");
}

/// Guards against a caller that fills the queue so that others are refused.
#[test]
fn enqueue_displaces() {
    let mut admission = admission();
    flood(&mut admission, 0, 0..100);
    let refused = enqueue(&mut admission, queued(100, 0, "flooder"));
    assert_eq!(refused, Err(ErrorKind::QueueFull));
    let displaced = enqueue(&mut admission, queued(101, 0, "modest"));
    assert_eq!(displaced, Ok(Some(99)));
    assert_eq!(admission.len(0), 100);
    let taken = [1, 2].map(|_| admission.dequeue(0, ALL));
    assert_eq!(taken, [Some(0), Some(101)]);
}

/// Guards against admitting requests that cannot be served in time, and against refusing a caller
/// with a short backlog because others have long ones.
#[test]
fn enqueue_would_expire() {
    let mut admission = admission();
    let throughput = Throughput {
        slots: 2,
        mean_time: Duration::from_millis(500),
    };
    let mut admit = |request| admission.enqueue(request, throughput, Duration::ZERO);
    let refused = (0..100).filter(|ticket| admit(queued(*ticket, 0, "flooder")).is_err());
    // 37 requests ahead take 9.25 s, and the request itself needs 0.75 s of the 10 s.
    assert_eq!(refused.count(), 62);
    assert_eq!(admit(queued(100, 0, "modest")), Ok(None));
    let late = QueuedRequest {
        deadline: Duration::ZERO,
        ..queued(101, 1, "a")
    };
    assert_eq!(admit(late), Err(ErrorKind::DeadlineBeforeSend));
}

/// Guards against requests that wait beyond their deadline, and against wrong queue lengths after
/// requests have been removed in other ways.
#[test]
fn expire_removes() {
    let mut admission = admission();
    flood(&mut admission, 0, 0..10);
    admission.remove(&queued(3, 0, "flooder"));
    admission.remove(&queued(3, 0, "flooder"));
    assert_eq!(admission.len(0), 9);
    assert_eq!(admission.dequeue(0, ALL), Some(0));
    assert!(admission.expire(Duration::from_secs(9)).is_empty());
    assert_eq!(admission.expire(Duration::from_secs(10)).len(), 8);
    assert_eq!(
        (admission.dequeue(0, ALL), admission.is_empty()),
        (None, true)
    );
}
