//! Plain files in one folder. Each is written aside, synced, renamed over the old one, and the folder is synced: after any loss of power
//! it is the old one or the new one. A first line holds length and checksum, so that a torn one is known as such.
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::{Broken, broken};

pub struct Shelf {
    folder: PathBuf,
}

impl Shelf {
    pub fn open(folder: &Path) -> Result<Shelf, Broken> {
        std::fs::create_dir_all(folder).map_err(broken(folder.display().to_string()))?;
        Ok(Shelf { folder: folder.to_path_buf() })
    }

    /// Names of the files that are whole by name: what was being written aside is not among them.
    pub fn names(&self) -> Result<Vec<String>, Broken> {
        let mut names = Vec::new();
        let at = || self.folder.display().to_string();
        for entry in std::fs::read_dir(&self.folder).map_err(broken(at()))? {
            let entry = entry.map_err(broken(at()))?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if entry.path().is_file() && !name.ends_with(".new") {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    /// None where there is no such file, or it is torn.
    pub fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Broken> {
        match std::fs::read(self.folder.join(name)) {
            Ok(bytes) => Ok(unsealed(&bytes)),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(broken(name)(e)),
        }
    }

    pub fn put(&mut self, name: &str, bytes: &[u8]) -> Result<(), Broken> {
        let (aside, path) = (self.folder.join(format!("{name}.new")), self.folder.join(name));
        let written = File::create(&aside).and_then(|mut file| {
            file.write_all(&sealed(bytes))?;
            file.sync_all()
        });
        if let Err(e) = written {
            let _ = std::fs::remove_file(&aside); // room is won back; the old one stands
            return Err(broken(name)(e));
        }
        std::fs::rename(&aside, &path).map_err(broken(name))?;
        File::open(&self.folder).and_then(|f| f.sync_all()).map_err(broken(name))
    }

    /// A file that must not come back, after any loss of power.
    pub fn remove_synced(&mut self, name: &str) -> Result<(), Broken> {
        match std::fs::remove_file(self.folder.join(name)) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(broken(name)(e)),
            _ => {}
        }
        File::open(&self.folder).and_then(|f| f.sync_all()).map_err(broken(name))
    }

    /// A file that is no longer of use. Should it stay, it does no harm.
    pub fn remove(&mut self, name: &str) {
        let _ = std::fs::remove_file(self.folder.join(name));
    }
}

fn sealed(bytes: &[u8]) -> Vec<u8> {
    let mut all = format!("{} {:08x}\n", bytes.len(), crc32fast::hash(bytes)).into_bytes();
    all.extend_from_slice(bytes);
    all
}

fn unsealed(all: &[u8]) -> Option<Vec<u8>> {
    let end = all.iter().take(40).position(|b| *b == b'\n')?;
    let (length, sum) = std::str::from_utf8(&all[..end]).ok()?.split_once(' ')?;
    let bytes = &all[end + 1..];
    let whole =
        length.parse() == Ok(bytes.len()) && u32::from_str_radix(sum, 16) == Ok(crc32fast::hash(bytes));
    whole.then(|| bytes.to_vec())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_torn_at_any_byte_is_no_file() {
        let all = sealed(b"the word of the operator");
        assert_eq!(unsealed(&all).as_deref(), Some(&b"the word of the operator"[..]));
        for end in 0..all.len() {
            assert_eq!(unsealed(&all[..end]), None, "cut at {end}");
            let mut torn = all.clone();
            torn[end..].fill(0);
            assert_eq!(unsealed(&torn), None, "nought from {end}");
        }
    }
}
