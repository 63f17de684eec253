//! The log of claims.
use std::collections::BTreeSet;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use notchspool_mesh_protocol::{Claim, Ticket};
use notchspool_storage::WriteOp;
use notchspool_storage::claim_log::{ClaimLog, RETRY_INTERVAL};

mod support;

use support::claim;

/// A folder of this test alone, empty.
fn empty_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("notchspool-claims-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn keys(claims: &[Claim]) -> Vec<String> {
    let mut keys: Vec<String> = claims.iter().map(|c| c.key.clone()).collect();
    keys.sort();
    keys
}

#[test]
fn after_a_failed_write_the_log_is_opened_anew_and_nothing_is_lost() {
    let folder = empty_folder("failed");
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

/// A process that ends while it makes a segment leaves it without its first bytes: nothing in it was ever acknowledged.
#[test]
fn a_segment_that_was_being_made_at_the_end_does_not_keep_the_log_from_opening() {
    for length in [0, 3, 8_196, 1 << 20] {
        let folder = empty_folder("half-made");
        let window = Duration::from_secs(60);
        let (mut claims, _) = ClaimLog::open(&folder, window).unwrap();
        claims.write(&[claim("a")]).unwrap();
        claims.write(&[claim("b")]).unwrap();
        drop(claims);
        // A segment is named after the first entry that it may hold.
        File::create(folder.join("log/wal-3")).unwrap().set_len(length).unwrap();
        let (mut claims, read) = ClaimLog::open(&folder, window).unwrap_or_else(|e| panic!("{length}: {e}"));
        assert_eq!(keys(&read), ["a", "b"], "{length}");
        claims.write(&[claim("c")]).unwrap();
        drop(claims);
        let (_, read) = ClaimLog::open(&folder, window).unwrap();
        assert_eq!(keys(&read), ["a", "b", "c"], "{length}");
        let _ = std::fs::remove_dir_all(&folder);
    }
}

fn names(folder: &Path) -> BTreeSet<String> {
    let entries = std::fs::read_dir(folder).unwrap();
    entries.map(|entry| entry.unwrap().file_name().to_string_lossy().into_owned()).collect()
}

/// A segment that is used again has bytes of its earlier use behind its last entry, at any offset; here such as would begin an entry with
/// a chunk of 2.4 GB. They are nobody's, and take no room.
#[test]
fn bytes_of_an_earlier_use_behind_the_last_entry_are_nobodys() {
    const MAX_FILE_BYTES: u64 = 2 << 20;
    let folder = empty_folder("used-before");
    let window = Duration::from_secs(60);
    let (mut claims, _) = ClaimLog::open(&folder, window).unwrap();
    claims.write(&[claim("a")]).unwrap();
    drop(claims);
    let segment = folder.join("log/wal-1");
    let mut bytes = std::fs::read(&segment).unwrap();
    let end = bytes.iter().rposition(|byte| *byte != 0).unwrap() + 1;
    let (entry, chunk, length) = (1, 2, 0x9000_0000u32.to_le_bytes());
    let earlier = [&[entry], &2u64.to_le_bytes()[..], &[chunk], &length, b"key"].concat();
    bytes.resize(bytes.len().max(end + earlier.len()), 0);
    bytes[end..end + earlier.len()].copy_from_slice(&earlier);
    std::fs::write(&segment, bytes).unwrap();
    for (key, expected) in [("b", vec!["a"]), ("c", vec!["a", "b"])] {
        let (mut claims, read) = ClaimLog::open(&folder, window).unwrap();
        assert_eq!(keys(&read), expected);
        claims.write(&[claim(key)]).unwrap();
        drop(claims);
        for name in names(&folder.join("log")) {
            let length = std::fs::metadata(folder.join("log").join(&name)).unwrap().len();
            assert!(length <= MAX_FILE_BYTES, "{name} has {length} bytes");
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
}
