use super::*;

#[test]
fn the_retry_delay_doubles_up_to_its_maximum_and_retries_never_stop() {
    let error = StoreError::LogNotReplaced;
    let mut failure = Failure::first(0, &error);
    let mut now = failure.retry_at;
    assert_eq!(now, FIRST_RETRY_DELAY);
    for _ in 0..70 {
        let last_delay = failure.delay;
        failure = failure.after_failed_attempt(now);
        assert_eq!(failure.delay, (2 * last_delay).min(MAX_RETRY_DELAY));
        assert_eq!(failure.retry_at, now + failure.delay);
        now = failure.retry_at;
    }
    assert_eq!(failure.delay, MAX_RETRY_DELAY);
}
