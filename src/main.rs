//! The command line of liftrelay: runs the subcommands, and reports an error as one line and an exit code.

#![deny(clippy::too_many_lines, clippy::unwrap_used)]

mod cli;

use cli::{Arguments, Command, StoreAction, StorePut};
use liftrelay::store::{self, Store, StoreConfig, StoreError};
use liftrelay::syslog::{self, Collector, SyslogError};
use liftrelay::{
    Config, ConfigError, ExtendedListenerConfig, ListenError, ServeError, client_listener, from_toml,
};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code for a configuration that can't be used.
const EXIT_BAD_CONFIG: u8 = 2;
/// The exit code for every other failure.
const EXIT_FAILURE: u8 = 1;

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listening socket for clients can't be opened, or the inherited one can't be used.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// Logging can't be started.
    #[error(transparent)]
    Syslog(#[from] SyslogError),
    /// The store can't be started, read or changed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The subcommand failed while it was running.
    #[error(transparent)]
    Run(#[from] std::io::Error),
}

impl From<ServeError> for CommandError {
    fn from(error: ServeError) -> Self {
        match error {
            ServeError::Store(error) => CommandError::Store(error),
            ServeError::Io(error) => CommandError::Run(error),
        }
    }
}

impl CommandError {
    fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Config(_)
            | CommandError::Listen(_)
            | CommandError::Store(StoreError::DataDirectory { .. }) => ExitCode::from(EXIT_BAD_CONFIG),
            CommandError::Syslog(_) | CommandError::Store(_) | CommandError::Run(_) => {
                ExitCode::from(EXIT_FAILURE)
            }
        }
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let line = error.to_string().replace('\n', " ");
            eprintln!("liftrelay: {line}");
            error.exit_code()
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Version(_) => println!("liftrelay {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig(check) => {
            let deployment = Deployment::load(check.postgres, check.store, check.syslog)?;
            let settings = &deployment.config.settings;
            let note = deployment.postgres.as_ref().and_then(|postgres| postgres.note_on_keys(settings));
            note.iter().for_each(|note| println!("{note}"));
            println!("the configuration can be used");
        }
        Command::Serve(serve) => {
            let deployment = Deployment::load(serve.postgres, serve.store, serve.syslog)?;
            let listener = client_listener(&deployment.config)?;
            deployment.serve(listener)?;
        }
        Command::Store(store) => run_store(&from_toml(&store.file)?, store.action)?,
    }
    Ok(())
}

/// The configuration of the proxy and of its optional parts.
struct Deployment {
    config: Config,
    postgres: Option<ExtendedListenerConfig>,
    replicas: StoreConfig,
    collector: Option<Collector>,
}

impl Deployment {
    /// Reads and checks the configuration and the files that the command line names.
    fn load(
        postgres: Option<PathBuf>,
        store: Option<PathBuf>,
        syslog: Option<PathBuf>,
    ) -> Result<Deployment, ConfigError> {
        let config = Config::from_env()?;
        let postgres: Option<ExtendedListenerConfig> = postgres.as_deref().map(from_toml).transpose()?;
        if let Some(postgres) = &postgres {
            postgres.check(&config.settings).map_err(ConfigError::invalid)?;
        }
        let replicas = match store {
            Some(file) => from_toml(&file)?,
            None => StoreConfig::single_in_memory(),
        };
        replicas.check().map_err(ConfigError::invalid)?;
        let collector: Option<Collector> = syslog.as_deref().map(from_toml).transpose()?;
        if let Some(collector) = &collector {
            collector.check().map_err(ConfigError::invalid)?;
        }
        Ok(Deployment { config, postgres, replicas, collector })
    }

    fn serve(self, listener: TcpListener) -> Result<(), CommandError> {
        let log = syslog::start(self.collector)?;
        let served = liftrelay::serve(&self.config, listener, self.postgres, &self.replicas);
        log.finish();
        Ok(served?)
    }
}

fn run_store(replicas: &StoreConfig, action: StoreAction) -> Result<(), CommandError> {
    match action {
        StoreAction::Run(_) => {
            let _log = syslog::start(None)?;
            let _store = Store::start(replicas, std::process::id().into(), drop)?;
            loop {
                std::thread::park();
            }
        }
        StoreAction::Status(_) => Ok(print_store_status(replicas)?),
        StoreAction::Put(StorePut { name, value }) => {
            let value = serde_json::from_str(&value).unwrap_or(serde_json::Value::String(value));
            Ok(store::put(replicas, &name, value)?)
        }
    }
}

fn print_store_status(replicas: &StoreConfig) -> std::io::Result<()> {
    for store::ReplicaStatus { id, status } in store::status(replicas) {
        match status {
            Ok(status) => println!("{}", serde_json::to_string(&status)?),
            Err(error) => eprintln!("liftrelay: replica {id}: {error}"),
        }
    }
    Ok(())
}
