//! Tests that the memory of the program stays under its limit while as many clients as its descriptors admit
//! send a flood that the protocol allows, and that other clients are served meanwhile.

use crate::support::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The limits of the smallest proxies in service.
const LIMITS: &str = "\"sockets\":256,\"memory_mb\":32";
const MEMORY_LIMIT_KIB: u64 = 32 * 1024;
/// The clients that the descriptors admit, less the ordinary ones.
const FLOODING_CLIENTS: usize = 104;
const ORDINARY_CLIENTS: usize = 4;
const FLOOD_DURATION: Duration = Duration::from_secs(2);
/// The length of the largest values that clients send.
const VALUE_BYTES: usize = 62_000;
/// The time within which an ordinary client's request has to be served, with retries after rejections.
const SERVE_TIMEOUT: Duration = Duration::from_secs(10);
const READ: &str = "P s SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */";

/// What the clients of a flood do.
#[derive(Clone, Copy)]
struct Flood {
    /// Whether the clients connect to the extended listener.
    extended: bool,
    /// Returns what a client sends next, given its number and how often it has sent before.
    next: fn(usize, usize) -> Vec<u8>,
    /// What the members do with requests.
    behavior: MemberBehavior,
    /// The SQLSTATEs of the errors that the clients get; empty if they get none.
    errors: &'static [&'static str],
}

/// A flood on the extended listener.
const FLOOD: Flood =
    Flood { extended: true, next: |_, _| Vec::new(), behavior: MemberBehavior::Serve, errors: &[] };

/// A client that sends at full speed.
struct FloodingClient {
    number: usize,
    stream: TcpStream,
    unsent: Vec<u8>,
    sent_count: usize,
    is_open: bool,
    got_error: bool,
}

impl FloodingClient {
    fn connect(address: SocketAddr, number: usize) -> FloodingClient {
        let stream = Client::connect(address).stream;
        stream.set_nonblocking(true).unwrap();
        FloodingClient { number, stream, unsent: Vec::new(), sent_count: 0, is_open: true, got_error: false }
    }

