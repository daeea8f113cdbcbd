//! Tests of the session and the roles of an entry.

use std::collections::BTreeSet;
use std::time::Duration;

use wigeonhinge::id::EntryId;
use wigeonhinged::platform::KeyVersion;
use wigeonhinged::platform::Swap;
use wigeonhinged::session::Answer;
use wigeonhinged::session::Call;
use wigeonhinged::session::Holder;
use wigeonhinged::session::Registration;
use wigeonhinged::session::RoleChange;
use wigeonhinged::session::Session;

const ROLE: &str = "fleet/north";

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn only_candidate() -> BTreeSet<EntryId> {
    BTreeSet::from([EntryId::from("a")])
}

/// Returns a session with lease 1, granted at 0 ms, that wants one role.
fn granted() -> Session {
    let mut session = Session::new(Registration {
        entry: "a".into(),
        ..Registration::default()
    });
    session.set_wanted(BTreeSet::from([ROLE.into()]));
    assert!(
        session
            .due_calls(&only_candidate(), ms(0))
            .contains(&Call::Grant)
    );
    session.handle_answer(Call::Grant, ms(0), Answer::Granted(1), ms(10));
    session
}

fn listed(items: &[(&str, u64)]) -> Answer {
    let items = items.iter().map(|(key, version)| KeyVersion {
        key: (*key).into(),
        version: *version,
    });
    Answer::Listed(items.collect())
}

/// Returns a session that holds the role with fence 5.
fn holding() -> Session {
    let mut session = granted();
    session.handle_answer(Call::ListRoles, ms(10), listed(&[]), ms(20));
    let take = Call::TakeRole(ROLE.into(), 1);
    assert!(session.due_calls(&only_candidate(), ms(30)).contains(&take));
    let effects = session.handle_answer(take, ms(30), Answer::Swapped(Swap::Done(5)), ms(40));
    assert_eq!(effects.changes, [RoleChange::Gained(ROLE.into(), 5)]);
    session
}

/// Guards against acting in a role after the session may have ended.
#[test]
fn role_lease_deadline() {
    let mut session = holding();
    assert_eq!(
        session.role_lease(ROLE, ms(5_499)).expect("lease").fence(),
        5
    );
    assert!(session.role_lease(ROLE, ms(5_500)).is_none());
    session.handle_answer(Call::Renew(1), ms(4_000), Answer::Renewed(true), ms(5_600));
    assert!(session.role_lease(ROLE, ms(9_000)).is_some());
}

/// Guards against roles that outlive their session.
#[test]
fn renew_ended() {
    let mut session = holding();
    let effects = session.handle_answer(Call::Renew(1), ms(100), Answer::Renewed(false), ms(110));
    assert_eq!(effects.changes, [RoleChange::Lost(ROLE.into())]);
    assert!(session.role_lease(ROLE, ms(120)).is_none());
    assert!(
        session
            .due_calls(&only_candidate(), ms(120))
            .contains(&Call::Grant)
    );
}

/// Guards against a role that stays unused because the answer to the call that took it was lost.
#[test]
fn take_role_answer_lost() {
    let mut session = granted();
    session.handle_answer(Call::ListRoles, ms(10), listed(&[]), ms(20));
    let take = Call::TakeRole(ROLE.into(), 1);
    session.due_calls(&only_candidate(), ms(30));
    session.handle_answer(take, ms(30), Answer::Failed, ms(40));
    let answer = listed(&[("role/fleet/north", 5)]);
    let effects = session.handle_answer(Call::ListRoles, ms(50), answer, ms(60));
    assert_eq!(effects.calls, [Call::ReadHolder(ROLE.into())]);
    let holder = Holder {
        holder: "a".into(),
        session: 1,
    };
    let found = Answer::Holder(Some((5, holder)));
    let effects = session.handle_answer(Call::ReadHolder(ROLE.into()), ms(60), found, ms(70));
    assert_eq!(effects.changes, [RoleChange::Gained(ROLE.into(), 5)]);
}

/// Guards against treating a role of a former session as held by the current one.
#[test]
fn read_holder_former_session() {
    let mut session = granted();
    let answer = listed(&[("role/fleet/north", 5)]);
    session.handle_answer(Call::ListRoles, ms(50), answer, ms(60));
    let holder = Holder {
        holder: "a".into(),
        session: 9,
    };
    let found = Answer::Holder(Some((5, holder)));
    let effects = session.handle_answer(Call::ReadHolder(ROLE.into()), ms(60), found, ms(70));
    assert!(effects.changes.is_empty());
    assert!(session.role_lease(ROLE, ms(80)).is_none());
}

/// Guards against two holders after another entry has taken the role.
#[test]
fn list_roles_replaced() {
    let mut session = holding();
    let answer = listed(&[("role/fleet/north", 6)]);
    let effects = session.handle_answer(Call::ListRoles, ms(100), answer, ms(110));
    assert_eq!(effects.changes, [RoleChange::Lost(ROLE.into())]);
}

/// Guards against candidates that all try to take a vacant role at the same time.
#[test]
fn due_calls_delay() {
    let entries: BTreeSet<EntryId> = ["a", "b", "c"].map(EntryId::from).into();
    let delay = wigeonhinge::role::delay(&entries, ROLE, &"a".into()).expect("delay");
    let mut session = granted();
    session.handle_answer(Call::ListRoles, ms(10), listed(&[]), ms(20));
    let take = Call::TakeRole(ROLE.into(), 1);
    let early = ms(19) + delay;
    assert!(!session.due_calls(&entries, early).contains(&take));
    assert!(session.due_calls(&entries, ms(20) + delay).contains(&take));
}

/// Guards against a restarted entry that never replaces its former registration.
#[test]
fn register_restart() {
    let mut session = granted();
    let calls = session.due_calls(&only_candidate(), ms(20));
    assert!(calls.contains(&Call::Register(1, 0)));
    let conflict = Answer::Swapped(Swap::Conflict(3));
    session.handle_answer(Call::Register(1, 0), ms(20), conflict, ms(30));
    assert!(
        session
            .due_calls(&only_candidate(), ms(40))
            .contains(&Call::Register(1, 3))
    );
}

/// Guards against an entry that knows nobody for a list interval, because the list that was under
/// way when it registered lacks the entries that registered meanwhile.
#[test]
fn register_during_list() {
    let mut session = granted();
    session.due_calls(&only_candidate(), ms(20));
    let done = Answer::Swapped(Swap::Done(1));
    session.handle_answer(Call::Register(1, 0), ms(20), done, ms(30));
    let calls = session.due_calls(&only_candidate(), ms(40));
    assert!(!calls.contains(&Call::ListEntries), "a list is under way");
    session.handle_answer(Call::ListEntries, ms(0), listed(&[]), ms(50));
    let calls = session.due_calls(&only_candidate(), ms(60));
    assert!(calls.contains(&Call::ListEntries));
    let own = listed(&[("entry/a", 1)]);
    session.handle_answer(Call::ListEntries, ms(60), own, ms(70));
    let calls = session.due_calls(&only_candidate(), ms(80));
    assert!(!calls.contains(&Call::ListEntries));
}
