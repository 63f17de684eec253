//! An agent with routes on sockets, against stand-ins that fail. Ids of requests are counted where they arrive; nothing
//! here depends on how fast the machine is, but that it gets there.
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(15);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
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
}

struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: String,
}
impl Message {
    fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|h| h.0 == name).map_or("", |h| h.1.as_str())
    }
}

fn message(from: &mut impl BufRead, bodiless: bool) -> Option<Message> {
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
struct Stand {
    at: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    seen: Arc<Mutex<Vec<String>>>,
    last: Arc<Mutex<String>>,
}

impl Stand {
    fn new(mode: Mode) -> Stand {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let listener =
            TcpListener::bind(format!("127.{}.7.{n}:0", std::process::id() % 200 + 30)).expect("a port");
        let stand = Stand {
            at: listener.local_addr().expect("its address"),
            mode: Arc::new(Mutex::new(mode)),
            seen: Arc::default(),
            last: Arc::default(),
        };
        let own = stand.clone();
        std::thread::spawn(move || own.listen(listener));
        stand
    }
    fn mode(&self) -> Mode {
        *self.mode.lock().expect("mode")
    }
    fn set(&self, mode: Mode) {
        *self.mode.lock().expect("mode") = mode;
    }
    fn seen(&self) -> Vec<String> {
        self.seen.lock().expect("seen").clone()
    }
    fn listen(&self, listener: TcpListener) {
        let mut open = Some(listener);
        loop {
            if self.mode() == Mode::Down {
                open = None;
            } else if open.is_none() {
                open = TcpListener::bind(self.at).ok();
            }
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
    fn serve(&self, mut io: TcpStream) {
        let mut reader = BufReader::new(io.try_clone().expect("a handle"));
        while let Some(asked) = message(&mut reader, false) {
            let mode = self.mode();
            if mode == Mode::Down {
                return;
            }
            self.seen.lock().expect("seen").push(asked.header("x-id").to_owned());
            *self.last.lock().expect("last") = format!("{} {:?} {}", asked.first, asked.headers, asked.body);
            let said = match mode {
                Mode::Ok => "HTTP/1.1 200 OK\r\nX-Own: yes\r\nContent-Length: 3\r\n\r\nok\n",
                Mode::Missing => "HTTP/1.1 404 Not Found\r\nX-Own: yes\r\nContent-Length: 5\r\n\r\nnone\n",
                Mode::Fail => "HTTP/1.1 500 Oops\r\nX-Own: yes\r\nContent-Length: 5\r\n\r\noops\n",
                Mode::Hang => {
                    std::thread::sleep(PATIENCE);
                    return;
                }
                Mode::Break | Mode::Down => return,
            };
            let head = asked.first.starts_with("HEAD");
            let end = if head { said.find("\r\n\r\n").expect("a head") + 4 } else { said.len() };
            if io.write_all(&said.as_bytes()[..end]).is_err() {
                return;
            }
        }
    }
}

struct House {
    child: Child,
    folder: PathBuf,
    at: SocketAddr,
}
impl Drop for House {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

const SCHEMES: &str = r#"
[[scheme]]
name = "look"
kind = "repeatable"
sla_ms = 500.0
expiry_ms = 1500.0
[[scheme]]
name = "pay"
kind = "once-only"
sla_ms = 500.0
expiry_ms = 1500.0
"#;

fn pool(name: &str, stands: &[Stand], more: &str) -> String {
    let members: Vec<String> =
        stands.iter().map(|s| format!("{{ at = \"{}\", size = 4.0 }}", s.at)).collect();
    format!("[[pool]]\nname = \"{name}\"\nmembers = [{}]\n{more}\n", members.join(", "))
}
fn route(name: &str, scheme: &str, pool: &str) -> String {
    let method = if scheme == "pay" { "method = [\"POST\"]" } else { "" };
    format!(
        "[[route]]\nname = \"{name}\"\nprefix = \"/{name}\"\nscheme = \"{scheme}\"\npool = \"{pool}\"\n{method}\n"
    )
}

impl House {
    fn file(at: SocketAddr, rest: &str) -> String {
        format!("name = \"it\"\n{rest}\n[[listen]]\nname = \"main\"\nat = \"{at}\"\n{SCHEMES}")
    }
    fn start(name: &str, rest: &str) -> House {
        let folder = std::env::temp_dir().join(format!("notchspool-house-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let free = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = free.local_addr().expect("its address");
        drop(free);
        let file = folder.join("agent.toml");
        std::fs::write(&file, House::file(at, &rest.replace("@folder", &folder.to_string_lossy())))
            .expect("the file");
        let log = std::fs::File::create(folder.join("log")).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_notchspool"))
            .arg("run")
            .arg(&file)
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the agent");
        let house = House { child, folder, at };
        house.wait("ready", || house.ask("GET", "/-/healthz", "").is_some_and(|m| m.first.contains("200")));
        house
    }
    fn change(&self, rest: &str) {
        // Whole or not at all, as an operator would.
        let file = self.folder.join("agent.toml");
        std::fs::write(file.with_extension("new"), House::file(self.at, rest)).expect("the file");
        std::fs::rename(file.with_extension("new"), &file).expect("the file");
        let kill = Command::new("kill").args(["-HUP", &self.child.id().to_string()]).status().expect("kill");
        assert!(kill.success());
    }
    fn wait(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let began = Instant::now();
        while !holds() {
            let log = || std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
            assert!(began.elapsed() < PATIENCE, "{what}\n{}", log());
            std::thread::sleep(Duration::from_millis(3));
        }
    }
    fn ask(&self, method: &str, path: &str, headers: &str) -> Option<Message> {
        ask(self.at, method, path, headers)
    }
    fn status(&self, method: &str, path: &str, id: &str) -> u16 {
        let heard = self.ask(method, path, &format!("X-Id: {id}\r\n"));
        heard.map_or(0, |m| m.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0))
    }
    fn counter(&self, name: &str) -> u64 {
        let page = self.ask("GET", "/-/counters", "").map(|m| m.body).unwrap_or_default();
        let line = page.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok());
        line.unwrap_or(0)
    }
}

fn say(method: &str, path: &str, headers: &str) -> String {
    let body = if method == "POST" { "Content-Length: 5\r\n\r\nhello" } else { "\r\n" };
    format!("{method} {path} HTTP/1.1\r\nHost: it.example\r\n{headers}{body}")
}

fn ask(at: SocketAddr, method: &str, path: &str, headers: &str) -> Option<Message> {
    let mut io = TcpStream::connect(at).ok()?;
    io.set_read_timeout(Some(PATIENCE)).ok()?;
    io.write_all(say(method, path, headers).as_bytes()).ok()?;
    message(&mut BufReader::new(io), method == "HEAD")
}

#[test]
fn bytes_and_headers_go_both_ways_as_they_came() {
    let stand = Stand::new(Mode::Ok);
    let extra = "[[route]]\nname = \"local\"\nprefix = \"/local\"\nscheme = \"look\"\npool = \"a\"\n\
                 add = { \"X-Edge\" = \"one\" }\nremove = [\"X-Secret\"]\nexpiry_header = \"X-Left\"\n\
                 [[listen]]\nname = \"sock\"\nunix = \"@folder/sock\"\n";
    let house = House::start(
        "bytes",
        &(pool("a", std::slice::from_ref(&stand), "") + &route("x", "look", "a") + extra),
    );
    let heard = house
        .ask("GET", "/x/y?q=1", "X-Id: 1\r\nX-Any: thing\r\nConnection: x-hop\r\nX-Hop: 1\r\n")
        .expect("heard");
    assert!(heard.first.contains("200") && heard.body == "ok\n" && heard.header("x-own") == "yes");
    let last = || stand.last.lock().expect("last").clone();
    assert!(
        last().starts_with("GET /x/y?q=1 ") && last().contains("thing") && last().contains("it.example"),
        "{}",
        last()
    );
    assert!(!last().contains("x-hop"), "what belongs to one connection goes no further: {}", last());
    stand.set(Mode::Missing);
    let heard = house.ask("GET", "/x", "X-Id: 2\r\n").expect("heard");
    assert!(heard.first.contains("404") && heard.body == "none\n" && heard.header("x-own") == "yes");
    stand.set(Mode::Fail);
    let heard = house.ask("GET", "/x", "X-Id: 3\r\n").expect("heard");
    assert!(heard.first.contains("500") || heard.first.contains("503"), "{}", heard.first);
    stand.set(Mode::Ok);
    house.wait("it serves again", || house.status("HEAD", "/x", "4") == 200);
    assert_eq!(house.status("GET", "/nowhere", "5"), 404);
    let mut io = UnixStream::connect(house.folder.join("sock")).expect("the socket");
    let asked = say("GET", "/local/z", "X-Id: 6\r\nX-Secret: s\r\nX-Edge: forged\r\nX-Left: 700\r\n");
    io.write_all(asked.as_bytes()).expect("written");
    let heard = message(&mut BufReader::new(io), false).expect("heard");
    assert!(heard.first.contains("200"));
    let last = last();
    assert!(
        last.contains("\"x-edge\", \"one\"") && !last.contains("forged") && !last.contains("x-secret"),
        "{last}"
    );
    assert!(last.contains("\"x-left\", \"6"), "what is left of it: {last}");
}

#[test]
fn a_pool_that_hangs_takes_its_part_and_no_more() {
    let ill: Vec<Stand> = (0..12).map(|_| Stand::new(Mode::Hang)).collect();
    let well = [Stand::new(Mode::Ok), Stand::new(Mode::Ok)];
    let text = pool("ill", &ill, "part = 0.1")
        + &pool("well", &well, "part = 0.4")
        + &route("ill", "pay", "ill")
        + &route("well", "look", "well")
        + "[limits]\nmemory_mb = 32\n";
    let house = House::start("hang", &text);
    let (ended, full) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        let crowd: Vec<_> = (0..100)
            .map(|n| {
                let (house, full) = (&house, &full);
                scope.spawn(move || {
                    let heard = house.ask("POST", "/ill", &format!("X-Id: {n}\r\n"));
                    let full_now = heard.is_some_and(|m| m.header("x-notchspool-reason") == "POOL_FULL");
                    full.fetch_add(usize::from(full_now), Ordering::Relaxed);
                })
            })
            .collect();
        house.wait("the ill pool is full", || full.load(Ordering::Relaxed) > 0);
        for n in 0..60 {
            assert_eq!(house.status("GET", "/well", &n.to_string()), 200, "while the other hangs");
        }
        ended.store(true, Ordering::Relaxed);
        crowd.into_iter().for_each(|one| one.join().expect("ended"));
    });
    assert!(house.counter("now_in_hand") == 0, "all is given back");
}

/// Ids that arrived at more than one place, or twice at one.
fn doubled(stands: &[&Stand]) -> Vec<String> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for id in stands.iter().flat_map(|s| s.seen()) {
        *counts.entry(id).or_default() += 1;
    }
    counts.into_iter().filter(|c| c.1 > 1).map(|c| c.0).collect()
}

#[test]
fn what_was_written_to_a_dying_primary_never_appears_in_the_backup() {
    let (primary, backup) = ([Stand::new(Mode::Ok), Stand::new(Mode::Ok)], [Stand::new(Mode::Ok)]);
    let text = pool("first", &primary, "backup = \"second\"")
        + &pool("second", &backup, "")
        + &route("pay", "pay", "first")
        + &route("look", "look", "first");
    let house = House::start("dying", &text);
    for n in 0..20 {
        assert_eq!(house.status("POST", "/pay", &format!("a{n}")), 200);
    }
    assert!(backup[0].seen().is_empty(), "while the primary serves");
    primary.iter().for_each(|s| s.set(Mode::Break));
    let broken: Vec<u16> = (0..12).map(|n| house.status("POST", "/pay", &format!("b{n}"))).collect();
    assert!(broken.iter().filter(|s| **s == 502).count() >= 2, "what may have run is reversed: {broken:?}");
    let all = [&primary[0], &primary[1], &backup[0]];
    assert_eq!(doubled(&all), Vec::<String>::new());
    // Dead, nothing is written: what is refused may go on, and soon all of it does.
    primary.iter().for_each(|s| s.set(Mode::Down));
    let mut n = 0;
    house.wait("the backup serves", || {
        n += 1;
        (0..5).all(|m| house.status("POST", "/pay", &format!("c{n}-{m}")) == 200)
    });
    assert_eq!(doubled(&all), Vec::<String>::new());
    primary.iter().for_each(|s| s.set(Mode::Ok));
    let before = primary[0].seen().len() + primary[1].seen().len();
    house.wait("it comes back", || {
        n += 1;
        house.status("POST", "/pay", &format!("d{n}"));
        primary[0].seen().len() + primary[1].seen().len() > before + 20
    });
    assert_eq!(doubled(&all), Vec::<String>::new());
}

#[test]
fn a_primary_that_flaps_doubles_nothing() {
    let (primary, backup) = ([Stand::new(Mode::Ok)], [Stand::new(Mode::Ok)]);
    let text = pool("first", &primary, "backup = \"second\"")
        + &pool("second", &backup, "")
        + &route("pay", "pay", "first");
    let house = House::start("flaps", &text);
    let (over, asked) = (AtomicBool::new(false), AtomicUsize::new(0));
    let served = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for thread in 0..3 {
            let (house, over, asked, served) = (&house, &over, &asked, &served);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let n = asked.fetch_add(1, Ordering::Relaxed);
                    let status = house.status("POST", "/pay", &format!("{thread}-{n}"));
                    assert!([200, 502, 503].contains(&status), "{status}");
                    served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                }
            });
        }
        for mode in
            [Mode::Down, Mode::Ok, Mode::Break, Mode::Ok, Mode::Down, Mode::Ok, Mode::Break, Mode::Down]
        {
            primary[0].set(mode);
            std::thread::sleep(Duration::from_millis(350));
        }
        over.store(true, Ordering::Relaxed);
    });
    assert_eq!(doubled(&[&primary[0], &backup[0]]), Vec::<String>::new());
    let arrived = primary[0].seen().len() + backup[0].seen().len();
    assert!(arrived >= served.load(Ordering::Relaxed), "each answer was made by one that arrived");
    assert!(!backup[0].seen().is_empty() && served.load(Ordering::Relaxed) > 20);
}

