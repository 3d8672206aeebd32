//! The service time of each request class without load.

use crate::{Class, Micros};

/// Answers that make up one reading of the unloaded time of a class.
const READING_SAMPLES: u32 = 24;
/// The part of the difference that a faster reading moves the baseline by.
const FASTER_GAIN: f64 = 0.3;
/// The same for a slower reading; small, so that sustained load does not become the norm.
const SLOWER_GAIN: f64 = 0.02;
/// The initial estimate of the unloaded time, as a share of the latency objective.
const FIRST_GUESS: f64 = 0.25;
/// The number of answers that the initial estimate counts as, until the first reading.
const GUESS_SAMPLES: f64 = 3.0;

struct Baseline {
    first_guess: f64,
    unloaded: f64,
    sum: f64,
    samples: u32,
    measured: bool,
}

/// The unloaded service times of all classes, learned from the times that answers take.
#[derive(Default)]
pub(crate) struct LatencyBaselines {
    classes: Vec<Baseline>,
    /// Over all classes, the sum and the number of answer times as shares of the initial estimate.
    relative_sum: f64,
    relative_samples: f64,
}

impl LatencyBaselines {
    /// Initial estimates only.
    pub(crate) fn new(classes: &[Class]) -> Self {
        let classes = classes.iter().map(|class| {
            let first_guess = class.latency_objective as f64 * FIRST_GUESS;
            Baseline { first_guess, unloaded: first_guess, sum: 0.0, samples: 0, measured: false }
        });
        LatencyBaselines { classes: classes.collect(), ..LatencyBaselines::default() }
    }

    /// The time in microseconds that a request of this class takes at an idle endpoint.
    pub(crate) fn unloaded_latency(&self, class: usize) -> f64 {
        self.classes[class].unloaded
    }

    /// The unloaded times of all classes, in order.
    pub(crate) fn all(&self) -> impl Iterator<Item = f64> {
        self.classes.iter().map(|baseline| baseline.unloaded)
    }

    /// Records the time of one answer; classes without a reading use the ratio of all classes. Guards against
    /// relying on the initial estimate for minutes where a class is rare.
    pub(crate) fn record(&mut self, class: usize, elapsed: Micros) {
        let elapsed = elapsed as f64;
        self.relative_sum += elapsed / self.classes[class].first_guess;
        self.relative_samples += 1.0;
        let pace = (GUESS_SAMPLES + self.relative_sum) / (GUESS_SAMPLES + self.relative_samples);
        let pace = pace.min(1.0);
        self.classes[class].sum += elapsed;
        self.classes[class].samples += 1;
        for baseline in &mut self.classes {
            baseline.update(pace);
        }
    }
}

impl Baseline {
    fn update(&mut self, pace: f64) {
        let samples = f64::from(self.samples);
        let complete = self.samples >= READING_SAMPLES;
        if !self.measured {
            let weighted_guess = GUESS_SAMPLES * self.first_guess * pace;
            self.unloaded = ((weighted_guess + self.sum) / (GUESS_SAMPLES + samples)).min(self.first_guess);
        } else if complete {
            let mean = self.sum / samples;
            let gain = if mean < self.unloaded { FASTER_GAIN } else { SLOWER_GAIN };
            self.unloaded += (mean - self.unloaded).min(self.unloaded) * gain;
        }
        if complete {
            self.sum = 0.0;
            self.samples = 0;
            self.measured = true;
        }
    }
}
