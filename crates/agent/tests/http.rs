//! Heads and bodies of HTTP as they pass, cut anywhere.
use notchspool_agent::wire::answer_head::{AnswerHead, ends_with_connection};
use notchspool_agent::wire::attempt_progress::AttemptProgress;
use notchspool_agent::wire::chunked_tracker::ChunkedTracker;
use notchspool_agent::wire::client_stream::end_of_heads;
use rstest::rstest;

#[rstest]
#[case(b"5\r\nabcde\r\n0\r\n\r\n")]
#[case(b"0\r\n\r\n")]
#[case(b"A;name=\"x\"\r\n0\r\n\r\n6789a\r\n0;last\r\nX-Trailer: 0\r\nY: z\r\n\r\n")]
#[case(b"00002 \r\n\r\n\r\n000\r\n\r\n")]
fn the_end_is_found_wherever_the_body_is_cut(#[case] body: &[u8]) {
    for cut in 0..=body.len() {
        let mut tracker = ChunkedTracker::default();
        tracker.pass(&body[..cut]);
        assert_eq!(tracker.ended_cleanly(), cut == body.len(), "{cut}");
        tracker.pass(&body[cut..]);
        assert!(tracker.ended_cleanly(), "{cut}");
        tracker.pass(b"H");
        assert!(!tracker.ended_cleanly(), "something came behind it");
    }
}

#[rstest]
#[case(b"x\r\n")]
#[case(b"fffffffffffffffffff\r\n")]
#[case(b"0\r\n\rno")]
fn a_malformed_body_never_ends(#[case] body: &[u8]) {
    let mut tracker = ChunkedTracker::default();
    tracker.pass(body);
    tracker.pass(b"0\r\n\r\n");
    assert!(!tracker.ended_cleanly());
}

#[rstest]
#[case(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nrest", AnswerHead::Final(25))]
#[case(b"HTTP/1.1 200 OK\nA: b\n\nrest", AnswerHead::Final(22))]
#[case(b"HTTP/1.1 100 Continue\r\n\r\nHTTP", AnswerHead::Interim(25))]
#[case(b"HTTP/1.1 101 No\r\n\r\n", AnswerHead::Final(19))]
#[case(b"noise", AnswerHead::None)]
fn a_head_is_found_once_it_is_complete(#[case] received: &[u8], #[case] expected: AnswerHead) {
    let end = match expected {
        AnswerHead::Final(end) | AnswerHead::Interim(end) => end,
        _ => received.len(),
    };
    assert_eq!(AnswerHead::find(received), expected);
    for cut in 0..end {
        assert!(
            matches!(AnswerHead::find(&received[..cut]), AnswerHead::Incomplete | AnswerHead::None),
            "{cut}"
        );
    }
}

#[rstest]
#[case(b"HTTP/1.1 200 OK\r\n\r\n", true)]
#[case(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", true)]
#[case(b"HTTP/1.1 200 OK\r\nCONTENT-length : 3\r\n\r\n", false)]
#[case(b"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", false)]
#[case(b"HTTP/1.1 204 No\r\n\r\n", false)]
fn an_answer_without_a_length_ends_with_its_connection(#[case] head: &[u8], #[case] expected_end: bool) {
    assert_eq!(ends_with_connection(head), expected_end);
}

#[test]
fn a_chunked_request_is_written_only_with_its_last_chunk() {
    let progress = AttemptProgress::new(None, false);
    progress.on_written(b"POST / HTTP/1.1\r\n\r\n");
    progress.on_written(b"5\r\n0\r\n\r\n\r\n");
    assert!(!progress.is_fully_written(), "a body may look like its own end");
    progress.body_handed_over.set(true);
    progress.on_written(b"0\r\n");
    assert!(!progress.is_fully_written());
    progress.on_written(b"\r\n");
    assert!(progress.is_fully_written());
}

#[test]
fn two_heads_are_end_of_heads() {
    let one = b"GET / HTTP/1.1\r\n\r\n";
    assert_eq!(end_of_heads(one), None);
    assert_eq!(end_of_heads(&one.repeat(2)), None, "nothing comes behind them");
    assert_eq!(end_of_heads(&one.repeat(40)), Some(2 * one.len()));
    assert_eq!(end_of_heads(b"GET / HTTP/1.1\n\nGET / HTTP/1.1\n\r\nG"), Some(33));
    assert_eq!(end_of_heads(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nno\nend\r\n"), None);
}
