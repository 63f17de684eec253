//! Bodies that pass through in chunks, and the memory of those that are held.
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use notchspool_agent::state::body_budget::BodyBudget;
use notchspool_agent::state::body_stream::{BodyBroken, MAX_WAITING_CHUNKS, RemainingBody, body_stream};

#[tokio::test(flavor = "current_thread")]
async fn an_end_that_was_not_announced_is_a_break() {
    for (ends, expected) in
        [(true, vec![Ok(Bytes::from("a"))]), (false, vec![Ok(Bytes::from("a")), Err(BodyBroken)])]
    {
        let (sender, stream) = body_stream();
        sender.send(Ok(Bytes::from("a"))).await.expect("room");
        if ends {
            sender.send(Ok(Bytes::new())).await.expect("room");
        }
        drop(sender);
        assert_eq!(stream.collect::<Vec<_>>().await, expected);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn the_sender_waits_for_the_receiver() {
    let (sender, mut stream) = body_stream();
    for _ in 0..MAX_WAITING_CHUNKS {
        sender.try_send(Ok(Bytes::from("a"))).expect("room");
    }
    assert!(sender.try_send(Ok(Bytes::from("a"))).is_err());
    stream.next().await.expect("a chunk").expect("unbroken");
    sender.try_send(Ok(Bytes::from("a"))).expect("room again");
}

#[test]
fn the_remaining_body_is_taken_once() {
    let remaining = RemainingBody::new(body_stream().1, None, Duration::ZERO);
    assert!(
        !remaining.is_taken()
            && remaining.take().is_some()
            && remaining.take().is_none()
            && remaining.is_taken()
    );
}

#[test]
fn reservations_together_stay_within_the_limit_and_are_given_back() {
    let budget = BodyBudget::default();
    let (mut one, mut other) = (budget.reserve(), budget.reserve());
    assert!(one.try_grow(60, 100) && !other.try_grow(60, 100) && other.try_grow(40, 100));
    assert_eq!(budget.reserved(), 100);
    drop(one);
    assert!(other.try_grow(60, 100));
    drop(other);
    assert_eq!(budget.reserved(), 0);
}
