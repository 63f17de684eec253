//! A body that passes through in pieces: who gives it waits for who takes it, so that little of it is ever here. What is of a stated length
//! or breaks off, the taker can tell.
use std::pin::Pin;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::mpsc;

/// Bytes of a body that passes through, at the most.
pub const LARGEST: usize = 33 * 1024 * 1024;
/// Pieces that wait between the two ends. Each is what one read brought: 8 kB, at times some more.
const WAITING: usize = 2;

/// Whoever gives the body broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut;
impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("the body broke off")
    }
}
impl std::error::Error for Cut {}

pub type Piece = Result<Bytes, Cut>;
pub type Giver = mpsc::Sender<Piece>;

/// The taker's end.
pub struct Flow {
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

pub fn flow() -> (Giver, Flow) {
    let (giver, pieces) = mpsc::channel(WAITING);
    (giver, Flow { pieces, ended: false })
}

impl Stream for Flow {
    type Item = Piece;
    /// The end comes once, and only where the giver said it: a giver that is just gone broke off.
    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Piece>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.pieces.poll_recv(cx).map(|piece| match piece {
            Some(Ok(piece)) if !piece.is_empty() => Some(Ok(piece)),
            // An empty piece is the giver's word that all is given.
            Some(Ok(_)) => {
                self.ended = true;
                None
            }
            Some(Err(Cut)) | None => {
                self.ended = true;
                Some(Err(Cut))
            }
        })
    }
}

/// What follows of a request's body after the part that is held. It can be taken once.
pub struct Rest {
    flow: Mutex<Option<Flow>>,
    /// Bytes of the whole body, the held part too, where that was told.
    pub length: Option<usize>,
    /// How long the answer is waited for, from when the last byte was given.
    pub wait: Duration,
    given: OnceLock<Instant>,
}

impl Rest {
    pub fn new(flow: Flow, length: Option<usize>, wait: Duration) -> Rest {
        Rest { flow: Mutex::new(Some(flow)), length, wait, given: OnceLock::new() }
    }
    /// For the one posting that takes it: none after that.
    pub fn take(&self) -> Option<Flow> {
        self.flow.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
    /// A posting took it: no other one can send this body.
    pub fn is_taken(&self) -> bool {
        self.flow.lock().unwrap_or_else(PoisonError::into_inner).is_none()
    }
    /// The last byte was given.
    pub fn over(&self) {
        let _ = self.given.set(Instant::now());
    }
    /// When the last byte was given.
    pub fn given(&self) -> Option<Instant> {
        self.given.get().copied()
    }
}

#[cfg(test)]
mod tests {
    use futures_util::StreamExt;

    use super::*;

    #[tokio::test(flavor = "current_thread")]
    async fn an_end_that_was_not_said_is_a_break() {
        for (said, heard) in
            [(true, vec![Ok(Bytes::from("a"))]), (false, vec![Ok(Bytes::from("a")), Err(Cut)])]
        {
            let (giver, flow) = flow();
            giver.send(Ok(Bytes::from("a"))).await.expect("room");
            if said {
                giver.send(Ok(Bytes::new())).await.expect("room");
            }
            drop(giver);
            assert_eq!(flow.collect::<Vec<_>>().await, heard);
        }
    }

    #[tokio::test(flavor = "current_thread")]
    async fn who_gives_waits_for_who_takes() {
        let (giver, mut flow) = flow();
        for _ in 0..WAITING {
            giver.try_send(Ok(Bytes::from("a"))).expect("room");
        }
        assert!(giver.try_send(Ok(Bytes::from("a"))).is_err());
        flow.next().await.expect("a piece").expect("whole");
        giver.try_send(Ok(Bytes::from("a"))).expect("room again");
    }

    #[test]
    fn the_rest_is_taken_once() {
        let rest = Rest::new(flow().1, None, Duration::ZERO);
        assert!(!rest.is_taken() && rest.take().is_some() && rest.take().is_none() && rest.is_taken());
    }
}
