//! Faults that are shown by a script but are no cases of the review.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::NOT_RUN;
use crate::World;
use crate::sleep;
use crate::support::*;
use crate::worker::Course;
use crate::worker::Plan;
use crate::worker::RunLog;
use crate::worker::Worker;

pub fn play(case: &str, world: World) {
    match case {
        "lasting" => repeated_crashes(world),
        "attempts" => dropped_queue(world),
        "values" => large_job(world),
        "suspects" => crash_in_burst(world),
        "foreign" => foreign(world),
        "gang" => gang(world),
        _ => world.finish(NOT_RUN, &format!("unknown case {case:?}")),
    }
}

/// A lasting job loses the worker of one of its tasks four times, each time soon after the start.
fn repeated_crashes(mut world: World) -> ! {
    const MAY_MISS: usize = 1;
    let plan: Plan = Arc::new(|_: &str, _| (1_000, 1_000, Course::Lasts));
    let runs = set_up(&mut world, 8, plan);
    let path = "/jobs/5c0e7a21d94b36f8";
    let body = "{\"spec\":\"desk\",\"steps\":[{\"count\":4,\"cpu\":1000,\"memMb\":1000,\"estimateMs\":900,\
                \"antiAffinity\":1,\"longRunning\":true,\"mayMiss\":1}]}";
    if world
        .ask(0, "POST", path, body)
        .is_none_or(|it| it.0 != 200)
    {
        world.finish(NOT_RUN, "the job is not accepted");
    }
    if !wait(&runs, 5_000, |it| it.len() >= 4) {
        world.finish(NOT_RUN, "the tasks do not start");
    }
    sleep(4_000);
    let task = "5c0e7a21d94b36f8.0.0.0";
    for number in 0..if world.trouble { 4 } else { 0 } {
        let current = || {
            let runs = runs.lock().unwrap();
            let run = runs
                .iter()
                .rev()
                .find(|it| it.task == task && it.ended.is_none());
            run.map(|it| (it.worker.clone(), it.started))
        };
        let until = Instant::now() + Duration::from_secs(8);
        let (id, started) = loop {
            match current() {
                Some(found) => break found,
                None if Instant::now() > until => {
                    world.say(format!("{task} does not start again"));
                    break (String::new(), Instant::now());
                }
                None => sleep(5),
            }
        };
        let workers = world.workers.lock().unwrap().clone();
        let Some(worker) = workers.iter().find(|it| it.id() == id) else {
            break;
        };
        if number > 0 {
            std::thread::sleep(Duration::from_millis(400).saturating_sub(started.elapsed()));
        }
        worker.crash();
        sleep(1_000);
        worker.restart();
    }
    sleep(8_000);
    let state = world.state(path);
    let all = runs.lock().unwrap().clone();
    for run in all
        .iter()
        .filter(|it| it.ended.is_some_and(|end| end.1 == "failed"))
    {
        world.say(format!(
            "{} run {} failed on {}",
            run.task, run.run, run.worker
        ));
    }
    // Tasks that a stop ends while they are at work, with how many others of the step were away.
    let mut broken = 0;
    let stopped = all
        .iter()
        .filter(|it| it.ended.is_some_and(|end| end.1 == "stopped"));
    for run in stopped.clone() {
        let Some((time, _)) = run.ended else { continue };
        let at_work = time - run.started > crate::worker::STARTUP;
        let by_stops = stopped.clone().filter(|it| {
            it.task != run.task
                && it
                    .ended
                    .is_some_and(|end| end.0 <= time && time - end.0 < Duration::from_secs(1))
        });
        let away = by_stops.count();
        if at_work && away >= MAY_MISS {
            broken += 1;
            world.say(format!(
                "AVAIL: {} run {} at work on {} is stopped while {away} others of its step were ended by stops",
                run.task, run.run, run.worker
            ));
        }
    }
    world.say(format!(
        "the job is {state}; nobody cancelled it and no run of it ended failed"
    ));
    world.quote_logs(&["may have crashed", "given up as", "ended as"], 10);
    match (broken, state.as_str()) {
        (0, "active") => world.finish(0, "the job goes on"),
        (0, _) => world.finish(NOT_RUN, &format!("the job is {state}, AVAIL holds")),
        _ => world.finish(
            1,
            &format!("AVAIL is broken {broken} times, the job is {state}"),
        ),
    }
}

