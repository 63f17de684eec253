//! Large texts between two processes.
//!
//! Each version of a configuration is much like the one before, so it goes as a difference against one that the other end has, and as its
//! digest alone where the other end has it already; in full only where nothing is known to be there.
//!
//! A text that can't be made out (its base is not held, its digest is another, its bytes are none) is thrown away and counted, and the
//! full text is asked for with [`MissingText`]. Nobody takes a text whose digest is not the one that was told.
use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use crate::delta::{self, Digest};
use crate::{ConfigRequest, MAX_CONFIG_BYTES, MissingText, Payload, Text, TextEnvelope};

/// Texts that the other end of a connection is taken to hold.
const MAX_KNOWN_DIGESTS: usize = 4;
/// Differences that are kept as they were made: one goes to many.
const MAX_CACHED_DIFFERENCES: usize = 4;
/// A first line goes as it is up to so many bytes, and as a text of its own beyond.
const MAX_SHORT_PREFIX: usize = 64;

/// A connection, numbered by the host.
pub type ConnectionId = u64;

/// Sums since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TextCounters {
    /// Texts sent as a digest alone.
    pub digests: u64,
    /// Texts sent as a difference.
    pub differences: u64,
    /// Texts sent in full.
    pub full_texts: u64,
    /// Bytes of these.
    pub bytes: u64,
    /// Texts thrown away: the base was not held, or the text was not what its digest says.
    pub rejected: u64,
}

#[allow(
    clippy::large_enum_variant,
    reason = "most messages are handed on as they came: boxing them would cost each an allocation"
)]
/// What became of a message that came.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// It carries this.
    Message(Payload),
    /// Its text can't be made out: this goes back.
    Reply(Payload),
    /// It was for this module alone, or makes no sense.
    Nothing,
}

/// The texts of one process, and what is known of the other ends of its connections.
#[derive(Debug)]
pub struct TextStore {
    max_held: usize,
    /// Newest last.
    held: VecDeque<HeldText>,
    known_digests: BTreeMap<ConnectionId, VecDeque<Digest>>,
    cached_differences: VecDeque<CachedDifference>,
    /// The same for first lines that are long: what was accepted under earlier versions grows by an entry a version.
    long_prefixes: Option<Box<TextStore>>,
    /// Sums since the start.
    pub counters: TextCounters,
    /// Fault injection for tests, which have to notice it: a text is taken whatever its base and digest say.
    pub skip_digest_check: bool,
}

#[derive(Debug)]
struct HeldText {
    digest: Digest,
    text: Bytes,
}

#[derive(Debug)]
struct CachedDifference {
    base: Digest,
    digest: Digest,
    encoded: Bytes,
}

/// Splits off a first line that begins with a number, as the register's value has it.
fn split_prefix(text: &[u8]) -> (&[u8], &[u8]) {
    if !text.first().is_some_and(u8::is_ascii_digit) {
        return (&[], text);
    }
    match text.iter().position(|byte| *byte == b'\n') {
        Some(end) => text.split_at(end + 1),
        None => (&[], text),
    }
}

fn parse_digest(bytes: &[u8]) -> Option<Digest> {
    Digest::try_from(bytes).ok()
}

impl TextStore {
    /// Holds `max_held` texts at most, the newest.
    pub fn new(max_held: usize) -> TextStore {
        TextStore {
            max_held: max_held.max(1),
            held: VecDeque::new(),
            known_digests: BTreeMap::new(),
            cached_differences: VecDeque::new(),
            long_prefixes: None,
            counters: TextCounters::default(),
            skip_digest_check: false,
        }
    }

    /// Holds a text, with or without a number in front, so that others can be made out by it.
    pub fn hold(&mut self, text: &[u8]) {
        let (_, rest) = split_prefix(text);
        if rest.len() <= MAX_CONFIG_BYTES {
            self.insert(delta::digest(rest), || Bytes::copy_from_slice(rest));
        }
    }

