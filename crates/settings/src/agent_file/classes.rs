//! The request classes of an operator's file (`[[scheme]]`).
use notchspool::units::{DeduplicationScope, RequestClass, RequestKind};
use toml::Spanned;

use super::ClassConfig;
use super::checker::Checker;
use super::form;

/// The longest times that a class may state, in milliseconds: an hour.
const MAX_TIME_MS: f64 = 3_600_000.0;

/// The classes of requests. Mistakes are noted in the checker.
pub fn read(checker: &mut Checker, rows: &[Spanned<form::RequestClass>]) -> Vec<ClassConfig> {
    let names = checker.names("scheme", rows.iter().map(|row| &row.get_ref().name));
    let classes: Vec<ClassConfig> =
        names.into_iter().zip(rows).map(|(name, row)| read_class(checker, name, row)).collect();
    if classes.is_empty() {
        let what = "no [[scheme]]: how may txns be repeated, and how long may they take?";
        checker.mistake(0..0, what);
    }
    classes
}

fn read_class(checker: &mut Checker, name: String, row: &Spanned<form::RequestClass>) -> ClassConfig {
    let (span, row) = (row.span(), row.get_ref());
    let latency_target = checker.milliseconds(&row.latency_target_ms, 1.0, MAX_TIME_MS);
    let max_deadline = checker.milliseconds(&row.expiry_ms, 1.0, MAX_TIME_MS);
    if row.expiry_ms.get_ref() < row.latency_target_ms.get_ref() {
        checker.mistake(row.expiry_ms.span(), "the expiry lies before the SLA time");
    }
    check_key(checker, span, row);
    let window = row.window_ms.as_ref().map(|window| checker.milliseconds(window, 0.0, MAX_TIME_MS));
    let class = RequestClass {
        kind: match row.kind {
            form::Kind::Idempotent => RequestKind::Idempotent,
            form::Kind::Keyed => RequestKind::Keyed,
            form::Kind::NonIdempotent => RequestKind::NonIdempotent,
        },
        scope: match row.group {
            None | Some(form::Group::All) => DeduplicationScope::All,
            Some(form::Group::Zone) => DeduplicationScope::Zone,
            Some(form::Group::Cell) => DeduplicationScope::Cell,
        },
        deduplication_window: window.unwrap_or_default(),
        latency_target,
        late_value: checker.number(&row.overdue_value, 0.0, 1.0),
    };
    let key_header = row.reference.as_ref().map(|header| header.get_ref().to_ascii_lowercase());
    ClassConfig { name, class, max_deadline, key_header }
}

/// A keyed class needs a window and a header for its key; no other has them.
fn check_key(checker: &mut Checker, span: std::ops::Range<usize>, row: &form::RequestClass) {
    if row.kind == form::Kind::Keyed {
        if row.window_ms.is_none() || row.reference.is_none() {
            let what = "a referenced scheme wants `window_ms` and `reference`, the header that carries it";
            checker.mistake(span, what);
        }
        return;
    }
    if let Some(window) = &row.window_ms {
        checker.mistake(window.span(), "only a referenced scheme has a window");
    }
    if let Some(reference) = &row.reference {
        checker.mistake(reference.span(), "only a referenced scheme has a reference");
    }
}
