use super::{IdleIndex, IdleState};

#[test]
fn longest_idle_connection_without_a_request_is_the_first_candidate() {
    let mut index = IdleIndex::default();
    let idle = |has_requested, since| Some(IdleState { has_requested, idle_since: Some(since) });
    let candidate = |index: &IdleIndex, now| index.eviction_candidate(now).map(|found| found.client);
    index.update(1, idle(true, 0));
    index.update(2, idle(false, 1_900_000));
    index.update(3, idle(false, 1_950_000));
    assert_eq!(candidate(&index, 1_999_999), None);
    assert_eq!(candidate(&index, 2_000_000), Some(1));
    assert_eq!(candidate(&index, 2_100_000), Some(2));
    // A command begins on the connection, and later it is closed.
    index.update(2, Some(IdleState { has_requested: false, idle_since: None }));
    assert_eq!(candidate(&index, 2_200_000), Some(3));
    index.update(3, None);
    assert_eq!(candidate(&index, 2_200_000), Some(1));
    index.update(2, idle(true, 2_300_000));
    let retained = index.retained();
    assert_eq!((retained.count, retained.next_evictable.unwrap().client), (2, 1));
    index.update(1, None);
    assert_eq!(index.retained().next_evictable.unwrap().evictable_at, 4_300_000);
}
