//! Workers that start again under their identifiers at any moment, some at other addresses, whose next
//! incarnations carry out calls that were meant for the former ones, beside cuts, faults of the store and
//! the loss of role holders; seeded.
//!
//! CI plays two seeds. `RESTART_SEEDS=1-50 RESTART_AT_ONCE=4 cargo test --release -p wigeonhinged --test
//! restart_series -- --nocapture by_hand` plays more, some at once.

#[path = "support/entry.rs"]
mod entry;
#[path = "restart_series/plan.rs"]
mod plan;
#[path = "restart_series/play.rs"]
mod play;
#[path = "../../../platform/tests/support/site.rs"]
mod site;

use std::env;
use std::sync::Mutex;
use std::thread;

use rstest::rstest;

/// Guards against tasks that run twice and jobs that never end.
#[rstest]
#[case::first(1)]
#[case::second(2)]
fn series_short(#[case] seed: u64) {
    let broken = play::play(seed);
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
}

/// Plays the seeds that the environment names; none without.
#[test]
fn series_by_hand() {
    let Ok(seeds) = env::var("RESTART_SEEDS") else {
        return;
    };
    let number = |text: &str| text.parse::<u64>().expect("a seed, or two with a dash");
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let at_once = env::var("RESTART_AT_ONCE").map_or(1, |it| number(&it));
    let waiting = Mutex::new(number(first)..=number(last));
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| {
                loop {
                    let Some(seed) = site::lock(&waiting).next() else {
                        return;
                    };
                    let broken = play::play(seed);
                    println!("seed {seed}: {} broken", broken.len());
                    broken.iter().for_each(|line| println!("    {line}"));
                    if !broken.is_empty() {
                        site::lock(&failed).push(seed);
                    }
                }
            });
        }
    });
    let failed = site::lock(&failed);
    assert!(failed.is_empty(), "seeds with a broken promise: {failed:?}");
}
