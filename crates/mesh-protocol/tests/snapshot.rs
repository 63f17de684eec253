//! A snapshot is whole or none, in a file and on its way.
use bytes::Bytes;
use notchspool_mesh_protocol::snapshot::{Assembly, PIECE, Sending, Step, decode, encode};
use notchspool_mesh_protocol::{Ballot, Claim, More, Piece, Snapshot, Ticket};

fn noise(n: usize) -> String {
    let mut state = 7u64;
    let next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        char::from(b'!' + (state >> 33) as u8 % 90)
    };
    std::iter::repeat_with(next).take(n).collect()
}

fn snapshot(bytes: usize) -> Snapshot {
    let ticket = |number| Some(Ticket { life: 1, number, turn: 0 });
    let claim = |n: u64| Claim {
        key: format!("k-{n}"),
        ticket: ticket(n),
        holder: "h".into(),
        holder_life: 1,
        ..Claim::default()
    };
    Snapshot {
        voter: 0,
        set: 3,
        seat: Bytes::from_static(b"{}"),
        promised: Some(Ballot { round: 9, by: 7 }),
        under: Some(Ballot { round: 8, by: 5 }),
        body: Some(format!("12\n{}", noise(bytes))),
        claims: (0..20).map(claim).collect(),
    }
}

#[test]
fn cut_at_any_byte_or_with_any_byte_changed_it_is_none() {
    let all = encode(&snapshot(300)).unwrap();
    assert_eq!(decode(&all), Some(snapshot(300)));
    for at in 0..all.len() {
        assert_eq!(decode(&all[..at]), None, "cut at {at}");
        let mut other = all.clone();
        other[at] ^= 1;
        // A flag of the packing may not matter; what comes out is the same then.
        assert!(decode(&other).is_none_or(|s| s == snapshot(300)), "changed at {at}");
    }
}

#[test]
fn it_comes_in_pieces_and_goes_on_after_an_interruption_at_any_of_them() {
    let wanted = snapshot(5 * PIECE);
    let sending = Sending::open(&wanted).unwrap();
    assert!(sending.pieces().count() > 4 && sending.pieces().all(|p| p.bytes.len() <= PIECE));
    for lost in 0..sending.pieces().count() {
        let mut assembly = Assembly::default();
        let (mut more, mut asked) = (assembly.ask(), 0);
        let whole = loop {
            asked += 1;
            if asked == lost + 1 {
                // The answer to this one is lost with its connection: the same is asked for on the next.
                let _ = sending.piece(&more);
                assert_eq!(assembly.ask(), more);
                assert_eq!(more.offset, (lost * PIECE) as u64);
            }
            match assembly.hear(sending.piece(&more)) {
                Step::More(next) => more = next,
                Step::Whole(whole) => break whole,
                Step::Refused(_) => panic!("refused"),
            }
        };
        assert_eq!((*whole, asked), (wanted.clone(), sending.pieces().count()));
    }
}

#[test]
fn twice_out_of_order_and_of_another_one_are_refused_and_nothing_is_lost() {
    let (one, other) =
        (Sending::open(&snapshot(3 * PIECE)).unwrap(), Sending::open(&snapshot(2 * PIECE)).unwrap());
    let pieces: Vec<Piece> = one.pieces().collect();
    let mut assembly = Assembly::default();
    assert!(matches!(assembly.hear(pieces[1].clone()), Step::Refused(_)), "not the first");
    assert!(matches!(assembly.hear(pieces[0].clone()), Step::More(_)));
    assert!(matches!(assembly.hear(pieces[0].clone()), Step::Refused(_)), "twice");
    assert!(matches!(assembly.hear(pieces[2].clone()), Step::Refused(_)), "not the next");
    let astray = other.piece(&More { id: other.pieces().next().unwrap().id, offset: PIECE as u64 });
    assert!(matches!(assembly.hear(astray), Step::Refused(_)), "of another");
    assert_eq!((assembly.size(), assembly.refused), (PIECE, 4));
    let rest: Vec<Step> = pieces[1..].iter().cloned().map(|p| assembly.hear(p)).collect();
    assert_eq!(rest.last(), Some(&Step::Whole(Box::new(snapshot(3 * PIECE)))));
    // The sender has another by now: it is told from its start, and the old part is given up.
    assert!(matches!(assembly.hear(pieces[0].clone()), Step::More(_)));
    let more = assembly.ask();
    let Step::More(next) = assembly.hear(other.piece(&more)) else { panic!("not begun anew") };
    assert_eq!((next.offset, assembly.size()), (PIECE as u64, PIECE));
}

#[test]
fn spoilt_pieces_and_sizes_over_the_limit_never_make_a_whole() {
    let sending = Sending::open(&snapshot(2 * PIECE)).unwrap();
    for spoilt in 0..sending.pieces().count() {
        let mut assembly = Assembly::default();
        let steps: Vec<Step> = sending
            .pieces()
            .enumerate()
            .map(|(n, mut piece)| {
                if n == spoilt {
                    let mut bytes = piece.bytes.to_vec();
                    let middle = bytes.len() / 2;
                    bytes[middle] ^= 0x55;
                    piece.bytes = bytes.into();
                }
                assembly.hear(piece)
            })
            .collect();
        assert!(matches!(steps.last(), Some(Step::Refused(_))), "{spoilt}");
        assert_eq!((assembly.size(), assembly.ask().offset), (0, 0), "it is asked for from the start");
    }
    let mut assembly = Assembly::default();
    let piece = sending.pieces().next().unwrap();
    for wrong in [
        Piece { total: u64::MAX, ..piece.clone() },
        Piece { total: 1 << 30, ..piece.clone() },
        Piece { bytes: Bytes::new(), ..piece.clone() },
        Piece { bytes: vec![0; PIECE + 1].into(), ..piece.clone() },
        Piece { id: Bytes::from_static(b"short"), ..piece.clone() },
        Piece { total: 10, ..piece.clone() },
    ] {
        assert!(matches!(assembly.hear(wrong), Step::Refused(_)));
        assert_eq!(assembly.size(), 0);
    }
}
