//! Collects mistakes with their places, so that all that can be found at once are reported at once.
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;

use notchspool::units::Micros;
use toml::Spanned;

use crate::mistake::Mistake;

/// How similar a name must be to be proposed, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.4;

/// See the module.
pub struct Checker<'a> {
    file: &'a str,
    text: &'a str,
    mistakes: Vec<Mistake>,
}

impl<'a> Checker<'a> {
    /// A checker without a mistake so far. `file` is the name to report, `text` what spans refer to.
    pub fn new(file: &'a str, text: &'a str) -> Checker<'a> {
        Checker { file, text, mistakes: Vec::new() }
    }

    /// All mistakes, in the order of the file.
    pub fn into_mistakes(mut self) -> Vec<Mistake> {
        self.mistakes.sort_by_key(|mistake| (mistake.line, mistake.column));
        self.mistakes
    }

    /// Notes a mistake at a place of the file.
    pub fn mistake(&mut self, span: Range<usize>, what: impl Into<String>) {
        self.mistakes.push(Mistake::at(self.file, self.text, Some(span), what));
    }

    /// A number between two bounds. One that lies outside is a mistake, and comes back all the same.
    pub fn number(&mut self, value: &Spanned<f64>, least: f64, most: f64) -> f64 {
        if !(least..=most).contains(value.get_ref()) {
            self.mistake(value.span(), format!("must lie between {least} and {most}"));
        }
        *value.get_ref()
    }

    /// The same for a time in milliseconds.
    pub fn milliseconds(&mut self, value: &Spanned<f64>, least: f64, most: f64) -> Micros {
        Micros((self.number(value, least, most) * 1000.0).round() as i64)
    }

    /// The same for a whole number.
    pub fn count(&mut self, value: &Spanned<u32>, least: u32, most: u32) -> u32 {
        if !(least..=most).contains(value.get_ref()) {
            self.mistake(value.span(), format!("must lie between {least} and {most}"));
        }
        *value.get_ref()
    }

    /// The index of a name among those that there are. A mistake proposes the most similar one.
    pub fn index_of(&mut self, name: &Spanned<String>, what: &str, all: &[String]) -> Option<usize> {
        let index = all.iter().position(|known| known == name.get_ref());
        if index.is_none() {
            let hint = match (most_similar(name.get_ref(), all), all.is_empty()) {
                (Some(similar), _) => format!("; did you mean `{similar}`?"),
                (None, true) => format!("; there is no {what} at all"),
                (None, false) => format!("; there are {}", all.join(", ")),
            };
            self.mistake(name.span(), format!("no {what} of that name{hint}"));
        }
        index
    }

    /// Names of tables of one kind: each is well formed, and none is there twice.
    pub fn names<'n>(&mut self, what: &str, all: impl Iterator<Item = &'n Spanned<String>>) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        let mut known = BTreeSet::new();
        for spanned in all {
            let name = spanned.get_ref();
            let is_valid = name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
            if name.is_empty() || !is_valid {
                let rule = format!("the name of a {what} is letters, digits, `-`, `_` and `.`");
                self.mistake(spanned.span(), rule);
            } else if !known.insert(name.clone()) {
                self.mistake(spanned.span(), format!("a second {what} of that name"));
            }
            names.push(name.clone());
        }
        names
    }

    /// An address with its port. A mistake is noted where the text is none.
    pub fn address(&mut self, text: &Spanned<String>) -> Option<SocketAddr> {
        let address = text.get_ref().parse().ok();
        if address.is_none() {
            self.mistake(text.span(), "no address and port, such as `127.0.0.1:8080` or `[::1]:8080`");
        }
        address
    }
}

fn most_similar<'n>(name: &str, all: &'n [String]) -> Option<&'n String> {
    let similarity = |known: &&String| strsim::normalized_damerau_levenshtein(known, name);
    let best = all.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    best.filter(|known| similarity(known) > MIN_SIMILARITY)
}
