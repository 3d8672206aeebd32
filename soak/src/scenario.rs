//! What a seed draws: the settings, the members, and the faults with their times.

use crate::discovery::AgentMode;
use crate::history::{MS, Micros, SECOND};
use crate::member::MemberFault;
use crate::random::Draws;

/// What a class asks of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassKind {
    /// A read that sees what its session wrote.
    Own,
    /// A read from any member.
    Any,
    /// A write that must not run twice.
    Write,
    /// A write with an idempotency key, which its group drops a repeat of for [`KEY_WINDOW`].
    Keyed,
    /// A read of data that is at most [`STALENESS_BOUND`] old.
    Recent,
}

impl ClassKind {
    /// Whether it changes data.
    pub fn is_write(self) -> bool {
        matches!(self, ClassKind::Write | ClassKind::Keyed)
    }
}

/// A class of requests.
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its kind.
    pub kind: ClassKind,
    /// The longest time that its clients wait.
    pub deadline: Micros,
}

/// The classes of all runs.
pub const CLASSES: [Class; 5] = [
    Class { name: "own", kind: ClassKind::Own, deadline: 1200 * MS },
    Class { name: "any", kind: ClassKind::Any, deadline: 1000 * MS },
    Class { name: "write", kind: ClassKind::Write, deadline: 2500 * MS },
    Class { name: "recent", kind: ClassKind::Recent, deadline: 1000 * MS },
    Class { name: "keyed", kind: ClassKind::Keyed, deadline: 1500 * MS },
];
/// The bound of [`ClassKind::Recent`].
pub const STALENESS_BOUND: Micros = 400 * MS;
/// Clients of all proxies together.
const MAX_CLIENTS: usize = 48;
/// The window of [`ClassKind::Keyed`].
pub const KEY_WINDOW: Micros = 2 * SECOND;
/// A process that was told to end is killed this long after its longest deadline (3 s at most).
const KILL_MARGIN: Micros = 700 * MS;
/// Slack of time limits on sockets.
pub const SOCKET_SLACK: Micros = 50 * MS;

/// Something that is done at a time of the run.
#[derive(Clone, Copy, Debug)]
#[expect(missing_docs, reason = "each variant says what its fields are")]
pub enum Action {
    /// An agent changes what it does.
    Agent { proxy: usize, mode: AgentMode },
    /// Open watches of an agent fall silent.
    SilenceWatches { proxy: usize },
    /// A member begins to drain, and discovery has that now.
    Drain { member: usize },
    /// A member that drained or left is back, started anew.
    Return { member: usize },
    /// A member leaves the list.
    Remove { member: usize },
    /// A member behaves like this.
    Fault { member: usize, fault: MemberFault },
    /// Another member of the group is primary.
    ChangePrimary { group: usize },
    /// Replicas of a group lag by this.
    Lag { group: usize, lag: Micros },
    /// A new configuration moves discovery to another address.
    Reload { proxy: usize },
    /// A process is told to end; it is killed and started again after the time that the page gives at least.
    Restart { proxy: usize },
    /// A process is killed, and started again this much later.
    Kill { proxy: usize, down: Micros },
    /// A process is paused with SIGSTOP, and continues after `pause`.
    PauseProcess { proxy: usize, pause: Micros },
    /// Clients fill the proxy's descriptors.
    FillDescriptors { proxy: usize },
    /// Planted: the agent swallows changes that count as told.
    PlantSwallowedChanges,
    /// Planted: a member answers with values of other requests.
    PlantMixedValues,
    /// Planted: a process is stopped for seconds.
    PlantLongStop,
    /// Planted: a process gets SIGABRT.
    PlantCrash,
}

/// A run, as drawn from its seed.
pub struct Scenario {
    /// The seed.
    pub seed: u64,
    /// The part of the classes' deadlines that clients wait at most.
    pub deadline_percent: u64,
    /// Proxies.
    pub proxies: usize,
    /// Groups of members.
    pub groups: usize,
    /// Members of each group.
    pub group_size: usize,
    /// Discovery is one service that is asked; otherwise an agent has what was pushed.
    pub on_request: bool,
    /// The grace of drains.
    pub drain_grace: Micros,
    /// Members reject reads for which they are too far behind; otherwise they serve what they have.
    pub rejects_stale: bool,
    /// Descriptors that a proxy may hold.
    pub sockets: usize,
    /// Clients of each proxy.
    pub clients: usize,
    /// Bad clients of each proxy.
    pub faulty_clients: usize,
    /// A client of each proxy sends several requests at once.
    pub has_pipelining_client: bool,
    /// One of so many requests is left early; 0 for none.
    pub leave_one_in: u64,
    /// How long it lasts.
    pub duration: Micros,
    /// What is done, in order of time.
    pub actions: Vec<(Micros, Action)>,
}

