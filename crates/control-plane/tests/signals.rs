//! The real program under the signals that a platform sends. Each wait is for a line of its log, within a generous bound.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_secs(30);

struct Program {
    child: Child,
    lines: Receiver<String>,
    folder: PathBuf,
    ip: &'static str,
}

fn settings(folder: &Path, ip: &str, seeds: &[&str]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}:8306\"")).collect();
    format!(
        r#"{{"node":"core-1","zone":"a","ipAddress":"{ip}","portRange":[7620,7635],"listenAddresses":{{"controlPlane":"{ip}:8306"}},
        "seedNodes":[{}],"firstStart":true,"dataPath":{:?},"beatIntervalS":1.5,"bounds":["graceS=6","keyWindowS=60"]}}"#,
        seeds.join(","),
        folder.join("data").display().to_string()
    )
}

impl Program {
    fn start(name: &str, ip: &'static str, before: impl Fn(&Path)) -> Program {
        let folder = std::env::temp_dir().join(format!("notchspool-signals-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        before(&folder);
        std::fs::write(folder.join("node.json"), settings(&folder, ip, &[ip])).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_notchspool-control-plane"))
            .env("NOTCHSPOOL_SETTINGS", folder.join("node.json"))
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, lines) = channel();
        let log = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || log.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok()));
        Program { child, lines, folder, ip }
    }

    fn expect_log_line(&self, what: &str) {
        loop {
            match self.lines.recv_timeout(BOUND) {
                Ok(line) if line.contains(what) => return,
                Ok(_) => {}
                Err(e) => panic!("it never said {what:?}: {e}"),
            }
        }
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// An operator's call, made again till it is taken.
    fn takes(&self, version: u64) {
        let end = Instant::now() + BOUND;
        while self.replace(version) != 200 {
            assert!(Instant::now() < end, "version {version} was never taken");
            std::thread::yield_now();
        }
    }

    fn replace(&self, version: u64) -> u16 {
        let body = format!(r#"{{"version":{version},"routes":{{}},"services":{{}}}}"#);
        let mut stream = TcpStream::connect((self.ip, 8306)).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
        write!(
            stream,
            "POST /notchspool/rpc?call=config.replace HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or_else(|| panic!("no answer: {answer:?}"))
    }

    fn rewrite(&self, text: &str) {
        let aside = self.folder.join("node.new");
        std::fs::write(&aside, text).unwrap();
        std::fs::rename(aside, self.folder.join("node.json")).unwrap();
    }

    fn ends_in_order(mut self) {
        assert_eq!(self.child.try_wait().unwrap(), None, "it ended by itself");
        self.signal("-TERM");
        self.expect_log_line("ends on SIGTERM");
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn hangup_twice_in_a_row_reads_the_settings_and_ends_nothing() {
    let program = Program::start("twice", "127.0.81.1", |_| {});
    program.expect_log_line("listens at");
    program.takes(3);
    program.rewrite(&settings(&program.folder, program.ip, &[program.ip, "127.0.81.9"]));
    program.signal("-HUP");
    program.signal("-HUP");
    program.expect_log_line("settings have changed");
    program.takes(4);
    program.ends_in_order();
}

#[test]
fn settings_rewritten_without_a_signal_are_read_and_senseless_ones_change_nothing() {
    let program = Program::start("silent", "127.0.81.2", |_| {});
    program.expect_log_line("listens at");
    program.rewrite(&settings(&program.folder, program.ip, &["127.0.81.9"]));
    program.expect_log_line("settings have changed");
    let complete = settings(&program.folder, program.ip, &[program.ip]);
    program.rewrite(&complete[..complete.len() / 2]);
    program.signal("-HUP");
    program.expect_log_line("settings stay as they were");
    program.takes(5);
    program.ends_in_order();
}

#[test]
fn hangup_before_it_listens_ends_nothing() {
    // Where its folder can't be made it waits for the disk, and listens to nobody yet.
    let program = Program::start("early", "127.0.81.3", |folder| {
        std::fs::write(folder.join("data"), "in the way").unwrap();
    });
    program.expect_log_line("can't open the folder");
    program.signal("-HUP");
    program.signal("-HUP");
    std::fs::remove_file(program.folder.join("data")).unwrap();
    program.expect_log_line("listens at");
    program.takes(6);
    program.ends_in_order();
}
