//! Plays text scenarios against the built agent, with peers on loopback. A line is a command, `#` a remark.
//! `settings NAME VALUE`, `sockets N`: before the start. A peer is on the known list unless its name begins
//! with `new`; `@A` in a later script is its address, `@self` the agent's. `peer A STEP; STEP...| STEP...`: what a backend (or
//! `discovery`) does on its first connection, its second...; the last stands for all further ones. Steps:
//! `read` a whole request, `part` its first bytes; `say TEXT` raw; `ok TEXT`, `fill SIZE`, `status LINE`,
//! `list JSON`: an answer; `line JSON`: a chunk of a watch, `piece TEXT` any chunk, `flood SIZE` a large
//! one; `wait MS`, `close`, `reset`, `stall`. `refuse A`: nothing listens there; `silent A`: no connection
//! there comes up. `start`, `fails TEXT`: it must not start. `ask N LINE [body SIZE]`: on connection N; `raw
//! N TEXT`; `hear N STATUS TEXT`: the next answer there; `gone N`: closed by the agent; `leave N`. `count
//! NAME VALUE`: a counter comes to it, `least NAME VALUE`: to that or more; `most NAME VALUE`: to that or less; `got A TEXT`: A has read this, whatever came around it; `reads A N`:
//! whole requests it read; `opens A N`: connections; `log TEXT`; `config NAME VALUE`: changes the file; `term`,
//! `hup`, `stop`, `cont`: the signal; `ends`: with exit code 0. `deaf`: nobody reads its log any more; `calls N
//! PATH`: N connections in turn, each asks this and goes. `door`, before the start: there is a door for operators; `order LINE = ANSWER`: what
//! is asked there and how the answer begins; `mute N`: N callers there who say nothing; `crowd N`: N clients that ask once and stay; `prompt MS`: 40 answers there, none
//! later. `stillborn`: a second process that fails at its start; `hung`: one that stands still before its yes, till `forsaken`; `killed`: SIGKILL. `inherit`, before the start: the listening socket is the
//! test's, as descriptor 3; `inherit TEXT`: what stands in the variable. `beside`: a second process of the agent, waited for till it says yes;
//! from then on `term` is for the first, and `elder ends` waits for its end. `hearall N STATUS SIZE`: an answer of any framing to its end; `cut N`:
//! one that is not whole. `slow N METHOD PATH SIZE PIECE`: a body in pieces, over three seconds; `begin N METHOD PATH SIZE PART`: only a part of it, `more N SIZE`: so much more; `early N METHOD
//! PATH SIZE`: all of it, whatever is answered meanwhile.
//! `refused N`: clients come in turn till nothing listens; N at the most were let in and not answered.
//! `sliced N TEXT`, and a peer's `slices TEXT`: written a byte at a time. A peer's `gulp SIZE` reads so many bytes, its `floods SIZE` is bytes without framing.
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

const PATIENCE: Duration = Duration::from_secs(10);

/// What a peer has seen: connections, whole requests, all bytes.
#[derive(Default)]
struct Seen {
    opened: usize,
    read: usize,
    bytes: String,
}

/// A free port at an address that nothing else here uses, so that no one takes it meanwhile.
fn unused() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (run, n) = (std::process::id() % 200 + 20, NEXT.fetch_add(1, Ordering::Relaxed));
    let free = TcpListener::bind(format!("127.{run}.{n}.1:0")).expect("a free port");
    free.local_addr().expect("its address")
}

