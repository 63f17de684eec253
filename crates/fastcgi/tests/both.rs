//! Both sides by random bytes: whatever is written, cut anywhere and mixed, is read as it was meant; what is wrong is
//! named; nothing panics.
use bytes::{BufMut, Bytes, BytesMut};
use notchspool_fastcgi::ask::{self, Asker};
use notchspool_fastcgi::pairs::{self, Pair};
use notchspool_fastcgi::record::*;
use notchspool_fastcgi::take::{self, Bounds, Taker};
use notchspool_fastcgi::{Wrong, cgi};
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

const BOUNDS: Bounds = Bounds { requests: 8, params: 70_000, body: 70_000 };
const ANSWERS: ask::Bounds = ask::Bounds { body: 70_000, stderr: 1000 };

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
fn padded(into: &mut BytesMut, kind: Kind, id: Id, content: &[u8], padding: u8) {
    into.put_slice(&[1, kind.number()]);
    into.put_u16(id.0);
    into.put_u16(content.len() as u16);
    into.put_slice(&[padding, 0]);
    into.put_slice(content);
    into.put_bytes(0xee, padding.into());
}

/// The records of one request, its streams in pieces of this length.
fn records(id: Id, params: &[Pair], body: &[u8], piece: usize, padding: u8) -> Vec<Bytes> {
    let mut all = Vec::new();
    let mut one = |kind, content: &[u8]| {
        let mut bytes = BytesMut::new();
        padded(&mut bytes, kind, id, content, padding);
        all.push(bytes.freeze());
    };
    one(Kind::Begin, &[0, 1, KEEP_CONNECTION, 0, 0, 0, 0, 0]);
    let mut told = BytesMut::new();
    params.iter().for_each(|(n, v)| pairs::put(&mut told, n, v));
    told.chunks(piece).for_each(|c| one(Kind::Params, c));
    one(Kind::Params, &[]);
    body.chunks(piece).for_each(|c| one(Kind::Stdin, c));
    one(Kind::Stdin, &[]);
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
    (vec(any::<u8>(), 0..200), vec(any::<u8>(), 0..300)).prop_map(|(n, v)| (n.into(), v.into()))
}