    /// Sends and reads as much as the socket takes and has.
    fn advance(&mut self, flood: Flood, read_buffer: &mut [u8]) {
        if self.unsent.is_empty() {
            self.unsent = (flood.next)(self.number, self.sent_count);
            self.sent_count += 1;
        }
        match self.stream.write(&self.unsent) {
            Ok(length) => drop(self.unsent.drain(..length)),
            Err(error) => self.is_open &= error.kind() == ErrorKind::WouldBlock,
        }
        match self.stream.read(read_buffer) {
            Ok(length) => {
                let read = &read_buffer[..length];
                self.got_error |= flood.errors.iter().any(|code| contains_sqlstate(read, code));
                self.is_open &= length > 0;
            }
            Err(error) => self.is_open &= error.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// Returns whether a part of a reply contains an error of this SQLSTATE.
fn contains_sqlstate(reply: &[u8], code: &str) -> bool {
    let field = format!("\0C{code}\0");
    reply.windows(field.len()).any(|window| window == field.as_bytes())
}

/// Returns the highest memory that the program has used, in KiB.
fn highest_memory_kib(proxy: &Proxy) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Sends reads one at a time, and repeats those that were not served.
fn run_ordinary_client(address: SocketAddr, extended: bool, number: usize, over: &AtomicBool) {
    let mut client = Client::connect(address);
    let mut id = number as u32 * 100_000;
    let mut waiting_since = Instant::now();
    while !over.load(Ordering::SeqCst) {
        id += 1;
        let reply = if extended {
            client.send(&extended_messages(&format!("{} | B - - | E - | S", READ.replace("P s", "P -"))));
            client.read_reply()
        } else {
            client.query(&read_query(id))
        };
        match reply.as_str() {
            SERVED | "1 2 D(value) C Z" => waiting_since = Instant::now(),
            // The member that the flood makes hang may have executed the read.
            unserved => {
                assert!(["E(53300) Z", "E(08007) Z"].contains(&unserved), "client {number}: {unserved}")
            }
        }
        assert!(waiting_since.elapsed() < SERVE_TIMEOUT, "ordinary client {number} is not served");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the shell command of the deploy file, with the extended listener.
fn shell_of_deployment() -> String {
    let deploy = include_str!("../../deploy/balancer.toml");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"')).unwrap();
    format!("{} --postgres \"$1\"", run.replace("target/release/liftrelay", "\"$0\""))
}

/// Plays a flood, and asserts that the memory stays under its limit, that the clients of the flood get their
/// error, and that ordinary clients of both listeners are served.
fn assert_flood_is_bounded(flood: Flood) {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let shell = &shell_of_deployment();
    let proxy = Proxy::start_with_limits(&[&primary, &replica], shell, "", LIMITS);
    assert_eq!(proxy.connect().query(&write_query(0, 900)), SERVED);
    primary.plan(&[flood.behavior; 10_000]);
    let addresses = [proxy.address, proxy.extended_address.unwrap()];
    let over = AtomicBool::new(false);
    let clients = std::thread::scope(|scope| {
        for number in 0..ORDINARY_CLIENTS {
            let listener = number % addresses.len();
            let over = &over;
            scope.spawn(move || run_ordinary_client(addresses[listener], listener == 1, number, over));
        }
        let clients = run_flood(addresses[usize::from(flood.extended)], flood);
        over.store(true, Ordering::SeqCst);
        clients
    });
    let highest = highest_memory_kib(&proxy);
    assert!(highest < MEMORY_LIMIT_KIB, "{highest} KiB used, {MEMORY_LIMIT_KIB} KiB allowed");
    let got_error = clients.iter().any(|client| client.got_error);
    assert!(got_error || flood.errors.is_empty(), "no client got one of the errors {:?}", flood.errors);
}

fn run_flood(address: SocketAddr, flood: Flood) -> Vec<FloodingClient> {
    let mut clients: Vec<_> =
        (0..FLOODING_CLIENTS).map(|number| FloodingClient::connect(address, number)).collect();
    let mut read_buffer = vec![0; 64 * 1024];
    let start = Instant::now();
    while start.elapsed() < FLOOD_DURATION {
        for client in clients.iter_mut().filter(|client| client.is_open) {
            client.advance(flood, &mut read_buffer);
        }
        std::thread::sleep(Duration::from_micros(200));
    }
    clients
}

/// Returns a batch that binds portals which no earlier batch has bound, and ends with a Flush.
fn bind_portals(batch: usize, count: usize, value: &str) -> Vec<u8> {
    if batch == 0 {
        return extended_messages(&format!("{READ} | S"));
    }
    let binds: Vec<_> = (0..count).map(|n| format!("B p{batch}-{n} s {value}")).collect();
    extended_messages(&format!("{} | H", binds.join("|")))
}

/// Guards against portals whose bytes are few but which are many: each takes memory besides its bytes.
#[test]
fn small_portals_without_a_sync_do_not_exhaust_the_memory() {
    let next = |_, batch| bind_portals(batch, 1000, "7f");
    assert_flood_is_bounded(Flood { next, errors: &["53200"], ..FLOOD });
}
/// Guards against portals that are kept without bound until a Sync, which the client never sends.
#[test]
fn portals_without_a_sync_do_not_exhaust_the_memory() {
    let next = |_, batch| bind_portals(batch, 4, &"7".repeat(VALUE_BYTES));
    assert_flood_is_bounded(Flood { next, errors: &["53200"], ..FLOOD });
}

/// Returns a batch of writes whose values are as large as a batch admits.
fn large_batch() -> Vec<u8> {
    let write = format!("B - - {} | E -", "7".repeat(VALUE_BYTES));
    let statement = "P - INSERT INTO entries VALUES ($1, 'x') /* d=4000 */";
    extended_messages(&format!("{statement} | {} | S", [write.as_str(); 4].join("|")))
}

/// Guards against commands that are read from all clients at once: each client's first command was admitted
/// whatever the others had in progress.
#[test]
fn large_batches_in_progress_do_not_exhaust_the_memory() {
    assert_flood_is_bounded(Flood {
        next: |_, _| large_batch(),
        behavior: MemberBehavior::HangOn(b'E'),
        errors: &["53300"],
        ..FLOOD
    });
}

/// Guards against the same on the platform's listener.
#[test]
fn large_queries_in_progress_do_not_exhaust_the_memory() {
    static LAST_ID: AtomicU32 = AtomicU32::new(1_000_000);
    let next = |_, _| {
        let value = "7".repeat(2 * VALUE_BYTES);
        let id = LAST_ID.fetch_add(1, Ordering::SeqCst);
        let fields = format!("id={id:x},c=write,d=4000,cluster=2");
        simple_query(&format!("INSERT INTO entries VALUES ('7f', '\\x{value}') /* {fields} */"))
    };
    let flood = Flood { extended: false, next, behavior: MemberBehavior::HangOn(b'Q'), errors: &["53300"] };
    assert_flood_is_bounded(flood);
}

/// Returns a batch without an end, which is sent once.
fn incomplete_batch(sent_count: usize) -> Vec<u8> {
    match sent_count {
        0 => extended_messages(&[format!("B - s {}", "7".repeat(VALUE_BYTES)).as_str(); 4].join("|")),
        _ => Vec::new(),
    }
}

/// Guards against incomplete commands, of which those of other clients were closed instead of the longest.
#[test]
fn incomplete_batches_do_not_exhaust_the_memory() {
    let next = |_, sent_count| incomplete_batch(sent_count);
    assert_flood_is_bounded(Flood { next, errors: &["08P01"], ..FLOOD });
}

/// Guards against a client that is closed for what others buffer: it sends a value as large as allowed, in two
/// parts, while others fill the memory for incomplete commands with longer ones.
#[test]
fn client_is_served_while_longer_incomplete_commands_of_others_fill_the_memory() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let shell = &shell_of_deployment();
    let proxy = Proxy::start_with_limits(&[&primary, &replica], shell, "", LIMITS);
    let mut client = proxy.connect();
    assert_eq!(client.query(&write_query(0, 900)), SERVED);
    let incomplete = extended_messages(&[format!("B - s {}", "7".repeat(60_000)).as_str(); 4].join("|"));
    let mut others: Vec<_> = (0..17).map(|_| proxy.connect_extended()).collect();
    others.iter_mut().for_each(|other| other.send(&incomplete));
    std::thread::sleep(Duration::from_millis(300));
    // The longest incomplete command follows a write that has no answer yet, which must not be lost.
    primary.plan(&[MemberBehavior::HoldReply("held")]);
    let mut pipelining = proxy.connect_extended();
    pipelining.send(&extended_messages("P - INSERT INTO entries VALUES ($1) /* d=9000 */ | B - - | E - | S"));
    primary.wait_for(MemberEvent::ReplyHeld);
    pipelining.send(&extended_messages(&[format!("B - s {}", "7".repeat(64_000)).as_str(); 4].join("|")));
    std::thread::sleep(Duration::from_millis(100));
    let value = "7".repeat(2 * VALUE_BYTES);
    let fields = "id=1,c=write,d=4000,cluster=2";
    let query = simple_query(&format!("INSERT INTO entries VALUES ('7f', '\\x{value}') /* {fields} */"));
    let (first, second) = query.split_at(120_000);
    client.send(first);
    std::thread::sleep(Duration::from_millis(300));
    client.send(second);
    assert_eq!(client.read_reply(), SERVED);
    primary.release_replies(1);
    assert_eq!(pipelining.read_reply(), "1 2 D(held) C Z");
    let closed = others.iter_mut().map(Client::read_reply).filter(|reply| reply == "E(08P01) end");
    assert!(closed.count() > 0, "the clients with the longest commands get an error");
}

/// Returns a batch with a statement that no other batch has.
fn distinct_statement() -> Vec<u8> {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let text = format!("{}{}", LAST.fetch_add(1, Ordering::SeqCst), "x".repeat(8_000));
    extended_messages(&format!("P - SELECT '{text}' /* c=any,d=900 */ | B - - | E - | S"))
}

/// Guards against statements that are kept for all clients: by member connections and for the catalogue.
#[test]
fn distinct_statements_do_not_exhaust_the_memory() {
    assert_flood_is_bounded(Flood { next: |_, _| distinct_statement(), ..FLOOD });
}

/// Guards against limits that hold each by itself, and together exceed the memory.
#[test]
fn floods_of_several_kinds_do_not_exhaust_the_memory_together() {
    let next = |number: usize, sent_count| match number % 4 {
        0 => bind_portals(sent_count, 4, &"7".repeat(VALUE_BYTES)),
        1 => incomplete_batch(sent_count),
        2 => distinct_statement(),
        _ => large_batch(),
    };
    let behavior = MemberBehavior::HangOn(b'E');
    assert_flood_is_bounded(Flood { next, behavior, errors: &["53200", "53300", "08P01"], ..FLOOD });
}

/// Guards against replies of members that are long and do not end: each connection kept its own, whatever the
/// others kept. Giving one up is no evidence against the member, which serves other requests.
#[test]
fn incomplete_replies_beyond_the_memory_are_given_up() {
    let member = MockMember::start(true);
    member.set_value(&"v".repeat(VALUE_BYTES));
    let shell = "export GW_OPS=127.0.0.1:0; exec \"$0\" serve --postgres \"$1\"";
    let limits = "\"sockets\":256,\"memory_mb\":16";
    let proxy = Proxy::start_with_limits(&[&member], shell, "", limits);
    assert!(proxy.connect().query(&write_query(0, 900)).ends_with(" C Z"));
    member.plan(&[MemberBehavior::HangAfterReplyOf(2 * VALUE_BYTES); 100]);
    let reads = ["B - - | E -"; 10].join("|");
    let batch = |number| {
        let statement = READ.replace("P s", "P -").replace("payload", &format!("payload{number}"));
        extended_messages(&format!("{statement} | {reads} | S"))
    };
    let mut clients: Vec<_> = (0..8).map(|_| proxy.connect_extended()).collect();
    clients.iter_mut().enumerate().for_each(|(number, client)| client.send(&batch(number)));
    wait_for_counter(&proxy, "attempts_failed.cancelled=");
    assert!(proxy.connect().query(&read_query(1)).ends_with(" C Z"), "shorter replies are served meanwhile");
    let replies: Vec<_> = clients.iter_mut().map(Client::read_reply).collect();
    let was_executed =
        |number| member.executed().iter().any(|text| text.contains(&format!("payload{number} ")));
    let expected: Vec<_> =
        (0..8).map(|number| if was_executed(number) { "E(08007) Z" } else { "E(53300) Z" }).collect();
    assert_eq!(replies, expected, "refused if and only if nothing has run");
}
