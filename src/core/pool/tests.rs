//! Tests of how the pool applies endpoint list updates.

use super::*;
use crate::EndpointEntry;

const SECOND: Micros = 1_000_000;

fn listed(number: u16, state: EndpointState) -> ListedMember {
    let entry = EndpointEntry {
        endpoint: EndpointId(number.into()),
        group: 1,
        zone: 0,
        state,
        primary_hint: false,
        started_at: 0,
    };
    ListedMember { entry, address: SocketAddr::from(([127, 0, 0, 1], number)) }
}

/// Whether the pool offers a connection to this member.
fn is_known(pool: &mut Pool, number: u64) -> bool {
    !matches!(pool.check_out(EndpointId(number)), Checkout::Unavailable)
}

#[test]
fn removed_member_is_dropped_after_the_retention_unless_it_is_listed_again() {
    let mut pool = Pool::new(16);
    let serving: Vec<_> = (1..=3).map(|number| listed(number, EndpointState::Ready)).collect();
    assert!(pool.apply_endpoint_update(0, true, &serving).is_empty());
    pool.apply_endpoint_update(SECOND, false, &[listed(1, EndpointState::Removed)]);
    pool.apply_endpoint_update(2 * SECOND, true, &serving[2..]);
    pool.apply_endpoint_update(20 * SECOND, false, &serving[1..2]);
    assert!(is_known(&mut pool, 1), "a removed member is retained for 30 s, because the list may be wrong");
    pool.apply_endpoint_update(31 * SECOND, false, &[]);
    assert_eq!([1, 2, 3].map(|number| is_known(&mut pool, number)), [false, true, true]);
    pool.apply_endpoint_update(40 * SECOND, false, &serving[..1]);
    pool.apply_endpoint_update(90 * SECOND, false, &[]);
    assert!(is_known(&mut pool, 1));
}

#[test]
fn update_closes_the_idle_connections_to_members_that_it_takes_out_of_service() {
    let mut pool = Pool::new(16);
    let serving: Vec<_> = (1..=3).map(|number| listed(number, EndpointState::Ready)).collect();
    pool.apply_endpoint_update(0, true, &serving);
    for member in 1..=3 {
        let Checkout::New { connection, .. } = pool.check_out(EndpointId(member)) else {
            panic!("no new connection")
        };
        assert!(pool.check_in(connection, SECOND) == CheckIn::Done);
    }
    assert_eq!(pool.apply_endpoint_update(SECOND, false, &[listed(2, EndpointState::Draining)]), [2]);
    assert_eq!(pool.apply_endpoint_update(SECOND, true, &serving[..1]), [3]);
    assert!(is_known(&mut pool, 1));
}
