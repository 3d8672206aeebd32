//! Draws a run from a seed: the settings, the members, and the actions with their times.

use crate::discovery::AgentMode;
use crate::history::{MS, Micros, SECOND};
use crate::member::MemberFault;
use crate::random::Draws;

/// What the requests of a class need: which members may serve them, and whether they may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassKind {
    /// A read that must see the writes of its session.
    Own,
    /// A read that any member may serve, however old its data is.
    Any,
    /// A write that must not run twice.
    Write,
    /// A write with an idempotency key: its group does not run a key again within [`KEY_WINDOW`].
    Keyed,
    /// A read of data that is at most [`STALENESS_BOUND`] old.
    Recent,
}

impl ClassKind {
    /// Returns whether the requests change data.
    pub fn is_write(self) -> bool {
        matches!(self, ClassKind::Write | ClassKind::Keyed)
    }
}

/// A class of requests.
pub struct Class {
    /// The name in configurations and in the comment field `c`.
    pub name: &'static str,
    /// What its requests need.
    pub kind: ClassKind,
    /// The longest time that its clients wait if the scenario doesn't shorten it.
    pub deadline: Micros,
}

/// The classes of requests, the same in all runs.
pub const CLASSES: [Class; 5] = [
    Class { name: "own", kind: ClassKind::Own, deadline: 1200 * MS },
    Class { name: "any", kind: ClassKind::Any, deadline: 1000 * MS },
    Class { name: "write", kind: ClassKind::Write, deadline: 2500 * MS },
    Class { name: "recent", kind: ClassKind::Recent, deadline: 1000 * MS },
    Class { name: "keyed", kind: ClassKind::Keyed, deadline: 1500 * MS },
];
/// The greatest age of the data that a read of [`ClassKind::Recent`] may see.
pub const STALENESS_BOUND: Micros = 400 * MS;
/// Greatest number of clients of all proxies together.
const MAX_CLIENTS: usize = 48;
/// Time within which a group does not run an idempotency key of [`ClassKind::Keyed`] again.
pub const KEY_WINDOW: Micros = 2 * SECOND;
/// A process that got SIGTERM is killed this long after its longest deadline, of which at most 3 s count.
const KILL_MARGIN: Micros = 700 * MS;
/// The replication lag of a replica that keeps up.
pub const LEAST_LAG: Micros = 5 * MS;
/// Allowance of time limits for the delay of sockets.
pub const SOCKET_SLACK: Micros = 50 * MS;

/// An action on processes, members or discovery at a time of the run.
#[derive(Clone, Copy, Debug)]
#[expect(missing_docs, reason = "each variant says what its fields are")]
pub enum Action {
    /// Changes the mode of a proxy's agent.
    Agent { proxy: usize, mode: AgentMode },
    /// Silences the open watches of a proxy's agent: they stay open and send nothing more.
    SilenceWatches { proxy: usize },
    /// Makes a member drain, and lists it as `DRAINING`. If it is primary, another member becomes primary.
    Drain { member: usize },
    /// Starts a member that drained or was removed again, with a slow start, and lists it as `SERVING`.
    Return { member: usize },
    /// Makes a member drain, and lists it as `DELETED`. If it is primary, another member becomes primary.
    Remove { member: usize },
    /// Changes the fault of a member. If a primary goes down, another member becomes primary.
    Fault { member: usize, fault: MemberFault },
    /// Makes another member of the group primary.
    ChangePrimary { group: usize },
    /// Changes the replication lag of a group's members.
    Lag { group: usize, lag: Micros },
    /// Changes the replication lag of one member.
    MemberLag { member: usize, lag: Micros },
    /// Moves a proxy's discovery to another address with a new configuration and SIGHUP.
    Reload { proxy: usize },
    /// Ends a process with SIGTERM. After [`Scenario::kill_after`], kills it if it still runs, and starts it
    /// again.
    Restart { proxy: usize },
    /// Kills a process with SIGKILL, and starts it again after `down`.
    Kill { proxy: usize, down: Micros },
    /// Pauses a process with SIGSTOP, and resumes it with SIGCONT after `pause`.
    PauseProcess { proxy: usize, pause: Micros },
    /// Opens idle connections that exhaust a proxy's descriptors, and holds them until the end of the run.
    FillDescriptors { proxy: usize },
    /// Sends the messages of the flood of a seed to a proxy at full speed, for this time.
    Flood { proxy: usize, seed: u64, duration: Micros },
    /// Planted: agents don't send changes that count as notified.
    PlantSwallowedChanges,
    /// Planted: a member answers with values of other requests.
    PlantMixedValues,
    /// Planted: the replicas fall behind, and report positions as if they had not.
    PlantHiddenLag,
    /// Planted: a process is paused with SIGSTOP for several seconds.
    PlantLongStop,
    /// Planted: a process gets SIGABRT.
    PlantCrash,
}

/// The stream of the draws of floods.
const FLOOD_STREAM: u64 = 2;
/// The stream of the draws of members that fall behind.
const LAG_STREAM: u64 = 3;
/// The length of a flood.
const FLOOD_TIME: Micros = 5 * SECOND;

