//! Power is lost at every step of what is written, and what was not synced is kept, lost or torn, each by itself. What was acknowledged is
//! there again, and a snapshot is whole or was never there.
use std::collections::{BTreeMap, BTreeSet};
use std::io::Result;
use std::sync::{Arc, Mutex};

use notchspool_consensus::voter_set::VoterSet;
use notchspool_consensus::{Ballot, ContenderId, Entry, Token};
use notchspool_mesh_protocol::snapshot::encode;
use notchspool_mesh_protocol::{Claim, Snapshot, Ticket};
use notchspool_storage::directory::Directory;
use notchspool_storage::file_store::{FileStore, with_checksum};
use notchspool_storage::state_files::StateFiles;
use notchspool_storage::{MembershipRecord, Storage, WriteOp};

type Files = BTreeMap<String, Vec<u8>>;

/// One thing that was done to the folder.
#[derive(Clone, Debug)]
enum Op {
    Write(String, usize, Vec<u8>),
    Sync(usize),
    Rename(String, String, usize),
    Remove(String),
    SyncFolder,
    /// What was asked for was acknowledged.
    Acked,
}

#[derive(Debug, Default)]
struct Inner {
    ops: Vec<Op>,
    names: BTreeMap<String, usize>,
    contents: Vec<Vec<u8>>,
    /// This one of the things to come is refused.
    refuses: Option<usize>,
}

/// A folder that records all that is done to it.
#[derive(Clone, Debug, Default)]
struct StandIn(Arc<Mutex<Inner>>);