/// A queue leaves the configuration and comes back while a job of it is open, and the holder is killed
/// in between. The first three runs of the job's task fail, two fewer than the queue allows.
fn dropped_queue(mut world: World) -> ! {
    const ATTEMPTS: u64 = 5;
    let plan: Plan = Arc::new(|_: &str, run| {
        let course = match run {
            1 => Course::FailsAfter(Duration::from_millis(2_500)),
            2 | 3 => Course::FailsAfter(Duration::from_millis(700)),
            _ => Course::DoneAfter(Duration::from_millis(700)),
        };
        (1_000, 1_000, course)
    });
    let runs = set_up(&mut world, 4, plan);
    write_config(&world, 5, Some(ATTEMPTS));
    sleep(2_500);
    let path = "/jobs/5c0e7a21d94b36f8";
    let body = "{\"spec\":\"short\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":1000,\"estimateMs\":700}]}";
    if world
        .ask(0, "POST", path, body)
        .is_none_or(|it| it.0 != 200)
    {
        world.finish(NOT_RUN, "the job is not accepted");
    }
    if !wait(&runs, 3_000, |it| !it.is_empty()) {
        world.finish(NOT_RUN, "the task does not start");
    }
    if world.trouble {
        write_config(&world, 8, None);
        sleep(1_000);
        let Some(holder) = world.holder() else {
            world.finish(NOT_RUN, "no entry holds the role");
        };
        world.kill(holder);
        sleep(1_000);
        world.start_entry(holder);
        sleep(8_000);
        write_config(&world, 9, Some(ATTEMPTS));
        sleep(4_000);
    }
    let state = wait_state(&world, path, &["completed", "failed"], 20_000);
    let failed = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|it| it.ended.is_some_and(|end| end.1 == "failed"))
        .count();
    world.quote_logs(&["failed", "ended as", "role: at work"], 10);
    let result = format!("the job is {state} after {failed} failed runs of {ATTEMPTS}");
    match state.as_str() {
        "completed" => world.finish(0, &result),
        "failed" if (failed as u64) < ATTEMPTS => world.finish(1, &format!("LOST: {result}")),
        _ => world.finish(NOT_RUN, &result),
    }
}

/// A job of many small tasks comes between small jobs.
fn large_job(mut world: World) -> ! {
    const TASKS: u64 = 45_000;
    const LARGE: &str = "00000000000000ff";
    let plan: Plan = Arc::new(|task: &str, _| match task.starts_with(LARGE) {
        true => (1, 0, Course::DoneAfter(Duration::from_millis(500))),
        false => (500, 100, Course::DoneAfter(Duration::from_millis(500))),
    });
    let runs = set_up(&mut world, 3, plan);
    let body = "{\"spec\":\"short\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":100,\"estimateMs\":500}]}";
    let mut accepted = Vec::new();
    for number in 0..24 {
        if number == 6 && world.trouble {
            let large = format!(
                "{{\"spec\":\"large\",\"steps\":[{{\"count\":{TASKS},\"cpu\":1,\"estimateMs\":500}}]}}"
            );
            let answer = world.ask(0, "POST", &format!("/jobs/{LARGE}"), &large);
            world.say(format!("the large job is answered {answer:?}"));
        }
        let path = format!("/jobs/{number:016x}");
        if world
            .ask(number % 3, "POST", &path, body)
            .is_some_and(|it| it.0 == 200)
        {
            accepted.push(path);
        }
        sleep(500);
    }
    // `finish_s` after the end of the traffic.
    sleep(14_000);
    let mut lost = 0;
    for path in &accepted {
        let id = path.rsplit('/').next().unwrap_or_default();
        let begun = runs
            .lock()
            .unwrap()
            .iter()
            .filter(|it| it.task.starts_with(id))
            .count();
        let state = world.state(path);
        if state != "completed" {
            lost += 1;
            world.say(format!("LOST: {path} is {state}, {begun} runs"));
        }
    }
    let begun = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|it| it.task.starts_with(LARGE))
        .count();
    world.say(format!("large job: {begun} of {TASKS} tasks have begun"));
    world.quote_logs(&["retrying it"], 3);
    match lost {
        0 => world.finish(0, &format!("all {} jobs are completed", accepted.len())),
        _ => world.finish(
            1,
            &format!(
                "LOST: {lost} of {} accepted jobs are not completed",
                accepted.len()
            ),
        ),
    }
}

