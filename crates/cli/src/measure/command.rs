//! Command `measure`.

use eyre::Result;
use eyre::WrapErr;

use crate::apply::fail;
use crate::exit::Exit;
use crate::measure::Report;
use crate::measure::batch;
use crate::measure::buffer;
use crate::measure::capacity;
use crate::measure::decisions;
use crate::measure::floods;
use crate::measure::jobs;
use crate::measure::moves;
use crate::measure::overhead;
use crate::measure::save;
use crate::measure::waves;
use crate::options::MeasureOptions;
use crate::owner::Owner;

/// Runs a measurement for one owner or both and prints its figures.
pub(crate) fn run(options: &MeasureOptions) -> Exit {
    let owners = match options.owner {
        Some(owner) => vec![owner],
        None if shared(&options.name) => vec![Owner::Coastline],
        None => Owner::ALL.to_vec(),
    };
    let mut reports = Vec::new();
    for owner in owners {
        match measure(&options.name, options.seed, owner) {
            Some(Ok(report)) => reports.push(report),
            Some(Err(error)) => return fail(&format!("{error:#}")),
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

/// Upstreams of today and of the two-year size, for the time of a decision.
const UPSTREAMS: [usize; 2] = [64, 820];

/// Runs a measurement; `None` when no measurement has the name.
fn measure(name: &str, seed: u64, owner: Owner) -> Option<Result<Report>> {
    let report = match name {
        "batch" => Ok(batch::run(seed)),
        "buffer" => Ok(buffer::run(seed, owner)),
        "capacity" => Ok(capacity::run(seed, owner)),
        "decisions" => decisions(seed),
        "floods" => Ok(floods::run(seed, owner)),
        "jobs" => Ok(jobs::run(seed, owner)),
        "moves" => Ok(moves::run(seed, owner)),
        "overhead" => overhead::run(seed).wrap_err("overhead"),
        "waves" => Ok(waves::run(seed, owner)),
        _ => return None,
    };
    Some(report)
}

fn decisions(seed: u64) -> Result<Report> {
    let mut joined = Report::new("decisions", "gateway", seed);
    for upstreams in UPSTREAMS {
        let report = decisions::run(seed, upstreams)?;
        joined.rows.extend(report.rows);
    }
    Ok(joined)
}

/// Returns whether a measurement does not depend on the owner.
fn shared(name: &str) -> bool {
    matches!(name, "batch" | "decisions" | "overhead")
}

/// Saves the figures of all reports in one plot.
fn plot(reports: &[Report], path: &str) -> Result<()> {
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
