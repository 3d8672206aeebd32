//! The settings of a play: the classes of the deployments, or drawn ones.

use crate::random::RandomSource;
use crate::{Class, Idempotency, Micros, Requirement, Settings, StaleReadBehavior};

const MS: Micros = 1000;

/// The classes of the deployments, or drawn ones.
fn draw_classes(random: &mut RandomSource) -> Vec<(Requirement, Idempotency)> {
    use Idempotency::{AtMostOnce, Idempotent, Keyed};
    use Requirement::{Any, BoundedStaleness, Latest, ReadYourWrites, Write};
    let keyed = |window, across_groups| Keyed { window, across_groups };
    let safe = |requirement| (requirement, Idempotent);
    match random.below(6) {
        0 => [ReadYourWrites, Any, Latest].map(safe).into_iter().chain([(Write, AtMostOnce)]).collect(),
        1 => {
            let reads = [BoundedStaleness(800 * MS), ReadYourWrites, Any].map(safe);
            reads.into_iter().chain([(Write, AtMostOnce)]).collect()
        }
        2 => {
            let reads = [BoundedStaleness(300 * MS), ReadYourWrites, Any, Latest].map(safe);
            reads.into_iter().chain([(Write, keyed(2000 * MS, true))]).collect()
        }
        _ => {
            let mut draw = || {
                let bound = BoundedStaleness(random.below(4000) * MS);
                let requirements = [Write, Latest, ReadYourWrites, bound, bound, Any];
                let key = keyed(100 * MS + random.below(1500) * MS, random.below(2) == 0);
                let idempotency = [Idempotent, Idempotent, key, AtMostOnce][random.below(4) as usize];
                (requirements[random.below(6) as usize], idempotency)
            };
            (0..6).map(|_| draw()).collect()
        }
    }
}

/// Draws the settings of a play.
pub fn draw_settings(random: &mut RandomSource) -> Settings {
    let classes = draw_classes(random);
    let class_names = (0..classes.len()).map(|class| format!("c{class}")).collect();
    let mut class = |(requirement, idempotency)| Class {
        requirement,
        idempotency,
        latency_objective: 400 * MS + random.below(400) * MS,
        deadline: 2000 * MS,
        priority_weight: 1.0 + random.below(5) as f64,
        late_value: random.below(2) as f64 / 2.0,
    };
    let classes = classes.into_iter().map(&mut class).collect();
    let behavior = match random.below(4) {
        0 => StaleReadBehavior::Reject,
        1 => StaleReadBehavior::WaitThenReject(50 * MS),
        _ => StaleReadBehavior::Serve,
    };
    let remember_commits = random.below(3) == 0;
    Settings { classes, class_names, stale_read_behavior: behavior, remember_commits, ..Settings::default() }
}