    /// Bytes of the texts held.
    pub fn size(&self) -> usize {
        let prefixes = self.long_prefixes.as_ref().map_or(0, |prefixes| prefixes.size());
        self.held.iter().map(|held| held.text.len()).sum::<usize>() + prefixes
    }

    /// Drops all that is held here; what other ends are known to have stays.
    pub fn clear(&mut self) {
        self.held.clear();
        self.long_prefixes.iter_mut().for_each(|prefixes| prefixes.clear());
    }

    /// A connection has ended, or its other end has lost what it held.
    pub fn on_closed(&mut self, connection: ConnectionId) {
        self.known_digests.remove(&connection);
        self.long_prefixes.iter_mut().for_each(|prefixes| prefixes.on_closed(connection));
    }

    fn long_prefixes(&mut self) -> &mut TextStore {
        let (max_held, skip_digest_check) = (self.max_held, self.skip_digest_check);
        let prefixes = self.long_prefixes.get_or_insert_with(|| Box::new(TextStore::new(max_held)));
        prefixes.skip_digest_check = skip_digest_check;
        prefixes
    }

    /// Makes a text the newest of those held.
    fn insert(&mut self, digest: Digest, text: impl FnOnce() -> Bytes) -> Bytes {
        let position = self.held.iter().position(|held| held.digest == digest);
        let held = position.and_then(|position| self.held.remove(position));
        let text = held.map_or_else(text, |held| held.text);
        self.held.push_back(HeldText { digest, text: text.clone() });
        while self.held.len() > self.max_held {
            self.held.pop_front();
        }
        text
    }

    fn get(&self, digest: &Digest) -> Option<&Bytes> {
        self.held.iter().find(|held| held.digest == *digest).map(|held| &held.text)
    }

    /// The other end has this text.
    fn mark_known(&mut self, connection: ConnectionId, digest: Digest) {
        let known = self.known_digests.entry(connection).or_default();
        known.retain(|other| *other != digest);
        known.push_back(digest);
        while known.len() > MAX_KNOWN_DIGESTS {
            known.pop_front();
        }
    }

    fn held_digests(&self) -> Vec<Bytes> {
        self.held.iter().map(|held| Bytes::copy_from_slice(&held.digest)).collect()
    }

    fn on_greeting(&mut self, connection: ConnectionId, digests: &[Bytes]) {
        for digest in digests.iter().take(MAX_KNOWN_DIGESTS) {
            if let Some(digest) = parse_digest(digest) {
                self.mark_known(connection, digest);
            }
        }
    }

    // ---- Outgoing ---------------------------------------------------------------------------------------

    /// A message as it goes on this connection.
    pub fn outgoing(&mut self, connection: ConnectionId, payload: Payload) -> Payload {
        let mut envelope = TextEnvelope::default();
        let body = match payload {
            Payload::Hello(mut hello) => {
                hello.text_digests = self.held_digests();
                return Payload::Hello(hello);
            }
            Payload::Welcome(mut welcome) => {
                welcome.text_digests = self.held_digests();
                return Payload::Welcome(welcome);
            }
            Payload::VoteRequest(mut request) => {
                let Some(body) = request.body.take() else { return Payload::VoteRequest(request) };
                envelope.vote_request = Some(request);
                Bytes::from(body)
            }
            Payload::VoteReply(mut reply) => {
                let Some(body) = reply.body.take() else { return Payload::VoteReply(reply) };
                envelope.vote_reply = Some(reply);
                Bytes::from(body)
            }
            Payload::VoterState(mut state) => {
                let Some(body) = state.body.take() else { return Payload::VoterState(state) };
                envelope.voter_state = Some(state);
                Bytes::from(body)
            }
            Payload::ConfigUpdate(mut update) => {
                let body = std::mem::take(&mut update.body);
                envelope.config_update = Some(update);
                body
            }
            payload => return payload,
        };
        envelope.text = Some(self.encode(connection, &body));
        Payload::TextEnvelope(envelope)
    }

