//! liftrelay's command line.

use argh::FromArgs;
use liftrelay::store::{self, Replicas, Store};
use liftrelay::syslog::{self, Collector};
use liftrelay::{Config, Listen, from_toml};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Routes reads and writes to replicated database groups.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    CheckConfig(CheckConfig),
    Store(StoreCommand),
    Version(Version),
}

/// Serve clients until SIGTERM, as GW_CONFIG and the other GW_ variables say.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// also serve extended queries, where this file says
    #[argh(option)]
    postgres: Option<PathBuf>,
    /// keep the store as this file says; one replica in memory without it
    #[argh(option)]
    store: Option<PathBuf>,
    /// also log to the collector that this file names
    #[argh(option)]
    syslog: Option<PathBuf>,
}

/// Read the configuration as serve would, and say whether it can be used.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the file of the extended listener
    #[argh(option)]
    postgres: Option<PathBuf>,
    /// the file of the store
    #[argh(option)]
    store: Option<PathBuf>,
    /// the file of the collector
    #[argh(option)]
    syslog: Option<PathBuf>,
}

/// Run a replica of the store by itself, or ask the replicas.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreCommand {
    /// the file of the store
    #[argh(option)]
    file: PathBuf,
    #[argh(subcommand)]
    action: StoreAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StoreAction {
    Run(StoreRun),
    Status(StoreStatus),
    Put(StorePut),
}

/// Run a replica until it is ended.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct StoreRun {}

/// Print what each replica says of itself, a line of JSON each.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StoreStatus {}

/// Set a value, and wait until a quorum has it.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct StorePut {
    /// its name
    #[argh(positional)]
    name: String,
    /// the value: JSON, or else a text
    #[argh(positional)]
    value: String,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// The exit code for a configuration that can't be used.
const BAD_CONFIG: u8 = 2;

struct Files {
    config: Config,
    postgres: Option<Listen>,
    replicas: Replicas,
    collector: Option<Collector>,
}

fn read(postgres: Option<&Path>, store: Option<&Path>, syslog: Option<&Path>) -> Result<Files, String> {
    let config = Config::from_env()?;
    let postgres: Option<Listen> = postgres.map(from_toml).transpose()?;
    if let Some(postgres) = &postgres {
        postgres.check(&config.settings)?;
    }
    let replicas = store.map_or_else(|| Ok(Replicas::alone()), from_toml::<Replicas>)?;
    replicas.check()?;
    let collector: Option<Collector> = syslog.map(from_toml).transpose()?;
    collector.map_or(Ok(()), |c| c.check())?;
    Ok(Files { config, postgres, replicas, collector })
}

fn main() -> ExitCode {
    let done = match argh::from_env::<Args>().command {
        Command::Version(_) => {
            println!("liftrelay {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig(c) => read(c.postgres.as_deref(), c.store.as_deref(), c.syslog.as_deref())
            .map(|_| println!("the configuration can be used"))
            .map_err(|e| (BAD_CONFIG, e)),
        Command::Serve(s) => read(s.postgres.as_deref(), s.store.as_deref(), s.syslog.as_deref())
            .map_err(|e| (BAD_CONFIG, e))
            .and_then(|files| {
                let listener = liftrelay::listener(&files.config).map_err(|e| (BAD_CONFIG, e))?;
                serve(files, listener).map_err(|e| (1, e.to_string()))
            }),
        Command::Store(s) => from_toml(&s.file)
            .map_err(|e| (BAD_CONFIG, e))
            .and_then(|replicas| store(&replicas, s.action).map_err(|e| (1, e.to_string()))),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, e)) => {
            eprintln!("liftrelay: {}", e.replace('\n', " "));
            ExitCode::from(code)
        }
    }
}

fn serve(files: Files, listener: std::net::TcpListener) -> std::io::Result<()> {
    let Files { config, postgres, replicas, collector } = files;
    let log = syslog::start(collector)?;
    let served = liftrelay::serve(&config, listener, postgres, &replicas);
    log.finish();
    served
}

fn store(replicas: &Replicas, action: StoreAction) -> std::io::Result<()> {
    match action {
        StoreAction::Run(_) => {
            let _log = syslog::start(None)?;
            let _store = Store::start(replicas, std::process::id().into(), drop)?;
            loop {
                std::thread::park();
            }
        }
        StoreAction::Status(_) => {
            for (id, status) in store::status(replicas) {
                match status {
                    Ok(status) => println!("{}", serde_json::to_string(&status)?),
                    Err(e) => eprintln!("liftrelay: replica {id}: {e}"),
                }
            }
            Ok(())
        }
        StoreAction::Put(StorePut { name, value }) => {
            let value = serde_json::from_str(&value).unwrap_or(serde_json::Value::String(value));
            store::put(replicas, &name, value)
        }
    }
}
