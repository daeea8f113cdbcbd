//! Tests of placement, preemption and fault attribution.

use wigeonhinge::id::JobId;
use wigeonhinge::id::Time;
use wigeonhinge::place::Capacity;
use wigeonhinge::place::Diagnosis;
use wigeonhinge::place::FaultTracker;
use wigeonhinge::place::Placer;
use wigeonhinge::place::Request;
use wigeonhinge_schema::fleet::Vm;

#[test]
fn plan_spreads_group() {
    // Guards against the loss of a whole group with one zone or rack.
    let mut placer = placer(12, 0);
    let request = Request {
        group: "web".into(),
        ..request(1_000, 3)
    };
    let mut racks = Vec::new();
    for index in 0..6 {
        let job = JobId::from(format!("web-{index}"));
        let plan = placer.plan(&job, &request).expect("room");
        racks.push(rack(&plan.worker));
        placer.reserve(&job, &plan.worker, &request, Time::ZERO);
    }
    racks.sort_unstable();
    assert_eq!(racks, [0, 1, 2, 3, 4, 5]);
}

#[test]
fn plan_keeps_accelerators() {
    // Guards against jobs without accelerators that occupy workers with
    // accelerators while others are free.
    let placer = placer(4, 4);
    let plan = placer.plan("plain", &request(1_000, 3)).expect("room");
    assert!(plan.worker.as_str() < "w04");
    let mut wanted = request(1_000, 3);
    wanted.size.accelerators = 2;
    let plan = placer.plan("trained", &wanted).expect("room");
    assert!(plan.worker.as_str() >= "w04");
}

#[test]
fn plan_throttles_before_stopping() {
    // Guards against stopped tasks where throttling frees enough cores.
    let mut placer = placer(1, 0);
    run(&mut placer, "long", &request(16_000, 3));
    let plan = placer.plan("now", &urgent(8_000)).expect("room");
    assert!(plan.victims.iter().all(|victim| !victim.stop));
}

#[test]
fn plan_least_urgent_first() {
    // Guards against the preemption of a task while a less urgent one runs.
    let mut placer = placer(2, 0);
    for (job, level) in [("normal", 1), ("idle", 3)] {
        let mut wanted = request(16_000, level);
        wanted.size.memory_mb = 16_000;
        run(&mut placer, job, &wanted);
    }
    let mut wanted = urgent(4_000);
    wanted.size.memory_mb = 8_000;
    let plan = placer.plan("now", &wanted).expect("room");
    assert_eq!(plan.victims.len(), 1);
    assert_eq!(plan.victims[0].job, "idle");
    assert!(plan.victims[0].stop);
}

#[test]
fn plan_never_stops_unrestartable() {
    // Guards against a second start of a job that is not idempotent, after a
    // preemption.
    let mut placer = placer(1, 0);
    let mut wanted = request(16_000, 3);
    wanted.size.memory_mb = 16_000;
    wanted.restartable = false;
    wanted.any_worker = true;
    run(&mut placer, "once", &wanted);
    let mut now = urgent(1_000);
    now.size.memory_mb = 8_000;
    assert_eq!(placer.plan("now", &now), None);
}

#[test]
fn claim_keeps_worker() {
    // Guards against the starvation of a large job by small ones.
    let mut placer = placer(1, 0);
    run(&mut placer, "small", &request(4_000, 3));
    let large = request(16_000, 3);
    assert!(placer.claim(&"large".into(), &large));
    assert_eq!(placer.plan("other", &request(1_000, 3)), None);
    placer.release("small");
    assert!(placer.plan("large", &large).is_some());
}

#[test]
fn shortage_names_zone() {
    // Guards against a refusal that does not say what is missing.
    let placer = placer(4, 0);
    let size = Capacity {
        millicores: 1_000,
        memory_mb: 1_000,
        accelerators: 1,
    };
    let shortage = placer.shortage(size, "zone-0").expect("nothing fits");
    assert_eq!(
        shortage,
        "on a worker of zone zone-0: 1 accelerators needed, 0 at most"
    );
    assert_eq!(
        placer.shortage(size, "moon").as_deref(),
        Some("zone moon has no worker")
    );
}

#[test]
fn record_failure_faulty_job_clears_workers() {
    // Guards against the quarantine of workers because of a faulty job.
    let mut faults = FaultTracker::default();
    faults.record_success("w0", "fine");
    for worker in ["w0", "w1"] {
        assert_eq!(
            faults.record_failure(&worker.into(), &"bad".into()),
            Diagnosis::Retry
        );
    }
    let verdict = faults.record_failure(&"w2".into(), &"bad".into());
    assert_eq!(verdict, Diagnosis::FaultyJob);
    assert!(
        ["w0", "w1", "w2"]
            .iter()
            .all(|worker| !faults.is_faulty_worker(worker))
    );
}

fn placer(plain: usize, accelerated: usize) -> Placer {
    let vms: Vec<Vm> = (0..plain + accelerated)
        .map(|index| Vm {
            name: format!("w{index:02}"),
            zone: format!("zone-{}", index / 2 % 3),
            rack: format!("rack-{}", index / 2),
            cores: 16,
            memory_mb: 16_384,
            accelerators: if index < plain { 0 } else { 4 },
            ..Vm::default()
        })
        .collect();
    let mut placer = Placer::new(&vms);
    for vm in &vms {
        placer.set_usable(&vm.name, true);
    }
    placer
}

fn rack(worker: &str) -> usize {
    let number = worker.trim_start_matches('w').parse::<usize>();
    number.expect("worker number") / 2
}

fn run(placer: &mut Placer, job: &str, request: &Request) {
    let plan = placer.plan(job, request).expect("room");
    placer.reserve(&job.into(), &plan.worker, request, Time::ZERO);
    placer.set_running(job);
}

fn urgent(millicores: i32) -> Request {
    Request {
        preempt: true,
        ..request(millicores, 0)
    }
}

fn request(millicores: i32, level: usize) -> Request {
    Request {
        size: Capacity {
            millicores,
            memory_mb: 512,
            accelerators: 0,
        },
        level,
        restartable: true,
        ..Request::default()
    }
}
