//! An agent with routes on sockets, against stand-ins that fail. Ids of requests are counted where they arrive; nothing
//! here depends on how fast the machine is, but that it gets there.
mod standins;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use standins::*;

#[test]
fn bytes_and_headers_go_both_ways_as_they_came() {
    let stand = Stand::new(Mode::Ok);
    let extra = "[[route]]\nname = \"local\"\nprefix = \"/local\"\nscheme = \"look\"\npool = \"a\"\n\
                 add = { \"X-Edge\" = \"one\" }\nremove = [\"X-Secret\"]\nexpiry_header = \"X-Left\"\n\
                 [[listen]]\nname = \"sock\"\nunix = \"@folder/sock\"\n";
    let agent = AgentProcess::start(
        "bytes",
        &(pool("a", std::slice::from_ref(&stand), "") + &route("x", "look", "a") + extra),
    );
    let response = agent
        .ask("GET", "/x/y?q=1", "X-Id: 1\r\nX-Any: thing\r\nConnection: x-hop\r\nX-Hop: 1\r\n")
        .expect("heard");
    assert!(response.first.contains("200") && response.body == "ok\n" && response.header("x-own") == "yes");
    let last = || stand.last.lock().expect("last").clone();
    assert!(
        last().starts_with("GET /x/y?q=1 ") && last().contains("thing") && last().contains("it.example"),
        "{}",
        last()
    );
    assert!(!last().contains("x-hop"), "what belongs to one connection goes no further: {}", last());
    stand.set(Mode::Missing);
    let response = agent.ask("GET", "/x", "X-Id: 2\r\n").expect("heard");
    assert!(response.first.contains("404") && response.body == "none\n" && response.header("x-own") == "yes");
    stand.set(Mode::Fail);
    let response = agent.ask("GET", "/x", "X-Id: 3\r\n").expect("heard");
    assert!(response.first.contains("500") && response.body == "oops\n", "{}", response.first);
    stand.set(Mode::Ok);
    agent.wait("it serves again", || agent.status("HEAD", "/x", "4") == 200);
    assert_eq!(agent.status("GET", "/nowhere", "5"), 404);
    let mut io = UnixStream::connect(agent.folder.join("sock")).expect("the socket");
    let sent = say("GET", "/local/z", "X-Id: 6\r\nX-Secret: s\r\nX-Edge: forged\r\nX-Left: 700\r\n");
    io.write_all(sent.as_bytes()).expect("written");
    let response = message(&mut BufReader::new(io), false).expect("heard");
    assert!(response.first.contains("200"));
    let last = last();
    assert!(
        last.contains("\"x-edge\", \"one\"") && !last.contains("forged") && !last.contains("x-secret"),
        "{last}"
    );
    assert!(last.contains("\"x-left\", \"6"), "what is left of it: {last}");
}

