//! `FastCGI` in front of and behind an agent, against stand-ins that fail at every place of a record.
mod standins;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use notchspool_fastcgi::cgi;
use notchspool_fastcgi::client::{self, Answer, ClientLimits, ClientSide, Event};
use notchspool_fastcgi::pairs;
use notchspool_fastcgi::protocol::*;
use notchspool_fastcgi::record::*;
use rstest::rstest;
use standins::*;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Ok,
    /// Says it can take several at once, and waits till so many are there before it answers any.
    Together(usize),
    /// As many, then it ends stdout of the first and dies.
    DieTogether(usize),
    CloseInParams,
    /// In the middle of a record of its answer.
    CloseInAnswer,
    /// A whole answer as soon as params are there.
    AnswerEarly,
    Overloaded,
    AppStatus,
    NoHead,
    NoStatus,
    EndWithoutStdout,
    /// Half an answer, and then nothing.
    StandStill,
    /// A good answer whose second record comes in two halves, with a pause longer than the connect time-out.
    SlowRecord,
    Flood,
    OtherId,
    Hang,
}

/// A `FastCGI` server. `ran` has the ids of all requests whose input came whole.
#[derive(Clone)]
struct Server {
    at: SocketAddr,
    way: Arc<Mutex<Way>>,
    ran: Arc<Mutex<Vec<String>>>,
    aborted: Arc<AtomicUsize>,
    links: Arc<AtomicUsize>,
}

#[derive(Default)]
struct Half {
    id: RequestId,
    params: BytesMut,
    body: usize,
}

fn out(id: RequestId, text: &str) -> BytesMut {
    let mut output = BytesMut::new();
    put_stream(&mut output, RecordType::Stdout, id, text.as_bytes());
    output
}
fn complete_answer(id: RequestId, text: &str, app_status: u32) -> BytesMut {
    let mut output = out(id, text);
    end_stream(&mut output, RecordType::Stdout, id);
    put_end(&mut output, id, app_status, ProtocolStatus::Complete);
    output
}
/// Bytes of a record's header, and the first of its content.
const HALF_RECORD: usize = 9;
const FINE: &str = "Status: 200 OK\r\nX-Own: yes\r\n\r\nok\n";

