//! Writes a balancer's actions as wire messages.
use std::collections::BTreeMap;
use std::fmt::{Arguments, Write};

use notchspool::units::{BackendId, Effects, Micros, PeerId, RequestId};

/// The wire names of an instance's backends, by the numbers under which its balancer knows them.
#[derive(Default)]
pub struct BackendNames {
    quoted: Vec<String>,
    by_name: BTreeMap<String, BackendId>,
}

impl BackendNames {
    /// The number of a name that has one.
    pub fn find(&self, name: &str) -> Option<BackendId> {
        self.by_name.get(name).copied()
    }

    /// The number of a name; a new one gets the next.
    pub fn id(&mut self, name: &str) -> BackendId {
        self.find(name).unwrap_or_else(|| {
            let id = BackendId(self.quoted.len() as u32);
            self.quoted.push(quote(name));
            self.by_name.insert(name.to_owned(), id);
            id
        })
    }

    fn quoted(&self, id: BackendId) -> &str {
        self.quoted.get(id.0 as usize).map_or("\"\"", String::as_str)
    }
}

/// Appends messages to the reply of a batch.
pub struct WireActions<'a> {
    /// The reply so far.
    pub reply: &'a mut String,
    /// The instance's id, quoted.
    pub instance: &'a str,
    /// Names of its backends.
    pub names: &'a BackendNames,
}

impl WireActions<'_> {
    fn action(&mut self, name: &str, fields: Arguments) {
        if !self.reply.ends_with('[') {
            self.reply.push(',');
        }
        // Writing to a string does not fail.
        let _ = write!(self.reply, r#"{{"m":"{name}","i":{}{fields}}}"#, self.instance);
    }
}

fn quote(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

fn milliseconds(span: Micros) -> f64 {
    span.0 as f64 / 1000.0
}

impl Effects for WireActions<'_> {
    fn send(&mut self, request: RequestId, to: BackendId, until: Micros) {
        let (backend, until) = (self.names.quoted(to).to_owned(), milliseconds(until));
        let call = request.0;
        self.action("forward", format_args!(r#","call":{call},"backend":{backend},"tryUntilMs":{until}"#));
    }

    fn cancel(&mut self, request: RequestId, attempt: u32) {
        self.action("cancel", format_args!(r#","call":{},"attempt":{attempt}"#, request.0));
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>) {
        let call = request.0;
        match retry_after.map(milliseconds) {
            Some(span) => self.action("notNow", format_args!(r#","call":{call},"retryAfterMs":{span}"#)),
            None => self.action("notNow", format_args!(r#","call":{call}"#)),
        }
    }

    fn fail(&mut self, request: RequestId) {
        self.action("lose", format_args!(r#","call":{}"#, request.0));
    }

    fn probe(&mut self, backend: BackendId) {
        let backend = self.names.quoted(backend).to_owned();
        self.action("check", format_args!(r#","backend":{backend}"#));
    }

    fn watch(&mut self) {
        self.action("observe", format_args!(r#","on":true"#));
    }

    fn wake_after(&mut self, span: Micros) {
        self.action("setTimer", format_args!(r#","keyBack":1,"spanMs":{}"#, milliseconds(span)));
    }

    fn send_to_peer(&mut self, peer: PeerId, line: &str) {
        self.action("notify", format_args!(r#","target":{},"octets":{}"#, peer.0, quote(line)));
    }

    fn close_idle(&mut self, backend: BackendId) {
        let backend = self.names.quoted(backend).to_owned();
        self.action("freeLinks", format_args!(r#","backend":{backend}"#));
    }

    fn log(&mut self, line: &str) {
        self.action("remark", format_args!(r#","line":{}"#, quote(line)));
    }
}