impl Scenario {
    /// Draws a run.
    pub fn draw(seed: u64) -> Scenario {
        let mut draws = Draws::new(seed, 1);
        let mut scenario = Scenario {
            seed,
            deadline_percent: draws.pick(&[100, 100, 100, 35]),
            proxies: draws.pick(&[1, 2, 2, 3, 3, 6]),
            groups: draws.between(1, 2) as usize,
            group_size: draws.between(3, 5) as usize,
            on_request: draws.once_in(4),
            drain_grace: draws.pick(&[250, 500, 500]) * MS,
            rejects_stale: !draws.once_in(3),
            sockets: draws.pick(&[256, 512, 1024]) as usize,
            clients: draws.between(12, 24) as usize,
            faulty_clients: draws.below(3) as usize,
            has_pipelining_client: seed.is_multiple_of(2),
            leave_one_in: draws.pick(&[0, 12, 40]),
            duration: 0,
            actions: Vec::new(),
        };
        // Guards against a crowd of proxies whose clients overload the members whatever the proxies do.
        scenario.clients = scenario.clients.min(MAX_CLIENTS / scenario.proxies);
        scenario.draw_actions(&mut draws);
        scenario
    }

    /// The number of members.
    pub fn members(&self) -> usize {
        self.groups * self.group_size
    }

    /// The longest time that clients of a class wait.
    pub fn deadline(&self, class: usize) -> Micros {
        CLASSES[class].deadline * self.deadline_percent / 100
    }

    /// How long after SIGTERM a process is killed.
    pub fn kill_after(&self) -> Micros {
        let longest = (0..CLASSES.len()).map(|class| self.deadline(class)).max().unwrap_or_default();
        longest.min(3 * SECOND) + KILL_MARGIN
    }

    fn draw_actions(&mut self, draws: &mut Draws) {
        let outage_at = draws.between(3, 6) * SECOND + draws.below(SECOND);
        let longest = draws.pick(&[5000, 9000, 9000, 16_000]);
        let outage = draws.between(1500, longest) * MS;
        let back_at = outage_at + outage;
        self.draw_outage(draws, outage_at, back_at);
        self.draw_drains(draws, back_at);
        if draws.once_in(2) {
            self.draw_signals(draws, outage_at, back_at);
        }
        if draws.once_in(2) {
            self.draw_member_faults(draws, back_at);
        }
        if draws.once_in(5) {
            let proxy = self.draw_proxy(draws);
            self.actions.push((2 * SECOND, Action::FillDescriptors { proxy }));
        }
        self.duration = back_at + draws.between(4, 7) * SECOND;
        self.actions.sort_by_key(|(at, _)| *at);
        let end = self.duration;
        self.actions.retain(|(at, _)| *at < end);
    }

    fn draw_proxy(&self, draws: &mut Draws) -> usize {
        draws.below(self.proxies as u64) as usize
    }

    /// Discovery is away for all proxies, in one way or in several that follow each other.
    fn draw_outage(&mut self, draws: &mut Draws, from: Micros, to: Micros) {
        use AgentMode::{Busy, DropsCalls, Fragmented, Gone, Resetting, Silent, Slow, Up};
        let parts = draws.pick(&[1, 1, 2, 3]);
        let back = if self.on_request {
            draws.pick(&[Up, Fragmented, Slow])
        } else {
            draws.pick(&[Up, Up, Fragmented])
        };
        let silences = draws.once_in(4);
        for proxy in 0..self.proxies {
            for part in 0..parts {
                let at = from + (to - from) * part / parts;
                let mode = draws.pick(&[Silent, Silent, Silent, DropsCalls, Resetting, Busy, Gone]);
                self.actions.push((at, Action::Agent { proxy, mode }));
            }
            self.actions.push((to, Action::Agent { proxy, mode: back }));
            if silences {
                self.actions.push((draws.between(1, 2) * SECOND, Action::SilenceWatches { proxy }));
            }
        }
    }

    /// Members drain before, during and right after the outage, and some come back.
    fn draw_drains(&mut self, draws: &mut Draws, back_at: Micros) {
        for group in 0..self.groups {
            let first = group * self.group_size;
            let drained = draws.between(1, (self.group_size - 1) as u64) as usize;
            for member in first..first + drained {
                let at = match draws.below(5) {
                    0 => draws.between(2 * SECOND, 4 * SECOND),
                    1 => back_at - draws.below(SECOND),
                    _ => back_at + draws.below(1500 * MS),
                };
                let action =
                    if draws.once_in(5) { Action::Remove { member } } else { Action::Drain { member } };
                self.actions.push((at, action));
                if draws.once_in(3) {
                    let at = at + draws.between(1500, 4000) * MS;
                    self.actions.push((at, Action::Return { member }));
                }
            }
            if draws.once_in(2) {
                let at = draws.between(2 * SECOND, back_at);
                self.actions.push((at, Action::ChangePrimary { group }));
            }
            if draws.once_in(3) {
                let lag = draws.between(100, 1500) * MS;
                self.actions.push((draws.between(2 * SECOND, back_at), Action::Lag { group, lag }));
            }
        }
    }

