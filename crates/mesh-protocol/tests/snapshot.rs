//! A snapshot is whole or none, in a file and on its way.
use bytes::Bytes;
use notchspool_mesh_protocol::snapshot::{
    MAX_CHUNK_BYTES, Progress, SnapshotReceiver, SnapshotSender, decode, encode,
};
use notchspool_mesh_protocol::{Ballot, Claim, Snapshot, SnapshotChunk, SnapshotRequest, Ticket};

fn noise(n: usize) -> String {
    let mut state = 7u64;
    let next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        char::from(b'!' + (state >> 33) as u8 % 90)
    };
    std::iter::repeat_with(next).take(n).collect()
}

fn snapshot(bytes: usize) -> Snapshot {
    let ticket = |number| Some(Ticket { boot_id: 1, number, attempt: 0 });
    let claim = |n: u64| Claim {
        key: format!("k-{n}"),
        ticket: ticket(n),
        holder: "h".into(),
        holder_boot_id: 1,
        ..Claim::default()
    };
    Snapshot {
        voter: 0,
        set_number: 3,
        membership: Bytes::from_static(b"{}"),
        promised: Some(Ballot { round: 9, proposer: 7 }),
        accepted_ballot: Some(Ballot { round: 8, proposer: 5 }),
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
    let wanted = snapshot(5 * MAX_CHUNK_BYTES);
    let sending = SnapshotSender::new(&wanted).unwrap();
    assert!(sending.chunks().count() > 4 && sending.chunks().all(|p| p.bytes.len() <= MAX_CHUNK_BYTES));
    for lost in 0..sending.chunks().count() {
        let mut assembly = SnapshotReceiver::default();
        let (mut more, mut requested) = (assembly.request(), 0);
        let full = loop {
            requested += 1;
            if requested == lost + 1 {
                // The answer to this one is lost with its connection: the same is asked for on the next.
                let _ = sending.chunk(&more);
                assert_eq!(assembly.request(), more);
                assert_eq!(more.offset, (lost * MAX_CHUNK_BYTES) as u64);
            }
            match assembly.on_chunk(sending.chunk(&more)) {
                Progress::Continue(next) => more = next,
                Progress::Complete(full) => break full,
                Progress::Rejected(_) => panic!("refused"),
            }
        };
        assert_eq!((*full, requested), (wanted.clone(), sending.chunks().count()));
    }
}

#[test]
fn twice_out_of_order_and_of_another_one_are_refused_and_nothing_is_lost() {
    let (one, other) = (
        SnapshotSender::new(&snapshot(3 * MAX_CHUNK_BYTES)).unwrap(),
        SnapshotSender::new(&snapshot(2 * MAX_CHUNK_BYTES)).unwrap(),
    );
    let chunks: Vec<SnapshotChunk> = one.chunks().collect();
    let mut assembly = SnapshotReceiver::default();
    assert!(matches!(assembly.on_chunk(chunks[1].clone()), Progress::Rejected(_)), "not the first");
    assert!(matches!(assembly.on_chunk(chunks[0].clone()), Progress::Continue(_)));
    assert!(matches!(assembly.on_chunk(chunks[0].clone()), Progress::Rejected(_)), "twice");
    assert!(matches!(assembly.on_chunk(chunks[2].clone()), Progress::Rejected(_)), "not the next");
    let astray = other
        .chunk(&SnapshotRequest { id: other.chunks().next().unwrap().id, offset: MAX_CHUNK_BYTES as u64 });
    assert!(matches!(assembly.on_chunk(astray), Progress::Rejected(_)), "of another");
    assert_eq!((assembly.size(), assembly.rejected), (MAX_CHUNK_BYTES, 4));
    let rest: Vec<Progress> = chunks[1..].iter().cloned().map(|p| assembly.on_chunk(p)).collect();
    assert_eq!(rest.last(), Some(&Progress::Complete(Box::new(snapshot(3 * MAX_CHUNK_BYTES)))));
    // The sender has another by now: it is told from its start, and the old part is given up.
    assert!(matches!(assembly.on_chunk(chunks[0].clone()), Progress::Continue(_)));
    let more = assembly.request();
    let Progress::Continue(next) = assembly.on_chunk(other.chunk(&more)) else { panic!("not begun anew") };
    assert_eq!((next.offset, assembly.size()), (MAX_CHUNK_BYTES as u64, MAX_CHUNK_BYTES));
}

#[test]
fn spoilt_pieces_and_sizes_over_the_limit_never_make_a_full() {
    let sending = SnapshotSender::new(&snapshot(2 * MAX_CHUNK_BYTES)).unwrap();
    for spoilt in 0..sending.chunks().count() {
        let mut assembly = SnapshotReceiver::default();
        let steps: Vec<Progress> = sending
            .chunks()
            .enumerate()
            .map(|(n, mut chunk)| {
                if n == spoilt {
                    let mut bytes = chunk.bytes.to_vec();
                    let middle = bytes.len() / 2;
                    bytes[middle] ^= 0x55;
                    chunk.bytes = bytes.into();
                }
                assembly.on_chunk(chunk)
            })
            .collect();
        assert!(matches!(steps.last(), Some(Progress::Rejected(_))), "{spoilt}");
        assert_eq!((assembly.size(), assembly.request().offset), (0, 0), "it is asked for from the start");
    }
    let mut assembly = SnapshotReceiver::default();
    let chunk = sending.chunks().next().unwrap();
    for bad in [
        SnapshotChunk { total_bytes: u64::MAX, ..chunk.clone() },
        SnapshotChunk { total_bytes: 1 << 30, ..chunk.clone() },
        SnapshotChunk { bytes: Bytes::new(), ..chunk.clone() },
        SnapshotChunk { bytes: vec![0; MAX_CHUNK_BYTES + 1].into(), ..chunk.clone() },
        SnapshotChunk { id: Bytes::from_static(b"short"), ..chunk.clone() },
        SnapshotChunk { total_bytes: 10, ..chunk.clone() },
    ] {
        assert!(matches!(assembly.on_chunk(bad), Progress::Rejected(_)));
        assert_eq!(assembly.size(), 0);
    }
}
