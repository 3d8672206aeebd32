//! A hash function whose values are the same at every proxy, on every machine and after every restart.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Returns the 64-bit FNV-1a hash of `bytes`.
///
/// The algorithm must not change: endpoint ids, session ids and cancellation secrets are derived from the
/// hash, and proxies exchange the ids with their peers and compare them across restarts.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

#[cfg(test)]
mod tests;
