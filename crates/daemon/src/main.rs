//! Command line of the entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::Result;
use eyre::WrapErr;
use futures_util::future;
use gumdrop::Options;
use slog::info;
use wigeonhinged::Entry;
use wigeonhinged::Report;
use wigeonhinged::Settings;
use wigeonhinged::Setup;

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Environment variable with the path of the settings file, used without `--settings`.
const SETTINGS_VARIABLE: &str = "WIGEONHINGE_SETTINGS";

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "settings file (JSON with comments)", meta = "FILE", no_short)]
    settings: Option<PathBuf>,
    #[options(
        help = "run on the users' platform, which names the settings file in its environment",
        no_short
    )]
    site: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wigeonhinged: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: Arguments) -> Result<()> {
    let file = arguments
        .settings
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| eyre::eyre!("no settings file given; use --settings FILE"))?;
    if arguments.site {
        return wigeonhinged::site::run(&file);
    }
    let settings = Settings::open(&file)?;
    let report = Report::open(&settings).wrap_err("cannot open the log and the metrics")?;
    let setup = Setup {
        file: Some(file),
        report: report.clone(),
        ..Setup::default()
    };
    let entry = Entry::spawn(&settings, setup)?;
    wait_for_signal().wrap_err("cannot wait for signals")?;
    info!(report.log(), "listen: signal received, stopping the entry");
    entry.stop();
    info!(report.log(), "listen: entry stopped");
    Ok(())
}

fn wait_for_signal() -> Result<()> {
    let mut proactor = compio::driver::ProactorBuilder::new();
    proactor.driver_type(compio::driver::DriverType::Poll);
    let runtime = compio::runtime::Runtime::builder()
        .with_proactor(proactor)
        .build()?;
    runtime.block_on(async {
        let interrupt = Box::pin(compio::signal::unix::signal(SIGINT));
        let terminate = Box::pin(compio::signal::unix::signal(SIGTERM));
        let (result, _) = future::select(interrupt, terminate).await.factor_first();
        Ok(result?)
    })
}
