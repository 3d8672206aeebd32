use super::*;

#[test]
fn retries_become_rarer_up_to_a_bound_and_never_stop() {
    let error = StoreError::LogNotReplaced;
    let mut failure = Failure::first(0, &error);
    let mut now = failure.retry_at;
    assert_eq!(now, FIRST_RETRY_DELAY);
    for _ in 0..70 {
        let last_delay = failure.delay;
        failure = failure.again(now);
        assert_eq!(failure.delay, (2 * last_delay).min(MAX_RETRY_DELAY));
        assert_eq!(failure.retry_at, now + failure.delay);
        now = failure.retry_at;
    }
    assert_eq!(failure.delay, MAX_RETRY_DELAY);
}
