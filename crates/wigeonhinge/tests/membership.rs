//! Tests of live entries.

use std::time::Duration;

use rstest::rstest;
use wigeonhinge::membership::Change;
use wigeonhinge::membership::Health;
use wigeonhinge::membership::Membership;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Ticks every 100 ms from one time up to and with another.
fn ticks(members: &mut Membership, from: u64, to: u64) -> Vec<Change> {
    (from / 100..=to / 100)
        .flat_map(|step| members.tick(ms(step * 100)))
        .collect()
}

fn pair() -> Membership {
    let mut members = Membership::new("a".into(), "north".into(), ms(0));
    assert!(members.heard("b".into(), "north".into(), 5, ms(0)));
    members
}

/// Guards against members that are suspected or dead too early or too late.
#[rstest]
#[case::live(900, Health::Live, 2)]
#[case::suspect(1_000, Health::Suspect, 2)]
#[case::dead(2_000, Health::Dead, 2)]
#[case::redistributed(2_500, Health::Dead, 1)]
fn health_times(#[case] silence: u64, #[case] expected: Health, #[case] sharers: usize) {
    let mut members = pair();
    ticks(&mut members, 0, silence);
    assert_eq!(members.health(&"b".into()), Some(expected));
    assert_eq!(members.sharers().len(), sharers);
}

/// Guards against messages of an earlier start that keep a member alive.
#[test]
fn heard_incarnations() {
    let mut members = pair();
    assert!(!members.heard("b".into(), "north".into(), 4, ms(100)));
    members.left(&"b".into());
    assert!(!members.heard("b".into(), "north".into(), 5, ms(200)));
    assert_eq!(members.sharers().len(), 1);
    assert!(members.heard("b".into(), "north".into(), 6, ms(300)));
    assert_eq!(members.live().len(), 2);
}

/// Guards against a paused entry that uses slots which others use by then.
#[test]
fn tick_pause() {
    let mut members = pair();
    ticks(&mut members, 0, 1_000);
    members.heard("b".into(), "north".into(), 5, ms(1_000));
    assert!(members.usable(ms(1_900)));
    assert!(!members.usable(ms(2_500)), "pause seen before the tick");
    let changes = members.tick(ms(9_000));
    assert_eq!(changes[0], Change::Paused(ms(8_000)));
    assert!(!members.usable(ms(9_000)));
    assert_eq!(members.health(&"b".into()), Some(Health::Suspect));
    members.heard("b".into(), "north".into(), 5, ms(9_100));
    assert!(
        !members.usable(ms(9_100)),
        "heartbeat from before the pause"
    );
    members.heard("b".into(), "north".into(), 5, ms(9_300));
    assert!(members.usable(ms(9_300)));
}

/// Guards against an entry without peers that never uses its slots.
#[test]
fn usable_alone() {
    let mut members = Membership::new("a".into(), "north".into(), ms(0));
    ticks(&mut members, 0, 2_400);
    assert!(!members.usable(ms(2_400)));
    ticks(&mut members, 2_500, 2_500);
    assert!(members.usable(ms(2_500)));
}

/// Guards against counting peers of other zones as neighbours.
#[test]
fn neighbours_zone() {
    let mut members = pair();
    members.heard("c".into(), "south".into(), 1, ms(0));
    members.tick(ms(100));
    assert_eq!(members.neighbours().len(), 2);
    assert_eq!(members.healthy().len(), 3);
}
