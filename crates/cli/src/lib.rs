//! The operators' command of wigeonhinge.
//!
//! [`run`] parses the command line and carries out one command. Commands that
//! read a fleet file report every fault in it and change nothing.

pub mod diff;
pub mod document;
pub mod explain;
pub mod import;
pub mod measure;
pub mod options;
pub mod owner;
pub mod site;
pub mod submit;

mod apply;
mod audit;
mod check;
mod demo;
mod exit;
mod identity;
mod status;
mod wave;

pub use crate::exit::Exit;

use gumdrop::Options;
use gumdrop::ParsingStyle;

use crate::options::Command;
use crate::options::CommandLine;

/// Carries out the command that the arguments name and returns its exit status.
pub fn run(args: &[String]) -> Exit {
    let line = match CommandLine::parse_args(args, ParsingStyle::AllOptions) {
        Ok(line) => line,
        Err(error) => {
            eprintln!("wigeonhinge: {error}; try --help");
            return Exit::BadInput;
        }
    };
    if line.help_requested() {
        print_usage(&line);
        return Exit::Done;
    }
    match line.command {
        Some(command) => dispatch(command),
        None => {
            eprintln!("wigeonhinge: no command given; try --help");
            Exit::BadInput
        }
    }
}

fn dispatch(command: Command) -> Exit {
    match command {
        Command::Check(options) => check::run(&options),
        Command::Import(options) => import::run(&options),
        Command::Diff(options) => apply::diff(&options),
        Command::Apply(options) => apply::run(&options),
        Command::Status(options) => status::run(&options),
        Command::Audit(options) => audit::run(&options),
        Command::Wave(options) => wave::run(&options),
        Command::Explain(options) => explain::run(&options),
        Command::Measure(options) => measure::command::run(&options),
        Command::Identity(options) => identity::run(&options),
        Command::Demo(options) => demo::run(&options),
    }
}

/// Prints the usage of the command that the line names, or of the program.
fn print_usage(line: &CommandLine) {
    match line.command_name() {
        Some(name) => {
            println!("Usage: wigeonhinge {name} [OPTIONS]\n");
            println!("{}", line.self_usage());
        }
        None => {
            println!("Usage: wigeonhinge COMMAND [OPTIONS]\n");
            println!("{}\n\nCommands:", CommandLine::usage());
            println!("{}", CommandLine::command_list().unwrap_or_default());
            println!("\n{}", Exit::TABLE);
        }
    }
}
