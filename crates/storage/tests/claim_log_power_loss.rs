//! The log of claims on a disk that loses power, or refuses, between any two things that are done to it. What was not synced is kept, lost
//! or torn, each by itself; so are names since the last sync of the folder.
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use notchspool_storage::WriteOp;
use notchspool_storage::claim_log::{ClaimLog, LogLimits, RETRY_INTERVAL};
use notchspool_storage::directory::Directory;

mod support;

use support::{TICKET, claim};

const WINDOW: Duration = Duration::from_secs(60);
/// A segment holds a few claims.
const LIMITS: LogLimits = LogLimits { segment_bytes: 400, found_bytes: 4_000, total_bytes: 1 << 20 };

/// Draws of a seed.
struct Chance(u64);

impl Chance {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound
    }
}

/// One file: what is durable of it, and what was added since.
#[derive(Clone, Debug, Default)]
struct FileState {
    durable: Vec<u8>,
    added: Vec<Vec<u8>>,
}

impl FileState {
    fn content(&self) -> Vec<u8> {
        [&self.durable[..], &self.added.concat()].concat()
    }
}

/// A change of the folder that is not synced.
#[derive(Clone, Debug)]
enum NameChange {
    Made(String, usize),
    Removed(String),
}

#[derive(Debug, Default)]
struct DiskState {
    files: Vec<FileState>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    name_changes: Vec<NameChange>,
    /// So many things more are done; then the power is gone, or where it is not, one is refused.
    left: usize,
    has_power: bool,
    refuses: bool,
}

/// A folder in memory.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    fn of(files: BTreeMap<String, Vec<u8>>) -> Disk {
        let disk = Disk::default();
        {
            let mut state = disk.0.lock().unwrap();
            for (name, durable) in files {
                let at = state.files.len();
                state.files.push(FileState { durable, added: Vec::new() });
                state.names.insert(name.clone(), at);
                state.durable_names.insert(name, at);
            }
        }
        disk.set_left(usize::MAX, true);
        disk
    }

    fn set_left(&self, left: usize, has_power: bool) {
        let mut state = self.0.lock().unwrap();
        (state.left, state.has_power, state.refuses) = (left, has_power, false);
    }

    fn file_names(&self) -> BTreeSet<String> {
        self.0.lock().unwrap().names.keys().cloned().collect()
    }

    /// What a loss of power leaves.
    fn lose_power(&self, chance: &mut Chance) -> Disk {
        let state = self.0.lock().unwrap();
        let mut names = state.durable_names.clone();
        let keeps_all = chance.below(3) == 0;
        for change in &state.name_changes {
            if !keeps_all && chance.below(2) == 0 {
                continue;
            }
            match change {
                NameChange::Made(name, at) => drop(names.insert(name.clone(), *at)),
                NameChange::Removed(name) => drop(names.remove(name)),
            }
        }
        let mut left = |file: &FileState| {
            let mut content = file.durable.clone();
            for added in &file.added {
                match if keeps_all { 0 } else { chance.below(4) } {
                    0 => content.extend_from_slice(added),
                    1 => content.extend_from_slice(&added[..chance.below(added.len() + 1)]),
                    2 => content.extend(vec![0; added.len()]),
                    _ => {}
                }
            }
            content
        };
        Disk::of(names.into_iter().map(|(name, at)| (name, left(&state.files[at]))).collect())
    }
}

impl DiskState {
    /// Whether one thing more is done.
    fn step(&mut self) -> Result<()> {
        if self.left == 0 && !self.has_power {
            return Err(Error::other("no power"));
        }
        if self.left == 0 && !self.refuses {
            self.refuses = true;
            return Err(Error::from(ErrorKind::StorageFull));
        }
        self.left = self.left.saturating_sub(1);
        Ok(())
    }

    fn add(&mut self, at: usize, bytes: &[u8]) -> Result<()> {
        let step = self.step();
        // Part of it may be there all the same.
        let written = if step.is_ok() { bytes } else { &bytes[..bytes.len() / 2] };
        self.files[at].added.push(written.to_vec());
        step
    }
}

impl Directory for Disk {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.file_names().into_iter().collect())
    }
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        let state = self.0.lock().unwrap();
        Ok(state.names.get(name).map(|at| state.files[*at].content()))
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        let at = state.files.len();
        state.files.push(FileState::default());
        state.names.insert(name.into(), at);
        state.name_changes.push(NameChange::Made(name.into(), at));
        state.add(at, bytes)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        let at = *state.names.get(name).ok_or(ErrorKind::NotFound)?;
        state.add(at, bytes)
    }
    fn sync(&mut self, name: &str) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        state.step()?;
        let at = *state.names.get(name).ok_or(ErrorKind::NotFound)?;
        let file = &mut state.files[at];
        *file = FileState { durable: file.content(), added: Vec::new() };
        Ok(())
    }
    fn rename(&mut self, _: &str, _: &str) -> Result<()> {
        Err(ErrorKind::Unsupported.into())
    }
    fn remove(&mut self, name: &str) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        state.step()?;
        if state.names.remove(name).is_some() {
            state.name_changes.push(NameChange::Removed(name.into()));
        }
        Ok(())
    }
    fn sync_folder(&mut self) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        state.step()?;
        state.durable_names = state.names.clone();
        state.name_changes.clear();
        Ok(())
    }
}

