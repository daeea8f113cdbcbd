//! Tests of the platform client against the stand-in platform.

use std::io::Read;
use std::io::Write;
use std::time::Duration;

use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::test_runner::Config as Settings;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_standin::platform::Mode;
use wigeonhinge_standin::platform::Platform as Standin;
use wigeonhinge_standin::vms::State;
use wigeonhinge_standin::workers::Faults;
use wigeonhinged::platform::Authority;
use wigeonhinged::platform::Effect;
use wigeonhinged::platform::HttpPlatform;
use wigeonhinged::platform::Platform;
use wigeonhinged::platform::StartRequest;
use wigeonhinged::platform::Swap;
use wigeonhinged::platform::TaskAnswer;
use wigeonhinged::platform::TaskCommand;
use wigeonhinged::platform::TaskReply;
use wigeonhinged::platform::TaskState;
use wigeonhinged::platform::VmState;
use wigeonhinged::platform::WorkerCommand;
use wigeonhinged::platform::WorkerReply;
use wigeonhinged::platform::WorkerState;

fn setup() -> (Standin, HttpPlatform) {
    let standin = Standin::spawn().expect("stand-in");
    let client = HttpPlatform::new(&standin.base(), "entry-1").expect("client");
    let client = client.with_timeout(Duration::from_millis(300));
    (standin, client)
}

async fn read(client: &HttpPlatform, key: &str) -> Option<(u64, Value)> {
    let document = client.get(key).await.expect("get");
    document.map(|document| (document.version, document.value))
}

/// Guards against a compare-and-swap that overwrites a version other than the expected one.
#[compio::test]
async fn put_conflict() {
    let (_standin, client) = setup();
    let value = json!({ "a": 1 });
    let first = client.put("config", &value, 0, None).await;
    assert_eq!(first, Ok(Swap::Done(1)));
    let conflicting = client.put("config", &json!(2), 0, None).await;
    assert_eq!(conflicting, Ok(Swap::Conflict(1)));
    assert_eq!(read(&client, "config").await, Some((1, value)));
}

/// Guards against a key whose version starts over when the key is created again.
#[compio::test]
async fn delete_version() {
    let (_standin, client) = setup();
    client.put("k", &1, 0, None).await.expect("put");
    let deleted = client.delete("k", 1).await;
    assert_eq!(deleted, Ok(Swap::Done(1)));
    assert_eq!(read(&client, "k").await, None);
    let again = client.put("k", &1, 0, None).await;
    assert_eq!(again, Ok(Swap::Done(2)));
}

/// Guards against reporting no effect for a write whose answer was lost.
#[compio::test]
async fn put_answer_lost() {
    let (standin, client) = setup();
    standin.state().lose_answers = 1;
    let error = client.put("k", &1, 0, None).await.expect_err("lost");
    assert_eq!(error.effect(), Effect::Unknown);
    assert_eq!(read(&client, "k").await, Some((1, json!(1))));
}

/// Guards against calls that never end because the platform does not answer.
#[compio::test]
async fn put_timeout() {
    let (standin, client) = setup();
    standin.state().mode = Mode::Hang;
    let error = client.put("k", &1, 0, None).await.expect_err("hangs");
    assert_eq!(error.effect(), Effect::Unknown);
}

/// Guards against reporting an unknown outcome when no connection could be made.
#[compio::test]
async fn put_connection_refused() {
    let (standin, client) = setup();
    drop(standin);
    let error = client.put("k", &1, 0, None).await.expect_err("no server");
    assert_eq!(error.effect(), Effect::None);
}

/// Guards against keys that outlive their lease.
#[compio::test]
async fn lease_ended() {
    let (standin, client) = setup();
    let lease = client.grant("entry-1", Duration::from_secs(6)).await;
    let lease = lease.expect("grant");
    client.put("role/x", &1, 0, Some(lease)).await.expect("put");
    assert_eq!(client.renew(lease).await, Ok(true));
    assert_eq!(client.list("role/").await.expect("list").len(), 1);
    standin.state().store.lapse("entry-1");
    assert_eq!(client.renew(lease).await, Ok(false));
    assert_eq!(read(&client, "role/x").await, None);
    let delayed = client.put("role/x", &1, 0, Some(lease)).await;
    assert_eq!(delayed.expect_err("ended").effect(), Effect::None);
}

/// Guards against watches that miss a write or return a value without one.
#[compio::test]
async fn watch_write() {
    let (standin, client) = setup();
    let none = client.watch::<Value>("k", 0, Duration::ZERO).await;
    assert_eq!(none, Ok(None));
    let writer = compio::runtime::spawn(async move {
        compio::time::sleep(Duration::from_millis(50)).await;
        let written = standin.state().store.put("k", json!(5), 0, None);
        (standin, written)
    });
    let seen = client.watch::<Value>("k", 0, Duration::from_secs(5)).await;
    assert_eq!(seen.expect("watch").expect("value").value, json!(5));
    assert!(writer.await.expect("writer").1.is_ok());
}

/// Guards against a stand-in whose VM list does not lag by the delay that is set.
#[compio::test]
async fn vms_lag() {
    let (standin, client) = setup();
    let now = std::time::Instant::now();
    standin.state().vms.set("vm", State::Live, now);
    standin.state().vms.lag(Duration::from_millis(100));
    compio::time::sleep(Duration::from_millis(150)).await;
    let now = std::time::Instant::now();
    standin.state().vms.set("vm", State::Leaving, now);
    let lagging = client.vms().await.expect("list");
    assert_eq!(lagging.vms[0].state, VmState::Live);
    compio::time::sleep(Duration::from_millis(150)).await;
    let current = client.vms().await.expect("list");
    assert_eq!(current.vms[0].state, VmState::Leaving);
}

