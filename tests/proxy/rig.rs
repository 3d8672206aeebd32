//! Stand-ins on loopback: members, discovery and clients, around the real program as a process.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longer than anything here takes; reached only by a test that fails.
const LONG: Duration = Duration::from_secs(20);

/// What a member does with its next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    /// Answers.
    Serve,
    /// Takes the message of this type and says nothing any more.
    Hang(u8),
    /// Takes the message of this type and resets the connection.
    Reset(u8),
    /// Begins its answer and says nothing any more.
    HalfAnswer,
    /// Answers an error.
    Error(&'static str),
    /// Says this instead of an answer, and nothing any more.
    Say(&'static [u8]),
    /// Answers, and says this right behind it.
    ServeAnd(&'static [u8]),
    /// Answers, then drops the connection as soon as the next message comes.
    ServeThenDrop,
    /// Answers, then closes the idle connection.
    ServeAndClose,
    /// Answers with this value.
    Value(&'static str),
    /// Takes the request, and answers with this value once it is released.
    Hold(&'static str),
}

#[derive(Default)]
pub struct Seen {
    /// Types of messages and texts of statements, in order.
    pub log: Vec<String>,
    /// Statements that were run.
    pub runs: Vec<String>,
    pub plan: VecDeque<Does>,
}

#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    pub primary: bool,
    pub seen: Arc<Mutex<Seen>>,
    /// A word when a connection ends, when a message was taken that is not answered, and when a greeting is held.
    pub ended: Arc<Mutex<Receiver<&'static str>>>,
    /// Greetings are held back.
    held: Arc<(Mutex<bool>, Condvar)>,
    /// Answers that may be given of those that are held.
    released: Arc<(Mutex<usize>, Condvar)>,
    /// Milliseconds by which its data is behind.
    lag: Arc<AtomicU64>,
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn put(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// Reads one message, or `None` at the end.
pub fn message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

fn cstr(body: &[u8]) -> (String, &[u8]) {
    let end = body.iter().position(|b| *b == 0).unwrap_or(body.len());
    (String::from_utf8_lossy(&body[..end]).into(), body.get(end + 1..).unwrap_or_default())
}

impl Server {
    pub fn start(primary: bool) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (words, ended) = channel();
        let server = Server {
            address: listener.local_addr().unwrap(),
            primary,
            seen: Arc::default(),
            ended: Arc::new(Mutex::new(ended)),
            held: Arc::default(),
            released: Arc::default(),
            lag: Arc::default(),
        };
        let at = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (at, words) = (at.clone(), words.clone());
                std::thread::spawn(move || {
                    at.talk(stream, &words);
                    let _ = words.send("end");
                });
            }
        });
        server
    }

    /// Takes connections from now on, and greets nobody until [`Server::greet`].
    pub fn hold(&self) {
        *self.held.0.lock().unwrap() = true;
    }

    /// Greets all that waits, and whoever comes.
    pub fn greet(&self) {
        *self.held.0.lock().unwrap() = false;
        self.held.1.notify_all();
    }

    /// Lets go of so many answers that are held.
    pub fn release(&self, answers: usize) {
        *self.released.0.lock().unwrap() += answers;
        self.released.1.notify_all();
    }

    /// Its data is behind by so many milliseconds from now on.
    pub fn lag(&self, millis: u64) {
        self.lag.store(millis, Ordering::SeqCst);
    }

    fn position(&self) -> u64 {
        now_ms() - self.lag.load(Ordering::SeqCst)
    }

    pub fn plan(&self, does: &[Does]) {
        self.seen.lock().unwrap().plan.extend(does);
    }

    pub fn runs(&self) -> usize {
        self.seen.lock().unwrap().runs.len()
    }

    pub fn log(&self) -> Vec<String> {
        self.seen.lock().unwrap().log.clone()
    }

    /// Waits until a connection says this word.
    pub fn wait(&self, word: &str) {
        let ended = self.ended.lock().unwrap();
        while ended.recv_timeout(LONG).expect("the word comes") != word {}
    }

    fn talk(&self, mut stream: TcpStream, words: &Sender<&'static str>) -> Option<()> {
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        stream.read_exact(&mut body).ok()?;
        let mut held = self.held.0.lock().unwrap();
        if *held {
            let _ = words.send("held");
        }
        while *held {
            held = self.held.1.wait(held).unwrap();
        }
        drop(held);
        let mut out = Vec::new();
        put(&mut out, b'R', &[0; 4]);
        put(&mut out, b'Z', b"I");
        stream.write_all(&out).ok()?;
        let mut prepared = std::collections::HashMap::new();
        let mut bound = std::collections::HashMap::new();
        let (mut out, mut does, mut failed, mut drops) = (Vec::new(), None, false, false);
        loop {
            let (tag, body) = message(&mut stream)?;
            if drops {
                return None;
            }
            if tag == b'Q' && body == b"\0" {
                put(&mut out, b'I', &[]);
                self.ready(&mut out);
                stream.write_all(&std::mem::take(&mut out)).ok()?;
                continue;
            }
            let mut seen = self.seen.lock().unwrap();
            if tag == b'Q' && cstr(&body).0 == "SHOW health" {
                drop(seen);
                let report = format!("x0={:.3},x1={}", self.position() as f64 / 1e3, u8::from(self.primary));
                self.row(&mut out, report.as_bytes());
                self.ready(&mut out);
                stream.write_all(&std::mem::take(&mut out)).ok()?;
                continue;
            }
            let act = *does.get_or_insert_with(|| seen.plan.pop_front().unwrap_or(Does::Serve));
            let first = cstr(&body).0;
            match tag {
                b'Q' => seen.log.push(first.clone()),
                b'P' => seen.log.push(format!("P {first}: {}", cstr(cstr(&body).1).0)),
                b'B' => seen.log.push(format!("B {}", cstr(cstr(&body).1).0)),
                _ => seen.log.push(char::from(tag).into()),
            }
            let mut error = if let Does::Error(code) = act { Some(code) } else { None };
            let what =
                if tag == b'Q' { first.clone() } else { bound.get(&first).cloned().unwrap_or_default() };
            if what.starts_with("INSERT") && !self.primary {
                error = Some("25006");
            }
            if !failed && (tag == b'Q' || tag == b'E') && error.is_none() {
                seen.runs.push(what);
            }
            drop(seen);
            match act {
                Does::Hang(at) if at == tag => {
                    let _ = words.send("hang");
                    while message(&mut stream).is_some() {}
                    return None;
                }
                Does::Say(bytes) if tag == b'Q' || tag == b'E' => {
                    out.extend(bytes);
                    stream.write_all(&out).ok()?;
                    while message(&mut stream).is_some() {}
                    return None;
                }
                Does::Hold(_) if tag == b'Q' || tag == b'E' => {
                    let _ = words.send("hold");
                    let mut released = self.released.0.lock().unwrap();
                    while *released == 0 {
                        released = self.released.1.wait(released).unwrap();
                    }
                    *released -= 1;
                }
                Does::Reset(at) if at == tag => return None,
                Does::HalfAnswer if tag == b'Q' || tag == b'E' => {
                    out.extend(b"D\0\0\0\x20half");
                    stream.write_all(&out).ok()?;
                    let _ = words.send("hang");
                    while message(&mut stream).is_some() {}
                    return None;
                }
                _ => {}
            }
            let value = if let Does::Value(value) | Does::Hold(value) = act { value } else { "value" };
            match (tag, error) {
                (b'Q' | b'E', Some(code)) if !failed => {
                    put(&mut out, b'E', format!("SERROR\0C{code}\0Mplanned\0\0").as_bytes());
                    failed = true;
                }
                _ if failed => {}
                (b'Q', _) => self.row(&mut out, value.as_bytes()),
                (b'P', _) => {
                    prepared.insert(first, cstr(cstr(&body).1).0);
                    put(&mut out, b'1', &[]);
                }
                (b'B', _) => {
                    let name = cstr(cstr(&body).1).0;
                    let Some(sql) = prepared.get(&name) else { panic!("{name} is not prepared here") };
                    bound.insert(first, sql.clone());
                    put(&mut out, b'2', &[]);
                }
                (b'D', _) => {
                    if body[0] == b'S' {
                        put(&mut out, b't', &[0, 0]);
                    }
                    put(&mut out, b'n', &[]);
                }
                (b'E', _) => {
                    let length = (value.len() as u32).to_be_bytes();
                    put(&mut out, b'D', &[&[0, 1][..], &length, value.as_bytes()].concat());
                    put(&mut out, b'C', b"DONE\0");
                }
                (b'C', _) => put(&mut out, b'3', &[]),
                _ => {}
            }
            if tag == b'Q' || tag == b'S' {
                self.ready(&mut out);
                (does, failed) = (None, false);
                bound.clear();
            }
            if let Does::ServeAnd(bytes) = act
                && matches!(tag, b'Q' | b'S')
            {
                out.extend(bytes);
            }
            if matches!(tag, b'Q' | b'S' | b'H') {
                stream.write_all(&std::mem::take(&mut out)).ok()?;
            }
            drops = act == Does::ServeThenDrop && matches!(tag, b'Q' | b'S');
            if act == Does::ServeAndClose && matches!(tag, b'Q' | b'S') {
                return None;
            }
        }
    }

    fn row(&self, out: &mut Vec<u8>, value: &[u8]) {
        put(out, b'T', b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
        let length = (value.len() as u32).to_be_bytes();
        put(out, b'D', &[&[0, 1][..], &length, value].concat());
        put(out, b'C', b"DONE\0");
    }

    fn ready(&self, out: &mut Vec<u8>) {
        let role = if self.primary { "off" } else { "on" };
        put(out, b'S', format!("recovery\0{role}\0").as_bytes());
        put(out, b'S', format!("lsn_ms\0{}\0", self.position()).as_bytes());
        put(out, b'Z', b"I");
    }
}

/// Discovery: every watch gets the whole list, then what is pushed.
pub struct Discovery {
    pub address: SocketAddr,
    news: Arc<Mutex<Vec<TcpStream>>>,
    watched: Receiver<()>,
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

impl Discovery {
    pub fn start(list: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let news: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (tell, watched) = channel();
        // An empty line now and then, as the protocol has it; a discovery that is down says nothing.
        let beats = (!list.is_empty()).then(|| Arc::downgrade(&news));
        std::thread::spawn(move || {
            while let Some(streams) = beats.as_ref().and_then(std::sync::Weak::upgrade) {
                streams.lock().unwrap().iter_mut().for_each(|s| drop(s.write_all(b"1\r\n\n\r\n")));
                drop(streams);
                std::thread::sleep(Duration::from_secs(1));
            }
        });
        let streams = news.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let (mut asked, mut line) = (String::new(), String::new());
                let _ = reader.read_line(&mut asked);
                while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                    line.clear();
                }
                if !asked.contains("stream=1") {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                    let _ = stream.write_all(format!("{head}{list}").as_bytes());
                    continue;
                }
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let list = if list.is_empty() { String::new() } else { chunk(&list) };
                let _ = stream.write_all(format!("{head}{list}").as_bytes());
                streams.lock().unwrap().push(stream);
                let _ = tell.send(());
            }
        });
        Discovery { address, news, watched }
    }

    /// Tells all watches.
    pub fn push(&self, text: &str) {
        for stream in self.news.lock().unwrap().iter_mut() {
            let _ = stream.write_all(chunk(text).as_bytes());
        }
    }

    /// Ends all watches.
    pub fn cut(&self) {
        self.news.lock().unwrap().clear();
    }

    /// Waits until a watch has been ended by the other side.
    pub fn ended(&self) {
        let stream = self.news.lock().unwrap()[0].try_clone().unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        assert_eq!((&stream).read(&mut [0]).unwrap(), 0);
    }

    /// Waits for a new watch.
    pub fn watched(&self) {
        self.watched.recv_timeout(LONG).expect("a watch comes");
    }
}

pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    pub extended: Option<SocketAddr>,
    pub ops: Option<SocketAddr>,
    pub discovery: Discovery,
    folder: std::path::PathBuf,
}

pub fn target(uid: usize, server: &Server, state: &str) -> String {
    let (at, role) = (server.address, if server.primary { "off" } else { "on" });
    format!(
        r#"{{"uid":"s-{uid}","endpoint":"{at}","az":"a","model":"m","pod_group":2,"state":"{state}","capacity_hint":1.0,"boot_ms":0,"recovery":"{role}"}}"#
    )
}

pub fn configuration(discovery: &Discovery) -> String {
    configuration_at(discovery.address)
}

pub fn whole(rev: u64, targets: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, targets.join(","))
}

/// The same with discovery at this address.
pub fn configuration_at(discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f","limits":{{"sockets":1024}},"settings":{SETTINGS}}}"#
    )
}

const SETTINGS: &str = r#"{"request_classes":[
 {"name":"own","aim_us":400000,"deadline_us":1200000,"effect":"safe","credit":3},
 {"name":"any","aim_us":400000,"deadline_us":1000000,"effect":"safe","credit":3,"late_share":0.2},
 {"name":"write","aim_us":600000,"deadline_us":5000000,"effect":"unsafe","credit":6,"late_share":0.7}],
 "family_info":{"when_behind":"hold","freshness":["own_writes","loose","update"],"counted_from_us":0,
 "catch_up_wait_us":50000},"limits":{"max_attempts":8,"probes":true,"cancel":true},"resolution_us":5000,
 "stats":{"fields":["x0","x1"],"how":"pull"},
 "contract":{"cold_from":0.2,"cold_us":1000000,"fall_multiple":2.0,"fall_us":1000000}}"#;

