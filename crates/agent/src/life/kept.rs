//! What an agent's processes share in `$TMPDIR`: the bans by hand, and who else lives. A thread of its own does all that touches
//! files, so that a disk that hangs stops nobody. It looks ten times a second whether the other process changed anything.
//!
//! Files, by the agent's name: `.bans`, a first line that tells the form and a line for each banned id, always replaced whole; `.change`,
//! locked for read, change and write; `.learnt`, what an elder leaves for the process that takes over; `.elder`, locked by the process that serves as long as it lives; `.younger`, locked by one that was
//! started beside it. Locks end with their process, however that ends: a file without a lock says nothing.
use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

/// How often the thread looks. What the other process was told binds this one so much later at the most.
const LOOK: Duration = Duration::from_millis(100);
/// The other process holds the lock for one small write; one that hangs is waited for half a second in all.
const LOCK_TRIES: u32 = 50;
const LOCK_PAUSE: Duration = Duration::from_millis(10);
const FORM: &str = "notchspool bans 1";
/// Bytes of the file and bans at once.
const LARGEST: u64 = 1024 * 1024;
const MOST: usize = 4096;

/// What the serving thread is told.
#[derive(Debug, PartialEq, Eq)]
pub enum News {
    /// These are banned, and nobody else.
    Bans(BTreeSet<String>),
    /// Another process of this agent lives, or none does any more; and whether this one is the elder.
    Beside { beside: bool, elder: bool },
}

enum Order {
    Ban { id: String, on: bool, done: oneshot::Sender<Result<(), String>> },
    Leave(String),
}

/// The serving thread's end.
pub struct Kept {
    orders: Sender<Order>,
    learnt: Option<PathBuf>,
}

impl Kept {
    /// Begins with what is kept. Without a folder bans are held in memory alone.
    pub fn open(
        folder: Option<PathBuf>,
        name: &str,
    ) -> (Kept, BTreeSet<String>, mpsc::UnboundedReceiver<News>) {
        let stem = folder.map(|folder| folder.join(format!("notchspool-{}", plain(name))));
        if stem.is_none() {
            log::warn!("TMPDIR is not set: bans by hand end with this process");
        }
        let mut keeper =
            Keeper { stem, bans: BTreeSet::new(), seen: None, elder: None, younger: None, beside: false };
        let bans = keeper.look().unwrap_or_default();
        let learnt = keeper.file("learnt");
        let (orders, asked) = channel();
        let (tell, news) = mpsc::unbounded_channel();
        keeper.place(&tell);
        std::thread::spawn(move || keeper.run(&asked, &tell));
        (Kept { orders, learnt }, bans, news)
    }
    /// Puts a ban on or lifts it; the answer says whether it is kept. In force it is either way.
    pub fn change(&self, id: String, on: bool) -> oneshot::Receiver<Result<(), String>> {
        let (done, told) = oneshot::channel();
        // Fails only where the thread is gone: then the answer's other end is gone with it.
        let _ = self.orders.send(Order::Ban { id, on, done });
        told
    }
    /// Leaves this for the process that takes over.
    pub fn leave(&self, text: String) {
        let _ = self.orders.send(Order::Leave(text));
    }
    /// What an elder left, whenever that was.
    pub fn left(&self) -> Option<String> {
        read(self.learnt.as_ref()?).ok()
    }
}

/// A name as a part of a file's name.
fn plain(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).take(64).collect()
}

struct Keeper {
    stem: Option<PathBuf>,
    bans: BTreeSet<String>,
    /// What the file held when it was last read, and that it could not be read.
    seen: Option<String>,
    elder: Option<File>,
    younger: Option<File>,
    beside: bool,
}

