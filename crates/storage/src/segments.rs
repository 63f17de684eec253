//! The segment files of the log of claims, as far as `okaywal` leaves them to its caller.
//!
//! Two things about their names and first bytes have to hold through a loss of power, which the library does not see to:
//! - a segment that was being made when the process ended has no head, and the library refuses to open a log that holds one. Nothing in it
//!   was acknowledged: an entry is synced together with the head before it;
//! - a segment that is used again is renamed, and the folder is synced only at the next checkpoint. Until then a loss of power may bring the
//!   old name back, under which its entries count as done with.
//!
//! Names and head are those of the documentation of the library, "How it works".
use std::fs::File;
use std::io::{ErrorKind, Read, Result};
use std::path::{Path, PathBuf};

use okaywal::EntryId;

/// How the name of every segment begins; the id of the first entry that it may hold follows.
const SEGMENT_PREFIX: &str = "wal-";
/// The first bytes of a segment that was made completely.
const MAGIC: &[u8] = b"okw";

/// Makes durable what was made, renamed and removed in a folder.
pub type SyncFolder = fn(&Path) -> Result<()>;

/// The folder of one log.
#[derive(Clone, Debug)]
pub struct SegmentFolder {
    path: PathBuf,
    sync_folder: SyncFolder,
}

impl SegmentFolder {
    /// The folder at this path, made where there is none, durably.
    ///
    /// # Errors
    ///
    /// It can't be made.
    pub fn open(path: &Path, sync_folder: SyncFolder) -> Result<SegmentFolder> {
        std::fs::create_dir_all(path)?;
        // The names of the folder itself and of the one that holds it.
        for folder in path.ancestors().skip(1).take(2) {
            sync_folder(folder)?;
        }
        Ok(SegmentFolder { path: path.to_path_buf(), sync_folder })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Removes segments without a head. To be called while no log is open here.
    ///
    /// # Errors
    ///
    /// A file can't be read or removed.
    pub fn remove_half_made(&self) -> Result<()> {
        for entry in std::fs::read_dir(&self.path)? {
            let path = entry?.path();
            if is_segment(&path) && !has_head(&path)? {
                log::warn!(target: "storage", "{} was being made when the process ended: removed", path.display());
                std::fs::remove_file(&path)?;
            }
        }
        Ok(())
    }

    /// Makes the names of all segments durable.
    ///
    /// # Errors
    ///
    /// They may not be durable.
    pub fn sync(&self) -> Result<()> {
        (self.sync_folder)(&self.path)
    }

    /// Whether a segment begins with this entry: until the folder is synced its name may be lost, and the entry with it.
    pub fn begins_with(&self, entry: EntryId) -> bool {
        self.path.join(format!("{SEGMENT_PREFIX}{}", entry.0)).exists()
    }
}

/// [`SyncFolder`] of the machine.
///
/// # Errors
///
/// What was made, renamed and removed may not be durable.
pub fn sync_folder(path: &Path) -> Result<()> {
    File::open(path)?.sync_all()
}

fn is_segment(path: &Path) -> bool {
    path.file_name().is_some_and(|name| name.to_string_lossy().starts_with(SEGMENT_PREFIX))
}

fn has_head(path: &Path) -> Result<bool> {
    let mut first = [0; MAGIC.len()];
    match File::open(path)?.read_exact(&mut first) {
        Ok(()) => Ok(first == MAGIC),
        Err(e) if e.kind() == ErrorKind::UnexpectedEof => Ok(false),
        Err(e) => Err(e),
    }
}
