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
    /// Adds to the end of a file that is there; not yet durable.
    ///
    /// # Errors
    ///
    /// Part of it may have been added.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
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
pub struct OsDirectory {
    path: PathBuf,
    /// The file that was added to last.
    appended: Option<(String, File)>,
}

impl OsDirectory {
    /// Opens the folder, and makes it where there is none.
    ///
    /// # Errors
    ///
    /// The folder can't be made.
    pub fn open(path: &Path) -> Result<OsDirectory> {
        if !path.is_dir() {
            std::fs::create_dir_all(path)?;
            // The names of the folder and of the one that holds it.
            path.ancestors().skip(1).take(2).try_for_each(sync_folder)?;
        }
        Ok(OsDirectory { path: path.to_path_buf(), appended: None })
    }

    /// The file to which is added, left open from one time to the next.
    fn open_to_append(&mut self, name: &str) -> Result<&mut File> {
        let is_open = self.appended.as_ref().is_some_and(|(open, _)| open == name);
        if !is_open {
            let file = File::options().append(true).open(self.path.join(name))?;
            self.appended = Some((name.to_string(), file));
        }
        self.appended.as_mut().map(|(_, file)| file).ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// Another file may have this name from now on.
    fn close(&mut self, name: &str) {
        self.appended.take_if(|(open, _)| open == name);
    }
}

fn sync_folder(path: &Path) -> Result<()> {
    match path.as_os_str().is_empty() {
        true => File::open(".")?.sync_all(),
        false => File::open(path)?.sync_all(),
    }
}

impl Directory for OsDirectory {
    fn list(&self) -> Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            if entry.path().is_file() {
                names.push(entry.file_name().to_string_lossy().into_owned());
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        match std::fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.close(name);
        File::create(self.path.join(name))?.write_all(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.open_to_append(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        if let Some((_, file)) = self.appended.as_ref().filter(|(open, _)| open == name) {
            return file.sync_data();
        }
        // Any handle of the file syncs all of it.
        File::open(self.path.join(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.close(from);
        self.close(to);
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.close(name);
        match std::fs::remove_file(self.path.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn sync_folder(&mut self) -> Result<()> {
        sync_folder(&self.path)
    }
}
