//! Requests under random faults of the proxy's system calls, and the rules that hold for every request,
//! whatever call fails.

mod requests;
mod script;

use crate::support::*;
use requests::{Ending, Exchange, Request, Session};
use script::SeededRandom;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::Instant;

/// The seeds that the test runs, and how many of them run at the same time.
const SEEDS: std::ops::Range<u64> = 0..32;
const CONCURRENT_SEEDS: usize = 4;
/// The environment variable with the only seed to run, to investigate a failure.
const SEED_VARIABLE: &str = "RANDOM_FAULTS_SEED";
/// The number of clients that wait for each answer, and the number of requests that each of them sends before
/// the request that is pending at the shutdown.
const WAITING_CLIENTS: u32 = 4;
const REQUESTS_PER_CLIENT: u32 = 12;
/// The number of requests whose clients disconnect without waiting for an answer.
const ABANDONED_REQUESTS: u32 = 6;
/// The deadline of a request whose client waits.
const TIMEOUT_MS: u32 = 500;
/// The deadline of a request whose client disconnects. It is later than the end of all faults.
const ABANDONED_TIMEOUT_MS: u32 = 3000;
/// The number of answers after which the second script replaces the first one.
const ANSWERS_UNDER_FIRST_SCRIPT: usize = 24;
/// A sed command on the configuration that shortens the deadlines of all classes, and with them the shutdown.
const SHORT_DEADLINES: &str = "s/\"deadline_us\":[0-9]*/\"deadline_us\":800000/g";
/// More replies than members hold back.
const MANY_REPLIES: usize = 100;

/// Covers combinations of faults that no other test contains. Under each of them, a client could get a wrong
/// answer, no answer or two, or a write could be executed twice.
#[test]
fn every_request_gets_exactly_one_correct_answer_whatever_system_calls_fail() {
    let seeds = match std::env::var(SEED_VARIABLE) {
        Ok(seed) => seed.parse().map(|seed| seed..seed + 1).unwrap(),
        Err(_) => SEEDS,
    };
    let seeds = Mutex::new(seeds);
    let next_seed = || seeds.lock().unwrap().next();
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_SEEDS {
            scope.spawn(|| std::iter::from_fn(next_seed).for_each(|seed| Scenario::start(seed).run()));
        }
    });
}

/// A proxy between mock members and mock discovery, with the faults and requests of one seed. Prints the
/// scripts if the test fails.
struct Scenario {
    seed: u64,
    scripts: [String; 2],
    random: SeededRandom,
    members: Vec<MockMember>,
    faults: Faults,
    proxy: Proxy,
}

impl Drop for Scenario {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let scripts = self.scripts.join("replaced by\n");
            eprintln!("{SEED_VARIABLE}={} fails with this script:\n{scripts}", self.seed);
        }
    }
}

impl Scenario {
    fn start(seed: u64) -> Scenario {
        let mut random = SeededRandom::new(seed);
        let members = vec![MockMember::start(true), MockMember::start(false), MockMember::start(false)];
        let faults = Faults::none();
        let listed: Vec<_> = members.iter().collect();
        let proxy = Proxy::start_with_faults(&listed, &shell_without_probes(SHORT_DEADLINES), &faults);
        let scripts = [(); 2].map(|()| random.script(&members, &proxy));
        Scenario { seed, scripts, random, members, faults, proxy }
    }

    /// Sends the requests, shuts the proxy down, and checks all answers.
    fn run(mut self) {
        let mut sessions: Vec<_> =
            (0..WAITING_CLIENTS).map(|number| Session::connect(&self.proxy, number)).collect();
        let mut exchanges = self.run_traffic(&mut sessions);
        wait_for_counter(&self.proxy, "pending=0\n");
        exchanges.extend(self.shut_down_while_requests_are_pending(sessions));
        let executions: Vec<_> = self.members.iter().flat_map(MockMember::executions).collect();
        exchanges.iter().for_each(|exchange| exchange.check(&executions));
        assert!(exchanges.iter().any(|exchange| exchange.ending == Ending::Served), "no request was served");
    }

    /// Sends the requests of all clients, under the first script and then under the second one.
    fn run_traffic(&mut self, sessions: &mut [Session]) -> Vec<Exchange> {
        let requests: Vec<_> = (0..WAITING_CLIENTS)
            .map(|client| self.random_requests(client, REQUESTS_PER_CLIENT, TIMEOUT_MS))
            .collect();
        let to_abandon = self.random_requests(WAITING_CLIENTS, ABANDONED_REQUESTS, ABANDONED_TIMEOUT_MS);
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

    /// Sends SIGTERM after the proxy has read the last request of each client. Members reply after the
    /// signal.
    fn shut_down_while_requests_are_pending(&mut self, mut sessions: Vec<Session>) -> Vec<Exchange> {
        let requests = self.random_requests(WAITING_CLIENTS + 1, WAITING_CLIENTS, TIMEOUT_MS);
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
        // The number of answers is read first: a request that is answered between the two reads counts as
        // neither answered nor pending, and never as both.
        while answered.load(Ordering::SeqCst) + self.pending() < WAITING_CLIENTS as usize {
            assert!(start.elapsed() < TEST_TIMEOUT, "a request is never read");
        }
    }

    /// The number of requests that the proxy has read and not answered.
    fn pending(&self) -> usize {
        let counters = self.proxy.admin_request("GET", "counters").1;
        let pending = counters.lines().find_map(|line| line.strip_prefix("pending="));
        pending.map_or(0, |count| count.parse().unwrap())
    }

    /// Creates random requests. Groups have distinct ids.
    fn random_requests(&mut self, group: u32, count: u32, timeout_ms: u32) -> Vec<Request> {
        let ids = (0..count).map(|number| (group + 1) * 1000 + number);
        ids.map(|id| Request::generate(&mut self.random, id, timeout_ms)).collect()
    }
}
