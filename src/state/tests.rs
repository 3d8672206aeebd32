//! Tests of the tables of endpoints, groups and commits.

use super::endpoint_table::EndpointTable;
use super::*;
use crate::estimators::GroupClock;
use crate::{EndpointEntry, EndpointId, EndpointState, Micros, Needs, Role, SessionInGroup};

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
    let attempt = OutstandingAttempt {
        request: 1,
        attempt: 0,
        class: 0,
        written_sessions: std::sync::Arc::default(),
        needs: Needs::default(),
        sent_at: 0,
    };
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

/// Guards against a session whose commit is forgotten where many sessions write: whatever the order of the
/// commits, each session must see at least its own, and memory holds no more of them than the capacity.
#[test]
fn an_evicted_commit_still_bounds_the_reads_of_its_session() {
    let of = |session, group| SessionInGroup { session, group };
    let mut commits = SessionCommits::within(10_000);
    let capacity = commits.capacity() as u64;
    let sessions = 3 * capacity;
    let position = |session: u64| (1 + session * 7919 % sessions) * SECOND;
    for session in 1..=sessions {
        commits.record(of(session, 1 + session as u32 % 2), position(session));
        assert!(commits.count() as u64 <= capacity);
    }
    for session in 1..=sessions {
        let last = commits.last(of(session, 1 + session as u32 % 2));
        assert!(last >= Some(position(session)), "session {session}: {last:?}");
    }
    let latest = (1..=sessions).max_by_key(|session| position(*session)).unwrap();
    assert_eq!(commits.last(of(latest, 1 + latest as u32 % 2)), Some(position(latest)), "kept exactly");
    assert_eq!(commits.last(of(0, 1)), None, "an unknown session has no commit");
}

/// Guards against a group with many writing sessions that displaces the commits of another one, whose
/// clock is behind.
#[test]
fn commits_of_a_quiet_group_are_kept_while_another_group_fills_the_table() {
    let mut commits = SessionCommits::within(10_000);
    let of = |session, group| SessionInGroup { session, group };
    commits.record(of(7, 1), SECOND);
    (1..=10_000).for_each(|session| commits.record(of(session, 2), (1000 + session) * SECOND));
    assert_eq!([7, 8].map(|session| commits.last(of(session, 1))), [Some(SECOND), None]);
}

/// Guards against the loss of a session's commit to one in another group, whose clock may be behind.
#[test]
fn the_last_commit_of_a_session_is_remembered_for_each_group() {
    let in_group = |group| SessionInGroup { session: 7, group };
    let mut commits = SessionCommits::default();
    commits.record(in_group(1), 9 * SECOND);
    commits.record(in_group(2), 5 * SECOND);
    commits.record(in_group(2), 4 * SECOND);
    let expected = [Some(9 * SECOND), Some(5 * SECOND), None];
    assert_eq!([1, 2, 3].map(|group| commits.last(in_group(group))), expected);
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
    let position = topology[index].replication.known_position(GroupClock::Host, SECOND);
    assert_eq!(position, 0, "a position counts only within its group");
    topology.record_role(index, Role::Primary, 2 * SECOND, true);
    assert_eq!((topology.primary(7), topology.primary(8)), (None, Some(index)));
}
