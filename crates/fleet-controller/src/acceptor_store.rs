//! A voter's disk: one file, changed in transactions that are synced before anything is answered.
//!
//! One table of texts, with the keys of the first release: `form` (format, fleet and voter), `life` (incarnation), `p SPACE` (promise), `e SPACE KEY`
//! (entry), `l SPACE` (lease), `v VOTER` (incarnation of another voter). `tests/golden` holds a recorded disk.
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use notchspool_consensus::acceptor::{DiskWrite, DurableState};
use notchspool_consensus::{Ballot, Entries, Entry, Space, SpaceState, VoterId};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;

const TABLE: TableDefinition<&str, &str> = TableDefinition::new("kept");
const FORMAT: &str = "notchspool voter 1";
const FILE_NAME: &str = "voter";
const FORMAT_KEY: &str = "form";
const INCARNATION_KEY: &str = "life";
/// Pages that are held in memory, in bytes.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// What failed at a voter's disk, and where.
#[derive(Debug, derive_more::Display)]
#[display("{}: {kind}", path.display())]
pub struct StoreError {
    /// The file or folder.
    pub path: PathBuf,
    /// What failed.
    pub kind: StoreErrorKind,
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.kind {
            StoreErrorKind::Database(error) => Some(error),
            StoreErrorKind::Io(error) => Some(error),
            StoreErrorKind::Encode(error) => Some(error),
            _ => None,
        }
    }
}

/// What failed at a voter's disk.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub enum StoreErrorKind {
    /// The database refused an operation.
    #[display("{_0}")]
    #[from]
    Database(redb::Error),
    /// Another process has the file.
    #[display("{_0}: another process has it")]
    Locked(redb::Error),
    /// A file or folder could not be made, renamed or synced.
    #[display("{_0}")]
    #[from]
    Io(std::io::Error),
    /// A value could not be written as JSON.
    #[display("{_0}")]
    #[from]
    Encode(serde_json::Error),
    /// The value of this key can't be read.
    #[display("`{_0}` can't be read")]
    BadEntry(String),
    /// The file is another voter's.
    #[display("it is `{found}`, not `{expected}`")]
    OtherOwner {
        /// Format, fleet and voter that it names.
        found: String,
        /// Those that were expected.
        expected: String,
    },
    /// An earlier error closed the database.
    #[display("not open")]
    NotOpen,
}

/// Names the path in an error.
fn at<E: Into<StoreErrorKind>>(path: &Path) -> impl Fn(E) -> StoreError {
    move |error| StoreError { path: path.to_owned(), kind: error.into() }
}

/// An open disk.
pub struct AcceptorStore {
    path: PathBuf,
    /// Format, fleet and voter that it is written for.
    owner: String,
    database: Option<Database>,
}

/// What is there at a start.
pub enum StoredState {
    /// A disk of this voter.
    Found(AcceptorStore, DurableState),
    /// Nothing, or nothing that can be read: what the voter had promised is lost.
    Missing,
}

/// All that a file holds.
struct FileContent {
    owner: String,
    state: DurableState,
}

impl AcceptorStore {
    /// Looks for a disk in `folder`. A file that can't be read is put aside as `voter.damaged`, and what was promised counts as lost.
    ///
    /// # Errors
    ///
    /// The file is another fleet's or voter's, another process has it, or it could not be put aside.
    pub fn find(folder: &Path, fleet: &str, voter: u16) -> Result<StoredState, StoreError> {
        let path = folder.join(FILE_NAME);
        if !path.exists() {
            return Ok(StoredState::Missing);
        }
        let expected = owner_text(fleet, voter);
        let opened = AcceptorStore::open_file(&path, expected.clone());
        match opened {
            Ok((store, content)) if content.owner == expected => Ok(StoredState::Found(store, content.state)),
            Ok((_, FileContent { owner: found, .. })) => {
                Err(StoreError { path, kind: StoreErrorKind::OtherOwner { found, expected } })
            }
            Err(StoreError { path, kind: StoreErrorKind::Database(error) }) if names_a_lock(&error) => {
                Err(StoreError { path, kind: StoreErrorKind::Locked(error) })
            }
            Err(error) => {
                let aside = path.with_extension("damaged");
                log::error!("voter: {error}; put aside as {}", aside.display());
                fs::rename(&path, &aside).map_err(at(&path))?;
                Ok(StoredState::Missing)
            }
        }
    }

