use super::*;

#[test]
fn a_queued_job_is_either_started_or_withdrawn() {
    let started = JobState::queued();
    assert!(started.start_queued());
    assert!(!started.withdraw_queued() && !started.withdraw_preparing() && !started.is_withdrawn());

    let withdrawn = JobState::queued();
    assert!(withdrawn.withdraw_queued());
    assert!(!withdrawn.start_queued() && !withdrawn.start_preparing() && withdrawn.is_withdrawn());
}

#[test]
fn a_job_in_preparation_can_be_withdrawn_until_it_is_started() {
    let started = JobState::queued();
    assert!(started.start_preparing() && !started.withdraw_queued());
    assert!(started.start_prepared() && !started.withdraw_preparing());

    let withdrawn = JobState::queued();
    assert!(withdrawn.start_preparing() && withdrawn.withdraw_preparing());
    assert!(!withdrawn.start_prepared() && !withdrawn.return_to_queued() && withdrawn.is_withdrawn());

    let checked = JobState::queued();
    assert!(checked.start_preparing() && checked.return_to_queued());
    assert!(!checked.start_prepared() && checked.start_queued());
}
