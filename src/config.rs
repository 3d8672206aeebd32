//! The configuration of the process: the JSON file that `GW_CONFIG` names, the environment variables that
//! override its values, and the TOML files that the command line names.

use crate::Settings;
use crate::endpoint_list::EndpointList;
use serde::Deserialize;
use std::error::Error;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};

/// The variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// The variable with the address of discovery.
const DISCOVERY_VARIABLE: &str = "GW_DISCOVERY";
/// The variable with the address of the clients' listener.
const LISTEN_VARIABLE: &str = "GW_LISTEN";
/// The variable with the address of the admin listener.
const ADMIN_VARIABLE: &str = "GW_OPS";
/// The variable with the number of the inherited descriptor of the clients' listening socket.
pub const LISTEN_FD_VARIABLE: &str = "GW_LISTEN_FD";
/// The variable with the name of the proxy.
const NAME_VARIABLE: &str = "GW_NAME";

/// The upper bound of the number of descriptors that the process uses; higher limits have no effect.
const MAX_DESCRIPTORS: usize = 1024;
/// The bounds of `memory_mb`, in MiB; a value outside of them is replaced by the nearer one.
const MIN_MEMORY_MB: f64 = 16.0;
const MAX_MEMORY_MB: f64 = 1024.0;
/// The exclusive upper bound of a descriptor's number.
const DESCRIPTOR_NUMBER_BOUND: i32 = 1 << 20;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required environment variable is not set.
    #[error("the environment variable {0} is not set")]
    VariableNotSet(&'static str),
    /// The value of an environment variable is not an address.
    #[error("{variable}: expected an IP address and a port, got {value}")]
    Address {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// The value of an environment variable is not the number of a descriptor.
    #[error("{variable}: expected the number of a descriptor, got {value}")]
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
        /// The error of the file system.
        source: std::io::Error,
    },
    /// A file is not JSON, or its values are not those that the configuration has.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A file is not TOML, or its values are not those that the configuration has.
    #[error("{}: {}", path.display(), source.message())]
    Toml {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: toml::de::Error,
    },
    /// Parts of the configuration contradict each other, or a value is out of range.
    #[error(transparent)]
    Invalid(Box<dyn Error + Send + Sync>),
}

impl ConfigError {
    /// Wraps an error that a check of the parsed values has returned.
    pub fn invalid(error: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        ConfigError::Invalid(error.into())
    }
}

/// The configuration of one proxy.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// The name of the proxy, which stays the same after a restart.
    #[serde(default)]
    pub name: String,
    /// The address of the clients' listener.
    pub listen: SocketAddr,
    /// The address of the admin listener, if there is one.
    #[serde(default, rename = "ops")]
    pub admin_listen: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, if the platform provides it.
    #[serde(skip)]
    pub listen_fd: Option<i32>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the random number generators.
    #[serde(default, deserialize_with = "hexadecimal")]
    pub seed: u64,
    #[serde(default)]
    limits: Limits,
    /// The maximum number of descriptors that the process may use.
    #[serde(skip)]
    pub max_descriptors: usize,
    /// The memory that the process may use, in bytes.
    #[serde(skip)]
    pub memory_bytes: usize,
    /// The endpoint list that this proxy had in its previous run.
    #[serde(default, rename = "known")]
    pub known_endpoints: EndpointList,
    /// The settings of the policy.
    pub settings: Settings,
    /// The settings as a JSON value, as in the file. The proxy writes them to the store.
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
    /// Reads the file that `GW_CONFIG` names. The other `GW_` variables take precedence over its values.
    pub fn from_env() -> Result<Config, ConfigError> {
        let mut config = Config::from_file()?;
        if let Some(address) = address_variable(DISCOVERY_VARIABLE)? {
            config.discovery = address;
        }
        Ok(config)
    }

    /// Like [`Config::from_env`], but ignores `GW_DISCOVERY`. A reload uses this function: the address of
    /// discovery in the replaced file applies.
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

    /// Sets the limits that apply. The system's limit of descriptors replaces a higher configured one: the
    /// quotas of clients and members are computed from the limit, and must leave enough descriptors for the
    /// proxy's other sockets and files, above all for the connection to discovery.
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

/// Parses the address in an environment variable; `None` if the variable is not set.
fn address_variable(variable: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(value) = std::env::var(variable) else { return Ok(None) };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(source) => Err(ConfigError::Address { variable, value, source }),
    }
}

/// Parses the descriptor number in an environment variable; `None` if the variable is not set.
fn descriptor_variable(variable: &'static str) -> Result<Option<i32>, ConfigError> {
    let Ok(value) = std::env::var(variable) else { return Ok(None) };
    match value.parse() {
        Ok(descriptor) if (0..DESCRIPTOR_NUMBER_BOUND).contains(&descriptor) => Ok(Some(descriptor)),
        _ => Err(ConfigError::Descriptor { variable, value }),
    }
}

/// Reads a TOML file, such as those under `deploy/`.
pub fn from_toml<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| ConfigError::Read { path: path.into(), source })?;
    toml::from_str(&text).map_err(|source| ConfigError::Toml { path: path.into(), source })
}