impl Server {
    fn new(way: Way) -> Server {
        let listener =
            TcpListener::bind(format!("127.{}.8.1:0", std::process::id() % 200 + 30)).expect("a port");
        let server = Server {
            at: listener.local_addr().expect("its address"),
            way: Arc::new(Mutex::new(way)),
            ran: Arc::default(),
            aborted: Arc::default(),
            links: Arc::default(),
        };
        let own = server.clone();
        std::thread::spawn(move || {
            for io in listener.incoming().flatten() {
                own.links.fetch_add(1, Ordering::Relaxed);
                let own = own.clone();
                std::thread::spawn(move || own.serve(io));
            }
        });
        server
    }
    fn set(&self, way: Way) {
        *self.way.lock().expect("way") = way;
    }
    fn ran(&self) -> Vec<String> {
        self.ran.lock().expect("ran").clone()
    }
    fn member(&self) -> String {
        format!("members = [{{ at = \"{}\", size = 4.0 }}]\nprotocol = \"fastcgi\"\n", self.at)
    }
    /// Plays till the connection is over; None then.
    fn serve(&self, mut io: TcpStream) -> Option<()> {
        let (mut came, mut halves, mut waiting) =
            (BytesMut::new(), Vec::<Half>::new(), Vec::<RequestId>::new());
        loop {
            let mut room = [0; 4096];
            let n = io.read(&mut room).ok().filter(|n| *n > 0)?;
            came.extend_from_slice(&room[..n]);
            while let Some(record) = next(&mut came).expect("the agent speaks FastCGI") {
                let way = *self.way.lock().expect("way");
                self.record(&mut io, record, way, &mut halves, &mut waiting)?;
            }
        }
    }
    fn record(
        &self,
        io: &mut TcpStream,
        record: Record,
        way: Way,
        halves: &mut Vec<Half>,
        waiting: &mut Vec<RequestId>,
    ) -> Option<()> {
        let Record { kind, id, content } = record;
        let half = halves.iter().position(|h| h.id == id);
        match kind {
            RecordType::GetValues => {
                let many = if matches!(way, Way::Together(_) | Way::DieTogether(_)) { "1" } else { "0" };
                let mut values = BytesMut::new();
                pairs::put(&mut values, b"FCGI_MPXS_CONNS", many.as_bytes());
                pairs::put(&mut values, b"FCGI_MAX_REQS", b"16");
                let mut output = BytesMut::new();
                put(&mut output, RecordType::GetValuesResult, MANAGEMENT, &values);
                io.write_all(&output).ok()
            }
            RecordType::Begin => {
                halves.push(Half { id, ..Half::default() });
                Some(())
            }
            RecordType::Abort => {
                self.aborted.fetch_add(1, Ordering::Relaxed);
                waiting.retain(|w| *w != id);
                let mut output = BytesMut::new();
                put_end(&mut output, id, 0, ProtocolStatus::Complete);
                io.write_all(&output).ok()
            }
            RecordType::Params if way == Way::CloseInParams => None,
            RecordType::Params if content.is_empty() && way == Way::AnswerEarly => {
                self.noted(&halves[half?]);
                io.write_all(&complete_answer(id, FINE, 0)).ok()
            }
            RecordType::Params => {
                halves[half?].params.extend_from_slice(&content);
                Some(())
            }
            RecordType::Stdin if content.is_empty() => {
                let half = halves.remove(half?);
                if way != Way::AnswerEarly {
                    self.noted(&half);
                    waiting.push(id);
                    return self.answer(io, way, waiting);
                }
                Some(())
            }
            RecordType::Stdin => {
                halves[half?].body += content.len();
                Some(())
            }
            other => panic!("{other:?} from an agent"),
        }
    }
    fn noted(&self, half: &Half) {
        let params = pairs::parse_all(half.params.clone().freeze()).expect("sound params");
        let values = cgi::parse_request(&params).expect("CGI params");
        let id =
            values.headers.iter().find(|h| h.0 == "x-id").map(|h| String::from_utf8_lossy(&h.1).into_owned());
        self.ran.lock().expect("ran").push(id.unwrap_or_default());
    }
    fn answer(&self, io: &mut TcpStream, way: Way, waiting: &mut Vec<RequestId>) -> Option<()> {
        let id = *waiting.last()?;
        let output = match way {
            Way::Ok | Way::CloseInParams | Way::AnswerEarly => complete_answer(id, FINE, 0),
            Way::Together(many) | Way::DieTogether(many) if waiting.len() < many => return Some(()),
            Way::Together(_) => {
                // The last first, so that only ids tell whose is whose.
                let all = waiting
                    .drain(..)
                    .rev()
                    .map(|id| complete_answer(id, &FINE.replace("ok", &format!("ok {}", id.0)), 0));
                return io.write_all(&all.flat_map(|b| b.to_vec()).collect::<Vec<u8>>()).ok();
            }
            Way::DieTogether(_) => {
                let mut output = out(waiting[0], FINE);
                end_stream(&mut output, RecordType::Stdout, waiting[0]);
                io.write_all(&output).ok()?;
                return None;
            }
            Way::CloseInAnswer => {
                let output = complete_answer(id, FINE, 0);
                io.write_all(&output[..output.len() / 2]).ok()?;
                return None;
            }
            Way::Overloaded => {
                // It never ran, whatever was noted.
                self.ran.lock().expect("ran").pop();
                let mut output = BytesMut::new();
                put_end(&mut output, id, 0, ProtocolStatus::Overloaded);
                output
            }
            Way::AppStatus => complete_answer(id, FINE, 3),
            Way::NoHead => complete_answer(id, "what is this", 0),
            Way::NoStatus => complete_answer(id, "X-Own: yes\r\n\r\nok\n", 0),
            Way::EndWithoutStdout => {
                let mut output = out(id, FINE);
                put_end(&mut output, id, 0, ProtocolStatus::Complete);
                output
            }
            Way::StandStill => {
                waiting.pop();
                return io.write_all(&out(id, "Status: 200 OK\r\n")).ok();
            }
            Way::SlowRecord => {
                waiting.pop();
                let (head, body) = FINE.split_at(FINE.len() - 3);
                io.write_all(&out(id, head)).ok()?;
                let mut rest = out(id, body);
                end_stream(&mut rest, RecordType::Stdout, id);
                put_end(&mut rest, id, 0, ProtocolStatus::Complete);
                io.write_all(&rest[..HALF_RECORD]).ok()?;
                std::thread::sleep(Duration::from_millis(700));
                io.write_all(&rest[HALF_RECORD..]).ok()?;
                return Some(());
            }
            Way::Flood => {
                let mut output = BytesMut::new();
                (0..40).for_each(|_| put(&mut output, RecordType::Stderr, id, &[b'e'; 4000]));
                output.extend_from_slice(&complete_answer(id, FINE, 0));
                output
            }
            Way::OtherId => complete_answer(RequestId(id.0.wrapping_add(7)), FINE, 0),
            Way::Hang => return Some(()),
        };
        waiting.pop();
        io.write_all(&output).ok()
    }
}

