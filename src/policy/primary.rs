//! Selects the endpoint for writes and for reads of the latest data: the primary, if it is known.
//!
//! If no primary is known, requests search for it: they are sent to the members of the group in turn, and a
//! member that is not the primary rejects them without executing them.

use super::Selection;
use crate::Router;
use crate::model::{Micros, RequestId};
use crate::state::EndpointIndex;

/// The shortest time between the last attempt of one search for a group's primary and the first of the
/// next, and the shortest backoff of a request that has had an attempt. Without this wait, all pending
/// requests of a group would search at the same time during a failover.
pub(super) const SEARCH_INTERVAL: Micros = 100_000;

impl Router {
    /// Returns the next step of a request that only the primary can serve.
    pub(super) fn select_primary(&mut self, id: RequestId) -> Selection {
        let pending = &self.requests[&id];
        let group = pending.request.group;
        if self.now < pending.backoff_until {
            return Selection::Hold;
        }
        let Some(primary) = self.topology.presumed_primary(group) else { return self.search_primary(id) };
        // In one round, a request is sent at most once to a primary that only the list names, as the list may
        // be wrong.
        let is_known = self.topology.primary(group) == Some(primary);
        let has_choice = self.topology.members(group).len() > 1;
        let is_avoided = self.topology[primary].ejected && !self.is_trial_due(primary) && has_choice;
        let is_tried = pending.tried.contains(&primary);
        if !self.is_usable(primary) || is_avoided || (is_tried && !is_known) {
            return self.search_primary(id);
        } else if is_tried {
            return self.back_off(id);
        } else if !self.has_capacity(pending, primary) {
            return Selection::Shed;
        }
        let is_new = pending.attempts == 0 && pending.held_until.is_none();
        let class = pending.request.class;
        if !self.admit_slow_start(primary, class, is_new) {
            return Selection::Hold;
        }
        Selection::Send { endpoint: primary, exploratory: self.topology[primary].ejected }
    }

    /// Returns the next step of a request whose group has no usable primary: the request is sent to the next
    /// member that may be the primary, or is held.
    ///
    /// One round of the search sends the request to each member at most once. The request is held with
    /// backoff after a round, and without backoff while a search by another request is recent.
    fn search_primary(&mut self, id: RequestId) -> Selection {
        let pending = &self.requests[&id];
        let (group, class) = (pending.request.group, pending.request.class);
        let starts_round = pending.search_attempts == 0;
        // The first round ends when half of the allowed attempts are used, each round after that has one
        // attempt, and the last attempt is reserved for a known primary. Without these limits, a write that
        // is sent to every member during a failover has no attempt left when the new primary is known.
        let max = self.settings.max_attempts;
        if pending.attempts + 1 >= max || (!starts_round && pending.attempts >= max / 2) {
            return self.back_off(id);
        }
        // Where endpoints serve stale data, a member that is not the primary does not reject a read, so only
        // writes and probes search.
        let is_write = pending.needs.writes;
        let is_round_due = self.topology.group(group).is_some_and(|group| self.now >= group.next_search_at);
        if (!is_write && self.settings.endpoints_serve_stale()) || (starts_round && !is_round_due) {
            return Selection::Hold;
        }
        let mut candidates = self.search_candidates(id).into_iter();
        let candidate = candidates.find(|member| self.admit_slow_start(*member, class, false));
        // If all other members have rejected the request, none of them is the primary: the known primary is
        // tried although it is ejected.
        let Some(endpoint) = candidate.or_else(|| self.untried_primary(id)) else { return self.back_off(id) };
        self.requests.get_mut(&id).expect("checked by the caller").search_attempts += 1;
        let group = self.topology.group_mut(group).expect("checked by the caller");
        group.next_search_at = self.now + SEARCH_INTERVAL;
        Selection::Send { endpoint, exploratory: true }
    }

    /// Returns the members that may be the primary and that the request was not sent to in this round, the
    /// likeliest first. The known primary is not among them.
    fn search_candidates(&self, id: RequestId) -> Vec<EndpointIndex> {
        let pending = &self.requests[&id];
        let known = self.topology.primary(pending.request.group);
        let mut members = self.topology.members(pending.request.group).to_vec();
        members.retain(|member| {
            self.is_usable(*member) && !pending.tried.contains(member) && known != Some(*member)
        });
        members.sort_by_key(|member| {
            let endpoint = &self.topology[*member];
            (endpoint.ejected, !endpoint.is_hinted_primary(), endpoint.last_send_number)
        });
        members
    }

    /// Returns the known primary, if it is usable, has capacity and was not tried by this request.
    fn untried_primary(&self, id: RequestId) -> Option<EndpointIndex> {
        let pending = &self.requests[&id];
        let is_untried =
            |primary: &EndpointIndex| self.is_usable(*primary) && !pending.tried.contains(primary);
        let primary = self.topology.primary(pending.request.group).filter(is_untried);
        primary.filter(|primary| self.has_capacity(pending, *primary))
    }

    /// Holds a request with backoff.
    ///
    /// The backoff is the time left, halved once for each attempt left, but at least
    /// [`Router::least_backoff`]; none for a request without an attempt yet. Without backoff, a primary that
    /// refuses connections would use up all attempts of the request before it recovers.
    fn back_off(&mut self, id: RequestId) -> Selection {
        let least_wait = self.least_backoff(id);
        let pending = self.requests.get_mut(&id).expect("checked by the caller");
        let time_left = pending.useful_until.saturating_sub(self.now);
        let attempts_left = self.settings.max_attempts.saturating_sub(pending.attempts);
        let wait = (time_left >> attempts_left.min(63)).max(least_wait);
        pending.backoff_until = self.now + if pending.attempts == 0 { 0 } else { wait };
        Selection::Hold
    }

    /// Returns the shortest backoff of a request: [`SEARCH_INTERVAL`], or its unloaded latency if that is
    /// shorter and the primary has room for it but has rejected it.
    ///
    /// With a longer backoff, a request with a short deadline would run out of time before its attempts.
    fn least_backoff(&self, id: RequestId) -> Micros {
        let pending = &self.requests[&id];
        if !pending.is_rejected_by_chance {
            return SEARCH_INTERVAL;
        }
        let unloaded = self.unloaded_latency(pending.request.class) as Micros;
        unloaded.max(self.tick_interval()).min(SEARCH_INTERVAL)
    }
}
