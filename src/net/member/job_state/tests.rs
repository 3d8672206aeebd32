use super::*;

#[test]
fn a_queued_job_is_either_begun_or_withdrawn() {
    let begun = JobState::queued();
    assert!(begun.begin());
    assert!(!begun.withdraw_queued() && !begun.withdraw_preparing() && !begun.is_withdrawn());

    let withdrawn = JobState::queued();
    assert!(withdrawn.withdraw_queued());
    assert!(!withdrawn.begin() && !withdrawn.start_preparing() && withdrawn.is_withdrawn());
}

#[test]
fn a_job_in_preparation_can_be_withdrawn_until_it_has_begun() {
    let begun = JobState::queued();
    assert!(begun.start_preparing() && !begun.withdraw_queued());
    assert!(begun.begin_prepared() && !begun.withdraw_preparing());

    let withdrawn = JobState::queued();
    assert!(withdrawn.start_preparing() && withdrawn.withdraw_preparing());
    assert!(!withdrawn.begin_prepared() && !withdrawn.return_to_queued() && withdrawn.is_withdrawn());

    let checked = JobState::queued();
    assert!(checked.start_preparing() && checked.return_to_queued());
    assert!(!checked.begin_prepared() && checked.begin());
}
