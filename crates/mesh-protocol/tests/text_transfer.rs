//! Texts told as differences: what was meant arrives byte for byte, or it is refused and the whole asked for.
use notchspool_mesh_protocol::delta::{apply, diff, digest};
use notchspool_mesh_protocol::text_transfer::{Incoming, TextStore};
use notchspool_mesh_protocol::{
    ConfigRequest, ConfigUpdate, Hello, MAX_CONFIG_BYTES, MissingText, Payload, VoteReply, VoteRequest,
    VoterState,
};
use quickcheck::{Gen, QuickCheck};

fn check<A, B>(tests: u64, property: fn(A, B) -> bool)
where
    A: quickcheck::Arbitrary + std::fmt::Debug,
    B: quickcheck::Arbitrary + std::fmt::Debug,
{
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 7)).tests(tests).quickcheck(property);
}

/// A configuration of so many routes, with one of them changed.
fn body(routes: usize, changed: usize, to: usize) -> String {
    let route = |n: usize| {
        let weight = if n == changed { to } else { 90 };
        format!(
            r#""r-{n:x}":{{"host":"h{}.example","pathPrefix":"/p{:x}/","routeKind":"safe","timeoutS":2.5,"weight":{weight}}}"#,
            n % 97,
            n * 40_503
        )
    };
    let all: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"version":{to},"routes":{{{}}}}}"#, all.join(","))
}

fn word(version: u64, body: &str) -> Payload {
    Payload::ConfigUpdate(ConfigUpdate::new(version, body.as_bytes()))
}

fn bytes(payload: &Payload) -> usize {
    let mut out = bytes::BytesMut::new();
    notchspool_mesh_protocol::encode(payload.clone(), &mut out);
    out.len()
}

/// Sends from one to the other, through bytes, and gives what is heard.
fn pass(from: &mut TextStore, to: &mut TextStore, payload: Payload) -> Incoming {
    let sent = from.outgoing(1, payload);
    let mut out = bytes::BytesMut::new();
    notchspool_mesh_protocol::encode(sent, &mut out);
    let came = notchspool_mesh_protocol::decode(&mut out).unwrap().unwrap();
    to.incoming(1, came)
}

#[test]
fn any_two_texts_go_and_come_back() {
    fn holds(base: Vec<u8>, text: Vec<u8>) -> bool {
        let made = diff(&base, &text).unwrap();
        apply(&base, text.len(), &made).as_deref() == Some(&text[..])
    }
    check(2_000, holds);
}

#[test]
fn a_text_that_is_much_like_its_base_goes_in_few_bytes() {
    fn holds(base: Vec<u8>, at: usize) -> bool {
        let base = base.repeat(40);
        let mut text = base.clone();
        text.insert(at % (base.len() + 1), b'x');
        let made = diff(&base, &text).unwrap();
        made.len() < 80 && apply(&base, text.len(), &made).as_deref() == Some(&text[..])
    }
    check(1_000, holds);
    let (old, new) = (body(5_000, 0, 1), body(5_000, 2_500, 2));
    let made = diff(old.as_bytes(), new.as_bytes()).unwrap();
    assert!(made.len() < 1_000 && old.len() > 400_000, "{} of {}", made.len(), new.len());
}

#[test]
fn any_garbage_is_no_difference() {
    fn holds(base: Vec<u8>, mut garbage: Vec<u8>) -> bool {
        for length in [0, 1, 1_000, MAX_CONFIG_BYTES] {
            if apply(&base, length, &garbage).is_some_and(|t| t.len() != length) {
                return false;
            }
        }
        // One that begins like a true one.
        let made = diff(&base, b"a text of some length").unwrap();
        let keep = garbage.len() % (made.len() + 1);
        garbage.splice(0..0, made[..keep].iter().copied());
        apply(&base, 21, &garbage).is_none_or(|t| t.len() == 21)
    }
    check(3_000, holds);
}

#[test]
fn a_difference_cut_short_at_any_byte_is_none_and_no_text_is_over_the_limit() {
    let (old, new) = (body(50, 0, 1), body(50, 9, 2));
    let made = diff(old.as_bytes(), new.as_bytes()).unwrap();
    for end in 0..made.len() {
        assert_eq!(apply(old.as_bytes(), new.len(), &made[..end]), None, "cut at {end}");
    }
    let large = vec![0; MAX_CONFIG_BYTES + 1];
    assert_eq!(diff(b"", &large), None);
    assert_eq!(diff(&large, b""), None);
    let bomb = diff(b"", &large[..MAX_CONFIG_BYTES]).unwrap();
    assert!(bomb.len() < 10_000);
    assert!(apply(b"", MAX_CONFIG_BYTES, &bomb).is_some());
    // It says less than it holds, or more than is allowed.
    assert_eq!(apply(b"", 1_000, &bomb), None);
    assert_eq!(apply(b"", MAX_CONFIG_BYTES + 1, &bomb), None);
    assert_eq!(ConfigUpdate { version: 1, body: large.into() }.checked_body(), None);
}

