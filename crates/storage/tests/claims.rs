//! The log of claims.
use std::time::{Duration, Instant};

use notchspool_mesh_protocol::{Claim, Ticket};
use notchspool_storage::Deed;
use notchspool_storage::claims::{AGAIN, Claims};

fn claim(key: &str) -> Deed {
    let ticket = Some(Ticket { life: 1, number: 1, turn: 0 });
    Deed::Claim(Claim { key: key.into(), ticket, holder: "h".into(), holder_life: 1, ..Claim::default() })
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
    let (mut claims, read) = Claims::open(&folder, Duration::from_secs(60)).unwrap();
    assert!(read.is_empty());
    claims.write(&[claim("a")]).unwrap();
    // As after a write that found no room: the place of the log can't be opened, then it can.
    claims.fail(Instant::now());
    assert!(claims.write(&[claim("b")]).is_err());
    claims.fail(Instant::now().checked_sub(AGAIN).unwrap());
    claims.write(&[claim("b")]).unwrap();
    claims.write(&[claim("c"), Deed::Withdraw("a".into(), Ticket { life: 1, number: 1, turn: 0 })]).unwrap();
    drop(claims);
    let (_, read) = Claims::open(&folder, Duration::from_secs(60)).unwrap();
    assert_eq!(keys(&read), ["b", "c"]);
    let _ = std::fs::remove_dir_all(&folder);
}
