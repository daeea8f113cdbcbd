//! Cases of the second review: `cases NAME FOLDER` writes `record.txt` into the folder and exits with 1
//! if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the
//! disruption is left out.

mod cases;
mod http;
mod json;
mod minion;
mod site;
mod store;

use std::process::ExitCode;

use cases::Outcome;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    site::watch_time();
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let outcome = cases::run(name, folder, trouble);
    let (code, text) = match &outcome {
        Outcome::Broken(text) => (1, format!("broken: {text}")),
        Outcome::Held => (0, "held".to_owned()),
        Outcome::NotRun(text) => (2, format!("could not run: {text}")),
    };
    println!("{name}: {text}");
    ExitCode::from(code)
}
