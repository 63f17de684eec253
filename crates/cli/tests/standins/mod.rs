//! Stand-ins for the tests of an agent with routes: backends that fail, and the agent itself as a process.
#![allow(dead_code)] // each test file uses its own part
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(15);

/// A port at an address that nothing else here uses, below those that the system gives out. It is not tried by binding it: a process
/// that is started by another test at that moment holds what was bound until it runs, and the agent finds the port in use.
pub fn unused() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (id, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from(([127, (id % 200 + 30) as u8, 6, n], 7000 + (id / 200 % 1000) as u16))
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Ok,
    /// Takes all, answers nothing.
    Hang,
    /// Takes it whole, then the connection ends.
    Break,
    /// Nobody listens.
    Down,
    /// 404 with a header of its own.
    Missing,
    /// 500 with words of its own.
    Fail,
    /// 60,000 bytes of an answer.
    Large,
    /// As `Ok`, after 20 ms.
    Slow,
}

pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}
impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|h| h.0 == name).map_or("", |h| h.1.as_str())
    }
}

pub fn message(from: &mut impl BufRead, bodiless: bool) -> Option<Message> {
    let mut first = String::new();
    if from.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut read = Message { first: first.trim_end().to_owned(), headers, body: String::new() };
    let length = if bodiless { 0 } else { read.header("content-length").parse().unwrap_or(0) };
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    read.body = String::from_utf8_lossy(&body).into_owned();
    Some(read)
}

/// A backend. What it has read whole is in `seen`, by id.
#[derive(Clone)]
pub struct Stand {
    pub at: SocketAddr,
    pub mode: Arc<Mutex<Mode>>,
    pub seen: Arc<Mutex<Vec<String>>>,
    pub last: Arc<Mutex<String>>,
    listens: Arc<AtomicBool>,
}