struct Peer {
    at: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

fn raw(text: &str) -> String {
    text.replace("\\r", "\r").replace("\\n", "\n")
}

/// Reads a message from a connection: its first line, its headers, its body. None at the end.
fn message(from: &mut impl BufRead) -> Option<(String, String, String)> {
    let (mut first, mut headers, mut length) = (String::new(), String::new(), 0);
    if from.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        headers += &line.to_ascii_lowercase();
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((first, headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Reads an answer in chunks or of a stated length to its end: its first line, and the bytes of its body. None where it is cut off.
fn whole(from: &mut impl BufRead) -> Option<(String, usize)> {
    let (mut first, mut length, mut chunked) = (String::new(), 0, false);
    from.read_line(&mut first).ok()?;
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let lower = line.to_ascii_lowercase();
        chunked |= lower.starts_with("transfer-encoding:");
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    if !chunked {
        from.read_exact(&mut vec![0; length]).ok()?;
        return Some((first, length));
    }
    let mut all = 0;
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        from.read_exact(&mut vec![0; size + 2]).ok()?;
        if size == 0 {
            return Some((first, all));
        }
        all += size;
    }
}

/// Writes a text a byte at a time, so that it is cut at each.
fn sliced(io: &mut TcpStream, text: &str) -> std::io::Result<()> {
    io.set_nodelay(true)?;
    for byte in raw(text).bytes() {
        io.write_all(&[byte])?;
        std::thread::sleep(Duration::from_micros(500));
    }
    Ok(())
}

fn serve(io: TcpStream, steps: &str, seen: &Mutex<Seen>) -> std::io::Result<()> {
    let mut reader = BufReader::new(io.try_clone()?);
    let mut io = io;
    for step in steps.split("; ") {
        let (what, rest) = step.trim().split_once(' ').unwrap_or((step.trim(), ""));
        match what {
            "read" => {
                let Some((first, headers, body)) = message(&mut reader) else { return Ok(()) };
                let mut seen = seen.lock().expect("seen");
                seen.read += 1;
                seen.bytes += &format!("{first}{headers}\r\n{body}");
            }
            "gulp" => drop(reader.read_exact(&mut vec![0; rest.parse().expect("a size")])),
            "part" => drop(reader.read(&mut [0; 16])?),
            "say" => io.write_all(raw(rest).as_bytes())?,
            "ok" => write!(io, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{rest}", rest.len())?,
            "list" => write!(io, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?,
            "line" | "piece" => {
                let line = if what == "line" { rest.to_owned() + "\n" } else { raw(rest) };
                write!(io, "{:x}\r\n{line}\r\n", line.len())?;
            }
            "flood" => {
                let size = rest.parse().expect("a size");
                write!(io, "{size:x}\r\n{}\r\n", "x".repeat(size))?;
            }
            "slices" => sliced(&mut io, rest)?,
            "floods" => io.write_all("x".repeat(rest.parse().expect("a size")).as_bytes())?,
            "fill" => {
                let body = "f".repeat(rest.parse().expect("a size"));
                write!(io, "HTTP/1.1 200 OK\r\nContent-Length: {rest}\r\n\r\n{body}")?;
            }
            "status" => write!(io, "HTTP/1.1 {}\r\nContent-Length: 0\r\n\r\n", raw(rest))?,
            "wait" => std::thread::sleep(Duration::from_millis(rest.parse().expect("milliseconds"))),
            "close" => return io.shutdown(Shutdown::Both),
            "reset" => return SockRef::from(&io).set_linger(Some(Duration::ZERO)),
            "stall" => loop {
                std::thread::sleep(PATIENCE);
            },
            other => panic!("no such step: {other}"),
        }
    }
    Ok(())
}

impl Peer {
    fn listen(script: &str) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        if script.starts_with("part") {
            SockRef::from(&listener).set_recv_buffer_size(1024).expect("a small buffer");
        }
        let (at, seen) = (listener.local_addr().expect("its address"), Arc::new(Mutex::new(Seen::default())));
        let (script, watched) = (script.to_owned(), seen.clone());
        std::thread::spawn(move || {
            for (n, io) in listener.incoming().enumerate() {
                let Ok(io) = io else { continue };
                let parts: Vec<&str> = script.split('|').collect();
                let steps = parts[n.min(parts.len() - 1)].trim().to_owned();
                let seen = watched.clone();
                seen.lock().expect("seen").opened += 1;
                std::thread::spawn(move || serve(io, &steps, &seen));
            }
        });
        Peer { at, seen }
    }
    /// Takes in no connection, and says so to no one: the system holds all that it may for a listener.
    fn silent() -> Peer {
        let held = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        held.bind(&unused().into()).expect("a free port");
        held.listen(0).expect("a listener");
        let at = held.local_addr().expect("its address");
        for _ in 0..4 {
            let waiting = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            waiting.set_nonblocking(true).expect("not blocking");
            let _ = waiting.connect(&at);
            std::mem::forget(waiting);
        }
        std::mem::forget(held);
        Peer { at: at.as_socket().expect("an address and port"), seen: Default::default() }
    }
    fn refuse() -> Peer {
        Peer { at: unused(), seen: Default::default() }
    }
}

struct Play {
    folder: PathBuf,
    settings: Value,
    sockets: usize,
    peers: BTreeMap<String, Peer>,
    agent: Option<Child>,
    log: Arc<Mutex<String>>,
    deaf: Arc<AtomicBool>,
    at: SocketAddr,
    door: Option<SocketAddr>,
    inherit: Option<(Option<TcpListener>, String)>,
    elder: Option<Child>,
    muted: Vec<TcpStream>,
    calls: BTreeMap<String, BufReader<TcpStream>>,
}

impl Drop for Play {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Both processes write to it: without it a failure beside load can't be told apart from the others.
            let log =
                self.log.lock().map_or_else(|poisoned| poisoned.into_inner().clone(), |log| log.clone());
            eprintln!("the log of the agent:\n{log}");
        }
        for agent in self.agent.iter_mut().chain(&mut self.elder) {
            let _ = agent.kill();
            let _ = agent.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn settings() -> Value {
    let scheme = |name: &str, repeat: &str| {
        json!({"name": name, "repeat": repeat, "group": "zone", "windowMs": 3000.0, "slaTimeMs": 600.0,
               "expiryMs": 2000.0, "value": 1.0, "overdueValue": 0.3, "stream": false})
    };
    json!({"balancers": 1, "myZone": "a", "zones": ["a", "b"], "tickMs": 5.0, "registryMode": "on_request",
           "contract": {"askWithinMs": 1000.0, "drainGraceMs": 2000.0},
           "permissions": {"cancel": true, "probes": true, "retryAfter": true, "maxRetryAfterMs": 1500.0,
                           "maxPostings": 1, "connectTimeoutMs": 250.0, "idleCloseMs": 60000.0},
           "loadReport": {"via": "answers", "fields": ["busy"]}, "costs": {},
           "schemes": [scheme("look", "safe"), scheme("move", "keyed"), scheme("pay", "unsafe")]})
}

impl Play {
    fn start(&mut self) {
        let members: Vec<Value> = self
            .peers
            .iter()
            .filter(|(name, _)| *name != "discovery" && !name.starts_with("new"))
            .map(|(name, peer)| {
                json!({"id": name, "host_port": peer.at.to_string(), "locality": "a", "cell": 1,
                       "phase": "in_service", "size": 4.0, "up_since_ms": 0})
            })
            .collect();
        let discovery = self.peers.entry("discovery".into()).or_insert_with(Peer::refuse).at;
        let mut config = json!({"name": "n0", "listen": self.at.to_string(), "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": {"revision": 41, "complete": true, "members": members}, "settings": self.settings});
        if let Some(door) = self.door {
            config["management"] = door.to_string().into();
        }
        let path = self.folder.join("config.json");
        std::fs::write(&path, config.to_string()).expect("the configuration");
        let mut command = Command::new(env!("CARGO_BIN_EXE_notchspool-agent"));
        if let Some((listener, number)) = &self.inherit {
            command.env("ROUTER_INHERITED_FD", number);
            if let Some(listener) = listener {
                let shell = "exec 3<&0 0</dev/null; exec \"$0\"";
                command = Command::new("sh");
                command.args(["-c", shell, env!("CARGO_BIN_EXE_notchspool-agent")]);
                command.env("ROUTER_INHERITED_FD", number);
                let held = listener.try_clone().expect("one more descriptor");
                command.stdin(Stdio::from(std::os::fd::OwnedFd::from(held)));
            }
        }
        let mut agent = command
            .env("TMPDIR", &self.folder)
            .env("ROUTER_CONFIG", path)
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("NOTCHSPOOL_LOG", "debug")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the agent");
        let (mut told, log) = (BufReader::new(agent.stderr.take().expect("its log")), self.log.clone());
        let deaf = self.deaf.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while told.read_line(&mut line).is_ok_and(|n| n > 0) {
                while deaf.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                *log.lock().expect("the log") += &std::mem::take(&mut line);
            }
        });
        self.agent = Some(agent);
    }

    fn wait(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let began = Instant::now();
        while !holds() {
            if began.elapsed() > PATIENCE {
                let log = self.log.lock().expect("the log").clone();
                panic!("{what}\n{log}");
            }
            std::thread::sleep(Duration::from_millis(25));
        }
    }

    /// One line to the door, and the whole answer.
    fn order(&self, line: &str) -> Option<String> {
        let mut io = TcpStream::connect(self.door.expect("a door")).ok()?;
        io.set_read_timeout(Some(PATIENCE)).ok()?;
        io.write_all(line.as_bytes()).ok()?;
        let mut answer = String::new();
        io.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    fn call(&mut self, name: &str) -> &mut BufReader<TcpStream> {
        let at = self.at;
        self.calls.entry(name.to_owned()).or_insert_with(|| {
            let io = TcpStream::connect(at).expect("the agent listens");
            io.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            BufReader::new(io)
        })
    }

    fn fetch(&self, path: &str) -> Option<String> {
        let mut io = TcpStream::connect(self.at).ok()?;
        io.set_read_timeout(Some(PATIENCE)).ok()?;
        write!(io, "GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
        message(&mut BufReader::new(io)).map(|(_, _, body)| body)
    }

    fn play(&mut self, line: &str) {
        let (what, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (name, more) = rest.split_once(' ').unwrap_or((rest, ""));
        match what {
            "sockets" => self.sockets = name.parse().expect("a number"),
            "settings" => {
                let (group, field) = name.rsplit_once('/').expect("/GROUP/FIELD");
                let group = self.settings.pointer_mut(group).expect("such a group");
                let place = match group {
                    Value::Array(rows) => &mut rows[field.parse::<usize>().expect("a row")],
                    group => &mut group[field],
                };
                *place = serde_json::from_str(more).expect("a value");
            }
            "peer" => {
                let place = |script: String, (name, peer): (&String, &Peer)| {
                    script.replace(&format!("@{name}"), &peer.at.to_string())
                };
                let script = self.peers.iter().fold(more.to_owned(), place);
                let script = script.replace("@self", &self.at.to_string());
                self.peers.insert(name.to_owned(), Peer::listen(&script));
            }
            "silent" => drop(self.peers.insert(name.to_owned(), Peer::silent())),
            "refuse" => drop(self.peers.insert(name.to_owned(), Peer::refuse())),
            "start" => {
                self.start();
                self.wait("it is never ready", || self.fetch("/healthz").is_some());
            }
            "fails" | "dies" => {
                self.start();
                let code = self.agent.as_mut().expect("started").wait().expect("an end").code();
                assert_eq!(code, Some(if what == "fails" { 2 } else { 1 }), "the start ends with an error");
                self.play(&format!("log {rest}"));
            }
            "ask" => {
                let (more, size) = more.split_once(" body ").unwrap_or((more, ""));
                let (method, path) = more.split_once(' ').expect("METHOD PATH");
                let (path, headers) = path.split_once(' ').unwrap_or((path, ""));
                let mut asked = format!("{method} {path} HTTP/1.1\r\nHost: a\r\n{}", raw(headers));
                if !headers.contains("X-Expires") {
                    asked += "X-Expires-In-Ms: 1500\r\n";
                }
                if !headers.contains("X-Trace-Id") {
                    asked += &format!("X-Trace-Id: 9b1f03aa5c7e{name}\r\n");
                }
                if let Ok(size) = size.parse() {
                    asked += &format!("Content-Length: {size}\r\n\r\n{}", "b".repeat(size));
                } else {
                    asked += "\r\n";
                }
                // A bad request may be answered, and its connection ended, before all of it is written.
                let _ = self.call(name).get_mut().write_all(asked.as_bytes());
            }
            "slow" => {
                // In pieces that look like the ends of heads, a tenth of a second apart.
                let [method, path, size, every] = more.split(' ').collect::<Vec<_>>()[..] else {
                    panic!("METHOD PATH SIZE PIECE")
                };
                let (size, every): (usize, usize) =
                    (size.parse().expect("a size"), every.parse().expect("a piece"));
                let head = format!(
                    "{method} {path} HTTP/1.1\r\nHost: a\r\nX-Expires-In-Ms: 1500\r\nX-Trace-Id: 9b1f03aa5c7e{name}\r\nContent-Length: {size}\r\n\r\n"
                );
                let body = "\r\n\r\nab".repeat(size.div_ceil(6));
                let io = self.call(name).get_mut();
                io.write_all(head.as_bytes()).expect("written");
                let pause = Duration::from_micros(3_000_000 * every as u64 / size as u64);
                for piece in body.as_bytes()[..size].chunks(every) {
                    io.write_all(piece).expect("written");
                    std::thread::sleep(pause);
                }
            }
            "more" => {
                let rest = vec![b'b'; more.parse().expect("a size")];
                self.call(name).get_mut().write_all(&rest).expect("written");
            }
            "early" => {
                let [method, path, size] = more.split(' ').collect::<Vec<_>>()[..] else {
                    panic!("METHOD PATH SIZE")
                };
                let size: usize = size.parse().expect("a size");
                let head = format!(
                    "{method} {path} HTTP/1.1\r\nHost: a\r\nX-Expires-In-Ms: 1500\r\nX-Trace-Id: 9b1f03aa5c7e{name}\r\nContent-Length: {size}\r\n\r\n"
                );
                let io = self.call(name).get_mut();
                io.write_all(head.as_bytes()).expect("written");
                for _ in 0..20 {
                    io.write_all(&vec![b'b'; size / 20]).expect("it is read on");
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
            "begin" => {
                let [method, path, size, part] = more.split(' ').collect::<Vec<_>>()[..] else {
                    panic!("METHOD PATH SIZE PART")
                };
                let part: usize = part.parse().expect("a size");
                let asked = format!(
                    "{method} {path} HTTP/1.1\r\nHost: a\r\nX-Expires-In-Ms: 1500\r\nX-Trace-Id: 9b1f03aa5c7e{name}\r\nContent-Length: {size}\r\n\r\n{}",
                    "b".repeat(part)
                );
                self.call(name).get_mut().write_all(asked.as_bytes()).expect("written");
            }
            "hearall" => {
                let (status, size) = more.split_once(' ').expect("STATUS SIZE");
                let (first, heard) = whole(self.call(name)).expect("a whole answer");
                assert!(first.contains(&format!(" {status} ")), "{line}: heard {first}");
                assert_eq!(heard.to_string(), size, "{line}");
            }
            "cut" => assert!(whole(self.call(name)).is_none(), "{line}: it looks whole"),
            "sliced" => sliced(self.call(name).get_mut(), more).expect("written"),
            "raw" => self.call(name).get_mut().write_all(raw(more).as_bytes()).expect("written"),
            "hear" => {
                let (first, headers, body) = message(self.call(name)).expect("an answer");
                let (status, text) = more.split_once(' ').unwrap_or((more, ""));
                assert!(
                    first.contains(&format!(" {status} ")),
                    "{more} wanted, heard {first}{headers}{body}"
                );
                assert!((headers + &body).contains(&raw(text)), "{more} wanted, heard {body}");
            }
            "gone" => {
                let ended = self.call(name).read(&mut [0; 1]);
                let reset = |e: &std::io::Error| e.kind() == ErrorKind::ConnectionReset;
                assert!(matches!(&ended, Ok(0)) || ended.as_ref().is_err_and(reset), "{ended:?}");
            }
            "leave" => drop(self.calls.remove(name)),
            "least" => {
                let least: u64 = more.parse().expect("a number");
                let value = |line: &str| line.strip_prefix(name)?.trim().parse::<u64>().ok();
                let has = |page: String| page.lines().filter_map(value).any(|value| value >= least);
                self.wait(line, || self.fetch("/-/counters").is_some_and(has));
            }
            "most" => {
                let most: u64 = more.parse().expect("a number");
                let value = |line: &str| line.strip_prefix(name)?.trim().parse::<u64>().ok();
                let has = |page: String| page.lines().filter_map(value).any(|value| value <= most);
                self.wait(line, || self.fetch("/-/counters").is_some_and(has));
            }
            "count" => {
                let wanted = format!("{name} {more}");
                let has = |page: String| page.lines().any(|line| line == wanted);
                self.wait(line, || self.fetch("/-/counters").is_some_and(has));
            }
            "got" => {
                let seen = self.peers[name].seen.clone();
                self.wait(line, || seen.lock().expect("seen").bytes.contains(&raw(more)));
            }
            "reads" | "opens" => {
                let seen = self.peers[name].seen.lock().expect("seen");
                let n = if what == "reads" { seen.read } else { seen.opened };
                assert_eq!(n.to_string(), more, "{line}");
            }
            "log" => self.wait(line, || self.log.lock().expect("the log").contains(rest)),
            "pause" => std::thread::sleep(Duration::from_millis(name.parse().expect("milliseconds"))),
            "file" => std::fs::write(self.folder.join(name), raw(more)).expect("written"),
            "config" => {
                let path = self.folder.join("config.json");
                let value = self.peers.get(more).map_or(more.to_owned(), |peer| peer.at.to_string());
                let file = std::fs::read(&path).expect("the configuration");
                let mut file: Value = serde_json::from_slice(&file).expect("JSON");
                file[name] = value.into();
                std::fs::write(&path, file.to_string()).expect("the configuration");
            }
            "door" => self.door = Some(unused()),
            "order" => {
                let (asked, wanted) = rest.split_once(" = ").expect("LINE = ANSWER");
                let asked = raw(asked);
                let asked = if asked.ends_with('\n') { asked } else { asked + "\n" };
                let mut answer = self.order(&asked).expect("an answer");
                // How long a sync takes is the disk's: an operator who is told that it takes too long asks again.
                let until = Instant::now() + PATIENCE;
                while answer.contains("can't be kept in time") && Instant::now() < until {
                    answer = self.order(&asked).expect("an answer");
                }
                assert!(answer.starts_with(wanted) && answer.ends_with('\n'), "{line}: heard {answer}");
            }
            "mute" => {
                for _ in 0..name.parse().expect("a number") {
                    self.muted.push(TcpStream::connect(self.door.expect("a door")).expect("it listens"));
                }
            }
            "crowd" => {
                for _ in 0..name.parse().expect("a number") {
                    let mut io = TcpStream::connect(self.at).expect("the agent listens");
                    write!(io, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
                    self.muted.push(io);
                }
            }
            "inherit" if rest.is_empty() => {
                let listener = TcpListener::bind(self.at).expect("a free port");
                self.inherit = Some((Some(listener), "3".to_owned()));
            }
            "inherit" => self.inherit = Some((None, rest.to_owned())),
            "beside" => {
                self.elder = self.agent.take();
                self.door = Some(unused());
                self.start();
                self.wait("it never says yes", || {
                    self.order("status\n").is_some_and(|told| told.starts_with("OK"))
                });
            }
            "prompt" => {
                let most = Duration::from_millis(name.parse().expect("milliseconds"));
                let mut worst = Duration::ZERO;
                for _ in 0..40 {
                    let began = Instant::now();
                    assert!(self.order("status\n").is_some_and(|told| told.starts_with("OK")));
                    worst = worst.max(began.elapsed());
                    std::thread::sleep(Duration::from_millis(10));
                }
                println!("the worst of 40 answers at the door took {worst:?}");
                assert!(worst <= most, "{line}: {worst:?}");
            }
            "stillborn" => {
                // A second process that ends at once: its door is the first one's.
                let first = self.agent.take();
                self.start();
                let code = self.agent.take().expect("started").wait().expect("an end").code();
                assert_eq!(code, Some(1));
                self.agent = first;
            }
            "hung" => {
                // A second process that stands still before its yes, and is killed in the end.
                let first = self.agent.take();
                self.door = Some(unused());
                self.start();
                let second = self.agent.take().expect("started");
                let id = second.id().to_string();
                assert!(Command::new("kill").args(["-STOP", &id]).status().expect("kill").success());
                (self.agent, self.elder) = (first, Some(second));
            }
            "forsaken" => {
                let mut second = self.elder.take().expect("a second process");
                second.kill().expect("killed");
                second.wait().expect("an end");
            }
            "killed" => {
                let mut agent = self.agent.take().expect("started");
                agent.kill().expect("killed");
                agent.wait().expect("an end");
                self.calls.clear();
            }
            "elder" => {
                let mut elder = self.elder.take().expect("a first process");
                self.wait("it does not end", || elder.try_wait().is_ok_and(|end| end.is_some()));
                assert!(elder.wait().expect("an end").success());
            }
            "deaf" => self.deaf.store(true, Ordering::Relaxed),
            "calls" => {
                let many: usize = name.parse().expect("a number");
                for _ in 0..many {
                    assert!(self.fetch(more).is_some(), "{line}: no answer");
                }
            }
            "term" | "hup" | "stop" | "cont" => {
                let agent = self.elder.as_ref().or(self.agent.as_ref());
                let id = agent.expect("started").id().to_string();
                let signal = format!("-{}", what.to_uppercase());
                assert!(Command::new("kill").args([&signal, &id]).status().expect("kill").success());
            }
            "ends" => {
                let mut agent = self.agent.take().expect("started");
                self.wait("it does not end", || agent.try_wait().is_ok_and(|end| end.is_some()));
                assert!(agent.wait().expect("an end").success());
            }
            "refused" => {
                // Clients that come one after the other till nothing listens: who was let in is answered.
                let (at, most) = (self.at, name.parse::<usize>().expect("a number"));
                let come = move || {
                    let mut unheard = 0;
                    while let Ok(mut call) = TcpStream::connect(at) {
                        let _ = call.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
                        let _ = call.set_read_timeout(Some(PATIENCE));
                        unheard += usize::from(!matches!(call.read(&mut [0; 64]), Ok(1..)));
                        std::thread::sleep(Duration::from_micros(500));
                    }
                    unheard
                };
                let clients: Vec<_> = (0..4).map(|_| std::thread::spawn(come)).collect();
                let unheard: usize = clients.into_iter().map(|c| c.join().expect("it ends")).sum();
                assert!(unheard <= most, "{unheard} were let in and not answered");
            }
            other => panic!("no such command: {other}"),
        }
    }
}

#[rstest]
fn scenario(#[files("tests/peers/*.txt")] path: PathBuf) {
    let folder = std::env::temp_dir().join(format!(
        "notchspool-{}-{}",
        std::process::id(),
        path.file_stem().expect("a name").to_string_lossy()
    ));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut play = Play {
        folder,
        settings: settings(),
        sockets: 1024,
        peers: BTreeMap::new(),
        agent: None,
        log: Default::default(),
        deaf: Default::default(),
        at: unused(),
        door: None,
        inherit: None,
        elder: None,
        muted: Vec::new(),
        calls: BTreeMap::new(),
    };
    let text = std::fs::read_to_string(&path).expect("a scenario");
    for line in text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#')) {
        play.play(line);
    }
}
