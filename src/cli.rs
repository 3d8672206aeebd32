//! The arguments of the command line. The doc comments below are the texts of `--help`.

use argh::FromArgs;
use std::path::PathBuf;

/// Routes reads and writes to replicated database groups.
#[derive(FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Serve(Serve),
    CheckConfig(CheckConfig),
    Store(StoreCommand),
    Version(Version),
}

/// Serve clients until SIGTERM, as GW_CONFIG and the other GW_ variables say.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// also serve extended queries, where this file says
    #[argh(option)]
    pub postgres: Option<PathBuf>,
    /// keep the store as this file says; one replica in memory without it
    #[argh(option)]
    pub store: Option<PathBuf>,
    /// also log to the collector that this file names
    #[argh(option)]
    pub syslog: Option<PathBuf>,
}

/// Read the configuration as serve would, and say whether it can be used.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
pub struct CheckConfig {
    /// the file of the extended listener
    #[argh(option)]
    pub postgres: Option<PathBuf>,
    /// the file of the store
    #[argh(option)]
    pub store: Option<PathBuf>,
    /// the file of the collector
    #[argh(option)]
    pub syslog: Option<PathBuf>,
}

/// Run a replica of the store by itself, or ask the replicas.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
pub struct StoreCommand {
    /// the file of the store
    #[argh(option)]
    pub file: PathBuf,
    #[argh(subcommand)]
    pub action: StoreAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum StoreAction {
    Run(StoreRun),
    Status(StoreStatus),
    Put(StorePut),
}

/// Run a replica until it is ended.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct StoreRun {}

/// Print what each replica says of itself, a line of JSON each.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StoreStatus {}

/// Set a value, and wait until a quorum has it.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub struct StorePut {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the value: JSON, or else a text
    #[argh(positional)]
    pub value: String,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {}
