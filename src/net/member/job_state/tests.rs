use super::*;

#[test]
fn a_queued_job_is_either_started_or_cancelled() {
    let started = JobState::queued();
    assert!(started.start_queued());
    assert!(!started.cancel_queued() && !started.cancel_preparing() && !started.is_cancelled());

    let cancelled = JobState::queued();
    assert!(cancelled.cancel_queued());
    assert!(!cancelled.start_queued() && !cancelled.start_preparing() && cancelled.is_cancelled());
}

#[test]
fn a_job_in_preparation_can_be_cancelled_until_it_is_started() {
    let started = JobState::queued();
    assert!(started.start_preparing() && !started.cancel_queued());
    assert!(started.start_prepared() && !started.cancel_preparing());

    let cancelled = JobState::queued();
    assert!(cancelled.start_preparing() && cancelled.cancel_preparing());
    assert!(!cancelled.start_prepared() && !cancelled.return_to_queued() && cancelled.is_cancelled());

    let checked = JobState::queued();
    assert!(checked.start_preparing() && checked.return_to_queued());
    assert!(!checked.start_prepared() && checked.start_queued());
}
