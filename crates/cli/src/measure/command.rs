//! Command `measure`.

use crate::exit::Exit;
use crate::measure::Report;
use crate::measure::capacity;
use crate::measure::jobs;
use crate::measure::save;
use crate::options::MeasureOptions;
use crate::owner::Owner;

/// Runs a measurement for one owner or both and prints its figures.
pub(crate) fn run(options: &MeasureOptions) -> Exit {
    let owners = options
        .owner
        .map_or(Owner::ALL.to_vec(), |owner| vec![owner]);
    let mut reports = Vec::new();
    for owner in owners {
        match measure(&options.name, options.seed, owner) {
            Some(report) => reports.push(report),
            None => {
                eprintln!(
                    "wigeonhinge: unknown measurement {:?}; see --help",
                    options.name
                );
                return Exit::BadInput;
            }
        }
    }
    for report in &reports {
        if options.json {
            println!("{}", serde_json::json!(report));
        } else {
            print!("{report}");
        }
    }
    match options.plot.as_deref().map(|path| plot(&reports, path)) {
        Some(Err(error)) => {
            eprintln!("wigeonhinge: {error}");
            Exit::Refused
        }
        _ => Exit::Done,
    }
}

/// Runs a measurement; `None` when no measurement has the name.
fn measure(name: &str, seed: u64, owner: Owner) -> Option<Report> {
    match name {
        "capacity" => Some(capacity::run(seed, owner)),
        "jobs" => Some(jobs::run(seed, owner)),
        _ => None,
    }
}

/// Saves the figures of all reports in one plot.
fn plot(reports: &[Report], path: &str) -> eyre::Result<()> {
    let mut joined = Report::default();
    for report in reports {
        for row in &report.rows {
            let mut row = row.clone();
            row.metric = format!("{}: {}", report.fleet, row.metric);
            joined.push(row);
        }
    }
    save(&joined, path)
}
