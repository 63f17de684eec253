//! Reads a server list in discovery's form. All of it is read before any of it counts.
use std::net::SocketAddr;

use notchspool::units::*;
use notchspool_settings::read::*;
use serde_json::Value;

use crate::memory::list::{Heard, Line, Row};

/// A line of the watch; an empty one only says that the watch lives.
pub fn line(line: &[u8]) -> Line {
    if line.iter().all(u8::is_ascii_whitespace) {
        return Line::Alive;
    }
    let told = serde_json::from_slice(line).map_err(|e| format!("not JSON: {e}"));
    match told.and_then(|told| read(&told)) {
        Ok(heard) => Line::Heard(heard),
        Err(why) => Line::Garbled(why),
    }
}

/// Bytes of the name of a backend, a zone or a machine type: what is known of them is kept.
const NAME: usize = 256;

pub fn read(told: &Value) -> Read<Heard> {
    let version = Generation(whole(told, "revision")?);
    let how = if flag(told, "complete")? { Refresh::Full } else { Refresh::Delta };
    let mut read = Vec::new();
    for row in rows(told, "members")? {
        let name = text(row, "id")?;
        let long = |field: &str| row[field].as_str().is_some_and(|name| name.len() > NAME);
        if name.len() > NAME || long("locality") || long("flavor") {
            return Err(format!(
                "a name of over {NAME} bytes: {}",
                name.chars().take(20).collect::<String>()
            ));
        }
        let of = |why| format!("{name}: {why}");
        let at: SocketAddr = text(row, "host_port")?
            .parse()
            .map_err(|_| format!("{name}: field `host_port` is no address and port"))?;
        let entry = ListEntry {
            cell: CellId(row["cell"].as_i64().unwrap_or(0)),
            status: match text(row, "phase").map_err(of)? {
                "in_service" => EndpointStatus::Ready,
                "terminating" => EndpointStatus::Draining,
                "terminated" => EndpointStatus::Gone,
                other => return Err(format!("{name}: field `phase`: `{other}` is not known")),
            },
            started: time(row, "up_since_ms", Some(0.0)).map_err(of)?,
            size: number(row, "size", Some(1.0)).map_err(of)?,
            ..ListEntry::default()
        };
        let zone = row["locality"].as_str().unwrap_or("").to_owned();
        let model = row["flavor"].as_str().unwrap_or("").to_owned();
        read.push(Row { name: name.to_owned(), at, zone, model, entry });
    }
    Ok(Heard { how, version, rows: read })
}
