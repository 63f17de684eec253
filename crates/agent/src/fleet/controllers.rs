//! Reading lines of controllers, and asking their voters for the last owner.
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use notchspool_consensus::{OWNER_KEY, OwnerRecord, Reply, Token};
use notchspool_fleet_protocol::{Body, MAX_LINE_BYTES, MAX_SHORT_LINE_BYTES, Message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Free space for each read, in bytes.
const READ_BYTES: usize = 4096;

/// The next line, with its end; nothing at the end of the stream. Cancel safe: when dropped while it waits, nothing is lost.
pub async fn next_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Vec<u8>>> {
    loop {
        if let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let rest = buffer.split_off(end + 1);
            return Ok(Some(std::mem::replace(buffer, rest)));
        }
        if buffer.len() > MAX_SHORT_LINE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        buffer.reserve(READ_BYTES);
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// The token of the last owner that one voter knows; nothing where it does not answer so within `patience`.
pub async fn last_owner_token(
    controller: SocketAddr,
    fleet: &str,
    request: &str,
    patience: Duration,
) -> Option<Token> {
    let line = timeout(patience, ask_voter(controller, request)).await.ok()?.ok()??;
    let Message { body: Body::VoterResponse(response), .. } = Message::decode(&line, fleet).ok()? else {
        return None;
    };
    let Reply::Current { entries, .. } = response.reply else { return None };
    let owner = entries.get(OWNER_KEY).and_then(|entry| OwnerRecord::parse(&entry.value));
    Some(owner.unwrap_or_default().token)
}

/// The first line of the answer, which may be a long one.
async fn ask_voter(controller: SocketAddr, request: &str) -> io::Result<Option<Vec<u8>>> {
    let mut stream = TcpStream::connect(controller).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut buffer = Vec::new();
    while !buffer.ends_with(b"\n") {
        if buffer.len() > MAX_LINE_BYTES || stream.read_buf(&mut buffer).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(buffer))
}
