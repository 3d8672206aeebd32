//! The configuration of the extended listener.

use crate::{Idempotency, Settings};
use serde::Deserialize;
use std::net::SocketAddr;

/// The listen address of the extended front and its defaults, as read from the file given with `--postgres`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExtendedListenerConfig {
    /// The address on which the front accepts clients.
    pub listen: SocketAddr,
    /// The class of reads whose comment names no class.
    pub read_class: String,
    /// The class of writes whose comment names no class.
    pub write_class: String,
    /// The group of statements whose comment names no group.
    pub group: u32,
    /// The timeout of statements whose comment gives none, in milliseconds.
    pub wait_ms: u64,
    /// The number of the statement parameter that identifies the session, counted from 1; 0 for none.
    pub session_parameter: usize,
    /// The number of the statement parameter that is the idempotency key of an execution, counted from 1;
    /// 0 for none. The members must recognize repeats by this parameter.
    #[serde(default)]
    pub key_parameter: usize,
    /// The maximum number of prepared statements of one client.
    pub statements: usize,
}

/// The error for a configured class that the settings do not define.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("class {name} of the extended listener does not exist")]
pub struct UnknownClassError {
    /// The name of the class.
    pub name: String,
}

impl ExtendedListenerConfig {
    /// Checks that the settings define the configured classes.
    pub fn check(&self, settings: &Settings) -> Result<(), UnknownClassError> {
        for name in [&self.read_class, &self.write_class] {
            if settings.class(name.as_bytes()).is_none() {
                return Err(UnknownClassError { name: name.clone() });
            }
        }
        Ok(())
    }

    /// A note for the operator if writes that name no class are of one whose repeats a key makes safe, and no
    /// parameter is the key: they are then never sent again once they may have run.
    pub fn note_on_keys(&self, settings: &Settings) -> Option<String> {
        let class = &settings.classes[settings.class(self.write_class.as_bytes())?];
        let is_keyed = matches!(class.idempotency, Idempotency::Keyed { .. });
        (is_keyed && self.key_parameter == 0).then(|| {
            format!(
                "class {}: writes of the extended listener that name no key (k) run at most once, as \
                 key_parameter is 0",
                self.write_class
            )
        })
    }
}
