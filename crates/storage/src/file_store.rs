//! Plain files in one folder, each replaced atomically.
//!
//! A file is written under another name, synced, renamed over the old one, and the folder is synced: after any loss of power it is the old
//! one or the new one. A first line holds length and checksum, so that a torn file is known as such.
use std::path::Path;

use crate::directory::{Directory, OsDirectory};
use crate::{StorageError, storage_error};

/// How the name of a file that is still being written ends.
const TEMPORARY_SUFFIX: &str = ".new";
/// The first line has no more bytes than this.
const MAX_HEAD_BYTES: usize = 40;

/// One folder of files.
pub struct FileStore {
    directory: Box<dyn Directory>,
}

impl FileStore {
    /// The files of a folder of the machine, which is made where there is none.
    ///
    /// # Errors
    ///
    /// The folder can't be made.
    pub fn open(folder: &Path) -> Result<FileStore, StorageError> {
        let directory = OsDirectory::open(folder).map_err(storage_error(folder.display().to_string()))?;
        Ok(FileStore::new(Box::new(directory)))
    }

    /// The files of any folder.
    pub fn new(directory: Box<dyn Directory>) -> FileStore {
        FileStore { directory }
    }

    /// Names of the files; those that were still being written are not among them.
    ///
    /// # Errors
    ///
    /// The folder can't be read.
    pub fn names(&self) -> Result<Vec<String>, StorageError> {
        let mut names = self.directory.list().map_err(storage_error("the folder"))?;
        names.retain(|name| !name.ends_with(TEMPORARY_SUFFIX));
        names.sort();
        Ok(names)
    }

    /// Removes files that were still being written when the process ended: none of them counts, and they take room.
    pub fn remove_temporary(&mut self) {
        let names = self.directory.list().unwrap_or_default();
        for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
            // Should it stay, the next one of that name is written over it.
            let _ = self.directory.remove(name);
        }
    }

    /// The content of a file; `None` where there is no such file, or it is torn.
    ///
    /// # Errors
    ///
    /// The file is there and can't be read.
    pub fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        let bytes = self.directory.read(name).map_err(storage_error(name))?;
        Ok(bytes.and_then(|bytes| verify_checksum(&bytes)))
    }

    /// Replaces a file; durable when this returns without an error.
    ///
    /// # Errors
    ///
    /// The old file stands, or the new one without being durable.
    pub fn put(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        let written = self
            .directory
            .write(&temporary, &with_checksum(bytes))
            .and_then(|()| self.directory.sync(&temporary));
        if let Err(e) = written {
            // Room is won back where that works; the old file stands either way.
            let _ = self.directory.remove(&temporary);
            return Err(storage_error(name)(e));
        }
        self.directory.rename(&temporary, name).map_err(storage_error(name))?;
        self.directory.sync_folder().map_err(storage_error(name))
    }

    /// Removes files that must not come back: gone for good when this returns without an error.
    ///
    /// # Errors
    ///
    /// Some of them may still be there, or come back.
    pub fn remove_all(&mut self, names: &[String]) -> Result<(), StorageError> {
        for name in names {
            self.directory.remove(name).map_err(storage_error(name.as_str()))?;
        }
        if names.is_empty() {
            return Ok(());
        }
        self.directory.sync_folder().map_err(storage_error("the folder"))
    }
}

/// Bytes with their length and checksum in a first line.
pub fn with_checksum(bytes: &[u8]) -> Vec<u8> {
    let mut checked = format!("{} {:08x}\n", bytes.len(), crc32fast::hash(bytes)).into_bytes();
    checked.extend_from_slice(bytes);
    checked
}

/// The bytes after the first line; `None` where they are not what it says.
pub fn verify_checksum(checked: &[u8]) -> Option<Vec<u8>> {
    let end = checked.iter().take(MAX_HEAD_BYTES).position(|byte| *byte == b'\n')?;
    let (length, checksum) = std::str::from_utf8(&checked[..end]).ok()?.split_once(' ')?;
    let bytes = &checked[end + 1..];
    let is_intact =
        length.parse() == Ok(bytes.len()) && u32::from_str_radix(checksum, 16) == Ok(crc32fast::hash(bytes));
    is_intact.then(|| bytes.to_vec())
}
