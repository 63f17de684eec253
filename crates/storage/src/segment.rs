//! One segment file of the log of claims: its form, without I/O.
//!
//! ```text
//! head   "okw", version 0, length of an embedded text, the text
//! entry  1, id (8 bytes), chunks, 3
//! chunk  2, length (4 bytes), data, CRC-32C of the data (4 bytes)
//! ```
//!
//! Numbers are little-endian. It is the form that the library `okaywal` 0.3 documents, so that disks of earlier builds are read here, and
//! those of this build there. Ids rise; a segment is named after the first that it may hold. What follows the last complete entry is
//! nobody's: the rest of an entry that was cut off, zeros, or what an earlier build's segment held before it was used again.

/// How the name of a segment begins; the id of its first entry follows.
const NAME_PREFIX: &str = "wal-";
/// How a name ended that earlier builds gave to a segment whose claims they had written elsewhere.
const DONE_SUFFIX: &str = "-cp";
const MAGIC: &[u8] = b"okw";
const FORMAT_VERSION: u8 = 0;
const ENTRY: u8 = 1;
const CHUNK: u8 = 2;
const END_OF_ENTRY: u8 = 3;

/// The head of a segment without an embedded text.
pub const HEAD: [u8; 5] = [MAGIC[0], MAGIC[1], MAGIC[2], FORMAT_VERSION, 0];

/// What a file of the log is, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SegmentFile {
    /// Its entries count; this is the id of the first that it may hold.
    Live(u64),
    /// An earlier build had written its claims elsewhere.
    Done,
}

impl SegmentFile {
    /// Takes a name apart; `None` for a file that is no segment.
    pub fn parse(name: &str) -> Option<SegmentFile> {
        let rest = name.strip_prefix(NAME_PREFIX)?;
        if rest.ends_with(DONE_SUFFIX) {
            return Some(SegmentFile::Done);
        }
        rest.parse().ok().map(SegmentFile::Live)
    }
}

/// The name of the segment that begins with this entry.
pub fn file_name(first_entry: u64) -> String {
    format!("{NAME_PREFIX}{first_entry}")
}

/// An entry as it is written.
pub fn encode_entry<'a>(id: u64, chunks: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut encoded = vec![ENTRY];
    encoded.extend_from_slice(&id.to_le_bytes());
    for chunk in chunks {
        encoded.push(CHUNK);
        encoded.extend_from_slice(&(chunk.len() as u32).to_le_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(&crc32c::crc32c(chunk).to_le_bytes());
    }
    encoded.push(END_OF_ENTRY);
    encoded
}

/// One complete entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentEntry<'a> {
    /// Its id.
    pub id: u64,
    /// Its chunks, in order.
    pub chunks: Vec<&'a [u8]>,
}

/// The entries of a segment whose first id is `first_entry`, up to the first that is cut off, broken, or not later than the one before.
pub fn read_entries(first_entry: u64, bytes: &[u8]) -> Vec<SegmentEntry<'_>> {
    let mut reader = Reader(bytes);
    let mut entries: Vec<SegmentEntry<'_>> = Vec::new();
    if reader.skip_head().is_none() {
        return entries;
    }
    let mut least_id = first_entry;
    while let Some(entry) = reader.entry().filter(|entry| entry.id >= least_id) {
        least_id = entry.id.saturating_add(1);
        entries.push(entry);
    }
    entries
}

/// Reads what it is asked for from the front; `None` where it is not there.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        Some(taken)
    }

    fn byte(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }

    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.take(4)?.try_into().ok()?))
    }

    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }

    fn skip_head(&mut self) -> Option<()> {
        let is_known = self.take(MAGIC.len())? == MAGIC && self.byte()? == FORMAT_VERSION;
        let text_length = self.byte()?;
        self.take(usize::from(text_length))?;
        is_known.then_some(())
    }

    fn entry(&mut self) -> Option<SegmentEntry<'a>> {
        if self.byte()? != ENTRY {
            return None;
        }
        let id = self.u64()?;
        let mut chunks = Vec::new();
        loop {
            match self.byte()? {
                CHUNK => chunks.push(self.chunk()?),
                END_OF_ENTRY => return Some(SegmentEntry { id, chunks }),
                _ => return None,
            }
        }
    }

    fn chunk(&mut self) -> Option<&'a [u8]> {
        let length = self.u32()? as usize;
        let data = self.take(length)?;
        (self.u32()? == crc32c::crc32c(data)).then_some(data)
    }
}
