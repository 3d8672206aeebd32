//! liftrelay's command line.

use argh::FromArgs;
use std::path::PathBuf;
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
    Version(Version),
}

/// Serve clients until SIGTERM, as GW_CONFIG and the other GW_ variables say.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// also serve extended queries, where this file says
    #[argh(option)]
    postgres: Option<PathBuf>,
}

/// Read the configuration as serve would, and say whether it can be used.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// The exit code for a configuration that can't be used.
const BAD_CONFIG: u8 = 2;

fn main() -> ExitCode {
    let command = argh::from_env::<Args>().command;
    if let Command::Version(_) = command {
        println!("liftrelay {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let serve = match &command {
        Command::Serve(serve) => serve.postgres.as_deref(),
        _ => None,
    };
    let read = || Ok((liftrelay::Config::from_env()?, serve.map(liftrelay::from_toml).transpose()?));
    let (config, postgres) = match read() {
        Ok(read) => read,
        Err(e) => {
            let e: String = e;
            eprintln!("liftrelay: {}", e.replace('\n', " "));
            return ExitCode::from(BAD_CONFIG);
        }
    };
    if let Command::CheckConfig(_) = command {
        println!("the configuration can be used");
        return ExitCode::SUCCESS;
    }
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    match liftrelay::serve(&config, postgres) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("liftrelay: {e}");
            ExitCode::FAILURE
        }
    }
}
