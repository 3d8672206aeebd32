use super::*;

const SECOND: Micros = 1_000_000;

/// Guards against a client that sends ever new ids: memory stays bounded, and the ids of others are kept.
#[test]
fn ids_of_a_flooding_client_displace_its_own_and_no_others() {
    let mut ids = ExecutedIds::within(100 * ID_BYTES);
    let of_others: Vec<_> = (0..40u64).map(|n| (n, ids.hash(format!("other{n}").as_bytes()))).collect();
    of_others.iter().for_each(|(client, id)| ids.insert(*client, *id, 0));
    for n in 0..10_000 {
        let id = ids.hash(format!("flood{n}").as_bytes());
        ids.insert(1000, id, SECOND);
        assert!(ids.len() <= 100);
    }
    assert!(of_others.iter().all(|(_, id)| ids.contains(*id, SECOND)));
    assert!(ids.contains(ids.hash(b"flood9999"), SECOND));
}

#[test]
fn an_id_is_remembered_until_no_client_can_wait_for_it_or_it_is_known_not_to_have_run() {
    let mut ids = ExecutedIds::within(1 << 20);
    let (first, second) = (ids.hash(b"1"), ids.hash(b"2"));
    ids.insert(7, first, SECOND);
    ids.insert(7, second, SECOND);
    ids.remove(7, second);
    assert_eq!([first, second].map(|id| ids.contains(id, 600 * SECOND)), [true, false]);
    assert!(!ids.contains(first, 601 * SECOND));
}
