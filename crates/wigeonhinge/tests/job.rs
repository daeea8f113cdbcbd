//! Tests of job transitions and of the log of a pool.

use rstest::rstest;
use wigeonhinge::id::Time;
use wigeonhinge::job::JobEvent;
use wigeonhinge::job::Jobs;
use wigeonhinge::job::log;
use wigeonhinge::job::log::Log;
use wigeonhinge::job::log::Outcome;
use wigeonhinge::scheduler::Action;
use wigeonhinge::scheduler::LogEntry;
use wigeonhinge_schema::jobs::Batch;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::State;

#[rstest]
#[case(false, true, false)]
#[case(false, false, true)]
#[case(true, true, true)]
fn requeue_after_run(#[case] idempotent: bool, #[case] ran: bool, #[case] allowed: bool) {
    // Guards against a second start of a job that is not idempotent.
    let mut jobs = started(idempotent);
    let job = "a".into();
    let result = jobs.apply(JobEvent::Requeue { job, ran });
    assert_eq!(result.is_ok(), allowed);
}

#[test]
fn end_is_final() {
    // Guards against an ended job whose result changes.
    let mut jobs = started(true);
    let end = |state| JobEvent::End {
        job: "a".into(),
        state,
        reason: String::new(),
    };
    assert!(jobs.apply(end(State::Cancelled)).is_ok());
    assert!(jobs.apply(end(State::Done)).is_err());
    assert_eq!(jobs.open_count(), 0);
}

#[test]
fn on_stored_reused_position() {
    // Guards against an acceptance on the strength of a position that was used and
    // trimmed before, which shows that the writer's view is outdated.
    let mut log = log();
    log.append(Vec::new(), Time::ZERO);
    assert_eq!(log.on_stored(1, 2), Outcome::Superseded);
}

#[test]
fn conflict_with_own_batch() {
    // Guards against taking the own batch, whose answer was lost, for that of another
    // writer.
    let mut log = log();
    let Action::Append(batch) = log.append(vec![Job::default()], Time::ZERO) else {
        panic!("no append");
    };
    let wait = log.on_conflict(1, Time::ZERO);
    assert_eq!(wait, Outcome::Wait(vec![Action::Read { seq: 1 }]));
    let entry = LogEntry {
        version: 1,
        batch: (*batch).clone(),
    };
    assert_eq!(
        log.on_read(1, Some(entry), Time::ZERO),
        Outcome::Stored(batch)
    );
}

#[rstest]
#[case(9, Outcome::Superseded)]
#[case(3, Outcome::Reload)]
fn conflict_with_other(#[case] fence: u64, #[case] expected: Outcome) {
    // Guards against two writers that both consider a position their own.
    let mut log = log();
    log.append(Vec::new(), Time::ZERO);
    log.on_conflict(1, Time::ZERO);
    let entry = entry(1, fence);
    assert_eq!(log.on_read(1, Some(entry), Time::ZERO), expected);
}

#[test]
fn replay_refuses_gap() {
    // Guards against a replay that skips a trimmed batch.
    let batches = vec![entry(1, 1), entry(3, 1)];
    assert_eq!(log::replay(None, batches, &mut |_| {}), None);
}

fn started(idempotent: bool) -> Jobs {
    let mut jobs = Jobs::default();
    let job = Job {
        id: "a".into(),
        idempotent,
        ..Job::default()
    };
    let accept = JobEvent::Accept(Box::new(job));
    let start = JobEvent::Start {
        job: "a".into(),
        worker: "w".into(),
        incarnation: 1,
        fence: 1,
    };
    jobs.apply(accept).expect("accepted");
    jobs.apply(start).expect("started");
    jobs
}

fn log() -> Log {
    Log::new("crews".into(), "entry".into(), 5, 0, 0)
}

fn entry(seq: u64, fence: u64) -> LogEntry {
    LogEntry {
        version: 1,
        batch: Batch {
            seq,
            fence,
            ..Batch::default()
        },
    }
}