fn start(fence: u64) -> StartRequest {
    StartRequest {
        id: "job".into(),
        role: "jobs/crews".into(),
        fence,
        boot: 1,
        lease_ms: 10_000,
        millicores: 100,
        memory_mb: 64,
        accelerators: 0,
        resume: false,
    }
}

fn answer(state: TaskState, ran: bool) -> TaskReply {
    let boot = 1;
    TaskReply::Answer(TaskAnswer { state, ran, boot })
}

fn authority(fence: u64) -> Authority<'static> {
    let role = "jobs/crews";
    Authority { role, fence }
}

/// Guards against the fence of one role that blocks another role: fences of different roles
/// are not comparable.
#[compio::test]
async fn worker_fence_per_role() {
    let (standin, client) = setup();
    standin.state().workers.add("vm");
    let running = answer(TaskState::Running, true);
    assert_eq!(client.start_task("vm", &start(5)).await, Ok(running));
    let fleet = Authority {
        role: "fleet/west",
        fence: 1,
    };
    let drain = client
        .command_worker("vm", WorkerCommand::Drain, fleet, 1)
        .await;
    assert_eq!(drain, Ok(WorkerReply::Done));
}

/// Guards against a delayed copy of a reboot command that restarts a worker a second time.
#[compio::test]
async fn command_worker_delayed() {
    let (standin, client) = setup();
    standin.state().workers.add("vm");
    for _ in 0..2 {
        let reboot = client
            .command_worker("vm", WorkerCommand::Reboot, authority(1), 3)
            .await;
        assert_eq!(reboot, Ok(WorkerReply::Done));
        compio::time::sleep(Duration::from_millis(300)).await;
        let list = client.workers(&["vm".into()]).await.expect("list");
        assert_eq!((list.workers[0].boot, list.workers[0].step), (2, 0));
    }
    let outdated = client
        .command_worker("vm", WorkerCommand::Drain, authority(1), 2)
        .await;
    assert!(
        matches!(outdated, Ok(WorkerReply::Refused(_))),
        "{outdated:?}"
    );
}

/// Guards against a former holder of a role that still commands a worker.
#[compio::test]
async fn worker_fence_former_holder() {
    let (standin, client) = setup();
    standin.state().workers.add("vm");
    let running = answer(TaskState::Running, true);
    assert_eq!(client.start_task("vm", &start(5)).await, Ok(running));
    assert_eq!(client.start_task("vm", &start(5)).await, Ok(running));
    assert_eq!(standin.state().workers.starts("vm"), 1);
    let former = client
        .command_task("vm", "job", TaskCommand::Stop, authority(4))
        .await;
    assert_eq!(former, Ok(TaskReply::Fenced(5)));
    let stop = client
        .command_task("vm", "job", TaskCommand::Stop, authority(5))
        .await;
    assert_eq!(stop, Ok(answer(TaskState::Stopped, true)));
}

/// Guards against a delayed start that runs a task which was stopped in the meantime, or
/// which was meant for another boot.
#[compio::test]
async fn start_task_delayed() {
    let (standin, client) = setup();
    standin.state().workers.add("vm");
    let stop = client
        .command_task("vm", "job", TaskCommand::Stop, authority(5))
        .await;
    assert_eq!(stop, Ok(answer(TaskState::Refused, false)));
    let delayed = client.start_task("vm", &start(5)).await;
    assert_eq!(delayed, Ok(answer(TaskState::Refused, false)));
    let mut other = start(5);
    other.id = "other".into();
    other.boot = 2;
    let other_boot = client.start_task("vm", &other).await;
    assert_eq!(other_boot, Ok(answer(TaskState::Refused, false)));
    assert_eq!(standin.state().workers.starts("vm"), 0);
}

/// Guards against a stand-in that hides a failed start or a worker that is broken after a reboot.
#[compio::test]
async fn worker_broken() {
    let (standin, client) = setup();
    let faults = Faults {
        broken: true,
        fails: true,
        ..Faults::default()
    };
    standin.state().workers.add("vm");
    standin.state().workers.faults("vm", faults);
    let failed = answer(TaskState::Failed, false);
    assert_eq!(client.start_task("vm", &start(1)).await, Ok(failed));
    let list = client.workers(&["vm".into()]).await.expect("list");
    assert_eq!(list.workers[0].tasks[0].state, TaskState::Failed);
    let reboot = client
        .command_worker("vm", WorkerCommand::Reboot, authority(1), 1)
        .await;
    assert_eq!(reboot, Ok(WorkerReply::Done));
    compio::time::sleep(Duration::from_millis(300)).await;
    let list = client.workers(&["vm".into()]).await.expect("list");
    assert_eq!(list.workers[0].state, WorkerState::Broken);
}

/// Listens for one connection, answers it with `bytes` and returns the base URL.
fn serve_once(bytes: Vec<u8>) -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        let _ = stream.write_all(&bytes);
    });
    format!("http://{address}")
}

fn watch_answer(bytes: Vec<u8>) {
    let base = serve_once(bytes);
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let client = HttpPlatform::new(&base, "entry-1").expect("client");
        let client = client.with_timeout(Duration::from_millis(200));
        let _ = client.watch::<Config>("config", 0, Duration::ZERO).await;
    });
}

proptest! {
    #![proptest_config(Settings {
        cases: 100,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Settings::default()
    })]

    /// Guards against a panic on an answer that is not valid HTTP.
    #[test]
    fn answer_arbitrary(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        watch_answer(bytes);
    }

    /// Guards against a panic on a body that is not a configuration.
    #[test]
    fn answer_body_arbitrary(body in "[\\[\\]{}\":,a-z0-9]{0,80}") {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let document = format!("{head}{body}");
        watch_answer(document.into_bytes());
    }
}
