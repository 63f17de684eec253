//! The whole path on loopback: one replica, two proxies, stand-in backends. Whatever is waited for is asked for again till it is so, within
//! a generous bound.
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use notchspool_data_plane::run::Listeners;
use notchspool_runtime::node_settings::NodeSettings;
use notchspool_runtime::program::CheckedSettings;
use notchspool_runtime::signals::Signals;

const BOUND: Duration = Duration::from_secs(30);

fn response(ip: &str, data: Option<&Path>, seed: &str, service: &str) -> (PathBuf, NodeSettings) {
    let listen =
        r#"{"inbound":"IP:8300","outbound":"IP:8304","readiness":"IP:8302","controlPlane":"IP:8306"}"#;
    let data = data.map_or("null".to_string(), |d| format!("{:?}", d.display().to_string()));
    let text = format!(
        r#"{{"node":"{ip}","zone":"a","ipAddress":"{ip}","portRange":[7620,7635],"listenAddresses":{},"seedNodes":["{seed}:8306"],
        "firstStart":true,"dataPath":{data},"beatIntervalS":1.5,"bounds":["drainS=2","graceS=6","keyWindowS=60","retryRatio=0.2",
        "retryWindowS=10","retrySlack":60],"limits":{{"memoryMb":64}},"appAddress":"{ip}:8301","service":"{service}"}}"#,
        listen.replace("IP", ip)
    );
    let text = text.replace(r#""retrySlack":60"#, r#""retrySlack=60""#);
    let file = PathBuf::from(ip);
    let response = NodeSettings::parse(&file, text.as_bytes()).unwrap();
    (file, response)
}

fn on_a_thread<F: Future<Output = ()>>(run: impl FnOnce() -> F + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, run());
    });
}

/// What a stand-in backend saw: for each path, the headers of each request.
type Seen = Arc<Mutex<Vec<(String, BTreeMap<String, String>)>>>;

fn backend(at: &str, id: &str) -> Seen {
    let (seen, listener) = (Seen::default(), TcpListener::bind(at).unwrap());
    let (all, id) = (seen.clone(), id.to_string());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (seen, id) = (all.clone(), id.clone());
            std::thread::spawn(move || serve(stream, &seen, &id));
        }
    });
    seen
}

fn serve(mut stream: TcpStream, seen: &Seen, id: &str) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let (first, headers, _) = read(&mut reader)?;
        let path = first.split(' ').nth(1)?.to_string();
        let attempt = headers.get("notchspool-attempt-id").cloned().unwrap_or_default();
        let nth = {
            let mut all = seen.lock().ok()?;
            all.push((path.clone(), headers.clone()));
            all.len()
        };
        let target = headers.get("notchspool-target-instance").is_some_and(|t| t != id);
        let body =
            if path.starts_with("/big/") { vec![b'x'; 600_000] } else { format!("{id} {path}").into_bytes() };
        if target {
            write!(stream, "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n").ok()?;
            continue;
        }
        if path.ends_with("/stray") {
            // An answer to nobody's request in the place of the one due.
            write!(stream, "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: other\r\nnotchspool-server-seal: z\r\ncontent-length: 3\r\n\r\nodd")
                .ok()?;
        }
        if path.ends_with("/unsealed") {
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt}\r\ncontent-length: 2\r\n\r\nno"
            )
            .ok()?;
            continue;
        }
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-server-seal: {id}-{nth}\r\ncontent-length: {length}\r\n\r\n"
        )
        .ok()?;
        let cut = if path.ends_with("/cut") { length / 2 } else { length };
        stream.write_all(&body[..cut]).ok()?;
        if cut < length {
            return None;
        }
    }
}

type Message = (String, BTreeMap<String, String>, Vec<u8>);

fn read(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.insert(name.to_lowercase(), value.to_string());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    reader.take(length).read_to_end(&mut body).ok()?;
    (body.len() as u64 == length).then_some((first.trim_end().to_string(), headers, body))
}

fn call(at: &str, head: &str, body: &str) -> Option<Message> {
    let at: SocketAddr = at.parse().unwrap();
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    write!(stream, "{head}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}", body.len()).ok()?;
    read(&mut BufReader::new(stream))
}

fn rpc(at: &str, call_name: &str, body: &str) -> Option<Message> {
    call(&format!("{at}:8306"), &format!("POST /notchspool/rpc?call={call_name} HTTP/1.1\r\nhost: x"), body)
}

