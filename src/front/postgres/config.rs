//! The configuration of the extended listener.

use crate::Settings;
use serde::Deserialize;
use std::net::SocketAddr;

/// The file under `deploy/` with this front's listen address and its defaults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExtendedListenerConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The class of reads whose statement names none.
    pub read_class: String,
    /// The class of writes whose statement names none.
    pub write_class: String,
    /// The group of statements that name none.
    pub group: u32,
    /// How long a client waits whose statement gives no timeout, in milliseconds.
    pub wait_ms: u64,
    /// The parameter that names the session, counted from 1; 0 for none.
    pub session_parameter: usize,
    /// The most statements that one client may have prepared.
    pub statements: usize,
}

/// The configuration names a request class that the settings lack.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("class {name} of the extended listener does not exist")]
pub struct UnknownClassError {
    /// The name of the class.
    pub name: String,
}

impl ExtendedListenerConfig {
    /// Checks that the configured classes exist.
    pub fn check(&self, settings: &Settings) -> Result<(), UnknownClassError> {
        for name in [&self.read_class, &self.write_class] {
            if settings.class(name.as_bytes()).is_none() {
                return Err(UnknownClassError { name: name.clone() });
            }
        }
        Ok(())
    }
}