proptest! {
    #![proptest_config(steady(150))]

    #[test]
    fn requests_that_are_cut_and_mixed_are_taken_whole(
        asked in vec((vec(pair(), 0..6), vec(any::<u8>(), 0..900)), 1..7),
        cuts in vec(1usize..200, 1..20), picks in vec(0usize..7, 1..40),
        piece in 1usize..300, padding in any::<u8>(),
    ) {
        let id = |n: usize| Id(n as u16 * 257 + 1);
        let rows = asked.iter().enumerate().map(|(n, (p, b))| records(id(n), p, b, piece, padding)).collect();
        let (mut taker, mut events) = (Taker::new(BOUNDS), Vec::new());
        for piece in cut(&mix(rows, &picks), &cuts) {
            taker.take(&piece, &mut events).expect("nothing is wrong");
        }
        prop_assert_eq!(events.len(), asked.len());
        for event in events {
            let take::Event::Asked(request) = event else { panic!("{event:?}") };
            let n = (request.id.0 as usize - 1) / 257;
            prop_assert_eq!(&request.params, &asked[n].0);
            prop_assert_eq!(&request.body[..], &asked[n].1[..]);
        }
        prop_assert_eq!(taker.open(), asked.len());
    }

    #[test]
    fn answers_that_are_cut_and_mixed_come_to_who_asked(
        said in vec((vec(any::<u8>(), 0..900), vec(any::<u8>(), 0..50), any::<u32>()), 1..7),
        cuts in vec(1usize..200, 1..20), picks in vec(0usize..7, 1..40), piece in 1usize..300,
    ) {
        let mut asker = Asker::new(ANSWERS);
        let mut rows = Vec::new();
        for (n, (out, err, status)) in said.iter().enumerate() {
            let id = Id(n as u16 + 1);
            asker.wait(id);
            let mut row = Vec::new();
            let mut one = |kind, content: &[u8]| {
                let mut bytes = BytesMut::new();
                put(&mut bytes, kind, id, content);
                row.push(bytes.freeze());
            };
            err.chunks(piece).for_each(|c| one(Kind::Stderr, c));
            out.chunks(piece).for_each(|c| one(Kind::Stdout, c));
            one(Kind::Stdout, &[]);
            let mut end = BytesMut::new();
            put_end(&mut end, id, *status, Ended::Complete);
            row.push(end.freeze());
            rows.push(row);
        }
        let mut events = Vec::new();
        for piece in cut(&mix(rows, &picks), &cuts) {
            asker.take(&piece, &mut events).expect("nothing is wrong");
        }
        let answers: Vec<&ask::Answer> = events.iter().filter_map(|e| match e {
            ask::Event::Answered(answer) => Some(answer),
            _ => None,
        }).collect();
        prop_assert_eq!(answers.len(), said.len());
        for answer in answers {
            let (out, err, status) = &said[answer.id.0 as usize - 1];
            prop_assert_eq!(&answer.stdout[..], &out[..]);
            prop_assert_eq!(&answer.stderr[..], &err[..]);
            prop_assert!(answer.whole && answer.app_status == *status);
        }
        prop_assert!(!asker.in_the_middle());
    }

    #[test]
    fn what_is_asked_is_taken_and_its_answer_heard(
        params in vec(pair(), 0..6), body in vec(any::<u8>(), 0..900), answer in vec(any::<u8>(), 0..900),
        keep in any::<bool>(),
    ) {
        let (mut asker, mut taker) = (Asker::new(ANSWERS), Taker::new(BOUNDS));
        let asked = ask::request(Id(7), keep, &params, &body);
        asker.wait(Id(7));
        let mut events = Vec::new();
        // Up to where a server may begin it has nothing to begin with.
        taker.take(&asked.bytes[..asked.begins - 1], &mut events).expect("sound");
        prop_assert!(events.is_empty());
        taker.take(&asked.bytes[asked.begins - 1..], &mut events).expect("sound");
        let whole = matches!(&events[..], [take::Event::Asked(r)] if r.params == params && r.body == body);
        prop_assert!(whole);
        let (said, close) = taker.answer(Id(7), &answer, Ended::Complete).expect("it is open");
        prop_assert_eq!(close, !keep);
        let mut heard = Vec::new();
        asker.take(&said, &mut heard).expect("sound");
        let Some(ask::Event::Answered(a)) = heard.last() else { panic!("{heard:?}") };
        prop_assert!(a.whole && a.stdout == answer && a.ended == Ended::Complete);
        prop_assert!(taker.answer(Id(7), b"", Ended::Complete).is_none(), "once");
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
        let (mut taker, mut asker) = (Taker::new(BOUNDS), Asker::new(ANSWERS));
        asker.wait(Id(1));
        let (mut a, mut b) = (Vec::new(), Vec::new());
        let pieces = cut(&bytes, &cuts);
        let _ = pieces.iter().try_for_each(|p| taker.take(p, &mut a));
        let _ = pieces.iter().try_for_each(|p| asker.take(p, &mut b));
        prop_assert!(taker.open() <= BOUNDS.requests);
        let _ = cgi::answer(&Bytes::from(noise));
    }
}

#[test]
fn a_large_body_in_records_of_one_byte_with_the_most_padding() {
    let body: Vec<u8> = (0..65_536u32).map(|n| n as u8).collect();
    let params = [(Bytes::from_static(b"A"), Bytes::from(vec![b'v'; 300]))];
    let bytes = records(Id(1), &params, &body, 1, 255).concat();
    let (mut taker, mut events) = (Taker::new(BOUNDS), Vec::new());
    for piece in bytes.chunks(4096) {
        taker.take(piece, &mut events).expect("sound");
    }
    let [take::Event::Asked(request)] = &events[..] else { panic!("{} events", events.len()) };
    assert_eq!(request.body, body);
}

fn rec(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    put(&mut bytes, Kind::of(kind), Id(id), content);
    bytes.to_vec()
}
const BEGIN: [u8; 8] = [0, 1, 1, 0, 0, 0, 0, 0];