/// A rack loses power in a burst of small jobs.
fn crash_in_burst(mut world: World) -> ! {
    const JOBS: usize = 60;
    const WIDTH: usize = 6;
    const CPU: u64 = 200;
    /// `finish_s` of the settings.
    const FINISH: Duration = Duration::from_secs(14);
    let plan: Plan =
        Arc::new(|_: &str, _| (CPU, 100, Course::DoneAfter(Duration::from_millis(640))));
    let runs = set_up(&mut world, 8, plan);
    let body = format!(
        "{{\"spec\":\"short\",\"steps\":[{{\"count\":{WIDTH},\"cpu\":{CPU},\"memMb\":100,\"estimateMs\":640}}]}}"
    );
    let path = |number: usize| format!("/jobs/{number:016x}");
    let accepted = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for part in 0..6 {
            let (world, accepted, body) = (&world, &accepted, &body);
            scope.spawn(move || {
                for number in (part..JOBS).step_by(6) {
                    // Six callers with a job each 50 ms: 120 jobs a second.
                    sleep(50);
                    let answer = world.ask(part % 3, "POST", &path(number), body);
                    if answer.is_some_and(|it| it.0 == 200) {
                        accepted.lock().unwrap().push(number);
                    }
                }
            });
        }
    });
    let accepted = accepted.into_inner().unwrap();
    let end = Instant::now();
    if accepted.len() < JOBS || !wait(&runs, 2_000, |it| it.len() >= JOBS * WIDTH) {
        world.finish(NOT_RUN, "not all tasks of the burst have begun");
    }
    let workers = world.workers.lock().unwrap().clone();
    if world.trouble {
        for worker in &workers[..4] {
            worker.crash();
        }
        sleep(4_500);
        for worker in &workers[..4] {
            worker.restart();
        }
    }
    std::thread::sleep(FINISH.saturating_sub(end.elapsed()));
    let from = Instant::now();
    sleep(3_000);
    let all = runs.lock().unwrap().clone();
    let during = |run: &&RunLog| {
        run.started < from + Duration::from_secs(3) && run.ended.is_none_or(|it| it.0 > from)
    };
    // The most that ran at a time is at most all that ran within the three seconds.
    let cores = all.iter().filter(during).count() as u64 * CPU;
    let capacity = 8 * crate::worker::CPU;
    let mut lost = 0;
    for number in accepted {
        let id = format!("{number:016x}");
        let own = all.iter().filter(|it| it.task.starts_with(&id));
        let running = own.clone().filter(during).count();
        let done = own
            .filter(|it| it.ended.is_some_and(|end| end.1 == "done"))
            .count();
        if running == 0 && done < WIDTH {
            lost += 1;
            world.say(format!(
                "LOST: job {id} has {done} of {WIDTH} tasks done and had nothing running for 3 s"
            ));
        }
    }
    world.say(format!(
        "{cores} thousandths of {capacity} were asked for by all that ran in these 3 s"
    ));
    world.quote_logs(&["role: standing", "crashed with"], 30);
    match lost {
        0 => world.finish(0, "all jobs are done or running"),
        _ if 2 * cores >= capacity => world.finish(NOT_RUN, "half of the capacity is in use"),
        _ => world.finish(
            1,
            &format!("LOST: {lost} of {JOBS} jobs had nothing running for 3 s, with room for them"),
        ),
    }
}