impl StandIn {
    fn of(files: &Files) -> StandIn {
        let disk = StandIn::default();
        {
            let mut inner = disk.0.lock().unwrap();
            for (name, bytes) in files {
                let at = inner.contents.len();
                inner.contents.push(bytes.clone());
                inner.names.insert(name.clone(), at);
            }
        }
        disk
    }
    fn acked(&self) {
        self.0.lock().unwrap().ops.push(Op::Acked);
    }
    fn ops(&self) -> Vec<Op> {
        self.0.lock().unwrap().ops.clone()
    }
    fn names(&self) -> Vec<String> {
        self.0.lock().unwrap().names.keys().cloned().collect()
    }
    fn refuses(&self) -> Result<()> {
        let mut inner = self.0.lock().unwrap();
        match inner.refuses {
            Some(0) => {
                inner.refuses = None;
                Err(std::io::Error::other("no room"))
            }
            Some(n) => {
                inner.refuses = Some(n - 1);
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl Directory for StandIn {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.names())
    }
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        let inner = self.0.lock().unwrap();
        Ok(inner.names.get(name).map(|at| inner.contents[*at].clone()))
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.refuses()?;
        let mut inner = self.0.lock().unwrap();
        let at = inner.contents.len();
        inner.contents.push(bytes.to_vec());
        inner.names.insert(name.into(), at);
        inner.ops.push(Op::Write(name.into(), at, bytes.to_vec()));
        Ok(())
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let before = self.read(name)?.ok_or(std::io::ErrorKind::NotFound)?;
        self.write(name, &[&before, bytes].concat())
    }
    fn sync(&mut self, name: &str) -> Result<()> {
        self.refuses()?;
        let mut inner = self.0.lock().unwrap();
        let at = inner.names[name];
        inner.ops.push(Op::Sync(at));
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.refuses()?;
        let mut inner = self.0.lock().unwrap();
        let at = inner.names.remove(from).ok_or(std::io::ErrorKind::NotFound)?;
        inner.names.insert(to.into(), at);
        inner.ops.push(Op::Rename(from.into(), to.into(), at));
        Ok(())
    }
    fn remove(&mut self, name: &str) -> Result<()> {
        self.refuses()?;
        let mut inner = self.0.lock().unwrap();
        if inner.names.remove(name).is_some() {
            inner.ops.push(Op::Remove(name.into()));
        }
        Ok(())
    }
    fn sync_folder(&mut self) -> Result<()> {
        self.refuses()?;
        self.0.lock().unwrap().ops.push(Op::SyncFolder);
        Ok(())
    }
}

fn turn(names: &mut BTreeMap<String, usize>, op: &Op) {
    match op {
        Op::Write(name, at, _) => {
            names.insert(name.clone(), *at);
        }
        Op::Rename(from, to, at) => {
            names.remove(from);
            names.insert(to.clone(), *at);
        }
        Op::Remove(name) => {
            names.remove(name);
        }
        Op::Sync(_) | Op::SyncFolder | Op::Acked => {}
    }
}

/// All that may be on the disk when power is lost after these: names since the last sync of the folder each kept or lost by itself, contents
/// that were not synced whole, torn, nought or gone.
fn left(before: &Files, ops: &[Op]) -> BTreeSet<Files> {
    let mut contents: BTreeMap<usize, Vec<u8>> = before.values().cloned().enumerate().collect();
    let mut names: BTreeMap<String, usize> = before.keys().cloned().zip(0..).collect();
    let mut synced: BTreeSet<usize> = contents.keys().copied().collect();
    let folder = ops.iter().rposition(|op| matches!(op, Op::SyncFolder)).map_or(0, |at| at + 1);
    for op in ops {
        match op {
            Op::Write(_, at, bytes) => drop(contents.insert(*at, bytes.clone())),
            Op::Sync(at) => drop(synced.insert(*at)),
            _ => {}
        }
    }
    ops[..folder].iter().for_each(|op| turn(&mut names, op));
    let later: Vec<&Op> = ops[folder..]
        .iter()
        .filter(|op| matches!(op, Op::Write(..) | Op::Rename(..) | Op::Remove(_)))
        .collect();
    assert!(later.len() <= 10, "{later:?}");
    let mut all = BTreeSet::new();
    for kept in 0u32..1 << later.len() {
        let mut names = names.clone();
        later
            .iter()
            .enumerate()
            .filter(|(n, _)| kept & (1 << n) != 0)
            .for_each(|(_, op)| turn(&mut names, op));
        for torn in 0..4 {
            let read = |at: &usize| {
                let complete = &contents[at];
                match torn {
                    _ if synced.contains(at) => complete.clone(),
                    0 => complete.clone(),
                    1 => complete[..complete.len() / 2].to_vec(),
                    2 => vec![0; complete.len()],
                    _ => Vec::new(),
                }
            };
            all.insert(names.iter().map(|(name, at)| (name.clone(), read(at))).collect());
        }
    }
    all
}

fn ballot(round: u64) -> Ballot {
    Ballot { token: Token(0), round, by: ContenderId(7) }
}

fn seat(boot_id: u64) -> MembershipRecord {
    let set = VoterSet::first(&["a".into(), format!("b-{boot_id}")]);
    MembershipRecord { incarnation: boot_id, set, ..MembershipRecord::default() }
}

fn word(version: u64, round: u64) -> WriteOp {
    let value = format!("{version}\n{{\"version\":{version}}}");
    WriteOp::Accept { version, entry: Entry { ballot: ballot(round), sequence: 1, value } }
}

/// What the voter begins with: seat, promise, version accepted.
type View = (Option<MembershipRecord>, Ballot, Option<(Ballot, String)>);

fn view(found: &notchspool_storage::Recovered) -> View {
    (found.membership.clone(), found.promised, found.accepted.as_ref().map(|e| (e.ballot, e.value.clone())))
}

fn claim(key: &str) -> Claim {
    let ticket = Some(Ticket { boot_id: 1, number: 1, attempt: 0 });
    Claim { key: key.into(), ticket, holder: "h".into(), holder_boot_id: 1, ..Claim::default() }
}

/// Of another set: its ballots and versions are lower than what it replaces.
fn snapshot() -> Snapshot {
    let promised = |round| Some(notchspool_mesh_protocol::Ballot { round, proposer: 7 });
    Snapshot {
        voter: 0,
        set_number: 2,
        membership: serde_json::to_vec(&seat(9)).unwrap().into(),
        promised: promised(3),
        accepted_ballot: promised(2),
        body: Some("2\n{\"version\":2}".into()),
        claims: vec![claim("k-1"), claim("k-2")],
    }
}

/// One step of what is done: a batch, a snapshot, its claims kept elsewhere.
enum Step {
    Write(WriteOp),
    Install(Snapshot),
    /// A planted fault: its parts go to their files one after the other.
    Parts(Snapshot),
    Finish,
}

fn steps() -> Vec<Step> {
    let mut steps = vec![Step::Write(WriteOp::Membership(seat(1))), Step::Write(WriteOp::Promise(ballot(5)))];
    steps.extend((1..=6).map(|v| Step::Write(word(v, 5 + v))));
    steps.push(Step::Write(WriteOp::Promise(ballot(40))));
    steps.extend([Step::Install(snapshot()), Step::Finish]);
    steps.push(Step::Write(WriteOp::Promise(ballot(4))));
    steps.push(Step::Write(word(8, 4)));
    steps.extend([
        Step::Install(Snapshot { set_number: 3, body: None, accepted_ballot: None, ..snapshot() }),
        Step::Finish,
    ]);
    steps.push(Step::Write(word(9, 5)));
    steps
}

fn carry(state: &mut StateFiles, step: &Step) -> std::result::Result<(), notchspool_storage::StorageError> {
    // As `Trapdoor` does before all else.
    if !matches!(step, Step::Finish) && !state.uninstalled_claims().is_empty() {
        state.finish_install()?;
    }
    match step {
        Step::Write(op) => {
            state.write_register(std::slice::from_ref(op))?;
            state.write_membership(std::slice::from_ref(op))
        }
        Step::Install(snapshot) => state.install(snapshot),
        Step::Parts(snapshot) => {
            let seat = serde_json::from_slice(&snapshot.membership).unwrap();
            state.write_membership(&[WriteOp::Membership(seat)])?;
            state.write_register(&[word(2, 2), WriteOp::Promise(ballot(3))])
        }
        Step::Finish => state.finish_install(),
    }
}

/// The whole course: what was done to the folder, and what is to be found after each step.
fn course(steps: &[Step]) -> (Vec<Op>, Vec<View>) {
    let disk = StandIn::default();
    let (mut state, found) = StateFiles::open(FileStore::new(Box::new(disk.clone()))).unwrap();
    let mut views = vec![view(&found)];
    for step in steps {
        carry(&mut state, step).unwrap();
        disk.acked();
        let now = disk.names().into_iter().map(|n| (n.clone(), disk.read(&n).unwrap().unwrap())).collect();
        let (_, found) = StateFiles::open(FileStore::new(Box::new(StandIn::of(&now)))).unwrap();
        views.push(view(&found));
    }
    (disk.ops(), views)
}

fn reopen(files: &Files) -> (View, Vec<Claim>, StandIn) {
    let disk = StandIn::of(files);
    let (state, found) = StateFiles::open(FileStore::new(Box::new(disk.clone()))).unwrap();
    let claims = state.uninstalled_claims().to_vec();
    (view(&found), claims, disk)
}

/// What is not as it has to be after a loss of power at any step, and how many disks were looked at.
fn violations(steps: &[Step]) -> (usize, Vec<String>) {
    let (ops, views) = course(steps);
    let installs: Vec<usize> =
        steps.iter().enumerate().filter(|(_, s)| matches!(s, Step::Install(_))).map(|(n, _)| n + 1).collect();
    let (mut disks, mut violations) = (0, Vec::new());
    for end in 0..=ops.len() {
        let acked = ops[..end].iter().filter(|op| matches!(op, Op::Acked)).count();
        for files in left(&Files::new(), &ops[..end]) {
            disks += 1;
            let (seen, claims, _) = reopen(&files);
            let next = views.get(acked + 1).unwrap_or(&views[acked]);
            if seen != views[acked] && seen != *next {
                violations.push(format!("after {end} of {}: {seen:?}", ops.len()));
            }
            // Until its claims are kept elsewhere they come with the snapshot.
            let gone = ops[..end].iter().any(|op| matches!(op, Op::Remove(name) if name == "installed"));
            let counts = installs.contains(&acked) || installs.contains(&(acked + 1)) && seen == *next;
            if counts && !gone && claims != snapshot().claims {
                violations.push(format!("claims after {end}: {claims:?}"));
            }
        }
    }
    (disks, violations)
}

#[test]
fn power_lost_at_every_step_loses_nothing_acknowledged_and_leaves_no_half_snapshot() {
    let (disks, violations) = violations(&steps());
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(disks > 300, "{disks}");
}

/// The check sees a snapshot that is installed in parts.
#[test]
fn a_snapshot_installed_in_parts_is_noticed() {
    let parts: Vec<Step> = steps()
        .into_iter()
        .map(|step| match step {
            Step::Install(snapshot) if snapshot.set_number == 2 => Step::Parts(snapshot),
            step => step,
        })
        .collect();
    let (_, violations) = violations(&parts);
    assert!(
        violations.iter().any(|w| w.contains("incarnation: 9")),
        "a half snapshot was not noticed: {violations:#?}"
    );
}

/// Power is lost once more while a snapshot is carried out at the start.
#[test]
fn power_lost_again_while_a_snapshot_is_carried_out_changes_nothing() {
    let (ops, views) = course(&steps());
    let installs: Vec<usize> =
        steps().iter().enumerate().filter(|(_, s)| matches!(s, Step::Install(_))).map(|(n, _)| n).collect();
    let mut again = 0;
    for end in 0..=ops.len() {
        let acked = ops[..end].iter().filter(|op| matches!(op, Op::Acked)).count();
        if !installs.contains(&acked) {
            continue;
        }
        for files in left(&Files::new(), &ops[..end]) {
            let (seen, _, disk) = reopen(&files);
            let second = disk.ops();
            for stop in 0..=second.len() {
                for files in left(&files, &second[..stop]) {
                    again += 1;
                    assert_eq!(reopen(&files).0, seen, "{end}, then {stop}");
                    assert!(seen == views[acked] || seen == views[acked + 1]);
                }
            }
        }
    }
    assert!(again > 300, "{again}");
}

#[test]
fn an_installed_file_torn_at_any_byte_was_never_there() {
    let (ops, views) = course(&steps());
    let at = steps().iter().position(|s| matches!(s, Step::Install(_))).unwrap();
    let end = ops.iter().enumerate().filter(|(_, op)| matches!(op, Op::Acked)).nth(at - 1).unwrap().0;
    let before = left(&Files::new(), &ops[..=end]).into_iter().next().unwrap();
    let all = with_checksum(&encode(&snapshot()).unwrap());
    for cut in 0..=all.len() {
        let mut files = before.clone();
        files.insert("installed".into(), all[..cut].to_vec());
        let wanted = if cut == all.len() { &views[at + 1] } else { &views[at] };
        assert_eq!(&reopen(&files).0, wanted, "cut at {cut}");
        if cut < all.len() {
            let mut torn = all.clone();
            torn[cut..].fill(0);
            files.insert("installed".into(), torn);
            assert_eq!(&reopen(&files).0, wanted, "nought from {cut}");
        }
    }
}

/// A disk that refuses any one thing: what follows an error is written as if the refused had been whole or not at all.
#[test]
fn a_disk_that_refuses_once_leaves_no_mixture_behind() {
    let (ops, _) = course(&steps());
    for refused in 0..ops.len() {
        let disk = StandIn::default();
        let (mut state, ..) = StateFiles::open(FileStore::new(Box::new(disk.clone()))).unwrap();
        disk.0.lock().unwrap().refuses = Some(refused);
        // What was refused is not asked for again: the next thing is.
        let oks = steps().iter().filter(|step| carry(&mut state, step).is_ok()).count();
        disk.0.lock().unwrap().refuses = None;
        carry(&mut state, &Step::Write(word(10, 6))).unwrap();
        let now: Files =
            disk.names().into_iter().map(|n| (n.clone(), disk.read(&n).unwrap().unwrap())).collect();
        let (seen, claims, _) = reopen(&now);
        // One of the two snapshots was taken at least: what was before it is gone, ballots that were higher too, and what came after it stands.
        let wanted = (Some(seat(9)), ballot(6), Some((ballot(6), "10\n{\"version\":10}".to_string())));
        assert_eq!(seen, wanted, "refused {refused}");
        assert_eq!((claims.len(), oks + 3 >= steps().len()), (0, true), "refused {refused}");
    }
}

#[test]
fn the_folder_holds_few_files_after_a_thousand_changes() {
    let disk = StandIn::default();
    let (mut state, ..) = StateFiles::open(FileStore::new(Box::new(disk.clone()))).unwrap();
    for version in 1..=1_000 {
        state.write_register(&[WriteOp::Promise(ballot(version)), word(version, version)]).unwrap();
        assert!(disk.names().len() <= 5, "{:?}", disk.names());
    }
    // Removed for good: none comes back when power is lost.
    let ops = disk.ops();
    let end = ops.iter().rposition(|op| matches!(op, Op::Remove(_))).unwrap();
    assert!(ops[end..].iter().any(|op| matches!(op, Op::SyncFolder)));
}

#[test]
fn a_snapshot_on_a_real_disk_comes_with_its_claims() {
    let folder = std::env::temp_dir().join(format!("notchspool-installed-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let window = std::time::Duration::from_secs(60);
    let (mut storage, _) = Storage::open(&folder, window).unwrap();
    storage
        .write(&[
            WriteOp::Membership(seat(1)),
            WriteOp::Promise(ballot(40)),
            word(5, 39),
            WriteOp::Claim(claim("old")),
        ])
        .unwrap();
    storage.write(&[WriteOp::InstallSnapshot(Box::new(snapshot())), WriteOp::Claim(claim("new"))]).unwrap();
    drop(storage);
    let (_, found) = Storage::open(&folder, window).unwrap();
    assert_eq!(found.membership, Some(seat(9)));
    assert_eq!((found.promised, found.accepted.map(|e| e.value)), (ballot(3), snapshot().body));
    let keys: BTreeSet<String> = found.claims.iter().map(|c| c.key.clone()).collect();
    assert_eq!(keys.into_iter().collect::<Vec<_>>(), ["k-1", "k-2", "new", "old"]);
    let _ = std::fs::remove_dir_all(&folder);
}
