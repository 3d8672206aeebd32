//! Applies the actions of a scenario to processes, members and discovery.

use crate::discovery::{Agent, AgentMode, ListedMember};
use crate::flood::Play;
use crate::flood::flooder::FloodCounts;
use crate::history::{MS, Micros, SECOND};
use crate::member::{Member, MemberFault};
use crate::run::{Followup, ROTATION_DELAY, Run};
use crate::scenario::Action;
use rustix::process::Signal;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time from a reload until the agent at the old discovery address resets its open calls.
const OLD_AGENT_LIFETIME: Micros = 1500 * MS;
/// Time between SIGSTOP and SIGCONT of the planted long stop.
const PLANTED_STOP: Micros = 4 * SECOND;
/// Lag of the replicas of the planted hidden lag.
const PLANTED_LAG: Micros = 3 * SECOND;
/// Pause between two checks whether a flood is to end.
const FLOOD_STEP: Duration = Duration::from_millis(5);

impl Run<'_> {
    /// Performs an action of the scenario.
    pub(crate) fn perform(&mut self, now: Micros, action: Action) -> std::io::Result<()> {
        match action {
            Action::Agent { proxy, mode } => self.agents[proxy].set_mode(mode),
            Action::SilenceWatches { proxy } => self.agents[proxy].silence_watches(),
            Action::Drain { member } => {
                self.move_primary_from(now, member);
                self.members[member].draining.store(true, Ordering::SeqCst);
                self.change_listed(now, member, |listed| listed.state = "DRAINING");
            }
            Action::Remove { member } => {
                self.move_primary_from(now, member);
                self.members[member].draining.store(true, Ordering::SeqCst);
                self.change_listed(now, member, |listed| listed.state = "DELETED");
            }
            Action::Return { member } => {
                self.members[member].draining.store(false, Ordering::SeqCst);
                self.history.member_starts.lock().unwrap().push((now, member));
                self.members[member].warming_since.store(now, Ordering::SeqCst);
                let boot_ms = unix_ms();
                self.change_listed(now, member, |listed| {
                    listed.state = "SERVING";
                    listed.boot_ms = boot_ms;
                });
            }
            Action::Fault { member, fault } => {
                if fault == MemberFault::Down {
                    self.move_primary_from(now, member);
                }
                self.members[member].set_fault(fault);
            }
            Action::ChangePrimary { group } => self.move_primary_from(now, self.primary_of(group)),
            Action::Lag { group, lag } => {
                let members = self.members.iter().filter(|member| member.group == group);
                members.for_each(|member| member.lag.store(lag, Ordering::SeqCst));
            }
            Action::MemberLag { member, lag } => self.members[member].lag.store(lag, Ordering::SeqCst),
            Action::Reload { proxy } => self.reload(now, proxy)?,
            Action::Restart { proxy } => self.restart(now, proxy),
            Action::Kill { proxy, down } => {
                self.proxies[proxy].kill();
                self.followups.push((now + down, Followup::Start(proxy)));
            }
            Action::PauseProcess { proxy, pause } => {
                self.proxies[proxy].signal(Signal::STOP);
                self.followups.push((now + pause, Followup::Continue(proxy)));
            }
            Action::FillDescriptors { proxy } => {
                let (clients, connections) = (self.clients.clone(), self.scenario.sockets);
                self.spawn(move || {
                    clients.iter().for_each(|clients| clients.hold_idle_connections(proxy, connections))
                });
            }
            Action::Flood { proxy, seed, duration } => self.flood(proxy, seed, duration),
            Action::PlantSwallowedChanges => {
                let swallows = |agent: &Arc<Agent>| agent.swallows_changes.store(true, Ordering::SeqCst);
                self.agents.iter().for_each(swallows);
            }
            Action::PlantMixedValues => self.members[0].mixes_values.store(true, Ordering::SeqCst),
            Action::PlantHiddenLag => {
                let replicas = self.members.iter().filter(|member| !member.is_primary());
                replicas.for_each(|member| {
                    member.lag.store(PLANTED_LAG, Ordering::SeqCst);
                    member.hides_lag.store(true, Ordering::SeqCst);
                });
            }
            Action::PlantLongStop => {
                self.proxies[0].signal(Signal::STOP);
                self.followups.push((now + PLANTED_STOP, Followup::Continue(0)));
            }
            Action::PlantCrash => self.proxies[0].signal(Signal::ABORT),
        }
        Ok(())
    }

    /// Starts a flood of a proxy's listener that ends after `duration`, or with the run.
    fn flood(&self, proxy: usize, seed: u64, duration: Micros) {
        let Some(flood) = Play::draw(seed).flood else { return };
        let (address, is_over) = (self.proxies[proxy].address, Arc::new(AtomicBool::new(false)));
        let (ends, run_is_over, clock) = (is_over.clone(), self.is_over.clone(), self.clock);
        let end = clock.now() + duration;
        self.spawn(move || flood.run(address, seed, &is_over, &FloodCounts::default()));
        self.spawn(move || {
            while clock.now() < end && !run_is_over.load(Ordering::SeqCst) {
                std::thread::sleep(FLOOD_STEP);
            }
            ends.store(true, Ordering::SeqCst);
        });
    }

    fn change_listed(&self, now: Micros, member: usize, change: impl FnOnce(&mut ListedMember)) {
        self.directory.change(now, &self.history, member, change);
    }

    fn primary_of(&self, group: usize) -> usize {
        let mut members = self.members.iter();
        let is_primary =
            |member: &&Arc<Member>| member.group == group && member.primary.load(Ordering::SeqCst);
        members.find(is_primary).map_or(group * self.scenario.group_size, |member| member.index)
    }

    /// If `from` is primary, makes another member of its group primary that neither drains nor has a fault.
    /// Without such a member, `from` stays primary.
    fn move_primary_from(&self, now: Micros, from: usize) {
        let member = &self.members[from];
        if !member.primary.load(Ordering::SeqCst) {
            return;
        }
        let is_eligible = |other: &&Arc<Member>| {
            let usable = !other.draining.load(Ordering::SeqCst) && other.fault() == MemberFault::None;
            other.group == member.group && other.index != from && usable
        };
        let Some(next) = self.members.iter().rev().find(is_eligible) else { return };
        member.demote();
        next.primary.store(true, Ordering::SeqCst);
        self.change_listed(now, from, |listed| listed.primary = false);
        self.change_listed(now, next.index, |listed| listed.primary = true);
    }

    fn reload(&mut self, now: Micros, proxy: usize) -> std::io::Result<()> {
        let old = self.agents[proxy].clone();
        let mode = old.mode();
        self.agents[proxy] = self.new_agent(proxy)?;
        self.agents[proxy].set_mode(mode);
        old.set_mode(if mode.is_up() { AgentMode::Closing } else { AgentMode::Gone });
        self.followups.push((now + OLD_AGENT_LIFETIME, Followup::EndAgent(old)));
        self.proxies[proxy].write_configuration(&self.configuration(proxy))?;
        self.notices.reloaded(now, proxy);
        if self.proxies[proxy].check_running() {
            self.proxies[proxy].signal(Signal::HUP);
        }
        Ok(())
    }

    fn restart(&mut self, now: Micros, proxy: usize) {
        let process = &self.proxies[proxy];
        if process.may_exit.swap(true, Ordering::SeqCst) || !process.check_running() {
            return;
        }
        process.signal(Signal::TERM);
        self.followups.push((now + ROTATION_DELAY, Followup::LeaveRotation(proxy)));
        self.followups.push((now + self.scenario.kill_after(), Followup::KillAndStart(proxy)));
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
