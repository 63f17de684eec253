//! The lines between the chunks of a body (RFC 9112, section 7.1), without I/O.
//!
//! A backend in trouble may send anything in their place. What is no such line by the letter of the grammar ends the answer as broken: taken
//! for the last chunk, it would make a part of a body look complete.

const LINE_END: &[u8; 2] = b"\r\n";
/// Bytes of the line with a chunk's size at most, its extensions included.
const MAX_SIZE_LINE_BYTES: usize = 4 << 10;
/// Bytes of one trailer at most.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// Why bytes are no such line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum FramingError {
    /// No hexadecimal digit stands where a size is due.
    #[display("no size of a chunk")]
    NoSize,
    /// A size that no number holds.
    #[display("a size of a chunk that is out of range")]
    SizeOutOfRange,
    /// Something other than an extension stands behind a size.
    #[display("no extension of a chunk")]
    NoExtension,
    /// A line without an end.
    #[display("a line between chunks without an end")]
    LineTooLong,
    /// A line behind the last chunk that is no header field.
    #[display("no trailer")]
    NoTrailer,
}

/// A line at the front of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeLine {
    /// Bytes of the line, its end included.
    pub length: usize,
    /// Bytes of the chunk that follows; 0 for the last one.
    pub size: u64,
}

/// What stands at the front of a buffer behind the last chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrailerLine {
    /// A header field, of so many bytes with its end.
    Field(usize),
    /// The empty line at the end of the body, of so many bytes.
    End(usize),
}

/// The line with the size of a chunk; `None` where it has not come completely.
///
/// # Errors
///
/// It is no such line.
pub fn size_line(buffer: &[u8]) -> Result<Option<SizeLine>, FramingError> {
    let Some(line) = first_line(buffer, MAX_SIZE_LINE_BYTES)? else { return Ok(None) };
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    if digits == 0 {
        return Err(FramingError::NoSize);
    }
    let (digits, extension) = line.split_at(digits);
    if !is_extension(extension) {
        return Err(FramingError::NoExtension);
    }
    let text = std::str::from_utf8(digits).map_err(|_| FramingError::NoSize)?;
    let size = u64::from_str_radix(text, 16).map_err(|_| FramingError::SizeOutOfRange)?;
    Ok(Some(SizeLine { length: line.len() + LINE_END.len(), size }))
}

/// The line behind the last chunk, or behind a trailer; `None` where it has not come completely.
///
/// # Errors
///
/// It is neither a header field nor empty.
pub fn trailer_line(buffer: &[u8]) -> Result<Option<TrailerLine>, FramingError> {
    let Some(line) = first_line(buffer, MAX_TRAILER_BYTES)? else { return Ok(None) };
    let length = line.len() + LINE_END.len();
    if line.is_empty() {
        return Ok(Some(TrailerLine::End(length)));
    }
    let name_length = line.iter().position(|byte| *byte == b':').ok_or(FramingError::NoTrailer)?;
    let (name, value) = line.split_at(name_length);
    let is_field = !name.is_empty() && name.iter().all(is_token_byte) && value.iter().all(is_text_byte);
    if is_field { Ok(Some(TrailerLine::Field(length))) } else { Err(FramingError::NoTrailer) }
}

/// The bytes before the first line end.
fn first_line(buffer: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, FramingError> {
    match buffer.windows(LINE_END.len()).take(max_bytes).position(|window| window == LINE_END) {
        Some(length) => Ok(Some(&buffer[..length])),
        None if buffer.len() > max_bytes => Err(FramingError::LineTooLong),
        None => Ok(None),
    }
}

/// Whether this may stand behind a size: white space, and what a semicolon begins.
fn is_extension(bytes: &[u8]) -> bool {
    let text = bytes.trim_ascii_start();
    bytes.iter().all(is_text_byte) && (text.is_empty() || text.starts_with(b";"))
}

/// Of the name of a header field (RFC 9110, section 5.6.2).
fn is_token_byte(byte: &u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte)
}

/// Of the value of a header field: no control character but a tab.
fn is_text_byte(byte: &u8) -> bool {
    *byte == b'\t' || !byte.is_ascii_control()
}
