//! Command line.

use gumdrop::Options;

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
    /// Reads an asset register.
    #[options(help = "turn an asset register (CSV) into the inventory of a fleet file")]
    Import(ImportOptions),
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