#[rstest]
#[case::version(vec![vec![2, 1]], Wrong::Version(2))]
#[case::kind(vec![rec(77, 1, b"x")], Wrong::Type(77, Id(1)))]
#[case::answer_from_a_client(vec![rec(6, 1, b"x")], Wrong::Type(6, Id(1)))]
#[case::begin_too_short(vec![rec(1, 1, &[0, 1, 1])], Wrong::Length(Kind::Begin, 3))]
#[case::begin_too_long(vec![rec(1, 1, &[0; 9])], Wrong::Length(Kind::Begin, 9))]
#[case::begin_as_management(vec![rec(1, 0, &BEGIN)], Wrong::Place(Kind::Begin, Id(0)))]
#[case::values_of_a_request(vec![rec(9, 1, b"")], Wrong::Place(Kind::GetValues, Id(1)))]
#[case::never_begun(vec![rec(4, 1, b"")], Wrong::NotOpen(Kind::Params, Id(1)))]
#[case::begun_twice(vec![rec(1, 1, &BEGIN), rec(1, 1, &BEGIN)], Wrong::BegunTwice(Id(1)))]
#[case::stdin_first(vec![rec(1, 1, &BEGIN), rec(5, 1, b"x")], Wrong::BeforeParams(Id(1)))]
#[case::params_after_end(vec![rec(1, 1, &BEGIN), rec(4, 1, b""), rec(4, 1, b"")], Wrong::AfterEnd(Kind::Params, Id(1)))]
#[case::stdin_after_end(
    vec![rec(1, 1, &BEGIN), rec(4, 1, b""), rec(5, 1, b""), rec(5, 1, b"")], Wrong::AfterEnd(Kind::Stdin, Id(1)))]
#[case::half_a_pair(vec![rec(1, 1, &BEGIN), rec(4, 1, &[5, 5, b'a']), rec(4, 1, b"")], Wrong::Pairs(Id(1)))]
#[case::params_too_long(vec![rec(1, 1, &BEGIN), rec(4, 1, &[0; 60_000]), rec(4, 1, &[0; 20_000])],
    Wrong::ParamsTooLong(Id(1), 70_000))]
#[case::body_too_long(
    vec![rec(1, 1, &BEGIN), rec(4, 1, b""), rec(5, 1, &[0; 60_000]), rec(5, 1, &[0; 20_000])],
    Wrong::BodyTooLong(Id(1), 70_000))]
fn bad_requests_are_named(#[case] records: Vec<Vec<u8>>, #[case] wanted: Wrong) {
    let (mut taker, mut events) = (Taker::new(BOUNDS), Vec::new());
    let wrong = records.iter().try_for_each(|r| taker.take(r, &mut events)).expect_err("it is wrong");
    assert_eq!(wrong, wanted);
    assert!(!wrong.to_string().is_empty());
}

#[rstest]
#[case::another_id(vec![rec(6, 2, b"x")], Wrong::NotOpen(Kind::Stdout, Id(2)))]
#[case::after_its_end(vec![rec(6, 1, b""), rec(6, 1, b"x")], Wrong::AfterEnd(Kind::Stdout, Id(1)))]
#[case::end_too_short(vec![rec(3, 1, &[0; 4])], Wrong::Length(Kind::End, 4))]
#[case::request_from_a_server(vec![rec(4, 1, b"x")], Wrong::Type(4, Id(1)))]
#[case::flood(vec![rec(7, 1, &[0; 900]), rec(7, 1, &[0; 900])], Wrong::StderrTooLong(Id(1), 1000))]
#[case::too_long(vec![rec(6, 1, &[0; 60_000]), rec(6, 1, &[0; 20_000])], Wrong::BodyTooLong(Id(1), 70_000))]
fn bad_answers_are_named(#[case] records: Vec<Vec<u8>>, #[case] wanted: Wrong) {
    let (mut asker, mut events) = (Asker::new(ANSWERS), Vec::new());
    asker.wait(Id(1));
    let wrong = records.iter().try_for_each(|r| asker.take(r, &mut events)).expect_err("it is wrong");
    assert_eq!(wrong, wanted);
}

/// What a taker says to some records, as the other side hears it.
fn said(bounds: Bounds, ids: &[u16], records: &[Vec<u8>]) -> (Vec<ask::Event>, Vec<take::Event>) {
    let (mut taker, mut asker) = (Taker::new(bounds), Asker::new(ANSWERS));
    ids.iter().for_each(|id| asker.wait(Id(*id)));
    let (mut events, mut heard) = (Vec::new(), Vec::new());
    records.iter().for_each(|r| taker.take(r, &mut events).expect("sound"));
    for event in &events {
        // What is said of an id that is heard of no more is of no interest here.
        if let take::Event::Say(bytes) = event {
            let _ = asker.take(bytes, &mut heard);
        }
    }
    (heard, events)
}

