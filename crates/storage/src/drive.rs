//! The few things that are done to a folder, so that a stand-in can lose power between any two of them.
use std::fs::File;
use std::io::{Result, Write};
use std::path::PathBuf;

/// One folder of plain files.
pub trait Drive: Send {
    /// Names of its files.
    fn list(&self) -> Result<Vec<String>>;
    /// None where there is no such file.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>>;
    /// Makes a file with this content, in place of one of that name; not yet durable.
    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// The content of the file is durable then.
    fn sync(&mut self, name: &str) -> Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// One that is not there is removed already.
    fn remove(&mut self, name: &str) -> Result<()>;
    /// What was made, renamed and removed is durable then.
    fn sync_folder(&mut self) -> Result<()>;
}

/// A folder of the machine.
pub struct Folder(PathBuf);

impl Folder {
    pub fn open(path: &std::path::Path) -> Result<Folder> {
        std::fs::create_dir_all(path)?;
        Ok(Folder(path.to_path_buf()))
    }
}

impl Drive for Folder {
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
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
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
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }
    fn sync_folder(&mut self) -> Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
