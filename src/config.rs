//! What the proxy is told at its start: `GW_CONFIG`, and what the other variables say in its place.

use crate::Settings;
use crate::endpoint_list::EndpointList;
use serde::Deserialize;
use std::net::SocketAddr;

/// The configuration of one real proxy.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// Its name, the same after a restart.
    #[serde(default)]
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the admin listener is, if anywhere.
    #[serde(default, rename = "ops")]
    pub admin_listen: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, where the platform holds it.
    #[serde(skip)]
    pub listen_fd: Option<i32>,
    /// Where discovery is reached.
    pub discovery: SocketAddr,
    /// For random numbers.
    #[serde(default, deserialize_with = "hexadecimal")]
    pub seed: u64,
    #[serde(default)]
    limits: Limits,
    /// Descriptors that the process may hold.
    #[serde(skip)]
    pub sockets: usize,
    /// Bytes of memory that it may use.
    #[serde(skip)]
    pub memory: usize,
    /// The member list as this proxy last had it.
    #[serde(default)]
    pub known: EndpointList,
    /// What the decisions are told.
    pub settings: Settings,
    /// The same as it was written, for the store.
    #[serde(skip)]
    pub told: serde_json::Value,
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

/// The highest number of descriptors used, whatever the limit.
const MOST_SOCKETS: usize = 1024;
/// The most memory used, in MB, whatever the limit.
const MOST_MEMORY_MB: f64 = 1024.0;

impl Config {
    /// Reads the file that `GW_CONFIG` names; the other variables go before what it says.
    pub fn from_env() -> Result<Config, String> {
        let mut config = Config::from_file()?;
        address("GW_DISCOVERY", &mut config.discovery)?;
        Ok(config)
    }

    /// The same when the file has been replaced: where discovery is now, only the file can say.
    pub fn from_file() -> Result<Config, String> {
        let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG is not set".to_string())?;
        let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
        let mut config: Config = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
        let whole: serde_json::Value = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
        config.told = whole["settings"].clone();
        address("GW_LISTEN", &mut config.listen)?;
        if let Ok(text) = std::env::var("GW_OPS") {
            config.admin_listen = Some(text.parse().map_err(|_| format!("GW_OPS is no address: {text}"))?);
        }
        if let Ok(text) = std::env::var("GW_LISTEN_FD") {
            let number = text.parse().ok().filter(|n| (0..1 << 20).contains(n));
            config.listen_fd = Some(number.ok_or(format!("GW_LISTEN_FD is no descriptor: {text}"))?);
        }
        if let Ok(name) = std::env::var("GW_NAME") {
            config.name = name;
        }
        // What the system allows, where that is less: the shares of clients and links must leave the proxy
        // what it needs itself, above all the way to discovery.
        let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let allowed = allowed.and_then(|n| usize::try_from(n).ok()).unwrap_or(MOST_SOCKETS);
        config.sockets = config.limits.sockets.min(allowed).min(MOST_SOCKETS);
        config.memory = (config.limits.memory_mb.clamp(16.0, MOST_MEMORY_MB) as usize) << 20;
        Ok(config)
    }
}

fn address(name: &str, value: &mut SocketAddr) -> Result<(), String> {
    match std::env::var(name) {
        Ok(text) => text.parse().map(|a| *value = a).map_err(|_| format!("{name} is no address: {text}")),
        Err(_) => Ok(()),
    }
}

/// Reads a TOML file under `deploy/`.
pub fn from_toml<T: serde::de::DeserializeOwned>(path: &std::path::Path) -> Result<T, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    toml::from_str(&text).map_err(|e| format!("{}: {}", path.display(), e.message()))
}
