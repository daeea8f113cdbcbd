//! Measurement of the buffer: capacity held back beside other ways to hold it and the lower bound.

use wigeonhinge::buffer::Buffer;
use wigeonhinge::buffer::assess;
use wigeonhinge_schema::fleet::Fleet;

use crate::measure::Report;
use crate::measure::Row;
use crate::measure::fleets::grown;
use crate::owner::Owner;

/// Workers of a region at the two-year size.
const REGION_WORKERS: usize = 410;

/// Measures an owner's fleet and a region of the two-year size.
pub fn run(seed: u64, owner: Owner) -> Report {
    let mut report = Report::new("buffer", &owner.to_string(), seed);
    measure(&mut report, "", &owner.fleet());
    let fleet = grown(REGION_WORKERS, seed);
    measure(&mut report, "two years, a region: ", &fleet);
    report
}

fn measure(report: &mut Report, prefix: &str, fleet: &Fleet) {
    let buffer = assess(fleet);
    report.push(row(&format!("{prefix}held back"), buffer.held, &buffer));
    let metric = format!("{prefix}needed, reserve shared");
    report.push(row(&metric, buffer.shared(), &buffer));
}

fn row(metric: &str, value: u32, buffer: &Buffer) -> Row {
    Row::new(metric, "VMs", f64::from(value))
        .baseline("spare rack in each pool", f64::from(buffer.spare_racks))
        .baseline("no sharing", f64::from(buffer.unshared))
        .bound(f64::from(buffer.bound))
}
