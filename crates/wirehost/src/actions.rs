//! Writes a balancer's actions as wire messages.
use std::fmt::Write;

use notchspool::units::{BackendId, Effects, Micros, PeerId, RequestId};

/// The wire names of an instance's backends, by the numbers its balancer knows them under.
#[derive(Default)]
pub struct Names {
    quoted: Vec<String>,
    by_name: std::collections::BTreeMap<String, BackendId>,
}

impl Names {
    pub fn find(&self, name: &str) -> Option<BackendId> {
        self.by_name.get(name).copied()
    }
    pub fn number(&mut self, name: &str) -> BackendId {
        self.find(name).unwrap_or_else(|| {
            let id = BackendId(self.quoted.len() as u32);
            self.quoted.push(serde_json::Value::from(name).to_string());
            self.by_name.insert(name.to_owned(), id);
            id
        })
    }
}

pub struct Wire<'a> {
    pub reply: &'a mut String,
    /// The instance's id, quoted.
    pub instance: &'a str,
    pub names: &'a Names,
}

impl Wire<'_> {
    fn action(&mut self, name: &str, fields: std::fmt::Arguments) {
        if !self.reply.ends_with('[') {
            self.reply.push(',');
        }
        let _ = write!(self.reply, r#"{{"m":"{name}","i":{}{fields}}}"#, self.instance);
    }
    fn backend(&self, id: BackendId) -> &str {
        self.names.quoted.get(id.0 as usize).map_or("\"\"", String::as_str)
    }
}

fn ms(span: Micros) -> f64 {
    span.0 as f64 / 1000.0
}

impl Effects for Wire<'_> {
    fn send(&mut self, txn: RequestId, to: BackendId, until: Micros) {
        let name = self.backend(to).to_owned();
        let until = ms(until);
        self.action("forward", format_args!(r#","call":{},"backend":{name},"tryUntilMs":{until}"#, txn.0));
    }
    fn cancel(&mut self, txn: RequestId, posting: u32) {
        self.action("cancel", format_args!(r#","call":{},"attempt":{posting}"#, txn.0));
    }
    fn reject(&mut self, txn: RequestId, away: Option<Micros>) {
        match away {
            Some(away) => {
                self.action("notNow", format_args!(r#","call":{},"retryAfterMs":{}"#, txn.0, ms(away)));
            }
            None => self.action("notNow", format_args!(r#","call":{}"#, txn.0)),
        }
    }
    fn fail(&mut self, txn: RequestId) {
        self.action("lose", format_args!(r#","call":{}"#, txn.0));
    }
    fn probe(&mut self, backend: BackendId) {
        let name = self.backend(backend).to_owned();
        self.action("check", format_args!(r#","backend":{name}"#));
    }
    fn watch(&mut self) {
        self.action("observe", format_args!(r#","on":true"#));
    }
    fn wake_after(&mut self, span: Micros) {
        self.action("setTimer", format_args!(r#","keyBack":1,"spanMs":{}"#, ms(span)));
    }
    fn send_to_peer(&mut self, peer: PeerId, line: &str) {
        let line = serde_json::Value::from(line);
        self.action("notify", format_args!(r#","target":{},"octets":{line}"#, peer.0));
    }
    fn close_idle(&mut self, backend: BackendId) {
        let name = self.backend(backend).to_owned();
        self.action("freeLinks", format_args!(r#","backend":{name}"#));
    }
    fn log(&mut self, line: &str) {
        let line = serde_json::Value::from(line);
        self.action("remark", format_args!(r#","line":{line}"#));
    }
}
