//! Command `check`.

use crate::document::Document;
use crate::document::Problem;
use crate::exit::Exit;
use crate::options::CheckOptions;

/// Checks a fleet file and reports every fault.
pub(crate) fn run(options: &CheckOptions) -> Exit {
    match Document::open(&options.file) {
        Ok(document) => {
            let fleet = document.fleet();
            let (vms, upstreams) = (fleet.inventory.len(), fleet.upstreams.len());
            if options.json {
                println!(
                    "{}",
                    serde_json::json!({ "ok": true, "vms": vms, "upstreams": upstreams })
                );
            } else {
                println!("{}: valid, {vms} VMs, {upstreams} upstreams", options.file);
            }
            Exit::Done
        }
        Err(problems) => report(&options.file, &problems, options.json),
    }
}

/// Prints the problems of a file and returns the exit status for bad input.
pub(crate) fn report(file: &str, problems: &[Problem], json: bool) -> Exit {
    if json {
        let faults: Vec<_> = problems
            .iter()
            .map(|problem| problem.to_json(file))
            .collect();
        println!("{}", serde_json::json!({ "ok": false, "faults": faults }));
    } else {
        for problem in problems {
            eprintln!("{file}:{problem}");
        }
        eprintln!("{file}: {} faults; nothing was changed", problems.len());
    }
    Exit::BadInput
}
