//! Fault scripts drawn from a seed.

use crate::support::{MockMember, Proxy};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;
use std::net::SocketAddr;

/// Errors of this machine while it opens or accepts connections.
const LOCAL_ERRORS: [&str; 6] =
    ["ECONNABORTED", "ENFILE", "ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "ENOMEM"];
/// Errors that end a connection to a member.
const MEMBER_ERRORS: [&str; 3] = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"];
/// Steps of the wall clock, in seconds.
const CLOCK_STEPS: [&str; 2] = ["3600", "-3600"];
const TRANSFERS: [&str; 2] = ["read", "write"];
const DELAYED_CALLS: [&str; 3] = ["connect", "read", "write"];
/// Short transfers are of at most so many bytes.
const LONGEST_SHORT_TRANSFER: u64 = 7;
/// Rules in a script.
const MOST_RULES: u64 = 4;
/// A rule affects so many calls at most. With the longest delay, what it holds up stays below all tolerances.
const MOST_CALLS: u64 = 12;
const LONGEST_DELAY_MS: u64 = 8;
/// A rule lasts so long at most.
const LONGEST_PERIOD_MS: u64 = 500;

/// A source of draws that follow from its seed alone.
pub struct Draws(SplitMix64);

impl Draws {
    /// The draws of this seed.
    pub fn new(seed: u64) -> Draws {
        Draws(SplitMix64::seed_from_u64(seed))
    }

    /// An integer in `0..bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound
    }

    /// One of these.
    fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }

    /// A script of a few rules; the crate `fault_injection` documents the format.
    pub fn script(&mut self, members: &[MockMember], proxy: &Proxy) -> String {
        let members: Vec<_> = members.iter().map(|member| member.address).collect();
        // Not the admin listener, which shows when requests have been read.
        let listeners = [proxy.address, proxy.extended_address.unwrap()];
        (0..1 + self.below(MOST_RULES)).map(|_| self.rule(&members, &listeners) + "\n").collect()
    }

    fn rule(&mut self, members: &[SocketAddr], listeners: &[SocketAddr]) -> String {
        let (member, listener) = (self.one_of(members), self.one_of(listeners));
        let period = format!("for_ms={}", 1 + self.below(LONGEST_PERIOD_MS));
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
            7 => format!("{} delay_ms={}", self.one_of(&DELAYED_CALLS), 1 + self.below(LONGEST_DELAY_MS)),
            // Neither skipped nor alternating, which would be more than one step there and back.
            _ => return format!("clock_gettime {period} offset_s={}", self.one_of(&CLOCK_STEPS)),
        };
        let (skip, every, count) = (self.below(5), 1 + self.below(3), 1 + self.below(MOST_CALLS));
        format!("{fault} skip={skip} every={every} count={count} {period}")
    }

    /// An effect that leaves a connection as it was.
    fn harmless_effect(&mut self) -> String {
        match self.below(2) {
            0 => "error=EINTR".to_string(),
            _ => format!("short={}", 1 + self.below(LONGEST_SHORT_TRANSFER)),
        }
    }
}