#[test]
fn a_pool_that_hangs_takes_its_part_and_no_more() {
    let failing: Vec<Stand> = (0..12).map(|_| Stand::new(Mode::Hang)).collect();
    let well = [Stand::new(Mode::Ok), Stand::new(Mode::Ok)];
    let text = pool("ill", &failing, "part = 0.1")
        + &pool("well", &well, "part = 0.4")
        + &route("ill", "pay", "ill")
        + &route("well", "look", "well")
        + "[limits]\nmemory_mb = 32\n";
    let agent = AgentProcess::start("hang", &text);
    let (ended, full) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        let crowd: Vec<_> = (0..100)
            .map(|n| {
                let (agent, full) = (&agent, &full);
                scope.spawn(move || {
                    let response = agent.ask("POST", "/ill", &format!("X-Id: {n}\r\n"));
                    let full_now = response.is_some_and(|m| m.header("x-notchspool-reason") == "POOL_FULL");
                    full.fetch_add(usize::from(full_now), Ordering::Relaxed);
                })
            })
            .collect();
        agent.wait("the ill pool is full", || full.load(Ordering::Relaxed) > 0);
        for n in 0..60 {
            assert_eq!(agent.status("GET", "/well", &n.to_string()), 200, "while the other hangs");
        }
        ended.store(true, Ordering::Relaxed);
        crowd.into_iter().for_each(|one| one.join().expect("ended"));
    });
    assert!(agent.counter("now_in_hand") == 0, "all is given back");
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
    let agent = AgentProcess::start("dying", &text);
    for n in 0..20 {
        assert_eq!(agent.status("POST", "/pay", &format!("a{n}")), 200);
    }
    assert!(backup[0].seen().is_empty(), "while the primary serves");
    primary.iter().for_each(|s| s.set(Mode::Break));
    let broken: Vec<u16> = (0..12).map(|n| agent.status("POST", "/pay", &format!("b{n}"))).collect();
    assert!(broken.iter().filter(|s| **s == 502).count() >= 2, "what may have run is reversed: {broken:?}");
    let all = [&primary[0], &primary[1], &backup[0]];
    assert_eq!(doubled(&all), Vec::<String>::new());
    // Dead, nothing is written: what is refused may go on, and soon all of it does.
    primary.iter().for_each(|s| s.set(Mode::Down));
    let mut n = 0;
    agent.wait("the backup serves", || {
        n += 1;
        (0..5).all(|m| agent.status("POST", "/pay", &format!("c{n}-{m}")) == 200)
    });
    assert_eq!(doubled(&all), Vec::<String>::new());
    primary.iter().for_each(|s| s.set(Mode::Ok));
    let before = primary[0].seen().len() + primary[1].seen().len();
    agent.wait("it comes back", || {
        n += 1;
        agent.status("POST", "/pay", &format!("d{n}"));
        primary[0].seen().len() + primary[1].seen().len() > before + 20
    });
    assert_eq!(doubled(&all), Vec::<String>::new());
}

#[test]
fn a_primary_and_a_backup_that_flap_double_nothing() {
    let (primary, backup) = ([Stand::new(Mode::Ok)], [Stand::new(Mode::Ok)]);
    let text = pool("first", &primary, "backup = \"second\"")
        + &pool("second", &backup, "")
        + &route("pay", "pay", "first");
    let agent = AgentProcess::start("flaps", &text);
    let (over, sent) = (AtomicBool::new(false), AtomicUsize::new(0));
    let served = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for thread in 0..3 {
            let (agent, over, sent, served) = (&agent, &over, &sent, &served);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let n = sent.fetch_add(1, Ordering::Relaxed);
                    let status = agent.status("POST", "/pay", &format!("{thread}-{n}"));
                    assert!([200, 502, 503].contains(&status), "{status}");
                    served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                }
            });
        }
        let modes =
            [Mode::Down, Mode::Ok, Mode::Break, Mode::Ok, Mode::Down, Mode::Ok, Mode::Break, Mode::Down];
        for (n, mode) in modes.into_iter().enumerate() {
            primary[0].set(mode);
            // The backup flaps too.
            backup[0].set([Mode::Ok, Mode::Ok, Mode::Break, Mode::Down][n % 4]);
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
    let agent = AgentProcess::start("reload", &text("a"));
    let (over, sent) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for thread in 0..2 {
            let (agent, over, sent) = (&agent, &over, &sent);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let n = sent.fetch_add(1, Ordering::Relaxed);
                    assert_eq!(agent.status("POST", "/pay", &format!("{thread}-{n}")), 200);
                }
            });
        }
        for n in 1..=1000u64 {
            agent.change(&text(if n % 2 == 1 { "b" } else { "a" }));
            // Signals that come together would be one: each is waited for.
            agent.wait("taken", || agent.counter("files_taken") == n);
        }
        over.store(true, Ordering::Relaxed);
    });
    let (at_a, at_b) = (a[0].seen(), b[0].seen());
    assert!(!at_a.is_empty() && !at_b.is_empty(), "both had their turns");
    assert_eq!(at_a.len() + at_b.len(), sent.load(Ordering::Relaxed), "none lost");
    assert_eq!(doubled(&[&a[0], &b[0]]), Vec::<String>::new());
    // One that fails at its last line changes nothing.
    agent.change(&(text("a") + "\n[[route]]\nname = \"last\"\nscheme = \"none\"\npool = \"a\"\n"));
    agent.wait("refused", || agent.counter("files_refused") == 1);
    assert_eq!(agent.status("POST", "/pay", "after"), 200);
    let log = std::fs::read_to_string(agent.folder.join("log")).expect("the log");
    assert!(log.contains("nothing changes") && log.contains("no scheme of that name"), "it is told why");
}

