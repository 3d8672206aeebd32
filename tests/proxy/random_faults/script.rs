//! Random fault scripts; the seed determines them.

use crate::support::{MockMember, Proxy};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;
use std::net::SocketAddr;

/// Errors of opening and accepting connections that this machine causes.
const LOCAL_ERRORS: [&str; 6] =
    ["ECONNABORTED", "ENFILE", "ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "ENOMEM"];
/// Errors that end a connection to a member.
const MEMBER_ERRORS: [&str; 3] = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"];
/// Steps of the wall clock, in seconds.
const CLOCK_STEPS: [&str; 2] = ["3600", "-3600"];
const TRANSFERS: [&str; 2] = ["read", "write"];
const DELAYED_CALLS: [&str; 3] = ["connect", "read", "write"];
/// The maximum size of a short transfer.
const MAX_SHORT_TRANSFER_BYTES: u64 = 7;
/// The maximum number of rules in a script.
const MAX_RULES: u64 = 4;
/// The maximum number of calls that a rule affects. Even with the maximum delay for each of them, the total
/// delay of a rule stays below all tolerances of the test.
const MAX_CALLS_PER_RULE: u64 = 12;
const MAX_DELAY_MS: u64 = 8;
/// The maximum time for which a rule is in effect.
const MAX_PERIOD_MS: u64 = 500;

/// A source of random values that its seed alone determines.
pub struct SeededRandom(SplitMix64);

impl SeededRandom {
    /// A source with this seed.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(SplitMix64::seed_from_u64(seed))
    }

    /// A random integer in `0..bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound
    }

    /// A random element of these choices.
    fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }

    /// A random script of a few rules; the crate `fault_injection` documents the format.
    pub fn script(&mut self, members: &[MockMember], proxy: &Proxy) -> String {
        let members: Vec<_> = members.iter().map(|member| member.address).collect();
        // The admin listener is left out: the test polls its counters to learn which requests have been read.
        let listeners = [proxy.address, proxy.extended_address.unwrap()];
        (0..1 + self.below(MAX_RULES)).map(|_| self.rule(&members, &listeners) + "\n").collect()
    }

    fn rule(&mut self, members: &[SocketAddr], listeners: &[SocketAddr]) -> String {
        let (member, listener) = (self.one_of(members), self.one_of(listeners));
        let period = format!("for_ms={}", 1 + self.below(MAX_PERIOD_MS));
        let fault = match self.below(9) {
            0 => format!("connect peer={member} error={}", self.one_of(&LOCAL_ERRORS)),
            1 => format!("socket error={}", self.one_of(&LOCAL_ERRORS)),
            2 => format!("accept4 local={listener} error={}", self.one_of(&LOCAL_ERRORS)),
            3 => "epoll_wait error=EINTR".to_string(),
            4 => format!("{} peer={member} error={}", self.one_of(&TRANSFERS), self.one_of(&MEMBER_ERRORS)),
            5 => format!("{} peer={member} {}", self.one_of(&TRANSFERS), self.harmless_effect()),
            6 => {
                format!("{} local={listener} on=accepted {}", self.one_of(&TRANSFERS), self.harmless_effect())
            }
            7 => format!("{} delay_ms={}", self.one_of(&DELAYED_CALLS), 1 + self.below(MAX_DELAY_MS)),
            // Without `skip` and `every`: with them, the clock would step forth and back more than once.
            _ => return format!("clock_gettime {period} offset_s={}", self.one_of(&CLOCK_STEPS)),
        };
        let (skip, every, count) = (self.below(5), 1 + self.below(3), 1 + self.below(MAX_CALLS_PER_RULE));
        format!("{fault} skip={skip} every={every} count={count} {period}")
    }

    /// A random effect after which a connection can still be used.
    fn harmless_effect(&mut self) -> String {
        match self.below(2) {
            0 => "error=EINTR".to_string(),
            _ => format!("short={}", 1 + self.below(MAX_SHORT_TRANSFER_BYTES)),
        }
    }
}