fn routes(pool: &str) -> String {
    route("pay", "pay", pool) + &route("look", "look", pool)
}

fn pool_of(server: &Server) -> String {
    format!("[[pool]]\nname = \"f\"\n{}", server.member())
}

/// What a once-only txn comes to, by how its server fails: whether it is declined (asking again is harmless) or
/// reversed, and never run twice.
#[rstest]
#[case::ok(Way::Ok, 200)]
#[case::early(Way::AnswerEarly, 200)]
#[case::no_status(Way::NoStatus, 200)]
#[case::in_params(Way::CloseInParams, 502)]
#[case::in_answer(Way::CloseInAnswer, 502)]
#[case::overloaded(Way::Overloaded, 503)]
#[case::app_status(Way::AppStatus, 502)]
#[case::no_head(Way::NoHead, 502)]
#[case::no_end(Way::EndWithoutStdout, 502)]
#[case::flood(Way::Flood, 502)]
#[case::other_id(Way::OtherId, 502)]
#[case::hang(Way::Hang, 502)]
#[case::stands_still(Way::StandStill, 502)]
#[case::slow_record(Way::SlowRecord, 200)]
fn a_non_idempotent_request_runs_once_however_its_server_fails(#[case] way: Way, #[case] status: u16) {
    let server = Server::new(way);
    let agent = AgentProcess::start(
        &format!("fcgi-{status}-{}", server.at.port()),
        &(pool_of(&server) + &routes("f")),
    );
    let found = agent.status("POST", "/pay", "once");
    assert_eq!(found, status, "{way:?}");
    let ran = server.ran();
    assert!(ran.iter().filter(|id| *id == "once").count() <= 1, "{ran:?}");
    // And it goes on: nothing of the failure is left on a connection that is used again.
    server.set(Way::Ok);
    let mut n = 0;
    agent.wait("it serves again", || {
        n += 1;
        agent.status("POST", "/pay", &format!("again-{n}")) == 200
    });
    let mut ids = server.ran();
    let all = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), all, "no id twice");
}

#[test]
fn several_share_a_connection_where_the_server_can() {
    let server = Server::new(Way::Together(4));
    let agent = AgentProcess::start("fcgi-mpx", &(pool_of(&server) + &routes("f")));
    server.set(Way::Together(1));
    agent.wait("it is known what it can", || agent.status("GET", "/look", "first") == 200);
    server.set(Way::Together(3));
    let before = server.links.load(Ordering::Relaxed);
    std::thread::scope(|scope| {
        let all: Vec<_> = (0..3)
            .map(|n| {
                scope.spawn({
                    let agent = &agent;
                    move || agent.status("POST", "/pay", &format!("m{n}"))
                })
            })
            .collect();
        let all: Vec<u16> = all.into_iter().map(|one| one.join().expect("ended")).collect();
        assert_eq!(all, [200; 3], "answered only once all three were there");
    });
    assert_eq!(server.links.load(Ordering::Relaxed), before, "all on the one connection");
    server.set(Way::DieTogether(3));
    std::thread::scope(|scope| {
        let all: Vec<_> = (0..3)
            .map(|n| {
                scope.spawn({
                    let agent = &agent;
                    move || agent.status("POST", "/pay", &format!("d{n}"))
                })
            })
            .collect();
        let all: Vec<u16> = all.into_iter().map(|one| one.join().expect("ended")).collect();
        assert_eq!(
            all, [502; 3],
            "a stdout that ended is no answer without its end, and the others may have run"
        );
    });
    let ran = server.ran();
    for n in 0..3 {
        assert_eq!(ran.iter().filter(|id| **id == format!("d{n}")).count(), 1);
    }
}

/// A `FastCGI` client of the agent.
struct Client {
    io: TcpStream,
    client: ClientSide,
    response: Vec<Answer>,
}