    /// Signals, also in series.
    fn draw_signals(&mut self, draws: &mut Draws, outage_at: Micros, back_at: Micros) {
        let proxy = self.draw_proxy(draws);
        let at = draws.between(2 * SECOND, back_at + 2 * SECOND);
        match draws.below(5) {
            0 => {
                for number in 0..draws.between(1, 4) {
                    self.actions.push((at + number * draws.between(20, 700) * MS, Action::Reload { proxy }));
                }
            }
            1 => {
                self.actions.push((at, Action::Restart { proxy }));
                // Members hang through the whole of the shutdown.
                for member in 0..self.members() / 3 {
                    self.actions.push((at, Action::Fault { member, fault: MemberFault::Hangs }));
                    let fault = MemberFault::None;
                    self.actions.push((at + 5 * SECOND, Action::Fault { member, fault }));
                }
            }
            2 => {
                self.actions.push((at, Action::Reload { proxy }));
                self.actions.push((at + draws.below(300 * MS), Action::Restart { proxy }));
            }
            3 => {
                let at = draws.pick(&[at, outage_at + 500 * MS]);
                self.actions.push((at, Action::Kill { proxy, down: draws.between(200, 2000) * MS }));
            }
            _ => {
                for number in 0..draws.between(3, 12) {
                    let pause = draws.between(20, 150) * MS;
                    self.actions.push((at + number * 600 * MS, Action::PauseProcess { proxy, pause }));
                }
            }
        }
    }

    fn draw_member_faults(&mut self, draws: &mut Draws, back_at: Micros) {
        use MemberFault::{ClosesIdle, Down, Errors, Hangs, None, Resets, SlowToConnect};
        for _ in 0..draws.between(1, 2) {
            let member = draws.below(self.members() as u64) as usize;
            let fault = draws.pick(&[Hangs, Resets, SlowToConnect, Errors, Down, ClosesIdle]);
            let at = draws.between(2 * SECOND, back_at);
            self.actions.push((at, Action::Fault { member, fault }));
            let until = at + draws.between(1500, 6000) * MS;
            self.actions.push((until, Action::Fault { member, fault: None }));
        }
    }

    /// The `settings` of a proxy's configuration.
    pub fn settings_text(&self) -> String {
        let discovery = if self.on_request { "on_request" } else { "pushed" };
        let when_behind = if self.rejects_stale { "hold" } else { "silent" };
        let classes: Vec<String> = CLASSES
            .iter()
            .enumerate()
            .map(|(index, Class { name, kind, .. })| {
                let deadline = self.deadline(index);
                let effect = match kind {
                    ClassKind::Write => r#""unsafe""#.to_string(),
                    ClassKind::Keyed => format!(r#""keyed","key_scope":"group","window_us":{KEY_WINDOW}"#),
                    _ => r#""safe""#.to_string(),
                };
                format!(
                    r#"{{"name":"{name}","aim_us":{},"deadline_us":{deadline},"effect":{effect},"credit":3}}"#,
                    deadline / 3
                )
            })
            .collect();
        format!(
            r#"{{"instances":{},"request_classes":[{}],"discovery":"{discovery}",
            "family_info":{{"when_behind":"{when_behind}","freshness":["own_writes","loose","update","recent","update"],
            "class_bound_us":[0,0,0,{STALENESS_BOUND},0],"counted_from_us":0,"catch_up_wait_us":50000}},
            "limits":{{"max_attempts":8,"probes":true,"cancel":true}},"resolution_us":5000,
            "stats":{{"fields":["x0","x1"],"how":"pull"}},
            "contract":{{"cold_from":{SLOW_START_CAPACITY},"cold_us":{SLOW_START_DURATION},"fall_multiple":{OVERLOAD_MULTIPLE},
            "fall_us":{OVERLOAD_WINDOW},"stop_sending_within_us":{}}}}}"#,
            self.proxies,
            classes.join(","),
            self.drain_grace
        )
    }
}

/// The share of its capacity with which a member starts.
pub const SLOW_START_CAPACITY: f64 = 0.2;
/// A member is warm this long after its start.
pub const SLOW_START_DURATION: Micros = 6 * SECOND;
/// A cold member falls when it is sent more than this multiple of what it can do ...
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// ... for this long.
pub const OVERLOAD_WINDOW: Micros = SECOND;