fn until<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = ask() {
            return found;
        }
        assert!(began.elapsed() < BOUND, "not within {BOUND:?}: {what}");
        std::thread::yield_now();
    }
}

fn status(message: &Message) -> &str {
    message.0.split(' ').nth(1).unwrap_or_default()
}

fn heartbeat(ip: &str, id: &str, state: &str, calls: u64) -> bool {
    let body = format!(
        r#"{{"address":"{ip}:8301","details":{{"service":"s","version":"v1","zone":"a","freeSlots":6}},"status":{{"state":"{state}","callCount":{calls},"coldLeftS":0}}}}"#
    );
    rpc(ip, &format!("instances.heartbeat&of={id}"), &body).is_some_and(|m| status(&m) == "200")
}

const CONFIG: &str = r#"{"version":3,"routes":{
    "safe":{"host":"h.example","pathPrefix":"/a/","routeKind":"safe","timeoutS":5,"targetS":1,"priority":1,"service":"s","maxAttempts":2},
    "big":{"host":"h.example","pathPrefix":"/big/","routeKind":"download","timeoutS":5,"targetS":1,"priority":1,"service":"s","maxAttempts":1},
    "key":{"host":"h.example","pathPrefix":"/k/","routeKind":"keyed","timeoutS":5,"targetS":1,"priority":1,"service":"s","maxAttempts":2}},
    "services":{"s":{}},"limits":{"maxHeaderBytes":16384}}"#;

fn request(path: &str, attempt: &str, more: &str) -> Option<Message> {
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: h.example\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-time-left-ms: 4000\r\nnotchspool-calling-service: forged{more}"
    );
    call("127.77.2.1:8304", &head, "")
}

