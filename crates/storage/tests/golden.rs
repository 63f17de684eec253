//! Disks recorded before the code was renamed: the same content is found on them, and what is written again has the same form, so that
//! an upgrade can be taken back.
//!
//! `seated`: two configurations, a promise, a seat with a sealed register, claims of which one was withdrawn. `installed`: a snapshot
//! that counts and was not carried out. `older`: a seat of the form before sets had numbers, a torn promise and a torn configuration, a
//! file that was being written aside.
use std::path::{Path, PathBuf};
use std::time::Duration;

use notchspool_storage::file_store::FileStore;
use notchspool_storage::{Recovered, Storage, WriteOp};
use prost::Message;

const WINDOW: Duration = Duration::from_secs(60);

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let target = to.join(entry.file_name());
        if entry.path().is_dir() {
            copy_folder(&entry.path(), &target);
        } else {
            std::fs::copy(entry.path(), target).unwrap();
        }
    }
}

/// A copy of a recorded disk, removed at the end.
struct Copy(PathBuf);

impl Copy {
    fn of(name: &str, use_: &str) -> Copy {
        let recorded = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
        let to = std::env::temp_dir().join(format!("notchspool-golden-{name}-{use_}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&to);
        copy_folder(&recorded, &to);
        Copy(to)
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// All that was found, without the names that the code has for it.
fn described(found: &Recovered) -> String {
    let mut claims: Vec<String> = found
        .claims
        .iter()
        .map(|claim| claim.encode_to_vec().iter().map(|byte| format!("{byte:02x}")).collect())
        .collect();
    claims.sort();
    format!(
        "seat {}\npromised {}\naccepted {}\nclaims {}\ntorn {}\n",
        serde_json::to_string(&found.membership).unwrap(),
        serde_json::to_string(&found.promised).unwrap(),
        serde_json::to_string(&found.accepted).unwrap(),
        claims.join(" "),
        found.torn_files.join(" "),
    )
}

#[test]
fn recorded_disks_are_found_to_hold_what_they_held() {
    let expected = include_str!("golden/expected.txt");
    let mut all = String::new();
    for name in ["seated", "installed", "older"] {
        let disk = Copy::of(name, "read");
        let (storage, found) = Storage::open(&disk.0, WINDOW).unwrap();
        all += &format!("{name}\n{}", described(&found));
        drop(storage);
        // Carried out and left alone, it holds the same; a snapshot's claims come with it once, then from the log.
        let (_, again) = Storage::open(&disk.0, WINDOW).unwrap();
        assert_eq!(described(&again), described(&found), "{name}");
    }
    assert_eq!(all, expected);
}

#[test]
fn what_was_found_is_written_again_in_the_same_form() {
    let disk = Copy::of("seated", "written");
    let (mut storage, found) = Storage::open(&disk.0, WINDOW).unwrap();
    let files = ["seat", "promise", "word-8"];
    let before = files.map(|name| std::fs::read(disk.0.join(name)).unwrap());
    files.iter().for_each(|name| std::fs::remove_file(disk.0.join(name)).unwrap());
    let batch = [
        WriteOp::Accept { version: 8, entry: found.accepted.unwrap() },
        WriteOp::Promise(found.promised),
        WriteOp::Membership(found.membership.unwrap()),
    ];
    storage.write(&batch).unwrap();
    assert_eq!(files.map(|name| std::fs::read(disk.0.join(name)).unwrap()), before);
}

#[test]
fn a_recorded_snapshot_is_encoded_again_byte_for_byte() {
    let disk = Copy::of("installed", "snapshot");
    let bytes = FileStore::open(&disk.0).unwrap().get("installed").unwrap().unwrap();
    let snapshot = notchspool_mesh_protocol::snapshot::decode(&bytes).unwrap();
    assert_eq!(notchspool_mesh_protocol::snapshot::encode(&snapshot).unwrap(), bytes);
}
