//! Command line.

use std::str::FromStr;

use compact_str::CompactString;
use gumdrop::Options;

use crate::owner::Owner;

/// Command line of `wigeonhinge`.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Command.
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of `wigeonhinge`.
#[derive(Debug, Options)]
pub enum Command {
    /// Checks a fleet file.
    #[options(help = "check a fleet file and report every fault")]
    Check(CheckOptions),
    /// Compares a fleet file with the configuration in force.
    #[options(help = "show how a fleet file differs from the configuration in force")]
    Diff(DiffOptions),
    /// Submits a fleet file.
    #[options(help = "submit a fleet file as the new configuration")]
    Apply(ApplyOptions),
    /// Shows the entries.
    #[options(help = "show every live entry, its revision and its roles")]
    Status(StatusOptions),
    /// Shows the audit trail.
    #[options(help = "show accepted edits, moves, wave steps, quarantines and role changes")]
    Audit(AuditOptions),
    /// Controls the maintenance wave of a region.
    #[options(help = "start, pause, resume, abort or show the maintenance wave of a region")]
    Wave(WaveOptions),
    /// Explains what happened to a job.
    #[options(help = "print what the entries' logs say of a job, in order of time")]
    Explain(ExplainOptions),
    /// Measures a decision against its baselines and bound.
    #[options(help = "measure a decision against its baselines and its bound")]
    Measure(MeasureOptions),
    /// Makes a key for an entry.
    #[options(help = "make the key of an entry and the fingerprint that its peers trust")]
    Identity(IdentityOptions),
    /// Runs the demonstration.
    #[options(help = "run a fleet with its entries and stand-ins on loopback")]
    Demo(DemoOptions),
    /// Reads an asset register.
    #[options(help = "turn an asset register (CSV) into the inventory of a fleet file")]
    Import(ImportOptions),
}

/// Options of `explain`.
#[derive(Debug, Options)]
pub struct ExplainOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Identifier of the job, and files of log lines; standard input if there are none.
    #[options(
        free,
        help = "id of the job, then files of log lines (default: standard input)"
    )]
    pub words: Vec<String>,
}

/// Options of `check`.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print JSON.
    #[options(help = "print JSON")]
    pub json: bool,
    /// Fleet file.
    #[options(free, required, help = "fleet file (JSON with comments)")]
    pub file: String,
}

/// Options of `import`.
#[derive(Debug, Options)]
pub struct ImportOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print faults as JSON.
    #[options(help = "print faults as JSON")]
    pub json: bool,
    /// Fleet file whose rules and upstreams are kept.
    #[options(
        meta = "FILE",
        help = "keep the rules and upstreams of this fleet file"
    )]
    pub rules: Option<String>,
    /// Asset register.
    #[options(
        free,
        required,
        help = "asset register: name,pool,zone,rack,cores,memory_mb,accelerators"
    )]
    pub file: String,
}

/// Options of `diff`.
#[derive(Debug, Options)]
pub struct DiffOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print JSON.
    #[options(help = "print JSON")]
    pub json: bool,
    /// Base address of the platform.
    #[options(required, meta = "URL", help = "platform, as http://IP:port")]
    pub platform: String,
    /// Fleet file.
    #[options(free, required, help = "fleet file (JSON with comments)")]
    pub file: String,
}

/// Options of `apply`.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print JSON.
    #[options(help = "print JSON")]
    pub json: bool,
    /// Base address of the platform.
    #[options(required, meta = "URL", help = "platform, as http://IP:port")]
    pub platform: String,
    /// Revision that the edit is based on.
    #[options(
        meta = "REVISION",
        help = "revision that the edit is based on; default: the one in force"
    )]
    pub base: Option<u64>,
    /// Identifier of the edit.
    #[options(
        no_short,
        meta = "ID",
        help = "identifier of the edit; default: a random one"
    )]
    pub edit: Option<CompactString>,
    /// Whether to look up an earlier edit only.
    #[options(no_short, help = "only look up what became of --edit; send nothing")]
    pub ask: bool,
    /// Who makes the edit.
    #[options(no_short, meta = "NAME", help = "who makes the edit; default: $USER")]
    pub author: Option<String>,
    /// Why the edit is made.
    #[options(short = "m", meta = "TEXT", help = "why the edit is made")]
    pub reason: Option<String>,
    /// Whether to wait until the revision is in force.
    #[options(help = "wait until every live entry has the revision in force")]
    pub wait: bool,
    /// Fleet file.
    #[options(free, required, help = "fleet file (JSON with comments)")]
    pub file: String,
}