/// A worker is lost for good while the registry also lists workers of another system.
fn foreign(mut world: World) {
    let plan: Plan = Arc::new(|_, _| {
        (
            1_900,
            3_900,
            Course::DoneAfter(Duration::from_millis(2_100)),
        )
    });
    let runs = set_up(&mut world, 9, plan);
    if world.trouble {
        for number in 0..10 {
            write_foreign(&world, number, &format!("m-f{number:04}"));
        }
        world.say("ten entries of another service are in the registry");
    }
    sleep(5_000);
    let id = job_id(0xf1);
    let body = r#"{"spec":"load","steps":[{"count":1,"cpu":1900,"memMb":3900,"estimateMs":2100}]}"#;
    if !submit(&world, &id, body) {
        world.finish(NOT_RUN, "the job was not accepted");
    }
    let accepted = Instant::now();
    let mut crashed: Option<(Instant, Arc<Worker>)> = None;
    let mut lost_id = String::new();
    loop {
        let seen = runs_of(&runs, &id);
        if crashed.is_none()
            && lost_id.is_empty()
            && let Some(first) = seen.first()
            && first.started.elapsed() > Duration::from_millis(500)
        {
            let workers = world.workers.lock().unwrap().clone();
            if let Some(worker) = workers.iter().find(|it| it.id() == first.worker) {
                worker.crash();
                lost_id = first.worker.clone();
                crashed = Some((Instant::now(), Arc::clone(worker)));
            }
        }
        if let Some((time, _)) = &crashed
            && time.elapsed() > Duration::from_millis(4_500)
        {
            world.store.remove(&format!("servers/{lost_id}"));
            crashed = None;
        }
        let state = world.state(&path(&id));
        if state == "completed" {
            let text = format!(
                "the job is completed {} ms after it was accepted",
                accepted.elapsed().as_millis()
            );
            world.quote_logs(&["role: taken", "respond"], 12);
            world.finish(0, &text);
        }
        if accepted.elapsed() > Duration::from_secs(75) {
            world.quote_logs(&["role: taken", "role: given up", "lease of worker"], 40);
            let count = runs_of(&runs, &id).len();
            world.finish(1, &format!("LOST: 75 s after it was accepted, the job is {state} and had {count} runs; its worker was lost in the first, and eight workers are idle"));
        }
        sleep(500);
    }
}

/// A gang that loses one of its workers and resumes.
fn gang(mut world: World) {
    let plan: Plan = Arc::new(|_, _| (1_900, 3_900, Course::Gang(4, Duration::from_millis(4_000))));
    let runs = set_up(&mut world, 9, plan);
    let body = r#"{"spec":"load","steps":[{"count":4,"cpu":1900,"memMb":3900,"estimateMs":4000,"gang":true,"checkpointing":true,"antiAffinity":1}]}"#;
    let ids: Vec<String> = (0..3).map(|it| job_id(0xd000 + it)).collect();
    for id in &ids {
        if !submit(&world, id, body) {
            world.finish(NOT_RUN, "a job was not accepted");
        }
    }
    sleep(1_700);
    let mut crashed = None;
    if world.trouble {
        let seen = runs_of(&runs, &ids[0]);
        let workers = world.workers.lock().unwrap().clone();
        let Some(worker) = workers
            .iter()
            .find(|it| seen.iter().any(|run| run.worker == it.id()))
        else {
            world.finish(NOT_RUN, "the job has not started");
        };
        worker.crash();
        crashed = Some((Instant::now(), Arc::clone(worker)));
    }
    let deadline = Instant::now() + Duration::from_secs(40);
    loop {
        if let Some((time, worker)) = &crashed
            && time.elapsed() > Duration::from_millis(4_500)
        {
            worker.restart();
            crashed = None;
        }
        let states: Vec<String> = ids.iter().map(|it| world.state(&path(it))).collect();
        if states.iter().all(|it| it == "completed") || Instant::now() > deadline {
            let mut broken = Vec::new();
            for id in &ids {
                let seen = runs_of(&runs, id);
                for run in 2..=seen.iter().map(|it| it.run).max().unwrap_or(1) {
                    let of_run = seen.iter().filter(|it| it.run == run);
                    let values: BTreeSet<String> = of_run.map(|it| it.checkpoint.clone()).collect();
                    if values.len() > 1 {
                        broken.push(format!("job {id} run {run}: {values:?}"));
                    }
                }
            }
            if !broken.is_empty() {
                world.finish(1, &format!("UNASKED: the members of a gang were started with different checkpoints: {}", broken.join("; ")));
            }
            world.finish(0, &format!("states {states:?}"));
        }
        sleep(500);
    }
}
