//! A voter's disk recorded before the code was renamed: it is opened by its fleet and place, and holds what it held.
use notchspool_consensus::acceptor::DurableState;
use notchspool_fleet_controller::acceptor_store::{AcceptorStore, StoredState};

/// All of it, without the names that the code has for it.
fn described(disk: &DurableState) -> String {
    let spaces: Vec<String> = disk.spaces.iter().map(|space| serde_json::to_string(space).unwrap()).collect();
    format!(
        "life {}\nlives {}\n{}\n",
        disk.incarnation,
        serde_json::to_string(&disk.known_incarnations).unwrap(),
        spaces.join("\n")
    )
}

#[test]
fn a_recorded_disk_is_found_to_hold_what_it_held() {
    let folder = std::env::temp_dir().join(format!("notchspool-golden-voter-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("voter"), include_bytes!("golden/voter")).unwrap();
    let Ok(StoredState::Found(store, disk)) = AcceptorStore::find(&folder, "lipa", 1) else {
        panic!("it is there")
    };
    assert_eq!(described(&disk), include_str!("golden/expected.txt"));
    drop(store);
    std::fs::remove_dir_all(&folder).unwrap();
}
