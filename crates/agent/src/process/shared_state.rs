//! What an agent's processes share in `$TMPDIR`: the bans by hand, and who else runs. A thread of its own does all that touches files, so that a disk
//! that hangs stops nobody. It looks ten times a second whether the other process changed anything.
//!
//! Files, by the agent's name: `.bans`, a first line that tells the format and a line for each banned id, always replaced at once; `.change`, locked for
//! read, change and write; `.learnt`, what a process leaves for the one that takes over; `.elder`, locked by the process that serves as long as it
//! lives; `.younger`, locked by one that was started beside it. Locks end with their process, however that ends: a file without a lock says
//! nothing.
use std::collections::BTreeSet;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::ban_file;
use crate::state::bans::{MAX_BANS, PersistError, PersistResult};

/// How often the thread looks. What the other process was told binds this one so much later at the most.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// The other process holds the lock for one small write; one that hangs is waited for half a second in all.
const LOCK_ATTEMPTS: u32 = 50;
const LOCK_PAUSE: Duration = Duration::from_millis(10);
/// The longest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// The longest part of a file's name that an agent's name gives, in characters.
const MAX_NAME: usize = 64;

const BANS: &str = "bans";
const CHANGE_LOCK: &str = "change";
const LEARNED_STATE: &str = "learnt";
const SERVING_LOCK: &str = "elder";
const STARTED_BESIDE_LOCK: &str = "younger";

/// What the serving thread is told.
#[derive(Debug, PartialEq, Eq)]
pub enum SharedStateEvent {
    /// These are banned, and nobody else.
    Bans(BTreeSet<String>),
    /// Another process of this agent runs, or none does any more.
    OtherProcess {
        /// Another one runs.
        exists: bool,
        /// This one is the older of the two.
        is_older: bool,
    },
}

enum Work {
    SetBan { id: String, banned: bool, done: oneshot::Sender<PersistResult> },
    LeaveState(String),
}

/// What a process begins with.
pub struct OpenedState {
    /// The serving thread's end.
    pub handle: SharedState,
    /// Bans that were persisted.
    pub bans: BTreeSet<String>,
    /// What changes from here on.
    pub events: mpsc::UnboundedReceiver<SharedStateEvent>,
}

/// The serving thread's end.
pub struct SharedState {
    work: Sender<Work>,
    learned_state_path: Option<PathBuf>,
}

impl SharedState {
    /// Begins with what is persisted. Without a folder bans are held in memory alone.
    pub fn open(folder: Option<PathBuf>, agent: &str) -> OpenedState {
        let stem = folder.map(|folder| folder.join(format!("notchspool-{}", file_name(agent))));
        if stem.is_none() {
            log::warn!("TMPDIR is not set: bans by hand end with this process");
        }
        let mut files = SharedFiles {
            stem,
            bans: BTreeSet::new(),
            last_text: None,
            serving_lock: None,
            beside_lock: None,
            has_other: false,
        };
        let bans = files.read_bans().unwrap_or_default();
        let learned_state_path = files.path(LEARNED_STATE);
        let (work, received) = channel();
        let (event_sender, events) = mpsc::unbounded_channel();
        files.look_for_other(&event_sender);
        std::thread::spawn(move || files.run(&received, &event_sender));
        OpenedState { handle: SharedState { work, learned_state_path }, bans, events }
    }

    /// Bans a backend or lifts the ban; the answer says whether it is persisted.
    pub fn set_ban(&self, id: String, banned: bool) -> oneshot::Receiver<PersistResult> {
        let (done, result) = oneshot::channel();
        // Fails only where the thread is gone: then the answer's other end is gone with it.
        let _ = self.work.send(Work::SetBan { id, banned, done });
        result
    }

    /// Leaves a text for the process that takes over.
    pub fn leave_state(&self, text: String) {
        // Fails only where the thread is gone, as the process ends.
        let _ = self.work.send(Work::LeaveState(text));
    }

    /// The text that a process left, whenever that was.
    pub fn left_state(&self) -> Option<String> {
        read_text(self.learned_state_path.as_ref()?).ok()
    }
}

/// A name as a part of a file's name.
fn file_name(name: &str) -> String {
    let safe = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    name.chars().map(safe).take(MAX_NAME).collect()
}

/// The thread's end.
struct SharedFiles {
    /// Path of the files without their endings; nothing without a folder.
    stem: Option<PathBuf>,
    bans: BTreeSet<String>,
    /// What the file held when it was last read, or why it could not be read.
    last_text: Option<String>,
    serving_lock: Option<File>,
    beside_lock: Option<File>,
    /// Another process of this agent runs.
    has_other: bool,
}

