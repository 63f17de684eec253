//! Both sides by random bytes: whatever is written, cut anywhere and mixed, is read as it was meant; what is wrong is
//! named; nothing panics.
use bytes::{BufMut, Bytes, BytesMut};
use notchspool_fastcgi::client::{self, ClientLimits, ClientSide};
use notchspool_fastcgi::pairs::{self, Pair};
use notchspool_fastcgi::protocol::*;
use notchspool_fastcgi::record::*;
use notchspool_fastcgi::server::{self, ServerLimits, ServerSide};
use notchspool_fastcgi::{ProtocolError, cgi};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn steady(cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases)
    }
}

const BOUNDS: ServerLimits = ServerLimits { requests: 8, params: 70_000, body: 70_000 };
const ANSWERS: ClientLimits = ClientLimits { stdout: 70_000, stderr: 1000 };

/// Bytes in pieces of these lengths, round and round.
fn cut(bytes: &[u8], cuts: &[usize]) -> Vec<Vec<u8>> {
    let (mut pieces, mut at, mut n) = (Vec::new(), 0, 0);
    while at < bytes.len() {
        let end = (at + cuts[n % cuts.len()].max(1)).min(bytes.len());
        pieces.push(bytes[at..end].to_vec());
        (at, n) = (end, n + 1);
    }
    pieces
}

/// A record with any padding.
fn padded(into: &mut BytesMut, kind: RecordType, id: RequestId, content: &[u8], padding: u8) {
    into.put_slice(&[1, kind.number()]);
    into.put_u16(id.0);
    into.put_u16(content.len() as u16);
    into.put_slice(&[padding, 0]);
    into.put_slice(content);
    into.put_bytes(0xee, padding.into());
}

/// The records of one request, its streams in pieces of this length.
fn records(id: RequestId, params: &[Pair], body: &[u8], piece: usize, padding: u8) -> Vec<Bytes> {
    let mut all = Vec::new();
    let mut one = |kind, content: &[u8]| {
        let mut bytes = BytesMut::new();
        padded(&mut bytes, kind, id, content, padding);
        all.push(bytes.freeze());
    };
    one(RecordType::Begin, &[0, 1, FLAG_KEEP_CONNECTION, 0, 0, 0, 0, 0]);
    let mut encoded_params = BytesMut::new();
    params.iter().for_each(|pair| pairs::put(&mut encoded_params, &pair.name, &pair.value));
    encoded_params.chunks(piece).for_each(|c| one(RecordType::Params, c));
    one(RecordType::Params, &[]);
    body.chunks(piece).for_each(|c| one(RecordType::Stdin, c));
    one(RecordType::Stdin, &[]);
    all
}

/// Rows of records, one of each in turn as the picks say; the order within a row stays.
fn mix(rows: Vec<Vec<Bytes>>, picks: &[usize]) -> Vec<u8> {
    let mut rows: Vec<std::collections::VecDeque<Bytes>> = rows.into_iter().map(Into::into).collect();
    let (mut out, mut n) = (Vec::new(), 0);
    loop {
        rows.retain(|row| !row.is_empty());
        if rows.is_empty() {
            return out;
        }
        let at = picks[n % picks.len()] % rows.len();
        n += 1;
        out.extend_from_slice(&rows[at].pop_front().expect("not empty"));
    }
}

fn pair() -> impl Strategy<Value = Pair> {
    (vec(any::<u8>(), 0..200), vec(any::<u8>(), 0..300))
        .prop_map(|(n, v)| Pair { name: n.into(), value: v.into() })
}

