//! Workers that start again under their identifiers, take calls that were meant for their former
//! lives, and are cut off soon after, while long tasks run.

#[path = "support/entry.rs"]
mod entry;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use entry::Entry;
use entry::wait;
use site::Site;
use site::proxy::Mode;

const WORKERS: usize = 8;

/// Workers that restart, the others stay.
const REBORN: usize = 3;

/// Time until the workers' clocks are ahead of those of the next lives by more than a lease.
const FIRST_LIFE: Duration = Duration::from_secs(7);

/// Time for which a worker answers nothing until its next life begins.
const SILENCE: Duration = Duration::from_millis(600);

/// Time from the beginning of the silence, and from its end, until a long job is submitted.
const SUBMISSION: Duration = Duration::from_millis(50);

/// Time for which a worker is cut off after its restart.
const CUT: Duration = Duration::from_secs(9);

/// Pause between two jobs with short tasks.
const PAUSE: Duration = Duration::from_millis(80);

/// Tasks of a long job, which take three workers.
const LONG_TASKS: u64 = 24;

/// Long jobs: one that is submitted while the workers are silent, and one after their restart.
const LONG_JOBS: [&str; 2] = ["a000000000000001", "a000000000000002"];

/// Time in which all jobs have to end once there is no disruption any more: the platform's 14 s and
/// one more run of a long task.
const FINISH: Duration = Duration::from_secs(26);

/// Time between two checks of the workers' leases.
const LEASE_CHECK: Duration = Duration::from_millis(5);

/// Submits a job of some tasks of half a core; returns whether it was accepted.
fn submit(site: &Site, entry: &Entry, id: &str, (spec, count): (&str, u64)) -> bool {
    let job = format!(
        r#"{{"spec":"{spec}","steps":[{{"count":{count},"cpu":500,"memMb":10,"estimateMs":500}}]}}"#
    );
    site.oracle.submitted(id, spec, &[count]);
    let response = entry.ask("POST", &format!("/jobs/{id}"), &job);
    response.is_some_and(|it| it.0 == 200)
}

/// Submits jobs with short tasks until it is told to stop; returns the accepted ones.
fn submit_short(site: &Site, entry: &Entry, stop: &AtomicBool) -> Vec<String> {
    let mut accepted = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{number:016x}");
        if submit(site, entry, &id, ("short", 2)) {
            accepted.push(id);
        }
        thread::sleep(PAUSE);
    }
    accepted
}

fn restart(site: &Site, index: usize, born: u64) {
    site.workers[index].restart();
    let key = format!("servers/i-{index}");
    let entry = site.value(&key).expect("a registry entry");
    let from = entry.find("\"born\":").expect("a start");
    let rest = entry[from..].find([',', '}']).expect("more fields");
    let entry = format!("{}\"born\":{born}{}", &entry[..from], &entry[from + rest..]);
    site.put(&key, &entry);
}

/// Guards against runs that go on beside their next ones: starts and leases that were meant for the
/// former life of a worker are carried out by its next one, which is then cut off, in one case while
/// the role holder is killed.
#[rstest]
#[case::at_once(Duration::from_millis(100), false)]
#[case::later(Duration::from_millis(700), false)]
#[case::with_holder(Duration::from_millis(700), true)]
fn reborn_cut_off(#[case] delay: Duration, #[case] kill: bool) {
    let site = Site::spawn(WORKERS);
    let mut holder = Entry::spawn(site.store, "e1");
    wait("the first entry holds the role", || {
        site.value("wigeonhinge/role/0").is_some()
    });
    let entry = Entry::spawn(site.store, "e2");
    entry.wait_ready();
    let stop = Arc::new(AtomicBool::new(false));
    let jobs = thread::scope(|scope| {
        let submitting = scope.spawn(|| submit_short(&site, &entry, &stop));
        scope.spawn(|| {
            while !stop.load(Ordering::SeqCst) {
                site.workers.iter().for_each(|worker| worker.expire());
                thread::sleep(LEASE_CHECK);
            }
        });
        thread::sleep(FIRST_LIFE);
        let set_links = |mode| {
            let links = site.proxies.iter().take(REBORN);
            links.for_each(|link| link.set_mode(mode));
        };
        set_links(Mode::Hold);
        (0..REBORN).for_each(|index| site.workers[index].restart());
        thread::sleep(SUBMISSION);
        let long = (site::worker::LONG, LONG_TASKS);
        let mut accepted = vec![submit(&site, &entry, LONG_JOBS[0], long)];
        thread::sleep(SILENCE - SUBMISSION);
        (0..REBORN).for_each(|index| restart(&site, index, 3));
        set_links(Mode::Pass);
        thread::sleep(SUBMISSION);
        accepted.push(submit(
            &site,
            &entry,
            LONG_JOBS[1],
            (long.0, LONG_TASKS / 2),
        ));
        thread::sleep(delay - SUBMISSION);
        set_links(Mode::Hold);
        if kill {
            holder.child.kill().expect("the holder is killed");
        }
        thread::sleep(CUT);
        set_links(Mode::Pass);
        thread::sleep(Duration::from_secs(1));
        stop.store(true, Ordering::SeqCst);
        assert_eq!(accepted, [true, true]);
        let mut jobs = submitting.join().expect("the submitted jobs");
        jobs.extend(LONG_JOBS.map(String::from));
        jobs
    });
    let deadline = Instant::now() + FINISH;
    let open = || -> Vec<&String> {
        let jobs = jobs.iter();
        jobs.filter(|id| !site.oracle.is_complete(id)).collect()
    };
    while !open().is_empty() && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(site.oracle.violations(), Vec::<String>::new());
    assert_eq!(open(), Vec::<&String>::new());
}