#[rstest]
#[case::role(8, 2, Ended::UnknownRole)]
#[case::room(0, 1, Ended::Overloaded)]
#[case::alone(1, 1, Ended::CantMultiplex)]
fn what_can_not_be_taken_gets_its_end_and_the_id_is_free(
    #[case] requests: usize,
    #[case] role: u8,
    #[case] ended: Ended,
) {
    let bounds = Bounds { requests, ..BOUNDS };
    let mut begin = BEGIN;
    begin[1] = role;
    let mut records = Vec::new();
    if requests == 1 {
        records.push(rec(1, 9, &BEGIN));
    }
    // The rest of it is on its way already, and is no fault.
    records.extend([rec(1, 1, &begin), rec(4, 1, b""), rec(5, 1, b"abc"), rec(5, 1, b"")]);
    let (heard, events) = said(bounds, &[1], &records);
    assert!(
        matches!(&heard[..], [ask::Event::Answered(a)] if a.ended == ended && a.id == Id(1)),
        "{heard:?}"
    );
    assert!(!events.iter().any(|e| matches!(e, take::Event::Asked(_))));
    // Then the id may be used again, for what can be taken.
    records.extend([rec(1, 1, &BEGIN), rec(4, 1, b""), rec(5, 1, b"")]);
    let (_, events) = said(bounds, &[1], &records);
    assert_eq!(events.iter().any(|e| matches!(e, take::Event::Asked(_))), ended == Ended::UnknownRole);
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
    let (heard, events) = said(BOUNDS, &[1], &half);
    assert!(matches!(&heard[..], [ask::Event::Answered(_)]), "its end: {heard:?}");
    assert_eq!(events.len(), 1, "and the id was begun anew");
    let out = [rec(1, 1, &BEGIN), rec(4, 1, b""), rec(5, 1, b""), rec(2, 1, b"")];
    let (_, events) = said(BOUNDS, &[], &out);
    assert!(matches!(&events[..], [take::Event::Asked(_), take::Event::Aborted(Id(1))]), "{events:?}");
    let (_, events) = said(BOUNDS, &[], &[rec(2, 5, b"")]);
    assert!(events.is_empty(), "of one that is over already");
}

#[test]
fn values_are_the_real_bounds_and_what_is_unknown_is_said_so() {
    let mut ask = Vec::from(&ask::get_values()[..]);
    ask.extend(rec(42, 0, b""));
    let (heard, _) = said(BOUNDS, &[], &[ask]);
    let [ask::Event::Values(values), ask::Event::Unknown(42)] = &heard[..] else { panic!("{heard:?}") };
    let value = |name: &str| values.iter().find(|v| v.0 == name.as_bytes()).map(|v| v.1.clone());
    assert_eq!(value("FCGI_MAX_REQS").expect("told"), "8");
    assert_eq!(value("FCGI_MPXS_CONNS").expect("told"), "1");
}

#[test]
fn params_and_heads_by_the_cgi_rules() {
    let headers =
        [("X-Trace-Id", &b"t"[..]), ("Content-Type", b"text/x"), ("Proxy", b"evil"), ("Host", b"h.example")];
    let params = cgi::params("POST", "/pay/1?a=b", headers.into_iter(), 5);
    let told = cgi::told(&params).expect("sound");
    assert_eq!(
        (told.method.as_str(), told.path.as_str(), told.host.as_str()),
        ("POST", "/pay/1?a=b", "h.example")
    );
    let header = |name: &str| told.headers.iter().find(|h| h.0 == name).map(|h| h.1.clone());
    assert_eq!(header("x-trace-id").as_deref(), Some(&b"t"[..]));
    assert_eq!(header("content-type").as_deref(), Some(&b"text/x"[..]));
    assert_eq!(header("proxy"), None);
    assert_eq!(cgi::told(&[]), Err("no REQUEST_METHOD"));
    let read = |s: &'static str| cgi::answer(&Bytes::from_static(s.as_bytes()));
    let (head, body) = read("Status: 404 Gone\r\nX-A: b \r\n\r\nbody").expect("sound");
    assert_eq!((head.status, &body[..]), (404, &b"body"[..]));
    assert_eq!(head.headers, [("x-a".to_owned(), Bytes::from_static(b"b"))]);
    assert_eq!(read("Content-Type: a\n\nx").expect("sound").0.status, 200);
    assert_eq!(read("Location: /x\n\n").expect("sound").0.status, 302);
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
    let (mut taker, mut events) = (Taker::new(BOUNDS), Vec::new());
    let ended = (1..1000u16).try_for_each(|id| {
        taker.take(&rec(1, id, &BEGIN), &mut events)?;
        taker.take(&rec(2, id, b""), &mut events)
    });
    assert_eq!(ended, Err(Wrong::TooManyRequests(8)));
    assert_eq!(events.len(), 32);
}
