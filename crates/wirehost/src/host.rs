//! Turns wire events into calls. Each decoded field goes straight into the call that it belongs to.
use std::collections::BTreeMap;

use notchspool::balancer::Balancer;
use notchspool::units::{
    AttemptOutcome, CellId, ClassId, EndpointStatus, Generation, ListEntry, LoadReport, Micros, ModelId,
    Refresh, RequestId, TenantId,
};
use notchspool_settings::json_fields::{FieldError, FieldResult, flag, integer, number, rows, text, time};
use notchspool_settings::load_report::set_figure;
use notchspool_settings::platform_settings::PlatformSettings;
use notchspool_settings::zones::zone_id;
use serde_json::Value;

use crate::actions::{BackendNames, WireActions};

/// Events that are understood. What is newer than this host is passed over, and so is `firstByte`, which bears on no decision.
const KNOWN_EVENTS: [&str; 9] =
    ["hello", "down", "endpoints", "order", "reportBack", "expired", "wake", "pong", "whisper"];

/// The numbered lists of the process, each standing until its number is used again.
type Ledgers = BTreeMap<u64, Vec<Value>>;

/// One balancer of the simulation.
struct Instance {
    /// Its id, quoted.
    quoted_id: String,
    balancer: Balancer,
    names: BackendNames,
    zones: Vec<String>,
    classes: Vec<String>,
    tenants: Vec<String>,
    models: Vec<String>,
    report_fields: Vec<String>,
}

/// All balancers of the process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    ledgers: Ledgers,
}

fn attempt_outcome(event: &Value) -> FieldResult<AttemptOutcome> {
    Ok(match text(event, "disposition")? {
        "GOOD" => AttemptOutcome::Succeeded,
        "BAD" => AttemptOutcome::Failed,
        "FULL" => AttemptOutcome::Rejected,
        "LATE" => AttemptOutcome::TimedOut,
        "NOCONN" => AttemptOutcome::ConnectFailed,
        "RST" => AttemptOutcome::ConnectionLost,
        "CXL" => AttemptOutcome::Cancelled,
        "NOP" => AttemptOutcome::NotSent,
        other => return Err(FieldError::unknown_word("disposition", other)),
    })
}

impl Host {
    /// Plays one batch, and gives back its reply. Only what makes the line unreadable is an error; a bad event is reported and skipped.
    pub fn play_batch(&mut self, line: &[u8]) -> FieldResult<String> {
        let mut batch: Value = serde_json::from_slice(line).map_err(|e| format!("not JSON: {e}"))?;
        if !batch.is_object() {
            return Err("the line is no object".into());
        }
        let now = time(&batch, "momentMs", None)?;
        let mut reply = String::from(r#"{"output":["#);
        let Value::Array(events) = batch["news"].take() else {
            return Err(FieldError::NoList("news".into()));
        };
        for mut event in events {
            if let Err(error) = self.play_event(now, &mut event, &mut reply) {
                eprintln!("event `{}` skipped: {error}", event["m"].as_str().unwrap_or("?"));
            }
        }
        reply.push_str("]}");
        Ok(reply)
    }

    fn play_event(&mut self, now: Micros, event: &mut Value, reply: &mut String) -> FieldResult<()> {
        let kind = text(event, "m")?.to_owned();
        if kind == "ledger" {
            return self.store_ledger(event);
        }
        if !KNOWN_EVENTS.contains(&kind.as_str()) {
            return Ok(());
        }
        let id = text(event, "i")?;
        let unknown = || FieldError::unknown_word("i", id);
        match kind.as_str() {
            "hello" => {
                self.instances.insert(id.to_owned(), Instance::start(now, id, event)?);
                Ok(())
            }
            "down" => self.instances.remove(id).map(drop).ok_or_else(unknown),
            _ => {
                let instance = self.instances.get_mut(id).ok_or_else(unknown)?;
                instance.play_event(now, &kind, event, &self.ledgers, reply)
            }
        }
    }

    fn store_ledger(&mut self, event: &mut Value) -> FieldResult<()> {
        let slot = integer(event, "slot")?;
        rows(event, "lines")?;
        let lines = match event["lines"].take() {
            Value::Array(lines) => lines,
            _ => Vec::new(),
        };
        self.ledgers.insert(slot, lines);
        Ok(())
    }
}

impl Instance {
    fn start(now: Micros, id: &str, event: &Value) -> FieldResult<Instance> {
        let settings = PlatformSettings::read(&event["facts"])?;
        Ok(Instance {
            quoted_id: Value::from(id).to_string(),
            balancer: Balancer::new(settings.policy, integer(event, "entropy")?, now),
            names: BackendNames::default(),
            zones: settings.zones,
            classes: settings.classes,
            tenants: settings.tenants,
            models: Vec::new(),
            report_fields: settings.report_fields,
        })
    }