impl Client {
    fn new(at: SocketAddr) -> Client {
        let io = TcpStream::connect(at).expect("it listens");
        io.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
        Client {
            io,
            client: ClientSide::new(ClientLimits { stdout: 100_000, stderr: 1000 }),
            response: Vec::new(),
        }
    }
    fn bytes(&mut self, id: u16, method: &str, path: &str, x_id: &str) -> Bytes {
        let headers = [("x-id", x_id.as_bytes())];
        let body: &[u8] = if method == "POST" { b"hello" } else { b"" };
        let params = cgi::request_params(method, path, headers.into_iter(), body.len());
        self.client.expect_answer(RequestId(id));
        client::encode_request(RequestId(id), true, &params, body).bytes
    }
    fn say(&mut self, bytes: &[u8]) {
        self.io.write_all(bytes).expect("written");
    }
    /// The answer to this id: status (0: none), how it ended, the body.
    fn hear(&mut self, id: u16) -> (u16, ProtocolStatus, String) {
        let answer = self.complete_answer(id);
        let read = cgi::parse_answer(&answer.stdout);
        let status = read.as_ref().map_or(0, |r| r.status);
        let body = read.map(|r| String::from_utf8_lossy(&r.body).into_owned()).unwrap_or_default();
        (status, answer.status, body)
    }
    /// The same as it came.
    fn complete_answer(&mut self, id: u16) -> Answer {
        loop {
            if let Some(at) = self.response.iter().position(|a| a.id == RequestId(id)) {
                return self.response.remove(at);
            }
            let mut room = [0; 4096];
            let n = self.io.read(&mut room).expect("an answer");
            assert!(n > 0, "the connection ended");
            let mut events = Vec::new();
            self.client.receive(&room[..n], &mut events).expect("the agent speaks FastCGI");
            self.response.extend(
                events.into_iter().filter_map(|e| if let Event::Answered(a) = e { Some(a) } else { None }),
            );
        }
    }
}

/// A second listener that speaks `FastCGI`, at a free port.
fn fast_door() -> (SocketAddr, String) {
    let free = unused();
    (free, format!("[[listen]]\nname = \"fast\"\nat = \"{free}\"\nprotocol = \"fastcgi\"\n"))
}

#[test]
fn all_four_pairings_serve() {
    let (server, stand) = (Server::new(Way::Ok), Stand::new(Mode::Ok));
    let (at, door) = fast_door();
    let text = pool_of(&server)
        + &pool("h", std::slice::from_ref(&stand), "")
        + &door
        + &route("fast", "pay", "f")
        + &route("http", "pay", "h");
    let agent = AgentProcess::start("fcgi-pairs", &text);
    assert_eq!(agent.status("POST", "/fast", "hf"), 200);
    assert_eq!(agent.status("POST", "/http", "hh"), 200);
    let mut client = Client::new(at);
    let all: Vec<u8> = [(1, "/fast", "ff"), (2, "/http", "fh"), (3, "/none", "fn")]
        .into_iter()
        .flat_map(|(id, path, x)| client.bytes(id, "POST", path, x))
        .collect();
    // In pieces that end in the middle of heads and pairs.
    for piece in all.chunks(7) {
        client.say(piece);
    }
    assert_eq!(client.hear(2), (200, ProtocolStatus::Complete, "ok\n".into()));
    assert_eq!(client.hear(1), (200, ProtocolStatus::Complete, "ok\n".into()));
    let (status, _, body) = client.hear(3);
    assert!(status == 404 && body.starts_with("NO_ROUTE"), "{status} {body}");
    assert_eq!(server.ran(), ["hf", "ff"]);
    assert_eq!(stand.seen(), ["hh", "fh"]);
}

#[test]
fn a_client_that_aborts_gets_its_end_and_may_use_the_id_at_once() {
    let (server, (at, door)) = (Server::new(Way::Hang), fast_door());
    let agent = AgentProcess::start("fcgi-abort", &(pool_of(&server) + &door + &routes("f")));
    let mut client = Client::new(at);
    let request_bytes = client.bytes(5, "POST", "/pay", "first");
    client.say(&request_bytes);
    agent.wait("it is out", || server.ran() == ["first"]);
    server.set(Way::Ok);
    client.say(&client::encode_abort(RequestId(5)));
    assert_eq!(client.hear(5).1, ProtocolStatus::Complete);
    let request_bytes = client.bytes(5, "POST", "/pay", "second");
    client.say(&request_bytes);
    assert_eq!(client.hear(5), (200, ProtocolStatus::Complete, "ok\n".into()));
    agent.wait("the first was let go", || agent.counter("now_in_hand") == 0);
    assert_eq!(server.ran(), ["first", "second"]);
}