/// Options of `status`.
#[derive(Debug, Options)]
pub struct StatusOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print JSON.
    #[options(help = "print JSON")]
    pub json: bool,
    /// Base address of the platform.
    #[options(required, meta = "URL", help = "platform, as http://IP:port")]
    pub platform: String,
}

/// Options of `audit`.
#[derive(Debug, Options)]
pub struct AuditOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print JSON.
    #[options(help = "print JSON, one record a line")]
    pub json: bool,
    /// Base address of the platform.
    #[options(required, meta = "URL", help = "platform, as http://IP:port")]
    pub platform: String,
    /// Age of the oldest record shown.
    #[options(meta = "MINUTES", help = "records of the last minutes only")]
    pub since: Option<u64>,
}

/// Options of `wave`.
#[derive(Debug, Options)]
pub struct WaveOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print JSON.
    #[options(help = "print JSON")]
    pub json: bool,
    /// Base address of the platform.
    #[options(required, meta = "URL", help = "platform, as http://IP:port")]
    pub platform: String,
    /// Region.
    #[options(required, meta = "REGION", help = "region of the wave")]
    pub region: String,
    /// Action.
    #[options(free, required, help = "start, pause, resume, abort or show")]
    pub action: WaveAction,
}

/// Action on a wave.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WaveAction {
    /// Starts a wave.
    Start,
    /// Pauses the wave.
    Pause,
    /// Resumes the wave.
    Resume,
    /// Aborts the wave.
    Abort,
    /// Shows the wave.
    #[default]
    Show,
}

impl FromStr for WaveAction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "start" => Ok(Self::Start),
            "pause" => Ok(Self::Pause),
            "resume" => Ok(Self::Resume),
            "abort" => Ok(Self::Abort),
            "show" => Ok(Self::Show),
            _ => Err(format!(
                "{text:?}; expected start, pause, resume, abort or show"
            )),
        }
    }
}

/// Options of `measure`.
#[derive(Debug, Options)]
pub struct MeasureOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print JSON.
    #[options(help = "print JSON")]
    pub json: bool,
    /// Seed of every random choice.
    #[options(meta = "N", help = "seed of every random choice", default = "1")]
    pub seed: u64,
    /// Owner whose fleet is measured.
    #[options(meta = "NAME", help = "coastline or qureshi; default: both")]
    pub owner: Option<Owner>,
    /// File for a plot.
    #[options(meta = "FILE", help = "save a plot as SVG")]
    pub plot: Option<String>,
    /// Measurement.
    #[options(
        free,
        required,
        help = "waves, moves, buffer, floods, jobs, batch, capacity, decisions or overhead"
    )]
    pub name: String,
}

/// Options of `identity`.
#[derive(Debug, Options)]
pub struct IdentityOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the entry.
    #[options(free, required, help = "name of the entry")]
    pub entry: String,
}

/// Options of `demo`.
#[derive(Debug, Options)]
pub struct DemoOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to end with one JSON line.
    #[options(help = "end with one JSON line")]
    pub json: bool,
    /// Seed of every random choice.
    #[options(meta = "N", help = "seed of every random choice", default = "1")]
    pub seed: u64,
    /// Owner whose fleet is run.
    #[options(meta = "NAME", help = "coastline (default) or qureshi")]
    pub owner: Option<Owner>,
}
