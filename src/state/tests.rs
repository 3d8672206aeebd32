//! Tests of the tables of endpoints, groups and commits.

use super::endpoint_table::EndpointTable;
use super::*;
use crate::estimators::GroupClock;
use crate::{EndpointEntry, EndpointId, EndpointState, Micros, Role, SessionInGroup};

const SECOND: Micros = 1_000_000;

fn add(table: &mut EndpointTable, id: u64, now: Micros) -> EndpointIndex {
    let (index, _) = table.allocate(EndpointId(id), now);
    table[index] = Endpoint { id: EndpointId(id), ..Endpoint::default() };
    table.set_state(index, EndpointState::Ready);
    index
}

#[test]
fn the_slot_of_a_removed_endpoint_is_reused_ten_seconds_after_its_last_answer() {
    let mut table = EndpointTable::default();
    let first = add(&mut table, 1, 0);
    let second = add(&mut table, 2, 0);
    assert_ne!(first, second);
    table.set_state(first, EndpointState::Removed);
    table[first].last_answer_at = 5 * SECOND;
    let third = add(&mut table, 3, 10 * SECOND);
    assert_ne!(third, first, "the removed endpoint answered 5 s ago");
    let fourth = add(&mut table, 4, 16 * SECOND);
    assert_eq!(fourth, first);
    assert_eq!(table.find(EndpointId(1)), None);
    assert_eq!(table.find(EndpointId(4)), Some(first));
    assert_eq!(table.len(), 3);
}

/// A new slot first holds an endpoint with the default identity, 0. If that endpoint counted as the former
/// occupant of the slot, adding an endpoint would drop the one whose identity is 0.
#[test]
fn a_new_slot_does_not_drop_the_endpoint_with_the_default_identity() {
    let mut table = EndpointTable::default();
    let first = add(&mut table, 0, 0);
    add(&mut table, 1, 0);
    assert_eq!(table.find(EndpointId(0)), Some(first));
}

#[test]
fn a_slot_with_outstanding_attempts_is_not_reused() {
    let mut table = EndpointTable::default();
    let index = add(&mut table, 1, 0);
    table.set_state(index, EndpointState::Removed);
    let attempt = OutstandingAttempt { request: 1, attempt: 0, class: 0, session: 0, sent_at: 0 };
    table[index].outstanding.push(attempt);
    assert_ne!(add(&mut table, 2, 100 * SECOND), index);
}

#[test]
fn a_removed_member_is_no_longer_the_primary() {
    let mut table = EndpointTable::default();
    let (first, second) = (add(&mut table, 1, 0), add(&mut table, 2, 0));
    let mut group = Group { members: vec![first, second], ..Group::default() };
    group.set_primary(Some(first), SECOND);
    group.remove(second);
    assert_eq!(group.primary, Some(first));
    group.remove(first);
    assert_eq!(group.primary, None);
    assert!(group.members.is_empty());
}

#[test]
fn a_value_can_be_set_for_each_role_separately() {
    let mut values = PerRole::uniform(1);
    values[Role::Primary] = 2;
    assert_eq!((values[Role::Replica], values[Role::Primary]), (1, 2));
}

#[test]
fn commits_that_all_members_have_are_dropped_above_the_capacity() {
    let in_group = |session| SessionInGroup { session, group: 1 };
    let mut commits = SessionCommits::default();
    (1..=20_000).for_each(|session| commits.record(in_group(session), session * SECOND));
    commits.prune(|_, position| position <= 19_999 * SECOND);
    assert_eq!(commits.position(in_group(7)), 7 * SECOND, "up to the capacity no commit is dropped");
    commits.record(in_group(20_001), 20_001 * SECOND);
    commits.prune(|_, position| position <= 19_999 * SECOND);
    assert_eq!(commits.position(in_group(7)), 0);
    assert_eq!(commits.position(in_group(20_000)), 20_000 * SECOND);
}

/// Guards against the loss of a session's commit to one in another group, whose clock may be behind.
#[test]
fn the_last_commit_of_a_session_is_remembered_for_each_group() {
    let in_group = |group| SessionInGroup { session: 7, group };
    let mut commits = SessionCommits::default();
    commits.record(in_group(1), 9 * SECOND);
    commits.record(in_group(2), 5 * SECOND);
    commits.record(in_group(2), 4 * SECOND);
    assert_eq!([1, 2, 3].map(|group| commits.position(in_group(group))), [9 * SECOND, 5 * SECOND, 0]);
}

/// If the list moves an endpoint to another group, the endpoint must not remain a member, or the primary, of
/// the former group, and what is known of its role and position must not count in the new group.
#[test]
fn an_endpoint_listed_under_another_group_leaves_the_former_one() {
    let mut topology = Topology::default();
    let listed = |group| EndpointEntry {
        endpoint: EndpointId(1),
        group,
        zone: 0,
        state: EndpointState::Ready,
        primary_hint: true,
        started_at: 0,
    };
    let (index, _) = topology.allocate(EndpointId(1), 0);
    topology.add(index, Endpoint::new(&listed(7)));
    assert!(topology.apply_entry(index, &listed(7), 0));
    topology.record_role(index, Role::Primary, SECOND, true);
    topology[index].replication.record(SECOND, GroupClock::Host, SECOND);
    assert_eq!((topology.primary(7), topology.members(7)), (Some(index), &[index][..]));
    assert!(topology.apply_entry(index, &listed(8), SECOND), "the primary hint is new to the group");
    assert_eq!((topology.presumed_primary(7), topology.members(7)), (None, &[][..]));
    assert_eq!((topology.primary(8), topology.members(8)), (None, &[index][..]));
    assert_eq!(topology.role(index), Role::Replica);
    assert!(!topology.all_members_have(8, SECOND, SECOND), "a position counts only within its group");
    topology.record_role(index, Role::Primary, 2 * SECOND, true);
    assert_eq!((topology.primary(7), topology.primary(8)), (None, Some(index)));
}