proptest! {
    #![proptest_config(steady(150))]

    #[test]
    fn requests_that_are_cut_and_mixed_are_read_completely(
        requests in vec((vec(pair(), 0..6), vec(any::<u8>(), 0..900)), 1..7),
        cuts in vec(1usize..200, 1..20), picks in vec(0usize..7, 1..40),
        piece in 1usize..300, padding in any::<u8>(),
    ) {
        let id = |n: usize| RequestId(n as u16 * 257 + 1);
        let rows = requests.iter().enumerate().map(|(n, (p, b))| records(id(n), p, b, piece, padding)).collect();
        let (mut server, mut events) = (ServerSide::new(BOUNDS), Vec::new());
        for piece in cut(&mix(rows, &picks), &cuts) {
            server.receive(&piece, &mut events).expect("nothing is wrong");
        }
        prop_assert_eq!(events.len(), requests.len());
        for event in events {
            let server::Event::Request(request) = event else { panic!("{event:?}") };
            let n = (request.id.0 as usize - 1) / 257;
            prop_assert_eq!(&request.params, &requests[n].0);
            prop_assert_eq!(&request.body[..], &requests[n].1[..]);
        }
        prop_assert_eq!(server.open_requests(), requests.len());
    }

    #[test]
    fn answers_that_are_cut_and_mixed_come_to_their_requests(
        outputs in vec((vec(any::<u8>(), 0..900), vec(any::<u8>(), 0..50), any::<u32>()), 1..7),
        cuts in vec(1usize..200, 1..20), picks in vec(0usize..7, 1..40), piece in 1usize..300,
    ) {
        let mut client = ClientSide::new(ANSWERS);
        let mut rows = Vec::new();
        for (n, (out, err, status)) in outputs.iter().enumerate() {
            let id = RequestId(n as u16 + 1);
            client.expect_answer(id);
            let mut row = Vec::new();
            let mut one = |kind, content: &[u8]| {
                let mut bytes = BytesMut::new();
                put(&mut bytes, kind, id, content);
                row.push(bytes.freeze());
            };
            err.chunks(piece).for_each(|c| one(RecordType::Stderr, c));
            out.chunks(piece).for_each(|c| one(RecordType::Stdout, c));
            one(RecordType::Stdout, &[]);
            let mut end = BytesMut::new();
            put_end(&mut end, id, *status, ProtocolStatus::Complete);
            row.push(end.freeze());
            rows.push(row);
        }
        let mut events = Vec::new();
        for piece in cut(&mix(rows, &picks), &cuts) {
            client.receive(&piece, &mut events).expect("nothing is wrong");
        }
        let answers: Vec<&client::Answer> = events.iter().filter_map(|e| match e {
            client::Event::Answered(answer) => Some(answer),
            _ => None,
        }).collect();
        prop_assert_eq!(answers.len(), outputs.len());
        for answer in answers {
            let (out, err, status) = &outputs[answer.id.0 as usize - 1];
            prop_assert_eq!(&answer.stdout[..], &out[..]);
            prop_assert_eq!(&answer.stderr[..], &err[..]);
            prop_assert!(answer.is_complete && answer.app_status == *status);
        }
        prop_assert!(!client.has_partial_record());
    }

    #[test]
    fn an_encoded_request_is_read_and_so_is_its_answer(
        params in vec(pair(), 0..6), body in vec(any::<u8>(), 0..900), answer in vec(any::<u8>(), 0..900),
        keep in any::<bool>(),
    ) {
        let (mut client, mut server) = (ClientSide::new(ANSWERS), ServerSide::new(BOUNDS));
        let requests = client::encode_request(RequestId(7), keep, &params, &body);
        client.expect_answer(RequestId(7));
        let mut events = Vec::new();
        // Up to where a server may begin it has nothing to begin with.
        server.receive(&requests.bytes[..requests.begins_at - 1], &mut events).expect("sound");
        prop_assert!(events.is_empty());
        server.receive(&requests.bytes[requests.begins_at - 1..], &mut events).expect("sound");
        let is_complete = matches!(&events[..], [server::Event::Request(r)] if r.params == params && r.body == body);
        prop_assert!(is_complete);
        let answered = server.answer(RequestId(7), &answer, ProtocolStatus::Complete).expect("it is open");
        prop_assert_eq!(answered.closes_connection, !keep);
        let mut client_events = Vec::new();
        client.receive(&answered.bytes, &mut client_events).expect("sound");
        let Some(client::Event::Answered(a)) = client_events.last() else { panic!("{client_events:?}") };
        prop_assert!(a.is_complete && a.stdout == answer && a.status == ProtocolStatus::Complete);
        prop_assert!(server.answer(RequestId(7), b"", ProtocolStatus::Complete).is_none(), "once");
    }
}

