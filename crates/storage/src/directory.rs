//! The few things that are done to a folder, as a trait, so that a stand-in can lose power between any two of them.
use std::fs::File;
use std::io::{ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

/// One folder of plain files.
pub trait Directory: Send {
    /// Names of its files.
    ///
    /// # Errors
    ///
    /// The folder can't be read.
    fn list(&self) -> Result<Vec<String>>;
    /// The content of a file; `None` where there is no such file.
    ///
    /// # Errors
    ///
    /// The file is there and can't be read.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>>;
    /// Makes a file with this content, in place of one of that name; not yet durable.
    ///
    /// # Errors
    ///
    /// The file can't be written; it may be there in part.
    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Makes the content of the file durable.
    ///
    /// # Errors
    ///
    /// The file may not be durable.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Renames a file over another.
    ///
    /// # Errors
    ///
    /// The file can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Removes a file; no error where there is none.
    ///
    /// # Errors
    ///
    /// The file is there and can't be removed.
    fn remove(&mut self, name: &str) -> Result<()>;
    /// Makes durable what was made, renamed and removed.
    ///
    /// # Errors
    ///
    /// What was made, renamed and removed may not be durable.
    fn sync_folder(&mut self) -> Result<()>;
}

/// A folder of the machine.
pub struct OsDirectory(PathBuf);

impl OsDirectory {
    /// Opens the folder, and makes it where there is none.
    ///
    /// # Errors
    ///
    /// The folder can't be made.
    pub fn open(path: &Path) -> Result<OsDirectory> {
        std::fs::create_dir_all(path)?;
        Ok(OsDirectory(path.to_path_buf()))
    }
}

impl Directory for OsDirectory {
    fn list(&self) -> Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.0)? {
            let entry = entry?;
            if entry.path().is_file() {
                names.push(entry.file_name().to_string_lossy().into_owned());
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        match std::fs::read(self.0.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        File::create(self.0.join(name))?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        // Any handle of the file syncs all of it.
        File::open(self.0.join(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        match std::fs::remove_file(self.0.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn sync_folder(&mut self) -> Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