impl Keeper {
    fn run(mut self, asked: &Receiver<Order>, tell: &mpsc::UnboundedSender<News>) {
        loop {
            let order = match asked.recv_timeout(LOOK) {
                Ok(order) => Some(order),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            match order {
                Some(Order::Ban { id, on, done }) => {
                    // In force before any file is touched: a sister that hangs with the lock must not hold up a ban.
                    let mut now = self.bans.clone();
                    let _ = if on { now.insert(id.clone()) } else { now.remove(&id) };
                    let _ = tell.send(News::Bans(now));
                    let kept = self.change(id, on);
                    let _ = tell.send(News::Bans(self.bans.clone()));
                    let _ = done.send(kept);
                }
                Some(Order::Leave(text)) => {
                    if let Some(Err(why)) = self.file("learnt").map(|path| replace(&path, &text)) {
                        log::warn!("what was learnt can't be left: {why}");
                    }
                }
                None => {
                    if let Some(bans) = self.look() {
                        let _ = tell.send(News::Bans(bans));
                    }
                }
            }
            self.place(tell);
        }
    }

    fn file(&self, end: &str) -> Option<PathBuf> {
        let stem = self.stem.as_ref()?;
        Some(stem.with_file_name(format!("{}.{end}", stem.file_name()?.to_string_lossy())))
    }

    /// Reads what is kept. None where nothing is new. A file that is torn or foreign changes nothing, and is named once.
    fn look(&mut self) -> Option<BTreeSet<String>> {
        let path = self.file("bans")?;
        let text = match read(&path) {
            Ok(text) => text,
            Err(why) if why.kind() == std::io::ErrorKind::NotFound => return None,
            Err(why) => why.to_string(),
        };
        if self.seen.as_ref() == Some(&text) {
            return None;
        }
        let said = parse(&text);
        self.seen = Some(text);
        match said {
            Ok(bans) if bans == self.bans => None,
            Ok(bans) => {
                self.bans = bans.clone();
                Some(bans)
            }
            Err(why) => {
                log::warn!("{}: {why}; the bans known stay", path.display());
                None
            }
        }
    }

    /// In force it is in any case; kept where that can be.
    fn change(&mut self, id: String, on: bool) -> Result<(), String> {
        let lock = self.file("change").map(|path| locked(&path));
        // What the other process changed meanwhile stays.
        self.look();
        match on {
            true if self.bans.len() >= MOST => return Err(format!("{MOST} bans are all there can be")),
            true => self.bans.insert(id),
            false => self.bans.remove(&id),
        };
        let (Some(lock), Some(path)) = (lock, self.file("bans")) else { return Ok(()) };
        let told = |e: std::io::Error| format!("{}: {e}", path.display());
        let _lock = lock.map_err(told)?;
        let text = written(&self.bans);
        replace(&path, &text).map_err(told)?;
        self.seen = Some(text);
        Ok(())
    }

    /// Finds out whether another process of this agent lives.
    fn place(&mut self, tell: &mpsc::UnboundedSender<News>) {
        if self.elder.is_none() {
            self.elder = self.file("elder").and_then(|path| held(&path));
        }
        let beside = match (self.stem.is_some(), &self.elder) {
            (false, _) => false,
            (true, Some(_)) => {
                self.younger = None;
                // Free, it is let go again at once: only who lives beside an elder holds it.
                self.file("younger").is_some_and(|path| held(&path).is_none())
            }
            (true, None) => {
                if self.younger.is_none() {
                    self.younger = self.file("younger").and_then(|path| held(&path));
                }
                true
            }
        };
        if beside != std::mem::replace(&mut self.beside, beside) {
            let _ = tell.send(News::Beside { beside, elder: self.elder.is_some() });
        }
    }
}

fn open(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().create(true).truncate(false).write(true).open(path)
}

/// The file, locked, once whoever holds it lets it go; an error where that takes too long.
fn locked(path: &Path) -> std::io::Result<File> {
    let file = open(path)?;
    for _ in 0..LOCK_TRIES {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(std::fs::TryLockError::WouldBlock) => std::thread::sleep(LOCK_PAUSE),
            Err(std::fs::TryLockError::Error(why)) => return Err(why),
        }
    }
    Err(std::io::Error::other("the other process holds its lock"))
}

/// The file, locked; none where another holds it, or it can't be.
fn held(path: &Path) -> Option<File> {
    open(path).ok().filter(|file| file.try_lock().is_ok())
}

/// A new file in place of the old one: whoever reads finds either, whole.
fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    let mut file = File::create(&new)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&new, path)
}

fn read(path: &Path) -> std::io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(LARGEST).read_to_string(&mut text)?;
    Ok(text)
}

fn written(bans: &BTreeSet<String>) -> String {
    let lines: String = bans.iter().map(|id| format!("{id}\n")).collect();
    format!("{FORM}\n{lines}end\n")
}

