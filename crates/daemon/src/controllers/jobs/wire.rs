//! Translation between the scheduler and the messages of submitters and workers.

use std::collections::BTreeMap;

use compact_str::format_compact;
use wigeonhinge::Time;
use wigeonhinge::id::RegionId;
use wigeonhinge::id::VmId;
use wigeonhinge::scheduler;
use wigeonhinge::scheduler::Answer;
use wigeonhinge::scheduler::Command;
use wigeonhinge::scheduler::Event;
use wigeonhinge::scheduler::Reply;
use wigeonhinge::scheduler::Task;
use wigeonhinge::scheduler::TaskReport;
use wigeonhinge::scheduler::WorkerReport;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::jobs::Size;
use wigeonhinge_schema::ledger::Phase;

use crate::plane::JobAnswer;
use crate::plane::JobRequest;
use crate::plane::Order;
use crate::plane::Outcome;
use crate::plane::RegionView;
use crate::platform;
use crate::platform::StartRequest;
use crate::platform::TaskAnswer;
use crate::platform::TaskCommand;
use crate::platform::TaskReply;
use crate::platform::TaskState;

pub(super) fn job_event(ticket: u64, ask: JobRequest) -> Event {
    match ask {
        JobRequest::Submit(job) => Event::Submit { ticket, job },
        JobRequest::Cancel(job) => Event::Cancel { ticket, job },
        JobRequest::Show(job) => Event::Query { ticket, job },
    }
}

pub(super) fn job_answer(answer: Answer) -> JobAnswer {
    let (state, reason) = match answer {
        Answer::Accepted => ("accepted", Default::default()),
        Answer::Refused(reason) => ("refused", reason),
        Answer::Running(worker) => ("running", format_compact!("on {worker}")),
        Answer::Done => ("done", Default::default()),
        Answer::Failed(reason) => ("failed", reason),
        Answer::Cancelled => ("cancelled", Default::default()),
        Answer::Impossible(reason) => ("impossible", reason),
        Answer::Unknown(reason) => ("unknown", reason),
    };
    JobAnswer {
        state: state.into(),
        reason,
    }
}

/// Returns the phase of each VM of the pool.
///
/// A VM that a region reports as out of service counts as cordoned.
pub(super) fn vm_phases(
    fleet: &Fleet,
    pool: &str,
    regions: &BTreeMap<RegionId, RegionView>,
) -> BTreeMap<VmId, Phase> {
    let phase = |name: &str| match regions.values().any(|view| view.inactive.contains(name)) {
        true => Phase::Cordoned,
        false => Phase::Active,
    };
    fleet
        .inventory
        .iter()
        .filter(|vm| vm.pool == pool)
        .map(|vm| (VmId::from(&vm.name), phase(&vm.name)))
        .collect()
}

pub(super) fn worker_region<'a>(fleet: &'a Fleet, worker: &str) -> Option<&'a str> {
    let vm = fleet.inventory.iter().find(|vm| vm.name == worker)?;
    let zones = &fleet.rules.as_ref()?.zones;
    let zone = zones.iter().find(|zone| zone.name == vm.zone)?;
    Some(&zone.region)
}

pub(super) fn task_order(worker: &VmId, task: &Task, command: Command) -> Order {
    let id = task.to_string();
    let command = match command {
        Command::Start {
            size,
            resume,
            ttl,
            incarnation,
        } => {
            return Order::Start(
                worker.clone(),
                start_request(&id, size, resume, (ttl, incarnation)),
            );
        }
        Command::Renew => TaskCommand::Renew {
            lease_ms: millis(scheduler::TASK_TTL),
        },
        Command::Checkpoint => TaskCommand::Checkpoint,
        Command::Throttle { percent } => TaskCommand::Throttle { percent },
        Command::Stop => TaskCommand::Stop,
    };
    Order::Task(worker.clone(), id, command)
}

/// Returns the request to start a task; role and fence are filled in when it is sent.
pub(super) fn start_request(
    id: &str,
    size: Size,
    resume: bool,
    (ttl, boot): (Time, u64),
) -> StartRequest {
    StartRequest {
        id: id.into(),
        role: Default::default(),
        fence: 0,
        boot,
        lease_ms: millis(ttl),
        millicores: size.millicores,
        memory_mb: size.memory_mb,
        accelerators: size.accelerators,
        resume,
    }
}

pub(super) fn millis(time: Time) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the worker's boot number, or 0 without an answer, and the scheduler's form of the reply.
pub(super) fn task_reply(outcome: Option<Outcome>) -> (u64, Reply) {
    match outcome {
        Some(Outcome::Task(TaskReply::Answer(answer))) => (answer.boot, scheduler_reply(answer)),
        Some(Outcome::Task(TaskReply::Absent)) => (0, Reply::Absent),
        Some(Outcome::Task(TaskReply::Fenced(_))) => (0, Reply::Fenced),
        _ => (0, Reply::Lost),
    }
}

pub(super) fn scheduler_reply(answer: TaskAnswer) -> Reply {
    match answer.state {
        TaskState::Running => Reply::Running,
        TaskState::Done => Reply::Done,
        TaskState::Failed if answer.ran => Reply::Failed("the task failed".into()),
        TaskState::Failed => Reply::StartFailed("the worker could not start the task".into()),
        TaskState::Stopped | TaskState::Refused => Reply::Stopped { ran: answer.ran },
    }
}

pub(super) fn worker_report(worker: &platform::Worker) -> WorkerReport {
    // A refused start tells nothing about the attempt that the worker was asked to run.
    let task = |task: &platform::Task| {
        let state = match task.state {
            TaskState::Running => scheduler::TaskState::Running,
            TaskState::Done => scheduler::TaskState::Done,
            TaskState::Failed => scheduler::TaskState::Failed("the task failed".into()),
            TaskState::Stopped => scheduler::TaskState::Stopped,
            TaskState::Refused => return None,
        };
        let usage = task.usage.map_or(Size::default(), |usage| Size {
            millicores: usage.millicores,
            memory_mb: usage.memory_mb,
            accelerators: 0,
        });
        Some(TaskReport {
            task: Task::parse(&task.id)?,
            state,
            peak: usage,
        })
    };
    WorkerReport {
        worker: worker.vm.clone(),
        incarnation: worker.boot,
        tasks: worker
            .tasks
            .iter()
            .filter(|task| task.ran)
            .filter_map(task)
            .collect(),
    }
}
