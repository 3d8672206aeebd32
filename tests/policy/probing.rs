//! The rate of health checks (probes).

use crate::harness::*;
use liftrelay::*;

fn probe_count(harness: &RouterHarness) -> usize {
    harness.log.iter().filter(|a| matches!(a, Action::Probe(_))).count()
}

/// Guards against an overload of the members by probes: a group whose primary only the list names would count
/// as one without a primary, and hundreds of routers that have just started would probe all its members at
/// the urgent rate.
#[test]
fn a_new_router_probes_at_the_usual_rate_where_the_list_names_a_primary() {
    let [hinted, unhinted] = [true, false].map(|primary_hint| {
        let mut harness = RouterHarness::new(settings(), 4);
        let primary = EndpointEntry { primary_hint, ..endpoint_entry(1) };
        harness.handle(Event::EndpointUpdate { complete: false, endpoints: vec![primary] });
        for _ in 0..100 {
            // All probes time out, so that the router learns no roles.
            harness.advance(100 * MS);
            (1..=4).for_each(|n| {
                let report = LoadReport::default();
                harness.handle(Event::ProbeEnded { endpoint: EndpointId(n), answered: false, report });
            });
            harness.handle(Event::Request(request(harness.log.len() as u32, ANY)));
        }
        probe_count(&harness)
    });
    assert!(
        hinted > 0 && hinted * 2 < unhinted,
        "{hinted} probes, {unhinted} where the list names no primary"
    );
}

/// Guards against needless probes: if the answers to requests did not count as observations of a member's
/// position, the router would also probe for it at the usual interval.
#[test]
fn an_endpoint_whose_answers_report_its_position_is_probed_less() {
    let [with_position, without_position] = [true, false].map(|reports_position| {
        let mut harness = RouterHarness::with_known_roles(settings(), 2);
        for id in 1..200 {
            harness.advance(50 * MS);
            let Some(to) = sent_to(&harness.request(id, ANY)) else { continue };
            let metadata = ResponseMetadata { role: None, position: reports_position.then_some(harness.now) };
            harness.handle(Event::AttemptEnded(AttemptResult {
                metadata,
                ..attempt_result(id, 0, to, Outcome::Ok)
            }));
            harness.report(1, Role::Primary, harness.now);
            harness.handle(Event::ProbeEnded {
                endpoint: EndpointId(2),
                answered: false,
                report: LoadReport::default(),
            });
        }
        probe_count(&harness)
    });
    assert!(
        with_position * 3 < without_position * 2,
        "{with_position} probes, {without_position} where answers report no position"
    );
}
