//! A server list as it was read, whatever it came in.
use std::net::SocketAddr;

use notchspool::units::{Generation, ListEntry, Refresh};

/// One row of a list: a backend by name.
#[derive(Clone, Debug)]
pub struct ListRow {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Its machine type: backends of one type are of one size.
    pub model: String,
    /// The rest, as the decision module takes it; backend, zone and model are filled in later.
    pub entry: ListEntry,
}

/// A list, or what changed of one, read to its end.
#[derive(Clone, Debug)]
pub struct ListDocument {
    /// Whether it is full.
    pub refresh: Refresh,
    /// Its revision.
    pub version: Generation,
    /// Its rows.
    pub rows: Vec<ListRow>,
}
