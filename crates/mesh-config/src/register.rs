//! The value of the register of configurations: the configuration with the highest version, and the digests of the bodies that were
//! accepted under earlier versions. Written as text, the body last.
use std::collections::BTreeMap;
use std::fmt::Write;

use crate::digest::Digest;

/// Versions below the current one whose bodies are remembered.
///
/// A replacement that got no answer is sent again within seconds, at most for as long as an operator goes on trying; a thousand changes
/// later nobody does.
pub const MAX_REMEMBERED_VERSIONS: usize = 1_024;

/// A configuration with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedConfig {
    /// The operator's number for it.
    pub version: u64,
    /// The whole configuration, as the operator sent it.
    pub body: String,
}

impl VersionedConfig {
    /// The configuration in a register's value as [`RegisterValue::to_text`] writes it; `None` where the text is no such value.
    pub fn parse(text: &str) -> Option<VersionedConfig> {
        let (head, body) = text.split_once('\n')?;
        let version = head.split(' ').next()?.parse().ok()?;
        Some(VersionedConfig { version, body: body.to_string() })
    }
}

/// What a register's value knows of a version, compared with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionStatus {
    /// No body was accepted under this version.
    Unused,
    /// This body was.
    SameBody,
    /// Another body was.
    OtherBody,
    /// The version is older than what is remembered.
    Forgotten,
}

/// The value of the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisterValue {
    /// The configuration with the highest version.
    pub current: VersionedConfig,
    digest: Digest,
    /// Versions below the current one, and the digests of their bodies.
    earlier: BTreeMap<u64, Digest>,
    /// Of versions up to this one, those that `earlier` lacks are forgotten; `None` where all are remembered.
    forgotten_up_to: Option<u64>,
}

impl RegisterValue {
    /// The value with one configuration.
    pub fn new(current: VersionedConfig, digest: Digest) -> RegisterValue {
        RegisterValue { current, digest, earlier: BTreeMap::new(), forgotten_up_to: None }
    }

    /// What is known of this body under this version.
    pub fn status(&self, version: u64, digest: Digest) -> VersionStatus {
        let accepted = match version == self.current.version {
            true => Some(&self.digest),
            false => self.earlier.get(&version),
        };
        match accepted {
            Some(accepted) if *accepted == digest => VersionStatus::SameBody,
            Some(_) => VersionStatus::OtherBody,
            None if self.forgotten_up_to.is_some_and(|last| version <= last) => VersionStatus::Forgotten,
            None => VersionStatus::Unused,
        }
    }

    /// Accepts a body under a version that is unused; else nothing changes. A version above the current one is current from then on.
    pub fn accept(&mut self, config: &VersionedConfig, digest: Digest) {
        if self.status(config.version, digest) != VersionStatus::Unused {
            return;
        }
        if config.version > self.current.version {
            self.earlier.insert(self.current.version, self.digest);
            self.current = config.clone();
            self.digest = digest;
        } else {
            self.earlier.insert(config.version, digest);
        }
        while self.earlier.len() > MAX_REMEMBERED_VERSIONS
            && let Some((oldest, _)) = self.earlier.pop_first()
        {
            self.forgotten_up_to = self.forgotten_up_to.max(Some(oldest));
        }
    }

    /// `VERSION DIGEST FORGOTTEN N:DIGEST ...`, a newline, the body.
    pub fn to_text(&self) -> String {
        let forgotten = self.forgotten_up_to.map_or("-".to_string(), |version| version.to_string());
        let mut text = format!("{} {} {forgotten}", self.current.version, self.digest);
        for (version, digest) in &self.earlier {
            // Writing to a string can't fail.
            let _ = write!(text, " {version}:{digest}");
        }
        text.push('\n');
        text.push_str(&self.current.body);
        text
    }

    /// Parses what [`RegisterValue::to_text`] writes.
    ///
    /// Also the form before digests, `VERSION`, a newline, the body: what was accepted below it was not kept.
    pub fn parse(text: &str) -> Option<RegisterValue> {
        let (head, body) = text.split_once('\n')?;
        let mut words = head.split(' ');
        let version: u64 = words.next()?.parse().ok()?;
        let current = VersionedConfig { version, body: body.to_string() };
        let Some(digest) = words.next() else {
            let digest = Digest::of(body.as_bytes());
            let forgotten_up_to = version.checked_sub(1);
            return Some(RegisterValue { forgotten_up_to, ..RegisterValue::new(current, digest) });
        };
        let mut value = RegisterValue::new(current, Digest::parse(digest)?);
        value.forgotten_up_to = match words.next()? {
            "-" => None,
            last => Some(last.parse().ok()?),
        };
        for word in words {
            let (version, digest) = word.split_once(':')?;
            value.earlier.insert(version.parse().ok()?, Digest::parse(digest)?);
        }
        Some(value)
    }
}
