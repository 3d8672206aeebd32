//! Tests of the estimators.

use super::*;
use crate::{Class, Idempotency, Micros, Requirement};

const SECOND: Micros = 1_000_000;

fn class(latency_objective: Micros) -> Class {
    Class {
        requirement: Requirement::Any,
        idempotency: Idempotency::Idempotent,
        latency_objective,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        late_value: 0.0,
    }
}

#[test]
fn a_rate_converges_to_the_rate_of_events_and_decays_without_them() {
    let mut rate = DecayingRate::new(0);
    for event in 1..=1000 {
        rate.record(event * SECOND / 50);
    }
    let settled = rate.per_second_at(20 * SECOND);
    assert!((45.0..55.0).contains(&settled), "{settled}");
    let later = rate.per_second_at(20 * SECOND + DecayingRate::TIME_CONSTANT_US as Micros);
    assert!((later / settled - (-1.0f64).exp()).abs() < 1e-9, "{later}");
}

#[test]
fn a_baseline_follows_faster_answers_quickly_and_slower_ones_slowly() {
    let mut baselines = LatencyBaselines::new(&[class(400_000)]);
    assert_eq!(baselines.unloaded_latency(0), 100_000.0);
    (0..200).for_each(|_| baselines.record(0, 20_000));
    let fast = baselines.unloaded_latency(0);
    assert!((19_000.0..25_000.0).contains(&fast), "{fast}");
    (0..100).for_each(|_| baselines.record(0, 300_000));
    let loaded = baselines.unloaded_latency(0);
    assert!(loaded < 1.2 * fast, "latencies under load must not become the baseline: {loaded}");
}

#[test]
fn the_baseline_of_a_class_without_answers_scales_with_those_of_the_others() {
    let mut baselines = LatencyBaselines::new(&[class(400_000), class(800_000)]);
    (0..50).for_each(|_| baselines.record(0, 10_000));
    assert!(baselines.unloaded_latency(1) < 60_000.0, "{}", baselines.unloaded_latency(1));
}

#[test]
fn the_delay_of_a_group_decays_to_the_delay_of_all_groups() {
    let mut group = GroupQueueingDelay::default();
    let all = QueueingDelay::default();
    group.record(1.0, all, 10 * SECOND);
    assert!(group.estimate(all, 10 * SECOND) > 0.8);
    assert!(group.estimate(all, 60 * SECOND) < 0.01);
}

#[test]
fn a_replication_position_never_decreases_and_its_lag_decays() {
    let mut replication = ReplicationEstimate::default();
    let clock = GroupClock::Host;
    replication.record(9 * SECOND, clock, 10 * SECOND);
    replication.record(8 * SECOND, clock, 10 * SECOND);
    assert_eq!(replication.known_position(clock, 10 * SECOND), 9 * SECOND);
    assert_eq!(replication.estimated_position(clock, 10 * SECOND), 9 * SECOND);
    assert!(replication.estimated_position(clock, 20 * SECOND) > 19 * SECOND);
    replication.record_position_not_reached(5 * SECOND, clock, 10 * SECOND);
    assert_eq!(replication.known_position(clock, 10 * SECOND), 9 * SECOND);
    assert_eq!(replication.observed_at(), 10 * SECOND);
}

#[test]
fn occupancy_is_the_average_of_outstanding_attempts_over_time() {
    let mut occupancy = Occupancy::default();
    let mut now = SECOND;
    // An attempt of 100 ms every second.
    for _ in 0..100 {
        occupancy.record(0, now);
        now += SECOND / 10;
        occupancy.record(1, now);
        now += SECOND * 9 / 10;
    }
    assert!((0.08..0.12).contains(&occupancy.average()), "{}", occupancy.average());
    // Four attempts are outstanding all the time.
    occupancy.record(4, now + 60 * SECOND);
    assert!((3.9..=4.0).contains(&occupancy.average()), "{}", occupancy.average());
}

#[test]
fn the_first_attempt_alone_is_not_the_average_occupancy() {
    let mut occupancy = Occupancy::default();
    occupancy.record(0, SECOND);
    occupancy.record(1, SECOND + SECOND / 100);
    assert!(occupancy.average() < 0.01, "{}", occupancy.average());
}
