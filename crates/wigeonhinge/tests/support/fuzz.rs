//! Settings of the stateful tests: a fixed seed, or a longer run that the environment asks for.

use std::env;
use std::time::SystemTime;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Returns the settings of a test with this number of cases and this seed.
///
/// `FUZZ_CASES` replaces the cases. `FUZZ_SEED` replaces the seed; `random`
/// takes one from the clock. A run that was asked for prints its seed.
pub fn config(cases: u32, seed: u64, shrinks: u32) -> Config {
    let wanted = env::var("FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let seed = match env::var("FUZZ_SEED").as_deref() {
        Ok("random") => from_clock(),
        Ok(text) => text.parse().unwrap_or(seed),
        Err(_) => seed,
    };
    let cases = wanted.unwrap_or(cases);
    println!("{cases} cases with FUZZ_SEED={seed}");
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: shrinks,
        ..Config::default()
    }
}

fn from_clock() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}
