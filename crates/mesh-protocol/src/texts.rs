//! Large texts between two processes. Each version of a configuration is much like the one before, so it goes as a difference against one
//! that the other end has, and as its digest alone where the other end has it already; whole only where nothing is known to be there.
//!
//! A text that can't be made out (its base is not held, its digest is another, its bytes are none) is thrown away and counted, and the
//! whole is asked for with `Lack`. Nobody takes a text whose digest is not the one that was told.
use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::difference::{self, Digest};
use crate::{Carried, Lack, MOST_WORD, Text, Want, What};

/// Texts that the other end of a connection is taken to hold.
const KNOWN: usize = 4;
/// Differences that are kept as they were made: one goes to many.
const MADE: usize = 4;

/// Sums since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sent as a digest alone, as a difference, whole.
    pub digests: u64,
    pub differences: u64,
    pub wholes: u64,
    /// Bytes of these.
    pub bytes: u64,
    /// Thrown away: the base was not held, or it was not what its digest says.
    pub refused: u64,
}

/// What became of a message that came.
#[derive(Clone, Debug, PartialEq)]
#[allow(clippy::large_enum_variant)]
pub enum Heard {
    /// It says this.
    Says(What),
    /// Its text can't be made out: this goes back.
    Ask(What),
    /// It was for this part alone, or makes no sense.
    Done,
}

/// The texts of one process, and what is known of the other ends of its connections.
#[derive(Debug)]
pub struct Texts {
    most: usize,
    /// Newest last.
    held: VecDeque<(Digest, Bytes)>,
    known: BTreeMap<u64, VecDeque<Digest>>,
    made: VecDeque<(Digest, Digest, Bytes)>,
    /// The same for the lines in front that are long: what was taken under earlier numbers grows by an entry a version.
    heads: Option<Box<Texts>>,
    pub counts: Counts,
    /// A planted fault: a text is taken whatever its base and digest say. Tests have to notice it.
    pub trusting: bool,
}

/// A line in front that begins with a number (as the register has it) and the text that is alike in both.
fn split(text: &[u8]) -> (&[u8], &[u8]) {
    let line = text.first().is_some_and(u8::is_ascii_digit).then(|| text.iter().position(|b| *b == b'\n'));
    line.flatten().map_or((&[], text), |end| text.split_at(end + 1))
}

/// A line in front goes as it is up to so many bytes, and as a text of its own beyond.
const SHORT: usize = 64;

fn read_digest(bytes: &[u8]) -> Option<Digest> {
    Digest::try_from(bytes).ok()
}

impl Texts {
    /// `most`: how many texts are held.
    pub fn open(most: usize) -> Texts {
        Texts {
            most: most.max(1),
            held: VecDeque::new(),
            known: BTreeMap::new(),
            made: VecDeque::new(),
            heads: None,
            counts: Counts::default(),
            trusting: false,
        }
    }

    /// Holds a text, with or without a number in front, so that others can be made out by it.
    pub fn hold(&mut self, text: &[u8]) {
        let rest = split(text).1;
        if rest.len() <= MOST_WORD {
            let digest = difference::digest(rest);
            self.put(digest, || Bytes::copy_from_slice(rest));
        }
    }

    /// Bytes of the texts held.
    pub fn size(&self) -> usize {
        let heads = self.heads.as_ref().map_or(0, |heads| heads.size());
        self.held.iter().map(|h| h.1.len()).sum::<usize>() + heads
    }

    /// Forgets all that is held here; what other ends are known to have stays.
    pub fn forget(&mut self) {
        self.held.clear();
        self.heads.iter_mut().for_each(|heads| heads.forget());
    }

    fn heads(&mut self) -> &mut Texts {
        let (most, trusting) = (self.most, self.trusting);
        let heads = self.heads.get_or_insert_with(|| Box::new(Texts::open(most)));
        heads.trusting = trusting;
        heads
    }

    pub fn closed(&mut self, conn: u64) {
        self.known.remove(&conn);
        self.heads.iter_mut().for_each(|heads| heads.closed(conn));
    }

