//! Tests of the session and the roles of an entry.

use std::collections::BTreeSet;
use std::time::Duration;

use wigeonhinge::id::EntryId;
use wigeonhinged::control::Answer;
use wigeonhinged::control::Call;
use wigeonhinged::control::Control;
use wigeonhinged::control::Entry;
use wigeonhinged::control::Holder;
use wigeonhinged::control::Notice;
use wigeonhinged::platform::Item;
use wigeonhinged::platform::Swap;

const ROLE: &str = "fleet/north";

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn alone() -> BTreeSet<EntryId> {
    BTreeSet::from([EntryId::from("a")])
}

/// Returns a control with session 1, granted at 0 ms, that wants one role.
fn opened() -> Control {
    let mut control = Control::new(Entry {
        entry: "a".into(),
        ..Entry::default()
    });
    control.want(BTreeSet::from([ROLE.into()]));
    assert!(control.due(&alone(), ms(0)).contains(&Call::Grant));
    control.done(Call::Grant, ms(0), Answer::Granted(1), ms(10));
    control
}

fn listed(items: &[(&str, u64)]) -> Answer {
    let items = items.iter().map(|(key, version)| Item {
        key: (*key).into(),
        version: *version,
    });
    Answer::Listed(items.collect())
}

/// Returns a control that holds the role with fence 5.
fn holding() -> Control {
    let mut control = opened();
    control.done(Call::Roles, ms(10), listed(&[]), ms(20));
    let take = Call::Take(ROLE.into(), 1);
    assert!(control.due(&alone(), ms(30)).contains(&take));
    let done = control.done(take, ms(30), Answer::Swapped(Swap::Done(5)), ms(40));
    assert_eq!(done.notices, [Notice::Gained(ROLE.into(), 5)]);
    control
}

/// Guards against acting after the session may have ended.
#[test]
fn permit_deadline() {
    let mut control = holding();
    assert_eq!(control.permit(ROLE, ms(5_499)).expect("lease").fence(), 5);
    assert!(control.permit(ROLE, ms(5_500)).is_none());
    control.done(Call::Renew(1), ms(4_000), Answer::Renewed(true), ms(5_600));
    assert!(control.permit(ROLE, ms(9_000)).is_some());
}

/// Guards against roles that survive the end of their session.
#[test]
fn renew_ended() {
    let mut control = holding();
    let done = control.done(Call::Renew(1), ms(100), Answer::Renewed(false), ms(110));
    assert_eq!(done.notices, [Notice::Lost(ROLE.into())]);
    assert!(control.permit(ROLE, ms(120)).is_none());
    assert!(control.due(&alone(), ms(120)).contains(&Call::Grant));
}

/// Guards against a role that nobody acts in after the answer to its taking was lost.
#[test]
fn take_answer_lost() {
    let mut control = opened();
    control.done(Call::Roles, ms(10), listed(&[]), ms(20));
    let take = Call::Take(ROLE.into(), 1);
    control.due(&alone(), ms(30));
    control.done(take, ms(30), Answer::Failed, ms(40));
    let answer = listed(&[("role/fleet/north", 5)]);
    let done = control.done(Call::Roles, ms(50), answer, ms(60));
    assert_eq!(done.calls, [Call::Check(ROLE.into())]);
    let holder = Holder {
        holder: "a".into(),
        session: 1,
    };
    let found = Answer::Holder(Some((5, holder)));
    let done = control.done(Call::Check(ROLE.into()), ms(60), found, ms(70));
    assert_eq!(done.notices, [Notice::Gained(ROLE.into(), 5)]);
}

/// Guards against a role of a former session that counts for the current one.
#[test]
fn check_other_session() {
    let mut control = opened();
    let answer = listed(&[("role/fleet/north", 5)]);
    control.done(Call::Roles, ms(50), answer, ms(60));
    let holder = Holder {
        holder: "a".into(),
        session: 9,
    };
    let found = Answer::Holder(Some((5, holder)));
    let done = control.done(Call::Check(ROLE.into()), ms(60), found, ms(70));
    assert!(done.notices.is_empty());
    assert!(control.permit(ROLE, ms(80)).is_none());
}

/// Guards against two holders after another entry has taken the role.
#[test]
fn roles_replaced() {
    let mut control = holding();
    let answer = listed(&[("role/fleet/north", 6)]);
    let done = control.done(Call::Roles, ms(100), answer, ms(110));
    assert_eq!(done.notices, [Notice::Lost(ROLE.into())]);
}

/// Guards against candidates that all ask at once.
#[test]
fn due_delay() {
    let entries: BTreeSet<EntryId> = ["a", "b", "c"].map(EntryId::from).into();
    let delay = wigeonhinge::role::delay(&entries, ROLE, &"a".into()).expect("delay");
    let mut control = opened();
    control.done(Call::Roles, ms(10), listed(&[]), ms(20));
    let take = Call::Take(ROLE.into(), 1);
    let early = ms(19) + delay;
    assert!(!control.due(&entries, early).contains(&take));
    assert!(control.due(&entries, ms(20) + delay).contains(&take));
}

/// Guards against a restarted entry that never replaces its former registry key.
#[test]
fn register_restart() {
    let mut control = opened();
    let calls = control.due(&alone(), ms(20));
    assert!(calls.contains(&Call::Register(1, 0)));
    let conflict = Answer::Swapped(Swap::Conflict(3));
    control.done(Call::Register(1, 0), ms(20), conflict, ms(30));
    assert!(
        control
            .due(&alone(), ms(40))
            .contains(&Call::Register(1, 3))
    );
}
