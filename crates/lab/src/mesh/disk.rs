//! A replica's disk in virtual time: what it holds, and what is on its way there. It joins writes as the process does
//! (`control_plane::server::disk_thread`): one sync at a time, and what has come in meanwhile goes with the next.
use std::collections::{BTreeMap, VecDeque};

use notchspool::units::Micros;
use notchspool_consensus::{Ballot, ContenderId, Entry, Token};
use notchspool_control_plane::replica::WriteId;
use notchspool_mesh_protocol::{Claim, Snapshot};
use notchspool_storage::{MembershipRecord, Recovered, WriteOp};

use super::player::Breach;

/// Batches that go with one sync at most, beside the first.
const MAX_JOINED: usize = 512;
/// How long a sync takes on a disk that is well.
const USUAL_SYNC_TIME: Micros = Micros::ms(1);

/// What is on a disk.
#[derive(Clone, Debug, Default)]
pub struct Store {
    found: Recovered,
    claims: BTreeMap<(String, u64, u64), Claim>,
}

impl Store {
    /// One write, as the disk has it from then on.
    pub fn apply(&mut self, write: &WriteOp, breach: Breach) {
        let keep_first = breach == Breach::SealNotKept;
        match write {
            WriteOp::Promise(ballot) => self.found.promised = self.found.promised.max(*ballot),
            WriteOp::Accept { entry, .. } => {
                if self
                    .found
                    .accepted
                    .as_ref()
                    .is_none_or(|old| (old.ballot, old.sequence) < (entry.ballot, entry.sequence))
                {
                    self.found.accepted = Some(entry.clone());
                }
            }
            WriteOp::Membership(_) if keep_first && self.found.membership.is_some() => {}
            WriteOp::InstallSnapshot(snapshot) => self.install(snapshot, breach),
            WriteOp::Membership(seat) => self.found.membership = Some(seat.clone()),
            WriteOp::Claim(claim) => {
                let ticket = claim.ticket.unwrap_or_default();
                self.claims.insert((claim.key.clone(), ticket.boot_id, ticket.number), claim.clone());
            }
            WriteOp::WithdrawClaim(key, ticket) => {
                let at = (key.clone(), ticket.boot_id, ticket.number);
                if self
                    .claims
                    .get(&at)
                    .is_some_and(|c| c.ticket.unwrap_or_default().attempt <= ticket.attempt)
                {
                    self.claims.remove(&at);
                }
            }
        }
    }
    /// All of it at once, as the disk does it.
    fn install(&mut self, snapshot: &Snapshot, breach: Breach) {
        let announced = |b: Option<notchspool_mesh_protocol::Ballot>| {
            let b = b.unwrap_or_default();
            Ballot { token: Token(0), round: b.round, by: ContenderId(b.proposer) }
        };
        let entry = snapshot.body.clone().map(|value| Entry {
            ballot: announced(snapshot.accepted_ballot),
            sequence: 1,
            value,
        });
        if breach != Breach::SealNotKept || self.found.membership.is_none() {
            self.found.membership = serde_json::from_slice(&snapshot.membership).ok();
        }
        (self.found.promised, self.found.accepted) = (announced(snapshot.promised), entry);
        snapshot.claims.iter().for_each(|c| self.apply(&WriteOp::Claim(c.clone()), breach));
    }
    /// The configuration that was accepted last.
    pub fn accepted(&self) -> Option<&Entry> {
        self.found.accepted.as_ref()
    }

    /// Whether a claim of this key is there.
    pub fn has_claim(&self, key: &str) -> bool {
        self.claims.keys().any(|claim| claim.0 == key)
    }

    /// Puts another seat there, past all writes: a planted fault.
    pub fn set_membership(&mut self, membership: Option<MembershipRecord>) {
        self.found.membership = membership;
    }

    /// What a process that starts finds.
    pub fn found(&self) -> Recovered {
        Recovered { claims: self.claims.values().cloned().collect(), ..self.found.clone() }
    }
}

/// Writes that were handed to the disk together.
struct Batch {
    id: WriteId,
    writes: Vec<WriteOp>,
}

/// A sync in progress.
struct Sync {
    ends_at: Micros,
    /// The first so many batches of the queue go with it.
    batches: usize,
}

/// What became of a batch.
pub struct WriteReport {
    /// Its id.
    pub id: WriteId,
    /// It is durable.
    pub written: bool,
}

/// See the module.
pub struct Disk {
    /// What is durable.
    pub store: Store,
    /// Handed over, and not durable yet.
    queue: VecDeque<Batch>,
    sync: Option<Sync>,
    /// How long a sync takes from now on.
    pub sync_time: Micros,
    /// It refuses writes.
    pub is_full: bool,
}

impl Default for Disk {
    fn default() -> Disk {
        Disk {
            store: Store::default(),
            queue: VecDeque::new(),
            sync: None,
            sync_time: USUAL_SYNC_TIME,
            is_full: false,
        }
    }
}

impl Disk {
    /// A batch is handed over.
    pub fn write(&mut self, now: Micros, id: WriteId, writes: Vec<WriteOp>) {
        self.queue.push_back(Batch { id, writes });
        self.begin_sync(now);
    }

    /// Begins a sync with all that waits, unless one is in progress.
    fn begin_sync(&mut self, now: Micros) {
        if self.sync.is_none() && !self.queue.is_empty() {
            let batches = self.queue.len().min(1 + MAX_JOINED);
            self.sync = Some(Sync { ends_at: now + self.sync_time, batches });
        }
    }

    /// Time has passed: the batches whose sync has ended by now.
    pub fn advance(&mut self, now: Micros, breach: Breach) -> Vec<WriteReport> {
        let Some(sync) = self.sync.take_if(|sync| sync.ends_at <= now) else { return Vec::new() };
        let batches: Vec<Batch> = self.queue.drain(..sync.batches).collect();
        self.begin_sync(now);
        let written = !self.is_full;
        if written {
            let writes = batches.iter().flat_map(|batch| &batch.writes);
            writes.for_each(|write| self.store.apply(write, breach));
        }
        batches.into_iter().map(|batch| WriteReport { id: batch.id, written }).collect()
    }

    /// The process has ended: of what was handed over a part is durable, from the first write to the one before which `is_kept` is false.
    pub fn on_process_end(&mut self, breach: Breach, mut is_kept: impl FnMut() -> bool) {
        self.sync = None;
        let mut kept = true;
        for write in std::mem::take(&mut self.queue).into_iter().flat_map(|batch| batch.writes) {
            kept = kept && is_kept();
            if kept && !self.is_full {
                self.store.apply(&write, breach);
            }
        }
    }
}
