//! A voter's disk: one file, changed in whole transactions that are on the disk before anything is answered.
use std::path::{Path, PathBuf};

use notchspool_consensus::acceptor::{DiskWrite, DurableState};
use notchspool_consensus::{Ballot, Entries, Entry, Space, SpaceState, VoterId};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

const KEPT: TableDefinition<&str, &str> = TableDefinition::new("kept");
const FORM: &str = "notchspool voter 1";
/// Pages that are held in memory, in bytes.
const CACHE: usize = 4 * 1024 * 1024;

pub struct Store {
    path: PathBuf,
    /// Whose it is.
    owner: String,
    database: Option<Database>,
}

/// What is there at a start.
pub enum Found {
    Disk(Store, DurableState),
    /// Nothing, or nothing that can be read: what it had promised is gone.
    Nothing,
}

fn space(space: &Space) -> String {
    match space {
        Space::Owner(job) => format!("owner/{job}"),
        Space::State(job) => format!("state/{job}"),
    }
}
fn space_of(text: &str) -> Option<Space> {
    match text.split_once('/')? {
        ("owner", job) => Some(Space::Owner(job.into())),
        ("state", job) => Some(Space::State(job.into())),
        _ => None,
    }
}
/// A space of the disk that is read; empty at first.
fn space_state(spaces: &mut std::collections::BTreeMap<Space, SpaceState>, space: Space) -> &mut SpaceState {
    let empty = || SpaceState {
        space: space.clone(),
        promised: Ballot::default(),
        entries: Entries::new(),
        lease: None,
    };
    spaces.entry(space.clone()).or_insert_with(empty)
}
fn json<T: serde::Serialize>(value: &T) -> Result<String, String> {
    serde_json::to_string(value).map_err(|e| e.to_string())
}

fn pairs(writes: &[DiskWrite]) -> Result<Vec<(String, String)>, String> {
    let pair = |write: &DiskWrite| {
        Ok(match write {
            DiskWrite::Promise(of, ballot) => (format!("p {}", space(of)), json(ballot)?),
            DiskWrite::Entry(of, key, entry) => (format!("e {} {key}", space(of)), json(entry)?),
            DiskWrite::Lease(of, lease) => (format!("l {}", space(of)), json(lease)?),
            DiskWrite::Incarnation(voter, life) => (format!("v {}", voter.0), json(life)?),
        })
    };
    writes.iter().map(pair).collect()
}

