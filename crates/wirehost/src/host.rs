//! Turns wire events into calls. Each decoded field goes straight into the call it belongs to.
use std::collections::BTreeMap;

use notchspool::balancer::Balancer;
use notchspool::units::*;
use notchspool_settings::read::*;
use notchspool_settings::{Agreed, agreed, put, zone_number};
use serde_json::Value;

use crate::actions::{Names, Wire};

struct Instance {
    quoted: String,
    balancer: Balancer,
    names: Names,
    zones: Vec<String>,
    schemes: Vec<String>,
    tenants: Vec<String>,
    models: Vec<String>,
    report_fields: Vec<String>,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    /// The numbered lists of the process, each standing until its number is used again.
    ledgers: BTreeMap<u64, Vec<Value>>,
}

fn fate(event: &Value) -> Read<AttemptOutcome> {
    Ok(match text(event, "disposition")? {
        "GOOD" => AttemptOutcome::Succeeded,
        "BAD" => AttemptOutcome::Failed,
        "FULL" => AttemptOutcome::Rejected,
        "LATE" => AttemptOutcome::TimedOut,
        "NOCONN" => AttemptOutcome::ConnectFailed,
        "RST" => AttemptOutcome::ConnectionLost,
        "CXL" => AttemptOutcome::Cancelled,
        "NOP" => AttemptOutcome::NotSent,
        other => return Err(format!("field `disposition`: `{other}` is not known")),
    })
}

