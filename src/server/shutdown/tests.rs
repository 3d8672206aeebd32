use super::{Phase, Schedule, Shutdown};
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

/// The schedule of a shutdown that is requested at this time, with this longest deadline.
fn schedule(requested_at: u64, deadline: u64) -> Schedule {
    Schedule::new(requested_at, &settings_with_deadline(deadline))
}

#[test]
fn kill_time_depends_on_the_longest_deadline_up_to_a_limit() {
    let killed_at = |deadline| schedule(5, deadline).exit_at + 30_000 - 5;
    assert_eq!(killed_at(800_000), 1_500_000);
    assert_eq!(killed_at(3_000_000), 3_700_000);
    assert_eq!(killed_at(9_000_000), 3_700_000);
}

#[test]
fn clients_are_served_while_they_may_connect_and_have_time_for_their_last_requests() {
    for deadline in [0, 1_000, 50_000, 150_000, 200_000, 400_000, 900_000, 1_100_000, 3_000_000] {
        let schedule = schedule(0, deadline);
        assert!(schedule.close_idle_at >= 450_000 && schedule.may_end_at >= 450_000, "{schedule:?}");
        let left = schedule.fail_pending_at - schedule.close_idle_at;
        assert!(left >= deadline.min(300_000), "{left} left of {deadline}: {schedule:?}");
        assert!(
            schedule.stop_waiting_at >= schedule.fail_pending_at + 150_000,
            "no time for a process pause: {schedule:?}"
        );
        assert!(schedule.stop_waiting_at < schedule.exit_at, "{schedule:?}");
    }
    assert_eq!(schedule(0, 3_000_000).close_idle_at, 2_800_000);
    assert_eq!(schedule(0, 3_000_000).may_end_at, 900_000);
}

#[test]
fn completion_checks_begin_when_a_shutdown_is_requested() {
    let mut shutdown = Shutdown::new(false);
    assert_eq!(shutdown.next_check_at(5), None);
    shutdown.phase = Phase::Draining { requested_at: 5 };
    assert_eq!(shutdown.next_check_at(5), Some(20_005));
    shutdown.phase = Phase::ClosingIdle { requested_at: 5 };
    assert_eq!(shutdown.next_check_at(40_005), Some(60_005));
}
