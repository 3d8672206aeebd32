use super::*;
use std::sync::Arc;

const MS: u64 = 1000;

fn attempt(timeout: u64, start_within: u64) -> JobSpec<()> {
    JobSpec::Attempt { request: 1, work: Arc::new(()), timeout, start_within, verify_connection: false }
}

#[test]
fn time_left_counts_from_the_decision_and_ends_1_ms_early() {
    let decided_at = Instant::now();
    let conditions = StartConditions::new(&attempt(100 * MS, u64::MAX), decided_at, None);
    let left_after = |millis| conditions.time_left_at(decided_at + Duration::from_millis(millis));
    assert_eq!(left_after(30), Some(Duration::from_millis(70)));
    assert_eq!(left_after(99), Some(MIN_TIME_LEFT));
    assert_eq!(conditions.time_left_at(decided_at + Duration::from_micros(99 * MS + 1)), None);
    assert_eq!(left_after(200), None);
}

#[test]
fn a_job_past_its_start_deadline_is_not_started_though_time_is_left() {
    let decided_at = Instant::now();
    let conditions = StartConditions::new(&attempt(100 * MS, 10 * MS), decided_at, None);
    let left_after = |millis| conditions.time_left_at(decided_at + Duration::from_millis(millis));
    assert_eq!(left_after(10), Some(Duration::from_millis(90)));
    assert_eq!(left_after(11), None);
    let probe = StartConditions::new(&JobSpec::<()>::Probe, decided_at, None);
    assert!(probe.time_left_at(decided_at + Duration::from_secs(9)).is_some());
}
