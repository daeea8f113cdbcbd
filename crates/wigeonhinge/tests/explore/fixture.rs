//! Fleet, job and events of the explored model.

use std::time::Duration;

use wigeonhinge::scheduler::Event;
use wigeonhinge::scheduler::Reply;
use wigeonhinge::scheduler::WorkerReport;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::jobs::Job;
use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::ledger::Phase;

/// Returns what the scheduler sees when this answer is lost.
pub(super) fn lost(event: &Event) -> Event {
    match event {
        Event::Reply {
            worker,
            task,
            command,
            ..
        } => Event::Reply {
            worker: worker.clone(),
            task: task.clone(),
            command: *command,
            incarnation: 0,
            reply: Reply::Lost,
        },
        _ => Event::StoreUnavailable,
    }
}

/// Returns a lease that does not end during the exploration.
pub(super) fn lease(fence: u64) -> Event {
    Event::Lease {
        fence,
        until: Duration::from_secs(1_000_000),
    }
}

pub(super) fn job() -> Job {
    Job {
        id: "pay".into(),
        priority: 0,
        size: Some(Size {
            millicores: 1_000,
            memory_mb: 1_024,
            accelerators: 0,
        }),
        idempotent: false,
        ..Job::default()
    }
}

pub(super) fn fleet() -> Fleet {
    let vm = |name: &str| Vm {
        name: name.into(),
        pool: "crews".into(),
        zone: "zone".into(),
        rack: name.into(),
        cores: 4,
        memory_mb: 8_192,
        accelerators: 0,
    };
    Fleet {
        inventory: vec![vm("w0"), vm("w1")],
        ..Fleet::default()
    }
}

/// Returns the event that reports one worker as active and no other.
pub(super) fn phases(active: &str) -> Event {
    Event::Phases([(active.into(), Phase::Active)].into())
}

pub(super) fn reports() -> Vec<WorkerReport> {
    let report = |name: &str| WorkerReport {
        worker: name.into(),
        incarnation: 1,
        tasks: Vec::new(),
    };
    vec![report("w0"), report("w1")]
}
