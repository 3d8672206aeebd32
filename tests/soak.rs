//! Tests that the checker of the soak finds each planted fault, and nothing in a run without one. Without this
//! test, a checker that overlooks violations would pass every run.

use liftrelay_soak::checker::{Finding, check};
use liftrelay_soak::history::SECOND;
use liftrelay_soak::run::play;
use liftrelay_soak::scenario::{Action, Scenario};
use std::collections::BTreeSet;
use std::path::Path;

/// Seeds among which the test takes those with pushed lists, more than 3 members in a group, and no request
/// that its client leaves.
const SEEDS: std::ops::Range<u64> = 1000..1100;

/// Plays a run of 5 s with this fault planted at 2 s and a drain at 3 s. Returns what it violates.
fn find(seed: u64, planted: Option<Action>) -> Vec<Finding> {
    let mut scenario = Scenario { duration: 5 * SECOND, ..Scenario::draw(seed) };
    // Members that check positions serve nothing stale, whatever they report.
    scenario.rejects_stale &= !matches!(planted, Some(Action::PlantHiddenLag));
    scenario.actions = planted.map(|action| (2 * SECOND, action)).into_iter().collect();
    scenario.actions.push((3 * SECOND, Action::Drain { member: 1 }));
    let folder = std::env::temp_dir().join(format!("liftrelay-planted-{}-{seed}", std::process::id()));
    let run = play(&scenario, Path::new(env!("CARGO_BIN_EXE_liftrelay")), &folder).unwrap();
    check(&scenario, &run.history)
}

#[test]
fn planted_faults_are_found_and_a_run_without_one_has_no_finding() {
    let mut seeds = SEEDS.filter(|seed| {
        let scenario = Scenario::draw(*seed);
        !scenario.on_request && scenario.group_size > 3 && scenario.leave_one_in == 0
    });
    // The fault, and the rule that it must violate.
    let cases = [
        (None, vec![]),
        (Some(Action::PlantSwallowedChanges), vec!["drain"]),
        (Some(Action::PlantMixedValues), vec!["value"]),
        (Some(Action::PlantLongStop), vec!["lost"]),
        (Some(Action::PlantCrash), vec!["process"]),
        (Some(Action::PlantHiddenLag), vec!["stale"]),
    ];
    let runs = cases.map(|(planted, expected)| {
        let seed = seeds.next().unwrap();
        let handle = std::thread::spawn(move || find(seed, planted));
        (planted, expected, handle)
    });
    for (planted, expected, handle) in runs {
        let findings = handle.join().unwrap();
        let found: BTreeSet<_> = findings.iter().map(|finding| finding.rule).collect();
        assert!(
            expected.iter().all(|rule| found.contains(rule)),
            "{planted:?}: expected {expected:?}, found {found:?}"
        );
        assert!(
            planted.is_some() || findings.is_empty(),
            "without a fault: expected no finding, found {findings:#?}"
        );
    }
}
