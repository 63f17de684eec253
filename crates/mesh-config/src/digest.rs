//! The digest of a configuration: the same for two texts that say the same, whatever the order of their fields, their spaces and the way
//! in which their numbers are written.
use std::fmt;

use sha2::{Digest as _, Sha256};
use simd_json::OwnedValue;
use simd_json::prelude::*;

/// Bytes of a digest.
const LENGTH: usize = 16;
/// Whole numbers up to this size are written alike, with or without a fraction of zero.
const MAX_EXACT_INTEGER: f64 = 1e15;

/// The first 16 bytes of a SHA-256 over the canonical form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; LENGTH]);

impl Digest {
    /// The digest of a configuration. Of a text that is no JSON: of its bytes as they are.
    pub fn of(bytes: &[u8]) -> Digest {
        let mut hash = Sha256::new();
        match simd_json::to_owned_value(&mut bytes.to_vec()) {
            Ok(value) => hash_value(&value, &mut hash),
            Err(_) => {
                hash.update(b"!");
                hash.update(bytes);
            }
        }
        let mut first = [0; LENGTH];
        first.copy_from_slice(&hash.finalize()[..LENGTH]);
        Digest(first)
    }

    /// Parses 32 hexadecimal digits, as [`fmt::Display`] writes them.
    pub fn parse(text: &str) -> Option<Digest> {
        let is_hex = text.len() == 2 * LENGTH && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let digits = is_hex.then_some(text)?;
        Some(Digest(u128::from_str_radix(digits, 16).ok()?.to_be_bytes()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// A text with its kind and length in front, so that no two texts in a row give the bytes of two others.
fn hash_text(kind: u8, text: &str, hash: &mut Sha256) {
    hash.update([kind]);
    hash.update((text.len() as u64).to_be_bytes());
    hash.update(text);
}

/// Each value with its kind and length in front, fields by name: no two values give the same bytes.
fn hash_value(value: &OwnedValue, hash: &mut Sha256) {
    if let Some(fields) = value.as_object() {
        let mut fields: Vec<_> = fields.iter().collect();
        fields.sort_by(|a, b| a.0.cmp(b.0));
        hash.update(b"{");
        hash.update((fields.len() as u64).to_be_bytes());
        for (name, field) in fields {
            hash_text(b'k', name, hash);
            hash_value(field, hash);
        }
    } else if let Some(items) = value.as_array() {
        hash.update(b"[");
        hash.update((items.len() as u64).to_be_bytes());
        items.iter().for_each(|item| hash_value(item, hash));
    } else if let Some(string) = value.as_str() {
        hash_text(b's', string, hash);
    } else if let Some(flag) = value.as_bool() {
        hash.update(if flag { b"t" } else { b"f" });
    } else if let Some(integer) = value.as_i128() {
        hash_text(b'n', &integer.to_string(), hash);
    } else if let Some(number) = value.as_f64() {
        hash_text(b'n', &float_text(number), hash);
    } else {
        hash.update(b"0");
    }
}

/// 3.0 is written as 3.
fn float_text(number: f64) -> String {
    if number.fract() == 0.0 && number.abs() < MAX_EXACT_INTEGER {
        (number as i128).to_string()
    } else {
        format!("{number:e}")
    }
}
