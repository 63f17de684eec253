//! The tokens this agent has seen, in its own folder: on the disk before anything is done under a new one.
use std::fs::File;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use notchspool_consensus::Token;
use notchspool_consensus::fencing::{Admission, Fence};

const FORM: &str = "notchspool tokens 1";
const LARGEST: u64 = 64 * 1024;

pub struct Tokens {
    path: PathBuf,
    fence: Fence,
    /// False: nothing is known of what was seen before; the voters have to be asked.
    pub known: bool,
}

impl Tokens {
    /// From the folder, which is made if it is not there. A file that is not there or is torn: nothing is known.
    pub fn open(folder: &Path, name: &str) -> Result<Tokens, String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("fleet: {}: {e}", folder.display()))?;
        let path = folder.join(format!("tokens-{name}"));
        let read = || -> std::io::Result<String> {
            let mut text = String::new();
            File::open(&path)?.take(LARGEST).read_to_string(&mut text)?;
            Ok(text)
        };
        let fence = match read() {
            Ok(text) => {
                let fence = parse(&text);
                if fence.is_none() {
                    log::warn!("fleet: {} can't be read: the keepers are asked", path.display());
                }
                fence
            }
            Err(_) => None,
        };
        Ok(Tokens { path, known: fence.is_some(), fence: fence.unwrap_or_default() })
    }

    pub fn seen(&self, job: &str) -> Token {
        self.fence.highest(job)
    }

    /// Whether what came under this token may be done now.
    pub fn pass(&mut self, job: &str, token: Token) -> Result<(), String> {
        let mut raised = self.fence.clone();
        match raised.admit(job, token) {
            Admission::Rejected(seen) => {
                Err(format!("token {} is older than {}, which was seen", token.0, seen.0))
            }
            Admission::Current => Ok(()),
            Admission::Raised => {
                // Guards against a restart that forgets it: first the disk, then what it allows.
                self.keep(&raised)?;
                self.fence = raised;
                Ok(())
            }
        }
    }

    /// What the voters say was seen by a majority of them.
    pub fn learn(&mut self, job: &str, token: Token) -> Result<(), String> {
        if token > self.fence.highest(job) {
            self.pass(job, token)?;
        } else {
            self.keep(&self.fence.clone())?;
        }
        self.known = true;
        Ok(())
    }

    fn keep(&self, fence: &Fence) -> Result<(), String> {
        let keep = || -> std::io::Result<()> {
            let new = self.path.with_extension("new");
            let mut file = File::create(&new)?;
            let body = serde_json::to_string(fence).map_err(std::io::Error::other)?;
            file.write_all(format!("{FORM}\n{body}\nend\n").as_bytes())?;
            file.sync_all()?;
            std::fs::rename(&new, &self.path)?;
            match self.path.parent() {
                Some(folder) => File::open(folder)?.sync_all(),
                None => Ok(()),
            }
        };
        keep().map_err(|e| format!("{}: {e}", self.path.display()))
    }
}

fn parse(text: &str) -> Option<Fence> {
    let body = text.strip_prefix(FORM)?.strip_prefix('\n')?.strip_suffix("\nend\n")?;
    serde_json::from_str(body).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_seen_outlives_a_restart_and_a_torn_file_is_none() {
        let folder = std::env::temp_dir().join(format!("notchspool-tokens-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let mut tokens = Tokens::open(&folder, "n1").expect("a folder");
        assert!(!tokens.known);
        tokens.learn("orders", Token(0)).expect("kept");
        assert!(Tokens::open(&folder, "n1").expect("again").known);
        tokens.pass("orders", Token(5)).expect("new");
        let mut tokens = Tokens::open(&folder, "n1").expect("again");
        assert!(tokens.known && tokens.pass("orders", Token(4)).is_err());
        tokens.pass("orders", Token(5)).expect("the same");
        let path = folder.join("tokens-n1");
        let whole = std::fs::read_to_string(&path).expect("kept");
        for end in 0..whole.len() {
            std::fs::write(&path, &whole[..end]).expect("torn");
            assert!(!Tokens::open(&folder, "n1").expect("again").known, "cut at {end}");
        }
        std::fs::remove_dir_all(&folder).expect("removed");
    }
}