impl Proxy {
    /// Starts the program in front of these members, and waits until it is ready and has heard its primary.
    pub fn start(servers: &[&Server]) -> Proxy {
        let proxy = Proxy::start_by(servers, "exec \"$0\" serve --postgres \"$1\"", "");
        assert_eq!(proxy.client().query(&write(0, 900)), "T D(value) C Z");
        servers.iter().for_each(|s| *s.seen.lock().unwrap() = Seen::default());
        proxy
    }

    /// The same by this shell command: `$0` is the program, `$1` the file of the extended listener, `$2` a file
    /// with this text.
    pub fn start_by(servers: &[&Server], shell: &str, file: &str) -> Proxy {
        Proxy::start_in(servers, shell, file, "\"sockets\":1024")
    }

    /// The same within these limits.
    pub fn start_in(servers: &[&Server], shell: &str, file: &str, limits: &str) -> Proxy {
        Proxy::start_on(Stdio::null(), servers, shell, file, limits)
    }

    /// The same with this as descriptor 0.
    pub fn start_on(stdin: Stdio, servers: &[&Server], shell: &str, file: &str, limits: &str) -> Proxy {
        let targets: Vec<_> = servers.iter().enumerate().map(|(n, s)| target(n, s, "SERVING")).collect();
        let list = whole(1, &targets);
        // Without members, discovery is down: it takes a watch and says nothing.
        let list = if servers.is_empty() { String::new() } else { list };
        let discovery = Discovery::start(list);
        static COUNT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("liftrelay-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (config, postgres) = (folder.join("config.json"), folder.join("postgres.toml"));
        let text = configuration(&discovery).replace("\"sockets\":1024", limits);
        std::fs::write(&config, text).unwrap();
        let text = "listen = '127.0.0.1:0'\nread_class = 'own'\nwrite_class = 'write'\ngroup = 2\n\
            wait_ms = 3000\nsession_parameter = 1\nstatements = 3\n";
        std::fs::write(&postgres, text).unwrap();
        std::fs::write(folder.join("more.toml"), file).unwrap();
        let mut child = Command::new("/bin/sh")
            .args(["-c", shell, env!("CARGO_BIN_EXE_liftrelay")])
            .arg(&postgres)
            .arg(folder.join("more.toml"))
            .env("GW_CONFIG", &config)
            .env_remove("GW_LISTEN")
            .env_remove("GW_DISCOVERY")
            .stdin(stdin)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let wants_extended = shell.contains("--postgres");
        let (mut address, mut extended, mut ops) = (None, None, None);
        while address.is_none() || (wants_extended && extended.is_none()) {
            let line = lines.next().expect("the program says where it listens");
            if let Some((_, at)) = line.split_once(" ops=") {
                ops = Some(at.split('"').nth(1).unwrap().parse().unwrap());
            }
            let Some((_, at)) = line.split_once("listen=") else { continue };
            let at = at.split('"').nth(1).unwrap().parse().unwrap();
            *if line.contains("extended") { &mut extended } else { &mut address } = Some(at);
        }
        std::thread::spawn(move || lines.for_each(drop));
        let proxy = Proxy { child, address: address.unwrap(), extended, ops, discovery, folder };
        proxy.discovery.watched();
        let mut client = proxy.client();
        assert_eq!(client.query(""), "I Z", "ready once an empty query is answered");
        proxy
    }

    pub fn client(&self) -> Client {
        Client::open(self.address)
    }

    pub fn extended(&self) -> Client {
        Client::open(self.extended.unwrap())
    }

    /// What an operator who says this hears.
    pub fn call(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.ops.unwrap()).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }

    /// The status and the text of an operator's call.
    pub fn control(&self, method: &str, path: &str) -> (u16, String) {
        let said = self.call(format!("{method} /control/{path} HTTP/1.1\r\nHost: proxy\r\n\r\n").as_bytes());
        let (head, text) = said.split_once("\r\n\r\n").unwrap();
        (head.split(' ').nth(1).unwrap().parse().unwrap(), text.to_string())
    }

    /// The file that the shell command knew as `$2`.
    pub fn file(&self) -> std::path::PathBuf {
        self.folder.join("more.toml")
    }

    /// Replaces the configuration, and says so.
    pub fn reload(&self, text: &str) {
        let new = self.folder.join("new.json");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.folder.join("config.json")).unwrap();
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub struct Client {
    pub stream: TcpStream,
    /// The body of BackendKeyData.
    pub key: Vec<u8>,
}

pub fn startup() -> Vec<u8> {
    let text = b"user\0web\0database\0orders\0\0";
    [&(text.len() as u32 + 8).to_be_bytes()[..], &[0, 3, 0, 0], text].concat()
}

impl Client {
    pub fn open(address: SocketAddr) -> Client {
        let mut client = Client::raw(address);
        client.stream.write_all(&startup()).unwrap();
        client.greeting();
        client
    }

