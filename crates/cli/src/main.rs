//! The operators' command.

use std::process::ExitCode;

use wigeonhinge_cli::run;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    run(&args).into()
}
