//! A hash that is the same for the same bytes at every proxy, on every machine and after every restart.

use fnv::FnvHasher;
use std::hash::Hasher;

/// FNV-1a, 64 bits.
///
/// The algorithm must not change: endpoint ids, session ids and cancellation secrets are made from it, and
/// proxies exchange the ids with their peers and compare them across restarts.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

#[cfg(test)]
mod tests;
