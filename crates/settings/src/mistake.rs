//! A mistake in a file: where it is and what is wrong.
use std::fmt;
use std::ops::Range;

/// One mistake, shown as `FILE:LINE:COLUMN: WORD: WHAT`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in bytes, from 1.
    pub column: usize,
    /// The text that is wrong, or the start of it; empty for the file as a whole.
    pub word: String,
    /// What is wrong.
    pub what: String,
}

/// The most of the wrong text that is shown, in characters.
const MAX_WORD: usize = 60;

impl Mistake {
    /// A mistake at a span of bytes in the text of a file; without a span in the file as a whole.
    pub fn at(file: &str, text: &str, span: Option<Range<usize>>, what: impl Into<String>) -> Mistake {
        let start = span.as_ref().map_or(0, |s| s.start).min(text.len());
        let end = span.as_ref().map_or(0, |s| s.end).clamp(start, text.len());
        let before = text.get(..start).unwrap_or("");
        let word = text.get(start..end).unwrap_or("").lines().next().unwrap_or("").trim();
        Mistake {
            file: file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before.len() - before.rfind('\n').map_or(0, |n| n + 1) + 1,
            word: word.chars().take(MAX_WORD).collect(),
            what: what.into(),
        }
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Mistake { file, line, column, word, what } = self;
        let what = what.trim().replace('\n', ", ");
        if word.is_empty() {
            return write!(f, "{file}:{line}:{column}: {what}");
        }
        write!(f, "{file}:{line}:{column}: `{word}`: {what}")
    }
}