/// The settings and actions of a run, drawn from its seed.
pub struct Scenario {
    /// The seed.
    pub seed: u64,
    /// The longest time that clients wait, in percent of their classes' deadlines.
    pub deadline_percent: u64,
    /// The number of proxies.
    pub proxies: usize,
    /// The number of groups of members.
    pub groups: usize,
    /// The number of members in each group.
    pub group_size: usize,
    /// Whether proxies poll discovery; otherwise agents push the list.
    pub on_request: bool,
    /// Time after the notice of a drain within which a proxy may still send new attempts to the member.
    pub drain_grace: Micros,
    /// Whether members reject reads that need newer data than they have; otherwise they serve stale data.
    pub rejects_stale: bool,
    /// The number of descriptors that a proxy may have open.
    pub sockets: usize,
    /// The number of ordinary clients of each proxy.
    pub clients: usize,
    /// The number of clients of each proxy that send malformed or incomplete messages.
    pub faulty_clients: usize,
    /// Whether each proxy has a client that pipelines requests.
    pub has_pipelining_client: bool,
    /// Clients leave one in this many requests before its answer; 0 for none.
    pub leave_one_in: u64,
    /// Time from the start of the run to the SIGTERM at its end.
    pub duration: Micros,
    /// The actions with their times, in order of time.
    pub actions: Vec<(Micros, Action)>,
}

impl Scenario {
    /// Draws a run. A seed gives another run if the order or the bounds of the draws change.
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
        // Without this limit, the clients of many proxies overload the members, whatever the proxies do.
        scenario.clients = scenario.clients.min(MAX_CLIENTS / scenario.proxies);
        scenario.draw_actions(&mut draws);
        scenario.draw_flood(&mut Draws::new(seed, FLOOD_STREAM));
        scenario.draw_member_lag(&mut Draws::new(seed, LAG_STREAM));
        scenario
    }

    /// Returns the number of members in all groups.
    pub fn members(&self) -> usize {
        self.groups * self.group_size
    }

    /// Returns the longest time that clients of a class wait in this run.
    pub fn deadline(&self, class: usize) -> Micros {
        CLASSES[class].deadline * self.deadline_percent / 100
    }

    /// Returns the time after SIGTERM at which a process that still runs is killed: the least that the
    /// protocol documentation grants it.
    pub fn kill_after(&self) -> Micros {
        let longest = (0..CLASSES.len()).map(|class| self.deadline(class)).max().unwrap_or_default();
        longest.min(3 * SECOND) + KILL_MARGIN
    }

    /// Draws the outage of discovery, the other actions around it, and the duration of the run.
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

    /// Draws a flood of one proxy in one of three runs. Its draws are apart from the others, which stay as they
    /// were before there were floods.
    fn draw_flood(&mut self, draws: &mut Draws) {
        if !draws.once_in(3) {
            return;
        }
        let (proxy, seed) = (self.draw_proxy(draws), draws.below(1 << 32));
        let at = draws.between(2 * SECOND, self.duration - SECOND);
        self.actions.push((at, Action::Flood { proxy, seed, duration: FLOOD_TIME }));
        self.actions.sort_by_key(|(at, _)| *at);
    }

    /// Draws phases in which one replica of a group falls behind and then catches up, for most runs.
    fn draw_member_lag(&mut self, draws: &mut Draws) {
        if draws.once_in(4) {
            return;
        }
        let mut at = draws.between(SECOND, 3 * SECOND);
        while at < self.duration {
            let member = draws.below(self.members() as u64) as usize;
            let until = at + draws.between(SECOND, 4 * SECOND);
            let lag = draws.between(200, 5000) * MS;
            self.actions.push((at, Action::MemberLag { member, lag }));
            self.actions.push((until, Action::MemberLag { member, lag: LEAST_LAG }));
            at = until + draws.below(2 * SECOND);
        }
        let end = self.duration;
        self.actions.retain(|(at, _)| *at < end);
        self.actions.sort_by_key(|(at, _)| *at);
    }

    fn draw_proxy(&self, draws: &mut Draws) -> usize {
        draws.below(self.proxies as u64) as usize
    }

    /// Draws an outage of discovery for all proxies: one mode of the agents, or several in sequence.
    fn draw_outage(&mut self, draws: &mut Draws, from: Micros, to: Micros) {
        use AgentMode::{Busy, Fragmented, Gone, NeverAnswering, Resetting, Silent, Slow, Up};
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
                let mode = draws.pick(&[Silent, Silent, Silent, NeverAnswering, Resetting, Busy, Gone]);
                self.actions.push((at, Action::Agent { proxy, mode }));
            }
            self.actions.push((to, Action::Agent { proxy, mode: back }));
            if silences {
                self.actions.push((draws.between(1, 2) * SECOND, Action::SilenceWatches { proxy }));
            }
        }
    }

    /// Draws drains and removals of members before, during and right after the outage; some members return.
    /// Also draws changes of the primary and of the replication lag.
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

    /// Draws signals to one proxy: reloads, a restart, a kill, or pauses.
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
                // A third of the members hang during the whole shutdown.
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

    /// Draws faults of one or two members, each with the time at which it ends.
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

    /// Returns the JSON text of `settings` in a proxy's configuration.
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

/// The share of its full capacity that a member has at its start.
pub const SLOW_START_CAPACITY: f64 = 0.2;
/// Time after its start at which a member has its full capacity.
pub const SLOW_START_DURATION: Micros = 6 * SECOND;
/// A member in slow start is overloaded when it gets more than this multiple of its current capacity during
/// [`OVERLOAD_WINDOW`].
pub const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Time over which the attempts to a member in slow start are compared with [`OVERLOAD_MULTIPLE`].
pub const OVERLOAD_WINDOW: Micros = SECOND;