    fn open_file(path: &Path, owner: String) -> Result<(AcceptorStore, FileContent), StoreError> {
        let database = Some(open_database(path)?);
        let store = AcceptorStore { path: path.to_owned(), owner, database };
        let content = store.read()?;
        Ok((store, content))
    }

    /// Creates a disk with this state. It has its name only once it is complete and synced.
    ///
    /// # Errors
    ///
    /// The folder or the file could not be made, written, renamed or synced.
    pub fn create(
        folder: &Path,
        fleet: &str,
        voter: u16,
        state: &DurableState,
    ) -> Result<AcceptorStore, StoreError> {
        fs::create_dir_all(folder).map_err(at(folder))?;
        let owner = owner_text(fleet, voter);
        let (path, new_path) = (folder.join(FILE_NAME), folder.join("voter.new"));
        // One that a crash left incomplete; mostly there is none.
        let _ = fs::remove_file(&new_path);
        let database = Some(open_database(&new_path)?);
        let new_store = AcceptorStore { path: new_path.clone(), owner: owner.clone(), database };
        let mut rows = rows(&writes_of(state)).map_err(at(&new_path))?;
        rows.push((FORMAT_KEY.into(), owner.clone()));
        rows.push((INCARNATION_KEY.into(), state.incarnation.to_string()));
        new_store.put(&rows)?;
        drop(new_store);
        fs::rename(&new_path, &path).map_err(at(&path))?;
        fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(at(&path))?;
        Ok(AcceptorStore { database: Some(open_database(&path)?), owner, path })
    }

    /// Writes all of it, synced.
    ///
    /// # Errors
    ///
    /// None of it is written then, and the store has to be opened again by [`AcceptorStore::reopen`].
    pub fn write(&self, writes: &[DiskWrite]) -> Result<(), StoreError> {
        if writes.is_empty() {
            return Ok(());
        }
        self.put(&rows(writes).map_err(at(&self.path))?)
    }

    /// After an error: what is really on the disk, once it takes writes again.
    ///
    /// # Errors
    ///
    /// It does not take writes yet, or can't be read.
    pub fn reopen(&mut self) -> Result<DurableState, StoreError> {
        self.database = None;
        self.database = Some(open_database(&self.path)?);
        self.put(&[(FORMAT_KEY.into(), self.owner.clone())])?;
        Ok(self.read()?.state)
    }

    fn database(&self) -> Result<&Database, StoreError> {
        let closed = || StoreError { path: self.path.clone(), kind: StoreErrorKind::NotOpen };
        self.database.as_ref().ok_or_else(closed)
    }

    fn put(&self, rows: &[(String, String)]) -> Result<(), StoreError> {
        let database = self.database()?;
        let put = || -> Result<(), redb::Error> {
            let transaction = database.begin_write()?;
            {
                let mut table = transaction.open_table(TABLE)?;
                for (key, value) in rows {
                    table.insert(key.as_str(), value.as_str())?;
                }
            }
            transaction.commit()?;
            Ok(())
        };
        put().map_err(at(&self.path))
    }

    fn read(&self) -> Result<FileContent, StoreError> {
        let database = self.database()?;
        let read = || -> Result<Vec<(String, String)>, redb::Error> {
            let transaction = database.begin_read()?;
            let table = transaction.open_table(TABLE)?;
            let mut rows = Vec::new();
            for row in table.iter()? {
                let (key, value) = row?;
                rows.push((key.value().to_owned(), value.value().to_owned()));
            }
            Ok(rows)
        };
        let rows = read().map_err(at(&self.path))?;
        content(rows).map_err(|kind| StoreError { path: self.path.clone(), kind })
    }
}

fn owner_text(fleet: &str, voter: u16) -> String {
    format!("{FORMAT} {fleet} {voter}")
}

fn open_database(path: &Path) -> Result<Database, StoreError> {
    let created = Database::builder().set_cache_size(CACHE_BYTES).create(path);
    created.map_err(|error| at(path)(redb::Error::from(error)))
}

