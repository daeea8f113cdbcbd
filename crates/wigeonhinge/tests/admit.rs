//! Queues under overload.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use wigeonhinge::admit::Admission;
use wigeonhinge::admit::Pace;
use wigeonhinge::admit::Room;
use wigeonhinge::admit::Waiting;
use wigeonhinge::id::Ticket;
use wigeonhinge::outcome::ErrorKind;

const SPARE: u32 = 9;
const ALL: Room = Room { free: 8, total: 8 };

fn admission() -> Admission {
    let mut admission = Admission::default();
    (0..3).for_each(|service| admission.set(service, service, 100));
    admission.set(SPARE, SPARE, 100);
    admission.lend(Some(SPARE));
    admission
}

fn waiting(ticket: Ticket, service: u32, caller: &str) -> Waiting {
    Waiting {
        ticket,
        order: ticket,
        service,
        caller: caller.into(),
        team: "".into(),
        deadline: Duration::from_secs(10),
    }
}

fn arrive(admission: &mut Admission, waiting: Waiting) -> Result<Option<Ticket>, ErrorKind> {
    admission.arrive(waiting, Pace::default(), Duration::ZERO)
}

fn flood(admission: &mut Admission, service: u32, tickets: std::ops::Range<Ticket>) {
    for ticket in tickets {
        arrive(admission, waiting(ticket, service, "flooder")).ok();
    }
}

/// Guards against a flood of the least or the most urgent queue that takes the slots of another
/// pool or the place of its requests.
#[rstest]
#[case(0)]
#[case(2)]
fn next_floor(#[case] flooded: u32) {
    let mut admission = admission();
    flood(&mut admission, flooded, 0..500);
    assert_eq!(arrive(&mut admission, waiting(900, 1, "a")), Ok(None));
    assert_eq!(arrive(&mut admission, waiting(901, SPARE, "a")), Ok(None));
    assert_eq!(admission.next(1, ALL), Some(900));
    assert_eq!(admission.next(1, ALL), None);
    assert_eq!(admission.next(SPARE, ALL), Some(901));
    assert!(admission.next(SPARE, ALL).is_some_and(|it| it < 500));
}

/// Guards against spare slots for the less urgent while the more urgent wait, and against the
/// wrong order among equals.
#[test]
fn next_spare_order() {
    let mut admission = admission();
    admission.set(2, 0, 100);
    let late = waiting(1, 0, "a");
    let early = Waiting {
        deadline: Duration::from_secs(5),
        ..waiting(2, 2, "a")
    };
    for waiting in [waiting(3, 1, "a"), late, early] {
        arrive(&mut admission, waiting).unwrap();
    }
    let order = [1, 2, 3].map(|_| admission.next(SPARE, ALL));
    assert_eq!(order, [Some(2), Some(1), Some(3)]);
}

/// Guards against other queues in the reserved slots of the spare pool, which its own queue may use.
#[rstest]
#[case(1, 12)]
#[case(2, 13)]
#[case(3, 25)]
fn next_spare_reserve(#[case] free: u32, #[case] total: u32) {
    let mut admission = admission();
    arrive(&mut admission, waiting(1, 0, "a")).unwrap();
    let room = Room { free, total };
    assert_eq!(admission.next(SPARE, room), None);
    arrive(&mut admission, waiting(2, SPARE, "a")).unwrap();
    assert_eq!(admission.next(SPARE, room), Some(2));
    let more = Room {
        free: free + 1,
        total,
    };
    assert_eq!(admission.next(SPARE, more), Some(1));
}

/// Guards against a caller or team that gets more than its turn by sending more, or by sending
/// requests that take longer.
#[rstest]
#[case("", 1_000)]
#[case("team", 1_000)]
#[case("", 10_000)]
fn next_fairness(#[case] team: &str, #[case] cost: i64) {
    let mut admission = admission();
    for ticket in 0..60 {
        let greedy = Waiting {
            team: team.into(),
            ..waiting(ticket, 0, &format!("c{}", ticket % 3))
        };
        let greedy = match team {
            "" => Waiting {
                caller: "greedy".into(),
                ..greedy
            },
            _ => greedy,
        };
        arrive(&mut admission, greedy).unwrap();
    }
    for ticket in 60..70 {
        arrive(&mut admission, waiting(ticket, 0, "modest")).unwrap();
    }
    let mut spent: BTreeMap<bool, i64> = BTreeMap::new();
    while spent.len() < 2 || spent[&false] < 10_000 {
        let ticket = admission.next(0, ALL).unwrap();
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

/// Guards against a queue that one caller fills, so that others are refused.
#[test]
fn arrive_displaces() {
    let mut admission = admission();
    flood(&mut admission, 0, 0..100);
    let refused = arrive(&mut admission, waiting(100, 0, "flooder"));
    assert_eq!(refused, Err(ErrorKind::QueueFull));
    let displaced = arrive(&mut admission, waiting(101, 0, "modest"));
    assert_eq!(displaced, Ok(Some(99)));
    assert_eq!(admission.len(0), 100);
    let taken = [1, 2].map(|_| admission.next(0, ALL));
    assert_eq!(taken, [Some(0), Some(101)]);
}

/// Guards against requests that are kept although they cannot be served in time, and against
/// refusing a caller with a short backlog because others have long ones.
#[test]
fn arrive_hopeless() {
    let mut admission = admission();
    let pace = Pace {
        slots: 2,
        mean: Duration::from_millis(500),
    };
    let mut admit = |waiting| admission.arrive(waiting, pace, Duration::ZERO);
    let refused = (0..100).filter(|ticket| admit(waiting(*ticket, 0, "flooder")).is_err());
    // 37 ahead take 9.25 s, and 0.75 s are needed for the request itself.
    assert_eq!(refused.count(), 62);
    assert_eq!(admit(waiting(100, 0, "modest")), Ok(None));
    let late = Waiting {
        deadline: Duration::ZERO,
        ..waiting(101, 1, "a")
    };
    assert_eq!(admit(late), Err(ErrorKind::DeadlineBeforeSend));
}

/// Guards against requests that wait beyond their deadline, and against counts that drift when
/// requests are removed in other ways.
#[test]
fn expire_removes() {
    let mut admission = admission();
    flood(&mut admission, 0, 0..10);
    admission.remove(&waiting(3, 0, "flooder"));
    admission.remove(&waiting(3, 0, "flooder"));
    assert_eq!(admission.len(0), 9);
    assert_eq!(admission.next(0, ALL), Some(0));
    assert!(admission.expire(Duration::from_secs(9)).is_empty());
    assert_eq!(admission.expire(Duration::from_secs(10)).len(), 8);
    assert_eq!((admission.next(0, ALL), admission.is_empty()), (None, true));
}