#[test]
fn a_pool_that_goes_ends_what_it_holds_and_a_member_that_goes_gets_nothing_more() {
    let (a, b, c) = (Stand::new(Mode::Hang), Stand::new(Mode::Ok), Stand::new(Mode::Ok));
    let both = pool("old", std::slice::from_ref(&a), "")
        + &pool("new", &[b.clone(), c.clone()], "drain_grace_ms = 200.0");
    let agent = AgentProcess::start(
        "goes",
        &(both.clone() + &route("pay", "pay", "old") + &route("look", "look", "new")),
    );
    std::thread::scope(|scope| {
        let held = scope.spawn(|| agent.status("POST", "/pay", "held"));
        agent.wait("it is there", || a.seen().len() == 1);
        agent.change(
            &(pool("new", std::slice::from_ref(&c), "drain_grace_ms = 200.0")
                + &route("pay", "pay", "new")
                + &route("look", "look", "new")),
        );
        agent.wait("taken", || agent.counter("files_taken") == 1);
        assert_eq!(agent.status("POST", "/pay", "next"), 200);
        assert_eq!(held.join().expect("an answer"), 502, "under the terms it was taken with");
    });
    std::thread::sleep(Duration::from_millis(300));
    let before = b.seen().len();
    for n in 0..30 {
        assert_eq!(agent.status("GET", "/look", &n.to_string()), 200);
    }
    assert_eq!(b.seen().len(), before, "nothing new past the grace");
}

#[test]
fn who_changes_names_shares_the_part_of_all_others() {
    let failing: Vec<Stand> = (0..12).map(|_| Stand::new(Mode::Hang)).collect();
    let well = [Stand::new(Mode::Ok)];
    let text = pool("ill", &failing, "part = 0.5")
        + &pool("well", &well, "part = 0.2")
        + &route("ill", "pay", "ill")
        + &route("well", "look", "well")
        + "[limits]\nmemory_mb = 32\n[tenants]\nheader = \"X-Tenant\"\nshares = { acme = 0.6, zenith = 0.3 }\n";
    let agent = AgentProcess::start("names", &text);
    let full = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for n in 0..100 {
            let (agent, full) = (&agent, &full);
            scope.spawn(move || {
                let response = agent.ask("POST", "/ill", &format!("X-Id: {n}\r\nX-Tenant: new-{n}\r\n"));
                let full_now = response.is_some_and(|m| m.header("x-notchspool-reason") == "TENANT_FULL");
                full.fetch_add(usize::from(full_now), Ordering::Relaxed);
            });
        }
        agent.wait("the others are full", || full.load(Ordering::Relaxed) > 10);
        for tenant in ["acme", "zenith"] {
            let response =
                agent.ask("GET", "/well", &format!("X-Id: w\r\nX-Tenant: {tenant}\r\n")).expect("heard");
            assert!(response.first.contains("200"), "{tenant}: {}", response.first);
        }
    });
}

/// What one tenant sends beyond its quota is turned away; another within its own goes out meanwhile, however many at once.
#[test]
fn quotas_of_a_pool_tell_who_goes_first() {
    let stands = [Stand::new(Mode::Ok), Stand::new(Mode::Ok)];
    let text = pool("a", &stands, "quotas = { bad = 0.5 }")
        + &route("look", "look", "a")
        + &route("hang", "look", "a")
        + "[tenants]\nheader = \"X-Tenant\"\nshares = { bad = 0.5, good = 0.5 }\n";
    let agent = AgentProcess::start("quotas", &text);
    // Two seconds on, the agent knows that answers come with ease; its window has never been used.
    let began = Instant::now();
    agent.wait("some seconds of ease", || {
        let succeeded = agent.ask("GET", "/look", "X-Id: calm\r\nX-Tenant: good\r\n");
        succeeded.is_some_and(|m| m.first.contains("200")) && began.elapsed() > Duration::from_millis(2_500)
    });
    let (hung, agent) = (|tenant: &str| seen(&stands, tenant), &agent);
    std::thread::scope(|scope| {
        for tenant in ["bad", "good"] {
            for n in 0..40 {
                let named = format!("X-Id: {tenant}{n}\r\nX-Tenant: {tenant}\r\n");
                scope.spawn(move || agent.ask("GET", "/hang", &named));
            }
            agent.wait("all of the bad are heard", || agent.counter("unserved_window") >= 20);
        }
        agent.wait("all of the good are out", || hung("good") == 40);
        assert!(hung("bad") <= 20, "{} of 40 beyond the quota went out", hung("bad"));
        stands.iter().for_each(|s| s.set(Mode::Break));
    });
}