#[test]
fn a_version_goes_full_then_as_a_difference_then_as_its_digest() {
    let (mut here, mut there) = (TextStore::new(2), TextStore::new(2));
    let first = word(1, &body(400, 0, 1));
    let full = bytes(&here.outgoing(9, first.clone()));
    assert!(full * 4 < bytes(&first), "packed at least");
    assert_eq!(pass(&mut here, &mut there, first.clone()), Incoming::Message(first));
    let second = body(400, 7, 2);
    let put = |body: &str| {
        Payload::VoteRequest(VoteRequest {
            number: 5,
            body: Some(format!("2\n{body}")),
            ..VoteRequest::default()
        })
    };
    assert_eq!(pass(&mut here, &mut there, put(&second)), Incoming::Message(put(&second)));
    // The other end has it from here, and tells it back by its digest; so does this one with a number in front or without.
    let voted =
        Payload::VoteReply(VoteReply { vote: 1, body: Some(format!("2\n{second}")), ..VoteReply::default() });
    assert!(bytes(&there.outgoing(1, voted.clone())) < 60);
    assert_eq!(pass(&mut there, &mut here, voted.clone()), Incoming::Message(voted));
    assert!(bytes(&here.outgoing(1, word(2, &second))) < 60);
    assert_eq!(pass(&mut here, &mut there, word(2, &second)), Incoming::Message(word(2, &second)));
    assert_eq!((here.counters.full_texts, here.counters.differences, here.counters.digests), (2, 1, 2));
    assert!(here.counters.bytes < 2 * full as u64 + 600);
    let all = Payload::VoterState(VoterState {
        body: Some(format!("3\n{}", body(400, 8, 3))),
        ..VoterState::default()
    });
    assert_eq!(pass(&mut here, &mut there, all.clone()), Incoming::Message(all));
    assert_eq!(there.counters.rejected, 0);
}

#[test]
fn who_greets_with_what_it_holds_is_sent_a_difference() {
    let (mut here, mut there) = (TextStore::new(4), TextStore::new(2));
    there.hold(body(400, 0, 1).as_bytes());
    here.hold(format!("1\n{}", body(400, 0, 1)).as_bytes());
    assert!(matches!(
        pass(&mut there, &mut here, Payload::Hello(Hello::default())),
        Incoming::Message(Payload::Hello(_))
    ));
    let next = word(2, &body(400, 9, 2));
    assert_eq!(pass(&mut here, &mut there, next.clone()), Incoming::Message(next));
    assert_eq!((here.counters.full_texts, here.counters.differences), (0, 1));
}

#[test]
fn a_base_that_is_not_held_and_a_bad_digest_are_refused_and_the_full_is_requested_for() {
    let (mut here, mut there) = (TextStore::new(4), TextStore::new(2));
    let first = word(1, &body(400, 0, 1));
    assert_eq!(pass(&mut here, &mut there, first.clone()), Incoming::Message(first.clone()));
    there.clear();
    for (n, payload) in [first, word(2, &body(400, 7, 2))].into_iter().enumerate() {
        let version = n as u64 + 1;
        let Incoming::Reply(ask) = pass(&mut here, &mut there, payload.clone()) else {
            panic!("taken without a base")
        };
        assert_eq!(ask, Payload::MissingText(MissingText { version }));
        assert_eq!(there.counters.rejected, version);
        // It is asked for as any version is, and comes whole.
        assert_eq!(
            pass(&mut there, &mut here, ask),
            Incoming::Message(Payload::ConfigRequest(ConfigRequest { version }))
        );
        assert_eq!(pass(&mut here, &mut there, payload.clone()), Incoming::Message(payload));
        there.clear();
    }
    // A vote that can't be made out is asked for again by its round.
    let vote = Payload::VoteRequest(VoteRequest {
        number: 1,
        body: Some(format!("3\n{}", body(400, 8, 3))),
        ..VoteRequest::default()
    });
    let Incoming::Reply(ask) = pass(&mut here, &mut there, vote.clone()) else {
        panic!("taken without a base")
    };
    assert_eq!(pass(&mut there, &mut here, ask), Incoming::Nothing);
    assert_eq!(pass(&mut here, &mut there, vote.clone()), Incoming::Message(vote));

    for spoil in 0..3 {
        let Payload::TextEnvelope(mut carried) = here.outgoing(1, word(9, &body(400, 10 + spoil, 9))) else {
            panic!()
        };
        let text = carried.text.as_mut().unwrap();
        match spoil {
            0 => text.digest = bytes::Bytes::copy_from_slice(&digest(b"another")),
            1 => text.digest = bytes::Bytes::from_static(b"short"),
            _ => text.length += 1,
        }
        let refused = there.counters.rejected;
        assert_eq!(
            there.incoming(1, Payload::TextEnvelope(carried)),
            Incoming::Reply(Payload::MissingText(MissingText { version: 9 }))
        );
        assert_eq!(there.counters.rejected, refused + 1);
    }
}

#[test]
fn a_spoilt_full_is_dropped_and_what_carries_nothing_or_two_things_too() {
    let (mut here, mut there) = (TextStore::new(4), TextStore::new(2));
    let Payload::TextEnvelope(good) = here.outgoing(1, word(1, &body(40, 0, 1))) else { panic!() };
    let mut spoilt = good.clone();
    spoilt.text.as_mut().unwrap().encoded = bytes::Bytes::from_static(b"nothing that was packed");
    let mut plain = good.clone();
    plain.text = None;
    let mut empty = good.clone();
    empty.config_update = None;
    let mut two = good.clone();
    two.vote_request = Some(VoteRequest::default());
    for (n, bad) in [spoilt, plain, empty, two].into_iter().enumerate() {
        assert_eq!(there.incoming(1, Payload::TextEnvelope(bad)), Incoming::Nothing);
        assert_eq!(there.counters.rejected, n as u64 + 1);
    }
    assert!(matches!(
        there.incoming(1, Payload::TextEnvelope(good)),
        Incoming::Message(Payload::ConfigUpdate(_))
    ));
}

#[test]
fn the_texts_held_are_few() {
    let mut texts = TextStore::new(2);
    for version in 1..50 {
        texts.outgoing(version % 5, word(version, &body(40, 3, version as usize)));
        texts.hold(format!("7\n{}", body(40, 4, version as usize)).as_bytes());
    }
    assert!(texts.size() <= 2 * body(40, 3, 50).len());
}
