//! Estimates the unloaded latency of each request class: its service time at an endpoint without queueing.

use crate::{Class, Micros};

/// The number of answers of a class over which one mean latency is taken.
const BATCH_SIZE: u32 = 24;
/// The share of the difference by which a batch that is faster than the baseline moves it.
const FASTER_GAIN: f64 = 0.3;
/// The share of the difference by which a batch that is slower than the baseline moves it. It is small so
/// that latencies under sustained load do not become the baseline.
const SLOWER_GAIN: f64 = 0.02;
/// The initial estimate of the unloaded latency, as a share of the latency objective.
const INITIAL_SHARE: f64 = 0.25;
/// The number of answers that the initial estimate counts as, until the first batch is complete.
const INITIAL_WEIGHT: f64 = 3.0;

/// The baseline of one class. All latencies are in microseconds.
struct Baseline {
    initial: f64,
    unloaded: f64,
    /// The sum of the latencies in the current batch.
    sum: f64,
    /// The number of answers in the current batch.
    samples: u32,
    /// Whether a batch has been completed.
    measured: bool,
}

/// The unloaded latencies of all classes, learned from the latencies of answers.
#[derive(Default)]
pub(crate) struct LatencyBaselines {
    classes: Vec<Baseline>,
    /// The sum, over the answers of all classes, of each latency divided by its class's initial estimate.
    relative_sum: f64,
    /// The number of answers in `relative_sum`.
    relative_samples: f64,
}

impl LatencyBaselines {
    /// Creates a baseline for each class, with its initial estimate.
    pub(crate) fn new(classes: &[Class]) -> Self {
        let classes = classes.iter().map(|class| {
            let initial = class.latency_objective as f64 * INITIAL_SHARE;
            Baseline { initial, unloaded: initial, sum: 0.0, samples: 0, measured: false }
        });
        LatencyBaselines { classes: classes.collect(), ..LatencyBaselines::default() }
    }

    /// The latency of a request of this class at an idle endpoint, in microseconds.
    pub(crate) fn unloaded_latency(&self, class: usize) -> f64 {
        self.classes[class].unloaded
    }

    /// The unloaded latencies of all classes in microseconds, ordered by class index.
    pub(crate) fn all(&self) -> impl Iterator<Item = f64> {
        self.classes.iter().map(|baseline| baseline.unloaded)
    }

    /// Records the latency of one answer.
    ///
    /// Classes without a complete batch scale their initial estimate by the mean ratio of latency to initial
    /// estimate over all classes. Otherwise a rare class would rely on its initial estimate for minutes.
    pub(crate) fn record(&mut self, class: usize, elapsed: Micros) {
        let elapsed = elapsed as f64;
        self.relative_sum += elapsed / self.classes[class].initial;
        self.relative_samples += 1.0;
        let mean_ratio = (INITIAL_WEIGHT + self.relative_sum) / (INITIAL_WEIGHT + self.relative_samples);
        let mean_ratio = mean_ratio.min(1.0);
        self.classes[class].sum += elapsed;
        self.classes[class].samples += 1;
        for baseline in &mut self.classes {
            baseline.update(mean_ratio);
        }
    }
}

impl Baseline {
    /// Updates the baseline; `mean_ratio` scales the initial estimate until the first batch is complete.
    fn update(&mut self, mean_ratio: f64) {
        let samples = f64::from(self.samples);
        let complete = self.samples >= BATCH_SIZE;
        if !self.measured {
            let weighted_initial = INITIAL_WEIGHT * self.initial * mean_ratio;
            self.unloaded = ((weighted_initial + self.sum) / (INITIAL_WEIGHT + samples)).min(self.initial);
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
