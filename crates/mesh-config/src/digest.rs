//! The digest of a configuration: the same for two texts that say the same, whatever the order of their fields, their spaces and the
//! way in which their numbers are written.
use std::fmt;

use sha2::{Digest as _, Sha256};
use simd_json::OwnedValue;
use simd_json::prelude::*;

/// The first 16 bytes of a SHA-256 over the canonical form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Of a text that is no JSON: of its bytes as they are.
    pub fn of(bytes: &[u8]) -> Digest {
        let mut hash = Sha256::new();
        match simd_json::to_owned_value(&mut bytes.to_vec()) {
            Ok(value) => canonical(&value, &mut hash),
            Err(_) => {
                hash.update(b"!");
                hash.update(bytes);
            }
        }
        let mut first = [0; 16];
        first.copy_from_slice(&hash.finalize()[..16]);
        Digest(first)
    }

    pub fn read(text: &str) -> Option<Digest> {
        let hex = (text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit())).then_some(text)?;
        Some(Digest(u128::from_str_radix(hex, 16).ok()?.to_be_bytes()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// Each value with its kind and length in front, fields by name: no two values give the same bytes.
fn canonical(value: &OwnedValue, hash: &mut Sha256) {
    let text = |kind: u8, text: &str, hash: &mut Sha256| {
        hash.update([kind]);
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text);
    };
    if let Some(fields) = value.as_object() {
        let mut fields: Vec<_> = fields.iter().collect();
        fields.sort_by(|a, b| a.0.cmp(b.0));
        hash.update(b"{");
        hash.update((fields.len() as u64).to_be_bytes());
        for (name, field) in fields {
            text(b'k', name, hash);
            canonical(field, hash);
        }
    } else if let Some(items) = value.as_array() {
        hash.update(b"[");
        hash.update((items.len() as u64).to_be_bytes());
        items.iter().for_each(|item| canonical(item, hash));
    } else if let Some(string) = value.as_str() {
        text(b's', string, hash);
    } else if let Some(flag) = value.as_bool() {
        hash.update(if flag { b"t" } else { b"f" });
    } else if let Some(whole) = value.as_i128() {
        text(b'n', &whole.to_string(), hash);
    } else if let Some(number) = value.as_f64() {
        // 3.0 says what 3 says.
        let whole = number.fract() == 0.0 && number.abs() < 1e15;
        let written = if whole { (number as i128).to_string() } else { format!("{number:e}") };
        text(b'n', &written, hash);
    } else {
        hash.update(b"0");
    }
}
