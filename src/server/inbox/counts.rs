//! The sources of messages to the event loop, and their counts.

use std::time::Duration;

/// Where messages to the event loop come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Operators, signals and the store.
    Control,
    /// Connections to members.
    Members,
    /// Discovery watches.
    Discovery,
    /// Client connections.
    Clients,
}

impl Source {
    /// All sources, in the order of their numbers.
    pub const ALL: [Source; 4] = [Source::Control, Source::Members, Source::Discovery, Source::Clients];

    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Source::Control => "control",
            Source::Members => "members",
            Source::Discovery => "discovery",
            Source::Clients => "clients",
        }
    }
}

/// The messages of one source: those that wait now, and totals since the start of the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceCounts {
    /// The messages that wait now.
    pub queued: usize,
    /// The most messages that have waited at a time.
    pub most_queued: usize,
    /// The messages that the event loop has taken.
    pub taken: u64,
    /// The sum of the times from the start of their sending to the event loop's taking them.
    pub waited: Duration,
    /// The longest of these times.
    pub longest_wait: Duration,
}

impl SourceCounts {
    pub(super) fn count_queued(&mut self) {
        self.queued += 1;
        self.most_queued = self.most_queued.max(self.queued);
    }

    pub(super) fn count_taken(&mut self, waited: Duration) {
        self.queued -= 1;
        self.taken += 1;
        self.waited += waited;
        self.longest_wait = self.longest_wait.max(waited);
    }
}

/// The counts of all sources, in the order of [`Source::ALL`].
pub type InboxCounts = [SourceCounts; Source::ALL.len()];