    /// A text as this connection's other end needs it.
    fn encode(&mut self, connection: ConnectionId, body: &Bytes) -> Text {
        let (prefix, rest) = split_prefix(body);
        let rest = body.slice_ref(rest);
        let digest = self.digest_of(&rest);
        let rest = self.insert(digest, || rest);
        let mut text =
            Text { digest: Bytes::copy_from_slice(&digest), length: rest.len() as u32, ..Text::default() };
        if prefix.len() > MAX_SHORT_PREFIX {
            let line = body.slice_ref(&prefix[..prefix.len() - 1]);
            text.long_prefix = Some(Box::new(self.long_prefixes().encode(connection, &line)));
        } else {
            text.short_prefix = String::from_utf8_lossy(prefix).into_owned();
        }
        self.encode_rest(connection, digest, &rest, &mut text);
        self.counters.bytes += text.encoded.len() as u64;
        self.mark_known(connection, digest);
        text
    }

    /// What is sent to many is summed up once.
    fn digest_of(&self, text: &Bytes) -> Digest {
        let is_same = |held: &&HeldText| held.text.as_ptr() == text.as_ptr() && held.text.len() == text.len();
        self.held.iter().find(is_same).map_or_else(|| delta::digest(text), |held| held.digest)
    }

    /// By digest alone, as a difference, or in full.
    fn encode_rest(&mut self, connection: ConnectionId, digest: Digest, rest: &Bytes, text: &mut Text) {
        let known = self.known_digests.get(&connection);
        if known.is_some_and(|known| known.contains(&digest)) {
            self.counters.digests += 1;
            return;
        }
        let base = known.into_iter().flatten().rev().copied().find(|base| self.get(base).is_some());
        if let Some(base) = base
            && let Some(encoded) = self.difference(Some(base), digest, rest)
        {
            self.counters.differences += 1;
            text.base = Bytes::copy_from_slice(&base);
            text.encoded = encoded;
        } else {
            self.counters.full_texts += 1;
            text.encoded = self.difference(None, digest, rest).unwrap_or_default();
        }
    }

    fn difference(&mut self, base: Option<Digest>, digest: Digest, text: &Bytes) -> Option<Bytes> {
        let base_digest = base.unwrap_or_default();
        let is_same = |cached: &&CachedDifference| cached.base == base_digest && cached.digest == digest;
        if let Some(cached) = self.cached_differences.iter().find(is_same) {
            return Some(cached.encoded.clone());
        }
        let base = match base {
            Some(base) => self.get(&base)?.clone(),
            None => Bytes::new(),
        };
        let encoded = Bytes::from(delta::diff(&base, text)?);
        let cached = CachedDifference { base: base_digest, digest, encoded: encoded.clone() };
        self.cached_differences.push_back(cached);
        while self.cached_differences.len() > MAX_CACHED_DIFFERENCES {
            self.cached_differences.pop_front();
        }
        Some(encoded)
    }

    // ---- Incoming ---------------------------------------------------------------------------------------

    /// A message as it came on this connection.
    pub fn incoming(&mut self, connection: ConnectionId, payload: Payload) -> Incoming {
        match payload {
            Payload::Hello(hello) => {
                self.on_greeting(connection, &hello.text_digests);
                Incoming::Message(Payload::Hello(hello))
            }
            Payload::Welcome(welcome) => {
                self.on_greeting(connection, &welcome.text_digests);
                Incoming::Message(Payload::Welcome(welcome))
            }
            Payload::MissingText(MissingText { version }) => {
                self.on_closed(connection);
                // Without a version it was a vote: its proposal asks again by itself.
                if version == 0 {
                    return Incoming::Nothing;
                }
                Incoming::Message(Payload::ConfigRequest(ConfigRequest { version }))
            }
            Payload::TextEnvelope(envelope) => self.on_envelope(connection, envelope),
            payload => Incoming::Message(payload),
        }
    }