proptest! {
    #![proptest_config(steady(3000))]

    #[test]
    fn no_bytes_do_harm(noise in vec(any::<u8>(), 0..400), cuts in vec(1usize..50, 1..5), shape in any::<bool>()) {
        // Half of them look like records, so that they get further.
        let mut bytes = noise.clone();
        if shape {
            for at in (0..bytes.len()).step_by(24) {
                let n = bytes.len();
                for (k, v) in [(0, 1), (1, bytes[at] % 13), (2, 0), (3, bytes[at] % 3), (4, 0), (5, 16), (6, 0)] {
                    if at + k < n {
                        bytes[at + k] = v;
                    }
                }
            }
        }
        let (mut server, mut client) = (ServerSide::new(BOUNDS), ClientSide::new(ANSWERS));
        client.expect_answer(RequestId(1));
        let (mut a, mut b) = (Vec::new(), Vec::new());
        let pieces = cut(&bytes, &cuts);
        let _ = pieces.iter().try_for_each(|p| server.receive(p, &mut a));
        let _ = pieces.iter().try_for_each(|p| client.receive(p, &mut b));
        prop_assert!(server.open_requests() <= BOUNDS.requests);
        let _ = cgi::parse_answer(&Bytes::from(noise));
    }
}

#[test]
fn a_large_body_in_records_of_one_byte_with_the_most_padding() {
    let body: Vec<u8> = (0..65_536u32).map(|n| n as u8).collect();
    let params = [Pair { name: Bytes::from_static(b"A"), value: Bytes::from(vec![b'v'; 300]) }];
    let bytes = records(RequestId(1), &params, &body, 1, 255).concat();
    let (mut server, mut events) = (ServerSide::new(BOUNDS), Vec::new());
    for piece in bytes.chunks(4096) {
        server.receive(piece, &mut events).expect("sound");
    }
    let [server::Event::Request(request)] = &events[..] else { panic!("{} events", events.len()) };
    assert_eq!(request.body, body);
}

fn rec(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    put(&mut bytes, RecordType::from_number(kind), RequestId(id), content);
    bytes.to_vec()
}
const BEGIN: [u8; 8] = [0, 1, 1, 0, 0, 0, 0, 0];

#[rstest]
#[case::version(vec![vec![2, 1]], ProtocolError::Version(2))]
#[case::kind(vec![rec(77, 1, b"x")], ProtocolError::UnexpectedType(77, RequestId(1)))]
#[case::answer_from_a_client(vec![rec(6, 1, b"x")], ProtocolError::UnexpectedType(6, RequestId(1)))]
#[case::begin_too_short(vec![rec(1, 1, &[0, 1, 1])], ProtocolError::ContentLength(RecordType::Begin, 3))]
#[case::begin_too_long(vec![rec(1, 1, &[0; 9])], ProtocolError::ContentLength(RecordType::Begin, 9))]
#[case::begin_as_management(vec![rec(1, 0, &BEGIN)], ProtocolError::UnexpectedId(RecordType::Begin, RequestId(0)))]
#[case::values_of_a_request(vec![rec(9, 1, b"")], ProtocolError::UnexpectedId(RecordType::GetValues, RequestId(1)))]
#[case::never_begun(vec![rec(4, 1, b"")], ProtocolError::NotOpen(RecordType::Params, RequestId(1)))]
#[case::begun_twice(vec![rec(1, 1, &BEGIN), rec(1, 1, &BEGIN)], ProtocolError::BegunTwice(RequestId(1)))]
#[case::stdin_first(vec![rec(1, 1, &BEGIN), rec(5, 1, b"x")], ProtocolError::StdinBeforeParams(RequestId(1)))]
#[case::params_after_end(vec![rec(1, 1, &BEGIN), rec(4, 1, b""), rec(4, 1, b"")], ProtocolError::AfterEnd(RecordType::Params, RequestId(1)))]
#[case::stdin_after_end(
    vec![rec(1, 1, &BEGIN), rec(4, 1, b""), rec(5, 1, b""), rec(5, 1, b"")], ProtocolError::AfterEnd(RecordType::Stdin, RequestId(1)))]
#[case::half_a_pair(vec![rec(1, 1, &BEGIN), rec(4, 1, &[5, 5, b'a']), rec(4, 1, b"")], ProtocolError::BrokenPair(RequestId(1)))]
#[case::params_too_long(vec![rec(1, 1, &BEGIN), rec(4, 1, &[0; 60_000]), rec(4, 1, &[0; 20_000])],
    ProtocolError::ParamsTooLong(RequestId(1), 70_000))]
