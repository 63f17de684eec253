//! The log of claims.
use std::time::{Duration, Instant};

use notchspool_mesh_protocol::{Claim, Ticket};
use notchspool_storage::WriteOp;
use notchspool_storage::claim_log::{ClaimLog, RETRY_INTERVAL};

fn claim(key: &str) -> WriteOp {
    let ticket = Some(Ticket { boot_id: 1, number: 1, attempt: 0 });
    WriteOp::Claim(Claim {
        key: key.into(),
        ticket,
        holder: "h".into(),
        holder_boot_id: 1,
        ..Claim::default()
    })
}

fn keys(claims: &[Claim]) -> Vec<String> {
    let mut keys: Vec<String> = claims.iter().map(|c| c.key.clone()).collect();
    keys.sort();
    keys
}

#[test]
fn after_a_failed_write_the_log_is_opened_anew_and_nothing_is_lost() {
    let folder = std::env::temp_dir().join(format!("notchspool-claims-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let (mut claims, read) = ClaimLog::open(&folder, Duration::from_secs(60)).unwrap();
    assert!(read.is_empty());
    claims.write(&[claim("a")]).unwrap();
    // As after a write that found no room: the place of the log can't be opened, then it can.
    claims.on_failure(Instant::now());
    assert!(claims.write(&[claim("b")]).is_err());
    claims.on_failure(Instant::now().checked_sub(RETRY_INTERVAL).unwrap());
    claims.write(&[claim("b")]).unwrap();
    claims
        .write(&[
            claim("c"),
            WriteOp::WithdrawClaim("a".into(), Ticket { boot_id: 1, number: 1, attempt: 0 }),
        ])
        .unwrap();
    drop(claims);
    let (_, read) = ClaimLog::open(&folder, Duration::from_secs(60)).unwrap();
    assert_eq!(keys(&read), ["b", "c"]);
    let _ = std::fs::remove_dir_all(&folder);
}
