//! Steps of clocks: of the host's clock before the router starts, and of the members' clocks while it runs.
//! The router's own time is monotonic.

use crate::harness::*;
use liftrelay::*;

const HOUR: i64 = 3_600_000_000;
const STEPS: [i64; 2] = [HOUR, -HOUR];

/// A router and a group whose members have clocks of their own and serve reads from stale data.
struct SteppedGroup {
    harness: RouterHarness,
    /// How far the clock of the primary is ahead of the host's clock, in microseconds; negative if it is
    /// behind.
    offset: i64,
    last_request: u32,
}

impl SteppedGroup {
    /// Creates a group in which endpoint 1 is the primary, and 2 and 3 are replicas. The router
    /// has only their list entries, which name no primary.
    fn new(offset: i64) -> Self {
        let settings =
            Settings { stale_read_behavior: StaleReadBehavior::Serve, probes: false, ..settings() };
        let harness = RouterHarness::with_unknown_clock(settings, 3);
        SteppedGroup { harness, offset, last_request: 0 }
    }

    /// Creates a group like [`SteppedGroup::new`], whose primary has answered two writes, so that the router
    /// knows its clock.
    fn with_known_clock(offset: i64) -> Self {
        let mut group = SteppedGroup::new(offset);
        group.write_twice();
        group
    }

    /// Returns the time on the primary's clock.
    fn clock(&self) -> Micros {
        self.harness.now.saturating_add_signed(self.offset)
    }

    fn send_request(&mut self, request: Request) -> Option<u64> {
        self.last_request += 1;
        let request = Request { id: self.last_request, ..request };
        sent_to(&self.harness.handle(Event::Request(request)))
    }

    /// Ends an attempt of the last request at endpoint `from`, whose response reports this role and position.
    /// Returns the endpoint of the next attempt.
    fn end_last_attempt(
        &mut self,
        attempt: u32,
        from: u64,
        outcome: Outcome,
        role: Role,
        position: Micros,
    ) -> Option<u64> {
        let result = attempt_result(self.last_request, attempt, from, outcome);
        let metadata = ResponseMetadata { role: Some(role), position: Some(position) };
        sent_to(&self.harness.handle(Event::AttemptEnded(AttemptResult { metadata, ..result })))
    }

    /// Sends two writes, which the primary answers with the position that `position` returns at that time.
    fn write_twice_at(&mut self, position: impl Fn(&Self) -> Micros) {
        for _ in 0..2 {
            self.harness.advance(400 * MS);
            let mut to = self.send_request(request(0, AT_MOST_ONCE));
            self.harness.now += 20 * MS;
            let mut attempt = 0;
            while let Some(replica) = to.filter(|to| *to != 1) {
                to = self.end_last_attempt(attempt, replica, Outcome::NotServable, Role::Replica, 1);
                attempt += 1;
            }
            assert_eq!(to, Some(1), "the primary is found");
            self.end_last_attempt(attempt, 1, Outcome::Ok, Role::Primary, position(self));
        }
    }

    fn write_twice(&mut self) {
        self.write_twice_at(SteppedGroup::clock);
    }

    /// Returns the endpoint that a read of data that is at most 800 ms old is sent to.
    fn bounded_read(&mut self) -> Option<u64> {
        self.read(request(0, BOUNDED_STALENESS))
    }

    /// Returns the endpoint that a read which requires this position is sent to.
    fn own_read(&mut self, position: Micros) -> Option<u64> {
        let statement = ExecutedStatement::new(READ_YOUR_WRITES, 0);
        self.read(executing(0, ExecutedStatement { min_position: Some(position), ..statement }))
    }

    /// Sends a read, whose client disconnects immediately, and returns the endpoint that it was sent to.
    fn read(&mut self, read: Request) -> Option<u64> {
        let to = self.send_request(read);
        self.harness.handle(Event::ClientDisconnected(self.last_request));
        if let Some(to) = to {
            self.harness.end_attempt(self.last_request, 0, to, Outcome::Cancelled, None);
        }
        to
    }

    fn report(&mut self, endpoint: u64, position: Micros) {
        self.harness.report(endpoint, Role::Replica, position);
    }

    /// Reports positions by which replica 2 is fresh and replica 3 lags, and asserts that each read is sent
    /// to an endpoint that is fresh enough for it.
    fn assert_reads_go_where_data_is_fresh(&mut self) {
        let clock = self.clock();
        self.report(2, clock - 100 * MS);
        self.report(3, clock - 2000 * MS);
        for _ in 0..4 {
            assert_eq!(self.bounded_read(), Some(2));
            assert_eq!(self.own_read(clock - 200 * MS), Some(2));
            assert_eq!(self.own_read(clock - 50 * MS), Some(1), "only the primary has this commit");
        }
    }
}

#[test]
fn reads_go_to_fresh_endpoints_whatever_the_hosts_clock_reads() {
    for offset in [0, HOUR, -HOUR] {
        SteppedGroup::with_known_clock(offset).assert_reads_go_where_data_is_fresh();
    }
}

