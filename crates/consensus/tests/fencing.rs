//! The fence admits tokens in order, job by job.
use notchspool_consensus::Token;
use notchspool_consensus::fencing::{Admission, Fence};

#[test]
fn tokens_only_grow_for_each_job() {
    let mut fence = Fence::default();
    assert_eq!(
        fence.admit("orders", Token(0)),
        Admission::Rejected(Token(0)),
        "nobody's token opens nothing"
    );
    assert_eq!(fence.admit("orders", Token(3)), Admission::Raised);
    assert_eq!(fence.admit("orders", Token(3)), Admission::Current);
    assert_eq!(fence.admit("orders", Token(2)), Admission::Rejected(Token(3)));
    assert_eq!(fence.admit("rollout", Token(1)), Admission::Raised, "another job has tokens of its own");
    assert_eq!(fence.highest("orders"), Token(3));
}
