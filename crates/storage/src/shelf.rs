//! Plain files in one folder. Each is written aside, synced, renamed over the old one, and the folder is synced: after any loss of power
//! it is the old one or the new one. A first line holds length and checksum, so that a torn one is known as such.
use std::path::Path;

use crate::drive::{Drive, Folder};
use crate::{Broken, broken};

/// How a file that is still being written is named.
const ASIDE: &str = ".new";

pub struct Shelf {
    drive: Box<dyn Drive>,
}

impl Shelf {
    pub fn open(folder: &Path) -> Result<Shelf, Broken> {
        let drive = Folder::open(folder).map_err(broken(folder.display().to_string()))?;
        Ok(Shelf::on(Box::new(drive)))
    }

    pub fn on(drive: Box<dyn Drive>) -> Shelf {
        Shelf { drive }
    }

    /// Names of the files that are whole by name: what was being written aside is not among them.
    pub fn names(&self) -> Result<Vec<String>, Broken> {
        let mut names = self.drive.list().map_err(broken("the folder"))?;
        names.retain(|name| !name.ends_with(ASIDE));
        names.sort();
        Ok(names)
    }

    /// Files that were being written aside when it ended: none of them counts, and they take room.
    pub fn clear(&mut self) {
        for name in self.drive.list().unwrap_or_default().iter().filter(|n| n.ends_with(ASIDE)) {
            let _ = self.drive.remove(name); // the next one of that name is written over it
        }
    }

    /// None where there is no such file, or it is torn.
    pub fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Broken> {
        let bytes = self.drive.read(name).map_err(broken(name))?;
        Ok(bytes.and_then(|bytes| unsealed(&bytes)))
    }

    pub fn put(&mut self, name: &str, bytes: &[u8]) -> Result<(), Broken> {
        let aside = format!("{name}{ASIDE}");
        let written = self.drive.write(&aside, &sealed(bytes)).and_then(|()| self.drive.sync(&aside));
        if let Err(e) = written {
            let _ = self.drive.remove(&aside); // room is won back; the old one stands
            return Err(broken(name)(e));
        }
        self.drive.rename(&aside, name).map_err(broken(name))?;
        self.drive.sync_folder().map_err(broken(name))
    }

    /// A file that is no longer of use. Should it stay, it does no harm.
    pub fn remove(&mut self, name: &str) {
        let _ = self.drive.remove(name);
    }

    /// Files that must not come back: gone for good when this returns.
    pub fn drop_all(&mut self, names: &[String]) -> Result<(), Broken> {
        for name in names {
            self.drive.remove(name).map_err(broken(name.as_str()))?;
        }
        if names.is_empty() { Ok(()) } else { self.drive.sync_folder().map_err(broken("the folder")) }
    }
}

/// Bytes with their length and checksum in front.
pub fn sealed(bytes: &[u8]) -> Vec<u8> {
    let mut all = format!("{} {:08x}\n", bytes.len(), crc32fast::hash(bytes)).into_bytes();
    all.extend_from_slice(bytes);
    all
}

/// None where they are torn.
pub fn unsealed(all: &[u8]) -> Option<Vec<u8>> {
    let end = all.iter().take(40).position(|b| *b == b'\n')?;
    let (length, sum) = std::str::from_utf8(&all[..end]).ok()?.split_once(' ')?;
    let bytes = &all[end + 1..];
    let whole =
        length.parse() == Ok(bytes.len()) && u32::from_str_radix(sum, 16) == Ok(crc32fast::hash(bytes));
    whole.then(|| bytes.to_vec())
}
