//! The fleet that an agent belongs to (`[fleet]`).
use std::net::SocketAddr;

use toml::Spanned;

use super::Fleet;
use super::checker::Checker;
use super::form;

/// How many controllers a fleet may have.
const CONTROLLER_COUNTS: [usize; 3] = [1, 3, 5];
const MAX_NAME_BYTES: usize = 64;

/// As `fleet-protocol` has it for names in messages, which this package does not know.
fn is_valid_name(text: &str) -> bool {
    let characters = text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && characters
}

/// The section `[fleet]`. Mistakes are noted in the checker; nothing where there was one that leaves no fleet to join.
pub fn read(checker: &mut Checker, row: &form::Fleet, agent: &str, zone: &str) -> Option<Fleet> {
    if !is_valid_name(row.name.get_ref()) {
        let what = "the name of a fleet is 1 to 64 letters, digits, `-`, `_` and `.`";
        checker.mistake(row.name.span(), what);
    }
    if !is_valid_name(agent) {
        let rule = "1 to 64 letters, digits, `-`, `_` and `.`";
        checker.mistake(0..0, format!("`name` is `{agent}`, which can't be an instance's: {rule}"));
    }
    if !CONTROLLER_COUNTS.contains(&row.controllers.len()) {
        let span = row.controllers.first().map_or(row.name.span(), Spanned::span);
        checker.mistake(span, format!("{} keepers; 1, 3 or 5 are wanted", row.controllers.len()));
    }
    if row.state.get_ref().is_empty() {
        checker.mistake(row.state.span(), "a folder is wanted");
    }
    Some(Fleet {
        name: row.name.get_ref().clone(),
        controllers: read_controllers(checker, &row.controllers),
        state_folder: row.state.get_ref().into(),
        zone: zone.to_owned(),
    })
}

fn read_controllers(checker: &mut Checker, rows: &[Spanned<String>]) -> Vec<SocketAddr> {
    let mut controllers: Vec<SocketAddr> = Vec::new();
    for row in rows {
        let Some(address) = checker.address(row) else { continue };
        if controllers.contains(&address) {
            checker.mistake(row.span(), "a second keeper there");
        }
        controllers.push(address);
    }
    controllers
}