fn open(disk: &Disk, window: Duration, limits: LogLimits) -> (ClaimLog, BTreeSet<String>) {
    let opened = ClaimLog::open_with(Box::new(disk.clone()), None, window, limits);
    let (log, claims) = opened.unwrap_or_else(|e| panic!("what is left can't be opened: {e}"));
    (log, claims.into_iter().map(|claim| claim.key).collect())
}

/// What is to be found in the log.
#[derive(Default)]
struct Expected {
    /// Acknowledged, and not withdrawn.
    held: BTreeSet<String>,
    /// Withdrawn by an acknowledged batch.
    withdrawn: BTreeSet<String>,
    last_key: usize,
}

impl Expected {
    /// Writes a drawn batch; whether it was written.
    fn write(&mut self, log: &mut ClaimLog, chance: &mut Chance) -> bool {
        let mut claimed = Vec::new();
        for _ in 0..=chance.below(3) {
            self.last_key += 1;
            claimed.push(format!("key-{:04}{}", self.last_key, "k".repeat(chance.below(60))));
        }
        let mut batch: Vec<WriteOp> = claimed.iter().map(|key| claim(key)).collect();
        let withdrawn = self.held.iter().nth(chance.below(20)).cloned().filter(|_| chance.below(3) == 0);
        batch.extend(withdrawn.iter().map(|key| WriteOp::WithdrawClaim(key.clone(), TICKET)));
        let written = log.write(&batch).is_ok();
        if let Some(key) = withdrawn {
            // Where the batch failed it may be there or not.
            self.held.remove(&key);
            if written {
                self.withdrawn.insert(key);
            }
        }
        if written {
            self.held.extend(claimed);
        }
        written
    }

    fn check(&self, found: &BTreeSet<String>, context: &str) {
        let lost: Vec<&String> = self.held.difference(found).collect();
        assert!(lost.is_empty(), "{context}: lost {lost:?}");
        let back: Vec<&String> = self.withdrawn.intersection(found).collect();
        assert!(back.is_empty(), "{context}: withdrawn, and back {back:?}");
    }
}

#[test]
fn power_lost_at_any_step_again_and_again_loses_no_claim_that_was_acknowledged() {
    for seed in 0..600 {
        let mut chance = Chance(seed * 7_919 + 13);
        let (mut disk, mut expected) = (Disk::of(BTreeMap::new()), Expected::default());
        for round in 0..6 {
            let (mut log, found) = open(&disk, WINDOW, LIMITS);
            expected.check(&found, &format!("seed {seed}, round {round}"));
            disk.set_left(chance.below(60), false);
            while expected.write(&mut log, &mut chance) {}
            disk = disk.lose_power(&mut chance);
        }
        let (mut log, found) = open(&disk, WINDOW, LIMITS);
        expected.check(&found, &format!("seed {seed}"));
        assert!(expected.write(&mut log, &mut chance), "seed {seed}: can't be written to");
    }
}

#[test]
fn a_disk_that_refuses_at_any_step_takes_claims_again_and_has_lost_none() {
    for seed in 0..40 {
        let mut chance = Chance(seed * 104_729 + 5);
        let (disk, mut expected) = (Disk::of(BTreeMap::new()), Expected::default());
        let (mut log, _) = open(&disk, WINDOW, LIMITS);
        for _ in 0..4 {
            disk.set_left(chance.below(20), true);
            while expected.write(&mut log, &mut chance) {}
            // As if the pause were over.
            log.on_failure(std::time::Instant::now().checked_sub(RETRY_INTERVAL).unwrap());
            disk.set_left(usize::MAX, true);
            assert!(expected.write(&mut log, &mut chance), "seed {seed}");
        }
        let (_, found) = open(&disk.lose_power(&mut chance), WINDOW, LIMITS);
        expected.check(&found, &format!("seed {seed}"));
    }
}

#[test]
fn segments_whose_window_is_over_are_removed() {
    let (disk, mut expected, mut chance) = (Disk::of(BTreeMap::new()), Expected::default(), Chance(1));
    let (mut log, _) = open(&disk, Duration::ZERO, LIMITS);
    for _ in 0..200 {
        assert!(expected.write(&mut log, &mut chance));
        assert!(disk.file_names().len() <= 2, "{:?}", disk.file_names());
    }
}

#[test]
fn what_was_found_is_written_anew_where_it_is_long_and_the_same_claims_are_found_again() {
    let (disk, mut expected, mut chance) = (Disk::of(BTreeMap::new()), Expected::default(), Chance(2));
    let (mut log, _) = open(&disk, WINDOW, LIMITS);
    (0..200).for_each(|_| assert!(expected.write(&mut log, &mut chance)));
    assert!(disk.file_names().len() > 10);
    let (_, found) = open(&disk, WINDOW, LIMITS);
    expected.check(&found, "as it was found");
    assert_eq!(disk.file_names().len(), 1);
    let (_, again) = open(&disk, WINDOW, LIMITS);
    assert_eq!(again, found);
}

#[test]
fn a_log_that_is_as_long_as_it_may_be_refuses_and_loses_nothing() {
    let limits = LogLimits { total_bytes: 2_000, ..LIMITS };
    let (disk, mut expected, mut chance) = (Disk::of(BTreeMap::new()), Expected::default(), Chance(3));
    let (mut log, _) = open(&disk, WINDOW, limits);
    while expected.write(&mut log, &mut chance) {}
    let total: usize = disk.file_names().iter().map(|name| disk.read(name).unwrap().unwrap().len()).sum();
    assert!((2_000..2_600).contains(&total), "{total}");
    let (_, found) = open(&disk, WINDOW, limits);
    expected.check(&found, "after it refused");
}
