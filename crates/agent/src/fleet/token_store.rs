//! The fencing tokens that this agent has seen, in its own folder: on the disk before anything is executed under a new one.
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use notchspool_consensus::Token;
use notchspool_consensus::fencing::{Admission, Fence};

/// First line of the file. The last one is `end`: a file without it is torn.
const FORMAT: &str = "notchspool tokens 1";
const MAX_FILE_BYTES: u64 = 64 * 1024;

/// The tokens, and the file that holds them.
pub struct TokenStore {
    path: PathBuf,
    fence: Fence,
    /// False: what was seen before is not known, and the voters have to be asked.
    pub known: bool,
}

/// Why a token is not admitted or not kept.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum TokenStoreError {
    /// The folder can't be made.
    #[display("fleet: {}: {source}", path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The file can't be written.
    #[display("{}: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A later owner's token was seen.
    #[display("token {} is older than {}, which was seen", token.0, seen.0)]
    Superseded {
        /// The token.
        token: Token,
        /// The later one.
        seen: Token,
    },
}

impl TokenStore {
    /// Reads the file in `folder`, which is made if it is not there. Where the file is missing or torn nothing is known.
    ///
    /// # Errors
    ///
    /// The folder can't be made.
    pub fn open(folder: &Path, name: &str) -> Result<TokenStore, TokenStoreError> {
        std::fs::create_dir_all(folder)
            .map_err(|source| TokenStoreError::Folder { path: folder.to_owned(), source })?;
        let path = folder.join(format!("tokens-{name}"));
        let fence = read(&path).ok().and_then(|text| {
            let fence = parse(&text);
            if fence.is_none() {
                log::warn!("fleet: {} can't be read: the keepers are asked", path.display());
            }
            fence
        });
        Ok(TokenStore { path, known: fence.is_some(), fence: fence.unwrap_or_default() })
    }

    /// The highest token seen for a job.
    pub fn highest(&self, job: &str) -> Token {
        self.fence.highest(job)
    }

    /// Admits what came under this token. A new token is on the disk first, so that a restart does not forget it.
    ///
    /// # Errors
    ///
    /// A later token was seen, or the file can't be written.
    pub fn admit(&mut self, job: &str, token: Token) -> Result<(), TokenStoreError> {
        let mut raised = self.fence.clone();
        match raised.admit(job, token) {
            Admission::Rejected(seen) => Err(TokenStoreError::Superseded { token, seen }),
            Admission::Current => Ok(()),
            Admission::Raised => {
                self.write(&raised)?;
                self.fence = raised;
                Ok(())
            }
        }
    }

    /// Takes the highest token that a majority of the voters has seen.
    ///
    /// # Errors
    ///
    /// The file can't be written.
    pub fn learn(&mut self, job: &str, token: Token) -> Result<(), TokenStoreError> {
        if token > self.fence.highest(job) {
            self.admit(job, token)?;
        } else {
            self.write(&self.fence)?;
        }
        self.known = true;
        Ok(())
    }

    fn write(&self, fence: &Fence) -> Result<(), TokenStoreError> {
        let written = write_synced(&self.path, fence);
        written.map_err(|source| TokenStoreError::Write { path: self.path.clone(), source })
    }
}

/// Replaces the file at once and syncs it and its folder.
fn write_synced(path: &Path, fence: &Fence) -> io::Result<()> {
    let new_path = path.with_extension("new");
    let body = serde_json::to_string(fence).map_err(io::Error::other)?;
    let mut file = File::create(&new_path)?;
    file.write_all(format!("{FORMAT}\n{body}\nend\n").as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&new_path, path)?;
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

fn read(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(MAX_FILE_BYTES).read_to_string(&mut text)?;
    Ok(text)
}

fn parse(text: &str) -> Option<Fence> {
    let body = text.strip_prefix(FORMAT)?.strip_prefix('\n')?.strip_suffix("\nend\n")?;
    serde_json::from_str(body).ok()
}
