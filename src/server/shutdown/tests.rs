use super::{Phase, Shutdown, time_until_kill};
use crate::{Class, Idempotency, Requirement, Settings};

fn settings_with_deadline(deadline: u64) -> Settings {
    let class = Class {
        requirement: Requirement::Any,
        idempotency: Idempotency::Idempotent,
        latency_objective: 100_000,
        deadline,
        priority_weight: 1.0,
        late_value: 0.0,
    };
    Settings { classes: vec![class], ..Settings::default() }
}

#[test]
fn the_kill_follows_the_longest_deadline_up_to_a_limit() {
    assert_eq!(time_until_kill(&settings_with_deadline(800_000)), 1_500_000);
    assert_eq!(time_until_kill(&settings_with_deadline(3_000_000)), 3_700_000);
    assert_eq!(time_until_kill(&settings_with_deadline(9_000_000)), 3_700_000);
}

#[test]
fn checks_begin_with_the_request() {
    let mut shutdown = Shutdown::new(false);
    assert_eq!(shutdown.next_check_at(5), None);
    shutdown.phase = Phase::Draining { requested_at: 5 };
    assert_eq!(shutdown.next_check_at(5), Some(20_005));
    shutdown.phase = Phase::ClosingIdle { requested_at: 5 };
    assert_eq!(shutdown.next_check_at(40_005), Some(60_005));
}