impl SharedFiles {
    fn run(mut self, work: &Receiver<Work>, events: &mpsc::UnboundedSender<SharedStateEvent>) {
        loop {
            match work.recv_timeout(LOOK_INTERVAL) {
                Ok(Work::SetBan { id, banned, done }) => self.set_ban(id, banned, done, events),
                Ok(Work::LeaveState(text)) => self.leave_state(&text),
                Err(RecvTimeoutError::Timeout) => {
                    if let Some(bans) = self.read_bans() {
                        send(events, SharedStateEvent::Bans(bans));
                    }
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.look_for_other(events);
        }
    }

    fn set_ban(
        &mut self,
        id: String,
        banned: bool,
        done: oneshot::Sender<PersistResult>,
        events: &mpsc::UnboundedSender<SharedStateEvent>,
    ) {
        // In force before any file is touched: another process that hangs with the lock must not hold up a ban.
        let mut bans = self.bans.clone();
        if banned {
            bans.insert(id.clone());
        } else {
            bans.remove(&id);
        }
        send(events, SharedStateEvent::Bans(bans));
        let persisted = self.persist_ban(id, banned);
        send(events, SharedStateEvent::Bans(self.bans.clone()));
        // The operator may have given up.
        let _ = done.send(persisted);
    }

    fn leave_state(&self, text: &str) {
        // It is of use to a process that runs now, which waits for it: it need not outlast a loss of power.
        if let Some(Err(error)) = self.path(LEARNED_STATE).map(|path| replace_file(&path, text, Sync::No)) {
            log::warn!("what was learnt can't be left: {error}");
        }
    }

    fn path(&self, extension: &str) -> Option<PathBuf> {
        let stem = self.stem.as_ref()?;
        Some(stem.with_file_name(format!("{}.{extension}", stem.file_name()?.to_string_lossy())))
    }

    /// Reads what is persisted; nothing where nothing changed. A file that is torn or foreign changes nothing, and is named once.
    fn read_bans(&mut self) -> Option<BTreeSet<String>> {
        let path = self.path(BANS)?;
        let text = match read_text(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(error) => error.to_string(),
        };
        if self.last_text.as_ref() == Some(&text) {
            return None;
        }
        let bans = ban_file::parse(&text);
        self.last_text = Some(text);
        match bans {
            Ok(bans) if bans == self.bans => None,
            Ok(bans) => {
                self.bans = bans.clone();
                Some(bans)
            }
            Err(error) => {
                log::warn!("{}: {error}; the bans known stay", path.display());
                None
            }
        }
    }

    /// In force it is in any case; persisted where that can be.
    fn persist_ban(&mut self, id: String, banned: bool) -> PersistResult {
        let lock = self.path(CHANGE_LOCK).map(|path| wait_for_lock(&path));
        // What the other process changed meanwhile stays.
        self.read_bans();
        if banned && self.bans.len() >= MAX_BANS {
            return Err(PersistError::TooMany);
        }
        if banned {
            self.bans.insert(id);
        } else {
            self.bans.remove(&id);
        }
        let (Some(lock), Some(path)) = (lock, self.path(BANS)) else { return Ok(()) };
        let failed = |source| PersistError::Io { path: path.clone(), source };
        let _lock = lock.map_err(failed)?;
        let text = ban_file::encode(&self.bans);
        replace_file(&path, &text, Sync::Yes).map_err(failed)?;
        self.last_text = Some(text);
        Ok(())
    }

    /// Finds out whether another process of this agent runs.
    fn look_for_other(&mut self, events: &mpsc::UnboundedSender<SharedStateEvent>) {
        if self.serving_lock.is_none() {
            self.serving_lock = self.path(SERVING_LOCK).and_then(|path| try_lock(&path));
        }
        let is_older = self.serving_lock.is_some();
        let exists = self.has_other_process(is_older);
        if exists != std::mem::replace(&mut self.has_other, exists) {
            send(events, SharedStateEvent::OtherProcess { exists, is_older });
        }
    }

    fn has_other_process(&mut self, is_older: bool) -> bool {
        if self.stem.is_none() {
            return false;
        }
        let beside_path = self.path(STARTED_BESIDE_LOCK);
        if is_older {
            self.beside_lock = None;
            // Free, it is let go again at once: only a process beside an older one holds it.
            return beside_path.is_some_and(|path| try_lock(&path).is_none());
        }
        if self.beside_lock.is_none() {
            self.beside_lock = beside_path.and_then(|path| try_lock(&path));
        }
        true
    }
}

fn send(events: &mpsc::UnboundedSender<SharedStateEvent>, event: SharedStateEvent) {
    // Fails only as the process ends.
    let _ = events.send(event);
}

fn open_lock_file(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).truncate(false).write(true).open(path)
}

/// The file, locked, once whoever holds it lets it go; an error where that takes too long.
fn wait_for_lock(path: &Path) -> io::Result<File> {
    let file = open_lock_file(path)?;
    for _ in 0..LOCK_ATTEMPTS {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_PAUSE),
            Err(TryLockError::Error(error)) => return Err(error),
        }
    }
    Err(io::Error::other("the other process holds its lock"))
}

/// The file, locked; nothing where another holds it, or it can't be.
fn try_lock(path: &Path) -> Option<File> {
    open_lock_file(path).ok().filter(|file| file.try_lock().is_ok())
}

/// Whether a file has to be on the disk before it counts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sync {
    Yes,
    No,
}

/// A new file in place of the old one: whoever reads finds either, complete.
fn replace_file(path: &Path, text: &str, sync: Sync) -> io::Result<()> {
    let mut new_path = path.as_os_str().to_owned();
    new_path.push(".new");
    let mut file = File::create(&new_path)?;
    file.write_all(text.as_bytes())?;
    if sync == Sync::Yes {
        file.sync_all()?;
    }
    std::fs::rename(&new_path, path)
}

fn read_text(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(MAX_FILE_BYTES).read_to_string(&mut text)?;
    Ok(text)
}
