//! Configuration of the stateful tests: a fixed seed, or cases and a seed from the environment.

use std::env;
use std::time::SystemTime;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Returns the configuration of a test with its default cases and seed, and its shrink limit.
///
/// `FUZZ_CASES` overrides the number of cases. `FUZZ_SEED` overrides the seed;
/// `random` takes one from the clock. The values in use are printed, so that a
/// failure can be reproduced.
pub fn config(cases: u32, seed: u64, max_shrinks: u32) -> Config {
    let requested = env::var("FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let seed = match env::var("FUZZ_SEED").as_deref() {
        Ok("random") => seed_from_clock(),
        Ok(text) => text.parse().unwrap_or(seed),
        Err(_) => seed,
    };
    let cases = requested.unwrap_or(cases);
    println!("{cases} cases with FUZZ_SEED={seed}");
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: max_shrinks,
        ..Config::default()
    }
}

fn seed_from_clock() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}
