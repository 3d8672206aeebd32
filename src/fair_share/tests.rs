use super::{FairClock, SharedUsedTime, UsedTime};
use std::time::Duration;

const CAP: Duration = super::MAX_CLIENT_CHARGE;

/// Serves the flow with the least position once, at this cost.
fn serve_least(clock: &mut FairClock, flows: &[SharedUsedTime], costs: &[Duration]) -> usize {
    let positions: Vec<UsedTime> = flows.iter().map(|flow| clock.shared_position(flow)).collect();
    let least = (0..flows.len()).min_by_key(|index| positions[*index]).unwrap();
    clock.serve(positions[least]);
    flows[least].charge(positions[least], costs[least]);
    least
}

#[test]
fn flows_that_always_wait_get_equal_times_whatever_their_messages_cost() {
    let mut clock = FairClock::default();
    let flows: [SharedUsedTime; 3] = Default::default();
    let costs = [10, 100, 200].map(Duration::from_micros);
    let mut times = [Duration::ZERO; 3];
    for _ in 0..10_000 {
        let served = serve_least(&mut clock, &flows, &costs);
        times[served] += costs[served];
    }
    let (least, most) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(*most - *least <= 2 * CAP, "{times:?}");
}

#[test]
fn flow_that_returns_is_next_and_gets_nothing_for_its_absence() {
    let mut clock = FairClock::default();
    let flows: [SharedUsedTime; 3] = Default::default();
    let costs = [50; 3].map(Duration::from_micros);
    serve_least(&mut clock, &flows, &costs);
    for _ in 0..1000 {
        serve_least(&mut clock, &flows[1..], &costs);
    }
    let turns: Vec<_> = (0..9).map(|_| serve_least(&mut clock, &flows, &costs)).collect();
    assert!(turns[..3].contains(&0), "{turns:?}");
    assert!(turns.iter().filter(|flow| **flow == 0).count() <= 4, "{turns:?}");
}

/// Guards against clients that open connections without end: at the place of a flow that returns, they would
/// exclude those that have used some time.
#[test]
fn flows_that_begin_without_end_do_not_exclude_a_flow_that_has_used_time() {
    let mut clock = FairClock::default();
    let old = SharedUsedTime::default();
    let first = clock.shared_position(&old);
    old.charge(first, 4 * CAP);
    for turn in 0..1000 {
        let newcomer = SharedUsedTime::default();
        if clock.shared_position(&old) <= clock.shared_position(&newcomer) {
            return assert!(turn < 2, "the flow was served after {turn} others");
        }
        clock.serve(clock.shared_position(&newcomer));
    }
    panic!("the flow was never served");
}
