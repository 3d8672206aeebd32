//! What a request needs of the endpoint that executes it, and which of these needs an endpoint does not meet.

use crate::{Class, ExecutedStatement, Idempotency, Micros, Requirement, Role};

/// What a request needs. All fields hold at the same time, and for every attempt of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Needs {
    /// A write: endpoints other than the primary reject it.
    pub(crate) writes: bool,
    /// A read of the latest data: only the primary has it.
    pub(crate) latest: bool,
    /// The position that the endpoint must have reached, fixed at the arrival of the request; 0 for none.
    pub(crate) position: Micros,
    /// How old the data may be when an attempt is sent; `None` for any age.
    pub(crate) staleness_bound: Option<Micros>,
    /// How often the request may be executed.
    pub(crate) idempotency: Idempotency,
    /// Whether a statement has an idempotency key. The answer to a repeat may hold the position of the first
    /// execution.
    pub(crate) is_keyed: bool,
}

impl Default for Needs {
    /// No needs.
    fn default() -> Self {
        Needs {
            writes: false,
            latest: false,
            position: 0,
            staleness_bound: None,
            idempotency: Idempotency::Idempotent,
            is_keyed: false,
        }
    }
}

impl Needs {
    /// The needs of a statement, which is of this class. `position` is the position that it must see; 0
    /// for none.
    pub(crate) fn new(statement: &ExecutedStatement, class: &Class, position: Micros) -> Self {
        let idempotency = statement.idempotency(class);
        let staleness_bound = match class.requirement {
            Requirement::BoundedStaleness(bound) => Some(bound),
            _ => None,
        };
        Needs {
            writes: class.requirement == Requirement::Write,
            latest: class.requirement == Requirement::Latest,
            position,
            staleness_bound,
            idempotency,
            is_keyed: matches!(idempotency, Idempotency::Keyed { .. }),
        }
    }

    /// The needs of two statements together. No need of one stands in for another: of two positions the later
    /// holds, of two bounds the shorter, and of two limits on executions the stricter.
    pub(crate) fn and(self, other: Needs) -> Needs {
        let bounds = [self.staleness_bound, other.staleness_bound];
        Needs {
            writes: self.writes || other.writes,
            latest: self.latest || other.latest,
            position: self.position.max(other.position),
            staleness_bound: bounds.into_iter().flatten().min(),
            idempotency: self.idempotency.and(other.idempotency),
            is_keyed: self.is_keyed || other.is_keyed,
        }
    }

    /// The role of the endpoints that can meet the needs: the primary, or also replicas.
    pub(crate) fn role(&self) -> Role {
        if self.writes || self.latest { Role::Primary } else { Role::Replica }
    }

    /// Whether the request reads data that must not be arbitrarily old.
    pub(crate) fn has_freshness(&self) -> bool {
        self.latest || self.position > 0 || self.staleness_bound.is_some()
    }

    /// The lowest position that the bound on staleness allows when the group's clock reads `group_time`; 0
    /// without a bound.
    pub(crate) fn position_of_bound(&self, group_time: Micros) -> Micros {
        self.staleness_bound.map_or(0, |bound| group_time.saturating_sub(bound))
    }
}

/// A value for each kind of need that decides which endpoints may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PerNeed<T> {
    /// The request can be served by the primary only.
    pub role: T,
    /// The endpoint must have reached a position, such as that of the session's last commit.
    pub position: T,
    /// The data must not be older than a bound.
    pub bound: T,
}

impl<T: Copy> PerNeed<T> {
    /// The names of the needs in logs and metrics, with their values.
    pub fn named(&self) -> [(&'static str, T); 3] {
        [("role", self.role), ("position", self.position), ("bound", self.bound)]
    }
}

impl PerNeed<bool> {
    /// The kinds of needs that a request has.
    pub(crate) fn of(needs: &Needs) -> Self {
        PerNeed {
            role: needs.role() == Role::Primary,
            position: needs.position > 0,
            bound: needs.staleness_bound.is_some(),
        }
    }

    /// Whether one of the values is `true`.
    pub(crate) fn any(&self) -> bool {
        self.role || self.position || self.bound
    }
}

impl PerNeed<u64> {
    /// Counts each need whose value is `true`.
    pub(crate) fn count(&mut self, needs: PerNeed<bool>) {
        self.role += u64::from(needs.role);
        self.position += u64::from(needs.position);
        self.bound += u64::from(needs.bound);
    }
}

impl std::ops::AddAssign for PerNeed<u64> {
    fn add_assign(&mut self, other: Self) {
        self.role += other.role;
        self.position += other.position;
        self.bound += other.bound;
    }
}

/// How a router's requests were routed, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoutingCounts {
    /// The requests that had each need.
    pub requests: PerNeed<u64>,
    /// The endpoints that each need has ruled out for a request, added up over all selections.
    pub ruled_out: PerNeed<u64>,
    /// The attempts at primaries of requests that a replica may serve.
    pub reads_at_primary: u64,
    /// The attempts at replicas of requests that a replica may serve.
    pub reads_at_replica: u64,
}
