//! What the platform and the backend here call: readiness, beats, leave calls.
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use notchspool::units::Micros;
use notchspool_endpoint_registry::heartbeats::{Event, Heartbeat};
use serde_json::Value;

use crate::house::House;
use crate::pipe;

/// A beat may be this large.
const MOST_BODY: usize = 64 << 10;

fn answer(status: u16, body: &str) -> Response<pipe::Answer> {
    let mut answer = Response::new(pipe::Answer::Whole(Some(Bytes::from(body.to_string()))));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let kind = if body.starts_with('{') { "application/json" } else { "text/plain" };
    answer.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static(kind));
    answer
}

/// A beat's body, checked; what is wrong names its field.
pub fn beat(instance: &str, bytes: &[u8]) -> Result<Heartbeat, String> {
    let value: Value = serde_json::from_slice(bytes).map_err(|e| format!("body: is no JSON: {e}"))?;
    let field = |path: &str| value.pointer(path).ok_or_else(|| format!("{path}: is missing"));
    let text =
        |path: &str| field(path)?.as_str().map(str::to_string).ok_or_else(|| format!("{path}: is no text"));
    let whole = |path: &str| field(path)?.as_u64().ok_or_else(|| format!("{path}: is no whole number"));
    let state = text("/status/state")?;
    let cold = value.pointer("/status/coldLeftS").and_then(Value::as_f64).unwrap_or(0.0);
    if !matches!(state.as_str(), "ready" | "draining") {
        return Err(format!("/status/state: {state:?} is neither ready nor draining"));
    }
    if instance.is_empty() || instance.len() > 256 {
        return Err("of: is no id".into());
    }
    Ok(Heartbeat {
        instance: instance.to_string(),
        service: text("/details/service")?,
        address: text("/address")?,
        zone: text("/details/zone")?,
        slots: whole("/details/freeSlots")?.min(100_000) as u32,
        draining: state == "draining",
        warmup: Micros((cold.clamp(0.0, 3_600.0) * 1e6) as i64),
        call_count: whole("/status/callCount")?,
    })
}

impl House {
    pub async fn attend_desk(self: Rc<House>, request: Request<Incoming>) -> Response<pipe::Answer> {
        let path = request.uri().path().to_string();
        if path == "/notchspool/ready" {
            return match (self.ready(), self.voters.newest()) {
                (true, Some(_)) => answer(200, "ready\n"),
                (true, None) => {
                    answer(200, "ready, on a configuration that no majority of replicas vouches for\n")
                }
                (false, _) => answer(503, "not ready\n"),
            };
        }
        if path == "/notchspool/figures" {
            return answer(200, &self.figures());
        }
        if path != "/notchspool/rpc" {
            return answer(404, "no such place\n");
        }
        if request.method() != Method::POST {
            return answer(405, "calls are POST\n");
        }
        let query = request.uri().query().unwrap_or_default().to_string();
        let part = |name: &str| {
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')).unwrap_or_default()
        };
        let (call, of) = (part("call").to_string(), part("of").to_string());
        let Ok(body) = Limited::new(request.into_body(), MOST_BODY).collect().await else {
            self.count("calls_senseless");
            return answer(400, "the body is too large or cut short\n");
        };
        match call.as_str() {
            "instances.heartbeat" => match beat(&of, &body.to_bytes()) {
                Ok(beat) => {
                    self.backend(Event::Heartbeat(beat));
                    answer(200, "{}")
                }
                Err(why) => {
                    self.count("calls_senseless");
                    answer(400, &format!("{why}\n"))
                }
            },
            "instances.leave" => {
                self.backend(Event::Leave(of));
                answer(200, "{}")
            }
            _ => {
                self.count("calls_senseless");
                answer(404, "no such call here\n")
            }
        }
    }

    /// Sums since the start and what is held now, a line each.
    pub fn figures(&self) -> String {
        let mut lines = Vec::new();
        let script = self.script.borrow().as_ref().map_or(0, |s| s.version);
        let (open, voters) = self.voters.reached();
        lines.push(format!("configuration_version {script}"));
        lines.push(format!("list_version {}", self.playbill.borrow().version()));
        lines.push(format!("replicas_reached {open} of {voters}"));
        lines.push(format!("in_hand {}", self.in_hand.get()));
        lines.push(format!("kept_answer_bytes {}", self.coats.borrow().bytes()));
        for (service, company) in self.companies.borrow().iter() {
            lines.push(format!("sound_backends {service} {}", company.sound()));
        }
        lines.extend(self.counts.borrow().iter().map(|(what, n)| format!("{what} {n}")));
        lines.join("\n") + "\n"
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SOUND: &str = r#"{"address":"10.1.0.9:8080","details":{"service":"s","version":"v1","zone":"a","freeSlots":6},"status":{"state":"ready","callCount":4,"coldLeftS":1.5}}"#;

    #[test]
    fn a_beat_is_read_and_a_senseless_one_names_its_field() {
        let read = beat("i-1", SOUND.as_bytes()).unwrap();
        assert_eq!(
            (read.slots, read.call_count, read.draining, read.warmup),
            (6, 4, false, Micros::ms(1_500))
        );
        let rows = [
            (r#""freeSlots":6"#, r#""freeSlots":-6"#, "/details/freeSlots"),
            (r#""state":"ready""#, r#""state":"odd""#, "/status/state"),
            (r#""callCount":4,"#, "", "/status/callCount"),
            (r#""address":"10.1.0.9:8080","#, "", "/address"),
        ];
        for (old, new, field) in rows {
            let why = beat("i-1", SOUND.replacen(old, new, 1).as_bytes()).unwrap_err();
            assert!(why.starts_with(field), "{why}");
        }
        for end in 0..SOUND.len() {
            assert!(beat("i-1", &SOUND.as_bytes()[..end]).is_err());
        }
    }
}