#[test]
fn a_thousand_files_in_mid_burst_lose_and_double_nothing() {
    let (a, b) = ([Stand::new(Mode::Ok)], [Stand::new(Mode::Ok)]);
    let pools = pool("a", &a, "") + &pool("b", &b, "part = 0.2");
    let text = |to: &str| pools.clone() + &route("pay", "pay", to) + &route("look", "look", "a");
    let house = House::start("reload", &text("a"));
    let (over, asked) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for thread in 0..2 {
            let (house, over, asked) = (&house, &over, &asked);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let n = asked.fetch_add(1, Ordering::Relaxed);
                    assert_eq!(house.status("POST", "/pay", &format!("{thread}-{n}")), 200);
                }
            });
        }
        for n in 1..=1000u64 {
            house.change(&text(if n % 2 == 1 { "b" } else { "a" }));
            // Signals that come together would be one: each is waited for.
            house.wait("taken", || house.counter("files_taken") == n);
        }
        over.store(true, Ordering::Relaxed);
    });
    let (at_a, at_b) = (a[0].seen(), b[0].seen());
    assert!(!at_a.is_empty() && !at_b.is_empty(), "both had their turns");
    assert_eq!(at_a.len() + at_b.len(), asked.load(Ordering::Relaxed), "none lost");
    assert_eq!(doubled(&[&a[0], &b[0]]), Vec::<String>::new());
    // One that fails at its last line changes nothing.
    house.change(&(text("a") + "\n[[route]]\nname = \"last\"\nscheme = \"none\"\npool = \"a\"\n"));
    house.wait("refused", || house.counter("files_refused") == 1);
    assert_eq!(house.status("POST", "/pay", "after"), 200);
    let log = std::fs::read_to_string(house.folder.join("log")).expect("the log");
    assert!(log.contains("nothing changes") && log.contains("no scheme of that name"), "it is told why");
}

