//! What stands in the pipe of a streamed body.
use bytes::Bytes;
use notchspool_data_plane::body_pipe::{BodyEnd, BodyPipe, CHUNK_BYTES};
use oorandom::Rand64;

/// Guards against a body that comes byte by byte, to a reader that takes nothing (`docs/incidents/body-in-small-chunks.md`).
#[test]
fn drawn_chunks_stand_in_a_pipe_in_few_parts_and_come_out_in_order() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    for seed in 0..100 {
        let mut random = Rand64::new(seed);
        let (pipe, mut written, mut read, mut parts) = (BodyPipe::default(), Vec::new(), Vec::new(), 0);
        while written.len() < 200_000 {
            let most = if random.rand_float() < 0.9 { 40 } else { CHUNK_BYTES as u64 };
            let chunk: Vec<u8> =
                (0..random.rand_range(0..most + 1)).map(|_| random.rand_u64() as u8).collect();
            written.extend_from_slice(&chunk);
            pipe.write(Bytes::from(chunk));
            assert_eq!(pipe.len(), written.len() - read.len());
            if random.rand_float() < 0.002 {
                read.extend_from_slice(&runtime.block_on(pipe.next()).unwrap());
            }
        }
        pipe.finish(BodyEnd::Complete);
        let left = pipe.len();
        while let Ok(chunk) = runtime.block_on(pipe.next()) {
            assert!(chunk.len() <= CHUNK_BYTES);
            parts += 1;
            read.extend_from_slice(&chunk);
        }
        assert_eq!(read, written, "seed {seed}");
        // Two next to each other are more than a chunk, or one of them was large as it came.
        assert!(parts <= 4 * (left / CHUNK_BYTES) + 4, "seed {seed}: {parts} parts for {left} bytes");
    }
}
