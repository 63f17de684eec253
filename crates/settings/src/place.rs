//! Where in a file something is wrong: file, line, column and the word.
use std::fmt;
use std::ops::Range;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub word: String,
    pub what: String,
}

impl Mistake {
    /// Of a span of bytes in the text of a file; none: the file as a whole.
    pub fn at(file: &str, text: &str, span: Option<Range<usize>>, what: impl Into<String>) -> Mistake {
        let start = span.as_ref().map_or(0, |s| s.start).min(text.len());
        let end = span.as_ref().map_or(0, |s| s.end).clamp(start, text.len());
        let before = text.get(..start).unwrap_or("");
        let word = text.get(start..end).unwrap_or("").lines().next().unwrap_or("").trim();
        Mistake {
            file: file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before.len() - before.rfind('\n').map_or(0, |n| n + 1) + 1,
            word: word.chars().take(60).collect(),
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
