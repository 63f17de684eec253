//! What two processes of one agent share.
use std::collections::BTreeSet;
use std::fs::OpenOptions;

use notchspool_agent::process::ban_file::{encode, parse};
use notchspool_agent::process::shared_state::{OpenedState, SharedState, SharedStateEvent};
use rstest::rstest;
use tokio::sync::mpsc;

fn ids(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

#[rstest]
#[case(&[])]
#[case(&["s-1"])]
#[case(&["end", "s-1", "s-2"])]
fn what_is_encoded_is_parsed(#[case] names: &[&str]) {
    assert_eq!(parse(&encode(&ids(names))), Ok(ids(names)));
}

#[test]
fn a_file_cut_anywhere_or_foreign_is_refused() {
    let complete = encode(&ids(&["s-1", "s-2"]));
    for end in 0..complete.len() {
        assert!(parse(&complete[..end]).is_err(), "{:?}", &complete[..end]);
    }
    assert!(parse("[bans]\n").is_err());
}

#[test]
fn a_ban_is_in_force_though_another_process_hangs_with_the_lock() {
    let folder = std::env::temp_dir().join(format!("notchspool-hung-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let OpenedState { handle, mut events, .. } = SharedState::open(Some(folder.clone()), "n0");
    let hung = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(folder.join("notchspool-n0.change"))
        .expect("a file");
    hung.lock().expect("locked");
    let answer = handle.set_ban("s-1".into(), true);
    assert_eq!(events.blocking_recv(), Some(SharedStateEvent::Bans(ids(&["s-1"]))));
    let why = answer.blocking_recv().expect("an answer").expect_err("not persisted").to_string();
    assert!(why.contains("holds its lock"), "{why}");
    assert_eq!(events.blocking_recv(), Some(SharedStateEvent::Bans(ids(&["s-1"]))), "it stays in force");
    drop(handle);
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn two_processes_share_bans_and_know_of_each_other() {
    let folder = std::env::temp_dir().join(format!("notchspool-kept-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let next =
        |events: &mut mpsc::UnboundedReceiver<SharedStateEvent>| events.blocking_recv().expect("an event");
    let OpenedState { handle: first, bans, events: mut first_events } =
        SharedState::open(Some(folder.clone()), "n0");
    assert_eq!(bans, ids(&[]));
    first.set_ban("s-1".into(), true).blocking_recv().expect("an answer").expect("persisted");
    assert_eq!(next(&mut first_events), SharedStateEvent::Bans(ids(&["s-1"])));
    assert_eq!(next(&mut first_events), SharedStateEvent::Bans(ids(&["s-1"])), "in force, then persisted");
    // The second begins with it, hears that it is not alone, and the first hears it too.
    let OpenedState { handle: second, bans, events: mut second_events } =
        SharedState::open(Some(folder.clone()), "n0");
    assert_eq!(bans, ids(&["s-1"]));
    assert_eq!(next(&mut second_events), SharedStateEvent::OtherProcess { exists: true, is_older: false });
    assert_eq!(next(&mut first_events), SharedStateEvent::OtherProcess { exists: true, is_older: true });
    first.leave_state("figures".to_owned());
    second.set_ban("s-2".into(), true).blocking_recv().expect("an answer").expect("persisted");
    assert_eq!(next(&mut first_events), SharedStateEvent::Bans(ids(&["s-1", "s-2"])));
    first.set_ban("s-1".into(), false).blocking_recv().expect("an answer").expect("persisted");
    assert_eq!(next(&mut second_events), SharedStateEvent::Bans(ids(&["s-1", "s-2"])));
    assert_eq!(next(&mut second_events), SharedStateEvent::Bans(ids(&["s-1", "s-2"])));
    assert_eq!(next(&mut second_events), SharedStateEvent::Bans(ids(&["s-2"])));
    // A torn file changes nothing.
    std::fs::write(folder.join("notchspool-n0.bans"), "notchspool bans 1\ns-9").expect("written");
    drop((first, first_events));
    assert_eq!(next(&mut second_events), SharedStateEvent::OtherProcess { exists: false, is_older: true });
    assert_eq!(second.left_state().as_deref(), Some("figures"));
    drop(second);
    std::fs::remove_dir_all(&folder).expect("removed");
}
