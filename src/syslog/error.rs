//! The errors at the start of logging.

use tracing::subscriber::SetGlobalDefaultError;

/// Why logging can't be started.
#[derive(Debug, thiserror::Error)]
pub enum SyslogError {
    /// The configured facility is above the highest syslog facility, 23.
    #[error("syslog facility {0} is over 23")]
    Facility(u8),
    /// The thread of a sink could not be started.
    #[error(transparent)]
    Thread(std::io::Error),
    /// No UDP socket could be bound.
    #[error(transparent)]
    Socket(std::io::Error),
    /// Logging has been started before.
    #[error(transparent)]
    AlreadyStarted(#[from] SetGlobalDefaultError),
}
