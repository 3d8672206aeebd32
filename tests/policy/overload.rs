//! A primary at and over its capacity, and an idle one that rejects some attempts, with one router and with many.

use crate::harness::*;
use crate::queue_model::*;

const USUAL: QueueCase = QueueCase {
    routers: 1,
    workers: 4,
    waiting_room: 16,
    work: 12 * MS,
    service_time: ServiceTime::Fixed,
    load: 1.0,
    rejected_percent: 0,
    warm_up: 10_000 * MS,
    duration: 20_000 * MS,
};
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// The least useful share and the most attempts for each request that a case must have.
struct Bounds {
    useful: f64,
    attempts: f64,
}

/// Guards against retries that keep a full primary full: requests are shed, so that the useful answers stay at
/// the primary's capacity and the attempts for each request near one. The bounds are what version 8afa8ef
/// reached, less 0.02 of the useful answers and plus 0.02 of the attempts.
#[test]
fn a_full_primary_sheds_requests_and_gets_few_retries() {
    let bounds = |useful, attempts| Bounds { useful, attempts };
    for (routers, waiting_room, load, Bounds { useful, attempts }) in [
        (1, 16, 0.5, bounds(0.98, 1.02)),
        (1, 16, 1.0, bounds(0.943, 0.991)),
        (1, 16, 1.5, bounds(0.649, 0.701)),
        (1, 16, 2.0, bounds(0.481, 0.529)),
        (30, 16, 0.5, bounds(0.98, 1.02)),
        (30, 16, 1.0, bounds(0.960, 1.049)),
        (30, 16, 1.5, bounds(0.670, 0.992)),
        (30, 16, 2.0, bounds(0.502, 0.916)),
        (30, 4, 1.0, bounds(0.918, 1.106)),
        (30, 4, 1.5, bounds(0.660, 1.064)),
        (30, 4, 2.0, bounds(0.497, 0.991)),
    ] {
        let case = QueueCase { routers, waiting_room, load, ..USUAL };
        let outcome = case.run_all(SEEDS);
        assert!(outcome.useful_share() >= useful, "{case:?}: {outcome:?}");
        assert!(outcome.attempts_per_request() <= attempts, "{case:?}: {outcome:?}");
    }
}

/// Guards against the refusal of writes that nothing has run because an idle primary has rejected others.
#[test]
fn all_writes_are_served_by_an_idle_primary_that_rejects_some_attempts() {
    for service_time in [ServiceTime::Fixed, ServiceTime::Exponential] {
        for rejected_percent in [10, 25] {
            for routers in [1, 3] {
                let idle = QueueCase { load: 0.05, warm_up: 0, ..USUAL };
                let case = QueueCase { routers, service_time, rejected_percent, ..idle };
                let outcome = case.run_all(SEEDS);
                assert_eq!(outcome.rejected, 0, "{case:?}: {outcome:?}");
                assert_eq!(outcome.served, outcome.requests, "{case:?}: {outcome:?}");
            }
        }
    }
}

/// Guards against a retry storm of many routers: a primary that rejects every attempt gets no more of them
/// than the retry budgets of all routers together allow, and those of the searches for another primary.
#[test]
fn retries_at_a_primary_that_rejects_everything_are_bounded_over_all_routers() {
    for routers in [1, 10, 100] {
        let case = QueueCase { routers, load: 0.12, rejected_percent: 100, warm_up: 0, ..USUAL };
        let outcome = case.run_all(SEEDS);
        assert!(outcome.attempts_per_request() <= 3.0, "{case:?}: {outcome:?}");
        assert_eq!(outcome.served, 0);
    }
}