/// How many txns whose ids begin so these backends have read.
fn seen(stands: &[Stand], begin: &str) -> usize {
    stands.iter().flat_map(Stand::seen).filter(|id| id.starts_with(begin)).count()
}

#[test]
fn ten_thousand_routes_are_read_and_the_last_is_found() {
    let stand = [Stand::new(Mode::Ok)];
    let mut text = pool("a", &stand, "");
    for n in 0..10_000 {
        text += &route(&format!("r{n}"), "look", "a");
    }
    let agent = AgentProcess::start("many", &text);
    assert_eq!(agent.status("GET", "/r9999/x", "1"), 200);
    assert_eq!(agent.status("GET", "/r10000", "2"), 404);
    let file = agent.folder.join("agent.toml");
    let explain = Command::new(env!("CARGO_BIN_EXE_notchspool"))
        .args(["explain", &file.to_string_lossy(), "--path", "/r3"])
        .output()
        .expect("it runs");
    let output = String::from_utf8_lossy(&explain.stdout);
    assert!(output.contains("not `r2`: another path") && output.contains("route `r3`"), "{}", output.len());
}

#[test]
fn who_has_a_key_stays_at_one_pool_and_shares_are_kept() {
    let (a, b) = (Stand::new(Mode::Ok), Stand::new(Mode::Ok));
    let text = pool("a", std::slice::from_ref(&a), "")
        + &pool("b", std::slice::from_ref(&b), "")
        + "[[route]]\nname = \"both\"\nprefix = \"/both\"\nscheme = \"look\"\npools = { a = 0.5, b = 0.5 }\nsticky = \"header:X-Customer\"\n";
    let agent = AgentProcess::start("sticky", &text);
    for n in 0..120 {
        let response = agent.ask("GET", "/both", &format!("X-Id: {}\r\nX-Customer: c{}\r\n", n % 20, n % 20));
        assert!(response.expect("heard").first.contains("200"));
    }
    let (at_a, at_b) = (a.seen(), b.seen());
    assert!(at_a.len() + at_b.len() == 120 && !at_a.is_empty() && !at_b.is_empty());
    assert!(at_a.iter().all(|id| !at_b.contains(id)), "each customer at one of them");
}

/// The file is a pipe that nobody writes to: reading it hangs, serving goes on, and the next sound file is taken.
#[test]
fn a_file_that_hangs_at_being_read_stops_nothing() {
    let stand = [Stand::new(Mode::Ok)];
    let text = pool("a", &stand, "") + &route("look", "look", "a");
    let agent = AgentProcess::start("pipe", &text);
    let (file, pipe) = (agent.folder.join("agent.toml"), agent.folder.join("pipe"));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("it runs").success());
    std::fs::rename(&pipe, &file).expect("in its place");
    agent.signal("-HUP");
    for n in 0..20 {
        assert_eq!(agent.status("GET", "/look", &n.to_string()), 200);
    }
    agent.wait("refused", || agent.counter("files_refused") == 1);
    agent.wait("told", || agent.log().contains("can't be read in time"));
    agent.change(&(text + &route("more", "look", "a")));
    agent.wait("taken", || agent.counter("files_taken") == 1);
    assert_eq!(agent.status("GET", "/more", "more"), 200);
}