#[case::body_too_long(
    vec![rec(1, 1, &BEGIN), rec(4, 1, b""), rec(5, 1, &[0; 60_000]), rec(5, 1, &[0; 20_000])],
    ProtocolError::BodyTooLong(RequestId(1), 70_000))]
fn bad_requests_are_named(#[case] records: Vec<Vec<u8>>, #[case] wanted: ProtocolError) {
    let (mut server, mut events) = (ServerSide::new(BOUNDS), Vec::new());
    let error = records.iter().try_for_each(|r| server.receive(r, &mut events)).expect_err("it is wrong");
    assert_eq!(error, wanted);
    assert!(!error.to_string().is_empty());
}

#[rstest]
#[case::another_id(vec![rec(6, 2, b"x")], ProtocolError::NotOpen(RecordType::Stdout, RequestId(2)))]
#[case::after_its_end(vec![rec(6, 1, b""), rec(6, 1, b"x")], ProtocolError::AfterEnd(RecordType::Stdout, RequestId(1)))]
#[case::end_too_short(vec![rec(3, 1, &[0; 4])], ProtocolError::ContentLength(RecordType::End, 4))]
#[case::request_from_a_server(vec![rec(4, 1, b"x")], ProtocolError::UnexpectedType(4, RequestId(1)))]
#[case::flood(vec![rec(7, 1, &[0; 900]), rec(7, 1, &[0; 900])], ProtocolError::StderrTooLong(RequestId(1), 1000))]
#[case::too_long(vec![rec(6, 1, &[0; 60_000]), rec(6, 1, &[0; 20_000])], ProtocolError::BodyTooLong(RequestId(1), 70_000))]
fn bad_answers_are_named(#[case] records: Vec<Vec<u8>>, #[case] wanted: ProtocolError) {
    let (mut client, mut events) = (ClientSide::new(ANSWERS), Vec::new());
    client.expect_answer(RequestId(1));
    let error = records.iter().try_for_each(|r| client.receive(r, &mut events)).expect_err("it is wrong");
    assert_eq!(error, wanted);
}

/// What a server says to some records, as the other side hears it.
fn events_of_both(
    bounds: ServerLimits,
    ids: &[u16],
    records: &[Vec<u8>],
) -> (Vec<client::Event>, Vec<server::Event>) {
    let (mut server, mut client) = (ServerSide::new(bounds), ClientSide::new(ANSWERS));
    ids.iter().for_each(|id| client.expect_answer(RequestId(*id)));
    let (mut events, mut client_events) = (Vec::new(), Vec::new());
    records.iter().for_each(|r| server.receive(r, &mut events).expect("sound"));
    for event in &events {
        // What is said of an id that is heard of no more is of no interest here.
        if let server::Event::Send(bytes) = event {
            let _ = client.receive(bytes, &mut client_events);
        }
    }
    (client_events, events)
}

#[rstest]
#[case::role(8, 2, ProtocolStatus::UnknownRole)]
#[case::room(0, 1, ProtocolStatus::Overloaded)]
#[case::alone(1, 1, ProtocolStatus::CantMultiplex)]
fn what_can_not_be_taken_gets_its_end_and_the_id_is_free(
    #[case] requests: usize,
    #[case] role: u8,
    #[case] ended: ProtocolStatus,
) {
    let bounds = ServerLimits { requests, ..BOUNDS };
    let mut begin = BEGIN;
    begin[1] = role;
    let mut records = Vec::new();
    if requests == 1 {
        records.push(rec(1, 9, &BEGIN));
    }
    // The rest of it is on its way already, and is no fault.
    records.extend([rec(1, 1, &begin), rec(4, 1, b""), rec(5, 1, b"abc"), rec(5, 1, b"")]);
    let (client_events, events) = events_of_both(bounds, &[1], &records);
    assert!(
        matches!(&client_events[..], [client::Event::Answered(a)] if a.status == ended && a.id == RequestId(1)),
        "{client_events:?}"
    );
    assert!(!events.iter().any(|e| matches!(e, server::Event::Request(_))));
    // Then the id may be used again, for what can be taken.
    records.extend([rec(1, 1, &BEGIN), rec(4, 1, b""), rec(5, 1, b"")]);
    let (_, events) = events_of_both(bounds, &[1], &records);
    assert_eq!(
        events.iter().any(|e| matches!(e, server::Event::Request(_))),
        ended == ProtocolStatus::UnknownRole
    );
}

