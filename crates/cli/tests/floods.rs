//! Targets of the flood measurement.

use rstest::rstest;
use wigeonhinge_cli::measure::floods;
use wigeonhinge_cli::owner::Owner;

/// Guards against queues, callers and teams that lose work to a flood elsewhere, against slots
/// that stay idle during one, and against a storm of retries.
#[rstest]
#[case(Owner::Coastline)]
#[case(Owner::Qureshi)]
fn run_targets(#[case] owner: Owner) {
    let report = floods::run(1, owner);
    for row in &report.rows {
        let (value, target) = (row.value, row.target.unwrap_or(100.0));
        let met = match row.metric.as_str() {
            "requests of a bad upstream after 2 s" => value <= 0.1 * row.baselines[0].1,
            metric if metric.starts_with("p99") || metric.starts_with("retries") => value <= target,
            _ => value >= target,
        };
        assert!(met, "{row}");
    }
    assert_eq!(report.rows.len(), 10);
}
