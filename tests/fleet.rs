//! A whole fleet of routers around one group: what none of them can see alone, their sum, must stay within what the
//! settings allow a cold member.

mod common;
use common::*;
use liftrelay::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Requests a second that a warm member can serve.
const CAPACITY: f64 = 100.0;
const MEMBERS: u64 = 4;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Comes,
    Ends { id: u32, attempt: u32, server: u64, sent: Micros, served: bool },
    Told,
}

/// The share of its capacity that a member has, this long after its start.
fn part(settings: &Settings, age: Micros) -> f64 {
    (settings.slow_start_capacity
        + (1.0 - settings.slow_start_capacity) * age as f64 / settings.slow_start_duration as f64)
        .min(1.0)
}

/// Lets `routers` share a load of so many times what the members can serve, restarts member `cold` after a while,
/// and returns by how much the fullest window went over what the settings allow, in roots of it, and what it took
/// in the whole time that it was cold, as a share of what it could do.
fn worst_window(routers: usize, load: f64, cold: u64, settings: &Settings, seed: u64) -> (f64, f64) {
    let mut dice = Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let settings = Settings { instances: routers as u32, ..settings.clone() };
    let mut rigs: Vec<_> =
        (0..routers).map(|n| Rig::known_by(settings.clone(), MEMBERS, seed * 1000 + n as u64)).collect();
    let begun = rigs[0].now;
    let (starts, end) = (begun + 8000 * MS, begun + 8000 * MS + settings.slow_start_duration);
    let rate = load * CAPACITY * MEMBERS as f64 / routers as f64;
    let mut queue = BinaryHeap::new();
    for n in 0..routers {
        queue.push(Reverse((begun + dice.gap(rate), n, Happens::Comes)));
        queue.push(Reverse((starts + dice.below(300) * MS, n, Happens::Told)));
    }
    let (mut last, mut taken) = (0, Vec::new());
    let mut slots = [[0; 2]; MEMBERS as usize + 1];
    let mut attempts = std::collections::HashMap::new();
    while let Some(Reverse((now, n, what))) = queue.pop()
        && now < end
    {
        let rig = &mut rigs[n];
        rig.pass(now.saturating_sub(rig.now));
        match what {
            Happens::Comes => {
                last += 1;
                let class = match dice.below(100) {
                    0..12 => UNSAFE,
                    12..15 => LATEST,
                    _ => ANY,
                };
                rig.ask(last, class);
                queue.push(Reverse((now + dice.gap(rate), n, Happens::Comes)));
            }
            Happens::Told => {
                let started = EndpointEntry { started_at: starts, primary_hint: cold == 1, ..member(cold) };
                rig.event(Event::EndpointUpdate { full: false, endpoints: vec![started] });
            }
            Happens::Ends { id, attempt, server, sent, served } => {
                let role = if server == 1 { Role::Primary } else { Role::Replica };
                let metadata = ResponseMetadata { role: Some(role), position: None };
                let (outcome, metadata) = match served {
                    true => (Outcome::Ok, metadata),
                    false => (Outcome::TimedOut, ResponseMetadata::default()),
                };
                let ended = ended(id, attempt, server, outcome);
                rig.event(Event::AttemptEnded(AttemptResult { metadata, elapsed: now - sent, ..ended }));
            }
        }
        // Also what timers sent on the way.
        let sends: Vec<_> = rig.log.drain(..).collect();
        for action in sends {
            if let Action::Send { request, endpoint: server, timeout, .. } = action {
                let attempt = attempts.entry(request).and_modify(|a| *a += 1).or_insert(0);
                let age = now.saturating_sub(starts);
                let slow = if server.0 == cold && now >= starts { part(&settings, age) } else { 1.0 };
                // Two at a time; what finds both at work waits.
                let slot = slots[server.0 as usize].iter_mut().min().unwrap();
                *slot = (*slot).max(now) + (20_000.0 / slow) as Micros;
                let served = *slot <= now + timeout;
                let (id, attempt, server) = (request, *attempt, server.0);
                let ends = Happens::Ends { id, attempt, server, sent: now, served };
                queue.push(Reverse(((*slot).min(now + timeout), n, ends)));
                if server == cold && now >= starts {
                    taken.push(now);
                }
            }
        }
    }
    let window = settings.overload_window;
    let mut worst = f64::MIN;
    for (i, from) in taken.iter().enumerate() {
        let count = taken[i..].iter().take_while(|t| **t < from + window).count() as f64;
        let age = from - starts + window / 2;
        let allowed = settings.overload_multiple * part(&settings, age) * CAPACITY * window as f64 / 1e6;
        worst = worst.max((count - allowed - 2.0) / allowed.sqrt());
    }
    let could =
        CAPACITY * (1.0 + settings.slow_start_capacity) / 2.0 * settings.slow_start_duration as f64 / 1e6;
    (worst, taken.len() as f64 / could)
}

/// Guards against a cold member that falls under the sum of what all processes send, each within a share of its
/// own: beyond the N requests that the settings allow, 2 x root of N + 2 are put down to chance, whatever the number
/// of processes.
#[test]
fn a_cold_member_does_not_fall_under_the_sum_of_twenty_or_thirty_routers() {
    for (multiple, routers, load, cold) in [
        (1.3, 20, 0.9, 1),
        (1.3, 30, 1.0, 1),
        (1.3, 30, 1.0, 3),
        (2.0, 20, 0.9, 1),
        (2.0, 30, 1.0, 1),
        (2.0, 30, 1.1, 3),
        (2.0, 3, 0.9, 1),
    ] {
        let settings = Settings { overload_multiple: multiple, ..settings() };
        let plays: Vec<_> = (1..=6).map(|s| worst_window(routers, load, cold, &settings, s)).collect();
        let worst = plays.iter().map(|p| p.0).fold(f64::MIN, f64::max);
        let taken = plays.iter().map(|p| p.1).sum::<f64>() / plays.len() as f64;
        let what = format!("x {multiple}, {routers} routers, load {load}, member {cold}");
        assert!(worst <= 2.0, "{what}: {worst:.2} roots over");
        assert!(taken > 0.3, "{what}: only {taken:.2} of what it could do");
    }
}