#[test]
fn a_pool_that_goes_ends_what_it_holds_and_a_member_that_goes_gets_nothing_more() {
    let (a, b, c) = (Stand::new(Mode::Hang), Stand::new(Mode::Ok), Stand::new(Mode::Ok));
    let both = pool("old", std::slice::from_ref(&a), "")
        + &pool("new", &[b.clone(), c.clone()], "drain_grace_ms = 200.0");
    let house =
        House::start("goes", &(both.clone() + &route("pay", "pay", "old") + &route("look", "look", "new")));
    std::thread::scope(|scope| {
        let held = scope.spawn(|| house.status("POST", "/pay", "held"));
        house.wait("it is there", || a.seen().len() == 1);
        house.change(
            &(pool("new", std::slice::from_ref(&c), "drain_grace_ms = 200.0")
                + &route("pay", "pay", "new")
                + &route("look", "look", "new")),
        );
        house.wait("taken", || house.counter("files_taken") == 1);
        assert_eq!(house.status("POST", "/pay", "next"), 200);
        assert_eq!(held.join().expect("an answer"), 502, "under the terms it was taken with");
    });
    std::thread::sleep(Duration::from_millis(300));
    let before = b.seen().len();
    for n in 0..30 {
        assert_eq!(house.status("GET", "/look", &n.to_string()), 200);
    }
    assert_eq!(b.seen().len(), before, "nothing new past the grace");
}

