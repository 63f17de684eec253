//! Memory that bytes take, in pieces of any size.
use notchspool_data_plane::byte_blocks::{BLOCK_BYTES, ByteBlocks};
use oorandom::Rand64;

/// Guards against bodies that take a multiple of their bytes, since they come in small pieces (`docs/incidents/body-in-small-chunks.md`).
#[test]
fn drawn_pieces_take_their_bytes_and_one_block_at_the_most() {
    for seed in 0..300 {
        let mut random = Rand64::new(seed);
        let most = [1, 16, 1_000, 20_000, 300_000][random.rand_range(0..5) as usize];
        let length = random.rand_range(0..400_000) as usize;
        let all: Vec<u8> = (0..length).map(|_| random.rand_u64() as u8).collect();
        let is_known = random.rand_float() < 0.5;
        let mut blocks = ByteBlocks::expecting(is_known.then_some(length));
        let mut rest = &all[..];
        while !rest.is_empty() {
            let (piece, later) = rest.split_at(rest.len().min(random.rand_range(1..most + 1) as usize));
            blocks.push(piece);
            rest = later;
            let (taken, kept) = (blocks.allocated_bytes(), blocks.len());
            assert!(taken <= kept + BLOCK_BYTES, "seed {seed}: {taken} bytes for {kept}");
            assert!(
                !is_known || taken <= length.max(kept),
                "seed {seed}: {taken} bytes for {kept} of {length}"
            );
        }
        let blocks = blocks.into_blocks();
        assert!(blocks.len() <= length.div_ceil(BLOCK_BYTES) + 1, "seed {seed}: {} blocks", blocks.len());
        assert_eq!(blocks.concat(), all, "seed {seed}");
    }
}
