//! Workers that start again under their identifiers, take calls that were meant for their former
//! incarnations, and are cut off soon after, while long tasks run.

#[path = "support/entry.rs"]
mod entry;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

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
const RESTARTED: usize = 3;

/// Time until the workers' clocks are ahead of those of the next incarnations by more than a lease.
const FIRST_INCARNATION: Duration = Duration::from_secs(7);

/// Time for which a worker answers nothing until its next incarnation begins.
const SILENCE: Duration = Duration::from_millis(600);

/// Time from the beginning of the silence, and from its end, until a long job is submitted.
const SUBMISSION: Duration = Duration::from_millis(50);

/// Time for which a worker is cut off after its restart.
const CUT: Duration = Duration::from_secs(9);

/// Pause between two jobs with short tasks.
const PAUSE: Duration = Duration::from_millis(80);

/// Tasks of a long job, which take three workers.
const LONG_TASKS: u64 = 24;

/// Long-running job, and its tasks of a tenth of a core.
const LASTING: &str = "f000000000000000";
const LASTING_TASKS: u64 = 40;

/// Time from the end of a cut to the next restart.
const ROUND_PAUSE: Duration = Duration::from_millis(2_400);

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

/// Submits the long-running job, and waits until it is at work.
fn submit_lasting(site: &Site, entry: &Entry) {
    let spec = site::worker::LASTING;
    let job = format!(
        r#"{{"spec":"{spec}","steps":[{{"count":{LASTING_TASKS},"cpu":100,"memMb":10,"longRunning":true}}]}}"#
    );
    site.oracle.submitted(LASTING, spec, &[LASTING_TASKS]);
    let response = entry.ask("POST", &format!("/jobs/{LASTING}"), &job);
    assert_eq!(response.expect("a response").0, 200);
    wait("it is at work", || site.oracle.is_at_work(LASTING));
}

/// Submits jobs with short tasks for a time; returns the accepted ones.
fn submit_short(site: &Site, entry: &Entry, (round, time): (u64, Duration)) -> Vec<String> {
    let until = Instant::now() + time;
    let mut accepted = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{round:08x}{number:08x}");
        if submit(site, entry, &id, ("short", 2)) {
            accepted.push(id);
        }
        thread::sleep(PAUSE);
    }
    accepted
}

/// Begins a worker's next incarnation, which registers at once.
fn restart(site: &Site, index: usize, born: u64) {
    site.workers[index].restart();
    let key = format!("servers/i-{index}");
    let entry = site.value(&key).expect("a registry entry");
    let from = entry.find("\"born\":").expect("a start");
    let rest = entry[from..].find([',', '}']).expect("more fields");
    let entry = format!("{}\"born\":{born}{}", &entry[..from], &entry[from + rest..]);
    site.put(&key, &entry);
}

/// Disruptions of one play.
#[derive(Clone, Copy)]
struct Plan {
    /// Number of times that the workers restart and are cut off.
    rounds: u64,
    /// Time from a restart to the cut.
    delay: Duration,
    /// Whether the role holder is killed at the first cut.
    kill: bool,
}

/// Plays restarts and cuts of some workers; returns the jobs that were accepted meanwhile.
fn play(site: &Site, plan: Plan) -> Vec<String> {
    let mut holder = Entry::spawn(site.store, "e1");
    wait("the first entry holds the role", || {
        site.value("wigeonhinge/role/0").is_some()
    });
    let entry = Entry::spawn(site.store, "e2");
    entry.wait_ready();
    let set_links = |mode| {
        let links = site.proxies.iter().take(RESTARTED);
        links.for_each(|link| link.set_mode(mode));
    };
    let long = site::worker::LONG;
    let mut accepted = Vec::new();
    submit_lasting(site, &entry);
    for round in 0..plan.rounds {
        thread::sleep(match round {
            0 => FIRST_INCARNATION,
            _ => ROUND_PAUSE,
        });
        set_links(Mode::Hold);
        // Nothing reaches the workers until their next incarnations begin.
        (0..RESTARTED).for_each(|index| site.workers[index].restart());
        thread::sleep(SUBMISSION);
        let ids = ["a", "b"].map(|kind| format!("{kind}{round:015x}"));
        assert!(submit(site, &entry, &ids[0], (long, LONG_TASKS)));
        thread::sleep(SILENCE - SUBMISSION);
        (0..RESTARTED).for_each(|index| restart(site, index, 2 * round + 3));
        set_links(Mode::Pass);
        thread::sleep(SUBMISSION);
        assert!(submit(site, &entry, &ids[1], (long, LONG_TASKS / 2)));
        thread::sleep(plan.delay - SUBMISSION);
        set_links(Mode::Hold);
        if plan.kill && round == 0 {
            holder.child.kill().expect("the holder is killed");
        }
        accepted.extend(ids);
        accepted.extend(submit_short(site, &entry, (round, CUT)));
        set_links(Mode::Pass);
    }
    let deadline = Instant::now() + FINISH;
    while !open_jobs(site, &accepted).is_empty() && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(100));
    }
    accepted
}

/// Returns the jobs that are not complete; a long-running one is if all its tasks are at work.
fn open_jobs(site: &Site, accepted: &[String]) -> Vec<String> {
    let jobs = accepted.iter().filter(|id| !site.oracle.is_complete(id));
    let lasting = (!site.oracle.is_at_work(LASTING)).then(|| LASTING.to_owned());
    jobs.cloned().chain(lasting).collect()
}

/// Guards against runs that go on beside their next ones, and jobs that never end: starts and leases
/// that were meant for the former incarnation of a worker are carried out by its next one, which is
/// then cut off, in one case while the role holder is killed, and in one time and again.
#[rstest]
#[case::at_once(1, 100, false)]
#[case::later(1, 700, false)]
#[case::with_holder(1, 700, true)]
#[case::in_series(3, 2_000, false)]
fn restarted_cut_off(#[case] rounds: u64, #[case] delay_ms: u64, #[case] kill: bool) {
    let site = Site::spawn(WORKERS);
    let delay = Duration::from_millis(delay_ms);
    let plan = Plan {
        rounds,
        delay,
        kill,
    };
    let over = AtomicBool::new(false);
    let jobs = thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::SeqCst) {
                site.workers.iter().for_each(|worker| worker.expire());
                thread::sleep(LEASE_CHECK);
            }
        });
        let playing = scope.spawn(|| play(&site, plan)).join();
        over.store(true, Ordering::SeqCst);
        playing.expect("a play")
    });
    assert_eq!(site.oracle.violations(), Vec::<String>::new());
    assert_eq!(open_jobs(&site, &jobs), Vec::<String>::new());
}