#[test]
fn who_changes_names_shares_the_part_of_all_others() {
    let ill: Vec<Stand> = (0..12).map(|_| Stand::new(Mode::Hang)).collect();
    let well = [Stand::new(Mode::Ok)];
    let text = pool("ill", &ill, "part = 0.5")
        + &pool("well", &well, "part = 0.2")
        + &route("ill", "pay", "ill")
        + &route("well", "look", "well")
        + "[limits]\nmemory_mb = 32\n[tenants]\nheader = \"X-Tenant\"\nshares = { acme = 0.6, zenith = 0.3 }\n";
    let house = House::start("names", &text);
    let full = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for n in 0..100 {
            let (house, full) = (&house, &full);
            scope.spawn(move || {
                let heard = house.ask("POST", "/ill", &format!("X-Id: {n}\r\nX-Tenant: new-{n}\r\n"));
                let full_now = heard.is_some_and(|m| m.header("x-notchspool-reason") == "TENANT_FULL");
                full.fetch_add(usize::from(full_now), Ordering::Relaxed);
            });
        }
        house.wait("the others are full", || full.load(Ordering::Relaxed) > 10);
        for tenant in ["acme", "zenith"] {
            let heard =
                house.ask("GET", "/well", &format!("X-Id: w\r\nX-Tenant: {tenant}\r\n")).expect("heard");
            assert!(heard.first.contains("200"), "{tenant}: {}", heard.first);
        }
    });
}

#[test]
fn ten_thousand_routes_are_read_and_the_last_is_found() {
    let stand = [Stand::new(Mode::Ok)];
    let mut text = pool("a", &stand, "");
    for n in 0..10_000 {
        text += &route(&format!("r{n}"), "look", "a");
    }
    let house = House::start("many", &text);
    assert_eq!(house.status("GET", "/r9999/x", "1"), 200);
    assert_eq!(house.status("GET", "/r10000", "2"), 404);
    let file = house.folder.join("agent.toml");
    let explain = Command::new(env!("CARGO_BIN_EXE_notchspool"))
        .args(["explain", &file.to_string_lossy(), "--path", "/r3"])
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&explain.stdout);
    assert!(said.contains("not `r2`: another path") && said.contains("route `r3`"), "{}", said.len());
}
