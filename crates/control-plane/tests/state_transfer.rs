//! States on their way between replicas that install a voter set: no sockets, no clock but the one that is handed in.
use notchspool::units::Micros;
use notchspool_consensus::voter_set::{Member, VoterSet};
use notchspool_control_plane::replica::{
    ConnectionId, Effect, NO_REPORT, Replica, ReplicaOptions, Tolerance,
};
use notchspool_control_plane::wire::set_to_message;
use notchspool_mesh_protocol::snapshot::{Progress, SnapshotReceiver};
use notchspool_mesh_protocol::{
    Claim, Hello, Payload, Role, Snapshot, SnapshotChunk, SnapshotRequest, StateRequest, Ticket, Welcome,
};
use notchspool_storage::Recovered;

/// More than one chunk of a snapshot holds.
const MANY_CLAIMS: u64 = 6_000;
/// A connection of a proxy, and from here on those of other replicas.
const PROXY: ConnectionId = 9;
const FIRST_REPLICA: ConnectionId = 10;

fn address(at: usize) -> String {
    format!("10.0.0.{at}:1")
}

/// Of a replica, and of its disk where that is empty as it starts.
fn boot_id(at: usize) -> u64 {
    70 + at as u64
}

/// A replica, with a disk that writes at once.
struct Host {
    replica: Replica,
    now: Micros,
    sent: Vec<(ConnectionId, Payload)>,
}

impl Host {
    /// The replica with this number; seeds are 1, 2 and 3.
    fn open(at: usize, first_start: bool) -> Host {
        let options = ReplicaOptions {
            address: address(at),
            zone: "a".into(),
            counted: true,
            tolerate: Tolerance { machines: 1, zones: 0 },
            boot_id: boot_id(at),
            first_start,
            seeds: (1..=3).map(address).collect(),
            claim_window: Micros::ms(60_000),
        };
        let now = Micros::ms(1);
        let (replica, effects) = Replica::open(options, Recovered::default(), now);
        let mut host = Host { replica, now, sent: Vec::new() };
        host.carry_out(effects);
        host
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Write { id, .. } if id != NO_REPORT => {
                    let effects = self.replica.on_written(self.now, id, true);
                    self.carry_out(effects);
                }
                Effect::Send(connection, payload) => self.sent.push((connection, payload)),
                _ => {}
            }
        }
    }

    fn receive(&mut self, connection: ConnectionId, payload: Payload) {
        let effects = self.replica.on_message(self.now, connection, payload);
        self.carry_out(effects);
    }

    fn pass(&mut self, ms: i64) {
        let end = self.now + Micros::ms(ms);
        while self.now < end {
            self.now = self.now + Micros::ms(50);
            let effects = self.replica.tick(self.now);
            self.carry_out(effects);
        }
    }

    /// Proxies claim these keys.
    fn claim(&mut self, numbers: std::ops::Range<u64>) {
        let hello = Hello { address: "10.0.1.1:1".into(), role: Role::Proxy.into(), ..Hello::default() };
        self.receive(PROXY, Payload::Hello(hello));
        let set_number = self.replica.voter_set().number;
        for number in numbers {
            let claim = Claim {
                id: number,
                key: key(number),
                ticket: Some(Ticket {
                    boot_id: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                    number,
                    attempt: 0,
                }),
                holder: "10.0.1.1:1".into(),
                holder_boot_id: 5,
                set_number,
                age_ms: 0,
            };
            self.receive(PROXY, Payload::Claim(claim));
        }
    }

    /// Hears that this set is decided.
    fn learn(&mut self, connection: ConnectionId, set: &VoterSet, previous: &VoterSet) {
        let (voter_set, previous_set) = (Some(set_to_message(set)), Some(set_to_message(previous)));
        self.receive(connection, Payload::Welcome(Welcome { voter_set, previous_set, ..Welcome::default() }));
    }

    /// A replica that has to install this set asks for the state; the first chunk that it is told.
    fn request_state(
        &mut self,
        connection: ConnectionId,
        set: &VoterSet,
        previous: Option<&VoterSet>,
    ) -> SnapshotChunk {
        self.sent.clear();
        let set = Some(set_to_message(set));
        let previous = previous.map(set_to_message);
        self.receive(connection, Payload::StateRequest(StateRequest { set, previous }));
        let chunk = self.sent.iter().find_map(|(to, payload)| match payload {
            Payload::SnapshotChunk(chunk) if *to == connection => Some(chunk.clone()),
            _ => None,
        });
        chunk.expect("a chunk")
    }

    /// The rest of a snapshot.
    fn read_snapshot(&mut self, connection: ConnectionId, first: SnapshotChunk) -> Snapshot {
        let mut receiver = SnapshotReceiver::default();
        let mut chunk = first;
        loop {
            match receiver.on_chunk(chunk) {
                Progress::Complete(snapshot) => return *snapshot,
                Progress::Continue(request) => chunk = self.request_chunk(connection, request),
                Progress::Rejected(_) => panic!("the chunks are of one snapshot"),
            }
        }
    }

    fn request_chunk(&mut self, connection: ConnectionId, request: SnapshotRequest) -> SnapshotChunk {
        self.sent.clear();
        self.receive(connection, Payload::SnapshotRequest(request));
        match self.sent.pop() {
            Some((_, Payload::SnapshotChunk(chunk))) => chunk,
            other => panic!("{other:?}"),
        }
    }

    fn requests_to(&self, connection: ConnectionId) -> Vec<SnapshotRequest> {
        let of_snapshot = |(to, payload): &(ConnectionId, Payload)| match payload {
            Payload::SnapshotRequest(request) if *to == connection => Some(request.clone()),
            _ => None,
        };
        self.sent.iter().filter_map(of_snapshot).collect()
    }
}