#[test]
fn an_abort_ends_what_is_half_there_tells_of_what_is_out_and_may_cross_an_answer() {
    let half = [
        rec(1, 1, &BEGIN),
        rec(4, 1, &[1, 1, b'a', b'b']),
        rec(2, 1, b""),
        rec(5, 1, b""),
        rec(1, 1, &BEGIN),
    ];
    let (client_events, events) = events_of_both(BOUNDS, &[1], &half);
    assert!(matches!(&client_events[..], [client::Event::Answered(_)]), "its end: {client_events:?}");
    assert_eq!(events.len(), 1, "and the id was begun anew");
    let out = [rec(1, 1, &BEGIN), rec(4, 1, b""), rec(5, 1, b""), rec(2, 1, b"")];
    let (_, events) = events_of_both(BOUNDS, &[], &out);
    assert!(
        matches!(&events[..], [server::Event::Request(_), server::Event::Aborted(RequestId(1))]),
        "{events:?}"
    );
    let (_, events) = events_of_both(BOUNDS, &[], &[rec(2, 5, b"")]);
    assert!(events.is_empty(), "of one that is over already");
}

#[test]
fn values_are_the_real_bounds_and_unknown_types_are_reported() {
    let mut ask = Vec::from(&client::encode_get_values()[..]);
    ask.extend(rec(42, 0, b""));
    let (client_events, _) = events_of_both(BOUNDS, &[], &[ask]);
    let [client::Event::Values(values), client::Event::UnknownType(42)] = &client_events[..] else {
        panic!("{client_events:?}")
    };
    let value = |name: &str| values.iter().find(|v| v.name == name.as_bytes()).map(|v| v.value.clone());
    assert_eq!(value("FCGI_MAX_REQS").expect("told"), "8");
    assert_eq!(value("FCGI_MPXS_CONNS").expect("told"), "1");
}

#[test]
fn params_and_heads_by_the_cgi_rules() {
    let headers =
        [("X-Trace-Id", &b"t"[..]), ("Content-Type", b"text/x"), ("Proxy", b"evil"), ("Host", b"h.example")];
    let params = cgi::request_params("POST", "/pay/1?a=b", headers.into_iter(), 5);
    let request = cgi::parse_request(&params).expect("sound");
    assert_eq!(
        (request.method.as_str(), request.path.as_str(), request.host.as_str()),
        ("POST", "/pay/1?a=b", "h.example")
    );
    let header = |name: &str| request.headers.iter().find(|h| h.0 == name).map(|h| h.1.clone());
    assert_eq!(header("x-trace-id").as_deref(), Some(&b"t"[..]));
    assert_eq!(header("content-type").as_deref(), Some(&b"text/x"[..]));
    assert_eq!(header("proxy"), None);
    assert_eq!(cgi::parse_request(&[]), Err(cgi::MissingParam::Method));
    let read = |s: &'static str| cgi::parse_answer(&Bytes::from_static(s.as_bytes()));
    let answer = read("Status: 404 Gone\r\nX-A: b \r\n\r\nbody").expect("sound");
    assert_eq!((answer.status, &answer.body[..]), (404, &b"body"[..]));
    assert_eq!(answer.headers, [("x-a".to_owned(), Bytes::from_static(b"b"))]);
    assert_eq!(read("Content-Type: a\n\nx").expect("sound").status, 200);
    assert_eq!(read("Location: /x\n\n").expect("sound").status, 302);
    for bad in [
        "",
        "\r\n\r\n",
        "no colon\r\n\r\n",
        "Status: abc\r\n\r\n",
        "Status: 999\r\n\r\n",
        "A: b\r\n",
        ": x\r\n\r\n",
    ] {
        assert_eq!(read(bad), None, "{bad:?}");
    }
}

#[test]
fn who_aborts_one_after_the_other_is_ended_at_a_bound() {
    let (mut server, mut events) = (ServerSide::new(BOUNDS), Vec::new());
    let ended = (1..1000u16).try_for_each(|id| {
        server.receive(&rec(1, id, &BEGIN), &mut events)?;
        server.receive(&rec(2, id, b""), &mut events)
    });
    assert_eq!(ended, Err(ProtocolError::TooManyRequests(8)));
    assert_eq!(events.len(), 32);
}
