//! Racing edits over real sockets while the store loses answers, hangs and is slow.

use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wigeonhinge::config::Edit;
use wigeonhinge_cli::submit::Outcome;
use wigeonhinge_cli::submit::current;
use wigeonhinge_cli::submit::submit;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_standin::platform::Mode;
use wigeonhinge_standin::platform::Platform;
use wigeonhinged::platform::HttpPlatform;

const SEED: u64 = 11;
const EDITORS: u64 = 4;
const EDITS: u64 = 12;

/// Longest time for one edit; every fault is shorter.
const LIMIT: Duration = Duration::from_secs(10);

/// Makes edits one after the other and returns what each was reported as.
fn editor(base: String, number: u64) -> Vec<(String, Outcome)> {
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let client = HttpPlatform::new(&base, &format!("editor-{number}")).expect("client");
        let client = client.with_timeout(Duration::from_millis(150));
        let mut outcomes = Vec::new();
        while outcomes.len() < EDITS as usize {
            let Ok((config, _)) = current(&client).await else {
                continue;
            };
            let id = format!("{number}-{}", outcomes.len());
            let edit = Edit {
                id: id.as_str().into(),
                base: config.revision,
                author: format!("editor-{number}").into(),
                reason: "race".into(),
                fleet: Default::default(),
            };
            outcomes.push((id, submit(&client, &edit, LIMIT).await));
        }
        outcomes
    })
}

fn disturb(platform: &Platform, random: &mut Pcg64) {
    let mut state = platform.state();
    state.mode = Mode::Up;
    state.slow = Duration::ZERO;
    match random.random_range(0..6) {
        0 | 1 => state.lose_answers = random.random_range(1..4),
        2 => state.mode = Mode::Hang,
        3 => state.mode = Mode::Down,
        4 => state.slow = Duration::from_millis(random.random_range(50..300)),
        _ => {}
    }
}

/// Guards against an edit that is accepted twice, reported as refused while in
/// force, or reported as accepted without being in force.
#[test]
fn submit_disturbed() {
    let platform = Platform::spawn().expect("platform");
    let editors: Vec<_> = (0..EDITORS)
        .map(|number| {
            let base = platform.base();
            thread::spawn(move || editor(base, number))
        })
        .collect();
    let mut random = Pcg64::seed_from_u64(SEED);
    while editors.iter().any(|editor| !editor.is_finished()) {
        disturb(&platform, &mut random);
        thread::sleep(Duration::from_millis(60));
    }
    let state = platform.state();
    let (_, value) = state.store.get("config").expect("configuration");
    let config: Config = serde_json::from_value(value.clone()).expect("configuration");
    drop(state);
    let mut made: Vec<&str> = config.edits.iter().map(|edit| edit.id.as_str()).collect();
    assert_eq!(config.revision as usize, made.len());
    made.sort_unstable();
    made.dedup();
    assert_eq!(config.revision as usize, made.len(), "accepted twice");
    let mut counts = [0; 3];
    for (id, outcome) in editors
        .into_iter()
        .flat_map(|editor| editor.join().expect("editor"))
    {
        let inside = made.contains(&id.as_str());
        match outcome {
            Outcome::Accepted(_) => assert!(inside, "{id} is not in force"),
            Outcome::Overtaken { .. } => assert!(!inside, "{id} is in force"),
            Outcome::NotSent(_) => assert!(!inside, "{id} was sent"),
            Outcome::Unknown(_) => {}
        }
        counts[match outcome {
            Outcome::Accepted(_) => 0,
            Outcome::Overtaken { .. } => 1,
            _ => 2,
        }] += 1;
    }
    println!("seed {SEED}: accepted, overtaken, open: {counts:?}");
    assert!(counts[0] > 0, "{counts:?}");
}
