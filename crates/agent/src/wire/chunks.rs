//! Follows a body in chunks (RFC 9112, 7.1) as it passes, to tell where it ends: extensions and trailers too. What comes behind the end
//! belongs to no answer that was asked for. The client library decodes the body; here nothing is changed and nothing kept.

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum At {
    /// In a line with a size, digits so far.
    #[default]
    Size,
    /// Behind the digits of a size.
    SizeRest,
    /// So many bytes of a chunk, its line end too, are to come.
    Data,
    /// At the beginning of a trailer or the last line.
    Line,
    /// In the last line: only its LF is missing.
    LastCr,
    Trailer,
    Over,
    /// It is no such body.
    Wrong,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Chunks {
    at: At,
    size: u64,
    behind: usize,
}

impl Chunks {
    pub fn pass(&mut self, bytes: &[u8]) {
        let mut left = bytes;
        while let Some((&byte, rest)) = left.split_first() {
            match self.at {
                At::Over | At::Wrong => {
                    self.behind += left.len();
                    return;
                }
                At::Data => {
                    let many = left.len().min(usize::try_from(self.size).unwrap_or(usize::MAX));
                    self.size -= many as u64;
                    left = &left[many..];
                    if self.size == 0 {
                        self.at = At::Size;
                    }
                    continue;
                }
                At::Size => match (char::from(byte).to_digit(16), byte) {
                    (Some(digit), _) if self.size < 1 << 56 => {
                        self.size = self.size * 16 + u64::from(digit);
                    }
                    (None, b'\n') => self.sized(),
                    (None, b';' | b' ' | b'\t' | b'\r') => self.at = At::SizeRest,
                    _ => self.at = At::Wrong,
                },
                At::SizeRest if byte == b'\n' => self.sized(),
                At::SizeRest => {}
                At::Line => match byte {
                    b'\r' => self.at = At::LastCr,
                    b'\n' => self.at = At::Over,
                    _ => self.at = At::Trailer,
                },
                At::LastCr => self.at = if byte == b'\n' { At::Over } else { At::Wrong },
                At::Trailer if byte == b'\n' => self.at = At::Line,
                At::Trailer => {}
            }
            left = rest;
        }
    }
    /// The line with a size is over.
    fn sized(&mut self) {
        if self.size == 0 {
            self.at = At::Line;
        } else {
            // The chunk and the line end behind it.
            (self.at, self.size) = (At::Data, self.size + 2);
        }
    }
    /// It ended, and nothing came behind it.
    pub fn ended_alone(&self) -> bool {
        self.at == At::Over && self.behind == 0
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case(b"5\r\nabcde\r\n0\r\n\r\n")]
    #[case(b"0\r\n\r\n")]
    #[case(b"A;name=\"x\"\r\n0\r\n\r\n6789a\r\n0;last\r\nX-Trailer: 0\r\nY: z\r\n\r\n")]
    #[case(b"00002 \r\n\r\n\r\n000\r\n\r\n")]
    fn its_end_is_told_wherever_it_is_cut(#[case] body: &[u8]) {
        for cut in 0..=body.len() {
            let mut chunks = Chunks::default();
            chunks.pass(&body[..cut]);
            assert_eq!(chunks.ended_alone(), cut == body.len(), "{cut}");
            chunks.pass(&body[cut..]);
            assert!(chunks.ended_alone(), "{cut}");
            chunks.pass(b"H");
            assert!(!chunks.ended_alone(), "something came behind it");
        }
    }

    #[rstest]
    #[case(b"x\r\n")]
    #[case(b"fffffffffffffffffff\r\n")]
    #[case(b"0\r\n\rno")]
    fn what_is_none_never_ends(#[case] body: &[u8]) {
        let mut chunks = Chunks::default();
        chunks.pass(body);
        chunks.pass(b"0\r\n\r\n");
        assert!(!chunks.ended_alone());
    }
}
