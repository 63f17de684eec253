//! What the register of configurations holds: the configuration with the highest version, and which body was taken under which number
//! before. Written as text, the body last.
use std::collections::BTreeMap;

use crate::digest::Digest;

/// Numbers below the one held whose bodies are remembered. An order that got no answer is sent again within seconds, at most for as
/// long as an operator goes on trying; a thousand changes later nobody does.
pub const REMEMBERED: usize = 1_024;

/// A configuration with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedConfig {
    pub version: u64,
    pub body: String,
}

/// What a body under a number is to a value of the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing was taken under this number.
    Free,
    /// This body was.
    Taken,
    /// Another body was.
    Other,
    /// The number is older than what is remembered.
    Forgotten,
}

/// The value of the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    pub held: VersionedConfig,
    digest: Digest,
    /// Numbers below the one held, and the digests of their bodies.
    before: BTreeMap<u64, Digest>,
    /// Of numbers up to this one, those that `before` lacks are forgotten; none where all are remembered.
    forgotten: Option<u64>,
}

impl Value {
    pub fn first(held: VersionedConfig, digest: Digest) -> Value {
        Value { held, digest, before: BTreeMap::new(), forgotten: None }
    }

    pub fn standing(&self, version: u64, digest: Digest) -> Standing {
        let found = match version == self.held.version {
            true => Some(&self.digest),
            false => self.before.get(&version),
        };
        match found {
            Some(found) if *found == digest => Standing::Taken,
            Some(_) => Standing::Other,
            None if self.forgotten.is_some_and(|last| version <= last) => Standing::Forgotten,
            None => Standing::Free,
        }
    }

    /// Takes a body under a number that is free; else nothing changes. A higher number than the one held is held from then on.
    pub fn take(&mut self, new: &VersionedConfig, digest: Digest) {
        if self.standing(new.version, digest) != Standing::Free {
            return;
        }
        if new.version > self.held.version {
            self.before.insert(self.held.version, self.digest);
            (self.held, self.digest) = (new.clone(), digest);
        } else {
            self.before.insert(new.version, digest);
        }
        while self.before.len() > REMEMBERED
            && let Some((oldest, _)) = self.before.pop_first()
        {
            self.forgotten = self.forgotten.max(Some(oldest));
        }
    }

    /// `VERSION DIGEST FORGOTTEN N:DIGEST ...`, a line's end, the body.
    pub fn written(&self) -> String {
        use std::fmt::Write;
        let forgotten = self.forgotten.map_or("-".to_string(), |f| f.to_string());
        let mut text = format!("{} {} {forgotten}", self.held.version, self.digest);
        for (version, digest) in &self.before {
            // A string takes all that is written to it.
            let _ = write!(text, " {version}:{digest}");
        }
        text.push('\n');
        text.push_str(&self.held.body);
        text
    }

    /// Also of the form before digests, `VERSION`, a line's end, the body: what was taken below it was not kept.
    pub fn read(text: &str) -> Option<Value> {
        let (head, body) = text.split_once('\n')?;
        let mut words = head.split(' ');
        let version: u64 = words.next()?.parse().ok()?;
        let held = VersionedConfig { version, body: body.to_string() };
        let Some(digest) = words.next() else {
            let digest = Digest::of(body.as_bytes());
            return Some(Value { forgotten: version.checked_sub(1), ..Value::first(held, digest) });
        };
        let mut value = Value::first(held, Digest::read(digest)?);
        value.forgotten = match words.next()? {
            "-" => None,
            last => Some(last.parse().ok()?),
        };
        for word in words {
            let (version, digest) = word.split_once(':')?;
            value.before.insert(version.parse().ok()?, Digest::read(digest)?);
        }
        Some(value)
    }
}

impl VersionedConfig {
    /// Of a value as the register has it written; none where it makes no sense.
    pub fn read(text: &str) -> Option<VersionedConfig> {
        let (head, body) = text.split_once('\n')?;
        let version = head.split(' ').next()?.parse().ok()?;
        Some(VersionedConfig { version, body: body.to_string() })
    }
}
