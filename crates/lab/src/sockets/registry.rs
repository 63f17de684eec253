//! The register on sockets: a listener for each agent, so that what it tells whom is known.
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use super::backends::write;
use super::stage::Stage;
use crate::core::kit::*;
use crate::core::ledger::{Entry, Standing};
use crate::core::register::Listing;
use crate::http::{Head, Wire, answer};

const TICK: Duration = Duration::from_secs(2);

pub async fn stand(stage: Rc<Stage>, agent: AgentId, view: usize, listener: TcpListener) {
    loop {
        if let Ok((io, _)) = listener.accept().await {
            spawn_local(serve(stage.clone(), agent, view, Wire::new(io)));
        }
    }
}

async fn serve(stage: Rc<Stage>, agent: AgentId, view: usize, mut wire: Wire) {
    while let Ok(Some(head)) = wire.head(true).await {
        if stage.world.borrow().register.out {
            return wire.reset();
        }
        if !head.path.starts_with("/v1/servers") {
            let _ = wire.say(&answer("404 Not Found", "", "no such page\n")).await;
            continue;
        }
        if head.path.contains("follow=1") {
            follow(&stage, agent, view, &mut wire, &head).await;
            return wire.reset();
        }
        let listing = stage.world.borrow().register.whole();
        let said = answer("200 OK", "", &line(&stage, &listing, view));
        if wire.say(&said).await.is_err() {
            return;
        }
        told(&stage, agent, &listing);
    }
}

/// A watch, until it ends. What was written counts as told.
async fn follow(stage: &Rc<Stage>, agent: AgentId, view: usize, wire: &mut Wire, head: &Head) {
    let since = head.path.split(['?', '&']).find_map(|q| q.strip_prefix("since="));
    let mut version = since.and_then(|v| v.parse::<u64>().ok());
    let mut changes = stage.listed.subscribe();
    if wire.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
        return;
    }
    let mut first = true;
    let mut spoke = Instant::now();
    loop {
        let (listing, out, empty, pace) = {
            let register = &stage.world.borrow().register;
            (register.since(version), register.out, register.empty, register.pace)
        };
        if out || (empty && !first) {
            return;
        }
        let due = first || (Some(listing.version) != version && spoke.elapsed().as_micros() as i64 >= pace.0);
        if due {
            (first, spoke, version) = (false, Instant::now(), Some(listing.version));
            let line = line(stage, &listing, view) + "\n";
            if chunk(wire, &line).await.is_err() {
                return;
            }
            told(stage, agent, &listing);
        }
        let held = Some(listing.version) != version;
        let wait = if held { Duration::from_millis(50) } else { TICK };
        tokio::select! {
            read = wire.fill() => if !matches!(read, Ok(n) if n > 0) { return },
            changed = timeout(wait, changes.changed()) => {
                if changed.is_err() && !held && chunk(wire, "\n").await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn chunk(wire: &mut Wire, text: &str) -> std::io::Result<()> {
    wire.say(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}

fn told(stage: &Stage, agent: AgentId, listing: &Listing) {
    let mut absent: BTreeSet<usize> = match listing.complete && !listing.rows.is_empty() {
        true => (0..stage.gates.len()).collect(),
        false => BTreeSet::new(),
    };
    for &(back, row) in &listing.rows {
        absent.remove(&back.0);
        write(stage, Entry::Told { agent, back, standing: row.standing });
    }
    for back in absent {
        write(stage, Entry::Told { agent, back: BackId(back), standing: Standing::Gone });
    }
}

/// A list as the agents of a zone see it.
pub fn line(stage: &Stage, listing: &Listing, view: usize) -> String {
    let world = stage.world.borrow();
    let places = stage.places.borrow();
    let members: Vec<serde_json::Value> = listing
        .rows
        .iter()
        .map(|(back, row)| {
            let site = &world.fleet.sites[back.0];
            json!({
                "id": format!("b-{}", back.0),
                "host_port": places[back.0][view].to_string(),
                "locality": format!("z{}", site.zone.0),
                "cell": site.cell,
                "phase": match row.standing {
                    Standing::Ready => "in_service",
                    Standing::Draining => "terminating",
                    Standing::Gone => "terminated",
                },
                "size": (site.size * 100.0).round() / 100.0,
                "up_since_ms": row.started.map_or(0, |at| stage.unix_ms(at)),
            })
        })
        .collect();
    json!({"revision": listing.version, "complete": listing.complete, "members": members}).to_string()
}