#[test]
fn overload_is_reported_only_where_nothing_can_have_run() {
    let (server, (at, door)) = (Server::new(Way::Overloaded), fast_door());
    let agent = AgentProcess::start("fcgi-full", &(pool_of(&server) + &door + &routes("f")));
    let mut client = Client::new(at);
    let request_bytes = client.bytes(1, "POST", "/pay", "a");
    client.say(&request_bytes);
    assert_eq!(client.hear(1).1, ProtocolStatus::Overloaded, "turned away by all");
    server.set(Way::CloseInAnswer);
    agent.wait("it is tried again", || {
        let request_bytes = client.bytes(1, "POST", "/pay", "b");
        client.say(&request_bytes);
        let (status, ended, _) = client.hear(1);
        assert!(
            ended == ProtocolStatus::Overloaded || (status, ended) == (502, ProtocolStatus::Complete),
            "{status} {ended:?}"
        );
        status == 502
    });
}

#[test]
fn half_params_and_then_silence_end_the_connection() {
    let (server, (at, door)) = (Server::new(Way::Ok), fast_door());
    let agent = AgentProcess::start("fcgi-half", &(pool_of(&server) + &door + &routes("f")));
    let mut client = Client::new(at);
    let request_bytes = client.bytes(1, "POST", "/pay", "a");
    client.say(&request_bytes[..40]);
    assert_eq!(client.io.read(&mut [0; 10]).expect("an end"), 0);
    let mut client = Client::new(at);
    client.say(&[9; 20]);
    assert_eq!(client.io.read(&mut [0; 10]).expect("an end"), 0, "what is no FastCGI ends at once");
    assert!(agent.counter("bad_requests") == 1 && server.ran().is_empty());
}

#[test]
fn a_decline_crosses_from_one_protocol_to_the_other() {
    let (server, stand) = (Server::new(Way::Overloaded), Stand::new(Mode::Down));
    let (at, door) = fast_door();
    let text = pool_of(&server)
        + &pool("h", std::slice::from_ref(&stand), "")
        + &door
        + &route("fast", "pay", "f")
        + &route("http", "pay", "h");
    let agent = AgentProcess::start("fcgi-declines", &text);
    let mut client = Client::new(at);
    let request_bytes = client.bytes(1, "POST", "/http", "a");
    client.say(&request_bytes);
    assert_eq!(
        client.hear(1).1,
        ProtocolStatus::Overloaded,
        "an HTTP backend that is not there, told in FastCGI"
    );
    let response = agent.ask("POST", "/fast", "X-Id: b\r\n").expect("heard");
    assert!(
        response.first.contains("503") && !response.header("retry-after").is_empty(),
        "the reverse: {}",
        response.first
    );
    assert!(server.ran().is_empty() && stand.seen().is_empty());
}

#[test]
fn a_backend_that_goes_ends_what_its_shared_connection_holds() {
    let (server, other) = (Server::new(Way::Together(1)), Stand::new(Mode::Ok));
    let drain = "drain_grace_ms = 200.0";
    let both = |members: String| {
        format!("[[pool]]\nname = \"f\"\n{members}{drain}\n")
            + &pool("h", std::slice::from_ref(&other), "")
            + &routes("f")
            + &route("h", "look", "h")
    };
    let agent = AgentProcess::start("fcgi-drain", &both(server.member()));
    agent.wait("it is known what it can", || agent.status("GET", "/look", "first") == 200);
    server.set(Way::Together(2));
    let next = Server::new(Way::Ok);
    std::thread::scope(|scope| {
        let held = scope.spawn(|| agent.status("POST", "/pay", "held-1"));
        agent.wait("it is out", || server.ran().len() == 2);
        agent.change(&both(next.member()));
        agent.wait("taken", || agent.counter("files_taken") == 1);
        for n in 0..5 {
            assert_eq!(agent.status("POST", "/pay", &format!("new-{n}")), 200);
        }
        // One more on its connection, from the outside of the agent, is not to be had: it answers none till two are there.
        server.set(Way::Together(1));
        assert_eq!(
            held.join().expect("an answer"),
            502,
            "it waited for it under the terms it was taken with"
        );
    });
    assert_eq!(server.ran(), ["first", "held-1"], "nothing new went there");
    assert_eq!(next.ran().len(), 5);
}

