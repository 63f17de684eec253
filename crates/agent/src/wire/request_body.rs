//! Reads the body of a request as far as it is to be held, and passes on the rest.
use std::time::Duration;

use actix_http::{Payload, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use super::answer::content_length;
use crate::base::limits::{HELD_BODY_BYTES, SMALL_BODY_BYTES};
use crate::state::body_budget::{BodyBudget, BodyReservation};
use crate::state::body_stream::{BodyBroken, BodySender, MAX_BODY_BYTES};

/// A client that gives nothing more of a body for so long has broken off.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a body is refused: the status and words of the answer.
pub type BodyRefusal = (StatusCode, &'static str);

const TOO_LARGE: BodyRefusal = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
const OVER_SMALL: BodyRefusal = (StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB");
const BROKEN: BodyRefusal = (StatusCode::BAD_REQUEST, "the body broke off");
const STALLED: BodyRefusal = (StatusCode::REQUEST_TIMEOUT, "the body stands still");

/// A body, all of it or its beginning with what follows.
pub struct RequestBody {
    /// What is held.
    pub held: Bytes,
    /// What of that is held out of the body budget.
    pub reservation: Option<BodyReservation>,
    /// Bytes in all, where that was stated.
    pub length: Option<usize>,
    /// What follows.
    pub rest: Option<Payload>,
}

/// Reads a body as far as it is to be held: a small one to its end, a larger one while the budget has room up to `limit`.
///
/// # Errors
///
/// It is too large, or broke off.
pub async fn read_held(
    request: &mut Request,
    budget: &BodyBudget,
    limit: usize,
) -> Result<RequestBody, BodyRefusal> {
    let length = content_length(request.head().headers());
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(TOO_LARGE);
    }
    let mut held = BytesMut::new();
    let mut payload = request.take_payload();
    let mut reservation: Option<BodyReservation> = None;
    // One that can't be held to its end is not worth holding.
    let is_large = length.is_some_and(|length| length > HELD_BODY_BYTES);
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BROKEN)?;
        held.extend_from_slice(&chunk);
        if held.len() <= SMALL_BODY_BYTES && !is_large {
            continue;
        }
        let may_hold = held.len() <= HELD_BODY_BYTES && !is_large;
        // What was held before it was known to be large counts from now on.
        let bytes = if reservation.is_none() { held.len() } else { chunk.len() };
        if !may_hold || !reservation.get_or_insert_with(|| budget.reserve()).try_grow(bytes, limit) {
            return Ok(RequestBody { held: held.freeze(), reservation, length, rest: Some(payload) });
        }
    }
    Ok(RequestBody { held: held.freeze(), reservation, length, rest: None })
}

/// Reads a small body to its end.
///
/// # Errors
///
/// It is not small, or broke off.
pub async fn read_small(request: &mut Request) -> Result<Bytes, BodyRefusal> {
    if content_length(request.head().headers()).is_some_and(|length| length > SMALL_BODY_BYTES) {
        return Err(OVER_SMALL);
    }
    match read_held(request, &BodyBudget::default(), 0).await? {
        RequestBody { held, rest: None, .. } => Ok(held),
        RequestBody { rest: Some(_), .. } => Err(OVER_SMALL),
    }
}

/// Hands a body on as it comes, to its end. Where nobody takes it, it waits. `passed`: bytes before.
///
/// # Errors
///
/// It is too large, broke off, or stands still; the receiver hears that it is broken.
pub async fn pass_on(
    payload: &mut Payload,
    sender: BodySender,
    mut passed: usize,
    length: Option<usize>,
) -> Result<(), BodyRefusal> {
    loop {
        let Ok(permit) = sender.reserve().await else {
            // Nobody will take it any more: the answer is on its way.
            return std::future::pending().await;
        };
        let refusal = match actix_rt::time::timeout(CHUNK_TIMEOUT, payload.next()).await {
            Ok(Some(Ok(chunk))) if passed + chunk.len() > MAX_BODY_BYTES => TOO_LARGE,
            Ok(Some(Ok(chunk))) => {
                // An empty chunk would say that the body is complete.
                if !chunk.is_empty() {
                    passed += chunk.len();
                    permit.send(Ok(chunk));
                }
                continue;
            }
            Ok(None) if length.is_none_or(|length| length == passed) => {
                permit.send(Ok(Bytes::new()));
                return Ok(());
            }
            Ok(None | Some(Err(_))) => BROKEN,
            Err(_) => STALLED,
        };
        permit.send(Err(BodyBroken));
        return Err(refusal);
    }
}