    fn on_envelope(&mut self, connection: ConnectionId, envelope: TextEnvelope) -> Incoming {
        let Some(text) = &envelope.text else { return self.reject() };
        let body = self.decode(connection, text);
        let prefix = self.decode_prefix(connection, text);
        let (Some(body), Some(prefix)) = (body, prefix) else {
            self.counters.rejected += 1;
            // A full one that is spoilt would be spoilt again: whoever lacks it asks in its own time.
            let parts = [Some(text), text.long_prefix.as_deref()];
            let needs_held_text = |part: &Text| part.encoded.is_empty() || !part.base.is_empty();
            if !parts.into_iter().flatten().any(needs_held_text) {
                return Incoming::Nothing;
            }
            let version = envelope.config_update.as_ref().map_or(0, |update| update.version);
            return Incoming::Reply(Payload::MissingText(MissingText { version }));
        };
        match with_body(envelope, prefix, body) {
            Some(payload) => Incoming::Message(payload),
            None => self.reject(),
        }
    }

    fn reject(&mut self) -> Incoming {
        self.counters.rejected += 1;
        Incoming::Nothing
    }

    /// The first line in front of a text, with its end; empty where there is none.
    fn decode_prefix(&mut self, connection: ConnectionId, text: &Text) -> Option<Vec<u8>> {
        let Some(prefix) = &text.long_prefix else {
            return Some(text.short_prefix.clone().into_bytes());
        };
        let mut line = self.long_prefixes().decode(connection, prefix)?.to_vec();
        line.push(b'\n');
        Some(line)
    }

    /// The text that was meant, held from now on.
    fn decode(&mut self, connection: ConnectionId, text: &Text) -> Option<Bytes> {
        let digest = parse_digest(&text.digest)?;
        let body = if text.encoded.is_empty() {
            self.get(&digest)?.clone()
        } else {
            let base = self.base_of(text)?;
            let decoded = delta::apply(&base, text.length as usize, &text.encoded)?;
            if delta::digest(&decoded) != digest && !self.skip_digest_check {
                return None;
            }
            Bytes::from(decoded)
        };
        let body = self.insert(digest, || body);
        self.mark_known(connection, digest);
        Some(body)
    }

    /// The text that a difference is against; empty where it is the full text.
    fn base_of(&self, text: &Text) -> Option<Bytes> {
        if text.base.is_empty() {
            return Some(Bytes::new());
        }
        match self.get(&parse_digest(&text.base)?) {
            None if self.skip_digest_check => {
                Some(self.held.back().map(|held| held.text.clone()).unwrap_or_default())
            }
            held => held.cloned(),
        }
    }
}

/// The message of an envelope, complete; `None` where it holds none or several.
fn with_body(envelope: TextEnvelope, prefix: Vec<u8>, body: Bytes) -> Option<Payload> {
    let full_text = || {
        let mut full = prefix;
        full.extend_from_slice(&body);
        String::from_utf8(full).ok()
    };
    let TextEnvelope { vote_request, vote_reply, config_update, voter_state, text: _ } = envelope;
    match (vote_request, vote_reply, config_update, voter_state) {
        (Some(mut request), None, None, None) => {
            request.body = Some(full_text()?);
            Some(Payload::VoteRequest(request))
        }
        (None, Some(mut reply), None, None) => {
            reply.body = Some(full_text()?);
            Some(Payload::VoteReply(reply))
        }
        (None, None, Some(mut update), None) => {
            update.body = body;
            Some(Payload::ConfigUpdate(update))
        }
        (None, None, None, Some(mut state)) => {
            state.body = Some(full_text()?);
            Some(Payload::VoterState(state))
        }
        _ => None,
    }
}
