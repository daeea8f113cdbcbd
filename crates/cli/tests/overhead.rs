//! The measurement of what an entry adds.

use wigeonhinge_cli::measure::overhead;

/// Guards against a measurement whose requests are not answered.
#[test]
fn overhead_figures() {
    let report = overhead::run(1).unwrap();
    print!("{report}");
    assert!(report.rows.iter().all(|row| row.value.is_finite()));
    let core = report.rows.last().unwrap();
    assert!(core.value > 100.0, "{core}");
}