/// A new file lets clients wait for longer: an orderly end waits as long, whatever the first file said.
#[test]
fn an_orderly_end_waits_for_the_longest_expiry_of_any_file() {
    let hangs = [Stand::new(Mode::Hang)];
    let text = |expiry: u32| {
        pool("a", &hangs, "") + &route("pay", "pay", "a") + &format!("expiry_ms = {expiry}.0\n")
    };
    let mut agent = AgentProcess::start("longer", &text(300));
    agent.change(&text(3000));
    agent.wait("taken", || agent.counter("files_taken") == 1);
    let status = std::thread::scope(|scope| {
        let held = scope.spawn(|| agent.status("POST", "/pay", "held"));
        agent.wait("it is out", || hangs[0].seen().len() == 1);
        agent.signal("-TERM");
        held.join().expect("an end")
    });
    assert_eq!(status, 502, "answered, though late");
    assert!(agent.child.wait().expect("an end").success());
}

/// Every cut of a file: what is no sound file changes nothing and is named; no cut stops service or loses a txn. Where postings go
/// before, while and after is counted by backend.
#[test]
fn half_written_and_mistaken_files_in_mid_burst_move_no_attempt() {
    let stands: Vec<Stand> = (0..3).map(|_| Stand::new(Mode::Slow)).collect();
    let good = pool("a", &stands[..2], "drain_grace_ms = 200.0")
        + &route("pay", "pay", "a")
        + &route("look", "look", "a");
    let agent = AgentProcess::start("cuts", &good);
    let (over, lost, sent) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let counts = || stands.iter().map(|s| s.seen().len()).collect::<Vec<_>>();
    let mut table = Vec::new();
    std::thread::scope(|scope| {
        for thread in 0..3 {
            let (agent, over, lost, sent) = (&agent, &over, &lost, &sent);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let n = sent.fetch_add(1, Ordering::Relaxed);
                    let status = agent.status("POST", "/pay", &format!("{thread}-{n}"));
                    lost.fetch_add(usize::from(status != 200), Ordering::Relaxed);
                }
            });
        }
        let mut step = |what: &str, work: &mut dyn FnMut()| {
            let before = counts();
            work();
            let gone: Vec<usize> = counts().iter().zip(&before).map(|(now, then)| now - then).collect();
            table.push(format!("{what:<28} {gone:?}"));
            gone
        };
        let some = || std::thread::sleep(Duration::from_millis(400));
        step("before", &mut || some());
        // A file without its second half; weights that are none; a backend that is the agent itself.
        let complete_file = AgentProcess::file(agent.at, &good);
        let file = agent.folder.join("agent.toml");
        let own = agent.at;
        let swapped = [
            complete_file[..complete_file.len() / 2].to_owned(),
            complete_file.replacen("size = 4.0", "size = nan", 1),
            complete_file.replacen("size = 4.0", "size = -1.0", 1),
            complete_file.replacen(&stands[0].at.to_string(), &own.to_string(), 1),
        ];
        let mut refused = 0;
        let gone = step("four wrong files", &mut || {
            for mistaken in &swapped {
                std::fs::write(&file, mistaken).expect("written");
                agent.signal("-HUP");
                refused += 1;
                agent.wait("refused", || agent.counter("files_refused") == refused);
            }
            some();
        });
        assert!(gone[0] > 0 && gone[1] > 0 && gone[2] == 0, "{gone:?}");
        // Twice in quick succession, and the last one counts.
        let other = pool("a", &stands[1..], "drain_grace_ms = 200.0")
            + &route("pay", "pay", "a")
            + &route("look", "look", "a");
        step("two files at once", &mut || {
            std::fs::write(&file, AgentProcess::file(agent.at, &good)).expect("written");
            agent.signal("-HUP");
            agent.change(&other);
            agent.wait("taken", || agent.counter("files_taken") >= 1 && stands[2].seen().len() > 3);
            std::thread::sleep(Duration::from_millis(300));
        });
        let gone = step("after", &mut || some());
        assert!(
            gone[0] == 0 && gone[1] > 0 && gone[2] > 0,
            "past the grace nothing goes to who left: {gone:?}"
        );
        over.store(true, Ordering::Relaxed);
    });
    table.iter().for_each(|line| println!("{line}"));
    assert_eq!(lost.load(Ordering::Relaxed), 0);
    assert_eq!(doubled(&stands.iter().collect::<Vec<_>>()), Vec::<String>::new());
    assert_eq!(counts().iter().sum::<usize>(), sent.load(Ordering::Relaxed), "each went to one place");
    let log = agent.log();
    for named in [
        "agent.toml:",
        "`nan`: must lie between",
        "`-1.0`: must lie between",
        "this agent listens there itself",
    ] {
        assert!(log.contains(named), "{named}\n{log}");
    }
}

