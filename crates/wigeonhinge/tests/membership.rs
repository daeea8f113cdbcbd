//! Tests of the heartbeat failure detector.

use std::time::Duration;

use rstest::rstest;
use wigeonhinge::membership::Change;
use wigeonhinge::membership::Health;
use wigeonhinge::membership::Membership;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Ticks every 100 ms from `from` to `to`, both in ms and included.
fn ticks(members: &mut Membership, from: u64, to: u64) -> Vec<Change> {
    (from / 100..=to / 100)
        .flat_map(|step| members.tick(ms(step * 100)))
        .collect()
}

fn pair() -> Membership {
    let mut members = Membership::new("a".into(), "north".into(), ms(0));
    assert!(members.record_heartbeat("b".into(), "north".into(), 5, ms(0)));
    members
}

/// Guards against members that are suspected, declared dead or deprived of their share too early
/// or too late.
#[rstest]
#[case::live(900, Health::Live, 2)]
#[case::suspect(1_000, Health::Suspect, 2)]
#[case::dead(2_000, Health::Dead, 2)]
#[case::redistributed(2_500, Health::Dead, 1)]
fn health_times(#[case] silence: u64, #[case] expected: Health, #[case] share_holders: usize) {
    let mut members = pair();
    ticks(&mut members, 0, silence);
    assert_eq!(members.health(&"b".into()), Some(expected));
    assert_eq!(members.share_holders().len(), share_holders);
}

/// Guards against heartbeats of an earlier incarnation that keep a member live.
#[test]
fn record_heartbeat_incarnations() {
    let mut members = pair();
    assert!(!members.record_heartbeat("b".into(), "north".into(), 4, ms(100)));
    members.record_stop(&"b".into());
    assert!(!members.record_heartbeat("b".into(), "north".into(), 5, ms(200)));
    assert_eq!(members.share_holders().len(), 1);
    assert!(members.record_heartbeat("b".into(), "north".into(), 6, ms(300)));
    assert_eq!(members.not_dead().len(), 2);
}

/// Guards against an entry that resumes after a pause and uses slots that others have taken over.
#[test]
fn tick_pause() {
    let mut members = pair();
    ticks(&mut members, 0, 1_000);
    members.record_heartbeat("b".into(), "north".into(), 5, ms(1_000));
    assert!(members.may_use_share(ms(1_900)));
    assert!(
        !members.may_use_share(ms(2_500)),
        "the pause must be detected before the next tick"
    );
    let changes = members.tick(ms(9_000));
    assert_eq!(changes[0], Change::Paused(ms(8_000)));
    assert!(!members.may_use_share(ms(9_000)));
    assert_eq!(members.health(&"b".into()), Some(Health::Suspect));
    members.record_heartbeat("b".into(), "north".into(), 5, ms(9_100));
    assert!(
        !members.may_use_share(ms(9_100)),
        "the heartbeat may be from before the pause"
    );
    members.record_heartbeat("b".into(), "north".into(), 5, ms(9_300));
    assert!(members.may_use_share(ms(9_300)));
}

/// Guards against an entry without peers that never gets to use its slots.
#[test]
fn may_use_share_alone() {
    let mut members = Membership::new("a".into(), "north".into(), ms(0));
    ticks(&mut members, 0, 2_400);
    assert!(!members.may_use_share(ms(2_400)));
    ticks(&mut members, 2_500, 2_500);
    assert!(members.may_use_share(ms(2_500)));
}

/// Guards against counting peers of other zones as healthy in this zone.
#[test]
fn healthy_in_zone_other_zone() {
    let mut members = pair();
    members.record_heartbeat("c".into(), "south".into(), 1, ms(0));
    members.tick(ms(100));
    assert_eq!(members.healthy_in_zone().len(), 2);
    assert_eq!(members.healthy().len(), 3);
}