fn key(number: u64) -> String {
    format!("k-{:x}", number.wrapping_mul(0xff51_afd7_ed55_8ccd))
}

fn has_key(snapshot: &Snapshot, number: u64) -> bool {
    snapshot.claims.iter().any(|claim| claim.key == key(number))
}

/// The set after `set`, in which the third member has lost its disk.
fn with_empty_disk(set: &VoterSet) -> VoterSet {
    let mut members: Vec<Member> = set.members.clone();
    members[2].incarnation = boot_id(3);
    VoterSet::new(set.number + 1, members)
}

/// Guards against a change of the voter set that takes seconds, as each that asks costs an encoding of all claims
/// (`docs/incidents/states-encoded-again.md`).
#[test]
fn a_state_is_encoded_once_for_all_that_ask_at_about_the_same_time() {
    let mut voter = Host::open(1, true);
    voter.claim(0..MANY_CLAIMS);
    let set = voter.replica.voter_set().clone();
    let next = with_empty_disk(&set);
    voter.learn(FIRST_REPLICA, &next, &set);
    let ids: Vec<_> = (0..4)
        .flat_map(|nth| {
            // What does not come at once is asked for again.
            let connection = FIRST_REPLICA + nth;
            [
                voter.request_state(connection, &next, Some(&set)),
                voter.request_state(connection, &next, Some(&set)),
            ]
        })
        .map(|chunk| chunk.id)
        .collect();
    assert!(ids.iter().all(|id| *id == ids[0]), "all are told the same");
    assert_eq!(voter.replica.counters().states_requested, 8);
    assert_eq!(voter.replica.counters().states_encoded, 1);
}

/// What is held for one state is never told for a later one.
#[test]
fn a_sealed_state_has_what_came_after_the_same_set_was_told_before() {
    let mut voter = Host::open(1, true);
    voter.claim(0..10);
    let set = voter.replica.voter_set().clone();
    let first = voter.request_state(FIRST_REPLICA, &set, None);
    let installed = voter.read_snapshot(FIRST_REPLICA, first);
    assert!(has_key(&installed, 9) && !has_key(&installed, 10));
    voter.claim(10..11);
    let next = with_empty_disk(&set);
    voter.learn(FIRST_REPLICA, &next, &set);
    let first = voter.request_state(FIRST_REPLICA, &next, Some(&set));
    let sealed = voter.read_snapshot(FIRST_REPLICA, first);
    assert_eq!((sealed.set_number, has_key(&sealed, 10)), (1, true));
}

#[test]
fn a_state_that_was_told_long_ago_is_encoded_anew() {
    let mut voter = Host::open(1, true);
    voter.claim(0..10);
    let set = voter.replica.voter_set().clone();
    let first = voter.request_state(FIRST_REPLICA, &set, None);
    voter.claim(10..11);
    let soon = voter.request_state(FIRST_REPLICA + 1, &set, None);
    assert_eq!(soon.id, first.id);
    voter.pass(2_500);
    let first = voter.request_state(FIRST_REPLICA + 1, &set, None);
    assert!(has_key(&voter.read_snapshot(FIRST_REPLICA + 1, first), 10));
}

/// Guards against a transfer that begins anew each time a slow voter answers a request that was repeated
/// (`docs/incidents/states-encoded-again.md`).
#[test]
fn a_first_chunk_that_comes_twice_does_not_begin_the_transfer_anew() {
    let mut voter = Host::open(1, true);
    voter.claim(0..MANY_CLAIMS);
    let set = voter.replica.voter_set().clone();
    let next = with_empty_disk(&set);
    let mut newcomer = Host::open(3, false);
    let effects = newcomer.replica.on_connected(newcomer.now, FIRST_REPLICA, &address(1));
    newcomer.carry_out(effects);
    newcomer.learn(FIRST_REPLICA, &next, &set);
    voter.learn(FIRST_REPLICA, &next, &set);
    let first = voter.request_state(FIRST_REPLICA, &next, Some(&set));
    newcomer.sent.clear();
    newcomer.receive(FIRST_REPLICA, Payload::SnapshotChunk(first.clone()));
    let second = newcomer.requests_to(FIRST_REPLICA);
    assert_eq!(second.len(), 1, "more than a chunk");
    // It had asked twice, and both are answered.
    newcomer.receive(FIRST_REPLICA, Payload::SnapshotChunk(first));
    let chunk = voter.request_chunk(FIRST_REPLICA, second[0].clone());
    newcomer.sent.clear();
    newcomer.receive(FIRST_REPLICA, Payload::SnapshotChunk(chunk));
    let third = newcomer.requests_to(FIRST_REPLICA);
    assert!(third.iter().all(|request| request.offset > second[0].offset), "it goes on: {third:?}");
    assert_eq!(third.len(), 1);
}