fn parse(text: &str) -> Result<BTreeSet<String>, String> {
    let text = text.strip_prefix(FORM).and_then(|text| text.strip_prefix('\n'));
    let text = text.ok_or("it is no file of bans")?;
    let text = text.strip_suffix("end\n").filter(|text| text.is_empty() || text.ends_with('\n'));
    let bans: BTreeSet<String> = text.ok_or("it is torn")?.lines().map(str::to_owned).collect();
    match bans.len() > MOST {
        true => Err(format!("it holds over {MOST} bans")),
        false => Ok(bans),
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn ids(ids: &[&str]) -> BTreeSet<String> {
        ids.iter().map(|id| (*id).to_owned()).collect()
    }

    #[rstest]
    #[case(&[])]
    #[case(&["s-1"])]
    #[case(&["end", "s-1", "s-2"])]
    fn what_is_written_is_read(#[case] names: &[&str]) {
        assert_eq!(parse(&written(&ids(names))), Ok(ids(names)));
    }

    #[test]
    fn a_file_cut_anywhere_or_foreign_is_refused() {
        let whole = written(&ids(&["s-1", "s-2"]));
        for end in 0..whole.len() {
            assert!(parse(&whole[..end]).is_err(), "{:?}", &whole[..end]);
        }
        assert!(parse("[bans]\n").is_err());
    }

    #[test]
    fn a_ban_is_in_force_though_a_sister_hangs_with_the_lock() {
        let folder = std::env::temp_dir().join(format!("notchspool-hung-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (kept, _, mut heard) = Kept::open(Some(folder.clone()), "n0");
        let hung = open(&folder.join("notchspool-n0.change")).expect("a file");
        hung.lock().expect("locked");
        let answer = kept.change("s-1".into(), true);
        assert_eq!(heard.blocking_recv(), Some(News::Bans(ids(&["s-1"]))));
        let why = answer.blocking_recv().expect("an answer").expect_err("not kept");
        assert!(why.contains("holds its lock"), "{why}");
        assert_eq!(heard.blocking_recv(), Some(News::Bans(ids(&["s-1"]))), "it stays in force");
        drop(kept);
        std::fs::remove_dir_all(&folder).expect("removed");
    }

    #[test]
    fn two_processes_share_bans_and_know_of_each_other() {
        let folder = std::env::temp_dir().join(format!("notchspool-kept-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let next = |news: &mut mpsc::UnboundedReceiver<News>| news.blocking_recv().expect("news");
        let (first, bans, mut heard) = Kept::open(Some(folder.clone()), "n0");
        assert_eq!(bans, ids(&[]));
        first.change("s-1".into(), true).blocking_recv().expect("an answer").expect("kept");
        assert_eq!(next(&mut heard), News::Bans(ids(&["s-1"])));
        assert_eq!(next(&mut heard), News::Bans(ids(&["s-1"])), "in force, then kept");
        // The second begins with it, hears that it is not alone, and the first hears it too.
        let (second, bans, mut news) = Kept::open(Some(folder.clone()), "n0");
        assert_eq!(bans, ids(&["s-1"]));
        assert_eq!(next(&mut news), News::Beside { beside: true, elder: false });
        assert_eq!(next(&mut heard), News::Beside { beside: true, elder: true });
        first.leave("figures".to_owned());
        second.change("s-2".into(), true).blocking_recv().expect("an answer").expect("kept");
        assert_eq!(next(&mut heard), News::Bans(ids(&["s-1", "s-2"])));
        first.change("s-1".into(), false).blocking_recv().expect("an answer").expect("kept");
        assert_eq!(next(&mut news), News::Bans(ids(&["s-1", "s-2"])));
        assert_eq!(next(&mut news), News::Bans(ids(&["s-1", "s-2"])));
        assert_eq!(next(&mut news), News::Bans(ids(&["s-2"])));
        // A torn file changes nothing.
        std::fs::write(folder.join("notchspool-n0.bans"), "notchspool bans 1\ns-9").expect("written");
        drop((first, heard));
        assert_eq!(next(&mut news), News::Beside { beside: false, elder: true });
        assert_eq!(second.left().as_deref(), Some("figures"));
        drop(second);
        std::fs::remove_dir_all(&folder).expect("removed");
    }
}