/// A pool that goes on only for what it has in hand hears of drains all the same: nothing new goes past the grace.
#[test]
fn a_closing_pool_follows_drains_until_its_last_request() {
    let (stand, register) = (Stand::new(Mode::Hang), Register::new());
    register.tell("a", stand.at, "in_service");
    let text = |connect: u32| {
        format!(
            "[[pool]]\nname = \"a\"\nregister = \"{}\"\nconnect_ms = {connect}.0\ndrain_grace_ms = 300.0\n{}",
            register.at,
            route("look", "look", "a")
        )
    };
    let agent = AgentProcess::start("closes", &text(250));
    std::thread::scope(|scope| {
        // Until the list is there it is declined.
        let held = scope.spawn(|| {
            let tries = (0..500).map(|_| {
                std::thread::sleep(Duration::from_millis(10));
                agent.status("GET", "/look", "held")
            });
            tries.into_iter().find(|status| *status != 503 || !stand.seen().is_empty())
        });
        agent.wait("it is out", || stand.seen().len() == 1);
        agent.change(&text(260));
        agent.wait("taken", || agent.counter("files_taken") == 1);
        register.tell("a", stand.at, "terminating");
        std::thread::sleep(Duration::from_millis(600));
        stand.set(Mode::Ok);
        assert_eq!(
            held.join().expect("an end"),
            Some(503),
            "declined: it may run again, and there is nobody else"
        );
    });
    assert_eq!(stand.seen().len(), 1, "nothing went there past the grace");
}

/// One line to the door for operators, and its answer.
fn order(at: std::net::SocketAddr, line: &str) -> String {
    let mut io = std::net::TcpStream::connect(at).expect("it listens");
    io.write_all(format!("{line}\n").as_bytes()).expect("written");
    let mut answer = String::new();
    std::io::Read::read_to_string(&mut io, &mut answer).expect("an answer");
    answer
}

#[test]
fn operators_have_a_door_and_a_ban_holds_in_every_pool_and_over_a_new_file() {
    let stands = [Stand::new(Mode::Ok), Stand::new(Mode::Ok)];
    let door = unused();
    let file = |name: &str| {
        format!(
            "management = \"{door}\"\n{}",
            pool(name, &stands, "drain_grace_ms = 200.0") + &route("x", "look", name)
        )
    };
    let agent = AgentProcess::start("door", &file("a"));
    assert!(order(door, "status").starts_with("OK"));
    assert!(order(door, "maint-on nobody").starts_with("ERR"));
    let out = format!("{}", stands[0].at);
    assert!(order(door, &format!("maint-on {out}")).starts_with("OK"), "{}", agent.log());
    std::thread::sleep(Duration::from_millis(300));
    let before = stands[0].seen().len();
    // The pool that takes the place of the first hears of it before it knows anybody.
    agent.change(&file("b"));
    agent.wait("the new file", || agent.counter("files_taken") == 1);
    for n in 0..40 {
        assert_eq!(agent.status("GET", "/x", &format!("d{n}")), 200);
    }
    assert_eq!(stands[0].seen().len(), before, "{}", agent.log());
    assert!(order(door, &format!("maint-off {out}")).starts_with("OK"));
    let mut next = 100;
    agent.wait("it is back", || {
        next += 1;
        agent.status("GET", "/x", &format!("d{next}"));
        stands[0].seen().len() > before
    });
    assert!(order(door, "standby").starts_with("OK"));
    assert_eq!(agent.status("GET", "/-/healthz", "h"), 503);
    assert!(order(door, "active").starts_with("OK"));
    assert_eq!(agent.status("GET", "/-/healthz", "h"), 200);
}
