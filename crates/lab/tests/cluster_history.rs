//! The checker of cluster histories: a sound one passes, each planted violation is found.
use std::collections::{BTreeMap, BTreeSet};

use notchspool_commands::command_log::CommandState;
use notchspool_commands::{CommandKind, Epoch, Revision};
use notchspool_fleet_protocol::CommandStatus;
use notchspool_lab::cluster::history_checker::{History, Poll, SubmittedCommand, check, parse_effects};
use rstest::rstest;

fn command(revision: u64, state: CommandState) -> CommandStatus {
    CommandStatus {
        revision: Revision(revision),
        id: format!("o{revision}"),
        author: "t".into(),
        kind: CommandKind::Drain,
        max_unavailable: 1.0,
        left_us: -1,
        halt_reason: None,
        counts: BTreeMap::new(),
        states: vec![("a0".into(), state)],
    }
}
fn sound() -> History {
    let log = "0.1 INFO fleet: registered as 0 in epoch 1 under token 1\n\
               0.2 INFO fleet: Drain revision 1 under token 1: done\n\
               0.3 INFO fleet: Undrain revision 2 under token 3: done\n";
    History {
        effects: parse_effects("a0", log),
        submitted: vec![SubmittedCommand { id: "o1".into(), revisions: vec![1, 1] }],
        commands: vec![
            command(1, CommandState::Applied(Epoch(1))),
            command(2, CommandState::Applied(Epoch(1))),
        ],
        polls: [(0, 9, 1), (5, 30, 1), (10, 20, 2), (40, 50, 2)]
            .map(|(sent_us, answered_us, token)| Poll { sent_us, answered_us, owned_token: Some(token) })
            .into(),
        killed: BTreeSet::new(),
    }
}

#[test]
fn a_sound_history_is_none_of_it() {
    assert_eq!(sound().effects.len(), 2);
    assert_eq!(check(&sound()), Vec::<String>::new());
}

#[rstest]
#[case::older_token(|h: &mut History| h.effects[0].token = 4, "under token 3 after 4")]
#[case::twice(|h: &mut History| h.effects[1].revision = 1, "done twice")]
#[case::lost(|h: &mut History| drop(h.commands.remove(0)), "is lost")]
#[case::two_revisions(|h: &mut History| h.submitted[0].revisions = vec![1, 2], "acknowledged as {1, 2}")]
#[case::no_order(|h: &mut History| h.effects[1].revision = 9, "which is no order")]
#[case::not_told(|h: &mut History| h.commands[0] = command(1, CommandState::Failed { sent: false, late: None }), "stands as")]
#[case::no_end(|h: &mut History| h.commands[0] = command(1, CommandState::Sent(Epoch(1))), "came to no end")]
#[case::not_done(|h: &mut History| h.effects[1].done = false, "noted nothing")]
#[case::two_owners(|h: &mut History| h.polls[3].owned_token = Some(1), "after 2 was owned under")]
fn each_fault_is_refused(#[case] spoil: fn(&mut History), #[case] why: &str) {
    let mut history = sound();
    spoil(&mut history);
    let violations = check(&history);
    assert!(violations.iter().any(|violation| violation.contains(why)), "{violations:?}");
}
