//! The errors at the start of logging.

use tracing::subscriber::SetGlobalDefaultError;

/// Why logging can't be started.
#[derive(Debug, thiserror::Error)]
pub enum SyslogError {
    /// The facility does not exist.
    #[error("syslog facility {0} is over 23")]
    Facility(u8),
    /// No thread could be started.
    #[error(transparent)]
    Thread(std::io::Error),
    /// No socket for the collector can be bound.
    #[error(transparent)]
    Socket(std::io::Error),
    /// Logging has been started before.
    #[error(transparent)]
    AlreadyStarted(#[from] SetGlobalDefaultError),
}