    /// It is held, and the newest of all.
    fn put(&mut self, digest: Digest, text: impl FnOnce() -> Bytes) -> Bytes {
        let at = self.held.iter().position(|h| h.0 == digest);
        let (_, text) = at.and_then(|at| self.held.remove(at)).unwrap_or_else(|| (digest, text()));
        self.held.push_back((digest, text.clone()));
        while self.held.len() > self.most {
            self.held.pop_front();
        }
        text
    }

    fn get(&self, digest: &Digest) -> Option<&Bytes> {
        self.held.iter().find(|h| h.0 == *digest).map(|h| &h.1)
    }

    /// The other end has it.
    fn knows(&mut self, conn: u64, digest: Digest) {
        let known = self.known.entry(conn).or_default();
        known.retain(|d| *d != digest);
        known.push_back(digest);
        while known.len() > KNOWN {
            known.pop_front();
        }
    }

    fn greeting(&self) -> Vec<Bytes> {
        self.held.iter().map(|h| Bytes::copy_from_slice(&h.0)).collect()
    }

    fn greeted(&mut self, conn: u64, texts: &[Bytes]) {
        for text in texts.iter().take(KNOWN) {
            if let Some(digest) = read_digest(text) {
                self.knows(conn, digest);
            }
        }
    }

    // ---- Out --------------------------------------------------------------------------------------------

    /// A message as it goes on this connection.
    pub fn send(&mut self, conn: u64, what: What) -> What {
        let mut carried = Carried::default();
        let body = match what {
            What::Hello(mut hello) => {
                hello.texts = self.greeting();
                return What::Hello(hello);
            }
            What::Welcome(mut welcome) => {
                welcome.texts = self.greeting();
                return What::Welcome(welcome);
            }
            What::Vote(mut vote) => {
                let Some(body) = vote.body.take() else { return What::Vote(vote) };
                carried.vote = Some(vote);
                Bytes::from(body)
            }
            What::Voted(mut voted) => {
                let Some(body) = voted.body.take() else { return What::Voted(voted) };
                carried.voted = Some(voted);
                Bytes::from(body)
            }
            What::All(mut all) => {
                let Some(body) = all.body.take() else { return What::All(all) };
                carried.all = Some(all);
                Bytes::from(body)
            }
            What::Word(mut word) => {
                let body = std::mem::take(&mut word.body);
                carried.word = Some(word);
                body
            }
            what => return what,
        };
        carried.text = Some(self.tell(conn, &body));
        What::Carried(carried)
    }

    fn tell(&mut self, conn: u64, body: &Bytes) -> Text {
        let (head, rest) = split(body);
        let rest = body.slice_ref(rest);
        // What is sent to many is summed up once.
        let same = |h: &&(Digest, Bytes)| (h.1.as_ptr(), h.1.len()) == (rest.as_ptr(), rest.len());
        let digest = self.held.iter().find(same).map_or_else(|| difference::digest(&rest), |h| h.0);
        let rest = self.put(digest, || rest);
        let known = self.known.get(&conn).into_iter().flatten().rev();
        let base = known.copied().find(|d| *d == digest || self.get(d).is_some());
        let mut text =
            Text { digest: Bytes::copy_from_slice(&digest), length: rest.len() as u32, ..Text::default() };
        if head.len() > SHORT {
            let line = body.slice_ref(&head[..head.len() - 1]);
            text.line = Some(Box::new(self.heads().tell(conn, &line)));
        } else {
            text.head = String::from_utf8_lossy(head).into_owned();
        }
        let exact = self.known.get(&conn).is_some_and(|k| k.contains(&digest));
        if exact {
            self.counts.digests += 1;
        } else if let Some(base) = base
            && let Some(coded) = self.code(Some(base), digest, &rest)
        {
            self.counts.differences += 1;
            (text.base, text.coded) = (Bytes::copy_from_slice(&base), coded);
        } else {
            self.counts.wholes += 1;
            text.coded = self.code(None, digest, &rest).unwrap_or_default();
        }
        self.counts.bytes += text.coded.len() as u64;
        self.knows(conn, digest);
        text
    }

