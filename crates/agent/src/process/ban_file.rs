//! The format of the file of bans.
use std::collections::BTreeSet;

use crate::state::bans::MAX_BANS;

/// First line of the file. The last one is `end`: a file without it is torn.
const FORMAT: &str = "notchspool bans 1";

/// Why a text is no file of bans.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum BanFileError {
    /// Of another format.
    #[display("it is no file of bans")]
    OtherFormat,
    /// Its end is missing.
    #[display("it is torn")]
    Torn,
    /// It holds too many.
    #[display("it holds over {MAX_BANS} bans")]
    TooMany,
}

/// The text of these bans.
pub fn encode(bans: &BTreeSet<String>) -> String {
    let lines: String = bans.iter().map(|id| format!("{id}\n")).collect();
    format!("{FORMAT}\n{lines}end\n")
}

/// Reads the text.
///
/// # Errors
///
/// See [`BanFileError`].
pub fn parse(text: &str) -> Result<BTreeSet<String>, BanFileError> {
    let lines = text.strip_prefix(FORMAT).and_then(|text| text.strip_prefix('\n'));
    let lines = lines.ok_or(BanFileError::OtherFormat)?;
    let lines = lines.strip_suffix("end\n").filter(|lines| lines.is_empty() || lines.ends_with('\n'));
    let bans: BTreeSet<String> = lines.ok_or(BanFileError::Torn)?.lines().map(str::to_owned).collect();
    if bans.len() > MAX_BANS { Err(BanFileError::TooMany) } else { Ok(bans) }
}
