//! What the real program answers an operator: alone in its set of voters, and as one of three whose others never come.
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_secs(30);
/// Callers go elsewhere after this.
const CALLER: Duration = Duration::from_secs(1);

struct Program {
    child: Child,
    folder: PathBuf,
    ip: &'static str,
}

impl Program {
    fn start(name: &str, ip: &'static str, seeds: &[&str]) -> Program {
        let folder = std::env::temp_dir().join(format!("notchspool-answers-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}:8307\"")).collect();
        let text = format!(
            r#"{{"node":"core-1","zone":"a","ipAddress":"{ip}","portRange":[7640,7655],"listenAddresses":{{"controlPlane":"{ip}:8307"}},
            "seedNodes":[{}],"firstStart":true,"dataPath":{:?},"beatIntervalS":1.5,"bounds":["graceS=6","keyWindowS=60"]}}"#,
            seeds.join(","),
            folder.join("data").display().to_string()
        );
        std::fs::write(folder.join("node.json"), text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_notchspool-control-plane"))
            .env("NOTCHSPOOL_SETTINGS", folder.join("node.json"))
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Program { child, folder, ip }
    }

    /// Status, head and body; none while it does not listen.
    fn request(&self, line: &str, body: &str) -> Option<(u16, String, String)> {
        let mut stream = TcpStream::connect((self.ip, 8307)).ok()?;
        stream.set_read_timeout(Some(BOUND)).unwrap();
        let length = body.len();
        write!(
            stream,
            "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        Some((head.split(' ').nth(1)?.parse().ok()?, head.to_ascii_lowercase(), body.to_string()))
    }

    fn put(&self, body: &str) -> (u16, String, String) {
        self.request("POST /notchspool/rpc?call=config.replace", body).unwrap()
    }

    fn until(&self, what: &str, is: impl Fn(u16, &str) -> bool) -> (u16, String, String) {
        let end = Instant::now() + BOUND;
        loop {
            let found = self.request("GET /notchspool/ready", "");
            match found {
                Some(answer) if is(answer.0, &answer.2) => return answer,
                _ => assert!(Instant::now() < end, "{what}: {found:?}"),
            }
            std::thread::yield_now();
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn body(version: u64, note: &str) -> String {
    format!(r#"{{"version":{version},"routes":{{}},"services":{{}},"note":"{note}"}}"#)
}

#[test]
fn one_body_for_a_number_and_a_clear_no_to_another() {
    let program = Program::start("one", "127.77.1.1", &["127.77.1.1"]);
    program.until("it is confirmed", |status, _| status == 200);
    assert_eq!(program.put(&body(5, "x")).0, 200);
    let (status, _, why) = program.put(&body(5, "y"));
    assert_eq!((status, why.as_str()), (409, "not taken: another body holds under 5; version 5 is in force"));
    assert_eq!(program.put(&body(9, "z")).0, 200);
    let again = body(5, "x").replace(":{}", ": {}");
    assert_eq!((program.put(&again).0, program.put(&body(5, "y")).0), (200, 409));
    let (status, _, read) = program.request("POST /notchspool/rpc?call=config.read", "").unwrap();
    assert_eq!((status, read), (200, body(9, "z")));
    assert_eq!(program.until("it is confirmed", |status, _| status == 200).2, "version 9 is the newest");
}

#[test]
fn without_a_majority_callers_are_sent_on_within_a_second() {
    let program = Program::start("three", "127.77.2.1", &["127.77.2.1", "127.77.2.2", "127.77.2.3"]);
    program.until("it names the others", |status, why| status == 503 && why.contains("127.77.2.2:8307"));
    for line in ["POST /notchspool/rpc?call=config.replace", "POST /notchspool/rpc?call=config.read"] {
        let called_at = Instant::now();
        let (status, head, why) = program.request(line, &body(5, "x")).unwrap();
        assert!(called_at.elapsed() < CALLER, "{:?}", called_at.elapsed());
        assert_eq!(status, 503, "{why}");
        let place = line.trim_start_matches("POST ");
        let elsewhere = ["127.77.2.2", "127.77.2.3"].map(|ip| format!("location: http://{ip}:8307{place}"));
        assert!(elsewhere.iter().any(|l| head.contains(l.as_str())), "{head}");
        assert!(why.contains("nothing was done; ask 127.77.2."), "{why}");
    }
}