    fn code(&mut self, base: Option<Digest>, digest: Digest, text: &Bytes) -> Option<Bytes> {
        let from = base.unwrap_or_default();
        if let Some((.., made)) = self.made.iter().find(|m| (m.0, m.1) == (from, digest)) {
            return Some(made.clone());
        }
        let base = match base {
            Some(base) => self.get(&base)?.clone(),
            None => Bytes::new(),
        };
        let made = Bytes::from(difference::diff(&base, text)?);
        self.made.push_back((from, digest, made.clone()));
        while self.made.len() > MADE {
            self.made.pop_front();
        }
        Some(made)
    }

    // ---- In ---------------------------------------------------------------------------------------------

    /// A message as it came on this connection.
    pub fn hear(&mut self, conn: u64, what: What) -> Heard {
        match what {
            What::Hello(hello) => {
                self.greeted(conn, &hello.texts);
                Heard::Says(What::Hello(hello))
            }
            What::Welcome(welcome) => {
                self.greeted(conn, &welcome.texts);
                Heard::Says(What::Welcome(welcome))
            }
            What::Lack(Lack { version }) => {
                self.closed(conn);
                // Without a version it was a vote: its round asks again by itself.
                if version == 0 { Heard::Done } else { Heard::Says(What::Want(Want { version })) }
            }
            What::Carried(carried) => self.carried(conn, carried),
            what => Heard::Says(what),
        }
    }

    fn carried(&mut self, conn: u64, carried: Carried) -> Heard {
        let Carried { vote, voted, word, all, text } = carried;
        let version = word.as_ref().map_or(0, |w| w.version);
        let Some(text) = text else {
            self.counts.refused += 1;
            return Heard::Done;
        };
        let (body, line) = (self.read(conn, &text), self.line(conn, &text));
        let (Some(body), Some(head)) = (body, line) else {
            self.counts.refused += 1;
            // A whole one that is spoilt would be spoilt again: whoever lacks it asks in its own time.
            let parts = [Some(&text), text.line.as_deref()];
            let part = parts.into_iter().flatten().any(|t| t.coded.is_empty() || !t.base.is_empty());
            return if part { Heard::Ask(What::Lack(Lack { version })) } else { Heard::Done };
        };
        let written = || {
            let mut all = head.clone();
            all.extend_from_slice(&body);
            String::from_utf8(all).ok()
        };
        let says = match (vote, voted, word, all) {
            (Some(mut vote), None, None, None) => {
                vote.body = written();
                vote.body.is_some().then_some(What::Vote(vote))
            }
            (None, Some(mut voted), None, None) => {
                voted.body = written();
                voted.body.is_some().then_some(What::Voted(voted))
            }
            (None, None, Some(mut word), None) => {
                word.body = body;
                Some(What::Word(word))
            }
            (None, None, None, Some(mut all)) => {
                all.body = written();
                all.body.is_some().then_some(What::All(all))
            }
            _ => None,
        };
        match says {
            Some(what) => Heard::Says(what),
            None => {
                self.counts.refused += 1;
                Heard::Done
            }
        }
    }

    /// The line in front of a text; empty where there is none.
    fn line(&mut self, conn: u64, text: &Text) -> Option<Vec<u8>> {
        let Some(line) = &text.line else { return Some(text.head.clone().into_bytes()) };
        let mut line = self.heads().read(conn, line)?.to_vec();
        line.push(b'\n');
        Some(line)
    }

    /// The text that was meant, held from now on.
    fn read(&mut self, conn: u64, text: &Text) -> Option<Bytes> {
        let digest = read_digest(&text.digest)?;
        let body = if text.coded.is_empty() {
            self.get(&digest)?.clone()
        } else {
            let base = match read_digest(&text.base) {
                Some(base) => match self.get(&base) {
                    None if self.trusting => self.held.back().map(|h| h.1.clone()).unwrap_or_default(),
                    found => found?.clone(),
                },
                None if text.base.is_empty() => Bytes::new(),
                None => return None,
            };
            let made = difference::apply(&base, text.length as usize, &text.coded)?;
            if difference::digest(&made) != digest && !self.trusting {
                return None;
            }
            Bytes::from(made)
        };
        let body = self.put(digest, || body);
        self.knows(conn, digest);
        Some(body)
    }
}