/// Whether an error says that the file is locked, by this process, another one or the system.
fn names_a_lock(error: &redb::Error) -> bool {
    let text = error.to_string();
    matches!(error, redb::Error::DatabaseAlreadyOpen)
        || text.contains("already open")
        || text.contains("lock")
}

/// The writes that make an empty disk hold this state, but for its own incarnation.
fn writes_of(state: &DurableState) -> Vec<DiskWrite> {
    let mut writes = Vec::new();
    for SpaceState { space, promised, entries, lease } in &state.spaces {
        writes.push(DiskWrite::Promise(space.clone(), *promised));
        writes.push(DiskWrite::Lease(space.clone(), lease.clone()));
        let entry =
            |(key, entry): (&String, &Entry)| DiskWrite::Entry(space.clone(), key.clone(), entry.clone());
        writes.extend(entries.iter().map(entry));
    }
    let incarnations = state.known_incarnations.iter();
    writes.extend(incarnations.map(|(voter, incarnation)| DiskWrite::Incarnation(*voter, *incarnation)));
    writes
}

fn rows(writes: &[DiskWrite]) -> Result<Vec<(String, String)>, serde_json::Error> {
    writes.iter().map(row).collect()
}

fn row(write: &DiskWrite) -> Result<(String, String), serde_json::Error> {
    fn json<T: Serialize>(value: &T) -> Result<String, serde_json::Error> {
        serde_json::to_string(value)
    }
    Ok(match write {
        DiskWrite::Promise(space, ballot) => (format!("p {}", space_text(space)), json(ballot)?),
        DiskWrite::Entry(space, key, entry) => (format!("e {} {key}", space_text(space)), json(entry)?),
        DiskWrite::Lease(space, lease) => (format!("l {}", space_text(space)), json(lease)?),
        DiskWrite::Incarnation(voter, incarnation) => (format!("v {}", voter.0), json(incarnation)?),
    })
}

fn space_text(space: &Space) -> String {
    match space {
        Space::Owner(job) => format!("owner/{job}"),
        Space::State(job) => format!("state/{job}"),
    }
}

fn parse_space(text: &str) -> Option<Space> {
    match text.split_once('/')? {
        ("owner", job) => Some(Space::Owner(job.into())),
        ("state", job) => Some(Space::State(job.into())),
        _ => None,
    }
}

/// Puts together what the rows of a file hold.
fn content(rows: Vec<(String, String)>) -> Result<FileContent, StoreErrorKind> {
    let (mut state, mut owner) = (DurableState::default(), String::new());
    let mut spaces: BTreeMap<Space, SpaceState> = BTreeMap::new();
    for (key, value) in rows {
        if key == FORMAT_KEY {
            owner = value;
        } else if take_row(&mut state, &mut spaces, &key, &value).is_none() {
            return Err(StoreErrorKind::BadEntry(key));
        }
    }
    state.spaces = spaces.into_values().collect();
    Ok(FileContent { owner, state })
}

/// Nothing where the row can't be read.
fn take_row(
    state: &mut DurableState,
    spaces: &mut BTreeMap<Space, SpaceState>,
    key: &str,
    value: &str,
) -> Option<()> {
    let mut words = key.splitn(3, ' ');
    match (words.next()?, words.next(), words.next()) {
        (INCARNATION_KEY, None, None) => state.incarnation = parse(value)?,
        ("v", Some(voter), None) => {
            state.known_incarnations.insert(VoterId(parse(voter)?), parse(value)?);
        }
        ("p", Some(space), None) => space_state(spaces, space)?.promised = parse_json(value)?,
        ("l", Some(space), None) => space_state(spaces, space)?.lease = parse_json(value)?,
        ("e", Some(space), Some(name)) => {
            space_state(spaces, space)?.entries.insert(name.to_owned(), parse_json(value)?);
        }
        _ => return None,
    }
    Some(())
}

/// The state of a space that is being read; empty at first.
fn space_state<'a>(spaces: &'a mut BTreeMap<Space, SpaceState>, text: &str) -> Option<&'a mut SpaceState> {
    let space = parse_space(text)?;
    let empty = || SpaceState {
        space: space.clone(),
        promised: Ballot::default(),
        entries: Entries::new(),
        lease: None,
    };
    Some(spaces.entry(space.clone()).or_insert_with(empty))
}

fn parse<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn parse_json<T: DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}