/// The logged span exceeds the step by at most the time that the answer takes and the tolerance for rounding.
#[test]
fn a_step_is_logged_once_with_its_span() {
    for (offset, text) in [(HOUR, "+3600."), (-HOUR, "-3599.9")] {
        let mut group = SteppedGroup::with_known_clock(offset);
        (0..4).for_each(|_| group.write_twice());
        let log = group.harness.log.iter();
        let lines: Vec<_> = log.filter(|action| matches!(action, Action::Log(_))).collect();
        let is_expected = |line: &Action| matches!(line, Action::Log(line) if line.contains(text));
        assert!(lines.len() == 1 && is_expected(lines[0]), "{lines:?}");
    }
}

#[test]
fn no_replica_counts_as_fresh_before_its_groups_clock_is_known() {
    let mut group = SteppedGroup::new(HOUR);
    // The data of replica 2 is ten minutes old. By the host's clock, its position would be current.
    group.report(2, group.clock() - 600_000 * MS);
    for _ in 0..4 {
        assert!(matches!(group.bounded_read(), None | Some(1)));
        assert!(matches!(group.own_read(group.clock() - 60_000 * MS), None | Some(1)));
    }
}

#[test]
fn a_step_of_all_members_clocks_makes_no_lagging_replica_look_fresh_and_no_fresh_replica_stale() {
    for step in STEPS {
        let mut group = SteppedGroup::with_known_clock(0);
        group.assert_reads_go_where_data_is_fresh();
        group.offset = step;
        group.harness.advance(2000 * MS);
        for _ in 0..4 {
            assert!(
                matches!(group.bounded_read(), None | Some(1)),
                "no replica has reported a position since the step"
            );
        }
        group.write_twice();
        group.assert_reads_go_where_data_is_fresh();
    }
}

#[test]
fn a_step_of_one_replicas_clock_does_not_change_which_reads_the_others_serve() {
    for step in STEPS {
        let mut group = SteppedGroup::with_known_clock(0);
        for _ in 0..4 {
            group.harness.advance(300 * MS);
            let clock = group.clock();
            group.report(2, clock - 100 * MS);
            group.report(3, (clock - 2000 * MS).saturating_add_signed(step));
            assert_eq!(group.bounded_read(), Some(2));
            assert_eq!(group.own_read(clock - 200 * MS), Some(2));
        }
        group.harness.now += HOUR as Micros;
        group.write_twice();
        assert_eq!(group.bounded_read(), Some(1), "a position from the future is not trusted later either");
    }
}

/// Guards against stale reads after one clock was stepped: the position of a primary whose clock differs from
/// those of its replicas, or of a member that wrongly reports to be the primary, shows nothing about the age
/// of their data.
#[test]
fn a_step_of_the_primarys_clock_makes_no_lagging_replica_look_fresh() {
    for step in STEPS {
        let mut group = SteppedGroup::with_known_clock(0);
        let clock = group.clock();
        group.report(2, clock - 2000 * MS);
        group.report(3, clock - 2000 * MS);
        group.offset = step;
        group.write_twice();
        for _ in 0..4 {
            assert!(matches!(group.bounded_read(), None | Some(1)));
        }
    }
}

/// Guards against stale reads after a primary was cut off from its group: it repeats its last position, which
/// is no longer the current time on the group's clock.
#[test]
fn a_primary_whose_position_does_not_advance_makes_no_replica_look_fresh() {
    let mut group = SteppedGroup::with_known_clock(0);
    group.harness.advance(2000 * MS);
    let stopped = group.clock() - 2000 * MS;
    group.report(2, stopped);
    group.write_twice_at(|_| stopped);
    group.write_twice_at(|_| stopped);
    assert_eq!(group.bounded_read(), Some(1));
}

#[test]
fn a_listed_start_counts_as_recent_or_long_ago_whatever_the_hosts_clock_reads() {
    for offset in [0, HOUR, -HOUR] {
        let reads_after_start = |age: Micros| {
            let mut group = SteppedGroup::with_known_clock(offset);
            let started_at = group.clock() - age;
            group.harness.handle(Event::EndpointUpdate {
                complete: false,
                endpoints: vec![EndpointEntry { started_at, ..endpoint_entry(3) }],
            });
            serve_reads(&mut group.harness, 1000..1010, 0, Outcome::Ok);
            group.harness.log.clear();
            serve_reads(&mut group.harness, 1010..1110, 0, Outcome::Ok);
            send_count(&group.harness.log, 3)
        };
        let (warming_up, warm) = (reads_after_start(500 * MS), reads_after_start(100_000 * MS));
        assert!(warm >= 30, "{warm} of 100 reads at a warm endpoint");
        assert!(warming_up < warm / 2, "{warming_up} of 100 reads while it warms up, {warm} when it is warm");
    }
}