impl Host {
    /// Plays one batch. Only what makes the line unreadable is an error; a bad event is told of and skipped.
    pub fn batch(&mut self, line: &[u8]) -> Read<String> {
        let mut batch: Value = serde_json::from_slice(line).map_err(|e| format!("not JSON: {e}"))?;
        if !batch.is_object() {
            return Err("the line is no object".into());
        }
        let now = time(&batch, "momentMs", None)?;
        let mut reply = String::from(r#"{"output":["#);
        let Value::Array(news) = batch["news"].take() else {
            return Err("field `news` is no list".into());
        };
        for mut event in news {
            if let Err(why) = self.event(now, &mut event, &mut reply) {
                eprintln!("event `{}` skipped: {why}", event["m"].as_str().unwrap_or("?"));
            }
        }
        reply.push_str("]}");
        Ok(reply)
    }

    fn event(&mut self, now: Micros, event: &mut Value, reply: &mut String) -> Read<()> {
        let what = text(event, "m")?.to_owned();
        if what == "ledger" {
            let slot = whole(event, "slot")?;
            rows(event, "lines")?;
            let lines = match event["lines"].take() {
                Value::Array(lines) => lines,
                _ => Vec::new(),
            };
            self.ledgers.insert(slot, lines);
            return Ok(());
        }
        const KNOWN: [&str; 9] =
            ["hello", "down", "endpoints", "order", "reportBack", "expired", "wake", "pong", "whisper"];
        if !KNOWN.contains(&what.as_str()) {
            return Ok(()); // firstByte bears on no decision; what is newer than us neither
        }
        let id = text(event, "i")?;
        match what.as_str() {
            "hello" => {
                let instance = Instance::start(now, id, event)?;
                let id = id.to_owned();
                self.instances.insert(id, instance);
                return Ok(());
            }
            "down" => {
                self.instances.remove(id).ok_or_else(|| format!("field `i`: `{id}` is not known"))?;
                return Ok(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(id).ok_or_else(|| format!("field `i`: `{id}` is not known"))?;
        instance.event(now, &what, event, &self.ledgers, reply)
    }
}

impl Instance {
    fn start(now: Micros, id: &str, event: &Value) -> Read<Instance> {
        let Agreed { terms, zones, schemes, tenants, report_fields, .. } = agreed(&event["facts"])?;
        Ok(Instance {
            quoted: Value::from(id).to_string(),
            balancer: Balancer::new(terms, whole(event, "entropy")?, now),
            names: Names::default(),
            zones,
            schemes,
            tenants,
            models: Vec::new(),
            report_fields,
        })
    }

    fn event(
        &mut self,
        now: Micros,
        what: &str,
        event: &Value,
        ledgers: &BTreeMap<u64, Vec<Value>>,
        reply: &mut String,
    ) -> Read<()> {
        if what == "endpoints" {
            return self.endpoints(now, event, ledgers, reply);
        }
        let report = self.report(event)?;
        let Instance { quoted, balancer, names, schemes, tenants, .. } = self;
        let backend = || {
            let name = text(event, "backend")?;
            names.find(name).ok_or_else(|| format!("field `backend`: `{name}` is not known"))
        };
        let txn = || whole(event, "call").map(RequestId);
        let mut wire = Wire { reply, instance: quoted, names };
        balancer.set_clock(now);
        match what {
            "order" => {
                let name = text(event, "priority")?;
                let scheme = schemes
                    .iter()
                    .position(|s| s == name)
                    .ok_or_else(|| format!("field `priority`: `{name}` is not known"))?;
                let expiry = time(event, "notAfterMs", None)?;
                let owner = event["owner"].as_str();
                let tenant = owner.and_then(|name| tenants.iter().position(|t| t == name)).map(TenantId);
                balancer.begin(txn()?, ClassId(scheme), expiry).with_tenant(tenant).route(&mut wire);
            }
            "reportBack" => {
                let (backend, fate) = (backend()?, fate(event)?);
                let (posting, took) = (whole(event, "attempt")?, time(event, "tookMs", Some(0.0))?);
                let closed = flag(event, "noMore")?;
                balancer.on_load_report(backend, report);
                if let Some(handle) = balancer.request(txn()?) {
                    handle.on_attempt_end(posting as u32, fate, took, closed, &mut wire);
                }
            }
            "expired" => {
                if let Some(handle) = balancer.request(txn()?) {
                    handle.on_client_left(&mut wire);
                }
            }
            "wake" => balancer.on_wake(&mut wire),
            "whisper" => balancer.on_peer_rates(text(event, "octets")?),
            _ => {
                let (backend, fate) = (backend()?, fate(event)?);
                balancer.on_load_report(backend, report);
                balancer.on_probe_result(backend, fate);
            }
        }
        Ok(())
    }

    fn report(&self, event: &Value) -> Read<Option<LoadReport>> {
        if event["report"].is_null() {
            return Ok(None);
        }
        let mut report = LoadReport::default();
        for (field, value) in self.report_fields.iter().zip(rows(event, "report")?) {
            let Some(value) = value.as_f64() else { continue };
            put(&mut report, field, value);
        }
        Ok(Some(report))
    }

    fn endpoints(
        &mut self,
        now: Micros,
        event: &Value,
        ledgers: &BTreeMap<u64, Vec<Value>>,
        reply: &mut String,
    ) -> Read<()> {
        let refresh = match text(event, "kind")? {
            "update" => Some(Refresh::Delta),
            "replace" => Some(Refresh::Full),
            "restored" => Some(Refresh::Restored),
            "unavailable" => None,
            other => return Err(format!("field `kind`: `{other}` is not known")),
        };
        let mut entries = Vec::new();
        if refresh.is_some() {
            let slot = whole(event, "slot")?;
            let lines = ledgers.get(&slot).ok_or_else(|| format!("field `slot`: no ledger {slot}"))?;
            for line in lines {
                let standing = match text(line, "readiness")? {
                    "Ready" => EndpointStatus::Ready,
                    "Terminating" => EndpointStatus::Draining,
                    "Gone" => EndpointStatus::Gone,
                    other => return Err(format!("field `readiness`: `{other}` is not known")),
                };
                entries.push(ListEntry {
                    backend: self.names.number(text(line, "backend")?),
                    zone: zone_number(&mut self.zones, line["site"].as_str().unwrap_or("")),
                    cell: CellId(line["cell"].as_i64().unwrap_or(0)),
                    status: standing,
                    model: ModelId(zone_number(&mut self.models, line["model"].as_str().unwrap_or("")).0),
                    started: time(line, "startedAtMs", Some(0.0))?,
                    size: number(line, "powerHint", Some(1.0))?,
                });
            }
        }
        self.balancer.set_clock(now);
        let mut wire = Wire { reply, instance: &self.quoted, names: &self.names };
        match refresh {
            Some(refresh) => {
                self.balancer.on_list(refresh, Generation(whole(event, "generation")?), &entries, &mut wire);
            }
            None => self.balancer.on_list_failed(),
        }
        Ok(())
    }
}