    pub fn raw(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client { stream, key: Vec::new() }
    }

    pub fn greeting(&mut self) {
        loop {
            let (tag, body) = message(&mut self.stream).expect("a greeting");
            match tag {
                b'K' => self.key = body,
                b'Z' => return,
                _ => {}
            }
        }
    }

    /// Reads up to ReadyForQuery or the end, and tells it in a line.
    pub fn answer(&mut self) -> String {
        self.answers(|tag| tag == b'Z')
    }

    /// The same, up to the message that `last` knows.
    pub fn answers(&mut self, last: impl Fn(u8) -> bool) -> String {
        let mut told = Vec::new();
        loop {
            let Some((tag, body)) = message(&mut self.stream) else {
                told.push("end".to_string());
                break;
            };
            let text = match tag {
                b'D' => format!("D({})", String::from_utf8_lossy(&body[6..])),
                b'E' => {
                    let fields = body.split(|b| *b == 0);
                    let code = fields.filter_map(|f| f.strip_prefix(b"C")).next().unwrap();
                    format!("E({})", String::from_utf8_lossy(code))
                }
                _ => char::from(tag).to_string(),
            };
            told.push(text);
            if last(tag) {
                break;
            }
        }
        told.join(" ")
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn query(&mut self, text: &str) -> String {
        self.send(&simple(text));
        self.answer()
    }
}

pub fn simple(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', format!("{text}\0").as_bytes());
    out
}

pub fn read(id: u32) -> String {
    format!(
        "SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655' /* id={id:x},c=any,d=900,cluster=2 */"
    )
}

pub fn write(id: u32, wait: u32) -> String {
    format!("INSERT INTO entries VALUES ('7f', '\\x9f') /* id={id:x},c=write,d={wait},cluster=2 */")
}

/// Extended messages, in short: `P name sql`, `B portal name parameter`, `E portal`, `DS name`, `DP portal`,
/// `CS name`, `CP portal`, `H`, `S`, parted by `|`.
pub fn messages(script: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for part in script.split('|').map(str::trim) {
        let mut words = part.splitn(3, ' ');
        let (kind, name, rest) =
            (words.next().unwrap(), words.next().unwrap_or(""), words.next().unwrap_or(""));
        let name = if name == "-" { "" } else { name };
        match kind {
            "P" => put(&mut out, b'P', format!("{name}\0{rest}\0\0\0").as_bytes()),
            "B" => {
                let (statement, value) = rest.split_once(' ').unwrap_or((rest, "7f"));
                let statement = if statement == "-" { "" } else { statement };
                let mut body = format!("{name}\0{statement}\0\0\0\0\x01").into_bytes();
                body.extend((value.len() as u32).to_be_bytes());
                body.extend(value.as_bytes());
                body.extend([0, 0]);
                put(&mut out, b'B', &body);
            }
            "E" => put(&mut out, b'E', format!("{name}\0\0\0\0\0").as_bytes()),
            "DS" | "DP" | "CS" | "CP" => {
                put(&mut out, kind.as_bytes()[0], format!("{}{name}\0", &kind[1..]).as_bytes());
            }
            _ => put(&mut out, kind.as_bytes()[0], &[]),
        }
    }
    out
}
