//! Frames recorded before the messages were renamed: each is read, and written again byte for byte. An upgrade runs with processes of
//! both builds, so a renamed field must not have moved to another tag. Those that came later (27 to 29, and three of 1 and 2) are added as they were first written.
use bytes::BytesMut;
use notchspool_mesh_protocol::{decode, encode};

const FRAMES: &str = include_str!("golden/frames.txt");

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

#[test]
fn every_recorded_frame_is_read_and_written_again_byte_for_byte() {
    let mut tags = Vec::new();
    for line in FRAMES.lines().filter(|line| !line.starts_with('#')) {
        let (tag, hex) = line.split_once(' ').unwrap();
        let bytes = unhex(hex);
        let mut incoming = BytesMut::from(&bytes[..]);
        let payload = decode(&mut incoming).unwrap().unwrap();
        assert!(incoming.is_empty(), "tag {tag}: bytes are left over");
        let mut outgoing = BytesMut::new();
        encode(payload, &mut outgoing);
        assert_eq!(outgoing, bytes, "tag {tag}");
        tags.push(tag.parse::<u32>().unwrap());
    }
    let known = [
        (1..=19).collect::<Vec<u32>>(),
        vec![22, 24, 25, 26, 27, 28, 29],
        (40..=44).collect(),
        (50..=54).collect(),
    ];
    assert_eq!(tags.iter().collect::<std::collections::BTreeSet<_>>(), known.iter().flatten().collect());
}
