//! `notchspool lab audit`: judges ledgers that were kept.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use notchspool_lab::core::auditor::{Breach, Rule, audit, history};
use notchspool_lab::core::ledger::Ledger;
use notchspool_lab::core::notation;

use crate::EXIT_INCOMPLETE;

/// Judges ledgers, one file after the other.
pub fn run(files: &[PathBuf]) -> Result<ExitCode, String> {
    let mut sound = true;
    for file in files {
        sound &= audit_file(file)?;
    }
    Ok(if sound { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) })
}

/// Whether all rules were kept.
fn audit_file(file: &Path) -> Result<bool, String> {
    let in_file = |reason: String| format!("{}: {reason}", file.display());
    let text = std::fs::read_to_string(file).map_err(|error| in_file(error.to_string()))?;
    let (agreement, ledger) = notation::read(&text).map_err(in_file)?;
    let verdict = audit(&ledger, &agreement);
    println!("{}: {} txns, {} postings", file.display(), verdict.taken, verdict.postings);
    for rule in Rule::ALL {
        let breaches: Vec<&Breach> = verdict.breaches.iter().filter(|breach| breach.rule == rule).collect();
        println!("  {rule:?}: {}", if breaches.is_empty() { "kept" } else { "BROKEN" });
        print_first(&ledger, &breaches);
    }
    Ok(verdict.breaches.is_empty())
}

/// How often a rule was broken, and the history of the first request that broke it.
fn print_first(ledger: &Ledger, breaches: &[&Breach]) {
    let Some(first) = breaches.first() else { return };
    println!("    {} times, first: {} at {:.1} ms", breaches.len(), first.what, first.at.0 as f64 / 1e3);
    let lines = first.txn.map(|request| history(ledger, request)).unwrap_or_default();
    lines.iter().for_each(|line| println!("      {line}"));
}