#[test]
fn the_path_of_a_request() {
    let folder = std::env::temp_dir().join(format!("notchspool-whole-{}", std::process::id()));
    let core = "127.77.1.1";
    let (file, of_core) = response(core, Some(&folder), core, "");
    let control = of_core.listener(&file, "controlPlane").unwrap();
    on_a_thread(move || async move {
        let signals = Signals::install().unwrap();
        let settings = CheckedSettings { node: of_core, file, listeners: control };
        notchspool_control_plane::server::run(settings, signals).await.unwrap();
    });
    let proxies = ["127.77.2.1", "127.77.2.2"];
    let seen: Vec<Seen> =
        proxies.iter().zip(["i-1", "i-2"]).map(|(ip, id)| backend(&format!("{ip}:8301"), id)).collect();
    for ip in proxies {
        let (file, response) = response(ip, None, core, "s");
        let [outbound, readiness, control_plane] =
            ["outbound", "readiness", "controlPlane"].map(|name| response.listener(&file, name).unwrap());
        let listeners = Listeners { outbound, readiness, control_plane };
        on_a_thread(move || async move {
            let settings = CheckedSettings { node: response, file, listeners };
            notchspool_data_plane::run::run(settings, Signals::install().unwrap()).await.unwrap();
        });
    }
    let runs = |path: &str| -> usize {
        seen.iter().map(|s| s.lock().unwrap().iter().filter(|r| r.0 == path).count()).sum()
    };

    // A configuration that makes no sense is refused with its place; a sound one is acknowledged and read back as it was sent.
    let bad = CONFIG.replacen("\"service\":\"s\"", "\"service\":\"t\"", 1);
    let refused = until("a refusal", || rpc(core, "config.replace", &bad).filter(|m| status(m) == "400"));
    assert!(String::from_utf8_lossy(&refused.2).contains("routes.safe.service"), "{refused:?}");
    assert_eq!(status(&rpc(core, "config.replace", &CONFIG[..200]).unwrap()), "400");
    until("an acknowledgement", || rpc(core, "config.replace", CONFIG).filter(|m| status(m) == "200"));
    assert_eq!(rpc(core, "config.read", "").unwrap().2, CONFIG.as_bytes());

    until("beats are taken", || {
        proxies.iter().zip(["i-1", "i-2"]).all(|(ip, id)| heartbeat(ip, id, "ready", 1)).then_some(())
    });
    assert_eq!(status(&rpc(proxies[0], "instances.heartbeat&of=i-1", "{").unwrap()), "400");
    for ip in proxies {
        let ready = || call(&format!("{ip}:8302"), "GET /notchspool/ready HTTP/1.1\r\nhost: x", "");
        until("a proxy is ready", || ready().filter(|m| status(m) == "200"));
    }

    // Answers come from both backends, unchanged, with the calling service set here and nowhere else.
    until("both backends are used", || {
        let answer = request("/a/1?q=2", "t-1", "")?;
        assert_eq!(
            (status(&answer), answer.1.get("notchspool-attempt-id").map(String::as_str)),
            ("200", Some("t-1"))
        );
        assert!(String::from_utf8_lossy(&answer.2).ends_with(" /a/1?q=2"), "{answer:?}");
        seen.iter().all(|s| s.lock().unwrap().iter().any(|r| r.0 == "/a/1?q=2")).then_some(())
    });
    for (_, headers) in seen.iter().flat_map(|s| s.lock().unwrap().clone()) {
        assert_eq!(headers.get("notchspool-calling-service").map(String::as_str), Some("s"));
    }
    assert_eq!(status(&request("/none/1", "t-2", "").unwrap()), "404");

    // A large answer comes in pieces and whole; one that is cut short must not look complete.
    let big = request("/big/1", "t-3", "").unwrap();
    assert_eq!((status(&big), big.2.len()), ("200", 600_000));
    assert!(request("/big/cut", "t-4", "").is_none());

    // An answer to another request is passed over; a success without its seal is none.
    let stray = request("/a/stray", "t-5", "").unwrap();
    assert!(String::from_utf8_lossy(&stray.2).ends_with("/a/stray"), "{stray:?}");
    assert_eq!(status(&request("/a/unsealed", "t-6", "").unwrap()), "502");

    // A keyed operation runs once, and a repeat gets the first answer, whatever its attempt.
    let key = "\r\nnotchspool-operation-key: k-1";
    let first = request("/k/1", "t-7", key).unwrap();
    let again = request("/k/1", "t-8", key).unwrap();
    assert_eq!((status(&first), status(&again)), ("200", "200"));
    let seal = |m: &Message| m.1.get("notchspool-server-seal").cloned();
    assert_eq!((seal(&first), &first.2, runs("/k/1")), (seal(&again), &again.2, 1));
    // Each answer has the id of the try that it answers; what can't be told by its id or key is not sent on.
    let id = |m: &Message| m.1.get("notchspool-attempt-id").cloned().unwrap_or_default();
    assert_eq!((id(&first), id(&again)), ("t-7".to_string(), "t-8".to_string()));
    let two_keys = "\r\nnotchspool-operation-key: k-2\r\nnotchspool-operation-key: k-3";
    for odd in ["\r\nnotchspool-operation-key: k-\u{e9}", two_keys, "\r\nnotchspool-attempt-id: other"] {
        assert_eq!(status(&request("/k/2", "t-9", odd).unwrap()), "400", "{odd:?}");
    }
    assert_eq!(runs("/k/2"), 0);

    // Who drains gets nothing new once its part of the drain is over, and who is left takes all.
    assert!(heartbeat(proxies[1], "i-2", "draining", 2));
    assert_eq!(status(&rpc(proxies[1], "instances.leave&of=i-2", "").unwrap()), "200");
    let before = seen[1].lock().unwrap().len();
    for n in 0..20 {
        assert_eq!(status(&request("/a/2", &format!("t-2{n}"), "").unwrap()), "200");
    }
    assert_eq!(seen[1].lock().unwrap().len(), before);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_settings_file_that_makes_no_sense_ends_with_2_and_one_line() {
    let run = |args: &[&str]| {
        std::process::Command::new(env!("CARGO_BIN_EXE_notchspool-proxy"))
            .args(args)
            .env_remove("NOTCHSPOOL_SETTINGS")
            .output()
    };
    let none = run(&[]).unwrap();
    assert_eq!((none.status.code(), none.stderr.iter().filter(|b| **b == b'\n').count()), (Some(2), 1));
    let file = std::env::temp_dir().join(format!("notchspool-half-{}.json", std::process::id()));
    std::fs::write(&file, r#"{"node":"x","zone":"a","ipAddr"#).unwrap();
    let half = run(&["--settings", &file.display().to_string()]).unwrap();
    let line = String::from_utf8_lossy(&half.stderr).into_owned();
    assert_eq!(half.status.code(), Some(2), "{line}");
    assert!(line.contains(&file.display().to_string()) && line.lines().count() == 1, "{line}");
    let _ = std::fs::remove_file(file);
}
