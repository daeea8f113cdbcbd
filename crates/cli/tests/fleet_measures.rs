//! Guards the figures of the fleet measurements against their targets.

use rstest::rstest;
use wigeonhinge_cli::measure::Report;
use wigeonhinge_cli::measure::buffer;
use wigeonhinge_cli::measure::moves;
use wigeonhinge_cli::measure::waves;
use wigeonhinge_cli::owner::Owner;

/// Seeds that every run checks; the pages in `docs/decisions` have seeds 1 to 10.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=1;

fn missed(report: &Report) -> Vec<String> {
    let rows = report.rows.iter();
    let missed = rows.filter(|row| row.target.is_some_and(|target| row.value > target));
    missed.map(ToString::to_string).collect()
}

#[rstest]
fn waves_targets(#[values(Owner::Coastline, Owner::Qureshi)] owner: Owner) {
    for seed in SEEDS {
        let report = waves::run(seed, owner);
        println!("{report}");
        assert_eq!(missed(&report), Vec::<String>::new(), "seed {seed}");
    }
}

#[rstest]
fn moves_targets(#[values(Owner::Coastline, Owner::Qureshi)] owner: Owner) {
    for seed in SEEDS {
        let report = moves::run(seed, owner);
        println!("{report}");
        assert_eq!(missed(&report), Vec::<String>::new(), "seed {seed}");
    }
}

#[rstest]
fn buffer_held(#[values(Owner::Coastline, Owner::Qureshi)] owner: Owner) {
    let report = buffer::run(1, owner);
    println!("{report}");
    // The owners' fleets hold what they need and no more.
    assert_eq!(report.rows[0].value, report.rows[1].value);
}