/// Many answers and none of them read: what the system holds for a connection is full, and the agent can write no more. The room that these
/// txns held is given back, and others are served.
#[test]
fn whoever_reads_nothing_gives_its_room_back() {
    let stands: Vec<Stand> = (0..4).map(|_| Stand::new(Mode::Large)).collect();
    let (at, door) = fast_door();
    let text = pool("a", &stands, "") + &door + &route("look", "look", "a") + "[limits]\nmemory_mb = 32\n";
    let agent = AgentProcess::start("fcgi-unread", &text);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::new(at)).collect();
    for batch in 0..6u16 {
        for client in &mut clients {
            client.io.set_write_timeout(Some(Duration::from_millis(100))).expect("a time-out");
            for id in 1..=30 {
                let request_bytes = client.bytes(batch * 30 + id, "GET", "/look", "unread");
                let _ = client.io.write_all(&request_bytes);
            }
        }
        std::thread::sleep(Duration::from_millis(150));
    }
    agent.wait("the room is given back", || agent.pool_line("a").starts_with("pool a in_hand 0 "));
    stands.iter().for_each(|s| s.set(Mode::Ok));
    agent.wait("others are served", || (0..10).all(|n| agent.status("GET", "/look", &n.to_string()) == 200));
    agent.wait("told", || agent.log().contains("CALL_STUCK"));
}

/// Halves of many requests on many connections: bounded together, whatever each alone may hold; who holds most makes way.
#[test]
fn halves_of_requests_are_bounded_over_all_connections() {
    let stand = Stand::new(Mode::Ok);
    let (at, door) = fast_door();
    let text =
        pool("a", std::slice::from_ref(&stand), "") + &door + &routes("a") + "[limits]\nmemory_mb = 32\n";
    let agent = AgentProcess::start("fcgi-halves", &text);
    let mut clients: Vec<Client> = (0..150).map(|_| Client::new(at)).collect();
    let mut most = 0;
    for client in &mut clients {
        client.io.set_write_timeout(Some(Duration::from_millis(100))).expect("a time-out");
        for id in 1..=20 {
            // All of a request but the end of its input.
            let params = cgi::request_params("POST", "/pay", std::iter::empty(), 60_000);
            let request_bytes = client::encode_request(RequestId(id), true, &params, &[b'x'; 60_000]).bytes;
            if client.io.write_all(&request_bytes[..request_bytes.len() - 8]).is_err() {
                break;
            }
        }
        most = most.max(agent.memory_kb());
    }
    println!("at most {most} kB while halves came");
    assert!(most < 32 * 1024, "{most} kB while halves came");
    assert_eq!(agent.status("POST", "/pay", "other"), 200);
    agent.wait("told", || agent.counter("halves_full") > 0 && agent.log().contains("CALL_MADE_WAY"));
    let mut client = Client::new(at);
    let request_bytes = client.bytes(1, "POST", "/pay", "fast");
    client.say(&request_bytes);
    assert_eq!(client.hear(1), (200, ProtocolStatus::Complete, "ok\n".into()));
}

/// A refusal says on both fronts when to come back, and why.
#[test]
fn a_refusal_by_fastcgi_says_when_to_come_back() {
    let failing: Vec<Stand> = (0..12).map(|_| Stand::new(Mode::Hang)).collect();
    let (at, door) = fast_door();
    let text = pool("a", &failing, "part = 0.1") + &door + &routes("a") + "[limits]\nmemory_mb = 8\n";
    let agent = AgentProcess::start("fcgi-refusal", &text);
    let mut clients: Vec<Client> = (0..4).map(|_| Client::new(at)).collect();
    for client in &mut clients {
        for id in 1..=30 {
            let request_bytes = client.bytes(id, "POST", "/pay", &id.to_string());
            client.say(&request_bytes);
        }
    }
    agent.wait("it is full", || agent.counter("POOL_FULL") > 0);
    let refused = clients.iter_mut().find_map(|client| {
        (1..=30).map(|id| client.complete_answer(id)).find(|answer| {
            answer.status == ProtocolStatus::Overloaded
                && String::from_utf8_lossy(&answer.stdout).contains("POOL_FULL")
        })
    });
    let output = String::from_utf8_lossy(&refused.expect("a refusal").stdout).into_owned();
    assert!(output.starts_with("Status: 503") && output.contains("retry-after: 0.050"), "{output}");
}
