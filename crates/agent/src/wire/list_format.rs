//! Reads a server list in discovery's format. All of it is read before any of it counts.
use std::net::SocketAddr;

use notchspool::units::{CellId, EndpointStatus, Generation, ListEntry, Refresh};
use notchspool_settings::json_fields::{FieldError, FieldResult, flag, integer, number, rows, text, time};
use serde_json::Value;

use crate::state::endpoint_list::WatchLine;
use crate::state::list_row::{ListDocument, ListRow};

/// Bytes of the name of a backend, a zone or a machine type: what is known of them is kept.
const MAX_NAME_BYTES: usize = 256;
/// As much of a name that is too long is shown, in characters.
const SHOWN_NAME: usize = 20;

/// A line of the watch; an empty one only says that the watch lives.
pub fn parse_line(line: &[u8]) -> WatchLine {
    if line.iter().all(u8::is_ascii_whitespace) {
        return WatchLine::Heartbeat;
    }
    let value = serde_json::from_slice(line).map_err(|e| FieldError::from(format!("not JSON: {e}")));
    match value.and_then(|value| read_document(&value)) {
        Ok(document) => WatchLine::Document(document),
        Err(error) => WatchLine::Garbled(error.to_string()),
    }
}

/// A list, or what changed of one.
///
/// # Errors
///
/// The first field that makes no sense.
pub fn read_document(value: &Value) -> FieldResult<ListDocument> {
    let version = Generation(integer(value, "revision")?);
    let refresh = if flag(value, "complete")? { Refresh::Full } else { Refresh::Delta };
    let rows = rows(value, "members")?.iter().map(read_row).collect::<FieldResult<_>>()?;
    Ok(ListDocument { refresh, version, rows })
}

fn read_row(row: &Value) -> FieldResult<ListRow> {
    let name = text(row, "id")?;
    let optional = |field: &str| row[field].as_str().unwrap_or("");
    let (zone, model) = (optional("locality"), optional("flavor"));
    if [name, zone, model].iter().any(|name| name.len() > MAX_NAME_BYTES) {
        let shown: String = name.chars().take(SHOWN_NAME).collect();
        return Err(format!("a name of over {MAX_NAME_BYTES} bytes: {shown}").into());
    }
    let of_row = |error: FieldError| FieldError::from(format!("{name}: {error}"));
    let address: SocketAddr = text(row, "host_port")?
        .parse()
        .map_err(|_| format!("{name}: field `host_port` is no address and port"))?;
    let entry = ListEntry {
        cell: CellId(row["cell"].as_i64().unwrap_or(0)),
        status: match text(row, "phase").map_err(of_row)? {
            "in_service" => EndpointStatus::Ready,
            "terminating" => EndpointStatus::Draining,
            "terminated" => EndpointStatus::Gone,
            other => return Err(of_row(FieldError::unknown_word("phase", other))),
        },
        started: time(row, "up_since_ms", Some(0.0)).map_err(of_row)?,
        size: number(row, "size", Some(1.0)).map_err(of_row)?,
        ..ListEntry::default()
    };
    Ok(ListRow { name: name.to_owned(), address, zone: zone.to_owned(), model: model.to_owned(), entry })
}