impl Stand {
    pub fn new(mode: Mode) -> Stand {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let listener =
            TcpListener::bind(format!("127.{}.7.{n}:0", std::process::id() % 200 + 30)).expect("a port");
        let stand = Stand {
            at: listener.local_addr().expect("its address"),
            mode: Arc::new(Mutex::new(mode)),
            seen: Arc::default(),
            last: Arc::default(),
            listens: Arc::new(AtomicBool::new(mode != Mode::Down)),
        };
        // What is down from the first lets nobody in, not even into the system's queue.
        let (own, listener) = (stand.clone(), (mode != Mode::Down).then_some(listener));
        std::thread::spawn(move || own.listen(listener));
        stand
    }
    pub fn mode(&self) -> Mode {
        *self.mode.lock().expect("mode")
    }
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().expect("mode") = mode;
        // Down counts once nobody listens: till then the system takes what is sent, and that may have run.
        let began = Instant::now();
        while mode == Mode::Down && self.listens.load(Ordering::SeqCst) && began.elapsed() < PATIENCE {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().expect("seen").clone()
    }
    fn listen(&self, mut open: Option<TcpListener>) {
        loop {
            if self.mode() == Mode::Down {
                open = None;
            } else if open.is_none() {
                open = TcpListener::bind(self.at).ok();
            }
            self.listens.store(open.is_some(), Ordering::SeqCst);
            let Some(listener) = &open else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            listener.set_nonblocking(true).expect("non-blocking");
            match listener.accept() {
                Ok((io, _)) => {
                    io.set_nonblocking(false).expect("blocking");
                    let own = self.clone();
                    std::thread::spawn(move || own.serve(io));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }
    pub fn serve(&self, mut io: TcpStream) {
        let mut reader = BufReader::new(io.try_clone().expect("a handle"));
        while let Some(request) = message(&mut reader, false) {
            let mode = self.mode();
            if mode == Mode::Down {
                return;
            }
            let id =
                [request.header("x-id"), request.header("x-trace-id")].into_iter().find(|id| !id.is_empty());
            self.seen.lock().expect("seen").push(id.unwrap_or("").to_owned());
            // What a path asks for outranks the mode.
            let hangs = request.first.contains(" /hang");
            let mode = match request.first.split(' ').nth(1).unwrap_or("") {
                _ if hangs => Mode::Hang,
                path if path.starts_with("/large") => Mode::Large,
                _ => mode,
            };
            *self.last.lock().expect("last") =
                format!("{} {:?} {}", request.first, request.headers, request.body);
            if mode == Mode::Slow {
                std::thread::sleep(Duration::from_millis(20));
            }
            let large = || {
                let body = "x".repeat(60_000);
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            };
            let answer = match mode {
                Mode::Large => &large(),
                Mode::Ok | Mode::Slow => "HTTP/1.1 200 OK\r\nX-Own: yes\r\nContent-Length: 3\r\n\r\nok\n",
                Mode::Missing => "HTTP/1.1 404 Not Found\r\nX-Own: yes\r\nContent-Length: 5\r\n\r\nnone\n",
                Mode::Fail => "HTTP/1.1 500 Oops\r\nX-Own: yes\r\nContent-Length: 5\r\n\r\noops\n",
                Mode::Hang => {
                    // Till it is told otherwise; then the connection ends.
                    let began = Instant::now();
                    while began.elapsed() < PATIENCE && (hangs || self.mode() == Mode::Hang) {
                        std::thread::sleep(Duration::from_millis(10));
                    }
                    return;
                }
                Mode::Break | Mode::Down => return,
            };
            let head = request.first.starts_with("HEAD");
            let end = if head { answer.find("\r\n\r\n").expect("a head") + 4 } else { answer.len() };
            if io.write_all(&answer.as_bytes()[..end]).is_err() {
                return;
            }
        }
    }
}

/// A register in the platform's form: every watch gets all lines from the first on, and then each as it is told.
#[derive(Clone)]
pub struct Register {
    pub at: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Register {
    pub fn new() -> Register {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let register = Register { at: listener.local_addr().expect("its address"), lines: Arc::default() };
        let own = register.clone();
        std::thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.watch(io));
            }
        });
        register
    }
    fn watch(&self, mut io: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(io.try_clone().ok()?);
        message(&mut reader, false)?;
        io.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut sent_lines = 0;
        loop {
            let lines = self.lines.lock().expect("lines").clone();
            let new = lines[sent_lines..].iter().map(|l| format!("{l}\n")).collect::<String>();
            sent_lines = lines.len();
            let text = if new.is_empty() { "\n".into() } else { new };
            io.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()?;
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    /// Tells of one backend.
    pub fn tell(&self, name: &str, at: SocketAddr, phase: &str) {
        let mut lines = self.lines.lock().expect("lines");
        let revision = lines.len() + 1;
        lines.push(format!(
            "{{\"revision\":{revision},\"complete\":{},\"members\":[{{\"id\":\"{name}\",\"host_port\":\"{at}\",\
             \"phase\":\"{phase}\",\"size\":4.0,\"up_since_ms\":0}}]}}",
            revision == 1
        ));
    }
}

pub struct AgentProcess {
    pub child: Child,
    pub folder: PathBuf,
    pub at: SocketAddr,
}
impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub const CLASSES: &str = r#"
[[scheme]]
name = "look"
kind = "repeatable"
sla_ms = 500.0
expiry_ms = 1500.0
[[scheme]]
name = "move"
kind = "referenced"
reference = "Idempotency-Key"
window_ms = 3000.0
sla_ms = 500.0
expiry_ms = 1500.0
[[scheme]]
name = "pay"
kind = "once-only"
sla_ms = 500.0
expiry_ms = 1500.0
"#;

pub fn pool(name: &str, stands: &[Stand], more: &str) -> String {
    let members: Vec<String> =
        stands.iter().map(|s| format!("{{ at = \"{}\", size = 4.0 }}", s.at)).collect();
    format!("[[pool]]\nname = \"{name}\"\nmembers = [{}]\n{more}\n", members.join(", "))
}
pub fn route(name: &str, class: &str, pool: &str) -> String {
    let method = if class != "look" { "method = [\"POST\"]" } else { "" };
    format!(
        "[[route]]\nname = \"{name}\"\nprefix = \"/{name}\"\nscheme = \"{class}\"\npool = \"{pool}\"\n{method}\n"
    )
}

impl AgentProcess {
    pub fn file(at: SocketAddr, rest: &str) -> String {
        format!("name = \"it\"\n{rest}\n[[listen]]\nname = \"main\"\nat = \"{at}\"\n{CLASSES}")
    }
    pub fn start(name: &str, rest: &str) -> AgentProcess {
        let folder = std::env::temp_dir().join(format!("notchspool-house-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let at = unused();
        let file = folder.join("agent.toml");
        std::fs::write(&file, AgentProcess::file(at, &rest.replace("@folder", &folder.to_string_lossy())))
            .expect("the file");
        let log = std::fs::File::create(folder.join("log")).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_notchspool"))
            .arg("run")
            .arg(&file)
            .env("TMPDIR", &folder)
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the agent");
        let agent = AgentProcess { child, folder, at };
        agent.wait("ready", || agent.ask("GET", "/-/healthz", "").is_some_and(|m| m.first.contains("200")));
        agent
    }
    pub fn change(&self, rest: &str) {
        // Whole or not at all, as an operator would.
        let file = self.folder.join("agent.toml");
        std::fs::write(file.with_extension("new"), AgentProcess::file(self.at, rest)).expect("the file");
        std::fs::rename(file.with_extension("new"), &file).expect("the file");
        let kill = Command::new("kill").args(["-HUP", &self.child.id().to_string()]).status().expect("kill");
        assert!(kill.success());
    }
    pub fn wait(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let began = Instant::now();
        while !holds() {
            let last = || {
                let log = self.log();
                log.lines().rev().take(20).fold(String::new(), |last, line| format!("{line}\n{last}"))
            };
            assert!(began.elapsed() < PATIENCE, "{what}\n{}", last());
            std::thread::sleep(Duration::from_millis(3));
        }
    }
    pub fn ask(&self, method: &str, path: &str, headers: &str) -> Option<Message> {
        ask(self.at, method, path, headers)
    }
    pub fn status(&self, method: &str, path: &str, id: &str) -> u16 {
        let response = self.ask(method, path, &format!("X-Id: {id}\r\n"));
        response.map_or(0, |m| m.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0))
    }
    /// Kilobytes of memory that the agent holds now.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0");
        line.trim().split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0)
    }
    pub fn signal(&self, signal: &str) {
        let kill = Command::new("kill").args([signal, &self.child.id().to_string()]).status().expect("kill");
        assert!(kill.success());
    }
    /// The line of a pool on the page of counters.
    pub fn pool_line(&self, name: &str) -> String {
        let page = self.ask("GET", "/-/counters", "").map(|m| m.body).unwrap_or_default();
        page.lines().find(|l| l.starts_with(&format!("pool {name} "))).unwrap_or("").to_owned()
    }
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
    pub fn counter(&self, name: &str) -> u64 {
        let page = self.ask("GET", "/-/counters", "").map(|m| m.body).unwrap_or_default();
        let line = page.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok());
        line.unwrap_or(0)
    }
}

pub fn say(method: &str, path: &str, headers: &str) -> String {
    let body = if method == "POST" { "Content-Length: 5\r\n\r\nhello" } else { "\r\n" };
    format!("{method} {path} HTTP/1.1\r\nHost: it.example\r\n{headers}{body}")
}

pub fn ask(at: SocketAddr, method: &str, path: &str, headers: &str) -> Option<Message> {
    let mut io = TcpStream::connect(at).ok()?;
    io.set_read_timeout(Some(PATIENCE)).ok()?;
    io.write_all(say(method, path, headers).as_bytes()).ok()?;
    message(&mut BufReader::new(io), method == "HEAD")
}
