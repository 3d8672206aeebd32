//! Generated batches, routed by the front and the router together and judged by a model of the pages: no
//! attempt leaves the model's answer, and none is refused or sent to the primary while a replica is in
//! it.

mod draws;
mod model;
mod play;

use play::{Need, Plant, Play};

const SEEDS: std::ops::Range<u64> = 1..301;
const STEPS: usize = 400;
/// The number of seeds within which a planted fault is found.
const PLANT_SEEDS: std::ops::Range<u64> = 1..61;

/// Guards against a need of one statement that hides that of another: the bound of a read behind a read
/// of own writes, a second bound, the present, the writes of a second session, a key, in any order and
/// cut.
#[test]
fn every_need_of_every_executed_statement_holds_at_each_attempt() {
    let mut executed = 0;
    for seed in SEEDS {
        let mut play = Play::new(seed, Plant::Nothing);
        (0..STEPS).for_each(|_| play.step());
        assert!(play.violations.is_empty(), "seed {seed}: {:#?}", play.violations);
        executed += play.served;
    }
    assert!(executed > 10_000, "only {executed} batches were served");
}

/// Without this test, a model that allows everything would pass every play.
#[test]
fn planted_losses_of_one_need_are_found() {
    let kinds = [Need::Bound, Need::OwnWrites, Need::Present, Need::Executions].map(Plant::Drop);
    for plant in kinds.into_iter().chain([Plant::DropShorterBound, Plant::DropLaterCommit]) {
        let is_found = PLANT_SEEDS.clone().any(|seed| {
            let mut play = Play::new(seed, plant);
            (0..STEPS).any(|_| {
                play.step();
                !play.violations.is_empty()
            })
        });
        assert!(is_found, "{plant:?}");
    }
}
