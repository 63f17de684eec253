//! Follows a body in chunks (RFC 9112, 7.1) as it passes, to tell where it ends: extensions and trailers too. What comes behind the end belongs to no
//! answer that was asked for. The client library decodes the body; here nothing is changed and nothing kept.

/// Sizes of chunks from here on are refused, so that one more digit does not overflow.
const MAX_CHUNK_SIZE: u64 = 1 << 56;
/// The line end behind a chunk.
const LINE_END_BYTES: u64 = 2;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// In a line with a size, digits so far.
    #[default]
    Size,
    /// Behind the digits of a size.
    SizeExtension,
    /// So many bytes of a chunk, its line end too, are to come.
    Data,
    /// At the beginning of a trailer or the last line.
    LineStart,
    /// In the last line: only its LF is missing.
    LastLineFeed,
    Trailer,
    End,
    /// It is no such body.
    Malformed,
}

/// Where a body in chunks stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkedTracker {
    position: Position,
    size: u64,
    bytes_after_end: usize,
}

impl ChunkedTracker {
    /// These bytes pass.
    pub fn pass(&mut self, bytes: &[u8]) {
        let mut left = bytes;
        while let Some((&byte, rest)) = left.split_first() {
            match self.position {
                Position::End | Position::Malformed => {
                    self.bytes_after_end += left.len();
                    return;
                }
                Position::Data => left = self.pass_data(left),
                _ => {
                    self.pass_byte(byte);
                    left = rest;
                }
            }
        }
    }

    /// Passes what belongs to the chunk, and gives back what follows.
    fn pass_data<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let count = bytes.len().min(usize::try_from(self.size).unwrap_or(usize::MAX));
        self.size -= count as u64;
        if self.size == 0 {
            self.position = Position::Size;
        }
        &bytes[count..]
    }

    /// Passes one byte that is not data.
    fn pass_byte(&mut self, byte: u8) {
        match self.position {
            Position::Size => match (char::from(byte).to_digit(16), byte) {
                (Some(digit), _) if self.size < MAX_CHUNK_SIZE => {
                    self.size = self.size * 16 + u64::from(digit);
                }
                (None, b'\n') => self.on_size_line_end(),
                (None, b';' | b' ' | b'\t' | b'\r') => self.position = Position::SizeExtension,
                _ => self.position = Position::Malformed,
            },
            Position::SizeExtension if byte == b'\n' => self.on_size_line_end(),
            Position::LineStart => {
                self.position = match byte {
                    b'\r' => Position::LastLineFeed,
                    b'\n' => Position::End,
                    _ => Position::Trailer,
                };
            }
            Position::LastLineFeed => {
                self.position = if byte == b'\n' { Position::End } else { Position::Malformed };
            }
            Position::Trailer if byte == b'\n' => self.position = Position::LineStart,
            _ => {}
        }
    }

    fn on_size_line_end(&mut self) {
        if self.size == 0 {
            self.position = Position::LineStart;
        } else {
            self.position = Position::Data;
            self.size += LINE_END_BYTES;
        }
    }

    /// Whether it ended, and nothing came behind it.
    pub fn ended_cleanly(&self) -> bool {
        self.position == Position::End && self.bytes_after_end == 0
    }
}
