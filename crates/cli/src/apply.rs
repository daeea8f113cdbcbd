//! Commands `apply` and `diff`.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use compio::runtime::Runtime;
use wigeonhinge::config::Edit;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinged::platform::HttpPlatform;

use crate::check;
use crate::diff;
use crate::document::Document;
use crate::exit::Exit;
use crate::options::ApplyOptions;
use crate::options::DiffOptions;
use crate::status;
use crate::submit;
use crate::submit::Outcome;

/// Time in which an edit is sent again before its outcome counts as unknown.
const SUBMIT_LIMIT: Duration = Duration::from_secs(10);

/// Name that the store sees for the operators' command.
const CALLER: &str = "wigeonhinge";

/// Shows how a file differs from the configuration in force.
pub(crate) fn diff(options: &DiffOptions) -> Exit {
    let document = match Document::open(&options.file) {
        Ok(document) => document,
        Err(problems) => return check::report(&options.file, &problems, options.json),
    };
    with_platform(&options.platform, async |platform| {
        match submit::current(&platform).await {
            Ok((config, _)) => {
                let old = config.fleet.unwrap_or_default();
                let differences = diff::compare(&old, document.fleet());
                if options.json {
                    let revision = config.revision;
                    println!(
                        "{}",
                        serde_json::json!({ "revision": revision, "differences": differences })
                    );
                } else {
                    differences
                        .iter()
                        .for_each(|difference| println!("{difference}"));
                    println!(
                        "{} differences from revision {}",
                        differences.len(),
                        config.revision
                    );
                }
                Exit::Done
            }
            Err(error) => fail(&error),
        }
    })
}

/// Submits a file as the new configuration.
pub(crate) fn run(options: &ApplyOptions) -> Exit {
    if options.ask && (options.edit.is_none() || options.base.is_none()) {
        eprintln!("wigeonhinge: --ask needs the --edit and the --base of the earlier edit");
        return Exit::BadInput;
    }
    let document = match Document::open(&options.file) {
        Ok(document) => document,
        Err(problems) => return check::report(&options.file, &problems, options.json),
    };
    let fleet = document.into_fleet();
    with_platform(&options.platform, async |platform| {
        let base = match options.base {
            Some(base) => base,
            None => match submit::current(&platform).await {
                Ok((config, _)) => config.revision,
                Err(error) => return fail(&error),
            },
        };
        let edit = edit(options, base, fleet);
        let outcome = if options.ask {
            submit::resolve(&platform, &edit).await
        } else {
            submit::submit(&platform, &edit, SUBMIT_LIMIT).await
        };
        let exit = report(&edit, &outcome, options.json);
        match (outcome, options.wait) {
            (Outcome::Accepted(revision), true) => {
                status::wait(&platform, revision, options.json).await
            }
            _ => exit,
        }
    })
}

/// Runs a task with a client of the platform.
pub(crate) fn with_platform(base: &str, task: impl AsyncFnOnce(HttpPlatform) -> Exit) -> Exit {
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    runtime.block_on(async {
        match HttpPlatform::new(base, CALLER) {
            Ok(platform) => task(platform).await,
            Err(error) => {
                eprintln!("wigeonhinge: platform {base:?}: {error}");
                Exit::BadInput
            }
        }
    })
}

/// Prints an error of a command that changed nothing.
pub(crate) fn fail(error: &dyn std::fmt::Display) -> Exit {
    eprintln!("wigeonhinge: {error}");
    Exit::Refused
}

fn edit(options: &ApplyOptions, base: u64, fleet: Fleet) -> Edit {
    let id = options.edit.clone().unwrap_or_else(random_id);
    let author = options
        .author
        .clone()
        .or_else(|| std::env::var("USER").ok());
    Edit {
        id,
        base,
        author: CompactString::from(author.unwrap_or_else(|| "unknown".to_owned())),
        reason: CompactString::from(options.reason.clone().unwrap_or_default()),
        fleet,
    }
}

/// Returns an identifier that no other edit has.
pub(crate) fn random_id() -> CompactString {
    let mut bytes = [0_u8; 16];
    match getrandom::fill(&mut bytes) {
        Ok(()) => format_compact!("{:032x}", u128::from_be_bytes(bytes)),
        Err(_) => format_compact!("{}-{}", submit::now_ms(), std::process::id()),
    }
}

fn report(edit: &Edit, outcome: &Outcome, json: bool) -> Exit {
    let (exit, state, text) = match outcome {
        Outcome::Accepted(revision) => (
            Exit::Done,
            "accepted",
            format!("revision {revision} is accepted"),
        ),
        Outcome::Overtaken { revision, author } => {
            let text = format!(
                "refused: {author} made revision {revision} from revision {} first",
                edit.base
            );
            (Exit::Refused, "refused", text)
        }
        Outcome::NotSent(reason) => (Exit::Refused, "refused", format!("not sent: {reason}")),
        Outcome::Unknown(reason) => {
            let text = format!(
                "outcome unknown: {reason}; ask again with --ask --edit {} --base {}",
                edit.id, edit.base
            );
            (Exit::Unknown, "unknown", text)
        }
    };
    if json {
        println!(
            "{}",
            serde_json::json!({ "state": state, "edit": edit.id, "base": edit.base, "text": text })
        );
    } else {
        println!("{text}");
    }
    exit
}