    fn play_event(
        &mut self,
        now: Micros,
        kind: &str,
        event: &Value,
        ledgers: &Ledgers,
        reply: &mut String,
    ) -> FieldResult<()> {
        if kind == "endpoints" {
            return self.on_endpoints(now, event, ledgers, reply);
        }
        let report = self.load_report(event)?;
        let Instance { quoted_id, balancer, names, classes, tenants, .. } = self;
        let backend = || {
            let name = text(event, "backend")?;
            names.find(name).ok_or_else(|| FieldError::unknown_word("backend", name))
        };
        let request = || integer(event, "call").map(RequestId);
        let mut actions = WireActions { reply, instance: quoted_id, names };
        balancer.set_clock(now);
        match kind {
            "order" => {
                let name = text(event, "priority")?;
                let class = classes.iter().position(|class| class == name);
                let class = class.ok_or_else(|| FieldError::unknown_word("priority", name))?;
                let deadline = time(event, "notAfterMs", None)?;
                let owner = event["owner"].as_str();
                let tenant = owner.and_then(|name| tenants.iter().position(|tenant| tenant == name));
                let begun = balancer.begin(request()?, ClassId(class), deadline);
                begun.with_tenant(tenant.map(TenantId)).route(&mut actions);
            }
            "reportBack" => {
                let (backend, outcome) = (backend()?, attempt_outcome(event)?);
                let (attempt, took) = (integer(event, "attempt")?, time(event, "tookMs", Some(0.0))?);
                let is_closed = flag(event, "noMore")?;
                balancer.on_load_report(backend, report);
                if let Some(handle) = balancer.request(request()?) {
                    handle.on_attempt_end(attempt as u32, outcome, took, is_closed, &mut actions);
                }
            }
            "expired" => {
                if let Some(handle) = balancer.request(request()?) {
                    handle.on_client_left(&mut actions);
                }
            }
            "wake" => balancer.on_wake(&mut actions),
            "whisper" => balancer.on_peer_rates(text(event, "octets")?),
            _ => {
                let (backend, outcome) = (backend()?, attempt_outcome(event)?);
                balancer.on_load_report(backend, report);
                balancer.on_probe_result(backend, outcome);
            }
        }
        Ok(())
    }

    fn load_report(&self, event: &Value) -> FieldResult<Option<LoadReport>> {
        if event["report"].is_null() {
            return Ok(None);
        }
        let mut report = LoadReport::default();
        for (field, value) in self.report_fields.iter().zip(rows(event, "report")?) {
            if let Some(value) = value.as_f64() {
                set_figure(&mut report, field, value);
            }
        }
        Ok(Some(report))
    }

    fn on_endpoints(
        &mut self,
        now: Micros,
        event: &Value,
        ledgers: &Ledgers,
        reply: &mut String,
    ) -> FieldResult<()> {
        let refresh = match text(event, "kind")? {
            "update" => Some(Refresh::Delta),
            "replace" => Some(Refresh::Full),
            "restored" => Some(Refresh::Restored),
            "unavailable" => None,
            other => return Err(FieldError::unknown_word("kind", other)),
        };
        let mut entries = Vec::new();
        if refresh.is_some() {
            let slot = integer(event, "slot")?;
            let lines = ledgers.get(&slot).ok_or_else(|| format!("field `slot`: no ledger {slot}"))?;
            entries = lines.iter().map(|line| self.list_entry(line)).collect::<FieldResult<_>>()?;
        }
        self.balancer.set_clock(now);
        let mut actions = WireActions { reply, instance: &self.quoted_id, names: &self.names };
        match refresh {
            Some(refresh) => {
                let generation = Generation(integer(event, "generation")?);
                self.balancer.on_list(refresh, generation, &entries, &mut actions);
            }
            None => self.balancer.on_list_failed(),
        }
        Ok(())
    }

    fn list_entry(&mut self, line: &Value) -> FieldResult<ListEntry> {
        let status = match text(line, "readiness")? {
            "Ready" => EndpointStatus::Ready,
            "Terminating" => EndpointStatus::Draining,
            "Gone" => EndpointStatus::Gone,
            other => return Err(FieldError::unknown_word("readiness", other)),
        };
        Ok(ListEntry {
            backend: self.names.id(text(line, "backend")?),
            zone: zone_id(&mut self.zones, line["site"].as_str().unwrap_or("")),
            cell: CellId(line["cell"].as_i64().unwrap_or(0)),
            status,
            model: ModelId(zone_id(&mut self.models, line["model"].as_str().unwrap_or("")).0),
            started: time(line, "startedAtMs", Some(0.0))?,
            size: number(line, "powerHint", Some(1.0))?,
        })
    }
}
