//! The share of attempts that fail.

/// The exponentially weighted moving average of outcomes: 0 if all attempts succeed, 1 if all fail.
#[derive(Clone, Copy, Default, PartialEq, PartialOrd)]
pub(crate) struct FailureRate(f64);

impl FailureRate {
    /// Starts the average at this share.
    pub(crate) fn new(share: f64) -> Self {
        FailureRate(share)
    }

    /// Records one outcome; `gain`, between 0 and 1, is its weight in the average.
    pub(crate) fn record(&mut self, failed: bool, gain: f64) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.0 += (outcome - self.0) * gain;
    }

    /// The share of recent attempts that failed.
    pub(crate) fn share(self) -> f64 {
        self.0
    }
}
