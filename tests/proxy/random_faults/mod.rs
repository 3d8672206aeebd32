//! Requests under random faults of the program's system calls: what holds for every request, whatever fails.

mod requests;
mod script;

use crate::support::*;
use requests::{Ending, Exchange, Request, Session};
use script::Draws;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::Instant;

/// The seeds that are played, and how many of them at a time.
const SEEDS: std::ops::Range<u64> = 0..32;
const SEEDS_AT_A_TIME: usize = 4;
/// The variable that names the only seed to play, to look into its failure.
const SEED_VARIABLE: &str = "RANDOM_FAULTS_SEED";
/// Clients that wait for each answer, and how many requests each sends before the last one.
const WAITING_CLIENTS: u32 = 4;
const REQUESTS_EACH: u32 = 12;
/// Requests whose clients disconnect at once.
const ABANDONED_REQUESTS: u32 = 6;
/// How long clients wait.
const TIMEOUT_MS: u32 = 500;
/// How long those that disconnect would have waited: longer than faults last.
const ABANDONED_TIMEOUT_MS: u32 = 3000;
/// The second script replaces the first one after so many answers.
const ANSWERS_UNDER_FIRST_SCRIPT: usize = 24;
/// Edits the configuration: classes have short deadlines, and so the shutdown is short.
const SHORT_DEADLINES: &str = "s/\"deadline_us\":[0-9]*/\"deadline_us\":800000/g";
/// More replies than a member holds.
const MANY_REPLIES: usize = 100;

/// Guards against combinations of faults that no other test names.
#[test]
fn every_request_gets_one_true_answer_whatever_system_calls_fail() {
    let seeds = match std::env::var(SEED_VARIABLE) {
        Ok(seed) => seed.parse().map(|seed| seed..seed + 1).unwrap(),
        Err(_) => SEEDS,
    };
    let seeds = Mutex::new(seeds);
    let next_seed = || seeds.lock().unwrap().next();
    std::thread::scope(|scope| {
        for _ in 0..SEEDS_AT_A_TIME {
            scope.spawn(|| std::iter::from_fn(next_seed).for_each(|seed| Play::start(seed).run()));
        }
    });
}

/// The program between its stand-ins, with the faults and requests of one seed. Prints its scripts if it fails.
struct Play {
    seed: u64,
    scripts: [String; 2],
    draws: Draws,
    members: Vec<MockMember>,
    faults: Faults,
    proxy: Proxy,
}

impl Drop for Play {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let scripts = self.scripts.join("replaced by\n");
            eprintln!("{SEED_VARIABLE}={} fails with this script:\n{scripts}", self.seed);
        }
    }
}

impl Play {
    fn start(seed: u64) -> Play {
        let mut draws = Draws::new(seed);
        let members = vec![MockMember::start(true), MockMember::start(false), MockMember::start(false)];
        let faults = Faults::none();
        let listed: Vec<_> = members.iter().collect();
        let proxy = Proxy::start_with_faults(&listed, &shell_without_probes(SHORT_DEADLINES), &faults);
        let scripts = [(); 2].map(|()| draws.script(&members, &proxy));
        Play { seed, scripts, draws, members, faults, proxy }
    }

    /// Plays the requests and the shutdown, and checks all answers.
    fn run(mut self) {
        let mut sessions: Vec<_> =
            (0..WAITING_CLIENTS).map(|number| Session::connect(&self.proxy, number)).collect();
        let mut exchanges = self.play_traffic(&mut sessions);
        wait_for_counter(&self.proxy, "pending=0\n");
        exchanges.extend(self.shut_down_while_requests_are_pending(sessions));
        let executions: Vec<_> = self.members.iter().flat_map(MockMember::executions).collect();
        exchanges.iter().for_each(|exchange| exchange.check(&executions));
        assert!(exchanges.iter().any(|exchange| exchange.ending == Ending::Served), "nothing is served");
    }

    /// All clients send their requests, under the first script and then the second one.
    fn play_traffic(&mut self, sessions: &mut [Session]) -> Vec<Exchange> {
        let requests: Vec<_> = (0..WAITING_CLIENTS)
            .map(|client| self.draw_requests(client, REQUESTS_EACH, TIMEOUT_MS))
            .collect();
        let to_abandon = self.draw_requests(WAITING_CLIENTS, ABANDONED_REQUESTS, ABANDONED_TIMEOUT_MS);
        let (sender, answered) = channel();
        self.faults.set(&self.scripts[0]);
        std::thread::scope(|scope| {
            for (session, requests) in sessions.iter_mut().zip(requests) {
                let sender = sender.clone();
                let mut send_next = move |request| sender.send(session.exchange(request)).unwrap();
                scope.spawn(move || requests.into_iter().for_each(&mut send_next));
            }
            drop(sender);
            let abandon = |(number, request)| Session::connect(&self.proxy, number).abandon(request);
            let mut exchanges: Vec<_> = (0..).zip(to_abandon).map(abandon).collect();
            exchanges.extend(answered.iter().take(ANSWERS_UNDER_FIRST_SCRIPT));
            self.faults.set(&self.scripts[1]);
            exchanges.extend(answered);
            exchanges
        })
    }

    /// SIGTERM comes once the last request of each client has been read, and members reply after that.
    fn shut_down_while_requests_are_pending(&mut self, mut sessions: Vec<Session>) -> Vec<Exchange> {
        let requests = self.draw_requests(WAITING_CLIENTS + 1, WAITING_CLIENTS, TIMEOUT_MS);
        let hold_replies = [MemberBehavior::HoldReply("value"); MANY_REPLIES];
        self.members.iter().for_each(|member| member.plan(&hold_replies));
        let answered = &AtomicUsize::new(0);
        let exchanges = std::thread::scope(|scope| {
            let exchange = |(session, request): (&mut Session, Request)| {
                let exchange = session.exchange(request);
                answered.fetch_add(1, Ordering::SeqCst);
                exchange
            };
            let pairs = sessions.iter_mut().zip(requests);
            let threads: Vec<_> = pairs.map(|pair| scope.spawn(move || exchange(pair))).collect();
            self.wait_until_read(answered);
            self.proxy.signal("-TERM");
            self.members.iter().for_each(|member| member.release_replies(MANY_REPLIES));
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        sessions.into_iter().for_each(Session::assert_end);
        assert!(self.proxy.child.wait().unwrap().success());
        exchanges
    }

    /// Waits until the request of each client is pending or answered.
    fn wait_until_read(&self, answered: &AtomicUsize) {
        let start = Instant::now();
        // Looked at in this order, no request counts twice.
        while answered.load(Ordering::SeqCst) + self.pending() < WAITING_CLIENTS as usize {
            assert!(start.elapsed() < TEST_TIMEOUT, "a request is never read");
        }
    }

    /// The number of requests that the program has read and not answered.
    fn pending(&self) -> usize {
        let counters = self.proxy.admin_request("GET", "counters").1;
        let pending = counters.lines().find_map(|line| line.strip_prefix("pending="));
        pending.map_or(0, |count| count.parse().unwrap())
    }

    /// So many requests; each group has ids of its own.
    fn draw_requests(&mut self, group: u32, count: u32, timeout_ms: u32) -> Vec<Request> {
        let ids = (0..count).map(|number| (group + 1) * 1000 + number);
        ids.map(|id| Request::draw(&mut self.draws, id, timeout_ms)).collect()
    }
}
