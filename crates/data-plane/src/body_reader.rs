//! Reads the body of a client's request completely, within the budget of memory and the time of the request.
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use notchspool::units::Micros;

use crate::body_budget::{BodyReservation, BudgetExhausted, MAX_SMALL_BYTES, STEP_BYTES};
use crate::byte_blocks::ByteBlocks;
use crate::context::{Context, within};
use crate::request_body::RequestBody;

/// A body waits for memory for this part of its request's time.
const MAX_MEMORY_WAIT_PART: f64 = 0.5;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is over the limit of the configuration.
    TooLong,
    /// Its connection ended, or it is malformed.
    CutShort,
    /// It was not complete when the time of the request was over.
    TooSlow,
    /// There was no memory for it in time.
    BudgetExhausted,
}

impl BodyError {
    fn of(error: &(dyn std::error::Error + 'static)) -> BodyError {
        if error.is::<LengthLimitError>() { BodyError::TooLong } else { BodyError::CutShort }
    }
}

impl From<BudgetExhausted> for BodyError {
    fn from(_: BudgetExhausted) -> BodyError {
        BodyError::BudgetExhausted
    }
}

/// The body, of `max_bytes` at most, and the memory that is reserved for it.
///
/// # Errors
///
/// It is not complete by the deadline, is too long, breaks off, or the budget is exhausted. Nothing is reserved then.
pub async fn read(
    context: &Context,
    body: Incoming,
    max_bytes: usize,
    deadline: Micros,
) -> Result<(RequestBody, BodyReservation), BodyError> {
    let time = deadline - context.now();
    let read = within(time, read_within_budget(context, body, max_bytes, time)).await;
    read.unwrap_or(Err(BodyError::TooSlow))
}

async fn read_within_budget(
    context: &Context,
    body: Incoming,
    max_bytes: usize,
    time: Micros,
) -> Result<(RequestBody, BodyReservation), BodyError> {
    let give_up_at = context.now() + time.times(MAX_MEMORY_WAIT_PART);
    let budget = &context.body_budget;
    let mut reservation = BodyReservation::default();
    let announced = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if let Some(length) = announced {
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        budget.extend(&mut reservation, length, give_up_at - context.now()).await?;
    }
    let mut body = Limited::new(body, max_bytes);
    let mut blocks = ByteBlocks::expecting(announced);
    while let Some(frame) = body.frame().await {
        let piece = frame.map_err(|e| BodyError::of(e.as_ref()))?.into_data().unwrap_or_default();
        let length = blocks.len() + piece.len();
        if length > reservation.bytes() {
            let wanted = length.max(reservation.bytes() + STEP_BYTES);
            let wanted = if length <= MAX_SMALL_BYTES { MAX_SMALL_BYTES } else { wanted };
            budget.extend(&mut reservation, wanted, give_up_at - context.now()).await?;
        }
        blocks.push(&piece);
    }
    Ok((RequestBody::new(blocks.into_blocks()), reservation))
}