impl Store {
    fn open_database(path: &Path) -> Result<Database, String> {
        let made = Database::builder().set_cache_size(CACHE).create(path);
        made.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// What stands in `folder`. A file that can't be read is put aside, and what it had promised counts as lost; one of another
    /// fleet or place is an error, as it is somebody else's.
    pub fn find(folder: &Path, fleet: &str, place: u16) -> Result<Found, String> {
        let path = folder.join("voter");
        if !path.exists() {
            return Ok(Found::Nothing);
        }
        match Store::open_database(&path).and_then(|database| {
            let owner = format!("{FORM} {fleet} {place}");
            let store = Store { path: path.clone(), owner, database: Some(database) };
            let disk = store.read()?;
            Ok((store, disk))
        }) {
            Ok((store, (disk, owner))) if owner == format!("{FORM} {fleet} {place}") => {
                Ok(Found::Disk(store, disk))
            }
            Ok((_, (_, owner))) => {
                Err(format!("{}: it is `{owner}`, not `{FORM} {fleet} {place}`", path.display()))
            }
            Err(why) if why.contains("already open") || why.contains("lock") => {
                Err(format!("{why}: another process has it"))
            }
            Err(why) => {
                let aside = path.with_extension("damaged");
                log::error!("voter: {why}; put aside as {}", aside.display());
                std::fs::rename(&path, &aside).map_err(|e| format!("{}: {e}", path.display()))?;
                Ok(Found::Nothing)
            }
        }
    }

    /// A new disk with this on it.
    pub fn begin(folder: &Path, fleet: &str, place: u16, disk: &DurableState) -> Result<Store, String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let owner = format!("{FORM} {fleet} {place}");
        let (path, new) = (folder.join("voter"), folder.join("voter.new"));
        let _ = std::fs::remove_file(&new);
        {
            // Whole before it has its name: one that was begun and not ended is none.
            let database = Some(Store::open_database(&new)?);
            let store = Store { path: new.clone(), owner: owner.clone(), database };
            let mut writes = Vec::new();
            for SpaceState { space, promised, entries, lease } in &disk.spaces {
                writes.push(DiskWrite::Promise(space.clone(), *promised));
                writes.push(DiskWrite::Lease(space.clone(), lease.clone()));
                let entry = |(k, e): (&String, &Entry)| DiskWrite::Entry(space.clone(), k.clone(), e.clone());
                writes.extend(entries.iter().map(entry));
            }
            writes.extend(
                disk.known_incarnations.iter().map(|(voter, life)| DiskWrite::Incarnation(*voter, *life)),
            );
            let mut pairs = pairs(&writes)?;
            pairs.push(("form".into(), owner.clone()));
            pairs.push(("life".into(), disk.incarnation.to_string()));
            store.put(&pairs)?;
        }
        std::fs::rename(&new, &path).map_err(|e| format!("{}: {e}", path.display()))?;
        let folder = std::fs::File::open(folder).and_then(|f| f.sync_all());
        folder.map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Store { database: Some(Store::open_database(&path)?), owner, path })
    }

    fn put(&self, pairs: &[(String, String)]) -> Result<(), String> {
        let database = self.database.as_ref().ok_or("not open")?;
        let put = || -> Result<(), redb::Error> {
            let txn = database.begin_write()?;
            {
                let mut table = txn.open_table(KEPT)?;
                for (key, value) in pairs {
                    table.insert(key.as_str(), value.as_str())?;
                }
            }
            txn.commit()?;
            Ok(())
        };
        put().map_err(|e| format!("{}: {e}", self.path.display()))
    }

    /// All of it, or an error and none of it; then it has to be opened anew.
    pub fn write(&self, writes: &[DiskWrite]) -> Result<(), String> {
        if writes.is_empty() { Ok(()) } else { self.put(&pairs(writes)?) }
    }

    /// After an error: what is really on the disk, once it takes writes again.
    pub fn again(&mut self) -> Result<DurableState, String> {
        self.database = None;
        self.database = Some(Store::open_database(&self.path)?);
        self.put(&[("form".into(), self.owner.clone())])?;
        Ok(self.read()?.0)
    }

    fn read(&self) -> Result<(DurableState, String), String> {
        let database = self.database.as_ref().ok_or("not open")?;
        let failed = |e: redb::Error| format!("{}: {e}", self.path.display());
        let mut all: Vec<(String, String)> = Vec::new();
        let read = |all: &mut Vec<(String, String)>| -> Result<(), redb::Error> {
            let txn = database.begin_read()?;
            let table = txn.open_table(KEPT)?;
            for row in table.iter()? {
                let (key, value) = row?;
                all.push((key.value().to_owned(), value.value().to_owned()));
            }
            Ok(())
        };
        read(&mut all).map_err(failed)?;
        let (mut disk, mut owner) = (DurableState::default(), String::new());
        let mut spaces: std::collections::BTreeMap<Space, SpaceState> = std::collections::BTreeMap::new();
        for (key, value) in all {
            let wrong = || format!("{}: `{key}` can't be read", self.path.display());
            let mut words = key.splitn(3, ' ');
            match (words.next(), words.next(), words.next()) {
                (Some("form"), None, None) => owner = value,
                (Some("life"), None, None) => disk.incarnation = value.parse().map_err(|_| wrong())?,
                (Some("v"), Some(voter), None) => {
                    let voter = VoterId(voter.parse().map_err(|_| wrong())?);
                    disk.known_incarnations.insert(voter, value.parse().map_err(|_| wrong())?);
                }
                (Some("p"), Some(of), None) => {
                    let kept = space_state(&mut spaces, space_of(of).ok_or_else(wrong)?);
                    kept.promised = serde_json::from_str(&value).map_err(|_| wrong())?;
                }
                (Some("l"), Some(of), None) => {
                    let kept = space_state(&mut spaces, space_of(of).ok_or_else(wrong)?);
                    kept.lease = serde_json::from_str(&value).map_err(|_| wrong())?;
                }
                (Some("e"), Some(of), Some(name)) => {
                    let kept = space_state(&mut spaces, space_of(of).ok_or_else(wrong)?);
                    kept.entries.insert(name.to_owned(), serde_json::from_str(&value).map_err(|_| wrong())?);
                }
                _ => return Err(wrong()),
            }
        }
        disk.spaces = spaces.into_values().collect();
        Ok((disk, owner))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use notchspool_consensus::{ContenderId, Token};

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("notchspool-disk-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        folder
    }
    fn some() -> (Space, Ballot, Entry) {
        let ballot = Ballot { token: Token(3), round: 1, by: ContenderId(u64::MAX) };
        (Space::State("orders".into()), ballot, Entry { ballot, sequence: 9, value: "{\"a\": 1}".into() })
    }

    #[test]
    fn what_is_written_is_there_after_a_restart_and_another_fleet_s_is_refused() {
        let folder = folder("kept");
        let store =
            Store::begin(&folder, "f", 1, &DurableState { incarnation: 4, ..DurableState::default() })
                .expect("begun");
        let (space, ballot, entry) = some();
        store
            .write(&[
                DiskWrite::Promise(space.clone(), ballot),
                DiskWrite::Entry(space.clone(), "o/1".into(), entry.clone()),
                DiskWrite::Incarnation(VoterId(2), 7),
            ])
            .expect("written");
        drop(store);
        let Found::Disk(store, disk) = Store::find(&folder, "f", 1).expect("found") else {
            panic!("it is there")
        };
        assert_eq!((disk.incarnation, disk.known_incarnations.get(&VoterId(2))), (4, Some(&7)));
        assert_eq!(
            disk.spaces,
            [SpaceState {
                space,
                promised: ballot,
                entries: Entries::from([("o/1".into(), entry)]),
                lease: None
            }]
        );
        drop(store);
        assert!(Store::find(&folder, "g", 1).is_err());
        assert!(Store::find(&folder, "f", 2).is_err());
        std::fs::remove_dir_all(&folder).expect("removed");
    }

    #[test]
    fn a_file_that_can_not_be_read_counts_as_lost_and_is_put_aside() {
        let folder = folder("torn");
        drop(Store::begin(&folder, "f", 0, &DurableState::default()).expect("begun"));
        let path = folder.join("voter");
        std::fs::write(&path, vec![7_u8; 5000]).expect("spoilt");
        assert!(matches!(Store::find(&folder, "f", 0), Ok(Found::Nothing)));
        assert!(folder.join("voter.damaged").exists());
        std::fs::remove_dir_all(&folder).expect("removed");
    }
}
