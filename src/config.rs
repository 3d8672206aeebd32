//! The configuration: the file that `GW_CONFIG` names, the other variables that override it, and the
//! TOML files under `deploy/`.

use crate::Settings;
use crate::endpoint_list::EndpointList;
use serde::Deserialize;
use std::error::Error;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};

/// Names the configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// Sets the address of discovery.
const DISCOVERY_VARIABLE: &str = "GW_DISCOVERY";
/// Sets the address for clients.
const LISTEN_VARIABLE: &str = "GW_LISTEN";
/// Sets the address of the admin listener.
const ADMIN_VARIABLE: &str = "GW_OPS";
/// Names the descriptor of the clients' listening socket.
pub const LISTEN_FD_VARIABLE: &str = "GW_LISTEN_FD";
/// Sets the proxy's name.
const NAME_VARIABLE: &str = "GW_NAME";

/// The highest number of descriptors used, whatever the limit.
const MAX_DESCRIPTORS: usize = 1024;
/// The least and the most memory used, in MB, whatever the limit.
const MIN_MEMORY_MB: f64 = 16.0;
const MAX_MEMORY_MB: f64 = 1024.0;
/// Descriptor numbers are below this.
const DESCRIPTOR_NUMBERS: i32 = 1 << 20;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A variable that must be set is not.
    #[error("{0} is not set")]
    VariableNotSet(&'static str),
    /// The value of a variable is not an address.
    #[error("{variable} is no address: {value}")]
    Address {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
        /// Why it is not an address.
        source: AddrParseError,
    },
    /// The value of a variable is not a descriptor.
    #[error("{variable} is no descriptor: {value}")]
    Descriptor {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
    },
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// A file is not JSON of the right form.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A file is not TOML of the right form.
    #[error("{}: {}", path.display(), source.message())]
    Toml {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: toml::de::Error,
    },
    /// The parts of the configuration contradict each other, or a value is out of range.
    #[error(transparent)]
    Invalid(Box<dyn Error + Send + Sync>),
}

impl ConfigError {
    /// Wraps the error of a check of values that were read.
    pub fn invalid(error: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        ConfigError::Invalid(error.into())
    }
}

/// The configuration of one proxy.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// Its name, the same after a restart.
    #[serde(default)]
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the admin listener, if there is one.
    #[serde(default, rename = "ops")]
    pub admin_listen: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, if the platform provides it.
    #[serde(skip)]
    pub listen_fd: Option<i32>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the random numbers.
    #[serde(default, deserialize_with = "hexadecimal")]
    pub seed: u64,
    #[serde(default)]
    limits: Limits,
    /// The most descriptors that the process may use.
    #[serde(skip)]
    pub max_descriptors: usize,
    /// Bytes of memory that the process may use.
    #[serde(skip)]
    pub memory_bytes: usize,
    /// The endpoint list of this proxy's last run.
    #[serde(default, rename = "known")]
    pub known_endpoints: EndpointList,
    /// The settings of the policy.
    pub settings: Settings,
    /// The settings as written, for the store.
    #[serde(skip)]
    pub raw_settings: serde_json::Value,
}

#[derive(Debug, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 256.0 }
    }
}

fn hexadecimal<'de, D: serde::Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16).map_err(|_| serde::de::Error::custom("seed is not hexadecimal"))
}

impl Config {
    /// Reads the file that `GW_CONFIG` names; the other variables take precedence over it.
    pub fn from_env() -> Result<Config, ConfigError> {
        let mut config = Config::from_file()?;
        if let Some(address) = address_variable(DISCOVERY_VARIABLE)? {
            config.discovery = address;
        }
        Ok(config)
    }

    /// Reads the configuration again after the file was replaced: discovery is taken from the file alone.
    pub fn from_file() -> Result<Config, ConfigError> {
        let path = std::env::var(CONFIG_VARIABLE)
            .map(PathBuf::from)
            .map_err(|_| ConfigError::VariableNotSet(CONFIG_VARIABLE))?;
        let text = std::fs::read(&path).map_err(|source| ConfigError::Read { path: path.clone(), source })?;
        let mut config: Config = parse_json(&path, &text)?;
        let document: serde_json::Value = parse_json(&path, &text)?;
        config.raw_settings = document["settings"].clone();
        config.apply_variables()?;
        config.apply_limits();
        Ok(config)
    }

    fn apply_variables(&mut self) -> Result<(), ConfigError> {
        if let Some(address) = address_variable(LISTEN_VARIABLE)? {
            self.listen = address;
        }
        if let Some(address) = address_variable(ADMIN_VARIABLE)? {
            self.admin_listen = Some(address);
        }
        if let Some(descriptor) = descriptor_variable(LISTEN_FD_VARIABLE)? {
            self.listen_fd = Some(descriptor);
        }
        if let Ok(name) = std::env::var(NAME_VARIABLE) {
            self.name = name;
        }
        Ok(())
    }

    /// The system's limit of descriptors applies if it is lower: the shares of clients and members must
    /// leave enough for the proxy itself, above all for the connection to discovery.
    fn apply_limits(&mut self) {
        let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let allowed = allowed.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(MAX_DESCRIPTORS);
        self.max_descriptors = self.limits.sockets.min(allowed).min(MAX_DESCRIPTORS);
        self.memory_bytes = (self.limits.memory_mb.clamp(MIN_MEMORY_MB, MAX_MEMORY_MB) as usize) << 20;
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(path: &Path, text: &[u8]) -> Result<T, ConfigError> {
    serde_json::from_slice(text).map_err(|source| ConfigError::Json { path: path.into(), source })
}

/// The address in a variable; `None` if the variable is not set.
fn address_variable(variable: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(value) = std::env::var(variable) else { return Ok(None) };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(source) => Err(ConfigError::Address { variable, value, source }),
    }
}

/// The descriptor in a variable; `None` if the variable is not set.
fn descriptor_variable(variable: &'static str) -> Result<Option<i32>, ConfigError> {
    let Ok(value) = std::env::var(variable) else { return Ok(None) };
    match value.parse() {
        Ok(descriptor) if (0..DESCRIPTOR_NUMBERS).contains(&descriptor) => Ok(Some(descriptor)),
        _ => Err(ConfigError::Descriptor { variable, value }),
    }
}

/// Reads a TOML file under `deploy/`.
pub fn from_toml<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| ConfigError::Read { path: path.into(), source })?;
    toml::from_str(&text).map_err(|source| ConfigError::Toml { path: path.into(), source })
}
