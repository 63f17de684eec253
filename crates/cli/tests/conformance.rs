//! Rows taken from the design page (`tests/conformance/lists.txt`) on a real agent, with a register and backends of ours. What is
//! demanded is seen at the backends.
mod standins;
#[path = "../../../tests/conformance/table.rs"]
mod table;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use standins::*;
use table::{Row, names, rows};

/// A register that tells lines of its own revision, and fails when it is told to.
#[derive(Clone)]
struct Lists {
    at: SocketAddr,
    /// Each with its number, so that a watch that begins anew hears only what is new to it or the last whole list.
    lines: Arc<Mutex<Vec<String>>>,
    /// Calls that still fail.
    fails: Arc<Mutex<usize>>,
}

impl Lists {
    fn new() -> Lists {
        let at = unused();
        let listener = TcpListener::bind(at).expect("a register");
        let lists = Lists { at, lines: Arc::default(), fails: Arc::default() };
        let own = lists.clone();
        std::thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.watch(io));
            }
        });
        lists
    }
    fn watch(&self, mut io: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(io.try_clone().ok()?);
        message(&mut reader, false)?;
        {
            let mut fails = self.fails.lock().expect("fails");
            if *fails > 0 {
                *fails -= 1;
                return io.write_all(b"HTTP/1.1 503 Not now\r\nContent-Length: 0\r\n\r\n").ok();
            }
        }
        io.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut newest = 0;
        loop {
            let lines = self.lines.lock().expect("lines").clone();
            let new = lines[newest..].iter().map(|l| format!("{l}\n")).collect::<String>();
            newest = lines.len();
            let text = if new.is_empty() { "\n".into() } else { new };
            io.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()?;
            // A call that fails breaks the watch that stands.
            if *self.fails.lock().expect("fails") > 0 {
                return None;
            }
            std::thread::sleep(Duration::from_millis(30));
        }
    }
}

struct Play {
    lists: Lists,
    stands: BTreeMap<String, Stand>,
    agent: AgentProcess,
    sent: usize,
    newest: u64,
}

impl Play {
    fn new(row: &Row, nth: usize) -> Play {
        let lists = Lists::new();
        let grace = row.lines.iter().find(|l| l[0] == "grace").map_or("600000", |l| &l[1]);
        let text = format!(
            "[[pool]]\nname = \"p\"\nregister = \"{}\"\ndrain_grace_ms = {grace}.0\n{}",
            lists.at,
            route("x", "look", "p")
        );
        let stands = (1..=20).map(|n| (format!("s{n}"), Stand::new(Mode::Slow))).collect();
        let agent = AgentProcess::start(&format!("row{nth}"), &text);
        Play { lists, stands, agent, sent: 0, newest: 0 }
    }
    fn list(&mut self, version: &str, complete: bool, words: &[String]) {
        let member = |word: &String| {
            let (name, standing) = word.split_once(':').unwrap_or((word, "in_service"));
            let phase = match standing {
                "gone" => "terminated",
                "draining" => "terminating",
                other => other,
            };
            format!(
                "{{\"id\":\"{name}\",\"host_port\":\"{}\",\"phase\":\"{phase}\",\"size\":4.0,\"up_since_ms\":0}}",
                self.stands[name].at
            )
        };
        let members: Vec<String> = names(words).iter().map(member).collect();
        let line =
            format!("{{\"revision\":{version},\"complete\":{complete},\"members\":[{}]}}", members.join(","));
        self.lists.lines.lock().expect("lines").push(line);
        let version: u64 = version.parse().expect("a version");
        let older = version < self.newest;
        self.newest = self.newest.max(version);
        // Not the counter of lists: that one counts what the agent began with too.
        self.agent.wait("the line is heard", || match older {
            true => self.agent.counter("lists_older ") > 0,
            false => self.agent.counter("list_version ") == version,
        });
    }
    /// Sixty at once, a few times; who got how many since.
    fn flow(&mut self, rounds: usize) -> BTreeMap<String, usize> {
        let before: BTreeMap<String, usize> =
            self.stands.iter().map(|(n, s)| (n.clone(), s.seen().len())).collect();
        for _ in 0..rounds {
            std::thread::scope(|scope| {
                for n in 0..60 {
                    let (agent, id) = (&self.agent, self.sent + n);
                    scope.spawn(move || agent.status("GET", "/x", &id.to_string()));
                }
            });
            self.sent += 60;
        }
        let got = |(n, s): (&String, &Stand)| (n.clone(), s.seen().len() - before[n]);
        self.stands.iter().map(got).collect()
    }
    fn line(&mut self, words: &[String]) {
        match words[0].as_str() {
            "grace" => {}
            "list" => self.list(&words[1], words[2] == "full", &words[3..]),
            "lost" => {
                let before = self.agent.counter("lists_failed ");
                let n: u64 = words[1].parse().expect("a number");
                *self.lists.fails.lock().expect("fails") = n as usize;
                // The first two are enough to see: the later ones wait longer and longer.
                self.agent.wait("calls fail", || self.agent.counter("lists_failed ") >= before + n.min(2));
            }
            "wait" => std::thread::sleep(Duration::from_millis(words[1].parse().expect("a time"))),
            "drawn" => {
                let mut left = names(&words[1..]);
                let began = std::time::Instant::now();
                while !left.is_empty() {
                    assert!(began.elapsed() < PATIENCE, "{left:?} get nothing\n{}", self.agent.log());
                    let got = self.flow(2);
                    left.retain(|name| got[name] == 0);
                }
            }
            "not" => {
                let got = self.flow(8);
                let some: Vec<String> = names(&words[1..]).into_iter().filter(|name| got[name] > 0).collect();
                assert!(some.is_empty(), "{some:?} still get txns: {got:?}");
            }
            other => panic!("no command {other}"),
        }
    }
}

#[test]
fn a_real_agent_keeps_guards_and_drains_its_list_as_the_page_says() {
    let rows = rows(include_str!("../../../tests/conformance/lists.txt"), "agent");
    assert!(rows.len() >= 13);
    for (nth, row) in rows.iter().enumerate() {
        let mut play = Play::new(row, nth);
        for words in &row.lines {
            eprintln!("{}: {}", row.name, words.join(" ")); // shown only when it fails
            play.line(words);
        }
    }
}
