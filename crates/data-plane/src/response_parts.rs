//! A large response that is here whole goes to another proxy in parts.
//!
//! In one frame it would stand before all else on the connection, and end it where it is larger than may wait there unsent. In parts it is sent
//! as the other side passes it on, as one that comes from the backend meanwhile.
use bytes::Bytes;

use crate::body_pipe::{BodyEnd, BodyPipe, CHUNK_BYTES};
use crate::peer_link::PeerResponse;

/// Bytes of a body that goes in one frame at most.
pub const MAX_WHOLE_BYTES: usize = 64 << 10;

/// The response, with the rest of a large body behind a pipe.
pub fn in_parts(mut response: PeerResponse) -> PeerResponse {
    let length = response.response.body.len();
    if response.rest.is_some() || length <= MAX_WHOLE_BYTES {
        return response;
    }
    let rest = response.response.body.split_off(CHUNK_BYTES);
    let pipe = BodyPipe::default();
    tokio::task::spawn_local(feed(rest, pipe.clone()));
    response.response.more = true;
    response.response.length = length as u64;
    response.rest = Some(pipe);
    response
}

/// Puts a body into a pipe as there is room.
async fn feed(mut body: Bytes, pipe: BodyPipe) {
    while !body.is_empty() {
        if !pipe.wait_for_room().await {
            return;
        }
        pipe.write(body.split_to(body.len().min(CHUNK_BYTES)));
    }
    pipe.finish(BodyEnd::Complete);
}
